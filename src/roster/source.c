#include "roster/source.h"

#include <assert.h>
#include <stdlib.h>

#include "base/log.h"
#include "roster/codec.h"
#include "roster/table.h"
#include "roster/work.h"
#include "wire/conn.h"
#include "wire/frame.h"

#define PART "roster"

/* A connection on which nothing was read for this time is closed; daemons send
   a ping every 300 ms.  */
#define SILENCE_TIMEOUT (1500 * ZP_MS)

/* A server is gone after this many report periods without a report.  One
   report may be lost, and its repetition goes to another control daemon.  */
#define MISSED_REPORTS 4

/* Unchanged reports of a server are passed on once in this many periods.  When
   a server starts to report here, the control daemon that had its reports
   before marks it as gone; entry daemons need a newer report until then.  */
#define REFRESH_PERIODS 2

#define TICK_PERIOD (100 * ZP_MS)

/* The connection of one daemon.  */
struct link
{
  struct link *next;
  struct ro_source *source;
  struct wi_conn *conn;
  zp_time accepted_at;
  bool identified; /* its hello has arrived */
  struct tk_daemon daemon;
  struct zp_buf hello;  /* the last one, encoded */
  uint64_t sent, acked; /* numbers of the last updates */
  zp_time sent_at;      /* when the wait for the acknowledgement began */
};

/* A report with a report_id that waits for the acknowledgement of every entry
   daemon.  */
struct pending
{
  uint64_t report_id;
  uint64_t number; /* of the update that has to be acknowledged */
};

struct ro_source
{
  struct tk_loop *loop;
  struct tk_task task;
  struct tk_task *decider;
  zp_time report_period;
  struct wi_listener *listener;
  struct link *links;
  struct ro_table table;
  struct ro_work work;
  struct zp_buf region; /* of this daemon */
  uint64_t number;      /* of the last change */
  struct pending *pending;
  size_t pending_count, pending_cap;
  struct zp_buf controls; /* "IP:port" lines */
  unsigned entries;       /* connected entry daemons, as last sent */
  bool fresh;             /* in contact with the leader of the log */
  ev_timer batch, tick;
};

/* Acknowledgements.  */

/* Whether the acknowledgement of this daemon is waited for.  */
static bool
must_ack (const struct link *l, zp_time now)
{
  return l->identified && l->daemon.kind == TK_DAEMON_ENTRY
         && (l->acked >= l->sent || now - l->sent_at < RO_ACK_TIMEOUT);
}

static bool
all_acked (const struct ro_source *s, uint64_t number, zp_time now)
{
  for (const struct link *l = s->links; l; l = l->next)
    if (must_ack (l, now) && l->acked < number)
      return false;
  return true;
}

/* Sends TK_SERVER_SETTLED for each report that all daemons have
   acknowledged.  */
static void
send_settled (struct ro_source *s)
{
  zp_time now = zp_clock_mono ();
  size_t kept = 0;

  for (size_t i = 0; i < s->pending_count; i++)
    if (all_acked (s, s->pending[i].number, now))
      {
        struct tk_msg *m = tk_msg_new (TK_SERVER_SETTLED);
        m->u.settled.report_id = s->pending[i].report_id;
        tk_send (s->decider, m);
      }
    else
      s->pending[kept++] = s->pending[i];
  s->pending_count = kept;
}

static void
add_pending (struct ro_source *s, uint64_t report_id)
{
  if (s->pending_count == s->pending_cap)
    {
      s->pending_cap = s->pending_cap > 0 ? 2 * s->pending_cap : 16;
      s->pending
          = zp_realloc (s->pending, s->pending_cap * sizeof *s->pending);
    }
  s->pending[s->pending_count++]
      = (struct pending){ .report_id = report_id, .number = s->number };
}

/* Updates.  */

static size_t
list_controls (const struct ro_source *s, struct zp_str *out, size_t max)
{
  struct zp_str rest = zp_str_of (&s->controls), line;
  size_t n = 0;

  while (rest.len > 0 && n < max)
    {
      zp_str_split (rest, '\n', &line, &rest);
      if (line.len > 0)
        out[n++] = line;
    }
  return n;
}

#define CONTROLS_MAX 64

/* Sends the servers that have changed or been refreshed since the last update
   of the link.  */
static void
send_update (struct link *l, zp_time now)
{
  struct ro_source *s = l->source;
  struct tk_server *list
      = zp_alloc ((s->table.len + 1) * sizeof (struct tk_server));
  struct zp_str controls[CONTROLS_MAX];
  struct zp_buf b = { .ptr = NULL };
  struct ro_update u = { .number = s->number, .entries = s->entries };

  for (size_t i = 0; i < s->table.len; i++)
    {
      const struct ro_server *x = &s->table.item[i];
      if ((x->change_number <= l->sent && x->refresh_number <= l->sent)
          || l->daemon.kind != TK_DAEMON_ENTRY)
        continue;
      list[u.servers] = x->report;
      list[u.servers].same = x->change_number <= l->sent;
      list[u.servers++].cold = x->cold_until > now ? x->cold_until - now : 0;
    }
  u.server = list;
  u.control = controls;
  u.controls = list_controls (s, controls, CONTROLS_MAX);
  ro_put_update (&b, &u);
  if (l->acked >= l->sent)
    l->sent_at = now;
  l->sent = s->number;
  if (!wi_conn_send (l->conn, WI_ROSTER_UPDATE, zp_str_of (&b)))
    zp_log (ZP_LOG_WARNING, PART,
            "dropped an update to daemon %s: its send queue is full",
            l->daemon.name);
  zp_buf_free (&b);
  free (list);
}

static void
send_changes (struct ro_source *s)
{
  zp_time now = zp_clock_mono ();

  for (struct link *l = s->links; l; l = l->next)
    if (l->identified && l->sent < s->number)
      send_update (l, now);
  send_settled (s);
}

static void
on_batch (struct ev_loop *ev, ev_timer *w, int events)
{
  (void) ev;
  (void) events;
  send_changes (w->data);
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
on_server (struct ro_source *s, const struct tk_server *report)
{
  zp_time now = zp_clock_mono ();
  struct ro_server *x, *replaced;
  enum ro_table_result result
      = ro_table_update (&s->table, report, now, &x, &replaced);

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
      /* It is sent with others at the next tick.  */
      x->refresh_number = ++s->number;
      x->refreshed_at = now;
      break;
    case RO_CHANGED:
    case RO_STARTED:
      log_report (report);
      schedule_update (s);
      x->change_number = s->number;
      x->refreshed_at = now;
      if (replaced)
        replaced->change_number = s->number;
      break;
    }
  if (report->report_id == 0)
    return;
  add_pending (s, report->report_id);
  send_settled (s);
}

/* Connections.  */

static void
send_daemon (const struct link *l, bool lost)
{
  struct tk_msg *m = tk_msg_new (TK_DAEMON);

  m->u.daemon = l->daemon;
  m->u.daemon.lost = lost;
  tk_send (l->source->decider, m);
}

static void
link_free (struct link *l)
{
  struct ro_source *s = l->source;
  struct link **at = &s->links;

  while (*at != l)
    at = &(*at)->next;
  *at = l->next;
  wi_conn_free (l->conn);
  zp_buf_free (&l->hello);
  free (l);
}

/* Whether the same daemon has another connection.  */
static bool
has_other_link (const struct link *l)
{
  for (const struct link *x = l->source->links; x; x = x->next)
    if (x != l && x->identified && x->daemon.id == l->daemon.id)
      return true;
  return false;
}

static void
drop_link (struct link *l, const char *why)
{
  struct ro_source *s = l->source;

  if (l->identified && !has_other_link (l))
    {
      ZP_EVENT (ZP_LOG_NOTICE, PART, "a daemon has disconnected",
                ZP_F_TEXT (ZP_KEY_DAEMON, zp_str_from (l->daemon.name)),
                ZP_F_TEXT (ZP_KEY_REASON, zp_str_from (why)));
      send_daemon (l, true);
      ro_work_drop (&s->work, l->daemon.id);
    }
  link_free (l);
  send_settled (s);
}

/* Counts the connected entry daemons.  Those that are stopping count until
   they disconnect, since they still send requests.  */
static unsigned
count_entries (const struct ro_source *s)
{
  unsigned n = 0;

  for (const struct link *l = s->links; l; l = l->next)
    n += l->identified && l->daemon.kind == TK_DAEMON_ENTRY
         && !has_other_link (l);
  return n;
}

static void
on_hello (struct link *l, struct zp_str payload)
{
  struct tk_daemon d;
  uint64_t acked;

  if (!ro_get_hello (payload, &d, &acked))
    {
      drop_link (l, "a malformed hello");
      return;
    }
  bool first = !l->identified;
  bool same = !first && zp_str_eq (payload, zp_str_of (&l->hello));
  l->identified = true;
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
  send_update (l, zp_clock_mono ());
}

static void
answer_ping (struct link *l)
{
  struct zp_buf b = { .ptr = NULL };

  ro_put_ping (&b, l->source->fresh, zp_str_of (&l->source->region));
  wi_conn_send (l->conn, WI_ROSTER_PING, zp_str_of (&b));
  zp_buf_free (&b);
}

/* Keeps the requests that the daemon has at each server, and answers with the
   sums of the other daemons of its region.  */
static void
on_work (struct link *l, struct zp_str payload)
{
  struct ro_source *s = l->source;
  struct zp_str region = zp_str_from (l->daemon.region);
  zp_time now = zp_clock_mono ();
  struct zp_buf b = { .ptr = NULL };
  struct tk_work own, others;

  if (!ro_get_work (payload, &own))
    {
      zp_log (ZP_LOG_WARNING, PART,
              "daemon %s: dropped a malformed list of work", l->daemon.name);
      return;
    }
  ro_work_set (&s->work, l->daemon.id, region, &own, now);
  ro_work_others (&s->work, l->daemon.id, region, now, &others);
  ro_put_work (&b, &others);
  wi_conn_send (l->conn, WI_ROSTER_WORK, zp_str_of (&b));
  zp_buf_free (&b);
  free (others.item);
}

static void
forward_loss (struct link *from, struct zp_str payload)
{
  for (struct link *l = from->source->links; l; l = l->next)
    if (l != from && l->identified && l->daemon.kind == TK_DAEMON_ENTRY)
      wi_conn_send (l->conn, WI_ROSTER_LOSS, payload);
}

static void
on_frame (void *self, struct wi_conn *conn, uint8_t kind,
          struct zp_str payload)
{
  struct link *l = self;
  uint64_t acked;

  (void) conn;
  switch (kind)
    {
    case WI_ROSTER_HELLO:
      on_hello (l, payload);
      return;
    case WI_ROSTER_PING:
      answer_ping (l);
      return;
    case WI_ROSTER_WORK:
      if (l->identified)
        on_work (l, payload);
      return;
    case WI_ROSTER_LOSS:
      forward_loss (l, payload);
      return;
    case WI_ROSTER_ACK:
      if (ro_get_ack (payload, &acked))
        {
          if (acked > l->acked)
            l->acked = acked;
          l->sent_at = zp_clock_mono ();
          send_settled (l->source);
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
  struct link *l = zp_alloc (sizeof *l);

  l->source = s;
  l->conn = conn;
  l->accepted_at = zp_clock_mono ();
  l->next = s->links;
  s->links = l;
  wi_conn_set_handlers (conn, &handlers, l);
}

static void
on_tick (struct ev_loop *ev, ev_timer *w, int events)
{
  struct ro_source *s = w->data;
  zp_time now = zp_clock_mono ();

  (void) ev;
  (void) events;
  for (struct link *l = s->links, *next; l; l = next)
    {
      next = l->next;
      zp_time read_at = wi_conn_last_read (l->conn);
      if (now - (read_at > l->accepted_at ? read_at : l->accepted_at)
          > SILENCE_TIMEOUT)
        drop_link (l, "silent");
    }
  ro_table_expire (&s->table, now - MISSED_REPORTS * s->report_period, now,
                   on_expired, s);
  unsigned entries = count_entries (s);
  if (entries != s->entries)
    {
      s->entries = entries;
      s->number++;
    }
  send_changes (s);
}

/* Messages.  */

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
      s->fresh = m->u.config_fresh.fresh;
      break;
    case TK_CONFIG_SOURCES:
      zp_buf_clear (&s->controls);
      zp_buf_put (&s->controls, zp_str_of (&m->u.addresses.lines));
      schedule_update (s);
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
ro_source_close (struct ro_source *s)
{
  if (!s)
    return;
  for (struct link *l = s->links, *next; l; l = next)
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
  zp_buf_free (&s->region);
  zp_buf_free (&s->controls);
  free (s->pending);
  free (s);
}
