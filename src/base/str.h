/* NAME
     str - length-counted strings and growable buffers

   DESCRIPTION
     A struct zp_str is a view: a pointer to bytes that it does not own, and
     their number.  The bytes need not end with a zero byte.  A struct zp_buf
     owns its bytes.  All fields zero make an empty buffer.  A buffer that was
     written to keeps a zero byte after its contents, so that ptr can be passed
     to functions of the C library.  */

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
  size_t cap; /* allocated bytes */
};

/* A view of a string literal.  */
#define ZP_STR(lit) ((struct zp_str){ .ptr = (lit), .len = sizeof (lit) - 1 })

/* Arguments for the printf conversion "%.*s".  */
#define ZP_ARG(s) (int) (s).len, (s).ptr ? (s).ptr : ""

/* Views of a zero-terminated string (NULL gives an empty view) and of the
   contents of a buffer.  */
struct zp_str zp_str_from (const char *s);
struct zp_str zp_str_of (const struct zp_buf *b);

/* Compare bytes, as memcmp does; a prefix comes before a longer string.  */
bool zp_str_eq (struct zp_str a, struct zp_str b);
int zp_str_cmp (struct zp_str a, struct zp_str b);
bool zp_str_starts (struct zp_str s, struct zp_str prefix);

/* Splits S at the first C into HEAD and TAIL.  Returns false, with HEAD set to
   the whole of S, when C does not occur.  */
bool zp_str_split (struct zp_str s, char c, struct zp_str *head,
                   struct zp_str *tail);

/* Parses S as a decimal number.  Returns false when S is empty, has a
   character that is no digit, or does not fit into OUT.  */
bool zp_str_u64 (struct zp_str s, uint64_t *out);

/* XXH64 hash for tables and rendezvous hashing; the same on all machines.  */
uint64_t zp_str_hash (struct zp_str s, uint64_t seed);

/* Copies S and a zero byte into the array DST of SIZE bytes.  When S does not
   fit, returns false and makes DST empty.  */
bool zp_str_copy (char *dst, size_t size, struct zp_str s);

/* Append to B.  */
void zp_buf_put (struct zp_buf *b, struct zp_str s);
void zp_buf_put_bytes (struct zp_buf *b, const void *p, size_t n);
void zp_buf_printf (struct zp_buf *b, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
void zp_buf_vprintf (struct zp_buf *b, const char *fmt, va_list ap);

/* Removes the first N bytes.  */
void zp_buf_drop (struct zp_buf *b, size_t n);

/* Empties B but keeps its memory.  */
void zp_buf_clear (struct zp_buf *b);
void zp_buf_free (struct zp_buf *b);

/* The same for a secret: overwrites its bytes first.  */
void zp_buf_wipe (struct zp_buf *b);

/* A new buffer with a copy of S.  */
struct zp_buf zp_buf_from (struct zp_str s);

/* Allocate N bytes; zp_alloc sets them to zero.  Both end the process when
   there is no memory, so that no state machine is left half changed.  */
void *zp_alloc (size_t n);
void *zp_realloc (void *p, size_t n);

#endif
