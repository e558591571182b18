#include "base/clock.h"

#include <time.h>

static zp_time
read_clock (clockid_t id)
{
  struct timespec ts;

  clock_gettime (id, &ts);
  return (zp_time) ts.tv_sec * ZP_SEC + ts.tv_nsec / 1000;
}

zp_time
zp_clock_mono (void)
{
  /* CLOCK_MONOTONIC stands still while a VM is suspended; a lease held by it
     would outlive its time.  */
  return read_clock (CLOCK_BOOTTIME);
}

zp_time
zp_clock_wall (void)
{
  return read_clock (CLOCK_REALTIME);
}
