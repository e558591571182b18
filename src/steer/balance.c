#include "steer/balance.h"

#include <math.h>

/* Weight of a new sample in the moving average of the others' requests.  */
#define SAMPLE_WEIGHT 0.5

double
st_balance_weight (zp_time age)
{
  return age > 0 ? exp2 (-(double) age / (double) ST_BALANCE_HALF_LIFE) : 1.0;
}

bool
st_balance_sample (struct st_balance_load *l,
                   const struct st_balance_sample *s, zp_time now)
{
  zp_time at = now - s->age;

  if (l->sampled > 0 && at < l->sampled)
    return false;
  double sample = s->requests > s->own ? (double) (s->requests - s->own) : 0.0;
  if (l->sampled > 0)
    {
      double before = l->others * st_balance_weight (at - l->sampled);
      sample = before + (sample - before) * SAMPLE_WEIGHT;
    }
  l->others = sample;
  l->sampled = at;
  if (s->pace > 0)
    {
      l->pace = s->pace;
      l->paced = at;
    }
  return true;
}

/* Requests of other daemons.  */
static double
others (const struct st_balance_load *l, enum st_balance_mode mode,
        zp_time now)
{
  double region = 0.0;

  if (l->region_at > 0 && now - l->region_at < ST_BALANCE_REPORT_TTL)
    region = l->region_others;
  if (l->sampled == 0)
    return region;
  double weight = st_balance_weight (now - l->sampled);
  double other = weight * l->others;
  switch (mode)
    {
    case ST_BALANCE_LARGER:
      break;
    case ST_BALANCE_WEIGHTED:
      other += (1.0 - weight) * region;
      if (l->region_at - ST_BALANCE_REPORT_AGE <= l->sampled)
        return other;
      break;
    }
  return region > other ? region : other;
}

double
st_balance_work (const struct st_balance_load *l, enum st_balance_mode mode,
                 zp_time now)
{
  return l->own + others (l, mode, now);
}

double
st_balance_pace (const struct st_balance_load *l, zp_time now)
{
  if (l->paced == 0)
    return 1.0;
  double pace = l->pace / 100.0;
  double age = (double) (now - l->paced) / (double) ST_BALANCE_PACE_HALF_LIFE;
  if (pace < ST_BALANCE_PACE_MIN)
    pace = ST_BALANCE_PACE_MIN;
  if (pace > ST_BALANCE_PACE_MAX)
    pace = ST_BALANCE_PACE_MAX;
  return 1.0 + (pace - 1.0) * exp2 (age > 0 ? -age : 0.0);
}

/* Expected wait for a slot: each slot ends one request per mean service
   time.  */
static zp_time
wait_for (const struct st_balance_candidate *c, zp_time now)
{
  double ahead
      = st_balance_work (c->load, c->mode, now) + 1.0 - c->load->slots;

  if (ahead <= 0)
    return 0;
  return (zp_time) (ahead * (double) c->mean_time
                    / (c->load->slots > 0 ? c->load->slots : 1));
}

struct st_balance_choice
st_balance_choose (const struct st_balance_candidate *c, size_t n, zp_time now)
{
  struct st_balance_choice out = { .kind = ST_BALANCE_NONE };
  zp_time earliest = ZP_NEVER;
  bool found = false;

  for (size_t i = 0; i < n; i++)
    {
      zp_time finish = c[i].rtt + wait_for (&c[i], now) + c[i].service;
      if (finish < earliest)
        earliest = finish;
    }
  for (size_t i = 0; i < n; i++)
    {
      zp_time wait = wait_for (&c[i], now);
      zp_time finish = c[i].rtt + wait + c[i].service;
      if (finish > earliest + ST_BALANCE_TIE
          || (found && c[i].rank >= c[out.at].rank))
        continue;
      found = true;
      out = (struct st_balance_choice){
        .kind = ST_BALANCE_SEND, .at = i, .wait = wait, .finish = finish
      };
    }
  return out;
}
