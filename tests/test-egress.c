#include "harness.h"

#include "steer/egress.h"

/* The load of the larger deployments at one entry VM in a burst: a link of 4.7
   Mbit/s, and 200 requests/s whose answers have 5,000 bytes, 8 Mbit/s. Returns
   the longest wait of an answer, and how many were answered.  */
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

/* Guards against answers and sends that wait for seconds on the way out: seen
   on slanchevo-lb-grown, scale-2, where a request reached its server 0.6 s
   after its caller had left.  */
static void
test_burst (void)
{
  unsigned all, some;

  CU_ASSERT (simulate (false, &all) > 2 * ZP_SEC);
  CU_ASSERT (simulate (true, &some) < 200 * ZP_MS);
  /* The link is used: 4.7 Mbit/s carry 106 answers a second.  */
  CU_ASSERT (some > 480);
}

/* Guards against a bound on links whose rate is not known.  */
static void
test_unbounded (void)
{
  struct st_egress e;

  st_egress_init (&e, 0);
  st_egress_add (&e, 1u << 30, ZP_SEC);
  CU_ASSERT_EQUAL (st_egress_wait (&e, ZP_SEC), 0);
}

static const struct zp_test tests[]
    = { { "a burst", test_burst }, { "no bound", test_unbounded } };

TEST_MAIN ("egress", tests)
