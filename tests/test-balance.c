#include "harness.h"

#include <math.h>

#include "base/rng.h"
#include "steer/balance.h"

static struct st_balance_candidate
candidate (const struct st_balance_load *l, zp_time rtt, zp_time service,
           uint64_t rank)
{
  return (struct st_balance_candidate){ .load = l,
                                        .rtt = rtt,
                                        .service = service,
                                        .mean_time = 120 * ZP_MS,
                                        .rank = rank };
}

/* Guards against sending a request to a free server without its object in the
   cache while the server that has it is busy for a short time only: under the
   load of the deployments this doubles the work and keeps the overload up.  */
static void
test_waits_for_the_warm_server (void)
{
  struct st_balance_load busy = { .slots = 6, .own = 8 };
  struct st_balance_load free_one = { .slots = 6, .own = 0 };
  struct st_balance_candidate c[]
      = { candidate (&free_one, ZP_MS, 360 * ZP_MS, 1),
          candidate (&busy, ZP_MS, 110 * ZP_MS, 2) };
  struct st_balance_choice x = st_balance_choose (c, 2, ZP_SEC);

  CU_ASSERT_EQUAL (x.kind, ST_BALANCE_SEND);
  CU_ASSERT_EQUAL (x.at, 1);
  CU_ASSERT_EQUAL (x.wait, 60 * ZP_MS); /* 3 of 6 slots, 120 ms each */

  /* With 20 requests the wait is longer than the time on a cold cache.  */
  busy.own = 20;
  x = st_balance_choose (c, 2, ZP_SEC);
  CU_ASSERT_EQUAL (x.at, 0);
  CU_ASSERT_EQUAL (x.wait, 0);
}

/* Guards against choosing a distant server while a near one would answer
   earlier.  */
static void
test_near_before_far (void)
{
  struct st_balance_load load = { .slots = 6 };
  struct st_balance_load full = { .slots = 6, .own = 18 };
  struct st_balance_candidate c[]
      = { candidate (&load, 110 * ZP_MS, 110 * ZP_MS, 1),
          candidate (&load, 3 * ZP_MS, 110 * ZP_MS, 2) };

  CU_ASSERT_EQUAL (st_balance_choose (c, 2, 0).at, 1);
  c[1].load = &full;
  CU_ASSERT_EQUAL (st_balance_choose (c, 2, 0).at, 0);
}

/* Guards against daemons that choose different servers for one object: among
   candidates that finish at about the same time only the rank decides.  */
static void
test_rank (void)
{
  struct st_balance_load a = { .slots = 6, .own = 3 }, b = { .slots = 6 };
  struct st_balance_candidate c[]
      = { candidate (&b, 3 * ZP_MS, 110 * ZP_MS, 9),
          candidate (&a, ZP_MS, 110 * ZP_MS, 5),
          candidate (&b, 2 * ZP_MS, 110 * ZP_MS, 7) };

  CU_ASSERT_EQUAL (st_balance_choose (c, 3, 0).at, 1);
  CU_ASSERT_EQUAL (st_balance_choose (c, 0, 0).kind, ST_BALANCE_NONE);
}

static bool
add_sample (struct st_balance_load *l, unsigned requests, unsigned own,
            zp_time age, zp_time now)
{
  const struct st_balance_sample s
      = { .requests = requests, .own = own, .age = age };

  return st_balance_sample (l, &s, now);
}

/* Guards against an estimate of the others' requests that never decays, so
   that a server that was full is never used again, and against one that decays
   within a service time.  */
static void
test_others (void)
{
  struct st_balance_load l = { .slots = 6, .own = 1 };

  add_sample (&l, 10, 2, 0, 10 * ZP_SEC);
  CU_ASSERT_DOUBLE_EQUAL (
      st_balance_work (&l, ST_BALANCE_WEIGHTED, 10 * ZP_SEC), 9.0, 0.001);
  CU_ASSERT (
      st_balance_work (&l, ST_BALANCE_WEIGHTED, 10 * ZP_SEC + 120 * ZP_MS)
      > 8.0);
  CU_ASSERT (st_balance_work (&l, ST_BALANCE_WEIGHTED, 15 * ZP_SEC) < 1.5);

  /* A second sample has weight one half.  */
  add_sample (&l, 2, 2, 0, 10 * ZP_SEC);
  CU_ASSERT_DOUBLE_EQUAL (
      st_balance_work (&l, ST_BALANCE_WEIGHTED, 10 * ZP_SEC), 5.0, 0.001);

  /* The server counts fewer requests than this daemon has there.  */
  struct st_balance_load m = { .slots = 6, .own = 2 };
  add_sample (&m, 1, 2, 0, ZP_SEC);
  CU_ASSERT_DOUBLE_EQUAL (st_balance_work (&m, ST_BALANCE_WEIGHTED, ZP_SEC),
                          2.0, 0.001);
}

/* Guards against a shared sample that replaces a newer one, and against one
   that counts as if it were made when it arrived.  */
static void
test_age_of_a_sample (void)
{
  struct st_balance_load l = { .slots = 6 };

  CU_ASSERT (add_sample (&l, 8, 0, 500 * ZP_MS, 10 * ZP_SEC));
  CU_ASSERT_EQUAL (l.sampled, 10 * ZP_SEC - 500 * ZP_MS);
  CU_ASSERT_DOUBLE_EQUAL (
      st_balance_work (&l, ST_BALANCE_WEIGHTED, 10 * ZP_SEC), 8 * sqrt (0.5),
      0.001);
  CU_ASSERT (!add_sample (&l, 90, 0, 501 * ZP_MS, 10 * ZP_SEC));
  CU_ASSERT_DOUBLE_EQUAL (
      st_balance_work (&l, ST_BALANCE_WEIGHTED, 10 * ZP_SEC), 8 * sqrt (0.5),
      0.001);
  /* Averaged with what is left of the first one, 300 ms after it.  */
  CU_ASSERT (add_sample (&l, 4, 0, 200 * ZP_MS, 10 * ZP_SEC));
  CU_ASSERT_DOUBLE_EQUAL (l.others, 2 + 4 * exp2 (-0.3), 0.001);
}

/* Guards against a sample that hides requests which the region has counted
   since, against counts that hide a newer sample, and against a sample that
   counts beside the counts when it is outdated.  */
static void
test_sample_and_counts (void)
{
  const zp_time t = 10 * ZP_SEC;
  struct st_balance_load l = { .slots = 6 };

  add_sample (&l, 2, 0, 0, t);
  l.region_others = 6;
  l.region_at = t + 300 * ZP_MS;
  CU_ASSERT_DOUBLE_EQUAL (
      st_balance_work (&l, ST_BALANCE_WEIGHTED, t + 300 * ZP_MS), 6, 0.001);
  l.region_at = t;
  CU_ASSERT_DOUBLE_EQUAL (st_balance_work (&l, ST_BALANCE_WEIGHTED, t), 2,
                          0.001);

  /* The requests of other regions are outdated by half after 1 s.  */
  struct st_balance_load m = { .slots = 6 };
  add_sample (&m, 10, 0, 0, t);
  m.region_others = 4;
  m.region_at = t + ZP_SEC;
  CU_ASSERT_DOUBLE_EQUAL (
      st_balance_work (&m, ST_BALANCE_WEIGHTED, t + ZP_SEC), 7, 0.001);
  m.region_at = t + 9 * ZP_SEC;
  CU_ASSERT_DOUBLE_EQUAL (
      st_balance_work (&m, ST_BALANCE_WEIGHTED, t + 9 * ZP_SEC), 4, 0.02);
  /* Without counts for ST_BALANCE_REPORT_TTL, nothing is left.  */
  CU_ASSERT (st_balance_work (&m, ST_BALANCE_WEIGHTED, t + 10 * ZP_SEC)
             < 0.02);
}

/* Guards against a change for deployments that share no samples: the larger of
   counts and decayed sample, however old each of them is.  */
static void
test_larger_of_sample_and_counts (void)
{
  const zp_time t = 10 * ZP_SEC;
  struct st_balance_load l = { .slots = 6, .own = 1 };
  static const struct
  {
    unsigned region_others;
    zp_time region_after, after;
    double work;
  } cases[] = { { 6, 0, 0, 7 },
                { 1, 0, 0, 3 },
                { 0, ZP_SEC, ZP_SEC, 2 },
                { 1, ZP_SEC, ZP_SEC, 2 },
                { 4, ZP_SEC, ZP_SEC, 5 },
                { 4, ZP_SEC, ZP_SEC + ST_BALANCE_REPORT_TTL - 1, 5 },
                { 4, 400 * ZP_MS, ZP_SEC, 2 } };

  add_sample (&l, 2, 0, 0, t);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      l.region_others = cases[i].region_others;
      l.region_at = t + cases[i].region_after;
      CU_ASSERT_DOUBLE_EQUAL (
          st_balance_work (&l, ST_BALANCE_LARGER, t + cases[i].after),
          cases[i].work, 0.001);
    }

  /* The mode of a candidate decides on its wait: 5 or 2 requests ahead.  */
  struct st_balance_candidate c = candidate (&l, 0, 100 * ZP_MS, 0);
  l = (struct st_balance_load){ .slots = 1, .region_others = 5 };
  add_sample (&l, 2, 0, 0, t);
  l.region_at = t;
  c.mean_time = 100 * ZP_MS;
  CU_ASSERT_EQUAL (st_balance_choose (&c, 1, t).wait, 500 * ZP_MS);
  c.mode = ST_BALANCE_WEIGHTED;
  CU_ASSERT_EQUAL (st_balance_choose (&c, 1, t).wait, 200 * ZP_MS);
}

/* Guards against a pace that is used long after it has changed, against a
   figure that keeps a server out or draws all requests to it, and against an
   answer without a pace that discards the last one.  */
static void
test_pace (void)
{
  const zp_time t = 10 * ZP_SEC;
  struct st_balance_load l = { .slots = 6 };
  struct st_balance_sample s = { .pace = 500 };

  CU_ASSERT_DOUBLE_EQUAL (st_balance_pace (&l, t), 1, 0);
  st_balance_sample (&l, &s, t);
  CU_ASSERT_DOUBLE_EQUAL (st_balance_pace (&l, t), 5, 0.001);
  s = (struct st_balance_sample){ .pace = 0 };
  st_balance_sample (&l, &s, t + 100 * ZP_MS);
  CU_ASSERT_DOUBLE_EQUAL (st_balance_pace (&l, t + 300 * ZP_MS), 3, 0.001);
  CU_ASSERT_DOUBLE_EQUAL (st_balance_pace (&l, t + 3 * ZP_SEC), 1, 0.01);

  /* An older figure that arrives later.  */
  s = (struct st_balance_sample){ .pace = 900, .age = 300 * ZP_MS };
  st_balance_sample (&l, &s, t + 200 * ZP_MS);
  CU_ASSERT_EQUAL (l.pace, 500);

  static const struct
  {
    unsigned pace;
    double factor;
  } bounds[]
      = { { 1, 0.5 }, { 49, 0.5 }, { 60, 0.6 }, { 2000, 20 }, { 100000, 20 } };
  for (size_t i = 0; i < sizeof bounds / sizeof bounds[0]; i++)
    {
      struct st_balance_load m = { .slots = 6 };
      s = (struct st_balance_sample){ .pace = bounds[i].pace };
      st_balance_sample (&m, &s, t);
      CU_ASSERT_DOUBLE_EQUAL (st_balance_pace (&m, t), bounds[i].factor,
                              0.001);
      /* One figure is forgotten after 3 s, also the largest.  */
      CU_ASSERT (fabs (st_balance_pace (&m, t + 3 * ZP_SEC) - 1) < 0.02);
    }
}

/* Simulates the load of a deployment on one service of a region: 6 servers of
   6 slots, 39 objects, 100 requests/s.  A server answers in 110 ms when it has
   the object in its cache of 40 objects, and in 360 ms when it does not.  Each
   object has SERVERS candidates.  Returns the cache hit ratio.  */
static double
simulate (size_t servers)
{
  enum
  {
    SERVERS = 6,
    OBJECTS = 39,
    REQUESTS = 4000,
  };
  bool cached[SERVERS][OBJECTS] = { { false } };
  zp_time ends[SERVERS][64];
  struct st_balance_load load[SERVERS];
  struct zp_rng rng;
  unsigned hits = 0;

  zp_rng_seed (&rng, 4);
  for (int s = 0; s < SERVERS; s++)
    {
      load[s] = (struct st_balance_load){ .slots = 6 };
      for (int i = 0; i < 64; i++)
        ends[s][i] = 0;
    }
  for (zp_time now = 0; now < REQUESTS * 10 * ZP_MS; now += 10 * ZP_MS)
    {
      unsigned object = zp_rng_below (&rng, OBJECTS);
      struct st_balance_candidate c[SERVERS];
      size_t n = 0;
      for (unsigned s = 0; s < SERVERS; s++)
        {
          load[s].own = 0;
          for (int i = 0; i < 64; i++)
            load[s].own += ends[s][i] > now;
          /* The servers of an object follow it on a hash ring.  */
          unsigned place = (s + SERVERS - object % SERVERS) % SERVERS;
          if (place < servers)
            c[n++] = candidate (
                &load[s], ZP_MS,
                (servers < SERVERS && place == 0 ? 110 : 360) * ZP_MS, place);
        }
      struct st_balance_choice x = st_balance_choose (c, n, now);
      unsigned at = (unsigned) (c[x.at].load - load);
      hits += cached[at][object];
      zp_time took = cached[at][object] ? 110 * ZP_MS : 360 * ZP_MS;
      cached[at][object] = true;
      for (int i = 0; i < 64; i++)
        if (ends[at][i] <= now)
          {
            ends[at][i] = now + x.wait + took;
            break;
          }
    }
  return (double) hits / REQUESTS;
}

/* Guards against spreading the requests on one object over all servers.  */
static void
test_load_of_a_deployment (void)
{
  CU_ASSERT (simulate (2) >= 0.95);
}

static const struct zp_test tests[]
    = { { "waits for the server with the object cached",
          test_waits_for_the_warm_server },
        { "near server before distant one", test_near_before_far },
        { "ties are decided by rank", test_rank },
        { "estimate of other daemons' requests", test_others },
        { "age of a sample", test_age_of_a_sample },
        { "sample and counts of the region", test_sample_and_counts },
        { "larger of sample and counts", test_larger_of_sample_and_counts },
        { "pace of a server", test_pace },
        { "load of a deployment", test_load_of_a_deployment } };

TEST_MAIN ("balance", tests)
