/* NAME
     ledger-world - cores that exchange messages under the control of a test

   DESCRIPTION
     All members share one clock.  Messages wait in a queue until the test
     delivers them, and a member outside REACHABLE neither sends nor receives.
     INSTANT_DISK carries out every write at once.  */

#ifndef ZP_TESTS_LEDGER_WORLD_H
#define ZP_TESTS_LEDGER_WORLD_H

#include "ledger-fake.h"

#define WORLD_SIZE 4

static struct world
{
  struct fake member[WORLD_SIZE];
  struct lg_members founders;
  zp_time now;
  struct lg_out *flight[4096];
  size_t flights;
  unsigned reachable; /* bit I - 1: member I */
  uint64_t applied[WORLD_SIZE], committed[WORLD_SIZE], refused[WORLD_SIZE],
      lost[WORLD_SIZE];
  bool instant_disk;
} world;

static inline void
reply (size_t i, const struct lg_reply *r)
{
  switch (r->kind)
    {
    case LG_REPLY_COMMITTED:
      world.committed[i]++;
      break;
    case LG_REPLY_REFUSED:
      world.refused[i]++;
      break;
    case LG_REPLY_UNKNOWN:
      world.lost[i]++;
      break;
    case LG_REPLY_ACCEPTED:
      break;
    }
}

static inline void
output (size_t i, struct lg_out *o)
{
  struct fake *f = &world.member[i];

  switch (o->kind)
    {
    case LG_OUT_MSG:
      if (world.flights < 4096)
        world.flight[world.flights++] = fake_take (o);
      break;
    case LG_OUT_WRITE:
      fake_queue (f, o);
      break;
    case LG_OUT_COMMITTED:
      CU_ASSERT_EQUAL (o->u.committed.index, world.applied[i] + 1);
      world.applied[i] = o->u.committed.index;
      break;
    case LG_OUT_RESTORE:
      CU_ASSERT (o->u.restore->index >= world.applied[i]);
      world.applied[i] = o->u.restore->index;
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
  struct fake *f = &world.member[i];

  do
    {
      for (struct lg_out *o; (o = lg_core_next_out (f->core)); lg_out_free (o))
        output (i, o);
      if (world.instant_disk && f->writes > 0)
        lg_core_written (f->core, world.now, fake_disk_step (f, SIZE_MAX), 0);
      else
        return;
    }
  while (true);
}

static inline bool
reaches (uint64_t id)
{
  return (world.reachable >> (id - 1)) & 1;
}

/* Delivers until no message is left.  */
static inline void
deliver (void)
{
  for (size_t i = 0; i < WORLD_SIZE; i++)
    if (world.member[i].core)
      drain (i);
  while (world.flights > 0)
    {
      struct lg_out *o = world.flight[0];
      struct lg_msg *m = &o->u.msg;
      memmove (world.flight, world.flight + 1,
               --world.flights * sizeof world.flight[0]);
      struct fake *to = &world.member[m->to - 1];
      if (to->core && reaches (m->from) && reaches (m->to))
        {
          lg_core_receive (to->core, world.now, m);
          drain (m->to - 1);
        }
      lg_out_free (o);
    }
}

static inline void
pass (zp_time t)
{
  for (zp_time end = world.now + t; world.now < end; deliver ())
    {
      world.now += 10 * ZP_MS;
      for (size_t i = 0; i < WORLD_SIZE; i++)
        if (world.member[i].core
            && world.now >= lg_core_next_tick (world.member[i].core))
          lg_core_tick (world.member[i].core, world.now);
    }
}

static inline void
start (size_t i)
{
  struct lg_members none = { .len = 0 };
  struct zp_err err = { .text = "" };

  world.applied[i] = 0;
  CU_ASSERT_FATAL (fake_start (
      &world.member[i], i < 3 ? &world.founders : &none, world.now, &err));
}

/* Three founders and one member that may join.  */
static inline void
set_up (void)
{
  memset (&world, 0, sizeof world);
  world.reachable = 7;
  world.instant_disk = true;
  for (size_t i = 0; i < 3; i++)
    lg_members_put (&world.founders, i + 1, true, ZP_STR ("here"));
  for (size_t i = 0; i < WORLD_SIZE; i++)
    {
      world.member[i].id = i + 1;
      zp_rng_seed (&world.member[i].rng, (uint32_t) i + 1);
      start (i);
    }
}

static inline void
tear_down (void)
{
  for (size_t i = 0; i < WORLD_SIZE; i++)
    fake_free (&world.member[i]);
  while (world.flights > 0)
    lg_out_free (world.flight[--world.flights]);
}

static inline struct lg_status
status (size_t i)
{
  return lg_core_status (world.member[i].core, world.now);
}

/* The index of the one leader with a lease; WORLD_SIZE when there is none.  */
static inline size_t
leader (void)
{
  size_t found = WORLD_SIZE;

  for (size_t i = 0; i < WORLD_SIZE; i++)
    if (world.member[i].core
        && lg_core_has_lease (world.member[i].core, world.now))
      {
        CU_ASSERT_EQUAL (found, WORLD_SIZE);
        found = i;
      }
  return found;
}

static inline size_t
elect (void)
{
  for (int i = 0; i < 100 && leader () == WORLD_SIZE; i++)
    pass (100 * ZP_MS);
  CU_ASSERT_FATAL (leader () < WORLD_SIZE);
  return leader ();
}

static inline void
propose (size_t i, int n)
{
  for (int k = 0; k < n; k++)
    lg_core_propose (world.member[i].core, world.now, 1, ZP_STR ("entry"));
  deliver ();
}

static inline void
change (size_t i, enum lg_change_kind kind, uint64_t id)
{
  struct lg_change c = { .kind = kind, .id = id, .address = ZP_STR ("here") };

  lg_core_change (world.member[i].core, world.now, 1, &c);
}

/* Gives member I a message of member FROM and returns its answer of KIND, or
   the same kind with no sender.  */
static inline struct lg_msg
ask (size_t i, struct lg_msg m, enum lg_msg_kind kind)
{
  struct lg_msg answer = { .kind = kind };

  m.to = i + 1;
  lg_core_receive (world.member[i].core, world.now, &m);
  drain (i);
  while (world.flights > 0)
    {
      struct lg_out *o = world.flight[--world.flights];
      if (o->u.msg.kind == kind && o->u.msg.to == m.from)
        answer = o->u.msg;
      lg_out_free (o);
    }
  return answer;
}

/* Restarts the leader L alone and makes it the leader of a new term with votes
   that the test sends in the name of the member that is returned.  */
static inline uint64_t
lead_again (size_t l)
{
  struct fake *f = &world.member[l];
  struct lg_msg grant = { .kind = LG_VOTE_ANSWER, .from = (l + 1) % 3 + 1 };

  world.reachable = 1U << l;
  fake_crash (f, 0, 0);
  start (l);
  world.now = lg_core_next_tick (f->core);
  lg_core_tick (f->core, world.now);
  grant.term = status (l).term + 1;
  grant.u.vote_answer = (struct lg_vote_answer){ true, true };
  ask (l, grant, LG_VOTE_REQUEST);
  grant.u.vote_answer.pre_vote = false;
  ask (l, grant, LG_VOTE_REQUEST);
  CU_ASSERT_EQUAL_FATAL (status (l).role, LG_LEADER);
  return grant.from;
}

/* Acknowledges, in the name of FROM, a request of L that was sent at SENT.  */
static inline void
acknowledge (size_t l, uint64_t from, uint64_t match, zp_time sent)
{
  struct lg_msg m = { .kind = LG_APPEND_ANSWER, .from = from };

  m.term = status (l).term;
  m.u.append_answer
      = (struct lg_append_answer){ .ok = true, .match = match, .sent = sent };
  ask (l, m, LG_APPEND);
}

#endif
