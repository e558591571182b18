/* NAME
     server - HTTP server for callers, backend servers and operators

   DESCRIPTION
     The front task owns the listening socket and the callers' connections.
     It reads each request whole, sends it as TK_HTTP_REQUEST to the deciding
     task (the task that chooses the answer), and sends the answer when the
     TK_HTTP_ANSWER with the same id arrives.  When a caller closes its
     connection before its answer, the deciding task gets TK_CALLER_LEFT, and
     an answer that arrives later is dropped.  Ids are never reused, so that a
     late answer cannot reach another caller.

     The front task itself refuses a request whose head or body exceeds the limit
     (431, 413), for whose body there is no room (503, bodies.h), whose body has
     no certain end (400, and the connection is closed, framing.h), or that has a
     header with an invalid value (400); the deciding task never sees it.  A body
     of a declared length is refused before it is read, one in chunks at its
     end.  A body that is not whole at the deadline of its request, or goes on
     for as long again beyond the limit, ends its connection.  An answer for
     which there is no room becomes a 502.  The verdict of such a refusal is
     not-run; with a header
     Idempotency-Key it is may-have-run, because an earlier send may have run
     through another entry VM.  */

#ifndef ZP_FRONT_SERVER_H
#define ZP_FRONT_SERVER_H

#include "base/err.h"
#include "front/header.h"
#include "task/task.h"

struct fr_server;

struct fr_options
{
  struct zp_str address;   /* "IP:port" */
  struct tk_task *decider; /* gets TK_HTTP_REQUEST and TK_CALLER_LEFT */
  const struct fr_header_names *names; /* must outlive the server */
  zp_time idle_max; /* closes an idle connection; whole seconds */
  size_t body_max;  /* largest request body, in bytes */
};

/* Limits on what a caller sends; they can change.  */
struct fr_limits
{
  size_t head_max;       /* bytes of the headers of a request; 0: not set */
  size_t body_max;       /* bytes of its body */
  zp_time head_time_max; /* from the first line of a head; 0: not set */
  zp_time idle_max;      /* between requests; 0: not set */
};

/* Starts listening.  Returns NULL and sets ERR when the address is malformed
   or cannot be listened on.  */
struct fr_server *fr_server_open_with (struct tk_loop *l,
                                       const struct fr_options *o,
                                       struct zp_err *err);

/* The same with the header names and limits of zinniapost's native interface;
   ADDRESS is "IP:port".  */
struct fr_server *fr_server_open (struct tk_loop *l, struct zp_str address,
                                  struct tk_task *decider, struct zp_err *err);

/* The task to which TK_HTTP_ANSWER is sent.  TK_STOP does the same as
   fr_server_quiesce.  */
struct tk_task *fr_server_task (struct fr_server *s);

/* Replaces the limits.  A head can have no more than ZP_HEADERS_MAX, and no
   connection is idle for longer than fr_options.idle_max.  */
void fr_server_set_limits (struct fr_server *s,
                           const struct fr_limits *limits);

/* Sends "Connection: close" with every further answer, so that callers leave.
   New connections are still accepted.  */
void fr_server_drain (struct fr_server *s);

/* Closes the listening socket.  Requests in progress are completed, and every
   further answer closes its connection.  */
void fr_server_quiesce (struct fr_server *s);

/* The number of requests that are being read, that wait for their answer or
   whose answer is being sent.  */
size_t fr_server_pending (const struct fr_server *s);

/* Must be called on the thread of the loop or after the loop has stopped.  S
   may be NULL.  */
void fr_server_close (struct fr_server *s);

#endif
