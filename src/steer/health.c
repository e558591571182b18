#include "steer/health.h"

#include <assert.h>

#include "base/limits.h"

/* A server is ejected when its failure rate is above the maximum, once at
   least OUTCOMES_MIN outcomes are counted.  */
#define FAILURE_RATE_MAX 0.5
#define OUTCOMES_MIN 20
/* Weight of the newest outcome in the moving average.  */
#define FAILURE_RATE_WEIGHT (1.0 / 16)

/* The ejection time starts over for a server that has been in use for this
   long since its last ejection.  */
#define EJECTIONS_RESET (300 * ZP_SEC)

/* Share of the slots that can be used when a slow start begins.  */
#define RAMP_MIN 0.1

/* Another probe is sent when the outcome of one is not reported in time.  */
#define PROBE_TIMEOUT (5 * ZP_SEC)

/* Largest deviation from the ejection time, as a fraction of it.  */
#define JITTER 0.2

void
st_health_add (struct st_health *h, struct st_health_group *g, zp_time now)
{
  *h = (struct st_health){ .kind = ST_HEALTH_UP,
                           .ramp_from = now,
                           .returned_at = now };
  g->servers++;
}

void
st_health_slow_start (struct st_health *h, zp_time now)
{
  h->ramp_from = now;
}

void
st_health_remove (struct st_health *h, struct st_health_group *g)
{
  assert (g->servers > 0);
  g->servers--;
  if (h->kind == ST_HEALTH_UP)
    return;
  assert (g->ejected > 0);
  g->ejected--;
}

enum st_health_kind
st_health_state (const struct st_health *h, zp_time now)
{
  switch (h->kind)
    {
    case ST_HEALTH_UP:
      return ST_HEALTH_UP;
    case ST_HEALTH_EJECTED:
    case ST_HEALTH_PROBING:
      return now >= h->until ? ST_HEALTH_PROBE_DUE : h->kind;
    case ST_HEALTH_PROBE_DUE:
      break;
    }
  assert (!"ST_HEALTH_PROBE_DUE is never stored");
  return ST_HEALTH_EJECTED;
}

bool
st_health_wants_fresh (const struct st_health *h)
{
  return h->suspected || h->kind != ST_HEALTH_UP;
}

double
st_health_ramp (const struct st_health *h, zp_time now)
{
  double share = (double) (now - h->ramp_from) / (double) ST_HEALTH_SLOW_START;

  if (share < RAMP_MIN)
    return RAMP_MIN;
  return share < 1.0 ? share : 1.0;
}

void
st_health_begin_probe (struct st_health *h, zp_time now)
{
  assert (st_health_state (h, now) == ST_HEALTH_PROBE_DUE);
  h->kind = ST_HEALTH_PROBING;
  h->until = now + PROBE_TIMEOUT;
  h->probe_started = now;
}

/* Ejection and return to use.  */

static zp_time
eject_time (unsigned ejections, struct zp_rng *rng)
{
  zp_time t = ST_HEALTH_EJECT_FIRST;

  for (unsigned i = 1; i < ejections && t < ST_HEALTH_EJECT_MAX; i++)
    t *= 2;
  if (t > ST_HEALTH_EJECT_MAX)
    t = ST_HEALTH_EJECT_MAX;
  return (zp_time) ((double) t
                    * (1.0 - JITTER + 2.0 * JITTER * zp_rng_unit (rng)));
}

static struct st_health_event
eject (struct st_health *h, struct st_health_group *g, enum st_attempt_end end,
       zp_time now, struct zp_rng *rng)
{
  if (h->kind == ST_HEALTH_UP)
    {
      unsigned allowed = g->servers / ST_HEALTH_EJECT_DIVISOR;
      /* One of two servers can be ejected, but never a single server.  */
      if (allowed == 0 && g->servers > 1)
        allowed = 1;
      /* The limit does not apply to refused connections, because no caller
         can make a live server refuse them.  */
      if (g->ejected >= allowed && end != ST_END_REFUSED)
        return (struct st_health_event){ .kind = ST_EVENT_CAPPED };
      g->ejected++;
      if (now - h->returned_at > EJECTIONS_RESET)
        h->ejections = 0;
    }
  h->ejections++;
  h->kind = ST_HEALTH_EJECTED;
  h->until = now + eject_time (h->ejections, rng);
  return (struct st_health_event){ .kind = ST_EVENT_EJECTED,
                                   .until = h->until };
}

static struct st_health_event
return_server (struct st_health *h, struct st_health_group *g, zp_time now)
{
  assert (g->ejected > 0);
  g->ejected--;
  h->kind = ST_HEALTH_UP;
  h->points = 0;
  h->failure_rate = 0;
  h->outcomes = 0;
  h->suspected = false;
  h->ramp_from = now;
  h->returned_at = now;
  return (struct st_health_event){ .kind = ST_EVENT_RETURNED };
}

/* Outcomes.  */

/* Failure points of an outcome.  Without an answer in between, a server is
   ejected by two refused connections, by four failure statuses, or by two
   losses (four timeouts) of fresh connections while it is suspected.  */
static unsigned
points_of (const struct st_health *h, const struct st_outcome *o)
{
  bool confirms = o->fresh && h->suspected && o->started >= h->suspected_at;

  switch (o->end)
    {
    case ST_END_ANSWER:
    case ST_END_SHED:
    case ST_END_CANCELLED:
      return 0;
    case ST_END_STATUS:
      return 2;
    case ST_END_REFUSED:
      return 4;
    case ST_END_LOST:
      return confirms ? 4 : 0;
    case ST_END_TIMEOUT:
      return confirms ? 2 : 0;
    case ST_END_LATE:
      return 1;
    }
  return 0;
}

static bool
whole_answer (enum st_attempt_end end)
{
  switch (end)
    {
    case ST_END_ANSWER:
    case ST_END_STATUS:
    case ST_END_SHED:
    case ST_END_LATE:
      return true;
    case ST_END_REFUSED:
    case ST_END_LOST:
    case ST_END_TIMEOUT:
    case ST_END_CANCELLED:
      return false;
    }
  return false;
}

static struct st_health_event
probe_outcome (struct st_health *h, struct st_health_group *g,
               const struct st_outcome *o, zp_time now, struct zp_rng *rng)
{
  /* Attempts that started before the probe can end now; they are ignored.  */
  if (h->kind != ST_HEALTH_PROBING || o->started < h->probe_started)
    return (struct st_health_event){ .kind = ST_EVENT_NONE };
  switch (o->end)
    {
    case ST_END_ANSWER:
    case ST_END_SHED:
      return return_server (h, g, now);
    case ST_END_CANCELLED:
      h->until = now;
      return (struct st_health_event){ .kind = ST_EVENT_NONE };
    case ST_END_STATUS:
    case ST_END_REFUSED:
    case ST_END_LOST:
    case ST_END_TIMEOUT:
    case ST_END_LATE:
      return eject (h, g, o->end, now, rng);
    }
  return (struct st_health_event){ .kind = ST_EVENT_NONE };
}

struct st_health_event
st_health_outcome (struct st_health *h, struct st_health_group *g,
                   const struct st_outcome *o, zp_time now, struct zp_rng *rng)
{
  struct st_health_event none = { .kind = ST_EVENT_NONE };

  if (h->kind != ST_HEALTH_UP)
    return probe_outcome (h, g, o, now, rng);
  if (o->end == ST_END_CANCELLED)
    return none;

  unsigned points = points_of (h, o);
  bool silent = o->end == ST_END_LOST || o->end == ST_END_TIMEOUT;
  /* Lost and silent connections count only when they give points; otherwise
     they are no evidence about the server.  */
  if (!silent || points > 0)
    {
      double failed = points > 0 ? 1.0 : 0.0;
      h->failure_rate += (failed - h->failure_rate) * FAILURE_RATE_WEIGHT;
      h->outcomes++;
    }
  h->points = o->end == ST_END_ANSWER ? 0 : h->points + points;
  /* An answer to an attempt from before the suspicion does not clear it: an
     old connection that works proves nothing about new ones.  */
  if (whole_answer (o->end) && o->started >= h->suspected_at)
    h->suspected = false;
  if (h->points >= ST_HEALTH_POINTS_MAX
      || (h->outcomes >= OUTCOMES_MIN && h->failure_rate > FAILURE_RATE_MAX))
    return eject (h, g, o->end, now, rng);
  if (!silent || h->suspected)
    return none;
  h->suspected = true;
  h->suspected_at = now;
  return (struct st_health_event){ .kind = ST_EVENT_SUSPECTED };
}

const char *
st_attempt_end_name (enum st_attempt_end end)
{
  switch (end)
    {
    case ST_END_ANSWER:
      return "answer";
    case ST_END_STATUS:
      return "failure-status";
    case ST_END_SHED:
      return "shed";
    case ST_END_REFUSED:
      return "connection-refused";
    case ST_END_LOST:
      return "connection-lost";
    case ST_END_TIMEOUT:
      return "timeout";
    case ST_END_LATE:
      return "late";
    case ST_END_CANCELLED:
      return "cancelled";
    }
  return "unknown";
}
