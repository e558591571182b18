/* Tests what the gate task knows of backend servers: which of them get
   requests.  */

#include "gate-fixture.h"

/* Guards against requests to a server that drains, or whose address belongs to
   another server instance by now (answer 421).  */
static void
test_servers_that_leave (void)
{
  set_up ("7");
  report_server ("i-1", "10.0.0.1:80", TK_SERVER_READY, 1);
  report_server ("i-1", "10.0.0.1:80", TK_SERVER_DRAINING, 2);
  send_request (1);
  RUN_UNTIL (f.answers == 1);
  CU_ASSERT_EQUAL (answer_status (0), 503);
  report_server ("i-2", "10.0.0.2:80", TK_SERVER_READY, 1);
  send_request (2);
  RUN_UNTIL (f.sends == 1);
  end_attempt (0, TK_END_ANSWER, 421, ZP_NOT_RUN, false);
  RUN_UNTIL (f.answers == 2);
  CU_ASSERT_EQUAL (answer_status (1), 503);
  /* A late report of the replaced instance does not bring it back.  */
  report_server ("i-2", "10.0.0.2:80", TK_SERVER_READY, 9);
  send_request (3);
  RUN_UNTIL (f.answers == 3);
  CU_ASSERT_EQUAL (answer_status (2), 503);
  CU_ASSERT_EQUAL (f.sends, 1);
  tear_down ();
}

/* Guards against requests to a server whose answers say that it leaves: not
   while its reports still say that it is ready, and not after a late one.  The
   answer itself reaches the caller, and a new start gets requests.  */
static void
test_server_leaving_by_answer (void)
{
  struct tk_msg *m;

  set_up ("7");
  report_server ("i-1", "10.0.0.1:80", TK_SERVER_READY, 1);
  send_request (1);
  RUN_UNTIL (f.sends == 1);
  answer_attempt (0, 200, true, 0);
  RUN_UNTIL (f.answers == 1);
  CU_ASSERT_EQUAL (answer_status (0), 200);
  send_request (2);
  RUN_UNTIL (f.answers == 2);
  CU_ASSERT_EQUAL (answer_status (1), 503);
  report_server ("i-1", "10.0.0.1:80", TK_SERVER_READY, 2);
  send_request (3);
  RUN_UNTIL (f.answers == 3);
  CU_ASSERT_EQUAL (answer_status (2), 503);
  CU_ASSERT_EQUAL (f.sends, 1);
  m = tk_msg_new (TK_SERVER);
  m->u.server = f.gate->server[0]->report;
  m->u.server.state = TK_SERVER_READY;
  m->u.server.born_ms = 2000;
  m->u.server.seq = 1;
  tk_send (&f.gate->task, m);
  send_request (4);
  RUN_UNTIL (f.sends == 2);
  tear_down ();
}

/* Guards against requests to a server within the time that its 503 asks for,
   against a request that waits for the end of a pause that comes after its
   deadline, and against a pause that never ends or that a new start has.  */
static void
test_server_pause (void)
{
  set_up ("7");
  report_server ("i-1", "10.0.0.1:80", TK_SERVER_READY, 1);
  send_request (1);
  RUN_UNTIL (f.sends == 1);
  answer_attempt (0, 503, false, 300 * ZP_MS);
  RUN_UNTIL (f.answers == 1);
  zp_time paused = zp_clock_mono ();
  send_request (2);
  run_for (0.15);
  CU_ASSERT_EQUAL (f.sends, 1);
  RUN_UNTIL (f.answers == 2 || f.sends == 2);
  if (f.sends == 2)
    CU_ASSERT (zp_clock_mono () - paused >= 250 * ZP_MS);
  run_for (0.3);
  send_request (3);
  run_pending ();
  size_t sends = f.sends;
  CU_ASSERT (sends >= 2);
  answer_attempt (sends - 1, 503, false, 60 * ZP_SEC);
  run_pending ();
  size_t answers = f.answers;
  zp_time asked = zp_clock_mono ();
  send_request (4);
  RUN_UNTIL (f.answers == answers + 1);
  CU_ASSERT (zp_clock_mono () - asked < 100 * ZP_MS);
  CU_ASSERT_EQUAL (answer_status (answers), 503);
  CU_ASSERT_EQUAL (f.sends, sends);
  tear_down ();
}

/* Guards against a server that is used again after its reports were missing for
   a while, although its last answer said that it leaves.  */
static void
test_silent_server_leaves (void)
{
  set_up ("7");
  report_server ("i-1", "10.0.0.1:80", TK_SERVER_READY, 1);
  send_request (1);
  RUN_UNTIL (f.sends == 1);
  struct tk_msg *m = tk_msg_new (TK_SERVER);
  m->u.server = f.gate->server[0]->report;
  m->u.server.state = TK_SERVER_GONE;
  m->u.server.expired = true;
  tk_send (&f.gate->task, m);
  run_pending ();
  answer_attempt (0, 200, true, 0);
  RUN_UNTIL (f.answers == 1);
  report_server ("i-1", "10.0.0.1:80", TK_SERVER_READY, 5);
  send_request (2);
  RUN_UNTIL (f.answers == 2 || f.sends == 2);
  CU_ASSERT_EQUAL (f.sends, 1);
  tear_down ();
}

static const struct zp_test tests[]
    = { { "draining and replaced servers", test_servers_that_leave },
        { "a server that leaves by its answers",
          test_server_leaving_by_answer },
        { "a silent server leaves", test_silent_server_leaves },
        { "a pause that a server asks for", test_server_pause } };

TEST_MAIN ("gate-servers", tests)
