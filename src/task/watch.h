/* NAME
     watch - detects changes of the settings file

   DESCRIPTION
     Calls CHANGED on the thread of the loop at every SIGHUP, and when the
     modification time, the size or the inode of the file has changed.  The
     file is checked once in TK_WATCH_PERIOD.  */

#ifndef ZP_TASK_WATCH_H
#define ZP_TASK_WATCH_H

#include <ev.h>
#include <stdbool.h>
#include <sys/stat.h>

#include "base/clock.h"

#define TK_WATCH_PERIOD (2 * ZP_SEC)

typedef void tk_changed (void *self);

struct tk_watch
{
  struct ev_loop *ev;
  const char *path;
  struct stat seen; /* at the last check */
  ev_signal hangup;
  ev_timer timer;
  tk_changed *changed;
  void *self;
};

/* PATH has to stay valid until tk_watch_stop.  */
void tk_watch_start (struct tk_watch *w, struct ev_loop *ev, const char *path,
                     tk_changed *changed, void *self);
void tk_watch_stop (struct tk_watch *w);

#endif
