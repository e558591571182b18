#include "quota/owner-state.h"

#include <math.h>
#include <stdlib.h>

#include "base/str.h"

/* Part of the leased shares that is divided evenly, so that a holder whose
   measured demand is low for a moment keeps a lease.  */
#define EVEN_PART 0.1

/* A share changes only by more than this part of it.  */
#define CHANGE_MIN 10 /* a tenth */

#define DEMAND_MIN 0.01 /* requests a second; less is no demand */
#define DEMAND_MAX 1e9

/* Time constant of the smoothed demand: the time of SMOOTH_REQUESTS requests, at
   most SMOOTH_TIME_MAX.  */
#define SMOOTH_REQUESTS 8.0
#define SMOOTH_TIME_MAX 8.0 /* seconds */

/* A lease is of use only to a holder that gets a few requests while it lasts;
   the requests of others take tokens from the pool.  */
#define LEASE_DEMAND_MIN 0.4 /* requests a second */

struct qu_owner *
qu_owner_new (void)
{
  struct qu_owner *o = zp_alloc (sizeof *o);

  o->lease_free = o->holder_free = QU_NONE;
  o->lease_order = o->holder_order
      = (struct qu_order){ .first = QU_NONE, .last = QU_NONE };
  return o;
}

void
qu_owner_free (struct qu_owner *o)
{
  if (!o)
    return;
  qu_table_clear (o);
  for (uint32_t i = 0; i < o->limit_len; i++)
    free (o->limit[i].flight);
  free (o->limit);
  qu_index_free (&o->limit_index);
  free (o);
}

/* Limits and leadership.  */

/* Empties the pool of W.  It refills when tokens of an earlier owner are no
   longer under way.  */
static void
empty_pool (struct qu_owner *o, struct qu_pool *w)
{
  zp_time from
      = o->claims_end - QU_COUNTED (QU_TTL) + QU_COUNTED (QU_TOKEN_TTL);

  qu_bucket_empty (&w->pool, from > o->now ? from : o->now);
}

static struct qu_pool *
new_limit (struct qu_owner *o, uint64_t workspace, uint32_t *from)
{
  while (*from < o->limit_len && o->limit[*from].used)
    ++*from;
  if (*from == o->limit_len)
    {
      uint32_t len = o->limit_len > 0 ? o->limit_len * 2 : 8;
      o->limit = zp_realloc (o->limit, len * sizeof *o->limit);
      for (uint32_t i = o->limit_len; i < len; i++)
        o->limit[i] = (struct qu_pool){ .used = false };
      o->limit_len = len;
    }
  struct qu_pool *w = &o->limit[*from];
  *w = (struct qu_pool){
    .workspace = workspace, .used = true, .flight_first = 1, .flight_end = 1
  };
  qu_index_put (&o->limit_index, workspace, *from);
  return w;
}

void
qu_owner_set_limits (struct qu_owner *o, const struct qu_limit *list, size_t n,
                     zp_time now)
{
  uint32_t from = 0;

  qu_table_advance (o, now);
  for (uint32_t i = 0; i < o->limit_len; i++)
    if (o->limit[i].used)
      {
        qu_pool_refill (o, &o->limit[i]);
        o->limit[i].limited = false;
      }
  for (size_t i = 0; i < n; i++)
    {
      if (list[i].rate <= 0)
        continue;
      uint32_t at = qu_index_get (&o->limit_index, list[i].workspace);
      struct qu_pool *w = at != QU_NONE
                              ? &o->limit[at]
                              : new_limit (o, list[i].workspace, &from);
      if (at == QU_NONE)
        empty_pool (o, w);
      w->limited = true;
      w->rate = list[i].rate;
      w->depth = qu_limit_depth (&list[i]);
      qu_pool_set_part (o, w);
    }
  for (uint32_t i = 0; i < o->limit_len; i++)
    {
      struct qu_pool *w = &o->limit[i];
      if (!w->used || w->limited)
        continue;
      w->rate = w->depth = 0; /* it returns with an empty pool */
      qu_pool_refill (o, w);
      if (w->leases == 0)
        qu_pool_release (o, w);
    }
}

void
qu_owner_lead (struct qu_owner *o, uint64_t term, zp_time now)
{
  if (term <= o->term)
    return;
  if (now > o->now)
    o->now = now;
  qu_table_clear (o);
  o->term = term;
  o->grants = 0;
  o->claims_end = o->now + QU_COUNTED (QU_TTL);
  for (uint32_t i = 0; i < o->limit_len; i++)
    {
      struct qu_pool *w = &o->limit[i];
      if (!w->used)
        continue;
      w->counted = (struct qu_share){ .rate = 0 };
      w->flying = w->leases = w->demands = 0;
      w->flight_first = w->flight_end = 1;
      w->demand = 0;
      if (!w->limited)
        {
          qu_pool_release (o, w);
          continue;
        }
      empty_pool (o, w);
      qu_pool_set_part (o, w);
    }
}

/* Asks.  */

/* Smallest share with which a bucket can hold a token; above QU_LEASED_MAX:
   none can.  */
static uint32_t
share_min (const struct qu_pool *w)
{
  double tokens = w->depth * qu_limit_leasable (w->depth);

  return tokens < 1 ? UINT32_MAX : (uint32_t) ceil (TK_QUOTA_WHOLE / tokens);
}

/* What is left for L of what can be leased.  Counted rates are never above
   counted bursts.  */
static uint32_t
room_of (const struct qu_pool *w, const struct qu_lease *l)
{
  return QU_LEASED_MAX - (w->counted.burst - l->counted.burst);
}

/* The share of the rate for a bucket with the share BURST.  A shallow bucket is
   often full, and what it does not take is lost; so the pool gets a part of its
   rate.  Without this, a workspace whose holders had buckets of one token each
   had 45% of its requests left to a pool of a quarter of its rate.  */
static uint32_t
rate_for (const struct qu_pool *w, uint32_t burst)
{
  double depth
      = burst * w->depth * qu_limit_leasable (w->depth) / TK_QUOTA_WHOLE;

  return (uint32_t) (burst * depth / (depth + 1));
}

static bool
is_near (uint32_t share, uint32_t old)
{
  uint32_t change = share > old ? share - old : old - share;

  return change <= old / CHANGE_MIN;
}

/* The share of W that L should get by its demand.  */
static struct qu_share
share_by_demand (const struct qu_pool *w, const struct qu_lease *l)
{
  uint32_t room = room_of (w, l), least = share_min (w);

  if (l->demand < LEASE_DEMAND_MIN)
    return (struct qu_share){ .rate = 0 };
  double part = (1 - EVEN_PART) * fmin (l->demand / w->demand, 1.0)
                + EVEN_PART / w->demands;
  uint32_t burst = (uint32_t) ((double) QU_LEASED_MAX * part);
  if (burst > room)
    burst = room;
  /* Near the smallest share, a lease does not come and go.  */
  if (burst < least && least <= room && l->share.burst >= least
      && is_near (burst, least))
    burst = least;
  if (burst < least)
    return (struct qu_share){ .rate = 0 };
  uint32_t rate = rate_for (w, burst);
  if (l->share.burst >= least && l->share.burst <= room
      && is_near (burst, l->share.burst) && is_near (rate, l->share.rate))
    return l->share;
  return (struct qu_share){ .rate = rate, .burst = burst };
}

/* The share that the holder of L claims from an earlier owner.  */
static struct qu_share
share_by_claim (const struct qu_pool *w, const struct qu_lease *l,
                const struct tk_quota_ask_item *it)
{
  uint32_t room = room_of (w, l);
  uint32_t burst = it->burst_share < room ? it->burst_share : room;
  uint32_t rate = it->rate_share < burst ? it->rate_share : burst;

  return (struct qu_share){ .rate = rate, .burst = burst };
}

static bool
is_same (struct qu_share a, struct qu_share b)
{
  return a.rate == b.rate && a.burst == b.burst;
}

/* Smooths the demand that the holder of L reports.  The fewer requests a holder
   has, the longer it takes, because shares that follow a few random requests
   are at the wrong holders: without this, workspaces with less than one request
   a second at each holder had 2 to 36% of their requests refused at 0.62 of
   their limit.  */
static double
smooth_demand (struct qu_owner *o, struct qu_lease *l, double demand)
{
  double seen = (double) (o->now - l->seen) / (double) ZP_SEC;

  l->seen = o->now;
  if (!isfinite (demand) || demand < 0)
    demand = 0;
  demand = fmin (demand, DEMAND_MAX);
  double time = fmin (SMOOTH_TIME_MAX, SMOOTH_REQUESTS / fmax (demand, 0.01));
  demand = l->demand + (demand - l->demand) * (1 - exp (-seen / time));
  return demand < DEMAND_MIN ? 0 : demand;
}

/* Takes in what the holder reports.  */
static void
note_item (struct qu_owner *o, struct qu_pool *w, struct qu_lease *l,
           const struct tk_quota_ask_item *it)
{
  qu_pool_refill (o, w);
  if (QU_GRANT_TERM (it->applied) == o->term && it->applied > l->applied)
    l->applied = it->applied;
  if (!is_same (l->counted, l->share) && l->applied >= l->changed)
    qu_pool_count_share (o, w, l, l->share);
  qu_pool_acknowledge (w, l);
  qu_pool_count_demand (w, l, smooth_demand (o, l, it->demand));
  qu_pool_set_part (o, w); /* also after the time of the claims */
}

/* A share changes only when the holder has acknowledged the last change, so
   that at most two shares have to be counted.  Claims are an exception: what
   the holder has is known from the claim.  */
static void
set_share (struct qu_owner *o, struct qu_pool *w, struct qu_lease *l,
           const struct tk_quota_ask_item *it, uint64_t grant)
{
  struct qu_share share = l->share, most = l->counted;

  if (qu_claims_only (o))
    share = share_by_claim (w, l, it);
  else if (l->applied >= l->changed)
    share = share_by_demand (w, l);
  if (is_same (share, l->share))
    return;
  l->share = share;
  l->changed = grant;
  if (share.rate > most.rate)
    most.rate = share.rate;
  if (share.burst > most.burst)
    most.burst = share.burst;
  if (!is_same (most, l->counted))
    qu_pool_count_share (o, w, l, most);
}

static zp_time
period_of (const struct qu_owner *o)
{
  zp_time t = (zp_time) o->counts.holders * QU_PERIOD_HOLDER;

  return t < QU_PERIOD_MIN   ? QU_PERIOD_MIN
         : t > QU_PERIOD_MAX ? QU_PERIOD_MAX
                             : t;
}

bool
qu_owner_ask (struct qu_owner *o, const struct tk_quota_ask *a, zp_time now,
              struct tk_quota_grant *grant)
{
  if (o->term == 0)
    return false;
  qu_table_advance (o, now);
  uint32_t holder = qu_table_holder (o, a);
  if (holder == QU_NONE)
    return false;
  size_t n = a->len < QU_ITEMS_MAX ? a->len : QU_ITEMS_MAX;
  *grant = (struct tk_quota_grant){
    .holder = a->holder,
    .incarnation = a->incarnation,
    .number = a->number,
    .term = o->term,
    .grant = QU_GRANT_NUMBER (o->term, ++o->grants),
    .link = a->link,
    .ttl = QU_TTL,
    .period = period_of (o),
    .item = n > 0 ? zp_alloc (n * sizeof *grant->item) : NULL,
  };
  o->counts.grants++;
  for (size_t i = 0; i < n; i++)
    {
      const struct tk_quota_ask_item *it = &a->item[i];
      uint32_t at = qu_index_get (&o->limit_index, it->workspace);
      if (at == QU_NONE || !o->limit[at].limited)
        continue;
      struct qu_pool *w = &o->limit[at];
      struct qu_lease *l = qu_table_lease (o, holder, at);
      note_item (o, w, l, it);
      set_share (o, w, l, it, grant->grant);
      grant->item[grant->len++] = (struct tk_quota_grant_item){
        .workspace = it->workspace,
        .rate_share = l->share.rate,
        .burst_share = l->share.burst,
        .tokens = qu_pool_give (o, w, (uint32_t) (l - o->lease), it->want,
                                grant->grant),
        .wanted = it->want,
      };
    }
  return true;
}

struct qu_owner_counts
qu_owner_counts (const struct qu_owner *o)
{
  return o->counts;
}
