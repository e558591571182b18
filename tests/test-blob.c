#include "harness.h"

#include <stdlib.h>

#include "ticket/blob.h"

/* Compression keeps a document byte for byte, also an empty one, and honours
   the size limit.  */
static void
test_round_trip (void)
{
  struct zp_buf text = { .ptr = NULL }, back = { .ptr = NULL };
  struct ti_blob b;

  for (int i = 0; i < 500; i++)
    zp_buf_printf (&text, "{\"route\":\"r-%d\",\"timeout\":\"1500ms\"}", i);
  ti_blob_compress (zp_str_of (&text), &b);
  CU_ASSERT (b.len * 5 < text.len);
  CU_ASSERT (ti_blob_decompress (&b, &back, text.len));
  CU_ASSERT (zp_str_eq (zp_str_of (&back), zp_str_of (&text)));
  zp_buf_clear (&back);
  CU_ASSERT (!ti_blob_decompress (&b, &back, text.len - 1));
  free (b.ptr);
  ti_blob_compress (ZP_STR (""), &b);
  CU_ASSERT (ti_blob_decompress (&b, &back, 10));
  CU_ASSERT_EQUAL (back.len, 0);
  free (b.ptr);
  zp_buf_free (&text);
  zp_buf_free (&back);
}

/* Guards against accepting truncated or changed bytes as a document.  */
static void
test_damage (void)
{
  struct zp_buf back = { .ptr = NULL };
  struct ti_blob b;

  ti_blob_compress (ZP_STR ("{\"version\":7,\"listeners\":[]}"), &b);
  for (size_t n = 0; n < b.len; n++)
    {
      struct ti_blob cut = { .ptr = b.ptr, .len = n };
      CU_ASSERT (!ti_blob_decompress (&cut, &back, 1000));
    }
  b.ptr[10] ^= 0x55;
  CU_ASSERT (!ti_blob_decompress (&b, &back, 1000));
  free (b.ptr);
  zp_buf_free (&back);
}

static const struct zp_test tests[]
    = { { "round trip", test_round_trip }, { "damaged bytes", test_damage } };

TEST_MAIN ("blob", tests)
