#include "harness.h"

#include <json-c/json.h>
#include <stdlib.h>

#include "control/operators.h"

struct fixture
{
  struct ti_store *store;
  struct ct_leadership leadership;
  uint64_t index;
};

static struct fixture
leader (void)
{
  return (struct fixture){ .store = ti_store_new (TI_CONFLICT_BY_OBJECT),
                           .leadership = { .kind = CT_LEADER } };
}

static void
fixture_free (struct fixture *f)
{
  ti_store_free (f->store);
}

/* Decides one request and applies the command that it proposes, as if the log
   committed it at once.  */
static struct tk_http_answer
send_request (struct fixture *f, const char *method, const char *target,
              const char *body)
{
  const struct ct_status_report report
      = { .id = 1, .role = "leader", .term = 3 };
  struct tk_http_request r = { .id = 1 };
  struct ct_decision d;
  struct zp_str path, query;

  zp_str_split (zp_str_from (target), '?', &path, &query);
  r.method = zp_buf_from (zp_str_from (method));
  r.path = zp_buf_from (path);
  r.query = zp_buf_from (query);
  r.body = zp_buf_from (zp_str_from (body));
  ct_operators_decide (f->store, &f->leadership, &report, 1000, &r, &d);
  zp_buf_free (&r.method);
  zp_buf_free (&r.path);
  zp_buf_free (&r.query);
  zp_buf_free (&r.body);
  if (d.kind == CT_ANSWER)
    return d.u.answer;

  struct tk_http_answer a = { .status = 0 };
  struct ti_result result;
  ti_store_apply (f->store, ++f->index, zp_str_of (&d.u.command), &result);
  ct_answer_result (&a, &result);
  ti_result_free (&result);
  zp_buf_free (&d.u.command);
  return a;
}

static void
answer_free (struct tk_http_answer *a)
{
  zp_buf_free (&a->location);
  zp_buf_free (&a->content_type);
  zp_buf_free (&a->body);
}

/* Whether the answer has STATUS and a JSON body that contains TEXT.  */
static bool
answers_with (struct fixture *f, const char *method, const char *target,
              const char *body, unsigned status, const char *text)
{
  struct tk_http_answer a = send_request (f, method, target, body);
  struct json_object *root = json_tokener_parse (a.body.ptr);
  bool ok = a.status == status && root && HAS_TEXT (a.body.ptr, text);

  if (!ok)
    printf ("%s %s: %u %s\n", method, target, a.status, a.body.ptr);
  json_object_put (root);
  answer_free (&a);
  return ok;
}

#define DRAIN(n, server, against)                                             \
  "{\"title\":\"t\",\"author\":\"ana\",\"against\":" against                  \
  ",\"set\":{\"drain/" n "\":{\"target\":\"server/" server "\"}}}"

/* The request target of ACTION ("/review", "/number" or "") on the ticket
   TEXT.  Valid until the next call.  */
static const char *
target_of (const char *text, const char *action)
{
  static char target[128];
  struct zp_report r = { .count = 0 };
  struct ti_ticket *t = ti_ticket_parse (zp_str_from (text), &r);
  struct ti_digest d;

  CU_ASSERT_PTR_NOT_NULL_FATAL (t);
  ti_ticket_digest (t, &d);
  ti_ticket_free (t);
  snprintf (target, sizeof target, "/v1/tickets/%.*s%s",
            ZP_ARG (ti_digest_str (&d)), action);
  return target;
}

/* Submits, reviews and numbers TICKET.  */
static void
bring_into_force (struct fixture *f, const char *ticket)
{
  CU_ASSERT (
      answers_with (f, "POST", "/v1/tickets", ticket, 200, "submitted"));
  CU_ASSERT (answers_with (f, "POST", target_of (ticket, "/review"),
                           "{\"reviewer\":\"ben\"}", 200, "reviewed"));
  CU_ASSERT (answers_with (f, "POST", target_of (ticket, "/number"), "", 200,
                           "\"state\":\"numbered\""));
}

/* Guards against a numbered ticket that is missing from the configuration, and
   against a resend that gets a second number.  */
static void
test_ticket_to_configuration (void)
{
  struct fixture f = leader ();
  const char *const t = DRAIN ("a", "s1", "0");

  bring_into_force (&f, t);
  CU_ASSERT (
      answers_with (&f, "GET", target_of (t, ""), "", 200, "\"number\":1,"));
  CU_ASSERT (
      answers_with (&f, "POST", "/v1/tickets", t, 200, "\"number\":1,"));
  CU_ASSERT (answers_with (&f, "GET", "/v1/config", "", 200,
                           "\"drain/a\":{\"number\":1,\"object\":{\"target\":"
                           "\"server/s1\"}}"));
  CU_ASSERT (answers_with (&f, "GET", "/v1/config?after=drain%2Fa", "", 200,
                           "\"objects\":{},\"next\":null"));
  CU_ASSERT (answers_with (&f, "GET", "/v1/diff?from=0&to=1", "", 200,
                           "\"drain/a\":{\"before\":null,\"after\":{"));
  fixture_free (&f);
}

/* Guards against an invalid request that is accepted or gets another status or
   text than the one that explains it.  */
static void
test_refusals (void)
{
  struct fixture f = leader ();
  const char *const t = DRAIN ("a", "s1", "0");

  CU_ASSERT (
      answers_with (&f, "POST", "/v1/tickets", "{\"title\":", 422, "line 1"));
  CU_ASSERT (answers_with (&f, "POST", "/v1/tickets", "{\"title\":\"x\"}", 422,
                           "\"\\\"author\\\": found null"));
  CU_ASSERT (answers_with (&f, "POST", "/v1/tickets", DRAIN ("a", "s1", "7"),
                           422, "allowed: at most 0"));
  CU_ASSERT (answers_with (&f, "POST", target_of (t, "/review"),
                           "{\"reviewer\":\"ben\"}", 404, "submit it first"));
  CU_ASSERT (answers_with (&f, "POST", "/v1/tickets", t, 200, "submitted"));
  CU_ASSERT (answers_with (&f, "POST", target_of (t, "/review"),
                           "{\"reviewer\":\"ana\"}", 422, "another operator"));
  CU_ASSERT (answers_with (&f, "POST", target_of (t, "/review"), "{}", 422,
                           "\\\"reviewer\\\": found null"));
  CU_ASSERT (answers_with (&f, "POST", target_of (t, "/review"), "[1]", 422,
                           "a JSON object"));
  CU_ASSERT (answers_with (&f, "POST", target_of (t, "/number"), "{\"n\":1}",
                           422, "unknown field, allowed: number"));
  CU_ASSERT (answers_with (&f, "POST", target_of (t, "/number"),
                           "{\"number\":0}", 422, "a whole number above 0"));
  CU_ASSERT (
      answers_with (&f, "GET", "/v1/config?after=x", "", 422, "KIND/NAME"));
  CU_ASSERT (
      answers_with (&f, "GET", "/v1/diff?from=0", "", 422, "\\\"to\\\""));
  CU_ASSERT (
      answers_with (&f, "GET", "/v1/diff?from=0&to=9", "", 404,
                    "found 9, allowed: at most 0, the number in force"));
  CU_ASSERT (
      answers_with (&f, "GET", "/v1/tickets/abc", "", 404, "no such path"));
  CU_ASSERT (answers_with (&f, "GET", "/v2/status", "", 404, "no such path"));
  CU_ASSERT (
      answers_with (&f, "DELETE", "/v1/config", "", 405, "allowed: GET"));
  fixture_free (&f);
}

/* Guards against a conflict whose answer does not name the ticket that took
   effect first, and against a resend that gets another answer.  */
static void
test_conflict_names_first_ticket (void)
{
  struct fixture f = leader ();
  const char *const first = DRAIN ("a", "s1", "0");
  const char *const second = DRAIN ("a", "s2", "0");
  char expect[200];

  CU_ASSERT (
      answers_with (&f, "POST", "/v1/tickets", second, 200, "submitted"));
  CU_ASSERT (answers_with (&f, "POST", target_of (second, "/review"),
                           "{\"reviewer\":\"ben\"}", 200, "reviewed"));
  bring_into_force (&f, first);
  snprintf (expect, sizeof expect,
            "\"conflict\":{\"number\":1,\"digest\":\"%s\",\"objects\":"
            "[\"drain/a\"]}",
            target_of (first, "") + strlen ("/v1/tickets/"));
  for (unsigned again = 0; again < 2; again++)
    CU_ASSERT (answers_with (&f, "POST", target_of (second, "/number"), "",
                             409, expect));
  fixture_free (&f);
}

/* Guards against two members that accept tickets at the same time, and against
   a redirect without the address of the leader.  */
static void
test_only_the_leader_accepts (void)
{
  struct fixture f = leader ();
  struct tk_http_answer a;

  f.leadership
      = (struct ct_leadership){ .kind = CT_FOLLOWER,
                                .leader_http = ZP_STR ("127.0.0.1:80") };
  a = send_request (&f, "POST", "/v1/tickets", DRAIN ("a", "s1", "0"));
  CU_ASSERT_EQUAL (a.status, 307);
  CU_ASSERT (zp_str_eq (zp_str_of (&a.location),
                        ZP_STR ("http://127.0.0.1:80/v1/tickets")));
  answer_free (&a);
  a = send_request (&f, "GET", "/v1/diff?from=1&to=2", "");
  CU_ASSERT (zp_str_eq (zp_str_of (&a.location),
                        ZP_STR ("http://127.0.0.1:80/v1/diff?from=1&to=2")));
  answer_free (&a);
  CU_ASSERT (answers_with (&f, "GET", "/v1/status", "", 200, "\"term\":3"));

  f.leadership = (struct ct_leadership){ .kind = CT_NO_LEADER };
  a = send_request (&f, "GET", "/v1/config", "");
  CU_ASSERT_EQUAL (a.status, 503);
  CU_ASSERT (a.retry_after_s > 0);
  answer_free (&a);
  CU_ASSERT_EQUAL (ti_store_config (f.store)->number, 0);
  fixture_free (&f);
}

/* Guards against answers above ZP_BODY_MAX at the size to design for, with
   blocks of TI_PREFIXES_MAX prefixes.  */
static void
test_configuration_in_pages (void)
{
  struct fixture f = leader ();
  char target[200] = "/v1/config";
  size_t objects = 0, pages = 0;

  for (unsigned t = 0; t < 8; t++)
    {
      struct zp_buf text = { .ptr = NULL };
      zp_buf_printf (
          &text,
          "{\"title\":\"t\",\"author\":\"ana\",\"against\":%u,"
          "\"set\":{%s\"blocks/b%u\":{\"site\":\"s\",\"prefixes\":[",
          t,
          t == 0 ? "\"region/r\":{\"latency_ms\":{}},"
                   "\"failure_domain/f\":{\"region\":\"r\","
                   "\"entry_networks\":[]},"
                   "\"site/s\":{\"failure_domain\":\"f\"},"
                 : "",
          t);
      for (unsigned i = 0; i < TI_PREFIXES_MAX; i++)
        zp_buf_printf (&text, "%s\"2001:db8:1111:2222:3333:4444:%x:%x/128\"",
                       i > 0 ? "," : "", 0xf000 + t, 0xf000 + i);
      zp_buf_put (&text, ZP_STR ("]}}}"));
      bring_into_force (&f, text.ptr);
      zp_buf_free (&text);
    }
  for (bool more = true; more && pages < 20; pages++)
    {
      struct json_object *next, *page;
      struct tk_http_answer a = send_request (&f, "GET", target, "");
      CU_ASSERT (a.body.len <= ZP_BODY_MAX);
      struct json_object *root = json_tokener_parse (a.body.ptr);
      CU_ASSERT_PTR_NOT_NULL_FATAL (root);
      json_object_object_get_ex (root, "objects", &page);
      objects += (size_t) json_object_object_length (page);
      json_object_object_get_ex (root, "next", &next);
      more = next != NULL;
      if (more)
        snprintf (target, sizeof target, "/v1/config?after=%s",
                  json_object_get_string (next));
      json_object_put (root);
      answer_free (&a);
    }
  CU_ASSERT (pages > 1 && pages < 20);
  CU_ASSERT_EQUAL (objects, 8 + 3);
  fixture_free (&f);
}

/* Guards against a status without the tickets that wait for a review.  */
static void
test_status (void)
{
  struct fixture f = leader ();

  CU_ASSERT (answers_with (&f, "POST", "/v1/tickets", DRAIN ("a", "s1", "0"),
                           200, "submitted"));
  CU_ASSERT (answers_with (&f, "GET", "/v1/status", "", 200,
                           "\"title\":\"t\",\"author\":\"ana\",\"against\":0,"
                           "\"state\":\"submitted\",\"reviewer\":null}]"));
  fixture_free (&f);
}

/* Whether the answer to GET TARGET has TEXT.  */
static bool
shows (struct fixture *f, const char *target, const char *text)
{
  struct tk_http_answer a = send_request (f, "GET", target, "");
  bool has = a.status == 200 && HAS_TEXT (a.body.ptr, text);

  answer_free (&a);
  return has;
}

/* Guards against keys of workspaces in answers that operators print without
   having asked for keys, also in the body of a document, which can hold keys,
   and in the report of a conflict; and against a refused ticket that changes
   something.  */
static void
test_keys_are_hidden (void)
{
  static const char first[]
      = "{\"title\":\"t\",\"author\":\"ana\",\"against\":0,\"set\":{"
        "\"workspace/w\":{\"keys\":[\"SECRET1\"],\"rate_per_s\":5}}}";
  static const char second[]
      = "{\"title\":\"u\",\"author\":\"ana\",\"against\":1,\"set\":{"
        "\"document/d\":{\"number\":1,\"body\":\"U0VDUkVUMw==\"},"
        "\"workspace/w\":{\"keys\":[\"SECRET1\",\"SECRET2\"]}}}";
  static const char late[]
      = "{\"title\":\"v\",\"author\":\"ana\",\"against\":1,\"set\":{"
        "\"workspace/w\":{\"keys\":[\"SECRET4\"]}}}";
  static const char same[]
      = "{\"title\":\"x\",\"author\":\"ana\",\"against\":2,\"set\":{"
        "\"workspace/v\":{\"keys\":[\"SECRET2\"]}}}";
  static const char *const hidden[] = { "/v1/config", "/v1/diff?from=0&to=2",
                                        "/v1/diff?from=1&to=2", "/v1/status" };
  struct fixture f = leader ();

  CU_ASSERT (answers_with (&f, "POST", "/v1/tickets", late, 422, "at most 0"));
  bring_into_force (&f, first);
  CU_ASSERT (answers_with (&f, "POST", "/v1/tickets", late, 200, "submitted"));
  CU_ASSERT (answers_with (&f, "POST", target_of (late, "/review"),
                           "{\"reviewer\":\"ben\"}", 200, "reviewed"));
  bring_into_force (&f, second);
  struct tk_http_answer a
      = send_request (&f, "POST", target_of (late, "/number"), "");
  CU_ASSERT_EQUAL (a.status, 409);
  CU_ASSERT (HAS_TEXT (a.body.ptr, "\"objects\":[\"workspace/w\"]"));
  CU_ASSERT (!HAS_TEXT (a.body.ptr, "SECRET"));
  answer_free (&a);
  a = send_request (&f, "POST", "/v1/tickets", same);
  CU_ASSERT_EQUAL (a.status, 422);
  CU_ASSERT (HAS_TEXT (a.body.ptr, "workspace/v: found the same key as in "
                                   "workspace/w"));
  CU_ASSERT (!HAS_TEXT (a.body.ptr, "SECRET"));
  answer_free (&a);
  CU_ASSERT (!shows (&f, "/v1/config", "workspace/v"));
  for (size_t i = 0; i < sizeof hidden / sizeof hidden[0]; i++)
    {
      CU_ASSERT (!shows (&f, hidden[i], "SECRET"));
      CU_ASSERT (!shows (&f, hidden[i], "U0VDUkVUMw"));
    }
  CU_ASSERT (shows (&f, "/v1/config", "\"keys\":\"(2 keys)\"}"));
  CU_ASSERT (shows (&f, "/v1/config", "\"body\":\"(7 bytes)\""));
  CU_ASSERT (shows (&f, "/v1/diff?from=1&to=2", "\"keys\":\"(1 key)\""));
  CU_ASSERT (shows (&f, "/v1/config?keys=show",
                    "\"keys\":[\"SECRET1\",\"SECRET2\"]}"));
  CU_ASSERT (shows (&f, "/v1/config?keys=show&after=drain/x", "SECRET2"));
  CU_ASSERT (shows (&f, "/v1/diff?from=1&to=2&keys=show",
                    "\"before\":{\"keys\":[\"SECRET1\"],\"rate_per_s\":5}"));
  CU_ASSERT (
      answers_with (&f, "GET", "/v1/config?keys=1", "", 422, "allowed: show"));
  fixture_free (&f);
}

static const struct zp_test tests[] = {
  { "ticket to configuration", test_ticket_to_configuration },
  { "refusals", test_refusals },
  { "a conflict names the first ticket", test_conflict_names_first_ticket },
  { "only the leader accepts", test_only_the_leader_accepts },
  { "configuration in pages", test_configuration_in_pages },
  { "status", test_status },
  { "keys are hidden", test_keys_are_hidden },
};

TEST_MAIN ("operators", tests)
