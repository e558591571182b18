#include "harness.h"
#include "seeds.h"
#include "steer-fixture.h"

#include "steer/link.h"

static void
report (struct st_link *from, struct st_link *to, zp_time now)
{
  struct st_link_report r;

  if (st_link_own_report (from, now, &r))
    st_link_report (to, &r, now);
}

/* Earliest time at which a configuration that is applied at 0 is in force.  */
#define T0 ST_LINK_WAIT

/* Two sharers of 1,000 bytes/s that are settled on configuration 1 at T0.  */
static void
two_settled (struct st_link *a, struct st_link *b)
{
  static const uint64_t both[] = { 1, 2 };

  st_link_init (a, 1, 1, 0);
  st_link_init (b, 2, 1, 0);
  st_link_configure (a, 1, 1000, both, 2, 0);
  st_link_configure (b, 1, 1000, both, 2, 0);
  report (a, b, T0);
  report (b, a, T0);
}

/* Guards against a share that is used before the other sharers follow the same
   configuration, and against one that never comes into force.  */
static void
test_share_waits_for_all_sharers (void)
{
  static const uint64_t three[] = { 1, 2, 3 };
  struct st_link a, b, c;

  two_settled (&a, &b);
  CU_ASSERT_EQUAL (st_link_rate (&a, T0), 500);
  st_link_init (&c, 3, 1, T0);
  st_link_configure (&c, 2, 1000, three, 3, T0);
  st_link_configure (&a, 2, 1000, three, 3, T0);
  report (&a, &c, 3 * T0);
  report (&b, &c, 3 * T0);
  CU_ASSERT_EQUAL (st_link_rate (&a, 3 * T0), 333);
  CU_ASSERT_EQUAL (st_link_rate (&c, 3 * T0), 0);
  st_link_configure (&b, 2, 1000, three, 3, 3 * T0);
  report (&b, &a, 3 * T0);
  report (&c, &a, 3 * T0);
  CU_ASSERT (a.settled);
  report (&a, &c, 3 * T0);
  CU_ASSERT_EQUAL (st_link_rate (&c, 3 * T0), 333);
  st_link_free (&a);
  st_link_free (&b);
  st_link_free (&c);
}

/* Guards against lending the same bandwidth twice, and against a borrower that
   is cut off and uses it after the end of its lease.  */
static void
test_borrowed_rate_ends (void)
{
  struct st_link a, b;
  struct st_link_grant g;

  two_settled (&a, &b);
  uint64_t n = st_link_request (&b, 1, T0);
  CU_ASSERT (st_link_lend (&a, 2, n, 400, T0 + 50 * MS, &g));
  st_link_granted (&b, 1, &g, T0 + 100 * MS);
  CU_ASSERT_EQUAL (st_link_rate (&a, T0 + 100 * MS), 250);
  CU_ASSERT_EQUAL (st_link_rate (&b, T0 + 100 * MS), 750);
  CU_ASSERT_EQUAL (st_link_rate (&b, T0 + 2 * S - 1), 750);
  CU_ASSERT_EQUAL (st_link_rate (&b, T0 + 2 * S), 500);
  CU_ASSERT_EQUAL (st_link_rate (&a, T0 + 2070 * MS - 1), 250);
  CU_ASSERT_EQUAL (st_link_rate (&a, T0 + 2070 * MS), 500);
  /* A copy of the grant after a newer request is ignored.  */
  st_link_request (&b, 1, T0 + 3 * S);
  st_link_granted (&b, 1, &g, T0 + 3 * S);
  CU_ASSERT_EQUAL (st_link_rate (&b, T0 + 3 * S), 500);
  st_link_free (&a);
  st_link_free (&b);
}

/* Guards against lending bandwidth that the lender uses itself.  */
static void
test_lender_keeps_what_it_uses (void)
{
  struct st_link a, b;
  struct st_link_grant g;

  two_settled (&a, &b);
  for (zp_time t = T0; t <= T0 + 2 * S; t += 10 * MS)
    st_link_take (&a, 5, t);
  CU_ASSERT (!st_link_lend (&a, 2, 1, 400, T0 + 2 * S, &g)
             || g.rate <= 500 - 400);
  st_link_free (&a);
  st_link_free (&b);
}

/* Guards against an estimate that is too low and is never corrected.  */
static void
test_sent_bytes_are_charged (void)
{
  struct st_link a, b;
  int64_t sent = 0;

  two_settled (&a, &b);
  for (zp_time t = T0; t < T0 + 60 * S; t += 10 * MS)
    if (st_link_take (&a, 10, t))
      {
        st_link_correct (&a, 10, 70, t);
        sent += 70;
      }
  CU_ASSERT (sent <= 500 * 60 + 50 + 70);
  CU_ASSERT (sent >= 500 * 60 - 70);
  CU_ASSERT_EQUAL (st_link_estimate (1600, 3200), 1700);
  st_link_free (&a);
  st_link_free (&b);
}

/* Property test: a simulation of sharers that exchange messages.  Messages are
   lost, delayed and duplicated; sharers restart, join, leave and are cut off;
   clock rates differ.  */

#define SHARERS 5
#define CONFIGS 64
#define IN_FLIGHT_MAX 2048

enum message_kind
{
  MESSAGE_REPORT,
  MESSAGE_REQUEST,
  MESSAGE_GRANT,
};

struct message
{
  enum message_kind kind;
  zp_time due;
  unsigned from, to;
  uint64_t number;
  int64_t want;
  struct st_link_report report;
  struct st_link_grant grant;
};

struct config
{
  int64_t capacity;
  uint64_t member[SHARERS];
  size_t members;
  zp_time replaced;
};

struct sharer
{
  struct st_link l;
  struct skewed_clock clock;
  uint64_t incarnation;
  uint64_t received; /* number of the last configuration, over restarts */
  zp_time received_at;
  uint64_t follows; /* last configuration that no lease of it exceeds */
  zp_time stopped;  /* its leases last until ST_LINK_WAIT later */
  bool runs, partitioned;
};

struct sim
{
  struct zp_rng rng;
  zp_time now;
  struct sharer s[SHARERS];
  struct config config[CONFIGS];
  unsigned latest;
  struct message in_flight[IN_FLIGHT_MAX];
  size_t in_flight_count;
};

static unsigned long borrowed_steps, settled_steps;

static zp_time
local_time (const struct sim *sim, unsigned i)
{
  return clock_at (&sim->s[i].clock, sim->now);
}

static void
send_message (struct sim *sim, struct message m)
{
  if (sim->s[m.from].partitioned || sim->s[m.to].partitioned
      || chance (&sim->rng, 0.1))
    return;
  for (int n = chance (&sim->rng, 0.1) ? 2 : 1;
       n > 0 && sim->in_flight_count < IN_FLIGHT_MAX; n--)
    {
      m.due = sim->now + zp_rng_below (&sim->rng, 100000);
      if (chance (&sim->rng, 0.05))
        m.due += zp_rng_below (&sim->rng, 5000000);
      sim->in_flight[sim->in_flight_count++] = m;
    }
}

static void
start (struct sim *sim, unsigned i)
{
  st_link_free (&sim->s[i].l);
  st_link_init (&sim->s[i].l, i + 1, ++sim->s[i].incarnation,
                local_time (sim, i));
  sim->s[i].runs = true;
}

/* Adds a configuration: a new capacity, a sharer that joins, or one that was
   stopped and leaves.  */
static void
reconfigure (struct sim *sim)
{
  if (sim->latest + 1 == CONFIGS)
    return;
  struct config c = { .capacity = sim->config[sim->latest].capacity };
  unsigned i = zp_rng_below (&sim->rng, SHARERS);

  if (chance (&sim->rng, 0.3))
    c.capacity = 1000 + zp_rng_below (&sim->rng, 100000);
  else if (sim->s[i].runs)
    {
      st_link_free (&sim->s[i].l);
      sim->s[i].runs = false;
      sim->s[i].stopped = sim->now;
    }
  else
    start (sim, i);
  for (unsigned k = 0; k < SHARERS; k++)
    if (sim->s[k].runs)
      c.member[c.members++] = k + 1;
  sim->config[sim->latest].replaced = sim->now;
  sim->config[++sim->latest] = c;
  TRACE ("%.3f config %u: %ld bytes/s for %zu\n", (double) sim->now / 1e6,
         sim->latest, (long) c.capacity, c.members);
}

static void
deliver (struct sim *sim, const struct message *m)
{
  struct st_link *l = &sim->s[m->to].l;
  zp_time t = local_time (sim, m->to);
  struct message a = { .kind = MESSAGE_GRANT, .from = m->to, .to = m->from };

  switch (m->kind)
    {
    case MESSAGE_REPORT:
      st_link_report (l, &m->report, t);
      return;
    case MESSAGE_REQUEST:
      if (!st_link_lend (l, m->from + 1, m->number, m->want, t, &a.grant))
        return;
      TRACE ("%.3f d%u lends d%u %ld\n", (double) sim->now / 1e6, m->to,
             m->from, (long) a.grant.rate);
      send_message (sim, a);
      return;
    case MESSAGE_GRANT:
      st_link_granted (l, m->from + 1, &m->grant, t);
      return;
    }
}

static void
run (struct sim *sim, unsigned i)
{
  struct st_link *l = &sim->s[i].l;
  zp_time t = local_time (sim, i);
  unsigned to = zp_rng_below (&sim->rng, SHARERS);
  struct message m = { .from = i, .to = to };

  if (!sim->s[i].partitioned && sim->latest > 0 && chance (&sim->rng, 0.1))
    {
      unsigned n = sim->latest - (chance (&sim->rng, 0.3) ? 1 : 0);
      n = n < sim->s[i].received ? (unsigned) sim->s[i].received : n;
      const struct config *c = &sim->config[n];

      if (n != sim->s[i].received)
        sim->s[i].received_at = sim->now;
      sim->s[i].received = n;
      st_link_configure (l, n, c->capacity, c->member, c->members, t);
    }
  if (chance (&sim->rng, 0.3) && st_link_own_report (l, t, &m.report))
    {
      m.kind = MESSAGE_REPORT;
      send_message (sim, m);
    }
  if (chance (&sim->rng, 0.1) && to != i)
    {
      m.kind = MESSAGE_REQUEST;
      m.want = 1 + zp_rng_below (&sim->rng, 50000);
      m.number = st_link_request (l, to + 1, t);
      send_message (sim, m);
    }
  if (chance (&sim->rng, 0.3))
    st_link_take (l, zp_rng_below (&sim->rng, 500), t);
}

/* Whether the sum of all rates is at most the largest capacity among the
   configurations that some sharer still follows.  A configuration is followed
   until ST_LINK_WAIT after the next one was received, when the last lease
   under it has ended.  */
static bool
within_link (struct sim *sim)
{
  uint64_t lowest = sim->latest;
  int64_t most = 0, sum = 0;
  struct st_link_report r;

  for (unsigned i = 0; i < SHARERS; i++)
    {
      bool counts
          = sim->s[i].runs || sim->now - sim->s[i].stopped < ST_LINK_WAIT;
      if (counts && sim->s[i].follows > 0 && sim->s[i].follows < lowest)
        lowest = sim->s[i].follows;
      if (!sim->s[i].runs)
        continue;
      struct st_link *l = &sim->s[i].l;
      if (l->config > 0 && l->config < lowest)
        lowest = l->config;
      sum += st_link_rate (l, local_time (sim, i));
      borrowed_steps += l->borroweds > 0;
      settled_steps += l->settled;
      if (st_link_own_report (l, local_time (sim, i), &r)
          && sim->now - sim->s[i].received_at >= ST_LINK_WAIT)
        sim->s[i].follows = r.number;
    }
  while (lowest > 0
         && sim->now - sim->config[lowest - 1].replaced < ST_LINK_WAIT)
    lowest--;
  for (uint64_t n = lowest; n <= sim->latest; n++)
    most = sim->config[n].capacity > most ? sim->config[n].capacity : most;
  if (sum <= most)
    return true;
  TRACE ("%.3f sum %ld above %ld\n", (double) sim->now / 1e6, (long) sum,
         (long) most);
  for (unsigned i = 0; i < SHARERS; i++)
    TRACE ("  d%u config %lu rate %ld\n", i,
           (unsigned long) sim->s[i].l.config,
           (long) st_link_rate (&sim->s[i].l, local_time (sim, i)));
  return false;
}

/* Runs the simulation for 120 s.  Returns false at the first violation.  */
static bool
capacity_holds (uint32_t seed)
{
  struct sim *sim = zp_alloc (sizeof *sim);
  bool ok = true;

  zp_rng_seed (&sim->rng, seed);
  for (unsigned i = 0; i < SHARERS; i++)
    {
      sim->s[i].clock = clock_new (&sim->rng);
      if (i > 0)
        start (sim, i);
    }
  sim->config[0].capacity = 10000;
  while (ok && sim->now < 120 * S)
    {
      sim->now += 1000 + zp_rng_below (&sim->rng, 100000);
      if (chance (&sim->rng, sim->latest == 0 ? 1 : 0.01))
        reconfigure (sim);
      unsigned any = zp_rng_below (&sim->rng, SHARERS);
      if (chance (&sim->rng, 0.02))
        sim->s[any].partitioned = !sim->s[any].partitioned;
      if (chance (&sim->rng, 0.02) && sim->s[any].runs)
        {
          TRACE ("%.3f d%u restarts\n", (double) sim->now / 1e6, any);
          start (sim, any);
        }
      for (size_t i = sim->in_flight_count; i-- > 0;)
        if (sim->in_flight[i].due <= sim->now)
          {
            struct message m = sim->in_flight[i];
            sim->in_flight[i] = sim->in_flight[--sim->in_flight_count];
            if (sim->s[m.to].runs)
              deliver (sim, &m);
          }
      for (unsigned i = 0; i < SHARERS; i++)
        if (sim->s[i].runs)
          run (sim, i);
      ok = within_link (sim);
    }
  for (unsigned i = 0; i < SHARERS; i++)
    st_link_free (&sim->s[i].l);
  free (sim);
  return ok;
}

/* Guards against any order of events that lets the sharers of a link use more
   than its capacity.  The counts show that bandwidth was borrowed and that
   configurations came into force in the simulation.  */
static void
test_sum_never_exceeds_link (void)
{
  CU_ASSERT_EQUAL (seeds_run (capacity_holds, 500), 0);
  printf (" borrowed %lu, settled %lu\n", borrowed_steps, settled_steps);
  CU_ASSERT (borrowed_steps > 0 && settled_steps > 0);
}

static const struct zp_test tests[] = {
  { "share waits for all sharers", test_share_waits_for_all_sharers },
  { "borrowed rate ends", test_borrowed_rate_ends },
  { "lender keeps what it uses", test_lender_keeps_what_it_uses },
  { "sent bytes are charged", test_sent_bytes_are_charged },
  { "sum never exceeds link", test_sum_never_exceeds_link },
};

TEST_MAIN ("link", tests)
