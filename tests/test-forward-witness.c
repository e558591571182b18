/* Tests the forward task with ends of a server's process that a connection
   which is only established, or a time, does not show.  */

#include "endings-fixture.h"

/* Guards against a witness that belongs to a process that was started after
   the answer, because the client read the head late.  */
static void
test_process_started_before_the_head_is_read (void)
{
  static const struct step steps[] = { { STEP_BLOCK, NULL },
                                       { STEP_PAUSE, NULL },
                                       { STEP_SEND, HEAD "hello" },
                                       { STEP_KILL, NULL } };

  check_lost (steps, false);
}

/* Guards against a witness that the kernel of the server forgets without a
   reset, because the server has not accepted it.  */
static void
test_deferred_accept (void)
{
  static const struct step steps[] = { { STEP_SEND, HEAD "hello" },
                                       { STEP_PAUSE, NULL },
                                       { STEP_KILL, NULL } };

  check_lost_with (steps, false, LISTEN_DEFERRED);
}

/* Guards against a witness that another process of the server holds.  */
static void
test_shared_listener (void)
{
  static const struct step steps[] = { { STEP_SEND, HEAD "hello" },
                                       { STEP_PAUSE, NULL },
                                       { STEP_KILL, NULL } };

  check_lost_with (steps, false, LISTEN_SHARED);
}

/* Guards against a process with so many connections that its end takes longer
   than FW_ENDING_SETTLE from the first of them to the last.  */
static void
test_many_connections (void)
{
  static const struct step steps[] = { { STEP_SEND, HEAD "hello" },
                                       { STEP_PAUSE, NULL },
                                       { STEP_KILL, NULL } };

  check_lost_with (steps, false, LISTEN_CROWDED);
}

static const struct zp_test tests[] = {
  { "the server is started again before the head is read",
    test_process_started_before_the_head_is_read },
  { "a server that defers its accept", test_deferred_accept },
  { "a listening socket that two processes have", test_shared_listener },
  { "a server with many connections", test_many_connections },
};

TEST_MAIN ("forward-witness", tests)
