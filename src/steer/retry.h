/* NAME
     retry - retry budget of a service, and what follows an outcome

   SYNOPSIS
     st_budget_init (&budget, &st_budget_usual);
     st_budget_first (&budget);
     d = st_retry_decide (&request, &outcome, &budget);

   DESCRIPTION
     Every first try of a service earns a part of a token, and a retry spends
     one.  At most MOST tokens are saved, so that N first tries in any span of
     time allow at most MOST + EARN * N retries in it.

     By st_budget_usual a first try earns a tenth.  The budget starts with
     ST_BUDGET_FLOOR tokens, so that a service with few requests can retry;
     these are an advance that the first tries pay back before they earn more.
     So the retries of N first tries are at most max (ST_BUDGET_FLOOR, N / 10),
     from the first request on.  A retry that fails spends a second token.
     When every server fails, the tokens saved before (at most ST_BUDGET_MAX)
     and those earned then pay for half as many retries, and the amplification
     is at most 1.1 over any 200 or more first tries, and below 1.1 over longer
     times.

     Where operators bound the retries of all daemons together, to RATIO of the
     first tries and SLACK more in a window, st_budget_share gives the part of
     one daemon, which it may use also while it is cut off.  A daemon starts
     without tokens then: it may have used its part just before its restart.
     A server that refuses a request without running it spends little on it,
     so that such a retry costs no second token.

     An idempotent request is retried on another server after every failure.
     An at-most-once request is retried only when the outcome proves that it
     did not run.  The verdict of a refusal covers all attempts: it is that of
     the attempt that went furthest.

   RETURN VALUE
     st_retry_decide returns a tagged value; ST_RETRY_NOW has spent a token.
     The caller reports the end of that retry by st_budget_retried.  */

#ifndef ZP_STEER_RETRY_H
#define ZP_STEER_RETRY_H

#include "base/verdict.h"
#include "steer/health.h"

#define ST_BUDGET_FLOOR 2
#define ST_BUDGET_MAX 20
#define ST_BUDGET_TOKEN                                                       \
  1000 /* amounts are thousandths, so that sums are exact */

/* Part of the operators' bound that is used.  The rest is for retries that
   arrive in a later window than the first tries that allowed them.  */
#define ST_BUDGET_SHARE 0.9
#define ST_RETRY_ATTEMPTS 3 /* first try included */

struct st_budget_terms
{
  int64_t earn;    /* of each first try */
  int64_t advance; /* at the start */
  int64_t most;    /* that is saved */
  int64_t failed;  /* spent more by a retry that fails */
  int64_t shed;    /* the same when the server did not run it */
};

struct st_budget
{
  const struct st_budget_terms *terms; /* may change at any time */
  int64_t tokens;
  int64_t advance; /* not yet paid back */
};

/* What the decision knows about one request.  */
struct st_retry_request
{
  bool idempotent;
  bool poisoned;         /* st_poison_admit refuses it now */
  bool other_server;     /* a server that was not tried could take it */
  unsigned attempts;     /* ended so far, the last one included */
  unsigned attempts_max; /* 0: ST_RETRY_ATTEMPTS */
  bool has_answer;       /* the last attempt ended with a whole answer */
  zp_time now;
  zp_time deadline;
  zp_time expected;        /* usual time of one attempt */
  enum zp_verdict earlier; /* the furthest of the attempts before this one */
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
  ST_REFUSE_MAY_HAVE_RUN, /* at most once, and not proved not run */
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
    /* Why an answer with a failure status was not tried again; valid when
       the answer is one.  */
    enum st_refuse_reason answer;
  } u;
};

extern const struct st_budget_terms st_budget_usual;

/* The part of one of DAEMONS.  */
struct st_budget_terms st_budget_share (double ratio, double slack,
                                        unsigned daemons);

/* TERMS has to live as long as B.  */
void st_budget_init (struct st_budget *b, const struct st_budget_terms *terms);
void st_budget_first (struct st_budget *b);

/* The end of a retry that st_retry_decide has started.  */
void st_budget_retried (struct st_budget *b, enum st_attempt_end end);

/* END and VERDICT are those of the last attempt.  */
struct st_retry st_retry_decide (const struct st_retry_request *r,
                                 enum st_attempt_end end,
                                 enum zp_verdict verdict, struct st_budget *b);

const char *st_refuse_name (enum st_refuse_reason reason);

#endif
