#include "harness.h"

#include "roster/rank.h"

/* Guards against an entry daemon that changes its source while all control
   daemons start: the one that it follows hears of the leader a little later
   than another.  */
static void
test_new_connection_is_kept (void)
{
  struct ro_control_state s = { .answered = true, .answered_at = 10 * ZP_SEC };

  CU_ASSERT_EQUAL (ro_rank (&s, 10 * ZP_SEC + 600 * ZP_MS), RO_RANK_CURRENT);
  s.current = s.was_current = true;
  CU_ASSERT_EQUAL (ro_rank (&s, 20 * ZP_SEC), RO_RANK_CURRENT);
}

/* Guards against an entry daemon that goes on following a control daemon that
   is cut off from the leader, from the start or later.  */
static void
test_stale_source_is_left (void)
{
  struct ro_control_state s = { .answered = true, .answered_at = 10 * ZP_SEC };

  CU_ASSERT_EQUAL (ro_rank (&s, 10 * ZP_SEC + RO_RANK_GRACE),
                   RO_RANK_CONNECTED);
  s.was_current = true;
  CU_ASSERT_EQUAL (ro_rank (&s, 10 * ZP_SEC + 1), RO_RANK_CONNECTED);
  s.answered = false;
  CU_ASSERT_EQUAL (ro_rank (&s, 10 * ZP_SEC + 1), RO_RANK_NONE);
}

static const struct zp_test tests[]
    = { { "a new connection is kept", test_new_connection_is_kept },
        { "a stale source is left", test_stale_source_is_left } };

TEST_MAIN ("roster-rank", tests)
