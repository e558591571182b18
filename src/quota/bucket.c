#include "quota/bucket.h"

#include <math.h>

/* Rounding errors of a refill do not cost a bucket its token.  */
#define ROUNDING 1e-9

double
qu_limit_depth (const struct qu_limit *l)
{
  return fmax (fmax (l->burst, l->rate / 4), 1.0);
}

void
qu_bucket_refill (struct qu_bucket *b, double rate, double depth, zp_time now)
{
  if (now > b->updated)
    {
      b->level
          += (double) (now - b->updated) / (double) ZP_SEC * rate * QU_REFILL;
      b->updated = now;
    }
  b->level = fmin (b->level, fmax (depth, 0));
}

uint32_t
qu_bucket_take (struct qu_bucket *b, uint32_t n)
{
  double whole = floor (b->level + ROUNDING);

  if (whole < 1.0)
    return 0;
  uint32_t taken = whole < n ? (uint32_t) whole : n;
  b->level -= taken;
  return taken;
}

void
qu_bucket_empty (struct qu_bucket *b, zp_time now)
{
  b->level = 0;
  b->updated = now;
}
