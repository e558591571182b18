#include "control/control.h"

#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "control/calls.h"
#include "control/publish.h"
#include "control/reconcile.h"
#include "control/replica.h"
#include "control/reports.h"
#include "control/roster.h"
#include "control/shifts.h"
#include "control/standing.h"
#include "control/waiting.h"
#include "follow/source.h"
#include "front/server.h"

#define PART "control"

#define TICK (100 * ZP_MS)

/* A follower that has not heard from its leader for this long may be cut off;
   heartbeats come every 150 ms.  */
#define CONTACT_RECENT (500 * ZP_MS)

/* Operators wait 1 s for an answer, and a platform kills what has not ended
   6 s after its request to stop.  */
#define CONTROL_STOP_LIMIT (4 * ZP_SEC)
#define RECONCILE_PERIOD (1 * ZP_SEC)
#define SHIFT_PERIOD (1 * ZP_SEC)

struct ct_control
{
  const struct ct_settings *settings;
  struct tk_loop *loop;
  struct tk_task task;
  struct ti_store *store;
  struct ct_replica *replica;
  struct fr_server *front;
  struct fr_server *directory;          /* NULL: none */
  const struct ct_interface *interface; /* NULL: the product's own */
  struct ct_roster roster;
  struct fo_source *source; /* NULL: no "follow" in the settings */
  struct ct_reports reports;
  struct ct_shifts shifts;
  struct ct_waitings waiting;
  uint64_t proposals; /* numbers given so far */
  uint64_t change;    /* proposal of a change of members; 0: none */
  uint64_t term;      /* of the last entry applied */
  bool fresh;         /* as last told to the source */
  char leader_http[ZP_ADDRESS_MAX];
  ev_timer tick;
  zp_time reconciled;
  zp_time shifts_at; /* next decisions on shifts */
  zp_time stop_at;   /* 0: not stopping */
};

static struct ct_standing
standing (struct ct_control *c)
{
  struct lg_status s = ct_replica_status (c->replica);

  if (c->settings->seeds.len > 0)
    return ct_standing_by_port (&s, c->settings,
                                ct_replica_members (c->replica),
                                c->leader_http, sizeof c->leader_http);
  return ct_standing_of (&s, c->settings, ti_store_config (c->store));
}

/* HTTP.  */

static void
send_answer (struct tk_task *to, uint64_t http, const struct tk_http_answer *a)
{
  struct tk_msg *m = tk_msg_new (TK_HTTP_ANSWER);

  m->u.answer = *a;
  m->u.answer.id = http;
  tk_send (to, m);
}

static void
send_reply (struct ct_control *c, const struct tk_http_request *r,
            const struct ct_reply *reply)
{
  struct tk_http_answer a = { .status = 0 };

  c->interface->encode (r, reply, &a);
  send_answer (r->from, r->id, &a);
}

static void
propose (struct ct_control *c, const struct tk_http_request *r,
         struct zp_buf *command)
{
  struct tk_http_answer a = { .status = 0 };

  if (ct_waiting_add (&c->waiting, c->proposals + 1, r))
    ct_replica_propose (c->replica, ++c->proposals, zp_str_of (command));
  else
    {
      ct_answer_error (&a, 503,
                       "too many requests wait; nothing was done; "
                       "send the same request again");
      a.retry_after_s = 1;
      send_answer (r->from, r->id, &a);
    }
  zp_buf_free (command);
}

/* A call of another interface than the product's own.  */
static void
on_call (struct ct_control *c, const struct tk_http_request *r)
{
  const struct ct_calls_view v = { .store = c->store,
                                   .standing = standing (c),
                                   .daemons = &c->roster.daemons,
                                   .lookup_ttl = c->settings->lookup_ttl,
                                   .wall = zp_clock_wall () };
  const struct ct_reply done = { .kind = CT_REPLY_DONE };
  struct ct_call call;
  struct ct_step *step = zp_alloc (sizeof *step);

  c->interface->decode (r, &call);
  ct_calls_decide (&call, &v, step);
  switch (step->kind)
    {
    case CT_STEP_REPLY:
      send_reply (c, r, &step->u.reply);
      break;
    case CT_STEP_PROPOSE:
      propose (c, r, &step->u.command);
      break;
    case CT_STEP_SERVER:
      if (ct_roster_report (&c->roster, &step->u.server, r))
        send_reply (c, r, &done);
      break;
    }
  zp_buf_free (&step->document);
  free (step);
}

/* Answers the reports of servers whose outcome is known.  */
static void
answer_reports (struct ct_control *c)
{
  const struct lg_status s = ct_replica_status (c->replica);
  struct ct_report_wait w;
  bool acknowledged;

  while (ct_roster_take (&c->roster, s.contact, zp_clock_mono (), &w,
                         &acknowledged))
    {
      const struct tk_http_request r = { .id = w.http, .from = w.from };
      const struct ct_reply reply
          = { .kind = acknowledged ? CT_REPLY_DONE : CT_REPLY_UNAVAILABLE };
      if (!acknowledged)
        zp_log (ZP_LOG_WARNING, PART,
                "a server that leaves is not acknowledged: %s",
                w.settled ? "no contact with a majority"
                          : "entry daemons have not taken it");
      send_reply (c, &r, &reply);
    }
}

static void
on_request (struct ct_control *c, const struct tk_http_request *r)
{
  if (c->interface)
    {
      on_call (c, r);
      return;
    }
  struct lg_status s = ct_replica_status (c->replica);
  const struct ct_standing now = standing (c);
  struct ct_member member[LG_MEMBERS_MAX];
  struct ct_report report = ct_report_of (
      &s, c->settings, ct_replica_members (c->replica), member);
  struct ct_decision d;

  ct_reports_count (&c->reports, zp_clock_mono (),
                    ti_store_config (c->store)->index, &report.followers,
                    &report.current);
  report.shifts = &c->shifts;
  ct_decide (c->store, &now, &report, zp_clock_wall (), r, &d);
  switch (d.kind)
    {
    case CT_ANSWER:
      send_answer (r->from, r->id, &d.u.answer);
      break;
    case CT_PROPOSE:
      propose (c, r, &d.u.command);
      break;
    }
}

/* The configuration for entry daemons.  */

/* Tells the source whether this member can call its configuration current: it
   leads, or hears from the leader.  */
static void
update_fresh (struct ct_control *c)
{
  struct lg_status s = ct_replica_status (c->replica);
  bool fresh = ct_replica_lease (c->replica)
               || (s.role == LG_FOLLOWER && s.leader != 0
                   && zp_clock_mono () - s.contact < CONTACT_RECENT);

  if (!c->source || fresh == c->fresh)
    return;
  c->fresh = fresh;
  struct tk_msg *m = tk_msg_new (TK_FRESH);
  m->u.fresh.fresh = fresh;
  tk_send (fo_source_task (c->source), m);
  if (!c->roster.source)
    return;
  m = tk_msg_new (TK_FRESH);
  m->u.fresh.fresh = fresh;
  tk_send (ro_source_task (c->roster.source), m);
}

/* Callbacks of the log.  */

static void
log_result (uint64_t index, const struct ti_result *r)
{
  struct zp_str ticket
      = r->digest.hex[0] ? ti_digest_str (&r->digest) : ZP_STR ("");

  ZP_EVENT (ZP_LOG_NOTICE, PART, "a command to a ticket is applied",
            ZP_F_INT (ZP_KEY_VERSION, index),
            ZP_F_TEXT (ZP_KEY_TICKET, ticket),
            ZP_F_TEXT (ZP_KEY_STATE, zp_str_from (ti_state_name (r->state))),
            ZP_F_INT (ZP_KEY_TICKET_NUMBER, r->number),
            ZP_F_INT (ZP_KEY_MISTAKES, r->errors.count),
            ZP_F_INT (ZP_KEY_CONFLICTS, r->conflict.objects.len));
}

static void
on_apply (void *self, uint64_t index, uint64_t term, struct zp_str bytes)
{
  struct ct_control *c = self;
  struct ct_waiting *w = ct_waiting_by_index (&c->waiting, index);
  uint64_t from = ti_store_config (c->store)->index;
  struct ti_result r;

  c->term = term;
  ti_store_apply (c->store, index, bytes, &r);
  log_result (index, &r);
  if (r.change)
    {
      ct_shifts_applied (&c->shifts, r.change, term, zp_clock_mono ());
      ct_publish_change (c->source, ti_store_config (c->store), term, from,
                         r.change);
    }
  if (w)
    {
      assert (!w->answer);
      w->answer = tk_msg_new (TK_HTTP_ANSWER);
      const struct tk_http_request q = { .id = w->http, .from = w->from };
      const struct ct_reply done = { .kind = CT_REPLY_DONE };
      if (c->interface)
        c->interface->encode (&q, &done, &w->answer->u.answer);
      else
        ct_answer_result (&w->answer->u.answer, &r);
      w->answer->u.answer.id = w->http;
    }
  ti_result_free (&r);
}

static void
on_snapshot (void *self, struct zp_buf *out)
{
  struct ct_control *c = self;

  ti_store_snapshot (c->store, out);
}

static bool
on_restore (void *self, uint64_t index, uint64_t term, struct zp_str state,
            struct zp_err *err)
{
  struct ct_control *c = self;
  struct ti_store *s = ti_store_restore (state, TI_CONFLICT_BY_OBJECT, err);

  if (!s)
    return false;
  ti_store_free (c->store);
  c->store = s;
  c->term = term;
  ct_shifts_restored (&c->shifts, ti_store_config (s), term, zp_clock_mono ());
  zp_log (ZP_LOG_NOTICE, PART,
          "restored the state of entry %" PRIu64 ", configuration %" PRIu64,
          index, ti_store_config (s)->number);
  ct_publish_whole (c->source, ti_store_config (c->store), c->term);
  return true;
}

static void
on_role (void *self, const struct lg_role_change *change)
{
  struct ct_control *c = self;
  const char *stopped = ct_stop_reason (change->stop);

  zp_log (ZP_LOG_NOTICE, PART, "%s in term %" PRIu64 ", leader %" PRIu64,
          ct_role_name (change->role), change->term, change->leader);
  if (stopped)
    zp_log (ZP_LOG_ERR, PART, "this member has stopped: %s%s%s", stopped,
            change->error ? ": " : "",
            change->error ? strerror (change->error) : "");
  zp_gauge (zp_counter ("zp_control_leader", ""), change->role == LG_LEADER);
  zp_gauge (zp_counter ("zp_control_stopped", ""), stopped != NULL);
  update_fresh (c);
}

static void
end_waiting (struct ct_control *c, struct ct_waiting *w,
             const struct lg_reply *reply)
{
  struct ct_standing now = standing (c);
  struct tk_http_answer a = { .status = 0 };
  struct tk_http_request q = { .id = w->http, .from = w->from };

  switch (reply->kind)
    {
    case LG_REPLY_ACCEPTED:
      w->index = reply->index;
      return;
    case LG_REPLY_COMMITTED:
      assert (w->answer);
      tk_send (w->from, w->answer);
      w->answer = NULL;
      break;
    case LG_REPLY_REFUSED:
      if (c->interface)
        {
          struct ct_reply refused = ct_calls_refused (&now);
          q.path = w->path;
          send_reply (c, &q, &refused);
          break;
        }
      ct_answer_not_leader (&a, &now, zp_str_of (&w->path),
                            zp_str_of (&w->query));
      send_answer (w->from, w->http, &a);
      break;
    case LG_REPLY_LOST:
      if (c->interface)
        {
          struct ct_reply lost = { .kind = CT_REPLY_UNAVAILABLE };
          send_reply (c, &q, &lost);
          break;
        }
      ct_answer_lost (&a);
      send_answer (w->from, w->http, &a);
      break;
    }
  ct_waiting_drop (&c->waiting, w);
}

static void
on_answered (void *self, const struct lg_reply *reply)
{
  struct ct_control *c = self;
  struct ct_waiting *w = ct_waiting_by_proposal (&c->waiting, reply->proposal);

  if (w)
    end_waiting (c, w, reply);
  else if (reply->kind != LG_REPLY_ACCEPTED
           && ct_shifts_answered (&c->shifts, reply->proposal))
    return;
  else if (reply->proposal == c->change && reply->kind != LG_REPLY_ACCEPTED)
    {
      c->change = 0;
      if (reply->kind == LG_REPLY_REFUSED)
        zp_log (ZP_LOG_INFO, PART, "change of members put off: %s",
                reply->reason ? reply->reason : "");
    }
}

static void
on_members (void *self, const struct lg_members *members)
{
  (void) self;
  zp_log (ZP_LOG_NOTICE, PART, "the log has %zu members, %zu of them voters",
          members->len, lg_members_voters (members));
}

/* Timer.  */

/* The leader changes the members of the log one at a time until they are what
   the tickets say.  */
static void
reconcile (struct ct_control *c, zp_time now)
{
  struct lg_change change;
  const struct lg_status s = ct_replica_status (c->replica);

  if (c->settings->seeds.len > 0)
    {
      if (!ct_roster_step (&c->roster, c->settings, &s,
                           ct_replica_members (c->replica), now, &change)
          || c->change != 0)
        return;
      c->change = ++c->proposals;
      ct_replica_change (c->replica, c->change, &change);
      return;
    }
  if (c->change != 0 || now - c->reconciled < RECONCILE_PERIOD
      || !ct_replica_lease (c->replica))
    return;
  c->reconciled = now;
  if (!ct_reconcile (ti_store_config (c->store),
                     ct_replica_members (c->replica),
                     (uint64_t) c->settings->id, &change))
    return;
  c->change = ++c->proposals;
  ct_replica_change (c->replica, c->change, &change);
}

static void
on_report (void *self, struct zp_str payload)
{
  struct ct_control *c = self;

  if (!ct_reports_read (&c->reports, zp_clock_mono (), payload))
    zp_log (ZP_LOG_WARNING, PART, "a report that cannot be read");
}

/* Reports of daemons that follow this member, for the leader.  */
static void
pass_reports (struct ct_control *c, zp_time now)
{
  struct lg_status status = ct_replica_status (c->replica);
  struct zp_buf payload = { .ptr = NULL };

  if (status.role != LG_FOLLOWER || status.leader == 0)
    return;
  if (ct_reports_take (&c->reports, now, &payload))
    ct_replica_report (c->replica, status.leader, zp_str_of (&payload));
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

/* Once a period, the leader decides on every shift.  */
static void
move_shifts (struct ct_control *c, zp_time now)
{
  const struct ti_config *config = ti_store_config (c->store);
  struct lg_status status = ct_replica_status (c->replica);
  const struct ti_slot *slot;
  struct ti_step_command step;
  size_t at = 0;

  if (now < c->shifts_at)
    return;
  c->shifts_at = now + SHIFT_PERIOD;
  ct_shifts_lead (&c->shifts, &status, now);
  if (status.role != LG_LEADER)
    return;
  while ((slot = ti_config_next (config, TI_SHIFT, &at)))
    if (ct_shifts_decide (&c->shifts, config, slot, &c->reports, now, &step))
      propose_step (c, &step);
}

static size_t
pending (const struct ct_control *c)
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
  update_fresh (c);
  answer_reports (c);
  reconcile (c, now);
  pass_reports (c, now);
  move_shifts (c, now);
  if (c->stop_at == 0)
    return;
  if (pending (c) > 0 && now < c->stop_at)
    return;
  zp_log (ZP_LOG_NOTICE, PART, "stopped with %zu requests without an answer",
          pending (c));
  tk_loop_stop (c->loop);
}

/* Messages.  */

static void
on_stop (struct ct_control *c)
{
  if (c->stop_at != 0)
    return;
  zp_log (ZP_LOG_NOTICE, PART, "stopping: answering %zu requests",
          pending (c));
  c->stop_at = zp_clock_mono () + CONTROL_STOP_LIMIT;
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
      on_request (c, &m->u.request);
      break;
    case TK_HTTP_GONE:
      /* The entry is decided all the same; the server drops the answer.  */
      break;
    case TK_CONFIG_ASK:
      ct_publish_whole (c->source, ti_store_config (c->store), c->term);
      break;
    case TK_IN_FORCE:
      ct_reports_add (&c->reports, zp_clock_mono (), &m->u.in_force, true);
      break;
    case TK_DAEMON:
      ct_roster_daemon (&c->roster, &m->u.daemon);
      break;
    case TK_SERVER_SETTLED:
      ct_roster_settled (&c->roster, m->u.settled.ticket);
      answer_reports (c);
      break;
    case TK_CENSUS:
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
          .names = c->interface ? c->interface->names : &fr_names_own,
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
    .callbacks = { .apply = on_apply,
                   .take_snapshot = on_snapshot,
                   .restore = on_restore,
                   .role = on_role,
                   .answered = on_answered,
                   .members = on_members,
                   .report = on_report },
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

  c->settings = settings;
  c->loop = l;
  c->store = ti_store_new (TI_CONFLICT_BY_OBJECT);
  tk_task_init (&c->task, l, on_message, c);
  ev_timer_init (&c->tick, on_tick, 0.0, (double) TICK / ZP_SEC);
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
  tk_task_free (&c->task);
  ti_store_free (c->store);
  free (c);
}
