#include "harness.h"

#include <math.h>
#include <stdlib.h>

#include "base/rng.h"
#include "base/str.h"
#include "steer/slew.h"

enum
{
  HOME,
  FAR,
};

/* Simulates about 60 requests/s.  WANT gives the share of requests that prefer
   FAR.  Each request goes to the region that it prefers; if the change would
   then exceed ST_SLEW_MAX, it goes to the region with the smaller change.
   Returns the largest change between two successive windows, and the last
   share of FAR in LAST.  */
static double
simulate (double (*want) (zp_time), double *last)
{
  enum
  {
    STEP_MS = 16,
    STEPS = 2500,
    WINDOW = 2000 / STEP_MS,
  };
  static int sent[STEPS];
  struct st_slew s = { .newest = 0 };
  struct zp_rng rng;
  double largest = 0;

  zp_rng_seed (&rng, 5);
  for (int i = 0; i < STEPS; i++)
    {
      zp_time now = (zp_time) (i + 1) * STEP_MS * ZP_MS;
      size_t region = zp_rng_unit (&rng) < want (now) ? FAR : HOME;
      if (st_slew_change (&s, region, now) > ST_SLEW_MAX)
        {
          size_t other = 1 - region;
          if (st_slew_change (&s, other, now)
              < st_slew_change (&s, region, now))
            region = other;
        }
      st_slew_note (&s, region, now);
      sent[i] = region == FAR;
    }
  for (int i = 2 * WINDOW; i < STEPS; i++)
    {
      int a = 0, b = 0;
      for (int k = 0; k < WINDOW; k++)
        {
          a += sent[i - k];
          b += sent[i - WINDOW - k];
        }
      largest = fmax (largest, fabs ((double) (a - b)) / WINDOW);
      *last = (double) a / WINDOW;
    }
  return largest;
}

/* In a burst from 10 s to 13 s two fifths of the requests prefer FAR.  */
static double
burst (zp_time now)
{
  return now > 10 * ZP_SEC && now < 13 * ZP_SEC ? 0.4 : 0.02;
}

static double
steady (zp_time now)
{
  (void) now;
  return 0.3;
}

/* Guards against traffic that leaves a region abruptly in a burst and returns
   abruptly after it, as on the deployment slanchevo-lb (workload mix, seed
   914952051828), where 30 in 100 requests came back within 2 s.  The allowed
   change is 0.15.  */
static void
test_burst (void)
{
  double last;

  CU_ASSERT (simulate (burst, &last) <= 0.15);
  CU_ASSERT (last < 0.1);
}

/* Guards against a limit that keeps the share from reaching a steady
   target.  */
static void
test_steady (void)
{
  double last;

  simulate (steady, &last);
  CU_ASSERT (last > 0.15 && last < 0.45);
}

/* Guards against a change that is computed from too few requests, or from
   requests older than the two windows.  */
static void
test_little_traffic (void)
{
  struct st_slew s = { .newest = 0 };

  for (int i = 0; i < ST_SLEW_REQUESTS_MIN - 1; i++)
    st_slew_note (&s, HOME, (zp_time) i * 100 * ZP_MS);
  CU_ASSERT_DOUBLE_EQUAL (st_slew_change (&s, FAR, 2 * ZP_SEC), 0, 0.001);
  for (int i = 0; i < 400; i++)
    st_slew_note (&s, HOME, 10 * ZP_SEC + (zp_time) i * 10 * ZP_MS);
  CU_ASSERT (st_slew_change (&s, FAR, 14 * ZP_SEC) > 0.0);
  CU_ASSERT_DOUBLE_EQUAL (st_slew_change (&s, FAR, 60 * ZP_SEC), 0, 0.001);
}

/* Simulates DAEMONS daemons of a region with RATE requests a second each, and
   returns the largest change of all their requests together between two
   successive windows.  */
static double
simulate_region (size_t daemons, double rate, double (*want) (zp_time))
{
  enum
  {
    STEPS = 900,
    STEP_MS = 10,
    WINDOW = 2000 / STEP_MS,
  };
  struct st_slew *s = zp_alloc (daemons * sizeof *s);
  static double far[STEPS], all[STEPS];
  struct zp_rng rng;
  double largest = 0;

  zp_rng_seed (&rng, 7);
  for (int i = 0; i < STEPS; i++)
    {
      zp_time now = (zp_time) (i + 1) * STEP_MS * ZP_MS;
      far[i] = all[i] = 0;
      for (size_t d = 0; d < daemons; d++)
        {
          if (zp_rng_unit (&rng) > rate * STEP_MS / 1000)
            continue;
          size_t region = zp_rng_unit (&rng) < want (now) ? FAR : HOME;
          if (st_slew_change (&s[d], region, now) > ST_SLEW_MAX
              && st_slew_change (&s[d], 1 - region, now)
                     < st_slew_change (&s[d], region, now))
            region = 1 - region;
          st_slew_note (&s[d], region, now);
          far[i] += region == FAR;
          all[i]++;
        }
    }
  for (int i = 2 * WINDOW; i <= STEPS; i++)
    {
      double f[2] = { 0 }, n[2] = { 0 };
      for (int k = 0; k < 2 * WINDOW; k++)
        {
          f[k / WINDOW] += far[i - 1 - k];
          n[k / WINDOW] += all[i - 1 - k];
        }
      largest = fmax (largest, fabs (f[0] / n[0] - f[1] / n[1]));
    }
  free (s);
  return largest;
}

/* The servers of the region are full after 0.7 s, and half of that passes when
   their caches are filled.  */
static double
begin (zp_time now)
{
  if (now < 700 * ZP_MS)
    return 0.02;
  return now < 2500 * ZP_MS ? 0.6 : 0.3;
}

static double
step (zp_time now)
{
  return now < 5 * ZP_SEC ? 0.05 : 0.55;
}

/* Guards against a limit that does not hold in the first seconds of traffic,
   as on mendex-mid-large (disk-storm, --vary --seed 151291784063): 24 in 100
   requests of a region with few servers changed their region.  The allowed
   change is 0.15.  */
static void
test_begin_of_traffic (void)
{
  CU_ASSERT (simulate_region (24, 19, begin) <= 0.15);
}

/* The few servers of the region are full after 0.3 s.  */
static double
few_servers (zp_time now)
{
  return now < 300 * ZP_MS ? 0.02 : 0.6;
}

/* Share of the requests of one daemon in the first 4 s that go to FAR.  */
static double
far_share (double (*want) (zp_time))
{
  struct st_slew s = { .newest = 0 };
  struct zp_rng rng;
  double far = 0, all = 0;

  zp_rng_seed (&rng, 11);
  for (zp_time now = 16 * ZP_MS; now < 4 * ZP_SEC; now += 16 * ZP_MS)
    {
      size_t region = zp_rng_unit (&rng) < want (now) ? FAR : HOME;
      if (st_slew_change (&s, region, now) > ST_SLEW_MAX)
        region = HOME;
      st_slew_note (&s, region, now);
      far += region == FAR;
      all++;
    }
  return far / all;
}

/* Guards against callers that are refused in a region with few servers, because
   its first requests count as the share that may not change: on
   tssg-edge-grown the worth of a quiet day fell from 0.68 to 0.60.  */
static void
test_region_with_few_servers (void)
{
  CU_ASSERT (far_share (few_servers) > 0.5);
}

/* Guards against a limit that holds with few daemons only: with many, each has
   few requests of its own.  */
static void
test_many_daemons (void)
{
  CU_ASSERT (simulate_region (24, 19, step) <= 0.15);
  CU_ASSERT (simulate_region (72, 6, step) <= 0.15);
}

static const struct zp_test tests[]
    = { { "burst", test_burst },
        { "steady share", test_steady },
        { "too few requests", test_little_traffic },
        { "the begin of the traffic", test_begin_of_traffic },
        { "a region with few servers", test_region_with_few_servers },
        { "many daemons", test_many_daemons } };

TEST_MAIN ("slew", tests)
