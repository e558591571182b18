#include "router-fake.h"

static bool
body_has (const struct tk_http_answer *a, const char *text)
{
  return a && a->body.ptr && HAS_TEXT (a->body.ptr, text);
}

static uint64_t
ask (struct fixture *f, const char *method, const char *path, const char *body)
{
  return fixture_send (f, fixture_http (f, method, path, body));
}

/* A key whose home is this daemon alone: it has no peers.  */
static uint64_t
book (struct fixture *f, const char *unique)
{
  struct tk_msg *m = fixture_http (f, "POST", "/booking/slot", unique);
  struct zp_buf token = { .ptr = NULL };

  en_members_home (&f->router->members, &f->router->rng, &token);
  zp_buf_printf (&m->u.request.key, "%s.%s", token.ptr, unique);
  zp_buf_free (&token);
  return fixture_send (f, m);
}

static void
test_request_reaches_a_server (void)
{
  struct fixture f;

  fixture_open (&f);
  uint64_t id = ask (&f, "GET", "/board/today", "");
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

static void
test_unknown_paths_and_services (void)
{
  struct fixture f;

  fixture_open (&f);
  const struct tk_http_answer *a
      = fixture_answer (&f, ask (&f, "GET", "/nothing/x", ""));
  CU_ASSERT (body_has (a, "unknown-service"));
  CU_ASSERT_EQUAL (a->verdict, ZP_NOT_RUN);
  /* Guards P4: the key may have run where the service was known.  */
  struct tk_msg *m = fixture_http (&f, "POST", "/nothing/x", "");
  zp_buf_put (&m->u.request.key, ZP_STR ("1:100:0.u"));
  a = fixture_answer (&f, fixture_send (&f, m));
  CU_ASSERT_EQUAL (a->verdict, ZP_MAY_HAVE_RUN);
  a = fixture_answer (&f, ask (&f, "GET", "/v1/nothing", ""));
  CU_ASSERT (body_has (a, "unknown-path"));
  a = fixture_answer (&f, ask (&f, "POST", "/v1/announce", "{\"id\":1}"));
  CU_ASSERT (body_has (a, "bad-announcement"));
  a = fixture_answer (&f, ask (&f, "GET", "/v1/status", ""));
  CU_ASSERT (body_has (a, "\"owned_slots\":4"));
  fixture_close (&f);
}

/* Guards P2: never more than the slots of the servers at once, and a queue
   that is bounded.  */
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
      id[i] = ask (&f, "GET", path, "");
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

static void
test_idempotent_request_is_retried_elsewhere (void)
{
  struct fixture f;

  fixture_open (&f);
  uint64_t id = ask (&f, "GET", "/board/today", "");
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

static void
test_once_needs_a_key (void)
{
  struct fixture f;

  fixture_open (&f);
  const struct tk_http_answer *a
      = fixture_answer (&f, ask (&f, "POST", "/booking/slot", "x"));
  CU_ASSERT (body_has (a, "key-required"));
  CU_ASSERT_EQUAL (a->verdict, ZP_NOT_RUN);
  struct tk_msg *m = fixture_http (&f, "POST", "/booking/slot", "x");
  zp_buf_put (&m->u.request.key, ZP_STR ("free-text"));
  a = fixture_answer (&f, fixture_send (&f, m));
  CU_ASSERT (body_has (a, "bad-key"));
  CU_ASSERT_EQUAL (f.forward.len, 0);
  fixture_close (&f);
}

/* Guards P5: a resend gets the recorded answer and does not run again.  */
static void
test_once_runs_once (void)
{
  struct fixture f;

  fixture_open (&f);
  uint64_t id = book (&f, "u1");
  struct tk_msg *m = fixture_forward (&f, 1);
  CU_ASSERT_FATAL (m != NULL);
  CU_ASSERT (m->u.forward.fresh_connection);
  fixture_done (&f, m, TK_END_ANSWER, ZP_RAN, 201);
  CU_ASSERT_EQUAL (fixture_answer (&f, id)->status, 201);
  const struct tk_http_answer *again = fixture_answer (&f, book (&f, "u1"));
  CU_ASSERT_FATAL (again != NULL);
  CU_ASSERT_EQUAL (again->status, 201);
  CU_ASSERT_EQUAL (again->verdict, ZP_RAN);
  CU_ASSERT (body_has (again, "answer"));
  CU_ASSERT_EQUAL (f.forward.len, 1);
  fixture_close (&f);
}

/* Guards P4 and P5: after a lost connection nobody may say not-run, and
   nothing runs again.  */
static void
test_once_lost_is_may_have_run (void)
{
  struct fixture f;

  fixture_open (&f);
  uint64_t id = book (&f, "u2");
  fixture_done (&f, fixture_forward (&f, 1), TK_END_LOST, ZP_MAY_HAVE_RUN, 0);
  CU_ASSERT_EQUAL (fixture_answer (&f, id)->verdict, ZP_MAY_HAVE_RUN);
  const struct tk_http_answer *again = fixture_answer (&f, book (&f, "u2"));
  CU_ASSERT_EQUAL (again->verdict, ZP_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (f.forward.len, 1);
  fixture_close (&f);
}

/* Guards P4: a key that was refused as not-run never runs later.  */
static void
test_once_refusal_is_sealed (void)
{
  struct fixture f;

  fixture_open (&f);
  uint64_t id = book (&f, "u3");
  for (size_t i = 1; i <= 2; i++)
    {
      struct tk_msg *m = fixture_forward (&f, i);
      CU_ASSERT_FATAL (m != NULL);
      fixture_done (&f, m, TK_END_NO_CONNECT, ZP_NOT_RUN, 0);
    }
  CU_ASSERT_EQUAL (fixture_answer (&f, id)->verdict, ZP_NOT_RUN);
  const struct tk_http_answer *again = fixture_answer (&f, book (&f, "u3"));
  CU_ASSERT_EQUAL (again->verdict, ZP_NOT_RUN);
  CU_ASSERT_EQUAL (f.forward.len, 2);
  fixture_close (&f);
}

static void
test_caller_leaves (void)
{
  struct fixture f;

  fixture_open (&f);
  uint64_t id = ask (&f, "GET", "/board/today", "");
  struct tk_msg *m = fixture_forward (&f, 1);
  struct tk_msg *gone = tk_msg_new (TK_CALLER_LEFT);
  gone->u.caller_left.id = id;
  tk_send (&f.router->task, gone);
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

/* Guards against a request that crashes one server after the other.  */
static void
test_poison_request_is_refused (void)
{
  struct fixture f;
  const struct tk_http_answer *a = NULL;
  size_t servers = 0;

  fixture_open (&f);
  for (int i = 0; i < 6; i++)
    {
      uint64_t id = ask (&f, "GET", "/board/crash", "");
      while (!f.timed_out && !(a = NULL))
        {
          bool answered = false;
          for (size_t k = 0; k < f.front.len; k++)
            if (f.front.msg[k]->u.answer.id == id)
              answered = true;
          if (answered)
            break;
          if (f.forward.len > servers)
            fixture_done (&f, f.forward.msg[servers++], TK_END_LOST,
                          ZP_MAY_HAVE_RUN, 0);
          fixture_step (&f);
        }
      a = fixture_answer (&f, id);
      CU_ASSERT_EQUAL (a->verdict, ZP_MAY_HAVE_RUN);
    }
  CU_ASSERT (servers <= 3);
  CU_ASSERT (body_has (a, "poison"));
  uint64_t id = ask (&f, "GET", "/board/harmless", "");
  struct tk_msg *m = fixture_forward (&f, servers + 1);
  fixture_done (&f, m, TK_END_ANSWER, ZP_RAN, 200);
  CU_ASSERT (body_has (fixture_answer (&f, id), "answer"));
  fixture_close (&f);
}

/* Asks for PATH with T left.  */
static uint64_t
ask_within (struct fixture *f, const char *path, zp_time t)
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

/* Guards against copies of a request that are held to their deadline: they may
   run only where the first copy runs, and that server does not answer.  */
static void
test_copies_at_a_silent_server_are_refused_at_once (void)
{
  struct fixture f;

  fixture_open (&f);
  for (int i = 0; i < 2; i++)
    ask_within (&f, "/board/hot", 2 * ZP_SEC);
  fixture_forward (&f, 2);
  fixture_wait (&f, 300 * ZP_MS);
  uint64_t id = ask_within (&f, "/board/hot", 400 * ZP_MS);
  fixture_wait (&f, 100 * ZP_MS);
  CU_ASSERT_EQUAL (f.forward.len, 2);
  CU_ASSERT_FATAL (has_answer (&f, id));
  const struct tk_http_answer *a = fixture_answer (&f, id);
  CU_ASSERT (body_has (a, "no-capacity-in-time"));
  CU_ASSERT_EQUAL (a->verdict, ZP_NOT_RUN);
  CU_ASSERT (a->retry_after_s > 0);
  fixture_close (&f);
}

/* Guards against requests that wait to their deadline for servers which have
   become slow: before the first slow answer, only the work in progress shows
   it.  */
static void
test_slow_servers_are_noticed_before_they_answer (void)
{
  struct fixture f;
  char path[32];

  fixture_open (&f);
  /* What the service took so far.  */
  uint64_t quick = ask_within (&f, "/board/quick", 2 * ZP_SEC);
  fixture_done (&f, fixture_forward (&f, 1), TK_END_ANSWER, ZP_RAN, 200);
  fixture_answer (&f, quick);
  for (int i = 0; i < 4; i++)
    {
      snprintf (path, sizeof path, "/board/%d", i);
      ask_within (&f, path, 2 * ZP_SEC);
    }
  fixture_forward (&f, 5);
  uint64_t waits = ask_within (&f, "/board/waits", 600 * ZP_MS);
  fixture_wait (&f, 400 * ZP_MS);
  uint64_t late = ask_within (&f, "/board/late", 300 * ZP_MS);
  fixture_wait (&f, 100 * ZP_MS);
  CU_ASSERT (has_answer (&f, waits));
  CU_ASSERT (has_answer (&f, late));
  fixture_close (&f);
}

/* Guards P6: no new work for servers that do not announce any more.  */
static void
test_servers_without_announcements_are_dropped (void)
{
  struct fixture f;

  fixture_open (&f);
  f.silent = true;
  fixture_wait (&f, 2500 * ZP_MS);
  uint64_t id = ask (&f, "GET", "/board/today", "");
  const struct tk_http_answer *a = fixture_answer (&f, id);
  CU_ASSERT_EQUAL (a->verdict, ZP_NOT_RUN);
  CU_ASSERT_EQUAL (f.forward.len, 0);
  fixture_close (&f);
}

/* Guards P2: a limit of the configuration holds below the slots, and a daemon
   that the configuration does not name has no part of it.  */
static void
test_limits_hold (void)
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
      ask (&f, "GET", path, "");
    }
  fixture_wait (&f, 300 * ZP_MS);
  CU_ASSERT_EQUAL (f.router->config->number, 2);
  CU_ASSERT_EQUAL (f.forward.len, 2);
  fixture_close (&f);
}

static const struct zp_test tests[] = {
  { "limits hold", test_limits_hold },
  { "a request reaches a server", test_request_reaches_a_server },
  { "unknown paths and services", test_unknown_paths_and_services },
  { "slots and queue are bounded", test_slots_and_queue_are_bounded },
  { "an idempotent request is retried elsewhere",
    test_idempotent_request_is_retried_elsewhere },
  { "at most once needs a key", test_once_needs_a_key },
  { "at most once runs once", test_once_runs_once },
  { "at most once: lost is may-have-run", test_once_lost_is_may_have_run },
  { "at most once: a refusal is sealed", test_once_refusal_is_sealed },
  { "the caller leaves", test_caller_leaves },
  { "a poison request is refused", test_poison_request_is_refused },
  { "copies at a silent server are refused at once",
    test_copies_at_a_silent_server_are_refused_at_once },
  { "slow servers are noticed before they answer",
    test_slow_servers_are_noticed_before_they_answer },
  { "servers without announcements are dropped",
    test_servers_without_announcements_are_dropped },
};

TEST_MAIN ("router", tests)
