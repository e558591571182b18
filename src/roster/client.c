#include "roster/client.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "roster/codec.h"
#include "roster/rank.h"
#include "wire/conn.h"
#include "wire/frame.h"

#define PART "roster"

#define TICK (100 * ZP_MS)

/* A connection is tried again after this time, and given up when it does not
   stand or nothing was read for SILENCE.  */
#define REDIAL (300 * ZP_MS)
#define SILENCE (1000 * ZP_MS)

/* A control daemon that was named by others is forgotten when neither it nor
   another one has been heard to name it for this long.  */
#define FORGET (60 * ZP_SEC)

#define CONTROLS_MAX 64

struct control
{
  struct ro_client *client;
  char address[ZP_ADDRESS_MAX]; /* of its operators' interface */
  bool seed;
  zp_time named; /* last heard of */
  struct wi_conn *conn;
  struct ro_standing standing;
  bool waits;               /* its rank falls when RO_RANK_PATIENCE is over */
  char region[ZP_NAME_MAX]; /* empty: not known yet */
  zp_time dialed, dial_at;
  unsigned entries;
  uint64_t acked;
};

struct ro_client
{
  struct tk_loop *loop;
  struct tk_task task;
  struct tk_task *decider, *follower;
  struct tk_daemon self;
  unsigned roster_port, follow_port;
  struct control *control[CONTROLS_MAX];
  size_t controls;
  unsigned entries; /* as last told */
  zp_time ping_at;
  ev_timer timer;
};

/* Control daemons.  */

/* The host part of ADDRESS with another port.  */
static void
with_port (struct zp_str address, unsigned port, struct zp_buf *out)
{
  size_t n = address.len;

  while (n > 0 && address.ptr[n - 1] != ':')
    n--;
  zp_buf_printf (out, "%.*s%u", (int) n, address.ptr ? address.ptr : "", port);
}

static void
tell_follower (struct ro_client *c)
{
  if (!c->follower)
    return;
  struct tk_msg *m = tk_msg_new (TK_CONFIG_SOURCES);
  enum ro_rank rank[CONTROLS_MAX], best = RO_RANK_NONE;
  zp_time now = zp_clock_mono ();
  for (size_t i = 0; i < c->controls; i++)
    {
      struct control *x = c->control[i];
      rank[i] = ro_rank (&x->standing, now);
      x->waits = rank[i] == RO_RANK_CURRENT && !x->standing.current;
      if (rank[i] > best)
        best = rank[i];
    }
  for (size_t i = 0; i < c->controls; i++)
    {
      if (rank[i] < best)
        continue;
      with_port (zp_str_from (c->control[i]->address), c->follow_port,
                 &m->u.addresses.lines);
      zp_buf_put (&m->u.addresses.lines, ZP_STR ("\n"));
    }
  tk_send (c->follower, m);
}

static struct control *
find (struct ro_client *c, struct zp_str address)
{
  for (size_t i = 0; i < c->controls; i++)
    if (zp_str_eq (zp_str_from (c->control[i]->address), address))
      return c->control[i];
  return NULL;
}

/* Notes that a control daemon was named.  Returns whether it is new.  */
static bool
name_control (struct ro_client *c, struct zp_str address, bool seed)
{
  struct control *x = find (c, address);

  if (x)
    {
      x->named = zp_clock_mono ();
      x->seed = x->seed || seed;
      return false;
    }
  if (c->controls == CONTROLS_MAX || address.len == 0
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
  x->named = zp_clock_mono ();
  c->control[c->controls++] = x;
  return true;
}

static void
forget (struct ro_client *c, size_t at)
{
  struct control *x = c->control[at];

  wi_conn_free (x->conn);
  free (x);
  c->control[at] = c->control[--c->controls];
}

static void
take_seeds (struct ro_client *c, struct zp_str lines)
{
  struct zp_str rest = lines, line;
  bool more = false;

  for (size_t i = 0; i < c->controls; i++)
    c->control[i]->seed = false;
  while (rest.len > 0)
    {
      zp_str_split (rest, '\n', &line, &rest);
      more = name_control (c, line, true) || more;
    }
  if (more)
    tell_follower (c);
}

/* Connections.  */

static void
hang_up (struct control *x, const char *why)
{
  if (x->conn && wi_conn_ready (x->conn))
    ZP_EVENT (ZP_LOG_NOTICE, PART, "a control daemon is lost",
              ZP_F_TEXT (ZP_KEY_ADDRESS, zp_str_from (x->address)),
              ZP_F_TEXT (ZP_KEY_REASON, zp_str_from (why)));
  wi_conn_free (x->conn);
  x->conn = NULL;
  x->dial_at = zp_clock_mono () + REDIAL;
  if (!x->standing.known)
    return;
  x->standing = (struct ro_standing){ .known = false };
  tell_follower (x->client);
}

static void
send_hello (struct control *x)
{
  struct zp_buf b = { .ptr = NULL };

  ro_put_hello (&b, &x->client->self, x->acked);
  wi_conn_send (x->conn, WI_ROSTER_HELLO, zp_str_of (&b));
  zp_buf_free (&b);
}

static void
tell_census (struct ro_client *c)
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

static void
take_update (struct control *x, struct zp_str payload)
{
  struct ro_client *c = x->client;
  struct zp_buf b = { .ptr = NULL };
  struct ro_update u;
  void *owner;
  bool more = false;

  if (!ro_get_update (payload, &u, &owner))
    {
      ro_update_free (&u, owner);
      hang_up (x, "an update that cannot be read");
      return;
    }
  for (size_t i = 0; i < u.servers; i++)
    {
      struct tk_msg *m = tk_msg_new (TK_SERVER);
      m->u.server = u.server[i];
      tk_send (c->decider, m);
    }
  for (size_t i = 0; i < u.controls; i++)
    more = name_control (c, u.control[i], false) || more;
  if (more || !x->standing.known)
    {
      if (!x->standing.known)
        x->standing.known_at = zp_clock_mono ();
      x->standing.known = true;
      tell_follower (c);
    }
  x->entries = u.entries;
  x->acked = u.number;
  tell_census (c);
  ro_put_ack (&b, u.number);
  wi_conn_send (x->conn, WI_ROSTER_ACK, zp_str_of (&b));
  zp_buf_free (&b);
  ro_update_free (&u, owner);
}

static void
take_ping (struct control *x, struct zp_str payload)
{
  bool current;

  if (!ro_get_ping (payload, &current, x->region))
    {
      hang_up (x, "a ping that cannot be read");
      return;
    }
  if (current == x->standing.current)
    return;
  x->standing.current = current;
  x->standing.was_current = x->standing.was_current || current;
  tell_follower (x->client);
}

static void
pass_work (struct control *x, struct zp_str payload)
{
  struct tk_msg *m = tk_msg_new (TK_WORK);

  if (ro_get_work (payload, &m->u.work))
    {
      tk_send (x->client->decider, m);
      return;
    }
  tk_msg_free (m);
  hang_up (x, "work that cannot be read");
}

static void
pass_loss (struct control *x, struct zp_str payload)
{
  struct tk_msg *m = tk_msg_new (TK_LOSS);

  if (ro_get_loss (payload, &m->u.loss))
    {
      tk_send (x->client->decider, m);
      return;
    }
  tk_msg_free (m);
  hang_up (x, "a loss that cannot be read");
}

static void
on_frame (void *self, struct wi_conn *conn, uint8_t kind,
          struct zp_str payload)
{
  struct control *x = self;

  (void) conn;
  switch (kind)
    {
    case WI_ROSTER_UPDATE:
      take_update (x, payload);
      return;
    case WI_ROSTER_PING:
      take_ping (x, payload);
      return;
    case WI_ROSTER_WORK:
      pass_work (x, payload);
      return;
    case WI_ROSTER_LOSS:
      pass_loss (x, payload);
      return;
    default:
      hang_up (x, "a frame of another protocol");
      return;
    }
}

static void
on_end (void *self, struct wi_conn *conn, const struct zp_err *why)
{
  (void) conn;
  hang_up (self, why->text);
}

static const struct wi_handlers handlers
    = { .on_frame = on_frame, .on_end = on_end };

static void
dial (struct control *x, zp_time now)
{
  struct zp_buf address = { .ptr = NULL };
  struct zp_err err = { .text = "" };

  with_port (zp_str_from (x->address), x->client->roster_port, &address);
  x->conn = wi_conn_open (x->client->loop->ev, zp_str_of (&address), &handlers,
                          x, &err);
  zp_buf_free (&address);
  x->dialed = now;
  x->acked = 0;
  if (!x->conn)
    {
      zp_log (ZP_LOG_WARNING, PART, "control daemon %s: %s", x->address,
              err.text);
      x->dial_at = now + REDIAL;
      return;
    }
  send_hello (x);
}

static void
check (struct control *x, bool ping, zp_time now)
{
  if (!x->conn)
    {
      if (now >= x->dial_at)
        dial (x, now);
      return;
    }
  if (!wi_conn_ready (x->conn))
    {
      if (now - x->dialed > ZP_CONNECT_TIMEOUT)
        hang_up (x, "no connection");
      return;
    }
  if (now - wi_conn_last_read (x->conn) > SILENCE && now - x->dialed > SILENCE)
    {
      hang_up (x, "silent");
      return;
    }
  if (ping)
    wi_conn_send (x->conn, WI_ROSTER_PING, ZP_STR (""));
}

static void
on_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  struct ro_client *c = w->data;
  zp_time now = zp_clock_mono ();
  bool ping = now >= c->ping_at;

  (void) ev;
  (void) events;
  if (ping)
    c->ping_at = now + RO_PING_PERIOD;
  for (size_t i = 0; i < c->controls;)
    {
      struct control *x = c->control[i];
      if (!x->seed && !x->conn && now - x->named > FORGET)
        {
          forget (c, i);
          tell_follower (c);
          continue;
        }
      check (x, ping, now);
      if (x->waits && ro_rank (&x->standing, now) != RO_RANK_CURRENT)
        tell_follower (c);
      i++;
    }
}

/* Messages.  */

static void
take_self (struct ro_client *c, const struct tk_daemon *d)
{
  c->self = *d;
  for (size_t i = 0; i < c->controls; i++)
    if (c->control[i]->conn && wi_conn_ready (c->control[i]->conn))
      send_hello (c->control[i]);
}

/* The control daemon of this region that sums up the work: the one with the
   lowest address that is connected, which is the same for all daemons of the
   region while none is cut off.  NULL: none.  */
static struct control *
hub (struct ro_client *c)
{
  struct control *best = NULL;

  for (size_t i = 0; i < c->controls; i++)
    {
      struct control *x = c->control[i];
      if (x->standing.known && strcmp (x->region, c->self.region) == 0
          && (!best || strcmp (x->address, best->address) < 0))
        best = x;
    }
  return best;
}

static void
send_work (struct ro_client *c, const struct tk_work *w)
{
  struct control *x = hub (c);
  struct zp_buf b = { .ptr = NULL };

  if (!x)
    return;
  ro_put_work (&b, w);
  wi_conn_send (x->conn, WI_ROSTER_WORK, zp_str_of (&b));
  zp_buf_free (&b);
}

/* By two control daemons, so that one that is cut off does not keep it.  */
static void
send_loss (struct ro_client *c, const struct tk_loss *l)
{
  struct zp_buf b = { .ptr = NULL };
  unsigned sent = 0;

  ro_put_loss (&b, l);
  for (size_t i = 0; i < c->controls && sent < 2; i++)
    if (c->control[i]->standing.known)
      sent += wi_conn_send (c->control[i]->conn, WI_ROSTER_LOSS,
                            zp_str_of (&b));
  zp_buf_free (&b);
}

static void
on_message (void *self, struct tk_msg *m)
{
  struct ro_client *c = self;

  switch (m->kind)
    {
    case TK_DAEMON:
      take_self (c, &m->u.daemon);
      break;
    case TK_LOSS:
      send_loss (c, &m->u.loss);
      break;
    case TK_WORK:
      send_work (c, &m->u.work);
      break;
    case TK_SEEDS:
      take_seeds (c, zp_str_of (&m->u.addresses.lines));
      break;
    default:
      assert (!"message that the roster client does not take");
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
    name_control (c, o->seeds->item[i], true);
  tk_task_init (&c->task, l, on_message, c);
  tell_follower (c);
  ev_timer_init (&c->timer, on_timer, 0.0, (double) TICK / ZP_SEC);
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
    forget (c, 0);
  tk_task_free (&c->task);
  free (c);
}
