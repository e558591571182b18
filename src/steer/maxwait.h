/* NAME
     patience - how long a request waits for a server, and when a refused
     caller may return

   DESCRIPTION
     Pure.  Answers the load of the deployments in docs/platform.md: at the
     height of a wave, and while servers are cold, more requests arrive than
     can be answered within their latency objective.  An answer behind the
     objective is worth a fifth of one in time, and every request that waits
     makes those behind it late too.  So a request waits only as long as it can
     still be answered within its objective.  One that will be late without any
     wait, because the server does not know its object yet, may wait for
     ST_MAXWAIT_LATE_SHARE of the objective: it warms the server for those that
     follow.

     What cannot be served so is refused at once, and the caller is told to
     return when a part of those that run now have ended.  The time is spread,
     so that callers who were refused together do not return together.  */

#ifndef ZP_STEER_MAXWAIT_H
#define ZP_STEER_MAXWAIT_H

#include "base/clock.h"
#include "base/rng.h"

/* Share of the objective that a request may wait when it is late anyway: of
   400 ms, less than a third of the time that it then takes at its server.  */
#define ST_MAXWAIT_LATE_SHARE 0.25

/* Share of the time left that a request without an objective may wait; the
   other half is for the server.  */
#define ST_MAXWAIT_LEFT_SHARE 0.5

/* Bounds of the time after which a refused caller returns.  Callers wait at
   most a third of the time that they have left.  */
#define ST_RETRY_AFTER_MIN (50 * ZP_MS)
#define ST_RETRY_AFTER_MAX (1000 * ZP_MS)

struct st_maxwait
{
  zp_time now;
  zp_time arrived;
  zp_time deadline;  /* of the caller */
  zp_time objective; /* latency objective; 0: none */
  zp_time finish;    /* expected time until the answer, without a wait */
};

/* How long the request may wait from NOW on.  Below 0 when its answer would
   come behind the deadline.  */
zp_time st_maxwait_time (const struct st_maxwait *p);

/* Time after which a refused caller may return.  */
zp_time st_retry_after (zp_time service, zp_time left, struct zp_rng *rng);

#endif
