/* Terms, votes and the election timeout.  */

#include <assert.h>

#include "ledger/core-state.h"

/* The turn of this member among the voters, from 0.  Members that do not vote
   come last.  */
static size_t
election_rank (const struct lg_core *c)
{
  size_t voters = lg_members_voters (&c->members);
  size_t before = 0;

  if (!lg_members_voter (&c->members, c->id))
    return voters;
  for (size_t i = 0; i < c->members.len; i++)
    before += c->members.item[i].voter && c->members.item[i].id < c->id;
  return (before + (size_t) (c->term % voters)) % voters;
}

void
lg_reset_deadline (struct lg_core *c)
{
  zp_time step
      = lg_log_last (&c->log) == 0 ? LG_FOUNDING_STAGGER : LG_ELECTION_STAGGER;

  c->deadline = c->now + LG_ELECTION_MIN + (zp_time) election_rank (c) * step
                + (zp_time) zp_rng_below (c->rng, LG_ELECTION_JITTER);
}

/* Gives up what only a leader has.  */
static void
end_leadership (struct lg_core *c)
{
  for (size_t i = 0; i < c->peers; i++)
    lg_end_transfer (&c->peer[i]);
  for (size_t i = 0; i < c->proposals; i++)
    lg_reply (c, c->proposal[i].id, LG_REPLY_UNKNOWN, c->proposal[i].index,
              "this member leads no longer");
  c->proposals = 0;
  lg_reset_deadline (c);
}

void
lg_become_follower (struct lg_core *c, uint64_t term, uint64_t leader)
{
  assert (term >= c->term);
  enum lg_role before = c->role;
  if (term > c->term)
    {
      c->term = term;
      c->vote = 0;
      lg_mark_dirty (c);
    }
  c->role = LG_FOLLOWER;
  c->leader = leader;
  if (before == LG_LEADER)
    end_leadership (c);
}

/* Notes the first vote of this member for a leader of a new group.  The vote
   has to be of the term itself: a member whose storage was wiped learns the
   term of the group from any message.  */
static void
note_first_vote (struct lg_core *c, uint64_t last_index)
{
  if (last_index > 0 || c->first_vote_term > 0)
    return;
  c->first_vote_term = c->term;
  c->rewrite = true;
}

/* Candidate.  */

/* A voter whose own removal is not committed has to stand for election, as the
   others may lack the entry that removes it and need its vote.  */
bool
lg_may_campaign (const struct lg_core *c)
{
  struct lg_members before;

  if (lg_members_voter (&c->members, c->id))
    return true;
  if (c->members_index <= c->commit)
    return false;
  lg_log_members (&c->log, c->members_index - 1, &before);
  return lg_members_voter (&before, c->id);
}

static struct lg_vote_request
make_vote_request (const struct lg_core *c, bool pre)
{
  return (struct lg_vote_request){ .pre_vote = pre,
                                   .voter = true,
                                   .last_index = lg_log_last (&c->log),
                                   .last_term = lg_log_last_term (&c->log),
                                   .formed_term = c->members.formed_term };
}

/* Asks for votes; a pre-vote leaves the term alone, so that a member that was
   cut off does not disturb a leader with a higher term when it returns.  */
void
lg_campaign (struct lg_core *c, bool pre)
{
  c->leader = 0;
  c->role = pre ? LG_PRE_CANDIDATE : LG_CANDIDATE;
  if (!pre)
    {
      c->term++;
      c->vote = c->id;
      note_first_vote (c, lg_log_last (&c->log));
      lg_mark_dirty (c);
      c->vote_write = lg_covering_write (c);
    }
  lg_reset_deadline (c);
  for (size_t i = 0; i < c->peers; i++)
    {
      struct lg_peer *p = &c->peer[i];
      p->granted = false;
      if (!p->voter)
        continue;
      struct lg_msg *m = lg_send (c, LG_VOTE_REQUEST, p->id, true);
      m->term = c->term + pre;
      m->u.vote_request = make_vote_request (c, pre);
    }
  lg_count_votes (c);
}

static void
become_leader (struct lg_core *c)
{
  c->role = LG_LEADER;
  c->leader = c->id;
  c->leader_since = c->now;
  c->next_heartbeat = c->now + LG_HEARTBEAT;
  c->send_heartbeat = true;
  for (size_t i = 0; i < c->peers; i++)
    {
      struct lg_peer *p = &c->peer[i];
      p->match = 0;
      p->next = lg_log_last (&c->log) + 1;
      p->probing = true;
      p->acked_sent = LG_TIME_MIN;
      p->progress = c->now;
    }
  if (lg_log_last (&c->log) > 0)
    {
      lg_leader_append (c, LG_ENTRY_EMPTY, ZP_STR (""));
      return;
    }
  struct lg_members first = c->members;
  struct zp_buf bytes = { .ptr = NULL };
  first.formed_term = c->term;
  lg_members_encode (&first, &bytes);
  lg_leader_append (c, LG_ENTRY_MEMBERS, zp_str_of (&bytes));
  zp_buf_free (&bytes);
}

void
lg_count_votes (struct lg_core *c)
{
  bool pre = c->role == LG_PRE_CANDIDATE;
  size_t voters = lg_members_voters (&c->members);
  size_t votes = lg_members_voter (&c->members, c->id)
                 && (pre || c->synced >= c->vote_write);

  if (!pre && c->role != LG_CANDIDATE)
    return;
  for (size_t i = 0; i < c->peers; i++)
    votes += c->peer[i].voter && c->peer[i].granted;
  /* A majority is not enough while the group has no log: then a member whose
     storage was wiped could help to form a second group.  */
  size_t need = lg_log_last (&c->log) == 0 ? voters : voters / 2 + 1;
  if (votes < need)
    return;
  if (pre)
    lg_campaign (c, false);
  else
    become_leader (c);
}

void
lg_on_vote_answer (struct lg_core *c, const struct lg_msg *m)
{
  const struct lg_vote_answer *a = &m->u.vote_answer;
  struct lg_peer *p = lg_peer_find (c, m->from);

  if (!a->granted)
    {
      if (m->term > c->term)
        lg_become_follower (c, m->term, 0);
      return;
    }
  if (!p
      || (a->pre_vote ? c->role != LG_PRE_CANDIDATE || m->term != c->term + 1
                      : c->role != LG_CANDIDATE || m->term != c->term))
    return;
  p->granted = true;
  lg_count_votes (c);
}

/* Voter.  */

/* Whether a leader may hold a lease that this member has supported.  */
static bool
supports_lease (const struct lg_core *c)
{
  _Static_assert(LG_LEASE * (100 + 2 * ZP_CLOCK_RATE_ERROR_PERCENT)
                     < LG_VOTE_HOLDOFF * 100,
                 "a lease has to end before its supporters vote again");
  _Static_assert(LG_VOTE_HOLDOFF <= LG_ELECTION_MIN,
                 "a candidate does not support a lease itself");
  if (c->role == LG_LEADER)
    return lg_core_has_lease (c, c->now);
  return c->now < c->last_contact + LG_VOTE_HOLDOFF;
}

/* Whether this member was not part of the first election of a group with this
   FORMED and has nothing of its log.  */
static bool
lacks_state_of (const struct lg_core *c, uint64_t formed_term)
{
  return lg_log_last (&c->log) == 0
         && (c->first_vote_term == 0 || c->first_vote_term > formed_term);
}

bool
lg_stop_if_wiped (struct lg_core *c, bool voter, uint64_t formed_term)
{
  if (!voter || !lacks_state_of (c, formed_term))
    return false;
  lg_stop (c, LG_STOP_WIPED, 0);
  return true;
}

static bool
log_up_to_date (const struct lg_core *c, const struct lg_vote_request *a)
{
  uint64_t term = lg_log_last_term (&c->log);

  if (a->last_index == 0)
    return lg_log_last (&c->log) == 0 && c->members.len > 0;
  if (lacks_state_of (c, a->formed_term))
    return false;
  return a->last_term > term
         || (a->last_term == term && a->last_index >= lg_log_last (&c->log));
}

void
lg_on_vote_request (struct lg_core *c, const struct lg_msg *m)
{
  const struct lg_vote_request *a = &m->u.vote_request;
  bool free_to_vote = !supports_lease (c);
  bool granted = false;

  if (a->pre_vote)
    granted = m->term > c->term;
  else if (free_to_vote && m->term >= c->term)
    {
      if (m->term > c->term)
        lg_become_follower (c, m->term, 0);
      granted = c->vote == 0 || c->vote == m->from;
    }
  /* The asking member's set decides, not the own: the entry that made this
     member a voter may not have arrived yet.  A learner is never asked with
     this flag.  */
  granted = granted && free_to_vote && a->voter && log_up_to_date (c, a);
  if (granted && !a->pre_vote)
    {
      c->vote = m->from;
      note_first_vote (c, a->last_index);
      lg_mark_dirty (c);
      lg_reset_deadline (c);
    }
  struct lg_msg *answer = lg_send (c, LG_VOTE_ANSWER, m->from, true);
  answer->term = granted ? m->term : c->term;
  answer->u.vote_answer
      = (struct lg_vote_answer){ .pre_vote = a->pre_vote, .granted = granted };
}
