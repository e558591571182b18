/* NAME
     server - HTTP server for callers, backend servers and operators

   DESCRIPTION
     The front task owns the listening socket and the callers' connections.
     It reads whole requests, sends each as TK_HTTP_REQUEST to the deciding
     task and answers it when the TK_HTTP_ANSWER of the same id arrives.  When
     a caller leaves before its answer, TK_CALLER_LEFT is sent; a later answer is
     dropped.  Answers are matched by id only, so that late answers never reach
     another caller.

     Requests over a limit are answered here: they never reach the deciding
     task.  Their verdict is not-run, or may-have-run with an Idempotency-Key.
 */

#ifndef ZP_FRONT_SERVER_H
#define ZP_FRONT_SERVER_H

#include "base/err.h"
#include "front/header.h"
#include "task/task.h"

struct fr_server;

struct fr_options
{
  struct zp_str address; /* "IP:port" */
  struct tk_task *decider;
  const struct fr_names *names; /* has to outlive the server */
  zp_time idle_max;             /* a kept connection is closed after this */
  size_t body_max;              /* bytes of a request body */
};

struct fr_server *fr_server_open_with (struct tk_loop *l,
                                       const struct fr_options *o,
                                       struct zp_err *err);

/* Listens on ADDRESS ("IP:port") with the names and limits of the product's
   own interface.  */
struct fr_server *fr_server_open (struct tk_loop *l, struct zp_str address,
                                  struct tk_task *decider, struct zp_err *err);

/* The task that takes TK_HTTP_ANSWER.  */
struct tk_task *fr_server_task (struct fr_server *s);

/* Asks callers to leave: every answer from now on closes its connection.  New
   connections are still taken.  */
void fr_server_drain (struct fr_server *s);

/* Stops taking connections; requests in progress go on.  */
void fr_server_quiesce (struct fr_server *s);

/* Requests that wait for an answer or whose answer is being sent.  */
size_t fr_server_pending (const struct fr_server *s);

/* Called on the loop's thread or after the loop has stopped.  */
void fr_server_close (struct fr_server *s);

#endif
