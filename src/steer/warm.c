#include "steer/warm.h"

/* Weight of a new time in the exponential moving average.  */
#define WEIGHT 0.1

/* The first times count equally; the weight applies after that many.  */
#define EQUAL_TIMES 10

void
st_warm_note (struct st_warm *w, uint64_t object, zp_time now)
{
  size_t at = object % ST_WARM_ENTRIES;

  w->object[at] = object;
  w->sent[at] = now;
}

bool
st_warm_has (const struct st_warm *w, uint64_t object, zp_time now)
{
  size_t at = object % ST_WARM_ENTRIES;

  return object != 0 && w->object[at] == object
         && now - w->sent[at] < ST_WARM_TTL;
}

void
st_warm_clear (struct st_warm *w)
{
  *w = (struct st_warm){ .object = { 0 } };
}

static void
add_time (zp_time *mean, unsigned *seen, zp_time elapsed)
{
  double weight = *seen < EQUAL_TIMES ? 1.0 / (*seen + 1) : WEIGHT;

  *mean += (zp_time) ((double) (elapsed - *mean) * weight);
  ++*seen;
}

void
st_service_times_note (struct st_service_times *t, bool warm, zp_time elapsed)
{
  if (warm)
    add_time (&t->warm, &t->warm_seen, elapsed);
  else
    add_time (&t->cold, &t->cold_seen, elapsed);
}

zp_time
st_service_times_expect (const struct st_service_times *t, bool warm,
                         zp_time first)
{
  if (t->warm_seen == 0 && t->cold_seen == 0)
    return first;
  if (warm)
    return t->warm_seen > 0 ? t->warm : t->cold;
  return t->cold_seen > 0 ? t->cold : t->warm;
}
