#include "harness.h"

#include <stdlib.h>

#include "base/rng.h"
#include "steer/poison.h"

#define DAEMONS_MAX 5
#define SERVERS 30
#define STEP (40 * ZP_MS)
#define LINK_CAP 1024

static const struct st_fp bad = { .hi = 1, .lo = 1 };

/* Simulation of a region in which one request crashes every server that runs
   it.  The reports of the daemons are delayed or lost.  */

struct attempt
{
  struct st_run_ref run;
  uint32_t server;
  zp_time crash;  /* when it crashes its server */
  zp_time cancel; /* when its caller cancels it */
  bool active;
  bool unknown; /* cancelled, but still running on the server */
};

/* Reports in transit from one daemon to another.  */
struct link
{
  struct st_poison_report r[LINK_CAP];
  zp_time at[LINK_CAP];
  unsigned first, len;
  zp_time last;
  bool up;
};

struct region
{
  struct zp_rng rng;
  struct st_poison *p[DAEMONS_MAX];
  struct attempt a[DAEMONS_MAX][16];
  struct link link[DAEMONS_MAX][DAEMONS_MAX];
  unsigned daemons;
  zp_time delay_max;
  zp_time now;
  unsigned crashes;
  zp_time down[SERVERS];      /* until then; 0: never crashed */
  zp_time missed_at[SERVERS]; /* when daemons notice missing announcements */
};

/* Sets the members of daemon D.  The others are live while their links to it
   are up.  */
static void
set_members (struct region *g, unsigned d)
{
  struct st_poison_member m[DAEMONS_MAX];

  for (unsigned i = 0; i < g->daemons; i++)
    m[i] = (struct st_poison_member){ .id = i + 1,
                                      .live = i == d || g->link[i][d].up };
  st_poison_set_members (g->p[d], m, g->daemons);
}

static void
setup (struct region *g, uint32_t seed, unsigned daemons, zp_time delay_max)
{
  memset (g, 0, sizeof *g);
  zp_rng_seed (&g->rng, seed);
  g->daemons = daemons;
  g->delay_max = delay_max;
  for (unsigned i = 0; i < daemons; i++)
    {
      g->p[i] = st_poison_new (i + 1, 64);
      for (unsigned k = 0; k < daemons; k++)
        g->link[i][k].up = true;
    }
  for (unsigned i = 0; i < daemons; i++)
    set_members (g, i);
}

static void
teardown (struct region *g)
{
  for (unsigned i = 0; i < g->daemons; i++)
    st_poison_free (g->p[i]);
}

static void
send_on_link (struct region *g, unsigned from, unsigned to,
              const struct st_poison_report *r)
{
  struct link *l = &g->link[from][to];

  if (!l->up)
    return;
  CU_ASSERT_FATAL (l->len < LINK_CAP);
  zp_time at
      = g->now + (zp_time) (zp_rng_unit (&g->rng) * (double) g->delay_max);
  l->last = at > l->last ? at : l->last; /* links deliver in order */
  l->at[(l->first + l->len) % LINK_CAP] = l->last;
  l->r[(l->first + l->len++) % LINK_CAP] = *r;
}

/* Puts new reports on the links and delivers those that are due.  */
static void
exchange (struct region *g)
{
  struct st_poison_message s;

  for (unsigned i = 0; i < g->daemons; i++)
    while (st_poison_next_report (g->p[i], &s))
      for (unsigned k = 0; k < g->daemons; k++)
        if (k != i && (s.to == 0 || s.to == k + 1))
          send_on_link (g, i, k, &s.report);
  for (unsigned i = 0; i < g->daemons; i++)
    for (unsigned k = 0; k < g->daemons; k++)
      for (struct link *l = &g->link[i][k];
           l->len > 0 && l->at[l->first] <= g->now; l->len--)
        {
          st_poison_merge (g->p[k], &l->r[l->first], g->now);
          l->first = (l->first + 1) % LINK_CAP;
        }
}

/* Breaks or restores a random link.  A broken link loses the reports in
   transit; a restored one begins with an export.  */
static void
flip_link (struct region *g)
{
  unsigned a = zp_rng_below (&g->rng, g->daemons);
  unsigned b = zp_rng_below (&g->rng, g->daemons);

  if (a == b)
    return;
  bool up = !g->link[a][b].up;
  g->link[a][b].up = g->link[b][a].up = up;
  g->link[a][b].len = g->link[b][a].len = 0;
  g->link[a][b].last = g->link[b][a].last = 0;
  set_members (g, a);
  set_members (g, b);
  if (!up)
    return;
  st_poison_export (g->p[a], b + 1, g->now);
  st_poison_export (g->p[b], a + 1, g->now);
}

/* Sends the request from daemon D to a random server, if it is admitted.  */
static void
submit (struct region *g, unsigned d)
{
  struct st_admit may = st_poison_admit (g->p[d], bad, g->now);
  uint32_t server = zp_rng_below (&g->rng, SERVERS);

  if (may.kind == ST_ADMIT_WAIT || may.kind == ST_ADMIT_REFUSE)
    return;
  if (may.kind == ST_ADMIT_SAME_SERVER)
    server = (uint32_t) may.u.server - 1;
  if (g->down[server] > g->now)
    return;
  for (int i = 0; i < 16; i++)
    if (!g->a[d][i].active)
      {
        zp_time crash = g->now + zp_rng_below (&g->rng, 400) * ZP_MS;
        g->a[d][i] = (struct attempt){
          .run = st_poison_run_begin (g->p[d], bad, server + 1, g->now),
          .server = server,
          .crash = crash,
          .cancel = g->now + zp_rng_below (&g->rng, 800) * ZP_MS,
          .active = true
        };
        return;
      }
}

/* Ends all runs on the server, at all daemons.  */
static void
crash_server (struct region *g, uint32_t server)
{
  g->crashes++;
  g->down[server] = g->now + 3 * ZP_SEC;
  g->missed_at[server] = g->now + 2 * ZP_SEC;
  for (unsigned d = 0; d < g->daemons; d++)
    for (int i = 0; i < 16; i++)
      {
        struct attempt *a = &g->a[d][i];
        if (!a->active || a->server != server)
          continue;
        a->active = false;
        if (!a->unknown)
          st_poison_run_end (g->p[d], a->run, ST_RUN_LOST, g->now);
      }
}

static void
run_attempts (struct region *g)
{
  for (unsigned d = 0; d < g->daemons; d++)
    {
      st_poison_tick (g->p[d], g->now);
      for (int i = 0; i < 16; i++)
        {
          struct attempt *a = &g->a[d][i];
          if (a->active && a->crash <= g->now)
            crash_server (g, a->server);
          else if (a->active && !a->unknown && a->cancel <= g->now)
            {
              a->unknown = true;
              st_poison_run_end (g->p[d], a->run, ST_RUN_UNKNOWN, g->now);
            }
        }
    }
  for (uint32_t s = 0; s < SERVERS; s++)
    if (g->missed_at[s] != 0 && g->missed_at[s] <= g->now)
      {
        g->missed_at[s] = 0;
        for (unsigned d = 0; d < g->daemons; d++)
          st_poison_server_lost (g->p[d], s + 1, g->now);
      }
}

/* Until the time END, the caller resends the request to a random one of the
   first CALLER_LIST daemons, once in PAUSE steps on average.  A link breaks or
   is restored once in FLIP steps on average; 0: never.  */
static void
resend (struct region *g, unsigned caller_list, uint32_t pause, uint32_t flip,
        zp_time end)
{
  for (; g->now < end; g->now += STEP)
    {
      if (zp_rng_below (&g->rng, pause) == 0)
        submit (g, zp_rng_below (&g->rng, caller_list));
      if (flip > 0 && zp_rng_below (&g->rng, flip) == 0)
        flip_link (g);
      run_attempts (g);
      exchange (g);
    }
}

/* Guards against a request that crashes more than 3 servers of a region.  It
   is resent through up to three daemons for 9 minutes, while reports take up
   to 2 minutes or are lost with their links.  */
static void
test_crashes_in_a_region (void)
{
  static const zp_time delays[]
      = { 0, 2 * ZP_MS, ZP_SEC, 10 * ZP_SEC, 120 * ZP_SEC };
  static const uint32_t pauses[] = { 4, 40, 400 }, flips[] = { 0, 20, 200 };
  static struct region g;
  unsigned most = 0, refusing = 0;

  for (uint32_t seed = 0; seed < 150; seed++)
    {
      unsigned daemons = seed % 4 == 0 ? 2 : 3;
      setup (&g, seed, daemons, delays[seed % 5]);
      resend (&g, daemons, pauses[seed % 3], flips[seed / 3 % 3],
              540 * ZP_SEC);
      most = g.crashes > most ? g.crashes : most;
      CU_ASSERT (g.crashes <= 3);
      for (unsigned d = 0; d < daemons; d++)
        refusing
            += st_poison_admit (g.p[d], bad, g.now).kind == ST_ADMIT_REFUSE;
      teardown (&g);
    }
  /* The test is only meaningful if some seed reaches the limit.  */
  CU_ASSERT_EQUAL (most, 3);
  CU_ASSERT (refusing > 0);
}

/* Guards against more than 3 crashed servers in a region of five daemons, when
   the caller knows three of them, all are live and reports are late.  */
static void
test_crashes_in_a_larger_region (void)
{
  static struct region g;

  for (uint32_t seed = 0; seed < 40; seed++)
    {
      setup (&g, seed, 5, (seed % 4) * 10 * ZP_SEC);
      resend (&g, 3, seed % 3 * 20 + 4, 0, 540 * ZP_SEC);
      CU_ASSERT (g.crashes <= 3);
      teardown (&g);
    }
}

/* Guards against a request that is never quarantined: with all daemons live,
   all of them refuse it soon after two losses, until ST_POISON_TTL.  */
static void
test_all_daemons_refuse_poison (void)
{
  static struct region g;

  for (uint32_t seed = 0; seed < 50; seed++)
    {
      setup (&g, seed, 3, 3 * ZP_MS);
      resend (&g, 3, 4, 0, 60 * ZP_SEC);
      CU_ASSERT (g.crashes == 2 || g.crashes == 3);
      for (unsigned d = 0; d < 3; d++)
        CU_ASSERT_EQUAL (st_poison_admit (g.p[d], bad, g.now).kind,
                         ST_ADMIT_REFUSE);
      CU_ASSERT_EQUAL (
          st_poison_admit (g.p[0], bad, g.now + ST_POISON_TTL).kind,
          ST_ADMIT_RUN);
      teardown (&g);
    }
}

/* Loses one server in a run of daemon D and reports it to the others.  */
static void
lose_server (struct region *g, unsigned d)
{
  struct st_run_ref r = st_poison_run_begin (g->p[d], bad, d + 1, g->now);

  st_poison_run_end (g->p[d], r, ST_RUN_LOST, g->now);
  exchange (g);
}

static enum st_admit_kind
admit (struct region *g, unsigned d)
{
  return st_poison_admit (g->p[d], bad, g->now).kind;
}

/* Guards against a trial without the votes of all live daemons or without a
   quorum of all daemons, and against two trials at once.  */
static void
test_trial_needs_votes (void)
{
  static struct region g;
  struct st_poison_member two[] = { { .id = 1 }, { .id = 2 } };

  /* Two of four other daemons have voted; the requests to the other two were
     lost.  */
  setup (&g, 1, 5, 0);
  lose_server (&g, 0);
  CU_ASSERT_EQUAL (admit (&g, 0), ST_ADMIT_WAIT);
  g.link[0][3].up = g.link[0][4].up = false;
  exchange (&g);
  exchange (&g);
  CU_ASSERT_EQUAL (admit (&g, 0), ST_ADMIT_WAIT);
  g.link[0][3].up = g.link[0][4].up = true;
  g.now += ZP_SEC;
  CU_ASSERT_EQUAL (admit (&g, 0), ST_ADMIT_WAIT);
  exchange (&g);
  exchange (&g);
  CU_ASSERT_EQUAL (admit (&g, 0), ST_ADMIT_ALONE);

  /* The votes are held until the trial ends, so no other daemon gets one.  */
  for (unsigned d = 1; d < 5; d++)
    CU_ASSERT_EQUAL (admit (&g, d), ST_ADMIT_WAIT);
  teardown (&g);

  /* Three daemons request votes at once: those with higher ids yield.  */
  setup (&g, 1, 3, 0);
  lose_server (&g, 2);
  for (int i = 0; i < 5; i++, g.now += 200 * ZP_MS)
    {
      unsigned alone = 0;
      for (int d = 2; d >= 0; d--)
        alone += admit (&g, (unsigned) d) == ST_ADMIT_ALONE;
      CU_ASSERT (alone <= 1);
      exchange (&g);
      exchange (&g);
    }
  CU_ASSERT_EQUAL (admit (&g, 0), ST_ADMIT_ALONE);
  teardown (&g);

  /* A daemon that has the request in flight does not vote.  */
  setup (&g, 1, 3, 0);
  struct st_run_ref r = st_poison_run_begin (g.p[0], bad, 9, 0);
  lose_server (&g, 1);
  for (int i = 0; i < 5; i++, g.now += 200 * ZP_MS)
    {
      CU_ASSERT_EQUAL (admit (&g, 1), ST_ADMIT_WAIT);
      exchange (&g);
      exchange (&g);
    }
  st_poison_run_end (g.p[0], r, ST_RUN_ANSWERED, g.now);
  exchange (&g);
  CU_ASSERT_EQUAL (admit (&g, 1), ST_ADMIT_RUN);
  teardown (&g);

  /* Of two daemons that are cut off from each other, only the one with the
     lower id has a quorum.  */
  for (uint64_t self = 1; self <= 2; self++)
    {
      struct st_poison *p = st_poison_new (self, 4);
      two[0].live = self == 1;
      two[1].live = self == 2;
      st_poison_set_members (p, two, 2);
      st_poison_run_end (p, st_poison_run_begin (p, bad, 9, 0), ST_RUN_LOST,
                         0);
      CU_ASSERT_EQUAL (st_poison_admit (p, bad, 0).kind,
                       self == 1 ? ST_ADMIT_ALONE : ST_ADMIT_WAIT);
      st_poison_free (p);
    }
}

/* Tests of a single daemon.  */

static struct st_fp
good (uint64_t i)
{
  return (struct st_fp){ .hi = 2, .lo = 1000 + i };
}

/* Guards against quarantining requests that ran on a server beside the one
   that crashed it: an answer clears them, they then run without restriction,
   and later losses of servers that they run on make them suspect only.  */
static void
test_other_requests_are_cleared (void)
{
  struct st_poison *p = st_poison_new (1, 64);
  struct st_run_ref r[8], x;
  zp_time now = 0;

  for (uint64_t i = 0; i < 8; i++)
    r[i] = st_poison_run_begin (p, good (i), 1, now);
  x = st_poison_run_begin (p, bad, 1, now);
  st_poison_run_end (p, x, ST_RUN_LOST, now);
  /* The answer of this one arrives after the loss.  */
  st_poison_run_end (p, r[0], ST_RUN_ANSWERED, now);
  CU_ASSERT_EQUAL (st_poison_admit (p, good (0), now).kind, ST_ADMIT_RUN);
  for (uint64_t i = 1; i < 8; i++)
    st_poison_run_end (p, r[i], ST_RUN_LOST, now);
  for (uint64_t i = 1; i < 8; i++)
    {
      CU_ASSERT_EQUAL (st_poison_admit (p, good (i), now).kind,
                       ST_ADMIT_ALONE);
      r[i] = st_poison_run_begin (p, good (i), 10 + i, now);
      CU_ASSERT_EQUAL (st_poison_admit (p, good (i), now).kind, ST_ADMIT_WAIT);
    }
  CU_ASSERT_EQUAL (st_poison_admit (p, bad, now).kind, ST_ADMIT_ALONE);
  x = st_poison_run_begin (p, bad, 2, now);
  st_poison_run_end (p, x, ST_RUN_LOST, now);
  CU_ASSERT_EQUAL (st_poison_admit (p, bad, now).kind, ST_ADMIT_REFUSE);
  for (uint64_t i = 1; i < 8; i++)
    {
      st_poison_run_end (p, r[i], ST_RUN_ANSWERED, now);
      CU_ASSERT_EQUAL (st_poison_admit (p, good (i), now).kind, ST_ADMIT_RUN);
    }
  /* A rack failure takes two servers that run a proven request.  */
  r[1] = st_poison_run_begin (p, good (1), 21, now);
  r[2] = st_poison_run_begin (p, good (1), 22, now);
  st_poison_run_end (p, r[1], ST_RUN_LOST, now);
  st_poison_run_end (p, r[2], ST_RUN_LOST, now);
  CU_ASSERT_EQUAL (st_poison_admit (p, good (1), now).kind, ST_ADMIT_ALONE);
  st_poison_free (p);
}

/* Guards against copies of a new request on several servers, and against a
   cancelled copy whose crash is not counted.  */
static void
test_copies_of_new_request (void)
{
  struct st_poison *p = st_poison_new (1, 64);
  struct st_run_ref r = st_poison_run_begin (p, bad, 5, 0);
  struct st_admit a = st_poison_admit (p, bad, 0);

  CU_ASSERT_EQUAL (a.kind, ST_ADMIT_SAME_SERVER);
  CU_ASSERT_EQUAL (a.u.server, 5);
  st_poison_run_end (p, r, ST_RUN_UNKNOWN, 0);
  st_poison_tick (p, ZP_SEC);
  CU_ASSERT_EQUAL (st_poison_admit (p, bad, ZP_SEC).kind,
                   ST_ADMIT_SAME_SERVER);
  st_poison_server_lost (p, 5, 2 * ZP_SEC);
  CU_ASSERT_EQUAL (st_poison_admit (p, bad, 2 * ZP_SEC).kind, ST_ADMIT_WAIT);
  st_poison_tick (p, ST_POISON_LINGER);
  CU_ASSERT_EQUAL (st_poison_admit (p, bad, ST_POISON_LINGER).kind,
                   ST_ADMIT_ALONE);
  /* A refused connection changes no record.  */
  r = st_poison_run_begin (p, bad, 5, ST_POISON_LINGER);
  st_poison_run_end (p, r, ST_RUN_NOT_RUN, ST_POISON_LINGER);
  CU_ASSERT_EQUAL (st_poison_admit (p, bad, ST_POISON_LINGER).kind,
                   ST_ADMIT_ALONE);
  /* Two losses of the same server count when the second was in a trial.  */
  r = st_poison_run_begin (p, bad, 5, ST_POISON_LINGER);
  st_poison_run_end (p, r, ST_RUN_LOST, ST_POISON_LINGER);
  CU_ASSERT_EQUAL (st_poison_admit (p, bad, ST_POISON_LINGER).kind,
                   ST_ADMIT_REFUSE);
  st_poison_free (p);
}

/* Guards against a table that grows without bound or evicts poison first.  */
static void
test_table_is_bounded (void)
{
  struct st_poison *p = st_poison_new (1, 8);
  struct st_run_ref r;

  for (uint64_t s = 1; s <= 2; s++)
    {
      r = st_poison_run_begin (p, bad, s, 0);
      st_poison_run_end (p, r, ST_RUN_LOST, 0);
      if (s == 1)
        CU_ASSERT_EQUAL (st_poison_admit (p, bad, 0).kind, ST_ADMIT_ALONE);
    }
  for (uint64_t i = 0; i < 10000; i++)
    {
      r = st_poison_run_begin (p, good (i), 100 + i, (zp_time) i);
      st_poison_run_end (p, r, i % 3 ? ST_RUN_ANSWERED : ST_RUN_LOST,
                         (zp_time) i);
      CU_ASSERT (st_poison_len (p) <= 8 * 4 + 64);
    }
  CU_ASSERT_EQUAL (st_poison_admit (p, bad, 10000).kind, ST_ADMIT_REFUSE);
  /* No request is admitted while all runs are in use.  */
  for (uint64_t i = 0; i < 8; i++)
    st_poison_run_begin (p, good (20000 + i), 1, 10000);
  CU_ASSERT_EQUAL (st_poison_admit (p, good (30000), 10000).kind,
                   ST_ADMIT_WAIT);
  st_poison_free (p);
}

/* Guards against equal fingerprints of two requests whose parts differ only in
   where one ends and the next begins.  */
static void
test_fingerprint_keeps_parts_apart (void)
{
  struct st_fp a = st_fingerprint (ZP_STR ("booking"), ZP_STR ("POST"),
                                   ZP_STR ("/a"), ZP_STR ("b"));
  struct st_fp b = st_fingerprint (ZP_STR ("booking"), ZP_STR ("POST"),
                                   ZP_STR ("/ab"), ZP_STR (""));
  struct st_fp c = st_fingerprint (ZP_STR ("booking"), ZP_STR ("POST"),
                                   ZP_STR ("/a"), ZP_STR ("b"));

  CU_ASSERT (a.hi != b.hi && a.lo != b.lo);
  CU_ASSERT (a.hi == c.hi && a.lo == c.lo);
}

static const struct zp_test tests[]
    = { { "crashes in a region", test_crashes_in_a_region },
        { "crashes in a larger region", test_crashes_in_a_larger_region },
        { "all daemons refuse poison", test_all_daemons_refuse_poison },
        { "trial needs votes", test_trial_needs_votes },
        { "other requests are cleared", test_other_requests_are_cleared },
        { "copies of new request", test_copies_of_new_request },
        { "table is bounded", test_table_is_bounded },
        { "fingerprint keeps parts apart",
          test_fingerprint_keeps_parts_apart } };

TEST_MAIN ("poison", tests)
