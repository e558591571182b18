/* HTTP requests and their answers.  */

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/counter.h"
#include "base/log.h"
#include "front/request.h"
#include "front/response.h"
#include "front/server-state.h"
#include "front/target.h"

/* When a request that was refused for lack of memory may come again: long bodies
   are sent within about a second.  */
#define BODIES_RETRY_MS 1000

/* Exchanges.  */

static void
set_phase (struct exchange *x, enum fr_caller_phase phase)
{
  fr_caller_set (x->connection->caller, phase, zp_clock_mono ());
}

/* Gives back what X holds, and takes MORE bytes of a body instead.  */
static bool
hold_instead (struct exchange *x, size_t more)
{
  fr_bodies_give (&x->server->bodies, x->held);
  x->held = 0;
  if (!fr_bodies_take (&x->server->bodies, 0, more))
    return false;
  x->held = more;
  return true;
}

static void
exchange_free (struct exchange *x)
{
  struct fr_server *s = x->server;

  hold_instead (x, 0);
  set_phase (x, FR_CALLER_IDLE);
  ev_io_stop (s->loop->ev, &x->leave_watcher);
  x->connection->exchange = NULL;
  if (x->request)
    tk_msg_free (x->request);
  if (x->answer)
    tk_msg_free (x->answer);
  zp_buf_free (&x->target);
  zp_slots_remove (&s->exchanges, x->id);
  free (x);
}

/* A caller has left while its request was being read.  libmicrohttpd does not
   see the end of a connection that comes together with bytes, because it waits
   for another event of the socket; shutdown causes one.  */
static void
end_cut_request (struct exchange *x)
{
  shutdown (x->leave_watcher.fd, SHUT_RDWR);
}

static void
cancel_request (struct exchange *x)
{
  struct tk_msg *m = tk_msg_new (TK_CALLER_LEFT);

  m->u.caller_left.id = x->id;
  tk_send (x->server->decider, m);
  zp_count (zp_counter ("zp_http_callers_gone_total", ""), 1);
  x->state = REQUEST_ANSWERED;
  MHD_resume_connection (x->conn);
  fr_run_daemon (x->server); /* frees X */
}

/* Detects the end of the connection of an exchange.  libmicrohttpd does not
   watch it while the exchange is suspended.  */
static void
on_caller_readable (struct ev_loop *ev, ev_io *w, int events)
{
  struct exchange *x = w->data;
  char byte;

  (void) events;
  ssize_t n = recv (w->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  /* libmicrohttpd has read the bytes of this event.  */
  if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
    return;
  switch (x->state)
    {
    case REQUEST_NEW:
    case REQUEST_READING:
      if (n != 0)
        return; /* bytes for libmicrohttpd, or an error that it handles */
      ev_io_stop (ev, w);
      end_cut_request (x);
      return;
    case REQUEST_WAITING:
      ev_io_stop (ev, w);
      if (n <= 0)
        cancel_request (x);
      /* Else bytes of a pipelined request, read after the answer.  */
      return;
    case REQUEST_ANSWERED:
      ev_io_stop (ev, w);
      return;
    }
}

static struct connection *
connection_of (struct MHD_Connection *conn)
{
  return MHD_get_connection_info (conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
      ->socket_context;
}

/* libmicrohttpd does not call fr_on_completed for a request whose head is
   malformed or does not end.  Such an exchange ends with its connection.  */
void
fr_on_connection (void *self, struct MHD_Connection *conn, void **context,
                  enum MHD_ConnectionNotificationCode event)
{
  struct fr_server *s = self;
  struct connection *c = *context;

  switch (event)
    {
    case MHD_CONNECTION_NOTIFY_STARTED:
      c = zp_alloc (sizeof *c);
      c->caller = fr_caller_new (
          &s->callers,
          MHD_get_connection_info (conn, MHD_CONNECTION_INFO_CONNECTION_FD)
              ->connect_fd,
          zp_clock_mono ());
      *context = c;
      return;
    case MHD_CONNECTION_NOTIFY_CLOSED:
      if (c->exchange)
        exchange_free (c->exchange);
      fr_caller_free (&s->callers, c->caller);
      free (c);
      *context = NULL;
      return;
    }
}

/* libmicrohttpd calls this first for each request, with the raw request
   target, and passes the result to the other callbacks as their per-request
   pointer.  */
void *
fr_on_target (void *self, const char *target, struct MHD_Connection *conn)
{
  struct fr_server *s = self;
  struct exchange *x = zp_alloc (sizeof *x);

  x->server = s;
  x->connection = connection_of (conn);
  x->connection->exchange = x;
  x->conn = conn;
  x->id = zp_slots_put (&s->exchanges, x);
  x->target = zp_buf_from (zp_str_from (target));
  x->target_at = target;
  ev_io_init (&x->leave_watcher, on_caller_readable,
              MHD_get_connection_info (conn, MHD_CONNECTION_INFO_CONNECTION_FD)
                  ->connect_fd,
              EV_READ);
  x->leave_watcher.data = x;
  ev_io_start (s->loop->ev, &x->leave_watcher);
  set_phase (x, FR_CALLER_HEAD);
  return x;
}

void
fr_on_completed (void *self, struct MHD_Connection *conn, void **data,
                 enum MHD_RequestTerminationCode code)
{
  struct exchange *x = *data;

  (void) self;
  (void) conn;
  (void) code;
  if (!x)
    return;
  exchange_free (x);
  *data = NULL;
}

/* Requests.  */

/* The answer repeats the request id, so that the receiver can detect an answer
   to another request.  */
static void
store_request_id (struct exchange *x)
{
  zp_str_copy (x->request_id, sizeof x->request_id,
               zp_str_of (&x->request->u.request.request_id));
}

static void
begin_request (struct exchange *x, const char *method, const char *version)
{
  x->request = tk_msg_new (TK_HTTP_REQUEST);
  struct tk_http_request *r = &x->request->u.request;
  r->id = x->id;
  r->from = &x->server->task;
  fr_request_read (x->conn, method, zp_str_of (&x->target), x->server->names,
                   r, &x->body);
  fr_body_read_version (&x->body, zp_str_from (version));
  store_request_id (x);
  /* Nothing can be done for a request that is not whole at its deadline.  */
  fr_caller_expect_body (x->connection->caller,
                         r->deadline > 0 ? r->deadline
                                         : zp_clock_mono () + ZP_DEADLINE_MAX);
}

static enum MHD_Result
suspend (struct exchange *x)
{
  struct tk_msg *m = x->request;

  x->request = NULL;
  x->state = REQUEST_WAITING;
  set_phase (x, FR_CALLER_BUSY);
  MHD_suspend_connection (x->conn);
  tk_send (x->server->decider, m);
  return MHD_YES;
}

/* Answers.  */

static enum MHD_Result
queue_answer (struct exchange *x, struct tk_http_answer *a)
{
  const struct fr_server *s = x->server;
  bool close
      = s->quiescent || s->draining || x->body.kind == FR_BODY_UNCERTAIN;
  struct MHD_Response *r = fr_response_new (a, s->names, x->request_id, close);

  if (!r)
    return MHD_NO;
  enum MHD_Result ok = MHD_queue_response (x->conn, a->status, r);
  MHD_destroy_response (r);
  return ok;
}

static enum MHD_Result
refuse_locally (struct exchange *x, unsigned status, const char *reason)
{
  /* With a key, this may be a resend of a request that has run through another
     entry VM.  */
  enum zp_verdict verdict = x->request && x->request->u.request.key.len > 0
                                ? ZP_MAY_HAVE_RUN
                                : ZP_NOT_RUN;
  struct tk_http_answer a
      = { .status = status,
          .has_verdict = true,
          .verdict = verdict,
          .content_type = zp_buf_from (ZP_STR ("application/json")) };

  if (status == 503 && verdict == ZP_NOT_RUN)
    a.retry_after_ms = BODIES_RETRY_MS;
  zp_buf_printf (&a.body, "{\"reason\":\"%s\",\"verdict\":\"%s\"}\n", reason,
                 zp_verdict_name (verdict));
  zp_count (zp_counter ("zp_http_refused_total", ""), 1);
  zp_log (ZP_LOG_INFO, FR_PART,
          "refused a request with a target of %zu bytes: %s", x->target.len,
          reason);
  x->state = REQUEST_ANSWERED;
  set_phase (x, FR_CALLER_BUSY);
  enum MHD_Result ok = queue_answer (x, &a);
  zp_buf_free (&a.content_type);
  return ok;
}

/* Whether the request line of X has a zero byte, at which libmicrohttpd cuts
   off METHOD or the target.  libmicrohttpd splits the line in its buffer, so
   that a whole METHOD ends right before the target, and a whole target right
   before VERSION.  */
static bool
is_cut_off (const struct exchange *x, const char *method, const char *version)
{
  uintptr_t target = (uintptr_t) x->target_at;

  return (uintptr_t) method + strlen (method) + 1 != target
         || target + x->target.len + 1 != (uintptr_t) version;
}

/* The head of X has arrived.  Refuses the request at once when its body cannot
   be taken.  */
static enum MHD_Result
on_head (struct exchange *x, const char *method, const char *version)
{
  const struct fr_limits *l = &x->server->limits;

  begin_request (x, method, version);
  x->state = REQUEST_READING;
  if (x->body.kind == FR_BODY_UNCERTAIN)
    return refuse_locally (x, 400, "bad-framing");
  if (!fr_target_is_valid (zp_str_of (&x->target))
      || is_cut_off (x, method, version))
    {
      /* What follows on the connection may be a part of this head.  */
      x->body.kind = FR_BODY_UNCERTAIN;
      return refuse_locally (x, 400, "bad-target");
    }
  if (!fr_request_head_fits (x->conn, x->target.len, l->head_max))
    return refuse_locally (x, 431, "head-too-large");
  uint64_t length = x->body.kind == FR_BODY_LENGTH ? x->body.u.length : 0;
  if (length > l->body_max)
    return refuse_locally (x, 413, "body-too-large");
  if (!hold_instead (x, length))
    return refuse_locally (x, 503, "no-room-for-body");
  return MHD_YES;
}

/* A part of the body of X, of a declared length or in chunks.  Returns MHD_NO,
   so that the connection is closed, when the part that is not kept has become
   as long as a body can be: its caller does not look for an answer.  */
static enum MHD_Result
on_body (struct exchange *x, const char *bytes, size_t len)
{
  struct zp_buf *body = &x->request->u.request.body;
  size_t need = body->len + len, max = x->server->limits.body_max;

  if (!x->too_large && !x->no_room)
    {
      if (need > max)
        x->too_large = true;
      else if (need > x->held)
        {
          x->no_room
              = !fr_bodies_take (&x->server->bodies, x->held, need - x->held);
          x->held = x->no_room ? x->held : need;
        }
      if (!x->too_large && !x->no_room)
        {
          zp_buf_put_bytes (body, bytes, len);
          return MHD_YES;
        }
      zp_buf_free (body);
      hold_instead (x, 0);
    }
  x->dropped += len;
  if (x->dropped <= max)
    return MHD_YES;
  zp_count (zp_counter ("zp_http_bodies_dropped_total", ""), 1);
  zp_log (ZP_LOG_NOTICE, FR_PART, "closed a connection: the body is too long");
  return MHD_NO;
}

enum MHD_Result
fr_on_request (void *self, struct MHD_Connection *conn, const char *url,
               const char *method, const char *version, const char *bytes,
               size_t *len, void **data)
{
  struct exchange *x = *data;

  (void) self;
  (void) conn;
  (void) url;
  if (!x)
    return MHD_NO;
  if (x->state == REQUEST_NEW)
    return on_head (x, method, version);
  if (*len > 0)
    {
      if (!x->request)
        return MHD_NO;
      enum MHD_Result ok = on_body (x, bytes, *len);
      *len = 0;
      return ok;
    }
  switch (x->state)
    {
    case REQUEST_NEW:
      break;
    case REQUEST_READING:
      if (x->too_large)
        return refuse_locally (x, 413, "body-too-large");
      if (x->no_room)
        return refuse_locally (x, 503, "no-room-for-body");
      fr_request_read_trailer (x->conn, &x->body);
      if (!fr_body_is_whole (&x->body, x->request->u.request.body.len))
        return refuse_locally (x, 400, "bad-framing");
      if (x->request->u.request.bad_header)
        return refuse_locally (x, 400, "bad-header");
      return suspend (x);
    case REQUEST_WAITING:
      return MHD_YES;
    case REQUEST_ANSWERED:
      if (!x->answer)
        return MHD_NO; /* the caller has left */
      return queue_answer (x, &x->answer->u.answer);
    }
  return MHD_NO;
}

void
fr_deliver_answer (struct fr_server *s, struct tk_msg *m)
{
  struct exchange *x = zp_slots_get (&s->exchanges, m->u.answer.id);

  if (!x || x->state != REQUEST_WAITING)
    {
      zp_count (zp_counter ("zp_http_late_answers_total", ""), 1);
      tk_msg_free (m);
      return;
    }
  ev_io_stop (s->loop->ev, &x->leave_watcher);
  fr_response_check_status (&m->u.answer);
  /* The deciding task has freed the body of the request.  */
  if (!hold_instead (x, m->u.answer.body.len))
    fr_response_drop_body (&m->u.answer);
  x->answer = m;
  x->state = REQUEST_ANSWERED;
  MHD_resume_connection (x->conn);
}
