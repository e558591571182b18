#include "steer/link.h"

#include <assert.h>
#include <stdlib.h>

#include "steer/view.h"

/* Period over which the used rate is measured.  */
#define MEASURE_PERIOD (250 * ZP_MS)

void
st_link_init (struct st_link *l, uint64_t self, uint64_t epoch, zp_time now)
{
  *l = (struct st_link){ .self = self,
                         .epoch = epoch,
                         .request_number = epoch << 32,
                         .report_from = now + ST_LINK_WAIT,
                         .filled = now,
                         .measured = now };
}

void
st_link_free (struct st_link *l)
{
  free (l->sharer);
  free (l->lent);
  free (l->borrowed);
  free (l->request);
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

/* Own share less what is lent, plus what is borrowed, in bytes/s.  */
static int64_t
rate (const struct st_link *l)
{
  int64_t own = l->share - sum (l->lent, l->lents);

  return (own > 0 ? own : 0) + sum (l->borrowed, l->borroweds);
}

/* Puts the whole share in force when every other sharer follows the same
   configuration, or one is settled on it.  */
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
  if (l->config == 0 || now < l->raise_from || (!all && !one))
    return;
  l->share = l->target;
  l->settled = true;
}

/* Brings the state to NOW.  The bucket fills at the lower of the rates before
   and after leases have ended, so that it gains nothing from an ended lease.
 */
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
  if (now - l->measured >= MEASURE_PERIOD)
    {
      double u = (double) l->used * 1e6 / (double) (now - l->measured);
      l->used_rate = u > l->used_rate ? u : (l->used_rate + u) / 2;
      l->used = 0;
      l->measured = now;
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
  if (l->target < l->share)
    l->share = l->target;
  l->settled = false;
  l->raise_from = now + ST_LINK_WAIT;
}

bool
st_link_own_report (struct st_link *l, zp_time now, struct st_link_report *out)
{
  advance (l, now);
  if (l->config == 0 || now < l->report_from
      || sum (l->lent, l->lents) > l->share)
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
st_link_request (struct st_link *l, uint64_t owner, zp_time now)
{
  struct st_link_request a
      = { .owner = owner, .number = ++l->request_number, .at = now };

  for (size_t i = 0; i < l->requests; i++)
    if (l->request[i].owner == owner)
      {
        l->request[i] = a;
        return a.number;
      }
  l->request = st_reserve (l->request, &l->request_cap, l->requests,
                           sizeof *l->request);
  l->request[l->requests++] = a;
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
st_link_lend (struct st_link *l, uint64_t holder, uint64_t request,
              int64_t want, zp_time now, struct st_link_grant *out)
{
  advance (l, now);
  struct st_link_lease *e = lent_to (l, holder);
  int64_t before = e ? e->rate : 0;
  int64_t left = l->share - sum (l->lent, l->lents) + before;
  int64_t idle = left - (int64_t) l->used_rate;
  int64_t give = idle > 0 ? idle * ST_LINK_LEND_PERCENT / 100 : 0;

  /* When demand falls to no less than half, the lease keeps its rate; below
     that it is left to end.  */
  if (want < before && want > before / 2)
    want = before;
  give = give < want ? give : want;
  /* The borrower may use the rate of its lease until the lease ends, so a
     lower rate cannot be granted before.  */
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
  assert (sum (l->lent, l->lents) <= l->share);
  *out = (struct st_link_grant){ .owner = l->self,
                                 .epoch = e->epoch,
                                 .number = e->number,
                                 .request = request,
                                 .rate = give,
                                 .ttl = ZP_LEASE_TTL };
  return true;
}

void
st_link_granted (struct st_link *l, uint64_t from,
                 const struct st_link_grant *g, zp_time now)
{
  const struct st_link_request *a = NULL;

  advance (l, now);
  for (size_t i = 0; i < l->requests; i++)
    if (l->request[i].owner == from && l->request[i].number == g->request)
      a = &l->request[i];
  if (!a || g->owner != from || a->at + g->ttl <= now || g->ttl > ZP_LEASE_TTL
      || g->rate <= 0)
    return;
  /* A grant replaces the lease with the same number.  A lender has one lease
     for each borrower, but a restarted lender grants a new one, and the lease
     of its earlier process counts until it ends.  */
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
