#include "harness.h"

#include "steer/place.h"

#define SERVERS 12

static struct st_candidate
server (uint64_t id, enum st_tier tier)
{
  return (struct st_candidate){ .server = id,
                                .tier = tier,
                                .capacity = 6,
                                .slots = 6,
                                .ramp = 1,
                                .health = ST_HEALTH_UP };
}

static struct st_placement
place (const struct st_candidate *c, size_t n, struct zp_rng *rng)
{
  struct st_place_request r = { .alone = false };
  return st_place (c, n, &r, rng);
}

/* Guards against requests that leave the failure domain or the region while a
   nearer server has a free slot, and against choosing an other region that is
   not the nearest.  */
static void
test_nearest_tier_first (void)
{
  struct zp_rng rng;
  struct st_candidate c[]
      = { server (1, ST_TIER_REMOTE), server (2, ST_TIER_REMOTE),
          server (3, ST_TIER_REGION), server (4, ST_TIER_DOMAIN) };
  const uint64_t order[] = { 4, 3, 2, 1 };

  zp_rng_seed (&rng, 1);
  c[0].latency = 55 * ZP_MS;
  c[1].latency = 20 * ZP_MS;
  for (int i = 0; i < 4; i++)
    {
      struct st_placement p = place (c, 4, &rng);
      CU_ASSERT_EQUAL (p.kind, ST_PLACED);
      CU_ASSERT_EQUAL (p.u.chosen.server, order[i]);
      c[p.u.chosen.index].own = 6;
    }
  struct st_placement p = place (c, 4, &rng);
  CU_ASSERT_EQUAL (p.kind, ST_PLACE_FULL);
  CU_ASSERT_EQUAL (p.u.skipped[ST_SKIP_FULL], 4);
}

/* Guards against trusting a report more than our own counts, or an old report
   as much as a new one.  */
static void
test_own_counts_before_reports (void)
{
  struct st_candidate idle = server (1, ST_TIER_DOMAIN), c = idle;

  /* The report shows fewer requests than we have in flight.  */
  c.own = 4;
  double without = st_place_score (&c);
  c.report.kind = ST_REPORT_INFLIGHT;
  CU_ASSERT_EQUAL (st_place_score (&c), without);

  /* All slots are ours, so the report cannot be right.  */
  c = idle;
  c.report.kind = ST_REPORT_LOAD;
  c.report.u.load = 1.0;
  CU_ASSERT_EQUAL (st_place_score (&c), st_place_score (&idle));

  /* Four slots belong to others; each second halves the report's weight.  */
  c.slots = 2;
  CU_ASSERT_DOUBLE_EQUAL (st_place_score (&c), 5.0 / 6, 1e-9);
  c.report.age = ZP_SEC;
  CU_ASSERT_DOUBLE_EQUAL (st_place_score (&c), 3.0 / 6, 1e-9);
  c.report.age = 2 * ZP_SEC;
  CU_ASSERT_DOUBLE_EQUAL (st_place_score (&c), 2.0 / 6, 1e-9);
  /* The requests that a report shows include our own.  */
  c.report = (struct st_load_report){ .kind = ST_REPORT_INFLIGHT,
                                      .u = { .inflight = 3 } };
  c.own = 1;
  CU_ASSERT_DOUBLE_EQUAL (st_place_score (&c), 4.0 / 6, 1e-9);
  c.own = 0;
  c.report.age = 60 * ZP_SEC;
  CU_ASSERT_DOUBLE_EQUAL (st_place_score (&c), 1.0 / 6, 1e-9);
}

/* Guards against a thundering herd on the server that looks idle: when all
   daemons have the same outdated view, no server gets more than twice its
   share.  The busiest one gets nothing, because every other has a lower
   score.  */
static void
test_no_herd_with_equal_views (void)
{
  struct zp_rng rng;
  struct st_candidate c[SERVERS];
  unsigned got[SERVERS] = { 0 };

  zp_rng_seed (&rng, 2);
  for (int i = 0; i < SERVERS; i++)
    {
      c[i] = server ((uint64_t) i + 1, ST_TIER_DOMAIN);
      c[i].own = i == 0 ? 0 : 3;
    }
  for (int i = 0; i < 12000; i++)
    got[place (c, SERVERS, &rng).u.chosen.index]++;
  for (int i = 0; i < SERVERS; i++)
    CU_ASSERT (got[i] > 0 && got[i] <= 2 * 1000 * 11 / 10);
  c[1].own = 5;
  for (int i = 0; i < 1000; i++)
    CU_ASSERT_NOT_EQUAL (place (c, SERVERS, &rng).u.chosen.index, 1);
}

/* Guards against a new server that attracts all requests, and against leaving
   it idle when no other server has a free slot.  */
static void
test_slow_start_limits_new_server (void)
{
  struct zp_rng rng;
  struct st_candidate c[SERVERS];

  zp_rng_seed (&rng, 3);
  for (int i = 0; i < SERVERS; i++)
    c[i] = server ((uint64_t) i + 1, ST_TIER_DOMAIN);
  c[0].ramp = 0.4;
  for (int i = 0; i < 11 * 6 + 2; i++)
    {
      struct st_placement p = place (c, SERVERS, &rng);
      CU_ASSERT_EQUAL (p.kind, ST_PLACED);
      CU_ASSERT (!p.u.chosen.past_ramp);
      c[p.u.chosen.index].own++;
      CU_ASSERT (c[0].own <= 2);
    }
  struct st_placement p = place (c, SERVERS, &rng);
  CU_ASSERT_EQUAL (p.kind, ST_PLACED);
  CU_ASSERT (p.u.chosen.past_ramp);
  CU_ASSERT_EQUAL (p.u.chosen.server, 1);

  struct st_candidate cold = server (1, ST_TIER_DOMAIN), warm = cold;
  cold.cold = true;
  CU_ASSERT (st_place_score (&cold) > st_place_score (&warm));
}

/* Guards against a second probe, a retry used as a probe, and new requests for
   servers that are ejected, leaving, tried before or out of connections.  */
static void
test_unusable_servers_are_skipped (void)
{
  struct zp_rng rng;
  struct st_candidate c = server (1, ST_TIER_DOMAIN);
  struct st_place_request retry = { .retry = true };

  zp_rng_seed (&rng, 4);
  CU_ASSERT_EQUAL (place (&c, 0, &rng).kind, ST_PLACE_NO_SERVER);
  c.health = ST_HEALTH_EJECTED;
  CU_ASSERT_EQUAL (place (&c, 1, &rng).kind, ST_PLACE_EJECTED);
  c.health = ST_HEALTH_PROBING;
  CU_ASSERT_EQUAL (place (&c, 1, &rng).kind, ST_PLACE_EJECTED);
  c.health = ST_HEALTH_PROBE_DUE;
  CU_ASSERT_EQUAL (place (&c, 1, &rng).kind, ST_PLACED_PROBE);
  CU_ASSERT_EQUAL (st_place (&c, 1, &retry, &rng).kind, ST_PLACE_EJECTED);
  c = server (1, ST_TIER_DOMAIN);
  c.leaving = true;
  CU_ASSERT_EQUAL (place (&c, 1, &rng).kind, ST_PLACE_NO_SERVER);
  c = server (1, ST_TIER_DOMAIN);
  c.tried = true;
  CU_ASSERT_EQUAL (place (&c, 1, &rng).kind, ST_PLACE_TRIED);
  c = server (1, ST_TIER_DOMAIN);
  c.blocked = true;
  CU_ASSERT_EQUAL (place (&c, 1, &rng).kind, ST_PLACE_FULL);
}

/* Guards against other requests of ours on the server of a suspect request,
   and against copies of one new request on a second server.  */
static void
test_suspect_runs_alone (void)
{
  struct zp_rng rng;
  struct st_candidate c[2]
      = { server (1, ST_TIER_DOMAIN), server (2, ST_TIER_REGION) };
  struct st_place_request alone = { .alone = true }, only = { .only = 2 };

  zp_rng_seed (&rng, 5);
  c[0].own = 1;
  CU_ASSERT_EQUAL (st_place (c, 2, &alone, &rng).u.chosen.server, 2);
  c[1].own = 1;
  c[1].reserved = true;
  CU_ASSERT_EQUAL (st_place (c, 2, &alone, &rng).kind, ST_PLACE_BUSY);
  c[0].own = 6;
  CU_ASSERT_EQUAL (place (c, 2, &rng).kind, ST_PLACE_FULL);
  c[0].own = 0;
  c[1].reserved = false;
  CU_ASSERT_EQUAL (st_place (c, 2, &only, &rng).u.chosen.server, 2);
}

/* Guards against log lines that do not give the reason of the decision.  */
static void
test_text_gives_the_reason (void)
{
  struct zp_rng rng;
  struct zp_buf b = { .ptr = NULL };
  struct st_candidate c[2]
      = { server (1, ST_TIER_REGION), server (2, ST_TIER_REGION) };

  zp_rng_seed (&rng, 6);
  struct st_placement p = place (c, 2, &rng);
  st_placement_text (&p, &b);
  CU_ASSERT_STRING_EQUAL (b.ptr,
                          "placed tier=region score=0.17 other=0.17 own=0/6");
  c[0].own = 6;
  c[1].health = ST_HEALTH_EJECTED;
  p = place (c, 2, &rng);
  zp_buf_clear (&b);
  st_placement_text (&p, &b);
  CU_ASSERT_STRING_EQUAL (b.ptr,
                          "full full=1 ejected=1 busy=0 tried=0 leaving=0");
  zp_buf_free (&b);
}

static const struct zp_test tests[]
    = { { "nearest tier first", test_nearest_tier_first },
        { "own counts take precedence over reports",
          test_own_counts_before_reports },
        { "no herd with equal views", test_no_herd_with_equal_views },
        { "slow start limits a new server",
          test_slow_start_limits_new_server },
        { "unusable servers are skipped", test_unusable_servers_are_skipped },
        { "suspect runs alone", test_suspect_runs_alone },
        { "text gives the reason", test_text_gives_the_reason } };

TEST_MAIN ("place", tests)
