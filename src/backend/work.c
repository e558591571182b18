#include "backend/work.h"

#include <assert.h>
#include <gsl/gsl_randist.h>
#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <unistd.h>

static void
run_free (struct be_run *r)
{
  ev_timer_stop (r->work->ev, &r->end_timer);
  r->prev->next = r->next;
  r->next->prev = r->prev;
  r->work->running--;
  zp_buf_free (&r->key);
  free (r);
}

static void
on_run_end (struct ev_loop *ev, ev_timer *w, int events)
{
  struct be_run *r = w->data;

  (void) ev, (void) events;
  if (r->work->silent && !r->expires)
    return; /* keeps its slot until the caller leaves or the server stops */
  r->work->on_end (r->work->self, r);
  run_free (r);
}

/* Draws a service time in seconds from a log-normal distribution.  While the
   server is cold, the time falls linearly from cold_percent to 100%.  */
static double
service_time (struct be_work *w, zp_time age)
{
  const struct be_settings *c = w->settings;
  double cv = (double) c->spread_percent / 100.0;
  double sigma2 = log1p (cv * cv);
  double t = gsl_ran_lognormal (
      w->rng, log ((double) c->service_us / 1e6) - sigma2 / 2, sqrt (sigma2));

  if (age < c->cold_ms * ZP_MS)
    t *= 1.0
         + (double) (c->cold_percent - 100) / 100.0
               * (1.0 - (double) age / (double) (c->cold_ms * ZP_MS));
  return t * (double) w->slow_percent / 100.0;
}

void
be_work_record (const struct be_work *w, const char *event, struct zp_str key,
                uint64_t digest)
{
  struct zp_buf line = { .ptr = NULL };

  zp_buf_printf (&line, "%s %.*s %016" PRIx64 " %" PRId64 " %s\n", event,
                 ZP_ARG (key.len > 0 ? key : ZP_STR ("-")), digest,
                 zp_clock_wall (), w->server);
  if (write (w->record_fd, line.ptr, line.len) != (ssize_t) line.len)
    abort (); /* without its line, zp-load would count the run as lost */
  zp_buf_free (&line);
}

void
be_work_start (struct be_work *w, uint64_t id, struct zp_str key,
               uint64_t digest, zp_time age, zp_time left)
{
  struct be_run *r = zp_alloc (sizeof *r);
  double time = service_time (w, age);
  double limit = left > 0 ? (double) left / 1e6 : INFINITY;

  *r = (struct be_run){ .work = w,
                        .id = id,
                        .key = zp_buf_from (key),
                        .digest = digest,
                        .expires = limit < time,
                        .next = w->runs.next,
                        .prev = &w->runs };
  r->next->prev = r;
  w->runs.next = r;
  w->running++;
  assert (w->running <= w->settings->slots);
  be_work_record (w, "ran", key, digest);
  ev_timer_init (&r->end_timer, on_run_end, r->expires ? limit : time, 0.0);
  r->end_timer.data = r;
  ev_timer_start (w->ev, &r->end_timer);
}

void
be_work_cancel (struct be_work *w, uint64_t id)
{
  struct be_run *r = w->runs.next;

  while (r != &w->runs && r->id != id)
    r = r->next;
  if (r != &w->runs)
    run_free (r);
}

void
be_work_cancel_all (struct be_work *w)
{
  for (struct be_run *r = w->runs.next, *next; r != &w->runs; r = next)
    {
      next = r->next;
      run_free (r);
    }
}
