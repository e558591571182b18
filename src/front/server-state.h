/* NAME
     server-state - the state of the front task, shared by its files

   DESCRIPTION
     server.c    event loop, messages, set-up
     exchange.c  requests and their answers, by callbacks of libmicrohttpd

     All of it belongs to the one task of struct fr_server.  */

#ifndef ZP_FRONT_SERVER_STATE_H
#define ZP_FRONT_SERVER_STATE_H

#include <microhttpd.h>

#include "base/limits.h"
#include "base/slots.h"
#include "front/bodies.h"
#include "front/callers.h"
#include "front/framing.h"
#include "front/header.h"
#include "front/server.h"

#define FR_PART "front"

enum request_state
{
  REQUEST_NEW,
  REQUEST_READING,
  REQUEST_WAITING,  /* suspended until its answer arrives */
  REQUEST_ANSWERED, /* answered or refused, or the caller has left */
};

/* One HTTP request and its answer.  */
struct exchange
{
  struct fr_server *server;
  struct connection *connection;
  struct MHD_Connection *conn;
  enum request_state state;
  uint64_t id;
  bool too_large, no_room;
  size_t held;    /* bytes of its body that are counted in fr_server.bodies */
  size_t dropped; /* bytes of its body that were not kept */
  struct fr_body body;
  ev_io leave_watcher; /* detects that the caller leaves */
  struct zp_buf target;
  const char *target_at; /* in the buffer of libmicrohttpd; only its address */
  char request_id[ZP_NAME_MAX];
  struct tk_msg *request; /* TK_HTTP_REQUEST until it is sent, then NULL */
  struct tk_msg *answer;
};

/* A connection of a caller.  */
struct connection
{
  struct fr_caller *caller;
  struct exchange *exchange; /* in progress, or NULL */
};

struct fr_server
{
  struct tk_loop *loop;
  struct tk_task task;
  struct tk_task *decider;
  const struct fr_header_names *names;
  struct fr_limits limits;
  struct fr_bodies bodies;
  struct fr_callers callers;
  ev_timer callers_timer;
  struct MHD_Daemon *daemon;
  ev_io io;
  ev_timer timer;
  bool quiescent;
  bool draining;
  struct zp_slots exchanges;
};

/* Lets libmicrohttpd handle its events and sets the timer to its next
   timeout.  Must not be called from a callback of libmicrohttpd.  */
void fr_run_daemon (struct fr_server *s);

/* Takes ownership of M.  */
void fr_deliver_answer (struct fr_server *s, struct tk_msg *m);

/* Callbacks of libmicrohttpd; SELF is a struct fr_server.  */
void *fr_on_target (void *self, const char *target,
                    struct MHD_Connection *conn);
enum MHD_Result fr_on_request (void *self, struct MHD_Connection *conn,
                               const char *url, const char *method,
                               const char *version, const char *bytes,
                               size_t *len, void **data);
void fr_on_completed (void *self, struct MHD_Connection *conn, void **data,
                      enum MHD_RequestTerminationCode code);
void fr_on_connection (void *self, struct MHD_Connection *conn, void **context,
                       enum MHD_ConnectionNotificationCode event);

#endif
