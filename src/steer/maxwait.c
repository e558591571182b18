#include "steer/maxwait.h"

static zp_time
scale (zp_time t, double factor)
{
  return (zp_time) ((double) t * factor);
}

zp_time
st_maxwait_time (const struct st_maxwait *w)
{
  zp_time max_wait = w->deadline - w->now - w->finish;
  zp_time wait = w->arrived + w->objective - w->now - w->finish;

  if (max_wait < 0)
    return max_wait;
  if (w->objective == 0)
    return scale (max_wait, ST_MAXWAIT_LEFT_SHARE);
  zp_time late = scale (w->objective, ST_MAXWAIT_LATE_SHARE);
  if (wait < late)
    wait = late;
  return wait < max_wait ? wait : max_wait;
}

zp_time
st_retry_after (zp_time service, zp_time left, struct zp_rng *rng)
{
  /* Half to one and a half service times.  */
  zp_time t = (zp_time) ((double) service * (0.5 + zp_rng_unit (rng)));

  if (t > left / 3)
    t = left / 3;
  if (t > ST_RETRY_AFTER_MAX)
    t = ST_RETRY_AFTER_MAX;
  return t < ST_RETRY_AFTER_MIN ? ST_RETRY_AFTER_MIN : t;
}
