#include "steer/retry.h"

#include <assert.h>

/* Budget.  */

const struct st_budget_terms st_budget_default
    = { .earn = ST_BUDGET_TOKEN / 10,
        .advance = ST_BUDGET_FLOOR * ST_BUDGET_TOKEN,
        .max = ST_BUDGET_MAX * ST_BUDGET_TOKEN,
        .failed_cost = ST_BUDGET_TOKEN,
        .shed_cost = ST_BUDGET_TOKEN };

struct st_budget_terms
st_budget_share (double ratio, double slack, unsigned daemons)
{
  assert (ratio >= 0 && slack >= 0 && daemons > 0);
  return (struct st_budget_terms){
    .earn = (int64_t) (ratio * ST_BUDGET_BOUND_USED * ST_BUDGET_TOKEN),
    .max
    = (int64_t) (slack * ST_BUDGET_BOUND_USED * ST_BUDGET_TOKEN / daemons),
    .failed_cost = ST_BUDGET_TOKEN,
  };
}

void
st_budget_init (struct st_budget *b, const struct st_budget_terms *terms)
{
  *b = (struct st_budget){ .terms = terms,
                           .tokens = terms->advance,
                           .advance = terms->advance };
}

/* Drops saved tokens above MAX, which may have been lowered.  */
static void
cap (struct st_budget *b)
{
  if (b->tokens > b->terms->max)
    b->tokens = b->terms->max;
}

void
st_budget_first_try (struct st_budget *b)
{
  if (b->advance > 0)
    {
      b->advance -= b->terms->earn;
      return;
    }
  b->tokens += b->terms->earn;
  cap (b);
}

/* Spends a token.  Returns false when the budget does not hold a whole
   one.  */
static bool
spend (struct st_budget *b)
{
  cap (b);
  if (b->tokens < ST_BUDGET_TOKEN)
    return false;
  b->tokens -= ST_BUDGET_TOKEN;
  return true;
}

/* The tokens may become negative, when several concurrent retries fail.  */
void
st_budget_retry_ended (struct st_budget *b, enum st_attempt_end end)
{
  switch (end)
    {
    case ST_END_ANSWER:
    case ST_END_LATE:
    case ST_END_CANCELLED:
      return;
    case ST_END_SHED:
    case ST_END_REFUSED:
      b->tokens -= b->terms->shed_cost;
      return;
    case ST_END_STATUS:
    case ST_END_LOST:
    case ST_END_TIMEOUT:
      b->tokens -= b->terms->failed_cost;
      return;
    }
}

/* Decision.  */

static bool
retryable (const struct st_retry_request *r, enum st_attempt_end end,
           enum zp_verdict verdict)
{
  switch (end)
    {
    case ST_END_ANSWER:
    case ST_END_LATE:
    case ST_END_CANCELLED:
      return false;
    case ST_END_STATUS:
    case ST_END_SHED:
    case ST_END_REFUSED:
    case ST_END_LOST:
    case ST_END_TIMEOUT:
      return r->idempotent || verdict == ZP_NOT_RUN;
    }
  return false;
}

/* Whether the request may be retried; REASON is set when it may not.  */
static bool
may_retry (const struct st_retry_request *r, enum st_attempt_end end,
           enum zp_verdict verdict, struct st_budget *b,
           enum st_refuse_reason *reason)
{
  *reason
      = end == ST_END_CANCELLED ? ST_REFUSE_CANCELLED : ST_REFUSE_MAY_HAVE_RUN;
  if (!retryable (r, end, verdict))
    return false;
  *reason = ST_REFUSE_POISON;
  if (r->poisoned)
    return false;
  *reason = ST_REFUSE_ATTEMPTS;
  if (r->attempts
      >= (r->attempts_max > 0 ? r->attempts_max : ST_RETRY_ATTEMPTS))
    return false;
  *reason = ST_REFUSE_DEADLINE;
  if (r->deadline - r->now <= r->expected)
    return false;
  *reason = ST_REFUSE_NO_SERVER;
  if (!r->other_server)
    return false;
  *reason = ST_REFUSE_BUDGET;
  return spend (b);
}

struct st_retry
st_retry_decide (const struct st_retry_request *r, enum st_attempt_end end,
                 enum zp_verdict verdict, struct st_budget *b)
{
  enum st_refuse_reason reason;
  struct st_retry d = { .verdict = verdict };

  assert (r->attempts >= 1);
  /* An at-most-once request is not retried after it may have run.  */
  assert (r->idempotent || r->earlier == ZP_NOT_RUN);
  if (r->earlier > d.verdict)
    d.verdict = r->earlier;
  if (may_retry (r, end, verdict, b, &reason))
    {
      d.kind = ST_RETRY_NOW;
      return d;
    }
  /* The answer of a server that shed the request proves only that this attempt
     did not run.  When an earlier attempt may have run, the caller gets a
     refusal with that verdict instead.  */
  if (r->has_answer && (end != ST_END_SHED || d.verdict == verdict))
    {
      d.kind = ST_RETRY_ANSWER;
      d.u.answer = reason;
      return d;
    }
  d.kind = ST_RETRY_REFUSE;
  d.u.refuse = reason;
  return d;
}

const char *
st_refuse_name (enum st_refuse_reason reason)
{
  switch (reason)
    {
    case ST_REFUSE_CANCELLED:
      return "cancelled";
    case ST_REFUSE_MAY_HAVE_RUN:
      return "may-have-run";
    case ST_REFUSE_POISON:
      return "poison";
    case ST_REFUSE_ATTEMPTS:
      return "attempts";
    case ST_REFUSE_DEADLINE:
      return "deadline";
    case ST_REFUSE_NO_SERVER:
      return "no-server";
    case ST_REFUSE_BUDGET:
      return "retry-budget";
    }
  return "unknown";
}
