#include "harness.h"

#include "control/membership.h"

#define LED_SINCE 1

static struct lg_members members;
static struct ct_daemons daemons;
static struct ct_membership_self self
    = { .id = 1, .region = { .ptr = "r1", .len = 2 }, .led_since = LED_SINCE };

static void
reset (void)
{
  members = (struct lg_members){ .len = 0 };
  ct_daemons_free (&daemons);
}

static struct tk_daemon
control (uint64_t id, int machine, const char *region)
{
  struct tk_daemon d = { .kind = TK_DAEMON_CONTROL, .id = id, .ready = true };

  snprintf (d.log_address, sizeof d.log_address, "10.0.0.%d:70", machine);
  zp_str_copy (d.region, sizeof d.region, zp_str_from (region));
  return d;
}

static void
connect_daemon (uint64_t id, int machine, const char *region)
{
  struct tk_daemon d = control (id, machine, region);

  ct_daemons_update (&daemons, &d, 0);
}

static void
disconnect_daemon (uint64_t id, int machine, const char *region, zp_time now)
{
  struct tk_daemon d = control (id, machine, region);

  d.lost = true;
  ct_daemons_update (&daemons, &d, now);
}

static void
member (uint64_t id, int machine, bool voter)
{
  char address[ZP_ADDRESS_MAX];

  snprintf (address, sizeof address, "10.0.0.%d:70", machine);
  lg_members_put (&members, id, voter, zp_str_from (address));
}

/* Six members on as many machines in three regions: 1 to 5 are voters, 6 is a
   learner, and 1 is the leader.  */
static void
six_members (void)
{
  static const char *const region[]
      = { "", "r1", "r2", "r3", "r1", "r2", "r3" };

  reset ();
  for (int i = 1; i <= 6; i++)
    {
      member ((uint64_t) i, i, i <= 5);
      if (i > 1)
        connect_daemon ((uint64_t) i, i, region[i]);
    }
}

static struct lg_change change;

static bool
decide (zp_time now)
{
  change = (struct lg_change){ .id = 0 };
  return ct_membership_decide (&members, &daemons, &self, now, &change);
}

/* Guards against a group that stays at its three founders, and against so many
   voters in one region that its loss takes the majority.  */
static void
test_growth (void)
{
  reset ();
  for (int i = 1; i <= 3; i++)
    member ((uint64_t) i, i, true);
  connect_daemon (2, 2, "r2");
  connect_daemon (3, 3, "r3");
  CU_ASSERT (!decide (ZP_SEC));
  connect_daemon (4, 4, "r1");
  CU_ASSERT_FATAL (decide (ZP_SEC));
  CU_ASSERT_EQUAL (change.kind, LG_ADD_LEARNER);
  CU_ASSERT_EQUAL (change.id, 4);
  CU_ASSERT (zp_str_eq (change.address, ZP_STR ("10.0.0.4:70")));
  member (4, 4, false);
  CU_ASSERT_FATAL (decide (ZP_SEC));
  CU_ASSERT_EQUAL (change.kind, LG_PROMOTE);
  CU_ASSERT_EQUAL (change.id, 4);
  member (4, 4, true);
  /* A third member in region r1 stays a learner.  */
  connect_daemon (5, 5, "r1");
  member (5, 5, false);
  CU_ASSERT (!decide (ZP_SEC));
  reset ();
}

/* Guards against a sixth voter: a group of six loses its majority with three
   voters, and so does not tolerate more losses than one of five.  */
static void
test_voters_max (void)
{
  six_members ();
  CU_ASSERT (!decide (ZP_SEC));
}

/* Guards against counting the vote of a member that has lost its storage: its
   machine is in use by a daemon with a new id.  */
static void
test_wiped (void)
{
  six_members ();
  disconnect_daemon (2, 2, "r2", ZP_SEC);
  connect_daemon (1000, 2, "r2");
  CU_ASSERT_FATAL (decide (ZP_SEC + 1));
  CU_ASSERT_EQUAL (change.kind, LG_REMOVE);
  CU_ASSERT_EQUAL (change.id, 2);
  lg_members_remove (&members, 2);
  CU_ASSERT_FATAL (decide (ZP_SEC + 1));
  CU_ASSERT_EQUAL (change.kind, LG_ADD_LEARNER);
  CU_ASSERT_EQUAL (change.id, 1000);
}

/* Guards against a lost voter that is never replaced, against replacing one
   that only restarts, and against a new leader that treats voters as lost
   before they have connected to it.  */
static void
test_lost_voter (void)
{
  six_members ();
  disconnect_daemon (3, 3, "r3", 10 * ZP_SEC);
  CU_ASSERT (!decide (10 * ZP_SEC + CT_VOTER_TIMEOUT - 1));
  CU_ASSERT_FATAL (decide (10 * ZP_SEC + CT_VOTER_TIMEOUT));
  CU_ASSERT_EQUAL (change.kind, LG_REMOVE);
  CU_ASSERT_EQUAL (change.id, 3);
  lg_members_remove (&members, 3);
  CU_ASSERT_FATAL (decide (10 * ZP_SEC + CT_VOTER_TIMEOUT));
  CU_ASSERT_EQUAL (change.kind, LG_PROMOTE);
  CU_ASSERT_EQUAL (change.id, 6);

  six_members ();
  disconnect_daemon (3, 3, "r3", 0);
  CU_ASSERT (!decide (LED_SINCE + 2 * ZP_SEC));
}

/* Guards against removing voters while a majority of them is lost: the group
   would shrink to the minority that the leader still reaches.  */
static void
test_no_majority (void)
{
  six_members ();
  disconnect_daemon (2, 2, "r2", 10 * ZP_SEC);
  disconnect_daemon (3, 3, "r3", 10 * ZP_SEC);
  disconnect_daemon (4, 4, "r1", 10 * ZP_SEC);
  CU_ASSERT (!decide (60 * ZP_SEC)
             || (change.kind == LG_REMOVE && change.id == 0));
}

/* Guards against a lost learner that stays a member, and against removing one
   too early.  */
static void
test_lost_learner (void)
{
  six_members ();
  disconnect_daemon (6, 6, "r3", 10 * ZP_SEC);
  CU_ASSERT (!decide (10 * ZP_SEC + CT_LEARNER_TIMEOUT - 1));
  CU_ASSERT_FATAL (decide (10 * ZP_SEC + CT_LEARNER_TIMEOUT));
  CU_ASSERT_EQUAL (change.kind, LG_REMOVE);
  CU_ASSERT_EQUAL (change.id, 6);
  reset ();
}

/* Guards against a voter that stays one although its disk is full: it is
   connected, but answers nothing.  A spare with a full disk does not take its
   place, and nothing changes while a majority answers nothing.  */
static void
test_silent_voter (void)
{
  for (size_t silent = 1; silent < 5; silent++)
    {
      six_members ();
      self.silence[silent] = CT_VOTER_TIMEOUT - 1;
      CU_ASSERT (!decide (60 * ZP_SEC));
      self.silence[silent] = CT_VOTER_TIMEOUT;
      uint64_t id = members.item[silent].id;
      /* The spare is in region r3: with another voter there it may replace
         only that one.  */
      bool possible = decide (60 * ZP_SEC);
      if (possible)
        {
          CU_ASSERT_EQUAL (change.kind, LG_REMOVE);
          CU_ASSERT_EQUAL (change.id, id);
        }
      CU_ASSERT (possible);
      self.silence[5] = CT_ANSWER_TIMEOUT;
      CU_ASSERT (!decide (60 * ZP_SEC));
      self.silence[5] = 0;
      for (size_t i = 1; i < 4; i++)
        self.silence[i] = CT_VOTER_TIMEOUT;
      CU_ASSERT (!decide (60 * ZP_SEC));
      memset (self.silence, 0, sizeof self.silence);
    }
  reset ();
}

static void
silence (uint64_t id, zp_time time)
{
  for (size_t i = 0; i < members.len; i++)
    if (members.item[i].id == id)
      self.silence[i] = time;
}

/* Guards against promoting a learner that cannot store what it would vote
   for.  */
static void
test_silent_learner (void)
{
  six_members ();
  lg_members_remove (&members, 3);
  member (3, 3, false);
  silence (6, CT_ANSWER_TIMEOUT);
  CU_ASSERT_FATAL (decide (60 * ZP_SEC));
  CU_ASSERT_EQUAL (change.kind, LG_PROMOTE);
  CU_ASSERT_EQUAL (change.id, 3);
  silence (3, CT_ANSWER_TIMEOUT);
  CU_ASSERT (!decide (60 * ZP_SEC));
  memset (self.silence, 0, sizeof self.silence);
  reset ();
}

static const struct zp_test tests[]
    = { { "the group grows to five voters", test_growth },
        { "the sixth member stays a learner", test_voters_max },
        { "a member that has lost its storage", test_wiped },
        { "a voter that stays lost", test_lost_voter },
        { "a voter that answers nothing", test_silent_voter },
        { "a learner that answers nothing", test_silent_learner },
        { "no removal without a majority", test_no_majority },
        { "a learner that stays lost", test_lost_learner } };

TEST_MAIN ("join", tests)
