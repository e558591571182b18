/* NAME
     waiting - HTTP requests that wait for the outcome of their proposal

   DESCRIPTION
     Maps the number of a proposal, and the index of its log entry, to the HTTP
     request that caused it.  The answer is built when the entry at that index
     is applied, but held until the log confirms that the proposal was
     committed: after a change of leader the entry at the index can be that of
     another request.  */

#ifndef ZP_CONTROL_WAITING_H
#define ZP_CONTROL_WAITING_H

#include "task/msg.h"

/* Most requests that can wait at a time.  */
#define CT_WAITING_MAX 1024

struct ct_waiting_request
{
  uint64_t proposal;
  uint64_t request_id;  /* of the HTTP request */
  struct tk_task *from; /* the HTTP server, which takes the answer */
  uint64_t index;       /* of the log entry; 0: not in the log yet */
  struct zp_buf path, query;
  struct tk_msg *answer; /* TK_HTTP_ANSWER; NULL: not applied yet */
};

struct ct_waiting_list
{
  struct ct_waiting_request item[CT_WAITING_MAX];
  size_t len;
};

/* Returns NULL when CT_WAITING_MAX requests wait already.  */
struct ct_waiting_request *ct_waiting_add (struct ct_waiting_list *w,
                                           uint64_t proposal,
                                           const struct tk_http_request *r);

/* Both return NULL when no request matches.  The result is valid until the
   next call of ct_waiting_drop.  */
struct ct_waiting_request *ct_waiting_by_proposal (struct ct_waiting_list *w,
                                                   uint64_t proposal);
struct ct_waiting_request *ct_waiting_by_index (struct ct_waiting_list *w,
                                                uint64_t index);

/* Removes X and frees what it holds.  */
void ct_waiting_drop (struct ct_waiting_list *w, struct ct_waiting_request *x);
void ct_waiting_free (struct ct_waiting_list *w);

#endif
