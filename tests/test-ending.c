/* Tests what shows that an answer that ends with its connection is whole,
   without a network.  */

#include "harness.h"

#include "forward/ending.h"

#define ANSWERED FW_EVENT_WITNESS_ANSWERED
#define LOST FW_EVENT_WITNESS_LOST
#define ENDED FW_EVENT_ANSWER_ENDED
#define TIME FW_EVENT_TIME

struct event
{
  enum fw_ending_event event;
  zp_time at; /* milliseconds */
};

/* Applies N events; all but the last one must leave the ending pending.  */
static enum fw_ending_result
run (enum fw_witness_kind witness, const struct event *events, size_t n)
{
  struct fw_ending e = fw_ending_begin (witness);

  for (size_t i = 0; i + 1 < n; i++)
    CU_ASSERT_EQUAL (
        fw_ending_step (&e, events[i].event, events[i].at * ZP_MS),
        FW_ENDING_PENDING);
  return fw_ending_step (&e, events[n - 1].event, events[n - 1].at * ZP_MS);
}

#define RUN(witness, ...)                                                     \
  run (witness, (const struct event[]){ __VA_ARGS__ },                        \
       sizeof ((const struct event[]){ __VA_ARGS__ })                         \
           / sizeof (struct event))

/* Guards against an answer that passes as whole though no connection was used
   before it.  */
static void
test_no_witness (void)
{
  CU_ASSERT_EQUAL (RUN (FW_WITNESS_NONE, { ENDED, 10 }), FW_ENDING_UNPROVED);
  CU_ASSERT_EQUAL (RUN (FW_WITNESS_NONE, { ANSWERED, 9 }, { ENDED, 10 }),
                   FW_ENDING_UNPROVED);
}

/* Guards against an answer of an ended process that passes as whole.  */
static void
test_lost_witness (void)
{
  CU_ASSERT_EQUAL (RUN (FW_WITNESS_IDLE, { ENDED, 9 }, { LOST, 10 }),
                   FW_ENDING_UNPROVED);
  CU_ASSERT_EQUAL (RUN (FW_WITNESS_IDLE, { LOST, 9 }, { ENDED, 10 }),
                   FW_ENDING_UNPROVED);
  CU_ASSERT_EQUAL (
      RUN (FW_WITNESS_CALLED, { ENDED, 1 }, { ANSWERED, 2 }, { LOST, 51 }),
      FW_ENDING_UNPROVED);
  CU_ASSERT_EQUAL (RUN (FW_WITNESS_CALLED, { LOST, 1 }, { ENDED, 90 }),
                   FW_ENDING_UNPROVED);
}

/* Guards against a proof before an ended process has closed its sockets.  */
static void
test_settling (void)
{
  const zp_time settle = FW_ENDING_SETTLE / ZP_MS;

  CU_ASSERT_EQUAL (
      RUN (FW_WITNESS_IDLE, { ENDED, 100 }, { TIME, 99 + settle }),
      FW_ENDING_PENDING);
  CU_ASSERT_EQUAL (
      RUN (FW_WITNESS_IDLE, { ENDED, 100 }, { TIME, 100 + settle }),
      FW_ENDING_WHOLE);
  CU_ASSERT_EQUAL (RUN (FW_WITNESS_CALLED, { ENDED, 100 }, { ANSWERED, 101 },
                        { TIME, 99 + settle }),
                   FW_ENDING_PENDING);
  CU_ASSERT_EQUAL (RUN (FW_WITNESS_CALLED, { ENDED, 100 }, { ANSWERED, 101 },
                        { TIME, 100 + settle }),
                   FW_ENDING_WHOLE);
  CU_ASSERT_EQUAL (
      RUN (FW_WITNESS_CALLED, { ENDED, 100 }, { ANSWERED, 101 + settle }),
      FW_ENDING_WHOLE);
}

/* Guards against a process whose end takes longer than the time to settle.  */
static void
test_call_is_needed (void)
{
  const zp_time late = FW_ENDING_CALL_MAX / ZP_MS;

  CU_ASSERT_EQUAL (
      RUN (FW_WITNESS_CALLED, { ENDED, 100 }, { TIME, 99 + late }),
      FW_ENDING_PENDING);
  CU_ASSERT_EQUAL (RUN (FW_WITNESS_CALLED, { ANSWERED, 99 }, { ENDED, 100 },
                        { TIME, 99 + late }),
                   FW_ENDING_PENDING);
  CU_ASSERT_EQUAL (
      RUN (FW_WITNESS_CALLED, { ENDED, 100 }, { TIME, 100 + late }),
      FW_ENDING_UNPROVED);
}

/* Guards against a caller that waits without end.  */
static void
test_when_time_decides (void)
{
  struct fw_ending e = fw_ending_begin (FW_WITNESS_CALLED);

  CU_ASSERT_EQUAL (fw_ending_due (&e), ZP_NEVER);
  CU_ASSERT_EQUAL (fw_ending_step (&e, ENDED, 7 * ZP_MS), FW_ENDING_PENDING);
  CU_ASSERT_EQUAL (fw_ending_due (&e), 7 * ZP_MS + FW_ENDING_CALL_MAX);
  CU_ASSERT_EQUAL (fw_ending_step (&e, ANSWERED, 8 * ZP_MS),
                   FW_ENDING_PENDING);
  CU_ASSERT_EQUAL (fw_ending_due (&e), 7 * ZP_MS + FW_ENDING_SETTLE);
}

static const struct zp_test tests[] = {
  { "no witness", test_no_witness },
  { "a witness that is lost", test_lost_witness },
  { "time to settle", test_settling },
  { "a call after the end", test_call_is_needed },
  { "when the time decides", test_when_time_decides },
};

TEST_MAIN ("ending", tests)
