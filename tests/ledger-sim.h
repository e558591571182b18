/* NAME
     ledger-sim - group of cores whose messages and disks a test controls

   DESCRIPTION
     All members share one clock.  Messages wait in a queue until the test
     delivers them; those from or to a member outside REACHABLE are dropped.
     With INSTANT_DISK, every write is performed at once; it fails on a member
     whose disk is full.  */

#ifndef ZP_TESTS_LEDGER_SIM_H
#define ZP_TESTS_LEDGER_SIM_H

#include "ledger-fake.h"

#define SIM_MEMBERS 4

static struct sim
{
  struct fake member[SIM_MEMBERS];
  struct lg_members founders;
  zp_time now;
  struct lg_out *msg[4096];
  size_t msgs;
  unsigned reachable; /* bit I - 1: member I */
  uint64_t applied[SIM_MEMBERS], committed[SIM_MEMBERS], refused[SIM_MEMBERS],
      unknown[SIM_MEMBERS];
  bool instant_disk;
} sim;

static inline void
reply (size_t i, const struct lg_reply *r)
{
  switch (r->kind)
    {
    case LG_REPLY_COMMITTED:
      sim.committed[i]++;
      break;
    case LG_REPLY_REFUSED:
      sim.refused[i]++;
      break;
    case LG_REPLY_UNKNOWN:
      sim.unknown[i]++;
      break;
    case LG_REPLY_ACCEPTED:
      break;
    }
}

static inline void
output (size_t i, struct lg_out *o)
{
  struct fake *f = &sim.member[i];

  switch (o->kind)
    {
    case LG_OUT_MSG:
      if (sim.msgs < 4096)
        sim.msg[sim.msgs++] = fake_move (o);
      break;
    case LG_OUT_WRITE:
      fake_queue (f, o);
      break;
    case LG_OUT_COMMITTED:
      CU_ASSERT_EQUAL (o->u.committed.index, sim.applied[i] + 1);
      sim.applied[i] = o->u.committed.index;
      break;
    case LG_OUT_RESTORE:
      CU_ASSERT (o->u.restore->index >= sim.applied[i]);
      sim.applied[i] = o->u.restore->index;
      break;
    case LG_OUT_SNAPSHOT_DUE:
      lg_core_snapshot (f->core, o->u.snapshot_index, ZP_STR ("state"));
      break;
    case LG_OUT_REPLY:
      reply (i, &o->u.reply);
      break;
    case LG_OUT_ROLE:
    case LG_OUT_MEMBERS:
      break;
    }
}

static inline void
drain (size_t i)
{
  struct fake *f = &sim.member[i];

  do
    {
      for (struct lg_out *o; (o = lg_core_next_out (f->core)); lg_out_free (o))
        output (i, o);
      if (!sim.instant_disk || f->writes == 0)
        return;
      uint64_t number;
      int error = fake_disk_try (f, 7, &number);
      lg_core_written (f->core, sim.now, number, error);
    }
  while (true);
}

static inline bool
is_reachable (uint64_t id)
{
  return (sim.reachable >> (id - 1)) & 1;
}

/* Delivers the oldest message.  Returns false when there is none.  */
static inline bool
deliver_one (void)
{
  if (sim.msgs == 0)
    return false;
  struct lg_out *o = sim.msg[0];
  struct lg_msg *m = &o->u.msg;
  memmove (sim.msg, sim.msg + 1, --sim.msgs * sizeof sim.msg[0]);
  struct fake *to = &sim.member[m->to - 1];
  if (to->core && is_reachable (m->from) && is_reachable (m->to))
    {
      lg_core_receive (to->core, sim.now, m);
      drain (m->to - 1);
    }
  lg_out_free (o);
  return true;
}

/* Delivers messages until none is left.  */
static inline void
deliver (void)
{
  for (size_t i = 0; i < SIM_MEMBERS; i++)
    if (sim.member[i].core)
      drain (i);
  while (deliver_one ())
    ;
}

/* Runs the group for the time T.  */
static inline void
advance (zp_time t)
{
  for (zp_time end = sim.now + t; sim.now < end; deliver ())
    {
      sim.now += 10 * ZP_MS;
      for (size_t i = 0; i < SIM_MEMBERS; i++)
        if (sim.member[i].core
            && sim.now >= lg_core_next_tick (sim.member[i].core))
          lg_core_tick (sim.member[i].core, sim.now);
    }
}

static inline void
start (size_t i)
{
  struct lg_members none = { .len = 0 };
  struct zp_err err = { .text = "" };

  sim.applied[i] = 0;
  CU_ASSERT_FATAL (fake_start (&sim.member[i], i < 3 ? &sim.founders : &none,
                               sim.now, &err));
}

/* Starts three founders and one member that can join.  */
static inline void
set_up (void)
{
  memset (&sim, 0, sizeof sim);
  sim.reachable = 7;
  sim.instant_disk = true;
  for (size_t i = 0; i < 3; i++)
    lg_members_put (&sim.founders, i + 1, true, ZP_STR ("here"));
  for (size_t i = 0; i < SIM_MEMBERS; i++)
    {
      sim.member[i].id = i + 1;
      zp_rng_seed (&sim.member[i].rng, (uint32_t) i + 1);
      start (i);
    }
}

static inline void
tear_down (void)
{
  for (size_t i = 0; i < SIM_MEMBERS; i++)
    fake_free (&sim.member[i]);
  while (sim.msgs > 0)
    lg_out_free (sim.msg[--sim.msgs]);
}

static inline struct lg_status
status (size_t i)
{
  return lg_core_status (sim.member[i].core, sim.now);
}

/* Returns the index of the only leader with a lease; SIM_MEMBERS when there is
   none.  */
static inline size_t
leader (void)
{
  size_t found = SIM_MEMBERS;

  for (size_t i = 0; i < SIM_MEMBERS; i++)
    if (sim.member[i].core && lg_core_has_lease (sim.member[i].core, sim.now))
      {
        CU_ASSERT_EQUAL (found, SIM_MEMBERS);
        found = i;
      }
  return found;
}

/* Runs the group until there is a leader with a lease, and returns its index.
 */
static inline size_t
elect (void)
{
  for (int i = 0; i < 100 && leader () == SIM_MEMBERS; i++)
    advance (100 * ZP_MS);
  CU_ASSERT_FATAL (leader () < SIM_MEMBERS);
  return leader ();
}

static inline void
propose (size_t i, int n)
{
  for (int k = 0; k < n; k++)
    lg_core_propose (sim.member[i].core, sim.now, 1, ZP_STR ("entry"));
  deliver ();
}

static inline void
change (size_t i, enum lg_change_kind kind, uint64_t id)
{
  struct lg_change c = { .kind = kind, .id = id, .address = ZP_STR ("here") };

  lg_core_change (sim.member[i].core, sim.now, 1, &c);
}

/* Passes M to member I and returns its answer of KIND to the sender of M.
   FROM of the result is 0 when there is none.  */
static inline struct lg_msg
request (size_t i, struct lg_msg m, enum lg_msg_kind kind)
{
  struct lg_msg answer = { .kind = kind };

  m.to = i + 1;
  lg_core_receive (sim.member[i].core, sim.now, &m);
  drain (i);
  while (sim.msgs > 0)
    {
      struct lg_out *o = sim.msg[--sim.msgs];
      if (o->u.msg.kind == kind && o->u.msg.to == m.from)
        answer = o->u.msg;
      lg_out_free (o);
    }
  return answer;
}

/* Restarts the leader L without contact to the others, and makes it the leader
   of a new term with forged votes of another member, whose id is returned.  */
static inline uint64_t
reelect (size_t l)
{
  struct fake *f = &sim.member[l];
  struct lg_msg grant = { .kind = LG_VOTE_ANSWER, .from = (l + 1) % 3 + 1 };

  sim.reachable = 1U << l;
  fake_crash (f, 0, 0);
  start (l);
  sim.now = lg_core_next_tick (f->core);
  lg_core_tick (f->core, sim.now);
  grant.term = status (l).term + 1;
  grant.u.vote_answer = (struct lg_vote_answer){ true, true };
  request (l, grant, LG_VOTE_REQUEST);
  grant.u.vote_answer.pre_vote = false;
  request (l, grant, LG_VOTE_REQUEST);
  CU_ASSERT_EQUAL_FATAL (status (l).role, LG_LEADER);
  return grant.from;
}

/* Passes to L a forged answer of FROM that acknowledges the entries up to
   MATCH, to a request that was sent at SENT.  */
static inline void
acknowledge (size_t l, uint64_t from, uint64_t match, zp_time sent)
{
  struct lg_msg m = { .kind = LG_APPEND_ANSWER, .from = from };

  m.term = status (l).term;
  m.u.append_answer
      = (struct lg_append_answer){ .ok = true, .match = match, .sent = sent };
  request (l, m, LG_APPEND);
}

#endif
