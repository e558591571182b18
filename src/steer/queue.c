#include "steer/queue.h"

#include <assert.h>
#include <stdlib.h>

#include "base/str.h"

/* The weight of a new measurement in the moving average is 1 / 8.  */
#define SERVICE_WEIGHT 8

/* A refusal by the service time alone lowers it by 1 / 64.  */
#define REFUSED_WEIGHT 64

/* Three heaps hold the same entries in different orders.  */
enum heap_kind
{
  HEAP_URGENT,   /* most urgent, first to run, on top */
  HEAP_LEAST,    /* least urgent, first to evict, on top */
  HEAP_DEADLINE, /* earliest deadline, first to expire, on top */
  HEAPS,
};

struct slot
{
  struct st_queue_entry e;
  uint64_t order; /* number of its arrival */
  uint32_t generation;
  uint32_t pos[HEAPS]; /* position in each heap */
};

struct st_queue
{
  size_t max;
  size_t len;
  uint64_t arrivals;
  zp_time service; /* moving average of the requests served */
  zp_time age;     /* mean age of the requests in progress */
  bool measured;   /* SERVICE is from st_queue_served */
  struct slot *slots;
  uint32_t *free; /* MAX - LEN unused slots */
  uint32_t *heap[HEAPS];
};

struct st_queue *
st_queue_new (size_t max, zp_time expected)
{
  struct st_queue *q = zp_alloc (sizeof *q);

  assert (max > 0 && max <= ST_QUEUE_MAX && expected > 0);
  q->max = max;
  q->service = expected;
  q->slots = zp_alloc (max * sizeof *q->slots);
  q->free = zp_alloc (max * sizeof *q->free);
  for (int k = 0; k < HEAPS; k++)
    q->heap[k] = zp_alloc (max * sizeof **q->heap);
  for (size_t i = 0; i < max; i++)
    q->free[i] = (uint32_t) (max - 1 - i);
  return q;
}

void
st_queue_free (struct st_queue *q)
{
  for (int k = 0; k < HEAPS; k++)
    free (q->heap[k]);
  free (q->free);
  free (q->slots);
  free (q);
}

size_t
st_queue_len (const struct st_queue *q)
{
  return q->len;
}

void
st_queue_served (struct st_queue *q, zp_time elapsed)
{
  if (elapsed < 1)
    elapsed = 1;
  if (!q->measured)
    q->service = elapsed;
  else
    q->service += (elapsed - q->service) / SERVICE_WEIGHT;
  q->measured = true;
}

void
st_queue_set_age (struct st_queue *q, zp_time age)
{
  q->age = age;
}

zp_time
st_queue_service_time (const struct st_queue *q)
{
  return q->service > q->age ? q->service : q->age;
}

/* Heaps.  */

static bool
more_urgent (const struct slot *a, const struct slot *b)
{
  if (a->e.class != b->e.class)
    return a->e.class < b->e.class;
  if (a->e.deadline != b->e.deadline)
    return a->e.deadline < b->e.deadline;
  return a->order < b->order;
}

/* Whether A belongs above B in a heap of kind K.  */
static bool
above (enum heap_kind k, const struct slot *a, const struct slot *b)
{
  switch (k)
    {
    case HEAP_URGENT:
      return more_urgent (a, b);
    case HEAP_LEAST:
      return more_urgent (b, a);
    case HEAP_DEADLINE:
      return a->e.deadline < b->e.deadline;
    case HEAPS:
      break;
    }
  assert (!"kind of heap");
  return false;
}

static void
put (struct st_queue *q, enum heap_kind k, size_t i, uint32_t s)
{
  q->heap[k][i] = s;
  q->slots[s].pos[k] = (uint32_t) i;
}

static bool
slot_above (const struct st_queue *q, enum heap_kind k, uint32_t a, uint32_t b)
{
  return above (k, &q->slots[a], &q->slots[b]);
}

static void
sift_up (struct st_queue *q, enum heap_kind k, size_t i)
{
  uint32_t s = q->heap[k][i];

  while (i > 0 && slot_above (q, k, s, q->heap[k][(i - 1) / 2]))
    {
      put (q, k, i, q->heap[k][(i - 1) / 2]);
      i = (i - 1) / 2;
    }
  put (q, k, i, s);
}

static void
sift_down (struct st_queue *q, enum heap_kind k, size_t i, size_t len)
{
  uint32_t s = q->heap[k][i];

  for (size_t c = 2 * i + 1; c < len; c = 2 * i + 1)
    {
      if (c + 1 < len && slot_above (q, k, q->heap[k][c + 1], q->heap[k][c]))
        c++;
      if (!slot_above (q, k, q->heap[k][c], s))
        break;
      put (q, k, i, q->heap[k][c]);
      i = c;
    }
  put (q, k, i, s);
}

static void
remove_slot (struct st_queue *q, uint32_t s)
{
  size_t last = q->len - 1;

  for (int k = 0; k < HEAPS; k++)
    {
      enum heap_kind kind = (enum heap_kind) k;
      size_t i = q->slots[s].pos[k];
      assert (q->heap[k][i] == s);
      if (i == last)
        continue;
      put (q, kind, i, q->heap[k][last]);
      sift_down (q, kind, i, last);
      sift_up (q, kind, i);
    }
  q->slots[s].generation++;
  q->len = last;
  q->free[q->max - q->len - 1] = s;
}

static struct st_queue_ref
add_slot (struct st_queue *q, const struct slot *new)
{
  assert (q->len < q->max);
  uint32_t s = q->free[q->max - q->len - 1];
  struct slot *slot = &q->slots[s];

  slot->e = new->e;
  slot->order = new->order;
  for (int k = 0; k < HEAPS; k++)
    {
      put (q, (enum heap_kind) k, q->len, s);
      sift_up (q, (enum heap_kind) k, q->len);
    }
  q->len++;
  return (struct st_queue_ref){ .slot = s, .generation = slot->generation };
}

/* Expected wait.  */

/* Counts the entries at and below position I of the heap that go before NEW,
   and stops above LIMIT.  Below an entry that goes after NEW all others do
   too, so they are not visited.  The recursion is at most as deep as the
   heap.  */
static uint64_t
count_ahead (const struct st_queue *q, size_t i, const struct slot *new,
             uint64_t limit)
{
  uint64_t n = 0;

  while (i < q->len && n <= limit
         && more_urgent (&q->slots[q->heap[HEAP_URGENT][i]], new))
    {
      n += 1 + count_ahead (q, 2 * i + 2, new, limit - n);
      i = 2 * i + 1;
    }
  return n;
}

/* Sets WAIT to the expected wait of NEW for a slot.  Returns false when NEW
   cannot finish before its deadline.  */
static bool
can_finish (struct st_queue *q, const struct slot *new, uint32_t slots,
            zp_time now, zp_time *wait)
{
  zp_time left = new->e.deadline - now, service = st_queue_service_time (q);

  *wait = 0;
  if (slots == 0)
    return true;
  zp_time allowed = left - service;
  uint64_t limit
      = allowed > 0 ? (uint64_t) (allowed / service + 1) * slots : 0;
  uint64_t ahead = count_ahead (q, 0, new, limit);
  *wait = (zp_time) (ahead + 1) * service / (zp_time) slots;
  if (*wait <= allowed)
    return true;
  /* With no entry ahead, the service time alone is too long.  It is lowered a
     little at each refusal, because a value that is too high would refuse
     every request and so never be measured again.  */
  if (ahead == 0 && q->service > 1)
    q->service -= (q->service - 1) / REFUSED_WEIGHT + 1;
  return false;
}

/* Adding and removing entries.  */

struct st_push
st_queue_push (struct st_queue *q, const struct st_queue_entry *e,
               uint32_t slots, zp_time now)
{
  struct st_push p = { .kind = ST_PUSH_EXPIRED };
  struct slot new = { .e = *e, .order = q->arrivals++ };

  assert (e->class < ST_QUEUE_CLASSES);
  if (e->deadline <= now)
    return p;
  if (!can_finish (q, &new, slots, now, &p.wait))
    {
      p.kind = ST_PUSH_TOO_LATE;
      return p;
    }
  if (q->len < q->max)
    {
      p.kind = ST_PUSH_ADDED;
      p.u.added = add_slot (q, &new);
      return p;
    }
  uint32_t least = q->heap[HEAP_LEAST][0];
  if (!more_urgent (&new, &q->slots[least]))
    {
      p.kind = ST_PUSH_FULL;
      return p;
    }
  p.kind = ST_PUSH_ADDED_EVICTED;
  p.u.evicted.evicted = q->slots[least].e;
  remove_slot (q, least);
  p.u.evicted.added = add_slot (q, &new);
  return p;
}

static bool
too_late (const struct st_queue *q, const struct st_queue_entry *e,
          zp_time now)
{
  return e->deadline - now < st_queue_service_time (q) || e->deadline <= now;
}

struct st_pop
st_queue_pop (struct st_queue *q, zp_time now)
{
  struct st_pop p = { .kind = ST_POP_NONE };

  if (q->len == 0)
    return p;
  uint32_t s = q->heap[HEAP_URGENT][0];
  p.entry = q->slots[s].e;
  p.kind = too_late (q, &p.entry, now) ? ST_POP_REFUSE : ST_POP_RUN;
  remove_slot (q, s);
  return p;
}

bool
st_queue_peek (const struct st_queue *q, struct st_queue_entry *out)
{
  if (q->len == 0)
    return false;
  *out = q->slots[q->heap[HEAP_URGENT][0]].e;
  return true;
}

bool
st_queue_expire (struct st_queue *q, zp_time now, struct st_queue_entry *out)
{
  if (q->len == 0)
    return false;
  uint32_t s = q->heap[HEAP_DEADLINE][0];
  if (!too_late (q, &q->slots[s].e, now))
    return false;
  *out = q->slots[s].e;
  remove_slot (q, s);
  return true;
}

zp_time
st_queue_next_expiry (const struct st_queue *q)
{
  if (q->len == 0)
    return ZP_NEVER;
  /* The first microsecond at which less than a service time is left.  */
  return q->slots[q->heap[HEAP_DEADLINE][0]].e.deadline - q->service + 1;
}

bool
st_queue_cancel (struct st_queue *q, struct st_queue_ref ref)
{
  assert (ref.slot < q->max);
  struct slot *s = &q->slots[ref.slot];

  if (s->generation != ref.generation || s->pos[HEAP_URGENT] >= q->len
      || q->heap[HEAP_URGENT][s->pos[HEAP_URGENT]] != ref.slot)
    return false;
  remove_slot (q, ref.slot);
  return true;
}
