#include "ledger/wal.h"

#include <assert.h>
#include <zlib.h>

#include "ledger/bytes.h"

#define VERSION 1
#define HEADER_SIZE 16

/* Records.  */

static uint32_t
checksum (struct zp_str s)
{
  return (uint32_t) crc32_z (0, (const Bytef *) s.ptr, s.len);
}

void
lg_record_encode (struct zp_buf *out, enum lg_record_kind kind,
                  struct zp_str body)
{
  size_t start = out->len;

  assert (body.len <= LG_RECORD_MAX);
  lg_put_u32 (out, (uint32_t) body.len);
  lg_put_u32 (out, kind);
  lg_put_u32 (out, checksum (body));
  lg_put_u32 (out, checksum ((struct zp_str){ .ptr = out->ptr + start,
                                              .len = HEADER_SIZE
                                                     - sizeof (uint32_t) }));
  zp_buf_put (out, body);
}

/* A file system can extend a file before it writes the data; after a crash the
   end of the file then reads as zeros.  */
static bool
all_zero (struct zp_str s)
{
  for (size_t i = 0; i < s.len; i++)
    if (s.ptr[i] != '\0')
      return false;
  return true;
}

enum lg_record_state
lg_record_decode (struct zp_str bytes, uint32_t *kind, struct zp_str *body,
                  size_t *used, const char **why)
{
  struct zp_str rest = bytes;
  uint32_t len, body_sum, header_sum;

  if (!lg_take_u32 (&rest, &len) || !lg_take_u32 (&rest, kind)
      || !lg_take_u32 (&rest, &body_sum) || !lg_take_u32 (&rest, &header_sum))
    return LG_RECORD_TORN;
  bytes.len = HEADER_SIZE - sizeof (uint32_t);
  if (checksum (bytes) != header_sum)
    {
      bytes.len = HEADER_SIZE + rest.len;
      if (all_zero (bytes))
        return LG_RECORD_TORN;
      *why = "the checksum of the record header is wrong";
      return LG_RECORD_CORRUPT;
    }
  if (len > LG_RECORD_MAX)
    {
      *why = "the record is too long";
      return LG_RECORD_CORRUPT;
    }
  if (rest.len < len)
    return LG_RECORD_TORN;
  rest.len = len;
  if (checksum (rest) != body_sum)
    {
      *why = "the checksum of the record is wrong";
      return LG_RECORD_CORRUPT;
    }
  *body = rest;
  *used = HEADER_SIZE + (size_t) len;
  return LG_RECORD_COMPLETE;
}

/* Writing.  */

static void
encode_entries (struct zp_buf *out, const struct lg_entries *e)
{
  lg_put_u32 (out, (uint32_t) e->len);
  for (size_t i = 0; i < e->len; i++)
    {
      lg_put_u64 (out, e->item[i].index);
      lg_put_u64 (out, e->item[i].term);
      lg_put_u8 (out, (uint8_t) e->item[i].kind);
      lg_put_bytes (out, zp_str_of (&e->item[i].bytes));
    }
}

static void
encode_begin (struct zp_buf *body, const struct lg_write_log *l)
{
  struct zp_buf members = { .ptr = NULL };

  lg_put_u32 (body, VERSION);
  lg_put_u64 (body, l->id);
  lg_put_u64 (body, l->first_vote_term);
  lg_put_u64 (body, l->base_index);
  lg_put_u64 (body, l->base_term);
  lg_members_encode (&l->base_members, &members);
  lg_put_bytes (body, zp_str_of (&members));
  zp_buf_free (&members);
}

void
lg_wal_encode (struct zp_buf *out, const struct lg_write *w)
{
  const struct lg_write_log *l = &w->u.log;
  struct zp_buf body = { .ptr = NULL };
  bool begin = w->kind == LG_WRITE_REWRITE;

  assert (w->kind != LG_WRITE_SNAPSHOT);
  if (begin)
    encode_begin (&body, l);
  lg_put_u64 (&body, l->term);
  lg_put_u64 (&body, l->vote);
  encode_entries (&body, &l->entries);
  lg_record_encode (out, begin ? LG_RECORD_BEGIN : LG_RECORD_APPEND,
                    zp_str_of (&body));
  zp_buf_free (&body);
}

/* Reading.  */

static uint64_t
last_index (const struct lg_init_state *s)
{
  return s->base_index + s->entries.len;
}

static uint64_t
last_term (const struct lg_init_state *s)
{
  return s->entries.len > 0 ? s->entries.item[s->entries.len - 1].term
                            : s->base_term;
}

/* Adds E, which replaces the entries from its index on.  */
static bool
add_entry (struct lg_init_state *s, const struct lg_entry *e)
{
  struct lg_members members;

  if (e->index <= s->base_index || e->index > last_index (s) + 1)
    return false;
  if (e->kind == LG_ENTRY_MEMBERS
      && !lg_members_decode (&members, zp_str_of (&e->bytes)))
    return false;
  while (last_index (s) >= e->index)
    zp_buf_free (&s->entries.item[--s->entries.len].bytes);
  if (e->term < last_term (s) || e->term > s->term)
    return false;
  lg_entries_add (&s->entries, e);
  return true;
}

static bool
decode_entries (struct zp_str *in, struct lg_init_state *s)
{
  uint32_t n;

  if (!lg_take_u32 (in, &n))
    return false;
  for (uint32_t i = 0; i < n; i++)
    {
      struct lg_entry e;
      struct zp_str bytes;
      uint8_t kind;
      if (!lg_take_u64 (in, &e.index) || !lg_take_u64 (in, &e.term)
          || !lg_take_u8 (in, &kind) || kind > LG_ENTRY_MEMBERS
          || !lg_take_bytes (in, &bytes))
        return false;
      e.kind = (enum lg_entry_kind) kind;
      /* Borrows the bytes; add_entry copies them.  */
      e.bytes = (struct zp_buf){ .ptr = (char *) bytes.ptr, .len = bytes.len };
      if (!add_entry (s, &e))
        return false;
    }
  return in->len == 0;
}

static bool
decode_state (struct zp_str *in, struct lg_init_state *s)
{
  uint64_t term, vote;

  if (!lg_take_u64 (in, &term) || !lg_take_u64 (in, &vote) || term < s->term)
    return false;
  s->term = term;
  s->vote = vote;
  return decode_entries (in, s);
}

static bool
decode_begin (struct zp_str *in, struct lg_init_state *s)
{
  uint32_t version;
  struct zp_str members;

  return lg_take_u32 (in, &version) && version == VERSION
         && lg_take_u64 (in, &s->id) && s->id != 0
         && lg_take_u64 (in, &s->first_vote_term)
         && lg_take_u64 (in, &s->base_index) && lg_take_u64 (in, &s->base_term)
         && lg_take_bytes (in, &members)
         && lg_members_decode (&s->base_members, members)
         && decode_state (in, s);
}

/* Decodes the body of one record into S.  */
static bool
decode_record (uint32_t kind, struct zp_str body, bool first,
               struct lg_init_state *s)
{
  switch ((enum lg_record_kind) kind)
    {
    case LG_RECORD_BEGIN:
      return first && decode_begin (&body, s);
    case LG_RECORD_APPEND:
      return !first && decode_state (&body, s);
    case LG_RECORD_SNAPSHOT:
      break;
    }
  return false;
}

bool
lg_wal_decode (struct zp_str file, struct lg_init_state *out, size_t *valid,
               struct zp_err *err)
{
  struct zp_str rest = file;
  const char *why = "the record cannot be read";

  *valid = 0;
  while (rest.len > 0 || *valid == 0)
    {
      uint32_t kind;
      struct zp_str body;
      size_t used;
      enum lg_record_state state
          = lg_record_decode (rest, &kind, &body, &used, &why);

      /* The file gets its name only after the first record is synced, so that
         only a later record can be incomplete after a crash.  */
      if (state == LG_RECORD_TORN && *valid > 0)
        return true;
      if (state == LG_RECORD_TORN)
        why = "the first record is incomplete";
      if (state != LG_RECORD_COMPLETE
          || !decode_record (kind, body, *valid == 0, out))
        return zp_fail (err, ZP_ECORRUPT, "%s, offset %zu: %s", LG_LOG_FILE,
                        *valid, why);
      *valid += used;
      rest.ptr += used;
      rest.len -= used;
    }
  return true;
}
