#include "steer/throttle.h"

#include <assert.h>

static double
saved (const struct st_throttle *p, double per_s, unsigned daemons,
       zp_time now)
{
  if (p->at == 0)
    return 1.0;
  double s = p->saved
             + (double) (now - p->at) / (double) ZP_SEC * per_s
                   / (daemons > 0 ? daemons : 1);
  return s < 1.0 ? s : 1.0;
}

void
st_throttle_start (struct st_throttle *p, double per_s, unsigned daemons,
                   double phase, zp_time now)
{
  assert (phase >= 0.0 && phase < 1.0);
  bool few = daemons <= ST_THROTTLE_BURST + per_s * ST_THROTTLE_RATE_SHARE;

  p->saved = few ? 1.0 : phase;
  p->at = now;
}

bool
st_throttle_open (const struct st_throttle *p, double per_s, unsigned daemons,
                  zp_time now)
{
  return saved (p, per_s, daemons, now) >= 1.0;
}

void
st_throttle_take (struct st_throttle *p, double per_s, unsigned daemons,
                  zp_time now)
{
  p->saved = saved (p, per_s, daemons, now) - 1.0;
  p->at = now;
}
