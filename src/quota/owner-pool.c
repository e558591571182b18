#include "quota/owner-state.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>

#include "base/str.h"

bool
qu_claims_only (const struct qu_owner *o)
{
  return o->now < o->claims_end;
}

static struct qu_flight *
flight_of (const struct qu_pool *w, uint64_t number)
{
  return &w->flight[number % w->flight_cap];
}

/* Releases the oldest flight of L.  */
static void
land (struct qu_pool *w, struct qu_lease *l)
{
  struct qu_flight *f = flight_of (w, l->flight_first);

  w->flying -= f->tokens;
  f->tokens = 0;
  l->flight_first = f->next;
}

void
qu_pool_acknowledge (struct qu_pool *w, struct qu_lease *l)
{
  while (l->flight_first != 0
         && flight_of (w, l->flight_first)->grant <= l->applied)
    land (w, l);
}

/* The oldest flight that has ended and is not acknowledged, or NULL.  Drops the
   acknowledged ones before it.  */
static struct qu_flight *
ended_flight (const struct qu_owner *o, struct qu_pool *w)
{
  for (; w->flight_first < w->flight_end; w->flight_first++)
    {
      struct qu_flight *f = flight_of (w, w->flight_first);
      if (f->tokens > 0)
        return f->end <= o->now ? f : NULL;
    }
  return NULL;
}

static void
grow_flights (struct qu_pool *w)
{
  struct qu_pool old = *w;

  w->flight_cap = w->flight_cap > 0 ? w->flight_cap * 2 : 8;
  w->flight = zp_alloc (w->flight_cap * sizeof *w->flight);
  for (uint64_t n = w->flight_first; n < w->flight_end; n++)
    *flight_of (w, n) = *flight_of (&old, n);
  free (old.flight);
}

static void
add_flight (struct qu_pool *w, struct qu_lease *l, struct qu_flight f)
{
  if (w->flight_end - w->flight_first == w->flight_cap)
    grow_flights (w);
  uint64_t number = w->flight_end++;
  *flight_of (w, number) = f;
  if (l->flight_first != 0)
    flight_of (w, l->flight_last)->next = number;
  else
    l->flight_first = number;
  l->flight_last = number;
  w->flying += f.tokens;
}

/* Tokens that are under way are missing in the pool until they are no longer
   valid, and can be refilled from then on.  */
void
qu_pool_refill (struct qu_owner *o, struct qu_pool *w)
{
  double rate = w->rate * w->part.rate / (double) TK_QUOTA_WHOLE;
  double depth = w->depth * w->part.burst / (double) TK_QUOTA_WHOLE;

  for (struct qu_flight *f; (f = ended_flight (o, w)) != NULL;)
    {
      qu_bucket_refill (&w->pool, rate, depth - w->flying, f->end);
      land (w, &o->lease[f->lease]);
    }
  qu_bucket_refill (&w->pool, rate, depth - w->flying, o->now);
}

/* What is left of a limit of which COUNTED is leased; until the claims have
   come, all that can be leased counts as leased.  */
static uint32_t
rest_of (const struct qu_owner *o, const struct qu_pool *w, uint32_t counted)
{
  if (qu_claims_only (o))
    counted = QU_LEASED_MAX;
  return TK_QUOTA_WHOLE
         - (uint32_t) ceil (counted * qu_limit_leasable (w->depth));
}

void
qu_pool_set_part (struct qu_owner *o, struct qu_pool *w)
{
  w->part.rate = rest_of (o, w, w->counted.rate);
  w->part.burst = rest_of (o, w, w->counted.burst);
  qu_pool_refill (o, w);
}

void
qu_pool_count_share (struct qu_owner *o, struct qu_pool *w, struct qu_lease *l,
                     struct qu_share counted)
{
  qu_pool_refill (o, w);
  w->counted.rate += counted.rate - l->counted.rate;
  w->counted.burst += counted.burst - l->counted.burst;
  l->counted = counted;
  assert (w->counted.rate <= QU_LEASED_MAX
          && w->counted.burst <= QU_LEASED_MAX);
  qu_pool_set_part (o, w);
}

void
qu_pool_count_demand (struct qu_pool *w, struct qu_lease *l, double demand)
{
  w->demands += (demand > 0) - (l->demand > 0);
  w->demand = w->demands > 0 ? w->demand - l->demand + demand : 0;
  l->demand = demand;
}

uint32_t
qu_pool_give (struct qu_owner *o, struct qu_pool *w, uint32_t lease,
              uint32_t want, uint64_t grant)
{
  uint32_t tokens = want > 0 ? qu_bucket_take (&w->pool, want) : 0;

  if (tokens > 0)
    add_flight (
        w, &o->lease[lease],
        (struct qu_flight){ .lease = lease,
                            .tokens = tokens,
                            .grant = grant,
                            .end = o->now + QU_COUNTED (QU_TOKEN_TTL) });
  o->counts.tokens += tokens;
  o->counts.pool_empty += tokens < want;
  return tokens;
}

void
qu_pool_release (struct qu_owner *o, struct qu_pool *w)
{
  qu_index_remove (&o->limit_index, w->workspace);
  free (w->flight);
  *w = (struct qu_pool){ .used = false };
}
