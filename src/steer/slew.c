#include "steer/slew.h"

#include <assert.h>
#include <math.h>
#include <string.h>

#define WINDOW_BUCKETS (ST_SLEW_BUCKETS / 2)

/* Empties the buckets between the newest one and NOW.  */
static void
advance (struct st_slew *s, zp_time now)
{
  int64_t bucket = now / ST_SLEW_BUCKET;

  if (bucket - s->newest >= ST_SLEW_BUCKETS)
    {
      memset (s->count, 0, sizeof s->count);
      s->first = bucket;
    }
  else
    for (int64_t b = s->newest + 1; b <= bucket; b++)
      memset (s->count[b % ST_SLEW_BUCKETS], 0, sizeof s->count[0]);
  if (bucket > s->newest)
    s->newest = bucket;
}

void
st_slew_note (struct st_slew *s, size_t region, zp_time now)
{
  assert (region < ST_SLEW_REGIONS);
  advance (s, now);
  s->count[s->newest % ST_SLEW_BUCKETS][region]++;
}

/* Requests of each region, and of all.  */
struct requests
{
  uint32_t region[ST_SLEW_REGIONS];
  uint32_t all;
};

static void
add_bucket (const struct st_slew *s, int64_t bucket, struct requests *out)
{
  if (bucket < 0)
    return;
  for (size_t r = 0; r < ST_SLEW_REGIONS; r++)
    {
      uint32_t n = s->count[bucket % ST_SLEW_BUCKETS][r];
      out->region[r] += n;
      out->all += n;
    }
}

/* Sets LAST to the requests of the newest window and BEFORE to those of the
   window before.  Until there are two whole windows, BEFORE is the first one,
   and LAST has the requests since then.  */
static void
split (const struct st_slew *s, struct requests *before, struct requests *last)
{
  int64_t oldest = s->newest - ST_SLEW_BUCKETS + 1;
  int64_t end = oldest + WINDOW_BUCKETS; /* of BEFORE */

  *before = *last = (struct requests){ .all = 0 };
  if (end < s->first + WINDOW_BUCKETS)
    end = s->first + WINDOW_BUCKETS;
  for (int64_t b = oldest; b <= s->newest; b++)
    add_bucket (s, b, b < end ? before : last);
}

double
st_slew_change (struct st_slew *s, size_t region, zp_time now)
{
  struct requests before, last;
  double moved = 0.0;

  assert (region < ST_SLEW_REGIONS);
  advance (s, now);
  split (s, &before, &last);
  if (before.all < ST_SLEW_REQUESTS_MIN || last.all < ST_SLEW_REQUESTS_MIN)
    return 0.0;
  last.region[region]++;
  last.all++;
  for (size_t r = 0; r < ST_SLEW_REGIONS; r++)
    moved += fabs ((double) last.region[r] / last.all
                   - (double) before.region[r] / before.all);
  return moved / 2;
}
