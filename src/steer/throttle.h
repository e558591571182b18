/* NAME
     pace - this daemon's part of the requests that a cold server tolerates

   DESCRIPTION
     Pure.  A cold server bounds the requests a second from all entry daemons
     together.  Nobody counts them all, so that each daemon, also one that is
     cut off, has a fixed part: the rate divided by the number of daemons.  At
     most one request is saved up, so that the daemons together send at most
     the rate and one request each in any second.  Many daemons would exceed
     with that what the server stands, when all have a request ready at the
     moment the server becomes cold.  They begin at different times, spread
     over the interval between two requests of one daemon.  */

#ifndef ZP_STEER_THROTTLE_H
#define ZP_STEER_THROTTLE_H

#include <stdbool.h>

#include "base/clock.h"

/* In a second, a cold server stands its rate times 1.5 and 5 requests more, by
   the platform's rules for small deployments.  So half of the rate and 5
   daemons may begin at once.  */
#define ST_THROTTLE_RATE_SHARE 0.5
#define ST_THROTTLE_BURST 5

struct st_throttle
{
  double tokens;   /* requests that may be sent now, 0 to 1 */
  zp_time updated; /* when SAVED was worked out; 0: never */
};

/* Begins when the server becomes cold.  PHASE, 0 to below 1, differs from
   daemon to daemon.  */
void st_throttle_start (struct st_throttle *p, double per_s, unsigned daemons,
                        double phase, zp_time now);

/* Whether a request may be sent now.  */
bool st_throttle_open (const struct st_throttle *p, double per_s,
                       unsigned daemons, zp_time now);

/* Notes that a request is sent.  */
void st_throttle_take (struct st_throttle *p, double per_s, unsigned daemons,
                       zp_time now);

#endif
