#include "roster/quota_codec.h"

#include <assert.h>
#include <stdlib.h>

#include "wire/bytes.h"
#include "wire/roster.pb-c.h"

/* Demands are sent as requests in 1,000 s.  */
#define DEMAND_UNIT 1000.0

/* Longest time that a grant may state.  The longest that an owner states is
   6 s; the bound keeps sums of times within range.  */
#define TIME_MAX ((uint64_t) (3600 * ZP_SEC))

static uint32_t
demand_units (double demand)
{
  double units = demand * DEMAND_UNIT;

  if (!(units > 0))
    return 0;
  return units < (double) UINT32_MAX ? (uint32_t) units : UINT32_MAX;
}

static bool
is_share (uint32_t share)
{
  return share <= TK_QUOTA_WHOLE;
}

void
ro_put_quota_ask (struct zp_buf *out, const struct tk_quota_ask *a)
{
  Wire__RosterQuotaAsk w = WIRE__ROSTER_QUOTA_ASK__INIT;
  uint64_t workspaces[RO_QUOTA_ITEMS_MAX], applied[RO_QUOTA_ITEMS_MAX];
  uint32_t rate_shares[RO_QUOTA_ITEMS_MAX], burst_shares[RO_QUOTA_ITEMS_MAX],
      demands[RO_QUOTA_ITEMS_MAX], wants[RO_QUOTA_ITEMS_MAX];

  assert (a->len <= RO_QUOTA_ITEMS_MAX);
  for (size_t i = 0; i < a->len; i++)
    {
      const struct tk_quota_ask_item *x = &a->item[i];
      workspaces[i] = x->workspace;
      rate_shares[i] = x->rate_share;
      burst_shares[i] = x->burst_share;
      applied[i] = x->applied;
      demands[i] = demand_units (x->demand);
      wants[i] = x->want;
    }
  w.holder = a->holder;
  w.incarnation = a->incarnation;
  w.number = a->number;
  w.n_workspaces = w.n_rate_shares = w.n_burst_shares = w.n_applied
      = w.n_demands_milli = w.n_wants = a->len;
  w.workspaces = workspaces;
  w.rate_shares = rate_shares;
  w.burst_shares = burst_shares;
  w.applied = applied;
  w.demands_milli = demands;
  w.wants = wants;
  wi_pack (out, &w.base);
}

/* Whether the lists of W have the same length and shares are in range.  */
static bool
ask_is_valid (const Wire__RosterQuotaAsk *w)
{
  size_t n = w->n_workspaces;

  if (n > RO_QUOTA_ITEMS_MAX || w->n_rate_shares != n || w->n_burst_shares != n
      || w->n_applied != n || w->n_demands_milli != n || w->n_wants != n)
    return false;
  for (size_t i = 0; i < n; i++)
    if (!is_share (w->rate_shares[i]) || !is_share (w->burst_shares[i]))
      return false;
  return true;
}

bool
ro_get_quota_ask (struct zp_str payload, struct tk_quota_ask *out)
{
  Wire__RosterQuotaAsk *w
      = wi_unpack (&wire__roster_quota_ask__descriptor, payload);

  *out = (struct tk_quota_ask){ .item = NULL };
  if (!w)
    return false;
  bool ok = ask_is_valid (w);
  if (ok)
    {
      *out = (struct tk_quota_ask){ .holder = w->holder,
                                    .incarnation = w->incarnation,
                                    .number = w->number,
                                    .len = w->n_workspaces };
      out->item = zp_alloc ((out->len + 1) * sizeof *out->item);
      for (size_t i = 0; i < out->len; i++)
        out->item[i]
            = (struct tk_quota_ask_item){ .workspace = w->workspaces[i],
                                          .rate_share = w->rate_shares[i],
                                          .burst_share = w->burst_shares[i],
                                          .applied = w->applied[i],
                                          .demand
                                          = w->demands_milli[i] / DEMAND_UNIT,
                                          .want = w->wants[i] };
    }
  wi_free (w);
  return ok;
}

void
ro_put_quota_grant (struct zp_buf *out, const struct tk_quota_grant *g)
{
  Wire__RosterQuotaGrant w = WIRE__ROSTER_QUOTA_GRANT__INIT;
  uint64_t workspaces[RO_QUOTA_ITEMS_MAX];
  uint32_t rate_shares[RO_QUOTA_ITEMS_MAX], burst_shares[RO_QUOTA_ITEMS_MAX],
      tokens[RO_QUOTA_ITEMS_MAX], wanted[RO_QUOTA_ITEMS_MAX];

  assert (g->len <= RO_QUOTA_ITEMS_MAX);
  for (size_t i = 0; i < g->len; i++)
    {
      const struct tk_quota_grant_item *x = &g->item[i];
      workspaces[i] = x->workspace;
      rate_shares[i] = x->rate_share;
      burst_shares[i] = x->burst_share;
      tokens[i] = x->tokens;
      wanted[i] = x->wanted;
    }
  w.holder = g->holder;
  w.incarnation = g->incarnation;
  w.number = g->number;
  w.term = g->term;
  w.grant = g->grant;
  w.ttl_us = (uint64_t) g->ttl;
  w.period_us = (uint64_t) g->period;
  w.n_workspaces = w.n_rate_shares = w.n_burst_shares = w.n_tokens = w.n_wanted
      = g->len;
  w.workspaces = workspaces;
  w.rate_shares = rate_shares;
  w.burst_shares = burst_shares;
  w.tokens = tokens;
  w.wanted = wanted;
  wi_pack (out, &w.base);
}

static bool
grant_is_valid (const Wire__RosterQuotaGrant *w)
{
  size_t n = w->n_workspaces;

  if (n > RO_QUOTA_ITEMS_MAX || w->n_rate_shares != n || w->n_burst_shares != n
      || w->n_tokens != n || w->n_wanted != n || w->ttl_us > TIME_MAX
      || w->period_us > TIME_MAX)
    return false;
  for (size_t i = 0; i < n; i++)
    if (!is_share (w->rate_shares[i]) || !is_share (w->burst_shares[i]))
      return false;
  return true;
}

bool
ro_get_quota_grant (struct zp_str payload, struct tk_quota_grant *out)
{
  Wire__RosterQuotaGrant *w
      = wi_unpack (&wire__roster_quota_grant__descriptor, payload);

  *out = (struct tk_quota_grant){ .item = NULL };
  if (!w)
    return false;
  bool ok = grant_is_valid (w);
  if (ok)
    {
      *out = (struct tk_quota_grant){ .holder = w->holder,
                                      .incarnation = w->incarnation,
                                      .number = w->number,
                                      .term = w->term,
                                      .grant = w->grant,
                                      .ttl = (zp_time) w->ttl_us,
                                      .period = (zp_time) w->period_us,
                                      .len = w->n_workspaces };
      out->item = zp_alloc ((out->len + 1) * sizeof *out->item);
      for (size_t i = 0; i < out->len; i++)
        out->item[i]
            = (struct tk_quota_grant_item){ .workspace = w->workspaces[i],
                                            .rate_share = w->rate_shares[i],
                                            .burst_share = w->burst_shares[i],
                                            .tokens = w->tokens[i],
                                            .wanted = w->wanted[i] };
    }
  wi_free (w);
  return ok;
}
