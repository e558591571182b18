#include <stdint.h>

#include "gate/gate.h"

/* Choice.  */

/* The candidates for one request, with the server of each.  */
struct choices
{
  struct st_balance_candidate *candidate;
  struct gt_server **server;
  size_t len;
};

static uint64_t
rank_of (const struct gt_request *q, const struct gt_server *s)
{
  const uint64_t pair[] = { s->hash, q->object != 0 ? q->object : q->id };

  return zp_str_hash (
      (struct zp_str){ .ptr = (const char *) pair, .len = sizeof pair }, 0);
}

/* Keeps in each region the candidate that ranks first.  All daemons choose the
   same one for an object, so that it knows the object; the next one follows
   when it is tried, cold, ejected or gone.  */
static void
keep_servers_of_object (struct choices *x)
{
  size_t first[ST_SLEW_REGIONS], kept = 0;

  for (size_t i = 0; i < ST_SLEW_REGIONS; i++)
    first[i] = SIZE_MAX;
  for (size_t i = 0; i < x->len; i++)
    {
      size_t *f = &first[x->server[i]->region];
      if (*f == SIZE_MAX || x->candidate[i].rank < x->candidate[*f].rank)
        *f = i;
    }
  for (size_t i = 0; i < x->len; i++)
    {
      if (first[x->server[i]->region] != i)
        continue;
      x->candidate[kept] = x->candidate[i];
      x->server[kept++] = x->server[i];
    }
  x->len = kept;
}

/* The time of Q at S.  A server that an object is kept at is expected to know
   it, if not from this daemon then from others.  */
static zp_time
expected (const struct gt_request *q, const struct gt_server *s)
{
  zp_time usual = gt_service_usual (s->service);
  zp_time t = q->object == 0
                  ? usual
                  : st_service_times_expect (&s->service->times, true, usual);
  zp_time own = gt_server_usual (s);

  /* A slow server is slow with every object.  */
  return own > usual && usual > 0 ? t * own / usual : t;
}

static void
fill (struct gt_gate *g, const struct gt_request *q, zp_time now,
      struct choices *x)
{
  for (size_t i = 0; i < g->servers; i++)
    {
      struct gt_server *s = g->server[i];
      if (!gt_server_usable (g, s, q, now))
        continue;
      x->candidate[x->len]
          = (struct st_balance_candidate){ .load = &s->load,
                                           .rtt = s->domain_way,
                                           .mean_time = gt_server_usual (s),
                                           .rank = rank_of (q, s) };
      x->server[x->len++] = s;
    }
  if (q->object != 0)
    keep_servers_of_object (x);
  for (size_t i = 0; i < x->len; i++)
    x->candidate[i].service = expected (q, x->server[i]);
}

/* Keeps the candidates of the region with number REGION.  */
static void
keep_region (struct choices *x, size_t region)
{
  size_t kept = 0;

  for (size_t i = 0; i < x->len; i++)
    {
      if (x->server[i]->region != region)
        continue;
      x->candidate[kept] = x->candidate[i];
      x->server[kept++] = x->server[i];
    }
  x->len = kept;
}

/* Bounds the move of requests between regions: when CHOICE would pass the cap,
   the choice is made anew in the region in which the shares change least.  */
static struct st_balance_choice
bound_move (struct gt_gate *g, struct choices *x,
            struct st_balance_choice choice, zp_time now)
{
  size_t wanted = x->server[choice.at]->region;
  double least = st_slew_change (&g->mix, wanted, now);
  size_t region = wanted;

  if (least <= ST_SLEW_MAX
      || (g->lost_at > 0 && now - g->lost_at < GT_LOSS_RECENT))
    return choice;
  for (size_t i = 0; i < x->len; i++)
    {
      size_t other = x->server[i]->region;
      double change = st_slew_change (&g->mix, other, now);
      if (change >= least)
        continue;
      least = change;
      region = other;
    }
  if (region == wanted)
    return choice;
  keep_region (x, region);
  return st_balance_choose (x->candidate, x->len, now);
}

struct st_balance_choice
gt_choose (struct gt_gate *g, const struct gt_request *q, zp_time now,
           struct gt_server **out)
{
  struct choices x
      = { .candidate = g->choice_candidate, .server = g->choice_server };

  fill (g, q, now, &x);
  struct st_balance_choice choice
      = st_balance_choose (x.candidate, x.len, now);
  if (choice.kind == ST_BALANCE_SEND)
    choice = bound_move (g, &x, choice, now);
  if (choice.kind == ST_BALANCE_SEND)
    *out = x.server[choice.at];
  return choice;
}
