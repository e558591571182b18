#include <stdlib.h>

#include "base/log.h"
#include "entry/router.h"
#include "steer/lease-table.h"

#define PART "config"

/* Below one second, so that reports are at most a second apart even when the
   timer is late.  */
#define REPORT_PERIOD (800 * ZP_MS)

/* Service time that the queue of a new service assumes until the first request
   has been answered.  */
#define SERVICE_TIME_INITIAL (20 * ZP_MS)

/* Services.  */

static struct en_service *
service_new (struct zp_str name, const struct ti_service *t)
{
  struct en_service *s = zp_alloc (sizeof *s);
  char labels[ZP_NAME_MAX + 16];

  zp_str_copy (s->name, sizeof s->name, name);
  snprintf (labels, sizeof labels, "service=\"%s\"", s->name);
  s->queue = st_queue_new (t->queue_max, SERVICE_TIME_INITIAL);
  st_budget_init (&s->budget, &st_budget_default);
  s->requests = zp_counter ("zp_requests_total", labels);
  s->answered = zp_counter ("zp_answered_total", labels);
  s->refused = zp_counter ("zp_refused_not_run_total", labels);
  s->may_have_run = zp_counter ("zp_refused_may_have_run_total", labels);
  s->retries = zp_counter ("zp_retries_total", labels);
  return s;
}

struct en_service *
en_service_find (struct en_router *r, struct zp_str name)
{
  for (size_t i = 0; i < r->services; i++)
    if (zp_str_eq (zp_str_from (r->service[i]->name), name))
      return r->service[i];
  return NULL;
}

/* Updates the service table from the configuration.  A service that is no
   longer in it keeps its state, because requests of it may still be in
   progress.  */
static void
update_services (struct en_router *r)
{
  const struct ti_slot *slot;
  size_t at = 0;

  for (size_t i = 0; i < r->services; i++)
    r->service[i]->settings = NULL;
  while ((slot = ti_config_next (r->config, TI_SERVICE, &at)))
    {
      struct zp_str name = ti_text_str (&slot->key.name);
      const struct ti_service *t = &slot->object->u.service;
      struct en_service *s = en_service_find (r, name);
      if (!s)
        {
          s = service_new (name, t);
          r->service
              = zp_realloc (r->service, (r->services + 1) * sizeof (void *));
          r->service[r->services++] = s;
        }
      s->settings = t;
    }
}

/* Members and drains.  */

static void
put_view_member (struct en_router *r, const struct en_member *e)
{
  struct st_member m = { .id = e->id, .live = e->live };
  char name[24];

  zp_str_copy (m.failure_domain, sizeof m.failure_domain,
               zp_str_from (e->failure_domain));
  zp_str_copy (m.region, sizeof m.region, zp_str_from (e->region));
  zp_str_copy (m.address, sizeof m.address, zp_str_from (e->http));
  m.stopping = e->leaving
               || st_drains_name_entry (&r->drains, en_member_name (e, name));
  st_view_put (&r->view, &m);
}

static void
update_latencies (struct en_router *r)
{
  const struct st_topology *t = &r->plan->topology;

  for (size_t i = 0; i < t->regions; i++)
    for (size_t k = 0; k < t->regions; k++)
      st_view_put_latency (&r->view, r->plan->region[i], r->plan->region[k],
                           t->latency[i * t->regions + k]);
}

void
en_drains_apply (struct en_router *r)
{
  char name[24];
  struct st_drain_self self
      = { .entry = en_member_name (&r->members.item[0], name),
          .failure_domain = r->settings->failure_domain,
          .region = r->settings->region };

  st_drains_apply (&r->drains, &r->lessor, &self);
}

/* Replaces the drains.  One that was in force before keeps its start time.  */
static void
update_drains (struct en_router *r)
{
  struct st_drains next = { .len = 0 };

  en_plan_drains (r->plan, &next);
  for (size_t i = 0; i < next.len; i++)
    {
      next.item[i].since = zp_clock_mono ();
      for (size_t k = 0; k < r->drains.len; k++)
        if (next.item[i].kind == r->drains.item[k].kind
            && zp_str_eq (zp_str_from (next.item[i].name),
                          zp_str_from (r->drains.item[k].name)))
          next.item[i].since = r->drains.item[k].since;
    }
  st_drains_free (&r->drains);
  r->drains = next;
  en_drains_apply (r);
}

void
en_members_changed (struct en_router *r)
{
  for (size_t i = 0; i < r->members.len; i++)
    put_view_member (r, &r->members.item[i]);
  en_suspects_members (r);
  if (!r->plan)
    return;
  st_lookup_free (r->lookup);
  r->lookup = en_members_lookup (&r->members, r->plan, &r->drains);
}

/* Configurations.  */

/* Fills the counts of OUT for the servers that announce to this daemon and
   that it may lend.  A server that it has not used yet adds no warm slots.  */
static void
report_servers (struct en_router *r, struct tk_follow_report *out, zp_time now)
{
  double warm = 0;

  for (size_t i = 0; i < r->lessor.owner.servers; i++)
    {
      const struct st_server *s = r->lessor.owner.server[i];
      if (!st_server_grantable (s, now))
        continue;
      const struct en_server *x
          = en_server_find (r, zp_str_hash (zp_str_from (s->id), 0));
      out->servers++;
      out->slots += s->slots;
      out->free += st_server_free_slots (s);
      if (!x)
        continue;
      if (st_health_state (&x->health, now) == ST_HEALTH_UP)
        warm += s->slots * st_health_ramp (&x->health, now);
      else
        out->ejected++;
    }
  out->warm = (uint32_t) warm;
}

/* Reports the configuration in force and the servers of this daemon to the
   control daemons.  */
void
en_config_report (struct en_router *r)
{
  zp_time now = zp_clock_mono ();

  if (!r->config || !r->follower)
    return;
  struct tk_msg *m = tk_msg_new (TK_FOLLOW_REPORT);
  m->u.follow_report = (struct tk_follow_report){
    .daemon = r->id, .version = r->config->index, .number = r->config->number
  };
  zp_str_copy (m->u.follow_report.failure_domain,
               sizeof m->u.follow_report.failure_domain,
               r->settings->failure_domain);
  report_servers (r, &m->u.follow_report, now);
  tk_send (r->follower, m);
  r->report_at = now + REPORT_PERIOD;
}

static void
send_to_relay (struct en_router *r, const struct tk_config *c)
{
  if (!r->relay)
    return;
  struct tk_msg *m = tk_msg_new (TK_CONFIG);
  m->u.config = *c;
  m->u.config.bytes = zp_buf_from (zp_str_of (&c->bytes));
  tk_send (r->relay, m);
}

/* Hands over all servers when this entry daemon is drained.  */
static void
hand_over_if_drained (struct en_router *r)
{
  char name[24];

  if (st_drains_name_entry (&r->drains,
                            en_member_name (&r->members.item[0], name)))
    en_capacity_hand_over_all (r);
}

void
en_config_apply (struct en_router *r, struct tk_config *c)
{
  struct zp_err err = { .code = ZP_OK };
  struct ti_config *next = ti_config_from_update (r->config, c->whole,
                                                  zp_str_of (&c->bytes), &err);
  struct en_plan *plan = next ? en_plan_build (next, r->plan, &err) : NULL;

  if (!plan)
    {
      /* Control daemons of a newer version may use objects that this daemon
         does not know.  It keeps its current configuration.  */
      ZP_EVENT (ZP_LOG_ERR, PART,
                "a new configuration is not valid; the old one stays",
                ZP_F_INT (ZP_KEY_VERSION, c->version),
                ZP_F_TEXT (ZP_KEY_REASON, zp_str_from (err.text)));
      zp_count (zp_counter ("zp_config_failed_total", ""), 1);
      ti_config_free (next);
      return;
    }
  bool first = !r->plan;
  en_plan_free (r->plan);
  ti_config_free (r->config);
  r->config = next;
  r->plan = plan;
  r->term = c->term;
  update_services (r);
  en_workspaces_update (&r->workspaces, plan, r->id, zp_clock_mono ());
  update_latencies (r);
  update_drains (r);
  en_shifts_update (r, first);
  en_links_update (r);
  en_members_changed (r);
  hand_over_if_drained (r);
  zp_gauge (zp_counter ("zp_config_number", ""), (int64_t) c->number);
  ZP_EVENT (ZP_LOG_NOTICE, PART, "a configuration is in force",
            ZP_F_INT (ZP_KEY_CONFIGURATION, c->number),
            ZP_F_INT (ZP_KEY_VERSION, c->version));
  en_config_report (r);
  send_to_relay (r, c);
}

void
en_config_send_whole (struct en_router *r, struct tk_task *to)
{
  if (!to || !r->config)
    return;
  struct tk_msg *m = tk_msg_new (TK_CONFIG);
  m->u.config = (struct tk_config){ .version = r->config->index,
                                    .number = r->config->number,
                                    .term = r->term,
                                    .whole = true };
  ti_config_encode (r->config, &m->u.config.bytes);
  tk_send (to, m);
}
