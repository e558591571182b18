#include "wire/conn.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/limits.h"
#include "wire/address.h"
#include "wire/frame.h"

/* Pause of a listener when the process has no file descriptor left.  */
#define ACCEPT_PAUSE (100 * ZP_MS)

struct wi_conn
{
  struct ev_loop *ev;
  int fd;
  ev_io reader;
  ev_io writer;
  struct wi_handlers handlers;
  void *self;
  struct zp_buf in;  /* received, not parsed yet */
  struct zp_buf out; /* queued for sending */
  size_t out_done;   /* bytes of OUT that are sent already */
  zp_time last_read;
  uint64_t bytes; /* sent and received */
  size_t frame_max;
  bool ready; /* established and not ended */
  bool ended;
  bool busy;  /* inside a handler call */
  bool freed; /* wi_conn_free was called while busy */
};

struct wi_listener
{
  struct ev_loop *ev;
  int fd;
  ev_io reader;
  ev_timer pause;
  wi_accept *accept;
  void *self;
};

/* Connections.  */

static void
release (struct wi_conn *c)
{
  ev_io_stop (c->ev, &c->reader);
  ev_io_stop (c->ev, &c->writer);
  if (c->fd >= 0)
    close (c->fd);
  zp_buf_free (&c->in);
  zp_buf_free (&c->out);
  free (c);
}

/* Ends the connection.  Calls on_end, once only.  */
static void
end (struct wi_conn *c, const struct zp_err *why)
{
  if (c->ended)
    return;
  c->ended = true;
  c->ready = false;
  ev_io_stop (c->ev, &c->reader);
  ev_io_stop (c->ev, &c->writer);
  c->handlers.on_end (c->self, c, why);
}

static void
end_errno (struct wi_conn *c, const char *what, int e)
{
  struct zp_err err;

  zp_fail (&err, e == ECONNREFUSED ? ZP_EUNAVAIL : ZP_EIO, "%s: %s", what,
           strerror (e));
  end (c, &err);
}

static void
deliver_frames (struct wi_conn *c)
{
  size_t done = 0;

  while (!c->freed && !c->ended)
    {
      uint8_t kind;
      struct zp_str payload;
      size_t used;
      struct zp_err err;
      struct zp_str rest
          = { .ptr = c->in.ptr + done, .len = c->in.len - done };

      switch (wi_frame_parse (rest, &kind, &payload, &used, &err))
        {
        case WI_PARSE_MORE:
          zp_buf_drop (&c->in, done);
          if (c->in.len <= c->frame_max + WI_HEADER_SIZE)
            return;
          zp_fail (&err, ZP_EINVAL, "a frame is longer than %zu bytes",
                   c->frame_max);
          end (c, &err);
          return;
        case WI_PARSE_FRAME:
          done += used;
          c->handlers.on_frame (c->self, c, kind, payload);
          break;
        case WI_PARSE_BAD:
          end (c, &err);
          return;
        }
    }
}

static void
on_readable (struct ev_loop *ev, ev_io *w, int events)
{
  struct wi_conn *c = w->data;
  char chunk[65536];

  (void) ev;
  (void) events;
  ssize_t n = recv (c->fd, chunk, sizeof chunk, 0);
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  c->busy = true;
  if (n < 0)
    end_errno (c, "receive", errno);
  else if (n == 0)
    {
      struct zp_err err;
      zp_fail (&err, ZP_EIO, "closed by the other side");
      end (c, &err);
    }
  else
    {
      c->last_read = zp_clock_mono ();
      c->bytes += (uint64_t) n;
      zp_buf_put_bytes (&c->in, chunk, (size_t) n);
      deliver_frames (c);
    }
  c->busy = false;
  if (c->freed)
    release (c);
}

/* Sends as much as the socket accepts, and the rest when it is writable.  */
static void
flush_out (struct wi_conn *c)
{
  while (c->out_done < c->out.len)
    {
      ssize_t n = send (c->fd, c->out.ptr + c->out_done,
                        c->out.len - c->out_done, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0 && errno == EAGAIN)
        {
          ev_io_start (c->ev, &c->writer);
          return;
        }
      if (n < 0)
        {
          /* on_readable will see the closed socket and call on_end, so that
             no handler runs inside wi_conn_send.  */
          shutdown (c->fd, SHUT_RDWR);
          ev_io_stop (c->ev, &c->writer);
          return;
        }
      c->bytes += (uint64_t) n;
      c->out_done += (size_t) n;
    }
  zp_buf_clear (&c->out);
  c->out_done = 0;
  ev_io_stop (c->ev, &c->writer);
}

static void
on_writable (struct ev_loop *ev, ev_io *w, int events)
{
  struct wi_conn *c = w->data;
  int e = 0;
  socklen_t len = sizeof e;

  (void) ev;
  (void) events;
  if (!c->ready)
    {
      getsockopt (c->fd, SOL_SOCKET, SO_ERROR, &e, &len);
      if (e != 0)
        {
          c->busy = true;
          end_errno (c, "connect", e);
          c->busy = false;
          if (c->freed)
            release (c);
          return;
        }
      c->ready = true;
      ev_io_start (c->ev, &c->reader);
    }
  flush_out (c);
}

static struct wi_conn *
conn_new (struct ev_loop *ev, int fd, const struct wi_handlers *h, void *self)
{
  struct wi_conn *c = zp_alloc (sizeof *c);
  int one = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  c->ev = ev;
  c->fd = fd;
  c->self = self;
  c->last_read = zp_clock_mono ();
  c->frame_max = ZP_FRAME_MAX;
  if (h)
    c->handlers = *h;
  ev_io_init (&c->reader, on_readable, fd, EV_READ);
  ev_io_init (&c->writer, on_writable, fd, EV_WRITE);
  c->reader.data = c;
  c->writer.data = c;
  return c;
}

struct wi_conn *
wi_conn_open (struct ev_loop *ev, struct zp_str address,
              const struct wi_handlers *h, void *self, struct zp_err *err)
{
  struct sockaddr_storage sa;
  socklen_t len;

  if (!wi_address_parse (address, &sa, &len, err))
    return NULL;
  int fd
      = socket (sa.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0
      || (connect (fd, (struct sockaddr *) &sa, len) < 0
          && errno != EINPROGRESS))
    {
      zp_fail (err, ZP_EIO, "connect %.*s: %s", ZP_ARG (address),
               strerror (errno));
      if (fd >= 0)
        close (fd);
      return NULL;
    }
  struct wi_conn *c = conn_new (ev, fd, h, self);
  ev_io_start (ev, &c->writer);
  return c;
}

void
wi_conn_free (struct wi_conn *c)
{
  if (!c)
    return;
  c->ended = true;
  if (c->busy)
    c->freed = true;
  else
    release (c);
}

void
wi_conn_set_handlers (struct wi_conn *c, const struct wi_handlers *h,
                      void *self)
{
  c->handlers = *h;
  c->self = self;
}

void
wi_conn_set_frame_max (struct wi_conn *c, size_t bytes)
{
  c->frame_max = bytes;
}

bool
wi_conn_send (struct wi_conn *c, uint8_t kind, struct zp_str payload)
{
  if (c->ended || c->out.len - c->out_done + payload.len > ZP_CONN_BACKLOG_MAX)
    return false;
  wi_frame_put (&c->out, kind, payload);
  if (c->ready && !ev_is_active (&c->writer))
    flush_out (c);
  return true;
}

bool
wi_conn_ready (const struct wi_conn *c)
{
  return c->ready;
}

zp_time
wi_conn_last_read (const struct wi_conn *c)
{
  return c->last_read;
}

uint64_t
wi_conn_bytes (const struct wi_conn *c)
{
  return c->bytes;
}

/* Listeners.  */

static void
on_acceptable (struct ev_loop *ev, ev_io *w, int events)
{
  struct wi_listener *l = w->data;

  (void) events;
  int fd = accept4 (l->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (fd < 0)
    {
      /* The connection stays in the queue, so that the socket is readable
         again at once.  */
      if (errno == EMFILE || errno == ENFILE)
        {
          ev_io_stop (ev, w);
          ev_timer_again (ev, &l->pause);
        }
      return;
    }
  struct wi_conn *c = conn_new (ev, fd, NULL, NULL);
  c->ready = true;
  l->accept (l->self, c);
  assert (c->handlers.on_frame && c->handlers.on_end);
  ev_io_start (ev, &c->reader);
}

static void
on_pause_over (struct ev_loop *ev, ev_timer *w, int events)
{
  struct wi_listener *l = w->data;

  (void) events;
  ev_timer_stop (ev, w);
  ev_io_start (ev, &l->reader);
}

struct wi_listener *
wi_listen (struct ev_loop *ev, struct zp_str address, wi_accept *accept,
           void *self, struct zp_err *err)
{
  struct sockaddr_storage sa;
  socklen_t len;
  int one = 1;

  if (!wi_address_parse (address, &sa, &len, err))
    return NULL;
  int fd
      = socket (sa.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (fd < 0 || bind (fd, (struct sockaddr *) &sa, len) < 0
      || listen (fd, SOMAXCONN) < 0)
    {
      zp_fail (err, ZP_EIO, "listen on %.*s: %s", ZP_ARG (address),
               strerror (errno));
      if (fd >= 0)
        close (fd);
      return NULL;
    }
  struct wi_listener *l = zp_alloc (sizeof *l);
  *l = (struct wi_listener){
    .ev = ev, .fd = fd, .accept = accept, .self = self
  };
  ev_io_init (&l->reader, on_acceptable, fd, EV_READ);
  l->reader.data = l;
  ev_timer_init (&l->pause, on_pause_over, 0.0,
                 (double) ACCEPT_PAUSE / ZP_SEC);
  l->pause.data = l;
  ev_io_start (ev, &l->reader);
  return l;
}

void
wi_listener_free (struct wi_listener *l)
{
  if (!l)
    return;
  ev_io_stop (l->ev, &l->reader);
  ev_timer_stop (l->ev, &l->pause);
  close (l->fd);
  free (l);
}
