#include "harness.h"

#include "load/request.h"

static const struct lo_service once
    = { .once = 1, .deadline_ms = 1000, .tries = 4 };
static const struct lo_service plain = { .deadline_ms = 1000, .tries = 4 };

/* Guards against running a request twice (P5): with a new key, it could run
   again after a send that may have run.  */
static void
test_key_is_kept_until_not_run (void)
{
  struct lo_request q = { .sends = 1 };
  struct lo_action a = lo_next_action (&q, &once, LO_GOT_MAY_HAVE_RUN, 0);

  CU_ASSERT_EQUAL (a.kind, LO_SEND);
  CU_ASSERT_EQUAL (q.key, 0);
  CU_ASSERT_EQUAL (q.failovers, 1);
  lo_next_action (&q, &once, LO_GOT_NO_CONNECTION, 0);
  CU_ASSERT_EQUAL (q.key, 0);
  CU_ASSERT_EQUAL (q.not_run_keys, 0);
  lo_next_action (&q, &once, LO_GOT_NOT_RUN, 0);
  CU_ASSERT_EQUAL (q.key, 1);
  CU_ASSERT_EQUAL (q.not_run_keys, 1);
}

static void
test_outcome_when_tries_are_used_up (void)
{
  struct lo_request q = { .sends = 4 };
  struct lo_action a = lo_next_action (&q, &once, LO_GOT_NOT_RUN, 0);

  CU_ASSERT_EQUAL (a.kind, LO_END);
  CU_ASSERT_EQUAL (a.u.outcome, LO_REFUSED);
  q = (struct lo_request){ .sends = 4 };
  lo_next_action (&q, &once, LO_GOT_MAY_HAVE_RUN, 0);
  CU_ASSERT_EQUAL (q.outcome, LO_MAY_HAVE_RUN);
  /* An idempotent request has a new key for its second send, so that not-run
     says nothing about the first send.  */
  q = (struct lo_request){ .sends = 3 };
  lo_next_action (&q, &plain, LO_GOT_MAY_HAVE_RUN, 0);
  q.sends++;
  lo_next_action (&q, &plain, LO_GOT_NOT_RUN, 0);
  CU_ASSERT_EQUAL (q.outcome, LO_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (q.not_run_keys, 2);
}

static void
test_no_send_after_the_deadline (void)
{
  struct lo_request q = { .at = 5 * ZP_SEC, .sends = 1 };

  CU_ASSERT_EQUAL (
      lo_next_action (&q, &once, LO_GOT_NOT_RUN, 5 * ZP_SEC + 990 * ZP_MS)
          .kind,
      LO_END);
  CU_ASSERT_EQUAL (q.outcome, LO_REFUSED);
}

static void
test_final_answers (void)
{
  struct lo_request q = { .sends = 1 };

  CU_ASSERT_EQUAL (lo_next_action (&q, &plain, LO_GOT_ANSWER, 0).u.outcome,
                   LO_ANSWERED);
  CU_ASSERT_EQUAL (lo_next_action (&q, &plain, LO_GOT_WRONG, 0).u.outcome,
                   LO_WRONG);
  CU_ASSERT_EQUAL (lo_next_action (&q, &once, LO_GOT_ERROR, 0).u.outcome,
                   LO_FAILED);
}

static const struct zp_test tests[] = {
  { "a key is kept until not-run", test_key_is_kept_until_not_run },
  { "the outcome when all tries are used up",
    test_outcome_when_tries_are_used_up },
  { "no send after the deadline", test_no_send_after_the_deadline },
  { "final answers end a request", test_final_answers },
};

TEST_MAIN ("load-decide", tests)
