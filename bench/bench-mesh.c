/* Benchmark of membership and summaries: bytes and processor time a second of
   one daemon, by the number of its links.  All daemons run in one process on
   one loop.  Each sends a summary of four services to every live member each
   2 s, as the router of a daemon does while nothing changes, and decodes the
   summaries of the others.

   The first groups are one region with 7, 25 and 50 members (heartbeats each
   250 ms).  The others are nine regions with 3, 5 and 8 members each, where
   links between regions have heartbeats each second.

   Bytes are TCP payload in one direction; a daemon sends as much as it
   receives.  Headers of TCP and IP, at least 40 bytes a segment, are not
   counted.

   Limits: all daemons are in one process, so there are no process switches;
   loopback; no failures.  */

#include "figures.h"

#include "peer/mesh.h"
#include "peer/report_codec.h"
#include "steer/view.h"
#include "task/task.h"
#include "wire/frame.h"

#define DAEMONS_MAX 80
#define WINDOWS 4
#define SERVICES 4
#define SUMMARY_SECONDS 2.0
#define JOIN_LIMIT (15 * ZP_SEC)

struct daemon
{
  struct tk_task task;
  struct pe_mesh *mesh;
  struct st_view view;
  ev_timer summary;
  char wire[ZP_ADDRESS_MAX];
  char region[ZP_NAME_MAX];
  unsigned up;   /* members that it is connected to */
  uint64_t from; /* sender of the summary that is being decoded */
};

struct result
{
  double cpu, bytes;
};

static struct tk_loop loop;
static struct daemon daemons[DAEMONS_MAX];
static bool summaries;

static void
take_service (void *self, const struct pe_service_slots *s)
{
  struct daemon *d = self;

  st_view_put_summary (&d->view, d->from, s->name, s->free, s->slots,
                       zp_clock_mono ());
}

static void
on_message (void *self, struct tk_msg *m)
{
  struct daemon *d = self;
  struct pe_summary s;

  switch (m->kind)
    {
    case TK_PEER_UP:
      d->up++;
      break;
    case TK_PEER_DOWN:
      d->up--;
      break;
    case TK_PEER_FRAME:
      d->from = m->u.frame.peer;
      pe_get_summary (zp_str_of (&m->u.frame.payload), &s, take_service, d);
      break;
    default:
      break;
    }
  tk_msg_free (m);
}

static void
on_summary (struct ev_loop *ev, ev_timer *w, int events)
{
  struct daemon *d = w->data;
  struct pe_service_slots all[SERVICES];
  static const char *const name[SERVICES]
      = { "availability", "booking", "repair-records", "check-in" };

  (void) ev;
  (void) events;
  if (!summaries)
    return;
  struct tk_msg *m = tk_msg_new (TK_PEER_SEND);
  m->u.frame.peer = 0;
  m->u.frame.kind = WI_SERVER_VIEW;
  for (int i = 0; i < SERVICES; i++)
    all[i] = (struct pe_service_slots){ .name = zp_str_from (name[i]),
                                        .free = 3,
                                        .slots = 12 };
  pe_put_summary (&m->u.frame.payload,
                  &(struct pe_summary){ .incarnation = 1764800000000000,
                                        .generation = 29413333,
                                        .number = 2200 },
                  all, SERVICES);
  tk_send (pe_mesh_task (d->mesh), m);
}

static void
open_daemon (unsigned i, unsigned regions, unsigned count)
{
  struct daemon *d = &daemons[i];
  struct zp_err err;
  struct zp_str seed = zp_str_from (daemons[0].wire);
  struct zp_strs seeds = { .item = &seed, .len = i > 0 };

  snprintf (d->region, sizeof d->region, "region-%u", i % regions);
  struct pe_hello h = { .id = i + 1,
                        .incarnation = 1764800000000000,
                        .failure_domain = zp_str_from (d->region),
                        .region = zp_str_from (d->region),
                        .http = zp_str_from (d->wire),
                        .wire = zp_str_from (d->wire) };
  tk_task_init (&d->task, &loop, on_message, d);
  d->mesh = pe_mesh_open (&loop, &h, h.wire, &seeds, &d->task, &err);
  if (!d->mesh)
    fig_die ("bench-mesh", &err);
  ev_timer_init (&d->summary, on_summary,
                 SUMMARY_SECONDS * (1 + (double) i / count), SUMMARY_SECONDS);
  d->summary.data = d;
  ev_timer_start (loop.ev, &d->summary);
}

static void
run_for (zp_time length)
{
  zp_time end = zp_clock_mono () + length;

  while (zp_clock_mono () < end)
    ev_run (loop.ev, EVRUN_ONCE);
}

/* The smallest number of connected members of any daemon.  */
static unsigned
min_up (unsigned count)
{
  unsigned n = UINT32_MAX;

  for (unsigned i = 0; i < count; i++)
    n = daemons[i].up < n ? daemons[i].up : n;
  return n;
}

static void
open_all (unsigned count, unsigned regions)
{
  tk_loop_init (&loop);
  memset (daemons, 0, sizeof daemons);
  for (unsigned i = 0; i < count; i++)
    fig_address (daemons[i].wire, 19800 + i);
  for (unsigned i = 0; i < count; i++)
    open_daemon (i, regions, count);
  zp_time end = zp_clock_mono () + JOIN_LIMIT;
  while (min_up (count) < count - 1 && zp_clock_mono () < end)
    ev_run (loop.ev, EVRUN_ONCE);
  if (min_up (count) < count - 1)
    fig_die ("bench-mesh: members did not connect to each other in time",
             NULL);
}

static void
close_all (unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    {
      ev_timer_stop (loop.ev, &daemons[i].summary);
      pe_mesh_close (daemons[i].mesh);
      tk_task_free (&daemons[i].task);
      st_view_free (&daemons[i].view);
    }
  tk_loop_free (&loop);
}

/* Prints and returns processor time and bytes a second of one daemon.  */
static struct result
measure (const char *what, unsigned count)
{
  struct fig_values cpu = { .len = 0 }, bytes = { .len = 0 };
  char name[64];

  run_for (ZP_SEC / 2);
  for (int i = 0; i < WINDOWS; i++)
    {
      double received = fig_received (), us = fig_cpu_process ();
      zp_time start = zp_clock_mono ();
      run_for (ZP_SEC);
      double seconds = (double) (zp_clock_mono () - start) / 1e6;
      us = fig_cpu_process () - us;
      fig_add (&cpu, us / seconds / count);
      fig_add (&bytes, (fig_received () - received) / seconds / count);
    }
  snprintf (name, sizeof name, "mesh-%s-%u-cpu", what, count);
  struct result r = { .cpu = fig_print (name, &cpu, "us/s", NAN) };
  snprintf (name, sizeof name, "mesh-%s-%u-bytes", what, count);
  r.bytes = fig_print (name, &bytes, "B/s", NAN);
  return r;
}

int
main (void)
{
  static const unsigned region[] = { 7, 25, 50 };
  static const unsigned world[] = { 27, 45, 72 };
  double x[3], cpu[2][3], bytes[2][3];
  char name[64];

  for (int i = 0; i < 3; i++)
    {
      open_all (region[i], 1);
      x[i] = region[i] - 1;
      for (int with_summaries = 0; with_summaries < 2; with_summaries++)
        {
          summaries = with_summaries;
          struct result r = measure (
              with_summaries ? "region-all" : "region-heartbeat", region[i]);
          cpu[with_summaries][i] = r.cpu;
          bytes[with_summaries][i] = r.bytes;
        }
      close_all (region[i]);
    }
  fig_fit ("mesh-region-heartbeat-cpu", x, cpu[0], 3, "us/s/link");
  fig_fit ("mesh-region-heartbeat-bytes", x, bytes[0], 3, "B/s/link");
  fig_fit ("mesh-region-all-cpu", x, cpu[1], 3, "us/s/link");
  fig_fit ("mesh-region-all-bytes", x, bytes[1], 3, "B/s/link");

  for (int i = 0; i < 3; i++)
    {
      open_all (world[i], 9);
      x[i] = world[i] - 1;
      for (int with_summaries = 0; with_summaries < 2; with_summaries++)
        {
          summaries = with_summaries;
          struct result r = measure (
              with_summaries ? "world-all" : "world-heartbeat", world[i]);
          cpu[with_summaries][i] = r.cpu;
          bytes[with_summaries][i] = r.bytes;
        }
      snprintf (name, sizeof name, "mesh-world-%u-links", world[i]);
      fig_line (name, (double) fig_connections () / world[i], "links");
      close_all (world[i]);
    }
  fig_fit ("mesh-world-heartbeat-cpu", x, cpu[0], 3, "us/s/link");
  fig_fit ("mesh-world-heartbeat-bytes", x, bytes[0], 3, "B/s/link");
  fig_fit ("mesh-world-all-cpu", x, cpu[1], 3, "us/s/link");
  fig_fit ("mesh-world-all-bytes", x, bytes[1], 3, "B/s/link");
  return 0;
}
