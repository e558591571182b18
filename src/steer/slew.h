/* NAME
     mix - bounds how fast the requests of one daemon move between regions

   DESCRIPTION
     Pure.  A sudden move of traffic meets cold caches and links that have no
     room for it, and comes back as suddenly when its cause has ended.  The
     shares of the regions in the last ST_SLEW_WINDOW are compared with those in
     the window before.  The change is half the sum of the differences: the
     share of the requests that have moved.

     Regions are numbers that the caller gives.  With fewer than ST_SLEW_REQUESTS_MIN
     requests in a window nothing is known of its shares, and nothing counts as
     a change.  */

#ifndef ZP_STEER_SLEW_H
#define ZP_STEER_SLEW_H

#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/* Platforms count the moves from one window of 2 s to the next.  */
#define ST_SLEW_WINDOW (2 * ZP_SEC)

/* Of at most 9 regions (docs/developers.md).  */
#define ST_SLEW_REGIONS 16

/* One request is then at most 0.05 of a window.  */
#define ST_SLEW_REQUESTS_MIN 20

/* Largest change.  Platforms allow 0.15 of a region's requests, which come
   from several daemons.  */
#define ST_SLEW_MAX 0.12

#define ST_SLEW_BUCKET (100 * ZP_MS)
#define ST_SLEW_BUCKETS (2 * ST_SLEW_WINDOW / ST_SLEW_BUCKET)

struct st_slew
{
  uint32_t count[ST_SLEW_BUCKETS][ST_SLEW_REGIONS];
  int64_t newest; /* number of the newest bucket */
};

/* Notes that a request was sent to REGION.  */
void st_slew_note (struct st_slew *m, size_t region, zp_time now);

/* The change if the next request went to REGION.  */
double st_slew_change (struct st_slew *m, size_t region, zp_time now);

#endif
