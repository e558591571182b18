#include "harness.h"

#include "base/settings.h"
#include "ticket/store.h"

static struct ti_leave
leave (const char *server, uint64_t left_ms, zp_time at)
{
  struct ti_leave x = { .left_ms = left_ms, .at = at };

  zp_str_copy (x.server, sizeof x.server, zp_str_from (server));
  return x;
}

static void
put (struct ti_leaves *l, const char *server, uint64_t left_ms, zp_time at)
{
  struct ti_leave x = leave (server, left_ms, at);

  ti_leaves_put (l, &x);
}

/* Guards against a leave that an older one, sent again, takes back, and against
   a list that grows with each resend.  */
static void
test_put (void)
{
  struct ti_leaves l = { .item = NULL };

  put (&l, "a", 5000, 1);
  put (&l, "b", 6000, 2);
  put (&l, "a", 4000, 3);
  CU_ASSERT_EQUAL (l.len, 2);
  CU_ASSERT_EQUAL (ti_leaves_find (&l, ZP_STR ("a"))->left_ms, 5000);
  put (&l, "a", 9000, 4);
  CU_ASSERT_EQUAL (ti_leaves_find (&l, ZP_STR ("a"))->left_ms, 9000);
  CU_ASSERT_PTR_NULL (ti_leaves_find (&l, ZP_STR ("c")));
  ti_leaves_free (&l);
}

/* Guards against a state that grows for ever, and against a leave that is
   forgotten while a late report can still arrive.  */
static void
test_bounds (void)
{
  struct ti_leaves l = { .item = NULL };
  char name[32];

  put (&l, "a", 1, ZP_SEC);
  put (&l, "b", 1, 2 * ZP_SEC);
  put (&l, "a", 1, 3 * ZP_SEC);
  ti_leaves_expire (&l, 2 * ZP_SEC + TI_LEAVE_TTL);
  CU_ASSERT_EQUAL (l.len, 2);
  ti_leaves_expire (&l, 3 * ZP_SEC + TI_LEAVE_TTL);
  CU_ASSERT_EQUAL (l.len, 1);
  CU_ASSERT_PTR_NOT_NULL (ti_leaves_find (&l, ZP_STR ("a")));
  for (int i = 0; i < TI_LEAVES_MAX + 10; i++)
    {
      snprintf (name, sizeof name, "s%d", i);
      put (&l, name, 1, 4 * ZP_SEC);
    }
  CU_ASSERT_EQUAL (l.len, TI_LEAVES_MAX);
  CU_ASSERT_PTR_NULL (ti_leaves_find (&l, ZP_STR ("a")));
  CU_ASSERT_PTR_NOT_NULL (ti_leaves_find (&l, zp_str_from (name)));
  ti_leaves_free (&l);
}

static void
apply (struct ti_store *s, uint64_t index, const char *server,
       uint64_t left_ms, zp_time now, struct ti_result *r)
{
  struct ti_command c = { .kind = TI_LEAVE, .now = now };
  struct zp_buf bytes = { .ptr = NULL };

  c.u.leave.leave = leave (server, left_ms, 0);
  ti_command_encode (&c, &bytes);
  ti_store_apply (s, index, zp_str_of (&bytes), r);
  zp_buf_free (&bytes);
}

/* Guards against a leave that is lost between the log, the store and a
   snapshot, also one of a server whose id has unusual characters, and against
   a leave that counts as a change of the configuration.  */
static void
test_store (void)
{
  static const char odd[] = "i-\"7\\\n\xc3\xa9";
  struct ti_store *s = ti_store_new (TI_CONFLICT_BY_OBJECT);
  struct zp_buf snapshot = { .ptr = NULL }, again = { .ptr = NULL };
  struct zp_err err = { .text = "" };
  struct ti_result r;

  apply (s, 1, odd, 70000, ZP_SEC, &r);
  CU_ASSERT_EQUAL (r.outcome, TI_DONE);
  CU_ASSERT_STRING_EQUAL (r.leave.server, odd);
  CU_ASSERT_EQUAL (r.leave.left_ms, 70000);
  CU_ASSERT_PTR_NULL (r.change);
  ti_result_free (&r);
  apply (s, 2, "b", 80000, 2 * ZP_SEC, &r);
  ti_result_free (&r);
  apply (s, 3, "b", 10, 2 * ZP_SEC, &r);
  CU_ASSERT_EQUAL (r.leave.left_ms, 80000);
  ti_result_free (&r);
  ti_store_snapshot (s, &snapshot);
  ti_store_free (s);

  s = ti_store_restore (zp_str_of (&snapshot), TI_CONFLICT_BY_OBJECT, &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (s);
  CU_ASSERT_EQUAL (ti_store_leaves (s)->len, 2);
  CU_ASSERT_EQUAL (ti_leaves_find (ti_store_leaves (s), zp_str_from (odd))->at,
                   ZP_SEC);
  ti_store_snapshot (s, &again);
  CU_ASSERT (zp_str_eq (zp_str_of (&snapshot), zp_str_of (&again)));
  apply (s, 4, "c", 1, 2 * ZP_SEC + TI_LEAVE_TTL, &r);
  ti_result_free (&r);
  CU_ASSERT_EQUAL (ti_store_leaves (s)->len, 2);
  ti_store_free (s);
  zp_buf_free (&snapshot);
  zp_buf_free (&again);
}

/* Guards against a command of another member that cannot be read and is taken
   for a leave.  */
static void
test_malformed (void)
{
  static const char *const texts[]
      = { "{\"command\":\"leave\",\"now\":1}",
          "{\"command\":\"leave\",\"now\":1,\"server\":\"\","
          "\"left_ms\":1}",
          "{\"command\":\"leave\",\"now\":1,\"server\":\"a\"}",
          "{\"command\":\"leave\",\"now\":1,\"server\":7,\"left_ms\":1}",
          "{\"command\":\"leave\",\"now\":1,\"server\":\"a\","
          "\"left_ms\":-1}" };
  struct ti_command c;
  struct zp_err err;

  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    CU_ASSERT (!ti_command_decode (zp_str_from (texts[i]), &c, &err));
}

static const struct zp_test tests[]
    = { { "a leave that comes again", test_put },
        { "bounds", test_bounds },
        { "store and snapshot", test_store },
        { "malformed commands", test_malformed } };

TEST_MAIN ("leaves", tests)
