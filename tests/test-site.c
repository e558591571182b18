#include "harness.h"

#include <stdlib.h>

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

static const struct zp_test tests[]
    = { { "longest prefix of the host", test_longest_prefix },
        { "invalid sites are refused", test_invalid_sites },
        { "a route with weights of 0 only", test_no_weight },
        { "split follows the weights", test_split } };

TEST_MAIN ("site", tests)
