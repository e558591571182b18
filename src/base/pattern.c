#include "base/pattern.h"

static char
letter (uint64_t seed, size_t at)
{
  /* Multiplicative hashing with 2^64 divided by the golden ratio.  */
  return (char) ('a' + (((seed ^ at) * 0x9E3779B97F4A7C15u) >> 60));
}

void
zp_pattern_put (struct zp_buf *out, uint64_t seed, size_t len)
{
  for (size_t i = 0; i < len; i++)
    {
      char c = letter (seed, i);
      zp_buf_put_bytes (out, &c, 1);
    }
}

bool
zp_pattern_is (struct zp_str s, uint64_t seed)
{
  for (size_t i = 0; i < s.len; i++)
    if (s.ptr[i] != letter (seed, i))
      return false;
  return true;
}
