#include "steer/link.h"

#include <assert.h>
#include <stdlib.h>

#include "steer/view.h"

/* Period over which the use of the link is measured.  */
#define MEASURE (250 * ZP_MS)

void
st_link_init (struct st_link *l, uint64_t self, uint64_t epoch, zp_time now)
{
  *l = (struct st_link){ .self = self,
                         .epoch = epoch,
                         .ask_number = epoch << 32,
                         .quiet = now + ST_LINK_WAIT,
                         .filled = now,
                         .rated = now };
}

void
st_link_free (struct st_link *l)
{
  free (l->sharer);
  free (l->lent);
  free (l->borrowed);
  free (l->ask);
  *l = (struct st_link){ .self = l->self };
}

static int64_t
sum (const struct st_link_lease *e, size_t n)
{
  int64_t s = 0;

  for (size_t i = 0; i < n; i++)
    s += e[i].rate;
  return s;
}

static void
drop_ended (struct st_link_lease *e, size_t *n, zp_time now)
{
  for (size_t i = *n; i-- > 0;)
    if (now >= e[i].end)
      e[i] = e[--*n];
}

static int64_t
rate (const struct st_link *l)
{
  int64_t own = l->part - sum (l->lent, l->lents);

  return (own > 0 ? own : 0) + sum (l->borrowed, l->borroweds);
}

/* Puts the whole part in force once every sharer follows the number.  */
static void
settle (struct st_link *l, zp_time now)
{
  bool all = true, one = l->sharers == 0 && l->config > 0;

  for (size_t i = 0; i < l->sharers; i++)
    {
      const struct st_link_report *r = &l->sharer[i];
      bool same = r->number == l->config;

      one = one || (same && r->settled);
      all = all && same;
    }
  if (l->config == 0 || now < l->earliest || (!all && !one))
    return;
  l->part = l->target;
  l->settled = true;
}

/* Applies time: the bucket fills at the rate before leases end, or at the
   lower one after, so that it never gains from a lease that has ended.  */
static void
advance (struct st_link *l, zp_time now)
{
  int64_t before = rate (l);

  if (!l->settled)
    settle (l, now);
  drop_ended (l->lent, &l->lents, now);
  drop_ended (l->borrowed, &l->borroweds, now);
  int64_t after = rate (l);
  int64_t r = before < after ? before : after;
  l->tokens += (double) r * (double) (now - l->filled);
  if (l->tokens > (double) after * (double) ST_LINK_BURST)
    l->tokens = (double) after * (double) ST_LINK_BURST;
  l->filled = now;
  if (now - l->rated >= MEASURE)
    {
      double u = (double) l->used * 1e6 / (double) (now - l->rated);
      l->used_rate = u > l->used_rate ? u : (l->used_rate + u) / 2;
      l->used = 0;
      l->rated = now;
    }
}

/* Configuration.  */

void
st_link_configure (struct st_link *l, uint64_t number, int64_t capacity,
                   const uint64_t *members, size_t count, zp_time now)
{
  bool member = false;

  assert (capacity >= 0);
  if (number <= l->config)
    return;
  advance (l, now);
  l->sharers = 0;
  for (size_t i = 0; i < count; i++)
    {
      if (members[i] == l->self)
        {
          member = true;
          continue;
        }
      l->sharer = st_reserve (l->sharer, &l->sharer_cap, l->sharers,
                              sizeof *l->sharer);
      l->sharer[l->sharers++]
          = (struct st_link_report){ .member = members[i] };
    }
  l->config = number;
  l->target = member ? capacity / (int64_t) count : 0;
  if (l->target < l->part)
    l->part = l->target;
  l->settled = false;
  l->earliest = now + ST_LINK_WAIT;
}

bool
st_link_own_report (struct st_link *l, zp_time now, struct st_link_report *out)
{
  advance (l, now);
  if (l->config == 0 || now < l->quiet || sum (l->lent, l->lents) > l->part)
    return false;
  *out = (struct st_link_report){ .member = l->self,
                                  .number = l->config,
                                  .settled = l->settled };
  return true;
}

void
st_link_report (struct st_link *l, const struct st_link_report *r, zp_time now)
{
  for (size_t i = 0; i < l->sharers; i++)
    if (l->sharer[i].member == r->member && r->number >= l->sharer[i].number)
      l->sharer[i] = *r;
  advance (l, now);
}

/* Leases.  */

int64_t
st_link_rate (struct st_link *l, zp_time now)
{
  advance (l, now);
  return rate (l);
}

uint64_t
st_link_ask (struct st_link *l, uint64_t owner, zp_time now)
{
  struct st_link_ask a
      = { .owner = owner, .number = ++l->ask_number, .at = now };

  for (size_t i = 0; i < l->asks; i++)
    if (l->ask[i].owner == owner)
      {
        l->ask[i] = a;
        return a.number;
      }
  l->ask = st_reserve (l->ask, &l->ask_cap, l->asks, sizeof *l->ask);
  l->ask[l->asks++] = a;
  return a.number;
}

/* The lease of HOLDER, NULL when there is none.  */
static struct st_link_lease *
lent_to (struct st_link *l, uint64_t holder)
{
  for (size_t i = 0; i < l->lents; i++)
    if (l->lent[i].holder == holder)
      return &l->lent[i];
  return NULL;
}

bool
st_link_lend (struct st_link *l, uint64_t holder, uint64_t ask, int64_t want,
              zp_time now, struct st_link_grant *out)
{
  advance (l, now);
  struct st_link_lease *e = lent_to (l, holder);
  int64_t before = e ? e->rate : 0;
  int64_t left = l->part - sum (l->lent, l->lents) + before;
  int64_t idle = left - (int64_t) l->used_rate;
  int64_t give = idle > 0 ? idle * ST_LINK_LEND_PERCENT / 100 : 0;

  /* A small fall of demand keeps the lease; a large one lets it end.  */
  if (want < before && want > before / 2)
    want = before;
  give = give < want ? give : want;
  /* The borrower may use the earlier rate until the earlier end, so a lower
     rate is not counted before that.  */
  if (give <= 0 || give < before)
    return false;
  if (!e)
    {
      l->lent = st_reserve (l->lent, &l->lent_cap, l->lents, sizeof *l->lent);
      e = &l->lent[l->lents++];
      *e = (struct st_link_lease){ .owner = l->self,
                                   .epoch = l->epoch,
                                   .number = ++l->lease_number,
                                   .holder = holder };
    }
  e->rate = give;
  e->end
      = now + ZP_LEASE_TTL + ZP_LEASE_TTL * ZP_CLOCK_RATE_ERROR_PERCENT / 100;
  assert (sum (l->lent, l->lents) <= l->part);
  *out = (struct st_link_grant){ .owner = l->self,
                                 .epoch = e->epoch,
                                 .number = e->number,
                                 .ask = ask,
                                 .rate = give,
                                 .ttl = ZP_LEASE_TTL };
  return true;
}

void
st_link_granted (struct st_link *l, uint64_t from,
                 const struct st_link_grant *g, zp_time now)
{
  const struct st_link_ask *a = NULL;

  advance (l, now);
  for (size_t i = 0; i < l->asks; i++)
    if (l->ask[i].owner == from && l->ask[i].number == g->ask)
      a = &l->ask[i];
  if (!a || g->owner != from || a->at + g->ttl <= now || g->ttl > ZP_LEASE_TTL
      || g->rate <= 0)
    return;
  /* One lease for each lender: the new grant replaces it, but not one of
     another process of the lender, which counts for itself.  */
  struct st_link_lease *e = NULL;
  for (size_t i = 0; i < l->borroweds; i++)
    if (l->borrowed[i].owner == from && l->borrowed[i].epoch == g->epoch
        && l->borrowed[i].number == g->number)
      e = &l->borrowed[i];
  if (!e)
    {
      l->borrowed = st_reserve (l->borrowed, &l->borrowed_cap, l->borroweds,
                                sizeof *l->borrowed);
      e = &l->borrowed[l->borroweds++];
    }
  *e = (struct st_link_lease){ .owner = from,
                               .epoch = g->epoch,
                               .number = g->number,
                               .holder = l->self,
                               .rate = g->rate,
                               .end = a->at + g->ttl };
}

int64_t
st_link_missing (struct st_link *l, int64_t demand, zp_time now)
{
  int64_t r = st_link_rate (l, now);

  return demand > r ? demand - r : 0;
}

/* Bytes.  */

bool
st_link_take (struct st_link *l, int64_t bytes, zp_time now)
{
  advance (l, now);
  if (l->tokens <= 0)
    return false;
  l->tokens -= (double) bytes * 1e6;
  l->used += bytes;
  return true;
}

void
st_link_correct (struct st_link *l, int64_t estimated, int64_t actual,
                 zp_time now)
{
  advance (l, now);
  l->tokens -= (double) (actual - estimated) * 1e6;
  l->used += actual - estimated;
}

int64_t
st_link_estimate (int64_t estimate, int64_t actual)
{
  return estimate + (actual - estimate) / 16;
}
