#include "steer/pool.h"

#include <math.h>

void
st_pool_sample (struct st_pool_load *l, unsigned running, unsigned waiting,
                unsigned own, zp_time now)
{
  unsigned all = running + waiting;

  l->others = all > own ? (double) (all - own) : 0.0;
  l->sampled = now;
}

double
st_pool_work (const struct st_pool_load *l, zp_time now)
{
  if (l->sampled == 0 || l->others <= 0)
    return l->own;
  double age = l->service > 0
                   ? (double) (now - l->sampled) / (double) l->service - 1.0
                   : 0.0;
  return l->own + l->others * exp2 (age > 0 ? -age : 0.0);
}

/* Less than a whole slot of room is no room: the estimate of the others' work
   is a fraction that fades.  */
static bool
has_room (const struct st_pool_load *l, zp_time now)
{
  return st_pool_work (l, now) + 0.5 < (double) l->slots;
}

static double
fullness (const struct st_pool_load *l, zp_time now)
{
  return l->slots > 0 ? st_pool_work (l, now) / l->slots : 1.0;
}

static zp_time
finish (const struct st_pool_candidate *c)
{
  return c->way + c->service;
}

/* The earliest finish among candidates with room, and the lowest fullness
   among those that are near it.  Returns false when none has room.  */
static bool
find_best (const struct st_pool_candidate *c, size_t n, zp_time now,
           zp_time *first, double *emptiest)
{
  bool any = false;

  for (size_t i = 0; i < n; i++)
    if (c[i].usable && has_room (c[i].load, now)
        && (!any || finish (&c[i]) < *first))
      {
        *first = finish (&c[i]);
        any = true;
      }
  *emptiest = 1.0;
  for (size_t i = 0; any && i < n; i++)
    if (c[i].usable && has_room (c[i].load, now)
        && finish (&c[i]) <= *first + ST_POOL_NEAR
        && fullness (c[i].load, now) < *emptiest)
      *emptiest = fullness (c[i].load, now);
  return any;
}

struct st_pool_choice
st_pool_choose (const struct st_pool_candidate *c, size_t n, zp_time now)
{
  struct st_pool_choice out = { .kind = ST_POOL_NONE };
  zp_time first = 0;
  double emptiest;
  bool usable = false, found = false;

  for (size_t i = 0; i < n; i++)
    usable = usable || c[i].usable;
  if (!usable)
    return out;
  out.kind = ST_POOL_WAIT;
  if (!find_best (c, n, now, &first, &emptiest))
    return out;
  for (size_t i = 0; i < n; i++)
    {
      if (!c[i].usable || !has_room (c[i].load, now)
          || finish (&c[i]) > first + ST_POOL_NEAR
          || fullness (c[i].load, now) > emptiest + ST_POOL_SKEW)
        continue;
      if (found && c[i].rank >= c[out.at].rank)
        continue;
      found = true;
      out.at = i;
    }
  out.kind = ST_POOL_SEND;
  out.finish = finish (&c[out.at]);
  return out;
}
