/* NAME
     guard - time limit of a test that waits for an event

   SYNOPSIS
     test_guard_start (&f->guard, f->loop.ev, 10.0);
     while (!f->guard.fired && !done)
       ev_run (f->loop.ev, EVRUN_ONCE);
     test_guard_stop (&f->guard, f->loop.ev);

   DESCRIPTION
     When the time is over, the guard fails the test and ends the loop.  */

#ifndef ZP_TESTS_GUARD_H
#define ZP_TESTS_GUARD_H

#include <ev.h>
#include <stdbool.h>

#include "harness.h"

struct test_guard
{
  ev_timer timer;
  bool fired;
};

static inline void
test_guard_fire (struct ev_loop *ev, ev_timer *w, int events)
{
  struct test_guard *g = w->data;

  (void) events;
  g->fired = true;
  CU_FAIL ("the awaited event did not happen within the time limit");
  ev_break (ev, EVBREAK_ALL);
}

static inline void
test_guard_start (struct test_guard *g, struct ev_loop *ev, double seconds)
{
  g->fired = false;
  ev_timer_init (&g->timer, test_guard_fire, seconds, 0.0);
  g->timer.data = g;
  ev_timer_start (ev, &g->timer);
}

static inline void
test_guard_stop (struct test_guard *g, struct ev_loop *ev)
{
  ev_timer_stop (ev, &g->timer);
}

#endif
