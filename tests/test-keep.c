/* Tests when a connection is kept as a witness, without a network.  */

#include "harness.h"

#include "forward/keep.h"

#define AT(ms) ((ms) *ZP_MS)

/* A connection whose first call was sent at 2 ms and answered at 3 ms.  */
static struct fw_keep
open_keep (void)
{
  struct fw_keep k = { .state = FW_KEEP_CLOSED };

  CU_ASSERT_EQUAL (fw_keep_step (&k, FW_KEEP_WANTED, AT (1)), FW_KEEP_CONNECT);
  CU_ASSERT_EQUAL (fw_keep_step (&k, FW_KEEP_CONNECTED, AT (2)), FW_KEEP_CALL);
  CU_ASSERT_FALSE (fw_keep_is_witness (&k, AT (9)));
  CU_ASSERT_EQUAL (fw_keep_step (&k, FW_KEEP_ANSWERED, AT (3)),
                   FW_KEEP_NOTHING);
  return k;
}

/* Guards against a witness that was not proved before the request was sent, or
   is lost.  */
static void
test_witness (void)
{
  struct fw_keep k = open_keep ();

  CU_ASSERT (fw_keep_is_witness (&k, AT (4)));
  CU_ASSERT_FALSE (fw_keep_is_witness (&k, AT (3)));
  CU_ASSERT_EQUAL (fw_keep_step (&k, FW_KEEP_LOST, AT (5)), FW_KEEP_CLOSE);
  CU_ASSERT_FALSE (fw_keep_is_witness (&k, AT (6)));
}

/* Guards against the answer to an earlier call that counts for one that was
   asked for while it was in progress.  */
static void
test_calls (void)
{
  struct fw_keep k = open_keep ();

  CU_ASSERT_EQUAL (k.called, AT (2));
  CU_ASSERT_EQUAL (fw_keep_step (&k, FW_KEEP_ASKED, AT (10)), FW_KEEP_CALL);
  CU_ASSERT_EQUAL (fw_keep_step (&k, FW_KEEP_ASKED, AT (12)), FW_KEEP_NOTHING);
  CU_ASSERT_EQUAL (fw_keep_step (&k, FW_KEEP_ANSWERED, AT (14)), FW_KEEP_CALL);
  CU_ASSERT_EQUAL (k.called, AT (10));
  CU_ASSERT_EQUAL (fw_keep_step (&k, FW_KEEP_ANSWERED, AT (16)),
                   FW_KEEP_NOTHING);
  CU_ASSERT_EQUAL (k.called, AT (14));
}

/* Guards against an answer that nothing has asked for, such as a late copy,
   taken for that to the next call.  */
static void
test_answer_without_call (void)
{
  struct fw_keep k = open_keep ();

  CU_ASSERT_EQUAL (fw_keep_step (&k, FW_KEEP_ANSWERED, AT (5)), FW_KEEP_CLOSE);
}

/* Guards against a flood of connects to a server that refuses them, and
   against a connection that stays lost or silent.  */
static void
test_connects (void)
{
  struct fw_keep k = open_keep ();
  const zp_time again = AT (1) + FW_KEEP_CONNECT_EVERY;

  fw_keep_step (&k, FW_KEEP_LOST, AT (5));
  CU_ASSERT_EQUAL (fw_keep_step (&k, FW_KEEP_WANTED, AT (6)), FW_KEEP_NOTHING);
  CU_ASSERT_EQUAL (fw_keep_due (&k), again);
  CU_ASSERT_EQUAL (fw_keep_step (&k, FW_KEEP_TIME, again), FW_KEEP_CONNECT);
  CU_ASSERT_EQUAL (fw_keep_due (&k), again + FW_KEEP_ANSWER_MAX);
  CU_ASSERT_EQUAL (fw_keep_step (&k, FW_KEEP_TIME, again + FW_KEEP_ANSWER_MAX),
                   FW_KEEP_CLOSE);
}

/* Guards against connections that are kept without need.  */
static void
test_end (void)
{
  struct fw_keep k = open_keep ();
  const zp_time end = AT (1) + FW_KEEP_WANTED_TIME;

  CU_ASSERT_EQUAL (fw_keep_due (&k), end);
  CU_ASSERT_EQUAL (fw_keep_step (&k, FW_KEEP_TIME, end - 1), FW_KEEP_NOTHING);
  CU_ASSERT_FALSE (fw_keep_is_over (&k, end));
  CU_ASSERT_EQUAL (fw_keep_step (&k, FW_KEEP_TIME, end), FW_KEEP_CLOSE);
  CU_ASSERT (fw_keep_is_over (&k, end));
}

static const struct zp_test tests[] = {
  { "which connection is a witness", test_witness },
  { "calls", test_calls },
  { "an answer without a call", test_answer_without_call },
  { "connects", test_connects },
  { "the end", test_end },
};

TEST_MAIN ("keep", tests)
