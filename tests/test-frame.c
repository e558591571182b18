#include "harness.h"

#include <string.h>

#include "base/limits.h"
#include "wire/frame.h"

/* Guards against a frame that is parsed before all of its bytes arrived.  */
static void
test_incomplete_frame (void)
{
  struct zp_buf b = { .ptr = NULL };
  uint8_t kind;
  struct zp_str payload;
  size_t used;
  struct zp_err err;

  wi_frame_put (&b, WI_HELLO, ZP_STR ("payload"));
  for (size_t n = 0; n < b.len; n++)
    CU_ASSERT_EQUAL (wi_frame_parse ((struct zp_str){ b.ptr, n }, &kind,
                                     &payload, &used, &err),
                     WI_PARSE_MORE);
  CU_ASSERT_EQUAL (
      wi_frame_parse (zp_str_of (&b), &kind, &payload, &used, &err),
      WI_PARSE_FRAME);
  CU_ASSERT_EQUAL (kind, WI_HELLO);
  CU_ASSERT (zp_str_eq (payload, ZP_STR ("payload")));
  CU_ASSERT_EQUAL (used, b.len);
  zp_buf_free (&b);
}

/* Guards against an invalid header that is accepted: memory would be allocated
   for a length over the limit, or bytes of another protocol be read.  */
static void
test_bad_headers_are_refused (void)
{
  unsigned char h[WI_HEADER_SIZE] = { 0xff, 0xff, 0xff, 0xff, WI_VERSION, 1 };
  struct zp_str bytes = { .ptr = (char *) h, .len = sizeof h };
  uint8_t kind;
  struct zp_str payload;
  size_t used;
  struct zp_err err;

  CU_ASSERT_EQUAL (wi_frame_parse (bytes, &kind, &payload, &used, &err),
                   WI_PARSE_BAD);
  CU_ASSERT_EQUAL (err.code, ZP_ELIMIT);
  memset (h, 0, 4);
  h[4] = WI_VERSION + 1;
  CU_ASSERT_EQUAL (wi_frame_parse (bytes, &kind, &payload, &used, &err),
                   WI_PARSE_BAD);
  CU_ASSERT (HAS_TEXT (err.text, "protocol version 2, expected 1"));
  h[4] = WI_VERSION;
  h[7] = 1;
  CU_ASSERT_EQUAL (wi_frame_parse (bytes, &kind, &payload, &used, &err),
                   WI_PARSE_BAD);
}

static const struct zp_test tests[]
    = { { "an incomplete frame", test_incomplete_frame },
        { "bad headers are refused", test_bad_headers_are_refused } };

TEST_MAIN ("frame", tests)
