#include "harness.h"

#include "roster/rank.h"

/* Guards against an entry daemon that changes its source needlessly while all
   control daemons start: its source may learn of the leader a little later
   than another control daemon.  */
static void
test_grace_of_new_connection (void)
{
  struct ro_control_state s = { .answered = true, .answered_at = 10 * ZP_SEC };

  CU_ASSERT_EQUAL (ro_rank (&s, 10 * ZP_SEC + 600 * ZP_MS), RO_RANK_CURRENT);
  s.fresh = s.was_fresh = true;
  CU_ASSERT_EQUAL (ro_rank (&s, 20 * ZP_SEC), RO_RANK_CURRENT);
}

/* Guards against an entry daemon that keeps following a control daemon that is
   cut off from the leader, either from the start or later.  */
static void
test_rank_without_leader (void)
{
  struct ro_control_state s = { .answered = true, .answered_at = 10 * ZP_SEC };

  CU_ASSERT_EQUAL (ro_rank (&s, 10 * ZP_SEC + RO_RANK_GRACE),
                   RO_RANK_CONNECTED);
  s.was_fresh = true;
  CU_ASSERT_EQUAL (ro_rank (&s, 10 * ZP_SEC + 1), RO_RANK_CONNECTED);
  s.answered = false;
  CU_ASSERT_EQUAL (ro_rank (&s, 10 * ZP_SEC + 1), RO_RANK_NONE);
}

static const struct zp_test tests[]
    = { { "grace period of a new connection", test_grace_of_new_connection },
        { "rank without contact to the leader", test_rank_without_leader } };

TEST_MAIN ("roster-rank", tests)
