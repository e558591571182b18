#include <stdlib.h>

#include "gate/gate.h"

/* Choice.  */

/* Servers of one region that an object may go to.  All daemons choose the same
   one, which then knows the object; the next one follows when it is tried,
   cold, ejected or gone.  */
#define SERVERS_OF_OBJECT 1

/* The candidates for one request, with the server of each.  */
struct choices
{
  struct st_pool_candidate *candidate;
  struct gt_server **server;
  struct zp_str *region;
  size_t len;
};

static uint64_t
rank_of (const struct gt_request *q, const struct gt_server *s)
{
  uint64_t object = q->object != 0 ? q->object : q->id;

  return zp_str_hash (zp_str_from (s->report.id), object);
}

/* How many candidates of the same region rank before candidate AT.  */
static unsigned
place_in_region (const struct choices *x, size_t at)
{
  unsigned n = 0;

  for (size_t i = 0; i < x->len; i++)
    n += x->candidate[i].rank < x->candidate[at].rank
         && zp_str_eq (x->region[i], x->region[at]);
  return n;
}

/* Keeps the servers of the object, if the request concerns one.  */
static void
keep_servers_of_object (struct choices *x)
{
  size_t kept = 0;
  unsigned *place = zp_alloc (x->len * sizeof *place);

  for (size_t i = 0; i < x->len; i++)
    place[i] = place_in_region (x, i);
  for (size_t i = 0; i < x->len; i++)
    {
      if (place[i] >= SERVERS_OF_OBJECT)
        continue;
      x->candidate[kept] = x->candidate[i];
      x->region[kept] = x->region[i];
      x->server[kept++] = x->server[i];
    }
  x->len = kept;
  free (place);
}

/* The time of Q at S.  The first server of its region is expected to know the
   object from other daemons.  */
static zp_time
expected (const struct gt_request *q, const struct gt_server *s, bool warm)
{
  zp_time usual = gt_service_usual (s->service);
  zp_time t = q->object == 0
                  ? usual
                  : st_times_expect (&s->service->times, warm, usual);
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
          = (struct st_pool_candidate){ .load = &s->load,
                                        .way = s->domain_way,
                                        .usual = gt_server_usual (s),
                                        .rank = rank_of (q, s) };
      x->region[x->len] = gt_server_region (g, s);
      x->server[x->len++] = s;
    }
  if (q->object != 0)
    keep_servers_of_object (x);
  for (size_t i = 0; i < x->len; i++)
    {
      struct gt_server *s = x->server[i];
      bool warm = place_in_region (x, i) == 0
                  || st_warm_has (&s->warm, q->object, now);
      x->candidate[i].service = expected (q, s, warm);
    }
}

/* Keeps the candidates of the region with number REGION.  */
static void
keep_region (struct gt_gate *g, struct choices *x, size_t region)
{
  size_t kept = 0;

  for (size_t i = 0; i < x->len; i++)
    {
      if (gt_region_number (g, x->region[i]) != region)
        continue;
      x->candidate[kept] = x->candidate[i];
      x->region[kept] = x->region[i];
      x->server[kept++] = x->server[i];
    }
  x->len = kept;
}

/* Bounds the move of requests between regions: when CHOICE would pass the cap,
   the choice is made anew in the region in which the shares change least.  */
static struct st_pool_choice
bound_move (struct gt_gate *g, struct choices *x, struct st_pool_choice choice,
            zp_time now)
{
  size_t wanted = gt_region_number (g, x->region[choice.at]);
  double least = st_mix_change (&g->mix, wanted, now);
  size_t region = wanted;

  if (least <= ST_MIX_CAP
      || (g->lost_at > 0 && now - g->lost_at < GT_LOSS_RECENT))
    return choice;
  for (size_t i = 0; i < x->len; i++)
    {
      size_t other = gt_region_number (g, x->region[i]);
      double change = st_mix_change (&g->mix, other, now);
      if (change >= least)
        continue;
      least = change;
      region = other;
    }
  if (region == wanted)
    return choice;
  keep_region (g, x, region);
  return st_pool_choose (x->candidate, x->len, now);
}

struct st_pool_choice
gt_choose (struct gt_gate *g, const struct gt_request *q, zp_time now,
           struct gt_server **out)
{
  struct choices x
      = { .candidate = zp_alloc (g->servers * sizeof *x.candidate),
          .server = zp_alloc (g->servers * sizeof (void *)),
          .region = zp_alloc (g->servers * sizeof *x.region) };

  fill (g, q, now, &x);
  struct st_pool_choice choice = st_pool_choose (x.candidate, x.len, now);
  if (choice.kind == ST_POOL_SEND)
    choice = bound_move (g, &x, choice, now);
  if (choice.kind == ST_POOL_SEND)
    *out = x.server[choice.at];
  free (x.candidate);
  free (x.server);
  free (x.region);
  return choice;
}
