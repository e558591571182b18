/* NAME
     slew - measures how fast a daemon's requests move between regions

   DESCRIPTION
     Pure.  When traffic moves to another region at once, it meets cold caches
     and links without spare bandwidth, and it moves back as abruptly when the
     cause has ended.  The gate therefore limits the rate of change to
     ST_SLEW_MAX.  This module measures it: the shares of the regions in the
     last ST_SLEW_WINDOW are compared with those in the window before it.  The
     change is half the sum of the absolute differences, which is the share of
     the requests that have moved.

     Regions are numbers that the caller assigns.  With fewer than
     ST_SLEW_REQUESTS_MIN requests the shares are unknown and the change is 0.
     In the first window there is no limit: servers fill up within the first
     second of traffic, and a region with few of them has to send half of its
     requests elsewhere from then on.  Until a second window is complete, the
     requests since the first one are compared with it, so that the limit holds
     from its end on.  */

#ifndef ZP_STEER_SLEW_H
#define ZP_STEER_SLEW_H

#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/* Platforms measure the change from one window of 2 s to the next.  */
#define ST_SLEW_WINDOW (2 * ZP_SEC)

/* A deployment has at most 9 regions (docs/developers.md).  */
#define ST_SLEW_REGIONS 16

/* In a large deployment a daemon has few requests: 12 in a window with 72
   daemons in a region that gets 430 requests a second.  The shares of so few
   are inexact, but the errors of many daemons cancel out.  */
#define ST_SLEW_REQUESTS_MIN 6

/* Largest change of one daemon.  Platforms allow 0.15 of a region's requests,
   which come from several daemons.  */
#define ST_SLEW_MAX 0.12

#define ST_SLEW_BUCKET (100 * ZP_MS)
#define ST_SLEW_BUCKETS (2 * ST_SLEW_WINDOW / ST_SLEW_BUCKET)

struct st_slew
{
  uint32_t count[ST_SLEW_BUCKETS][ST_SLEW_REGIONS];
  int64_t newest; /* number of the newest bucket, since time 0 */
  int64_t first;  /* of the bucket in which the traffic began */
};

/* Counts a request that was sent to REGION.  */
void st_slew_note (struct st_slew *s, size_t region, zp_time now);

/* The change, 0 to 1, if the next request were sent to REGION.  */
double st_slew_change (struct st_slew *s, size_t region, zp_time now);

#endif
