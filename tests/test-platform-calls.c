#include "harness.h"

#include "platform.h"

/* The decoded call.  */
static struct ct_call call;

static void
decode (const char *method, const char *path, const char *query,
        const char *body)
{
  struct tk_http_request r = { .method = zp_buf_from (zp_str_from (method)),
                               .path = zp_buf_from (zp_str_from (path)),
                               .query = zp_buf_from (zp_str_from (query)),
                               .body = zp_buf_from (zp_str_from (body)) };

  pf_control_interface.decode (&r, &call);
  zp_buf_free (&r.method);
  zp_buf_free (&r.path);
  zp_buf_free (&r.query);
  zp_buf_free (&r.body);
}

static const char report[]
    = "{\"service\":\"huvo\",\"address\":\"10.128.0.9:8080\",\"zone\":"
      "\"sofia-a\",\"version\":\"v1\",\"capacity\":6,\"state\":\"ready\","
      "\"warmupLeft\":\"1500ms\",\"seq\":4,\"born\":1700000000123}";

/* Guards against a report that is decoded into the wrong fields.  */
static void
test_server_report (void)
{
  decode ("POST", "/Instances.Heartbeat/i-7f3a", "", report);
  CU_ASSERT_EQUAL_FATAL (call.kind, CT_CALL_SERVER);
  CU_ASSERT_STRING_EQUAL (call.u.server.id, "i-7f3a");
  CU_ASSERT_STRING_EQUAL (call.u.server.service, "huvo");
  CU_ASSERT_STRING_EQUAL (call.u.server.address, "10.128.0.9:8080");
  CU_ASSERT_STRING_EQUAL (call.u.server.failure_domain, "sofia-a");
  CU_ASSERT_EQUAL (call.u.server.slots, 6);
  CU_ASSERT_EQUAL (call.u.server.state, TK_SERVER_READY);
  CU_ASSERT_EQUAL (call.u.server.cold, 1500 * ZP_MS);
  CU_ASSERT_EQUAL (call.u.server.seq, 4);
  CU_ASSERT_EQUAL (call.u.server.born_ms, 1700000000123);
}

/* Guards against invalid reports that change the state of a server: fields
   missing, of another type, or out of range.  */
static void
test_invalid_reports (void)
{
  static const char *const bad[][2] = {
    { "\"service\":\"huvo\",", "" },
    { "\"service\":\"huvo\"", "\"service\":\"\"" },
    { "\"service\":\"huvo\"", "\"service\":[\"huvo\"]" },
    { "\"10.128.0.9:8080\"", "\"server.example:8080\"" },
    { "\"10.128.0.9:8080\"", "\"10.128.0.9\"" },
    { "\"10.128.0.9:8080\"", "\"10.128.0.9:0\"" },
    { "\"10.128.0.9:8080\"", "\"10.128.0.9:65536\"" },
    { "\"10.128.0.9:8080\"", "\"10.128.0.9:18446744073709551696\"" },
    { "\"10.128.0.9:8080\"", "\"10.128.0.9:-1\"" },
    { "\"10.128.0.9:8080\"", "\"0.0.0.0:8080\"" },
    { "\"10.128.0.9:8080\"", "\"255.255.255.255:8080\"" },
    { "\"10.128.0.9:8080\"", "\"224.0.0.1:8080\"" },
    { "\"10.128.0.9:8080\"", "[\"10.128.0.9:8080\"]" },
    { "\"capacity\":6", "\"capacity\":\"6\"" },
    { "\"capacity\":6", "\"capacity\":1e400" },
    { "\"capacity\":6", "\"capacity\":99999999999999999999" },
    { "\"capacity\":6", "\"capacity\":-99999999999999999999" },
    { "\"service\":\"huvo\"", "\"service\":\"hu\\u0000vo\"" },
    { "\"warmupLeft\":\"1500ms\"", "\"warmupLeft\":\"1e400ms\"" },
    { "\"warmupLeft\":\"1500ms\"", "\"warmupLeft\":\"9e15s\"" },
    { "\"seq\":4", "\"seq\":99999999999999999999" },
    { "\"seq\":4", "\"seq\":9223372036854775806" },
    { "\"born\":1700000000123", "\"born\":9223372036854775806" },
    { "\"born\":1700000000123", "\"born\":-1700000000123" },
    { "\"born\":1700000000123", "\"born\":1e300" },
    { "\"capacity\":6", "\"capacity\":-6" },
    { "\"capacity\":6", "\"capacity\":6000000" },
    { "\"state\":\"ready\"", "\"state\":\"sleeping\"" },
    { "\"state\":\"ready\"", "\"state\":1" },
    { "\"warmupLeft\":\"1500ms\"", "\"warmupLeft\":1500" },
    { "\"warmupLeft\":\"1500ms\"", "\"warmupLeft\":\"-5ms\"" },
    { "\"seq\":4", "\"seq\":4.5" },
    { "\"seq\":4", "\"seq\":-4" },
    { "\"born\":1700000000123", "\"born\":\"now\"" },
    { "\"born\":1700000000123", "\"born\":1700000000123.5" },
    { "{\"service\"", "[\"service\"" },
    { "\"zone\":\"sofia-a\"",
      "\"zone\":\"a-name-that-is-much-longer-than-any-failure-domain-of-the-"
      "deployment-can-be\"" },
  };
  char text[sizeof report + 128];

  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      const char *at = strstr (report, bad[i][0]);
      CU_ASSERT_PTR_NOT_NULL_FATAL (at);
      snprintf (text, sizeof text, "%.*s%s%s", (int) (at - report), report,
                bad[i][1], at + strlen (bad[i][0]));
      decode ("POST", "/Instances.Heartbeat/i-7f3a", "", text);
      if (call.kind != CT_CALL_BAD)
        {
          printf ("accepted: %s\n", bad[i][1]);
          CU_FAIL ("an invalid report was accepted");
        }
    }
  decode ("POST", "/Instances.Heartbeat/", "", report);
  CU_ASSERT_EQUAL (call.kind, CT_CALL_BAD);
  decode ("POST", "/Instances.Heartbeat/i-1", "", "\xff\xfe{");
  CU_ASSERT_EQUAL (call.kind, CT_CALL_BAD);
  decode ("POST", "/Instances.Heartbeat/i-1", "", "");
  CU_ASSERT_EQUAL (call.kind, CT_CALL_BAD);
}

/* Guards against a call whose body breaks off and is completed by the next call
   on the connection: a report, the leave of a server and a document.  */
static void
test_bodies_of_two_calls (void)
{
  static const char document[]
      = "{\"version\":4,\"listeners\":[],\"clusters\":[]}";
  static const struct
  {
    const char *path, *body;
  } calls[] = { { "/Instances.Heartbeat/i-7f3a", report },
                { "/Instances.Deregister/i-7f3a", "{\"born\":17}" },
                { "/Config.Put", document } };
  struct zp_buf next = { .ptr = NULL };

  for (size_t i = 0; i < sizeof calls / sizeof calls[0]; i++)
    for (size_t k = 0; k < sizeof calls / sizeof calls[0]; k++)
      for (size_t n = 0; n < strlen (calls[i].body); n++)
        {
          struct zp_buf body = { .ptr = NULL };
          size_t len = strlen (calls[i].body);
          zp_buf_clear (&next);
          zp_buf_printf (&next,
                         "POST %s HTTP/1.1\r\nHost: h\r\n"
                         "Content-Length: %zu\r\n\r\n%s",
                         calls[k].path, strlen (calls[k].body), calls[k].body);
          zp_buf_printf (&body, "%.*s%.*s", (int) n, calls[i].body,
                         (int) (len - n), next.ptr);
          decode ("POST", calls[i].path, "", body.ptr);
          if (call.kind != CT_CALL_BAD)
            printf ("accepted: %s\n", body.ptr);
          CU_ASSERT_EQUAL (call.kind, CT_CALL_BAD);
          zp_buf_free (&body);
        }
  zp_buf_free (&next);
}

/* Guards against a report that ends the control daemon, because its nesting
   takes all of the stack.  */
static void
test_deeply_nested_report (void)
{
  enum
  {
    DEPTH = 100000
  };
  static char text[2 * DEPTH + 64];
  size_t n = (size_t) snprintf (text, sizeof text, "{\"service\":");

  memset (text + n, '[', DEPTH);
  memset (text + n + DEPTH, ']', DEPTH);
  text[n + 2 * DEPTH] = '}';
  decode ("POST", "/Instances.Heartbeat/i-1", "", text);
  CU_ASSERT_EQUAL (call.kind, CT_CALL_BAD);
  decode ("POST", "/Instances.Deregister/i-1", "", text);
  CU_ASSERT_EQUAL (call.kind, CT_CALL_BAD);
  decode ("POST", "/Config.Put", "", text);
  CU_ASSERT_EQUAL (call.kind, CT_CALL_BAD);
}

/* Guards against a deregistration that removes another instance of the server:
   "born", when given, has to reach the control daemon.  */
static void
test_deregistration (void)
{
  decode ("POST", "/Instances.Deregister/i-7f3a", "", "");
  CU_ASSERT_EQUAL_FATAL (call.kind, CT_CALL_SERVER);
  CU_ASSERT_EQUAL (call.u.server.state, TK_SERVER_GONE);
  CU_ASSERT_EQUAL (call.u.server.born_ms, 0);
  decode ("POST", "/Instances.Deregister/i-7f3a", "", "{\"born\":17}");
  CU_ASSERT_EQUAL (call.kind, CT_CALL_SERVER);
  CU_ASSERT_EQUAL (call.u.server.born_ms, 17);
  decode ("POST", "/Instances.Deregister/i-7f3a", "", "{\"born\":true}");
  CU_ASSERT_EQUAL (call.kind, CT_CALL_BAD);
}

/* Guards against calls of operators that are taken for other calls or accepted
   with an invalid name or document.  */
static void
test_operators (void)
{
  decode ("POST", "/Evacuate.Start/wm-a", "", "");
  CU_ASSERT_EQUAL_FATAL (call.kind, CT_CALL_EVACUATE);
  CU_ASSERT (call.u.evacuate.on);
  CU_ASSERT (zp_str_eq (ti_text_str (&call.u.evacuate.failure_domain),
                        ZP_STR ("wm-a")));
  decode ("POST", "/Evacuate.End/wm-a", "", "");
  CU_ASSERT_EQUAL (call.kind, CT_CALL_EVACUATE);
  CU_ASSERT (!call.u.evacuate.on);
  decode ("POST", "/Evacuate.Start/a%20b", "", "");
  CU_ASSERT_EQUAL (call.kind, CT_CALL_BAD);
  decode ("GET", "/Config.Get", "", "");
  CU_ASSERT_EQUAL (call.kind, CT_CALL_READ);
  decode ("POST", "/Config.Put", "", "{\"version\":1}");
  CU_ASSERT_EQUAL (call.kind, CT_CALL_BAD);
  decode ("POST", "/Config.Put", "",
          "{\"version\":4,\"listeners\":[],\"clusters\":[]}");
  CU_ASSERT_EQUAL (call.kind, CT_CALL_PUT);
  CU_ASSERT_EQUAL (call.u.put.number, 4);
  decode ("GET", "/Config.Put", "", "");
  CU_ASSERT_EQUAL (call.kind, CT_CALL_UNKNOWN);
  decode ("POST", "/elsewhere", "", "");
  CU_ASSERT_EQUAL (call.kind, CT_CALL_UNKNOWN);
}

/* Guards against a look-up that ignores where the caller is.  */
static void
test_resolve (void)
{
  decode ("GET", "/resolve", "name=h.example&region=sofia&zone=sofia-a", "");
  CU_ASSERT_EQUAL_FATAL (call.kind, CT_CALL_LOOKUP);
  CU_ASSERT_STRING_EQUAL (call.u.lookup.region, "sofia");
  CU_ASSERT_STRING_EQUAL (call.u.lookup.failure_domain, "sofia-a");
  decode ("GET", "/resolve", "", "");
  CU_ASSERT_EQUAL (call.kind, CT_CALL_LOOKUP);
  CU_ASSERT_STRING_EQUAL (call.u.lookup.region, "");
}

/* The encoded answer.  */
static struct tk_http_answer answer;

static const char *
encode (const struct ct_reply *reply)
{
  struct tk_http_request r = { .path = zp_buf_from (ZP_STR ("/Config.Get")) };

  answer = (struct tk_http_answer){ .status = 0 };
  pf_control_interface.encode (&r, reply, &answer);
  zp_buf_free (&r.path);
  return answer.body.ptr ? answer.body.ptr : "";
}

static void
free_answer (void)
{
  zp_buf_free (&answer.body);
  zp_buf_free (&answer.content_type);
  zp_buf_free (&answer.location);
}

/* Guards against answers that the platform cannot read: status, redirect
   address, and quoted texts in JSON.  */
static void
test_answers (void)
{
  const struct zp_str address[]
      = { ZP_STR ("10.1.0.15:8641"), ZP_STR ("10.1.0.16:8641") };
  struct ct_reply reply = { .kind = CT_REPLY_ENTRY_VMS };

  reply.u.entry_vms.address = address;
  reply.u.entry_vms.len = 2;
  reply.u.entry_vms.ttl = 1500 * ZP_MS;
  CU_ASSERT_STRING_EQUAL (
      encode (&reply),
      "{\"addresses\":[\"10.1.0.15:8641\",\"10.1.0.16:8641\"],\"ttl\":"
      "\"1500ms\"}");
  CU_ASSERT_EQUAL (answer.status, 200);
  free_answer ();
  reply = (struct ct_reply){ .kind = CT_REPLY_REDIRECT };
  reply.u.leader = ZP_STR ("10.0.0.4:80");
  encode (&reply);
  CU_ASSERT_EQUAL (answer.status, 307);
  CU_ASSERT_STRING_EQUAL (answer.location.ptr,
                          "http://10.0.0.4:80/Config.Get");
  free_answer ();
  reply = (struct ct_reply){ .kind = CT_REPLY_BAD };
  reply.u.bad = "a \"quoted\" reason";
  CU_ASSERT (HAS_TEXT (encode (&reply), "\\\"quoted\\\""));
  CU_ASSERT_EQUAL (answer.status, 400);
  free_answer ();
  reply = (struct ct_reply){ .kind = CT_REPLY_UNAVAILABLE };
  encode (&reply);
  CU_ASSERT_EQUAL (answer.status, 503);
  free_answer ();
  reply = (struct ct_reply){ .kind = CT_REPLY_DOCUMENT };
  reply.u.document = ZP_STR ("{\"version\":7}");
  CU_ASSERT_STRING_EQUAL (encode (&reply), "{\"version\":7}");
  free_answer ();
}

static const struct zp_test tests[]
    = { { "server reports", test_server_report },
        { "invalid server reports", test_invalid_reports },
        { "bodies of two calls", test_bodies_of_two_calls },
        { "a deeply nested report", test_deeply_nested_report },
        { "servers that deregister", test_deregistration },
        { "calls of operators", test_operators },
        { "look-ups", test_resolve },
        { "answers", test_answers } };

TEST_MAIN ("platform-calls", tests)
