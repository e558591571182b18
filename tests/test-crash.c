#include "harness.h"

#include "steer/crash.h"

static struct st_crash_table crashes;

/* Guards against a request that is sent repeatedly and crashes a server each
   time.  */
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

/* Guards against refusing a harmless request that many callers send, because
   three servers were lost while they ran it.  */
static void
test_answer_clears (void)
{
  crashes.len = 0;
  st_crash_note (&crashes, 7, 1, ZP_SEC);
  st_crash_note (&crashes, 7, 2, ZP_SEC);
  st_crash_clear (&crashes, 7);
  st_crash_note (&crashes, 7, 3, ZP_SEC);
  CU_ASSERT (!st_crash_refuses (&crashes, 7, ZP_SEC));

  /* Losses further apart than ST_CRASH_PERIOD do not add up.  */
  crashes.len = 0;
  st_crash_note (&crashes, 7, 1, ZP_SEC);
  st_crash_note (&crashes, 7, 2, ZP_SEC);
  st_crash_note (&crashes, 7, 3, 2 * ZP_SEC + ST_CRASH_PERIOD);
  CU_ASSERT (!st_crash_refuses (&crashes, 7, 2 * ZP_SEC + ST_CRASH_PERIOD));
}

/* Guards against a table full of old fingerprints that takes no new one.  */
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
    = { { "refused after the loss of three servers",
          test_refused_after_three },
        { "an answer clears the losses", test_answer_clears },
        { "full table drops the oldest", test_full } };

TEST_MAIN ("crash", tests)
