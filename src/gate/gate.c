#include "gate/gate.h"

#include <assert.h>
#include <stdlib.h>

#include "base/log.h"
#include "forward/client.h"
#include "front/server.h"

#define PART "gate"

/* Interval of the checks whether a graceful shutdown is complete.  Callers
   that have looked up this daemon before the shutdown can connect until the
   cached look-up expires; only then does the front stop accepting
   connections.  */
#define STOP_CHECK_PERIOD (50 * ZP_MS)

/* The daemon stops at the latest this long before the process would be killed,
   even if requests are still in progress.  */
#define STOP_RESERVE (700 * ZP_MS)

/* Maximum bytes of a request body while no site gives one.  */
#define BODY_MAX ((size_t) 16 * 1024 * 1024)

/* A limit of time is enforced this much later, so that a caller within it whose
   bytes are under way is not cut off.  */
#define LIMIT_MARGIN ZP_SEC

/* Idle time after which a caller's connection is closed.  Callers reuse a
   connection for up to four fifths of their idle limit, so that closing it
   later than the limit never hits a request in transit.  */
#define IDLE_MAX (60 * ZP_SEC)

/* Timers.  */

void
gt_start_timer (struct gt_gate *g)
{
  if (ev_is_active (&g->timer))
    return;
  ev_timer_set (&g->timer, (double) GT_QUEUE_PERIOD / ZP_SEC, 0.0);
  ev_timer_start (g->loop->ev, &g->timer);
}

/* Requests that are not answered, or whose answer is not sent in full.  */
static size_t
count_unfinished (const struct gt_gate *g)
{
  return g->requests.len + fr_server_pending (g->front);
}

/* Continues a graceful shutdown; completes it when all requests are answered
   or the time is up.  */
static void
check_stop (struct gt_gate *g, zp_time now)
{
  switch (st_stop_step (&g->stop, now, count_unfinished (g)))
    {
    case ST_STOP_NOT_BEGUN:
    case ST_STOP_LISTENING:
      return;
    case ST_STOP_DRAINING:
      fr_server_quiesce (g->front);
      return;
    case ST_STOP_ANSWERING:
      gt_quotas_refuse_all (g);
      gt_dispatch_refuse_queues (g);
      return;
    case ST_STOP_OVER:
      break;
    }
  zp_log (ZP_LOG_NOTICE, PART,
          "shutdown complete, %zu requests still in progress",
          count_unfinished (g));
  g->complete = true;
  g->stopped (g->stopped_self);
}

static void
on_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  struct gt_gate *g = w->data;

  (void) ev;
  (void) events;
  gt_dispatch_tick (g);
  if (!g->stop.begun || g->complete)
    return;
  check_stop (g, zp_clock_mono ());
  if (!ev_is_active (&g->timer))
    {
      ev_timer_set (&g->timer, (double) STOP_CHECK_PERIOD / ZP_SEC, 0.0);
      ev_timer_start (g->loop->ev, &g->timer);
    }
}

static void
on_work_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  struct gt_gate *g = w->data;
  zp_time now = zp_clock_mono ();

  (void) ev;
  (void) events;
  gt_server_send_work (g);
  if (now - g->expired_at < GT_EXPIRE_PERIOD)
    return;
  g->expired_at = now;
  gt_server_expire (g, now);
}

/* Readiness and shutdown.  */

static bool
is_ready (const struct gt_gate *g)
{
  return g->site && !g->stop.begun;
}

struct tk_daemon
gt_gate_describe (const struct gt_gate *g)
{
  const struct gt_settings *s = g->settings;
  struct tk_daemon d = { .kind = TK_DAEMON_ENTRY,
                         .id = s->id,
                         .ready = is_ready (g),
                         .leaving = g->stop.begun };

  zp_str_copy (d.name, sizeof d.name, s->name);
  zp_str_copy (d.address, sizeof d.address, s->front);
  zp_str_copy (d.failure_domain, sizeof d.failure_domain, s->failure_domain);
  zp_str_copy (d.region, sizeof d.region, s->region);
  return d;
}

static void
announce_self (struct gt_gate *g)
{
  struct tk_msg *m = tk_msg_new (TK_DAEMON);

  m->u.daemon = gt_gate_describe (g);
  tk_send (g->roster, m);
}

static void
begin_shutdown (struct gt_gate *g)
{
  if (g->stop.begun)
    return;
  zp_log (ZP_LOG_NOTICE, PART,
          "shutting down: look-ups no longer name this daemon");
  st_stop_begin (&g->stop, zp_clock_mono (), g->settings->lookup_ttl,
                 g->settings->grace - STOP_RESERVE);
  announce_self (g);
  fr_server_drain (g->front);
  gt_start_timer (g);
}

/* Messages.  */

static void
answer_metrics (const struct tk_http_request *q)
{
  struct tk_msg *m = tk_msg_new (TK_HTTP_ANSWER);

  m->u.answer.id = q->id;
  m->u.answer.status = 200;
  zp_buf_put (&m->u.answer.content_type, ZP_STR ("text/plain; version=0.0.4"));
  zp_counter_text (&m->u.answer.body);
  tk_send (q->from, m);
}

static void
answer_ready (struct gt_gate *g, const struct tk_http_request *q)
{
  struct tk_msg *m = tk_msg_new (TK_HTTP_ANSWER);

  m->u.answer.id = q->id;
  m->u.answer.status = is_ready (g) ? 200 : 503;
  zp_buf_put (&m->u.answer.content_type, ZP_STR ("application/json"));
  zp_buf_printf (&m->u.answer.body, "{\"ready\":%s}\n",
                 is_ready (g) ? "true" : "false");
  tk_send (q->from, m);
}

static void
on_request (struct gt_gate *g, struct tk_msg *m)
{
  if (m->u.request.from != fr_server_task (g->ready))
    {
      gt_request_start (g, m);
      return;
    }
  if (zp_str_eq (zp_str_of (&m->u.request.path), ZP_STR ("/metrics")))
    answer_metrics (&m->u.request);
  else
    answer_ready (g, &m->u.request);
  tk_msg_free (m);
}

static void
update_retry_terms (struct gt_gate *g)
{
  g->retry_terms = st_budget_share (g->settings->retry_ratio,
                                    g->settings->retry_slack, g->daemons);
}

/* Applies a count of the entry daemons; see GT_DAEMONS_HOLD.  */
static void
update_daemons (struct gt_gate *g, unsigned entries)
{
  zp_time now = zp_clock_mono ();

  if (entries < g->daemons && now - g->daemons_reported < GT_DAEMONS_HOLD)
    return;
  g->daemons = entries;
  g->daemons_reported = now;
  update_retry_terms (g);
}

static zp_time
with_margin (zp_time limit)
{
  return limit > 0 ? limit + LIMIT_MARGIN : 0;
}

/* Has the front enforce the limits of the site in force.  A body larger than
   all bodies together can be is too large.  */
static void
apply_limits (struct gt_gate *g)
{
  const struct si_limits *l = &g->site->limits;
  struct fr_limits limits
      = { .head_max = l->head_max,
          .body_max = l->body_max > 0 ? l->body_max : BODY_MAX,
          .head_time_max = with_margin (l->head_timeout),
          .idle_max = with_margin (l->idle_timeout) };

  if (limits.body_max > ZP_BODIES_MAX)
    limits.body_max = ZP_BODIES_MAX;
  fr_server_set_limits (g->front, &limits);
}

static void
apply_config (struct gt_gate *g, const struct tk_config *c)
{
  bool before = is_ready (g);

  gt_config_apply (g, c);
  if (g->site)
    apply_limits (g);
  if (is_ready (g) != before)
    announce_self (g);
}

static void
on_message (void *self, struct tk_msg *m)
{
  struct gt_gate *g = self;

  switch (m->kind)
    {
    case TK_HTTP_REQUEST:
      on_request (g, m);
      return;
    case TK_CALLER_LEFT:
      gt_request_cancel (g, m->u.caller_left.id);
      break;
    case TK_FORWARD_DONE:
      gt_dispatch_attempt_done (g, m);
      break;
    case TK_CONFIG:
      apply_config (g, &m->u.config);
      break;
    case TK_SERVER:
      gt_server_update (g, &m->u.server);
      break;
    case TK_RENEWALS:
      gt_server_renew (g, &m->u.renewals);
      break;
    case TK_ENTRY_COUNT:
      update_daemons (g, m->u.entry_count.entries);
      break;
    case TK_LOSS:
      st_crash_note (&g->crash_suspects, m->u.loss.fingerprint,
                     m->u.loss.server, zp_clock_mono ());
      break;
    case TK_WORK:
      gt_server_receive_work (g, &m->u.work);
      break;
    case TK_QUOTA_GRANT:
      gt_quotas_grant (g, &m->u.quota_grant);
      break;
    case TK_SEEDS:
      tk_send (g->roster, m);
      return;
    case TK_STOP:
      begin_shutdown (g);
      break;
    case TK_CONFIG_REQUEST:
    case TK_CONFIG_FRESH:
      break;
    default:
      assert (!"the gate does not handle this message");
    }
  tk_msg_free (m);
}

/* Set-up.  */

static struct fr_server *
open_front (struct gt_gate *g, struct zp_str address, size_t body_max,
            struct zp_err *err)
{
  const struct fr_options o = { .address = address,
                                .decider = &g->task,
                                .names = g->interface->names,
                                .idle_max = IDLE_MAX,
                                .body_max = body_max };

  return fr_server_open_with (g->loop, &o, err);
}

struct gt_gate *
gt_gate_open (struct tk_loop *l, const struct gt_settings *s,
              const struct gt_interface *i, struct zp_err *err)
{
  struct gt_gate *g = zp_alloc (sizeof *g);

  g->loop = l;
  g->settings = s;
  g->interface = i;
  g->daemons = 1;
  update_retry_terms (g);
  if (!s->first_start)
    gt_server_note_loss (g);
  st_egress_init (&g->egress, s->link_mbps);
  zp_rng_seed_os (&g->rng);
  tk_task_init (&g->task, l, on_message, g);
  ev_timer_init (&g->timer, on_timer, 0.0, 0.0);
  g->timer.data = g;
  ev_timer_init (&g->work_timer, on_work_timer,
                 (double) GT_WORK_PERIOD / ZP_SEC,
                 (double) GT_WORK_PERIOD / ZP_SEC);
  g->work_timer.data = g;
  gt_quotas_init (g);
  g->front = open_front (g, s->front, BODY_MAX, err);
  /* Readiness checks have no body.  */
  g->ready = g->front ? open_front (g, s->ready, 0, err) : NULL;
  if (g->ready)
    {
      ev_timer_start (l->ev, &g->work_timer);
      return g;
    }
  gt_gate_close (g);
  return NULL;
}

/* Frees the requests in progress without an answer; the front task closes
   their connections.  */
static void
drop_requests (struct gt_gate *g)
{
  struct gt_request *q;
  uint32_t at = 0;

  while ((q = zp_slots_next (&g->requests, &at)))
    gt_request_discard (q);
  zp_slots_free (&g->requests);
}

void
gt_gate_close (struct gt_gate *g)
{
  if (!g)
    return;
  ev_timer_stop (g->loop->ev, &g->timer);
  ev_timer_stop (g->loop->ev, &g->work_timer);
  gt_quotas_free (g);
  fr_server_close (g->front);
  fr_server_close (g->ready);
  tk_task_free (&g->task);
  drop_requests (g);
  for (size_t i = 0; i < g->servers; i++)
    free (g->server[i]);
  free (g->server);
  free (g->choice_server);
  free (g->choice_candidate);
  free (g->domain_rtt);
  zp_idmap_free (&g->by_front_id);
  ro_table_free (&g->table);
  gt_config_free (g);
  free (g);
}
