/* NAME
     clock - points in time and durations, in microseconds

   DESCRIPTION
     Code that decides takes the current time as an argument of type zp_time;
     only tasks read the clock.  Values of the monotonic clock are valid on one
     machine only.  */

#ifndef ZP_BASE_CLOCK_H
#define ZP_BASE_CLOCK_H

#include <stdint.h>

typedef int64_t zp_time; /* microseconds */

#define ZP_MS ((zp_time) 1000)
#define ZP_SEC ((zp_time) 1000000)

/* Later than every other point in time.  */
#define ZP_NEVER INT64_MAX

/* Monotonic time, which also advances while the VM is suspended.  */
zp_time zp_clock_mono (void);

/* Microseconds since 1970-01-01 UTC; for logs and records only, because the
   wall clock can be set back.  */
zp_time zp_clock_wall (void);

#endif
