#include "steer/slew.h"

#include <assert.h>
#include <math.h>
#include <string.h>

#define WINDOW_BUCKETS (ST_SLEW_BUCKETS / 2)

/* Empties the buckets between the newest one and NOW.  */
static void
advance (struct st_slew *m, zp_time now)
{
  int64_t bucket = now / ST_SLEW_BUCKET;

  if (bucket - m->newest >= ST_SLEW_BUCKETS)
    memset (m->count, 0, sizeof m->count);
  else
    for (int64_t b = m->newest + 1; b <= bucket; b++)
      memset (m->count[b % ST_SLEW_BUCKETS], 0, sizeof m->count[0]);
  if (bucket > m->newest)
    m->newest = bucket;
}

void
st_slew_note (struct st_slew *m, size_t region, zp_time now)
{
  assert (region < ST_SLEW_REGIONS);
  advance (m, now);
  m->count[m->newest % ST_SLEW_BUCKETS][region]++;
}

/* Sets OUT to the requests of each region in the window that ends BACK buckets
   before the newest one.  Returns the requests of all regions.  */
static uint32_t
sum (const struct st_slew *m, int64_t back, uint32_t *out)
{
  uint32_t all = 0;

  memset (out, 0, ST_SLEW_REGIONS * sizeof *out);
  for (int64_t b = m->newest - back;
       b > m->newest - back - WINDOW_BUCKETS && b >= 0; b--)
    for (size_t r = 0; r < ST_SLEW_REGIONS; r++)
      {
        out[r] += m->count[b % ST_SLEW_BUCKETS][r];
        all += m->count[b % ST_SLEW_BUCKETS][r];
      }
  return all;
}

double
st_slew_change (struct st_slew *m, size_t region, zp_time now)
{
  uint32_t before[ST_SLEW_REGIONS], last[ST_SLEW_REGIONS];
  double moved = 0.0;

  assert (region < ST_SLEW_REGIONS);
  advance (m, now);
  uint32_t earlier = sum (m, WINDOW_BUCKETS, before);
  uint32_t latest = sum (m, 0, last);
  if (earlier < ST_SLEW_REQUESTS_MIN || latest < ST_SLEW_REQUESTS_MIN)
    return 0.0;
  last[region]++;
  latest++;
  for (size_t r = 0; r < ST_SLEW_REGIONS; r++)
    moved += fabs ((double) last[r] / latest - (double) before[r] / earlier);
  return moved / 2;
}
