#include "harness.h"

#include <signal.h>
#include <stdlib.h>
#include <sys/resource.h>

#include "control/replica.h"
#include "control/replica-links.h"
#include "wire/conn.h"

#define MEMBERS 3
#define FIRST_CHANGE 1000     /* lowest proposal number of member changes */
#define TIMEOUT (60 * ZP_SEC) /* bounds every wait */

struct member
{
  struct ct_replica *replica;
  char folder[80];
  char address[ZP_ADDRESS_MAX];
  struct zp_buf state; /* one line for each applied proposal */
  uint64_t applied, committed, refused, unknown;
  bool refuse_restore;
  int restores, out_of_order;
};

static struct
{
  struct tk_loop loop;
  char folder[64];
  struct member member[MEMBERS + 1];
  uint64_t proposals;
} group;

static void
apply (void *self, uint64_t index, uint64_t term, struct zp_str bytes)
{
  struct member *m = self;

  (void) term;
  m->out_of_order += index <= m->applied;
  m->applied = index;
  zp_buf_put (&m->state, bytes);
  zp_buf_put (&m->state, ZP_STR ("\n"));
}

static void
take_snapshot (void *self, struct zp_buf *out)
{
  struct member *m = self;

  zp_buf_put (out, zp_str_of (&m->state));
}

static bool
restore (void *self, uint64_t index, uint64_t term, struct zp_str state,
         struct zp_err *err)
{
  struct member *m = self;

  (void) term;
  if (m->refuse_restore)
    return zp_fail (err, ZP_ECORRUPT, "not a state");
  m->out_of_order += index < m->applied;
  m->applied = index;
  m->restores++;
  zp_buf_clear (&m->state);
  zp_buf_put (&m->state, state);
  return true;
}

static void
answered (void *self, const struct lg_reply *reply)
{
  struct member *m = self;

  switch (reply->kind)
    {
    case LG_REPLY_COMMITTED:
      m->committed += reply->proposal < FIRST_CHANGE;
      break;
    case LG_REPLY_REFUSED:
      m->refused++;
      break;
    case LG_REPLY_UNKNOWN:
      m->unknown++;
      break;
    case LG_REPLY_ACCEPTED:
      break;
    }
}

/* Opens member I.  The first MEMBERS found the group; the last one joins.  */
static void
open_member (int i)
{
  struct member *m = &group.member[i];
  struct zp_err err = { .text = "" };
  struct ct_replica_options o = { .loop = &group.loop,
                                  .id = 100 + (uint64_t) i,
                                  .folder = zp_str_from (m->folder),
                                  .address = zp_str_from (m->address),
                                  .self = m,
                                  .snapshot_entries = 20,
                                  .keep_entries = 5 };

  o.callbacks = (struct ct_replica_callbacks){ .apply = apply,
                                               .take_snapshot = take_snapshot,
                                               .restore = restore,
                                               .answered = answered };
  for (int k = 0; k < MEMBERS && i < MEMBERS; k++)
    lg_members_put (&o.members, 100 + (uint64_t) k, true,
                    zp_str_from (group.member[k].address));
  zp_buf_clear (&m->state);
  m->applied = 0;
  m->replica = ct_replica_open (&o, &err);
  if (!m->replica)
    printf ("member %d: %s\n", i, err.text);
  CU_ASSERT_FATAL (m->replica != NULL);
}

static void
close_member (struct member *m)
{
  ct_replica_close (m->replica);
  m->replica = NULL;
}

static void
set_up (void)
{
  memset (&group, 0, sizeof group);
  tk_loop_init (&group.loop);
  snprintf (group.folder, sizeof group.folder, "/tmp/zp-test-replica-XXXXXX");
  CU_ASSERT_FATAL (mkdtemp (group.folder) != NULL);
  for (int i = 0; i <= MEMBERS; i++)
    {
      struct member *m = &group.member[i];
      snprintf (m->folder, sizeof m->folder, "%s/%d", group.folder, i);
      snprintf (m->address, sizeof m->address, "%s",
                test_address (19301 + (unsigned) i));
    }
}

static void
tear_down (void)
{
  static const char *const files[]
      = { "log", "log.new", "snapshot", "snapshot.new", "lock" };

  for (int i = 0; i <= MEMBERS; i++)
    {
      struct member *m = &group.member[i];
      CU_ASSERT_EQUAL (m->out_of_order, 0);
      close_member (m);
      zp_buf_free (&m->state);
      for (size_t k = 0; k < sizeof files / sizeof *files; k++)
        {
          char path[128];
          snprintf (path, sizeof path, "%s/%s", m->folder, files[k]);
          unlink (path);
        }
      rmdir (m->folder);
    }
  CU_ASSERT_EQUAL (rmdir (group.folder), 0);
  tk_loop_free (&group.loop);
}

/* The member that holds the leader's lease; NULL when there is none.  */
static struct member *
leader (void)
{
  for (int i = 0; i <= MEMBERS; i++)
    if (group.member[i].replica
        && ct_replica_has_lease (group.member[i].replica))
      return &group.member[i];
  return NULL;
}

/* Whether the leader has applied exactly N proposals, and all open members
   have the same state.  */
static bool
all_have (uint64_t n)
{
  struct member *first = leader ();
  uint64_t lines = 0;

  if (!first)
    return false;
  for (size_t i = 0; i < first->state.len; i++)
    lines += first->state.ptr[i] == '\n';
  for (int i = 0; i <= MEMBERS; i++)
    if (group.member[i].replica
        && !zp_str_eq (zp_str_of (&first->state),
                       zp_str_of (&group.member[i].state)))
      return false;
  return lines == n;
}

/* A condition for wait_for; ignores its argument.  */
static bool
has_leader (uint64_t n)
{
  (void) n;
  return leader () != NULL;
}

/* Runs the loop until CONDITION (N) holds.  */
static void
wait_for (bool (*condition) (uint64_t), uint64_t n)
{
  zp_time end = zp_clock_mono () + TIMEOUT;

  while (!condition (n) && zp_clock_mono () < end)
    ev_run (group.loop.ev, EVRUN_ONCE);
  CU_ASSERT_FATAL (condition (n));
}

/* Whether the leader has synced a snapshot, so that it can have dropped the
   entries that the snapshot covers.  */
static bool
leader_has_snapshot (uint64_t n)
{
  struct member *m = leader ();

  (void) n;
  return m && ct_replica_status (m->replica).snapshot_index > 0;
}

/* Proposes N entries to the leader and waits until all open members have
   applied them.  */
static void
commit (int n)
{
  wait_for (has_leader, 0);
  struct member *m = leader ();
  uint64_t committed = m->committed, unknown = m->unknown;
  uint64_t term = ct_replica_status (m->replica).term;

  for (int i = 0; i < n; i++)
    {
      char text[32];
      int len = snprintf (text, sizeof text, "proposal %d",
                          (int) ++group.proposals);
      ct_replica_propose (m->replica, group.proposals,
                          (struct zp_str){ text, (size_t) len });
    }
  wait_for (all_have, group.proposals);
  committed = m->committed - committed;
  unknown = m->unknown - unknown;
  CU_ASSERT_EQUAL (committed + unknown, (uint64_t) n);
  /* Only a leader that has lost its term before the commit does not know the
     outcome.  */
  if (unknown > 0)
    CU_ASSERT (ct_replica_status (m->replica).term > term);
}

/* Guards against lost entries and a missing leader on real sockets and files:
   election, commits, loss of the leader, commits of the others, catching up by
   snapshot, and a restart of all members.  */
static void
test_elect_commit_recover (void)
{
  set_up ();
  for (int i = 0; i < MEMBERS; i++)
    open_member (i);
  commit (10);

  struct member *first = leader ();
  int lost = (int) (first - group.member);
  close_member (first);
  commit (50);
  wait_for (leader_has_snapshot, 0);
  open_member (lost);
  wait_for (all_have, group.proposals);
  CU_ASSERT (first->restores > 0);

  for (int i = 0; i < MEMBERS; i++)
    close_member (&group.member[i]);
  for (int i = 0; i < MEMBERS; i++)
    open_member (i);
  commit (5);
  tear_down ();
}

/* Makes every write to a file fail, or no longer: no file may grow.  */
static void
fill_disks (bool full)
{
  struct rlimit limit;

  signal (SIGXFSZ, SIG_IGN);
  getrlimit (RLIMIT_FSIZE, &limit);
  limit.rlim_cur = full ? 1 : limit.rlim_max;
  CU_ASSERT_EQUAL (setrlimit (RLIMIT_FSIZE, &limit), 0);
}

/* Whether N members have stopped because of their disk.  A member stops when it
   writes; one that cannot be elected does not write.  */
static bool
have_stopped (uint64_t n)
{
  uint64_t stopped = 0;

  for (int i = 0; i < MEMBERS; i++)
    stopped
        += ct_replica_status (group.member[i].replica).stop == LG_STOP_DISK;
  return stopped >= n;
}

static bool
has_no_leader (uint64_t n)
{
  (void) n;
  return leader () == NULL;
}

static uint64_t
lines_of (const struct member *m)
{
  uint64_t lines = 0;

  for (size_t i = 0; i < m->state.len; i++)
    lines += m->state.ptr[i] == '\n';
  return lines;
}

/* Whether all members have the same proposals, and "y" as the last one.  */
static bool
all_end_with_y (uint64_t n)
{
  struct member *m = leader ();

  (void) n;
  return m && m->state.len > 2
         && memcmp (m->state.ptr + m->state.len - 2, "y\n", 2) == 0
         && all_have (lines_of (m));
}

/* Guards against a group that stays without a leader after the disks of all
   members were full, against entries that are lost then, and against a log
   that cannot be read after a restart.  */
static void
test_all_disks_full (void)
{
  set_up ();
  for (int i = 0; i < MEMBERS; i++)
    open_member (i);
  commit (30);
  for (int round = 0; round < 2; round++)
    {
      fill_disks (true);
      ct_replica_propose (leader ()->replica, FIRST_CHANGE, ZP_STR ("x"));
      wait_for (has_no_leader, 0);
      wait_for (have_stopped, MEMBERS / 2 + 1);
      fill_disks (false);
      wait_for (has_leader, 0);
      ct_replica_propose (leader ()->replica, FIRST_CHANGE, ZP_STR ("y"));
      wait_for (all_end_with_y, 0);
      /* The entry from before may have been committed or not.  */
      group.proposals = lines_of (leader ());
      commit (3);
    }
  for (int i = 0; i < MEMBERS; i++)
    close_member (&group.member[i]);
  for (int i = 0; i < MEMBERS; i++)
    open_member (i);
  commit (5);
  tear_down ();
}

static bool
member_is_voter (uint64_t id)
{
  struct member *m = leader ();

  return m && lg_members_voter (ct_replica_members (m->replica), id);
}

static bool
joined (uint64_t id)
{
  struct member *m = leader ();

  return m && lg_members_find (ct_replica_members (m->replica), id)
         && all_have (group.proposals);
}

/* Guards against a new member that cannot join, and against a voter that lost
   its storage and takes part again under its old id.  */
static void
test_replace_a_member (void)
{
  struct lg_change change = { .kind = LG_ADD_LEARNER, .id = 103 };

  set_up ();
  for (int i = 0; i < MEMBERS; i++)
    open_member (i);
  commit (30);
  struct member *wiped
      = leader () == &group.member[0] ? &group.member[1] : &group.member[0];
  close_member (wiped);
  char path[128];
  snprintf (path, sizeof path, "%s/log", wiped->folder);
  unlink (path);
  snprintf (path, sizeof path, "%s/snapshot", wiped->folder);
  unlink (path);
  open_member ((int) (wiped - group.member));
  struct ct_replica *r = wiped->replica;
  zp_time end = zp_clock_mono () + TIMEOUT;
  while (ct_replica_status (r).stop == LG_RUNNING && zp_clock_mono () < end)
    ev_run (group.loop.ev, EVRUN_ONCE);
  CU_ASSERT_EQUAL (ct_replica_status (r).stop, LG_STOP_WIPED);
  close_member (wiped);

  commit (1);
  open_member (MEMBERS);
  change.address = zp_str_from (group.member[MEMBERS].address);
  ct_replica_change_members (leader ()->replica, FIRST_CHANGE, &change);
  wait_for (joined, 103);
  commit (2);
  change.kind = LG_PROMOTE;
  ct_replica_change_members (leader ()->replica, FIRST_CHANGE + 1, &change);
  wait_for (member_is_voter, 103);
  commit (2);
  tear_down ();
}

/* Whether member AT has written a snapshot.  Snapshots are written
   concurrently with commits and can be finished after them.  */
static bool
has_snapshot (uint64_t at)
{
  char path[128];

  snprintf (path, sizeof path, "%s/snapshot", group.member[at].folder);
  return access (path, F_OK) == 0;
}

/* Guards against a member that could not restore its snapshot and still
   applies entries or votes.  */
static void
test_unreadable_snapshot_stops_the_member (void)
{
  set_up ();
  for (int i = 0; i < MEMBERS; i++)
    open_member (i);
  commit (30);
  struct member *m = leader ();
  wait_for (has_snapshot, (uint64_t) (m - group.member));
  close_member (m);
  m->refuse_restore = true;
  open_member ((int) (m - group.member));
  zp_time end = zp_clock_mono () + TIMEOUT;
  while (ct_replica_status (m->replica).stop == LG_RUNNING
         && zp_clock_mono () < end)
    ev_run (group.loop.ev, EVRUN_ONCE);
  CU_ASSERT_EQUAL (ct_replica_status (m->replica).role, LG_STOPPED);
  CU_ASSERT_EQUAL (m->applied, 0);
  ct_replica_propose (m->replica, 500, ZP_STR ("refused"));
  ev_run (group.loop.ev, EVRUN_ONCE);
  CU_ASSERT_EQUAL (m->refused, 1);
  close_member (m);
  commit (1);
  tear_down ();
}

/* Guards against two processes that write to the same data folder.  */
static void
test_folder_is_locked (void)
{
  struct ct_replica_options o = { .loop = &group.loop, .id = 100 };
  struct zp_err err;

  set_up ();
  open_member (0);
  o.folder = zp_str_from (group.member[0].folder);
  o.address = zp_str_from (group.member[1].address);
  CU_ASSERT (ct_replica_open (&o, &err) == NULL);
  CU_ASSERT (HAS_TEXT (err.text, "in use by another process"));
  tear_down ();
}

/* Connections on which requests get no answer.  */

#define ACCEPTED_MAX 16
static struct wi_conn *accepted[ACCEPTED_MAX];
static size_t accepts;

static void
ignore_frame (void *self, struct wi_conn *c, uint8_t kind,
              struct zp_str payload)
{
  (void) self;
  (void) c;
  (void) kind;
  (void) payload;
}

static void
ignore_end (void *self, struct wi_conn *c, const struct zp_err *why)
{
  (void) self;
  (void) c;
  (void) why;
}

static void
on_accept (void *self, struct wi_conn *c)
{
  static const struct wi_handlers h
      = { .on_frame = ignore_frame, .on_end = ignore_end };

  if (accepts < ACCEPTED_MAX)
    accepted[accepts++] = c;
  wi_conn_set_handlers (c, &h, self);
}

static void
ignore_msg (void *self, const struct lg_msg *m)
{
  (void) self;
  (void) m;
}

/* Guards against a member that stays unreachable over a connection that has
   stopped working, although a new connection to it would work.  The test
   passes the time to the links, so it does not wait.  */
static void
test_unanswered_connection_is_replaced (void)
{
  struct lg_msg request = { .kind = LG_VOTE_REQUEST, .from = 100, .to = 101 };
  struct lg_members members = { .len = 0 };
  struct zp_err err;

  set_up ();
  accepts = 0;
  struct ev_loop *ev = group.loop.ev;
  struct wi_listener *listener = wi_listen (
      ev, zp_str_from (group.member[1].address), on_accept, NULL, &err);
  CU_ASSERT_FATAL (listener != NULL);
  struct ct_links *l = ct_links_open (
      ev, zp_str_from (group.member[0].address), 100, ignore_msg, NULL, &err);
  CU_ASSERT_FATAL (l != NULL);
  lg_members_put (&members, 101, true, zp_str_from (group.member[1].address));
  ct_links_set_members (l, &members);
  zp_time now = zp_clock_mono ();
  for (size_t i = 1; i <= 3; i++, now += 2 * CT_LINK_TIMEOUT)
    {
      ct_links_check (l, now);
      for (int k = 0; k < 1000 && accepts < i; k++)
        ev_run (ev, EVRUN_ONCE);
      CU_ASSERT_EQUAL (accepts, i);
      ct_links_send (l, now, &request);
      ct_links_check (l, now + CT_LINK_TIMEOUT);
    }
  ct_links_free (l);
  while (accepts > 0)
    wi_conn_free (accepted[--accepts]);
  wi_listener_free (listener);
  tear_down ();
}

static const struct zp_test tests[]
    = { { "election, commits and recovery", test_elect_commit_recover },
        { "all disks are full", test_all_disks_full },
        { "a member is replaced", test_replace_a_member },
        { "an unreadable snapshot stops the member",
          test_unreadable_snapshot_stops_the_member },
        { "the folder is locked", test_folder_is_locked },
        { "a connection without answers is replaced",
          test_unanswered_connection_is_replaced } };

TEST_MAIN ("replica", tests)
