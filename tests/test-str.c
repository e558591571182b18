#include "harness.h"

#include "base/str.h"

/* Guards against reading bytes after the end of a view.  */
static void
test_views_are_length_counted (void)
{
  struct zp_str a = { .ptr = "booking-extra", .len = 7 };

  CU_ASSERT (zp_str_eq (a, ZP_STR ("booking")));
  CU_ASSERT (!zp_str_eq (a, ZP_STR ("booking-extra")));
  CU_ASSERT (zp_str_cmp (a, ZP_STR ("booking-")) < 0);
  CU_ASSERT (zp_str_starts (ZP_STR ("booking-extra"), a));
  CU_ASSERT (!zp_str_starts (ZP_STR ("book"), a));
}

static void
test_split (void)
{
  struct zp_str head, tail;

  CU_ASSERT (zp_str_split (ZP_STR ("a=b=c"), '=', &head, &tail));
  CU_ASSERT (zp_str_eq (head, ZP_STR ("a")));
  CU_ASSERT (zp_str_eq (tail, ZP_STR ("b=c")));
  CU_ASSERT (!zp_str_split (ZP_STR ("abc"), '=', &head, &tail));
  CU_ASSERT (zp_str_eq (head, ZP_STR ("abc")));
  CU_ASSERT_EQUAL (tail.len, 0);
}

/* Guards against accepting a number that overflows, or text that is not a
   number.  */
static void
test_numbers (void)
{
  uint64_t v = 0;

  CU_ASSERT (zp_str_u64 (ZP_STR ("18446744073709551615"), &v));
  CU_ASSERT_EQUAL (v, UINT64_MAX);
  CU_ASSERT (!zp_str_u64 (ZP_STR ("18446744073709551616"), &v));
  CU_ASSERT (!zp_str_u64 (ZP_STR (""), &v));
  CU_ASSERT (!zp_str_u64 (ZP_STR ("12a"), &v));
  CU_ASSERT (!zp_str_u64 (ZP_STR ("-1"), &v));
}

static void
test_buffers_grow_and_drop (void)
{
  struct zp_buf b = { .ptr = NULL };

  for (int i = 0; i < 1000; i++)
    zp_buf_printf (&b, "%d,", i);
  CU_ASSERT (zp_str_starts (zp_str_of (&b), ZP_STR ("0,1,2,")));
  zp_buf_drop (&b, 4);
  CU_ASSERT (zp_str_starts (zp_str_of (&b), ZP_STR ("2,3,")));
  CU_ASSERT_EQUAL (b.ptr[b.len], '\0');
  zp_buf_free (&b);
}

/* Guards against a string that is cut without notice.  */
static void
test_copy_too_long (void)
{
  char small[4];

  CU_ASSERT (zp_str_copy (small, sizeof small, ZP_STR ("abc")));
  CU_ASSERT_STRING_EQUAL (small, "abc");
  CU_ASSERT (!zp_str_copy (small, sizeof small, ZP_STR ("abcd")));
  CU_ASSERT_STRING_EQUAL (small, "");
}

static const struct zp_test tests[]
    = { { "views are length-counted", test_views_are_length_counted },
        { "split", test_split },
        { "numbers", test_numbers },
        { "buffers grow and drop", test_buffers_grow_and_drop },
        { "a copy that is too long is refused", test_copy_too_long } };

TEST_MAIN ("str", tests)
