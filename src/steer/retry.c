#include "steer/retry.h"

#include <assert.h>

/* Budget.  */

const struct st_budget_terms st_budget_usual
    = { .earn = ST_BUDGET_TOKEN / 10,
        .advance = ST_BUDGET_FLOOR * ST_BUDGET_TOKEN,
        .most = ST_BUDGET_MAX * ST_BUDGET_TOKEN,
        .failed = ST_BUDGET_TOKEN,
        .shed = ST_BUDGET_TOKEN };

struct st_budget_terms
st_budget_share (double ratio, double slack, unsigned daemons)
{
  assert (ratio >= 0 && slack >= 0 && daemons > 0);
  return (struct st_budget_terms){
    .earn = (int64_t) (ratio * ST_BUDGET_SHARE * ST_BUDGET_TOKEN),
    .most = (int64_t) (slack * ST_BUDGET_SHARE * ST_BUDGET_TOKEN / daemons),
    .failed = ST_BUDGET_TOKEN,
  };
}

void
st_budget_init (struct st_budget *b, const struct st_budget_terms *terms)
{
  *b = (struct st_budget){ .terms = terms,
                           .tokens = terms->advance,
                           .advance = terms->advance };
}

/* Saved tokens above a bound that was lowered are lost.  */
static void
cap (struct st_budget *b)
{
  if (b->tokens > b->terms->most)
    b->tokens = b->terms->most;
}

void
st_budget_first (struct st_budget *b)
{
  if (b->advance > 0)
    {
      b->advance -= b->terms->earn;
      return;
    }
  b->tokens += b->terms->earn;
  cap (b);
}

/* Returns false when the budget does not hold a whole token.  */
static bool
spend (struct st_budget *b)
{
  cap (b);
  if (b->tokens < ST_BUDGET_TOKEN)
    return false;
  b->tokens -= ST_BUDGET_TOKEN;
  return true;
}

/* May go below zero: retries that run at once all fail.  */
void
st_budget_retried (struct st_budget *b, enum st_attempt_end end)
{
  switch (end)
    {
    case ST_END_ANSWER:
    case ST_END_LATE:
    case ST_END_CANCELLED:
      return;
    case ST_END_SHED:
    case ST_END_REFUSED:
      b->tokens -= b->terms->shed;
      return;
    case ST_END_STATUS:
    case ST_END_LOST:
    case ST_END_TIMEOUT:
      b->tokens -= b->terms->failed;
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

/* Whether the request may be tried again; WHY is set when it may not.  */
static bool
may_retry (const struct st_retry_request *r, enum st_attempt_end end,
           enum zp_verdict verdict, struct st_budget *b,
           enum st_refuse_reason *why)
{
  *why
      = end == ST_END_CANCELLED ? ST_REFUSE_CANCELLED : ST_REFUSE_MAY_HAVE_RUN;
  if (!retryable (r, end, verdict))
    return false;
  *why = ST_REFUSE_POISON;
  if (r->poisoned)
    return false;
  *why = ST_REFUSE_ATTEMPTS;
  if (r->attempts
      >= (r->attempts_max > 0 ? r->attempts_max : ST_RETRY_ATTEMPTS))
    return false;
  *why = ST_REFUSE_DEADLINE;
  if (r->deadline - r->now <= r->expected)
    return false;
  *why = ST_REFUSE_NO_SERVER;
  if (!r->other_server)
    return false;
  *why = ST_REFUSE_BUDGET;
  return spend (b);
}

struct st_retry
st_retry_decide (const struct st_retry_request *r, enum st_attempt_end end,
                 enum zp_verdict verdict, struct st_budget *b)
{
  enum st_refuse_reason why;
  struct st_retry d = { .verdict = verdict };

  assert (r->attempts >= 1);
  /* An at-most-once request is not tried again after it may have run.  */
  assert (r->idempotent || r->earlier == ZP_NOT_RUN);
  if (r->earlier > d.verdict)
    d.verdict = r->earlier;
  if (may_retry (r, end, verdict, b, &why))
    {
      d.kind = ST_RETRY_NOW;
      return d;
    }
  /* A shed request has an answer too, which proves that it did not run; but
     an earlier attempt may have run, and then only a refusal says so.  */
  if (r->has_answer && (end != ST_END_SHED || d.verdict == verdict))
    {
      d.kind = ST_RETRY_ANSWER;
      d.u.answer = why;
      return d;
    }
  d.kind = ST_RETRY_REFUSE;
  d.u.refuse = why;
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
