#include "follow/source.h"

#include <assert.h>
#include <stdlib.h>

#include "base/counter.h"
#include "base/log.h"
#include "follow/history.h"
#include "wire/conn.h"
#include "wire/frame.h"

#define PART "source"

/* A connection whose first message has not arrived in this time is closed.  */
#define HELLO_TIMEOUT ZP_FOLLOW_TIMEOUT

/* The connection of one follower.  */
struct client
{
  struct client *next;
  struct fo_source *source;
  struct wi_conn *conn;
  uint64_t id;       /* of its daemon */
  uint64_t sent;     /* version that it has once all frames have arrived */
  bool identified;   /* its first frame has arrived */
  bool awaits_whole; /* a whole configuration, from the provider */
  zp_time accepted_at;
};

struct fo_source
{
  struct tk_loop *loop;
  struct tk_task task;
  struct tk_task *provider;
  struct wi_listener *listener;
  struct fo_history history;
  struct client *clients;
  bool fresh;           /* the provider is in contact with the leader */
  bool whole_requested; /* a TK_CONFIG_REQUEST has not been answered */
  ev_timer timer;
};

/* Sending.  */

static void
client_free (struct client *c)
{
  struct client **at = &c->source->clients;

  while (*at != c)
    at = &(*at)->next;
  *at = c->next;
  wi_conn_free (c->conn);
  free (c);
}

static bool
send_change (struct client *c, const struct fo_change *x)
{
  struct zp_buf b = { .ptr = NULL };

  fo_put_delta (&b, &(struct fo_delta){ .from = x->from,
                                        .version = x->version,
                                        .number = x->number,
                                        .term = x->term,
                                        .change = zp_str_of (&x->bytes) });
  bool ok = wi_conn_send (c->conn, WI_FOLLOW_DELTA, zp_str_of (&b));
  zp_buf_free (&b);
  if (ok)
    c->sent = x->version;
  return ok;
}

static void
request_whole (struct fo_source *s)
{
  if (s->whole_requested)
    return;
  s->whole_requested = true;
  tk_send (s->provider, tk_msg_new (TK_CONFIG_REQUEST));
}

/* Sends the client what it lacks.  What does not fit into the send buffer of
   its connection is sent at a later ping.  */
static void
catch_up (struct client *c)
{
  struct fo_history *h = &c->source->history;
  size_t i = 0;

  switch (fo_history_need (h, c->sent, &i))
    {
    case FO_UP_TO_DATE:
    case FO_AHEAD:
      c->awaits_whole = false;
      return;
    case FO_CHANGES:
      c->awaits_whole = false;
      while (i < h->len && send_change (c, &h->item[i]))
        i++;
      return;
    case FO_SNAPSHOT:
      c->awaits_whole = true;
      request_whole (c->source);
      return;
    }
}

static void
send_whole (struct client *c, const struct tk_config *w)
{
  struct zp_buf b = { .ptr = NULL };
  size_t done = 0;

  do
    {
      size_t n = w->bytes.len - done;
      n = n < ZP_FOLLOW_CHUNK ? n : ZP_FOLLOW_CHUNK;
      zp_buf_clear (&b);
      fo_put_part (&b, &(struct fo_part){
                           .version = w->version,
                           .number = w->number,
                           .term = w->term,
                           .offset = done,
                           .total = w->bytes.len,
                           .part = { .ptr = w->bytes.ptr + done, .len = n } });
      if (!wi_conn_send (c->conn, WI_FOLLOW_SNAPSHOT, zp_str_of (&b)))
        break;
      done += n;
    }
  while (done < w->bytes.len);
  zp_buf_free (&b);
  if (done < w->bytes.len)
    return; /* sent again from the start; the follower drops its parts */
  c->awaits_whole = false;
  c->sent = w->version;
  zp_log (ZP_LOG_NOTICE, PART,
          "sent the whole configuration, version %llu, to daemon %llu",
          (unsigned long long) w->version, (unsigned long long) c->id);
}

static void
on_whole (struct fo_source *s, const struct tk_config *w)
{
  s->whole_requested = false;
  if (w->version > s->history.version)
    fo_history_reset (&s->history, w->version, w->number, w->term);
  for (struct client *c = s->clients; c; c = c->next)
    if (c->identified && c->awaits_whole && w->version > c->sent)
      {
        send_whole (c, w);
        if (!c->awaits_whole)
          catch_up (c);
      }
}

static void
on_change (struct fo_source *s, const struct tk_config *w)
{
  struct fo_delta d = { .from = w->from,
                        .version = w->version,
                        .number = w->number,
                        .term = w->term,
                        .change = zp_str_of (&w->bytes) };

  if (!fo_history_add (&s->history, &d))
    return;
  for (struct client *c = s->clients; c; c = c->next)
    if (c->identified && !c->awaits_whole)
      catch_up (c);
}

/* Receiving.  */

static void
forward_report (void *self, const struct tk_follow_report *r)
{
  struct fo_source *s = self;
  struct tk_msg *m = tk_msg_new (TK_FOLLOW_REPORT);

  m->u.follow_report = *r;
  tk_send (s->provider, m);
}

static void
on_frame (void *self, struct wi_conn *conn, uint8_t kind,
          struct zp_str payload)
{
  struct client *c = self;
  struct fo_follow f;

  (void) conn;
  switch (kind)
    {
    case WI_FOLLOW:
      if (!fo_get_follow (payload, &f))
        break;
      c->id = f.id;
      c->sent = f.have;
      c->identified = true;
      wi_conn_set_frame_max (c->conn, ZP_FRAME_MAX);
      zp_log (ZP_LOG_NOTICE, PART, "daemon %llu follows from version %llu",
              (unsigned long long) f.id, (unsigned long long) f.have);
      catch_up (c);
      return;
    case WI_FOLLOW_REPORT:
      if (fo_get_report (payload, forward_report, c->source))
        return;
      break;
    default:
      break;
    }
  zp_log (ZP_LOG_WARNING, PART,
          "dropped a malformed or unexpected frame of kind %u", kind);
  zp_count (zp_counter ("zp_follow_bad_frames_total", ""), 1);
}

static void
on_end (void *self, struct wi_conn *conn, const struct zp_err *why)
{
  struct client *c = self;

  (void) conn;
  zp_log (ZP_LOG_NOTICE, PART, "daemon %llu stopped following: %s",
          (unsigned long long) c->id, why->text);
  client_free (c);
}

static const struct wi_handlers client_handlers
    = { .on_frame = on_frame, .on_end = on_end };

static void
on_accept (void *self, struct wi_conn *conn)
{
  struct fo_source *s = self;
  struct client *c = zp_alloc (sizeof *c);

  c->source = s;
  c->conn = conn;
  c->accepted_at = zp_clock_mono ();
  c->next = s->clients;
  s->clients = c;
  wi_conn_set_handlers (conn, &client_handlers, c);
  wi_conn_set_frame_max (conn, ZP_HELLO_MAX);
}

static void
on_message (void *self, struct tk_msg *m)
{
  struct fo_source *s = self;

  switch (m->kind)
    {
    case TK_CONFIG:
      if (m->u.config.whole)
        on_whole (s, &m->u.config);
      else
        on_change (s, &m->u.config);
      break;
    case TK_CONFIG_FRESH:
      s->fresh = m->u.config_fresh.fresh;
      break;
    default:
      assert (!"message kind that the source task does not handle");
    }
  tk_msg_free (m);
}

static void
on_ping (struct ev_loop *ev, ev_timer *w, int events)
{
  struct fo_source *s = w->data;
  zp_time now = zp_clock_mono ();
  struct zp_buf b = { .ptr = NULL };

  (void) ev;
  (void) events;
  fo_put_ping (&b, &(struct fo_ping){ .version = s->history.version,
                                      .fresh = s->fresh });
  for (struct client *c = s->clients, *next; c; c = next)
    {
      next = c->next;
      if (!c->identified && now - c->accepted_at > HELLO_TIMEOUT)
        client_free (c);
      else if (c->identified)
        {
          catch_up (c);
          wi_conn_send (c->conn, WI_FOLLOW_PING, zp_str_of (&b));
        }
    }
  zp_buf_free (&b);
}

/* Set-up.  */

struct fo_source *
fo_source_open (struct tk_loop *l, struct zp_str address,
                struct tk_task *provider, struct zp_err *err)
{
  struct fo_source *s = zp_alloc (sizeof *s);

  s->loop = l;
  s->provider = provider;
  s->listener = wi_listen (l->ev, address, on_accept, s, err);
  if (!s->listener)
    {
      free (s);
      return NULL;
    }
  tk_task_init (&s->task, l, on_message, s);
  ev_timer_init (&s->timer, on_ping, 0.0,
                 (double) ZP_FOLLOW_PING_PERIOD / ZP_SEC);
  s->timer.data = s;
  ev_timer_start (l->ev, &s->timer);
  return s;
}

struct tk_task *
fo_source_task (struct fo_source *s)
{
  return &s->task;
}

void
fo_source_close (struct fo_source *s)
{
  if (!s)
    return;
  for (struct client *c = s->clients, *next; c; c = next)
    {
      next = c->next;
      client_free (c);
    }
  ev_timer_stop (s->loop->ev, &s->timer);
  wi_listener_free (s->listener);
  tk_task_free (&s->task);
  fo_history_free (&s->history);
  free (s);
}
