#include "ledger/snapshot.h"

#include "ledger/bytes.h"
#include "ledger/wal.h"

#define VERSION 1

void
lg_snapshot_encode (struct zp_buf *out, const struct lg_snapshot *s)
{
  struct zp_buf body = { .ptr = NULL }, members = { .ptr = NULL };

  lg_put_u32 (&body, VERSION);
  lg_put_u64 (&body, s->index);
  lg_put_u64 (&body, s->term);
  lg_members_encode (&s->members, &members);
  lg_put_bytes (&body, zp_str_of (&members));
  zp_buf_put (&body, zp_str_of (&s->bytes));
  lg_record_encode (out, LG_RECORD_SNAPSHOT, zp_str_of (&body));
  zp_buf_free (&body);
  zp_buf_free (&members);
}

struct lg_snapshot *
lg_snapshot_decode (struct zp_str file, struct zp_err *err)
{
  const char *why = "the file is incomplete";
  struct zp_str body, members_bytes;
  struct lg_members members;
  uint32_t kind, version;
  uint64_t index, term;
  size_t used;

  if (lg_record_decode (file, &kind, &body, &used, &why) != LG_RECORD_COMPLETE)
    {
      zp_fail (err, ZP_ECORRUPT, "%s, offset 0: %s", LG_SNAPSHOT_FILE, why);
      return NULL;
    }
  if (used != file.len || kind != LG_RECORD_SNAPSHOT
      || !lg_take_u32 (&body, &version) || version != VERSION
      || !lg_take_u64 (&body, &index) || index == 0
      || !lg_take_u64 (&body, &term) || !lg_take_bytes (&body, &members_bytes)
      || !lg_members_decode (&members, members_bytes))
    {
      zp_fail (err, ZP_ECORRUPT, "%s, offset 0: the record cannot be read",
               LG_SNAPSHOT_FILE);
      return NULL;
    }
  return lg_snapshot_new (index, term, &members, body);
}
