/* NAME
     throttle - limits the requests of this daemon to a cold server

   DESCRIPTION
     Pure.  A cold server limits the requests a second from all entry daemons
     together.  No daemon counts them all; so each one, including one that is
     cut off from the others, has a fixed share: the rate divided by the number
     of daemons.  The share is a token bucket that holds at most one request,
     so that in any second the daemons together send at most the rate and one
     request each.  Many daemons would still exceed what the server tolerates
     when each has a request ready at the moment the server becomes cold.
     Their first requests are therefore spread over the interval between two
     requests of one daemon.  */

#ifndef ZP_STEER_THROTTLE_H
#define ZP_STEER_THROTTLE_H

#include <stdbool.h>

#include "base/clock.h"

/* By the platform's rules for small deployments a cold server tolerates 1.5
   times its rate plus 5 requests in a second.  So as many daemons as half of
   the rate plus 5 may start without a spread.  */
#define ST_THROTTLE_RATE_SHARE 0.5
#define ST_THROTTLE_BURST 5

struct st_throttle
{
  double tokens;   /* requests that may be sent, 0 to 1, at UPDATED */
  zp_time updated; /* 0: never */
};

/* To be called when the server becomes cold.  PER_S is the rate of all DAEMONS
   together, in requests a second.  PHASE, 0 to below 1, differs from daemon to
   daemon and spreads their first requests.  */
void st_throttle_start (struct st_throttle *t, double per_s, unsigned daemons,
                        double phase, zp_time now);

/* Whether a request may be sent now.  */
bool st_throttle_allows (const struct st_throttle *t, double per_s,
                         unsigned daemons, zp_time now);

/* Takes the token of a request that is sent.  */
void st_throttle_take (struct st_throttle *t, double per_s, unsigned daemons,
                       zp_time now);

#endif
