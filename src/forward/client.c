#include "forward/client.h"

#include <assert.h>
#include <curl/curl.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/limits.h"
#include "forward/transfer.h"

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

/* Callbacks of one transfer.  */

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
  fw_transfer_drop_body (longest);
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
  if (fw_transfer_body_end (t) == TK_BODY_TO_CLOSE)
    fw_proof_begin (t);
  return size * n;
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
    fw_note_stray_bytes (c, fw_pool_server_of (&c->pool, fd));
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
         && fw_transfer_body_end (t) != TK_BODY_TO_CLOSE
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
      fw_transfer_finish (t, TK_END_TIMEOUT, ZP_NOT_RUN);
      return;
    }
  /* Another connection, where no copy of an earlier answer can arrive.  */
  if (m->u.forward.request_id.len > 0
      && fw_recent_note (&c->recent, zp_str_of (&m->u.forward.request_id),
                         zp_str_from (m->u.forward.address), t->start))
    m->u.forward.fresh_connection = true;
  t->alone = fw_suspects_has (&c->suspects, fw_transfer_server (t), t->start);
  fw_transfer_set_options (t, left);
  set_callbacks (t);
  if (curl_multi_add_handle (c->multi, t->easy) != CURLM_OK)
    fw_transfer_finish (t, TK_END_NO_CONNECT, ZP_NOT_RUN);
}

static void
cancel_transfer (struct fw_client *c, uint64_t id)
{
  for (struct fw_transfer *t = c->active.next; t != &c->active; t = t->next)
    if (t->request->u.forward.id == id)
      {
        fw_transfer_finish (t, TK_END_CANCELLED,
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
      fw_transfer_finish_by_result (t, m->data.result);
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
      fw_transfer_free (t);
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
