/* NAME
     pace - this daemon's part of the requests that a cold server tolerates

   DESCRIPTION
     Pure.  A cold server bounds the requests a second from all entry daemons
     together.  Nobody counts them all, so that each daemon, also one that is
     cut off, has a fixed part: the rate divided by the number of daemons.  At
     most one request is saved up, so that the daemons together send at most
     the rate and one request each in any second.  */

#ifndef ZP_STEER_PACE_H
#define ZP_STEER_PACE_H

#include <stdbool.h>

#include "base/clock.h"

struct st_pace
{
  double saved; /* requests that may be sent now, 0 to 1 */
  zp_time at;   /* when SAVED was worked out; 0: never */
};

/* Whether a request may be sent now.  */
bool st_pace_open (const struct st_pace *p, double per_s, unsigned daemons,
                   zp_time now);

/* Notes that a request is sent.  */
void st_pace_take (struct st_pace *p, double per_s, unsigned daemons,
                   zp_time now);

#endif
