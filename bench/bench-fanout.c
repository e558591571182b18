/* Benchmark of the fan-out of a configuration change on loopback: one source
   in one thread and N followers in another, then the same with one level of
   relays.  The time runs from the change at the source until the deciding task
   of the last follower receives it.  Bytes are TCP payload in both directions,
   including the report of each follower.

   Limits: all followers share one processor core, so the time at N = 200 and
   400 is an upper bound for separate daemons; the deciding task does not build
   a plan (bench-config measures that); loopback has no latency and no loss.
 */

#include "figures.h"

#include "follow/follower.h"
#include "follow/source.h"
#include "task/task.h"

#define SIZES 4
#define CHANGES 40
#define CHANGE_BYTES 300 /* a typical edit of one object */
#define FOLLOWERS_MAX 512
#define RELAYS_MAX 16

struct provider
{
  struct tk_loop loop;
  struct tk_task task;
  struct fo_source *source;
  char address[ZP_ADDRESS_MAX];
  _Atomic uint64_t version;
  _Atomic unsigned reports;
};

struct daemon
{
  struct tk_task task;
  struct fo_follower *follower;
  struct fo_source *relay; /* NULL unless the daemon is a relay */
  struct tk_config whole;  /* last configuration, for TK_CONFIG_REQUEST */
  uint64_t id, version;
  char address[ZP_ADDRESS_MAX];
  struct fleet *fleet;
};

struct fleet
{
  struct provider p;
  struct tk_loop loop;
  struct daemon d[FOLLOWERS_MAX];
  unsigned count, relays;
  unsigned pending; /* daemons that have not received version TARGET yet */
  uint64_t target;
  ev_timer deadline;
};

static char bytes[CHANGE_BYTES];

/* Source side.  */

static void
send_config (struct tk_task *to, uint64_t version, bool whole)
{
  struct tk_msg *m = tk_msg_new (TK_CONFIG);

  m->u.config.whole = whole;
  m->u.config.from = version - 1;
  m->u.config.version = version;
  m->u.config.number = version;
  m->u.config.term = 1;
  zp_buf_put_bytes (&m->u.config.bytes, bytes, sizeof bytes);
  tk_send (to, m);
}

static void
on_provider (void *self, struct tk_msg *m)
{
  struct provider *p = self;

  if (m->kind == TK_CONFIG_REQUEST)
    send_config (fo_source_task (p->source), p->version, true);
  else if (m->kind == TK_FOLLOW_REPORT)
    p->reports++;
  tk_msg_free (m);
}

static void
send_fresh (struct tk_task *to)
{
  struct tk_msg *m = tk_msg_new (TK_CONFIG_FRESH);

  m->u.config_fresh.fresh = true;
  tk_send (to, m);
}

static void
open_provider (struct provider *p)
{
  struct zp_err err;

  fig_address (p->address, 19700);
  tk_loop_init (&p->loop);
  tk_task_init (&p->task, &p->loop, on_provider, p);
  p->source
      = fo_source_open (&p->loop, zp_str_from (p->address), &p->task, &err);
  if (!p->source)
    fig_die ("bench-fanout", &err);
  p->version = 100;
  send_config (fo_source_task (p->source), p->version, true);
  send_fresh (fo_source_task (p->source));
  tk_loop_start (&p->loop);
}

/* Follower side.  */

static void
on_config (struct daemon *d, const struct tk_config *c)
{
  struct tk_msg *r = tk_msg_new (TK_FOLLOW_REPORT);

  if (d->version < d->fleet->target && c->version >= d->fleet->target)
    d->fleet->pending--;
  d->version = c->version;
  r->u.follow_report.daemon = d->id;
  r->u.follow_report.version = c->version;
  r->u.follow_report.number = c->number;
  tk_send (fo_follower_task (d->follower), r);
  if (d->relay)
    send_config (fo_source_task (d->relay), c->version, c->whole);
}

static void
on_daemon (void *self, struct tk_msg *m)
{
  struct daemon *d = self;

  switch (m->kind)
    {
    case TK_CONFIG:
      on_config (d, &m->u.config);
      break;
    case TK_CONFIG_REQUEST:
      send_config (fo_source_task (d->relay), d->version, true);
      break;
    case TK_CONFIG_FRESH:
      if (d->relay)
        send_fresh (fo_source_task (d->relay));
      break;
    case TK_FOLLOW_REPORT: /* of a follower of this relay */
      tk_send (fo_follower_task (d->follower), m);
      return;
    default:
      break;
    }
  tk_msg_free (m);
}

static void
open_daemon (struct fleet *f, unsigned i)
{
  struct daemon *d = &f->d[i];
  struct zp_err err;
  struct zp_str source = zp_str_from (f->p.address);

  if (f->relays > 0 && i >= f->relays)
    source = zp_str_from (f->d[i % f->relays].address);
  struct zp_strs sources = { .item = &source, .len = 1 };
  struct fo_follower_options o
      = { .id = i + 1, .sources = &sources, .decider = &d->task };

  *d = (struct daemon){ .id = i + 1, .fleet = f };
  tk_task_init (&d->task, &f->loop, on_daemon, d);
  if (i < f->relays)
    {
      fig_address (d->address, 19701 + i);
      d->relay = fo_source_open (&f->loop, zp_str_from (d->address), &d->task,
                                 &err);
      if (!d->relay)
        fig_die ("bench-fanout", &err);
    }
  d->follower = fo_follower_open (&f->loop, &o);
}

static void
on_deadline (struct ev_loop *ev, ev_timer *w, int events)
{
  (void) ev;
  (void) w;
  (void) events;
  fig_die ("bench-fanout: a change did not arrive in time", NULL);
}

static void
open_fleet (struct fleet *f, unsigned count, unsigned relays)
{
  memset (f, 0, sizeof *f);
  f->count = count;
  f->relays = relays;
  open_provider (&f->p);
  tk_loop_init (&f->loop);
  ev_timer_init (&f->deadline, on_deadline, 30.0, 0.0);
  ev_timer_start (f->loop.ev, &f->deadline);
  f->target = f->p.version;
  f->pending = count;
  for (unsigned i = 0; i < count; i++)
    open_daemon (f, i);
  while (f->pending > 0)
    ev_run (f->loop.ev, EVRUN_ONCE);
}

static void
close_fleet (struct fleet *f)
{
  for (unsigned i = 0; i < f->count; i++)
    {
      fo_follower_close (f->d[i].follower);
      if (f->d[i].relay)
        fo_source_close (f->d[i].relay);
      tk_task_free (&f->d[i].task);
    }
  ev_timer_stop (f->loop.ev, &f->deadline);
  tk_loop_free (&f->loop);
  tk_loop_stop (&f->p.loop);
  tk_loop_join (&f->p.loop);
  fo_source_close (f->p.source);
  tk_task_free (&f->p.task);
  tk_loop_free (&f->p.loop);
}

/* Measurement.  */

struct result
{
  double ms, source_us, follower_us, bytes;
};

/* Runs the loop for SECONDS, so that reports arrive.  */
static void
run_for (struct fleet *f, double seconds)
{
  zp_time end = zp_clock_mono () + (zp_time) (seconds * 1e6);

  while (zp_clock_mono () < end)
    {
      ev_run (f->loop.ev, EVRUN_NOWAIT);
      usleep (200);
    }
}

static struct result
measure (unsigned count, unsigned relays)
{
  static struct fleet f;
  struct fig_values ms = { .len = 0 };
  char name[64];
  clockid_t source;

  open_fleet (&f, count, relays);
  run_for (&f, 0.3);
  pthread_getcpuclockid (f.p.loop.thread, &source);
  double source_us = fig_cpu (source);
  double thread_us = fig_cpu (CLOCK_THREAD_CPUTIME_ID);
  double received = fig_received ();
  double counting_us = fig_cpu (CLOCK_THREAD_CPUTIME_ID) - thread_us;
  for (unsigned i = 0; i < CHANGES; i++)
    {
      f.target = f.p.version + 1;
      f.pending = count;
      f.p.reports = 0;
      zp_time start = zp_clock_mono ();
      f.p.version = f.target;
      send_config (fo_source_task (f.p.source), f.target, false);
      while (f.pending > 0)
        ev_run (f.loop.ev, EVRUN_ONCE);
      fig_add (&ms, (double) (zp_clock_mono () - start) / 1e3);
      while (f.p.reports < count)
        run_for (&f, 0.002);
    }
  double n = (double) CHANGES * count;
  struct result r = {
    .source_us = (fig_cpu (source) - source_us) / CHANGES,
    .follower_us
    = (fig_cpu (CLOCK_THREAD_CPUTIME_ID) - thread_us - counting_us) / n,
    .bytes = (fig_received () - received) / n,
  };
  snprintf (name, sizeof name, "fanout%s-%u-time", relays ? "-relay" : "",
            count);
  r.ms = fig_print (name, &ms, "ms", NAN);
  snprintf (name, sizeof name, "fanout%s-%u-time-p99", relays ? "-relay" : "",
            count);
  fig_line (name, fig_quantile (&ms, 0.99), "ms");
  snprintf (name, sizeof name, "fanout%s-%u-source-cpu",
            relays ? "-relay" : "", count);
  fig_line (name, r.source_us, "us/change");
  snprintf (name, sizeof name, "fanout%s-%u-follower-cpu",
            relays ? "-relay" : "", count);
  fig_line (name, r.follower_us, "us/change");
  snprintf (name, sizeof name, "fanout%s-%u-bytes", relays ? "-relay" : "",
            count);
  fig_line (name, r.bytes, "B/change/follower");
  close_fleet (&f);
  return r;
}

int
main (void)
{
  static const unsigned sizes[SIZES] = { 7, 50, 200, 400 };
  double x[SIZES], ms[SIZES], source[SIZES], received[SIZES];

  for (int i = 0; i < SIZES; i++)
    {
      struct result r = measure (sizes[i], 0);
      x[i] = sizes[i];
      ms[i] = r.ms;
      source[i] = r.source_us;
      received[i] = r.bytes * sizes[i];
    }
  fig_fit ("fanout-time", x, ms, SIZES, "ms/follower");
  fig_fit ("fanout-source-cpu", x, source, SIZES, "us/change/follower");
  fig_fit ("fanout-bytes", x, received, SIZES, "B/change/follower");
  measure (54, 6);
  measure (207, 9);
  measure (420, 9);
  return 0;
}
