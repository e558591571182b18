/* Snapshots: taking, compaction and transfer in chunks.  */

#include <assert.h>
#include <string.h>

#include "ledger/core-state.h"

/* Limit for a received state, in bytes.  A larger one is refused before memory
   is allocated for it.  */
#define SNAPSHOT_BYTES_MAX (256ULL * 1024 * 1024)

/* Own snapshots.  */

static uint64_t
snapshot_index (const struct lg_core *c)
{
  return c->snapshot ? c->snapshot->index : 0;
}

void
lg_trigger_snapshot (struct lg_core *c)
{
  uint64_t covered = snapshot_index (c);

  if (c->snapshot_due || c->new_snapshot || c->applied <= covered)
    return;
  if (c->applied - covered < c->snapshot_entries
      && lg_log_bytes (&c->log, covered + 1, c->applied) < LG_SNAPSHOT_BYTES)
    return;
  c->snapshot_due = true;
  lg_emit (c, LG_OUT_SNAPSHOT_DUE)->u.snapshot_index = c->applied;
}

void
lg_core_snapshot (struct lg_core *c, uint64_t index, struct zp_str state)
{
  struct lg_members members;

  c->snapshot_due = false;
  if (c->role == LG_STOPPED || c->new_snapshot || index <= snapshot_index (c))
    return;
  assert (index <= c->applied && lg_log_has_term (&c->log, index));
  lg_log_members (&c->log, index, &members);
  c->new_snapshot
      = lg_snapshot_new (index, lg_log_term (&c->log, index), &members, state);
  c->new_snapshot_write = lg_issue_snapshot (c, c->new_snapshot);
}

/* Keeps the last KEEP_ENTRIES before the snapshot for slow members.  */
void
lg_on_snapshot_written (struct lg_core *c, uint64_t number)
{
  if (!c->new_snapshot || c->new_snapshot_write != number)
    return;
  struct lg_snapshot *s = c->new_snapshot;
  c->new_snapshot = NULL;
  if (s->index <= snapshot_index (c))
    {
      lg_snapshot_free (s);
      return;
    }
  lg_snapshot_free (c->snapshot);
  c->snapshot = s;
  uint64_t base = s->index > c->keep_entries ? s->index - c->keep_entries : 0;
  if (base <= c->log.base_index)
    return;
  lg_log_compact (&c->log, base);
  lg_issue_rewrite (c);
}

/* Leader: transfer.  */

void
lg_end_transfer (struct lg_peer *p)
{
  lg_snapshot_free (p->transfer);
  p->transfer = NULL;
}

/* Sends the chunk at P->offset.  A transfer keeps the snapshot with which it
   began, so that it does not restart when a newer one is taken.  */
void
lg_send_chunk (struct lg_core *c, struct lg_peer *p)
{
  if (!p->transfer)
    {
      assert (c->snapshot);
      p->transfer = lg_snapshot_ref (c->snapshot);
      p->offset = 0;
    }
  const struct lg_snapshot *s = p->transfer;
  struct lg_msg *m = lg_send (c, LG_SNAPSHOT, p->id, false);
  size_t n = s->bytes.len - (size_t) p->offset;

  if (n > LG_CHUNK_BYTES)
    n = LG_CHUNK_BYTES;
  p->chunk_sent = c->now;
  m->u.snapshot = (struct lg_snapshot_chunk){
    .voter = p->voter,
    .formed_term = c->members.formed_term,
    .index = s->index,
    .last_term = s->term,
    .members = s->members,
    .total = s->bytes.len,
    .hash = zp_str_hash (zp_str_of (&s->bytes), s->index),
    .offset = p->offset,
    .sent = c->now,
    .bytes = zp_buf_from (
        (struct zp_str){ .ptr = s->bytes.ptr + p->offset, .len = n }),
  };
}

void
lg_on_snapshot_answer (struct lg_core *c, const struct lg_msg *m)
{
  const struct lg_snapshot_answer *a = &m->u.snapshot_answer;
  struct lg_peer *p = lg_peer_find (c, m->from);

  if (m->term > c->term)
    {
      lg_become_follower (c, m->term, 0);
      return;
    }
  if (c->role != LG_LEADER || !p || m->term < c->term)
    return;
  if (a->sent > p->acked_sent && a->sent <= c->now)
    p->acked_sent = a->sent;
  if (!p->transfer || p->transfer->index != a->index)
    return;
  if (a->done)
    {
      if (p->match < a->index)
        p->match = a->index;
      p->next = p->match + 1;
      p->probing = false;
      p->progress = c->now;
      lg_end_transfer (p);
      lg_advance_commit (c);
      lg_replicate (c, p, false);
      return;
    }
  /* An answer that requests the chunk in flight is a late one.  */
  if (a->offset == p->offset || a->offset > p->transfer->bytes.len)
    return;
  p->offset = a->offset;
  lg_send_chunk (c, p);
}

/* Follower: transfer.  */

/* Replaces the state up to the snapshot's index by the snapshot, whose chunks
   are complete.  Entries after it stay when the log contains its last entry.
 */
static void
install_snapshot (struct lg_core *c, const struct lg_msg *m)
{
  const struct lg_snapshot_chunk *s = &m->u.snapshot;
  struct lg_log *log = &c->log;

  /* The changes so far get their own write, so that outputs that wait for them
     do not wait for the snapshot.  */
  lg_issue_changes (c);
  lg_snapshot_free (c->snapshot);
  c->snapshot = lg_snapshot_new (s->index, s->last_term, &s->members,
                                 zp_str_of (&c->incoming.bytes));
  zp_buf_free (&c->incoming.bytes);
  c->incoming = (struct lg_incoming_snapshot){ .index = 0 };
  if (lg_log_has_term (log, s->index)
      && lg_log_term (log, s->index) == s->last_term)
    lg_log_compact (log, s->index);
  else
    {
      if (lg_log_last (log) > c->commit)
        lg_truncate (c, c->commit + 1);
      lg_log_reset (log, c->snapshot);
      c->first_unwritten = lg_log_last (log) + 1;
    }
  c->commit = s->index;
  c->applied = s->index;
  c->restore_write = lg_issue_snapshot (c, c->snapshot);
  lg_emit_held (c, LG_OUT_RESTORE)->u.restore = lg_snapshot_ref (c->snapshot);
  lg_issue_rewrite (c);
  lg_refresh_members (c);
}

/* Adds a chunk when it is the next one.  Returns whether the state is complete
   and its hash is correct.  */
static bool
add_chunk (struct lg_core *c, const struct lg_msg *m)
{
  const struct lg_snapshot_chunk *s = &m->u.snapshot;
  struct lg_incoming_snapshot *in = &c->incoming;

  if (in->index != s->index || in->last_term != s->last_term
      || in->from != m->from)
    {
      zp_buf_free (&in->bytes);
      *in = (struct lg_incoming_snapshot){ .from = m->from,
                                           .index = s->index,
                                           .last_term = s->last_term };
    }
  if (s->offset != in->bytes.len)
    return false;
  zp_buf_put (&in->bytes, zp_str_of (&s->bytes));
  if (in->bytes.len < s->total)
    return false;
  if (in->bytes.len == s->total
      && zp_str_hash (zp_str_of (&in->bytes), s->index) == s->hash)
    return true;
  zp_buf_clear (&in->bytes);
  return false;
}

void
lg_on_snapshot (struct lg_core *c, const struct lg_msg *m)
{
  const struct lg_snapshot_chunk *s = &m->u.snapshot;
  struct lg_snapshot_answer answer = { .index = s->index };

  if (m->term >= c->term)
    {
      if ((m->term == c->term && c->role == LG_LEADER)
          || s->total > SNAPSHOT_BYTES_MAX || s->index == 0
          || s->last_term > m->term
          || lg_stop_if_wiped (c, s->voter, s->formed_term))
        return;
      lg_become_follower (c, m->term, m->from);
      c->last_contact = c->now;
      lg_reset_deadline (c);
      answer.sent = s->sent;
      if (s->index > c->commit && add_chunk (c, m))
        install_snapshot (c, m);
      answer.done = s->index <= c->commit;
      answer.offset = answer.done ? s->total : c->incoming.bytes.len;
    }
  struct lg_msg *out = lg_send (c, LG_SNAPSHOT_ANSWER, m->from, true);
  out->u.snapshot_answer = answer;
}
