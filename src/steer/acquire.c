#include "steer/acquire.h"

#include <stdlib.h>
#include <string.h>

/* Time before the end of a lease at which its renewal begins, and least time
   between a lease request to an owner and a renewal.  */
#define RENEW_BEFORE_END (ZP_LEASE_TTL / 2)
#define RENEW_INTERVAL (100 * ZP_MS)

void
st_holder_set_demand (struct st_holder *h, struct zp_str service,
                      unsigned missing)
{
  struct st_demand d = { .missing = missing };

  if (!zp_str_copy (d.service, sizeof d.service, service))
    return;
  for (size_t i = 0; i < h->demands; i++)
    if (strcmp (h->demand[i].service, d.service) == 0)
      {
        h->demand[i].missing = missing;
        return;
      }
  h->demand
      = st_reserve (h->demand, &h->demand_cap, h->demands, sizeof *h->demand);
  h->demand[h->demands++] = d;
}

static struct st_open_request *
open_of (const struct st_holder *h, uint64_t owner, const char *service)
{
  for (size_t i = 0; i < h->opens; i++)
    if (h->open[i].owner == owner && strcmp (h->open[i].service, service) == 0)
      return &h->open[i];
  return NULL;
}

void
st_acquire_granted (struct st_holder *h, uint64_t owner, const char *service,
                    unsigned slots)
{
  struct st_open_request *o = open_of (h, owner, service);

  if (!o)
    return;
  o->want = o->want > slots ? o->want - slots : 0;
  if (o->want == 0)
    *o = h->open[--h->opens];
}

/* Whether GAP has passed since the last lease request to OWNER.  No limit
   applies to this daemon itself.  */
static bool
may_request (struct st_holder *h, uint64_t owner, zp_time now, zp_time gap)
{
  return owner == h->self || now - st_lender_of (h, owner)->requested >= gap;
}

/* Sends one lease request for WANT slots.  It also renews the leases of OWNER
   that have at most three quarters of their ttl left.  */
static void
send_request (struct st_holder *h, uint64_t owner, const char *service,
              unsigned want, zp_time now, struct st_actions *out)
{
  struct st_lender *l = st_lender_of (h, owner);
  struct st_action *o = st_actions_add (
      out, (struct st_action){ .kind = ST_ACTION_REQUEST,
                               .to = owner,
                               .u.request.number = ++h->number,
                               .u.request.want = want });
  size_t cap = 0;

  zp_str_copy (o->u.request.service, sizeof o->u.request.service,
               zp_str_from (service));
  for (size_t i = 0; i < h->leases; i++)
    {
      const struct st_held_lease *e = &h->lease[i];

      if (e->owner != owner
          || e->end - now > RENEW_BEFORE_END + RENEW_BEFORE_END / 2)
        continue;
      o->u.request.keep
          = st_reserve (o->u.request.keep, &cap, o->u.request.keeps,
                        sizeof *o->u.request.keep);
      o->u.request.keep[o->u.request.keeps++]
          = (struct st_lease_keep){ .id = e->id, .slots = e->slots };
    }
  l->requested = now;
  l->sent[l->next++ % ST_SENT_MAX]
      = (struct st_sent_request){ .number = h->number, .at = now };
}

/* Requests MORE slots of SERVICE from OWNER.  */
static void
request_slots (struct st_holder *h, uint64_t owner, const char *service,
               unsigned more, zp_time now, struct st_actions *out)
{
  struct st_open_request *o = open_of (h, owner, service);

  if (!o)
    {
      h->open = st_reserve (h->open, &h->open_cap, h->opens, sizeof *h->open);
      o = &h->open[h->opens++];
      *o = (struct st_open_request){ .owner = owner };
      zp_str_copy (o->service, sizeof o->service, zp_str_from (service));
    }
  /* The new request replaces an older one that waits at the owner, so slots
     that are known to wait are requested again.  Slots without an answer so
     far are not, because their grant may be on its way.  */
  unsigned want = more + (o->none_free ? o->want : 0);
  o->want += more;
  o->none_free = false;
  o->at = now;
  o->request = h->number + 1;
  send_request (h, owner, service, want, now, out);
}

/* Slots of SERVICE that the owner in summary S may grant; 0: don't request
   any.  With WANT_FREE, these are the free slots less those of an open request
   of this daemon; otherwise all slots, free or not.  */
static unsigned
available_slots (const struct st_holder *h, const struct st_view *v,
                 const struct st_summary *s, const char *service, zp_time now,
                 bool want_free)
{
  const struct st_member *m = st_view_member (v, s->member);
  const struct st_open_request *o = open_of (h, s->member, service);

  if (strcmp (s->service, service) != 0 || s->slots == 0
      || now - s->at > ST_SUMMARY_TTL)
    return 0;
  if (s->member != v->self && (!m || !m->live))
    return 0;
  if (!want_free)
    return s->slots;
  if (o && (s->at <= o->at || o->want >= s->free))
    return 0;
  return s->free - (o ? o->want : 0);
}

/* The summary of the nearest owner with available slots; NULL: none.  With
   WANT_FREE, owners are skipped to which a lease request was sent within
   ST_REQUEST_INTERVAL, or whose round trip is longer than the demand has
   lasted, that is since SINCE.  */
static const struct st_summary *
nearest_owner (struct st_holder *h, const struct st_view *v,
               const char *service, zp_time since, zp_time now, bool want_free)
{
  const struct st_summary *best = NULL;
  zp_time least = ZP_NEVER;

  for (size_t i = 0; i < v->summaries; i++)
    {
      const struct st_summary *s = &v->summary[i];
      zp_time d = st_view_distance (v, s->member);

      if (d >= least
          || available_slots (h, v, s, service, now, want_free) == 0)
        continue;
      if (want_free
          && (!may_request (h, s->member, now, ST_REQUEST_INTERVAL)
              || now - since < st_view_round_trip (v, s->member)))
        continue;
      best = s;
      least = d;
    }
  return best;
}

/* Requests the slots that D lacks: free ones from the nearest owners that have
   some, the rest from the nearest owner, where they wait.  */
static void
meet_demand (struct st_holder *h, const struct st_view *v, struct st_demand *d,
             zp_time now, struct st_actions *out)
{
  const struct st_summary *s;
  unsigned coming = 0, waiting = 0;

  for (size_t i = 0; i < h->opens; i++)
    if (strcmp (h->open[i].service, d->service) == 0)
      *(h->open[i].none_free ? &waiting : &coming) += h->open[i].want;
  if (d->missing == 0)
    d->since = now;
  if (d->missing <= coming)
    return;
  unsigned need = d->missing - coming;
  while (need > 0
         && (s = nearest_owner (h, v, d->service, d->since, now, true)))
    {
      unsigned n = available_slots (h, v, s, d->service, now, true);

      n = n < need ? n : need;
      request_slots (h, s->member, d->service, n, now, out);
      need -= n;
    }
  if (need <= waiting)
    return;
  s = nearest_owner (h, v, d->service, d->since, now, false);
  if (s && may_request (h, s->member, now, ST_REQUEST_INTERVAL))
    request_slots (h, s->member, d->service, need - waiting, now, out);
}

/* Sends renewals for leases of which half of the ttl has passed.  */
static void
renew (struct st_holder *h, zp_time now, struct st_actions *out)
{
  for (size_t i = 0; i < h->leases; i++)
    {
      const struct st_held_lease *e = &h->lease[i];

      if (e->end - now <= RENEW_BEFORE_END
          && now - st_lender_of (h, e->owner)->requested >= RENEW_INTERVAL)
        send_request (h, e->owner, "", 0, now, out);
    }
}

zp_time
st_holder_next (const struct st_holder *h, zp_time now)
{
  zp_time next = h->servers > 0 ? now + ST_IDLE_HALF : now + ZP_LEASE_IDLE;

  for (size_t i = 0; i < h->demands; i++)
    if (h->demand[i].missing > 0 && now + ST_REQUEST_INTERVAL < next)
      next = now + ST_REQUEST_INTERVAL;
  for (size_t i = 0; i < h->leases; i++)
    {
      zp_time due = h->lease[i].end - now > RENEW_BEFORE_END
                        ? h->lease[i].end - RENEW_BEFORE_END
                        : now + RENEW_INTERVAL;

      if (due < next)
        next = due;
      if (h->lease[i].end < next)
        next = h->lease[i].end;
    }
  return next;
}

void
st_acquire_step (struct st_holder *h, const struct st_view *v, zp_time now,
                 struct st_actions *out)
{
  for (size_t i = h->opens; i-- > 0;)
    if (now - h->open[i].at >= ST_WAIT_MAX)
      h->open[i] = h->open[--h->opens];
  for (size_t i = 0; i < h->demands; i++)
    meet_demand (h, v, &h->demand[i], now, out);
  renew (h, now, out);
}
