/* NAME
     patience - how long a request waits for a server, and when a refused caller
     may return

   DESCRIPTION
     Pure.  Answers the load of the sheets: the look-ups and bookings offered at
     the height of a wave need up to a fifth more slots than there are.  An
     answer behind the latency objective is worth a fifth of one in time, and
     every request that waits makes those behind it late too.  So a request
     waits only as long as it can still be answered within its objective.  When
     the usual service time alone passes the objective, every answer is late;
     a request then waits for at most ST_PATIENCE_LATE of the time that its
     caller has.

     What cannot be served in that time is refused at once, and the caller is
     told to return when a part of those that run now have ended.  The time is
     spread, so that callers who were refused together do not return together.
 */

#ifndef ZP_STEER_PATIENCE_H
#define ZP_STEER_PATIENCE_H

#include "base/clock.h"
#include "base/rng.h"

/* Share of the caller's time that a request may take when it is late anyway. */
#define ST_PATIENCE_LATE 0.5

/* Bounds of the time after which a refused caller returns.  Callers wait at
   most a third of the time that they have left.  */
#define ST_RETURN_MIN (50 * ZP_MS)
#define ST_RETURN_MAX (1000 * ZP_MS)

struct st_patience
{
  zp_time arrived;
  zp_time deadline;  /* of the caller */
  zp_time objective; /* latency objective; 0: none */
  zp_time service;   /* usual service time, the way included */
};

/* The time by which the request has to be answered for waiting to be worth it;
   never behind the deadline.  */
zp_time st_patience_end (const struct st_patience *p);

/* Time after which a refused caller may return.  */
zp_time st_return_after (zp_time service, zp_time left, struct zp_rng *rng);

#endif
