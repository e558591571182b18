#include <stdlib.h>

#include "base/log.h"
#include "entry/router.h"
#include "peer/lease_codec.h"
#include "peer/report_codec.h"
#include "wire/bytes.h"
#include "wire/frame.h"

#define PART "capacity"

/* A changed summary is sent within the first period.  An unchanged one is
   repeated after the second, so that it does not expire (ST_SUMMARY_TTL).  */
#define SUMMARY_PERIOD (500 * ZP_MS)
#define SUMMARY_PERIOD_UNCHANGED (2 * ZP_SEC)

/* Messages of the lessor and the holder.  Those between the lessor and the
   holder of this daemon are delivered by calls, the others as peer frames.  */

static void
send_lease_request (struct en_router *r, const struct st_action *o)
{
  struct zp_buf b = { .ptr = NULL };

  pe_put_lease_request (&b, o);
  en_send (r, o->to, WI_LEASE_ASK, b);
}

static void
send_return (struct en_router *r, const struct st_action *o)
{
  struct zp_buf b = { .ptr = NULL };

  pe_put_lease_return (&b, &o->u.ret);
  en_send (r, o->to, WI_LEASE_RETURN, b);
}

static void
send_grant (struct en_router *r, const struct st_grant *g)
{
  struct zp_buf b = { .ptr = NULL };

  pe_put_grant (&b, g);
  en_send (r, g->to, WI_LEASE_GRANT, b);
}

static void
handle_action (struct en_router *r, const struct st_action *o, zp_time now,
               struct st_grants *grants)
{
  switch (o->kind)
    {
    case ST_ACTION_REQUEST:
      if (o->to != r->id)
        {
          send_lease_request (r, o);
          return;
        }
      st_lessor_request (&r->lessor, &r->view,
                         &(struct st_lease_request){
                             .from = r->id,
                             .number = o->u.request.number,
                             .service = zp_str_from (o->u.request.service),
                             .want = o->u.request.want,
                             .keep = o->u.request.keep,
                             .keeps = o->u.request.keeps },
                         now, grants);
      return;
    case ST_ACTION_RETURN:
      if (o->to != r->id)
        send_return (r, o);
      else
        st_lessor_return (&r->lessor, &r->view, r->id, &o->u.ret, now, grants);
      return;
    case ST_ACTION_CANCEL:
      en_dispatch_cancel (r, zp_str_from (o->u.cancel.server),
                          o->u.cancel.count);
      return;
    }
}

/* Delivers the messages of both sides, and those that they cause, until none
   is left.  Frees the messages.  */
static void
deliver (struct en_router *r, struct st_grants *grants,
         struct st_actions *actions, zp_time now)
{
  while (grants->len > 0 || actions->len > 0)
    {
      struct st_grants g = *grants;
      struct st_actions o = *actions;
      *grants = (struct st_grants){ .len = 0 };
      *actions = (struct st_actions){ .len = 0 };
      for (size_t i = 0; i < g.len; i++)
        if (g.item[i].to == r->id)
          st_holder_grant (&r->holder, r->id, &g.item[i], now, actions);
        else
          send_grant (r, &g.item[i]);
      for (size_t i = 0; i < o.len; i++)
        handle_action (r, &o.item[i], now, grants);
      st_grants_free (&g);
      st_actions_free (&o);
    }
  st_grants_free (grants);
  st_actions_free (actions);
}

void
en_capacity_deliver (struct en_router *r, struct st_grants *g)
{
  struct st_actions o = { .len = 0 };

  deliver (r, g, &o, zp_clock_mono ());
}

/* Demand and slots.  */

void
en_capacity_step (struct en_router *r)
{
  struct st_grants g = { .len = 0 };
  struct st_actions o = { .len = 0 };
  zp_time now = zp_clock_mono ();

  for (size_t i = 0; i < r->services; i++)
    {
      struct en_service *s = r->service[i];
      struct zp_str name = zp_str_from (s->name);
      unsigned missing = (unsigned) (st_queue_len (s->queue) + s->parked_len);
      unsigned slots;
      unsigned free_slots
          = st_lessor_free_slots (&r->lessor, name, now, &slots);
      st_view_put_summary (&r->view, r->id, name, free_slots, slots, now);
      st_holder_set_demand (&r->holder, name, missing);
    }
  st_lessor_step (&r->lessor, &r->view, now, &g);
  st_holder_step (&r->holder, &r->view, now, &o);
  deliver (r, &g, &o, now);
}

bool
en_capacity_take_slot (struct en_router *r, struct zp_str server)
{
  struct st_grants g = { .len = 0 };
  struct st_actions o = { .len = 0 };
  zp_time now = zp_clock_mono ();
  bool ok = st_holder_take (&r->holder, server, now, &o);

  deliver (r, &g, &o, now);
  return ok;
}

void
en_capacity_release_slot (struct en_router *r, struct zp_str server)
{
  struct st_grants g = { .len = 0 };
  struct st_actions o = { .len = 0 };
  zp_time now = zp_clock_mono ();

  st_holder_release (&r->holder, server, now, &o);
  deliver (r, &g, &o, now);
}

/* Frames.  */

static void
on_lease_request (struct en_router *r, const struct tk_peer_frame *f,
                  struct st_grants *g, zp_time now)
{
  struct st_lease_request request;
  struct st_lease_keep *keep = NULL;
  void *owner;

  if (pe_get_lease_request (zp_str_of (&f->payload), f->peer, &request, &keep,
                            &owner))
    {
      st_lessor_request (&r->lessor, &r->view, &request, now, g);
      free (keep);
    }
  wi_free (owner);
}

struct summary_reader
{
  struct en_router *router;
  uint64_t member;
  zp_time now;
};

static void
add_service (void *self, const struct pe_service_slots *s)
{
  struct summary_reader *x = self;

  st_view_put_summary (&x->router->view, x->member, s->name, s->free, s->slots,
                       x->now);
}

static void
on_summary (struct en_router *r, const struct tk_peer_frame *f, zp_time now)
{
  struct summary_reader x = { .router = r, .member = f->peer, .now = now };
  struct en_member *e = en_members_find (&r->members, f->peer);
  struct pe_summary s;

  if (!e || !pe_get_summary (zp_str_of (&f->payload), &s, add_service, &x))
    return;
  e->ref = (struct oc_member_ref){ .id = f->peer,
                                   .incarnation = s.incarnation,
                                   .generation = s.generation };
  e->number = s.number;
}

void
en_capacity_frame (struct en_router *r, const struct tk_peer_frame *f)
{
  struct st_grants g = { .len = 0 };
  struct st_actions o = { .len = 0 };
  zp_time now = zp_clock_mono ();
  struct zp_str payload = zp_str_of (&f->payload);
  struct st_grant grant;
  struct st_lease_keep keep;
  struct st_handover handover;

  switch (f->kind)
    {
    case WI_LEASE_ASK:
      on_lease_request (r, f, &g, now);
      break;
    case WI_LEASE_GRANT:
      if (pe_get_grant (payload, r->id, &grant))
        st_holder_grant (&r->holder, f->peer, &grant, now, &o);
      break;
    case WI_LEASE_RETURN:
      if (pe_get_lease_return (payload, &keep))
        st_lessor_return (&r->lessor, &r->view, f->peer, &keep, now, &g);
      break;
    case WI_HANDOVER:
      if (pe_get_handover (payload, now, &handover))
        {
          st_lessor_take_over (&r->lessor, &handover, now, &g);
          st_handover_free (&handover);
        }
      break;
    case WI_SERVER_VIEW:
      on_summary (r, f, now);
      break;
    default:
      break;
    }
  deliver (r, &g, &o, now);
}

/* Summary to the other members.  */

void
en_capacity_send_summary (struct en_router *r, bool at_once)
{
  struct pe_service_slots *all;
  struct zp_buf b = { .ptr = NULL };
  zp_time now = zp_clock_mono ();
  size_t n = 0;

  if (!at_once && now < r->summary_at)
    return;
  r->summary_at = now + SUMMARY_PERIOD;
  all = zp_alloc (r->services * sizeof *all);
  for (size_t i = 0; i < r->services; i++)
    {
      struct pe_service_slots x
          = { .name = zp_str_from (r->service[i]->name) };
      x.free = st_lessor_free_slots (&r->lessor, x.name, now, &x.slots);
      st_view_put_summary (&r->view, r->id, x.name, x.free, x.slots, now);
      if (x.slots > 0)
        all[n++] = x;
    }
  r->members.item[0].ref = oc_member_self (r->claims, now);
  pe_put_summary (
      &b,
      &(struct pe_summary){ .incarnation = r->members.item[0].ref.incarnation,
                            .generation = r->members.item[0].ref.generation,
                            .number = r->config ? r->config->number : 0 },
      all, n);
  free (all);
  uint64_t hash = zp_str_hash (zp_str_of (&b), 0);
  if (!at_once && hash == r->summary_hash
      && now - r->summary_sent < SUMMARY_PERIOD_UNCHANGED)
    {
      zp_buf_free (&b);
      return;
    }
  r->summary_hash = hash;
  r->summary_sent = now;
  en_send (r, 0, WI_SERVER_VIEW, b);
}

/* Hand-over.  */

/* Hands one server over to the entry VM that it will announce to next.  The
   hand-over contains the current leases, so that the new owner need not wait
   until all of them have ended.  */
void
en_capacity_hand_over_server (struct en_router *r, struct zp_str server,
                              uint64_t to)
{
  struct st_handover h = { .leases = 0 };
  struct zp_buf b = { .ptr = NULL };

  if (to == r->id
      || !st_lessor_hand_over (&r->lessor, server, zp_clock_mono (), &h))
    return;
  pe_put_handover (&b, &h);
  en_send (r, to, WI_HANDOVER, b);
  zp_log (ZP_LOG_NOTICE, PART, "handed server %s over to entry daemon %llu",
          h.server, (unsigned long long) to);
  st_handover_free (&h);
}

void
en_capacity_hand_over_all (struct en_router *r)
{
  for (size_t i = 0; i < r->lessor.owner.servers; i++)
    {
      char id[ZP_NAME_MAX];
      zp_str_copy (id, sizeof id, zp_str_from (r->lessor.owner.server[i]->id));
      const struct st_member *to = st_view_preferred (
          &r->view, r->settings->failure_domain, zp_str_from (id));
      if (to)
        en_capacity_hand_over_server (r, zp_str_from (id), to->id);
    }
}

/* Returns every lease to its owner, except those from this daemon itself.  */
void
en_capacity_return_all (struct en_router *r)
{
  for (size_t i = 0; i < r->holder.leases; i++)
    {
      const struct st_held_lease *h = &r->holder.lease[i];
      struct st_action o = { .kind = ST_ACTION_RETURN, .to = h->owner };
      if (h->owner == r->id)
        continue;
      o.u.ret = (struct st_lease_keep){ .id = h->id, .slots = 0 };
      send_return (r, &o);
    }
}
