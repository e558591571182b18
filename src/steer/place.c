#include "steer/place.h"

#include <assert.h>
#include <math.h>

/* Reports of this age or more are ignored; their weight is at most
   1 / 65536.  */
#define REPORT_AGE_MAX (16 * ZP_SEC)

/* Requests that a cold cache counts for.  */
#define COLD_PENALTY 0.5

/* Score.  */

static double
reported (const struct st_candidate *c)
{
  switch (c->report.kind)
    {
    case ST_REPORT_NONE:
      return 0;
    case ST_REPORT_INFLIGHT:
      return c->report.u.inflight;
    case ST_REPORT_LOAD:
      return c->report.u.load * c->capacity;
    }
  return 0;
}

/* Requests of other daemons on the server, by its report.  */
static double
others (const struct st_candidate *c)
{
  double not_ours = c->capacity > c->slots ? c->capacity - c->slots : 0;
  double n = reported (c) - c->own;

  if (!(n > 0) || c->report.age >= REPORT_AGE_MAX)
    return 0;
  if (n > not_ours)
    n = not_ours;
  if (c->report.age <= 0)
    return n;
  return n * exp2 (-(double) c->report.age / (double) ZP_SEC);
}

double
st_place_score (const struct st_candidate *c)
{
  double capacity = c->capacity > c->slots ? c->capacity : c->slots;
  double work = c->own + others (c) + 1;

  if (c->cold)
    work += COLD_PENALTY;
  return work / (capacity * c->ramp);
}

/* Usable candidates.  */

/* Slots that the slow start allows; at least one.  */
static double
ramp_slots (const struct st_candidate *c)
{
  double n = floor (c->slots * c->ramp);

  assert (c->ramp > 0 && c->ramp <= 1);
  return n < 1 ? 1 : n;
}

static enum st_skip
skip_reason (const struct st_candidate *c, const struct st_place_request *r)
{
  if (r->only != 0 && c->server != r->only)
    return ST_SKIP_OTHER;
  if (c->leaving)
    return ST_SKIP_LEAVING;
  if (c->tried)
    return ST_SKIP_TRIED;
  switch (c->health)
    {
    case ST_HEALTH_UP:
      break;
    case ST_HEALTH_PROBE_DUE:
      if (!r->alone && !r->retry)
        break;
      return ST_SKIP_EJECTED;
    case ST_HEALTH_EJECTED:
    case ST_HEALTH_PROBING:
      return ST_SKIP_EJECTED;
    }
  if (c->blocked || c->own >= c->slots || (c->reserved && !r->alone))
    return ST_SKIP_FULL;
  if (r->alone && (c->own > 0 || c->reserved))
    return ST_SKIP_BUSY;
  if (c->ramp != 1 && c->own >= ramp_slots (c))
    return ST_SKIP_RAMP;
  return ST_SKIP_NONE;
}

/* The candidates to choose from: the usable ones of the best tier; in the
   remote tier only those of the nearest region.  */
struct group
{
  uint64_t key; /* lower is better; UINT64_MAX: no candidate */
  size_t probe; /* index of a server due for a probe, or SIZE_MAX */
  uint32_t n;
  uint16_t index[ST_CANDIDATES_MAX]; /* the N other servers */
};

/* Orders candidates by tier, and remote ones by latency in whole milliseconds,
   so that regions at the same distance form one group.  */
static uint64_t
group_key (const struct st_candidate *c)
{
  uint64_t latency
      = c->tier == ST_TIER_REMOTE ? (uint64_t) (c->latency / ZP_MS) : 0;

  return (uint64_t) c->tier << 48 | latency;
}

/* Fills G.  Candidates of a worse group than the best so far are skipped
   before any other check, because there may be hundreds.  */
static void
find_group (const struct st_candidate *c, size_t n,
            const struct st_place_request *r, bool past_ramp, struct group *g)
{
  g->key = UINT64_MAX;
  g->probe = SIZE_MAX;
  g->n = 0;
  for (size_t i = 0; i < n; i++)
    {
      uint64_t key = group_key (&c[i]);
      if (key > g->key)
        continue;
      enum st_skip s = skip_reason (&c[i], r);
      if (s != ST_SKIP_NONE && !(past_ramp && s == ST_SKIP_RAMP))
        continue;
      if (key < g->key)
        {
          g->key = key;
          g->probe = SIZE_MAX;
          g->n = 0;
        }
      if (c[i].health == ST_HEALTH_PROBE_DUE)
        g->probe = i;
      else
        g->index[g->n++] = (uint16_t) i;
    }
}

/* Choice.  */

static struct st_placement
chosen (enum st_place_kind kind, const struct st_candidate *c, size_t i,
        double score, double other, bool past_ramp)
{
  return (struct st_placement){ .kind = kind,
                                .u.chosen = { .index = i,
                                              .server = c[i].server,
                                              .tier = c[i].tier,
                                              .score = score,
                                              .other = other,
                                              .own = c[i].own,
                                              .slots = c[i].slots,
                                              .past_ramp = past_ramp } };
}

static struct st_placement
choose (const struct st_candidate *c, const struct group *g, bool past_ramp,
        struct zp_rng *rng)
{
  if (g->probe != SIZE_MAX)
    return chosen (ST_PLACED_PROBE, c, g->probe, st_place_score (&c[g->probe]),
                   -1, past_ramp);

  uint32_t k = zp_rng_below (rng, g->n);
  size_t a = g->index[k];
  double score = st_place_score (&c[a]);
  if (g->n == 1)
    return chosen (ST_PLACED, c, a, score, -1, past_ramp);

  uint32_t m = zp_rng_below (rng, g->n - 1);
  size_t b = g->index[m < k ? m : m + 1];
  double other = st_place_score (&c[b]);
  if (other < score)
    return chosen (ST_PLACED, c, b, other, score, past_ramp);
  return chosen (ST_PLACED, c, a, score, other, past_ramp);
}

/* Gives the reason why no server was chosen.  The one that ends soonest is
   reported: a slot becomes free after one service time, an ejection lasts
   longer, and a server that was tried stays so for this request.  */
static struct st_placement
not_placed (const struct st_candidate *c, size_t n,
            const struct st_place_request *r)
{
  struct st_placement p = { .kind = ST_PLACE_NO_SERVER };

  for (size_t i = 0; i < n; i++)
    p.u.skipped[skip_reason (&c[i], r)]++;
  if (p.u.skipped[ST_SKIP_BUSY] > 0)
    p.kind = ST_PLACE_BUSY;
  else if (p.u.skipped[ST_SKIP_FULL] > 0)
    p.kind = ST_PLACE_FULL;
  else if (p.u.skipped[ST_SKIP_EJECTED] > 0)
    p.kind = ST_PLACE_EJECTED;
  else if (p.u.skipped[ST_SKIP_TRIED] > 0)
    p.kind = ST_PLACE_TRIED;
  return p;
}

struct st_placement
st_place (const struct st_candidate *c, size_t n,
          const struct st_place_request *r, struct zp_rng *rng)
{
  struct group g;

  assert (n <= ST_CANDIDATES_MAX);
  for (int past_ramp = 0; past_ramp <= 1; past_ramp++)
    {
      find_group (c, n, r, past_ramp, &g);
      if (g.key != UINT64_MAX)
        return choose (c, &g, past_ramp, rng);
    }
  return not_placed (c, n, r);
}

/* Text.  */

static const char *
tier_name (enum st_tier tier)
{
  switch (tier)
    {
    case ST_TIER_DOMAIN:
      return "failure-domain";
    case ST_TIER_REGION:
      return "region";
    case ST_TIER_REMOTE:
      return "other-region";
    case ST_TIERS:
      break;
    }
  return "unknown";
}

static const char *
kind_name (enum st_place_kind kind)
{
  switch (kind)
    {
    case ST_PLACED:
      return "placed";
    case ST_PLACED_PROBE:
      return "probe";
    case ST_PLACE_NO_SERVER:
      return "no-server";
    case ST_PLACE_FULL:
      return "full";
    case ST_PLACE_EJECTED:
      return "ejected";
    case ST_PLACE_TRIED:
      return "tried";
    case ST_PLACE_BUSY:
      return "no-idle-server";
    }
  return "unknown";
}

void
st_placement_text (const struct st_placement *p, struct zp_buf *out)
{
  zp_buf_printf (out, "%s", kind_name (p->kind));
  switch (p->kind)
    {
    case ST_PLACED:
    case ST_PLACED_PROBE:
      zp_buf_printf (out, " tier=%s score=%.2f", tier_name (p->u.chosen.tier),
                     p->u.chosen.score);
      if (p->u.chosen.other >= 0)
        zp_buf_printf (out, " other=%.2f", p->u.chosen.other);
      zp_buf_printf (out, " own=%u/%u%s", p->u.chosen.own, p->u.chosen.slots,
                     p->u.chosen.past_ramp ? " past-ramp" : "");
      return;
    case ST_PLACE_NO_SERVER:
    case ST_PLACE_FULL:
    case ST_PLACE_EJECTED:
    case ST_PLACE_TRIED:
    case ST_PLACE_BUSY:
      zp_buf_printf (out, " full=%u ejected=%u busy=%u tried=%u leaving=%u",
                     p->u.skipped[ST_SKIP_FULL], p->u.skipped[ST_SKIP_EJECTED],
                     p->u.skipped[ST_SKIP_BUSY], p->u.skipped[ST_SKIP_TRIED],
                     p->u.skipped[ST_SKIP_LEAVING]);
      return;
    }
}
