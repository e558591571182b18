/* A loopback proxy that misbehaves on command.

   Usage: zp-proxy --settings FILE, with "ways": a list of "LISTEN=TARGET".

   Commands come on standard input, one a line: LISTEN MODE.  LISTEN names a
   way, or every way whose address begins with it.  MODE is one of

     pass        forward both ways, end all other modes
     delay:MS    hold each piece of bytes for MS before it goes on
     hold-in     nothing goes on towards the target; it is kept
     hold-out    nothing goes on from the target; it is kept
     silent      connections that are open now go silent for good
     reset       connections that are open now are reset
     refuse      new connections are reset too, until "pass"

   A process that is reached through it has its own address in LISTEN's place
   in what other processes are told.  */

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
#define PIECE 65536 /* bytes that are read at once */
#define KEPT_MAX                                                              \
  1048576 /* bytes that one direction keeps; then it stops
                             reading, as a full socket buffer would */
#define BACKLOG 1024
#define LINE 200

struct way;

/* One direction of a connection.  */
struct half
{
  int from, to;
  ev_io readable, writable;
  ev_timer due; /* when DELAY has passed for what is kept */
  struct zp_buf kept;
  zp_time ready_at;
  bool ended; /* the sender has closed its direction */
  struct link *link;
};

struct link
{
  struct way *way;
  struct half in, out; /* to the target and from it */
  bool silent;
  struct link *next, **at;
};

struct way
{
  struct proxy *proxy;
  char listen[ZP_ADDRESS_MAX];
  struct sockaddr_storage target;
  socklen_t target_len;
  int fd;
  ev_io accept;
  zp_time delay;
  bool hold_in, hold_out, refuse;
  struct link *links;
};

struct proxy
{
  struct ev_loop *ev;
  struct zp_settings file;
  struct zp_strs ways;
  struct way *way;
  ev_io commands;
  ev_signal term;
  char line[LINE];
  size_t line_len;
};

static void
end_link (struct link *l, bool reset)
{
  struct ev_loop *ev = l->way->proxy->ev;
  struct half *halves[] = { &l->in, &l->out };
  struct linger hard = { .l_onoff = 1, .l_linger = 0 };

  for (int i = 0; i < 2; i++)
    {
      ev_io_stop (ev, &halves[i]->readable);
      ev_io_stop (ev, &halves[i]->writable);
      ev_timer_stop (ev, &halves[i]->due);
      zp_buf_free (&halves[i]->kept);
      if (reset)
        setsockopt (halves[i]->from, SOL_SOCKET, SO_LINGER, &hard,
                    sizeof hard);
      close (halves[i]->from);
    }
  *l->at = l->next;
  if (l->next)
    l->next->at = l->at;
  free (l);
}

static bool
held (const struct half *h)
{
  const struct link *l = h->link;

  return l->silent || (h == &l->in ? l->way->hold_in : l->way->hold_out);
}

/* Starts and stops the watchers of H by what it may do now.  */
static void
update (struct half *h)
{
  struct ev_loop *ev = h->link->way->proxy->ev;
  zp_time now = zp_clock_mono ();
  bool has = h->kept.len > 0 || h->ended;

  ev_io_stop (ev, &h->readable);
  ev_io_stop (ev, &h->writable);
  ev_timer_stop (ev, &h->due);
  if (!h->ended && h->kept.len < KEPT_MAX && !h->link->silent)
    ev_io_start (ev, &h->readable);
  if (!has || held (h))
    return;
  if (now >= h->ready_at)
    {
      ev_io_start (ev, &h->writable);
      return;
    }
  ev_timer_set (&h->due, (double) (h->ready_at - now) / ZP_SEC, 0.0);
  ev_timer_start (ev, &h->due);
}

static void
on_due (struct ev_loop *ev, ev_timer *w, int events)
{
  (void) ev, (void) events;
  update (w->data);
}

static void
on_readable (struct ev_loop *ev, ev_io *w, int events)
{
  struct half *h = w->data;
  char piece[PIECE];
  ssize_t n = read (h->from, piece, sizeof piece);

  (void) ev, (void) events;
  if (n < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (n < 0)
    {
      end_link (h->link, true);
      return;
    }
  if (h->kept.len == 0)
    h->ready_at = zp_clock_mono () + h->link->way->delay;
  if (n == 0)
    h->ended = true;
  else
    zp_buf_put_bytes (&h->kept, piece, (size_t) n);
  update (h);
}

static void
on_writable (struct ev_loop *ev, ev_io *w, int events)
{
  struct half *h = w->data;
  struct link *l = h->link;

  (void) ev, (void) events;
  if (h->kept.len > 0)
    {
      ssize_t n = send (h->to, h->kept.ptr, h->kept.len, MSG_NOSIGNAL);
      if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
      if (n < 0)
        {
          end_link (l, true);
          return;
        }
      zp_buf_drop (&h->kept, (size_t) n);
    }
  if (h->kept.len == 0 && h->ended)
    {
      shutdown (h->to, SHUT_WR);
      if (l->in.ended && l->out.ended && l->in.kept.len == 0
          && l->out.kept.len == 0)
        {
          end_link (l, false);
          return;
        }
      ev_io_stop (ev, &h->writable);
      return;
    }
  update (h);
}

static void
half_init (struct half *h, struct link *l, int from, int to)
{
  *h = (struct half){ .from = from, .to = to, .link = l };
  ev_io_init (&h->readable, on_readable, from, EV_READ);
  ev_io_init (&h->writable, on_writable, to, EV_WRITE);
  ev_timer_init (&h->due, on_due, 0.0, 0.0);
  h->readable.data = h->writable.data = h->due.data = h;
}

static void
on_accept (struct ev_loop *ev, ev_io *w, int events)
{
  struct way *y = w->data;
  int one = 1;
  int fd = accept4 (y->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

  (void) ev, (void) events;
  if (fd < 0)
    return;
  int to = socket (y->target.ss_family,
                   SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (to < 0
      || (connect (to, (struct sockaddr *) &y->target, y->target_len) < 0
          && errno != EINPROGRESS))
    {
      zp_log (ZP_LOG_ERR, PART, "%s: %m", y->listen);
      close (fd);
      if (to >= 0)
        close (to);
      return;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  setsockopt (to, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  struct link *l = zp_alloc (sizeof *l);
  *l = (struct link){ .way = y, .next = y->links, .at = &y->links };
  if (l->next)
    l->next->at = &l->next;
  y->links = l;
  half_init (&l->in, l, fd, to);
  half_init (&l->out, l, to, fd);
  if (y->refuse)
    {
      end_link (l, true);
      return;
    }
  update (&l->in);
  update (&l->out);
}

/* Commands.  */

static bool
set_mode (struct way *y, struct zp_str mode)
{
  struct zp_str name, value;
  struct link *next;
  uint64_t ms = 0;

  zp_str_split (mode, ':', &name, &value);
  if (zp_str_eq (name, ZP_STR ("pass")))
    {
      y->hold_in = y->hold_out = y->refuse = false;
      y->delay = 0;
    }
  else if (zp_str_eq (name, ZP_STR ("delay")) && zp_str_u64 (value, &ms))
    y->delay = (zp_time) ms * ZP_MS;
  else if (zp_str_eq (name, ZP_STR ("hold-in")))
    y->hold_in = true;
  else if (zp_str_eq (name, ZP_STR ("hold-out")))
    y->hold_out = true;
  else if (zp_str_eq (name, ZP_STR ("refuse")))
    y->refuse = true;
  else if (!zp_str_eq (name, ZP_STR ("silent"))
           && !zp_str_eq (name, ZP_STR ("reset")))
    return false;
  for (struct link *l = y->links; l; l = next)
    {
      next = l->next;
      if (zp_str_eq (name, ZP_STR ("reset")) || y->refuse)
        {
          end_link (l, true);
          continue;
        }
      l->silent = l->silent || zp_str_eq (name, ZP_STR ("silent"));
      update (&l->in);
      update (&l->out);
    }
  return true;
}

static void
command (struct proxy *p, struct zp_str line)
{
  struct zp_str prefix, mode;
  size_t found = 0;

  zp_str_split (line, ' ', &prefix, &mode);
  for (size_t i = 0; i < p->ways.len; i++)
    if (zp_str_starts (zp_str_from (p->way[i].listen), prefix))
      found += set_mode (&p->way[i], mode);
  zp_log (found > 0 ? ZP_LOG_NOTICE : ZP_LOG_ERR, PART, "%.*s: %zu ways",
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
open_way (struct proxy *p, struct way *y, struct zp_str text,
          struct zp_err *err)
{
  struct zp_str listen_at, target;
  struct sockaddr_storage sa;
  socklen_t len;
  int one = 1;

  *y = (struct way){ .proxy = p };
  if (!zp_str_split (text, '=', &listen_at, &target)
      || !zp_str_copy (y->listen, sizeof y->listen, listen_at))
    return zp_fail (err, ZP_EINVAL, "\"%.*s\" is not LISTEN=TARGET",
                    ZP_ARG (text));
  if (!wi_address_parse (listen_at, &sa, &len, err)
      || !wi_address_parse (target, &y->target, &y->target_len, err))
    return false;
  y->fd = socket (sa.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (y->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (y->fd < 0 || bind (y->fd, (struct sockaddr *) &sa, len) < 0
      || listen (y->fd, BACKLOG) < 0)
    return zp_fail (err, ZP_EIO, "%s: %m", y->listen);
  ev_io_init (&y->accept, on_accept, y->fd, EV_READ);
  y->accept.data = y;
  ev_io_start (p->ev, &y->accept);
  return true;
}

int
main (int argc, char **argv)
{
  static const struct zp_setting table[]
      = { { .key = "ways",
            .kind = ZP_SETTING_LIST,
            .required = true,
            .offset = offsetof (struct proxy, ways) },
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
  p.way = zp_alloc ((p.ways.len + 1) * sizeof *p.way);
  for (size_t i = 0; i < p.ways.len; i++)
    if (!open_way (&p, &p.way[i], p.ways.item[i], &err))
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
  zp_log (ZP_LOG_NOTICE, PART, "%zu ways", p.ways.len);
  ev_run (p.ev, 0);
  return EXIT_SUCCESS;
}
