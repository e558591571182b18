#include "control/control-state.h"

#include <assert.h>
#include <stdlib.h>

#include "base/log.h"
#include "control/calls.h"
#include "control/publish.h"
#include "control/reconcile.h"

#define PART "control"

#define TICK_PERIOD (100 * ZP_MS)

/* A follower that has had no contact with its leader for this long can be
   partitioned from it; heartbeats come every 150 ms.  */
#define CONTACT_MAX_AGE (500 * ZP_MS)

/* Longest shutdown.  Operators wait 1 s for an answer, and the platform kills
   a daemon that has not ended 6 s after its request to stop.  */
#define CONTROL_STOP_TIMEOUT (4 * ZP_SEC)

#define RECONCILE_PERIOD (1 * ZP_SEC)
#define SHIFT_PERIOD (1 * ZP_SEC)

struct ct_leadership
ct_control_leadership (struct ct_control *c)
{
  struct lg_status s = ct_replica_status (c->replica);

  if (c->settings->seeds.len > 0)
    return ct_leadership_by_port (&s, c->settings,
                                  ct_replica_members (c->replica),
                                  c->leader_http, sizeof c->leader_http);
  return ct_leadership_of (&s, c->settings, ti_store_config (c->store));
}

/* The configuration for entry daemons.  */

static void
send_fresh (const struct ct_control *c, struct tk_task *to)
{
  struct tk_msg *m = tk_msg_new (TK_CONFIG_FRESH);

  m->u.config_fresh
      = (struct tk_config_fresh){ .fresh = c->fresh, .leads = c->leads };
  tk_send (to, m);
}

void
ct_control_update_fresh (struct ct_control *c)
{
  struct lg_status s = ct_replica_status (c->replica);
  zp_time now = zp_clock_mono ();
  bool fresh = s.current && (s.lease || now - s.contact < CONTACT_MAX_AGE);
  bool leads
      = ct_quotas_update (&c->quotas, &s, ct_calls_document (c->store), now);

  if (!c->source || (fresh == c->fresh && leads == c->leads))
    return;
  c->fresh = fresh;
  c->leads = leads;
  send_fresh (c, fo_source_task (c->source));
  if (c->roster.source)
    send_fresh (c, ro_source_task (c->roster.source));
}

/* Rate limits.  */

/* Answers the ask on the connection that it came on.  The lease can have ended
   since the last tick, and the document can be a new one.  */
static void
answer_ask (struct ct_control *c, const struct tk_quota_ask *a)
{
  struct tk_msg *m = tk_msg_new (TK_QUOTA_GRANT);

  ct_control_update_fresh (c);
  if (!ct_quotas_answer (&c->quotas, a, zp_clock_mono (), &m->u.quota_grant))
    {
      tk_msg_free (m);
      return;
    }
  m->u.quota_grant.link = a->link;
  tk_send (ro_source_task (c->roster.source), m);
}

/* Timer.  */

/* On the leader, changes the members of the log one at a time until they match
   the tickets or, in a deployment with seeds, the connected control daemons.
 */
static void
reconcile (struct ct_control *c, zp_time now)
{
  struct lg_change change;

  if (c->settings->seeds.len > 0)
    {
      if (!ct_roster_step (&c->roster, c->settings, c->replica, now, &change)
          || c->member_change != 0)
        return;
      c->member_change = ++c->proposals;
      ct_replica_change_members (c->replica, c->member_change, &change);
      return;
    }
  if (c->member_change != 0 || now - c->reconciled_at < RECONCILE_PERIOD
      || ct_control_leadership (c).kind != CT_LEADER)
    return;
  c->reconciled_at = now;
  if (!ct_reconcile (ti_store_config (c->store),
                     ct_replica_members (c->replica),
                     (uint64_t) c->settings->id, &change))
    return;
  c->member_change = ++c->proposals;
  ct_replica_change_members (c->replica, c->member_change, &change);
}

/* Sends the new reports of daemons that follow this member to the leader.  */
static void
forward_reports (struct ct_control *c, zp_time now)
{
  struct lg_status status = ct_replica_status (c->replica);
  struct zp_buf payload = { .ptr = NULL };

  if (status.role != LG_FOLLOWER || status.leader == 0)
    return;
  if (ct_reports_put_unsent (&c->reports, now, &payload))
    ct_replica_send_report (c->replica, status.leader, zp_str_of (&payload));
  zp_buf_free (&payload);
}

static void
propose_step (struct ct_control *c, const struct ti_step_command *step)
{
  const struct ti_command command
      = { .kind = TI_STEP, .now = zp_clock_wall (), .u.step = *step };
  struct zp_buf bytes = { .ptr = NULL };

  ti_command_encode (&command, &bytes);
  ct_shifts_proposed (&c->shifts, &step->shift, ++c->proposals);
  ct_replica_propose (c->replica, c->proposals, zp_str_of (&bytes));
  zp_buf_free (&bytes);
}

/* On the leader, decides once every SHIFT_PERIOD on the next step of each
   shift and proposes it.  */
static void
decide_shifts (struct ct_control *c, zp_time now)
{
  const struct ti_config *config = ti_store_config (c->store);
  struct lg_status status = ct_replica_status (c->replica);
  const struct ti_slot *slot;
  struct ti_step_command step;
  size_t at = 0;

  if (now < c->shifts_at)
    return;
  c->shifts_at = now + SHIFT_PERIOD;
  ct_shifts_update_leader (&c->shifts, &status, now);
  if (status.role != LG_LEADER)
    return;
  while ((slot = ti_config_next (config, TI_SHIFT, &at)))
    if (ct_shifts_decide (&c->shifts, config, slot, &c->reports, now, &step))
      propose_step (c, &step);
}

/* Leaves of servers.  */

static void
encode_leave (const struct ti_leave *leave, struct zp_buf *out)
{
  const struct ti_command command
      = { .kind = TI_LEAVE, .now = zp_clock_wall (), .u.leave.leave = *leave };

  ti_command_encode (&command, out);
}

void
ct_control_propose_leave (struct ct_control *c, const struct ti_leave *leave)
{
  struct zp_buf bytes = { .ptr = NULL };

  encode_leave (leave, &bytes);
  ct_replica_propose (c->replica, ++c->proposals, zp_str_of (&bytes));
  zp_buf_free (&bytes);
}

void
ct_control_propose_leaves (struct ct_control *c)
{
  const struct lg_status s = ct_replica_status (c->replica);
  struct ti_leave leave;

  while (ct_roster_next_leave (&c->roster, zp_clock_mono (), &leave))
    {
      struct zp_buf bytes = { .ptr = NULL };
      if (s.role == LG_LEADER)
        {
          ct_control_propose_leave (c, &leave);
          continue;
        }
      encode_leave (&leave, &bytes);
      if (s.leader != 0)
        ct_replica_forward (c->replica, s.leader, zp_str_of (&bytes));
      zp_buf_free (&bytes);
    }
}

/* HTTP requests without an answer.  */
static size_t
pending_requests (const struct ct_control *c)
{
  return fr_server_pending (c->front)
         + (c->directory ? fr_server_pending (c->directory) : 0);
}

static void
on_tick (struct ev_loop *ev, ev_timer *w, int events)
{
  struct ct_control *c = w->data;
  zp_time now = zp_clock_mono ();

  (void) ev;
  (void) events;
  ct_control_update_fresh (c);
  ct_control_answer_reports (c);
  ct_control_propose_leaves (c);
  reconcile (c, now);
  forward_reports (c, now);
  decide_shifts (c, now);
  if (c->stop_at == 0)
    return;
  if (pending_requests (c) > 0 && now < c->stop_at)
    return;
  zp_log (ZP_LOG_NOTICE, PART, "stopped; %zu requests were not answered",
          pending_requests (c));
  tk_loop_stop (c->loop);
}

/* Messages.  */

static void
on_stop (struct ct_control *c)
{
  if (c->stop_at != 0)
    return;
  zp_log (ZP_LOG_NOTICE, PART, "stopping: answering %zu requests",
          pending_requests (c));
  c->stop_at = zp_clock_mono () + CONTROL_STOP_TIMEOUT;
  fr_server_quiesce (c->front);
  if (c->directory)
    fr_server_quiesce (c->directory);
}

static void
on_message (void *self, struct tk_msg *m)
{
  struct ct_control *c = self;

  switch (m->kind)
    {
    case TK_STOP:
      on_stop (c);
      break;
    case TK_HTTP_REQUEST:
      ct_control_request (c, &m->u.request);
      break;
    case TK_CALLER_LEFT:
      /* The proposal of the caller is still decided, and the HTTP server drops
         the answer.  */
      break;
    case TK_CONFIG_REQUEST:
      ct_publish_whole (c->source, ti_store_config (c->store), c->term);
      break;
    case TK_FOLLOW_REPORT:
      ct_reports_add (&c->reports, zp_clock_mono (), &m->u.follow_report,
                      true);
      break;
    case TK_DAEMON:
      ct_roster_update_daemon (&c->roster, &m->u.daemon);
      break;
    case TK_SERVER_SETTLED:
      ct_roster_report_settled (&c->roster, m->u.settled.report_id);
      ct_control_answer_reports (c);
      break;
    case TK_QUOTA_ASK:
      answer_ask (c, &m->u.quota_ask);
      break;
    case TK_ENTRY_COUNT:
      break;
    case TK_SEEDS:
      if (!c->roster.client)
        break;
      tk_send (ro_client_task (c->roster.client), m);
      return;
    default:
      assert (!"message that the control task does not take");
    }
  tk_msg_free (m);
}

/* Set-up.  */

static struct fr_server *
open_front (struct ct_control *c, struct zp_str address, struct zp_err *err)
{
  const struct fr_options o
      = { .address = address,
          .decider = &c->task,
          .names
          = c->interface ? c->interface->names : &fr_header_names_default,
          .idle_max = ZP_CALLER_IDLE_MAX,
          .body_max = c->interface ? CT_DOCUMENT_MAX : ZP_BODY_MAX };

  return fr_server_open_with (c->loop, &o, err);
}

static bool
open_parts (struct ct_control *c, struct zp_err *err)
{
  const struct ct_settings *s = c->settings;
  struct ct_replica_options o = {
    .loop = c->loop,
    .id = (uint64_t) s->id,
    .folder = s->data,
    .address = s->address,
    .callbacks = ct_control_callbacks,
    .self = c,
  };

  if (!s->join)
    o.members = s->voters;
  if (s->follow.len > 0)
    {
      c->source = fo_source_open (c->loop, s->follow, &c->task, err);
      if (!c->source)
        return false;
    }
  c->replica = ct_replica_open (&o, err);
  if (!c->replica)
    return false;
  if (s->seeds.len > 0
      && !ct_roster_open (&c->roster, c->loop, s, &c->task, err))
    return false;
  c->front = open_front (c, s->http, err);
  if (c->front && s->directory.len > 0)
    c->directory = open_front (c, s->directory, err);
  return c->front && (c->directory || s->directory.len == 0);
}

struct ct_control *
ct_control_open (struct tk_loop *l, const struct ct_settings *settings,
                 const struct ct_interface *interface, struct zp_err *err)
{
  struct ct_control *c = zp_alloc (sizeof *c);

  c->interface = interface;
  c->quotas.decode = interface ? interface->decode_site : NULL;
  c->settings = settings;
  c->loop = l;
  c->store = ti_store_new (TI_CONFLICT_BY_OBJECT);
  tk_task_init (&c->task, l, on_message, c);
  ev_timer_init (&c->tick, on_tick, 0.0, (double) TICK_PERIOD / ZP_SEC);
  c->tick.data = c;
  if (!open_parts (c, err))
    {
      ct_control_close (c);
      return NULL;
    }
  ev_timer_start (l->ev, &c->tick);
  return c;
}

struct tk_task *
ct_control_task (struct ct_control *c)
{
  return &c->task;
}

void
ct_control_close (struct ct_control *c)
{
  ev_timer_stop (c->loop->ev, &c->tick);
  if (c->front)
    fr_server_close (c->front);
  fr_server_close (c->directory);
  ct_roster_close (&c->roster);
  if (c->replica)
    ct_replica_close (c->replica);
  fo_source_close (c->source);
  ct_waiting_free (&c->waiting);
  ct_shifts_free (&c->shifts);
  ct_quotas_free (&c->quotas);
  tk_task_free (&c->task);
  ti_store_free (c->store);
  free (c);
}
