#include "harness.h"

#include "steer/warm.h"

/* Guards against objects that count as known for ever, or after another object
   has taken their place.  */
static void
test_notes (void)
{
  struct st_warm w;

  st_warm_clear (&w);
  CU_ASSERT (!st_warm_has (&w, 0, ZP_SEC));
  CU_ASSERT (!st_warm_has (&w, 5, ZP_SEC));
  st_warm_note (&w, 5, ZP_SEC);
  CU_ASSERT (st_warm_has (&w, 5, 2 * ZP_SEC));
  CU_ASSERT (!st_warm_has (&w, 5, ZP_SEC + ST_WARM_TTL));
  st_warm_note (&w, 5 + ST_WARM_ENTRIES, 3 * ZP_SEC);
  CU_ASSERT (!st_warm_has (&w, 5, 3 * ZP_SEC));
  CU_ASSERT (st_warm_has (&w, 5 + ST_WARM_ENTRIES, 3 * ZP_SEC));
}

/* Guards against an expectation of 0 for a kind that was not seen yet.  */
static void
test_times (void)
{
  struct st_service_times t = { .warm = 0 };

  CU_ASSERT_EQUAL (st_service_times_expect (&t, true, 300), 300);
  st_service_times_note (&t, false, 400);
  CU_ASSERT_EQUAL (st_service_times_expect (&t, true, 300), 400);
  CU_ASSERT_EQUAL (st_service_times_expect (&t, false, 300), 400);
  st_service_times_note (&t, true, 100);
  st_service_times_note (&t, true, 200);
  CU_ASSERT_EQUAL (st_service_times_expect (&t, true, 300), 150);
  CU_ASSERT_EQUAL (st_service_times_expect (&t, false, 300), 400);
  /* Later ones are smoothed.  */
  for (int i = 0; i < 100; i++)
    st_service_times_note (&t, true, 100);
  st_service_times_note (&t, true, 1100);
  CU_ASSERT (st_service_times_expect (&t, true, 300) < 220);
}

static const struct zp_test tests[]
    = { { "notes of objects", test_notes },
        { "usual times of both kinds", test_times } };

TEST_MAIN ("warm", tests)
