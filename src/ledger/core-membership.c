/* Changes of the member set, one at a time.  */

#include <assert.h>

#include "ledger/core-state.h"

struct lg_peer *
lg_peer_find (struct lg_core *c, uint64_t id)
{
  for (size_t i = 0; i < c->peers; i++)
    if (c->peer[i].id == id)
      return &c->peer[i];
  return NULL;
}

void
lg_refresh_members (struct lg_core *c)
{
  struct lg_peer updated[LG_MEMBERS_MAX];
  size_t n = 0;

  c->members_index
      = lg_log_members (&c->log, lg_log_last (&c->log), &c->members);
  for (size_t i = 0; i < c->members.len; i++)
    {
      const struct lg_member *m = &c->members.item[i];
      if (m->id == c->id)
        continue;
      struct lg_peer *old = lg_peer_find (c, m->id);
      updated[n] = old ? *old
                       : (struct lg_peer){ .id = m->id,
                                           .probing = true,
                                           .next = lg_log_last (&c->log) + 1,
                                           .acked_sent = LG_TIME_MIN,
                                           .progress = c->now };
      updated[n++].voter = m->voter;
    }
  for (size_t i = 0; i < c->peers; i++)
    if (!lg_members_find (&c->members, c->peer[i].id))
      lg_end_transfer (&c->peer[i]);
  c->peers = n;
  for (size_t i = 0; i < n; i++)
    c->peer[i] = updated[i];
  lg_emit (c, LG_OUT_MEMBERS)->u.members = c->members;
}

/* Applies CHANGE to MEMBERS.  Returns NULL, or the reason why it is refused.
 */
static const char *
apply_change (struct lg_core *c, const struct lg_change *change,
              struct lg_members *members)
{
  const struct lg_member *found = lg_members_find (members, change->id);
  const struct lg_peer *p = lg_peer_find (c, change->id);

  switch (change->kind)
    {
    case LG_ADD_LEARNER:
      if (found)
        return "the id is already a member";
      if (!lg_members_put (members, change->id, false, change->address))
        return "the member set is full, or the id or address is not valid";
      return NULL;
    case LG_PROMOTE:
      if (!found || !p)
        return "the id is not a learner";
      if (found->voter)
        return "the member is already a voter";
      /* A voter that lacks committed entries would count for majorities while
         the group has fewer copies of the state than its size implies.  */
      if (p->match < c->commit || p->transfer)
        return "the learner has not received the state yet";
      lg_members_put (members, change->id, true, zp_str_from (found->address));
      return NULL;
    case LG_REMOVE:
      if (!found)
        return "the id is not a member";
      if (found->voter && lg_members_voters (members) == 1)
        return "the last voter cannot be removed";
      lg_members_remove (members, change->id);
      return NULL;
    }
  return "unknown kind of change";
}

void
lg_core_change (struct lg_core *c, zp_time now, uint64_t proposal,
                const struct lg_change *change)
{
  struct lg_members next = c->members;
  const char *reason = NULL;

  c->now = now;
  if (!lg_core_has_lease (c, now))
    reason
        = c->role == LG_LEADER ? "the leader has no lease" : "not the leader";
  /* Until an entry of the current term is committed, other members may still
     use a change by an earlier leader.  */
  else if (c->members_index > c->commit
           || lg_log_term (&c->log, c->commit) != c->term)
    reason = "an earlier change is not committed yet";
  else
    reason = apply_change (c, change, &next);
  if (reason)
    {
      lg_reply (c, proposal, LG_REPLY_REFUSED, 0, reason);
      return;
    }
  struct zp_buf bytes = { .ptr = NULL };
  lg_members_encode (&next, &bytes);
  lg_leader_append (c, LG_ENTRY_MEMBERS, zp_str_of (&bytes));
  zp_buf_free (&bytes);
  lg_add_proposal (c, proposal);
}
