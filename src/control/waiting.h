/* NAME
     waiting - requests whose entry is in the log but not decided yet

   DESCRIPTION
     Joins the number of a proposal with the HTTP request behind it.  A result
     is kept from the apply of its entry to the reply of the log, so that no
     caller is told a result of an entry that is not its own.  */

#ifndef ZP_CONTROL_WAITING_H
#define ZP_CONTROL_WAITING_H

#include "task/msg.h"

#define CT_WAITING_MAX 1024

struct ct_waiting_request
{
  uint64_t proposal;
  uint64_t request_id;  /* id of the request */
  struct tk_task *from; /* the front task that takes the answer */
  uint64_t index;       /* 0: not in the log yet */
  struct zp_buf path, query;
  struct tk_msg *answer; /* NULL: not applied yet */
};

struct ct_waiting_list
{
  struct ct_waiting_request item[CT_WAITING_MAX];
  size_t len;
};

/* Returns NULL when too many requests wait.  */
struct ct_waiting_request *ct_waiting_add (struct ct_waiting_list *w,
                                           uint64_t proposal,
                                           const struct tk_http_request *r);

/* NULL when there is none.  */
struct ct_waiting_request *ct_waiting_by_proposal (struct ct_waiting_list *w,
                                                   uint64_t proposal);
struct ct_waiting_request *ct_waiting_by_index (struct ct_waiting_list *w,
                                                uint64_t index);

void ct_waiting_drop (struct ct_waiting_list *w, struct ct_waiting_request *x);
void ct_waiting_free (struct ct_waiting_list *w);

#endif
