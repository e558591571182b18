/* NAME
     operators - what a control daemon does with an operator's request

   DESCRIPTION
     Pure decisions: a request is answered from the state, sent on to the
     leader, or turned into a command for the log, whose result
     ct_answer_result encodes.

       POST /v1/tickets                  a ticket
       POST /v1/tickets/DIGEST/review    {"reviewer": NAME}
       POST /v1/tickets/DIGEST/number    {"number": N}, or an empty body
       GET  /v1/tickets/DIGEST           what a resend would be told
       GET  /v1/config[?after=KEY]
       GET  /v1/diff?from=N&to=M[&after=KEY]
       GET  /v1/status
       GET  /metrics

     Status and metrics are answered by every member, the rest by the leader
     only.  A conflict has status 409, a refusal 422, an unknown digest 404;
     503 says that no leader is known, and a resend is safe.  */

#ifndef ZP_CONTROL_OPERATORS_H
#define ZP_CONTROL_OPERATORS_H

#include "control/answers.h"

enum ct_standing_kind
{
  CT_LEADER,    /* leads and holds its lease */
  CT_FOLLOWER,  /* knows the leader */
  CT_NO_LEADER, /* none is known, or none can accept now */
};

struct ct_standing
{
  enum ct_standing_kind kind;
  struct zp_str leader_http; /* CT_FOLLOWER: "IP:port" */
};

enum ct_decision_kind
{
  CT_ANSWER,
  CT_PROPOSE,
};

struct ct_decision
{
  enum ct_decision_kind kind;
  union
  {
    struct tk_http_answer answer; /* without the id */
    struct zp_buf command;
  } u;
};

/* NOW is the wall clock.  */
void ct_operators_decide (const struct ti_store *s,
                          const struct ct_standing *leadership,
                          const struct ct_status_report *report, zp_time now,
                          const struct tk_http_request *r,
                          struct ct_decision *out);

/* Answers of a proposal without a result.  */
void ct_answer_not_leader (struct tk_http_answer *a,
                           const struct ct_standing *leadership,
                           struct zp_str path, struct zp_str query);
void ct_answer_lost (struct tk_http_answer *a);

#endif
