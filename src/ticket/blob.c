#include "ticket/blob.h"

#include <assert.h>
#include <stdlib.h>
#include <zlib.h>

/* A blob starts with the length of the text, big endian; the zlib data
   follow.  */
#define LENGTH_BYTES 4

void
ti_blob_compress (struct zp_str text, struct ti_blob *out)
{
  uLongf n = compressBound (text.len);

  assert (text.len <= UINT32_MAX);
  out->ptr = zp_alloc (LENGTH_BYTES + n);
  for (int i = 0; i < LENGTH_BYTES; i++)
    out->ptr[i] = (char) (text.len >> (8 * (LENGTH_BYTES - 1 - i)));
  /* Fails only when the buffer is smaller than the bound or memory is out.  */
  if (compress2 ((Bytef *) out->ptr + LENGTH_BYTES, &n,
                 (const Bytef *) (text.ptr ? text.ptr : ""), text.len,
                 Z_BEST_SPEED)
      != Z_OK)
    abort ();
  out->len = LENGTH_BYTES + n;
}

bool
ti_blob_decompress (const struct ti_blob *b, struct zp_buf *out, size_t max)
{
  size_t text_len = 0;

  if (b->len < LENGTH_BYTES)
    return false;
  for (int i = 0; i < LENGTH_BYTES; i++)
    text_len = text_len << 8 | (unsigned char) b->ptr[i];
  if (text_len > max)
    return false;
  char *text = zp_alloc (text_len + 1);
  uLongf n = text_len;
  bool ok
      = uncompress ((Bytef *) text, &n, (const Bytef *) b->ptr + LENGTH_BYTES,
                    b->len - LENGTH_BYTES)
            == Z_OK
        && n == text_len;
  if (ok)
    zp_buf_put_bytes (out, text, n);
  free (text);
  return ok;
}
