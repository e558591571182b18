/* NAME
     clock - points in time and durations in microseconds

   DESCRIPTION
     Decisions take the time as an argument of type zp_time; only tasks read
     the clock.  The monotonic clock is never compared between machines.  */

#ifndef ZP_BASE_CLOCK_H
#define ZP_BASE_CLOCK_H

#include <stdint.h>

typedef int64_t zp_time; /* microseconds */

#define ZP_MS ((zp_time) 1000)
#define ZP_SEC ((zp_time) 1000000)

/* A point later than every other.  */
#define ZP_NEVER INT64_MAX

zp_time zp_clock_mono (void);

/* Seconds since 1970 times 1,000,000; for logs and records only.  */
zp_time zp_clock_wall (void);

#endif
