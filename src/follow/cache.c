#include "follow/cache.h"

#include <string.h>

#include "base/limits.h"

/* Header of a record.  Numbers are little endian, as on every machine that
   runs this.  */
struct record
{
  uint64_t check; /* checksum of the rest of the header and the bytes */
  uint64_t len;   /* of the bytes after the header */
  uint64_t from, version, number, term;
  uint64_t whole; /* 1: a whole configuration, 0: a change */
};

static uint64_t
checksum (const struct record *r, struct zp_str bytes)
{
  struct zp_str head = { .ptr = (const char *) r + sizeof r->check,
                         .len = sizeof *r - sizeof r->check };

  return zp_str_hash (bytes, zp_str_hash (head, 0));
}

void
fo_cache_put (struct zp_buf *out, const struct tk_config *c)
{
  struct record r = { .len = c->bytes.len,
                      .from = c->from,
                      .version = c->version,
                      .number = c->number,
                      .term = c->term,
                      .whole = c->whole };

  r.check = checksum (&r, zp_str_of (&c->bytes));
  zp_buf_put_bytes (out, &r, sizeof r);
  zp_buf_put (out, zp_str_of (&c->bytes));
}

bool
fo_cache_next (struct zp_str *rest, struct tk_config *out)
{
  struct record r;

  if (rest->len < sizeof r)
    return false;
  memcpy (&r, rest->ptr, sizeof r);
  if (r.len > ZP_CONFIG_MAX || r.len > rest->len - sizeof r)
    return false;
  struct zp_str bytes = { .ptr = rest->ptr + sizeof r, .len = (size_t) r.len };
  if (r.check != checksum (&r, bytes))
    return false;
  /* Removes the "const" of the view.  */
  union
  {
    const char *in;
    char *out;
  } view = { .in = bytes.ptr };
  *out = (struct tk_config){ .from = r.from,
                             .version = r.version,
                             .number = r.number,
                             .term = r.term,
                             .whole = r.whole != 0,
                             .bytes = { .ptr = view.out, .len = bytes.len } };
  rest->ptr += sizeof r + bytes.len;
  rest->len -= sizeof r + bytes.len;
  return true;
}
