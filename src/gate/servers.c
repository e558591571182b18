#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "gate/gate.h"

#define PART "server"

/* Way there and back until a connection has been measured.  */
#define WAY_DOMAIN (1 * ZP_MS)
#define WAY_REGION (4 * ZP_MS)
#define WAY_FAR (100 * ZP_MS)

/* Part of a longer measurement that is added to the way.  */
#define WAY_GROWTH 32

/* Answers from which the smoothed service time of a server is used.  */
#define USUAL_ANSWERS 3

/* A server counts as slow when it takes this many times as long as its service
   usually does.  Requests on objects that a server has handled lately take a
   third of the time of others, so smaller differences say nothing.  */
#define SLOW_SERVER 2

/* The upper 53 bits of a hash, times this, are a fraction below 1.  */
#define HASH_UNIT 0x1p-53

/* Ways.  */

static struct gt_way *
way_of (struct gt_gate *g, const char *domain)
{
  for (size_t i = 0; i < g->ways; i++)
    if (strcmp (g->way[i].failure_domain, domain) == 0)
      return &g->way[i];
  g->way = zp_realloc (g->way, (g->ways + 1) * sizeof *g->way);
  struct gt_way *w = &g->way[g->ways++];
  *w = (struct gt_way){ .way = WAY_FAR };
  zp_str_copy (w->failure_domain, sizeof w->failure_domain,
               zp_str_from (domain));
  if (zp_str_eq (zp_str_from (domain), g->settings->failure_domain))
    w->way = WAY_DOMAIN;
  else if (zp_str_eq (gt_settings_region (g->settings, zp_str_from (domain)),
                      g->settings->region))
    w->way = WAY_REGION;
  return w;
}

void
gt_server_connected (struct gt_gate *g, struct gt_server *s, zp_time way)
{
  struct gt_way *w = way_of (g, s->report.failure_domain);

  /* A connection may wait for a busy server or link, so that the way is near
     the least that was measured; it grows slowly.  */
  w->way = way < w->way ? way : w->way + (way - w->way) / WAY_GROWTH;
  for (size_t i = 0; i < g->servers; i++)
    if (strcmp (g->server[i]->report.failure_domain, w->failure_domain) == 0)
      g->server[i]->domain_way = w->way;
}

/* Servers.  */

struct gt_server *
gt_server_find (struct gt_gate *g, uint64_t hash)
{
  for (size_t i = 0; i < g->servers; i++)
    if (g->server[i]->hash == hash)
      return g->server[i];
  return NULL;
}

static struct gt_server *
server_new (struct gt_gate *g, const struct tk_server *report, uint64_t hash)
{
  struct gt_server *s = zp_alloc (sizeof *s);
  zp_time now = zp_clock_mono ();

  s->hash = hash;
  s->service = gt_service_get (g, zp_str_from (report->service));
  st_health_add (&s->health, &s->service->group, now);
  size_t n = g->servers + 1;
  g->server = zp_realloc (g->server, n * sizeof (void *));
  g->choice_server = zp_realloc (g->choice_server, n * sizeof (void *));
  g->choice_candidate
      = zp_realloc (g->choice_candidate, n * sizeof *g->choice_candidate);
  return g->server[g->servers++] = s;
}

/* Cold servers.  */

bool
gt_server_is_cold (const struct gt_server *s, zp_time now)
{
  return now < s->cold_until;
}

double
gt_server_cold_rate (const struct gt_server *s)
{
  return s->service->settings ? s->service->settings->warmup_per_s : 0.0;
}

/* S is cold up to UNTIL.  A server that was warm begins with no request that
   is saved up from an earlier time.  */
static void
cold_until (struct gt_gate *g, struct gt_server *s, zp_time until, zp_time now)
{
  if (until <= s->cold_until)
    return;
  if (!gt_server_is_cold (s, now))
    {
      uint64_t mark = zp_str_hash (g->settings->name, s->hash);
      st_pace_start (&s->pace, gt_server_cold_rate (s), g->daemons,
                     (double) (mark >> 11) * HASH_UNIT, now);
    }
  s->cold_until = until;
}

/* Begins a new start of S: nothing of an earlier one counts.  */
static void
restart (struct gt_gate *g, struct gt_server *s, const char *service)
{
  unsigned own = s->load.own;

  st_health_remove (&s->health, &s->service->group);
  s->service = gt_service_get (g, zp_str_from (service));
  st_health_add (&s->health, &s->service->group, zp_clock_mono ());
  s->load = (struct st_pool_load){ .own = own };
  s->usual = 0;
  st_warm_clear (&s->warm);
  s->answers = 0;
}

static void
put_server (struct gt_gate *g, const struct ro_server *x, bool started)
{
  uint64_t hash = zp_str_hash (zp_str_from (x->report.id), 0);
  struct gt_server *s = gt_server_find (g, hash);

  if (!s)
    s = server_new (g, &x->report, hash);
  else if (started)
    restart (g, s, x->report.service);
  if (s->report.state == TK_SERVER_READY && x->report.state != TK_SERVER_READY)
    gt_server_lost (g);
  s->report = x->report;
  s->load.slots = x->report.slots;
  cold_until (g, s, x->cold_until, zp_clock_mono ());
  s->domain_way = way_of (g, x->report.failure_domain)->way;
  s->region = gt_region_number (
      g, gt_settings_region (g->settings,
                             zp_str_from (x->report.failure_domain)));
  s->evacuated = gt_config_evacuated (g, x->report.failure_domain);
  if (s->load.slots == 0 || s->report.state != TK_SERVER_GONE)
    return;
  ZP_EVENT (ZP_LOG_NOTICE, PART, "a server is gone",
            ZP_F_TEXT (ZP_KEY_SERVER, zp_str_from (s->report.id)),
            ZP_F_TEXT (ZP_KEY_SERVICE, zp_str_from (s->service->name)));
}

void
gt_server_take (struct gt_gate *g, const struct tk_server *report)
{
  struct ro_server *x, *followed;
  enum ro_table_result taken
      = ro_table_update (&g->table, report, zp_clock_mono (), &x, &followed);

  switch (taken)
    {
    case RO_OLD:
      return;
    case RO_FULL:
      zp_log (ZP_LOG_ERR, PART, "server %s is left out: %d are known",
              report->id, RO_SERVERS_MAX);
      return;
    case RO_UNCHANGED:
    case RO_CHANGED:
    case RO_STARTED:
      break;
    }
  if (followed)
    put_server (g, followed, false);
  put_server (g, x, taken == RO_STARTED);
  struct gt_service *s = gt_service_get (g, zp_str_from (report->service));
  gt_dispatch_service (g, s);
}

/* Another start is at the address of S.  */
void
gt_server_wrong (struct gt_gate *g, struct gt_server *s)
{
  struct ro_server *x = ro_table_find (&g->table, zp_str_from (s->report.id));

  ZP_EVENT (ZP_LOG_NOTICE, PART, "another server is at the address",
            ZP_F_TEXT (ZP_KEY_SERVER, zp_str_from (s->report.id)),
            ZP_F_TEXT (ZP_KEY_SERVICE, zp_str_from (s->service->name)),
            ZP_F_TEXT (ZP_KEY_ADDRESS, zp_str_from (s->report.address)));
  s->report.state = TK_SERVER_GONE;
  gt_server_lost (g);
  if (!x)
    return;
  x->report.state = TK_SERVER_GONE;
  x->report.expired = false;
}

/* Work.  */

void
gt_server_tell_work (struct gt_gate *g)
{
  struct tk_msg *m = tk_msg_new (TK_WORK);
  struct tk_work *w = &m->u.work;

  w->item = zp_alloc ((g->servers + 1) * sizeof *w->item);
  for (size_t i = 0; i < g->servers; i++)
    if (g->server[i]->load.own > 0)
      w->item[w->len++]
          = (struct tk_work_item){ .server = g->server[i]->hash,
                                   .count = g->server[i]->load.own };
  tk_send (g->roster, m);
}

void
gt_server_take_work (struct gt_gate *g, const struct tk_work *w)
{
  zp_time now = zp_clock_mono ();

  for (size_t i = 0; i < g->servers; i++)
    {
      g->server[i]->load.region = 0;
      g->server[i]->load.told = now;
    }
  for (size_t i = 0; i < w->len; i++)
    {
      struct gt_server *s = gt_server_find (g, w->item[i].server);
      if (s)
        s->load.region = w->item[i].count;
    }
}

void
gt_server_cold (struct gt_gate *g, const char *failure_domain, zp_time now)
{
  for (size_t i = 0; i < g->servers; i++)
    {
      struct gt_server *s = g->server[i];
      if (strcmp (s->report.failure_domain, failure_domain) != 0
          || !s->service->settings)
        continue;
      cold_until (g, s, now + s->service->settings->warmup, now);
    }
}

/* Choice.  */

zp_time
gt_service_usual (const struct gt_service *s)
{
  return st_queue_service_time (s->queue);
}

zp_time
gt_server_usual (const struct gt_server *s)
{
  zp_time usual = gt_service_usual (s->service);

  if (s->answers < USUAL_ANSWERS || s->usual < SLOW_SERVER * usual)
    return usual;
  return s->usual;
}

static bool
tried (const struct gt_request *q, uint64_t hash)
{
  for (unsigned i = 0; i < q->attempts && i < GT_TRIED_MAX; i++)
    if (q->tried[i] == hash)
      return true;
  return false;
}

void
gt_server_note_evacuations (struct gt_gate *g)
{
  for (size_t i = 0; i < g->servers; i++)
    g->server[i]->evacuated
        = gt_config_evacuated (g, g->server[i]->report.failure_domain);
}

size_t
gt_region_number (struct gt_gate *g, struct zp_str region)
{
  for (size_t i = 0; i < g->regions; i++)
    if (zp_str_eq (zp_str_from (g->region[i]), region))
      return i;
  if (g->regions == ST_MIX_REGIONS - 1)
    return g->regions;
  zp_str_copy (g->region[g->regions], sizeof g->region[0], region);
  return g->regions++;
}

void
gt_server_lost (struct gt_gate *g)
{
  g->lost_at = zp_clock_mono ();
}

static bool
at_home (const struct gt_gate *g, const struct gt_request *q,
         const struct gt_server *s)
{
  struct zp_str rest = zp_str_of (&q->homes), home;

  if (rest.len == 0)
    return true;
  struct zp_str region = gt_settings_region (
      g->settings, zp_str_from (s->report.failure_domain));
  while (rest.len > 0)
    {
      zp_str_split (rest, '\n', &home, &rest);
      if (home.len > 0 && zp_str_eq (home, region))
        return true;
    }
  return false;
}

bool
gt_server_eligible (const struct gt_gate *g, const struct gt_server *s,
                    const struct gt_request *q)
{
  return s->service == q->service && s->report.state == TK_SERVER_READY
         && s->report.slots > 0 && !tried (q, s->hash) && at_home (g, q, s)
         && !s->evacuated;
}

bool
gt_server_usable (const struct gt_gate *g, const struct gt_server *s,
                  const struct gt_request *q, zp_time now)
{
  if (!gt_server_eligible (g, s, q))
    return false;
  if (gt_server_is_cold (s, now)
      && !st_pace_open (&s->pace, gt_server_cold_rate (s), g->daemons, now))
    return false;
  switch (st_health_state (&s->health, now))
    {
    case ST_HEALTH_UP:
      return true;
    case ST_HEALTH_PROBE:
      /* A request that may run once is no probe.  */
      return q->idempotent;
    case ST_HEALTH_EJECTED:
    case ST_HEALTH_PROBING:
      break;
    }
  return false;
}
