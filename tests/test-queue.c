#include "harness.h"

#include "base/rng.h"
#include "steer/queue.h"

#define MAX 40

/* Reference implementation: an unordered array, searched linearly.  */
struct model
{
  struct
  {
    struct st_queue_entry e;
    struct st_queue_ref ref;
  } at[MAX];
  size_t n;
};

static bool
before (const struct st_queue_entry *a, const struct st_queue_entry *b)
{
  if (a->class != b->class)
    return a->class < b->class;
  if (a->deadline != b->deadline)
    return a->deadline < b->deadline;
  return a->id < b->id; /* ids are given in order of arrival */
}

static size_t
first (const struct model *m)
{
  size_t best = 0;

  for (size_t i = 1; i < m->n; i++)
    if (before (&m->at[i].e, &m->at[best].e))
      best = i;
  return best;
}

static size_t
last (const struct model *m)
{
  size_t best = 0;

  for (size_t i = 1; i < m->n; i++)
    if (before (&m->at[best].e, &m->at[i].e))
      best = i;
  return best;
}

static void
drop (struct model *m, size_t i)
{
  m->at[i] = m->at[--m->n];
}

static void
push (struct st_queue *q, struct model *m, struct st_queue_entry e)
{
  struct st_push p = st_queue_push (q, &e, 0, 0);
  struct st_queue_ref ref = p.u.added;

  switch (p.kind)
    {
    case ST_PUSH_ADDED:
      CU_ASSERT_FATAL (m->n < MAX);
      break;
    case ST_PUSH_ADDED_EVICTED:
      CU_ASSERT_EQUAL (m->n, MAX);
      CU_ASSERT_EQUAL (p.u.evicted.evicted.id, m->at[last (m)].e.id);
      drop (m, last (m));
      ref = p.u.evicted.added;
      break;
    case ST_PUSH_FULL:
      CU_ASSERT_EQUAL (m->n, MAX);
      CU_ASSERT (before (&m->at[last (m)].e, &e));
      return;
    case ST_PUSH_TOO_LATE:
    case ST_PUSH_EXPIRED:
      CU_FAIL_FATAL ("refused for its deadline, although no slot is usable");
    }
  m->at[m->n].e = e;
  m->at[m->n++].ref = ref;
}

/* Guards against a wrong order, a wrong eviction, and heaps that no longer
   hold the same entries after a cancellation.  */
static void
test_order_against_reference (void)
{
  struct zp_rng rng;

  zp_rng_seed (&rng, 31);
  for (int round = 0; round < 50; round++)
    {
      struct st_queue *q = st_queue_new (MAX, 1);
      struct model m = { .n = 0 };
      struct st_queue_ref stale = { .slot = 0, .generation = UINT32_MAX };
      for (uint64_t id = 1; id < 1000; id++)
        {
          struct st_queue_entry e
              = { .id = id,
                  .class = zp_rng_below (&rng, ST_QUEUE_CLASSES),
                  .deadline = 10 + zp_rng_below (&rng, 50) };
          uint32_t action = zp_rng_below (&rng, 10);
          if (action < 6)
            push (q, &m, e);
          else if (action < 8 && m.n > 0)
            {
              struct st_pop p = st_queue_pop (q, 0);
              CU_ASSERT_EQUAL (p.kind, ST_POP_RUN);
              CU_ASSERT_EQUAL (p.entry.id, m.at[first (&m)].e.id);
              stale = m.at[first (&m)].ref;
              drop (&m, first (&m));
            }
          else if (m.n > 0)
            {
              size_t i = zp_rng_below (&rng, (uint32_t) m.n);
              CU_ASSERT (st_queue_cancel (q, m.at[i].ref));
              CU_ASSERT (!st_queue_cancel (q, m.at[i].ref));
              drop (&m, i);
            }
          CU_ASSERT (!st_queue_cancel (q, stale));
          CU_ASSERT_EQUAL (st_queue_len (q), m.n);
        }
      st_queue_free (q);
    }
}

/* Guards against dispatching an entry that can no longer meet its deadline,
   and against one that waits for ever behind more urgent ones.  */
static void
test_expired_entries_are_refused (void)
{
  struct st_queue *q = st_queue_new (4, 10);
  struct st_queue_entry e = { .id = 1, .class = 3, .deadline = 100 }, out;

  st_queue_push (q, &e, 0, 0);
  e = (struct st_queue_entry){ .id = 2, .class = 0, .deadline = 200 };
  st_queue_push (q, &e, 0, 0);
  CU_ASSERT_EQUAL (st_queue_next_expiry (q), 91);
  CU_ASSERT (!st_queue_expire (q, 90, &out));
  CU_ASSERT (st_queue_expire (q, 91, &out));
  CU_ASSERT_EQUAL (out.id, 1);
  CU_ASSERT_EQUAL (st_queue_pop (q, 195).kind, ST_POP_REFUSE);
  CU_ASSERT_EQUAL (st_queue_pop (q, 195).kind, ST_POP_NONE);
  CU_ASSERT_EQUAL (st_queue_push (q, &e, 0, 200).kind, ST_PUSH_EXPIRED);
  st_queue_free (q);
}

/* Guards against accepting a request that cannot finish in time, and against
   counting entries behind a request in its wait.  */
static void
test_early_refusal (void)
{
  struct st_queue *q = st_queue_new (100, 10);
  struct st_queue_entry e = { .class = 1, .deadline = 1000 };

  for (e.id = 1; e.id <= 10; e.id++)
    CU_ASSERT_EQUAL (st_queue_push (q, &e, 2, 0).kind, ST_PUSH_ADDED);
  e.deadline = 1001;
  struct st_push p = st_queue_push (q, &e, 2, 0);
  CU_ASSERT_EQUAL (p.wait, 55);
  /* Ten entries go first: 55 until a slot is free, then 10 to run.  */
  e = (struct st_queue_entry){ .class = 2, .deadline = 64 };
  CU_ASSERT_EQUAL (st_queue_push (q, &e, 2, 0).kind, ST_PUSH_TOO_LATE);
  e.class = 0;
  CU_ASSERT_EQUAL (st_queue_push (q, &e, 2, 0).kind, ST_PUSH_ADDED);

  /* One slow measurement must not refuse every request for ever.  */
  st_queue_free (q);
  q = st_queue_new (100, 10);
  st_queue_served (q, 1000000);
  int refused = 0;
  while (st_queue_push (q, &e, 1, 0).kind == ST_PUSH_TOO_LATE
         && refused < 10000)
    refused++;
  CU_ASSERT (refused > 0 && refused < 10000);
  st_queue_free (q);
}

/* Guards against a queue full of requests that finish too late: with a load of
   twice the capacity, the requests finished in time must be at least 95% of
   the capacity.  */
static void
test_goodput_at_twice_the_capacity (void)
{
  enum
  {
    SLOTS = 12,
    WORK = 50
  };
  struct zp_rng rng;
  struct st_queue *q = st_queue_new (512, WORK * ZP_MS);
  zp_time busy[SLOTS] = { 0 }, end = 120 * ZP_SEC;
  uint64_t good = 0, id = 0;

  zp_rng_seed (&rng, 41);
  for (zp_time now = 0; now < end; now += ZP_MS)
    {
      /* 2 x 12 / 50 arrivals per millisecond, twice the capacity.  */
      if (zp_rng_unit (&rng) < 2.0 * SLOTS / WORK)
        {
          struct st_queue_entry e
              = { .id = ++id,
                  .class = zp_rng_below (&rng, 4),
                  .deadline = now + (200 + zp_rng_below (&rng, 800)) * ZP_MS };
          st_queue_push (q, &e, SLOTS, now);
        }
      for (int s = 0; s < SLOTS; s++)
        while (busy[s] <= now && st_queue_len (q) > 0)
          {
            struct st_pop p = st_queue_pop (q, now);
            if (p.kind != ST_POP_RUN)
              continue;
            zp_time work = (WORK - 10 + zp_rng_below (&rng, 21)) * ZP_MS;
            busy[s] = now + work;
            st_queue_served (q, work);
            good += busy[s] <= p.entry.deadline;
          }
    }
  uint64_t capacity = (uint64_t) SLOTS * (uint64_t) end / (WORK * ZP_MS);
  CU_ASSERT (good * 100 >= capacity * 95);
  st_queue_free (q);
}

/* Guards against a wait that is computed from fast answers of the past while
   all requests in progress have become slow, and against an outdated age that
   refuses requests for ever.  */
static void
test_work_in_progress_is_slow (void)
{
  struct st_queue *q = st_queue_new (8, 20 * ZP_MS);
  struct st_queue_entry e = { .id = 1, .deadline = 100 * ZP_MS }, out;

  CU_ASSERT_EQUAL (st_queue_push (q, &e, 4, 0).kind, ST_PUSH_ADDED);
  st_queue_set_age (q, 150 * ZP_MS);
  CU_ASSERT_EQUAL (st_queue_push (q, &e, 4, 0).kind, ST_PUSH_TOO_LATE);
  CU_ASSERT (st_queue_expire (q, 0, &out));
  /* No request is in progress, so the 20 ms of the answers apply again.  */
  st_queue_set_age (q, 0);
  CU_ASSERT_EQUAL (st_queue_push (q, &e, 4, 0).kind, ST_PUSH_ADDED);
  st_queue_free (q);
}

static const struct zp_test tests[]
    = { { "requests in progress are slow", test_work_in_progress_is_slow },
        { "order against reference", test_order_against_reference },
        { "expired entries are refused", test_expired_entries_are_refused },
        { "early refusal", test_early_refusal },
        { "goodput at twice the capacity",
          test_goodput_at_twice_the_capacity } };

TEST_MAIN ("queue", tests)
