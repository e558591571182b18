/* A loopback TCP proxy that injects faults on command, for the fault soak.

   Usage: zp-proxy --settings FILE, where "ways" is a list of "LISTEN=TARGET",
   the address of a listener and the address that it forwards to.

   Commands come on standard input, one a line: LISTEN MODE.  LISTEN is the
   address of a listener or the beginning of several.  MODE is one of

     pass        forward in both directions; ends delay, hold and refuse
     delay:MS    forward bytes MS after they were received
     hold-in     stop forwarding towards the target; bytes are buffered
     hold-out    stop forwarding from the target; bytes are buffered
     silent      the open connections forward nothing any more
     reset       the open connections are reset
     refuse      open and new connections are reset, until "pass"

   A process behind the proxy advertises LISTEN to the other processes in place
   of its own address.  */

#include <errno.h>
#include <ev.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/arguments.h"
#include "base/clock.h"
#include "base/limits.h"
#include "base/log.h"
#include "base/settings.h"
#include "wire/address.h"

#define PART "proxy"
#define READ_MAX 65536 /* bytes of one read */
/* Bytes that are buffered in one direction.  When they are reached, the proxy
   stops reading, as when a socket buffer is full.  */
#define BUFFER_MAX 1048576
#define BACKLOG 1024    /* connections */
#define COMMAND_MAX 200 /* bytes */

struct listener;

/* One direction of a connection.  */
struct stream
{
  int from, to;
  ev_io readable, writable;
  ev_timer timer; /* runs until READY_AT */
  struct zp_buf buffer;
  zp_time ready_at; /* when the buffer may be forwarded */
  bool ended;       /* the sender has closed its direction */
  struct conn *conn;
};

/* An accepted connection and the one to its target.  */
struct conn
{
  struct listener *listener;
  struct stream in, out; /* to the target and from it */
  bool silent;           /* forwards nothing any more */
  struct conn *next, **prev_next;
};

struct listener
{
  struct proxy *proxy;
  char listen[ZP_ADDRESS_MAX];
  struct sockaddr_storage target;
  socklen_t target_len;
  int fd;
  ev_io accept;
  zp_time delay;
  bool hold_in, hold_out, refuse;
  struct conn *conns;
};

struct proxy
{
  struct ev_loop *ev;
  struct zp_settings file;
  struct zp_strs listeners;
  struct listener *listener;
  ev_io commands;
  ev_signal term;
  char line[COMMAND_MAX];
  size_t line_len;
};

static void
end_conn (struct conn *c, bool reset)
{
  struct ev_loop *ev = c->listener->proxy->ev;
  struct stream *streams[] = { &c->in, &c->out };
  struct linger reset_on_close = { .l_onoff = 1, .l_linger = 0 };

  for (int i = 0; i < 2; i++)
    {
      ev_io_stop (ev, &streams[i]->readable);
      ev_io_stop (ev, &streams[i]->writable);
      ev_timer_stop (ev, &streams[i]->timer);
      zp_buf_free (&streams[i]->buffer);
      if (reset)
        setsockopt (streams[i]->from, SOL_SOCKET, SO_LINGER, &reset_on_close,
                    sizeof reset_on_close);
      close (streams[i]->from);
    }
  *c->prev_next = c->next;
  if (c->next)
    c->next->prev_next = c->prev_next;
  free (c);
}

static bool
is_held (const struct stream *s)
{
  const struct conn *c = s->conn;

  return c->silent
         || (s == &c->in ? c->listener->hold_in : c->listener->hold_out);
}

/* Starts the watchers of S that its state allows, and stops the others.  */
static void
update (struct stream *s)
{
  struct ev_loop *ev = s->conn->listener->proxy->ev;
  zp_time now = zp_clock_mono ();
  bool has_output = s->buffer.len > 0 || s->ended;

  ev_io_stop (ev, &s->readable);
  ev_io_stop (ev, &s->writable);
  ev_timer_stop (ev, &s->timer);
  if (!s->ended && s->buffer.len < BUFFER_MAX && !s->conn->silent)
    ev_io_start (ev, &s->readable);
  if (!has_output || is_held (s))
    return;
  if (now >= s->ready_at)
    {
      ev_io_start (ev, &s->writable);
      return;
    }
  ev_timer_set (&s->timer, (double) (s->ready_at - now) / ZP_SEC, 0.0);
  ev_timer_start (ev, &s->timer);
}

static void
on_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  (void) ev, (void) events;
  update (w->data);
}

static void
on_readable (struct ev_loop *ev, ev_io *w, int events)
{
  struct stream *s = w->data;
  char bytes[READ_MAX];
  ssize_t n = read (s->from, bytes, sizeof bytes);

  (void) ev, (void) events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n < 0)
    {
      end_conn (s->conn, true);
      return;
    }
  if (s->buffer.len == 0)
    s->ready_at = zp_clock_mono () + s->conn->listener->delay;
  if (n == 0)
    s->ended = true;
  else
    zp_buf_put_bytes (&s->buffer, bytes, (size_t) n);
  update (s);
}

static void
on_writable (struct ev_loop *ev, ev_io *w, int events)
{
  struct stream *s = w->data;
  struct conn *c = s->conn;

  (void) ev, (void) events;
  if (s->buffer.len > 0)
    {
      ssize_t n = send (s->to, s->buffer.ptr, s->buffer.len, MSG_NOSIGNAL);
      if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
      if (n < 0)
        {
          end_conn (c, true);
          return;
        }
      zp_buf_drop (&s->buffer, (size_t) n);
    }
  if (s->buffer.len == 0 && s->ended)
    {
      shutdown (s->to, SHUT_WR);
      if (c->in.ended && c->out.ended && c->in.buffer.len == 0
          && c->out.buffer.len == 0)
        {
          end_conn (c, false);
          return;
        }
      ev_io_stop (ev, &s->writable);
      return;
    }
  update (s);
}

static void
stream_init (struct stream *s, struct conn *c, int from, int to)
{
  *s = (struct stream){ .from = from, .to = to, .conn = c };
  ev_io_init (&s->readable, on_readable, from, EV_READ);
  ev_io_init (&s->writable, on_writable, to, EV_WRITE);
  ev_timer_init (&s->timer, on_timer, 0.0, 0.0);
  s->readable.data = s->writable.data = s->timer.data = s;
}

static void
on_accept (struct ev_loop *ev, ev_io *w, int events)
{
  struct listener *l = w->data;
  int one = 1;
  int fd = accept4 (l->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  (void) ev, (void) events;
  if (fd < 0)
    return;
  int to = socket (l->target.ss_family,
                   SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (to < 0
      || (connect (to, (struct sockaddr *) &l->target, l->target_len) < 0
          && errno != EINPROGRESS))
    {
      zp_log (ZP_LOG_ERR, PART, "%s: %m", l->listen);
      close (fd);
      if (to >= 0)
        close (to);
      return;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  setsockopt (to, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  struct conn *c = zp_alloc (sizeof *c);
  *c = (struct conn){ .listener = l,
                      .next = l->conns,
                      .prev_next = &l->conns };
  if (c->next)
    c->next->prev_next = &c->next;
  l->conns = c;
  stream_init (&c->in, c, fd, to);
  stream_init (&c->out, c, to, fd);
  if (l->refuse)
    {
      end_conn (c, true);
      return;
    }
  update (&c->in);
  update (&c->out);
}

/* Commands.  */

static bool
set_mode (struct listener *l, struct zp_str mode)
{
  struct zp_str name, value;
  struct conn *next;
  uint64_t ms = 0;

  zp_str_split (mode, ':', &name, &value);
  if (zp_str_eq (name, ZP_STR ("pass")))
    {
      l->hold_in = l->hold_out = l->refuse = false;
      l->delay = 0;
    }
  else if (zp_str_eq (name, ZP_STR ("delay")) && zp_str_u64 (value, &ms))
    l->delay = (zp_time) ms * ZP_MS;
  else if (zp_str_eq (name, ZP_STR ("hold-in")))
    l->hold_in = true;
  else if (zp_str_eq (name, ZP_STR ("hold-out")))
    l->hold_out = true;
  else if (zp_str_eq (name, ZP_STR ("refuse")))
    l->refuse = true;
  else if (!zp_str_eq (name, ZP_STR ("silent"))
           && !zp_str_eq (name, ZP_STR ("reset")))
    return false;
  for (struct conn *c = l->conns; c; c = next)
    {
      next = c->next;
      if (zp_str_eq (name, ZP_STR ("reset")) || l->refuse)
        {
          end_conn (c, true);
          continue;
        }
      c->silent = c->silent || zp_str_eq (name, ZP_STR ("silent"));
      update (&c->in);
      update (&c->out);
    }
  return true;
}

static void
command (struct proxy *p, struct zp_str line)
{
  struct zp_str prefix, mode;
  size_t found = 0;

  zp_str_split (line, ' ', &prefix, &mode);
  for (size_t i = 0; i < p->listeners.len; i++)
    if (zp_str_starts (zp_str_from (p->listener[i].listen), prefix))
      found += set_mode (&p->listener[i], mode);
  zp_log (found > 0 ? ZP_LOG_NOTICE : ZP_LOG_ERR, PART, "%.*s: %zu listeners",
          ZP_ARG (line), found);
}

static void
on_command (struct ev_loop *ev, ev_io *w, int events)
{
  struct proxy *p = w->data;
  char c;
  ssize_t n;

  (void) events;
  while ((n = read (STDIN_FILENO, &c, 1)) == 1)
    {
      if (c != '\n' && p->line_len < sizeof p->line)
        p->line[p->line_len++] = c;
      if (c != '\n')
        continue;
      command (p, (struct zp_str){ .ptr = p->line, .len = p->line_len });
      p->line_len = 0;
    }
  if (n == 0)
    ev_io_stop (ev, w);
}

static void
on_term (struct ev_loop *ev, ev_signal *w, int events)
{
  (void) w, (void) events;
  ev_break (ev, EVBREAK_ALL);
}

static bool
open_listener (struct proxy *p, struct listener *l, struct zp_str text,
               struct zp_err *err)
{
  struct zp_str listen_at, target;
  struct sockaddr_storage sa;
  socklen_t len;
  int one = 1;

  *l = (struct listener){ .proxy = p };
  if (!zp_str_split (text, '=', &listen_at, &target)
      || !zp_str_copy (l->listen, sizeof l->listen, listen_at))
    return zp_fail (err, ZP_EINVAL, "\"%.*s\" is not LISTEN=TARGET",
                    ZP_ARG (text));
  if (!wi_address_parse (listen_at, &sa, &len, err)
      || !wi_address_parse (target, &l->target, &l->target_len, err))
    return false;
  l->fd = socket (sa.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (l->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (l->fd < 0 || bind (l->fd, (struct sockaddr *) &sa, len) < 0
      || listen (l->fd, BACKLOG) < 0)
    return zp_fail (err, ZP_EIO, "%s: %m", l->listen);
  ev_io_init (&l->accept, on_accept, l->fd, EV_READ);
  l->accept.data = l;
  ev_io_start (p->ev, &l->accept);
  return true;
}

int
main (int argc, char **argv)
{
  static const struct zp_setting table[]
      = { { .key = "ways",
            .kind = ZP_SETTING_LIST,
            .required = true,
            .offset = offsetof (struct proxy, listeners) },
          { .key = NULL } };
  struct proxy p = { .ev = ev_default_loop (0) };
  struct zp_arguments args;
  struct zp_report report = { .count = 0 };
  struct zp_err err = { .text = "" };

  zp_arguments_parse (argc, argv, "Proxy of the fault soak.", false, &args);
  zp_log_open ("zp-proxy", ZP_LOG_INFO, STDOUT_FILENO);
  if (!zp_settings_load (&p.file, args.path, table, &p, &report))
    {
      fprintf (stderr, "%.*s", ZP_ARG (zp_str_of (&report.lines)));
      return EXIT_FAILURE;
    }
  p.listener = zp_alloc ((p.listeners.len + 1) * sizeof *p.listener);
  for (size_t i = 0; i < p.listeners.len; i++)
    if (!open_listener (&p, &p.listener[i], p.listeners.item[i], &err))
      {
        fprintf (stderr, "zp-proxy: %s\n", err.text);
        return EXIT_FAILURE;
      }
  fcntl (STDIN_FILENO, F_SETFL, O_NONBLOCK);
  ev_io_init (&p.commands, on_command, STDIN_FILENO, EV_READ);
  p.commands.data = &p;
  ev_io_start (p.ev, &p.commands);
  ev_signal_init (&p.term, on_term, SIGTERM);
  ev_signal_start (p.ev, &p.term);
  zp_log (ZP_LOG_NOTICE, PART, "%zu listeners", p.listeners.len);
  ev_run (p.ev, 0);
  return EXIT_SUCCESS;
}
