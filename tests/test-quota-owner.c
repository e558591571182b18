#include "harness.h"

#include <stdlib.h>

#include "quota/owner.h"

#define WS 7
#define T0 (100 * ZP_SEC)
#define ALL 1000000 /* wants all that the pool has */

/* What the owner counts is 1% longer than what it grants.  */
#define LEASE (QU_TTL + QU_TTL / 100)
#define FLIGHT (QU_TOKEN_TTL + QU_TOKEN_TTL / 100)

/* A bucket of 400 tokens, refilled with 99 a second.  */
static const struct qu_limit limit
    = { .workspace = WS, .rate = 100, .burst = 400 };

static struct qu_owner *o;
static uint64_t number; /* of the last ask */

/* An owner whose time of claims is over, with a full pool.  Returns its
   time.  */
static zp_time
start (void)
{
  o = qu_owner_new ();
  qu_owner_set_limits (o, &limit, 1, T0);
  qu_owner_lead (o, 1, T0);
  number = 0;
  return T0 + 100 * ZP_SEC;
}

static struct tk_quota_grant_item
ask_item (uint64_t holder, struct tk_quota_ask_item it, zp_time now,
          uint64_t *grant)
{
  struct tk_quota_ask a = { .holder = holder,
                            .incarnation = 1,
                            .number = ++number,
                            .item = &it,
                            .len = 1 };
  struct tk_quota_grant g = { .len = 0 };
  struct tk_quota_grant_item out = { .workspace = 0 };

  it.workspace = WS;
  CU_ASSERT_FATAL (qu_owner_ask (o, &a, now, &g));
  CU_ASSERT (g.holder == holder && g.number == number && g.ttl == QU_TTL);
  if (g.len > 0)
    out = g.item[0];
  free (g.item);
  if (grant)
    *grant = g.grant;
  return out;
}

/* Takes all tokens of the pool.  */
static uint32_t
drain (zp_time now)
{
  return ask_item (99, (struct tk_quota_ask_item){ .want = ALL }, now, NULL)
      .tokens;
}

/* Asks with DEMAND until the share does not change; acknowledges all grants.
   Returns the share.  */
static uint32_t
settle (uint64_t holder, double demand, zp_time now)
{
  uint64_t grant = 0;
  struct tk_quota_grant_item it = { .tokens = 0 };

  for (int i = 0; i < 40; i++)
    it = ask_item (
        holder,
        (struct tk_quota_ask_item){ .applied = grant, .demand = demand },
        now + i * 50 * ZP_MS, &grant);
  return it.burst_share;
}

/* Guards against a pool that gives more than is not leased, and against an
   owner that answers before it leads.  */
static void
test_pool (void)
{
  struct tk_quota_ask a = { .holder = 1, .incarnation = 1, .number = 1 };
  struct tk_quota_grant g;

  o = qu_owner_new ();
  CU_ASSERT (!qu_owner_ask (o, &a, T0, &g));
  qu_owner_free (o);

  zp_time now = start ();
  drain (now); /* ends the time of claims */
  now += 10 * ZP_SEC;
  CU_ASSERT (drain (now) == 400);
  CU_ASSERT (drain (now) == 0);
  struct qu_owner_counts c = qu_owner_counts (o);
  CU_ASSERT (c.grants == 3 && c.pool_empty == 3 && c.holders == 1);
  qu_owner_free (o);
}

/* Guards against shares that do not follow the demand, that exceed what can be
   leased, or that are too small for a token.  */
static void
test_shares (void)
{
  zp_time now = start ();
  uint32_t a = settle (1, 60, now), b = settle (2, 20, now + 2 * ZP_SEC);

  CU_ASSERT (a == QU_LEASED_MAX); /* it was alone */
  CU_ASSERT (b == 0);             /* the first one has not shrunk */
  a = settle (1, 60, now + 4 * ZP_SEC);
  b = settle (2, 20, now + 6 * ZP_SEC);
  CU_ASSERT (a > b * 2.5 && a < b * 3.3 && a + b <= QU_LEASED_MAX);
  /* A change below a tenth does not move the shares.  */
  CU_ASSERT (settle (1, 62, now + 8 * ZP_SEC) == a);
  /* Less than one request a second gets no lease.  */
  CU_ASSERT (settle (3, 0.2, now + 10 * ZP_SEC) == 0);
  qu_owner_free (o);
}

/* Guards against a pool that refills with what it had before a lease was
   granted, until the next ask for the limit.  */
static void
test_pool_after_lease (void)
{
  struct tk_quota_ask_item it = { .demand = 50 };
  zp_time now = start ();

  ask_item (1, it, now, NULL);
  now += ZP_SEC;
  drain (now);
  now += 600 * ZP_MS; /* the tokens are no longer under way */
  drain (now);
  CU_ASSERT (ask_item (1, it, now, NULL).burst_share == QU_LEASED_MAX);
  CU_ASSERT (drain (now + 500 * ZP_MS) <= 13);
  qu_owner_free (o);
}

/* Guards against a lease of less than one token.  */
static void
test_shallow (void)
{
  struct qu_limit l = { .workspace = WS, .rate = 4, .burst = 1 };
  zp_time now = start ();

  qu_owner_set_limits (o, &l, 1, now);
  CU_ASSERT (settle (1, 3, now) == 0);
  qu_owner_free (o);
}

/* Guards against a pool that holds less than one token and so refuses all
   requests at holders without a lease, when another holder has a lease and in
   the time of the claims.  */
static void
test_pool_of_small_limit (void)
{
  static const double bursts[] = { 1, 2, 3, 3.9 };

  for (size_t i = 0; i < 4; i++)
    {
      struct qu_limit l = { .workspace = WS, .rate = 4, .burst = bursts[i] };
      zp_time now = start ();
      qu_owner_set_limits (o, &l, 1, now);
      drain (now);
      uint32_t share = settle (1, 3, now + 5 * ZP_SEC);
      CU_ASSERT (share == 0 || share >= TK_QUOTA_WHOLE / bursts[i]);
      CU_ASSERT (drain (now + 9 * ZP_SEC) >= 1);
      qu_owner_lead (o, 2, now + 10 * ZP_SEC);
      /* A new owner gives all of it, also in the time of the claims.  */
      CU_ASSERT (drain (now + 15 * ZP_SEC) == (uint32_t) bursts[i]);
      qu_owner_free (o);
    }
}

/* Guards against a limit that is lowered until nothing of it can be leased, and
   whose pool stays a quarter because a lease is counted.  */
static void
test_pool_of_lowered_limit (void)
{
  struct qu_limit l = { .workspace = WS, .rate = 8, .burst = 32 };
  zp_time now = start ();

  qu_owner_set_limits (o, &l, 1, now);
  CU_ASSERT (settle (1, 6, now) > 0);
  l.burst = 2.05;
  qu_owner_set_limits (o, &l, 1, now + 3 * ZP_SEC);
  CU_ASSERT (drain (now + 4 * ZP_SEC) == 2);
  qu_owner_free (o);
}

/* Guards against a smaller share that is given to another holder before the
   first one has acknowledged it.  */
static void
test_smaller_share (void)
{
  zp_time now = start ();
  uint64_t grant;
  struct tk_quota_ask_item it = { .demand = 50 };

  uint32_t a = settle (1, 50, now);
  now += 2 * ZP_SEC;
  settle (2, 500, now);
  now += 2 * ZP_SEC;
  struct tk_quota_grant_item small = ask_item (1, it, now, &grant);
  CU_ASSERT (small.burst_share < a);
  CU_ASSERT (settle (2, 500, now) == 0);
  /* An acknowledgement of an earlier grant, or of an owner of another term,
     does not count.  */
  it.applied = grant - 1;
  ask_item (1, it, now + 2 * ZP_SEC, NULL);
  it.applied = QU_GRANT_NUMBER (5, 1);
  ask_item (1, it, now + 2 * ZP_SEC, NULL);
  CU_ASSERT (settle (2, 500, now + 2 * ZP_SEC) == 0);
  it.applied = grant;
  ask_item (1, it, now + 4 * ZP_SEC, NULL);
  CU_ASSERT (settle (2, 500, now + 4 * ZP_SEC) > 0);
  qu_owner_free (o);
}

/* Guards against the share of a dead or isolated holder that is given away
   while the holder can still use it, also when it has restarted; and against
   one that never returns.  */
static void
test_lost_holder (void)
{
  zp_time now = start ();
  struct tk_quota_ask_item it = { .workspace = WS, .demand = 50, .want = 1 };
  struct tk_quota_ask a = { .holder = 1,
                            .incarnation = 2, /* restarted */
                            .number = 1,
                            .item = &it,
                            .len = 1 };
  struct tk_quota_grant g;

  settle (1, 50, now);
  now += 39 * 50 * ZP_MS; /* the last ask */
  CU_ASSERT (qu_owner_ask (o, &a, now, &g));
  CU_ASSERT (g.item[0].burst_share == 0 && g.item[0].tokens == 1);
  free (g.item);
  drain (now);
  CU_ASSERT (drain (now + LEASE - 1) <= 100);
  CU_ASSERT (qu_owner_counts (o).leases == 3);
  /* All of the limit is in the pool again.  */
  drain (now + LEASE + ZP_SEC);
  CU_ASSERT (drain (now + LEASE + 20 * ZP_SEC) == 400);
  CU_ASSERT (qu_owner_counts (o).leases == 1);
  CU_ASSERT (qu_owner_counts (o).holders == 1);
  qu_owner_free (o);
}

/* Guards against a new owner that gives away what an earlier one has leased to
   holders that it has not heard of: for QU_TTL it renews claims only, and its
   pool has a quarter, from when the tokens of the earlier owner have ended.  */
static void
test_claims (void)
{
  zp_time now = start ();
  struct tk_quota_ask_item it
      = { .rate_share = 1000000, .burst_share = 2000000, .demand = 50 };

  qu_owner_lead (o, 2, now);
  CU_ASSERT (drain (now + FLIGHT) == 0);
  CU_ASSERT (settle (1, 50, now + FLIGHT) == 0);
  struct tk_quota_grant_item out = ask_item (2, it, now + ZP_SEC, NULL);
  CU_ASSERT (out.rate_share == 1000000 && out.burst_share == 2000000);
  /* 24.75 a second for 3.535 s.  */
  CU_ASSERT (drain (now + LEASE - 1) == 87);
  /* The same term again changes nothing.  */
  qu_owner_lead (o, 2, now + LEASE - 1);
  CU_ASSERT (settle (1, 50, now + LEASE) > 0);
  qu_owner_free (o);
}

/* Guards against a new owner that fills the pool of a limit, which it learns of
   after its start, while tokens of an earlier owner are under way.  */
static void
test_limit_after_lead (void)
{
  o = qu_owner_new ();
  qu_owner_lead (o, 2, T0);
  qu_owner_set_limits (o, &limit, 1, T0);
  number = 0;
  CU_ASSERT (drain (T0 + FLIGHT) == 0);
  CU_ASSERT (drain (T0 + LEASE - 1) == 87);
  qu_owner_free (o);
}

/* Guards against claims beyond what can be leased.  */
static void
test_false_claims (void)
{
  zp_time now = start ();
  struct tk_quota_ask_item it
      = { .rate_share = UINT32_MAX, .burst_share = TK_QUOTA_WHOLE / 2 };
  uint64_t sum = 0;

  qu_owner_lead (o, 2, now);
  for (uint64_t i = 1; i <= 3; i++)
    {
      struct tk_quota_grant_item out = ask_item (i, it, now, NULL);
      CU_ASSERT (out.rate_share <= out.burst_share);
      sum += out.burst_share;
    }
  CU_ASSERT (sum == QU_LEASED_MAX);
  qu_owner_free (o);
}

/* Guards against tokens under way that the pool refills at once: those of a
   lost grant count for 505 ms, those of an acknowledged one until then.  */
static void
test_tokens_in_flight (void)
{
  struct qu_limit l = { .workspace = WS, .rate = 1000, .burst = 0 };
  zp_time now = start ();
  uint64_t grant;
  struct tk_quota_ask_item it = { .want = 200 };

  qu_owner_set_limits (o, &l, 1, now); /* 250 tokens */
  drain (now);
  now += 10 * ZP_SEC;
  drain (now - ZP_SEC);
  CU_ASSERT (ask_item (1, it, now, &grant).tokens == 200);
  CU_ASSERT (drain (now + 400 * ZP_MS) == 50);
  /* Those of the first holder land, those of the second one do not.  */
  it = (struct tk_quota_ask_item){ .applied = grant };
  ask_item (1, it, now + 401 * ZP_MS, NULL);
  CU_ASSERT (drain (now + 800 * ZP_MS) == 200);
  drain (now + 800 * ZP_MS + FLIGHT);
  CU_ASSERT (drain (now + 1400 * ZP_MS + FLIGHT) == 250);
  qu_owner_free (o);
}

/* Guards against asks that overtake each other, and numbers that begin anew
   with a restart.  */
static void
test_out_of_order (void)
{
  zp_time now = start ();
  struct tk_quota_ask a = { .holder = 1, .incarnation = 1, .number = 5 };
  struct tk_quota_grant g;

  CU_ASSERT (qu_owner_ask (o, &a, now, &g) && g.len == 0 && !g.item);
  CU_ASSERT (!qu_owner_ask (o, &a, now, &g));
  a.number = 4;
  CU_ASSERT (!qu_owner_ask (o, &a, now, &g));
  a.incarnation = 2;
  CU_ASSERT (qu_owner_ask (o, &a, now, &g));
  qu_owner_free (o);
}

/* Guards against a pool that keeps tokens of a higher limit, and against a
   workspace that is removed and returns while its leases last.  */
static void
test_limit_changes (void)
{
  struct qu_limit low = { .workspace = WS, .rate = 40, .burst = 10 };
  zp_time now = start ();

  settle (1, 50, now);
  now += 2 * ZP_SEC;
  qu_owner_set_limits (o, &low, 1, now);
  CU_ASSERT (drain (now) == 10); /* nothing of 10 can be leased */
  qu_owner_set_limits (o, NULL, 0, now);
  CU_ASSERT (ask_item (1, (struct tk_quota_ask_item){ .want = 1 }, now, NULL)
                 .workspace
             == 0);
  qu_owner_set_limits (o, &limit, 1, now + ZP_SEC);
  CU_ASSERT (drain (now + ZP_SEC) == 0);
  CU_ASSERT (settle (2, 50, now + ZP_SEC) == 0);
  qu_owner_free (o);
}

/* Guards against memory and periods without a bound: many holders that
   restart, and asks that are too long.  */
static void
test_bounds (void)
{
  zp_time now = start ();
  static struct tk_quota_ask_item items[QU_ITEMS_MAX + 50];
  struct tk_quota_ask a
      = { .number = 1, .item = items, .len = QU_ITEMS_MAX + 50 };
  struct tk_quota_grant g = { .period = 0 };
  unsigned answered = 0;

  for (size_t i = 0; i < a.len; i++)
    items[i].workspace = WS;
  for (unsigned i = 0; i < QU_HOLDERS_MAX + 100; i++)
    {
      a.holder = i;
      if (!qu_owner_ask (o, &a, now, &g))
        continue;
      answered++;
      CU_ASSERT (g.len <= QU_ITEMS_MAX);
      CU_ASSERT (i != 10 || g.period == QU_PERIOD_MIN);
      CU_ASSERT (i != 99 || g.period == 800 * ZP_MS);
      free (g.item);
    }
  CU_ASSERT (answered == QU_HOLDERS_MAX && g.period == QU_PERIOD_MAX);
  a.holder = 5000;
  CU_ASSERT (qu_owner_ask (o, &a, now + LEASE, &g));
  free (g.item);
  CU_ASSERT (qu_owner_counts (o).holders == 1);
  qu_owner_free (o);
}

static const struct zp_test tests[] = {
  { "pool", test_pool },
  { "shares", test_shares },
  { "pool after a lease", test_pool_after_lease },
  { "shallow bucket", test_shallow },
  { "pool of a small limit", test_pool_of_small_limit },
  { "pool of a lowered limit", test_pool_of_lowered_limit },
  { "smaller share", test_smaller_share },
  { "lost holder", test_lost_holder },
  { "claims", test_claims },
  { "limit after the lead", test_limit_after_lead },
  { "false claims", test_false_claims },
  { "tokens in flight", test_tokens_in_flight },
  { "asks out of order", test_out_of_order },
  { "limits change", test_limit_changes },
  { "bounds", test_bounds },
};

TEST_MAIN ("quota-owner", tests)
