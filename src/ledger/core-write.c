/* Output queues and disk writes.  Votes and acknowledgements are held until
   the writes that they depend on are synced.  */

#include <assert.h>
#include <string.h>

#include "ledger/core-state.h"

/* Output queues.  */

static void
queue_put (struct lg_queue *q, struct lg_out *o)
{
  o->next = NULL;
  if (q->tail)
    q->tail->next = o;
  else
    q->head = o;
  q->tail = o;
}

struct lg_out *
lg_queue_take (struct lg_queue *q)
{
  struct lg_out *o = q->head;

  if (!o)
    return NULL;
  q->head = o->next;
  if (!q->head)
    q->tail = NULL;
  return o;
}

void
lg_queue_free (struct lg_queue *q)
{
  for (struct lg_out *o = lg_queue_take (q); o; o = lg_queue_take (q))
    lg_out_free (o);
}

/* Whether there is durable state that no issued write contains.  */
static bool
has_changes (const struct lg_core *c)
{
  return c->dirty || c->first_unwritten <= lg_log_last (&c->log);
}

uint64_t
lg_covering_write (const struct lg_core *c)
{
  return c->issued + has_changes (c);
}

struct lg_out *
lg_emit (struct lg_core *c, enum lg_out_kind kind)
{
  struct lg_out *o = zp_alloc (sizeof *o);

  o->kind = kind;
  queue_put (&c->out, o);
  return o;
}

struct lg_out *
lg_emit_held (struct lg_core *c, enum lg_out_kind kind)
{
  uint64_t after = lg_covering_write (c);

  if (after <= c->synced)
    return lg_emit (c, kind);
  struct lg_out *o = zp_alloc (sizeof *o);
  o->kind = kind;
  o->after = after;
  queue_put (&c->held, o);
  return o;
}

struct lg_msg *
lg_send (struct lg_core *c, enum lg_msg_kind kind, uint64_t to, bool held)
{
  struct lg_out *o
      = held ? lg_emit_held (c, LG_OUT_MSG) : lg_emit (c, LG_OUT_MSG);

  o->u.msg = (struct lg_msg){
    .kind = kind, .from = c->id, .to = to, .term = c->term
  };
  return &o->u.msg;
}

/* Disk writes.  */

void
lg_mark_dirty (struct lg_core *c)
{
  c->dirty = true;
}

/* Emits a write, for the caller to fill.  LAST is the last entry that it makes
   durable.  */
static struct lg_write *
issue (struct lg_core *c, enum lg_write_kind kind, uint64_t last)
{
  struct lg_out *o = lg_emit (c, LG_OUT_WRITE);

  if (c->pendings == c->pendings_cap)
    {
      c->pendings_cap = c->pendings_cap > 0 ? c->pendings_cap * 2 : 16;
      c->pending
          = zp_realloc (c->pending, c->pendings_cap * sizeof *c->pending);
    }
  c->issued++;
  c->pending[c->pendings++]
      = (struct lg_pending_write){ .number = c->issued, .last_index = last };
  o->u.write.number = c->issued;
  o->u.write.kind = kind;
  o->u.write.retry = c->role == LG_STOPPED && c->issued == c->retry_first;
  return &o->u.write;
}

/* Issues a write of the log file with the entries from FROM on.  */
static void
issue_log (struct lg_core *c, enum lg_write_kind kind, uint64_t from)
{
  struct lg_write *w = issue (c, kind, lg_log_last (&c->log));

  w->u.log = (struct lg_write_log){ .id = c->id,
                                    .first_vote_term = c->first_vote_term,
                                    .term = c->term,
                                    .vote = c->vote,
                                    .base_index = c->log.base_index,
                                    .base_term = c->log.base_term,
                                    .base_members = c->log.base_members };
  lg_log_copy (&c->log, from, UINT64_MAX, SIZE_MAX, &w->u.log.entries);
  c->first_unwritten = lg_log_last (&c->log) + 1;
  c->dirty = false;
}

void
lg_issue_rewrite (struct lg_core *c)
{
  issue_log (c, LG_WRITE_REWRITE, c->log.base_index + 1);
  c->rewrite = false;
}

void
lg_issue_changes (struct lg_core *c)
{
  if (!has_changes (c))
    return;
  if (c->rewrite)
    lg_issue_rewrite (c);
  else
    issue_log (c, LG_WRITE_APPEND, c->first_unwritten);
}

uint64_t
lg_issue_snapshot (struct lg_core *c, struct lg_snapshot *s)
{
  lg_issue_changes (c);
  issue (c, LG_WRITE_SNAPSHOT, s->index)->u.snapshot = lg_snapshot_ref (s);
  return c->issued;
}

void
lg_truncate (struct lg_core *c, uint64_t from)
{
  assert (from > c->commit);
  lg_log_truncate (&c->log, from);
  if (c->durable >= from)
    c->durable = from - 1;
  if (c->first_unwritten > from)
    c->first_unwritten = from;
  for (size_t i = 0; i < c->pendings; i++)
    if (c->pending[i].last_index >= from)
      c->pending[i].last_index = from - 1;
  if (c->members_index >= from)
    lg_refresh_members (c);
}

static void
release_held (struct lg_core *c)
{
  while (c->held.head && c->held.head->after <= c->synced)
    queue_put (&c->out, lg_queue_take (&c->held));
}

void
lg_retry_writes (struct lg_core *c)
{
  assert (c->stop == LG_STOP_DISK);
  c->retry_at = ZP_NEVER;
  c->retry_first = c->issued + 1;
  /* The log file may begin after the snapshot that is on the disk.  */
  if (c->snapshot)
    issue (c, LG_WRITE_SNAPSHOT, c->snapshot->index)->u.snapshot
        = lg_snapshot_ref (c->snapshot);
  lg_issue_rewrite (c);
  c->retry_last = c->issued;
}

/* The whole state is synced.  The member goes on as after a restart: until now
   it may have supported a leader.  */
static void
resume (struct lg_core *c, uint64_t number)
{
  c->role = LG_FOLLOWER;
  c->stop = LG_RUNNING;
  c->error = 0;
  c->retry_at = ZP_NEVER;
  c->pendings = 0;
  c->synced = number;
  c->durable = lg_log_last (&c->log);
  c->last_contact = c->now;
  lg_reset_deadline (c);
  if (c->restore_due)
    lg_emit (c, LG_OUT_RESTORE)->u.restore = lg_snapshot_ref (c->snapshot);
  c->restore_due = false;
  c->restore_write = 0;
  lg_apply (c);
}

/* The result of a write while the member is stopped.  Writes that were issued
   before the failure was known do not count.  */
static void
retry_written (struct lg_core *c, uint64_t number, int error)
{
  if (c->stop != LG_STOP_DISK || c->retry_at != ZP_NEVER
      || number < c->retry_first)
    return;
  if (error != 0)
    {
      c->error = error;
      c->pendings = 0;
      c->retry_at = c->now + LG_DISK_RETRY;
    }
  else if (number == c->retry_last)
    resume (c, number);
}

void
lg_core_written (struct lg_core *c, zp_time now, uint64_t number, int error)
{
  c->now = now;
  if (c->role == LG_STOPPED)
    {
      retry_written (c, number, error);
      return;
    }
  if (error != 0)
    {
      lg_stop (c, LG_STOP_DISK, error);
      return;
    }
  assert (c->pendings > 0 && c->pending[0].number == number);
  uint64_t last = c->pending[0].last_index;
  c->pendings--;
  memmove (c->pending, c->pending + 1, c->pendings * sizeof *c->pending);
  c->synced = number;
  if (last > c->durable)
    c->durable = last;
  release_held (c);
  lg_on_snapshot_written (c, number);
  switch (c->role)
    {
    case LG_LEADER:
      lg_advance_commit (c);
      break;
    case LG_CANDIDATE:
      lg_count_votes (c);
      break;
    case LG_FOLLOWER:
    case LG_PRE_CANDIDATE:
    case LG_STOPPED:
      break;
    }
  lg_apply (c);
}

void
lg_stop (struct lg_core *c, enum lg_stop stop, int error)
{
  lg_become_follower (c, c->term, 0);
  c->role = LG_STOPPED;
  c->stop = stop;
  c->error = error;
  c->retry_at = stop == LG_STOP_DISK ? c->now + LG_DISK_RETRY : ZP_NEVER;
  c->restore_due = c->restore_due || c->synced < c->restore_write;
  c->dirty = false;
  c->send_entries = false;
  c->send_heartbeat = false;
  c->first_unwritten = lg_log_last (&c->log) + 1;
  c->pendings = 0;
  c->snapshot_due = false;
  lg_snapshot_free (c->new_snapshot);
  c->new_snapshot = NULL;
  lg_queue_free (&c->held);
}
