#include "steer/throttle.h"

#include <assert.h>

/* Tokens at NOW.  */
static double
tokens (const struct st_throttle *t, double per_s, unsigned daemons,
        zp_time now)
{
  if (t->updated == 0)
    return 1.0;
  double n = t->tokens
             + (double) (now - t->updated) / (double) ZP_SEC * per_s
                   / (daemons > 0 ? daemons : 1);
  return n < 1.0 ? n : 1.0;
}

void
st_throttle_start (struct st_throttle *t, double per_s, unsigned daemons,
                   double phase, zp_time now)
{
  assert (phase >= 0.0 && phase < 1.0);
  bool few = daemons <= ST_THROTTLE_BURST + per_s * ST_THROTTLE_RATE_SHARE;

  t->tokens = few ? 1.0 : phase;
  t->updated = now;
}

bool
st_throttle_allows (const struct st_throttle *t, double per_s,
                    unsigned daemons, zp_time now)
{
  return tokens (t, per_s, daemons, now) >= 1.0;
}

void
st_throttle_take (struct st_throttle *t, double per_s, unsigned daemons,
                  zp_time now)
{
  t->tokens = tokens (t, per_s, daemons, now) - 1.0;
  t->updated = now;
}
