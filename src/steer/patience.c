#include "steer/patience.h"

zp_time
st_patience_end (const struct st_patience *p)
{
  zp_time left = p->deadline - p->arrived;
  zp_time end = p->arrived + (zp_time) ((double) left * ST_PATIENCE_LATE);

  if (p->objective == 0)
    return p->deadline;
  if (p->service <= p->objective)
    end = p->arrived + p->objective;
  return end < p->deadline ? end : p->deadline;
}

zp_time
st_return_after (zp_time service, zp_time left, struct zp_rng *rng)
{
  /* Half to one and a half service times.  */
  zp_time t = (zp_time) ((double) service * (0.5 + zp_rng_unit (rng)));

  if (t > left / 3)
    t = left / 3;
  if (t > ST_RETURN_MAX)
    t = ST_RETURN_MAX;
  return t < ST_RETURN_MIN ? ST_RETURN_MIN : t;
}
