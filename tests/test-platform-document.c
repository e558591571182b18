#include "harness.h"

#include "platform.h"

/* A valid routing document with two routes.  */
static const char good[]
    = "{\"version\":7,\"limits\":{\"maxHeaderBytes\":16384,"
      "\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
      "\"idleTimeout\":\"15000ms\"},\"listeners\":[{\"host\":\"jepu9."
      "example\","
      "\"routingRules\":[{\"name\":\"r-1\",\"type\":\"unsafe\",\"slo\":"
      "\"400ms\",\"priority\":1,\"sticky\":true,\"match\":{\"pathPrefix\":"
      "\"/puka/\"},\"action\":{\"service\":\"wuno\",\"timeout\":\"1500ms\","
      "\"attempts\":2,\"homeRegions\":[\"sofia\"]}}]},{\"host\":"
      "\"hulo84.example\",\"routingRules\":[{\"name\":\"r-2\",\"type\":"
      "\"safe\",\"match\":{\"pathPrefix\":\"/leny/\"},\"action\":{"
      "\"trafficSplit\":[{\"service\":\"huvo\",\"weight\":90},{\"service\":"
      "\"wuno\",\"weight\":10}],\"timeout\":\"1.2s\",\"attempts\":3}}]}],"
      "\"clusters\":[{\"name\":\"huvo\",\"healthPath\":\"/health\","
      "\"maxConns\":360,\"warmup\":\"3s\",\"warmupPerS\":13.0},{\"name\":"
      "\"wuno\"}],\"unknown\":[1]}";

/* Guards against a field of the document that is decoded into the wrong field
   of the site.  */
static void
test_fields (void)
{
  struct zp_err err = { .text = "" };
  struct si_site *s = pf_document_decode (zp_str_from (good), &err);

  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT_EQUAL (s->number, 7);
  CU_ASSERT_EQUAL (s->limits.head_max, 16384);
  CU_ASSERT_EQUAL (s->limits.body_max, 67108864);
  CU_ASSERT_EQUAL (s->limits.head_timeout, 3 * ZP_SEC);
  CU_ASSERT_EQUAL (s->limits.idle_timeout, 15 * ZP_SEC);
  const struct si_route *r
      = si_site_route (s, ZP_STR ("jepu9.example"), ZP_STR ("/puka/x"));
  CU_ASSERT_PTR_NOT_NULL_FATAL (r);
  CU_ASSERT_EQUAL (r->class, SI_ONCE);
  CU_ASSERT_EQUAL (r->timeout, 1500 * ZP_MS);
  CU_ASSERT_EQUAL (r->objective, 400 * ZP_MS);
  CU_ASSERT_EQUAL (r->priority, 1);
  CU_ASSERT_EQUAL (r->attempts, 2);
  CU_ASSERT (r->sticky);
  CU_ASSERT_EQUAL (r->homes, 1);
  CU_ASSERT_EQUAL (r->parts, 1);
  r = si_site_route (s, ZP_STR ("hulo84.example"), ZP_STR ("/leny/"));
  CU_ASSERT_PTR_NOT_NULL_FATAL (r);
  CU_ASSERT_EQUAL (r->class, SI_IDEMPOTENT);
  CU_ASSERT_EQUAL (r->objective, 0);
  CU_ASSERT (!r->sticky);
  CU_ASSERT_EQUAL (r->parts, 2);
  CU_ASSERT_EQUAL (r->part[0].weight, 90);
  const struct si_service *v = si_site_service (s, ZP_STR ("huvo"));
  CU_ASSERT_PTR_NOT_NULL_FATAL (v);
  CU_ASSERT_EQUAL (v->connections, 360);
  CU_ASSERT_EQUAL (v->warmup, 3 * ZP_SEC);
  CU_ASSERT_DOUBLE_EQUAL (v->warmup_per_s, 13.0, 0.001);
  si_site_free (s);
}

/* Whether the good document can be decoded after its first FROM was replaced
   by TO.  */
static bool
decodes (const char *from, const char *to)
{
  char text[sizeof good + 256];
  const char *at = strstr (good, from);
  struct zp_err err = { .text = "" };

  CU_ASSERT_PTR_NOT_NULL_FATAL (at);
  snprintf (text, sizeof text, "%.*s%s%s", (int) (at - good), good, to,
            at + strlen (from));
  struct si_site *s = pf_document_decode (zp_str_from (text), &err);
  if (!s)
    CU_ASSERT (err.text[0] != '\0');
  bool ok = s != NULL;
  si_site_free (s);
  return ok;
}

/* Guards against downloads that are given up after the first server failed,
   and against an unknown kind of request that runs twice.  */
static void
test_kinds (void)
{
  static const struct
  {
    const char *type;
    enum si_class class;
  } kinds[] = { { "\"type\":\"safe\"", SI_IDEMPOTENT },
                { "\"type\":\"download\"", SI_IDEMPOTENT },
                { "\"type\":\"downloads\"", SI_ONCE },
                { "\"type\":\"\"", SI_ONCE } };
  struct zp_err err = { .text = "" };
  const char *from = "\"type\":\"safe\"", *at = strstr (good, from);
  char text[sizeof good + 64];

  for (size_t i = 0; i < sizeof kinds / sizeof kinds[0]; i++)
    {
      snprintf (text, sizeof text, "%.*s%s%s", (int) (at - good), good,
                kinds[i].type, at + strlen (from));
      struct si_site *s = pf_document_decode (zp_str_from (text), &err);
      CU_ASSERT_PTR_NOT_NULL_FATAL (s);
      CU_ASSERT_EQUAL (
          si_site_route (s, ZP_STR ("hulo84.example"), ZP_STR ("/leny/"))
              ->class,
          kinds[i].class);
      si_site_free (s);
    }
}

/* Guards against invalid documents that are accepted and come into force.  */
static void
test_invalid (void)
{
  static const char *const bad[][2] = {
    { "\"service\":\"wuno\"", "\"service\":\"nope\"" },
    { "\"/puka/\"", "\"puka/\"" },
    { "\"jepu9.example\"", "\"\"" },
    { "\"host\":\"jepu9.example\",", "" },
    { "\"version\":7", "\"version\":\"7\"" },
    { "\"version\":7,", "" },
    { "\"version\":7", "\"version\":-1" },
    { "\"timeout\":\"1500ms\",", "" },
    { "\"timeout\":\"1500ms\"", "\"timeout\":1500" },
    { "\"timeout\":\"1500ms\"", "\"timeout\":\"soon\"" },
    { "\"timeout\":\"1500ms\"", "\"timeout\":\"9e15s\"" },
    { "\"attempts\":2", "\"attempts\":\"2\"" },
    { "\"attempts\":2", "\"attempts\":99999999999999999999" },
    { "\"warmupPerS\":13.0", "\"warmupPerS\":1e400" },
    { "\"warmupPerS\":13.0", "\"warmupPerS\":-1" },
    { "\"maxConns\":360", "\"maxConns\":99999999999999999999" },
    { "\"service\":\"wuno\"", "\"service\":\"wuno\\u0000\"" },
    { "\"weight\":90", "\"weights\":90" },
    { "\"weight\":90", "\"weight\":-90" },
    { "\"type\":\"unsafe\",", "" },
    { "\"match\":{\"pathPrefix\":\"/puka/\"}", "\"match\":[]" },
    { "\"homeRegions\":[\"sofia\"]", "\"homeRegions\":[4]" },
    { "\"routingRules\":[{", "\"routingRules\":[7,{" },
    { "\"clusters\":[", "\"clusters\":[{}," },
    { "\"name\":\"wuno\"", "\"name\":\"huvo\"" },
    { "\"listeners\":[", "\"listener\":[" },
    { "\"unknown\":[1]}", "\"unknown\":[1]" },
    { "\"unknown\":[1]}", "\"unknown\":[1]}}" },
  };

  CU_ASSERT (decodes ("\"unknown\":[1]", "\"unknown\":{}"));
  CU_ASSERT (decodes ("\"homeRegions\":[\"sofia\"]", "\"homeRegions\":[]"));
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    if (decodes (bad[i][0], bad[i][1]))
      {
        printf ("accepted: %s\n", bad[i][1]);
        CU_FAIL ("invalid content was accepted");
      }
}

/* Guards against a truncated document that is accepted.  */
static void
test_truncated (void)
{
  for (size_t n = 0; n + 1 < sizeof good; n++)
    {
      struct zp_str cut = { .ptr = good, .len = n };
      CU_ASSERT_PTR_NULL (pf_document_decode (cut, NULL));
    }
}

/* Guards against requests that are retried, and run twice, on a route whose
   type is not known.  */
static void
test_unknown_type (void)
{
  char text[sizeof good + 16];
  const char *at = strstr (good, "\"safe\"");

  snprintf (text, sizeof text, "%.*s\"keyed\"%s", (int) (at - good), good,
            at + strlen ("\"safe\""));
  struct si_site *s = pf_document_decode (zp_str_from (text), NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT_EQUAL (
      si_site_route (s, ZP_STR ("hulo84.example"), ZP_STR ("/leny/"))->class,
      SI_ONCE);
  si_site_free (s);
}

/* The good document with LIST as its workspaces.  */
static struct si_site *
decode_tenants (const char *list, struct zp_err *err)
{
  struct zp_buf text
      = zp_buf_from ((struct zp_str){ .ptr = good, .len = sizeof good - 2 });

  zp_buf_printf (&text, ",\"tenants\":%s}", list);
  struct si_site *s = pf_document_decode (zp_str_of (&text), err);
  zp_buf_free (&text);
  return s;
}

/* Guards against a field of a workspace that is decoded into the wrong field of
   the site.  */
static void
test_tenants (void)
{
  static const char list[]
      = "[{\"name\":\"acme\",\"apiKeys\":[\"k-1\",\"k-2\"],\"ratePerS\":12.5,"
        "\"burst\":40,\"priority\":0,\"homeRegions\":[\"sofia\",\"varna\"],"
        "\"unknown\":[]},{\"name\":\"beta\",\"apiKeys\":[],\"ratePerS\":null,"
        "\"homeRegions\":[]}]";
  struct zp_err err = { .text = "" };
  struct si_site *s = decode_tenants (list, &err);

  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT (s->needs_key);
  CU_ASSERT_EQUAL_FATAL (s->workspaces, 2);
  const struct si_workspace *w = &s->workspace[0];
  CU_ASSERT_PTR_EQUAL (si_site_workspace (s, ZP_STR ("k-1")), w);
  CU_ASSERT_PTR_EQUAL (si_site_workspace (s, ZP_STR ("k-2")), w);
  CU_ASSERT_PTR_NULL (si_site_workspace (s, ZP_STR ("acme")));
  CU_ASSERT (zp_str_eq (zp_str_of (&w->name), ZP_STR ("acme")));
  CU_ASSERT_DOUBLE_EQUAL (w->rate_per_s, 12.5, 1e-9);
  CU_ASSERT_DOUBLE_EQUAL (w->burst, 40, 1e-9);
  CU_ASSERT (w->has_priority);
  CU_ASSERT_EQUAL (w->priority, 0);
  CU_ASSERT_EQUAL_FATAL (w->homes, 2);
  CU_ASSERT (zp_str_eq (zp_str_of (&w->home[1]), ZP_STR ("varna")));
  w = &s->workspace[1];
  CU_ASSERT (!w->has_priority);
  CU_ASSERT_EQUAL (w->rate_per_s, 0);
  CU_ASSERT_EQUAL (w->homes, 0);
  si_site_free (s);
}

/* Guards against a site without a list that needs keys, and against one with an
   empty list that needs none.  */
static void
test_key_is_needed (void)
{
  struct zp_err err = { .text = "" };
  struct si_site *s = pf_document_decode (zp_str_from (good), &err);

  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT (!s->needs_key);
  si_site_free (s);
  s = decode_tenants ("[]", &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT (s->needs_key);
  CU_ASSERT_EQUAL (s->workspaces, 0);
  si_site_free (s);
}

/* Guards against a route that is public without being marked so.  */
static void
test_public_routes (void)
{
  static const struct
  {
    const char *text;
    bool ok, is_public;
  } row[] = { { "", true, false },
              { "\"public\":true,", true, true },
              { "\"public\":false,", true, false },
              { "\"public\":null,", true, false },
              { "\"public\":\"false\",", false, false },
              { "\"public\":1,", false, false } };
  const char *at = strstr (good, "\"type\":\"safe\"");

  for (size_t i = 0; i < sizeof row / sizeof row[0]; i++)
    {
      char text[sizeof good + 64];
      snprintf (text, sizeof text, "%.*s%s%s", (int) (at - good), good,
                row[i].text, at);
      struct si_site *s = pf_document_decode (zp_str_from (text), NULL);
      CU_ASSERT_EQUAL (s != NULL, row[i].ok);
      if (s)
        CU_ASSERT_EQUAL (
            si_site_route (s, ZP_STR ("hulo84.example"), ZP_STR ("/leny/"))
                ->is_public,
            row[i].is_public);
      si_site_free (s);
    }
}

/* Guards against invalid workspaces that come into force, against errors that
   do not say which workspace it is, and against errors that quote a key.  */
static void
test_invalid_tenants (void)
{
  static const struct
  {
    const char *list, *named; /* NAMED: a part of the error */
  } row[] = {
    { "null", "tenants" },
    { "{}", "tenants" },
    { "[\"k-secret\"]", "workspace 1 " },
    { "[{\"apiKeys\":[\"k-secret\"]}]", "workspace 1 " },
    { "[{\"name\":7,\"apiKeys\":[\"k-secret\"]}]", "workspace 1 " },
    { "[{\"name\":\"\",\"apiKeys\":[\"k-secret\"]}]", "workspace 1 " },
    { "[{\"name\":\"a\\nb\",\"apiKeys\":[\"k-secret\"]}]", "workspace 1 " },
    { "[{\"name\":\"acme\"}]", "acme" },
    { "[{\"name\":\"acme\",\"apiKeys\":\"k-secret\"}]", "acme" },
    { "[{\"name\":\"acme\",\"apiKeys\":null}]", "acme" },
    { "[{\"name\":\"acme\",\"apiKeys\":[\"k-secret\",7]}]", "acme" },
    { "[{\"name\":\"acme\",\"apiKeys\":[\"\"]}]", "acme" },
    { "[{\"name\":\"acme\",\"apiKeys\":[\"k-secret\\u0000\"]}]", "acme" },
    { "[{\"name\":\"acme\",\"apiKeys\":[\"k-secret\"],\"ratePerS\":-1}]",
      "acme" },
    { "[{\"name\":\"acme\",\"apiKeys\":[\"k-secret\"],\"ratePerS\":1e400}]",
      "acme" },
    { "[{\"name\":\"acme\",\"apiKeys\":[\"k-secret\"],\"ratePerS\":NaN}]",
      "acme" },
    { "[{\"name\":\"acme\",\"apiKeys\":[\"k-secret\"],\"ratePerS\":\"4\"}]",
      "acme" },
    { "[{\"name\":\"acme\",\"apiKeys\":[\"k-secret\"],\"burst\":-0.5}]",
      "acme" },
    { "[{\"name\":\"acme\",\"apiKeys\":[\"k-secret\"],\"burst\":Infinity}]",
      "acme" },
    { "[{\"name\":\"acme\",\"apiKeys\":[\"k-secret\"],\"priority\":-1}]",
      "acme" },
    { "[{\"name\":\"acme\",\"apiKeys\":[\"k-secret\"],\"homeRegions\":[4]}]",
      "acme" },
    { "[{\"name\":\"acme\",\"apiKeys\":[]},{\"name\":\"acme\",\"apiKeys\":["
      "\"k-secret\"]}]",
      "acme" },
    { "[{\"name\":\"acme\",\"apiKeys\":[\"k-secret\"]},{\"name\":\"beta\","
      "\"apiKeys\":[\"k-2\",\"k-secret\"]}]",
      "beta" },
    /* Not JSON, within a key and after one.  */
    { "[{\"name\":\"acme\",\"apiKeys\":[\"k-secret]}]", "line 1" },
    { "[{\"name\":\"acme\",\"apiKeys\":[\"k-secret\" k-secret]}]", "line 1" },
  };

  for (size_t i = 0; i < sizeof row / sizeof row[0]; i++)
    {
      struct zp_err err = { .text = "" };
      struct si_site *s = decode_tenants (row[i].list, &err);
      if (s || !HAS_TEXT (err.text, row[i].named)
          || HAS_TEXT (err.text, "k-secret"))
        {
          printf ("%s: \"%s\"\n", row[i].list, err.text);
          CU_FAIL ("an invalid workspace");
        }
      si_site_free (s);
    }
}

static const struct zp_test tests[]
    = { { "fields", test_fields },
        { "invalid content", test_invalid },
        { "truncated documents", test_truncated },
        { "a route of unknown type", test_unknown_type },
        { "kinds of requests", test_kinds },
        { "workspaces", test_tenants },
        { "when a key is needed", test_key_is_needed },
        { "public routes", test_public_routes },
        { "invalid workspaces", test_invalid_tenants } };

TEST_MAIN ("platform-document", tests)
