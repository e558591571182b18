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
  /* CLOCK_MONOTONIC does not advance while a VM is suspended, so a lease that
     the VM holds would be used after its end.  */
  return read_clock (CLOCK_BOOTTIME);
}

zp_time
zp_clock_wall (void)
{
  return read_clock (CLOCK_REALTIME);
}
