/* Inputs, outputs and status of the consensus core.  */

#include "ledger/core.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "ledger/core-state.h"

/* Proposals and committed entries.  */

void
lg_reply (struct lg_core *c, uint64_t proposal, enum lg_reply_kind kind,
          uint64_t index, const char *reason)
{
  struct lg_out *o = lg_emit (c, LG_OUT_REPLY);

  o->u.reply = (struct lg_reply){ .proposal = proposal,
                                  .kind = kind,
                                  .index = index,
                                  .leader = c->leader,
                                  .reason = reason };
}

static void
reply_committed (struct lg_core *c)
{
  size_t n = 0;

  while (n < c->proposals && c->proposal[n].index <= c->applied)
    {
      lg_reply (c, c->proposal[n].id, LG_REPLY_COMMITTED, c->proposal[n].index,
                NULL);
      n++;
    }
  c->proposals -= n;
  if (n > 0)
    memmove (c->proposal, c->proposal + n, c->proposals * sizeof *c->proposal);
}

void
lg_apply (struct lg_core *c)
{
  uint64_t limit = c->commit < c->durable ? c->commit : c->durable;

  if (c->role == LG_STOPPED || c->synced < c->restore_write)
    return;
  while (c->applied < limit)
    {
      const struct lg_entry *e = lg_log_at (&c->log, ++c->applied);
      struct lg_out *o = lg_emit (c, LG_OUT_COMMITTED);
      o->u.committed = *e;
      o->u.committed.bytes = zp_buf_from (zp_str_of (&e->bytes));
      reply_committed (c);
    }
  /* A leader that is removed from the voters leads until the change is
     committed.  */
  if (c->role == LG_LEADER && c->applied >= c->members_index
      && !lg_members_voter (&c->members, c->id))
    lg_become_follower (c, c->term, 0);
  lg_trigger_snapshot (c);
}

void
lg_add_proposal (struct lg_core *c, uint64_t proposal)
{
  uint64_t index = lg_log_last (&c->log);

  if (c->proposals == c->proposals_cap)
    {
      c->proposals_cap = c->proposals_cap > 0 ? c->proposals_cap * 2 : 16;
      c->proposal
          = zp_realloc (c->proposal, c->proposals_cap * sizeof *c->proposal);
    }
  c->proposal[c->proposals++]
      = (struct lg_proposal){ .id = proposal, .index = index };
  lg_reply (c, proposal, LG_REPLY_ACCEPTED, index, NULL);
}

void
lg_core_propose (struct lg_core *c, zp_time now, uint64_t proposal,
                 struct zp_str bytes)
{
  c->now = now;
  if (c->role != LG_LEADER || !lg_core_has_lease (c, now))
    {
      lg_reply (c, proposal, LG_REPLY_REFUSED, 0,
                c->role == LG_LEADER ? "the leader has no lease"
                                     : "not the leader");
      return;
    }
  if (bytes.len > LG_ENTRY_MAX)
    {
      lg_reply (c, proposal, LG_REPLY_REFUSED, 0, "the proposal is too large");
      return;
    }
  if (lg_log_bytes (&c->log, c->commit + 1, lg_log_last (&c->log))
      > LG_UNCOMMITTED_BYTES)
    {
      lg_reply (c, proposal, LG_REPLY_REFUSED, 0,
                "too many uncommitted entries");
      return;
    }
  lg_leader_append (c, LG_ENTRY_DATA, bytes);
  lg_add_proposal (c, proposal);
}

/* Other inputs.  */

void
lg_core_receive (struct lg_core *c, zp_time now, const struct lg_msg *m)
{
  if (c->role == LG_STOPPED || m->to != c->id || m->from == c->id
      || m->from == 0)
    return;
  c->now = now;
  switch (m->kind)
    {
    case LG_VOTE_REQUEST:
      lg_on_vote_request (c, m);
      break;
    case LG_VOTE_ANSWER:
      lg_on_vote_answer (c, m);
      break;
    case LG_APPEND:
      lg_on_append (c, m);
      break;
    case LG_APPEND_ANSWER:
      lg_on_append_answer (c, m);
      break;
    case LG_SNAPSHOT:
      lg_on_snapshot (c, m);
      break;
    case LG_SNAPSHOT_ANSWER:
      lg_on_snapshot_answer (c, m);
      break;
    }
  lg_apply (c);
}

void
lg_core_fail (struct lg_core *c, zp_time now, int error)
{
  c->now = now;
  if (c->stop == LG_RUNNING || c->stop == LG_STOP_DISK)
    lg_stop (c, LG_STOP_STATE, error);
}

static void
tick_leader (struct lg_core *c)
{
  zp_time lease_end = lg_lease_until (c);

  if (lease_end < c->leader_since)
    lease_end = c->leader_since;
  /* A leader without a majority steps down LG_ELECTION_MIN after the end of
     its lease, so that it no longer names itself as the leader.  */
  if (c->now >= lease_end + LG_ELECTION_MIN)
    {
      lg_become_follower (c, c->term, 0);
      return;
    }
  if (c->now < c->next_heartbeat)
    return;
  c->next_heartbeat = c->now + LG_HEARTBEAT;
  c->send_heartbeat = true;
}

void
lg_core_tick (struct lg_core *c, zp_time now)
{
  c->now = now;
  switch (c->role)
    {
    case LG_LEADER:
      tick_leader (c);
      break;
    case LG_FOLLOWER:
    case LG_PRE_CANDIDATE:
    case LG_CANDIDATE:
      if (now >= c->deadline && lg_may_campaign (c))
        lg_campaign (c, true);
      break;
    case LG_STOPPED:
      if (now >= c->retry_at)
        lg_retry_writes (c);
      break;
    }
}

zp_time
lg_core_next_tick (const struct lg_core *c)
{
  switch (c->role)
    {
    case LG_LEADER:
      return c->next_heartbeat;
    case LG_FOLLOWER:
    case LG_PRE_CANDIDATE:
    case LG_CANDIDATE:
      return lg_may_campaign (c) ? c->deadline : ZP_NEVER;
    case LG_STOPPED:
      return c->retry_at;
    }
  return ZP_NEVER;
}

static void
report_role (struct lg_core *c)
{
  struct lg_role_change current = { .role = c->role,
                                    .stop = c->stop,
                                    .error = c->error,
                                    .term = c->term,
                                    .leader = c->leader };

  if (c->reported_role.role == current.role
      && c->reported_role.stop == current.stop
      && c->reported_role.term == current.term
      && c->reported_role.leader == current.leader)
    return;
  c->reported_role = current;
  lg_emit (c, LG_OUT_ROLE)->u.role = current;
}

struct lg_out *
lg_core_next_out (struct lg_core *c)
{
  if (!c->out.head)
    {
      /* Appends are sent before the own write is issued, so that the other
         members write at the same time.  */
      if (c->role == LG_LEADER)
        lg_broadcast (c);
      lg_issue_changes (c);
      report_role (c);
    }
  return lg_queue_take (&c->out);
}

/* Creation and release.  */

struct lg_core *
lg_core_new (const struct lg_init_state *init, zp_time now, struct zp_rng *rng)
{
  struct lg_core *c = zp_alloc (sizeof *c);

  assert (init->id != 0);
  *c = (struct lg_core){ .id = init->id,
                         .rng = rng,
                         .now = now,
                         .rewrite = init->rewrite || init->fresh,
                         .dirty = init->rewrite,
                         .first_vote_term = init->first_vote_term,
                         .term = init->term,
                         .vote = init->vote,
                         /* Before a restart this member may have answered a
                            leader, whose lease can still be valid; fresh
                            storage has never answered one.  */
                         .last_contact = init->fresh ? LG_TIME_MIN : now,
                         .snapshot_entries = init->snapshot_entries > 0
                                                 ? init->snapshot_entries
                                                 : LG_SNAPSHOT_ENTRIES,
                         .keep_entries = init->keep_entries > 0
                                             ? init->keep_entries
                                             : LG_KEEP_ENTRIES };
  c->log.base_index = init->base_index;
  c->log.base_term = init->base_term;
  c->log.base_members = init->base_members;
  for (size_t i = 0; i < init->entries.len; i++)
    {
      const struct lg_entry *e = &init->entries.item[i];
      assert (e->index == lg_log_last (&c->log) + 1);
      lg_log_append (&c->log, e->term, e->kind, zp_str_of (&e->bytes));
    }
  c->durable = lg_log_last (&c->log);
  c->first_unwritten = c->durable + 1;
  if (init->snapshot)
    {
      c->snapshot = lg_snapshot_ref (init->snapshot);
      c->commit = c->snapshot->index;
      c->applied = c->commit;
      lg_emit (c, LG_OUT_RESTORE)->u.restore = lg_snapshot_ref (c->snapshot);
    }
  lg_refresh_members (c);
  lg_reset_deadline (c);
  return c;
}

void
lg_core_free (struct lg_core *c)
{
  if (!c)
    return;
  for (size_t i = 0; i < c->peers; i++)
    lg_end_transfer (&c->peer[i]);
  lg_queue_free (&c->out);
  lg_queue_free (&c->held);
  lg_log_free (&c->log);
  lg_snapshot_free (c->snapshot);
  lg_snapshot_free (c->new_snapshot);
  zp_buf_free (&c->incoming.bytes);
  free (c->pending);
  free (c->proposal);
  free (c);
}

/* Status.  */

bool
lg_core_has_lease (const struct lg_core *c, zp_time now)
{
  return c->role == LG_LEADER && now < lg_lease_until (c);
}

zp_time
lg_core_silence (const struct lg_core *c, uint64_t id, zp_time now)
{
  if (c->role != LG_LEADER)
    return 0;
  for (size_t i = 0; i < c->peers; i++)
    if (c->peer[i].id == id)
      return now
             - (c->peer[i].acked_sent > c->leader_since ? c->peer[i].acked_sent
                                                        : c->leader_since);
  return 0;
}

bool
lg_core_is_current (const struct lg_core *c, zp_time now)
{
  /* The first entry of a term is appended after all that was committed before
     it.  */
  if (lg_log_term (&c->log, c->applied) != c->term)
    return false;
  switch (c->role)
    {
    case LG_LEADER:
      return lg_core_has_lease (c, now);
    case LG_FOLLOWER:
      return c->leader != 0 && c->applied >= c->leader_commit;
    case LG_PRE_CANDIDATE:
    case LG_CANDIDATE:
    case LG_STOPPED:
      break;
    }
  return false;
}

static zp_time
contact_of (const struct lg_core *c, zp_time now)
{
  if (c->role != LG_LEADER)
    return c->leader != 0 ? c->last_contact : LG_TIME_MIN;
  zp_time t = lg_lease_until (c) - LG_LEASE;
  return t < now ? t : now;
}

struct lg_status
lg_core_status (const struct lg_core *c, zp_time now)
{
  return (struct lg_status){ .role = c->role,
                             .stop = c->stop,
                             .voter = lg_members_voter (&c->members, c->id),
                             .lease = lg_core_has_lease (c, now),
                             .current = lg_core_is_current (c, now),
                             .contact = contact_of (c, now),
                             .term = c->term,
                             .leader = c->leader,
                             .commit = c->commit,
                             .applied = c->applied,
                             .last_index = lg_log_last (&c->log),
                             .snapshot_index
                             = c->snapshot ? c->snapshot->index : 0 };
}

const struct lg_members *
lg_core_members (const struct lg_core *c)
{
  return &c->members;
}
