/* Append messages, their answers, the commit index and the leader's lease.  */

#include <assert.h>

#include "ledger/core-state.h"

/* Leader: lease and commit.  */

/* Returns the largest value that a majority of the voters has reached: VALUE
   gives that of another voter, and OWN is that of this member, which counts
   only when it is a voter.  NONE is returned when there is no voter.  */
static int64_t
majority_value (const struct lg_core *c, int64_t own,
                int64_t (*value) (const struct lg_peer *p), int64_t none)
{
  int64_t sorted[LG_MEMBERS_MAX] = { 0 };
  size_t n = 0;

  for (size_t i = 0; i <= c->peers; i++)
    {
      bool self = i == c->peers;
      if (self ? !lg_members_voter (&c->members, c->id) : !c->peer[i].voter)
        continue;
      int64_t v = self ? own : value (&c->peer[i]);
      size_t at = n++;
      for (; at > 0 && sorted[at - 1] < v; at--)
        sorted[at] = sorted[at - 1];
      sorted[at] = v;
    }
  return n > 0 ? sorted[n / 2] : none;
}

static int64_t
acked_sent_of (const struct lg_peer *p)
{
  return p->acked_sent;
}

static int64_t
match_of (const struct lg_peer *p)
{
  return (int64_t) p->match;
}

zp_time
lg_lease_until (const struct lg_core *c)
{
  /* The own answer never expires.  */
  zp_time t = majority_value (c, ZP_NEVER / 2, acked_sent_of, LG_TIME_MIN);

  return t + LG_LEASE;
}

void
lg_advance_commit (struct lg_core *c)
{
  uint64_t n = (uint64_t) majority_value (c, (int64_t) c->durable, match_of,
                                          (int64_t) c->commit);

  /* Only an entry of the current term is committed by counting copies: an
     older entry can still be replaced by a later leader although a majority
     has it.  */
  if (n <= c->commit || lg_log_term (&c->log, n) != c->term)
    return;
  c->commit = n;
  c->send_heartbeat = true;
}

/* Leader: sending.  */

void
lg_leader_append (struct lg_core *c, enum lg_entry_kind kind,
                  struct zp_str bytes)
{
  assert (c->role == LG_LEADER);
  lg_log_append (&c->log, c->term, kind, bytes);
  c->send_entries = true;
  if (kind == LG_ENTRY_MEMBERS)
    lg_refresh_members (c);
}

/* Sends an append with the entries after PREV that fit into one message, or
   with no entries.  Returns the number of entries.  */
static size_t
send_append (struct lg_core *c, struct lg_peer *p, uint64_t prev, bool entries)
{
  struct lg_msg *m = lg_send (c, LG_APPEND, p->id, false);
  struct lg_append *a = &m->u.append;

  *a = (struct lg_append){ .voter = p->voter,
                           .formed_term = c->members.formed_term,
                           .prev_index = prev,
                           .prev_term = lg_log_term (&c->log, prev),
                           .commit = c->commit,
                           .sent = c->now };
  if (entries)
    lg_log_copy (&c->log, prev + 1, LG_BATCH_BYTES, LG_BATCH_ENTRIES,
                 &a->entries);
  return a->entries.len;
}

/* Whether the flow-control window of P allows another append.  */
static bool
window_has_room (const struct lg_core *c, const struct lg_peer *p)
{
  uint64_t from = p->match + 1;

  if (from <= c->log.base_index)
    from = c->log.base_index + 1;
  return lg_log_bytes (&c->log, from, p->next - 1) < LG_WINDOW_BYTES;
}

void
lg_replicate (struct lg_core *c, struct lg_peer *p, bool heartbeat)
{
  bool sent = false;

  if (p->transfer || p->next <= c->log.base_index)
    {
      if (!p->transfer || c->now >= p->chunk_sent + LG_RESEND)
        lg_send_chunk (c, p);
      /* The answers to heartbeats extend the lease during a transfer too.  A
         refusal is ignored then.  */
      if (heartbeat)
        send_append (c, p, lg_log_last (&c->log), false);
      return;
    }
  if (!p->probing && p->next - 1 > p->match
      && c->now >= p->progress + LG_RESEND)
    {
      p->probing = true;
      p->next = p->match + 1;
      p->progress = c->now;
      lg_replicate (c, p, heartbeat);
      return;
    }
  if (p->probing)
    {
      if (heartbeat)
        send_append (c, p, p->next - 1, true);
      return;
    }
  if (p->next - 1 == p->match)
    p->progress = c->now;
  while (p->next <= lg_log_last (&c->log) && window_has_room (c, p))
    {
      p->next += send_append (c, p, p->next - 1, true);
      sent = true;
    }
  if (heartbeat && !sent)
    send_append (c, p, p->next - 1, false);
}

void
lg_broadcast (struct lg_core *c)
{
  bool heartbeat = c->send_heartbeat;

  if (!heartbeat && !c->send_entries)
    return;
  c->send_heartbeat = false;
  c->send_entries = false;
  for (size_t i = 0; i < c->peers; i++)
    lg_replicate (c, &c->peer[i], heartbeat);
}

void
lg_on_append_answer (struct lg_core *c, const struct lg_msg *m)
{
  const struct lg_append_answer *a = &m->u.append_answer;
  struct lg_peer *p = lg_peer_find (c, m->from);

  if (m->term > c->term)
    {
      lg_become_follower (c, m->term, 0);
      return;
    }
  if (c->role != LG_LEADER || !p || m->term < c->term
      || a->match > lg_log_last (&c->log))
    return;
  if (a->sent > p->acked_sent && a->sent <= c->now)
    p->acked_sent = a->sent;
  if (a->ok)
    {
      if (a->match > p->match)
        {
          p->match = a->match;
          p->progress = c->now;
          lg_advance_commit (c);
        }
      if (p->next <= p->match)
        p->next = p->match + 1;
      if (p->next > c->log.base_index)
        lg_end_transfer (p);
      p->probing = false;
    }
  else
    {
      /* A refusal that is older than the newest acknowledgement is stale.  */
      if (p->transfer || a->prev_index <= p->match || a->match < p->match)
        return;
      p->next = a->match + 1;
      p->probing = true;
    }
  lg_replicate (c, p, !a->ok);
}

/* Follower.  */

/* After a mismatch at the previous entry of A, returns the last index at which
   the log can still match that of the leader.  The uncommitted entries with
   the term of the mismatch are skipped at once.  */
static uint64_t
highest_possible_match (const struct lg_core *c, const struct lg_append *a)
{
  uint64_t last = lg_log_last (&c->log);

  if (a->prev_index > last)
    return last;
  if (a->prev_index == 0)
    return 0;
  uint64_t i = a->prev_index;
  uint64_t term = lg_log_term (&c->log, i);
  while (i > c->commit + 1 && lg_log_term (&c->log, i - 1) == term)
    i--;
  return i - 1;
}

/* Adds the entries of A that are not in the log yet.  An entry with another
   term than that of A is removed first, with all later ones.  */
static void
store_entries (struct lg_core *c, const struct lg_append *a)
{
  bool members = false;

  for (size_t i = 0; i < a->entries.len; i++)
    {
      const struct lg_entry *e = &a->entries.item[i];
      uint64_t index = a->prev_index + 1 + i;
      if (index <= c->log.base_index)
        continue;
      if (index <= lg_log_last (&c->log))
        {
          if (lg_log_term (&c->log, index) == e->term)
            continue;
          lg_truncate (c, index);
        }
      lg_log_append (&c->log, e->term, e->kind, zp_str_of (&e->bytes));
      members = members || e->kind == LG_ENTRY_MEMBERS;
    }
  if (members)
    lg_refresh_members (c);
}

/* Whether the terms of the entries never decrease and are not above that of
   the message, their member sets can be decoded, and none of them conflicts
   with a committed entry.  */
static bool
entries_valid (const struct lg_core *c, const struct lg_msg *m)
{
  const struct lg_append *a = &m->u.append;
  uint64_t term = a->prev_term;

  for (size_t i = 0; i < a->entries.len; i++)
    {
      const struct lg_entry *e = &a->entries.item[i];
      uint64_t index = a->prev_index + 1 + i;
      struct lg_members members;
      if (e->term < term || e->term > m->term)
        return false;
      if (e->kind == LG_ENTRY_MEMBERS
          && !lg_members_decode (&members, zp_str_of (&e->bytes)))
        return false;
      if (index >= c->log.base_index && index <= c->commit
          && lg_log_term (&c->log, index) != e->term)
        return false;
      term = e->term;
    }
  return true;
}

void
lg_on_append (struct lg_core *c, const struct lg_msg *m)
{
  const struct lg_append *a = &m->u.append;
  struct lg_append_answer answer = { .prev_index = a->prev_index };

  if (m->term >= c->term)
    {
      /* A second leader in the current term, or entries that conflict with
         committed ones, come from a faulty member and are ignored.  */
      if ((m->term == c->term && c->role == LG_LEADER) || !entries_valid (c, m)
          || lg_stop_if_wiped (c, a->voter, a->formed_term))
        return;
      lg_become_follower (c, m->term, m->from);
      c->last_contact = c->now;
      if (a->commit > c->leader_commit)
        c->leader_commit = a->commit;
      lg_reset_deadline (c);
      answer.sent = a->sent;
      bool before_base = a->prev_index < c->log.base_index;
      answer.ok = before_base
                  || (lg_log_has_term (&c->log, a->prev_index)
                      && lg_log_term (&c->log, a->prev_index) == a->prev_term);
      if (answer.ok)
        {
          store_entries (c, a);
          answer.match = a->prev_index + a->entries.len;
          if (answer.match < c->log.base_index)
            answer.match = c->log.base_index;
          uint64_t commit
              = a->commit < answer.match ? a->commit : answer.match;
          if (commit > c->commit)
            c->commit = commit;
        }
      else
        answer.match = highest_possible_match (c, a);
    }
  struct lg_msg *out = lg_send (c, LG_APPEND_ANSWER, m->from, true);
  out->u.append_answer = answer;
}
