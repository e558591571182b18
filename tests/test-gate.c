/* Tests the gate task of an entry daemon.  Fake tasks take the place of the
   forward, front and roster tasks: they store the messages that the gate sends
   to them, and the test sends the replies.  */

#include "guard.h"
#include "harness.h"

#include <stdlib.h>

#include "forward/client.h"
#include "gate/gate.h"
#include "ticket/blob.h"
#include "ticket/store.h"

/* Seconds after which a test that waits for a message fails.  */
#define TIMEOUT_S 5.0

struct fixture
{
  struct tk_loop loop;
  struct gt_settings settings;
  struct zp_str regions[2];
  struct gt_gate *gate;
  struct tk_task forward, front, roster;
  struct tk_msg *sent[8];   /* TK_FORWARD */
  size_t sends, cancels;    /* messages to the forward task */
  struct tk_msg *answer[8]; /* TK_HTTP_ANSWER */
  size_t answers;
  struct tk_daemon announced; /* last description sent to the roster */
  struct ti_store *store;
  uint64_t version;
  struct test_guard guard;
  bool stopped;
};

static struct fixture f;

static void
on_forward (void *self, struct tk_msg *m)
{
  (void) self;
  if (m->kind == TK_FORWARD)
    {
      f.sent[f.sends++] = m;
      return;
    }
  f.cancels++;
  tk_msg_free (m);
}

static void
on_front (void *self, struct tk_msg *m)
{
  (void) self;
  f.answer[f.answers++] = m;
}

static void
on_roster (void *self, struct tk_msg *m)
{
  (void) self;
  if (m->kind == TK_DAEMON)
    f.announced = m->u.daemon;
  tk_msg_free (m);
}

static void
on_elapsed (struct ev_loop *ev, ev_timer *w, int events)
{
  bool *elapsed = w->data;

  (void) events;
  *elapsed = true;
  ev_break (ev, EVBREAK_ALL);
}

/* Runs the loop for SECONDS.  */
static void
run_for (double seconds)
{
  bool elapsed = false;
  ev_timer wait;

  ev_timer_init (&wait, on_elapsed, seconds, 0.0);
  wait.data = &elapsed;
  ev_timer_start (f.loop.ev, &wait);
  while (!elapsed)
    ev_run (f.loop.ev, EVRUN_ONCE);
}

static void
on_stopped (void *self)
{
  (void) self;
  f.stopped = true;
}

/* A document of this test is "NUMBER [once]": it has one route with the prefix
   "/" to the service "svc", idempotent unless "once" is given.  */
static struct si_site *
decode (struct zp_str text, struct zp_err *err)
{
  struct zp_str number, kind;
  uint64_t n = 0;

  zp_str_split (text, ' ', &number, &kind);
  zp_str_u64 (number, &n);
  struct si_site *s = si_site_new (n);
  struct si_service v = { .name = zp_buf_from (ZP_STR ("svc")) };
  struct si_route r = { .host = zp_buf_from (ZP_STR ("h")),
                        .prefix = zp_buf_from (ZP_STR ("/")),
                        .class = kind.len > 0 ? SI_ONCE : SI_IDEMPOTENT,
                        .timeout = 2 * ZP_SEC,
                        .objective = 400 * ZP_MS,
                        .attempts = 3 };
  si_route_add_part (&r, ZP_STR ("svc"), 1);
  si_site_add_service (s, &v);
  si_site_add_route (s, &r);
  if (si_site_seal (s, err))
    return s;
  si_site_free (s);
  return NULL;
}

static const struct gt_interface interface = { .names
                                               = &fr_header_names_default,
                                               .decode = decode };

static void
put_document (const char *text, uint64_t number)
{
  struct ti_command c = { .kind = TI_PUT, .now = 5 };
  struct zp_buf bytes = { .ptr = NULL };
  struct ti_result r;
  struct tk_msg *m = tk_msg_new (TK_CONFIG);

  c.u.put.number = number;
  ti_blob_compress (zp_str_from (text), &c.u.put.body);
  ti_command_encode (&c, &bytes);
  ti_store_apply (f.store, ++f.version, zp_str_of (&bytes), &r);
  m->u.config.whole = true;
  m->u.config.version = f.version;
  ti_config_encode (ti_store_config (f.store), &m->u.config.bytes);
  tk_send (&f.gate->task, m);
  ti_result_free (&r);
  zp_buf_free (&bytes);
  ti_command_clear (&c);
}

static void
report_server (const char *id, const char *address, enum tk_server_state state,
               uint64_t seq)
{
  struct tk_msg *m = tk_msg_new (TK_SERVER);

  m->u.server = (struct tk_server){ .service = "svc",
                                    .failure_domain = "a-1",
                                    .slots = 4,
                                    .state = state,
                                    .born_ms = 1000,
                                    .seq = seq };
  zp_str_copy (m->u.server.id, sizeof m->u.server.id, zp_str_from (id));
  zp_str_copy (m->u.server.address, sizeof m->u.server.address,
               zp_str_from (address));
  tk_send (&f.gate->task, m);
}

static void
send_request (uint64_t http)
{
  struct tk_msg *m = tk_msg_new (TK_HTTP_REQUEST);
  struct tk_http_request *r = &m->u.request;

  r->id = http;
  r->from = &f.front;
  r->host = zp_buf_from (ZP_STR ("h"));
  r->method = zp_buf_from (ZP_STR ("GET"));
  r->path = zp_buf_from (ZP_STR ("/x"));
  zp_buf_printf (&r->request_id, "r-%llu", (unsigned long long) http);
  r->deadline = zp_clock_mono () + 2 * ZP_SEC;
  tk_send (&f.gate->task, m);
}

#define RUN_UNTIL(condition)                                                  \
  while (!(condition) && !f.guard.fired)                                      \
    ev_run (f.loop.ev, EVRUN_ONCE);                                           \
  CU_ASSERT_FATAL (!f.guard.fired)

/* Delivers all messages that are under way.  */
static void
run_pending (void)
{
  for (int i = 0; i < 20; i++)
    ev_run (f.loop.ev, EVRUN_NOWAIT);
}

/* Ends the attempt of the TK_FORWARD message with index AT.  */
static void
end_attempt (size_t at, enum tk_forward_end end, unsigned status,
             enum zp_verdict verdict, bool stamped)
{
  struct tk_msg *m = tk_msg_new (TK_FORWARD_DONE);

  m->u.done.id = f.sent[at]->u.forward.id;
  m->u.done.end = end;
  m->u.done.status = status;
  m->u.done.verdict = verdict;
  m->u.done.stamped = stamped;
  zp_buf_put (&m->u.done.body, ZP_STR ("the server's bytes"));
  tk_send (&f.gate->task, m);
}

/* Ends the attempt with index AT by an answer of the server with STATUS, which
   says that the server leaves, or that it wants no request for RETRY_AFTER.
   A 503 has not run.  */
static void
answer_attempt (size_t at, unsigned status, bool leaving, zp_time retry_after)
{
  struct tk_msg *m = tk_msg_new (TK_FORWARD_DONE);

  m->u.done.id = f.sent[at]->u.forward.id;
  m->u.done.end = TK_END_ANSWER;
  m->u.done.status = status;
  m->u.done.verdict = status == 503 ? ZP_NOT_RUN : ZP_RAN;
  m->u.done.stamped = true;
  m->u.done.leaving = leaving;
  m->u.done.retry_after = retry_after;
  tk_send (&f.gate->task, m);
}

static void
set_up (const char *document)
{
  static char front[ZP_ADDRESS_MAX], ready[ZP_ADDRESS_MAX];
  struct zp_err err = { .text = "" };

  f = (struct fixture){ .version = 0 };
  snprintf (front, sizeof front, "%s", test_address (19611));
  snprintf (ready, sizeof ready, "%s", test_address (19612));
  f.regions[0] = ZP_STR ("a-1=a");
  f.settings = (struct gt_settings){ .name = ZP_STR ("entry"),
                                     .failure_domain = ZP_STR ("a-1"),
                                     .region = ZP_STR ("a"),
                                     .front = zp_str_from (front),
                                     .ready = zp_str_from (ready),
                                     .regions = { f.regions, 1 },
                                     .lookup_ttl = 100 * ZP_MS,
                                     .first_start = true,
                                     .retry_ratio = 0.2,
                                     .retry_slack = 60,
                                     .grace = 3 * ZP_SEC };
  tk_loop_init (&f.loop);
  tk_task_init (&f.forward, &f.loop, on_forward, &f);
  tk_task_init (&f.front, &f.loop, on_front, &f);
  tk_task_init (&f.roster, &f.loop, on_roster, &f);
  f.store = ti_store_new (TI_CONFLICT_BY_OBJECT);
  f.gate = gt_gate_open (&f.loop, &f.settings, &interface, &err);
  if (!f.gate)
    CU_FAIL_FATAL ("gt_gate_open failed");
  f.gate->forward = &f.forward;
  f.gate->roster = &f.roster;
  f.gate->stopped = on_stopped;
  /* Requests raise the retry budget, so that the tests can retry.  */
  struct gt_service *s = gt_service_get (f.gate, ZP_STR ("svc"));
  for (int i = 0; i < 100; i++)
    st_budget_first_try (&s->budget);
  test_guard_start (&f.guard, f.loop.ev, TIMEOUT_S);
  if (document)
    put_document (document, 7);
}

static void
tear_down (void)
{
  for (size_t i = 0; i < f.sends; i++)
    tk_msg_free (f.sent[i]);
  for (size_t i = 0; i < f.answers; i++)
    tk_msg_free (f.answer[i]);
  test_guard_stop (&f.guard, f.loop.ev);
  gt_gate_close (f.gate);
  ti_store_free (f.store);
  tk_task_free (&f.forward);
  tk_task_free (&f.front);
  tk_task_free (&f.roster);
  tk_loop_free (&f.loop);
}

static unsigned
answer_status (size_t at)
{
  return f.answer[at]->u.answer.status;
}

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

static const struct zp_test tests[]
    = { { "refusals without configuration or servers", test_refusals },
        { "request and answer are passed on", test_answer },
        { "retry after each end of an attempt", test_attempt_ends },
        { "the verdict covers all attempts", test_verdict_of_all_attempts },
        { "a request that crashes servers is refused", test_crashes_servers },
        { "the caller leaves", test_caller_leaves },
        { "draining and replaced servers", test_servers_that_leave },
        { "a server that leaves by its answers",
          test_server_leaving_by_answer },
        { "a pause that a server asks for", test_server_pause },
        { "a daemon that rejoins", test_rejoin },
        { "an unreadable configuration", test_configurations },
        { "graceful shutdown", test_stop },
        { "graceful shutdown, a request under way",
          test_stop_waits_for_requests_under_way } };

TEST_MAIN ("gate", tests)
