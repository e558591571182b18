#include "harness.h"

#include "base/rng.h"
#include "steer/pace.h"

/* Guards against cold servers that get more than they tolerate: seven daemons
   that know nothing of each other and always have requests.  The bound of a
   second is the rate times 1.5 and 5 more.  */
static void
test_sum_of_all_daemons (void)
{
  enum
  {
    DAEMONS = 7,
    STEP_MS = 5,
    STEPS = 4000,
  };
  const double rate = 13.0;
  struct st_pace pace[DAEMONS] = { { 0 } };
  static unsigned sent[STEPS];
  struct zp_rng rng;

  zp_rng_seed (&rng, 9);
  for (int i = 0; i < STEPS; i++)
    for (int d = 0; d < DAEMONS; d++)
      {
        zp_time now = (zp_time) (i + 1) * STEP_MS * ZP_MS;
        if (zp_rng_unit (&rng) < 0.2
            || !st_pace_open (&pace[d], rate, DAEMONS, now))
          continue;
        st_pace_take (&pace[d], rate, DAEMONS, now);
        sent[i]++;
      }
  unsigned window = 0, most = 0, all = 0;
  for (int i = 0; i < STEPS; i++)
    {
      window += sent[i];
      all += sent[i];
      if (i >= 1000 / STEP_MS)
        window -= sent[i - 1000 / STEP_MS];
      most = window > most ? window : most;
    }
  CU_ASSERT (most <= (unsigned) (rate * 1.5 + 5));
  /* The rate is used, too.  */
  CU_ASSERT (all >= (unsigned) (rate * 0.9 * STEPS * STEP_MS / 1000));
}

static const struct zp_test tests[]
    = { { "sum of all daemons", test_sum_of_all_daemons } };

TEST_MAIN ("pace", tests)
