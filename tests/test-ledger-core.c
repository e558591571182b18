#include "harness.h"

#include <errno.h>

#include "ledger-sim.h"

static struct lg_msg
vote_request (uint64_t from, uint64_t term, uint64_t last_index,
              uint64_t last_term)
{
  struct lg_msg m = { .kind = LG_VOTE_REQUEST, .from = from, .term = term };

  m.u.vote_request = (struct lg_vote_request){ .voter = true,
                                               .last_index = last_index,
                                               .last_term = last_term,
                                               .formed_term = 1 };
  return m;
}

/* Elections.  */

/* Guards against a vote that is sent before it is synced: after a crash the
   member could vote for another candidate in the same term.  */
static void
test_vote_waits_for_sync (void)
{
  set_up ();
  sim.instant_disk = false;
  struct fake *f = &sim.member[0];
  struct lg_msg r = request (0, vote_request (2, 1, 0, 0), LG_VOTE_ANSWER);
  CU_ASSERT_EQUAL (r.from, 0);
  CU_ASSERT_EQUAL_FATAL (f->writes, 1);
  lg_core_written (f->core, sim.now, fake_disk_step (f, SIZE_MAX), 0);
  drain (0);
  CU_ASSERT_EQUAL_FATAL (sim.msgs, 1);
  CU_ASSERT (sim.msg[0]->u.msg.u.vote_answer.granted);

  fake_crash (f, f->writes, 0);
  start (0);
  sim.now += LG_VOTE_HOLDOFF;
  sim.instant_disk = true;
  r = request (0, vote_request (3, 1, 0, 0), LG_VOTE_ANSWER);
  CU_ASSERT (r.from == 1 && !r.u.vote_answer.granted);
  r = request (0, vote_request (2, 1, 0, 0), LG_VOTE_ANSWER);
  CU_ASSERT (r.from == 1 && r.u.vote_answer.granted);
  tear_down ();
}

/* Guards against a candidate that counts its own vote before it is synced.
   The test forges the votes of the other two members.  */
static void
test_own_vote_waits_for_sync (void)
{
  struct lg_msg grant = { .kind = LG_VOTE_ANSWER, .term = 1 };

  set_up ();
  sim.instant_disk = false;
  struct fake *f = &sim.member[0];
  grant.u.vote_answer = (struct lg_vote_answer){ true, true };
  sim.now = lg_core_next_tick (f->core);
  lg_core_tick (f->core, sim.now);
  grant.from = 2;
  request (0, grant, LG_VOTE_REQUEST);
  grant.from = 3;
  request (0, grant, LG_VOTE_REQUEST);
  CU_ASSERT_EQUAL (status (0).role, LG_CANDIDATE);
  CU_ASSERT_EQUAL_FATAL (f->writes, 1);
  grant.u.vote_answer.pre_vote = false;
  request (0, grant, LG_VOTE_REQUEST);
  grant.from = 2;
  request (0, grant, LG_VOTE_REQUEST);
  CU_ASSERT_EQUAL (status (0).role, LG_CANDIDATE);
  lg_core_written (f->core, sim.now, fake_disk_step (f, SIZE_MAX), 0);
  CU_ASSERT_EQUAL (status (0).role, LG_LEADER);
  tear_down ();
}

/* Guards against a second leader during the lease of the first one: neither a
   follower with recent contact to the leader nor one that has restarted may
   grant a vote.  */
static void
test_no_vote_during_a_lease (void)
{
  set_up ();
  size_t l = elect (), f = (l + 1) % 3;
  uint64_t from = (l + 2) % 3 + 1, term = status (l).term + 1;
  struct lg_msg m = vote_request (from, term, 100, term);
  struct lg_msg r = request (f, m, LG_VOTE_ANSWER);
  CU_ASSERT (!r.u.vote_answer.granted);
  CU_ASSERT_EQUAL (status (f).term, term - 1);
  fake_crash (&sim.member[f], 0, 0);
  start (f);
  r = request (f, m, LG_VOTE_ANSWER);
  CU_ASSERT (r.from != 0 && !r.u.vote_answer.granted);
  sim.now += LG_LEASE;
  r = request (f, m, LG_VOTE_ANSWER);
  CU_ASSERT (r.from != 0 && !r.u.vote_answer.granted);
  sim.now += LG_VOTE_HOLDOFF - LG_LEASE;
  r = request (f, m, LG_VOTE_ANSWER);
  CU_ASSERT (r.u.vote_answer.granted);
  tear_down ();
}

/* Guards against a leader that still accepts proposals after it was cut off
   for the duration of its lease, also because it counts the lease from the
   answers and not from the requests.  */
static void
test_lease_of_a_cut_off_leader_ends (void)
{
  set_up ();
  size_t l = elect ();
  advance (LG_HEARTBEAT);
  sim.reachable &= ~(1U << l);
  advance (LG_LEASE);
  CU_ASSERT (!lg_core_has_lease (sim.member[l].core, sim.now));
  propose (l, 1);
  CU_ASSERT_EQUAL (sim.refused[l], 1);
  CU_ASSERT_EQUAL (leader (), SIM_MEMBERS);
  size_t next = elect ();
  CU_ASSERT (next != l);
  propose (next, 1);
  CU_ASSERT_EQUAL (sim.committed[next], 1);
  sim.reachable = 7;
  advance (1000 * ZP_MS);
  CU_ASSERT_EQUAL (status (l).role, LG_FOLLOWER);
  CU_ASSERT_EQUAL (sim.applied[l], sim.applied[next]);
  tear_down ();
}

/* Guards against a member that raises the term while it is cut off, and so
   deposes the leader when it reconnects.  */
static void
test_pre_vote_keeps_the_term (void)
{
  set_up ();
  size_t l = elect (), f = (l + 1) % 3;
  uint64_t term = status (l).term;
  sim.reachable &= ~(1U << f);
  advance (20 * ZP_SEC);
  CU_ASSERT_EQUAL (status (f).term, term);
  sim.reachable = 7;
  advance (5 * ZP_SEC);
  CU_ASSERT_EQUAL (leader (), l);
  CU_ASSERT_EQUAL (status (l).term, term);
  tear_down ();
}

/* Guards against a follower that accepts messages from the leader of an
   earlier term.  */
static void
test_older_term_is_refused (void)
{
  struct lg_msg m = { .kind = LG_APPEND, .from = 1, .term = 1 };

  set_up ();
  size_t l = elect ();
  fake_crash (&sim.member[l], 0, 0);
  size_t next = elect (), f = 3 - l - next;
  m.from = l + 1;
  m.u.append
      = (struct lg_append){ .voter = true, .formed_term = 1, .commit = 9 };
  struct lg_msg r = request (f, m, LG_APPEND_ANSWER);
  CU_ASSERT (r.from != 0 && !r.u.append_answer.ok);
  CU_ASSERT_EQUAL (r.term, status (next).term);
  m.kind = LG_SNAPSHOT;
  m.u.snapshot = (struct lg_snapshot_chunk){ .voter = true, .index = 50 };
  r = request (f, m, LG_SNAPSHOT_ANSWER);
  CU_ASSERT (r.from != 0 && !r.u.snapshot_answer.done);
  CU_ASSERT_EQUAL (status (f).leader, next + 1);
  tear_down ();
}

/* Log.  */

static struct lg_msg
append (uint64_t term, uint64_t prev, uint64_t prev_term, uint64_t entry_term,
        uint64_t commit)
{
  struct lg_msg m = { .kind = LG_APPEND, .from = 2, .term = term };
  struct lg_entry e = { .index = prev + 1, .term = entry_term };

  m.u.append = (struct lg_append){ .prev_index = prev,
                                   .prev_term = prev_term,
                                   .commit = commit,
                                   .formed_term = 1 };
  lg_entries_add (&m.u.append.entries, &e);
  return m;
}

/* Guards against an acknowledgement of entries that are not synced yet, also
   when they replace entries that are.  */
static void
test_acknowledgement_waits_for_sync (void)
{
  set_up ();
  sim.instant_disk = false;
  struct fake *f = &sim.member[3];
  struct lg_msg first = append (1, 0, 0, 1, 0);
  struct lg_msg second = append (2, 0, 0, 2, 1);
  CU_ASSERT_EQUAL (request (3, first, LG_APPEND_ANSWER).from, 0);
  lg_core_written (f->core, sim.now, fake_disk_step (f, SIZE_MAX), 0);
  drain (3);
  CU_ASSERT_EQUAL (sim.msgs, 1);
  CU_ASSERT_EQUAL (request (3, second, LG_APPEND_ANSWER).from, 4);
  CU_ASSERT_EQUAL (status (3).commit, 1);
  CU_ASSERT_EQUAL (sim.applied[3], 0);
  lg_core_written (f->core, sim.now, fake_disk_step (f, SIZE_MAX), 0);
  drain (3);
  CU_ASSERT_EQUAL (sim.applied[3], 1);
  lg_msg_clear (&first);
  lg_msg_clear (&second);
  tear_down ();
}

/* Guards against committing an entry of an older term by counting its copies:
   a later leader without the entry could still replace it.  */
static void
test_only_current_term_commits_by_count (void)
{
  set_up ();
  size_t l = elect ();
  sim.reachable = 1U << l;
  propose (l, 3);
  uint64_t old = status (l).last_index;
  uint64_t from = reelect (l);
  acknowledge (l, from, old, sim.now);
  CU_ASSERT (status (l).commit < old);
  acknowledge (l, from, old + 1, sim.now);
  CU_ASSERT_EQUAL (status (l).commit, old + 1);
  tear_down ();
}

/* Guards against a lease that is counted from the arrival of the answer: the
   follower may have sent it long before, and may have voted since then.  */
static void
test_lease_counts_from_the_request (void)
{
  set_up ();
  size_t l = elect ();
  uint64_t old = status (l).last_index, from = reelect (l);
  zp_time sent = sim.now;
  CU_ASSERT_EQUAL (leader (), SIM_MEMBERS);
  sim.now = sent + 1000 * ZP_MS;
  acknowledge (l, from, old, sent);
  CU_ASSERT (lg_core_has_lease (sim.member[l].core, sent + LG_LEASE - 1));
  CU_ASSERT (!lg_core_has_lease (sim.member[l].core, sent + LG_LEASE));
  tear_down ();
}

/* Guards against a proposal without a final reply, and against the reply
   "committed" for an entry that can still be replaced.  */
static void
test_replies (void)
{
  set_up ();
  size_t l = elect (), f = (l + 1) % 3;
  propose (l, 2);
  CU_ASSERT_EQUAL (sim.committed[l], 2);
  propose (f, 1);
  CU_ASSERT_EQUAL (sim.refused[f], 1);
  sim.reachable = 1U << l;
  propose (l, 1);
  advance (LG_LEASE + LG_ELECTION_MIN + LG_HEARTBEAT);
  CU_ASSERT_EQUAL (sim.unknown[l], 1);
  CU_ASSERT_EQUAL (sim.committed[l], 2);
  tear_down ();
}

/* Guards against a separate write and message for each proposal of a burst.
 */
static void
test_proposals_share_a_write (void)
{
  set_up ();
  size_t l = elect ();
  sim.instant_disk = false;
  for (int i = 0; i < 100; i++)
    lg_core_propose (sim.member[l].core, sim.now, 1, ZP_STR ("entry"));
  drain (l);
  CU_ASSERT_EQUAL (sim.member[l].writes, 1);
  CU_ASSERT_EQUAL (sim.msgs, 2);
  tear_down ();
}

/* Guards against a member that still answers after a disk write has failed.
 */
static void
test_failed_write_stops_the_member (void)
{
  set_up ();
  size_t l = elect ();
  sim.instant_disk = false;
  lg_core_propose (sim.member[l].core, sim.now, 1, ZP_STR ("entry"));
  drain (l);
  CU_ASSERT_EQUAL_FATAL (sim.member[l].writes, 1);
  uint64_t number = sim.member[l].disk[0]->u.write.number;
  lg_core_written (sim.member[l].core, sim.now, number, ENOSPC);
  sim.instant_disk = true;
  sim.member[l].full = true;
  CU_ASSERT_EQUAL (status (l).role, LG_STOPPED);
  CU_ASSERT_EQUAL (status (l).stop, LG_STOP_DISK);
  drain (l);
  CU_ASSERT_EQUAL (sim.unknown[l], 1);
  CU_ASSERT (elect () != l);
  advance (5 * ZP_SEC);
  CU_ASSERT_EQUAL (status (l).role, LG_STOPPED);
  struct lg_msg r
      = request (l, vote_request (4, 1000, 1000, 1000), LG_VOTE_ANSWER);
  CU_ASSERT_EQUAL (r.from, 0);
  tear_down ();
}

/* Reads.  */

/* Guards against reads from an old state: a leader that was elected after a
   restart of all has the state of its snapshot until an entry of its term is
   committed, and its followers as well.  Its follower was down while the last
   entries were committed.  */
static void
test_new_leader_is_not_current (void)
{
  set_up ();
  size_t l = elect (), late = (l + 1) % 3, lost = (l + 2) % 3;
  propose (l, 25);
  CU_ASSERT (status (l).snapshot_index > 0);
  advance (ZP_SEC);
  fake_crash (&sim.member[late], 0, 0);
  propose (l, 12);
  uint64_t acked = sim.applied[l];
  CU_ASSERT (status (l).current);
  CU_ASSERT (status (l).snapshot_index < acked);
  fake_crash (&sim.member[l], 0, 0);
  fake_crash (&sim.member[lost], 0, 0);
  start (l);
  start (late);
  bool old_with_lease = false, both = false;
  for (int i = 0; i < 400 && !both; i++)
    {
      sim.now += 10 * ZP_MS;
      for (size_t k = 0; k < 3; k++)
        if (sim.member[k].core
            && sim.now >= lg_core_next_tick (sim.member[k].core))
          lg_core_tick (sim.member[k].core, sim.now);
      /* One message at a time, so that each moment is seen.  */
      for (bool more = true; more;)
        {
          for (size_t k = 0; k < 3; k++)
            if (sim.member[k].core)
              drain (k);
          more = deliver_one ();
          for (size_t k = 0; k < 3; k++)
            if (sim.member[k].core)
              {
                old_with_lease
                    = old_with_lease
                      || (status (k).lease && sim.applied[k] < acked);
                CU_ASSERT (!status (k).current || sim.applied[k] >= acked);
              }
        }
      both = status (l).current && status (late).current;
    }
  CU_ASSERT (both);
  CU_ASSERT (old_with_lease);
  tear_down ();
}

/* Members.  */

/* Guards against a learner that becomes a voter before it has received the
   state, and against two concurrent membership changes.  */
static void
test_learner_becomes_voter (void)
{
  set_up ();
  size_t l = elect ();
  propose (l, 60);
  CU_ASSERT (status (l).snapshot_index > 0);
  change (l, LG_ADD_LEARNER, 4);
  change (l, LG_REMOVE, (l + 1) % 3 + 1);
  deliver ();
  CU_ASSERT_EQUAL (sim.refused[l], 1);
  change (l, LG_PROMOTE, 4);
  deliver ();
  CU_ASSERT_EQUAL (sim.refused[l], 2);
  advance (5 * ZP_SEC);
  CU_ASSERT_EQUAL (sim.applied[3], 0);
  sim.reachable = 15;
  advance (5 * ZP_SEC);
  CU_ASSERT_EQUAL (sim.applied[3], sim.applied[l]);
  struct lg_msg m = vote_request (1, status (3).term + 1, 1000, 9);
  m.u.vote_request.voter = false;
  sim.now += LG_VOTE_HOLDOFF;
  CU_ASSERT (!request (3, m, LG_VOTE_ANSWER).u.vote_answer.granted);
  l = elect ();
  change (l, LG_PROMOTE, 4);
  advance (1000 * ZP_MS);
  CU_ASSERT (status (3).voter);
  change (l, LG_REMOVE, l + 1);
  advance (1000 * ZP_MS);
  CU_ASSERT (status (l).role != LG_LEADER);
  CU_ASSERT (elect () != l);
  tear_down ();
}

/* Guards against a new leader that changes the members before an entry of its
   term is committed.  A change of its predecessor may still be committed, and
   two changes that were made without each other can lead to majorities without
   a common member.  */
static void
test_change_needs_a_commit_of_the_term (void)
{
  set_up ();
  size_t l = elect ();
  propose (l, 60);
  CU_ASSERT (status (l).snapshot_index > 0);
  uint64_t old = status (l).last_index, from = reelect (l);
  acknowledge (l, from, old, sim.now);
  CU_ASSERT_EQUAL (leader (), l);
  change (l, LG_ADD_LEARNER, 4);
  deliver ();
  CU_ASSERT_EQUAL (sim.refused[l], 1);
  acknowledge (l, from, old + 1, sim.now);
  change (l, LG_ADD_LEARNER, 4);
  deliver ();
  CU_ASSERT_EQUAL (sim.refused[l], 1);
  CU_ASSERT (lg_members_find (lg_core_members (sim.member[l].core), 4)
             != NULL);
  tear_down ();
}

/* Guards against votes and acknowledgements by a voter that has lost its
   storage, and with it its earlier votes and acknowledged entries.  */
static void
test_wiped_voter_stops (void)
{
  set_up ();
  size_t l = elect (), w = (l + 1) % 3;
  propose (l, 5);
  fake_crash (&sim.member[w], 0, 0);
  fake_wipe (&sim.member[w]);
  start (w);
  struct lg_msg r = request (w, vote_request (l + 1, status (l).term, 100, 1),
                             LG_VOTE_ANSWER);
  CU_ASSERT (r.from != 0 && !r.u.vote_answer.granted);
  advance (1000 * ZP_MS);
  CU_ASSERT_EQUAL (status (w).stop, LG_STOP_WIPED);
  propose (l, 1);
  CU_ASSERT_EQUAL (sim.committed[l], 6);
  tear_down ();
}

/* Guards against a group that is formed by two of three founders: the third
   one may still belong to an older group whose other members were wiped.  */
static void
test_first_leader_needs_all_founders (void)
{
  set_up ();
  sim.reachable = 3;
  advance (20 * ZP_SEC);
  CU_ASSERT_EQUAL (leader (), SIM_MEMBERS);
  sim.reachable = 7;
  elect ();
  tear_down ();
}

static const struct zp_test tests[] = {
  { "a vote is sent after its sync", test_vote_waits_for_sync },
  { "the own vote counts after its sync", test_own_vote_waits_for_sync },
  { "no vote during a lease", test_no_vote_during_a_lease },
  { "the lease of a cut-off leader ends",
    test_lease_of_a_cut_off_leader_ends },
  { "a pre-vote does not change the term", test_pre_vote_keeps_the_term },
  { "older terms are refused", test_older_term_is_refused },
  { "an acknowledgement is sent after the sync",
    test_acknowledgement_waits_for_sync },
  { "only entries of the current term are committed by count",
    test_only_current_term_commits_by_count },
  { "a lease counts from the request", test_lease_counts_from_the_request },
  { "replies to proposals", test_replies },
  { "proposals share a write", test_proposals_share_a_write },
  { "a failed write stops the member", test_failed_write_stops_the_member },
  { "a new leader is not current", test_new_leader_is_not_current },
  { "a learner becomes a voter", test_learner_becomes_voter },
  { "a membership change needs a commit of the current term",
    test_change_needs_a_commit_of_the_term },
  { "a wiped voter stops", test_wiped_voter_stops },
  { "the first leader needs all founders",
    test_first_leader_needs_all_founders }
};

TEST_MAIN ("ledger-core", tests)
