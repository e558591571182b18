/* Tests the gate task of an entry daemon.  */

#include "gate-fixture.h"

#include "steer/maxwait.h"

/* Guards against a status that makes the caller give up, and against requests
   that wait without a chance: without a configuration or servers, a request is
   refused at once with 503 and a time to retry.  */
static void
test_refusals (void)
{
  set_up (NULL);
  send_request (1);
  RUN_UNTIL (f.answers == 1);
  CU_ASSERT_EQUAL (answer_status (0), 503);
  CU_ASSERT (f.answer[0]->u.answer.retry_after_ms > 0);
  put_document ("7", 7);
  RUN_UNTIL (f.announced.ready);
  send_request (2);
  RUN_UNTIL (f.answers == 2);
  CU_ASSERT_EQUAL (answer_status (1), 503);
  CU_ASSERT (f.answer[1]->u.answer.retry_after_ms > 0);
  CU_ASSERT_EQUAL (f.sends, 0);
  tear_down ();
}

/* Guards against a request or an answer of a server that is changed when it is
   passed on.  */
static void
test_answer (void)
{
  set_up ("7");
  report_server ("i-1", "10.0.0.1:80", TK_SERVER_READY, 1);
  send_request (1);
  RUN_UNTIL (f.sends == 1);
  CU_ASSERT_STRING_EQUAL (f.sent[0]->u.forward.expect, "i-1");
  CU_ASSERT_STRING_EQUAL (f.sent[0]->u.forward.address, "10.0.0.1:80");
  CU_ASSERT (zp_str_eq (zp_str_of (&f.sent[0]->u.forward.health_path),
                        ZP_STR ("/health")));
  CU_ASSERT (zp_str_eq (zp_str_of (&f.sent[0]->u.forward.request_id),
                        ZP_STR ("r-1")));
  end_attempt (0, TK_END_ANSWER, 200, ZP_RAN, true);
  RUN_UNTIL (f.answers == 1);
  CU_ASSERT_EQUAL (answer_status (0), 200);
  CU_ASSERT (zp_str_eq (zp_str_of (&f.answer[0]->u.answer.body),
                        ZP_STR ("the server's bytes")));
  tear_down ();
}

/* How the first attempt ends, and whether the request is then retried.  */
static const struct
{
  enum tk_forward_end end;
  unsigned status;
  enum zp_verdict verdict;
  bool stamped;
  bool retry_once, retry_idempotent;
  unsigned answer_once; /* status of an at-most-once request; 0: retried */
} ends[] = {
  { TK_END_NO_CONNECT, 0, ZP_NOT_RUN, false, true, true, 0 },
  { TK_END_ANSWER, 421, ZP_NOT_RUN, false, true, true, 0 },
  { TK_END_ANSWER, 503, ZP_NOT_RUN, true, true, true, 0 },
  { TK_END_ANSWER, 503, ZP_RAN, true, false, true, 502 },
  { TK_END_ANSWER, 429, ZP_RAN, true, false, true, 502 },
  { TK_END_ANSWER, 200, ZP_RAN, false, false, true, 502 },
  { TK_END_ANSWER, 500, ZP_RAN, true, false, true, 500 },
  { TK_END_ANSWER, 400, ZP_RAN, true, false, false, 400 },
  { TK_END_LOST, 0, ZP_MAY_HAVE_RUN, false, false, true, 502 },
  { TK_END_TIMEOUT, 0, ZP_MAY_HAVE_RUN, false, false, true, 502 },
};

/* Guards against at-most-once requests that run twice, against a 503 ("not
   run") for a request that can have run, and against answers without the
   server's stamp that reach the caller.  */
static void
test_attempt_ends (void)
{
  for (size_t i = 0; i < sizeof ends / sizeof ends[0]; i++)
    for (int once = 0; once < 2; once++)
      {
        bool retry = once ? ends[i].retry_once : ends[i].retry_idempotent;
        set_up (once ? "7 once" : "7");
        report_server ("i-1", "10.0.0.1:80", TK_SERVER_READY, 1);
        report_server ("i-2", "10.0.0.2:80", TK_SERVER_READY, 1);
        send_request (1);
        RUN_UNTIL (f.sends == 1);
        end_attempt (0, ends[i].end, ends[i].status, ends[i].verdict,
                     ends[i].stamped);
        run_pending ();
        CU_ASSERT_EQUAL (f.sends, retry ? 2 : 1);
        CU_ASSERT_EQUAL (f.answers, retry ? 0 : 1);
        if (retry)
          CU_ASSERT_STRING_NOT_EQUAL (f.sent[0]->u.forward.expect,
                                      f.sent[1]->u.forward.expect);
        if (once && !retry)
          CU_ASSERT_EQUAL (answer_status (0), ends[i].answer_once);
        if (once && !retry)
          CU_ASSERT_NOT_EQUAL (answer_status (0), 503);
        tear_down ();
      }
}

/* Guards against a 503 ("not run") after the last attempt has not run but an
   earlier one can have.  */
static void
test_verdict_of_all_attempts (void)
{
  set_up ("7");
  report_server ("i-1", "10.0.0.1:80", TK_SERVER_READY, 1);
  report_server ("i-2", "10.0.0.2:80", TK_SERVER_READY, 1);
  send_request (1);
  RUN_UNTIL (f.sends == 1);
  end_attempt (0, TK_END_LOST, 0, ZP_MAY_HAVE_RUN, false);
  RUN_UNTIL (f.sends == 2);
  end_attempt (1, TK_END_ANSWER, 503, ZP_NOT_RUN, true);
  RUN_UNTIL (f.answers == 1);
  CU_ASSERT_EQUAL (answer_status (0), 502);
  tear_down ();
}

/* Guards against a request that crashes one server after the other: losses at
   this and at other daemons count together, then the request is refused.  */
static void
test_crashes_servers (void)
{
  set_up ("7 once");
  for (int i = 1; i <= 5; i++)
    {
      char id[16], address[32];
      snprintf (id, sizeof id, "i-%d", i);
      snprintf (address, sizeof address, "10.0.0.%d:80", i);
      report_server (id, address, TK_SERVER_READY, 1);
    }
  for (size_t i = 0; i < 2; i++)
    {
      send_request (i + 1);
      RUN_UNTIL (f.sends == i + 1);
      end_attempt (i, TK_END_LOST, 0, ZP_MAY_HAVE_RUN, false);
      RUN_UNTIL (f.answers == i + 1);
      report_server ("i-9", "10.0.0.9:80", TK_SERVER_READY, i + 1);
    }
  CU_ASSERT_EQUAL_FATAL (f.gate->crash_suspects.len, 1);
  /* Other daemons report the loss of two more servers.  */
  for (uint64_t server = 1; server <= 2; server++)
    {
      struct tk_msg *m = tk_msg_new (TK_LOSS);
      m->u.loss.fingerprint = f.gate->crash_suspects.entry[0].fingerprint;
      m->u.loss.server = server;
      tk_send (&f.gate->task, m);
    }
  run_pending ();
  send_request (7);
  RUN_UNTIL (f.answers == 3);
  CU_ASSERT_EQUAL (f.sends, 2);
  CU_ASSERT_EQUAL (answer_status (2), 503);
  tear_down ();
}

/* Guards against a request that continues after its caller has left.  */
static void
test_caller_leaves (void)
{
  set_up ("7 once");
  report_server ("i-1", "10.0.0.1:80", TK_SERVER_READY, 1);
  send_request (1);
  RUN_UNTIL (f.sends == 1);
  struct tk_msg *m = tk_msg_new (TK_CALLER_LEFT);
  m->u.caller_left.id = 1;
  tk_send (&f.gate->task, m);
  RUN_UNTIL (f.cancels == 1);
  end_attempt (0, TK_END_CANCELLED, 0, ZP_MAY_HAVE_RUN, false);
  run_pending ();
  CU_ASSERT_EQUAL (f.sends, 1);
  CU_ASSERT_EQUAL (f.answers, 0);
  CU_ASSERT_EQUAL (f.gate->requests.len, 0);
  tear_down ();
}

/* Guards against a daemon that limits moves between regions by what it has not
   seen: the deployment was running before it started.  */
static void
test_rejoin (void)
{
  struct zp_err err = { .text = "" };

  set_up ("7");
  CU_ASSERT_EQUAL (f.gate->lost_at, 0);
  gt_gate_close (f.gate);
  f.settings.first_start = false;
  f.gate = gt_gate_open (&f.loop, &f.settings, &interface, &err);
  CU_ASSERT_FATAL (f.gate != NULL);
  CU_ASSERT (f.gate->lost_at > 0);
  tear_down ();
}

/* Guards against an unreadable configuration that removes the routes in
   force.  */
static void
test_configurations (void)
{
  set_up ("7");
  RUN_UNTIL (f.gate->site && f.gate->site->number == 7);
  struct tk_msg *m = tk_msg_new (TK_CONFIG);
  m->u.config.whole = true;
  m->u.config.version = 99;
  zp_buf_put (&m->u.config.bytes, ZP_STR ("no configuration"));
  tk_send (&f.gate->task, m);
  run_pending ();
  CU_ASSERT_EQUAL (f.gate->site->number, 7);
  put_document ("9", 9);
  RUN_UNTIL (f.gate->site->number == 9);
  tear_down ();
}

/* Guards against a graceful shutdown that drops requests in progress, and
   against one that never completes.  */
static void
test_stop (void)
{
  set_up ("7");
  report_server ("i-1", "10.0.0.1:80", TK_SERVER_READY, 1);
  send_request (1);
  RUN_UNTIL (f.sends == 1);
  tk_send (&f.gate->task, tk_msg_new (TK_STOP));
  RUN_UNTIL (f.announced.leaving);
  CU_ASSERT (!f.announced.ready);
  run_for (0.4);
  CU_ASSERT (!f.stopped);
  end_attempt (0, TK_END_ANSWER, 200, ZP_RAN, true);
  RUN_UNTIL (f.answers == 1 && f.stopped);
  CU_ASSERT_EQUAL (answer_status (0), 200);
  tear_down ();
}

/* Guards against a graceful shutdown that ends while a request of a caller is
   under way to this daemon.  */
static void
test_stop_waits_for_requests_under_way (void)
{
  set_up ("7");
  report_server ("i-1", "10.0.0.1:80", TK_SERVER_READY, 1);
  tk_send (&f.gate->task, tk_msg_new (TK_STOP));
  run_for (0.25);
  CU_ASSERT (!f.stopped);
  send_request (1);
  RUN_UNTIL (f.sends == 1);
  end_attempt (0, TK_END_ANSWER, 200, ZP_RAN, true);
  RUN_UNTIL (f.answers == 1);
  CU_ASSERT (!f.stopped);
  RUN_UNTIL (f.stopped);
  CU_ASSERT_EQUAL (answer_status (0), 200);
  tear_down ();
}

/* Guards against requests on kept connections that are taken late in a graceful
   shutdown and cut at its end: they are refused at once as not run, so that
   their callers go to another entry VM.  One whose deadline comes before the
   end is still taken.  */
static void
test_stop_late_requests (void)
{
  set_up ("7 once");
  report_server ("i-1", "10.0.0.1:80", TK_SERVER_READY, 1);
  send_request (1);
  RUN_UNTIL (f.sends == 1);
  tk_send (&f.gate->task, tk_msg_new (TK_STOP));
  RUN_UNTIL (f.announced.leaving);
  run_for (0.8);
  send_request (2);
  RUN_UNTIL (f.answers == 1);
  CU_ASSERT_EQUAL (answer_status (0), 503);
  CU_ASSERT_EQUAL (f.answer[0]->u.answer.verdict, ZP_NOT_RUN);
  CU_ASSERT_EQUAL (f.answer[0]->u.answer.retry_after_ms,
                   ST_RETRY_AFTER_MIN / ZP_MS);
  CU_ASSERT_EQUAL (f.sends, 1);
  send_request_for (3, ZP_SEC);
  RUN_UNTIL (f.sends == 2);
  end_attempt (0, TK_END_ANSWER, 200, ZP_RAN, true);
  end_attempt (1, TK_END_ANSWER, 200, ZP_RAN, true);
  RUN_UNTIL (f.answers == 3 && f.stopped);
  CU_ASSERT_EQUAL (answer_status (1), 200);
  CU_ASSERT_EQUAL (answer_status (2), 200);
  tear_down ();
}

/* Returns false, without a result, when this process was paused for too long
   between the stop and the request.  */
static bool
stop_with_queued_requests (void)
{
  set_up ("7");
  f.settings.grace = 2 * ZP_SEC;
  report_server ("i-1", "10.0.0.1:80", TK_SERVER_READY, 1);
  send_request (1);
  RUN_UNTIL (f.sends == 1);
  struct gt_server *s
      = gt_server_find (f.gate, zp_str_hash (ZP_STR ("i-1"), 0));
  CU_ASSERT_FATAL (s != NULL);
  for (int i = 0; i < 100; i++)
    st_queue_served (s->service->queue, 10 * ZP_MS);
  s->health.kind = ST_HEALTH_EJECTED;
  s->health.until = zp_clock_mono () + 10 * ZP_SEC;
  zp_time stop = zp_clock_mono ();
  tk_send (&f.gate->task, tk_msg_new (TK_STOP));
  run_for (0.8);
  send_request_for (2, 450 * ZP_MS);
  run_pending ();
  if (zp_clock_mono () - stop > f.settings.grace / 2)
    {
      tear_down ();
      return false;
    }
  CU_ASSERT_EQUAL (f.answers, 0);
  RUN_UNTIL (f.answers == 1);
  CU_ASSERT_EQUAL (answer_status (0), 503);
  CU_ASSERT (HAS_TEXT (f.answer[0]->u.answer.body.ptr, "stopping"));
  CU_ASSERT (!f.stopped);
  RUN_UNTIL (f.stopped);
  CU_ASSERT_EQUAL (f.answers, 1);
  CU_ASSERT_EQUAL (f.cancels, 0);
  tear_down ();
  return true;
}

/* Guards against a queued request that is cut when the daemon ends, and against
   one at a server that is ended sooner.  */
static void
test_stop_queued_requests (void)
{
  for (int i = 0; i < 20; i++)
    if (stop_with_queued_requests ())
      return;
  CU_FAIL ("the process was paused in each of 20 tries");
}

/* Guards against a target whose bytes change on the way to the backend server: an
   empty query, and bytes above 127.  */
static void
test_bytes_of_the_target (void)
{
  static const struct
  {
    const char *path, *query;
    bool has_query;
    const char *target;
  } row[] = { { "/a/x", "", false, "/a/x" },
              { "/a/x", "", true, "/a/x?" },
              { "/a/x", "y=1?z", true, "/a/x?y=1?z" },
              { "/a/\xc3\xa9", "\x80", true, "/a/\xc3\xa9?\x80" } };

  set_up ("7");
  report_server ("i-1", "10.0.0.1:80", TK_SERVER_READY, 1);
  for (size_t i = 0; i < sizeof row / sizeof row[0]; i++)
    {
      struct tk_msg *m = tk_msg_new (TK_HTTP_REQUEST);
      struct tk_http_request *r = &m->u.request;
      r->id = i + 1;
      r->from = &f.front;
      r->host = zp_buf_from (ZP_STR ("h"));
      r->method = zp_buf_from (ZP_STR ("GET"));
      r->path = zp_buf_from (zp_str_from (row[i].path));
      r->query = zp_buf_from (zp_str_from (row[i].query));
      r->has_query = row[i].has_query;
      tk_send (&f.gate->task, m);
      RUN_UNTIL (f.sends == i + 1);
      CU_ASSERT (zp_str_eq (zp_str_of (&f.sent[i]->u.forward.target),
                            zp_str_from (row[i].target)));
    }
  tear_down ();
}

static const struct zp_test tests[]
    = { { "refusals without configuration or servers", test_refusals },
        { "request and answer are passed on", test_answer },
        { "bytes of the target", test_bytes_of_the_target },
        { "retry after each end of an attempt", test_attempt_ends },
        { "the verdict covers all attempts", test_verdict_of_all_attempts },
        { "a request that crashes servers is refused", test_crashes_servers },
        { "the caller leaves", test_caller_leaves },
        { "a daemon that rejoins", test_rejoin },
        { "an unreadable configuration", test_configurations },
        { "graceful shutdown", test_stop },
        { "graceful shutdown, a request under way",
          test_stop_waits_for_requests_under_way },
        { "graceful shutdown, late requests", test_stop_late_requests },
        { "graceful shutdown, queued requests", test_stop_queued_requests } };

TEST_MAIN ("gate", tests)
