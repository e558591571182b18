#include "control/replica-links.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "ledger/codec.h"
#include "wire/conn.h"
#include "wire/frame.h"

/* Delay before a connection is opened again; it doubles from failure to
   failure.  */
#define BACKOFF_MIN (100 * ZP_MS)
#define BACKOFF_MAX (300 * ZP_MS)

/* An accepted connection on which no valid message arrives within this time is
   closed, because its member is not known.  */
#define IDENTIFY_TIMEOUT (10 * ZP_SEC)

/* Most accepted connections at a time; one more replaces an older one.  */
#define ACCEPTED_MAX 32

/* The connection for requests to one member.  */
struct out_link
{
  struct ct_links *links;
  uint64_t id; /* of the member; 0: free slot */
  char address[ZP_ADDRESS_MAX];
  struct wi_conn *conn; /* NULL: none now */
  zp_time opened;
  zp_time request_at; /* oldest request without answer; 0: none */
  zp_time retry_at;   /* not opened again before */
  zp_time backoff;    /* last delay; 0: the member has answered */
};

/* An accepted connection.  */
struct in_link
{
  struct ct_links *links;
  struct wi_conn *conn; /* NULL: free slot */
  uint64_t id;          /* of the member; 0: no message yet */
  zp_time active_at;    /* when it was accepted or brought the last report */
};

struct ct_links
{
  struct ev_loop *ev;
  uint64_t id;
  ct_on_msg *on_msg;
  ct_on_report *on_report;
  void *self;
  struct wi_listener *listener;
  struct out_link out[LG_MEMBERS_MAX];
  struct in_link in[ACCEPTED_MAX];
};

static bool
is_request (const struct lg_msg *m)
{
  switch (m->kind)
    {
    case LG_VOTE_REQUEST:
    case LG_APPEND:
    case LG_SNAPSHOT:
      return true;
    case LG_VOTE_ANSWER:
    case LG_APPEND_ANSWER:
    case LG_SNAPSHOT_ANSWER:
      break;
    }
  return false;
}

/* Outgoing.  */

static void
close_out (struct out_link *o, zp_time retry_at)
{
  wi_conn_free (o->conn);
  o->conn = NULL;
  o->request_at = 0;
  o->retry_at = retry_at;
}

static void
close_and_back_off (struct out_link *o)
{
  o->backoff = o->backoff > 0 ? o->backoff * 2 : BACKOFF_MIN;
  if (o->backoff > BACKOFF_MAX)
    o->backoff = BACKOFF_MAX;
  close_out (o, zp_clock_mono () + o->backoff);
}

static void
on_out_end (void *self, struct wi_conn *c, const struct zp_err *why)
{
  struct out_link *o = self;

  (void) c;
  zp_log (ZP_LOG_DEBUG, "replica", "connection to member %" PRIu64 ": %s",
          o->id, why->text);
  close_and_back_off (o);
}

static void
on_out_frame (void *self, struct wi_conn *c, uint8_t kind,
              struct zp_str payload)
{
  struct out_link *o = self;
  struct lg_msg m;
  struct zp_err err;

  (void) c;
  if (!lg_codec_decode (kind, payload, &m, &err))
    {
      zp_log (ZP_LOG_WARNING, "replica", "member %" PRIu64 ": %s", o->id,
              err.text);
      close_and_back_off (o);
      return;
    }
  o->request_at = 0;
  o->backoff = 0;
  if (m.from == o->id && !is_request (&m))
    o->links->on_msg (o->links->self, &m);
  lg_msg_clear (&m);
}

static const struct wi_handlers out_handlers
    = { .on_frame = on_out_frame, .on_end = on_out_end };

/* Replaces a connection whose request has timed out.  The first replacement is
   opened at once; when requests time out on that one too, the next ones are
   delayed as after a failure.  */
static void
replace_connection (struct out_link *o, zp_time now)
{
  if (o->backoff > 0)
    {
      close_and_back_off (o);
      return;
    }
  zp_log (ZP_LOG_NOTICE, "replica",
          "member %" PRIu64 " does not answer, opening a new connection",
          o->id);
  close_out (o, now);
  o->backoff = BACKOFF_MIN;
}

static void
check_out (struct out_link *o, zp_time now)
{
  struct zp_err err;

  if (o->id == 0)
    return;
  if (o->conn && o->request_at > 0 && now - o->request_at > CT_LINK_TIMEOUT)
    replace_connection (o, now);
  else if (o->conn && !wi_conn_ready (o->conn)
           && now - o->opened > CT_LINK_TIMEOUT)
    close_and_back_off (o);
  if (o->conn || now < o->retry_at)
    return;
  o->opened = now;
  o->conn = wi_conn_open (o->links->ev, zp_str_from (o->address),
                          &out_handlers, o, &err);
  if (!o->conn)
    {
      zp_log (ZP_LOG_WARNING, "replica", "member %" PRIu64 ": %s", o->id,
              err.text);
      close_and_back_off (o);
    }
}

void
ct_links_set_members (struct ct_links *l, const struct lg_members *members)
{
  for (size_t i = 0; i < LG_MEMBERS_MAX; i++)
    {
      struct out_link *o = &l->out[i];
      const struct lg_member *m = lg_members_find (members, o->id);
      if (o->id == 0 || (m && strcmp (m->address, o->address) == 0))
        continue;
      close_out (o, 0);
      *o = (struct out_link){ .links = l };
    }
  for (size_t i = 0; i < members->len; i++)
    {
      const struct lg_member *m = &members->item[i];
      struct out_link *slot = NULL;
      for (size_t k = LG_MEMBERS_MAX; k-- > 0;)
        if (l->out[k].id == m->id || (l->out[k].id == 0 && !slot))
          slot = &l->out[k];
      if (m->id == l->id || !slot || slot->id == m->id)
        continue;
      *slot = (struct out_link){ .links = l, .id = m->id };
      zp_str_copy (slot->address, sizeof slot->address,
                   zp_str_from (m->address));
    }
}

/* Accepted.  */

static void
close_in (struct in_link *in)
{
  wi_conn_free (in->conn);
  in->conn = NULL;
  in->id = 0;
}

static void
on_in_end (void *self, struct wi_conn *c, const struct zp_err *why)
{
  (void) c;
  (void) why;
  close_in (self);
}

/* Records that IN belongs to member ID, and closes the older connection of
   that member.  */
static void
set_member_id (struct in_link *in, uint64_t id)
{
  struct ct_links *l = in->links;

  for (size_t i = 0; i < ACCEPTED_MAX; i++)
    if (l->in[i].conn && l->in[i].id == id)
      close_in (&l->in[i]);
  in->id = id;
}

static void
on_in_frame (void *self, struct wi_conn *c, uint8_t kind,
             struct zp_str payload)
{
  struct in_link *in = self;
  struct ct_links *l = in->links;
  struct lg_msg m;
  struct zp_err err = { .text = "no request of a member to this one" };

  (void) c;
  if (kind == WI_FOLLOW_REPORT || kind == WI_PROPOSAL)
    {
      /* A follower of the log can have no request for a long time.  Its
         reports keep the connection open although its id is not known.  */
      in->active_at = zp_clock_mono ();
      if (l->on_report)
        l->on_report (l->self, kind, payload);
      return;
    }
  if (!lg_codec_decode (kind, payload, &m, &err) || !is_request (&m)
      || m.to != l->id || m.from == 0 || (in->id != 0 && in->id != m.from))
    {
      zp_log (ZP_LOG_WARNING, "replica", "closed an accepted connection: %s",
              err.text);
      lg_msg_clear (&m);
      close_in (in);
      return;
    }
  if (in->id == 0)
    set_member_id (in, m.from);
  l->on_msg (l->self, &m);
  lg_msg_clear (&m);
}

static const struct wi_handlers in_handlers
    = { .on_frame = on_in_frame, .on_end = on_in_end };

/* Whether connection A gives way before B: one that is not that of a member
   first, then the one with the older active_at.  */
static bool
gives_way (const struct in_link *a, const struct in_link *b)
{
  if ((a->id == 0) != (b->id == 0))
    return a->id == 0;
  return a->active_at < b->active_at;
}

/* Uses a free slot, or the one of a connection that gives way.  */
static void
on_accept (void *self, struct wi_conn *c)
{
  struct ct_links *l = self;
  struct in_link *in = &l->in[0];

  for (size_t i = 0; i < ACCEPTED_MAX && in->conn; i++)
    if (!l->in[i].conn || gives_way (&l->in[i], in))
      in = &l->in[i];
  close_in (in);
  *in = (struct in_link){ .links = l,
                          .conn = c,
                          .active_at = zp_clock_mono () };
  wi_conn_set_handlers (c, &in_handlers, in);
}

/* All connections.  */

void
ct_links_send (struct ct_links *l, zp_time now, const struct lg_msg *m)
{
  bool request = is_request (m);
  struct wi_conn *conn = NULL;

  for (size_t i = 0; request && i < LG_MEMBERS_MAX; i++)
    {
      struct out_link *o = &l->out[i];
      if (o->id != m->to || !o->conn || !wi_conn_ready (o->conn))
        continue;
      conn = o->conn;
      if (o->request_at == 0)
        o->request_at = now;
    }
  for (size_t i = 0; !request && i < ACCEPTED_MAX; i++)
    if (l->in[i].conn && l->in[i].id == m->to)
      conn = l->in[i].conn;
  if (!conn)
    return;
  struct zp_buf payload = { .ptr = NULL };
  uint8_t kind = lg_codec_encode (m, &payload);
  /* When the send buffer is full the message is dropped, as on a broken
     connection.  */
  wi_conn_send (conn, kind, zp_str_of (&payload));
  zp_buf_free (&payload);
}

bool
ct_links_send_report (struct ct_links *l, uint64_t to, uint8_t kind,
                      struct zp_str payload)
{
  for (size_t i = 0; i < LG_MEMBERS_MAX; i++)
    {
      struct out_link *o = &l->out[i];
      if (o->id == to && o->conn && wi_conn_ready (o->conn))
        return wi_conn_send (o->conn, kind, payload);
    }
  return false;
}

void
ct_links_check (struct ct_links *l, zp_time now)
{
  for (size_t i = 0; i < LG_MEMBERS_MAX; i++)
    check_out (&l->out[i], now);
  for (size_t i = 0; i < ACCEPTED_MAX; i++)
    if (l->in[i].conn && l->in[i].id == 0
        && now - l->in[i].active_at > IDENTIFY_TIMEOUT)
      close_in (&l->in[i]);
}

void
ct_links_set_on_report (struct ct_links *l, ct_on_report *on_report)
{
  l->on_report = on_report;
}

struct ct_links *
ct_links_open (struct ev_loop *ev, struct zp_str address, uint64_t id,
               ct_on_msg *on_msg, void *self, struct zp_err *err)
{
  struct ct_links *l = zp_alloc (sizeof *l);

  *l = (struct ct_links){ .ev = ev, .id = id, .on_msg = on_msg, .self = self };
  l->listener = wi_listen (ev, address, on_accept, l, err);
  if (l->listener)
    return l;
  free (l);
  return NULL;
}

void
ct_links_free (struct ct_links *l)
{
  if (!l)
    return;
  for (size_t i = 0; i < LG_MEMBERS_MAX; i++)
    wi_conn_free (l->out[i].conn);
  for (size_t i = 0; i < ACCEPTED_MAX; i++)
    wi_conn_free (l->in[i].conn);
  wi_listener_free (l->listener);
  free (l);
}
