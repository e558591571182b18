#include "harness.h"

#include "steer/egress.h"

/* Simulates a burst at one entry VM of the larger deployments: a link of 4.7
   Mbit/s, and 200 requests/s with answers of 5,000 bytes, which is 8 Mbit/s.
   When BOUNDED, requests over ST_EGRESS_WAIT are refused with 250 bytes each.
   Returns the longest wait of an answer, and the number of answers in
   ANSWERED.  */
static zp_time
simulate (bool bounded, unsigned *answered)
{
  struct st_egress e;
  zp_time longest = 0;

  st_egress_init (&e, 4.7);
  *answered = 0;
  for (zp_time now = ZP_SEC; now < 6 * ZP_SEC; now += 5 * ZP_MS)
    {
      zp_time wait = st_egress_wait (&e, now);
      if (bounded && wait > ST_EGRESS_WAIT)
        {
          st_egress_add (&e, 250, now);
          continue;
        }
      st_egress_add (&e, 5500, now);
      ++*answered;
      wait = st_egress_wait (&e, now);
      longest = wait > longest ? wait : longest;
    }
  return longest;
}

/* Guards against answers and forwarded requests that wait for seconds on the
   outgoing link, as on the deployment slanchevo-lb-grown (workload scale-2),
   where a request reached its server 0.6 s after its caller had left.  */
static void
test_burst (void)
{
  unsigned all, some;

  CU_ASSERT (simulate (false, &all) > 2 * ZP_SEC);
  CU_ASSERT (simulate (true, &some) < 200 * ZP_MS);
  /* The link is used: 4.7 Mbit/s carry 106 answers a second.  */
  CU_ASSERT (some > 480);
}

/* Guards against a limit on links whose rate is unknown.  */
static void
test_unbounded (void)
{
  struct st_egress e;

  st_egress_init (&e, 0);
  st_egress_add (&e, 1u << 30, ZP_SEC);
  CU_ASSERT_EQUAL (st_egress_wait (&e, ZP_SEC), 0);
}

static const struct zp_test tests[]
    = { { "burst", test_burst }, { "link of unknown rate", test_unbounded } };

TEST_MAIN ("egress", tests)
