/* Tests how the gate treats requests of workspaces with a rate limit.  The test
   takes the place of the owner of the limits.  */

#include "gate-fixture.h"

#include "quota/owner.h"

static struct tk_task owner;
static struct tk_quota_ask ask; /* the last one; its items are in ITEM */
static struct tk_quota_ask_item item;
static unsigned asks;
static uint64_t grants; /* number of the last grant */

static void
on_owner (void *self, struct tk_msg *m)
{
  (void) self;
  if (m->kind == TK_QUOTA_ASK)
    {
      asks++;
      ask = m->u.quota_ask;
      CU_ASSERT_EQUAL_FATAL (ask.len, 1);
      item = ask.item[0];
    }
  tk_msg_free (m);
}

/* A document of this test is "NUMBER RATE BURST".  The workspace "acme" with the
   key "k" has this limit; the workspace "free" with the key "f" has none.  */
static struct si_site *
decode_limits (struct zp_str text, struct zp_err *err)
{
  char copy[64];
  unsigned long long number = 0;
  struct si_workspace w = { .name = zp_buf_from (ZP_STR ("acme")) };
  struct si_workspace none = { .name = zp_buf_from (ZP_STR ("free")) };
  struct si_service v = { .name = zp_buf_from (ZP_STR ("svc")) };
  struct si_route r = { .host = zp_buf_from (ZP_STR ("h")),
                        .prefix = zp_buf_from (ZP_STR ("/")),
                        .timeout = 2 * ZP_SEC,
                        .objective = 400 * ZP_MS,
                        .attempts = 1 };

  zp_str_copy (copy, sizeof copy, text);
  sscanf (copy, "%llu %lf %lf", &number, &w.rate_per_s, &w.burst);
  struct si_site *s = si_site_new (number);
  si_site_add_service (s, &v);
  si_route_add_part (&r, ZP_STR ("svc"), 1);
  si_site_add_route (s, &r);
  s->needs_key = true;
  si_site_add_workspace (s, &w);
  si_site_add_key (s, ZP_STR ("k"));
  si_site_add_workspace (s, &none);
  si_site_add_key (s, ZP_STR ("f"));
  if (si_site_seal (s, err))
    return s;
  si_site_free (s);
  return NULL;
}

static const struct gt_interface with_limits
    = { .names = &fr_header_names_default, .decode = decode_limits };

static void
put (const char *document)
{
  put_document (document, strtoull (document, NULL, 10));
  run_pending ();
}

static void
open_gate (const char *document)
{
  set_up (NULL);
  tk_task_init (&owner, &f.loop, on_owner, NULL);
  f.gate->interface = &with_limits;
  f.gate->roster = &owner;
  asks = 0;
  grants = 0;
  put (document);
  report_server ("i-1", "10.0.0.1:80", TK_SERVER_READY, 1);
  run_pending ();
}

static void
close_gate (void)
{
  tk_task_free (&owner); /* before its loop */
  tear_down ();
}

/* Sends request ID with KEY, and TIME left.  */
static void
send_within (uint64_t id, const char *key, zp_time time)
{
  struct tk_msg *m = tk_msg_new (TK_HTTP_REQUEST);
  struct tk_http_request *r = &m->u.request;

  r->id = id;
  r->from = &f.front;
  r->host = zp_buf_from (ZP_STR ("h"));
  r->method = zp_buf_from (ZP_STR ("GET"));
  r->path = zp_buf_from (ZP_STR ("/x"));
  r->credential = zp_buf_from (zp_str_from (key));
  zp_buf_printf (&r->request_id, "r-%llu", (unsigned long long) id);
  r->deadline = zp_clock_mono () + time;
  tk_send (&f.gate->task, m);
  run_pending ();
}

static void
send (uint64_t id)
{
  send_within (id, "k", 2 * ZP_SEC);
}

/* Answers the last ask with TOKENS and a lease of BURST_SHARE and nearly no
   rate.  */
static void
grant (uint32_t tokens, uint32_t burst_share)
{
  struct tk_msg *m = tk_msg_new (TK_QUOTA_GRANT);
  struct tk_quota_grant *g = &m->u.quota_grant;

  *g = (struct tk_quota_grant){ .holder = ask.holder,
                                .incarnation = ask.incarnation,
                                .number = ask.number,
                                .term = 1,
                                .grant = ++grants,
                                .ttl = QU_TTL,
                                .period = 250 * ZP_MS };
  g->item = zp_alloc (sizeof *g->item);
  g->item[g->len++]
      = (struct tk_quota_grant_item){ .workspace = item.workspace,
                                      .rate_share = burst_share > 0,
                                      .burst_share = burst_share,
                                      .tokens = tokens,
                                      .wanted = item.want };
  tk_send (&f.gate->task, m);
  run_pending ();
}

static const char *
answer_body (size_t at)
{
  return f.answer[at]->u.answer.body.ptr;
}

/* Checks that answer AT refuses a request that has not run, for REASON.  */
static void
check_refusal (size_t at, unsigned status, const char *reason)
{
  const struct tk_http_answer *a = &f.answer[at]->u.answer;

  CU_ASSERT_EQUAL (a->status, status);
  CU_ASSERT (a->has_verdict);
  CU_ASSERT_EQUAL (a->verdict, ZP_NOT_RUN);
  CU_ASSERT (HAS_TEXT (answer_body (at), reason));
}

/* Guards against a request that is sent before it has a token, that stays when
   the token has come, or that waits although its workspace has no limit.  */
static void
test_waits_for_token (void)
{
  open_gate ("1 4 40");
  send_within (1, "f", 2 * ZP_SEC);
  CU_ASSERT_EQUAL (f.sends, 1);
  CU_ASSERT_EQUAL (asks, 0);
  send (2);
  RUN_UNTIL (asks == 1);
  CU_ASSERT_EQUAL (f.sends, 1);
  CU_ASSERT_EQUAL (ask.holder, f.settings.id);
  CU_ASSERT (ask.incarnation != 0);
  CU_ASSERT_EQUAL (item.workspace, zp_str_hash (ZP_STR ("acme"), 0));
  CU_ASSERT_EQUAL (item.want, 1);
  grant (1, 0);
  CU_ASSERT_EQUAL (f.sends, 2);
  CU_ASSERT_EQUAL (f.answers, 0);
  answer_attempt (1, 200, false, 0);
  RUN_UNTIL (f.answers == 1);
  CU_ASSERT_EQUAL (answer_status (0), 200);
  close_gate ();
}

/* Guards against tokens that go to later requests, and against a request over
   the limit that is not told so at once.  */
static void
test_order_and_empty_pool (void)
{
  uint32_t left = 2;

  open_gate ("1 4 40");
  for (uint64_t id = 1; id <= 3; id++)
    send (id);
  for (unsigned answered = 0; f.answers == 0 && !f.guard.fired;)
    {
      RUN_UNTIL (asks > answered);
      uint32_t tokens = item.want < left ? item.want : left;
      answered = asks;
      left -= tokens;
      grant (tokens, 0);
    }
  CU_ASSERT_EQUAL_FATAL (f.sends, 2);
  CU_ASSERT_EQUAL (f.sent[0]->u.forward.request_id.ptr[2], '1');
  CU_ASSERT_EQUAL (f.sent[1]->u.forward.request_id.ptr[2], '2');
  CU_ASSERT_EQUAL_FATAL (f.answers, 1);
  check_refusal (0, 429, "over-limit");
  CU_ASSERT (f.answer[0]->u.answer.retry_after_ms > 0);
  /* The owner's word holds for later requests.  */
  unsigned before = asks;
  size_t answers = f.answers;
  send (9);
  CU_ASSERT_EQUAL (f.answers, answers + 1);
  check_refusal (answers, 429, "over-limit");
  CU_ASSERT_EQUAL (asks, before);
  close_gate ();
}

/* Guards against a request that waits for an owner without a bound, and against
   a daemon that lets requests through when no owner answers.  */
static void
test_no_owner (void)
{
  open_gate ("1 4 40");
  zp_time sent = zp_clock_mono ();
  send (1);
  RUN_UNTIL (f.answers == 1);
  zp_time waited = zp_clock_mono () - sent;
  CU_ASSERT (waited >= QU_WAIT_MAX);
  CU_ASSERT (waited < ZP_SEC);
  check_refusal (0, 503, "limit-unknown");
  CU_ASSERT (f.answer[0]->u.answer.retry_after_ms > 0);
  run_for (1.2);
  /* The owner has been silent for long, so no request waits for it.  */
  send (2);
  CU_ASSERT_EQUAL_FATAL (f.answers, 2);
  check_refusal (1, 503, "limit-unknown");
  CU_ASSERT_EQUAL (f.sends, 0);
  close_gate ();
}

/* Whether a second request is sent with the token of a first one, whose attempt
   has ended with STATUS.  */
static bool
token_comes_back (unsigned status)
{
  open_gate ("1 4 40");
  send (1);
  RUN_UNTIL (asks == 1);
  grant (1, TK_QUOTA_WHOLE / 2);
  CU_ASSERT_EQUAL_FATAL (f.sends, 1);
  answer_attempt (0, status, false, 0);
  RUN_UNTIL (f.answers == 1);
  send (2);
  bool sent = f.sends == 2;
  close_gate ();
  return sent;
}

/* Guards against tokens that are lost with requests that have not run, and
   against requests that run without a token.  */
static void
test_token_comes_back (void)
{
  CU_ASSERT (token_comes_back (503)); /* not run */
  CU_ASSERT (!token_comes_back (200));
}

/* Guards against a token that comes back although its request may have run: the
   caller left while the request was at a server.  */
static void
test_token_of_cancelled_request (void)
{
  for (int ran = 0; ran < 2; ran++)
    {
      open_gate ("1 4 40");
      send (1);
      RUN_UNTIL (asks == 1);
      grant (1, TK_QUOTA_WHOLE / 2);
      CU_ASSERT_EQUAL_FATAL (f.sends, 1);
      struct tk_msg *m = tk_msg_new (TK_CALLER_LEFT);
      m->u.caller_left.id = 1;
      tk_send (&f.gate->task, m);
      run_pending ();
      end_attempt (0, TK_END_CANCELLED, 0, ran ? ZP_MAY_HAVE_RUN : ZP_NOT_RUN,
                   false);
      run_pending ();
      send (2);
      CU_ASSERT_EQUAL (f.sends, ran ? 1 : 2);
      close_gate ();
    }
}

/* Guards against requests that stay in the list when they have ended: the caller
   leaves, the deadline passes, the daemon stops.  */
static void
test_end_of_wait (void)
{
  open_gate ("1 4 40");
  send (1);
  struct tk_msg *m = tk_msg_new (TK_CALLER_LEFT);
  m->u.caller_left.id = 1;
  tk_send (&f.gate->task, m);
  run_pending ();
  CU_ASSERT_EQUAL (f.gate->requests.len, 0);
  CU_ASSERT_EQUAL (f.answers, 0);

  zp_time sent = zp_clock_mono ();
  send_within (2, "k", 100 * ZP_MS);
  RUN_UNTIL (f.answers == 1);
  CU_ASSERT (zp_clock_mono () - sent < QU_WAIT_MAX);
  check_refusal (0, 503, "deadline");

  send (3);
  send (4);
  gt_quotas_refuse_all (f.gate);
  run_pending ();
  CU_ASSERT_EQUAL_FATAL (f.answers, 3);
  check_refusal (1, 503, "stopping");
  CU_ASSERT_EQUAL (f.gate->quotas.waiting, 0);
  CU_ASSERT_EQUAL (f.gate->requests.len, 0);

  /* Their token goes to the next request.  */
  send (5);
  RUN_UNTIL (item.want > 0);
  grant (1, 0);
  CU_ASSERT_EQUAL (f.sends, 1);
  close_gate ();
}

/* Guards against requests that wait for a limit which a new configuration has
   removed, and against a timer or messages without a limit.  */
static void
test_limit_is_removed (void)
{
  open_gate ("1 0 0");
  CU_ASSERT_PTR_NULL (f.gate->quotas.holder);
  CU_ASSERT (!ev_is_active (&f.gate->quotas.timer));
  send (1);
  CU_ASSERT_EQUAL (f.sends, 1);
  CU_ASSERT_EQUAL (asks, 0);

  put ("2 4 40");
  send (2);
  CU_ASSERT_EQUAL (f.sends, 1);
  put ("3 0 0");
  CU_ASSERT_EQUAL (f.sends, 2);
  unsigned before = asks;
  send (3);
  CU_ASSERT_EQUAL (f.sends, 3);
  run_for (0.6);
  CU_ASSERT_EQUAL (asks, before);
  CU_ASSERT (!ev_is_active (&f.gate->quotas.timer));
  close_gate ();
}

static const struct zp_test tests[]
    = { { "a request waits for a token", test_waits_for_token },
        { "order of arrival, and an empty pool", test_order_and_empty_pool },
        { "no owner", test_no_owner },
        { "a token comes back", test_token_comes_back },
        { "the token of a cancelled request",
          test_token_of_cancelled_request },
        { "the end of a wait", test_end_of_wait },
        { "a limit is removed", test_limit_is_removed } };

TEST_MAIN ("gate-quotas", tests)
