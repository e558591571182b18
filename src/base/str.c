#include "base/str.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>
#include <xxhash.h>

/* Views.  */

struct zp_str
zp_str_from (const char *s)
{
  return (struct zp_str){ .ptr = s, .len = s ? strlen (s) : 0 };
}

struct zp_str
zp_str_of (const struct zp_buf *b)
{
  return (struct zp_str){ .ptr = b->ptr, .len = b->len };
}

bool
zp_str_eq (struct zp_str a, struct zp_str b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.ptr, b.ptr, a.len) == 0);
}

int
zp_str_cmp (struct zp_str a, struct zp_str b)
{
  size_t n = a.len < b.len ? a.len : b.len;
  int c = n > 0 ? memcmp (a.ptr, b.ptr, n) : 0;

  if (c != 0)
    return c;
  return (a.len > b.len) - (a.len < b.len);
}

bool
zp_str_starts (struct zp_str s, struct zp_str prefix)
{
  s.len = s.len < prefix.len ? s.len : prefix.len;
  return zp_str_eq (s, prefix);
}

bool
zp_str_split (struct zp_str s, char c, struct zp_str *head,
              struct zp_str *tail)
{
  const char *p = s.len > 0 ? memchr (s.ptr, c, s.len) : NULL;

  if (!p)
    {
      *head = s;
      *tail = (struct zp_str){ .ptr = NULL, .len = 0 };
      return false;
    }
  size_t n = (size_t) (p - s.ptr);
  *head = (struct zp_str){ .ptr = s.ptr, .len = n };
  *tail = (struct zp_str){ .ptr = p + 1, .len = s.len - n - 1 };
  return true;
}

bool
zp_str_u64 (struct zp_str s, uint64_t *out)
{
  uint64_t v = 0;

  if (s.len == 0)
    return false;
  for (size_t i = 0; i < s.len; i++)
    {
      if (s.ptr[i] < '0' || s.ptr[i] > '9')
        return false;
      uint64_t d = (uint64_t) (s.ptr[i] - '0');
      if (v > (UINT64_MAX - d) / 10)
        return false;
      v = v * 10 + d;
    }
  *out = v;
  return true;
}

uint64_t
zp_str_hash (struct zp_str s, uint64_t seed)
{
  return XXH64 (s.ptr ? s.ptr : "", s.len, seed);
}

bool
zp_str_copy (char *dst, size_t size, struct zp_str s)
{
  assert (size > 0);
  dst[0] = '\0';
  if (s.len >= size)
    return false;
  if (s.len > 0)
    memcpy (dst, s.ptr, s.len);
  dst[s.len] = '\0';
  return true;
}

/* Buffers.  */

static void
reserve (struct zp_buf *b, size_t more)
{
  size_t need = b->len + more + 1;

  if (b->ptr && need <= b->cap)
    return;
  size_t cap = b->cap > 0 ? b->cap * 2 : 64;
  if (cap < need)
    cap = need;
  b->ptr = zp_realloc (b->ptr, cap);
  b->cap = cap;
}

void
zp_buf_put_bytes (struct zp_buf *b, const void *p, size_t n)
{
  reserve (b, n);
  if (n > 0)
    memcpy (b->ptr + b->len, p, n);
  b->len += n;
  b->ptr[b->len] = '\0';
}

void
zp_buf_put (struct zp_buf *b, struct zp_str s)
{
  zp_buf_put_bytes (b, s.ptr, s.len);
}

void
zp_buf_vprintf (struct zp_buf *b, const char *fmt, va_list ap)
{
  va_list copy;

  va_copy (copy, ap);
  int n = vsnprintf (NULL, 0, fmt, ap);
  assert (n >= 0);
  reserve (b, (size_t) n);
  vsnprintf (b->ptr + b->len, (size_t) n + 1, fmt, copy);
  va_end (copy);
  b->len += (size_t) n;
}

void
zp_buf_printf (struct zp_buf *b, const char *fmt, ...)
{
  va_list ap;

  va_start (ap, fmt);
  zp_buf_vprintf (b, fmt, ap);
  va_end (ap);
}

void
zp_buf_drop (struct zp_buf *b, size_t n)
{
  assert (n <= b->len);
  if (n == 0)
    return;
  b->len -= n;
  memmove (b->ptr, b->ptr + n, b->len);
  b->ptr[b->len] = '\0';
}

void
zp_buf_clear (struct zp_buf *b)
{
  b->len = 0;
  if (b->ptr)
    b->ptr[0] = '\0';
}

void
zp_buf_free (struct zp_buf *b)
{
  free (b->ptr);
  *b = (struct zp_buf){ .ptr = NULL };
}

void
zp_buf_wipe (struct zp_buf *b)
{
  if (b->ptr)
    sodium_memzero (b->ptr, b->cap);
  zp_buf_free (b);
}

struct zp_buf
zp_buf_from (struct zp_str s)
{
  struct zp_buf b = { .ptr = NULL };

  zp_buf_put (&b, s);
  return b;
}

/* Allocation.  */

void *
zp_alloc (size_t n)
{
  void *p = calloc (1, n > 0 ? n : 1);

  if (!p)
    abort ();
  return p;
}

void *
zp_realloc (void *p, size_t n)
{
  void *q = realloc (p, n > 0 ? n : 1);

  if (!q)
    abort ();
  return q;
}
