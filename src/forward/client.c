#include "forward/client.h"

#include <assert.h>
#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/counter.h"
#include "base/limits.h"
#include "base/log.h"
#include "forward/copy.h"
#include "forward/transfer.h"

#define PART "forward"

/* Limit of idle connections to all backend servers together: one for each slot
   of 270 servers with 6 slots, and below the default limit of file
   descriptors.  */
#define IDLE_CONNECTIONS 1620L

/* Watches one socket of libcurl in the event loop.  */
struct socket_watcher
{
  ev_io io;
  struct fw_client *client;
};

static uint64_t
server_of (const struct fw_transfer *t)
{
  return fw_pool_server (zp_str_from (t->request->u.forward.address));
}

/* SERVER has sent bytes that belong to no answer.  */
static void
note_stray_bytes (struct fw_client *c, uint64_t server)
{
  zp_count (zp_counter ("zp_forward_stray_bytes_total", ""), 1);
  fw_suspects_note (&c->suspects, server, zp_clock_mono ());
}

/* Callbacks of one transfer.  */

static enum tk_body_end
body_end (const struct fw_framing *f)
{
  if (f->state != FW_IN_BODY)
    return TK_BODY_UNKNOWN;
  switch (f->body.kind)
    {
    case FW_BODY_TO_CLOSE:
      return TK_BODY_TO_CLOSE;
    case FW_BODY_LENGTH:
      return TK_BODY_LENGTH;
    case FW_BODY_CHUNKED:
      return TK_BODY_CHUNKED;
    case FW_BODY_NONE:
      break;
    }
  return TK_BODY_NONE;
}

/* libcurl calls this when a connection is ready, before the first byte of the
   request is sent.  The socket of a connection that is used again is found by
   its local port, because libcurl can read the answer before it calls
   on_socket_change.  Prevents a second send, and one after the deadline: the
   process can have been paused since the transfer began.  */
static int
on_send (void *self, char *primary_ip, char *local_ip, int primary_port,
         int local_port)
{
  struct fw_transfer *t = self;

  (void) primary_ip;
  (void) local_ip;
  (void) primary_port;
  if (t->sends > 0 || zp_clock_mono () >= t->request->u.forward.deadline)
    return CURL_PREREQFUNC_ABORT;
  if (t->fd == CURL_SOCKET_BAD)
    t->fd = fw_pool_find (&t->client->pool,
                          zp_str_from (t->request->u.forward.address),
                          local_port);
  else
    fw_pool_note_port (&t->client->pool, t->fd, local_port);
  t->sends++;
  t->sent = zp_clock_mono ();
  return CURL_PREREQFUNC_OK;
}

/* Drops the body that T has received.  */
static void
drop_body (struct fw_transfer *t)
{
  struct zp_buf *body = &t->done->u.done.body;

  t->client->body_bytes -= body->len;
  zp_buf_free (body);
}

/* Drops the longest body, so that an answer without end is ended and not those
   of other servers.  Its transfer ends with its next byte or at its
   deadline.  */
static void
crowd_out (struct fw_client *c)
{
  struct fw_transfer *longest = c->active.next;

  for (struct fw_transfer *t = c->active.next; t != &c->active; t = t->next)
    if (t->done->u.done.body.len > longest->done->u.done.body.len)
      longest = t;
  longest->crowded_out = true;
  drop_body (longest);
}

/* Appends BYTES to the body of T.  Returns false when they exceed a limit.  */
static bool
append_body (struct fw_transfer *t, struct zp_str bytes)
{
  struct fw_client *c = t->client;

  t->received += bytes.len;
  if (t->received > ZP_ANSWER_BODY_MAX)
    return false;
  while (c->body_bytes + bytes.len > ZP_ANSWER_BODIES_MAX && !t->crowded_out)
    crowd_out (c);
  if (t->crowded_out)
    return false;
  zp_buf_put (&t->done->u.done.body, bytes);
  c->body_bytes += bytes.len;
  return true;
}

static size_t
on_body (char *bytes, size_t size, size_t n, void *self)
{
  struct fw_transfer *t = self;
  struct zp_str rest = { .ptr = bytes, .len = size * n }, body;

  if (!fw_pace_allows (t, size * n))
    return CURL_WRITEFUNC_PAUSE;
  while (rest.len > 0)
    if (!fw_answer_bytes (&t->answer, &rest, &body, &t->done->u.done)
        || !append_body (t, body))
      return 0;
  return size * n;
}

static size_t
on_header (char *bytes, size_t size, size_t n, void *self)
{
  struct fw_transfer *t = self;
  struct zp_str line = { .ptr = bytes, .len = size * n };
  long connects = 0;

  curl_easy_getinfo (t->easy, CURLINFO_NUM_CONNECTS, &connects);
  t->answer.reused = connects == 0;
  if (!fw_answer_line (&t->answer, line, &t->done->u.done))
    return 0;
  if (body_end (&t->answer.framing) == TK_BODY_TO_CLOSE)
    fw_proof_begin (t);
  return size * n;
}

/* Transfers.  */

static void
transfer_unlink (struct fw_transfer *t)
{
  t->prev->next = t->next;
  t->next->prev = t->prev;
}

/* Closes the connection of T if its answer is not complete.  */
static void
transfer_free (struct fw_transfer *t)
{
  fw_proof_free (t);
  fw_pace_forget (t);
  fw_answer_free (&t->answer);
  curl_multi_remove_handle (t->client->multi, t->easy);
  curl_easy_cleanup (t->easy);
  curl_slist_free_all (t->headers);
  transfer_unlink (t);
  tk_msg_free (t->request);
  if (t->done)
    {
      drop_body (t);
      tk_msg_free (t->done);
    }
  free (t);
}

/* Fills in what the log tells of an attempt and its connection.  */
static void
describe_end (const struct fw_transfer *t, struct tk_forward_done *d)
{
  long connects = 0;

  d->body_end = body_end (&t->answer.framing);
  d->received = t->received;
  d->head_bytes = t->answer.head_bytes;
  if (t->sends == 0)
    return;
  curl_easy_getinfo (t->easy, CURLINFO_NUM_CONNECTS, &connects);
  d->reused = connects == 0;
}

/* Sends TK_FORWARD_DONE and frees T.  Of an answer that is not whole nothing
   is passed on.  */
static void
finish (struct fw_transfer *t, enum tk_forward_end end,
        enum zp_verdict verdict)
{
  struct fw_client *c = t->client;
  struct tk_msg *m = t->done;
  struct tk_forward_done *d = &m->u.done;

  if (end != TK_END_ANSWER)
    {
      drop_body (t);
      zp_buf_clear (&d->headers);
      zp_buf_clear (&d->content_type);
      d->status = 0;
      d->leaving = false;
      d->stamped = false;
      d->load = (struct tk_server_load){ .known = false };
    }
  c->body_bytes -= d->body.len;
  describe_end (t, d);
  if (d->status != 503)
    d->retry_after = 0;
  t->done = NULL;
  d->end = end;
  d->verdict = verdict;
  d->elapsed = (t->ended > 0 ? t->ended : zp_clock_mono ()) - t->start;
  transfer_free (t);
  tk_send (c->reply_to, m);
}

static void
count_answer (enum tk_body_end end)
{
  char labels[64];

  snprintf (labels, sizeof labels, "body_end=\"%.*s\"",
            ZP_ARG (tk_body_end_name (end)));
  zp_count (zp_counter ("zp_forward_answers_total", labels), 1);
}

/* Finishes T, whose answer has arrived whole.  */
static void
finish_answer (struct fw_transfer *t)
{
  struct tk_forward_done *d = &t->done->u.done;
  curl_off_t us = 0;

  d->status = t->answer.framing.status;
  if (!t->answer.reused)
    {
      curl_easy_getinfo (t->easy, CURLINFO_CONNECT_TIME_T, &us);
      d->connect = (zp_time) us;
    }
  count_answer (body_end (&t->answer.framing));
  fw_pool_note_answer (&t->client->pool, t->fd,
                       fw_answer_size (&t->answer, t->received),
                       zp_clock_mono ());
  finish (t, TK_END_ANSWER, fw_answer_verdict (&t->answer, d->status));
}

/* What the connection of T has brought behind its whole answer.  */
static struct fw_surplus
surplus_of (const struct fw_transfer *t)
{
  uint64_t size = fw_answer_size (&t->answer, t->received);
  uint64_t pending = t->pending;
  bool known = t->closed ? t->knows_pending
                         : fw_pool_pending (&t->client->pool, t->fd, &pending);

  if (!known)
    return (struct fw_surplus){ .kind = FW_SURPLUS_UNKNOWN };
  return (struct fw_surplus){ .kind = FW_SURPLUS_KNOWN,
                              .u.bytes = pending > size ? pending - size : 0 };
}

static bool
has_surplus (const struct fw_transfer *t)
{
  struct fw_surplus s = surplus_of (t);

  switch (s.kind)
    {
    case FW_SURPLUS_KNOWN:
      return s.u.bytes > 0;
    case FW_SURPLUS_UNKNOWN:
      break;
    }
  return false;
}

/* Counts and logs why an answer that has begun is not passed on.  */
static void
note_unusable (const struct fw_transfer *t, enum fw_answer_state state,
               CURLcode result)
{
  const char *address = t->request->u.forward.address;
  struct zp_str id = zp_str_of (&t->request->u.forward.request_id);

  switch (state)
    {
    case FW_ANSWER_WHOLE:
      return;
    case FW_ANSWER_FOREIGN:
      zp_count (zp_counter ("zp_forward_crossed_answers_total", ""), 1);
      zp_log (ZP_LOG_WARNING, PART,
              "dropped an answer from %s: it is not the answer to request "
              "%.*s that was sent",
              address, ZP_ARG (id));
      return;
    case FW_ANSWER_MALFORMED:
      zp_count (zp_counter ("zp_forward_malformed_answers_total", ""), 1);
      zp_log (ZP_LOG_WARNING, PART,
              "dropped an answer from %s to request %.*s: its head or a "
              "chunk is malformed or too long",
              address, ZP_ARG (id));
      return;
    case FW_ANSWER_SPLICED:
      zp_count (zp_counter ("zp_forward_spliced_answers_total", ""), 1);
      zp_log (ZP_LOG_WARNING, PART,
              "dropped an answer from %s to request %.*s: its body of %llu "
              "bytes has the begin of another answer, and %s",
              address, ZP_ARG (id), (unsigned long long) t->received,
              has_surplus (t) ? "more bytes follow" : "no bytes follow");
      return;
    case FW_ANSWER_CUT:
      if (t->answer.head_bytes == 0)
        return;
      zp_count (zp_counter ("zp_forward_cut_answers_total", ""), 1);
      zp_log (ZP_LOG_WARNING, PART,
              "dropped an answer from %s to request %.*s: it ended early, "
              "after %zu bytes of its head and %zu of its body: %s",
              address, ZP_ARG (id), t->answer.head_bytes,
              t->done->u.done.body.len, curl_easy_strerror (result));
      return;
    }
}

void
fw_transfer_finish_proof (struct fw_transfer *t, bool whole,
                          const char *reason)
{
  struct zp_str id = zp_str_of (&t->request->u.forward.request_id);

  zp_count (zp_counter ("zp_forward_unframed_answers_total",
                        whole ? "whole=\"yes\"" : "whole=\"no\""),
            1);
  zp_log (whole ? ZP_LOG_INFO : ZP_LOG_WARNING, PART,
          "%s an answer from %s to request %.*s that ended with its "
          "connection, after %llu bytes: %s",
          whole ? "passed on" : "dropped", t->request->u.forward.address,
          ZP_ARG (id), (unsigned long long) t->received, reason);
  if (whole && !t->crowded_out)
    {
      finish_answer (t);
      return;
    }
  t->done->u.done.unproved = true;
  finish (t, TK_END_LOST, ZP_MAY_HAVE_RUN);
}

/* Whether the server of T, whose answer ended in STATE, has sent bytes that
   belong to no answer.  On a new connection a malformed answer is only
   spoiled.  */
static bool
shows_stray_bytes (const struct fw_transfer *t, enum fw_answer_state state)
{
  switch (state)
    {
    case FW_ANSWER_FOREIGN:
    case FW_ANSWER_SPLICED:
      return true;
    case FW_ANSWER_MALFORMED:
      return t->answer.reused;
    case FW_ANSWER_WHOLE:
    case FW_ANSWER_CUT:
      break;
    }
  return false;
}

static enum fw_answer_state
state_of (const struct fw_transfer *t, CURLcode result)
{
  bool ended = result == CURLE_OK || t->early;
  struct zp_str body = zp_str_of (&t->done->u.done.body);
  enum fw_answer_state state = fw_answer_state (&t->answer, ended, body.len);

  if (state == FW_ANSWER_WHOLE
      && body_end (&t->answer.framing) != TK_BODY_TO_CLOSE
      && fw_copy_completes (&t->answer, body, surplus_of (t)))
    return FW_ANSWER_SPLICED;
  return state;
}

static void
finish_by_result (struct fw_transfer *t, CURLcode result)
{
  enum fw_answer_state state = state_of (t, result);

  if (state == FW_ANSWER_WHOLE && !t->crowded_out)
    {
      t->ended = zp_clock_mono ();
      if (t->closed && has_surplus (t))
        note_stray_bytes (t->client, server_of (t));
      if (body_end (&t->answer.framing) == TK_BODY_TO_CLOSE)
        fw_proof_end_answer (t);
      else
        finish_answer (t);
      return;
    }
  note_unusable (t, state, result);
  if (shows_stray_bytes (t, state))
    note_stray_bytes (t->client, server_of (t));
  if (t->sends == 0)
    finish (t,
            zp_clock_mono () >= t->request->u.forward.deadline
                ? TK_END_TIMEOUT
                : TK_END_NO_CONNECT,
            ZP_NOT_RUN);
  else
    finish (t,
            result == CURLE_OPERATION_TIMEDOUT ? TK_END_TIMEOUT : TK_END_LOST,
            ZP_MAY_HAVE_RUN);
}

static curl_socket_t
on_open (void *self, curlsocktype purpose, struct curl_sockaddr *to)
{
  struct fw_transfer *t = self;
  curl_socket_t fd
      = socket (to->family, to->socktype | SOCK_CLOEXEC, to->protocol);

  (void) purpose;
  t->fd = CURL_SOCKET_BAD;
  t->closed = false;
  if (fd < 0)
    return CURL_SOCKET_BAD;
  t->fd = fd;
  fw_pool_add (&t->client->pool, fd,
               zp_str_from (t->request->u.forward.address));
  return fd;
}

/* Outlives the transfer that has opened the connection.  */
static int
on_close (void *self, curl_socket_t fd)
{
  struct fw_client *c = self;
  bool serves = false;
  uint64_t pending = 0;
  bool known = fw_pool_pending (&c->pool, fd, &pending);

  for (struct fw_transfer *t = c->active.next; t != &c->active; t = t->next)
    if (t->fd == fd)
      {
        t->fd = CURL_SOCKET_BAD;
        t->closed = serves = true;
        t->knows_pending = known;
        t->pending = pending;
      }
  if (!serves && pending > 0)
    note_stray_bytes (c, fw_pool_server_of (&c->pool, fd));
  fw_pool_remove (&c->pool, fd);
  return close (fd);
}

/* Whether the answer of T is whole although only SENT bytes of the request's
   body were sent.  libcurl would go on to send the rest until the deadline,
   which the server need not read.  */
static bool
is_early (const struct fw_transfer *t, uint64_t sent)
{
  return sent < t->request->u.forward.body.len
         && body_end (&t->answer.framing) != TK_BODY_TO_CLOSE
         && fw_answer_state (&t->answer, true, t->received) == FW_ANSWER_WHOLE;
}

/* libcurl calls this whenever it has moved bytes; it ends the transfer, and
   closes the connection, when the result is not 0.  */
static int
on_progress (void *self, curl_off_t down_total, curl_off_t down,
             curl_off_t up_total, curl_off_t up)
{
  struct fw_transfer *t = self;

  (void) down_total;
  (void) down;
  (void) up_total;
  t->early = is_early (t, (uint64_t) up);
  return t->early || fw_pace_has_excess (t);
}

static void
set_callbacks (struct fw_transfer *t)
{
  CURL *e = t->easy;

  curl_easy_setopt (e, CURLOPT_OPENSOCKETFUNCTION, on_open);
  curl_easy_setopt (e, CURLOPT_OPENSOCKETDATA, t);
  curl_easy_setopt (e, CURLOPT_CLOSESOCKETFUNCTION, on_close);
  curl_easy_setopt (e, CURLOPT_CLOSESOCKETDATA, t->client);

  curl_easy_setopt (e, CURLOPT_PREREQFUNCTION, on_send);
  curl_easy_setopt (e, CURLOPT_PREREQDATA, t);
  curl_easy_setopt (e, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (e, CURLOPT_WRITEDATA, t);
  curl_easy_setopt (e, CURLOPT_XFERINFOFUNCTION, on_progress);
  curl_easy_setopt (e, CURLOPT_XFERINFODATA, t);
  curl_easy_setopt (e, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt (e, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (e, CURLOPT_HEADERDATA, t);
}

/* Takes ownership of M.  */
static void
start_transfer (struct fw_client *c, struct tk_msg *m)
{
  struct fw_transfer *t = zp_alloc (sizeof *t);

  t->client = c;
  t->fd = CURL_SOCKET_BAD;
  t->request = m;
  t->start = zp_clock_mono ();
  t->done = tk_msg_new (TK_FORWARD_DONE);
  t->done->u.done.id = m->u.forward.id;
  t->answer = (struct fw_answer){
    .names = c->names,
    .request_id = zp_str_of (&m->u.forward.request_id),
    .expects_instance = m->u.forward.expect[0] != '\0',
    .framing.head_request
    = zp_str_eq (zp_str_of (&m->u.forward.method), ZP_STR ("HEAD")),
  };
  t->next = c->active.next;
  t->prev = &c->active;
  t->next->prev = t;
  c->active.next = t;
  t->easy = curl_easy_init ();
  if (!t->easy)
    abort ();
  zp_time left = m->u.forward.deadline - t->start;
  if (left <= 0)
    {
      finish (t, TK_END_TIMEOUT, ZP_NOT_RUN);
      return;
    }
  /* Another connection, where no copy of an earlier answer can arrive.  */
  if (m->u.forward.request_id.len > 0
      && fw_recent_note (&c->recent, zp_str_of (&m->u.forward.request_id),
                         zp_str_from (m->u.forward.address), t->start))
    m->u.forward.fresh_connection = true;
  t->alone = fw_suspects_has (&c->suspects, server_of (t), t->start);
  fw_transfer_set_options (t, left);
  set_callbacks (t);
  if (curl_multi_add_handle (c->multi, t->easy) != CURLM_OK)
    finish (t, TK_END_NO_CONNECT, ZP_NOT_RUN);
}

static void
cancel_transfer (struct fw_client *c, uint64_t id)
{
  for (struct fw_transfer *t = c->active.next; t != &c->active; t = t->next)
    if (t->request->u.forward.id == id)
      {
        finish (t, TK_END_CANCELLED,
                t->sends == 0 ? ZP_NOT_RUN : ZP_MAY_HAVE_RUN);
        return;
      }
}

/* Event loop.  */

static void
finish_completed (struct fw_client *c)
{
  CURLMsg *m;
  int left;

  while ((m = curl_multi_info_read (c->multi, &left)))
    {
      struct fw_transfer *t = NULL;
      if (m->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (m->easy_handle, CURLINFO_PRIVATE, (char **) &t);
      finish_by_result (t, m->data.result);
    }
}

static void
on_socket_ready (struct ev_loop *ev, ev_io *w, int events)
{
  struct socket_watcher *x = w->data;
  struct fw_client *c = x->client;
  int running;
  int mask = (events & EV_READ ? CURL_CSELECT_IN : 0)
             | (events & EV_WRITE ? CURL_CSELECT_OUT : 0);

  (void) ev;
  curl_multi_socket_action (c->multi, w->fd, mask, &running);
  finish_completed (c);
}

static void
on_timeout (struct ev_loop *ev, ev_timer *w, int events)
{
  struct fw_client *c = w->data;
  int running;

  (void) ev;
  (void) events;
  curl_multi_socket_action (c->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  finish_completed (c);
}

static int
on_socket_change (CURL *easy, curl_socket_t fd, int what, void *self,
                  void *data)
{
  struct fw_client *c = self;
  struct socket_watcher *x = data;
  struct fw_transfer *t = NULL;

  if (what == CURL_POLL_REMOVE)
    {
      if (x)
        {
          ev_io_stop (c->loop->ev, &x->io);
          free (x);
        }
      curl_multi_assign (c->multi, fd, NULL);
      return 0;
    }
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, (char **) &t);
  if (t)
    t->fd = fd;
  if (!x)
    {
      x = zp_alloc (sizeof *x);
      x->client = c;
      x->io.data = x;
      curl_multi_assign (c->multi, fd, x);
    }
  else
    ev_io_stop (c->loop->ev, &x->io);
  ev_io_init (&x->io, on_socket_ready, fd,
              (what & CURL_POLL_IN ? EV_READ : 0)
                  | (what & CURL_POLL_OUT ? EV_WRITE : 0));
  ev_io_start (c->loop->ev, &x->io);
  return 0;
}

static int
on_timer_change (CURLM *multi, long ms, void *self)
{
  struct fw_client *c = self;

  (void) multi;
  ev_timer_stop (c->loop->ev, &c->timer);
  if (ms >= 0)
    {
      ev_timer_set (&c->timer, (double) ms / 1000.0, 0.0);
      ev_timer_start (c->loop->ev, &c->timer);
    }
  return 0;
}

static void
on_message (void *self, struct tk_msg *m)
{
  struct fw_client *c = self;

  switch (m->kind)
    {
    case TK_FORWARD:
      start_transfer (c, m);
      return;
    case TK_FORWARD_CANCEL:
      cancel_transfer (c, m->u.cancel.id);
      break;
    default:
      assert (!"message kind that the forward task does not handle");
    }
  tk_msg_free (m);
}

/* Set-up.  */

struct fw_client *
fw_client_open (struct tk_loop *l, struct tk_task *reply_to)
{
  return fw_client_open_with (l, reply_to, &fr_header_names_default);
}

struct fw_client *
fw_client_open_with (struct tk_loop *l, struct tk_task *reply_to,
                     const struct fr_header_names *names)
{
  struct fw_client *c = zp_alloc (sizeof *c);

  if (curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    abort ();
  c->loop = l;
  c->reply_to = reply_to;
  c->names = names;
  c->active.next = &c->active;
  c->active.prev = &c->active;
  c->multi = curl_multi_init ();
  if (!c->multi)
    abort ();
  ev_timer_init (&c->timer, on_timeout, 0.0, 0.0);
  c->timer.data = c;
  curl_multi_setopt (c->multi, CURLMOPT_SOCKETFUNCTION, on_socket_change);
  curl_multi_setopt (c->multi, CURLMOPT_SOCKETDATA, c);
  curl_multi_setopt (c->multi, CURLMOPT_TIMERFUNCTION, on_timer_change);
  curl_multi_setopt (c->multi, CURLMOPT_TIMERDATA, c);
  curl_multi_setopt (c->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  curl_multi_setopt (c->multi, CURLMOPT_MAXCONNECTS, IDLE_CONNECTIONS);
  tk_task_init (&c->task, l, on_message, c);
  fw_pace_start (c);
  return c;
}

struct tk_task *
fw_client_task (struct fw_client *c)
{
  return &c->task;
}

void
fw_client_close (struct fw_client *c)
{
  if (!c)
    return;
  for (struct fw_transfer *t = c->active.next, *next; t != &c->active;
       t = next)
    {
      next = t->next;
      transfer_free (t);
    }
  fw_keepers_free (c);
  curl_multi_cleanup (c->multi);
  fw_pool_free (&c->pool);
  fw_recent_free (&c->recent);
  fw_suspects_free (&c->suspects);
  fw_pace_stop (c);
  ev_timer_stop (c->loop->ev, &c->timer);
  tk_task_free (&c->task);
  free (c);
}
