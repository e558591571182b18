/* Tests the consensus core with disks that are full for a while.  */

#include "harness.h"

#include "ledger-sim.h"

/* Guards against a member that stays stopped when its disk has room again, and
   against one that acknowledges before its whole state is written anew.  */
static void
test_member_returns_after_a_failed_write (void)
{
  set_up ();
  size_t l = elect (), f = (l + 1) % 3;
  sim.member[f].full = true;
  propose (l, 3);
  CU_ASSERT_EQUAL (status (f).stop, LG_STOP_DISK);
  CU_ASSERT_EQUAL (sim.committed[l], 3);
  CU_ASSERT (lg_core_silence (sim.member[l].core, f + 1, sim.now)
             < 2 * LG_HEARTBEAT);
  advance (2 * ZP_SEC);
  CU_ASSERT (lg_core_silence (sim.member[l].core, f + 1, sim.now) > ZP_SEC);
  CU_ASSERT (lg_core_silence (sim.member[l].core, 3 - l - f + 1, sim.now)
             < LG_HEARTBEAT * 2);
  sim.member[f].full = false;
  sim.instant_disk = false;
  advance (LG_DISK_RETRY + 20 * ZP_MS);
  CU_ASSERT_EQUAL (status (f).stop, LG_STOP_DISK);
  CU_ASSERT_FATAL (sim.member[f].writes > 0);
  CU_ASSERT (sim.member[f].disk[0]->u.write.retry);
  CU_ASSERT (sim.member[f].disk[0]->u.write.kind != LG_WRITE_APPEND);
  sim.instant_disk = true;
  deliver ();
  CU_ASSERT_EQUAL (status (f).stop, LG_RUNNING);
  advance (ZP_SEC);
  CU_ASSERT_EQUAL (sim.applied[f], sim.applied[elect ()]);
  tear_down ();
}

/* Guards against a group without a leader after the disks of members were full
   one after the other, the leader's or another's, or all at once.  */
static void
test_full_disks (void)
{
  set_up ();
  for (int round = 0; round < 6; round++)
    {
      size_t l = elect (), full = round % 2 == 0 ? l : (l + 1) % 3;
      sim.member[full].full = true;
      propose (l, 1);
      advance (4 * ZP_SEC);
      sim.member[full].full = false;
      advance (3 * ZP_SEC);
    }
  for (size_t i = 0; i < 3; i++)
    sim.member[i].full = true;
  uint64_t before = sim.applied[elect ()];
  propose (elect (), 2);
  advance (4 * ZP_SEC);
  CU_ASSERT_EQUAL (leader (), SIM_MEMBERS);
  for (size_t i = 0; i < 3; i++)
    sim.member[i].full = false;
  size_t l = elect ();
  propose (l, 2);
  advance (ZP_SEC);
  for (size_t i = 0; i < 3; i++)
    {
      CU_ASSERT_EQUAL (status (i).stop, LG_RUNNING);
      CU_ASSERT (sim.applied[i] >= before + 2);
      CU_ASSERT_EQUAL (sim.applied[i], sim.applied[l]);
    }
  tear_down ();
}

/* Guards against a state that is missing, or a log that cannot be read, after
   the disk became full while a snapshot was written or received.  */
static void
test_full_disk_and_snapshots (void)
{
  set_up ();
  size_t l = elect ();
  sim.member[(l + 1) % 3].full = true;
  propose (l, 60);
  CU_ASSERT (status (l).snapshot_index > 0);
  change (l, LG_ADD_LEARNER, 4);
  sim.reachable = 15;
  sim.instant_disk = false;
  for (int i = 0; i < 300 && sim.applied[3] == 0; i++)
    {
      struct fake *m = &sim.member[3];
      for (size_t k = 0; k < 3; k++)
        while (sim.member[k].writes > 0)
          {
            uint64_t number;
            int error = fake_disk_try (&sim.member[k], 7, &number);
            lg_core_written (sim.member[k].core, sim.now, number, error);
            drain (k);
          }
      /* The disk of the learner fails from its first snapshot on.  */
      while (m->writes > 0)
        {
          uint64_t number;
          m->full = i < 200 && m->disk[0]->u.write.kind == LG_WRITE_SNAPSHOT;
          int error = fake_disk_try (m, 7, &number);
          lg_core_written (m->core, sim.now, number, error);
          drain (3);
        }
      advance (20 * ZP_MS);
      if (i < 200)
        CU_ASSERT_EQUAL (sim.applied[3], 0);
    }
  CU_ASSERT (sim.applied[3] > 0);
  sim.instant_disk = true;
  sim.member[(l + 1) % 3].full = false;
  advance (3 * ZP_SEC);
  for (size_t i = 0; i < SIM_MEMBERS; i++)
    CU_ASSERT_EQUAL (sim.applied[i], sim.applied[elect ()]);
  for (size_t i = 0; i < SIM_MEMBERS; i++)
    {
      fake_crash (&sim.member[i], 0, 0);
      start (i);
    }
  CU_ASSERT (elect () < SIM_MEMBERS);
  tear_down ();
}

static const struct zp_test tests[]
    = { { "a member returns after a failed write",
          test_member_returns_after_a_failed_write },
        { "full disks, one after the other and all at once", test_full_disks },
        { "a full disk and snapshots", test_full_disk_and_snapshots } };

TEST_MAIN ("ledger-disks", tests)
