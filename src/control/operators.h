/* NAME
     operators - decides what a control daemon does with an operator's request

   DESCRIPTION
     Pure functions without I/O.  A request is answered from the state,
     redirected to the leader, or turned into a command for the replicated log,
     whose result ct_answer_result encodes.

       POST /v1/tickets                  a ticket
       POST /v1/tickets/DIGEST/review    {"reviewer": NAME}
       POST /v1/tickets/DIGEST/number    {"number": N}, or an empty body
       GET  /v1/tickets/DIGEST           the state of the ticket, as a resend
                                         would be answered
       GET  /v1/config[?after=KEY]
       GET  /v1/diff?from=N&to=M[&after=KEY]
       GET  /v1/status
       GET  /metrics

     Every member answers requests for status and metrics; only the leader
     answers the others, and followers redirect to it with status 307.

   ERRORS
     404  unknown path, digest or configuration number
     405  wrong method for the path
     409  the ticket conflicts with one that took effect first
     422  the request is refused
     503  no leader is known, the leader has changed, or too many requests or
          tickets wait; it is safe to send the same request again  */

#ifndef ZP_CONTROL_OPERATORS_H
#define ZP_CONTROL_OPERATORS_H

#include "control/answers.h"

enum ct_leadership_kind
{
  CT_LEADER,    /* this member leads and holds its lease */
  CT_FOLLOWER,  /* another member leads, and its address is known */
  CT_NO_LEADER, /* no leader is known, or the leader cannot accept requests */
};

struct ct_leadership
{
  enum ct_leadership_kind kind;
  struct zp_str leader_http; /* "IP:port", for CT_FOLLOWER only */
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
    struct tk_http_answer answer; /* the caller sets the id */
    struct zp_buf command;
  } u;
};

/* Fills OUT.  NOW is the wall-clock time that a command records.  The caller
   frees the command.  */
void ct_operators_decide (const struct ti_store *s,
                          const struct ct_leadership *leadership,
                          const struct ct_status_report *report, zp_time now,
                          const struct tk_http_request *r,
                          struct ct_decision *out);

/* The answers to requests whose proposal has no result.  For the first, this
   member does not lead, and nothing was done.  For the second, it lost the
   leadership before the entry was committed, and the outcome is not known.  */
void ct_answer_not_leader (struct tk_http_answer *a,
                           const struct ct_leadership *leadership,
                           struct zp_str path, struct zp_str query);
void ct_answer_outcome_unknown (struct tk_http_answer *a);

#endif
