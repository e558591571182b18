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

/* When a configuration taken in at 0 may be in force.  */
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

/* Guards against a part that is used before the others follow the same
   configuration, and against one that never comes into force.  */
static void
test_part_waits_for_all_sharers (void)
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

/* Guards against lending the same bytes twice, and against a cut-off borrower
   that goes on after the end of its lease.  */
static void
test_borrowed_rate_ends (void)
{
  struct st_link a, b;
  struct st_link_grant g;

  two_settled (&a, &b);
  uint64_t n = st_link_ask (&b, 1, T0);
  CU_ASSERT (st_link_lend (&a, 2, n, 400, T0 + 50 * MS, &g));
  st_link_granted (&b, 1, &g, T0 + 100 * MS);
  CU_ASSERT_EQUAL (st_link_rate (&a, T0 + 100 * MS), 250);
  CU_ASSERT_EQUAL (st_link_rate (&b, T0 + 100 * MS), 750);
  CU_ASSERT_EQUAL (st_link_rate (&b, T0 + 2 * S - 1), 750);
  CU_ASSERT_EQUAL (st_link_rate (&b, T0 + 2 * S), 500);
  CU_ASSERT_EQUAL (st_link_rate (&a, T0 + 2070 * MS - 1), 250);
  CU_ASSERT_EQUAL (st_link_rate (&a, T0 + 2070 * MS), 500);
  /* A copy of the grant after a newer ask.  */
  st_link_ask (&b, 1, T0 + 3 * S);
  st_link_granted (&b, 1, &g, T0 + 3 * S);
  CU_ASSERT_EQUAL (st_link_rate (&b, T0 + 3 * S), 500);
  st_link_free (&a);
  st_link_free (&b);
}

/* Guards against lending what the lender needs itself.  */
static void
test_lender_keeps_its_own_demand (void)
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

/* Guards against an estimate that is too low and is never made good.  */
static void
test_really_sent_bytes_are_charged (void)
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

/* Property test: sharers joined by a bag of messages.  */

#define SHARERS 5
#define CONFIGS 64
#define BAG 2048

enum bag_kind
{
  BAG_REPORT,
  BAG_ASK,
  BAG_GRANT,
};

struct bag_item
{
  enum bag_kind kind;
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
  uint64_t life;
  uint64_t given; /* the last configuration, over restarts */
  zp_time given_at;
  uint64_t follows; /* the last number under which all its leases are */
  zp_time stopped;  /* its leases run on for ST_LINK_WAIT */
  bool runs, cut;
};

struct world
{
  struct zp_rng rng;
  zp_time now;
  struct sharer s[SHARERS];
  struct config config[CONFIGS];
  unsigned latest;
  struct bag_item bag[BAG];
  size_t bagged;
};

static unsigned long borrowed_steps, settled_steps;

static zp_time
local (const struct world *w, unsigned i)
{
  return clock_at (&w->s[i].clock, w->now);
}

static void
put (struct world *w, struct bag_item m)
{
  if (w->s[m.from].cut || w->s[m.to].cut || chance (&w->rng, 0.1))
    return;
  for (int n = chance (&w->rng, 0.1) ? 2 : 1; n > 0 && w->bagged < BAG; n--)
    {
      m.due = w->now + zp_rng_below (&w->rng, 100000);
      if (chance (&w->rng, 0.05))
        m.due += zp_rng_below (&w->rng, 5000000);
      w->bag[w->bagged++] = m;
    }
}

static void
start (struct world *w, unsigned i)
{
  st_link_free (&w->s[i].l);
  st_link_init (&w->s[i].l, i + 1, ++w->s[i].life, local (w, i));
  w->s[i].runs = true;
}

/* A new capacity, or a sharer that joins, or one that has stopped leaves.  */
static void
reconfigure (struct world *w)
{
  if (w->latest + 1 == CONFIGS)
    return;
  struct config c = { .capacity = w->config[w->latest].capacity };
  unsigned i = zp_rng_below (&w->rng, SHARERS);

  if (chance (&w->rng, 0.3))
    c.capacity = 1000 + zp_rng_below (&w->rng, 100000);
  else if (w->s[i].runs)
    {
      st_link_free (&w->s[i].l);
      w->s[i].runs = false;
      w->s[i].stopped = w->now;
    }
  else
    start (w, i);
  for (unsigned k = 0; k < SHARERS; k++)
    if (w->s[k].runs)
      c.member[c.members++] = k + 1;
  w->config[w->latest].replaced = w->now;
  w->config[++w->latest] = c;
  TRACE ("%.3f config %u: %ld bytes/s for %zu\n", (double) w->now / 1e6,
         w->latest, (long) c.capacity, c.members);
}

static void
deliver (struct world *w, const struct bag_item *m)
{
  struct st_link *l = &w->s[m->to].l;
  zp_time t = local (w, m->to);
  struct bag_item a = { .kind = BAG_GRANT, .from = m->to, .to = m->from };

  switch (m->kind)
    {
    case BAG_REPORT:
      st_link_report (l, &m->report, t);
      return;
    case BAG_ASK:
      if (!st_link_lend (l, m->from + 1, m->number, m->want, t, &a.grant))
        return;
      TRACE ("%.3f d%u lends d%u %ld\n", (double) w->now / 1e6, m->to, m->from,
             (long) a.grant.rate);
      put (w, a);
      return;
    case BAG_GRANT:
      st_link_granted (l, m->from + 1, &m->grant, t);
      return;
    }
}

static void
run (struct world *w, unsigned i)
{
  struct st_link *l = &w->s[i].l;
  zp_time t = local (w, i);
  unsigned to = zp_rng_below (&w->rng, SHARERS);
  struct bag_item m = { .from = i, .to = to };

  if (!w->s[i].cut && w->latest > 0 && chance (&w->rng, 0.1))
    {
      unsigned n = w->latest - (chance (&w->rng, 0.3) ? 1 : 0);
      n = n < w->s[i].given ? (unsigned) w->s[i].given : n;
      const struct config *c = &w->config[n];

      if (n != w->s[i].given)
        w->s[i].given_at = w->now;
      w->s[i].given = n;
      st_link_configure (l, n, c->capacity, c->member, c->members, t);
    }
  if (chance (&w->rng, 0.3) && st_link_own_report (l, t, &m.report))
    {
      m.kind = BAG_REPORT;
      put (w, m);
    }
  if (chance (&w->rng, 0.1) && to != i)
    {
      m.kind = BAG_ASK;
      m.want = 1 + zp_rng_below (&w->rng, 50000);
      m.number = st_link_ask (l, to + 1, t);
      put (w, m);
    }
  if (chance (&w->rng, 0.3))
    st_link_take (l, zp_rng_below (&w->rng, 500), t);
}

/* The sum is at most the largest capacity among the configurations that some
   sharer still follows.  One is followed until ST_LINK_WAIT after the next was
   given, when the last lease under it has ended.  */
static bool
within_link (struct world *w)
{
  uint64_t lowest = w->latest;
  int64_t most = 0, sum = 0;
  struct st_link_report r;

  for (unsigned i = 0; i < SHARERS; i++)
    {
      bool counts = w->s[i].runs || w->now - w->s[i].stopped < ST_LINK_WAIT;
      if (counts && w->s[i].follows > 0 && w->s[i].follows < lowest)
        lowest = w->s[i].follows;
      if (!w->s[i].runs)
        continue;
      struct st_link *l = &w->s[i].l;
      if (l->config > 0 && l->config < lowest)
        lowest = l->config;
      sum += st_link_rate (l, local (w, i));
      borrowed_steps += l->borroweds > 0;
      settled_steps += l->settled;
      if (st_link_own_report (l, local (w, i), &r)
          && w->now - w->s[i].given_at >= ST_LINK_WAIT)
        w->s[i].follows = r.number;
    }
  while (lowest > 0 && w->now - w->config[lowest - 1].replaced < ST_LINK_WAIT)
    lowest--;
  for (uint64_t n = lowest; n <= w->latest; n++)
    most = w->config[n].capacity > most ? w->config[n].capacity : most;
  if (sum <= most)
    return true;
  TRACE ("%.3f sum %ld above %ld\n", (double) w->now / 1e6, (long) sum,
         (long) most);
  for (unsigned i = 0; i < SHARERS; i++)
    TRACE ("  d%u config %lu rate %ld\n", i, (unsigned long) w->s[i].l.config,
           (long) st_link_rate (&w->s[i].l, local (w, i)));
  return false;
}

static bool
link_holds (uint32_t seed)
{
  struct world *w = zp_alloc (sizeof *w);
  bool ok = true;

  zp_rng_seed (&w->rng, seed);
  for (unsigned i = 0; i < SHARERS; i++)
    {
      w->s[i].clock = clock_new (&w->rng);
      if (i > 0)
        start (w, i);
    }
  w->config[0].capacity = 10000;
  while (ok && w->now < 120 * S)
    {
      w->now += 1000 + zp_rng_below (&w->rng, 100000);
      if (chance (&w->rng, w->latest == 0 ? 1 : 0.01))
        reconfigure (w);
      unsigned any = zp_rng_below (&w->rng, SHARERS);
      if (chance (&w->rng, 0.02))
        w->s[any].cut = !w->s[any].cut;
      if (chance (&w->rng, 0.02) && w->s[any].runs)
        {
          TRACE ("%.3f d%u restarts\n", (double) w->now / 1e6, any);
          start (w, any);
        }
      for (size_t i = w->bagged; i-- > 0;)
        if (w->bag[i].due <= w->now)
          {
            struct bag_item m = w->bag[i];
            w->bag[i] = w->bag[--w->bagged];
            if (w->s[m.to].runs)
              deliver (w, &m);
          }
      for (unsigned i = 0; i < SHARERS; i++)
        if (w->s[i].runs)
          run (w, i);
      ok = within_link (w);
    }
  for (unsigned i = 0; i < SHARERS; i++)
    st_link_free (&w->s[i].l);
  free (w);
  return ok;
}

/* Guards against any order of events that lets the sharers of a link use more
   than its capacity, and against a world in which nothing happens.  */
static void
test_sum_never_exceeds_link (void)
{
  CU_ASSERT_EQUAL (seeds_run (link_holds, 500), 0);
  printf (" borrowed %lu, settled %lu\n", borrowed_steps, settled_steps);
  CU_ASSERT (borrowed_steps > 0 && settled_steps > 0);
}

static const struct zp_test tests[] = {
  { "part waits for all sharers", test_part_waits_for_all_sharers },
  { "borrowed rate ends", test_borrowed_rate_ends },
  { "lender keeps its own demand", test_lender_keeps_its_own_demand },
  { "really sent bytes are charged", test_really_sent_bytes_are_charged },
  { "sum never exceeds link", test_sum_never_exceeds_link },
};

TEST_MAIN ("link", tests)
