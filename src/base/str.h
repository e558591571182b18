/* NAME
     str - length-counted strings and growable buffers

   DESCRIPTION
     A struct zp_str is a view: a pointer and a length, never terminated and
     never owned.  A struct zp_buf owns its bytes.  zp_buf keeps one zero byte
     behind its contents, so that ptr can be passed to a C library function. */

#ifndef ZP_BASE_STR_H
#define ZP_BASE_STR_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct zp_str
{
  const char *ptr;
  size_t len;
};

struct zp_buf
{
  char *ptr;
  size_t len;
  size_t cap;
};

/* A view of a string literal.  */
#define ZP_STR(lit) ((struct zp_str){ .ptr = (lit), .len = sizeof (lit) - 1 })

/* Arguments for the printf conversion "%.*s".  */
#define ZP_ARG(s) (int) (s).len, (s).ptr ? (s).ptr : ""

/* Views of a terminated string (NULL gives the empty view) and a buffer.  */
struct zp_str zp_str_from (const char *s);
struct zp_str zp_str_of (const struct zp_buf *b);

bool zp_str_eq (struct zp_str a, struct zp_str b);
int zp_str_cmp (struct zp_str a, struct zp_str b);
bool zp_str_starts (struct zp_str s, struct zp_str prefix);

/* Splits S at the first C into HEAD and TAIL.  Returns false, with HEAD set to
   the whole of S, when C does not occur.  */
bool zp_str_split (struct zp_str s, char c, struct zp_str *head,
                   struct zp_str *tail);

/* Reads a decimal number that fills all of S.  Returns false on any other
   character, an empty view or an overflow.  */
bool zp_str_u64 (struct zp_str s, uint64_t *out);

/* Hash for tables and rendezvous hashing; stable across machines.  */
uint64_t zp_str_hash (struct zp_str s, uint64_t seed);

/* Copies S into the array DST of SIZE bytes, terminated.  Returns false and
   leaves DST empty when S does not fit.  */
bool zp_str_copy (char *dst, size_t size, struct zp_str s);

void zp_buf_put (struct zp_buf *b, struct zp_str s);
void zp_buf_put_bytes (struct zp_buf *b, const void *p, size_t n);
void zp_buf_printf (struct zp_buf *b, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
void zp_buf_vprintf (struct zp_buf *b, const char *fmt, va_list ap);

/* Removes the first N bytes.  */
void zp_buf_drop (struct zp_buf *b, size_t n);
void zp_buf_clear (struct zp_buf *b);
void zp_buf_free (struct zp_buf *b);
struct zp_buf zp_buf_from (struct zp_str s);

/* Allocation that ends the process when memory is exhausted, so that no state
   machine is left half changed.  */
void *zp_alloc (size_t n);
void *zp_realloc (void *p, size_t n);

#endif
