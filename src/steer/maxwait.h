/* NAME
     maxwait - how long a request may wait for a server, and the time after
     which a refused caller may retry

   DESCRIPTION
     Pure.  At the peak of the load waves of the deployments
     (docs/platform.md), and while servers are cold, more requests arrive than
     can be answered within their latency objective.  A late answer has a fifth
     of the value of one in time, and every request that waits delays those
     behind it.  So a request waits only as long as it can still be answered
     within its objective.  A request that would be late even without a wait,
     because the server does not have its object (see warm.h) in the cache yet,
     may wait for ST_MAXWAIT_LATE_SHARE of the objective: it fills the server's
     cache for the requests that follow.

     Other requests are refused at once.  The answer asks the caller to retry
     when a part of the requests now running have ended.  That time is
     randomized, so that callers refused together do not return together.  */

#ifndef ZP_STEER_MAXWAIT_H
#define ZP_STEER_MAXWAIT_H

#include "base/clock.h"
#include "base/rng.h"

/* Share of the objective that a request may wait when it is late anyway.  For
   an objective of 400 ms this is less than a third of the time that such a
   request takes at its server.  */
#define ST_MAXWAIT_LATE_SHARE 0.25

/* Share of the time left until the deadline that a request without an
   objective may wait; the other half is for the server.  */
#define ST_MAXWAIT_LEFT_SHARE 0.5

/* Bounds of the time after which a refused caller may retry.  Above the lower
   bound it is at most a third of the time left until the caller's deadline.
   */
#define ST_RETRY_AFTER_MIN (50 * ZP_MS)
#define ST_RETRY_AFTER_MAX (1000 * ZP_MS)

struct st_maxwait
{
  zp_time now;
  zp_time arrived;
  zp_time deadline;  /* of the caller */
  zp_time objective; /* latency objective; 0: none */
  zp_time finish;    /* expected time until the answer without a wait */
};

/* How long the request may wait from NOW on.  Negative when its answer would
   come after the deadline even without a wait.  */
zp_time st_maxwait_time (const struct st_maxwait *w);

/* Time after which a refused caller may retry.  SERVICE is the expected
   service time, LEFT the time until the caller's deadline.  */
zp_time st_retry_after (zp_time service, zp_time left, struct zp_rng *rng);

#endif
