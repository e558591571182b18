#include "harness.h"

#include "seeds.h"
#include "steer/stop.h"

#define TTL (2 * ZP_SEC)
#define LENGTH (5300 * ZP_MS)

static struct st_stop
begun_at (zp_time t)
{
  struct st_stop s = { .begun = false };

  st_stop_begin (&s, t, TTL, LENGTH);
  return s;
}

/* Guards against a daemon in normal operation that refuses requests.  */
static void
test_not_begun (void)
{
  struct st_stop s = { .begun = false };
  const struct st_stop_request r = { .now = 9 * ZP_SEC,
                                     .arrived = 9 * ZP_SEC,
                                     .deadline = 99 * ZP_SEC,
                                     .expected = 50 * ZP_SEC };

  CU_ASSERT (st_stop_allows (&s, &r));
  CU_ASSERT_EQUAL (st_stop_step (&s, 9 * ZP_SEC, 3), ST_STOP_NOT_BEGUN);
}

/* Guards against a request that is taken late in a planned stop and cut at its
   end, and against a stop that refuses requests that it can finish.  */
static void
test_which_requests (void)
{
  static const struct
  {
    zp_time arrived, now, deadline, expected; /* from the begin of the stop */
    bool allowed;
  } cases[] = {
    { 100 * ZP_MS, 100 * ZP_MS, 3100 * ZP_MS, 1800 * ZP_MS, true },
    /* Its deadline lies after the end, but callers hold look-ups.  */
    { 2400 * ZP_MS, 2400 * ZP_MS, 5400 * ZP_MS, 1400 * ZP_MS, true },
    { 2400 * ZP_MS, 2400 * ZP_MS, 15 * ZP_SEC, 1400 * ZP_MS, true },
    /* It takes too long.  */
    { 2400 * ZP_MS, 2400 * ZP_MS, 15 * ZP_SEC, 1500 * ZP_MS, false },
    /* It arrives after the look-ups have expired.  */
    { 2600 * ZP_MS, 2600 * ZP_MS, 5400 * ZP_MS, 10 * ZP_MS, false },
    { 3600 * ZP_MS, 3600 * ZP_MS, 6600 * ZP_MS, 1800 * ZP_MS, false },
    /* Its deadline comes before the end.  */
    { 3600 * ZP_MS, 3600 * ZP_MS, LENGTH, 1800 * ZP_MS, true },
    { 4 * ZP_SEC, 4 * ZP_SEC, LENGTH + 1, 1, false },
    /* A retry of an early request.  */
    { ZP_SEC, 4 * ZP_SEC, 7 * ZP_SEC, 500 * ZP_MS, true },
    { ZP_SEC, 4 * ZP_SEC, 7 * ZP_SEC, 700 * ZP_MS, false },
    /* Nothing is sent at the very end.  */
    { ZP_SEC, LENGTH - ST_STOP_ANSWER_TIME, LENGTH, 1, false },
    { LENGTH - 1, LENGTH - 1, LENGTH, 1, false },
  };
  const zp_time begin = 70 * ZP_SEC;

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct st_stop s = begun_at (begin);
      const struct st_stop_request r = { .now = begin + cases[i].now,
                                         .arrived = begin + cases[i].arrived,
                                         .deadline = begin + cases[i].deadline,
                                         .expected = cases[i].expected };
      CU_ASSERT_EQUAL (st_stop_allows (&s, &r), cases[i].allowed);
    }
}

/* Guards against a late request that can still be at its server when the daemon
   ends: whatever its server does, it has ended at its deadline.  */
static void
test_late_requests_end (void)
{
  struct zp_rng rng;

  zp_rng_seed (&rng, 30);
  for (int i = 0; i < 100000; i++)
    {
      zp_time begin = ZP_SEC, t = zp_rng_below (&rng, 6 * ZP_SEC);
      struct st_stop s = begun_at (begin);
      const struct st_stop_request r
          = { .now = begin + t,
              .arrived = begin + t,
              .deadline = begin + t + zp_rng_below (&rng, 4 * ZP_SEC),
              .expected = zp_rng_below (&rng, 2 * ZP_SEC) };
      if (t > TTL + ST_STOP_TAKE_SLACK && st_stop_allows (&s, &r))
        CU_ASSERT (r.deadline <= begin + LENGTH);
    }
}

/* Guards against a stop that ends while callers can still connect or while a
   request is in progress, and against one that never ends.  */
static void
test_phases (void)
{
  struct st_stop s = begun_at (0);

  CU_ASSERT_EQUAL (st_stop_step (&s, 0, 0), ST_STOP_LISTENING);
  CU_ASSERT_EQUAL (st_stop_step (&s, TTL - 1, 0), ST_STOP_LISTENING);
  CU_ASSERT_EQUAL (st_stop_step (&s, TTL, 0), ST_STOP_DRAINING);
  CU_ASSERT_EQUAL (st_stop_step (&s, TTL + 200 * ZP_MS, 1), ST_STOP_DRAINING);
  CU_ASSERT_EQUAL (st_stop_step (&s, TTL + 499 * ZP_MS, 0), ST_STOP_DRAINING);
  CU_ASSERT_EQUAL (st_stop_step (&s, TTL + 500 * ZP_MS, 0), ST_STOP_OVER);
  s = begun_at (0);
  CU_ASSERT_EQUAL (st_stop_step (&s, LENGTH - ST_STOP_ANSWER_TIME - 1, 1),
                   ST_STOP_DRAINING);
  CU_ASSERT_EQUAL (st_stop_step (&s, LENGTH - ST_STOP_ANSWER_TIME, 1),
                   ST_STOP_ANSWERING);
  CU_ASSERT_EQUAL (st_stop_step (&s, LENGTH, 1), ST_STOP_OVER);
}

/* Guards against requests that get no answer because the daemon was paused over
   the time in which it refuses them, and against a stop that does not end.  */
static void
test_pause_over_the_end (void)
{
  zp_time late = LENGTH + 2 * ZP_SEC;
  struct st_stop s = begun_at (0);

  CU_ASSERT_EQUAL (st_stop_step (&s, TTL, 1), ST_STOP_DRAINING);
  CU_ASSERT_EQUAL (st_stop_step (&s, late, 1), ST_STOP_ANSWERING);
  CU_ASSERT_EQUAL (st_stop_step (&s, late + ST_STOP_LATE_TIME - 1, 1),
                   ST_STOP_ANSWERING);
  CU_ASSERT_EQUAL (st_stop_step (&s, late + ST_STOP_LATE_TIME, 1),
                   ST_STOP_OVER);
  s = begun_at (0);
  CU_ASSERT_EQUAL (st_stop_step (&s, late, 1), ST_STOP_ANSWERING);
  CU_ASSERT_EQUAL (st_stop_step (&s, late + 1, 0), ST_STOP_OVER);
  s = begun_at (0);
  CU_ASSERT_EQUAL (st_stop_step (&s, late, 0), ST_STOP_OVER);
}

static const struct zp_test tests[]
    = { { "before a stop", test_not_begun },
        { "which requests are taken", test_which_requests },
        { "late requests end before the stop", test_late_requests_end },
        { "phases", test_phases },
        { "a pause over the end", test_pause_over_the_end } };

TEST_MAIN ("stop", tests)
