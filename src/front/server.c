#include "front/server.h"

#include <assert.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "front/server-state.h"
#include "wire/address.h"

/* Connections that wait to be accepted.  */
#define LISTEN_BACKLOG 1024

/* Interval between checks of the connections for fr_limits.  */
#define CALLERS_PERIOD 0.5 /* s */

/* Event loop.  */

void
fr_run_daemon (struct fr_server *s)
{
  MHD_UNSIGNED_LONG_LONG ms;

  MHD_run (s->daemon);
  ev_timer_stop (s->loop->ev, &s->timer);
  if (MHD_get_timeout (s->daemon, &ms) == MHD_YES)
    {
      ev_timer_set (&s->timer, (double) ms / 1000.0, 0.0);
      ev_timer_start (s->loop->ev, &s->timer);
    }
}

static void
on_callers_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  struct fr_server *s = w->data;

  (void) ev;
  (void) events;
  fr_callers_check (&s->callers, s->limits.idle_max, s->limits.head_time_max,
                    zp_clock_mono ());
}

static void
on_io (struct ev_loop *ev, ev_io *w, int events)
{
  (void) ev;
  (void) events;
  fr_run_daemon (w->data);
}

static void
on_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  (void) ev;
  (void) events;
  fr_run_daemon (w->data);
}

static void
on_message (void *self, struct tk_msg *m)
{
  struct fr_server *s = self;

  switch (m->kind)
    {
    case TK_HTTP_ANSWER:
      fr_deliver_answer (s, m);
      fr_run_daemon (s);
      return;
    case TK_STOP:
      fr_server_quiesce (s);
      break;
    default:
      assert (!"message kind that the front task does not handle");
    }
  tk_msg_free (m);
}

static void
on_library_log (void *self, const char *fmt, va_list ap)
{
  char text[256];

  (void) self;
  vsnprintf (text, sizeof text, fmt, ap);
  text[strcspn (text, "\n")] = '\0';
  zp_log (ZP_LOG_DEBUG, FR_PART, "%s", text);
}

/* Set-up.  */

struct fr_server *
fr_server_open (struct tk_loop *l, struct zp_str address,
                struct tk_task *decider, struct zp_err *err)
{
  const struct fr_options o = { .address = address,
                                .decider = decider,
                                .names = &fr_header_names_default,
                                .idle_max = ZP_CALLER_IDLE_MAX,
                                .body_max = ZP_BODY_MAX };

  return fr_server_open_with (l, &o, err);
}

struct fr_server *
fr_server_open_with (struct tk_loop *l, const struct fr_options *o,
                     struct zp_err *err)
{
  struct sockaddr_storage sa;
  socklen_t len;

  if (!wi_address_parse (o->address, &sa, &len, err))
    return NULL;
  struct fr_server *s = zp_alloc (sizeof *s);
  s->loop = l;
  s->decider = o->decider;
  s->names = o->names;
  s->limits = (struct fr_limits){ .body_max = o->body_max };
  s->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, 0, NULL,
      NULL, fr_on_request, s, MHD_OPTION_EXTERNAL_LOGGER, on_library_log, s,
      MHD_OPTION_SOCK_ADDR, (struct sockaddr *) &sa,
      MHD_OPTION_URI_LOG_CALLBACK, fr_on_target, s,
      MHD_OPTION_NOTIFY_COMPLETED, fr_on_completed, s,
      MHD_OPTION_NOTIFY_CONNECTION, fr_on_connection, s,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned) ZP_CALLER_CONNECTIONS,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned) (o->idle_max / ZP_SEC),
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t) (2 * ZP_HEADERS_MAX),
      MHD_OPTION_LISTEN_BACKLOG_SIZE, (unsigned) LISTEN_BACKLOG,
      MHD_OPTION_END);
  const union MHD_DaemonInfo *i
      = s->daemon ? MHD_get_daemon_info (s->daemon, MHD_DAEMON_INFO_EPOLL_FD)
                  : NULL;
  if (!i)
    {
      if (s->daemon)
        MHD_stop_daemon (s->daemon);
      free (s);
      zp_fail (err, ZP_EIO, "cannot serve HTTP on %.*s", ZP_ARG (o->address));
      return NULL;
    }
  tk_task_init (&s->task, l, on_message, s);
  ev_io_init (&s->io, on_io, i->epoll_fd, EV_READ);
  ev_timer_init (&s->timer, on_timer, 0.0, 0.0);
  s->io.data = s;
  s->timer.data = s;
  ev_timer_init (&s->callers_timer, on_callers_timer, CALLERS_PERIOD,
                 CALLERS_PERIOD);
  s->callers_timer.data = s;
  ev_timer_start (l->ev, &s->callers_timer);
  ev_io_start (l->ev, &s->io);
  return s;
}

struct tk_task *
fr_server_task (struct fr_server *s)
{
  return &s->task;
}

void
fr_server_set_limits (struct fr_server *s, const struct fr_limits *limits)
{
  s->limits = *limits;
}

void
fr_server_drain (struct fr_server *s)
{
  s->draining = true;
}

/* Accepts the connections in the queue of the listening socket, which would be
   reset when it is closed.  */
static void
accept_pending (struct fr_server *s)
{
  const union MHD_DaemonInfo *i
      = MHD_get_daemon_info (s->daemon, MHD_DAEMON_INFO_LISTEN_FD);
  struct pollfd listener = { .fd = i ? i->listen_fd : -1, .events = POLLIN };

  for (int k = 0; k < LISTEN_BACKLOG && poll (&listener, 1, 0) == 1; k++)
    fr_run_daemon (s);
}

void
fr_server_quiesce (struct fr_server *s)
{
  if (s->quiescent)
    return;
  accept_pending (s);
  s->quiescent = true;
  MHD_socket fd = MHD_quiesce_daemon (s->daemon);
  if (fd != MHD_INVALID_SOCKET)
    close (fd);
}

size_t
fr_server_pending (const struct fr_server *s)
{
  return s->exchanges.len;
}

void
fr_server_close (struct fr_server *s)
{
  if (!s)
    return;
  /* MHD_stop_daemon requires that no connection is suspended.  */
  struct exchange *x;
  uint32_t at = 0;
  while ((x = zp_slots_next (&s->exchanges, &at)))
    if (x->state == REQUEST_WAITING)
      {
        ev_io_stop (s->loop->ev, &x->leave_watcher);
        x->state = REQUEST_ANSWERED;
        MHD_resume_connection (x->conn);
      }
  ev_io_stop (s->loop->ev, &s->io);
  ev_timer_stop (s->loop->ev, &s->timer);
  ev_timer_stop (s->loop->ev, &s->callers_timer);
  MHD_stop_daemon (s->daemon);
  tk_task_free (&s->task);
  zp_slots_free (&s->exchanges);
  free (s);
}
