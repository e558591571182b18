#include "harness.h"

#include <math.h>

#include "quota/bucket.h"
#include "quota/index.h"
#include "seeds.h"

/* Guards against a bucket that gives more than its depth and its rate, also
   after a long pause.  */
static void
test_bound (void)
{
  struct qu_bucket b = { .updated = 0 };

  qu_bucket_refill (&b, 10, 5, 100 * ZP_SEC);
  CU_ASSERT (qu_bucket_take (&b, 100) == 5);
  CU_ASSERT (qu_bucket_take (&b, 1) == 0);
  unsigned taken = 0;
  for (zp_time t = 100 * ZP_SEC; t <= 110 * ZP_SEC; t += 7 * ZP_MS)
    {
      qu_bucket_refill (&b, 10, 5, t);
      taken += qu_bucket_take (&b, 1);
    }
  /* 9.996 s, and 1% less because clocks differ.  */
  CU_ASSERT (taken == 98);
}

/* Guards against tokens from a clock that goes back, and against a lower depth
   that takes effect only after the old level is spent.  */
static void
test_cut (void)
{
  struct qu_bucket b = { .updated = 0 };

  qu_bucket_refill (&b, 10, 20, 10 * ZP_SEC);
  qu_bucket_refill (&b, 10, 3, 10 * ZP_SEC);
  CU_ASSERT (b.level == 3);
  qu_bucket_refill (&b, 10, 20, 9 * ZP_SEC);
  CU_ASSERT (b.level == 3);
  qu_bucket_empty (&b, 11 * ZP_SEC);
  qu_bucket_refill (&b, 10, 20, 10 * ZP_SEC);
  CU_ASSERT (b.level == 0);
  qu_bucket_refill (&b, 10, -1, 20 * ZP_SEC);
  CU_ASSERT (b.level == 0 && qu_bucket_take (&b, 1) == 0);
}

/* Guards against a lease of one token whose bucket never has a whole one
   because of rounding.  */
static void
test_one_token (void)
{
  for (double depth = 1; depth < 3000; depth *= 1.37)
    {
      double share = ceil (16777216.0 / depth) / 16777216.0;
      struct qu_bucket b = { .updated = 0 };
      qu_bucket_refill (&b, 1, depth * share, 1000 * ZP_SEC);
      CU_ASSERT (qu_bucket_take (&b, 2) == 1);
    }
}

static void
test_depth (void)
{
  CU_ASSERT (qu_limit_depth (&(struct qu_limit){ .rate = 100, .burst = 7 })
             == 25);
  CU_ASSERT (qu_limit_depth (&(struct qu_limit){ .rate = 100, .burst = 70 })
             == 70);
  CU_ASSERT (qu_limit_depth (&(struct qu_limit){ .rate = 1 }) == 1);
}

/* Guards against keys that are lost when others are removed: random operations
   on few keys, compared with an array.  */
static void
test_index (void)
{
  enum
  {
    KEYS = 60,
  };
  struct qu_index t = { .len = 0 };
  uint32_t want[KEYS];
  struct zp_rng rng;
  bool good = true;

  zp_rng_seed (&rng, 5);
  memset (want, 0xff, sizeof want);
  for (uint32_t i = 0; i < 20000; i++)
    {
      uint32_t k = zp_rng_below (&rng, KEYS);
      if (chance (&rng, 0.5))
        qu_index_put (&t, (uint64_t) k << 32, want[k] = i);
      else
        {
          qu_index_remove (&t, (uint64_t) k << 32);
          want[k] = QU_NONE;
        }
      k = zp_rng_below (&rng, KEYS);
      good &= qu_index_get (&t, (uint64_t) k << 32) == want[k];
    }
  CU_ASSERT (good);
  qu_index_free (&t);
}

static const struct zp_test tests[] = {
  { "rate and depth", test_bound }, { "lower depth", test_cut },
  { "one token", test_one_token },  { "depth of a limit", test_depth },
  { "index", test_index },
};

TEST_MAIN ("quota-bucket", tests)
