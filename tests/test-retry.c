#include "harness.h"

#include "steer/retry.h"

static struct st_retry_request
request (bool idempotent)
{
  return (struct st_retry_request){ .idempotent = idempotent,
                                    .other_server = true,
                                    .attempts = 1,
                                    .now = 0,
                                    .deadline = ZP_SEC,
                                    .expected = 10 * ZP_MS,
                                    .earlier = ZP_NOT_RUN };
}

/* Makes one first try and its retries, all failing.  Returns the number of
   attempts.  */
static unsigned
fail_all (struct st_budget *b)
{
  struct st_retry_request r = request (true);

  st_budget_first_try (b);
  while (st_retry_decide (&r, ST_END_LOST, ZP_MAY_HAVE_RUN, b).kind
         == ST_RETRY_NOW)
    {
      st_budget_retry_ended (b, ST_END_LOST);
      r.attempts++;
      r.earlier = ZP_MAY_HAVE_RUN;
    }
  return r.attempts;
}

/* Guards against retries that multiply the load when every server fails: there
   are at most 1.1 attempts a request, both with a new budget and with one full
   of saved tokens.  */
static void
test_amplification_with_every_server_failing (void)
{
  struct st_budget fresh, saved;
  unsigned long a = 0, s = 0;

  st_budget_init (&fresh, &st_budget_default);
  st_budget_init (&saved, &st_budget_default);
  for (int i = 0; i < 100000; i++)
    st_budget_first_try (&saved);
  for (unsigned long n = 1; n <= 100000; n++)
    {
      a += fail_all (&fresh);
      s += fail_all (&saved);
      CU_ASSERT (a * 10 <= n * 11 || a <= n + ST_BUDGET_FLOOR);
      CU_ASSERT (n < 200 || s * 10 <= n * 11);
    }
}

/* Guards against more than 10% retries when retries succeed, and against a
   service with few requests that gets no retry.  */
static void
test_budget_with_random_failures (void)
{
  struct zp_rng rng;

  zp_rng_seed (&rng, 21);
  for (int round = 0; round < 200; round++)
    {
      struct st_budget b;
      struct st_retry_request r = request (true);
      unsigned long first = 0, retries = 0, running = 0;
      double failing = zp_rng_unit (&rng);
      st_budget_init (&b, &st_budget_default);
      for (int i = 0; i < 2000; i++)
        {
          st_budget_first_try (&b);
          first++;
          if (zp_rng_unit (&rng) < failing
              && st_retry_decide (&r, ST_END_REFUSED, ZP_NOT_RUN, &b).kind
                     == ST_RETRY_NOW)
            {
              retries++;
              running++;
            }
          if (running > 0 && zp_rng_below (&rng, 3) == 0)
            {
              st_budget_retry_ended (&b, zp_rng_below (&rng, 2) ? ST_END_ANSWER
                                                                : ST_END_LOST);
              running--;
            }
          CU_ASSERT (retries <= ST_BUDGET_FLOOR || retries * 10 <= first);
        }
      CU_ASSERT (retries > 0 || failing < 0.01);
    }
}

/* Guards against a second run of an at-most-once request that may have run,
   for every outcome and verdict.  */
static void
test_at_most_once_needs_a_proof (void)
{
  for (int end = ST_END_ANSWER; end <= ST_END_CANCELLED; end++)
    for (int v = ZP_NOT_RUN; v <= ZP_RAN; v++)
      {
        struct st_budget b;
        struct st_retry_request r = request (false);
        st_budget_init (&b, &st_budget_default);
        struct st_retry d = st_retry_decide (&r, (enum st_attempt_end) end,
                                             (enum zp_verdict) v, &b);
        if (v != ZP_NOT_RUN)
          CU_ASSERT_NOT_EQUAL (d.kind, ST_RETRY_NOW);
        CU_ASSERT_EQUAL (d.verdict, (enum zp_verdict) v);
      }
  struct st_budget b;
  struct st_retry_request r = request (false);
  st_budget_init (&b, &st_budget_default);
  CU_ASSERT_EQUAL (st_retry_decide (&r, ST_END_REFUSED, ZP_NOT_RUN, &b).kind,
                   ST_RETRY_NOW);
}

/* Guards against a refusal with the verdict not-run although an earlier
   attempt may have run.  */
static void
test_verdict_covers_all_attempts (void)
{
  struct st_budget b;
  struct st_retry_request r = request (true);

  st_budget_init (&b, &st_budget_default);
  r.attempts = ST_RETRY_ATTEMPTS;
  r.earlier = ZP_MAY_HAVE_RUN;
  struct st_retry d = st_retry_decide (&r, ST_END_REFUSED, ZP_NOT_RUN, &b);
  CU_ASSERT_EQUAL (d.kind, ST_RETRY_REFUSE);
  CU_ASSERT_EQUAL (d.verdict, ZP_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (d.u.refuse, ST_REFUSE_ATTEMPTS);

  /* Passing on the server's own not-run answer would be wrong as well.  */
  r.has_answer = true;
  d = st_retry_decide (&r, ST_END_SHED, ZP_NOT_RUN, &b);
  CU_ASSERT_EQUAL (d.kind, ST_RETRY_REFUSE);
  CU_ASSERT_EQUAL (d.verdict, ZP_MAY_HAVE_RUN);
  d = st_retry_decide (&r, ST_END_STATUS, ZP_RAN, &b);
  CU_ASSERT_EQUAL (d.kind, ST_RETRY_ANSWER);
  CU_ASSERT_EQUAL (d.verdict, ZP_RAN);
}

/* Guards against retries that would end after the deadline, have no server, or
   are of a poison or cancelled request; none of these may spend a token.  */
static void
test_reasons_not_to_retry (void)
{
  struct st_budget b;
  struct st_retry_request r;

  st_budget_init (&b, &st_budget_default);
  struct st_budget before = b;
  r = request (true);
  r.now = r.deadline - r.expected;
  CU_ASSERT_EQUAL (
      st_retry_decide (&r, ST_END_LOST, ZP_MAY_HAVE_RUN, &b).u.refuse,
      ST_REFUSE_DEADLINE);
  r = request (true);
  r.other_server = false;
  CU_ASSERT_EQUAL (
      st_retry_decide (&r, ST_END_LOST, ZP_MAY_HAVE_RUN, &b).u.refuse,
      ST_REFUSE_NO_SERVER);
  r = request (true);
  r.poisoned = true;
  CU_ASSERT_EQUAL (
      st_retry_decide (&r, ST_END_LOST, ZP_MAY_HAVE_RUN, &b).u.refuse,
      ST_REFUSE_POISON);
  r = request (true);
  CU_ASSERT_EQUAL (
      st_retry_decide (&r, ST_END_CANCELLED, ZP_MAY_HAVE_RUN, &b).u.refuse,
      ST_REFUSE_CANCELLED);
  CU_ASSERT_EQUAL (b.tokens, before.tokens);
  for (int i = 0; i < ST_BUDGET_FLOOR; i++)
    st_retry_decide (&r, ST_END_LOST, ZP_MAY_HAVE_RUN, &b);
  CU_ASSERT_EQUAL (
      st_retry_decide (&r, ST_END_LOST, ZP_MAY_HAVE_RUN, &b).u.refuse,
      ST_REFUSE_BUDGET);
}

#define DAEMONS 22
#define RATIO 0.2
#define SLACK 156
#define WINDOW_S 10

/* Simulates 22 daemons that send requests to a service for SECONDS, at RATE
   first tries a second.  Those of the last WINDOW_S seconds end with FIRST,
   and their retries with AGAIN.  Sets RETRIES to the number of retries in each
   second.  */
static void
simulate_outage (const struct st_budget_terms *terms,
                 enum st_attempt_end first, enum st_attempt_end again,
                 unsigned seconds, unsigned rate, unsigned *retries)
{
  struct st_budget b[DAEMONS];

  for (int d = 0; d < DAEMONS; d++)
    st_budget_init (&b[d], terms);
  for (unsigned t = 0; t < seconds; t++)
    {
      retries[t] = 0;
      for (unsigned i = 0; i < rate; i++)
        {
          struct st_budget *x = &b[i % DAEMONS];
          struct st_retry_request r = request (true);
          st_budget_first_try (x);
          if (t + WINDOW_S >= seconds
              && st_retry_decide (&r, first, ZP_NOT_RUN, x).kind
                     == ST_RETRY_NOW)
            {
              retries[t]++;
              st_budget_retry_ended (x, again);
            }
        }
    }
}

/* Guards against daemons that together send more retries than operators allow:
   after a time without failures each of them has saved as many tokens as it
   may, and then all servers of a service fail at once.  The rates range from
   the smallest to the largest service of a deployment with 22 entry VMs.  */
static void
test_share_of_all_daemons (void)
{
  static const enum st_attempt_end ends[]
      = { ST_END_SHED, ST_END_REFUSED, ST_END_LOST, ST_END_TIMEOUT,
          ST_END_ANSWER };
  static const unsigned rates[] = { 20, 123, 343, 1169 };
  struct st_budget_terms terms = st_budget_share (RATIO, SLACK, DAEMONS);
  unsigned retries[60];

  for (size_t e = 0; e < sizeof ends / sizeof ends[0]; e++)
    for (size_t k = 0; k < sizeof rates / sizeof rates[0]; k++)
      {
        unsigned sum = 0;
        simulate_outage (&terms, ST_END_LOST, ends[e], 60, rates[k], retries);
        for (unsigned t = 50; t < 60; t++)
          sum += retries[t];
        CU_ASSERT (sum <= RATIO * rates[k] * WINDOW_S + SLACK);
        CU_ASSERT (sum > 0);
      }
}

/* Guards against requests that are refused although operators allow more
   retries: half of all attempts, retries included, are shed by the server.
   Three quarters of the allowed ratio must be used.  */
static void
test_shed_requests_are_retried (void)
{
  struct st_budget_terms terms = st_budget_share (RATIO, SLACK, DAEMONS);
  struct st_budget b;
  struct zp_rng rng;
  unsigned first = 10000, retried = 0;

  zp_rng_seed (&rng, 1);
  st_budget_init (&b, &terms);
  for (unsigned i = 0; i < first; i++)
    {
      struct st_retry_request r = request (true);
      st_budget_first_try (&b);
      if (zp_rng_below (&rng, 2) == 0
          && st_retry_decide (&r, ST_END_SHED, ZP_NOT_RUN, &b).kind
                 == ST_RETRY_NOW)
        {
          retried++;
          st_budget_retry_ended (&b, zp_rng_below (&rng, 2) ? ST_END_SHED
                                                            : ST_END_ANSWER);
        }
    }
  CU_ASSERT (retried >= 0.75 * RATIO * first);
}

/* Guards against a daemon that spends its share a second time after a restart,
   and against one that keeps its saved tokens when its share is reduced.  */
static void
test_share_starts_empty_and_shrinks (void)
{
  struct st_budget_terms terms = st_budget_share (RATIO, SLACK, 1);
  struct st_retry_request r = request (true);
  struct st_budget b;
  unsigned retries = 0;

  st_budget_init (&b, &terms);
  CU_ASSERT_EQUAL (st_retry_decide (&r, ST_END_REFUSED, ZP_NOT_RUN, &b).kind,
                   ST_RETRY_REFUSE);
  for (int i = 0; i < 1000; i++)
    st_budget_first_try (&b);
  terms = st_budget_share (RATIO, SLACK, DAEMONS);
  while (st_retry_decide (&r, ST_END_REFUSED, ZP_NOT_RUN, &b).kind
         == ST_RETRY_NOW)
    retries++;
  CU_ASSERT (retries > 0 && retries <= SLACK / DAEMONS);
}

static const struct zp_test tests[]
    = { { "amplification with every server failing",
          test_amplification_with_every_server_failing },
        { "budget with random failures", test_budget_with_random_failures },
        { "retries of all daemons together", test_share_of_all_daemons },
        { "shed requests are retried", test_shed_requests_are_retried },
        { "share starts empty and shrinks",
          test_share_starts_empty_and_shrinks },
        { "at-most-once requests need proof of no run",
          test_at_most_once_needs_a_proof },
        { "verdict covers all attempts", test_verdict_covers_all_attempts },
        { "reasons not to retry", test_reasons_not_to_retry } };

TEST_MAIN ("retry", tests)
