/* Benchmark of the replicated log with 3 and 5 members, on loopback and real
   files.  Measures:

   - latency of a commit at the leader with one proposal at a time; the
     baseline is a bare write and fdatasync of the same bytes on the same disk
   - commits a second with 64 proposals in flight
   - processor time of all members for each commit
   - time from the stop of the leader until another leader has a lease

   Proposals have 300 bytes.

   Limits: all members share one event loop and one disk, each with its own
   disk thread.  Loopback has no latency; between regions, a commit also takes
   one round trip to the nearest majority.  The leader is closed, as at a
   planned stop or a crash of the process; an isolated leader is detected after
   the same time.  */

#include "figures.h"

#include <fcntl.h>

#include "control/replica.h"

#define MEMBERS_MAX 5
#define COMMITS 400
#define RUNS 3
#define WINDOW 64 /* proposals in flight */
#define THROUGHPUT_COMMITS 4000
#define FAILOVERS 4
#define PROPOSAL_BYTES 300
#define LIMIT (30 * ZP_SEC) /* for each wait */

struct member
{
  struct ct_replica *replica;
  char folder[64];
  char address[ZP_ADDRESS_MAX];
};

static struct
{
  struct tk_loop loop;
  char folder[32];
  struct member member[MEMBERS_MAX];
  unsigned count;
  uint64_t proposals, committed;
  uint64_t applied;
} group;

static void
apply (void *self, uint64_t index, uint64_t term, struct zp_str bytes)
{
  (void) self;
  (void) index;
  (void) term;
  group.applied += bytes.len;
}

static void
take_snapshot (void *self, struct zp_buf *out)
{
  (void) self;
  zp_buf_put (out, ZP_STR ("state"));
}

static bool
restore (void *self, uint64_t index, uint64_t term, struct zp_str state,
         struct zp_err *err)
{
  (void) self;
  (void) index;
  (void) term;
  (void) state;
  (void) err;
  return true;
}

static void
answered (void *self, const struct lg_reply *reply)
{
  (void) self;
  if (reply->kind == LG_REPLY_REFUSED || reply->kind == LG_REPLY_UNKNOWN)
    {
      struct zp_err err = { .text = "" };
      zp_fail (&err, ZP_EUNAVAIL, "%s", reply->reason ? reply->reason : "");
      fig_die ("bench-replica: a proposal was not committed", &err);
    }
  group.committed += reply->kind == LG_REPLY_COMMITTED;
}

static void
open_member (unsigned i)
{
  struct member *m = &group.member[i];
  struct zp_err err;
  struct ct_replica_options o = { .loop = &group.loop,
                                  .id = 1 + i,
                                  .folder = zp_str_from (m->folder),
                                  .address = zp_str_from (m->address),
                                  .self = m };

  o.callbacks = (struct ct_replica_callbacks){ .apply = apply,
                                               .take_snapshot = take_snapshot,
                                               .restore = restore,
                                               .answered = answered };
  for (unsigned k = 0; k < group.count; k++)
    lg_members_put (&o.members, 1 + k, true,
                    zp_str_from (group.member[k].address));
  m->replica = ct_replica_open (&o, &err);
  if (!m->replica)
    fig_die ("bench-replica", &err);
}

static void
open_group (unsigned count)
{
  memset (&group, 0, sizeof group);
  group.count = count;
  tk_loop_init (&group.loop);
  snprintf (group.folder, sizeof group.folder, "build/bench-replica-XXXXXX");
  if (!mkdtemp (group.folder))
    fig_die ("bench-replica: cannot create a data folder below build", NULL);
  for (unsigned i = 0; i < count; i++)
    {
      struct member *m = &group.member[i];
      snprintf (m->folder, sizeof m->folder, "%s/%u", group.folder, i);
      fig_address (m->address, 19900 + i);
    }
  for (unsigned i = 0; i < count; i++)
    open_member (i);
}

static void
remove_file (const char *folder, const char *name)
{
  char path[128];

  snprintf (path, sizeof path, "%s/%s", folder, name);
  unlink (path);
}

static void
close_group (void)
{
  static const char *const files[]
      = { "log", "log.new", "snapshot", "snapshot.new", "lock" };

  for (unsigned i = 0; i < group.count; i++)
    {
      ct_replica_close (group.member[i].replica);
      for (size_t k = 0; k < sizeof files / sizeof *files; k++)
        remove_file (group.member[i].folder, files[k]);
      rmdir (group.member[i].folder);
    }
  remove_file (group.folder, "bare");
  rmdir (group.folder);
  tk_loop_free (&group.loop);
}

/* Waits until a member is leader and has a lease, and returns it.  */
static struct member *
leader (void)
{
  zp_time end = zp_clock_mono () + LIMIT;

  while (zp_clock_mono () < end)
    {
      for (unsigned i = 0; i < group.count; i++)
        if (group.member[i].replica
            && ct_replica_has_lease (group.member[i].replica))
          return &group.member[i];
      ev_run (group.loop.ev, EVRUN_ONCE);
    }
  fig_die ("bench-replica: no leader in time", NULL);
  return NULL;
}

static void
propose (struct member *m)
{
  static const char bytes[PROPOSAL_BYTES];

  ct_replica_propose (m->replica, ++group.proposals,
                      (struct zp_str){ bytes, sizeof bytes });
}

static void
wait_committed (uint64_t n)
{
  zp_time end = zp_clock_mono () + LIMIT;

  while (group.committed < n && zp_clock_mono () < end)
    ev_run (group.loop.ev, EVRUN_ONCE);
  if (group.committed < n)
    fig_die ("bench-replica: a commit took too long", NULL);
}

/* Returns the median time of a write and fdatasync in microseconds.  */
static double
bare_sync (void)
{
  static const char bytes[PROPOSAL_BYTES];
  struct fig_values us = { .len = 0 };
  char path[64];

  snprintf (path, sizeof path, "%s/bare", group.folder);
  int fd = open (path, O_WRONLY | O_CREAT | O_APPEND, 0600);
  for (int i = 0; i < COMMITS; i++)
    {
      zp_time start = zp_clock_mono ();
      if (write (fd, bytes, sizeof bytes) != (ssize_t) sizeof bytes
          || fdatasync (fd) != 0)
        fig_die ("bench-replica: bare write failed", NULL);
      fig_add (&us, (double) (zp_clock_mono () - start));
    }
  close (fd);
  return fig_quantile (&us, 0.5);
}

static void
print (const char *what, struct fig_values *v, const char *unit,
       double baseline)
{
  char name[64];

  snprintf (name, sizeof name, "replica-%u-%s", group.count, what);
  fig_print (name, v, unit, baseline);
}

static void
measure_commits (void)
{
  struct fig_values p50 = { .len = 0 }, p99 = { .len = 0 };
  struct fig_values rate = { .len = 0 }, cpu = { .len = 0 };
  struct member *m = leader ();
  double baseline = bare_sync ();

  for (int r = 0; r < RUNS; r++)
    {
      struct fig_values us = { .len = 0 };
      for (int i = 0; i < COMMITS; i++)
        {
          zp_time start = zp_clock_mono ();
          propose (m);
          wait_committed (group.proposals);
          fig_add (&us, (double) (zp_clock_mono () - start));
        }
      fig_add (&p50, fig_quantile (&us, 0.5));
      fig_add (&p99, fig_quantile (&us, 0.99));

      zp_time start = zp_clock_mono ();
      double used = fig_cpu_process ();
      for (int i = 0; i < THROUGHPUT_COMMITS; i++)
        {
          propose (m);
          if (group.proposals >= group.committed + WINDOW)
            wait_committed (group.proposals - WINDOW + 1);
        }
      wait_committed (group.proposals);
      double seconds = (double) (zp_clock_mono () - start) / 1e6;
      fig_add (&rate, THROUGHPUT_COMMITS / seconds);
      fig_add (&cpu, (fig_cpu_process () - used) / THROUGHPUT_COMMITS);
    }
  print ("commit-p50", &p50, "us", baseline);
  print ("commit-p99", &p99, "us", NAN);
  print ("commits", &rate, "commits/s", NAN);
  print ("commit-cpu", &cpu, "us/commit", NAN);
}

static void
measure_failover (void)
{
  struct fig_values seconds = { .len = 0 };

  for (int i = 0; i < FAILOVERS; i++)
    {
      struct member *m = leader ();
      zp_time start = zp_clock_mono ();
      ct_replica_close (m->replica);
      m->replica = NULL;
      leader ();
      fig_add (&seconds, (double) (zp_clock_mono () - start) / 1e6);
      open_member ((unsigned) (m - group.member));
    }
  print ("new-leader", &seconds, "s", NAN);
}

int
main (void)
{
  static const unsigned counts[] = { 3, 5 };

  for (int i = 0; i < 2; i++)
    {
      open_group (counts[i]);
      measure_commits ();
      measure_failover ();
      close_group ();
    }
  return 0;
}
