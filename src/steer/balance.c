#include "steer/balance.h"

#include <math.h>

/* Weight of a new sample in the moving average of the others' requests.  */
#define SAMPLE_WEIGHT 0.5

/* Requests of other daemons, decayed to NOW.  */
static double
others (const struct st_balance_load *l, zp_time now)
{
  if (l->sampled == 0 || l->others <= 0)
    return 0.0;
  double age = (double) (now - l->sampled) / (double) ST_BALANCE_HALF_LIFE;
  return l->others * exp2 (-age);
}

void
st_balance_sample (struct st_balance_load *l, unsigned running,
                   unsigned waiting, unsigned own, zp_time now)
{
  unsigned all = running + waiting;
  double sample = all > own ? (double) (all - own) : 0.0;
  double before = others (l, now);

  l->others
      = l->sampled == 0 ? sample : before + (sample - before) * SAMPLE_WEIGHT;
  l->sampled = now;
}

double
st_balance_work (const struct st_balance_load *l, zp_time now)
{
  double other = others (l, now);

  if (l->region_at > 0 && now - l->region_at < ST_BALANCE_REPORT_TTL
      && l->region_others > other)
    other = l->region_others;
  return l->own + other;
}

/* Expected wait for a slot: each slot ends one request per mean service
   time.  */
static zp_time
wait_for (const struct st_balance_candidate *c, zp_time now)
{
  double ahead = st_balance_work (c->load, now) + 1.0 - c->load->slots;

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
