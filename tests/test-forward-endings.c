/* Tests the forward task with answers that end with their connection, from a
   server that is a process of its own.  */

#include "endings-fixture.h"

/* Guards against half of a body that passes as whole because the server's
   process was killed.  */
static void
test_process_killed_midway (void)
{
  static const struct step at_once[]
      = { { STEP_SEND, HEAD "hello" }, { STEP_KILL, NULL } };
  static const struct step later[] = { { STEP_SEND, HEAD "hello" },
                                       { STEP_PAUSE, NULL },
                                       { STEP_SEND, ", " },
                                       { STEP_PAUSE, NULL },
                                       { STEP_KILL, NULL } };

  check_lost (at_once, false);
  check_lost (later, false);
}

/* Guards against a server that is back before it is asked whether it still
   runs.  */
static void
test_process_killed_and_started_again (void)
{
  static const struct step steps[] = { { STEP_SEND, HEAD "hello" },
                                       { STEP_PAUSE, NULL },
                                       { STEP_KILL, NULL } };

  check_lost (steps, true);
}

/* Guards against an answer and its second copy that are passed on as one
   body.  */
static void
test_second_copy (void)
{
  static const struct step at_once[]
      = { { STEP_SEND, HEAD BODY HEAD BODY }, { STEP_CLOSE, NULL } };
  static const struct step late[] = { { STEP_SEND, HEAD BODY },
                                      { STEP_PAUSE, NULL },
                                      { STEP_SEND, HEAD BODY },
                                      { STEP_CLOSE, NULL } };

  check_whole (at_once, HISTORY_COLD);
  check_whole (late, HISTORY_COLD);
}

/* Guards against a copy that is cut, or that is not a copy, inside a body.  */
static void
test_part_of_a_second_copy (void)
{
  static const char answer[] = HEAD BODY;

  for (size_t n = sizeof "HTTP/1.1 200" - 1; n < sizeof answer - 1; n++)
    {
      char text[sizeof answer * 2];
      const struct step steps[]
          = { { STEP_SEND, text }, { STEP_CLOSE, NULL } };
      snprintf (text, sizeof text, "%s%.*s", answer, (int) n, answer);
      check_lost_after (steps, false, LISTEN_ALONE, HISTORY_COLD);
    }
}

/* Guards against sound answers that are dropped for want of a proof.  */
static void
test_sound_answers (void)
{
  static const struct step at_once[]
      = { { STEP_SEND, HEAD BODY }, { STEP_CLOSE, NULL } };
  static const struct step slow[]
      = { { STEP_SEND, HEAD },      { STEP_PAUSE, NULL },
          { STEP_SEND, "hello" },   { STEP_PAUSE, NULL },
          { STEP_SEND, ", world" }, { STEP_CLOSE, NULL } };

  check_whole (at_once, HISTORY_WARM);
  check_whole (slow, HISTORY_WARM);
}

/* Guards against a proof without a look at the witness, after a pause of the
   client in which the process ended and the time to settle passed.  */
static void
test_pause_before_the_decision (void)
{
  static const struct step steps[]
      = { { STEP_SEND, HEAD "hello" }, { STEP_PAUSE, NULL },
          { STEP_END, NULL },          { STEP_PAUSE, NULL },
          { STEP_BLOCK, NULL },        { STEP_PAUSE, NULL },
          { STEP_PAUSE, NULL },        { STEP_KILL, NULL } };

  check_lost (steps, false);
}

/* Guards against a server that seems slow because its answer is proved.  */
static void
test_time_of_an_answer (void)
{
  static const struct step steps[]
      = { { STEP_SEND, HEAD BODY }, { STEP_CLOSE, NULL } };
  struct tk_msg *m = exchange (steps, HISTORY_WARM);

  CU_ASSERT_EQUAL (m->u.done.end, TK_END_ANSWER);
  CU_ASSERT (m->u.done.elapsed < FW_ENDING_SETTLE);
  tk_msg_free (m);
}

static const struct zp_test tests[] = {
  { "the server's process is killed midway", test_process_killed_midway },
  { "the server is killed and started again",
    test_process_killed_and_started_again },
  { "a second copy before the close", test_second_copy },
  { "a part of a second copy", test_part_of_a_second_copy },
  { "sound answers", test_sound_answers },
  { "a pause before the decision", test_pause_before_the_decision },
  { "the time of an answer", test_time_of_an_answer },
};

TEST_MAIN ("forward-endings", tests)
