#include "harness.h"

#include <stdlib.h>

#include "ticket/ticket.h"

/* Of the ticket in test_optional_fields_leave_digests, by a program built from
   commit 59146b1.  */
#define OLD_DIGEST                                                            \
  "2d188ef5e57019a872f065b5fcdbeed2d92276e72304e931de50c9d48d05394f"

/* 64 characters.  */
#define LONG_NAME                                                             \
  "abcdefghijklmnopqrstuvwxyzabcdefghijklmnopqrstuvwxyzabcdefghijkl"

static struct ti_ticket *
parse (const char *text, struct zp_report *r)
{
  *r = (struct zp_report){ .count = 0 };
  return ti_ticket_parse (zp_str_from (text), r);
}

static bool
reported (const struct zp_report *r, const char *text)
{
  return r->lines.ptr && HAS_TEXT (r->lines.ptr, text);
}

/* Whether a ticket that sets OBJECT is refused with MISTAKE only.  */
static bool
refused (const char *object, const char *mistake)
{
  struct zp_report r;
  struct zp_buf text = { .ptr = NULL };

  zp_buf_printf (
      &text, "{\"title\":\"t\",\"author\":\"ana\",\"against\":0,\"set\":{%s}}",
      object);
  struct ti_ticket *t = parse (text.ptr, &r);
  bool ok = !t && r.count == 1 && reported (&r, mistake);
  if (!ok)
    printf ("%s: %s\n", object, r.lines.ptr ? r.lines.ptr : "accepted");
  ti_ticket_free (t);
  zp_report_free (&r);
  zp_buf_free (&text);
  return ok;
}

/* Appends the canonical text of the ticket TEXT to OUT.  */
static void
canonical (const char *text, struct zp_buf *out, struct ti_digest *digest)
{
  struct zp_report r;
  struct ti_ticket *t = parse (text, &r);

  CU_ASSERT_PTR_NOT_NULL_FATAL (t);
  ti_ticket_write (t, out);
  ti_ticket_digest (t, digest);
  ti_ticket_free (t);
}

/* Guards against a digest that depends on the layout: a ticket that is sent
   again after an editor reformatted it would count as a second ticket.  */
static void
test_digest_ignores_layout (void)
{
  struct zp_buf a = { .ptr = NULL }, b = { .ptr = NULL }, c = { .ptr = NULL };
  struct ti_digest x, y, z;

  canonical ("{\"title\":\"t\",\"author\":\"ana\",\"against\":3,"
             "\"set\":{\"shift/s\":{\"from\":\"a\",\"to\":\"b\","
             "\"share\":0.1,\"cap_per_minute\":1},"
             "\"blocks/b\":{\"site\":\"a\",\"prefixes\":"
             "[\"10.0.0.0/8\",\"2001:db8::/32\"]}},"
             "\"delete\":[\"drain/x\",\"drain/a\"]}",
             &a, &x);
  canonical ("{ // a comment\n \"delete\": [\"drain/a\", \"drain/x\"],\n"
             "\"set\": { /* blocks */ \"blocks/b\": {\"prefixes\": "
             "[\"2001:0db8:0::/32\", \"10.0.0.0/8\"], \"site\": \"a\"},\n"
             "\"shift/s\": {\"cap_per_minute\": 1.0, \"share\": 0.100,"
             "\"to\": \"b\", \"from\": \"a\"}},"
             "\"against\": 3, \"author\": \"ana\", \"title\": \"t\"}",
             &b, &y);
  CU_ASSERT (zp_str_eq (zp_str_of (&a), zp_str_of (&b)));
  CU_ASSERT (ti_digest_eq (&x, &y));

  /* The canonical text of a canonical text is the same.  */
  canonical (a.ptr, &c, &z);
  CU_ASSERT (zp_str_eq (zp_str_of (&a), zp_str_of (&c)));
  zp_buf_free (&a);
  zp_buf_free (&b);
  zp_buf_free (&c);
}

/* Guards against different tickets with the same digest: each member of a
   ticket changes it.  */
static void
test_digest_covers_every_part (void)
{
  static const char *const texts[] = {
    "{\"title\":\"t\",\"author\":\"ana\",\"against\":3,\"delete\":[\"site/"
    "a\"]}",
    "{\"title\":\"u\",\"author\":\"ana\",\"against\":3,\"delete\":[\"site/"
    "a\"]}",
    "{\"title\":\"t\",\"author\":\"ben\",\"against\":3,\"delete\":[\"site/"
    "a\"]}",
    "{\"title\":\"t\",\"author\":\"ana\",\"against\":4,\"delete\":[\"site/"
    "a\"]}",
    "{\"title\":\"t\",\"author\":\"ana\",\"against\":3,\"delete\":[\"site/"
    "b\"]}",
    "{\"title\":\"t\",\"author\":\"ana\",\"against\":3,\"number\":4,"
    "\"delete\":[\"site/a\"]}",
    "{\"title\":\"t\",\"author\":\"ana\",\"against\":3,"
    "\"set\":{\"site/a\":{\"failure_domain\":\"x\"}}}",
  };
  enum
  {
    N = sizeof texts / sizeof texts[0]
  };
  struct ti_digest d[N];

  for (size_t i = 0; i < N; i++)
    {
      struct zp_buf text = { .ptr = NULL };
      canonical (texts[i], &text, &d[i]);
      zp_buf_free (&text);
      for (size_t j = 0; j < i; j++)
        CU_ASSERT (!ti_digest_eq (&d[i], &d[j]));
    }
}

/* Values are converted to the units and spellings of struct ti_object.  */
static void
test_typed_fields (void)
{
  struct zp_report r;
  struct ti_ticket *t = parse (
      "{\"title\":\"t\",\"author\":\"ana\",\"against\":3,\"set\":{"
      "\"region/w\":{\"latency_ms\":{\"n\":1.5,\"e\":55}},"
      "\"drain/d\":{\"target\":\"server/bk-7\"},"
      "\"control/4\":{\"address\":\"[::0:1]:71\",\"http\":\"127.0.0.1:80\","
      "\"failure_domain\":\"f\",\"role\":\"learner\"}}}",
      &r);

  CU_ASSERT_PTR_NOT_NULL_FATAL (t);
  CU_ASSERT_EQUAL_FATAL (t->edit.set_len, 3);
  const struct ti_region *region = &t->edit.set[0]->u.region;
  CU_ASSERT_EQUAL_FATAL (region->latency_ms.len, 2);
  CU_ASSERT_EQUAL (region->latency_ms.item[0].us, 55000);
  CU_ASSERT_EQUAL (region->latency_ms.item[1].us, 1500);
  const struct ti_drain *drain = &t->edit.set[1]->u.drain;
  CU_ASSERT_EQUAL (drain->target.kind, TI_TARGET_SERVER);
  CU_ASSERT (zp_str_eq (ti_text_str (&drain->target.name), ZP_STR ("bk-7")));
  const struct ti_control *control = &t->edit.set[2]->u.control;
  CU_ASSERT_EQUAL (control->role, TI_ROLE_LEARNER);
  CU_ASSERT (zp_str_eq (ti_text_str (&control->address), ZP_STR ("[::1]:71")));
  ti_ticket_free (t);
}

/* Guards against reporting only the first of several mistakes.  */
static void
test_all_mistakes_at_once (void)
{
  struct zp_report r;
  struct ti_ticket *t = parse (
      "{\"title\":\"\",\"against\":-1,\"colour\":1,\"set\":{"
      "\"service/s\":{\"class\":\"twice\",\"priority\":4,\"deadline_ms\":10,"
      "\"weight\":1},"
      "\"rack/r\":{},\"site/no name\":{}},\"delete\":[\"site\",7]}",
      &r);

  CU_ASSERT_PTR_NULL (t);
  CU_ASSERT_EQUAL (r.count, 12);
  CU_ASSERT (reported (&r, "\"title\": found \"\""));
  CU_ASSERT (reported (&r, "\"author\": found null"));
  CU_ASSERT (reported (&r, "\"against\": found -1"));
  CU_ASSERT (reported (&r, "\"colour\": unknown field"));
  CU_ASSERT (reported (&r, "service/s: \"class\": found \"twice\", allowed: "
                           "\"idempotent\" or \"once\""));
  CU_ASSERT (reported (&r, "service/s: \"priority\": found 4, allowed: a "
                           "whole number from 0 to 3"));
  CU_ASSERT (reported (&r, "service/s: \"queue_max\": missing, required"));
  CU_ASSERT (reported (&r, "service/s: \"weight\": unknown field"));
  CU_ASSERT (reported (&r, "unknown kind \"rack\""));
  CU_ASSERT (reported (&r, "found name \"no name\""));
  CU_ASSERT (reported (&r, "\"delete\": site: not of the form KIND/NAME"));
  ti_ticket_free (t);
  zp_report_free (&r);
}

/* A bad value of each kind of field is reported with what is allowed.  */
static void
test_each_field_kind_is_checked (void)
{
  CU_ASSERT (refused ("\"region/w\":{\"latency_ms\":{\"e\":0.0001}}",
                      "\"e\": found 0.0001"));
  CU_ASSERT (refused ("\"region/w\":{\"latency_ms\":[1]}", "\"latency_ms\""));
  CU_ASSERT (refused ("\"site/s\":{\"failure_domain\":\"\"}",
                      "\"failure_domain\": found \"\""));
  CU_ASSERT (refused ("\"drain/d\":{\"target\":\"rack/7\"}", "\"target\""));
  CU_ASSERT (refused ("\"drain/d\":{\"target\":\"server/\"}", "\"target\""));
  CU_ASSERT (refused ("\"entry/e\":{\"failure_domain\":\"f\",\"enabled\":1,"
                      "\"address\":\"127.0.0.1:80\"}",
                      "\"enabled\": found 1, allowed: true or false"));
  CU_ASSERT (refused ("\"entry/e\":{\"failure_domain\":\"f\",\"enabled\":true,"
                      "\"address\":\"host:80\"}",
                      "\"address\": found \"host:80\", allowed: \"IP:port\""));
  CU_ASSERT (
      refused ("\"shift/s\":{\"from\":\"a\",\"to\":\"b\",\"share\":1.01,"
               "\"cap_per_minute\":0.1}",
               "\"share\": found 1.01, allowed: a number from 0 to 1"));
  CU_ASSERT (refused ("\"shift/s\":{\"from\":\"a\",\"to\":\"b\",\"share\":1,"
                      "\"cap_per_minute\":0}",
                      "\"cap_per_minute\": found 0, allowed: a number above"));
  CU_ASSERT (refused ("\"shift/s\":{\"from\":\"a\",\"to\":\"b\",\"share\":NaN,"
                      "\"cap_per_minute\":1}",
                      "\"share\": found NaN"));
  CU_ASSERT (refused ("\"blocks/b\":{\"site\":\"s\",\"prefixes\":[]}",
                      "found 0 items, allowed: a list of 1 to 2000"));
  CU_ASSERT (refused ("\"blocks/b\":{\"site\":\"s\",\"prefixes\":"
                      "[\"10.0.0.1/8\"]}",
                      "found \"10.0.0.1/8\", allowed: \"IP/bits\" with zero"));
  CU_ASSERT (refused ("\"blocks/b\":{\"site\":\"s\",\"prefixes\":"
                      "[\"10.0.0.0/8\",\"10.0.0.0/8\"]}",
                      "found 10.0.0.0/8 twice"));
}

/* An object occurs once in an edit, and an edit has at least one object.  */
static void
test_set_and_delete_exclude_each_other (void)
{
  struct zp_report r;
  struct ti_ticket *t
      = parse ("{\"title\":\"t\",\"author\":\"a\",\"against\":0,\"set\":"
               "{\"site/s\":{\"failure_domain\":\"f\"}},"
               "\"delete\":[\"site/s\",\"site/t\",\"site/t\"]}",
               &r);

  CU_ASSERT_PTR_NULL (t);
  CU_ASSERT_EQUAL (r.count, 2);
  CU_ASSERT (reported (&r, "site/s: found in \"set\" and in \"delete\""));
  CU_ASSERT (reported (&r, "site/t: found twice"));
  zp_report_free (&r);

  t = parse ("{\"title\":\"t\",\"author\":\"a\",\"against\":0}", &r);
  CU_ASSERT_PTR_NULL (t);
  CU_ASSERT (reported (&r, "found 0 objects"));
  zp_report_free (&r);
}

/* Each prefix has one spelling, and ports and brackets are checked.  */
static void
test_prefixes (void)
{
  struct ti_prefix p, host;
  struct zp_buf text = { .ptr = NULL };

  CU_ASSERT (ti_prefix_parse (ZP_STR ("0.0.0.0/0"), &p));
  CU_ASSERT (ti_prefix_parse (ZP_STR ("10.1.2.128/25"), &p));
  CU_ASSERT (ti_address_parse (ZP_STR ("10.1.2.200:80"), &text, &host));
  CU_ASSERT (ti_prefix_contains (&p, &host));
  CU_ASSERT (ti_address_parse (ZP_STR ("10.1.2.100:80"), &text, &host));
  CU_ASSERT (!ti_prefix_contains (&p, &host));
  CU_ASSERT (!ti_prefix_parse (ZP_STR ("10.1.2.0/33"), &p));
  CU_ASSERT (!ti_prefix_parse (ZP_STR ("10.1.2.0/08"), &p));
  CU_ASSERT (!ti_prefix_parse (ZP_STR ("10.1.2.0"), &p));
  CU_ASSERT (!ti_prefix_parse (ZP_STR ("::1/127"), &p));
  CU_ASSERT (!ti_address_parse (ZP_STR ("::1:80"), &text, &host));
  CU_ASSERT (!ti_address_parse (ZP_STR ("10.1.2.1:0"), &text, &host));
  zp_buf_free (&text);
}

/* Guards against a digest or a canonical text that changes with the optional
   fields of a newer version: a resend of an old ticket would count as a second
   one.  The digest is that of the version before "public".  */
static void
test_optional_fields_leave_digests (void)
{
  static const char service[]
      = "{\"title\":\"t\",\"author\":\"ana\",\"against\":3,\"set\":{"
        "\"service/s\":{\"class\":\"once\",\"priority\":1,"
        "\"deadline_ms\":900,\"queue_max\":5%s}}}";
  char text[400];
  struct zp_buf a = { .ptr = NULL }, b = { .ptr = NULL }, c = { .ptr = NULL };
  struct ti_digest x, y, z;

  snprintf (text, sizeof text, service, "");
  canonical (text, &a, &x);
  CU_ASSERT (HAS_TEXT (a.ptr, "\"queue_max\":5}}"));
  CU_ASSERT (zp_str_eq (ti_digest_str (&x), ZP_STR (OLD_DIGEST)));
  snprintf (text, sizeof text, service, ",\"public\":false");
  canonical (text, &b, &y);
  CU_ASSERT (ti_digest_eq (&x, &y));
  snprintf (text, sizeof text, service, ",\"public\":true");
  canonical (text, &c, &z);
  CU_ASSERT (HAS_TEXT (c.ptr, "\"queue_max\":5,\"public\":true}"));
  CU_ASSERT (!ti_digest_eq (&x, &z));
  zp_buf_free (&a);
  zp_buf_free (&b);
  zp_buf_free (&c);
}

/* Guards against fields of a workspace that get lost between the ticket and
   the entry daemons, and against two canonical texts of one workspace.  */
static void
test_workspace_fields (void)
{
  struct zp_buf a = { .ptr = NULL }, b = { .ptr = NULL };
  struct ti_digest x, y;
  struct zp_report r;

  canonical ("{\"title\":\"t\",\"author\":\"ana\",\"against\":3,\"set\":{"
             "\"workspace/w\":{\"home_regions\":[\"r2\",\"r1\"],"
             "\"priority\":0,\"burst\":20,\"rate_per_s\":12.5,"
             "\"keys\":[\"k\\\"2\",\"k1\"]}}}",
             &a, &x);
  CU_ASSERT (HAS_TEXT (a.ptr,
                       "{\"keys\":[\"k\\\"2\",\"k1\"],\"rate_per_s\":12.5,"
                       "\"burst\":20,\"priority\":0,"
                       "\"home_regions\":[\"r1\",\"r2\"]}"));
  canonical (a.ptr, &b, &y);
  CU_ASSERT (ti_digest_eq (&x, &y));
  zp_buf_clear (&b);
  canonical ("{\"title\":\"t\",\"author\":\"ana\",\"against\":3,\"set\":{"
             "\"workspace/w\":{\"rate_per_s\":0,\"keys\":[\"k1\"]}}}",
             &b, &y);
  CU_ASSERT (HAS_TEXT (b.ptr, "\"workspace/w\":{\"keys\":[\"k1\"]}"));

  struct ti_ticket *t = parse (a.ptr, &r);
  CU_ASSERT_PTR_NOT_NULL_FATAL (t);
  struct ti_object *o = ti_object_copy (t->edit.set[0]);
  ti_ticket_free (t);
  const struct ti_workspace *w = &o->u.workspace;
  CU_ASSERT_EQUAL (w->keys.len, 2);
  CU_ASSERT_EQUAL (w->rate_per_s, 12500);
  CU_ASSERT_EQUAL (w->burst, 20000);
  CU_ASSERT (w->priority.given && w->priority.value == 0);
  CU_ASSERT_EQUAL (w->home_regions.len, 2);
  zp_buf_clear (&b);
  ti_object_show (o, &b);
  CU_ASSERT (HAS_TEXT (b.ptr, "{\"keys\":\"(2 keys)\",\"rate_per_s\":12.5,"));
  ti_object_free (o);
  zp_buf_free (&a);
  zp_buf_free (&b);
}

/* Guards against workspaces outside the limits, and against error texts that
   show a key, also one in the wrong place: they are printed and logged.  Each
   ticket has a key that contains "SECRET".  */
static void
test_workspace_mistakes (void)
{
  static const struct
  {
    const char *object, *mistake;
  } cases[] = {
    { "\"workspace/w\":{\"rate_per_s\":1}", "\"keys\": missing, required" },
    { "\"workspace/w\":{\"keys\":[]}", "found 0 items" },
    { "\"workspace/w\":{\"keys\":[\"\",\"SECRET\"]}", "visible ASCII" },
    { "\"workspace/w\":{\"keys\":[\"SECRET 1\"]}", "visible ASCII" },
    { "\"workspace/w\":{\"keys\":[\"SECRET\\u0007\"]}", "visible ASCII" },
    { "\"workspace/w\":{\"keys\":[123456]}", "visible ASCII" },
    { "\"workspace/w\":{\"keys\":[\"SECRET\",\"a\",\"SECRET\"]}",
      "found a key twice" },
    { "\"workspace/w\":{\"keys\":\"SECRET\"}", "a list of 1 to 64 keys" },
    { "\"workspace/w\":{\"keys\":{\"SECRET\":\"SECRET\"}}",
      "a list of 1 to 64 keys" },
    { "\"workspace/w\":\"SECRET\"", "allowed: an object" },
    { "\"workspace/w\":[\"SECRET\"]", "allowed: an object" },
    { "\"workspace/w\":{\"keys\":[\"k\"],\"SECRET\":1}", "unknown field" },
    { "\"workspace/w\":{\"keys\":[\"SECRET\"],\"rate_per_s\":-1}",
      "\"rate_per_s\": found -1, allowed: a number from 0 to 1000000" },
    { "\"workspace/w\":{\"keys\":[\"SECRET\"],\"rate_per_s\":NaN}",
      "\"rate_per_s\": found NaN" },
    { "\"workspace/w\":{\"keys\":[\"SECRET\"],\"burst\":Infinity}",
      "\"burst\": found Infinity" },
    { "\"workspace/w\":{\"keys\":[\"SECRET\"],\"burst\":1e999}",
      "\"burst\": found" },
    { "\"workspace/w\":{\"keys\":[\"SECRET\"],\"burst\":-0.5}",
      "\"burst\": found -0.5" },
    { "\"workspace/w\":{\"keys\":[\"k\"],\"burst\":\"SECRET\"}",
      "\"burst\": found another value" },
    { "\"workspace/w\":{\"keys\":[\"SECRET\"],\"priority\":4}",
      "\"priority\": found 4" },
    { "\"workspace/w\":{\"keys\":[\"SECRET\"],\"home_regions\":[]}",
      "\"home_regions\": found 0 items" },
    { "\"workspace/w\":{\"keys\":[\"k\"],\"home_regions\":[\"SECRET *\"]}",
      "\"home_regions\": found another value" },
    { "\"workspace/w\":{\"keys\":[\"k\"],\"home_regions\":[\"r\",\"r\"]}",
      "\"home_regions\": found a name twice" },
    { "\"workspace/" LONG_NAME "\":{\"keys\":[\"SECRET\"]}",
      "allowed: 1 to 63 letters" },
    { "\"workspace/\":{\"keys\":[\"SECRET\"]}", "allowed: 1 to 63 letters" },
  };
  struct zp_report r;

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct zp_buf text = { .ptr = NULL };
      zp_buf_printf (&text,
                     "{\"title\":\"t\",\"author\":\"ana\",\"against\":0,"
                     "\"set\":{%s}}",
                     cases[i].object);
      CU_ASSERT (refused (cases[i].object, cases[i].mistake));
      CU_ASSERT_PTR_NULL (parse (text.ptr, &r));
      CU_ASSERT (!reported (&r, "SECRET") && !reported (&r, "123456"));
      CU_ASSERT (reported (&r, "workspace/"));
      zp_report_free (&r);
      zp_buf_free (&text);
    }
  static const char *const malformed[]
      = { "[{\"workspace/w\":{\"keys\":[\"SECRET\"]}}]",
          "{\"title\":\"t\",\"author\":\"a\",\"against\":0,\"set\":"
          "[{\"workspace/w\":{\"keys\":[\"SECRET\"]}}]}",
          "{\"title\":\"t\",\"author\":\"a\",\"against\":0,\"delete\":"
          "{\"workspace/w\":{\"keys\":[\"SECRET\"]}}}",
          "{\"set\":{\"workspace/w\":{\"keys\":[\"SECRET\" \"b\"]}}}" };
  for (size_t i = 0; i < sizeof malformed / sizeof malformed[0]; i++)
    {
      CU_ASSERT_PTR_NULL (parse (malformed[i], &r));
      CU_ASSERT (r.count > 0 && !reported (&r, "SECRET"));
      zp_report_free (&r);
    }
}

/* Guards against a key that is longer than an entry daemon reads: its
   workspace could not be used.  */
static void
test_workspace_key_length (void)
{
  struct zp_buf object = { .ptr = NULL };

  for (size_t n = ZP_KEY_MAX; n <= ZP_KEY_MAX + 1; n++)
    {
      struct zp_report r;
      zp_buf_clear (&object);
      zp_buf_put (&object, ZP_STR ("{\"title\":\"t\",\"author\":\"ana\","
                                   "\"against\":0,\"set\":{\"workspace/w\":"
                                   "{\"keys\":[\""));
      for (size_t i = 0; i < n; i++)
        zp_buf_put (&object, ZP_STR ("x"));
      zp_buf_put (&object, ZP_STR ("\"]}}}"));
      struct ti_ticket *t = parse (object.ptr, &r);
      CU_ASSERT_EQUAL (t != NULL, n == ZP_KEY_MAX);
      CU_ASSERT (!reported (&r, "xxx"));
      ti_ticket_free (t);
      zp_report_free (&r);
    }
  zp_buf_free (&object);
}

static const struct zp_test tests[] = {
  { "digest ignores layout", test_digest_ignores_layout },
  { "digest covers every part", test_digest_covers_every_part },
  { "typed fields", test_typed_fields },
  { "all mistakes at once", test_all_mistakes_at_once },
  { "each kind of field is checked", test_each_field_kind_is_checked },
  { "set and delete exclude each other",
    test_set_and_delete_exclude_each_other },
  { "prefixes and addresses", test_prefixes },
  { "optional fields leave digests", test_optional_fields_leave_digests },
  { "fields of a workspace", test_workspace_fields },
  { "mistakes in a workspace", test_workspace_mistakes },
  { "length of a key", test_workspace_key_length },
};

TEST_MAIN ("ticket-parse", tests)
