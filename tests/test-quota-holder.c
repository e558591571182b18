#include "harness.h"

#include <stdlib.h>

#include "quota/holder.h"
#include "quota/owner.h"

#define WS 7
#define T0 (100 * ZP_SEC)
#define HALF (TK_QUOTA_WHOLE / 2)

static struct zp_rng rng;
static struct qu_holder *h;
static const struct qu_limit limit
    = { .workspace = WS, .rate = 100, .burst = 40 };

static void
start (void)
{
  zp_rng_seed (&rng, 1);
  h = qu_holder_new (3, 33);
  qu_holder_set_limits (h, &limit, 1, T0);
}

static enum qu_result
take (zp_time now)
{
  return qu_holder_take (h, WS, now, &rng).kind;
}

static enum qu_result
retry (zp_time now)
{
  return qu_holder_retry (h, WS, now, &rng).kind;
}

/* Makes an ask and returns its number, 0 when none is due.  ITEM: of the
   first workspace.  */
static uint64_t
ask (zp_time now, struct tk_quota_ask_item *item)
{
  struct tk_quota_ask a;

  if (!qu_holder_make_ask (h, now, &a))
    return 0;
  CU_ASSERT (a.holder == 3 && a.incarnation == 33 && a.len == 1);
  if (item)
    *item = a.item[0];
  free (a.item);
  return a.number;
}

/* A grant of TERM with number N: SHARE, and TOKENS of WANTED.  */
static bool
grant (uint64_t number, uint64_t term, uint64_t n, uint32_t share,
       uint32_t tokens, uint32_t wanted, zp_time now)
{
  struct tk_quota_grant_item it = { .workspace = WS,
                                    .rate_share = share,
                                    .burst_share = share,
                                    .tokens = tokens,
                                    .wanted = wanted };
  struct tk_quota_grant g = { .holder = 3,
                              .incarnation = 33,
                              .number = number,
                              .term = term,
                              .grant = QU_GRANT_NUMBER (term, n),
                              .ttl = QU_TTL,
                              .period = QU_PERIOD_MIN,
                              .item = &it,
                              .len = 1 };

  return qu_holder_grant (h, &g, now);
}

static uint32_t
share (zp_time now)
{
  return qu_holder_holding (h, WS, now).burst_share;
}

/* Guards against limits for workspaces that have none, and requests that wait
   for a limit that was removed.  */
static void
test_no_limit (void)
{
  start ();
  CU_ASSERT (qu_holder_take (h, 99, T0, &rng).kind == QU_SPEND);
  CU_ASSERT (take (T0) == QU_WAIT);
  qu_holder_set_limits (h, NULL, 0, T0);
  CU_ASSERT (retry (T0) == QU_SPEND);
  CU_ASSERT (ask (T0 + ZP_SEC, NULL) == 0);
  qu_holder_free (h);
}

/* Guards against a lease that is used after its end, by a daemon that is
   isolated or was frozen: it lasts from when the ask was sent.  */
static void
test_lease_ends (void)
{
  start ();
  CU_ASSERT (take (T0) == QU_WAIT);
  uint64_t n = ask (T0, NULL);
  CU_ASSERT (grant (n, 1, 1, HALF, 0, 0, T0 + ZP_SEC));
  CU_ASSERT (qu_holder_holding (h, WS, T0 + ZP_SEC).level == 0);
  /* 40 tokens a second, less 1%, up to 16: four fifths of 40 can be leased.  */
  unsigned spent = 0;
  while (take (T0 + QU_TTL - 1) == QU_SPEND)
    spent++;
  CU_ASSERT (spent == 16);
  qu_holder_give_back (h, WS, T0 + QU_TTL - 1);
  CU_ASSERT (qu_holder_holding (h, WS, T0 + QU_TTL - 1).level > 0.9);
  CU_ASSERT (take (T0 + QU_TTL) != QU_SPEND);
  CU_ASSERT (share (T0 + QU_TTL) == 0);
  CU_ASSERT (qu_holder_counts (h).ended == 1);
  qu_holder_give_back (h, WS, T0 + QU_TTL);
  CU_ASSERT (take (T0 + QU_TTL) != QU_SPEND);
  qu_holder_free (h);
}

/* Guards against an isolated daemon that goes on from a grant which was
   delivered after the lease had ended.  */
static void
test_late_grant (void)
{
  start ();
  CU_ASSERT (take (T0) == QU_WAIT);
  uint64_t n = ask (T0, NULL);
  /* Later than 500 ms: the lease, but no tokens.  */
  CU_ASSERT (grant (n, 1, 1, HALF, 1, 1, T0 + 500 * ZP_MS));
  CU_ASSERT (share (T0 + 500 * ZP_MS) == HALF);
  CU_ASSERT (retry (T0 + 500 * ZP_MS) == QU_WAIT);
  n = ask (T0 + 520 * ZP_MS, NULL);
  CU_ASSERT (grant (n, 1, 2, HALF, 0, 0, T0 + 8 * ZP_SEC));
  CU_ASSERT (share (T0 + 8 * ZP_SEC) == 0);
  qu_holder_free (h);
}

/* Guards against tokens that are spent when the owner no longer counts them:
   after 500 ms, or after the ask that acknowledges them.  */
static void
test_tokens_end (void)
{
  start ();
  CU_ASSERT (take (T0) == QU_WAIT && take (T0) == QU_WAIT);
  uint64_t n = ask (T0, NULL);
  CU_ASSERT (grant (n, 1, 1, 0, 2, 2, T0 + 100 * ZP_MS));
  CU_ASSERT (retry (T0 + 100 * ZP_MS) == QU_SPEND);
  qu_holder_cancel_wait (h, WS);
  CU_ASSERT (qu_holder_holding (h, WS, T0 + 499 * ZP_MS).spare == 1);
  CU_ASSERT (qu_holder_holding (h, WS, T0 + 500 * ZP_MS).spare == 0);

  CU_ASSERT (take (T0 + 600 * ZP_MS) == QU_WAIT);
  n = ask (T0 + 600 * ZP_MS, NULL);
  qu_holder_cancel_wait (h, WS);
  CU_ASSERT (grant (n, 1, 2, 0, 1, 1, T0 + 700 * ZP_MS));
  struct tk_quota_ask_item it = { .applied = 0 };
  /* Acknowledged within 50 ms, also when nobody waits.  */
  CU_ASSERT (qu_holder_next_due (h, T0 + 700 * ZP_MS) <= T0 + 750 * ZP_MS);
  CU_ASSERT (ask (T0 + 750 * ZP_MS, &it) != 0);
  CU_ASSERT (it.applied == QU_GRANT_NUMBER (1, 2) && it.want == 0);
  CU_ASSERT (take (T0 + 750 * ZP_MS) != QU_SPEND);
  qu_holder_free (h);
}

/* Guards against grants that arrive out of order, from an earlier owner, for
   asks of another start, or twice.  */
static void
test_order (void)
{
  start ();
  CU_ASSERT (take (T0) == QU_WAIT);
  uint64_t a = ask (T0, NULL), b = ask (T0 + 250 * ZP_MS, NULL);
  zp_time now = T0 + 300 * ZP_MS;
  CU_ASSERT (grant (b, 2, 2, 1000, 0, 0, now));
  grant (a, 2, 1, HALF, 1, 1, now);
  CU_ASSERT (share (now) == 1000 && retry (now) == QU_WAIT);
  grant (b, 2, 2, HALF, 1, 1, now);
  CU_ASSERT (share (now) == 1000 && retry (now) == QU_WAIT);
  CU_ASSERT (!grant (b, 1, 900, HALF, 1, 1, now));
  CU_ASSERT (!grant (b + 1, 2, 3, HALF, 1, 1, now));
  CU_ASSERT (share (now) == 1000);
  CU_ASSERT (qu_holder_counts (h).term == 2);
  struct tk_quota_grant g
      = { .holder = 3, .incarnation = 32, .number = b, .term = 2 };
  CU_ASSERT (!qu_holder_grant (h, &g, now));
  qu_holder_free (h);
}

/* Guards against a new owner that answers an outdated claim: the holder has
   applied a grant of the earlier owner since it made the ask.  */
static void
test_outdated_claim (void)
{
  start ();
  CU_ASSERT (take (T0) == QU_WAIT);
  uint64_t a = ask (T0, NULL);
  grant (a, 1, 1, HALF, 0, 0, T0 + 50 * ZP_MS);
  uint64_t b = ask (T0 + 250 * ZP_MS, NULL);
  uint64_t c = ask (T0 + 500 * ZP_MS, NULL);
  grant (b, 1, 2, 1000, 0, 0, T0 + 550 * ZP_MS);
  grant (c, 2, 1, HALF, 0, 0, T0 + 600 * ZP_MS);
  CU_ASSERT (share (T0 + 600 * ZP_MS) == 1000);
  uint64_t d = ask (T0 + 750 * ZP_MS, NULL);
  grant (d, 2, 2, 1001, 0, 0, T0 + 800 * ZP_MS);
  CU_ASSERT (share (T0 + 800 * ZP_MS) == 1001);
  qu_holder_free (h);
}

/* Guards against a workspace that is removed and returns, and then applies an
   older and larger grant than the last one.  */
static void
test_returned (void)
{
  start ();
  CU_ASSERT (take (T0) == QU_WAIT);
  uint64_t a = ask (T0, NULL), b = ask (T0 + 250 * ZP_MS, NULL);
  grant (b, 1, 2, 1000, 0, 0, T0 + 300 * ZP_MS);
  qu_holder_set_limits (h, NULL, 0, T0 + 300 * ZP_MS);
  qu_holder_set_limits (h, &limit, 1, T0 + 300 * ZP_MS);
  grant (a, 1, 1, HALF, 0, 0, T0 + 310 * ZP_MS);
  CU_ASSERT (share (T0 + 310 * ZP_MS) == 0);
  qu_holder_free (h);
}

/* Guards against requests over the limit that all wait, and against a refusal
   of those whose ask is still under way.  The retries are spread.  */
static void
test_exhausted (void)
{
  start ();
  CU_ASSERT (take (T0) == QU_WAIT);
  uint64_t a = ask (T0, NULL);
  CU_ASSERT (take (T0 + ZP_MS) == QU_WAIT);
  struct tk_quota_ask_item it = { .want = 0 };
  CU_ASSERT (ask (T0 + 19 * ZP_MS, &it) == 0);
  uint64_t b = ask (T0 + 20 * ZP_MS, &it);
  CU_ASSERT (b != 0 && it.want == 1); /* the other one is under way */
  zp_time now = T0 + 110 * ZP_MS;
  CU_ASSERT (grant (a, 1, 1, 0, 0, 1, now));
  struct qu_decision d = qu_holder_retry (h, WS, now, &rng);
  CU_ASSERT (d.kind == QU_EXHAUSTED);
  CU_ASSERT (d.u.retry_after >= QU_RETRY_MIN
             && d.u.retry_after <= QU_RETRY_MAX);
  CU_ASSERT (retry (now) == QU_WAIT);
  CU_ASSERT (take (now + 99 * ZP_MS) == QU_EXHAUSTED);
  CU_ASSERT (take (now + 100 * ZP_MS) == QU_WAIT);
  qu_holder_free (h);
}

/* Guards against tokens that are never asked for again after a lost ask.  */
static void
test_lost_ask (void)
{
  struct tk_quota_ask_item it = { .want = 0 };

  start ();
  CU_ASSERT (take (T0) == QU_WAIT);
  CU_ASSERT (ask (T0, &it) != 0 && it.want == 1);
  CU_ASSERT (ask (T0 + 250 * ZP_MS, &it) != 0 && it.want == 0);
  CU_ASSERT (ask (T0 + 500 * ZP_MS, &it) != 0 && it.want == 1);
  qu_holder_free (h);
}

/* Guards against requests that all wait in vain while no owner answers, against
   503 for a daemon that was only idle or frozen, and against asks that stop,
   so that a new owner is not noticed.  */
static void
test_silence (void)
{
  start ();
  unsigned asks = 0;
  for (zp_time t = T0; t <= T0 + 3 * ZP_SEC; t += 10 * ZP_MS)
    {
      enum qu_result want = t - T0 > ZP_SEC ? QU_UNKNOWN : QU_WAIT;
      CU_ASSERT (take (t) == want);
      qu_holder_cancel_wait (h, WS);
      asks += ask (t, NULL) != 0;
    }
  CU_ASSERT (asks >= 12 && asks <= 150);
  CU_ASSERT (retry (T0 + 3 * ZP_SEC) == QU_UNKNOWN);
  CU_ASSERT (take (T0 + 30 * ZP_SEC) == QU_WAIT);
  uint64_t n = ask (T0 + 30 * ZP_SEC, NULL);
  CU_ASSERT (grant (n, 1, 1, HALF, 0, 0, T0 + 30 * ZP_SEC + ZP_MS));
  CU_ASSERT (take (T0 + 31 * ZP_SEC) == QU_SPEND);
  qu_holder_free (h);
}

/* Guards against a lower limit that waits for the owner, and against a raised
   one that adds tokens.  */
static void
test_limit_changes (void)
{
  start ();
  CU_ASSERT (take (T0) == QU_WAIT);
  grant (ask (T0, NULL), 1, 1, HALF, 0, 0, T0);
  zp_time now = T0 + 2 * ZP_SEC;
  CU_ASSERT_DOUBLE_EQUAL (qu_holder_holding (h, WS, now).level, 16, 1e-4);
  /* Two thirds of 32 can be leased.  */
  struct qu_limit l = { .workspace = WS, .rate = 10, .burst = 32 };
  qu_holder_set_limits (h, &l, 1, now);
  CU_ASSERT_DOUBLE_EQUAL (qu_holder_holding (h, WS, now).level, 32 / 3.0,
                          1e-4);
  qu_holder_set_limits (h, &limit, 1, now);
  CU_ASSERT_DOUBLE_EQUAL (qu_holder_holding (h, WS, now).level, 32 / 3.0,
                          1e-4);
  l.burst = QU_POOL_MIN;
  qu_holder_set_limits (h, &l, 1, now);
  CU_ASSERT (qu_holder_holding (h, WS, now).level == 0);
  qu_holder_set_limits (h, &limit, 1, now);
  CU_ASSERT (qu_holder_holding (h, WS, now).level == 0);
  CU_ASSERT (share (now) == HALF);
  qu_holder_free (h);
}

/* Guards against asks that grow with the number of workspaces, and against
   workspaces that are left out of all of them: 300 are renewed in three
   periods, and the one that waits is in the first ask.  */
static void
test_many (void)
{
  enum
  {
    MANY = 300,
  };
  static struct qu_limit list[MANY];
  unsigned seen[MANY] = { 0 };
  struct tk_quota_ask a;

  zp_rng_seed (&rng, 1);
  h = qu_holder_new (3, 33);
  for (uint64_t i = 0; i < MANY; i++)
    list[i] = (struct qu_limit){ .workspace = i, .rate = 10, .burst = 10 };
  qu_holder_set_limits (h, list, MANY, T0);
  for (uint64_t i = 0; i < MANY; i++)
    {
      CU_ASSERT (qu_holder_take (h, i, T0, &rng).kind == QU_WAIT);
      if (i != 250)
        qu_holder_cancel_wait (h, i);
    }
  for (int i = 0; i < 3; i++)
    {
      CU_ASSERT_FATAL (qu_holder_make_ask (h, T0 + i * QU_PERIOD_MIN, &a));
      CU_ASSERT (a.len <= QU_ITEMS_MAX);
      CU_ASSERT (i > 0 || (a.item[0].workspace == 250 && a.item[0].want == 1));
      for (size_t k = 0; k < a.len; k++)
        seen[a.item[k].workspace]++;
      free (a.item);
    }
  for (int i = 0; i < MANY; i++)
    CU_ASSERT (seen[i] >= 1);
  /* Without requests, no asks.  */
  zp_time idle = T0 + QU_IDLE;
  CU_ASSERT (!qu_holder_make_ask (h, idle, &a));
  CU_ASSERT (qu_holder_next_due (h, idle) == ZP_NEVER);
  qu_holder_free (h);
}

/* Answers A, when the owner knows the workspaces up to KNOWN only, with a half
   of each limit.  */
static void
answer (const struct tk_quota_ask *a, uint64_t known, zp_time now)
{
  static struct tk_quota_grant_item item[QU_ITEMS_MAX];
  struct tk_quota_grant g = { .holder = 3,
                              .incarnation = 33,
                              .number = a->number,
                              .term = 1,
                              .grant = QU_GRANT_NUMBER (1, a->number),
                              .ttl = QU_TTL,
                              .period = QU_PERIOD_MAX,
                              .item = item };

  for (size_t i = 0; i < a->len; i++)
    if (a->item[i].workspace < known)
      item[g.len++] = (struct tk_quota_grant_item){
        .workspace = a->item[i].workspace,
        .rate_share = HALF,
        .burst_share = HALF,
      };
  CU_ASSERT (qu_holder_grant (h, &g, now));
}

/* Guards against leases that end because a single ask is lost, with 300
   workspaces and the longest period; also while the owner does not know 80
   others.  */
static void
test_lost_ask_of_many (void)
{
  enum
  {
    KNOWN = 300,
    MANY = 380,
    STEP_MS = 50,
  };
  static struct qu_limit list[MANY];
  struct tk_quota_ask a;

  for (int round = 0; round < 2; round++)
    {
      uint64_t n = round == 0 ? KNOWN : MANY;
      zp_rng_seed (&rng, 1);
      h = qu_holder_new (3, 33);
      for (uint64_t i = 0; i < n; i++)
        list[i] = (struct qu_limit){ .workspace = i, .rate = 10, .burst = 10 };
      qu_holder_set_limits (h, list, n, T0);
      unsigned asks = 0;
      for (zp_time t = T0; t < T0 + 60 * ZP_SEC; t += STEP_MS * ZP_MS)
        {
          if (t % ZP_SEC == 0)
            for (uint64_t i = 0; i < n; i++)
              if (qu_holder_take (h, i, t, &rng).kind == QU_WAIT)
                qu_holder_cancel_wait (h, i);
          if (!qu_holder_make_ask (h, t, &a))
            continue;
          if (round == 1 || ++asks % 10 != 0)
            answer (&a, KNOWN, t);
          free (a.item);
        }
      CU_ASSERT_EQUAL (qu_holder_counts (h).ended, 0);
      qu_holder_free (h);
    }
}

/* Guards against a demand that does not follow, or leaves out refused
   requests.  */
static void
test_demand (void)
{
  struct tk_quota_ask_item it = { .demand = 0 };

  start ();
  zp_time t = T0;
  for (; t < T0 + 10 * ZP_SEC; t += 20 * ZP_MS)
    {
      if (take (t) == QU_WAIT)
        qu_holder_cancel_wait (h, WS);
      ask (t, &it);
    }
  CU_ASSERT (it.demand > 48 && it.demand < 52);
  CU_ASSERT (ask (t + 4 * ZP_SEC, &it) != 0);
  CU_ASSERT (it.demand > 5 && it.demand < 8);
  qu_holder_free (h);
}

static const struct zp_test tests[] = {
  { "no limit", test_no_limit },
  { "a lease ends", test_lease_ends },
  { "late grant", test_late_grant },
  { "tokens end", test_tokens_end },
  { "order of grants", test_order },
  { "outdated claim", test_outdated_claim },
  { "removed and returned", test_returned },
  { "exhausted", test_exhausted },
  { "lost ask", test_lost_ask },
  { "no owner answers", test_silence },
  { "limits change", test_limit_changes },
  { "many workspaces", test_many },
  { "lost ask of many", test_lost_ask_of_many },
  { "demand", test_demand },
};

TEST_MAIN ("quota-holder", tests)
