#include <stdint.h>

#include "gate/gate.h"

/* The candidates for one request, and the server of each.  */
struct candidates
{
  struct st_balance_candidate *candidate;
  struct gt_server **server;
  size_t len;
};

/* Rendezvous hashing: the rank depends only on the affinity key and the
   server, so that all entry daemons rank alike.  Without a key, each request
   ranks the servers differently.  */
static uint64_t
rank_of (const struct gt_request *q, const struct gt_server *s)
{
  const uint64_t pair[] = { s->hash, q->affinity != 0 ? q->affinity : q->id };

  return zp_str_hash (
      (struct zp_str){ .ptr = (const char *) pair, .len = sizeof pair }, 0);
}

/* Keeps the candidate with the lowest rank of each region.  All entry daemons
   keep the same one for an affinity key, so that it has cached the data that
   requests with the key need.  When it was tried already or is cold, ejected
   or gone, the candidate with the next rank takes its place.  */
static void
keep_affinity_servers (struct candidates *x)
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

/* How many times longer than usual work takes at S.  The service times that
   were measured there include the pace that it states, so that the two factors
   are not multiplied.  */
static double
time_factor (const struct gt_server *s, zp_time now)
{
  double pace = st_balance_pace (&s->load, now);
  zp_time mean = gt_service_mean_time (s->service);
  zp_time own = gt_server_mean_time (s);
  double measured = own > mean && mean > 0 ? (double) own / (double) mean : 0;

  return measured > pace ? measured : pace;
}

/* Usual service time of Q at a server of its service.  A candidate for an
   affinity key is expected to have its data cached, through requests of this or
   other daemons.  */
static zp_time
usual_service_time (const struct gt_request *q)
{
  zp_time mean = gt_service_mean_time (q->service);

  return q->affinity == 0 ? mean
                          : st_service_times_expect (
                              &q->service->service_times, true, mean);
}

static void
collect_candidates (struct gt_gate *g, const struct gt_request *q, zp_time now,
                    struct candidates *x)
{
  enum st_balance_mode mode = gt_server_load_mode (g);

  for (size_t i = 0; i < g->servers; i++)
    {
      struct gt_server *s = g->server[i];
      if (!gt_server_usable (g, s, q, now))
        continue;
      x->candidate[x->len] = (struct st_balance_candidate){
        .load = &s->load, .mode = mode, .rtt = s->rtt, .rank = rank_of (q, s)
      };
      x->server[x->len++] = s;
    }
  if (q->affinity != 0)
    keep_affinity_servers (x);
  double mean = (double) gt_service_mean_time (q->service);
  double usual = (double) usual_service_time (q);
  for (size_t i = 0; i < x->len; i++)
    {
      double factor = time_factor (x->server[i], now);
      x->candidate[i].mean_time = (zp_time) (mean * factor);
      x->candidate[i].service = (zp_time) (usual * factor);
    }
}

/* Keeps only the candidates of REGION.  */
static void
keep_region (struct candidates *x, size_t region)
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

/* Limits how fast requests shift between regions.  If CHOICE would exceed the
   limit, chooses again among the candidates of the region that changes the
   shares of the regions least.  */
static struct st_balance_choice
limit_region_shift (struct gt_gate *g, struct candidates *x,
                    struct st_balance_choice choice, zp_time now)
{
  size_t wanted = x->server[choice.at]->region;
  double least = st_slew_change (&g->region_shares, wanted, now);
  size_t region = wanted;

  if (least <= ST_SLEW_MAX
      || (g->lost_at > 0 && now - g->lost_at < GT_LOSS_WINDOW))
    return choice;
  for (size_t i = 0; i < x->len; i++)
    {
      size_t other = x->server[i]->region;
      double change = st_slew_change (&g->region_shares, other, now);
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
  struct candidates x
      = { .candidate = g->choice_candidate, .server = g->choice_server };

  collect_candidates (g, q, now, &x);
  struct st_balance_choice choice
      = st_balance_choose (x.candidate, x.len, now);
  if (choice.kind == ST_BALANCE_SEND)
    choice = limit_region_shift (g, &x, choice, now);
  if (choice.kind == ST_BALANCE_SEND)
    *out = x.server[choice.at];
  return choice;
}
