#include "harness.h"

#include "steer/crash.h"

static struct st_crash_table crashes;

/* Guards against a request that is sent again and again and costs a server
   each time.  */
static void
test_refused_after_three (void)
{
  crashes.len = 0;
  CU_ASSERT (st_crash_note (&crashes, 7, 1, ZP_SEC));
  CU_ASSERT (!st_crash_note (&crashes, 7, 1, ZP_SEC));
  CU_ASSERT (st_crash_note (&crashes, 7, 2, 2 * ZP_SEC));
  CU_ASSERT (!st_crash_refuses (&crashes, 7, 2 * ZP_SEC));
  CU_ASSERT (st_crash_note (&crashes, 7, 3, 3 * ZP_SEC));
  CU_ASSERT (st_crash_refuses (&crashes, 7, 3 * ZP_SEC));
  CU_ASSERT (!st_crash_refuses (&crashes, 8, 3 * ZP_SEC));
  CU_ASSERT (st_crash_refuses (&crashes, 7, 3 * ZP_SEC + ST_CRASH_PERIOD));
  CU_ASSERT (!st_crash_refuses (&crashes, 7, 4 * ZP_SEC + ST_CRASH_PERIOD));
}

/* Guards against a look-up that many callers make and that is blamed because
   three servers were lost while they ran it.  */
static void
test_answers_clear (void)
{
  crashes.len = 0;
  st_crash_note (&crashes, 7, 1, ZP_SEC);
  st_crash_note (&crashes, 7, 2, ZP_SEC);
  st_crash_clear (&crashes, 7);
  st_crash_note (&crashes, 7, 3, ZP_SEC);
  CU_ASSERT (!st_crash_refuses (&crashes, 7, ZP_SEC));

  /* Losses that are long ago do not add up.  */
  crashes.len = 0;
  st_crash_note (&crashes, 7, 1, ZP_SEC);
  st_crash_note (&crashes, 7, 2, ZP_SEC);
  st_crash_note (&crashes, 7, 3, 2 * ZP_SEC + ST_CRASH_PERIOD);
  CU_ASSERT (!st_crash_refuses (&crashes, 7, 2 * ZP_SEC + ST_CRASH_PERIOD));
}

/* Guards against a table that is full of old fingerprints.  */
static void
test_full (void)
{
  crashes.len = 0;
  for (uint64_t i = 0; i < 2 * ST_CRASH_ENTRIES; i++)
    st_crash_note (&crashes, 1000 + i, 1, (zp_time) i * ZP_MS);
  CU_ASSERT_EQUAL (crashes.len, ST_CRASH_ENTRIES);
  for (uint64_t s = 1; s <= 3; s++)
    st_crash_note (&crashes, 7, s, ZP_SEC);
  CU_ASSERT (st_crash_refuses (&crashes, 7, ZP_SEC));
}

static const struct zp_test tests[]
    = { { "refused after three servers", test_refused_after_three },
        { "answers clear", test_answers_clear },
        { "a full table", test_full } };

TEST_MAIN ("crash", tests)
