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
    memset (s->count, 0, sizeof s->count);
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

/* Sets OUT to the requests of each region in the window that ends BACK buckets
   before the newest one.  Returns the requests of all regions.  */
static uint32_t
sum (const struct st_slew *s, int64_t back, uint32_t *out)
{
  uint32_t all = 0;

  memset (out, 0, ST_SLEW_REGIONS * sizeof *out);
  for (int64_t b = s->newest - back;
       b > s->newest - back - WINDOW_BUCKETS && b >= 0; b--)
    for (size_t r = 0; r < ST_SLEW_REGIONS; r++)
      {
        out[r] += s->count[b % ST_SLEW_BUCKETS][r];
        all += s->count[b % ST_SLEW_BUCKETS][r];
      }
  return all;
}

double
st_slew_change (struct st_slew *s, size_t region, zp_time now)
{
  uint32_t before[ST_SLEW_REGIONS], last[ST_SLEW_REGIONS];
  double moved = 0.0;

  assert (region < ST_SLEW_REGIONS);
  advance (s, now);
  uint32_t earlier = sum (s, WINDOW_BUCKETS, before);
  uint32_t latest = sum (s, 0, last);
  if (earlier < ST_SLEW_REQUESTS_MIN || latest < ST_SLEW_REQUESTS_MIN)
    return 0.0;
  last[region]++;
  latest++;
  for (size_t r = 0; r < ST_SLEW_REGIONS; r++)
    moved += fabs ((double) last[r] / latest - (double) before[r] / earlier);
  return moved / 2;
}
