#include "harness.h"

#include "base/histogram.h"

/* Guards against buckets that are not cumulative: each bucket counts all
   durations up to its bound, the bound included.  */
static void
test_buckets (void)
{
  struct zp_histogram h;
  struct zp_buf text = { .ptr = NULL };

  zp_histogram_init (&h, "zp_test_seconds", "service=\"a\"");
  zp_histogram_add (&h, 1 * ZP_MS);
  zp_histogram_add (&h, 100 * ZP_MS);
  zp_histogram_add (&h, 101 * ZP_MS);
  zp_histogram_add (&h, 60 * ZP_SEC);
  zp_counter_text (&text);
  CU_ASSERT (HAS_TEXT (
      text.ptr, "zp_test_seconds_bucket{service=\"a\",le=\"0.005\"} 1\n"));
  CU_ASSERT (HAS_TEXT (
      text.ptr, "zp_test_seconds_bucket{service=\"a\",le=\"0.1\"} 2\n"));
  CU_ASSERT (HAS_TEXT (
      text.ptr, "zp_test_seconds_bucket{service=\"a\",le=\"0.15\"} 3\n"));
  CU_ASSERT (HAS_TEXT (
      text.ptr, "zp_test_seconds_bucket{service=\"a\",le=\"+Inf\"} 4\n"));
  CU_ASSERT (HAS_TEXT (text.ptr, "zp_test_seconds_count{service=\"a\"} 4\n"));
  CU_ASSERT_EQUAL (h.sum->value, 60202 * ZP_MS);
  zp_buf_free (&text);
}

static const struct zp_test tests[] = { { "buckets", test_buckets } };

TEST_MAIN ("histogram", tests)
