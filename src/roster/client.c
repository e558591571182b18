#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "roster/client-state.h"
#include "roster/codec.h"

#define PART "roster"

#define TICK_PERIOD (100 * ZP_MS)

/* A lost connection is opened again after RECONNECT_DELAY.  One on which
   nothing was read for SILENCE_TIMEOUT is closed.  */
#define RECONNECT_DELAY (300 * ZP_MS)
#define SILENCE_TIMEOUT (1000 * ZP_MS)

/* The same for control daemons of other regions, where pings cost most and
   which are the last to be followed for the configuration.  */
#define PING_PERIOD_REMOTE (900 * ZP_MS)
#define SILENCE_TIMEOUT_REMOTE (2500 * ZP_MS)

/* A control daemon that is no seed is removed when it is not connected and no
   update has listed it for this time.  */
#define CONTROL_TTL (60 * ZP_SEC)

/* Control daemons.  */

/* Appends the host part of ADDRESS with PORT.  */
static void
with_port (struct zp_str address, unsigned port, struct zp_buf *out)
{
  size_t n = address.len;

  while (n > 0 && address.ptr[n - 1] != ':')
    n--;
  zp_buf_printf (out, "%.*s%u", (int) n, address.ptr ? address.ptr : "", port);
}

/* Appends the sources of rank BEST that are in the own region, or those that
   are not.  */
static void
put_sources (const struct ro_client *c, const enum ro_rank *rank,
             enum ro_rank best, bool own_region, struct zp_buf *out)
{
  for (size_t i = 0; i < c->controls; i++)
    {
      const struct ro_control *x = c->control[i];
      if (rank[i] < best
          || (strcmp (x->region, c->self.region) == 0) != own_region)
        continue;
      with_port (zp_str_from (x->address), c->follow_port, out);
      zp_buf_put (out, ZP_STR ("\n"));
    }
}

/* The nearest sources come first: a change then arrives without a round trip
   between regions, and crosses them once for each control daemon.  */
static void
send_sources (struct ro_client *c)
{
  if (!c->follower)
    return;
  struct tk_msg *m = tk_msg_new (TK_CONFIG_SOURCES);
  enum ro_rank rank[RO_CONTROLS_MAX], best = RO_RANK_NONE;
  zp_time now = zp_clock_mono ();
  for (size_t i = 0; i < c->controls; i++)
    {
      struct ro_control *x = c->control[i];
      rank[i] = ro_rank (&x->state, now);
      x->in_grace = rank[i] == RO_RANK_CURRENT && !x->state.fresh;
      if (rank[i] > best)
        best = rank[i];
    }
  put_sources (c, rank, best, true, &m->u.addresses.lines);
  put_sources (c, rank, best, false, &m->u.addresses.lines);
  tk_send (c->follower, m);
}

static struct ro_control *
find_control (struct ro_client *c, struct zp_str address)
{
  for (size_t i = 0; i < c->controls; i++)
    if (zp_str_eq (zp_str_from (c->control[i]->address), address))
      return c->control[i];
  return NULL;
}

/* Adds a control daemon, or notes that it was listed again.  Returns whether
   it is new.  */
static bool
add_control (struct ro_client *c, struct zp_str address, bool seed)
{
  struct ro_control *x = find_control (c, address);

  if (x)
    {
      x->named_at = zp_clock_mono ();
      x->seed = x->seed || seed;
      return false;
    }
  if (c->controls == RO_CONTROLS_MAX || address.len == 0
      || zp_str_eq (zp_str_from (c->self.address), address))
    return false;
  x = zp_alloc (sizeof *x);
  if (!zp_str_copy (x->address, sizeof x->address, address))
    {
      free (x);
      return false;
    }
  x->client = c;
  x->seed = seed;
  x->named_at = zp_clock_mono ();
  c->control[c->controls++] = x;
  return true;
}

static void
remove_control (struct ro_client *c, size_t at)
{
  struct ro_control *x = c->control[at];

  wi_conn_free (x->conn);
  free (x);
  c->control[at] = c->control[--c->controls];
}

static void
set_seeds (struct ro_client *c, struct zp_str lines)
{
  struct zp_str rest = lines, line;
  bool added = false;

  for (size_t i = 0; i < c->controls; i++)
    c->control[i]->seed = false;
  while (rest.len > 0)
    {
      zp_str_split (rest, '\n', &line, &rest);
      added = add_control (c, line, true) || added;
    }
  if (added)
    send_sources (c);
}

/* Connections.  */

static void
disconnect (struct ro_control *x, const char *why)
{
  if (x->conn && wi_conn_ready (x->conn))
    ZP_EVENT (ZP_LOG_NOTICE, PART,
              "the connection to a control daemon has ended",
              ZP_F_TEXT (ZP_KEY_ADDRESS, zp_str_from (x->address)),
              ZP_F_TEXT (ZP_KEY_REASON, zp_str_from (why)));
  wi_conn_free (x->conn);
  x->conn = NULL;
  x->dial_at = zp_clock_mono () + RECONNECT_DELAY;
  ro_client_note_leads (x, false);
  if (!x->state.answered)
    return;
  x->state = (struct ro_control_state){ .answered = false };
  send_sources (x->client);
}

static void
send_hello (struct ro_control *x)
{
  struct zp_buf b = { .ptr = NULL };

  ro_put_hello (&b, &x->client->self, x->acked);
  wi_conn_send (x->conn, WI_ROSTER_HELLO, zp_str_of (&b));
  zp_buf_free (&b);
}

/* Control daemons count only the entry daemons that are connected to them, so
   the highest number is sent.  */
static void
send_entry_count (struct ro_client *c)
{
  unsigned most = 0;

  for (size_t i = 0; i < c->controls; i++)
    if (c->control[i]->conn && c->control[i]->entries > most)
      most = c->control[i]->entries;
  if (most == c->entries || most == 0)
    return;
  c->entries = most;
  struct tk_msg *m = tk_msg_new (TK_ENTRY_COUNT);
  m->u.entry_count.entries = most;
  tk_send (c->decider, m);
}

/* Passes the servers of U to the deciding task.  */
static void
deliver_servers (struct ro_control *x, const struct ro_update *u)
{
  struct ro_client *c = x->client;

  if (u->unreadable > 0)
    zp_log (ZP_LOG_WARNING, PART,
            "control daemon %s: ignored %zu entries of servers that cannot be "
            "used",
            x->address, u->unreadable);
  for (size_t i = 0; i < u->servers; i++)
    {
      struct tk_msg *m = tk_msg_new (TK_SERVER);
      m->u.server = u->server[i];
      tk_send (c->decider, m);
    }
  if (u->renewals == 0)
    return;
  struct tk_msg *m = tk_msg_new (TK_RENEWALS);
  struct tk_renewals *r = &m->u.renewals;
  r->item = zp_alloc (u->renewals * sizeof *r->item);
  r->len = u->renewals;
  memcpy (r->item, u->renewal, u->renewals * sizeof *r->item);
  tk_send (c->decider, m);
}

static void
on_update (struct ro_control *x, struct zp_str payload)
{
  struct ro_client *c = x->client;
  struct zp_buf b = { .ptr = NULL };
  struct ro_update u;
  void *owner;
  bool added = false;

  if (!ro_get_update (payload, &u, &owner))
    {
      ro_update_free (&u, owner);
      disconnect (x, "a malformed update");
      return;
    }
  if (c->self.kind == TK_DAEMON_ENTRY)
    deliver_servers (x, &u);
  for (size_t i = 0; i < u.controls; i++)
    added = add_control (c, u.control[i], false) || added;
  if (added || !x->state.answered)
    {
      if (!x->state.answered)
        x->state.answered_at = zp_clock_mono ();
      x->state.answered = true;
      send_sources (c);
    }
  x->entries = u.entries;
  x->acked = u.number;
  send_entry_count (c);
  ro_put_ack (&b, u.number);
  wi_conn_send (x->conn, WI_ROSTER_ACK, zp_str_of (&b));
  zp_buf_free (&b);
  ro_update_free (&u, owner);
}

static void
on_ping (struct ro_control *x, struct zp_str payload)
{
  bool fresh, leads;

  if (!ro_get_ping (payload, &fresh, &leads, x->region, x->failure_domain))
    {
      disconnect (x, "a malformed ping");
      return;
    }
  ro_client_note_leads (x, leads);
  if (fresh == x->state.fresh)
    return;
  x->state.fresh = fresh;
  x->state.was_fresh = x->state.was_fresh || fresh;
  send_sources (x->client);
}

/* Passes M, which is for entry daemons only, to the deciding task.  */
static void
send_to_entry (struct ro_client *c, struct tk_msg *m)
{
  if (c->self.kind == TK_DAEMON_ENTRY)
    tk_send (c->decider, m);
  else
    tk_msg_free (m);
}

static void
forward_work (struct ro_control *x, struct zp_str payload)
{
  struct tk_msg *m = tk_msg_new (TK_WORK);

  if (ro_get_work (payload, &m->u.work))
    {
      send_to_entry (x->client, m);
      return;
    }
  tk_msg_free (m);
  disconnect (x, "a malformed list of work");
}

static void
forward_loss (struct ro_control *x, struct zp_str payload)
{
  struct tk_msg *m = tk_msg_new (TK_LOSS);

  if (ro_get_loss (payload, &m->u.loss))
    {
      send_to_entry (x->client, m);
      return;
    }
  tk_msg_free (m);
  disconnect (x, "a malformed loss");
}

static void
on_frame (void *self, struct wi_conn *conn, uint8_t kind,
          struct zp_str payload)
{
  struct ro_control *x = self;

  (void) conn;
  switch (kind)
    {
    case WI_ROSTER_UPDATE:
      on_update (x, payload);
      return;
    case WI_ROSTER_PING:
      on_ping (x, payload);
      return;
    case WI_ROSTER_WORK:
      forward_work (x, payload);
      return;
    case WI_ROSTER_LOSS:
      forward_loss (x, payload);
      return;
    case WI_ROSTER_QUOTA_GRANT:
      if (!ro_client_take_grant (x, payload))
        disconnect (x, "a malformed grant");
      return;
    default:
      disconnect (x, "a frame of an unexpected kind");
      return;
    }
}

static void
on_end (void *self, struct wi_conn *conn, const struct zp_err *why)
{
  (void) conn;
  disconnect (self, why->text);
}

static const struct wi_handlers handlers
    = { .on_frame = on_frame, .on_end = on_end };

static void
dial (struct ro_control *x, zp_time now)
{
  struct zp_buf address = { .ptr = NULL };
  struct zp_err err = { .text = "" };

  with_port (zp_str_from (x->address), x->client->roster_port, &address);
  x->conn = wi_conn_open (x->client->loop->ev, zp_str_of (&address), &handlers,
                          x, &err);
  zp_buf_free (&address);
  x->dialed_at = now;
  x->acked = 0;
  if (!x->conn)
    {
      zp_log (ZP_LOG_WARNING, PART, "control daemon %s: %s", x->address,
              err.text);
      x->dial_at = now + RECONNECT_DELAY;
      return;
    }
  send_hello (x);
}

static bool
is_remote (const struct ro_control *x)
{
  return x->region[0] != '\0'
         && strcmp (x->region, x->client->self.region) != 0;
}

static void
check_control (struct ro_control *x, zp_time now)
{
  if (!x->conn)
    {
      if (now >= x->dial_at)
        dial (x, now);
      return;
    }
  if (!wi_conn_ready (x->conn))
    {
      if (now - x->dialed_at > ZP_CONNECT_TIMEOUT)
        disconnect (x, "connect timed out");
      return;
    }
  zp_time silence = is_remote (x) ? SILENCE_TIMEOUT_REMOTE : SILENCE_TIMEOUT;
  if (now - wi_conn_last_read (x->conn) > silence
      && now - x->dialed_at > silence)
    {
      disconnect (x, "silent");
      return;
    }
  if (now < x->ping_at)
    return;
  x->ping_at = now + (is_remote (x) ? PING_PERIOD_REMOTE : RO_PING_PERIOD);
  wi_conn_send (x->conn, WI_ROSTER_PING, ZP_STR (""));
}

static void
on_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  struct ro_client *c = w->data;
  zp_time now = zp_clock_mono ();

  (void) ev;
  (void) events;
  for (size_t i = 0; i < c->controls;)
    {
      struct ro_control *x = c->control[i];
      if (!x->seed && !x->conn && now - x->named_at > CONTROL_TTL)
        {
          remove_control (c, i);
          send_sources (c);
          continue;
        }
      check_control (x, now);
      if (x->in_grace && ro_rank (&x->state, now) != RO_RANK_CURRENT)
        send_sources (c);
      i++;
    }
}

/* Messages.  */

static void
set_self (struct ro_client *c, const struct tk_daemon *d)
{
  c->self = *d;
  for (size_t i = 0; i < c->controls; i++)
    if (c->control[i]->conn && wi_conn_ready (c->control[i]->conn))
      send_hello (c->control[i]);
}

static void
on_message (void *self, struct tk_msg *m)
{
  struct ro_client *c = self;

  switch (m->kind)
    {
    case TK_DAEMON:
      set_self (c, &m->u.daemon);
      break;
    case TK_LOSS:
      ro_client_send_loss (c, &m->u.loss);
      break;
    case TK_WORK:
      ro_client_send_work (c, &m->u.work);
      break;
    case TK_QUOTA_ASK:
      ro_client_send_ask (c, &m->u.quota_ask);
      break;
    case TK_SEEDS:
      set_seeds (c, zp_str_of (&m->u.addresses.lines));
      break;
    default:
      assert (!"message kind that the roster client does not handle");
    }
  tk_msg_free (m);
}

struct ro_client *
ro_client_open (struct tk_loop *l, const struct ro_client_options *o)
{
  struct ro_client *c = zp_alloc (sizeof *c);

  c->loop = l;
  c->decider = o->decider;
  c->follower = o->follower;
  c->self = o->self;
  c->roster_port = o->roster_port;
  c->follow_port = o->follow_port;
  for (size_t i = 0; i < o->seeds->len; i++)
    add_control (c, o->seeds->item[i], true);
  tk_task_init (&c->task, l, on_message, c);
  send_sources (c);
  ev_timer_init (&c->timer, on_timer, 0.0, (double) TICK_PERIOD / ZP_SEC);
  c->timer.data = c;
  ev_timer_start (l->ev, &c->timer);
  return c;
}

struct tk_task *
ro_client_task (struct ro_client *c)
{
  return &c->task;
}

void
ro_client_close (struct ro_client *c)
{
  if (!c)
    return;
  ev_timer_stop (c->loop->ev, &c->timer);
  while (c->controls > 0)
    remove_control (c, 0);
  tk_task_free (&c->task);
  free (c);
}
