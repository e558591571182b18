/* Random simulation that checks the safety rules of the log and of the lease.
   Three to five cores run on a network that loses, delays, duplicates and
   reorders messages and breaks links, with crashes between any two disk
   writes and disks that are full for a while, also all of them.  At the end, without faults, the group has to commit entries again.

   test-ledger-steps [FIRST-SEED [COUNT]] runs these seeds, and runs a seed
   that fails again with a trace of its events.  */

#include "harness.h"

#include <inttypes.h>
#include "ledger-fake.h"

#define NODES 5
/* Simulated times: faults happen between FAULTS_BEGIN and FAULTS_END.  */
#define FAULTS_BEGIN (6 * ZP_SEC)
#define FAULTS_END (60 * ZP_SEC)
#define END (90 * ZP_SEC)

struct node
{
  struct fake member;
  uint64_t applied;           /* index of the last applied entry */
  uint64_t chain;             /* hash of all applied entries */
  zp_time paused_until, skew; /* SKEW: offset of the clock */
  zp_time full_until;         /* of the disk */
  double rate;                /* of the clock; 1: exact */
};

static struct sim
{
  _Alignas(16) struct zp_rng rng;
  zp_time now;
  size_t nodes, voters; /* the nodes after the voters can join */
  struct node node[NODES];
  bool cut[NODES][NODES]; /* broken links, by sender and receiver */
  struct lg_out *msg[8192];
  zp_time arrival[8192];
  size_t msgs, state_bytes; /* padding, for transfers of several chunks */
  bool faults, trace, failed, wiped, had_leader[4096]; /* by term */
  uint32_t disk_speed, restart_odds; /* differ from run to run */
  uint64_t proposals, last_committed, chain[20000]; /* by index */
  uint64_t last_acked; /* highest index that a proposer was told */
} sim;

static uint32_t
below (uint32_t n)
{
  return zp_rng_below (&sim.rng, n);
}

static void
event (const struct node *n, const char *what, uint64_t a, uint64_t b)
{
  if (sim.trace)
    printf ("%9.3f ms node %" PRIu64 ": %s %" PRIu64 " %" PRIu64 "\n",
            (double) sim.now / 1000, n->member.id, what, a, b);
}

static void
check (const struct node *n, bool ok, const char *rule)
{
  if (!ok)
    event (n, rule, 0, 0);
  sim.failed = sim.failed || !ok;
}

/* Each node has its own clock, with its own offset and rate.  */
static zp_time
local_time (const struct node *n)
{
  return n->skew + (zp_time) ((double) sim.now * n->rate);
}

static void
crash (struct node *n)
{
  event (n, "crash; writes queued", n->member.writes, 0);
  fake_crash (&n->member, below ((uint32_t) n->member.writes + 1), below (40));
}

static void
start (struct node *n)
{
  struct lg_members members = { .len = 0 };
  struct zp_err err = { .code = ZP_OK };

  for (size_t i = 0; i < sim.voters && n->member.id <= sim.voters; i++)
    lg_members_put (&members, i + 1, true, ZP_STR ("here"));
  n->applied = n->chain = 0;
  event (n, "start; bytes of log", n->member.log.len, 0);
  check (n, fake_start (&n->member, &members, local_time (n), &err), err.text);
}

/* N has applied the entries up to INDEX.  All members have to apply the same
   entries.  */
static void
applied (struct node *n, const char *how, uint64_t index, uint64_t chain)
{
  event (n, how, index, chain);
  n->applied = index;
  n->chain = chain;
  if (index > sim.last_committed)
    sim.chain[sim.last_committed = index] = chain;
  check (n, sim.chain[index] == chain, "BROKEN: committed entries are final");
}

static void
commit (struct node *n, const struct lg_entry *e)
{
  uint64_t head[3] = { e->index, e->term, n->chain };
  struct zp_str s = { (char *) head, sizeof head };
  check (n, e->index == n->applied + 1,
         "BROKEN: entries are applied in order");
  applied (n, "applies", e->index,
           zp_str_hash (zp_str_of (&e->bytes), zp_str_hash (s, 0)));
}

static void
restore (struct node *n, const struct lg_snapshot *s)
{
  uint64_t chain;
  memcpy (&chain, s->bytes.ptr, sizeof chain);
  check (n, s->index >= n->applied, "BROKEN: a restore never goes back");
  check (n, s->index <= sim.last_committed,
         "BROKEN: a snapshot covers committed entries");
  applied (n, "restores", s->index, chain);
}

static void
drain (struct node *n)
{
  struct zp_buf state = { .ptr = NULL };

  for (struct lg_out *o; (o = lg_core_next_out (n->member.core));
       lg_out_free (o))
    switch (o->kind)
      {
      case LG_OUT_MSG:
        if (sim.msgs == 8192 || (sim.faults && below (20) == 0))
          break;
        sim.arrival[sim.msgs]
            = sim.now + below (below (20) == 0 ? 1000000 : 60000);
        sim.msg[sim.msgs++] = fake_move (o);
        break;
      case LG_OUT_WRITE:
        fake_queue (&n->member, o);
        break;
      case LG_OUT_COMMITTED:
        commit (n, &o->u.committed);
        break;
      case LG_OUT_RESTORE:
        restore (n, o->u.restore);
        break;
      case LG_OUT_SNAPSHOT_DUE:
        zp_buf_clear (&state);
        zp_buf_put_bytes (&state, &n->chain, sizeof n->chain);
        while (state.len < sim.state_bytes)
          zp_buf_put (&state, ZP_STR ("0123456789abcdef0123456789abcdef"));
        lg_core_snapshot (n->member.core, o->u.snapshot_index,
                          zp_str_of (&state));
        break;
      case LG_OUT_ROLE:
        event (n, "role, term", o->u.role.role, o->u.role.term);
        if (o->u.role.role != LG_LEADER)
          break;
        check (n, !sim.had_leader[o->u.role.term],
               "BROKEN: one leader a term");
        sim.had_leader[o->u.role.term] = true;
        break;
      case LG_OUT_REPLY:
        if (o->u.reply.kind == LG_REPLY_COMMITTED
            && o->u.reply.index > sim.last_acked)
          sim.last_acked = o->u.reply.index;
        break;
      case LG_OUT_MEMBERS:
        break;
      }
  zp_buf_free (&state);
}

/* Delivers the messages that are due.  Messages to a node that is down are
   lost, as its connections are closed.  */
static void
deliver (void)
{
  for (size_t i = 0; i < sim.msgs; i++)
    {
      struct lg_msg *m = &sim.msg[i]->u.msg;
      struct node *n = &sim.node[m->to - 1];
      if (n->member.core
          && (sim.arrival[i] > sim.now || n->paused_until > sim.now))
        continue;
      event (n, "receives; kind, from", m->kind, m->from);
      if (n->member.core && !sim.cut[m->from - 1][n->member.id - 1])
        lg_core_receive (n->member.core, local_time (n), m);
      sim.arrival[i] += below (3000000);
      if (sim.faults && below (30) == 0)
        continue;
      lg_out_free (sim.msg[i]);
      sim.msg[i] = sim.msg[--sim.msgs];
      sim.arrival[i--] = sim.arrival[sim.msgs];
    }
}

static void
fault (struct node *n)
{
  if (!n->member.core ? below (sim.restart_odds) == 0
                      : below (n->member.writes > 0 ? 200 : 3000) == 0)
    n->member.core ? crash (n) : start (n);
  if (below (2000) == 0)
    n->paused_until = sim.now + below (4000000);
  if (below (3000) == 0)
    n->full_until = sim.now + below (4000000);
  if (below (20000) == 0)
    for (size_t i = 0; i < sim.nodes; i++)
      sim.node[i].full_until = sim.now + below (4000000);
  /* The two directions of a link break independently.  */
  if (below (100) == 0)
    sim.cut[below (NODES)][n->member.id - 1] = below (10) < 4;
  /* A node that is down loses its storage and keeps its id: at most once in a
     run, and only when the members are fixed.  */
  if (n->member.core || sim.nodes > sim.voters || sim.wiped || below (50) > 0)
    return;
  sim.wiped = true;
  event (n, "storage wiped", 0, 0);
  fake_wipe (&n->member);
}

static void
step (struct node *n)
{
  struct lg_change change = { .address = ZP_STR ("here") };

  change.kind = (enum lg_change_kind) below (3);
  change.id = 1 + below (NODES);
  n->member.full = sim.faults && n->full_until > sim.now;
  if (sim.faults)
    fault (n);
  else if (!n->member.core)
    start (n);
  if (!n->member.core || n->paused_until > sim.now)
    return;
  if (below (25) == 0)
    lg_core_propose (n->member.core, local_time (n), ++sim.proposals,
                     (struct zp_str){ (char *) &sim.proposals, 8 });
  if (sim.faults && sim.nodes > sim.voters && below (500) == 0)
    lg_core_change (n->member.core, local_time (n), 0, &change);
  if (local_time (n) >= lg_core_next_tick (n->member.core))
    lg_core_tick (n->member.core, local_time (n));
  for (drain (n); n->member.writes > 0 && below (10) < sim.disk_speed;
       drain (n))
    {
      uint64_t number;
      int error = fake_disk_try (&n->member, below (40), &number);
      if (error != 0)
        event (n, "write fails", number, 0);
      lg_core_written (n->member.core, local_time (n), number, error);
    }
}

static bool
run (uint32_t seed, bool trace)
{
  struct node *leader = NULL, *end;
  uint64_t committed = 0; /* last committed entry when the faults ended */
  sim = (struct sim){ .trace = trace, .voters = seed % 3 == 0 ? 5 : 3 };
  zp_rng_seed (&sim.rng, seed);
  sim.disk_speed = 1 + below (6);
  sim.restart_odds = below (2) == 0 ? 4 : 200;
  sim.nodes = seed % 2 == 0 ? NODES : sim.voters;
  sim.state_bytes = seed % 8 == 0 ? 300 * 1024 : 8;
  end = sim.node + sim.nodes;
  for (struct node *n = sim.node; n < end; n++)
    {
      n->member.id = (uint64_t) (n - sim.node) + 1;
      n->skew = below (1000000000);
      n->rate = 0.99 + 0.02 * zp_rng_unit (&sim.rng);
      zp_rng_seed (&n->member.rng, below (UINT32_MAX));
    }
  for (; sim.now < END && !sim.failed; sim.now += 5 * ZP_MS)
    {
      sim.faults = sim.now >= FAULTS_BEGIN && sim.now < FAULTS_END;
      committed = sim.faults ? sim.last_committed : committed;
      if (!sim.faults)
        memset (sim.cut, 0, sizeof sim.cut);
      deliver ();
      leader = NULL;
      for (struct node *n = sim.node; n < end; n++)
        {
          step (n);
          if (!n->member.core
              || !lg_core_has_lease (n->member.core, local_time (n)))
            continue;
          check (n, !leader, "BROKEN: one lease at a time");
          check (n,
                 !lg_core_is_current (n->member.core, local_time (n))
                     || n->applied >= sim.last_acked,
                 "BROKEN: a current leader has all that was acknowledged");
          leader = n;
        }
    }
  check (sim.node,
         leader
             && lg_core_is_current (leader->member.core, local_time (leader)),
         "BROKEN: the leader is current after the faults");
  check (sim.node, leader && leader->applied > committed + 50,
         "BROKEN: the group commits entries after the faults");
  for (struct node *n = sim.node; n < end; n++)
    fake_free (&n->member);
  while (sim.msgs > 0)
    lg_out_free (sim.msg[--sim.msgs]);
  return !sim.failed;
}

static uint32_t first = 1, count = 300;

static void
test_steps (void)
{
  for (uint32_t seed = first; seed < first + count; seed++)
    if (!run (seed, false))
      {
        run (seed, true);
        printf ("replay: test-ledger-steps %" PRIu32 " 1\n", seed);
        CU_FAIL_FATAL ("a safety rule is violated");
      }
}

int
main (int argc, char **argv)
{
  first = argc > 1 ? (uint32_t) strtoul (argv[1], NULL, 10) : first;
  count = argc > 2 ? (uint32_t) strtoul (argv[2], NULL, 10) : count;
  CU_initialize_registry ();
  CU_add_test (CU_add_suite ("ledger-steps", NULL, NULL), "steps", test_steps);
  CU_basic_run_tests ();
  return CU_get_number_of_failures () == 0 ? 0 : 1;
}
