#include "router-fake.h"

#include "peer/lease_codec.h"
#include "wire/frame.h"

/* Requests with equal paths count as copies, which run at one server.  */
static const char *const paths[]
    = { "/board/a", "/board/b", "/board/c", "/board/d" };

/* Puts the next configuration in force: the objects of the first one, and
   EDIT.  */
static void
configure (struct fixture *f, const char *edit)
{
  struct tk_msg *m = tk_msg_new (TK_CONFIG);
  uint64_t number = f->router->config->number + 1;

  m->u.config.version = number + 1;
  m->u.config.number = number;
  m->u.config.term = 1;
  zp_buf_printf (&m->u.config.bytes,
                 "{\"index\":%d,\"time\":%d,\"number\":%d,\"digest\":"
                 "\"%064d\",%s}",
                 (int) number + 1, (int) number, (int) number, 0, edit);
  tk_send (&f->router->task, m);
  while (!f->timed_out && f->router->config->number < number)
    fixture_step (f);
}

static struct tk_msg *
request_with (struct fixture *f, const char *path, const char *key)
{
  struct tk_msg *m = fixture_http (f, "GET", path, "");

  zp_buf_put (&m->u.request.credential, zp_str_from (key));
  return m;
}

/* Sends a request with KEY and checks that it is refused.  */
static void
check_refusal (struct fixture *f, struct tk_msg *m, unsigned status,
               const char *reason, enum zp_verdict verdict)
{
  size_t forwarded = f->forward.len;
  const struct tk_http_answer *a = fixture_answer (f, fixture_send (f, m));

  CU_ASSERT_PTR_NOT_NULL_FATAL (a);
  if (a->status != status)
    printf ("status %u, %s\n", a->status, a->body.ptr);
  CU_ASSERT_EQUAL (a->status, status);
  CU_ASSERT (HAS_TEXT (a->body.ptr, reason));
  CU_ASSERT (!HAS_TEXT (a->body.ptr, "KEY"));
  CU_ASSERT_EQUAL (a->verdict, verdict);
  CU_ASSERT_EQUAL (f->forward.len, forwarded);
}

/* Sends a request with KEY and checks that it is forwarded for WORKSPACE
   without the key.  Returns the forward message.  */
static struct tk_msg *
check_forwarded (struct fixture *f, const char *path, const char *key,
                 const char *workspace)
{
  fixture_send (f, request_with (f, path, key));
  struct tk_msg *m = fixture_forward (f, f->forward.len + 1);
  const struct en_request *q;
  uint32_t at = 0;

  CU_ASSERT_PTR_NOT_NULL_FATAL (m);
  CU_ASSERT (zp_str_eq (zp_str_of (&m->u.forward.workspace),
                        zp_str_from (workspace)));
  CU_ASSERT (!m->u.forward.headers.ptr
             || !HAS_TEXT (m->u.forward.headers.ptr, "KEY"));
  while ((q = zp_slots_next (&f->router->requests, &at)))
    CU_ASSERT_EQUAL (q->msg->u.request.credential.len, 0);
  return m;
}

static void
answer (struct fixture *f, const struct tk_msg *forward)
{
  fixture_done (f, forward, TK_END_ANSWER, ZP_RAN, 200);
}

#define TWO                                                                   \
  "\"set\":{\"workspace/alpha\":{\"keys\":[\"KEY-a\",\"KEY-b\"]},"            \
  "\"workspace/beta\":{\"keys\":[\"KEY-c\"]},"                                \
  "\"service/open\":{\"class\":\"idempotent\",\"priority\":1,"                \
  "\"deadline_ms\":2000,\"queue_max\":2,\"public\":true}}"

/* Guards against requests that are served without a valid key, and against a
   key or a false name of a workspace that reaches a server.  */
static void
test_keys (void)
{
  struct fixture f;

  fixture_open (&f);
  /* Without workspaces no key is needed.  */
  answer (&f, check_forwarded (&f, "/board/1", "KEY-x", ""));
  configure (&f, TWO);
  check_refusal (&f, request_with (&f, "/board/1", ""), 401, "no-key",
                 ZP_NOT_RUN);
  check_refusal (&f, request_with (&f, "/board/1", "KEY-x"), 401,
                 "unknown-key", ZP_NOT_RUN);
  check_refusal (&f, request_with (&f, "/nothing/1", ""), 404,
                 "unknown-service", ZP_NOT_RUN);
  answer (&f, check_forwarded (&f, "/board/1", "KEY-a", "alpha"));
  answer (&f, check_forwarded (&f, "/board/1", "KEY-b", "alpha"));
  answer (&f, check_forwarded (&f, "/board/1", "KEY-c", "beta"));
  fixture_close (&f);
}

/* Guards against a false not-run: the request may have run through another
   entry daemon, whose configuration had the key.  */
static void
test_refusal_with_an_idempotency_key (void)
{
  struct fixture f;

  fixture_open (&f);
  configure (&f, TWO);
  struct tk_msg *m = request_with (&f, "/booking/1", "KEY-x");
  zp_buf_put (&m->u.request.key, ZP_STR ("1:100:0.u"));
  check_refusal (&f, m, 401, "unknown-key", ZP_MAY_HAVE_RUN);
  fixture_close (&f);
}

/* Guards against a public service that asks for a key.  */
static void
test_public_service (void)
{
  struct fixture f;

  fixture_open (&f);
  configure (&f, TWO);
  configure (&f, "\"set\":{\"service/board\":{\"class\":\"idempotent\","
                 "\"priority\":1,\"deadline_ms\":2000,\"queue_max\":2,"
                 "\"public\":true}}");
  answer (&f, check_forwarded (&f, "/board/1", "", ""));
  answer (&f, check_forwarded (&f, "/board/1", "KEY-x", ""));
  answer (&f, check_forwarded (&f, "/board/1", "KEY-a", ""));
  fixture_close (&f);
}

/* Guards against a key that still works after it was removed, alone or with
   its workspace, and against a running request that is lost with it.  */
static void
test_removed_keys (void)
{
  struct fixture f;

  fixture_open (&f);
  configure (&f, TWO);
  struct tk_msg *running = check_forwarded (&f, "/board/1", "KEY-c", "beta");
  configure (&f, "\"set\":{\"workspace/alpha\":{\"keys\":[\"KEY-b\"]}},"
                 "\"delete\":[\"workspace/beta\"]");
  check_refusal (&f, request_with (&f, "/board/1", "KEY-a"), 401,
                 "unknown-key", ZP_NOT_RUN);
  check_refusal (&f, request_with (&f, "/board/1", "KEY-c"), 401,
                 "unknown-key", ZP_NOT_RUN);
  uint64_t id = f.next_http;
  answer (&f, running);
  fixture_wait (&f, 50 * ZP_MS);
  CU_ASSERT (id > 0 && f.router->requests.len == 0);
  answer (&f, check_forwarded (&f, "/board/1", "KEY-b", "alpha"));
  /* Without any workspace no key is needed.  */
  configure (&f, "\"set\":{},\"delete\":[\"workspace/alpha\"]");
  answer (&f, check_forwarded (&f, "/board/1", "", ""));
  fixture_close (&f);
}

/* Guards against a queue in the order of the service's priority: the request
   of an urgent workspace is forwarded before an earlier one.  */
static void
test_priority (void)
{
  struct fixture f;
  struct tk_msg *m[4];

  fixture_open (&f);
  configure (&f, "\"set\":{\"workspace/slow\":{\"keys\":[\"KEY-s\"],"
                 "\"priority\":3},"
                 "\"workspace/fast\":{\"keys\":[\"KEY-f\"],\"priority\":0}}");
  for (size_t i = 0; i < 4; i++)
    m[i] = check_forwarded (&f, paths[i], "KEY-s", "slow");
  fixture_send (&f, request_with (&f, "/board/2", "KEY-s"));
  fixture_send (&f, request_with (&f, "/board/3", "KEY-f"));
  fixture_wait (&f, 50 * ZP_MS);
  CU_ASSERT_EQUAL (f.forward.len, 4);
  answer (&f, m[0]);
  struct tk_msg *next = fixture_forward (&f, 5);
  CU_ASSERT_PTR_NOT_NULL_FATAL (next);
  CU_ASSERT (
      zp_str_eq (zp_str_of (&next->u.forward.workspace), ZP_STR ("fast")));
  for (size_t i = 1; i < 4; i++)
    answer (&f, m[i]);
  answer (&f, next);
  fixture_close (&f);
}

#define LIMITED(rate)                                                         \
  "\"set\":{\"workspace/w\":{\"keys\":[\"KEY-w\"],\"rate_per_s\":" rate       \
  ",\"burst\":2},\"workspace/free\":{\"keys\":[\"KEY-f\"]},"                  \
  "\"entry/1\":{\"failure_domain\":\"w1\",\"address\":\"127.0.0.1:1\","       \
  "\"enabled\":true}}"

/* Guards against requests over the limit that are forwarded, against refusals
   without a time to wait, against a limit that binds other workspaces, and
   against an answer not-run whose idempotency key can still run.  */
static void
test_rate_limit (void)
{
  struct fixture f;
  struct zp_buf token = { .ptr = NULL };

  fixture_open (&f);
  configure (&f, LIMITED ("5"));
  /* Depth 2: full after 0.4 s.  */
  fixture_wait (&f, 500 * ZP_MS);
  answer (&f, check_forwarded (&f, "/board/1", "KEY-w", "w"));
  answer (&f, check_forwarded (&f, "/board/1", "KEY-w", "w"));
  check_refusal (&f, request_with (&f, "/board/1", "KEY-w"), 429,
                 "workspace-limit", ZP_NOT_RUN);
  CU_ASSERT_EQUAL (f.front.msg[f.front.len - 1]->u.answer.retry_after_s, 1);

  struct tk_msg *m = request_with (&f, "/booking/1", "KEY-w");
  en_members_choose_home (&f.router->members, &f.router->rng, &token);
  zp_buf_printf (&m->u.request.key, "%s.u", token.ptr);
  check_refusal (&f, m, 429, "workspace-limit", ZP_NOT_RUN);
  m = request_with (&f, "/booking/1", "KEY-f");
  zp_buf_printf (&m->u.request.key, "%s.u", token.ptr);
  const struct tk_http_answer *a = fixture_answer (&f, fixture_send (&f, m));
  CU_ASSERT (a && a->status != 200 && a->verdict == ZP_NOT_RUN);
  zp_buf_free (&token);

  answer (&f, check_forwarded (&f, "/board/1", "KEY-f", "free"));
  fixture_wait (&f, 250 * ZP_MS);
  answer (&f, check_forwarded (&f, "/board/1", "KEY-w", "w"));
  fixture_close (&f);
}

/* Guards against tokens that are lost with requests that never reached a
   server: their workspace would get less than its limit.  */
static void
test_tokens_are_given_back (void)
{
  struct fixture f;

  fixture_open (&f);
  configure (&f, LIMITED ("5"));
  fixture_wait (&f, 500 * ZP_MS);
  for (int i = 0; i < 6; i++)
    {
      struct tk_msg *m = request_with (&f, "/board/1", "KEY-w");
      m->u.request.deadline = zp_clock_mono () - 1;
      check_refusal (&f, m, 504, "deadline", ZP_NOT_RUN);
    }
  answer (&f, check_forwarded (&f, "/board/1", "KEY-w", "w"));
  fixture_close (&f);
}

/* Guards against a request that is forwarded from outside the home regions of
   its workspace.  */
static void
test_not_a_home_region (void)
{
  struct fixture f;

  fixture_open (&f);
  configure (&f, "\"set\":{\"workspace/w\":{\"keys\":[\"KEY-w\"],"
                 "\"home_regions\":[\"east\"]},"
                 "\"region/east\":{\"latency_ms\":{}}}");
  check_refusal (&f, request_with (&f, "/board/1", "KEY-w"), 503,
                 "home-region", ZP_NOT_RUN);
  struct tk_msg *m = request_with (&f, "/booking/1", "KEY-w");
  zp_buf_put (&m->u.request.key, ZP_STR ("1:100:0.u"));
  check_refusal (&f, m, 503, "home-region", ZP_MAY_HAVE_RUN);
  configure (&f, "\"set\":{\"workspace/w\":{\"keys\":[\"KEY-w\"],"
                 "\"home_regions\":[\"east\",\"west\"]}}");
  answer (&f, check_forwarded (&f, "/board/1", "KEY-w", "w"));
  fixture_close (&f);
}

/* Lends two slots of a server of service board in region east, from entry
   daemon 2, once the router has asked it.  */
static void
lend_from_east (struct fixture *f)
{
  struct st_holder *h = &f->router->holder;
  struct st_lender *lender = NULL;

  while (!f->timed_out && !lender)
    {
      st_view_put_summary (&f->router->view, 2, ZP_STR ("board"), 2, 2,
                           zp_clock_mono ());
      fixture_step (f);
      for (size_t i = 0; i < h->lenders; i++)
        if (h->lender[i].owner == 2 && h->lender[i].next > 0)
          lender = &h->lender[i];
    }
  CU_ASSERT_PTR_NOT_NULL_FATAL (lender);
  struct st_grant g
      = { .kind = ST_GRANT_NEW,
          .to = 1,
          .request = lender->sent[(lender->next - 1) % ST_SENT_MAX].number,
          .id = { .owner = 2, .epoch = 7, .number = 1 },
          .u.lend = { .server = "board-east",
                      .service = "board",
                      .address = "127.0.0.1:9100",
                      .slots = 2,
                      .connections = 4,
                      .ttl = ZP_LEASE_TTL } };
  struct tk_msg *m = tk_msg_new (TK_PEER_FRAME);
  m->u.frame.peer = 2;
  m->u.frame.kind = WI_LEASE_GRANT;
  pe_put_grant (&m->u.frame.payload, &g);
  tk_send (&f->router->task, m);
}

/* Guards against a request that is forwarded to a server outside the home
   regions of its workspace, and against one that holds up the requests behind
   it while it waits for a server inside.  */
static void
test_servers_in_home_regions (void)
{
  struct fixture f;
  struct tk_msg *m[4];

  fixture_open (&f);
  configure (&f, "\"set\":{\"workspace/w\":{\"keys\":[\"KEY-w\"],"
                 "\"priority\":0,\"home_regions\":[\"west\"]},"
                 "\"workspace/any\":{\"keys\":[\"KEY-a\"]},"
                 "\"region/west\":{\"latency_ms\":{\"east\":1}},"
                 "\"region/east\":{\"latency_ms\":{\"west\":1}},"
                 "\"failure_domain/e1\":{\"region\":\"east\","
                 "\"entry_networks\":[]}}");
  struct tk_msg *up = tk_msg_new (TK_PEER_UP);
  up->u.peer = (struct tk_peer_change){ .peer = 2,
                                        .incarnation = 7,
                                        .address = "127.0.0.2:1",
                                        .failure_domain = "e1",
                                        .region = "east" };
  tk_send (&f.router->task, up);
  for (size_t i = 0; i < 4; i++)
    m[i] = check_forwarded (&f, paths[i], "KEY-a", "any");
  fixture_send (&f, request_with (&f, "/board/2", "KEY-w"));
  fixture_send (&f, request_with (&f, "/board/3", "KEY-a"));
  lend_from_east (&f);
  struct tk_msg *east = fixture_forward (&f, 5);
  CU_ASSERT_PTR_NOT_NULL_FATAL (east);
  CU_ASSERT_STRING_EQUAL (east->u.forward.address, "127.0.0.1:9100");
  CU_ASSERT (
      zp_str_eq (zp_str_of (&east->u.forward.workspace), ZP_STR ("any")));
  fixture_wait (&f, 100 * ZP_MS);
  CU_ASSERT_EQUAL (f.forward.len, 5);
  answer (&f, m[0]);
  struct tk_msg *west = fixture_forward (&f, 6);
  CU_ASSERT_PTR_NOT_NULL_FATAL (west);
  CU_ASSERT (zp_str_eq (zp_str_of (&west->u.forward.workspace), ZP_STR ("w")));
  CU_ASSERT_STRING_EQUAL (west->u.forward.address, m[0]->u.forward.address);
  for (size_t i = 1; i < 4; i++)
    answer (&f, m[i]);
  answer (&f, east);
  answer (&f, west);
  fixture_close (&f);
}

static const struct zp_test tests[] = {
  { "keys", test_keys },
  { "a refusal with an idempotency key",
    test_refusal_with_an_idempotency_key },
  { "a public service", test_public_service },
  { "removed keys", test_removed_keys },
  { "priority", test_priority },
  { "rate limit", test_rate_limit },
  { "tokens are given back", test_tokens_are_given_back },
  { "not a home region", test_not_a_home_region },
  { "servers in home regions", test_servers_in_home_regions },
};

TEST_MAIN ("router-workspaces", tests)
