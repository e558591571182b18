#include "entry/router.h"

#include <assert.h>
#include <stdlib.h>

#include "base/log.h"
#include "entry/answer.h"
#include "entry/request.h"
#include "wire/frame.h"

#define PART "router"

void
en_send (struct en_router *r, uint64_t member, uint8_t kind,
         struct zp_buf payload)
{
  struct tk_msg *m = tk_msg_new (TK_PEER_SEND);

  m->u.frame.peer = member;
  m->u.frame.kind = kind;
  m->u.frame.payload = payload;
  tk_send (r->peers, m);
}

/* Messages.  */

static void
on_http (struct en_router *r, struct tk_msg *m)
{
  const struct tk_http_request *q = &m->u.request;
  struct zp_str path = zp_str_of (&q->path);

  if (!zp_str_starts (path, ZP_STR ("/v1/"))
      && !zp_str_eq (path, ZP_STR ("/metrics")))
    {
      en_request_start (r, m);
      return;
    }
  if (zp_str_eq (path, ZP_STR ("/v1/lookup")))
    en_lookup (r, q);
  else if (zp_str_eq (path, ZP_STR ("/v1/announce")))
    en_announce (r, q);
  else if (zp_str_eq (path, ZP_STR ("/v1/status")))
    en_status (r, q->id);
  else if (zp_str_eq (path, ZP_STR ("/v1/explain")))
    en_explain (r, q);
  else if (zp_str_eq (path, ZP_STR ("/metrics")))
    en_metrics (r, q->id);
  else
    en_refuse (r->front, q->id, 404, ZP_NOT_RUN, "unknown-path", 0);
  tk_msg_free (m);
}

static void
on_frame (struct en_router *r, const struct tk_peer_frame *f)
{
  switch (f->kind)
    {
    case WI_SERVER_VIEW:
    case WI_LEASE_ASK:
    case WI_LEASE_GRANT:
    case WI_LEASE_RETURN:
    case WI_HANDOVER:
      en_capacity_frame (r, f);
      if (f->kind == WI_LEASE_GRANT)
        for (size_t i = 0; i < r->services; i++)
          en_dispatch (r, r->service[i]);
      return;
    case WI_LINK_REPORT:
    case WI_LINK_ASK:
    case WI_LINK_GRANT:
      en_links_frame (r, f);
      return;
    case WI_CLAIM:
    case WI_CLAIM_ANSWER:
    case WI_RECORD:
    case WI_SEAL:
      en_claims_frame (r, f);
      return;
    case WI_POISON:
      en_suspects_frame (r, f);
      return;
    default:
      zp_count (zp_counter ("zp_peer_unknown_frames_total", ""), 1);
      return;
    }
}

static void
on_peer_change (struct en_router *r, const struct tk_peer_change *c, bool up)
{
  struct en_member *e = en_members_change (&r->members, c, up);

  if (!e)
    return;
  en_members_changed (r);
  if (!up)
    return;
  /* The member may have missed reports of suspect requests.  */
  if (zp_str_eq (zp_str_from (e->region), r->settings->region))
    {
      st_poison_export (r->poison, e->id, zp_clock_mono ());
      en_suspects_flush (r);
    }
  en_capacity_send_summary (r, true);
}

static void
start_shutdown (struct en_router *r)
{
  if (r->stop.begun)
    return;
  zp_log (ZP_LOG_NOTICE, PART,
          "shutting down: look-ups no longer name this daemon");
  st_stop_begin (&r->stop, zp_clock_mono (), ZP_LOOKUP_TTL, ZP_STOP_TIMEOUT);
  r->members.item[0].leaving = true;
  en_members_changed (r);
  tk_send (r->peers, tk_msg_new (TK_STOP));
  en_capacity_hand_over_all (r);
  en_capacity_send_summary (r, true);
}

static void
on_message (void *self, struct tk_msg *m)
{
  struct en_router *r = self;

  switch (m->kind)
    {
    case TK_HTTP_REQUEST:
      on_http (r, m);
      return;
    case TK_CALLER_LEFT:
      en_request_caller_left (r, m->u.caller_left.id);
      break;
    case TK_FORWARD_DONE:
      en_request_attempt_done (r, m);
      break;
    case TK_PEER_FRAME:
      on_frame (r, &m->u.frame);
      break;
    case TK_PEER_UP:
    case TK_PEER_DOWN:
      on_peer_change (r, &m->u.peer, m->kind == TK_PEER_UP);
      break;
    case TK_CONFIG:
      en_config_apply (r, &m->u.config);
      break;
    case TK_CONFIG_REQUEST:
      en_config_send_whole (r, r->follower);
      en_config_send_whole (r, r->relay);
      break;
    case TK_FOLLOW_REPORT:
      /* From a follower of this relay, for the control daemons.  */
      tk_send (r->follower, m);
      return;
    case TK_CONFIG_FRESH:
      r->fresh = m->u.config_fresh.fresh;
      if (r->relay)
        {
          tk_send (r->relay, m);
          return;
        }
      break;
    case TK_STOP:
      start_shutdown (r);
      break;
    default:
      assert (!"message kind that the router does not handle");
    }
  tk_msg_free (m);
}

/* Timer and graceful shutdown.  */

/* Requests without an answer, or still running at a backend server.  */
static size_t
count_unfinished (const struct en_router *r)
{
  struct en_request *q;
  uint32_t at = 0;
  size_t n = 0;

  while ((q = zp_slots_next (&r->requests, &at)))
    n += !q->answered || q->phase == EN_RUNNING;
  return n;
}

/* Callers may use a cached look-up for ZP_LOOKUP_TTL, so the front task
   accepts connections for that time.  Requests in progress may run until
   ZP_STOP_TIMEOUT.  Both times count from the start of the shutdown.  */
static void
shutdown_step (struct en_router *r, zp_time now)
{
  size_t left = count_unfinished (r);

  switch (st_stop_step (&r->stop, now, left))
    {
    case ST_STOP_NOT_BEGUN:
    case ST_STOP_LISTENING:
      return;
    case ST_STOP_DRAINING:
      tk_send (r->front, tk_msg_new (TK_STOP));
      return;
    case ST_STOP_ANSWERING:
      en_dispatch_refuse_waiting (r);
      return;
    case ST_STOP_OVER:
      break;
    }
  zp_log (ZP_LOG_NOTICE, PART,
          "shutdown complete, %zu requests still in progress", left);
  en_capacity_return_all (r);
  r->complete = true;
  r->stopped (r->stopped_self);
}

static void
on_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  struct en_router *r = w->data;
  zp_time now = zp_clock_mono ();

  (void) ev;
  (void) events;
  en_capacity_step (r);
  en_dispatch_tick (r);
  en_claims_tick (r);
  en_shifts_tick (r);
  en_links_tick (r);
  en_capacity_send_summary (r, false);
  if (!r->complete)
    shutdown_step (r, now);
}

/* Set-up.  */

static void
add_self (struct en_router *r)
{
  struct en_member *e = en_members_get (&r->members, r->id);

  e->live = true;
  e->incarnation = r->incarnation;
  zp_str_copy (e->http, sizeof e->http, r->settings->http);
  zp_str_copy (e->failure_domain, sizeof e->failure_domain,
               r->settings->failure_domain);
  zp_str_copy (e->region, sizeof e->region, r->settings->region);
  e->ref = oc_member_self (r->claims, zp_clock_mono ());
}

struct en_router *
en_router_open (struct tk_loop *l, const struct en_settings *s,
                uint64_t incarnation)
{
  struct en_router *r = zp_alloc (sizeof *r);
  zp_time now = zp_clock_mono ();

  r->loop = l;
  r->settings = s;
  r->id = (uint64_t) s->id;
  r->incarnation = incarnation;
  zp_rng_seed_os (&r->rng);
  r->view.self = r->id;
  st_lessor_init (&r->lessor, r->id, incarnation, now);
  st_holder_init (&r->holder, r->id, incarnation);
  r->poison = st_poison_new (r->id, ZP_CALLER_CONNECTIONS);
  struct oc_member_conf conf = { .id = r->id,
                                 .incarnation = incarnation,
                                 .limit = ZP_ONCE_MEMBER_BYTES };
  conf.hash_seed = (uint64_t) zp_rng_below (&r->rng, UINT32_MAX) << 32
                   | zp_rng_below (&r->rng, UINT32_MAX);
  r->claims = oc_member_new (&conf, now);
  add_self (r);
  en_members_changed (r);
  tk_task_init (&r->task, l, on_message, r);
  ev_timer_init (&r->timer, on_timer, 0.0, (double) EN_TICK / ZP_SEC);
  r->timer.data = r;
  ev_timer_start (l->ev, &r->timer);
  return r;
}

/* Frees the remaining requests without an answer; the front task closes their
   connections.  */
static void
drop_requests (struct en_router *r)
{
  struct en_request *q;
  uint32_t at = 0;

  while ((q = zp_slots_next (&r->requests, &at)))
    {
      oc_attempt_free (q->attempt);
      tk_msg_free (q->msg);
      free (q);
    }
  zp_slots_free (&r->requests);
}

void
en_router_close (struct en_router *r)
{
  if (!r)
    return;
  ev_timer_stop (r->loop->ev, &r->timer);
  tk_task_free (&r->task);
  drop_requests (r);
  for (size_t i = 0; i < r->services; i++)
    {
      st_queue_free (r->service[i]->queue);
      free (r->service[i]);
    }
  for (size_t i = 0; i < r->servers.len; i++)
    free (r->servers.item[i]);
  free (r->servers.item);
  free (r->service);
  en_workspaces_free (&r->workspaces);
  zp_idmap_free (&r->by_http);
  en_shifts_free (r);
  en_links_free (r);
  st_drains_free (&r->drains);
  st_poison_free (r->poison);
  oc_member_free (r->claims);
  st_lessor_free (&r->lessor);
  st_holder_free (&r->holder);
  st_view_free (&r->view);
  st_lookup_free (r->lookup);
  en_members_free (&r->members);
  en_plan_free (r->plan);
  ti_config_free (r->config);
  free (r);
}
