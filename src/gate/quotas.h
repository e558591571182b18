/* NAME
     quotas - rate limits of workspaces, in the gate task

   DESCRIPTION
     src/quota/holder.h decides on each request and on each ask; this module
     feeds it and owns the waiting requests.  A request of a workspace with a
     limit needs a token before it is sent to a server.  Without one it waits in
     the phase GT_QUOTA while the holder asks the owner, for at most
     QU_WAIT_MAX.  A request that ends as not run gives its token back.

     Without a workspace that has a limit there is no holder, no timer and no
     message.  */

#ifndef ZP_GATE_QUOTAS_H
#define ZP_GATE_QUOTAS_H

#include <ev.h>

#include "base/counter.h"
#include "base/histogram.h"
#include "quota/holder.h"
#include "site/site.h"
#include "task/msg.h"

struct gt_gate;
struct gt_request;

/* A workspace with a limit.  */
struct gt_quota
{
  uint64_t workspace; /* hash of its name */
  struct zp_buf name;
  struct gt_request *first, *last; /* waiting requests, in order of arrival */
  struct zp_counter *refused;
  unsigned unlogged; /* requests over the limit since the last line about it */
  zp_time logged_at; /* 0: never */
};

struct gt_quotas
{
  struct qu_holder *holder; /* NULL before the first limit */
  struct gt_quota **item;   /* sorted by workspace */
  size_t len;
  size_t waiting; /* requests */
  ev_timer timer; /* of the asks and of the waiting requests */
  zp_time due;    /* of the timer, while it is active */
  struct qu_holder_counts counted; /* as last logged and counted */
  zp_time ended_logged_at;         /* 0: never */
  struct zp_counter *unknown, *asks;
  struct zp_histogram sent_wait, refused_wait;
};

void gt_quotas_init (struct gt_gate *g);
void gt_quotas_free (struct gt_gate *g);

/* Takes the limits of the site in force.  */
void gt_quotas_apply (struct gt_gate *g);

/* Passes Q to gt_dispatch_admit when its workspace has no limit or a token is
   left; otherwise Q waits or is refused.  */
void gt_quotas_admit (struct gt_gate *g, struct gt_request *q);

/* Ends the wait of Q, which is in the phase GT_QUOTA.  */
void gt_quotas_cancel (struct gt_gate *g, struct gt_request *q);

/* Gives the token of Q back.  To be called when Q ends and has not run.  */
void gt_quotas_give_back (struct gt_gate *g, struct gt_request *q);

void gt_quotas_grant (struct gt_gate *g, const struct tk_quota_grant *grant);

/* Refuses all waiting requests, because the daemon ends.  */
void gt_quotas_refuse_all (struct gt_gate *g);

#endif
