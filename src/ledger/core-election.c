/* Terms, votes and the election timeout.  */

#include <assert.h>

#include "ledger/core-state.h"

/* Returns the position of this member, from 0, in the order in which the
   voters time out.  Members that are no voters come last.  */
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
  zp_time stagger
      = lg_log_last (&c->log) == 0 ? LG_FOUNDING_STAGGER : LG_ELECTION_STAGGER;

  c->deadline = c->now + LG_ELECTION_MIN
                + (zp_time) election_rank (c) * stagger
                + (zp_time) zp_rng_below (c->rng, LG_ELECTION_JITTER);
}

/* Ends the transfers and the open proposals of a former leader.  */
static void
end_leadership (struct lg_core *c)
{
  for (size_t i = 0; i < c->peers; i++)
    lg_end_transfer (&c->peer[i]);
  for (size_t i = 0; i < c->proposals; i++)
    lg_reply (c, c->proposal[i].id, LG_REPLY_UNKNOWN, c->proposal[i].index,
              "this member is no longer the leader");
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

/* Records the term of this member's first vote for the leader of a new group;
   LAST_INDEX is that of the candidate.  The term of a vote is needed, not just
   a term, because a member whose storage was wiped learns the current term
   from any message.  */
static void
note_first_vote (struct lg_core *c, uint64_t last_index)
{
  if (last_index > 0 || c->first_vote_term > 0)
    return;
  c->first_vote_term = c->term;
  c->rewrite = true;
}

/* Candidate.  */

/* A voter whose removal is not committed yet may still become a candidate: the
   other members may lack the entry that removes it and need its vote.  */
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
make_vote_request (const struct lg_core *c, bool pre_vote)
{
  return (struct lg_vote_request){ .pre_vote = pre_vote,
                                   .voter = true,
                                   .last_index = lg_log_last (&c->log),
                                   .last_term = lg_log_last_term (&c->log),
                                   .formed_term = c->members.formed_term };
}

/* A pre-vote does not change the term, so that a member that was cut off does
   not force an election with a higher term when it reconnects.  */
void
lg_campaign (struct lg_core *c, bool pre_vote)
{
  c->leader = 0;
  c->role = pre_vote ? LG_PRE_CANDIDATE : LG_CANDIDATE;
  if (!pre_vote)
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
      m->term = c->term + pre_vote;
      m->u.vote_request = make_vote_request (c, pre_vote);
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
  bool pre_vote = c->role == LG_PRE_CANDIDATE;
  size_t voters = lg_members_voters (&c->members);
  size_t votes = lg_members_voter (&c->members, c->id)
                 && (pre_vote || c->synced >= c->vote_write);

  if (!pre_vote && c->role != LG_CANDIDATE)
    return;
  for (size_t i = 0; i < c->peers; i++)
    votes += c->peer[i].voter && c->peer[i].granted;
  /* With an empty log, a majority is not enough: members whose storage was
     wiped could form a second group in addition to the existing one.  */
  size_t need = lg_log_last (&c->log) == 0 ? voters : voters / 2 + 1;
  if (votes < need)
    return;
  if (pre_vote)
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

/* Whether a leader may hold a lease that counts an answer of this member.  */
static bool
supports_lease (const struct lg_core *c)
{
  _Static_assert(LG_LEASE * (100 + 2 * ZP_CLOCK_RATE_ERROR_PERCENT)
                     < LG_VOTE_HOLDOFF * 100,
                 "a lease has to end before its voters may vote again");
  _Static_assert(LG_VOTE_HOLDOFF <= LG_ELECTION_MIN,
                 "a lease has to end before its voters become candidates");
  if (c->role == LG_LEADER)
    return lg_core_has_lease (c, c->now);
  return c->now < c->last_contact + LG_VOTE_HOLDOFF;
}

/* Whether the log is empty and this member had not voted yet when the group
   was formed in FORMED_TERM.  */
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

/* Whether the candidate's log is at least as up to date as the own one.  False
   also when the own storage was wiped.  */
static bool
log_up_to_date (const struct lg_core *c, const struct lg_vote_request *r)
{
  uint64_t term = lg_log_last_term (&c->log);

  if (r->last_index == 0)
    return lg_log_last (&c->log) == 0 && c->members.len > 0;
  if (lacks_state_of (c, r->formed_term))
    return false;
  return r->last_term > term
         || (r->last_term == term && r->last_index >= lg_log_last (&c->log));
}

void
lg_on_vote_request (struct lg_core *c, const struct lg_msg *m)
{
  const struct lg_vote_request *r = &m->u.vote_request;
  bool free_to_vote = !supports_lease (c);
  bool granted = false;

  if (r->pre_vote)
    granted = m->term > c->term;
  else if (free_to_vote && m->term >= c->term)
    {
      if (m->term > c->term)
        lg_become_follower (c, m->term, 0);
      granted = c->vote == 0 || c->vote == m->from;
    }
  /* Whether this member is a voter is taken from the candidate's member set,
     not from the own one: the entry that made this member a voter may not have
     arrived yet.  No candidate sets the flag for a learner.  */
  granted = granted && free_to_vote && r->voter && log_up_to_date (c, r);
  if (granted && !r->pre_vote)
    {
      c->vote = m->from;
      note_first_vote (c, r->last_index);
      lg_mark_dirty (c);
      lg_reset_deadline (c);
    }
  struct lg_msg *answer = lg_send (c, LG_VOTE_ANSWER, m->from, true);
  answer->term = granted ? m->term : c->term;
  answer->u.vote_answer
      = (struct lg_vote_answer){ .pre_vote = r->pre_vote, .granted = granted };
}
