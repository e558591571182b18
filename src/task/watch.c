#include "task/watch.h"

#include <signal.h>

/* Returns whether the file is another one than before.  A file that cannot be
   looked at now is no change.  */
static bool
look (struct tk_watch *w)
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
  look (w);
  w->changed (w->self);
}

static void
on_timer (struct ev_loop *ev, ev_timer *t, int events)
{
  struct tk_watch *w = t->data;

  (void) ev;
  (void) events;
  if (look (w))
    w->changed (w->self);
}

void
tk_watch_start (struct tk_watch *w, struct ev_loop *ev, const char *path,
                tk_changed *changed, void *self)
{
  *w = (struct tk_watch){
    .ev = ev, .path = path, .changed = changed, .self = self
  };
  look (w);
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
