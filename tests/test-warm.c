#include "harness.h"

#include "steer/warm.h"

/* Guards against objects that count as cached for ever, or still after another
   object has replaced them.  */
static void
test_entries (void)
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

/* Guards against an expected time of 0 while no request, or none of that cache
   state, was measured.  */
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
  /* After the first times a single one has little weight.  */
  for (int i = 0; i < 100; i++)
    st_service_times_note (&t, true, 100);
  st_service_times_note (&t, true, 1100);
  CU_ASSERT (st_service_times_expect (&t, true, 300) < 220);
}

static const struct zp_test tests[]
    = { { "entries expire and are replaced", test_entries },
        { "mean times, warm and cold", test_times } };

TEST_MAIN ("warm", tests)
