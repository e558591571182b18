#include "router-fake.h"

static bool
body_has (const struct tk_http_answer *a, const char *text)
{
  return a && a->body.ptr && HAS_TEXT (a->body.ptr, text);
}

static uint64_t
send_request (struct fixture *f, const char *method, const char *path,
              const char *body)
{
  return fixture_send (f, fixture_http (f, method, path, body));
}

/* Sends an at-most-once request with the unique key part UNIQUE.  The home of
   the key is this daemon alone, because it has no peers.  */
static uint64_t
send_once (struct fixture *f, const char *unique)
{
  struct tk_msg *m = fixture_http (f, "POST", "/booking/slot", unique);
  struct zp_buf token = { .ptr = NULL };

  en_members_choose_home (&f->router->members, &f->router->rng, &token);
  zp_buf_printf (&m->u.request.key, "%s.%s", token.ptr, unique);
  zp_buf_free (&token);
  return fixture_send (f, m);
}

/* Guards against an idempotent request that does not reach a server, whose
   answer is lost, or whose state is not released.  */
static void
test_request_reaches_a_server (void)
{
  struct fixture f;

  fixture_open (&f);
  uint64_t id = send_request (&f, "GET", "/board/today", "");
  struct tk_msg *m = fixture_forward (&f, 1);
  CU_ASSERT_FATAL (m != NULL);
  CU_ASSERT (
      zp_str_eq (zp_str_of (&m->u.forward.target), ZP_STR ("/board/today")));
  CU_ASSERT (!m->u.forward.fresh_connection);
  fixture_done (&f, m, TK_END_ANSWER, ZP_RAN, 200);
  const struct tk_http_answer *a = fixture_answer (&f, id);
  CU_ASSERT (body_has (a, "answer"));
  CU_ASSERT_EQUAL (a->verdict, ZP_RAN);
  CU_ASSERT_EQUAL (a->status, 200);
  CU_ASSERT_EQUAL (f.router->requests.len, 0);
  fixture_close (&f);
}

/* Guards against a request for an unknown path or service that gets no answer
   or the wrong reason.  */
static void
test_unknown_paths_and_services (void)
{
  struct fixture f;

  fixture_open (&f);
  const struct tk_http_answer *a
      = fixture_answer (&f, send_request (&f, "GET", "/nothing/x", ""));
  CU_ASSERT (body_has (a, "unknown-service"));
  CU_ASSERT_EQUAL (a->verdict, ZP_NOT_RUN);
  /* Guards against a false not-run (P4): a request with a key may have run
     through another entry daemon, whose configuration has the service.  */
  struct tk_msg *m = fixture_http (&f, "POST", "/nothing/x", "");
  zp_buf_put (&m->u.request.key, ZP_STR ("1:100:0.u"));
  a = fixture_answer (&f, fixture_send (&f, m));
  CU_ASSERT_EQUAL (a->verdict, ZP_MAY_HAVE_RUN);
  a = fixture_answer (&f, send_request (&f, "GET", "/v1/nothing", ""));
  CU_ASSERT (body_has (a, "unknown-path"));
  a = fixture_answer (&f,
                      send_request (&f, "POST", "/v1/announce", "{\"id\":1}"));
  CU_ASSERT (body_has (a, "bad-announcement"));
  a = fixture_answer (&f, send_request (&f, "GET", "/v1/status", ""));
  CU_ASSERT (body_has (a, "\"owned_slots\":4"));
  fixture_close (&f);
}

/* Guards against more requests at servers than they have slots (P2): with 4
   slots, at most 4 requests are in flight.  At most queue_max (2) requests are
   queued.  */
static void
test_slots_and_queue_are_bounded (void)
{
  struct fixture f;
  uint64_t id[8];
  char path[32];

  fixture_open (&f);
  for (int i = 0; i < 8; i++)
    {
      snprintf (path, sizeof path, "/board/%d", i);
      id[i] = send_request (&f, "GET", path, "");
    }
  fixture_wait (&f, 300 * ZP_MS);
  CU_ASSERT_EQUAL (f.forward.len, 4);
  int full = 0;
  for (size_t i = 0; i < f.front.len; i++)
    full += f.front.msg[i]->u.answer.status == 503;
  CU_ASSERT_EQUAL (full, 2);
  for (size_t i = 0; i < 4; i++)
    fixture_done (&f, f.forward.msg[i], TK_END_ANSWER, ZP_RAN, 200);
  fixture_forward (&f, 6);
  CU_ASSERT_EQUAL (f.forward.len, 6);
  for (size_t i = 4; i < 6; i++)
    fixture_done (&f, f.forward.msg[i], TK_END_ANSWER, ZP_RAN, 200);
  for (int i = 0; i < 8; i++)
    CU_ASSERT_PTR_NOT_NULL (fixture_answer (&f, id[i]));
  fixture_close (&f);
}

/* Guards against a refusal, or a retry at the same server, after a connection
   to one server was refused.  */
static void
test_idempotent_request_is_retried_elsewhere (void)
{
  struct fixture f;

  fixture_open (&f);
  uint64_t id = send_request (&f, "GET", "/board/today", "");
  struct tk_msg *first = fixture_forward (&f, 1);
  fixture_done (&f, first, TK_END_NO_CONNECT, ZP_NOT_RUN, 0);
  struct tk_msg *second = fixture_forward (&f, 2);
  CU_ASSERT_FATAL (second != NULL);
  if (!second)
    return;
  CU_ASSERT_STRING_NOT_EQUAL (first->u.forward.address,
                              second->u.forward.address);
  fixture_done (&f, second, TK_END_ANSWER, ZP_RAN, 200);
  CU_ASSERT (body_has (fixture_answer (&f, id), "answer"));
  fixture_close (&f);
}

/* Guards against forwarding an at-most-once request that has no valid key: a
   resend of it could not be detected.  */
static void
test_once_needs_a_key (void)
{
  struct fixture f;

  fixture_open (&f);
  const struct tk_http_answer *a
      = fixture_answer (&f, send_request (&f, "POST", "/booking/slot", "x"));
  CU_ASSERT (body_has (a, "key-required"));
  CU_ASSERT_EQUAL (a->verdict, ZP_NOT_RUN);
  struct tk_msg *m = fixture_http (&f, "POST", "/booking/slot", "x");
  zp_buf_put (&m->u.request.key, ZP_STR ("free-text"));
  a = fixture_answer (&f, fixture_send (&f, m));
  CU_ASSERT (body_has (a, "bad-key"));
  CU_ASSERT_EQUAL (f.forward.len, 0);
  fixture_close (&f);
}

/* Guards against running a request twice (P5): a resend of the same key gets
   the recorded answer and is not forwarded again.  */
static void
test_once_runs_once (void)
{
  struct fixture f;

  fixture_open (&f);
  uint64_t id = send_once (&f, "u1");
  struct tk_msg *m = fixture_forward (&f, 1);
  CU_ASSERT_FATAL (m != NULL);
  CU_ASSERT (m->u.forward.fresh_connection);
  fixture_done (&f, m, TK_END_ANSWER, ZP_RAN, 201);
  CU_ASSERT_EQUAL (fixture_answer (&f, id)->status, 201);
  const struct tk_http_answer *again
      = fixture_answer (&f, send_once (&f, "u1"));
  CU_ASSERT_FATAL (again != NULL);
  CU_ASSERT_EQUAL (again->status, 201);
  CU_ASSERT_EQUAL (again->verdict, ZP_RAN);
  CU_ASSERT (body_has (again, "answer"));
  CU_ASSERT_EQUAL (f.forward.len, 1);
  fixture_close (&f);
}

/* Guards against a false not-run (P4) and against running a request twice
   (P5): after a lost connection the verdict is may-have-run, also for a
   resend, and the request is not forwarded again.  */
static void
test_once_lost_is_may_have_run (void)
{
  struct fixture f;

  fixture_open (&f);
  uint64_t id = send_once (&f, "u2");
  fixture_done (&f, fixture_forward (&f, 1), TK_END_LOST, ZP_MAY_HAVE_RUN, 0);
  CU_ASSERT_EQUAL (fixture_answer (&f, id)->verdict, ZP_MAY_HAVE_RUN);
  const struct tk_http_answer *again
      = fixture_answer (&f, send_once (&f, "u2"));
  CU_ASSERT_EQUAL (again->verdict, ZP_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (f.forward.len, 1);
  fixture_close (&f);
}

/* Guards against a false not-run (P4): a request that was refused with the
   verdict not-run could run later by a resend.  Its key is sealed, so the
   resend is not forwarded.  */
static void
test_once_refusal_seals_key (void)
{
  struct fixture f;

  fixture_open (&f);
  uint64_t id = send_once (&f, "u3");
  for (size_t i = 1; i <= 2; i++)
    {
      struct tk_msg *m = fixture_forward (&f, i);
      CU_ASSERT_FATAL (m != NULL);
      fixture_done (&f, m, TK_END_NO_CONNECT, ZP_NOT_RUN, 0);
    }
  CU_ASSERT_EQUAL (fixture_answer (&f, id)->verdict, ZP_NOT_RUN);
  const struct tk_http_answer *again
      = fixture_answer (&f, send_once (&f, "u3"));
  CU_ASSERT_EQUAL (again->verdict, ZP_NOT_RUN);
  CU_ASSERT_EQUAL (f.forward.len, 2);
  fixture_close (&f);
}

/* Guards against work for a caller that has left: an idempotent request is
   cancelled at its server.  */
static void
test_caller_leaves (void)
{
  struct fixture f;

  fixture_open (&f);
  uint64_t id = send_request (&f, "GET", "/board/today", "");
  struct tk_msg *m = fixture_forward (&f, 1);
  struct tk_msg *left = tk_msg_new (TK_CALLER_LEFT);
  left->u.caller_left.id = id;
  tk_send (&f.router->task, left);
  struct tk_msg *cancel = fixture_forward (&f, 2);
  CU_ASSERT_FATAL (cancel != NULL);
  CU_ASSERT_EQUAL (cancel->kind, TK_FORWARD_CANCEL);
  CU_ASSERT_EQUAL (cancel->u.cancel.id, m->u.forward.id);
  fixture_done (&f, m, TK_END_CANCELLED, ZP_MAY_HAVE_RUN, 0);
  while (!f.timed_out && f.router->requests.len > 0)
    fixture_step (&f);
  CU_ASSERT_EQUAL (f.router->requests.len, 0);
  fixture_close (&f);
}

/* Guards against a request that crashes every server that runs it.  It is
   refused after at most 3 lost servers, and other requests still run.  */
static void
test_poison_request_is_refused (void)
{
  struct fixture f;
  const struct tk_http_answer *a = NULL;
  size_t losses = 0;

  fixture_open (&f);
  for (int i = 0; i < 6; i++)
    {
      uint64_t id = send_request (&f, "GET", "/board/crash", "");
      while (!f.timed_out && !(a = NULL))
        {
          bool answered = false;
          for (size_t k = 0; k < f.front.len; k++)
            if (f.front.msg[k]->u.answer.id == id)
              answered = true;
          if (answered)
            break;
          if (f.forward.len > losses)
            fixture_done (&f, f.forward.msg[losses++], TK_END_LOST,
                          ZP_MAY_HAVE_RUN, 0);
          fixture_step (&f);
        }
      a = fixture_answer (&f, id);
      CU_ASSERT_EQUAL (a->verdict, ZP_MAY_HAVE_RUN);
    }
  CU_ASSERT (losses <= 3);
  CU_ASSERT (body_has (a, "poison"));
  uint64_t id = send_request (&f, "GET", "/board/harmless", "");
  struct tk_msg *m = fixture_forward (&f, losses + 1);
  fixture_done (&f, m, TK_END_ANSWER, ZP_RAN, 200);
  CU_ASSERT (body_has (fixture_answer (&f, id), "answer"));
  fixture_close (&f);
}

/* Sends a GET request for PATH with a deadline T from now.  */
static uint64_t
send_with_timeout (struct fixture *f, const char *path, zp_time t)
{
  struct tk_msg *m = fixture_http (f, "GET", path, "");

  m->u.request.deadline = zp_clock_mono () + t;
  return fixture_send (f, m);
}

static bool
has_answer (const struct fixture *f, uint64_t id)
{
  for (size_t i = 0; i < f->front.len; i++)
    if (f->front.msg[i]->u.answer.id == id)
      return true;
  return false;
}

/* Guards against copies of a request that wait until their deadline.  Copies
   may run only at the server of the first copy.  When it does not answer, a
   further copy has to be refused at once.  */
static void
test_copies_at_unresponsive_server_are_refused (void)
{
  struct fixture f;

  fixture_open (&f);
  for (int i = 0; i < 2; i++)
    send_with_timeout (&f, "/board/hot", 2 * ZP_SEC);
  fixture_forward (&f, 2);
  fixture_wait (&f, 300 * ZP_MS);
  uint64_t id = send_with_timeout (&f, "/board/hot", 400 * ZP_MS);
  fixture_wait (&f, 100 * ZP_MS);
  CU_ASSERT_EQUAL (f.forward.len, 2);
  CU_ASSERT_FATAL (has_answer (&f, id));
  const struct tk_http_answer *a = fixture_answer (&f, id);
  CU_ASSERT (body_has (a, "no-capacity-in-time"));
  CU_ASSERT_EQUAL (a->verdict, ZP_NOT_RUN);
  CU_ASSERT (a->retry_after_s > 0);
  fixture_close (&f);
}

/* Guards against requests that wait until their deadline for servers that have
   become slow.  Until the first slow answer, only the age of the requests in
   progress shows that they are slow.  */
static void
test_slow_servers_are_detected_before_they_answer (void)
{
  struct fixture f;
  char path[32];

  fixture_open (&f);
  /* A fast answer, which sets the service time that the queue expects.  */
  uint64_t quick = send_with_timeout (&f, "/board/quick", 2 * ZP_SEC);
  fixture_done (&f, fixture_forward (&f, 1), TK_END_ANSWER, ZP_RAN, 200);
  fixture_answer (&f, quick);
  for (int i = 0; i < 4; i++)
    {
      snprintf (path, sizeof path, "/board/%d", i);
      send_with_timeout (&f, path, 2 * ZP_SEC);
    }
  fixture_forward (&f, 5);
  uint64_t waits = send_with_timeout (&f, "/board/waits", 600 * ZP_MS);
  fixture_wait (&f, 400 * ZP_MS);
  uint64_t late = send_with_timeout (&f, "/board/late", 300 * ZP_MS);
  fixture_wait (&f, 100 * ZP_MS);
  CU_ASSERT (has_answer (&f, waits));
  CU_ASSERT (has_answer (&f, late));
  fixture_close (&f);
}

/* Guards against new requests at servers that have stopped announcing
   (P6).  */
static void
test_servers_that_stop_announcing_get_no_requests (void)
{
  struct fixture f;

  fixture_open (&f);
  f.no_announce = true;
  fixture_wait (&f, 2500 * ZP_MS);
  uint64_t id = send_request (&f, "GET", "/board/today", "");
  const struct tk_http_answer *a = fixture_answer (&f, id);
  CU_ASSERT_EQUAL (a->verdict, ZP_NOT_RUN);
  CU_ASSERT_EQUAL (f.forward.len, 0);
  fixture_close (&f);
}

/* Guards against exceeding a configured limit that is below the number of
   slots (P2).  Daemon 1 of the two configured entry daemons may use 2 of the
   limit of 3.  */
static void
test_limits_are_kept (void)
{
  struct fixture f;
  struct tk_msg *m = tk_msg_new (TK_CONFIG);
  char path[32];

  fixture_open (&f);
  m->u.config.version = 4;
  m->u.config.number = 2;
  m->u.config.term = 1;
  zp_buf_printf (
      &m->u.config.bytes,
      "{\"index\":4,\"time\":2,\"number\":2,\"digest\":\"%064d\",\"set\":{"
      "\"entry/1\":{\"failure_domain\":\"w1\",\"address\":\"127.0.0.1:1\","
      "\"enabled\":true},\"entry/2\":{\"failure_domain\":\"w1\",\"address\":"
      "\"127.0.0.1:2\",\"enabled\":true},"
      "\"limits/a\":{\"service\":\"board\",\"region\":\"west\","
      "\"max_in_flight\":3}}}",
      0);
  tk_send (&f.router->task, m);
  for (int i = 0; i < 4; i++)
    {
      snprintf (path, sizeof path, "/board/%d", i);
      send_request (&f, "GET", path, "");
    }
  fixture_wait (&f, 300 * ZP_MS);
  CU_ASSERT_EQUAL (f.router->config->number, 2);
  CU_ASSERT_EQUAL (f.forward.len, 2);
  fixture_close (&f);
}

static void
note_stopped (void *self)
{
  *(bool *) self = true;
}

/* Returns false, without a result, when the stop has ended meanwhile, because
   this process was paused.  */
static bool
stop_with_late_requests (void)
{
  struct fixture f;
  bool stopped = false;

  fixture_open (&f);
  f.router->stopped = note_stopped;
  f.router->stopped_self = &stopped;
  st_stop_begin (&f.router->stop, zp_clock_mono () - 8500 * ZP_MS,
                 ZP_LOOKUP_TTL, ZP_STOP_TIMEOUT);
  const struct tk_http_answer *a
      = fixture_answer (&f, send_request (&f, "GET", "/board/late", ""));
  CU_ASSERT_FATAL (a != NULL);
  if (stopped)
    {
      fixture_close (&f);
      return false;
    }
  CU_ASSERT_EQUAL (a->status, 503);
  CU_ASSERT_EQUAL (a->verdict, ZP_NOT_RUN);
  CU_ASSERT (body_has (a, "stopping"));
  CU_ASSERT_EQUAL (f.forward.len, 0);
  send_with_timeout (&f, "/board/short", 500 * ZP_MS);
  while (!f.timed_out && !stopped && f.forward.len == 0)
    fixture_step (&f);
  bool sent = f.forward.len > 0;
  CU_ASSERT (sent || stopped);
  fixture_close (&f);
  return sent;
}

/* Guards against requests on kept connections that are taken late in a graceful
   shutdown and cut at its end.  The key of an at-most-once request is sealed,
   so that "not run" stays true.  */
static void
test_stop_late_requests (void)
{
  for (int i = 0; i < 20; i++)
    if (stop_with_late_requests ())
      return;
  CU_FAIL ("the process was paused in each of 20 tries");
}

/* Guards against queued requests that are cut when the daemon ends.  */
static void
test_stop_queued_requests (void)
{
  struct fixture f;
  char path[32];
  bool stopped = false;

  fixture_open (&f);
  f.router->stopped = note_stopped;
  f.router->stopped_self = &stopped;
  for (int i = 0; i < 4; i++)
    {
      snprintf (path, sizeof path, "/board/%d", i);
      send_with_timeout (&f, path, 30 * ZP_SEC);
    }
  fixture_forward (&f, 4);
  uint64_t queued = send_with_timeout (&f, "/board/queued", 30 * ZP_SEC);
  fixture_wait (&f, 100 * ZP_MS);
  CU_ASSERT (!has_answer (&f, queued));
  st_stop_begin (&f.router->stop,
                 zp_clock_mono () - ZP_STOP_TIMEOUT + ST_STOP_ANSWER_TIME,
                 ZP_LOOKUP_TTL, ZP_STOP_TIMEOUT);
  fixture_wait (&f, 100 * ZP_MS);
  CU_ASSERT_FATAL (has_answer (&f, queued));
  CU_ASSERT_EQUAL (fixture_answer (&f, queued)->verdict, ZP_NOT_RUN);
  CU_ASSERT_EQUAL (f.forward.len, 4);
  fixture_close (&f);
}

static const struct zp_test tests[] = {
  { "graceful shutdown, late requests", test_stop_late_requests },
  { "graceful shutdown, queued requests", test_stop_queued_requests },
  { "configured limits are kept", test_limits_are_kept },
  { "a request reaches a server", test_request_reaches_a_server },
  { "unknown paths and services", test_unknown_paths_and_services },
  { "slots and queue are bounded", test_slots_and_queue_are_bounded },
  { "an idempotent request is retried elsewhere",
    test_idempotent_request_is_retried_elsewhere },
  { "at most once needs a key", test_once_needs_a_key },
  { "at most once runs once", test_once_runs_once },
  { "at most once: a lost connection is may-have-run",
    test_once_lost_is_may_have_run },
  { "at most once: a refusal seals the key", test_once_refusal_seals_key },
  { "the caller leaves", test_caller_leaves },
  { "a poison request is refused", test_poison_request_is_refused },
  { "copies at an unresponsive server are refused at once",
    test_copies_at_unresponsive_server_are_refused },
  { "slow servers are detected before they answer",
    test_slow_servers_are_detected_before_they_answer },
  { "servers that stop announcing get no requests",
    test_servers_that_stop_announcing_get_no_requests },
};

TEST_MAIN ("router", tests)
