#include "harness.h"

#include <stdlib.h>

#include "control/reconcile.h"

/* A configuration with a control object for each member of TEXT: "1v2v4l" has
   the voters 1 and 2 and the learner 4.  */
static struct ti_config *
config_of (const char *text)
{
  struct ti_config *c = ti_config_new ();
  struct zp_buf whole = { .ptr = NULL };
  struct zp_err err;

  zp_buf_printf (&whole,
                 "{\"index\":1,\"time\":0,\"number\":1,\"digest\":\"%064d\","
                 "\"set\":{\"region/r\":{\"latency_ms\":{}}",
                 0);
  for (; *text; text += 2)
    zp_buf_printf (
        &whole,
        ",\"control/%c\":{\"address\":\"127.0.0.%c:1\",\"http\":"
        "\"127.0.0.%c:2\",\"failure_domain\":\"f\",\"role\":\"%s\"}",
        text[0], text[0], text[0], text[1] == 'v' ? "voter" : "learner");
  zp_buf_put (&whole, ZP_STR ("}}"));
  struct ti_change *change = ti_change_decode (zp_str_of (&whole), &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (change);
  CU_ASSERT_FATAL (ti_config_apply (c, change, &err));
  ti_change_free (change);
  zp_buf_free (&whole);
  return c;
}

static struct lg_members
members_of (const char *text)
{
  struct lg_members m = { .len = 0 };

  for (; *text; text += 2)
    CU_ASSERT (lg_members_put (&m, (uint64_t) (text[0] - '0'), text[1] == 'v',
                               ZP_STR ("127.0.0.1:1")));
  return m;
}

/* Applies changes until none is left, and writes them to OUT: "+4 ^4 -1 " adds
   4 as a learner, promotes it and removes 1.  */
static void
changes (const char *wanted, const char *members, uint64_t leader,
         struct zp_buf *out)
{
  struct ti_config *c = config_of (wanted);
  struct lg_members m = members_of (members);
  struct lg_change change = { .id = 0 };
  unsigned steps = 0;

  zp_buf_clear (out);
  zp_buf_put (out, ZP_STR (""));
  while (ct_reconcile (c, &m, leader, &change) && steps++ < 20)
    switch (change.kind)
      {
      case LG_ADD_LEARNER:
        zp_buf_printf (out, "+%u ", (unsigned) change.id);
        CU_ASSERT (lg_members_put (&m, change.id, false, change.address));
        break;
      case LG_PROMOTE:
        zp_buf_printf (out, "^%u ", (unsigned) change.id);
        CU_ASSERT (lg_members_put (&m, change.id, true, ZP_STR ("x")));
        break;
      case LG_REMOVE:
        zp_buf_printf (out, "-%u ", (unsigned) change.id);
        lg_members_remove (&m, change.id);
        break;
      }
  CU_ASSERT (steps < 20);
  ti_config_free (c);
}

/* Guards against changes without an end, against losing the majority on the
   way by removing members before the new ones vote, and against changes when
   no ticket has set a control object.  */
static void
test_changes (void)
{
  static const struct
  {
    const char *wanted, *members, *expect;
    uint64_t leader;
  } cases[] = {
    { "1v2v3v", "1v2v3v", "", 1 },
    { "", "1v2v3v", "", 1 },
    { "1v2v3v4l", "1v2v3v", "+4 ", 1 },
    { "1v2v3v4v", "1v2v3v4l", "^4 ", 1 },
    { "2v3v4v", "1v2v3v4v", "-1 ", 1 },
    { "4v5v6v", "1v2v3v", "+4 +5 +6 ^4 ^5 ^6 -1 -3 -2 ", 2 },
  };
  struct zp_buf out = { .ptr = NULL };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      changes (cases[i].wanted, cases[i].members, cases[i].leader, &out);
      CU_ASSERT_STRING_EQUAL (out.ptr, cases[i].expect);
    }
  zp_buf_free (&out);
}

/* Guards against adding a member with a wrong address.  */
static void
test_new_address (void)
{
  struct ti_config *c = config_of ("1v4l");
  struct lg_members m = members_of ("1v");
  struct lg_change change = { .id = 0 };

  CU_ASSERT (ct_reconcile (c, &m, 1, &change));
  CU_ASSERT (zp_str_eq (change.address, ZP_STR ("127.0.0.4:1")));
  ti_config_free (c);
}

static const struct zp_test tests[] = {
  { "order of changes", test_changes },
  { "address of a new member", test_new_address },
};

TEST_MAIN ("reconcile", tests)
