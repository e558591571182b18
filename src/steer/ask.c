#include "steer/ask.h"

#include <stdlib.h>
#include <string.h>

#define RENEW_AT (ZP_LEASE_TTL / 2)
#define RENEW_GAP (100 * ZP_MS)

void
st_holder_want (struct st_holder *h, struct zp_str service, unsigned missing)
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

static struct st_open *
open_of (const struct st_holder *h, uint64_t owner, const char *service)
{
  for (size_t i = 0; i < h->opens; i++)
    if (h->open[i].owner == owner && strcmp (h->open[i].service, service) == 0)
      return &h->open[i];
  return NULL;
}

void
st_ask_close (struct st_holder *h, uint64_t owner, const char *service,
              unsigned slots)
{
  struct st_open *o = open_of (h, owner, service);

  if (!o)
    return;
  o->want = o->want > slots ? o->want - slots : 0;
  if (o->want == 0)
    *o = h->open[--h->opens];
}

static bool
may_ask (struct st_holder *h, uint64_t owner, zp_time now, zp_time gap)
{
  return owner == h->self || now - st_lender_of (h, owner)->asked >= gap;
}

/* Sends one ask, with every lease of OWNER that is due for renewal.  */
static void
ask (struct st_holder *h, uint64_t owner, const char *service, unsigned want,
     zp_time now, struct st_outs *out)
{
  struct st_lender *l = st_lender_of (h, owner);
  struct st_out *o
      = st_outs_add (out, (struct st_out){ .kind = ST_OUT_ASK,
                                           .to = owner,
                                           .u.ask.number = ++h->number,
                                           .u.ask.want = want });
  size_t cap = 0;

  zp_str_copy (o->u.ask.service, sizeof o->u.ask.service,
               zp_str_from (service));
  for (size_t i = 0; i < h->helds; i++)
    {
      const struct st_held *e = &h->held[i];

      if (e->owner != owner || e->end - now > RENEW_AT + RENEW_AT / 2)
        continue;
      o->u.ask.keep = st_reserve (o->u.ask.keep, &cap, o->u.ask.keeps,
                                  sizeof *o->u.ask.keep);
      o->u.ask.keep[o->u.ask.keeps++]
          = (struct st_keep){ .id = e->id, .slots = e->slots };
    }
  l->asked = now;
  l->sent[l->next++ % ST_SENT_MAX]
      = (struct st_sent){ .number = h->number, .at = now };
}

static void
ask_slots (struct st_holder *h, uint64_t owner, const char *service,
           unsigned more, zp_time now, struct st_outs *out)
{
  struct st_open *o = open_of (h, owner, service);

  if (!o)
    {
      h->open = st_reserve (h->open, &h->open_cap, h->opens, sizeof *h->open);
      o = &h->open[h->opens++];
      *o = (struct st_open){ .owner = owner };
      zp_str_copy (o->service, sizeof o->service, zp_str_from (service));
    }
  /* The new ask replaces what waits at the owner, not what it is about to
     grant.  */
  unsigned want = more + (o->none_free ? o->want : 0);
  o->want += more;
  o->none_free = false;
  o->at = now;
  o->ask = h->number + 1;
  ask (h, owner, service, want, now, out);
}

/* Whether summary S names an owner to turn to for SERVICE: with FREE, one that
   has free slots which no open ask of ours covers.  */
static unsigned
offer (const struct st_holder *h, const struct st_view *v,
       const struct st_summary *s, const char *service, zp_time now,
       bool want_free)
{
  const struct st_member *m = st_view_member (v, s->member);
  const struct st_open *o = open_of (h, s->member, service);

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

/* The nearest owner with an offer that may be asked now for demand that exists
   since SINCE.  */
static const struct st_summary *
nearest (struct st_holder *h, const struct st_view *v, const char *service,
         zp_time since, zp_time now, bool want_free)
{
  const struct st_summary *best = NULL;
  zp_time least = ZP_NEVER;

  for (size_t i = 0; i < v->summaries; i++)
    {
      const struct st_summary *s = &v->summary[i];
      zp_time d = st_view_distance (v, s->member);

      if (d >= least || offer (h, v, s, service, now, want_free) == 0)
        continue;
      if (want_free
          && (!may_ask (h, s->member, now, ST_ASK_GAP)
              || now - since < st_view_round_trip (v, s->member)))
        continue;
      best = s;
      least = d;
    }
  return best;
}

static void
meet_demand (struct st_holder *h, const struct st_view *v, struct st_demand *d,
             zp_time now, struct st_outs *out)
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
  while (need > 0 && (s = nearest (h, v, d->service, d->since, now, true)))
    {
      unsigned n = offer (h, v, s, d->service, now, true);

      n = n < need ? n : need;
      ask_slots (h, s->member, d->service, n, now, out);
      need -= n;
    }
  if (need <= waiting)
    return;
  s = nearest (h, v, d->service, d->since, now, false);
  if (s && may_ask (h, s->member, now, ST_ASK_GAP))
    ask_slots (h, s->member, d->service, need - waiting, now, out);
}

static void
renew (struct st_holder *h, zp_time now, struct st_outs *out)
{
  for (size_t i = 0; i < h->helds; i++)
    {
      const struct st_held *e = &h->held[i];

      if (e->end - now <= RENEW_AT
          && now - st_lender_of (h, e->owner)->asked >= RENEW_GAP)
        ask (h, e->owner, "", 0, now, out);
    }
}

zp_time
st_holder_next (const struct st_holder *h, zp_time now)
{
  zp_time next = h->seats > 0 ? now + ST_IDLE_HALF : now + ZP_LEASE_IDLE;

  for (size_t i = 0; i < h->demands; i++)
    if (h->demand[i].missing > 0 && now + ST_ASK_GAP < next)
      next = now + ST_ASK_GAP;
  for (size_t i = 0; i < h->helds; i++)
    {
      zp_time due = h->held[i].end - now > RENEW_AT ? h->held[i].end - RENEW_AT
                                                    : now + RENEW_GAP;

      if (due < next)
        next = due;
      if (h->held[i].end < next)
        next = h->held[i].end;
    }
  return next;
}

void
st_ask_step (struct st_holder *h, const struct st_view *v, zp_time now,
             struct st_outs *out)
{
  for (size_t i = h->opens; i-- > 0;)
    if (now - h->open[i].at >= ST_WAIT_MAX)
      h->open[i] = h->open[--h->opens];
  for (size_t i = 0; i < h->demands; i++)
    meet_demand (h, v, &h->demand[i], now, out);
  renew (h, now, out);
}
