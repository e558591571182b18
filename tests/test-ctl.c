#include "ctl-fixture.h"

#include <stdlib.h>

/* Guards against a client that gives up when the first server is down.  */
static void
test_next_server (void)
{
  struct fixture f;

  fixture_open (&f);
  tk_loop_start (&f.loop);
  check_answer (test_address (8399), f.b.address, f.b.address);
  fixture_close (&f);
  CU_ASSERT_EQUAL (f.a.requests, 0);
}

/* Guards against a redirect that turns POST into GET or drops the body.  */
static void
test_redirect (void)
{
  struct fixture f;

  fixture_open (&f);
  f.a.status = 307;
  f.a.answers = 1;
  f.a.location = f.b.address;
  tk_loop_start (&f.loop);
  check_answer (f.a.address, test_address (8399), f.b.address);
  fixture_close (&f);
  CU_ASSERT_STRING_EQUAL (f.b.last_request, "POST /v1/tickets?x=1 {\"t\":1}");
}

/* Guards against a client that gives up when it is redirected to a leader that
   has just died.  */
static void
test_redirect_to_a_dead_leader (void)
{
  struct fixture f;

  fixture_open (&f);
  f.a.status = 307;
  f.a.answers = 1;
  f.a.location = test_address (8399);
  tk_loop_start (&f.loop);
  check_answer (f.a.address, f.b.address, f.b.address);
  fixture_close (&f);
}

/* Guards against a client that takes status 503 for the final answer instead
   of trying every server again.  */
static void
test_waits_for_a_leader (void)
{
  struct fixture f;

  fixture_open (&f);
  f.a.status = f.b.status = 503;
  f.a.answers = 2;
  f.b.answers = 1;
  tk_loop_start (&f.loop);
  check_answer (f.a.address, f.b.address, f.b.address);
  fixture_close (&f);
  CU_ASSERT_EQUAL (f.a.requests, 2);
  CU_ASSERT_EQUAL (f.b.requests, 2);
}

/* Guards against a client that tries for ever when all servers are down.  */
static void
test_no_server_answers (void)
{
  check_answer (test_address (8398), test_address (8399), "");
}

/* Commands that send requests to an entry daemon.  */

#define LOOKUP                                                                \
  "{\"service\":\"booking\",\"entries\":[{\"id\":7,\"address\":"              \
  "\"127.0.0.7:80\",\"failure_domain\":\"west-a\",\"region\":\"west\"}],"     \
  "\"ttl_ms\":5000,\"number\":12,\"once_home\":\"\"}"
#define EXPLAIN                                                               \
  "{\"service\":\"booking\",\"queued\":2,\"decision\":\"server b-1\","        \
  "\"candidates\":[{\"server\":\"b-1\",\"tier\":\"same region\",\"slots\":3," \
  "\"in_flight\":1,\"score\":0.25,\"health\":\"up\",\"ramp\":1.0,"            \
  "\"leaving\":true}]}"
#define STATUS                                                                \
  "{\"id\":7,\"number\":12,\"current\":true,\"leaving\":false,\"members\":"   \
  "[{\"id\":7,\"failure_domain\":\"west-a\",\"region\":\"west\",\"address\":" \
  "\"127.0.0.7:80\",\"state\":\"up\",\"number\":12}],\"services\":[{"         \
  "\"service\":"                                                              \
  "\"booking\",\"queued\":4,\"parked\":0,\"running\":5,\"owned_slots\":36,"   \
  "\"owned_free_slots\":31,\"held_slots\":9,\"ejected_servers\":1}],"         \
  "\"servers\":[]}"

static bool
has (const struct zp_buf *b, const char *text)
{
  return b->ptr && HAS_TEXT (b->ptr, text);
}

/* Runs CMD against a fake entry daemon with the answers CANNED; NULL: against
   an address where no program listens.  */
static enum zc_exit
run_entry (const struct canned *canned, struct zc_command cmd,
           struct zp_buf *out, struct zp_buf *errors)
{
  const struct zc_client c = { .limit = 20 * ZP_SEC };
  struct fixture f;

  fixture_open (&f);
  f.a.canned = canned;
  tk_loop_start (&f.loop);
  cmd.entry = zp_str_from (canned ? f.a.address : test_address (8399));
  enum zc_exit status = zc_entry_text (&c, &cmd, out, errors);
  fixture_close (&f);
  return status;
}

static const struct canned entry_daemon[] = {
  { "/v1/lookup?service=booking&caller=10.0.0.1", 200, LOOKUP },
  { "/v1/explain?service=booking", 200, EXPLAIN },
  { "/v1/status", 200, STATUS },
  { .target = NULL },
};

static const struct zc_command explain_booking
    = { .kind = ZC_EXPLAIN,
        .u.explain
        = { .service = ZP_STR ("booking"), .caller = ZP_STR ("10.0.0.1") } };

/* Guards against a look-up for another caller than that of --caller, and
   against columns that are not aligned.  */
static void
test_explain (void)
{
  struct zp_buf out = { .ptr = NULL }, errors = { .ptr = NULL };

  CU_ASSERT_EQUAL (run_entry (entry_daemon, explain_booking, &out, &errors),
                   ZC_DONE);
  CU_ASSERT_EQUAL (errors.len, 0);
  CU_ASSERT (has (&out, "configuration 12\n"));
  CU_ASSERT (has (&out, "caller 10.0.0.1"));
  CU_ASSERT (has (&out, "  ENTRY  ADDRESS       FAILURE DOMAIN  "
                        "REGION\n"
                        "  7      127.0.0.7:80  west-a          "
                        "west\n"));
  CU_ASSERT (has (&out, "server b-1 (queued: 2)\n"));
  CU_ASSERT (has (&out, "candidates (servers with slots that this entry "));
  CU_ASSERT (has (&out, "  SERVER  TIER         SLOTS  IN FLIGHT  "
                        "SCORE  HEALTH  RAMP   LEAVING\n"
                        "  b-1     same region  3      1          "
                        "0.250  up      1.000  yes\n"));
  zp_buf_free (&out);
  zp_buf_free (&errors);
}

/* Guards against a value of an entry daemon's status that is missing from the
   output or in the wrong column.  */
static void
test_entries (void)
{
  struct zp_buf out = { .ptr = NULL }, errors = { .ptr = NULL };
  const struct zc_command cmd = { .kind = ZC_ENTRIES };

  CU_ASSERT_EQUAL (run_entry (entry_daemon, cmd, &out, &errors), ZC_DONE);
  CU_ASSERT_EQUAL (errors.len, 0);
  CU_ASSERT (has (&out, "entry 7, configuration 12, current: yes, "
                        "leaving: no\n"));
  CU_ASSERT (has (&out, "  7      127.0.0.7:80  west-a          "
                        "west    up     12\n"));
  CU_ASSERT (has (&out, "  SERVICE  QUEUED  PARKED  RUNNING  OWNED  "
                        "FREE  HELD  EJECTED\n"
                        "  booking  4       0       5        36     "
                        "31    9     1\n"));
  CU_ASSERT (has (&out, "announce to this entry:\n  none\n"));
  zp_buf_free (&out);
  zp_buf_free (&errors);
}

/* Guards against output with --json that is not one JSON value on standard
   output, also when the entry daemon refuses.  */
static void
test_entry_json (void)
{
  static const struct canned none[] = { { .target = NULL } };
  struct zp_buf out = { .ptr = NULL }, errors = { .ptr = NULL };
  struct zc_command cmd = explain_booking;

  cmd.json = true;
  CU_ASSERT_EQUAL (run_entry (entry_daemon, cmd, &out, &errors), ZC_DONE);
  CU_ASSERT (zp_str_eq (
      zp_str_of (&out),
      ZP_STR ("{\"lookup\":" LOOKUP ",\"explain\":" EXPLAIN "}\n")));
  zp_buf_clear (&out);
  cmd.kind = ZC_ENTRIES;
  CU_ASSERT_EQUAL (run_entry (entry_daemon, cmd, &out, &errors), ZC_DONE);
  CU_ASSERT (zp_str_eq (zp_str_of (&out), ZP_STR (STATUS "\n")));
  zp_buf_clear (&out);
  CU_ASSERT_EQUAL (run_entry (none, cmd, &out, &errors), ZC_REFUSED);
  CU_ASSERT (has (&out, "{\"state\":\"refused\",\"err"));
  CU_ASSERT (has (&out, "\"next\":\"check that --entry"));
  CU_ASSERT_EQUAL (errors.len, 0);
  zp_buf_free (&out);
  zp_buf_free (&errors);
}

/* Guards against an error message that does not tell the operator what to do
   next.  */
static void
test_entry_errors (void)
{
  static const struct canned unknown[]
      = { { "/v1/lookup?service=booking&caller=10.0.0.1", 404,
            "{\"reason\":\"unknown-service\",\"verdict\":\"not-run\"}" },
          { .target = NULL } };
  static const struct canned no_configuration[]
      = { { "/v1/lookup?service=booking&caller=10.0.0.1", 503,
            "{\"reason\":\"no-configuration\",\"verdict\":\"not-run\"}" },
          { .target = NULL } };
  static const struct canned not_json[]
      = { { "/v1/lookup?service=booking&caller=10.0.0.1", 200, "<html>" },
          { .target = NULL } };
  static const struct
  {
    const struct canned *canned;
    enum zc_exit status;
    const char *error, *next;
  } cases[] = {
    { unknown, ZC_REFUSED, "unknown-service", "next: zpctl config lists" },
    { no_configuration, ZC_REFUSED, "no-configuration",
      "check the control daemons (zpctl status)" },
    { not_json, ZC_REFUSED, "not come from an entry daemon",
      "next: check that --entry" },
    { NULL, ZC_UNREACHABLE, ":8399: ", "next: check --entry and that" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct zp_buf out = { .ptr = NULL }, errors = { .ptr = NULL };
      CU_ASSERT_EQUAL (
          run_entry (cases[i].canned, explain_booking, &out, &errors),
          cases[i].status);
      CU_ASSERT_EQUAL (out.len, 0);
      CU_ASSERT (has (&errors, cases[i].error));
      CU_ASSERT (has (&errors, cases[i].next));
      zp_buf_free (&out);
      zp_buf_free (&errors);
    }
}

/* Guards against status --watch --count that runs fewer or more rounds than
   the count, or ends when a server does not answer.  */
static void
test_watch_count (void)
{
  static const struct canned control[]
      = { { "/v1/status", 200, "{\"id\":1,\"role\":\"leader\"}" },
          { .target = NULL } };
  struct zc_command cmd
      = { .kind = ZC_STATUS,
          .u.status = { .watch = true, .count = 3, .period = ZP_MS } };
  struct fixture f;

  fixture_open (&f);
  struct zp_str servers[2] = { zp_str_from (f.a.address) };
  struct zc_client c
      = { .servers = { .item = servers, .len = 1 }, .limit = 20 * ZP_SEC };
  f.a.canned = control;
  tk_loop_start (&f.loop);
  CU_ASSERT_EQUAL (zc_run (&c, &cmd), ZC_DONE);
  CU_ASSERT_EQUAL (f.a.requests, 3);
  cmd.u.status.watch = false;
  CU_ASSERT_EQUAL (zc_run (&c, &cmd), ZC_DONE);
  CU_ASSERT_EQUAL (f.a.requests, 4);
  cmd.u.status.watch = true;
  servers[1] = servers[0];
  servers[0] = zp_str_from (test_address (8399));
  c.servers.len = 2;
  CU_ASSERT_EQUAL (zc_run (&c, &cmd), ZC_DONE);
  fixture_close (&f);
  CU_ASSERT_EQUAL (f.a.requests, 7);
}

/* Guards against zpctl config and diff that ask for the keys of workspaces
   without --show-keys, or do not with it.  */
static void
test_show_keys (void)
{
  static const struct
  {
    enum zc_command_kind kind;
    bool keys;
    const char *request;
  } cases[] = {
    { ZC_CONFIG, false, "GET /v1/config? " },
    { ZC_CONFIG, true, "GET /v1/config?keys=show " },
    { ZC_DIFF, false, "GET /v1/diff?from=3&to=4 " },
    { ZC_DIFF, true, "GET /v1/diff?from=3&to=4&keys=show " },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      const struct zc_command cmd = { .kind = cases[i].kind,
                                      .show_keys = cases[i].keys,
                                      .u.diff = { .from = 3, .to = 4 } };
      struct fixture f;
      fixture_open (&f);
      struct zp_str server = zp_str_from (f.a.address);
      const struct zc_client c
          = { .servers = { .item = &server, .len = 1 }, .limit = 20 * ZP_SEC };
      tk_loop_start (&f.loop);
      /* The answer is no page of objects.  */
      CU_ASSERT_EQUAL (zc_run (&c, &cmd), ZC_REFUSED);
      fixture_close (&f);
      CU_ASSERT_STRING_EQUAL (f.a.last_request, cases[i].request);
    }
}

static const struct zp_test tests[] = {
  { "the next server is tried when one is down", test_next_server },
  { "a redirect keeps method and body", test_redirect },
  { "a redirect to a dead leader", test_redirect_to_a_dead_leader },
  { "status 503: all servers are tried again", test_waits_for_a_leader },
  { "no server answers", test_no_server_answers },
  { "explain prints a look-up and the candidates", test_explain },
  { "entries prints members, services and servers", test_entries },
  { "JSON of an entry daemon", test_entry_json },
  { "errors of an entry daemon name the next step", test_entry_errors },
  { "--watch ends after --count rounds", test_watch_count },
  { "keys only when asked for", test_show_keys },
};

TEST_MAIN ("ctl", tests)
