#include "harness.h"
#include "seeds.h"
#include "steer-fixture.h"

#include <math.h>

#include "steer/shift.h"

/* The changes within any such time add up to at most the cap, in real time.
   Unlike ST_SHIFT_WINDOW it has no allowance for the clock-rate error.  */
#define WINDOW (60 * S + ZP_LOOKUP_TTL)

static const struct st_shift_leader leader = { .term = 3, .lease = true };

static struct st_site_state
good_site (zp_time now)
{
  return (struct st_site_state){
    .reported_at = now, .free_slots = 1000, .slots_needed = 10, .warmth = 1
  };
}

/* The decision at NOW on a shift with a target of 0.5 and a cap of 0.08, after
   N steps.  */
static struct st_shift_decision
decide (const struct st_shift_step *step, size_t n, struct st_site_state to,
        zp_time now)
{
  struct st_shift s = { .target = 0.5, .cap = 0.08, .step = step, .steps = n };

  return st_shift_decide (&s, &leader, &to, now);
}

/* Guards against steps to a site that is failing, does not report or has no
   free slots (P2).  */
static void
test_unfit_site_stops_shift (void)
{
  struct st_site_state to = good_site (100 * S);

  CU_ASSERT_EQUAL (decide (NULL, 0, to, 100 * S).action, ST_SHIFT_STEP);
  to.failing = true;
  CU_ASSERT_EQUAL (decide (NULL, 0, to, 100 * S).reason, ST_SHIFT_FAILING);
  to = good_site (100 * S - ST_SHIFT_REPORT_TTL - 1);
  CU_ASSERT_EQUAL (decide (NULL, 0, to, 100 * S).reason, ST_SHIFT_NO_REPORT);
  to = good_site (100 * S);
  to.free_slots = 0;
  CU_ASSERT_EQUAL (decide (NULL, 0, to, 100 * S).reason, ST_SHIFT_NO_HEADROOM);
}

/* Guards against using the same free slots for two steps: the report still
   shows slots that the first step uses.  */
static void
test_free_slots_are_used_once (void)
{
  struct st_site_state to = good_site (99 * S);
  struct st_shift_step one = { .term = 3, .share = 0.01, .at = 90 * S };

  to.free_slots = 0.15;
  to.slots_needed = 10;
  CU_ASSERT_DOUBLE_EQUAL (decide (NULL, 0, to, 100 * S).share, 0.0075, 1e-9);
  one.share = 0.0075;
  one.at = 95 * S;
  CU_ASSERT_EQUAL (decide (&one, 1, to, 104 * S).action, ST_SHIFT_STOP);
}

/* Guards against full-size steps to a site with cold caches.  */
static void
test_cold_site_gets_small_steps (void)
{
  struct st_site_state to = good_site (100 * S);
  double warm = decide (NULL, 0, to, 100 * S).share;

  to.warmth = 0;
  double cold = decide (NULL, 0, to, 100 * S).share;
  CU_ASSERT (cold > 0 && cold <= warm / 8 + 1e-12);
}

/* Guards against steps by a leader without a lease, steps while another one is
   uncommitted, and a new leader that does not count the steps of earlier
   terms.  */
static void
test_lease_pending_step_and_new_leader (void)
{
  struct st_shift_step old = { .term = 2, .share = 0.08, .at = 5 };
  struct st_shift_leader l = leader;
  struct st_shift s = { .target = 0.5, .cap = 0.08, .step = &old, .steps = 1 };
  struct st_site_state to = good_site (0);

  l.since = 1000 * S;
  to.reported_at = l.since + ST_SHIFT_WINDOW;
  struct st_shift_decision d
      = st_shift_decide (&s, &l, &to, l.since + ST_SHIFT_WINDOW);
  CU_ASSERT_EQUAL (d.reason, ST_SHIFT_CAP);
  CU_ASSERT_EQUAL (d.at, l.since + ST_SHIFT_WINDOW + 1);
  CU_ASSERT_EQUAL (st_shift_decide (&s, &l, &to, d.at).action, ST_SHIFT_STEP);
  s.pending = true;
  CU_ASSERT_EQUAL (st_shift_decide (&s, &l, &to, d.at).reason,
                   ST_SHIFT_PENDING);
  s.pending = l.lease = false;
  CU_ASSERT_EQUAL (st_shift_decide (&s, &l, &to, d.at).reason,
                   ST_SHIFT_NO_LEASE);
}

/* Guards against changes that are not counted when the share decreases again.
 */
static void
test_both_directions_count (void)
{
  struct st_shift_step there_and_back[]
      = { { .term = 3, .share = 0.04, .at = 100 * S },
          { .term = 3, .share = 0, .at = 110 * S } };
  struct st_shift_decision d
      = decide (there_and_back, 2, good_site (130 * S), 130 * S);

  CU_ASSERT_EQUAL (d.reason, ST_SHIFT_CAP);
  CU_ASSERT_EQUAL (d.at, 100 * S + ST_SHIFT_WINDOW + 1);
}

/* Guards against moving blocks back when the share grows, and against moving
   a number of blocks that does not match the share.  */
static void
test_moved_blocks_match_share (void)
{
  unsigned moved = 0;

  for (unsigned i = 0; i < 20000; i++)
    {
      uint64_t h = zp_str_hash (
          (struct zp_str){ .ptr = (const char *) &i, .len = sizeof i }, 1);

      moved += st_shift_moved (h, 0.25);
      CU_ASSERT (!st_shift_moved (h, 0.2) || st_shift_moved (h, 0.25));
      CU_ASSERT (!st_shift_moved (h, 0) && st_shift_moved (h, 1));
    }
  /* Five standard deviations of a binomial with 20,000 draws.  */
  CU_ASSERT (moved > 5000 - 307 && moved < 5000 + 307);
}

/* Guards against a daemon that was cut off and then applies all steps at once.
 */
static void
test_late_daemon_keeps_cap (void)
{
  struct st_shift_follower f = { .step = NULL };

  CU_ASSERT_EQUAL (st_shift_follow (&f, 0, 0.1, 0), 0);
  CU_ASSERT (st_shift_follow (&f, 0.35, 0.1, 10 * S) <= 0.1);
  CU_ASSERT (st_shift_follow (&f, 0.35, 0.1, 10 * S + WINDOW) <= 0.1);
  CU_ASSERT (st_shift_follow (&f, 0.35, 0.1, 80 * S) > 0.19);
  CU_ASSERT (st_shift_follow (&f, 0.05, 0.1, 90 * S) > 0.19);
  st_shift_follower_free (&f);
  st_shift_follower_init (&f, 0.35);
  CU_ASSERT_EQUAL (st_shift_follow (&f, 0.35, 0.1, 90 * S), 0.35);
  st_shift_follower_free (&f);
}

/* Property test with random changes of the leader and of the target, delayed
   commits, and daemons that are cut off from the log or restart.  */

#define LEADERS 3
#define DAEMONS 4
#define STEPS 1024

/* Changes of the share in the log or at one daemon, in real time.  */
struct history
{
  double change[4 * STEPS];
  zp_time at[4 * STEPS];
  size_t len;
  double share;
};

struct sim
{
  struct zp_rng rng;
  zp_time now;
  struct skewed_clock leader_clock[LEADERS];
  struct st_shift_leader leader;
  unsigned leader_index;
  struct st_shift_step step[STEPS];
  size_t steps;
  bool pending;
  double proposed;
  zp_time commit_at;
  double target, cap;
  struct st_shift_follower f[DAEMONS];
  struct skewed_clock daemon_clock[DAEMONS];
  size_t applied[DAEMONS];
  bool cut_off[DAEMONS];
  struct history log, of_daemon[DAEMONS];
};

static unsigned long steps_made, done_decisions;

static zp_time
local_time (const struct sim *sim, const struct skewed_clock *c)
{
  return clock_at (c, sim->now);
}

/* Records a new share.  Returns false when the changes in the window that ends
   at NOW exceed the cap.  */
static bool
record (struct history *h, double share, double cap, zp_time now)
{
  double sum = 0;

  if (share == h->share || h->len == 4 * STEPS)
    return true;
  h->change[h->len] = fabs (share - h->share);
  h->at[h->len++] = now;
  h->share = share;
  for (size_t i = h->len; i-- > 0 && now - h->at[i] <= WINDOW;)
    sum += h->change[i];
  return sum <= cap;
}

static bool
commit (struct sim *sim, double share, uint64_t term)
{
  if (sim->steps == STEPS)
    return true;
  sim->step[sim->steps++] = (struct st_shift_step){
    .term = term,
    .share = share,
    .at = local_time (sim, &sim->leader_clock[sim->leader_index])
  };
  steps_made++;
  TRACE ("%.3f step to %.6f in term %lu\n", (double) sim->now / 1e6, share,
         (unsigned long) term);
  return record (&sim->log, share, sim->cap, sim->now);
}

/* Elects a random leader.  A pending step of the old leader is either lost or
   committed before the new leader takes over.  */
static bool
change_leader (struct sim *sim)
{
  bool ok = true;
  uint64_t old = sim->leader.term;

  sim->leader_index = zp_rng_below (&sim->rng, LEADERS);
  sim->leader.term++;
  if (sim->pending && chance (&sim->rng, 0.5))
    ok = commit (sim, sim->proposed, old);
  sim->pending = false;
  sim->leader.since = local_time (sim, &sim->leader_clock[sim->leader_index]);
  TRACE ("%.3f leader %u, term %lu\n", (double) sim->now / 1e6,
         sim->leader_index, (unsigned long) sim->leader.term);
  return ok;
}

static bool
run_leader (struct sim *sim)
{
  zp_time t = local_time (sim, &sim->leader_clock[sim->leader_index]);
  struct st_site_state to = good_site (t - zp_rng_below (&sim->rng, 4000000));
  struct st_shift s = { .target = sim->target,
                        .cap = sim->cap,
                        .step = sim->step,
                        .steps = sim->steps,
                        .pending = sim->pending };

  if (sim->pending && sim->now >= sim->commit_at)
    {
      sim->pending = false;
      return commit (sim, sim->proposed, sim->leader.term);
    }
  to.failing = chance (&sim->rng, 0.05);
  to.warmth = zp_rng_unit (&sim->rng);
  sim->leader.lease = chance (&sim->rng, 0.95);
  struct st_shift_decision d = st_shift_decide (&s, &sim->leader, &to, t);
  done_decisions += d.action == ST_SHIFT_DONE;
  if (d.action != ST_SHIFT_STEP)
    return true;
  sim->pending = true;
  sim->proposed = d.share;
  sim->commit_at = sim->now + zp_rng_below (&sim->rng, 20000000);
  return true;
}

static bool
run_daemon (struct sim *sim, unsigned i)
{
  if (!sim->cut_off[i] && sim->applied[i] < sim->steps
      && chance (&sim->rng, 0.5))
    sim->applied[i]
        = chance (&sim->rng, 0.5) ? sim->steps : sim->applied[i] + 1;
  double logged
      = sim->applied[i] > 0 ? sim->step[sim->applied[i] - 1].share : 0;
  if (chance (&sim->rng, 0.001))
    {
      st_shift_follower_free (&sim->f[i]);
      st_shift_follower_init (&sim->f[i], logged);
      sim->of_daemon[i] = (struct history){ .share = logged };
    }
  double e = st_shift_follow (&sim->f[i], logged, sim->cap,
                              local_time (sim, &sim->daemon_clock[i]));
  return record (&sim->of_daemon[i], e, sim->cap, sim->now);
}

static bool
cap_holds (uint32_t seed)
{
  struct sim *sim = zp_alloc (sizeof *sim);
  bool ok = true;

  zp_rng_seed (&sim->rng, seed);
  for (unsigned i = 0; i < LEADERS + DAEMONS; i++)
    *(i < LEADERS ? &sim->leader_clock[i] : &sim->daemon_clock[i - LEADERS])
        = clock_new (&sim->rng);
  sim->cap = 0.01 + 0.2 * zp_rng_unit (&sim->rng);
  sim->target = zp_rng_unit (&sim->rng);
  ok = change_leader (sim);
  while (ok && sim->now < 1800 * S)
    {
      sim->now += zp_rng_below (&sim->rng, 2000000);
      if (chance (&sim->rng, 0.003))
        sim->target = chance (&sim->rng, 0.5) ? 0 : zp_rng_unit (&sim->rng);
      if (chance (&sim->rng, 0.005))
        ok = change_leader (sim);
      ok = ok && run_leader (sim);
      unsigned any = zp_rng_below (&sim->rng, DAEMONS);
      if (chance (&sim->rng, 0.02))
        sim->cut_off[any] = !sim->cut_off[any];
      for (unsigned i = 0; i < DAEMONS; i++)
        ok = run_daemon (sim, i) && ok;
    }
  for (unsigned i = 0; i < DAEMONS; i++)
    st_shift_follower_free (&sim->f[i]);
  free (sim);
  return ok;
}

/* Guards against changes above the cap within 60 s plus the look-up TTL: in
   the log when leaders change and shifts are revoked, and at each daemon,
   however far it is behind.  */
static void
test_cap_holds_in_any_window (void)
{
  CU_ASSERT_EQUAL (seeds_run (cap_holds, 300), 0);
  printf (" steps %lu, done %lu\n", steps_made, done_decisions);
  CU_ASSERT (steps_made > 0 && done_decisions > 0);
}

static const struct zp_test tests[] = {
  { "unfit site stops shift", test_unfit_site_stops_shift },
  { "free slots are used once", test_free_slots_are_used_once },
  { "cold site gets small steps", test_cold_site_gets_small_steps },
  { "lease, pending step and new leader",
    test_lease_pending_step_and_new_leader },
  { "both directions count", test_both_directions_count },
  { "moved blocks match share", test_moved_blocks_match_share },
  { "late daemon keeps cap", test_late_daemon_keeps_cap },
  { "cap holds in any window", test_cap_holds_in_any_window },
};

TEST_MAIN ("shift", tests)
