#include "peer/mesh.h"

#include <assert.h>
#include <stdlib.h>

#include "base/counter.h"
#include "base/log.h"
#include "peer/codec.h"
#include "wire/bytes.h"
#include "wire/conn.h"
#include "wire/frame.h"

#define PART "peer"

/* Period at which the time limits are checked.  */
#define TICK_PERIOD (50 * ZP_MS)

/* One connection, opened by this daemon or by the other one.  */
struct link
{
  struct link *next;
  struct pe_mesh *mesh;
  struct wi_conn *conn;
  bool opened_here;
  int member; /* index; -1 before the hello of an accepted connection */
  uint64_t incarnation; /* of the other side; 0 before its hello */
  uint64_t seq;         /* of the last heartbeat sent */
  uint64_t acked;       /* highest acknowledged one */
  zp_time heartbeat_at; /* when the next heartbeat is due */
};

/* When to connect to a member next.  */
struct dial
{
  zp_time not_before; /* earliest time of the next attempt */
  zp_time backoff;    /* doubles when a connection ends or cannot be opened */
};

struct pe_mesh
{
  struct tk_loop *loop;
  struct tk_task task;
  struct tk_task *decider;
  struct wi_listener *listener;
  struct pe_members members;
  struct dial *dials; /* by member index */
  size_t dial_count;
  struct pe_hello self;
  struct zp_buf texts[4]; /* memory of the views in SELF */
  struct link *links;
  bool leaving;
  uint64_t next_named; /* modulo members: the one in the next heartbeat */
  ev_timer timer;
  struct zp_counter *dropped;
};

/* Events to the deciding task.  */

static void
send_change (struct pe_mesh *m, int index, enum pe_event e)
{
  const struct pe_member *p = &m->members.item[index];

  if (e == PE_NOTHING || e == PE_PROBE)
    return;
  struct tk_msg *out
      = tk_msg_new (e == PE_WENT_DOWN ? TK_PEER_DOWN : TK_PEER_UP);
  struct tk_peer_change *c = &out->u.peer;
  c->peer = p->id;
  c->incarnation = p->incarnation;
  c->leaving = p->leaving;
  zp_str_copy (c->address, sizeof c->address, zp_str_from (p->http));
  zp_str_copy (c->failure_domain, sizeof c->failure_domain,
               zp_str_from (p->failure_domain));
  zp_str_copy (c->region, sizeof c->region, zp_str_from (p->region));
  const char *state = e == PE_WENT_DOWN ? "down"
                      : p->leaving      ? "leaving"
                      : e == PE_CAME_UP ? "up"
                                        : "up again";
  ZP_EVENT (
      ZP_LOG_NOTICE, PART, "the state of an entry daemon has changed",
      ZP_F_INT (ZP_KEY_MEMBER, p->id),
      ZP_F_TEXT (ZP_KEY_STATE, zp_str_from (state)),
      ZP_F_TEXT (ZP_KEY_FAILURE_DOMAIN, zp_str_from (p->failure_domain)));
  tk_send (m->decider, out);
}

/* Links.  */

static struct link *
link_new (struct pe_mesh *m, bool opened_here, int member)
{
  struct link *l = zp_alloc (sizeof *l);

  l->mesh = m;
  l->opened_here = opened_here;
  l->member = member;
  l->next = m->links;
  m->links = l;
  return l;
}

static void
link_free (struct link *l)
{
  struct link **at = &l->mesh->links;

  while (*at != l)
    at = &(*at)->next;
  *at = l->next;
  wi_conn_free (l->conn);
  free (l);
}

static bool
is_own_address (const struct pe_mesh *m, struct zp_str wire)
{
  return zp_str_eq (m->self.wire, wire);
}

static void
learn_address (void *self, struct zp_str wire)
{
  struct pe_mesh *m = self;

  if (!is_own_address (m, wire))
    pe_members_add (&m->members, wire);
}

static void
send_hello (struct link *l)
{
  struct zp_buf b = { .ptr = NULL };

  pe_put_hello (&b, &l->mesh->self, &l->mesh->members);
  wi_conn_send (l->conn, WI_HELLO, zp_str_of (&b));
  zp_buf_free (&b);
}

static void
send_heartbeat (struct link *l, const struct pe_heartbeat *h)
{
  struct zp_buf b = { .ptr = NULL };

  pe_put_heartbeat (&b, h);
  wi_conn_send (l->conn, WI_HEARTBEAT, zp_str_of (&b));
  zp_buf_free (&b);
}

/* Grows the dial table with the member table.  */
static void
grow_dials (struct pe_mesh *m)
{
  if (m->dial_count >= m->members.len)
    return;
  m->dials = zp_realloc (m->dials, m->members.len * sizeof *m->dials);
  for (; m->dial_count < m->members.len; m->dial_count++)
    m->dials[m->dial_count] = (struct dial){ .not_before = 0 };
}

/* Whether H is of another daemon, or of another start, than the hello that L has
   brought before.  */
static bool
is_second_hello (const struct link *l, const struct pe_hello *h)
{
  return l->incarnation != 0
         && (h->incarnation != l->incarnation
             || h->id != l->mesh->members.item[l->member].id);
}

static void
on_hello (struct link *l, struct zp_str payload)
{
  struct pe_mesh *m = l->mesh;
  struct pe_hello h;
  void *owner;
  int index = -1;
  enum pe_event e = PE_NOTHING;

  bool valid = pe_get_hello (payload, &h, &owner);
  if (valid && is_second_hello (l, &h))
    {
      zp_log (ZP_LOG_WARNING, PART,
              "closed a connection: a hello of another daemon or start");
      wi_free (owner);
      link_free (l);
      return;
    }
  if (valid)
    {
      e = pe_members_hello (&m->members, &h, zp_clock_mono (), &index);
      pe_each_address (owner, learn_address, m);
    }
  else
    zp_log (ZP_LOG_WARNING, PART, "dropped a malformed hello");
  if (index >= 0)
    {
      grow_dials (m);
      if (l->opened_here && l->member != index)
        pe_members_note_alias (&m->members, l->member, h.id);
      l->member = index;
      l->incarnation = h.incarnation;
      send_change (m, index, e);
      if (!l->opened_here)
        send_hello (l);
    }
  wi_free (owner);
}

static void
on_heartbeat (struct link *l, struct zp_str payload)
{
  struct pe_mesh *m = l->mesh;
  struct pe_heartbeat h;
  void *owner;

  if (!pe_get_heartbeat (payload, &h, &owner))
    {
      wi_free (owner);
      return;
    }
  send_change (m, l->member,
               pe_members_heartbeat (&m->members, l->member, l->incarnation,
                                     h.leaving, zp_clock_mono ()));
  if (h.known.len > 0)
    learn_address (m, h.known);
  if (h.ack)
    {
      l->acked = h.seq > l->acked ? h.seq : l->acked;
      /* The connection works, so that the next one need not wait.  */
      if (l->opened_here)
        m->dials[l->member].backoff = 0;
    }
  else
    send_heartbeat (l, &(struct pe_heartbeat){
                           .seq = h.seq, .ack = true, .leaving = m->leaving });
  wi_free (owner);
}

/* Passes a frame to the deciding task.  Bytes that a killed daemon has sent can
   arrive after the hello of its next start; they are not of that start.  */
static void
forward_frame (struct link *l, uint8_t kind, struct zp_str payload)
{
  const struct pe_member *p = &l->mesh->members.item[l->member];

  if (l->incarnation != p->incarnation)
    {
      zp_log (ZP_LOG_NOTICE, PART,
              "dropped a frame of an earlier start of a daemon");
      return;
    }
  struct tk_msg *m = tk_msg_new (TK_PEER_FRAME);
  m->u.frame.peer = p->id;
  m->u.frame.kind = kind;
  zp_buf_put (&m->u.frame.payload, payload);
  tk_send (l->mesh->decider, m);
}

static void
on_frame (void *self, struct wi_conn *c, uint8_t kind, struct zp_str payload)
{
  struct link *l = self;

  (void) c;
  if (kind == WI_HELLO)
    on_hello (l, payload);
  else if (l->incarnation == 0)
    zp_log (ZP_LOG_WARNING, PART,
            "dropped a frame that arrived before the hello");
  else if (kind == WI_HEARTBEAT)
    on_heartbeat (l, payload);
  else
    forward_frame (l, kind, payload);
}

static void
back_off (struct pe_mesh *m, int index)
{
  struct dial *d = &m->dials[index];

  d->backoff
      = d->backoff < ZP_RECONNECT_MIN ? ZP_RECONNECT_MIN : d->backoff * 2;
  if (d->backoff > ZP_RECONNECT_MAX)
    d->backoff = ZP_RECONNECT_MAX;
  d->not_before = zp_clock_mono () + d->backoff;
}

static void
on_end (void *self, struct wi_conn *c, const struct zp_err *why)
{
  struct link *l = self;
  struct pe_mesh *m = l->mesh;

  (void) c;
  zp_log (ZP_LOG_DEBUG, PART, "a connection ended: %s", why->text);
  if (l->opened_here)
    {
      grow_dials (m);
      /* A refused connect proves that no process listens there; other errors
         do not.  */
      if (l->incarnation == 0 && why->code == ZP_EUNAVAIL)
        send_change (m, l->member,
                     pe_members_refused (&m->members, l->member));
      back_off (m, l->member);
    }
  link_free (l);
}

static const struct wi_handlers link_handlers
    = { .on_frame = on_frame, .on_end = on_end };

static void
on_accept (void *self, struct wi_conn *c)
{
  struct link *l = link_new (self, false, -1);

  l->conn = c;
  wi_conn_set_handlers (c, &link_handlers, l);
}

static void
dial (struct pe_mesh *m, int index)
{
  struct pe_member *p = &m->members.item[index];
  struct zp_err err;

  struct link *l = link_new (m, true, index);
  l->conn = wi_conn_open (m->loop->ev, zp_str_from (p->wire), &link_handlers,
                          l, &err);
  if (!l->conn)
    {
      zp_log (ZP_LOG_WARNING, PART, "%s", err.text);
      back_off (m, index);
      link_free (l);
      return;
    }
  l->heartbeat_at = zp_clock_mono ();
  send_hello (l);
}

/* Sending for the deciding task.  */

/* Prefers the link that was opened here: only on this one are the heartbeats
   checked for acknowledgements.  */
static struct link *
usable_link (struct pe_mesh *m, int index)
{
  struct link *best = NULL;

  for (struct link *l = m->links; l; l = l->next)
    if (l->member == index && l->incarnation != 0 && wi_conn_ready (l->conn)
        && (!best || l->opened_here))
      best = l;
  return best;
}

static void
send_to (struct pe_mesh *m, int index, const struct tk_peer_frame *f)
{
  struct link *l = usable_link (m, index);

  if (!l || !wi_conn_send (l->conn, f->kind, zp_str_of (&f->payload)))
    zp_count (m->dropped, 1);
}

static void
on_message (void *self, struct tk_msg *msg)
{
  struct pe_mesh *m = self;

  switch (msg->kind)
    {
    case TK_PEER_SEND:
      for (size_t i = 0; i < m->members.len; i++)
        {
          const struct pe_member *p = &m->members.item[i];
          bool live = p->state == PE_ALIVE || p->state == PE_SUSPECT;
          if (live && (msg->u.frame.peer == 0 || msg->u.frame.peer == p->id))
            send_to (m, (int) i, &msg->u.frame);
        }
      break;
    case TK_STOP:
      m->leaving = true;
      for (struct link *l = m->links; l; l = l->next)
        l->heartbeat_at = 0;
      break;
    default:
      assert (!"message kind that the mesh task does not handle");
    }
  tk_msg_free (msg);
}

/* Timers.  */

static struct link *
link_opened_here (struct pe_mesh *m, int index)
{
  for (struct link *l = m->links; l; l = l->next)
    if (l->member == index && l->opened_here)
      return l;
  return NULL;
}

/* The address in the next heartbeat: those of all members in turn.  */
static struct zp_str
next_known (struct pe_mesh *m)
{
  if (m->members.len == 0)
    return ZP_STR ("");
  return zp_str_from (m->members.item[m->next_named++ % m->members.len].wire);
}

/* Sends a heartbeat when one is due.  Returns false when ZP_HEARTBEAT_MISSED
   heartbeats have not been acknowledged.  */
static bool
send_due_heartbeat (struct link *l, zp_time now)
{
  struct pe_mesh *m = l->mesh;
  zp_time period = m->members.item[l->member].period;

  if (now < l->heartbeat_at)
    return true;
  if (l->seq >= l->acked + ZP_HEARTBEAT_MISSED)
    return false;
  l->heartbeat_at = now + period;
  send_heartbeat (l, &(struct pe_heartbeat){ .seq = ++l->seq,
                                             .leaving = m->leaving,
                                             .known = next_known (m) });
  return true;
}

/* Closes the links to the member of KEEP that were opened here, except KEEP: a
   member that is reached at two addresses gets two, and only one of them is
   watched.  */
static void
close_duplicates (struct pe_mesh *m, const struct link *keep)
{
  for (struct link *l = m->links, *next; l; l = next)
    {
      next = l->next;
      if (l != keep && l->member == keep->member && l->opened_here)
        link_free (l);
    }
}

static void
check_member (struct pe_mesh *m, int index, zp_time now)
{
  struct link *l = link_opened_here (m, index);

  if (l && l->incarnation != 0)
    close_duplicates (m, l);
  enum pe_event e = pe_members_tick (&m->members, index, now);

  send_change (m, index, e);
  if (l && (e == PE_PROBE || !send_due_heartbeat (l, now)))
    {
      zp_log (ZP_LOG_NOTICE, PART,
              "the connection to member %llu is silent, opening a fresh one",
              (unsigned long long) m->members.item[index].id);
      zp_count (zp_counter ("zp_peer_silent_connections_total", ""), 1);
      link_free (l);
      l = NULL;
      m->dials[index].not_before = now;
    }
  /* The region of a member is known only after its hello.  A link that was
     opened to learn the region is closed when it is not wanted.  */
  if (l && l->incarnation != 0 && !pe_members_wants_link (&m->members, index))
    {
      link_free (l);
      return;
    }
  if (!l && now >= m->dials[index].not_before
      && pe_members_wants_link (&m->members, index))
    dial (m, index);
}

static void
on_tick (struct ev_loop *ev, ev_timer *w, int events)
{
  struct pe_mesh *m = w->data;
  zp_time now = zp_clock_mono ();

  (void) ev;
  (void) events;
  grow_dials (m);
  for (size_t i = 0; i < m->members.len; i++)
    check_member (m, (int) i, now);
}

/* Set-up.  */

static struct zp_str
copy_text (struct zp_buf *b, struct zp_str s)
{
  *b = zp_buf_from (s);
  return zp_str_of (b);
}

struct pe_mesh *
pe_mesh_open (struct tk_loop *l, const struct pe_hello *self,
              struct zp_str listen, const struct zp_strs *seeds,
              struct tk_task *decider, struct zp_err *err)
{
  struct pe_mesh *m = zp_alloc (sizeof *m);

  m->loop = l;
  m->decider = decider;
  m->listener = wi_listen (l->ev, listen, on_accept, m, err);
  if (!m->listener)
    {
      free (m);
      return NULL;
    }
  m->self = (struct pe_hello){
    .id = self->id,
    .incarnation = self->incarnation,
    .failure_domain = copy_text (&m->texts[0], self->failure_domain),
    .region = copy_text (&m->texts[1], self->region),
    .http = copy_text (&m->texts[2], self->http),
    .wire = copy_text (&m->texts[3], self->wire),
  };
  m->dropped = zp_counter ("zp_peer_frames_dropped_total", "");
  pe_members_init (&m->members, self->id, self->region);
  for (size_t i = 0; i < seeds->len; i++)
    learn_address (m, seeds->item[i]);
  tk_task_init (&m->task, l, on_message, m);
  ev_timer_init (&m->timer, on_tick, 0.0, (double) TICK_PERIOD / ZP_SEC);
  m->timer.data = m;
  ev_timer_start (l->ev, &m->timer);
  return m;
}

struct tk_task *
pe_mesh_task (struct pe_mesh *m)
{
  return &m->task;
}

size_t
pe_mesh_links (const struct pe_mesh *m)
{
  size_t n = 0;

  for (const struct link *l = m->links; l; l = l->next)
    n += l->opened_here;
  return n;
}

void
pe_mesh_close (struct pe_mesh *m)
{
  if (!m)
    return;
  for (struct link *l = m->links, *next; l; l = next)
    {
      next = l->next;
      link_free (l);
    }
  ev_timer_stop (m->loop->ev, &m->timer);
  wi_listener_free (m->listener);
  tk_task_free (&m->task);
  pe_members_free (&m->members);
  for (size_t i = 0; i < sizeof m->texts / sizeof m->texts[0]; i++)
    zp_buf_free (&m->texts[i]);
  free (m->dials);
  free (m);
}
