#include "harness.h"

#include <math.h>
#include <stdlib.h>
#include <time.h>

#include "site/site.h"
#include "site/split.h"

static struct si_service
service (const char *name)
{
  return (struct si_service){ .name = zp_buf_from (zp_str_from (name)) };
}

static struct si_route
route (const char *host, const char *prefix, const char *to)
{
  struct si_route r = { .name = zp_buf_from (zp_str_from (prefix)),
                        .host = zp_buf_from (zp_str_from (host)),
                        .prefix = zp_buf_from (zp_str_from (prefix)) };

  si_route_add_part (&r, zp_str_from (to), 1);
  return r;
}

/* A site with the services "a" and "b".  Each of ROUTES has a host, a prefix
   and a service; a host of NULL ends them.  */
static struct si_site *
site_of (const char *const (*routes)[3])
{
  struct si_site *s = si_site_new (7);
  struct si_service a = service ("a"), b = service ("b");

  si_site_add_service (s, &a);
  si_site_add_service (s, &b);
  for (; (*routes)[0]; routes++)
    {
      struct si_route r = route ((*routes)[0], (*routes)[1], (*routes)[2]);
      si_site_add_route (s, &r);
    }
  return s;
}

static const char *
prefix_of (const struct si_site *s, const char *host, const char *path)
{
  const struct si_route *r
      = si_site_route (s, zp_str_from (host), zp_str_from (path));

  return r ? r->prefix.ptr : "none";
}

/* Guards against choosing a route with a shorter prefix than the longest that
   matches, and against choosing one of another host.  */
static void
test_longest_prefix (void)
{
  static const char *const routes[][3] = { { "x.example", "/p/", "a" },
                                           { "x.example", "/p/q/", "b" },
                                           { "y.example", "/p/q/r/", "a" },
                                           { "x.example.org", "/", "a" },
                                           { NULL, NULL, NULL } };
  struct si_site *s = site_of (routes);

  CU_ASSERT_FATAL (si_site_seal (s, NULL));
  CU_ASSERT_STRING_EQUAL (prefix_of (s, "x.example", "/p/q/r/s"), "/p/q/");
  CU_ASSERT_STRING_EQUAL (prefix_of (s, "X.Example:8080", "/p/z"), "/p/");
  CU_ASSERT_STRING_EQUAL (prefix_of (s, "y.example", "/p/q/r/s"), "/p/q/r/");
  CU_ASSERT_STRING_EQUAL (prefix_of (s, "y.example", "/p/q"), "none");
  CU_ASSERT_STRING_EQUAL (prefix_of (s, "x.example", "/p"), "none");
  CU_ASSERT_STRING_EQUAL (prefix_of (s, "x.example.org", "/p/q/"), "/");
  CU_ASSERT_STRING_EQUAL (prefix_of (s, "", "/p/"), "none");
  si_site_free (s);
}

/* Guards against accepting an invalid site.  */
static void
test_invalid_sites (void)
{
  static const char *const bad[][3]
      = { { "x", "/p/", "c" }, { "x", "p/", "a" }, { "", "/p/", "a" } };

  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      const char *const routes[][3]
          = { { bad[i][0], bad[i][1], bad[i][2] }, { NULL, NULL, NULL } };
      struct zp_err err = { .text = "" };
      struct si_site *s = site_of (routes);
      CU_ASSERT (!si_site_seal (s, &err));
      CU_ASSERT (err.text[0] != '\0');
      si_site_free (s);
    }
  static const char *const twice[][3] = { { "x", "/p/", "a" },
                                          { "x", "/q/", "a" },
                                          { "X", "/p/", "b" },
                                          { NULL, NULL, NULL } };
  struct si_site *s = site_of (twice);
  CU_ASSERT (!si_site_seal (s, NULL));
  si_site_free (s);

  s = si_site_new (1);
  struct si_service a = service ("a"), again = service ("a");
  si_site_add_service (s, &a);
  si_site_add_service (s, &again);
  CU_ASSERT (!si_site_seal (s, NULL));
  si_site_free (s);
}

/* Guards against accepting a route without a service to choose: all its
   weights are 0.  */
static void
test_no_weight (void)
{
  struct si_site *s = si_site_new (1);
  struct si_service a = service ("a");
  struct si_route r = { .host = zp_buf_from (ZP_STR ("x")),
                        .prefix = zp_buf_from (ZP_STR ("/")) };

  si_route_add_part (&r, ZP_STR ("a"), 0);
  si_site_add_service (s, &a);
  si_site_add_route (s, &r);
  CU_ASSERT (!si_site_seal (s, NULL));
  si_site_free (s);
}

/* Guards against a split that drifts from the weights: after any number of
   requests each part has to be within one request of its share.  */
static void
test_split (void)
{
  static const unsigned weight[] = { 90, 10, 0, 33 };
  struct si_route r = { .timeout = 0 };
  int64_t credit[4] = { 0 };
  unsigned n[4] = { 0 };

  for (int i = 0; i < 4; i++)
    si_route_add_part (&r, ZP_STR ("a"), weight[i]);
  for (unsigned k = 1; k <= 1000; k++)
    {
      n[si_split_choose (&r, credit)]++;
      for (int i = 0; i < 4; i++)
        {
          double share = (double) k * weight[i] / 133.0;
          CU_ASSERT (n[i] <= share + 1.0 && n[i] + 1.0 >= share);
        }
    }
  CU_ASSERT_EQUAL (n[2], 0);
  si_route_clear (&r);
}

/* A site with a workspace for each NAME of a list that NULL ends; all have one
   key of their own, "key-NAME".  */
static struct si_site *
site_with (const char *const *names)
{
  struct si_site *s = si_site_new (1);
  char key[64];

  for (; *names; names++)
    {
      struct si_workspace w = { .name = zp_buf_from (zp_str_from (*names)) };
      si_site_add_workspace (s, &w);
      snprintf (key, sizeof key, "key-%s", *names);
      si_site_add_key (s, zp_str_from (key));
    }
  return s;
}

/* Guards against a key that leads to another workspace, and against hashes that
   differ between daemons.  */
static void
test_workspaces (void)
{
  static const char *const names[] = { "acme", "beta", "gamma", NULL };
  struct si_site *s = site_with (names);

  s->workspace[1].rate_per_s = 2.5;
  si_workspace_add_home (&s->workspace[1], ZP_STR ("sofia"));
  si_site_add_key (s, ZP_STR ("second"));
  CU_ASSERT_FATAL (si_site_seal (s, NULL));
  const struct si_workspace *w = si_site_workspace (s, ZP_STR ("key-beta"));
  CU_ASSERT_PTR_EQUAL_FATAL (w, &s->workspace[1]);
  CU_ASSERT_EQUAL (w->hash, zp_str_hash (ZP_STR ("beta"), 0));
  CU_ASSERT_EQUAL (w->homes, 1);
  CU_ASSERT_PTR_EQUAL (si_site_workspace (s, ZP_STR ("second")),
                       &s->workspace[2]);
  CU_ASSERT_PTR_NULL (si_site_workspace (s, ZP_STR ("beta")));
  CU_ASSERT_PTR_NULL (si_site_workspace (s, ZP_STR ("")));
  si_site_free (s);
}

/* Whether S is refused with an error that has the text NAME and no key.  */
static bool
is_refused (struct si_site *s, const char *name)
{
  struct zp_err err = { .text = "" };
  bool refused = !si_site_seal (s, &err) && HAS_TEXT (err.text, name)
                 && !HAS_TEXT (err.text, "key-");

  if (!refused)
    printf ("error: \"%s\"\n", err.text);
  si_site_free (s);
  return refused;
}

/* Guards against invalid workspaces that come into force: a limit that lets all
   requests through or none, a header line from within a name, a key whose
   workspace is not certain, two names that are the same header value.  Also against errors that quote a key.  */
static void
test_invalid_workspaces (void)
{
  static const char *const names[] = { "acme", "beta", NULL };
  static const char *const twice[] = { "acme", "beta", "acme", NULL };
  static const char *const bad_name[][2]
      = { { "", NULL },  { "a\nX: y", NULL }, { "a\x7f", NULL },
          { " ", NULL }, { "acme ", NULL },   { " acme", NULL } };
  static const double bad[] = { -1, -1e-300, NAN, INFINITY, -INFINITY };

  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      struct si_site *s = site_with (names);
      s->workspace[1].rate_per_s = bad[i];
      CU_ASSERT (is_refused (s, "\"beta\""));
      s = site_with (names);
      s->workspace[0].burst = bad[i];
      CU_ASSERT (is_refused (s, "\"acme\""));
    }
  CU_ASSERT (is_refused (site_with (twice), "\"acme\""));
  for (size_t i = 0; i < sizeof bad_name / sizeof bad_name[0]; i++)
    CU_ASSERT (is_refused (site_with (bad_name[i]), "workspace 1 "));
  struct si_site *s = site_with (names);
  si_site_add_key (s, ZP_STR ("key-acme"));
  CU_ASSERT (is_refused (s, "\"beta\""));
  s = site_with (names);
  si_site_add_key (s, ZP_STR ("key-beta"));
  CU_ASSERT (si_site_seal (s, NULL));
  si_site_free (s);
}

/* Guards against a daemon that is busy for seconds when a configuration has many
   workspaces: each checked against all others takes 10 s here.  */
static void
test_many_workspaces (void)
{
  enum
  {
    COUNT = 100000
  };
  struct si_site *s = si_site_new (1);
  char name[16];

  for (unsigned i = 0; i < COUNT; i++)
    {
      struct si_workspace w = { .rate_per_s = 1 };
      snprintf (name, sizeof name, "w-%u", i);
      w.name = zp_buf_from (zp_str_from (name));
      si_site_add_workspace (s, &w);
    }
  clock_t begin = clock ();
  CU_ASSERT (si_site_seal (s, NULL));
  CU_ASSERT (clock () - begin < CLOCKS_PER_SEC);
  CU_ASSERT_EQUAL (s->workspace[COUNT - 1].hash,
                   zp_str_hash (zp_str_from (name), 0));
  struct si_workspace w = { .name = zp_buf_from (ZP_STR ("w-77")) };
  si_site_add_workspace (s, &w);
  CU_ASSERT (is_refused (s, "\"w-77\""));
}

static const struct zp_test tests[]
    = { { "longest prefix of the host", test_longest_prefix },
        { "invalid sites are refused", test_invalid_sites },
        { "a route with weights of 0 only", test_no_weight },
        { "split follows the weights", test_split },
        { "workspaces", test_workspaces },
        { "invalid workspaces are refused", test_invalid_workspaces },
        { "many workspaces", test_many_workspaces } };

TEST_MAIN ("site", tests)
