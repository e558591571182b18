/* NAME
     retry - retry budget of a service, and the decision after an attempt

   SYNOPSIS
     st_budget_init (&budget, &st_budget_default);
     st_budget_first_try (&budget);
     d = st_retry_decide (&request, end, verdict, &budget);

   DESCRIPTION
     The budget is a token bucket.  Every first try of a service earns a part
     of a token, and a retry spends one.  At most MAX tokens are saved, so that
     N first tries in any span of time allow at most MAX + EARN * N retries in
     it.

     With st_budget_default a first try earns a tenth of a token.  The budget
     starts with ST_BUDGET_FLOOR tokens, so that a service with few requests
     can retry; these are an advance, which the first tries pay back before
     they earn more.  So the retries of N first tries are at most
     max (ST_BUDGET_FLOOR, N / 10), from the first request on.  A retry that
     fails spends a second token.  When every server fails, the tokens saved
     before (at most ST_BUDGET_MAX) and those earned meanwhile thus pay for
     half as many retries: the amplification is at most 1.1 over any 200 or
     more first tries, and below 1.1 over longer times.

     Operators may limit the retries of all daemons together, to RATIO of the
     first tries plus SLACK in a time window.  st_budget_share then gives the
     share of one daemon, which also applies while the daemon is cut off from
     the others.  Such a budget starts without tokens, because the daemon may
     have used its share just before a restart.  A server that refuses a
     request without running it spends little time on it, so that such a retry
     costs no second token.

     An idempotent request is retried on another server after every failure.
     An at-most-once request is retried only when the outcome proves that it
     did not run.  The verdict of a refusal covers all attempts: it is that of
     the attempt that went furthest.

   RETURN VALUE
     st_retry_decide returns a tagged value.  With ST_RETRY_NOW a token is
     spent; the caller reports the end of that retry by
     st_budget_retry_ended.  */

#ifndef ZP_STEER_RETRY_H
#define ZP_STEER_RETRY_H

#include "base/verdict.h"
#include "steer/health.h"

/* Tokens at the start, and most tokens saved, by st_budget_default.  */
#define ST_BUDGET_FLOOR 2
#define ST_BUDGET_MAX 20

/* Amounts are thousandths of a token, so that sums are exact.  */
#define ST_BUDGET_TOKEN 1000

/* Part of the operators' limit that is used.  The rest is for retries that
   arrive in a later window than the first tries that earned them.  */
#define ST_BUDGET_BOUND_USED 0.9

#define ST_RETRY_ATTEMPTS 3 /* including the first try */

/* Amounts of tokens.  */
struct st_budget_terms
{
  int64_t earn;        /* by each first try */
  int64_t advance;     /* at the start */
  int64_t max;         /* saved at most */
  int64_t failed_cost; /* extra cost of a retry that fails */
  int64_t shed_cost;   /* extra cost when the server did not run it */
};

struct st_budget
{
  const struct st_budget_terms *terms; /* may change at any time */
  int64_t tokens;
  int64_t advance; /* not yet paid back */
};

/* One request, after the end of an attempt.  */
struct st_retry_request
{
  bool idempotent;
  bool poisoned;         /* st_poison_admit refuses it */
  bool other_server;     /* a server that was not tried is available */
  unsigned attempts;     /* number ended, including the last one */
  unsigned attempts_max; /* 0: ST_RETRY_ATTEMPTS */
  bool has_answer;       /* the last attempt got a complete answer */
  zp_time now;
  zp_time deadline;
  zp_time expected;        /* expected time of one attempt */
  enum zp_verdict earlier; /* of the earlier attempt that went furthest */
};

enum st_retry_kind
{
  ST_RETRY_NOW,    /* on another server */
  ST_RETRY_ANSWER, /* the caller gets the answer of the last attempt */
  ST_RETRY_REFUSE,
};

enum st_refuse_reason
{
  ST_REFUSE_CANCELLED,
  ST_REFUSE_MAY_HAVE_RUN, /* at-most-once, without proof that it did not run */
  ST_REFUSE_POISON,
  ST_REFUSE_ATTEMPTS,
  ST_REFUSE_DEADLINE,
  ST_REFUSE_NO_SERVER,
  ST_REFUSE_BUDGET,
};

struct st_retry
{
  enum st_retry_kind kind;
  enum zp_verdict verdict; /* of all attempts so far */
  union
  {
    enum st_refuse_reason refuse;
    /* Why the request was not retried; valid when the answer has a failure
       status.  */
    enum st_refuse_reason answer;
  } u;
};

extern const struct st_budget_terms st_budget_default;

/* The share of one daemon of DAEMONS in the operators' limit.  */
struct st_budget_terms st_budget_share (double ratio, double slack,
                                        unsigned daemons);

/* TERMS must stay valid as long as B is used.  */
void st_budget_init (struct st_budget *b, const struct st_budget_terms *terms);

/* Earns the tokens of a first try.  */
void st_budget_first_try (struct st_budget *b);

/* Charges the cost of a retry that ended by END; each ST_RETRY_NOW of
   st_retry_decide is followed by one call.  */
void st_budget_retry_ended (struct st_budget *b, enum st_attempt_end end);

/* Decides what follows the last attempt, which had END and VERDICT.  */
struct st_retry st_retry_decide (const struct st_retry_request *r,
                                 enum st_attempt_end end,
                                 enum zp_verdict verdict, struct st_budget *b);

/* The name of REASON in answers and logs.  */
const char *st_refuse_name (enum st_refuse_reason reason);

#endif
