#include "harness.h"

#include <math.h>
#include <stdlib.h>

#include "entry/workspaces.h"

#define DAEMONS 26

/* A configuration with DAEMONS entry daemons and the workspace w, with the
   fields FIELDS.  */
static struct en_plan *
plan_with (const char *fields)
{
  struct zp_report r = { .count = 0 };
  struct zp_err err;
  struct zp_buf text = { .ptr = NULL };

  zp_buf_printf (&text,
                 "{\"title\":\"t\",\"author\":\"ana\",\"against\":0,\"set\":{"
                 "\"workspace/w\":{\"keys\":[\"k\"],%s}",
                 fields);
  for (int i = 1; i <= DAEMONS; i++)
    zp_buf_printf (&text,
                   ",\"entry/%d\":{\"failure_domain\":\"f\",\"address\":"
                   "\"10.0.0.%d:80\",\"enabled\":true}",
                   i, i);
  zp_buf_put (&text, ZP_STR ("}}"));
  struct ti_ticket *t = ti_ticket_parse (zp_str_of (&text), &r);
  CU_ASSERT_PTR_NOT_NULL_FATAL (t);
  const struct ti_change change
      = { .kind = TI_CHANGE_EDIT,
          .index = 1,
          .u.edit = { .number = 1, .edit = t->edit } };
  struct ti_config *c = ti_config_new ();
  CU_ASSERT_FATAL (ti_config_apply (c, &change, &err));
  ti_ticket_free (t);
  zp_buf_free (&text);
  return en_plan_build (c, NULL, &err);
}

static void
plan_free (struct en_plan *p)
{
  struct ti_config *c = (struct ti_config *) p->config;

  en_plan_free (p);
  ti_config_free (c);
}

/* Requests that all daemons together forward from START to END, when each
   daemon gets one every millisecond.  */
static unsigned
flood (struct en_workspaces *all, zp_time start, zp_time end)
{
  unsigned n = 0, wait;

  for (zp_time now = start; now < end; now += ZP_MS)
    for (int i = 0; i < DAEMONS; i++)
      n += en_workspace_take (en_workspaces_find (&all[i], ZP_STR ("k")), now,
                              &wait);
  return n;
}

/* Guards against daemons that together exceed the limit of a workspace, or
   that forward much less than the limit.  The load is a workspace that sends 8
   times its rate for 5 s, after a pause in which all buckets have filled.  */
static void
test_sum_of_shares (void)
{
  static const struct
  {
    const char *fields;
    double rate, depth;
  } cases[] = {
    { "\"rate_per_s\":200,\"burst\":80", 200, 80 },
    { "\"rate_per_s\":15.5,\"burst\":4", 15.5, DAEMONS },
    { "\"rate_per_s\":400", 400, 100 },
  };

  for (size_t c = 0; c < sizeof cases / sizeof cases[0]; c++)
    {
      struct en_plan *p = plan_with (cases[c].fields);
      struct en_workspaces all[DAEMONS] = { { .len = 0 } };
      for (int i = 0; i < DAEMONS; i++)
        en_workspaces_update (&all[i], p, (uint64_t) i + 1, 0);
      for (zp_time t = 60 * ZP_SEC; t < 90 * ZP_SEC; t += 10 * ZP_SEC)
        {
          unsigned n = flood (all, t, t + 5 * ZP_SEC);
          CU_ASSERT (n <= cases[c].rate * 5 + cases[c].depth);
          CU_ASSERT (n >= cases[c].rate * 5 * 0.95 - DAEMONS);
        }
      for (int i = 0; i < DAEMONS; i++)
        en_workspaces_free (&all[i]);
      plan_free (p);
    }
}

/* Guards against a new configuration, or a restart, that fills a bucket, and
   against a lower limit that keeps the tokens of the higher one.  */
static void
test_configuration_adds_no_tokens (void)
{
  struct en_plan *high = plan_with ("\"rate_per_s\":2600,\"burst\":2600");
  struct en_plan *low = plan_with ("\"rate_per_s\":26,\"burst\":52");
  struct en_workspaces w = { .len = 0 };
  unsigned wait = 0;

  en_workspaces_update (&w, high, 1, 0);
  struct en_workspace *x = en_workspaces_find (&w, ZP_STR ("k"));
  CU_ASSERT_PTR_NOT_NULL_FATAL (x);
  CU_ASSERT (!en_workspace_take (x, 0, &wait));
  CU_ASSERT_EQUAL (wait, 1);
  en_workspaces_update (&w, high, 1, ZP_SEC / 2);
  CU_ASSERT_PTR_EQUAL (x, en_workspaces_find (&w, ZP_STR ("k")));
  CU_ASSERT (fabs (x->bucket.level - 50) < 1);
  en_workspaces_update (&w, low, 1, 10 * ZP_SEC);
  CU_ASSERT (en_workspace_take (x, 10 * ZP_SEC, &wait));
  CU_ASSERT (en_workspace_take (x, 10 * ZP_SEC, &wait));
  CU_ASSERT (!en_workspace_take (x, 10 * ZP_SEC, &wait));
  en_workspace_give_back (x);
  CU_ASSERT (en_workspace_take (x, 10 * ZP_SEC, &wait));
  CU_ASSERT (!en_workspace_take (x, 10 * ZP_SEC, &wait));
  en_workspaces_free (&w);
  plan_free (high);
  plan_free (low);
}

/* Guards against a daemon outside the configuration that adds to the limit,
   and against a limit of 0 that refuses instead of setting none.  */
static void
test_no_share_and_no_limit (void)
{
  struct en_plan *p = plan_with ("\"rate_per_s\":200,\"burst\":80");
  struct en_plan *none = plan_with ("\"burst\":1,\"rate_per_s\":0");
  struct en_workspaces w = { .len = 0 };
  unsigned wait = 0;

  en_workspaces_update (&w, p, DAEMONS + 1, 0);
  struct en_workspace *x = en_workspaces_find (&w, ZP_STR ("k"));
  CU_ASSERT_PTR_NOT_NULL_FATAL (x);
  CU_ASSERT (!en_workspace_take (x, 100 * ZP_SEC, &wait));
  CU_ASSERT (wait > 0);
  en_workspaces_update (&w, none, DAEMONS + 1, 0);
  for (int i = 0; i < 100; i++)
    CU_ASSERT (en_workspace_take (x, 0, &wait));
  en_workspaces_free (&w);
  plan_free (p);
  plan_free (none);
}

static const struct zp_test tests[] = {
  { "sum of shares", test_sum_of_shares },
  { "a configuration adds no tokens", test_configuration_adds_no_tokens },
  { "no share, no limit", test_no_share_and_no_limit },
};

TEST_MAIN ("entry-workspaces", tests)
