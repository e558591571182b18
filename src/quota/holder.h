/* NAME
     holder - decides at an entry daemon whether a request is within its limit

   SYNOPSIS
     h = qu_holder_new (id, incarnation);
     qu_holder_set_limits (h, list, n, now);   at each new configuration
     d = qu_holder_take (h, workspace, now, rng);
     switch (d.kind)
       case QU_SPEND: forward the request
       case QU_WAIT: append it to the waiting requests
       case QU_EXHAUSTED: answer 429 after D.u.retry_after
       case QU_UNKNOWN: answer 503 after D.u.retry_after

     at qu_holder_next_due:
       if (qu_holder_make_ask (h, now, &ask)) send ASK

     for each TK_QUOTA_GRANT:
       if (qu_holder_grant (h, &grant, now))
         qu_holder_retry for each waiting request, in order of arrival

   DESCRIPTION
     Pure.  A holder has a bucket for each limit, with the share that the owner
     leases to it (owner.h), applied to the limit that the holder itself knows.
     A lease lasts for its time to live from when its ask was sent, and is
     checked at each use, so that a daemon that was frozen spends nothing from
     a lease that has ended.

     When the bucket is empty, a request waits while the holder asks the owner
     for a token from the pool.  Waiting requests belong to the caller; the
     holder counts them.  Each request for which the last result was QU_WAIT
     ends its wait by exactly one of: another result of qu_holder_retry, or
     qu_holder_cancel_wait (its caller left, or it waited QU_WAIT_MAX).  A
     request whose wait ended by QU_WAIT_MAX is answered as QU_UNKNOWN, with
     qu_retry_after.

     A holder ignores grants of a lower term, of a lower number than it has
     applied for the workspace, and for asks that it does not know.  */

#ifndef ZP_QUOTA_HOLDER_H
#define ZP_QUOTA_HOLDER_H

#include "base/rng.h"
#include "quota/bucket.h"
#include "task/msg.h"

/* Longest wait of a request: a round trip between regions of 110 ms, 20 ms
   between asks, and a second try.  */
#define QU_WAIT_MAX (300 * ZP_MS)

/* Shortest time between two asks while the period is QU_PERIOD_MIN.  It grows
   with the period, to 120 ms: 420 holders send at most 3,500 asks a second.  */
#define QU_ASK_GAP (20 * ZP_MS)

/* How long the owner's word that the pool is empty holds.  */
#define QU_EMPTY_TTL (100 * ZP_MS)

/* Without an answer to its asks for this long, the holder makes no request
   wait.  */
#define QU_SILENCE (1 * ZP_SEC)

/* A workspace without a request for this long is left out of the asks.  */
#define QU_IDLE (10 * ZP_SEC)

/* Bounds of the time after which a refused caller may retry.  */
#define QU_RETRY_MIN (100 * ZP_MS)
#define QU_RETRY_MAX (1000 * ZP_MS)

enum qu_result
{
  QU_SPEND,     /* a token was taken, or there is no limit */
  QU_WAIT,      /* an ask for a token is due or under way */
  QU_EXHAUSTED, /* over the limit */
  QU_UNKNOWN,   /* no owner answers */
};

struct qu_decision
{
  enum qu_result kind;
  union
  {
    zp_time retry_after; /* QU_EXHAUSTED, QU_UNKNOWN */
  } u;
};

struct qu_holder_counts
{
  uint64_t asks;
  uint64_t ignored; /* grants that were late or out of order */
  uint64_t ended;   /* leases that ended without a renewal */
  uint64_t term;    /* of the last owner; 0: none */
};

struct qu_holder;

struct qu_holder *qu_holder_new (uint64_t id, uint64_t incarnation);
void qu_holder_free (struct qu_holder *h);

/* Replaces the limits.  Leases stay and are scaled by the new limits; levels
   are cut to the new depths.  A workspace that is not in LIST has no limit: its
   waiting requests get QU_SPEND when they are retried, which the caller does
   after this call.  */
void qu_holder_set_limits (struct qu_holder *h, const struct qu_limit *list,
                           size_t n, zp_time now);

/* Decides on a new request of WORKSPACE.  Always QU_SPEND when it has no
   limit.  */
struct qu_decision qu_holder_take (struct qu_holder *h, uint64_t workspace,
                                   zp_time now, struct zp_rng *rng);

/* Decides again on a waiting request.  QU_WAIT: it goes on waiting.  */
struct qu_decision qu_holder_retry (struct qu_holder *h, uint64_t workspace,
                                    zp_time now, struct zp_rng *rng);

/* A waiting request has left.  */
void qu_holder_cancel_wait (struct qu_holder *h, uint64_t workspace);

/* A request that had QU_SPEND has not run.  Its token is lost when the holder
   has no lease.  */
void qu_holder_give_back (struct qu_holder *h, uint64_t workspace,
                          zp_time now);

/* Fills *ASK, whose items the receiver frees, when an ask is due; returns
   whether it is.  LINK stays 0.  The ask counts as sent at NOW.  */
bool qu_holder_make_ask (struct qu_holder *h, zp_time now,
                         struct tk_quota_ask *ask);

/* Applies G.  Returns whether waiting requests are to be retried.  */
bool qu_holder_grant (struct qu_holder *h, const struct tk_quota_grant *g,
                      zp_time now);

/* When qu_holder_make_ask is to be called next; ZP_NEVER: after the next
   request that has to wait.  */
zp_time qu_holder_next_due (const struct qu_holder *h, zp_time now);

/* A time after which a refused caller may retry, spread at random.  */
zp_time qu_retry_after (struct zp_rng *rng);

/* What the holder may spend of WORKSPACE at NOW without a further grant; all
   zero when it has no limit.  For status and tests.  */
struct qu_holding
{
  uint32_t rate_share, burst_share; /* of the lease */
  double level;                     /* of the bucket */
  uint32_t spare;                   /* tokens from the pool */
};

struct qu_holding qu_holder_holding (struct qu_holder *h, uint64_t workspace,
                                     zp_time now);

struct qu_holder_counts qu_holder_counts (const struct qu_holder *h);

#endif
