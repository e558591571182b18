/* Creation and release of the core's public types.  */

#include <stdlib.h>

#include "ledger/core.h"

struct lg_snapshot *
lg_snapshot_new (uint64_t index, uint64_t term,
                 const struct lg_members *members, struct zp_str bytes)
{
  struct lg_snapshot *s = zp_alloc (sizeof *s);

  *s = (struct lg_snapshot){ .refs = 1,
                             .index = index,
                             .term = term,
                             .members = *members,
                             .bytes = zp_buf_from (bytes) };
  return s;
}

struct lg_snapshot *
lg_snapshot_ref (struct lg_snapshot *s)
{
  s->refs++;
  return s;
}

void
lg_snapshot_free (struct lg_snapshot *s)
{
  if (!s || --s->refs > 0)
    return;
  zp_buf_free (&s->bytes);
  free (s);
}

void
lg_msg_clear (struct lg_msg *m)
{
  switch (m->kind)
    {
    case LG_APPEND:
      lg_entries_free (&m->u.append.entries);
      break;
    case LG_SNAPSHOT:
      zp_buf_free (&m->u.snapshot.bytes);
      break;
    case LG_VOTE_REQUEST:
    case LG_VOTE_ANSWER:
    case LG_APPEND_ANSWER:
    case LG_SNAPSHOT_ANSWER:
      break;
    }
}

static void
write_clear (struct lg_write *w)
{
  switch (w->kind)
    {
    case LG_WRITE_APPEND:
    case LG_WRITE_REWRITE:
      lg_entries_free (&w->u.log.entries);
      break;
    case LG_WRITE_SNAPSHOT:
      lg_snapshot_free (w->u.snapshot);
      break;
    }
}

void
lg_out_free (struct lg_out *out)
{
  switch (out->kind)
    {
    case LG_OUT_MSG:
      lg_msg_clear (&out->u.msg);
      break;
    case LG_OUT_WRITE:
      write_clear (&out->u.write);
      break;
    case LG_OUT_COMMITTED:
      zp_buf_free (&out->u.committed.bytes);
      break;
    case LG_OUT_RESTORE:
      lg_snapshot_free (out->u.restore);
      break;
    case LG_OUT_SNAPSHOT_DUE:
    case LG_OUT_ROLE:
    case LG_OUT_MEMBERS:
    case LG_OUT_REPLY:
      break;
    }
  free (out);
}

void
lg_init_state_free (struct lg_init_state *s)
{
  lg_entries_free (&s->entries);
  lg_snapshot_free (s->snapshot);
  s->snapshot = NULL;
}
