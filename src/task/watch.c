#include "task/watch.h"

#include <signal.h>

/* Returns whether the file has changed since the last check.  A file that
   cannot be found counts as unchanged.  */
static bool
check_file (struct tk_watch *w)
{
  struct stat now;

  if (stat (w->path, &now) < 0)
    return false;
  bool same = now.st_mtim.tv_sec == w->seen.st_mtim.tv_sec
              && now.st_mtim.tv_nsec == w->seen.st_mtim.tv_nsec
              && now.st_size == w->seen.st_size
              && now.st_ino == w->seen.st_ino;
  w->seen = now;
  return !same;
}

static void
on_hangup (struct ev_loop *ev, ev_signal *s, int events)
{
  struct tk_watch *w = s->data;

  (void) ev;
  (void) events;
  check_file (w);
  w->changed (w->self);
}

static void
on_timer (struct ev_loop *ev, ev_timer *t, int events)
{
  struct tk_watch *w = t->data;

  (void) ev;
  (void) events;
  if (check_file (w))
    w->changed (w->self);
}

void
tk_watch_start (struct tk_watch *w, struct ev_loop *ev, const char *path,
                tk_changed *changed, void *self)
{
  *w = (struct tk_watch){
    .ev = ev, .path = path, .changed = changed, .self = self
  };
  check_file (w);
  ev_signal_init (&w->hangup, on_hangup, SIGHUP);
  w->hangup.data = w;
  ev_signal_start (ev, &w->hangup);
  ev_timer_init (&w->timer, on_timer, 0.0, (double) TK_WATCH_PERIOD / ZP_SEC);
  w->timer.data = w;
  ev_timer_again (ev, &w->timer);
}

void
tk_watch_stop (struct tk_watch *w)
{
  if (!w->ev)
    return;
  ev_signal_stop (w->ev, &w->hangup);
  ev_timer_stop (w->ev, &w->timer);
}
