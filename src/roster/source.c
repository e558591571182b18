#include <assert.h>
#include <stdlib.h>

#include "base/log.h"
#include "roster/codec.h"
#include "roster/source-state.h"

#define PART RO_SOURCE_PART

/* A connection on which nothing was read for this time is closed; daemons send
   a ping every 300 ms.  */
#define SILENCE_TIMEOUT (1500 * ZP_MS)
/* The same for a daemon of another region, which sends one every 900 ms.  */
#define SILENCE_TIMEOUT_REMOTE (3500 * ZP_MS)

/* Unchanged reports are gathered for this long.  */
#define RENEWAL_DELAY (1 * ZP_SEC)

/* A server is gone after this many report periods without a report.  One
   report may be lost, and its repetition goes to another control daemon.  */
#define MISSED_REPORTS 4

/* Unchanged reports of a server are passed on once in this many periods.  When
   a server starts to report here, the control daemon that had its reports
   before marks it as gone; entry daemons need a newer report until then.  */
#define REFRESH_PERIODS 2

#define TICK_PERIOD (100 * ZP_MS)

static void
on_batch (struct ev_loop *ev, ev_timer *w, int events)
{
  (void) ev;
  (void) events;
  ro_source_send_changes (w->data);
}

/* Numbers a change and has it sent within RO_BATCH_DELAY.  */
static void
schedule_update (struct ro_source *s)
{
  s->number++;
  if (ev_is_active (&s->batch))
    return;
  ev_timer_set (&s->batch, (double) RO_BATCH_DELAY / ZP_SEC, 0.0);
  ev_timer_start (s->loop->ev, &s->batch);
}

static void
on_expired (void *self, struct ro_server *x)
{
  struct ro_source *s = self;

  ZP_EVENT (ZP_LOG_NOTICE, PART, "a server is gone",
            ZP_F_TEXT (ZP_KEY_SERVER, zp_str_from (x->report.id)),
            ZP_F_TEXT (ZP_KEY_SERVICE, zp_str_from (x->report.service)),
            ZP_F_TEXT (ZP_KEY_REASON, ZP_STR ("no report in time")));
  schedule_update (s);
  x->change_number = s->number;
}

/* Servers.  */

static const char *
state_name (enum tk_server_state state)
{
  switch (state)
    {
    case TK_SERVER_READY:
      return "ready";
    case TK_SERVER_DRAINING:
      return "draining";
    case TK_SERVER_GONE:
      return "gone";
    }
  return "";
}

static void
log_report (const struct tk_server *x)
{
  ZP_EVENT (ZP_LOG_NOTICE, PART, "a server has reported a change",
            ZP_F_TEXT (ZP_KEY_SERVER, zp_str_from (x->id)),
            ZP_F_TEXT (ZP_KEY_SERVICE, zp_str_from (x->service)),
            ZP_F_TEXT (ZP_KEY_STATE, zp_str_from (state_name (x->state))),
            ZP_F_TEXT (ZP_KEY_ADDRESS, zp_str_from (x->address)),
            ZP_F_INT (ZP_KEY_SLOTS, x->slots),
            ZP_F_INT (ZP_KEY_COLD_MS, x->cold / ZP_MS));
}

static void
on_server (struct ro_source *s, struct tk_server *report)
{
  zp_time now = zp_clock_mono ();
  struct ro_server *x;

  if (report->state == TK_SERVER_GONE && report->report_id != 0)
    report->left_ms = ro_leave_bound (&s->table, report, zp_clock_wall ());
  enum ro_table_result result = ro_table_update (&s->table, report, now, &x);

  switch (result)
    {
    case RO_OLD:
    case RO_FULL:
      if (result == RO_FULL)
        zp_log (ZP_LOG_ERR, PART, "server %s is ignored: %d servers are known",
                report->id, RO_SERVERS_MAX);
      break;
    case RO_UNCHANGED:
      if (now - x->refreshed_at < REFRESH_PERIODS * s->report_period)
        break;
      /* It is sent with others, see RENEWAL_DELAY.  */
      x->refresh_number = ++s->number;
      x->refreshed_at = now;
      break;
    case RO_CHANGED:
    case RO_STARTED:
      log_report (report);
      schedule_update (s);
      x->change_number = s->number;
      x->refreshed_at = now;
      break;
    }
  if (report->report_id == 0)
    return;
  ro_source_add_pending (s, report->report_id);
  ro_source_send_settled (s);
}

/* Connections.  */

static void
send_daemon (const struct ro_link *l, bool lost)
{
  struct tk_msg *m = tk_msg_new (TK_DAEMON);

  m->u.daemon = l->daemon;
  m->u.daemon.lost = lost;
  tk_send (l->source->decider, m);
}

static void
link_free (struct ro_link *l)
{
  struct ro_source *s = l->source;
  struct ro_link **at = &s->links;

  while (*at != l)
    at = &(*at)->next;
  *at = l->next;
  wi_conn_free (l->conn);
  zp_buf_free (&l->hello);
  free (l);
}

/* Whether the same daemon has another connection.  */
static bool
has_other_link (const struct ro_link *l)
{
  for (const struct ro_link *x = l->source->links; x; x = x->next)
    if (x != l && x->identified && x->daemon.id == l->daemon.id)
      return true;
  return false;
}

static void
drop_link (struct ro_link *l, const char *why)
{
  struct ro_source *s = l->source;

  if (l->identified && !has_other_link (l))
    {
      ZP_EVENT (ZP_LOG_NOTICE, PART, "a daemon has disconnected",
                ZP_F_TEXT (ZP_KEY_DAEMON, zp_str_from (l->daemon.name)),
                ZP_F_TEXT (ZP_KEY_REASON, zp_str_from (why)));
      send_daemon (l, true);
      ro_source_note_lost (s, l);
      ro_work_drop (&s->work, l->daemon.id, ro_source_work_kind (l));
    }
  link_free (l);
  ro_source_send_settled (s);
}

/* Counts the connected entry daemons.  Those that are stopping count until
   they disconnect, since they still send requests.  */
static unsigned
count_entries (const struct ro_source *s)
{
  unsigned n = 0;

  for (const struct ro_link *l = s->links; l; l = l->next)
    n += l->identified && l->daemon.kind == TK_DAEMON_ENTRY
         && !has_other_link (l);
  return n;
}

static void
on_hello (struct ro_link *l, struct zp_str payload)
{
  struct tk_daemon d;
  uint64_t acked;

  if (!ro_get_hello (payload, &d, &acked))
    {
      drop_link (l, "a malformed hello");
      return;
    }
  bool first = !l->identified;
  /* What a daemon has acknowledged counts for itself only.  */
  if (!first && (d.id != l->daemon.id || d.kind != l->daemon.kind))
    {
      drop_link (l, "a hello of another daemon");
      return;
    }
  bool same = !first && zp_str_eq (payload, zp_str_of (&l->hello));
  l->identified = true;
  wi_conn_set_frame_max (l->conn, ZP_FRAME_MAX);
  l->daemon = d;
  zp_buf_clear (&l->hello);
  zp_buf_put (&l->hello, payload);
  if (first)
    ZP_EVENT (ZP_LOG_NOTICE, PART, "a daemon has connected",
              ZP_F_TEXT (ZP_KEY_DAEMON, zp_str_from (d.name)));
  if (!same)
    send_daemon (l, false);
  if (!first)
    return;
  /* The first update holds the whole table.  */
  l->source->entries = count_entries (l->source);
  ro_source_send_update (l, zp_clock_mono ());
}

/* The answer to a ping, also sent without one.  */
static void
send_state (struct ro_link *l)
{
  struct zp_buf b = { .ptr = NULL };

  const struct ro_ping answer
      = { .fresh = l->source->fresh,
          .leads = l->source->leads,
          .region = zp_str_of (&l->source->region),
          .failure_domain = zp_str_of (&l->source->failure_domain) };

  ro_put_ping (&b, &answer);
  wi_conn_send (l->conn, WI_ROSTER_PING, zp_str_of (&b));
  zp_buf_free (&b);
}

static void
on_frame (void *self, struct wi_conn *conn, uint8_t kind,
          struct zp_str payload)
{
  struct ro_link *l = self;
  struct tk_loss loss;
  uint64_t acked;

  (void) conn;
  switch (kind)
    {
    case WI_ROSTER_HELLO:
      on_hello (l, payload);
      return;
    case WI_ROSTER_PING:
      send_state (l);
      return;
    case WI_ROSTER_WORK:
      if (l->identified)
        ro_source_take_work (l, payload);
      return;
    case WI_ROSTER_LOSS:
      if (l->identified && ro_get_loss (payload, &loss))
        {
          ro_source_forward_loss (l, &loss);
          return;
        }
      break;
    case WI_ROSTER_QUOTA_ASK:
      if (l->identified && ro_source_take_ask (l, payload))
        return;
      break;
    case WI_ROSTER_ACK:
      if (ro_get_ack (payload, &acked) && acked <= l->sent)
        {
          if (acked > l->acked)
            l->acked = acked;
          l->sent_at = zp_clock_mono ();
          ro_source_send_settled (l->source);
          return;
        }
      break;
    default:
      break;
    }
  drop_link (l, "a malformed frame or one of an unexpected kind");
}

static void
on_end (void *self, struct wi_conn *conn, const struct zp_err *why)
{
  (void) conn;
  drop_link (self, why->text);
}

static const struct wi_handlers handlers
    = { .on_frame = on_frame, .on_end = on_end };

static void
on_accept (void *self, struct wi_conn *conn)
{
  struct ro_source *s = self;
  struct ro_link *l = zp_alloc (sizeof *l);

  l->source = s;
  l->conn = conn;
  l->link = ++s->last_link;
  l->accepted_at = zp_clock_mono ();
  l->next = s->links;
  s->links = l;
  wi_conn_set_handlers (conn, &handlers, l);
  wi_conn_set_frame_max (conn, ZP_HELLO_MAX);
}

static zp_time
silence_timeout (const struct ro_link *l)
{
  return !l->identified
                 || zp_str_eq (zp_str_from (l->daemon.region),
                               zp_str_of (&l->source->region))
             ? SILENCE_TIMEOUT
             : SILENCE_TIMEOUT_REMOTE;
}

static void
on_tick (struct ev_loop *ev, ev_timer *w, int events)
{
  struct ro_source *s = w->data;
  zp_time now = zp_clock_mono ();

  (void) ev;
  (void) events;
  for (struct ro_link *l = s->links, *next; l; l = next)
    {
      next = l->next;
      /* Bytes that are no hello do not extend the time for it.  */
      zp_time read_at = l->identified ? wi_conn_last_read (l->conn) : 0;
      if (now - (read_at > l->accepted_at ? read_at : l->accepted_at)
          > silence_timeout (l))
        drop_link (l, "silent");
    }
  ro_table_expire (&s->table, now - MISSED_REPORTS * s->report_period, now,
                   on_expired, s);
  unsigned entries = count_entries (s);
  if (entries != s->entries)
    {
      s->entries = entries;
      schedule_update (s);
    }
  ro_source_relay_work (s, now);
  if (now < s->renewals_at)
    {
      ro_source_send_settled (s);
      return;
    }
  s->renewals_at = now + RENEWAL_DELAY;
  ro_source_send_changes (s);
}

/* Messages.  */

/* Daemons learn of a change at once: asks for rate limits go to the control
   daemon that leads, and pings of other regions come every 900 ms.  */
static void
set_state (struct ro_source *s, const struct tk_config_fresh *state)
{
  if (s->fresh == state->fresh && s->leads == state->leads)
    return;
  s->fresh = state->fresh;
  s->leads = state->leads;
  for (struct ro_link *l = s->links; l; l = l->next)
    if (l->identified)
      send_state (l);
}

static void
on_message (void *self, struct tk_msg *m)
{
  struct ro_source *s = self;

  switch (m->kind)
    {
    case TK_SERVER:
      on_server (s, &m->u.server);
      break;
    case TK_CONFIG_FRESH:
      set_state (s, &m->u.config_fresh);
      break;
    case TK_CONFIG_SOURCES:
      zp_buf_clear (&s->controls);
      zp_buf_put (&s->controls, zp_str_of (&m->u.addresses.lines));
      s->controls_version++;
      schedule_update (s);
      break;
    case TK_QUOTA_GRANT:
      ro_source_send_grant (s, &m->u.quota_grant);
      break;
    default:
      assert (!"message kind that the roster source does not handle");
    }
  tk_msg_free (m);
}

struct ro_source *
ro_source_open (struct tk_loop *l, const struct ro_source_options *o,
                struct zp_err *err)
{
  struct ro_source *s = zp_alloc (sizeof *s);

  s->loop = l;
  s->decider = o->decider;
  s->report_period = o->report_period;
  zp_buf_put (&s->region, o->region);
  zp_buf_put (&s->failure_domain, o->failure_domain);
  s->listener = wi_listen (l->ev, o->address, on_accept, s, err);
  if (!s->listener)
    {
      free (s);
      return NULL;
    }
  tk_task_init (&s->task, l, on_message, s);
  ev_timer_init (&s->batch, on_batch, 0.0, 0.0);
  s->batch.data = s;
  ev_timer_init (&s->tick, on_tick, 0.0, (double) TICK_PERIOD / ZP_SEC);
  s->tick.data = s;
  ev_timer_start (l->ev, &s->tick);
  return s;
}

struct tk_task *
ro_source_task (struct ro_source *s)
{
  return &s->task;
}

void
ro_source_set_relay (struct ro_source *s, struct tk_task *relay)
{
  s->relay = relay;
}

void
ro_source_close (struct ro_source *s)
{
  if (!s)
    return;
  for (struct ro_link *l = s->links, *next; l; l = next)
    {
      next = l->next;
      link_free (l);
    }
  ev_timer_stop (s->loop->ev, &s->batch);
  ev_timer_stop (s->loop->ev, &s->tick);
  wi_listener_free (s->listener);
  tk_task_free (&s->task);
  ro_table_free (&s->table);
  ro_work_free (&s->work);
  ro_loads_free (&s->loads);
  zp_buf_free (&s->region);
  zp_buf_free (&s->failure_domain);
  zp_buf_free (&s->controls);
  free (s->pending);
  free (s->lost);
  free (s);
}
