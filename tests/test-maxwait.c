#include "harness.h"

#include "steer/maxwait.h"

static struct st_maxwait
request (zp_time finish)
{
  return (struct st_maxwait){ .now = ZP_SEC,
                              .arrived = ZP_SEC,
                              .deadline = 3 * ZP_SEC,
                              .objective = 400 * ZP_MS,
                              .finish = finish };
}

/* Guards against requests that wait until their answer is late and so delay
   those behind them.  */
static void
test_within_the_objective (void)
{
  struct st_maxwait w = request (120 * ZP_MS);

  CU_ASSERT_EQUAL (st_maxwait_time (&w), 280 * ZP_MS);
  /* A part of the objective has passed already.  */
  w.now += 100 * ZP_MS;
  CU_ASSERT_EQUAL (st_maxwait_time (&w), 180 * ZP_MS);
}

/* Guards against cold servers whose cache is never filled, because every
   request on a new object would be late and is refused.  */
static void
test_late_anyway (void)
{
  struct st_maxwait w = request (480 * ZP_MS);

  CU_ASSERT_EQUAL (st_maxwait_time (&w), 100 * ZP_MS);
  /* No wait that would move the answer past the deadline.  */
  w.finish = 1950 * ZP_MS;
  CU_ASSERT_EQUAL (st_maxwait_time (&w), 50 * ZP_MS);
  w.finish = 2100 * ZP_MS;
  CU_ASSERT (st_maxwait_time (&w) < 0);
}

/* Guards against a request without an objective whose wait leaves no time for
   the server.  */
static void
test_without_objective (void)
{
  struct st_maxwait w = request (500 * ZP_MS);

  w.objective = 0;
  CU_ASSERT_EQUAL (st_maxwait_time (&w), 750 * ZP_MS);
}

/* Guards against retry times that are equal for all refused callers, longer
   than a caller waits, or zero.  */
static void
test_retry_after (void)
{
  struct zp_rng rng;
  zp_time low = ZP_NEVER, high = 0;

  zp_rng_seed (&rng, 3);
  for (int i = 0; i < 1000; i++)
    {
      zp_time t = st_retry_after (400 * ZP_MS, 2 * ZP_SEC, &rng);
      low = t < low ? t : low;
      high = t > high ? t : high;
    }
  CU_ASSERT (low < 230 * ZP_MS && low >= 200 * ZP_MS);
  CU_ASSERT (high > 570 * ZP_MS && high <= 600 * ZP_MS);
  CU_ASSERT_EQUAL (st_retry_after (4 * ZP_SEC, 900 * ZP_MS, &rng),
                   300 * ZP_MS);
  CU_ASSERT_EQUAL (st_retry_after (4 * ZP_SEC, 60 * ZP_SEC, &rng),
                   ST_RETRY_AFTER_MAX);
  CU_ASSERT_EQUAL (st_retry_after (0, 2 * ZP_SEC, &rng), ST_RETRY_AFTER_MIN);
}

static const struct zp_test tests[]
    = { { "wait within the objective", test_within_the_objective },
        { "request that is late anyway", test_late_anyway },
        { "request without an objective", test_without_objective },
        { "time until a refused caller retries", test_retry_after } };

TEST_MAIN ("maxwait", tests)
