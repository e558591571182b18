#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "gate/gate.h"

#define PART "server"

/* Round-trip times that are assumed until a connection has been measured.  */
#define RTT_SAME_DOMAIN (1 * ZP_MS)
#define RTT_SAME_REGION (4 * ZP_MS)
#define RTT_OTHER_REGION (100 * ZP_MS)

/* A measurement above the estimate raises it by a 32nd of the difference.  */
#define RTT_INCREASE_DIVISOR 32

/* Number of answers after which the moving average of a server is used.  */
#define MEAN_TIME_ANSWERS_MIN 3

/* A server counts as slow when its mean service time is at least this many
   times that of its service.  Smaller differences mean nothing, because
   requests whose data a server has cached take a third of the time of
   others.  */
#define SLOW_FACTOR 2

/* A sample that comes a second time, through another control daemon, can look
   newer by its time in transit, which is not in its age.  In a region this is 1
   to 3 ms for each of up to three messages.  */
#define SAMPLE_TRANSIT (10 * ZP_MS)

/* Turns the upper 53 bits of a hash into a fraction from 0 to below 1.  */
#define HASH_UNIT 0x1p-53

/* Round-trip times.  */

/* The estimate for DOMAIN; adds it when it is missing.  Failure domains beyond
   GT_DOMAINS_MAX share the last one.  */
static struct gt_domain_rtt *
find_domain_rtt (struct gt_gate *g, const char *domain)
{
  for (size_t i = 0; i < g->domain_rtts; i++)
    if (strcmp (g->domain_rtt[i].failure_domain, domain) == 0)
      return &g->domain_rtt[i];
  if (g->domain_rtts == GT_DOMAINS_MAX)
    return &g->domain_rtt[GT_DOMAINS_MAX - 1];
  g->domain_rtt = zp_realloc (g->domain_rtt,
                              (g->domain_rtts + 1) * sizeof *g->domain_rtt);
  struct gt_domain_rtt *d = &g->domain_rtt[g->domain_rtts++];
  *d = (struct gt_domain_rtt){ .rtt = RTT_OTHER_REGION };
  zp_str_copy (d->failure_domain, sizeof d->failure_domain,
               zp_str_from (domain));
  if (zp_str_eq (zp_str_from (domain), g->settings->failure_domain))
    d->rtt = RTT_SAME_DOMAIN;
  else if (zp_str_eq (gt_settings_region (g->settings, zp_str_from (domain)),
                      g->settings->region))
    d->rtt = RTT_SAME_REGION;
  return d;
}

void
gt_server_note_rtt (struct gt_gate *g, struct gt_server *s, zp_time rtt)
{
  struct gt_domain_rtt *d = find_domain_rtt (g, s->report.failure_domain);

  /* Connecting can take longer because a server or link is busy, so the
     estimate follows the smallest measurement and rises slowly.  */
  d->rtt = rtt < d->rtt ? rtt : d->rtt + (rtt - d->rtt) / RTT_INCREASE_DIVISOR;
  for (size_t i = 0; i < g->servers; i++)
    if (strcmp (g->server[i]->report.failure_domain, d->failure_domain) == 0)
      g->server[i]->rtt = d->rtt;
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
  s->started_at = now;
  s->service = gt_service_find (g, zp_str_from (report->service));
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

/* Marks S cold up to UNTIL, unless it is already cold for longer.  The rate
   limit of a server that was warm starts anew, without requests saved up from
   an earlier time, and at a phase that differs between daemons.  */
static void
set_cold_until (struct gt_gate *g, struct gt_server *s, zp_time until,
                zp_time now)
{
  if (until <= s->cold_until)
    return;
  if (!gt_server_is_cold (s, now))
    {
      uint64_t hash = zp_str_hash (g->settings->name, s->hash);
      st_throttle_start (&s->cold_limit, gt_server_cold_rate (s), g->daemons,
                         (double) (hash >> 11) * HASH_UNIT, now);
    }
  s->cold_until = until;
}

/* S was restarted: discards what was learned about the instance before.  */
static void
reset_server (struct gt_gate *g, struct gt_server *s, const char *service)
{
  unsigned own = s->load.own;
  zp_time now = zp_clock_mono ();

  st_health_remove (&s->health, &s->service->group);
  s->service = gt_service_find (g, zp_str_from (service));
  st_health_add (&s->health, &s->service->group, now);
  s->started_at = now;
  s->sampled_at = 0;
  s->load = (struct st_balance_load){ .own = own };
  s->mean_time = 0;
  s->paused_until = 0;
  st_warm_clear (&s->recent_objects);
  s->answers = 0;
}

void
gt_server_apply (struct gt_gate *g, const struct ro_server *x, bool started)
{
  uint64_t hash = zp_str_hash (zp_str_from (x->report.id), 0);
  struct gt_server *s = gt_server_find (g, hash);

  if (!s)
    s = server_new (g, &x->report, hash);
  else if (started)
    reset_server (g, s, x->report.service);
  if (s->report.state == TK_SERVER_READY && x->report.state != TK_SERVER_READY)
    gt_server_note_loss (g);
  s->report = x->report;
  uint64_t address_hash = s->address_hash;
  s->address_hash = zp_str_hash (zp_str_from (s->report.address), 0);
  s->load.slots = x->report.slots;
  set_cold_until (g, s, x->cold_until, zp_clock_mono ());
  s->rtt = find_domain_rtt (g, x->report.failure_domain)->rtt;
  s->region = gt_region_number (
      g, gt_settings_region (g->settings,
                             zp_str_from (x->report.failure_domain)));
  s->evacuated = gt_config_is_evacuated (g, x->report.failure_domain);
  gt_owner_update (g, s->address_hash);
  if (address_hash != s->address_hash)
    gt_owner_update (g, address_hash);
  if (s->load.slots == 0 || s->report.state != TK_SERVER_GONE)
    return;
  ZP_EVENT (ZP_LOG_NOTICE, PART, "a server is gone",
            ZP_F_TEXT (ZP_KEY_SERVER, zp_str_from (s->report.id)),
            ZP_F_TEXT (ZP_KEY_SERVICE, zp_str_from (s->service->name)));
}

void
gt_server_update (struct gt_gate *g, const struct tk_server *report)
{
  struct ro_server *x;
  enum ro_table_result result
      = ro_table_update (&g->table, report, zp_clock_mono (), &x);

  switch (result)
    {
    case RO_OLD:
      return;
    case RO_FULL:
      zp_log (ZP_LOG_ERR, PART,
              "server %s is ignored: the table has the maximum of %d servers",
              report->id, RO_SERVERS_MAX);
      return;
    case RO_UNCHANGED:
    case RO_CHANGED:
    case RO_STARTED:
      break;
    }
  gt_server_apply (g, x, result == RO_STARTED);
  gt_dispatch_service (g,
                       gt_service_find (g, zp_str_from (x->report.service)));
}

void
gt_server_renew (struct gt_gate *g, const struct tk_renewals *r)
{
  zp_time now = zp_clock_mono ();
  struct ro_server *x;

  for (size_t i = 0; i < r->len; i++)
    if (ro_table_renew (&g->table, &r->item[i], now, &x) == RO_CHANGED)
      {
        gt_server_apply (g, x, false);
        gt_dispatch_service (
            g, gt_service_find (g, zp_str_from (x->report.service)));
      }
}

void
gt_server_replaced (struct gt_gate *g, struct gt_server *s)
{
  struct ro_server *x = ro_table_find (&g->table, zp_str_from (s->report.id));

  ZP_EVENT (ZP_LOG_NOTICE, PART, "another server is at the address",
            ZP_F_TEXT (ZP_KEY_SERVER, zp_str_from (s->report.id)),
            ZP_F_TEXT (ZP_KEY_SERVICE, zp_str_from (s->service->name)),
            ZP_F_TEXT (ZP_KEY_ADDRESS, zp_str_from (s->report.address)));
  s->report.state = TK_SERVER_GONE;
  gt_server_note_loss (g);
  if (x)
    ro_table_mark_left (x, zp_clock_mono ());
  gt_owner_update (g, s->address_hash);
}

void
gt_server_note_leaving (struct gt_gate *g, struct gt_server *s)
{
  struct ro_server *x = ro_table_find (&g->table, zp_str_from (s->report.id));

  if (x)
    ro_table_leave (x);
  if (s->report.state != TK_SERVER_READY)
    return;
  ZP_EVENT (ZP_LOG_NOTICE, PART, "an answer says that its server leaves",
            ZP_F_TEXT (ZP_KEY_SERVER, zp_str_from (s->report.id)),
            ZP_F_TEXT (ZP_KEY_SERVICE, zp_str_from (s->service->name)));
  s->report.state = TK_SERVER_DRAINING;
  gt_server_note_loss (g);
}

/* Requests in progress at the servers, and their loads.  */

enum st_balance_mode
gt_server_load_mode (const struct gt_gate *g)
{
  return g->shares_loads ? ST_BALANCE_WEIGHTED : ST_BALANCE_LARGER;
}

static void
note_pace (struct gt_gate *g, unsigned pace)
{
  if (pace == 0 || g->shares_loads)
    return;
  g->shares_loads = true;
  zp_log (ZP_LOG_NOTICE, PART, "loads are shared: servers state their pace");
}

void
gt_server_note_load (struct gt_gate *g, struct gt_server *s,
                     const struct tk_server_load *l, zp_time started,
                     zp_time now)
{
  const struct st_balance_sample sample = {
    .requests = l->running + l->waiting, .own = s->load.own, .pace = l->pace
  };

  note_pace (g, l->pace);
  /* Else the answer can be of the start before.  */
  if (g->shares_loads && started < s->started_at)
    return;
  st_balance_sample (&s->load, &sample, now);
  if (!g->shares_loads)
    return;
  s->sample = *l;
  s->sampled_at = now;
}

static int
cmp_load_age (const void *a, const void *b)
{
  const struct tk_work_load *x = a, *y = b;

  return x->age < y->age ? -1 : x->age > y->age;
}

/* Adds the samples of this daemon that were not sent yet, newest first.  Those
   that do not fit are left out: a daemon with more answers than 64 in a period
   has newer ones of these servers soon.  */
static void
put_loads (struct gt_gate *g, struct tk_work *w)
{
  zp_time now = zp_clock_mono ();

  w->load = zp_alloc ((g->servers + 1) * sizeof *w->load);
  for (size_t i = 0; i < g->servers; i++)
    {
      struct gt_server *s = g->server[i];
      zp_time at = s->sampled_at;
      s->sampled_at = 0;
      if (at == 0 || now - at >= RO_LOADS_TTL)
        continue;
      w->load[w->loads++] = (struct tk_work_load){
        .server = TK_WORK_TAG (s->hash),
        .requests = s->sample.running + s->sample.waiting,
        .pace = s->sample.pace,
        .age = now - at,
      };
    }
  qsort (w->load, w->loads, sizeof *w->load, cmp_load_age);
  if (w->loads > RO_LOADS_REPORT_MAX)
    w->loads = RO_LOADS_REPORT_MAX;
}

void
gt_server_send_work (struct gt_gate *g)
{
  struct tk_msg *m = tk_msg_new (TK_WORK);
  struct tk_work *w = &m->u.work;

  w->item = zp_alloc ((g->servers + 1) * sizeof *w->item);
  for (size_t i = 0; i < g->servers; i++)
    {
      struct gt_server *s = g->server[i];
      s->reported = s->load.own;
      if (s->reported > 0)
        w->item[w->len++]
            = (struct tk_work_item){ .server = TK_WORK_TAG (s->hash),
                                     .count = s->reported };
    }
  if (g->shares_loads)
    put_loads (g, w);
  tk_send (g->roster, m);
}

static int
cmp_work (const void *a, const void *b)
{
  const struct tk_work_item *x = a, *y = b;

  return x->server < y->server ? -1 : x->server > y->server;
}

static int
cmp_load (const void *a, const void *b)
{
  const struct tk_work_load *x = a, *y = b;

  return x->server < y->server ? -1 : x->server > y->server;
}

/* Takes the sample X of S, which another daemon has got.  It states the
   requests of all daemons.  Those of this one at that time are not known, so
   that the present number is subtracted.  */
static void
take_load (struct gt_server *s, const struct tk_work_load *x, zp_time now)
{
  const struct st_balance_sample sample = {
    .requests = x->requests, .own = s->load.own, .pace = x->pace, .age = x->age
  };
  zp_time at = now - x->age;

  if (x->age < RO_LOADS_TTL && at > s->started_at
      && (s->load.sampled == 0 || at > s->load.sampled + SAMPLE_TRANSIT))
    st_balance_sample (&s->load, &sample, now);
}

void
gt_server_receive_work (struct gt_gate *g, struct tk_work *w)
{
  zp_time now = zp_clock_mono ();

  for (size_t i = 0; i < w->loads; i++)
    note_pace (g, w->load[i].pace);
  if (w->loads > 0)
    qsort (w->load, w->loads, sizeof *w->load, cmp_load);
  for (size_t i = 0; i < g->servers; i++)
    {
      struct gt_server *s = g->server[i];
      const struct tk_work_item key = { .server = TK_WORK_TAG (s->hash) };
      const struct tk_work_load load_key = { .server = key.server };
      const struct tk_work_item *x
          = w->len > 0
                ? bsearch (&key, w->item, w->len, sizeof *w->item, cmp_work)
                : NULL;
      const struct tk_work_load *sample
          = w->loads > 0 ? bsearch (&load_key, w->load, w->loads,
                                    sizeof *w->load, cmp_load)
                         : NULL;
      unsigned all = x ? x->count : 0;
      s->load.region_others = all > s->reported ? all - s->reported : 0;
      s->load.region_at = now;
      if (sample && g->shares_loads)
        take_load (s, sample, now);
    }
}

void
gt_domain_mark_cold (struct gt_gate *g, const char *failure_domain,
                     zp_time now)
{
  for (size_t i = 0; i < g->servers; i++)
    {
      struct gt_server *s = g->server[i];
      if (strcmp (s->report.failure_domain, failure_domain) != 0
          || !s->service->settings)
        continue;
      set_cold_until (g, s, now + s->service->settings->warmup, now);
    }
}

/* Service times, regions, and suitability for a request.  */

zp_time
gt_service_mean_time (const struct gt_service *s)
{
  return st_queue_service_time (s->queue);
}

zp_time
gt_server_mean_time (const struct gt_server *s)
{
  zp_time mean = gt_service_mean_time (s->service);

  if (s->answers < MEAN_TIME_ANSWERS_MIN || s->mean_time < SLOW_FACTOR * mean)
    return mean;
  return s->mean_time;
}

static bool
was_tried (const struct gt_request *q, uint64_t hash)
{
  for (unsigned i = 0; i < q->attempts && i < GT_TRIED_MAX; i++)
    if (q->tried[i] == hash)
      return true;
  return false;
}

void
gt_server_note_services (struct gt_gate *g)
{
  zp_time now = zp_clock_mono ();

  for (size_t i = 0; i < g->servers; i++)
    {
      struct gt_server *s = g->server[i];
      struct gt_service *named
          = gt_service_find (g, zp_str_from (s->report.service));
      if (s->service != g->unnamed || named == s->service)
        continue;
      st_health_remove (&s->health, &s->service->group);
      s->service = named;
      st_health_add (&s->health, &named->group, now);
    }
}

void
gt_server_note_evacuations (struct gt_gate *g)
{
  for (size_t i = 0; i < g->servers; i++)
    g->server[i]->evacuated
        = gt_config_is_evacuated (g, g->server[i]->report.failure_domain);
}

size_t
gt_region_number (struct gt_gate *g, struct zp_str region)
{
  for (size_t i = 0; i < g->regions; i++)
    if (zp_str_eq (zp_str_from (g->region_name[i]), region))
      return i;
  if (g->regions == ST_SLEW_REGIONS - 1)
    return g->regions;
  zp_str_copy (g->region_name[g->regions], sizeof g->region_name[0], region);
  return g->regions++;
}

void
gt_server_note_loss (struct gt_gate *g)
{
  g->lost_at = zp_clock_mono ();
}

/* Whether the route and the workspace of Q allow the region of S.  */
static bool
in_home_region (const struct gt_gate *g, const struct gt_request *q,
                const struct gt_server *s)
{
  struct zp_str rest = zp_str_of (&q->home_regions), home;

  if (q->any_region)
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
         && s->report.slots > 0 && !s->displaced && !was_tried (q, s->hash)
         && in_home_region (g, q, s) && !s->evacuated
         && s->paused_until < q->deadline;
}

bool
gt_server_usable (const struct gt_gate *g, const struct gt_server *s,
                  const struct gt_request *q, zp_time now)
{
  if (!gt_server_eligible (g, s, q) || now < s->paused_until)
    return false;
  if (gt_server_is_cold (s, now)
      && !st_throttle_allows (&s->cold_limit, gt_server_cold_rate (s),
                              g->daemons, now))
    return false;
  switch (st_health_state (&s->health, now))
    {
    case ST_HEALTH_UP:
      return true;
    case ST_HEALTH_PROBE_DUE:
      /* Only idempotent requests are sent as probes.  */
      return q->idempotent;
    case ST_HEALTH_EJECTED:
    case ST_HEALTH_PROBING:
      break;
    }
  return false;
}
