#include "ledger/bytes.h"

#include <assert.h>

static void
put (struct zp_buf *out, uint64_t v, size_t n)
{
  char b[8];

  for (size_t i = 0; i < n; i++)
    b[i] = (char) (uint8_t) (v >> (8 * i));
  zp_buf_put_bytes (out, b, n);
}

static bool
take (struct zp_str *in, uint64_t *v, size_t n)
{
  if (in->len < n)
    return false;
  *v = 0;
  for (size_t i = 0; i < n; i++)
    *v |= (uint64_t) (uint8_t) in->ptr[i] << (8 * i);
  in->ptr += n;
  in->len -= n;
  return true;
}

void
lg_put_u8 (struct zp_buf *out, uint8_t v)
{
  put (out, v, 1);
}

void
lg_put_u32 (struct zp_buf *out, uint32_t v)
{
  put (out, v, 4);
}

void
lg_put_u64 (struct zp_buf *out, uint64_t v)
{
  put (out, v, 8);
}

void
lg_put_bytes (struct zp_buf *out, struct zp_str s)
{
  assert (s.len <= UINT32_MAX);
  lg_put_u32 (out, (uint32_t) s.len);
  zp_buf_put (out, s);
}

bool
lg_take_u8 (struct zp_str *in, uint8_t *v)
{
  uint64_t wide;

  if (!take (in, &wide, 1))
    return false;
  *v = (uint8_t) wide;
  return true;
}

bool
lg_take_u32 (struct zp_str *in, uint32_t *v)
{
  uint64_t wide;

  if (!take (in, &wide, 4))
    return false;
  *v = (uint32_t) wide;
  return true;
}

bool
lg_take_u64 (struct zp_str *in, uint64_t *v)
{
  return take (in, v, 8);
}

bool
lg_take_bytes (struct zp_str *in, struct zp_str *s)
{
  struct zp_str rest = *in;
  uint32_t n;

  if (!lg_take_u32 (&rest, &n) || rest.len < n)
    return false;
  *s = (struct zp_str){ .ptr = rest.ptr, .len = n };
  *in = (struct zp_str){ .ptr = rest.ptr + n, .len = rest.len - n };
  return true;
}
