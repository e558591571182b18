#include "steer/holder.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "steer/ask.h"

void
st_holder_init (struct st_holder *h, uint64_t self, uint64_t first)
{
  *h = (struct st_holder){ .self = self, .number = first };
}

struct st_out *
st_outs_add (struct st_outs *o, struct st_out item)
{
  o->item = st_reserve (o->item, &o->cap, o->len, sizeof *o->item);
  o->item[o->len] = item;
  return &o->item[o->len++];
}

void
st_outs_free (struct st_outs *o)
{
  for (size_t i = 0; i < o->len; i++)
    if (o->item[i].kind == ST_OUT_ASK)
      free (o->item[i].u.ask.keep);
  free (o->item);
  *o = (struct st_outs){ .item = NULL };
}

/* Leases and seats.  */

static struct st_seat *
seat_of (const struct st_holder *h, struct zp_str server)
{
  for (size_t i = 0; i < h->seats; i++)
    if (zp_str_eq (zp_str_from (h->seat[i].server), server))
      return &h->seat[i];
  return NULL;
}

static void
add_up (struct st_holder *h)
{
  for (size_t i = 0; i < h->seats; i++)
    h->seat[i].slots = h->seat[i].keep = 0;
  for (size_t i = 0; i < h->helds; i++)
    {
      h->seat[h->held[i].seat].slots += h->held[i].slots;
      h->seat[h->held[i].seat].keep += h->held[i].keep;
    }
}

/* Removes seats without leases and requests.  */
static void
sweep (struct st_holder *h)
{
  for (size_t i = h->seats; i-- > 0;)
    {
      if (h->seat[i].slots > 0 || h->seat[i].used > 0)
        continue;
      h->seats--;
      h->seat[i] = h->seat[h->seats];
      for (size_t k = 0; k < h->helds; k++)
        if (h->held[k].seat == h->seats)
          h->held[k].seat = i;
    }
}

/* Removes ended leases and cancels what ran beyond the remaining slots.  */
static void
expire (struct st_holder *h, zp_time now, struct st_outs *out)
{
  bool ended = false;

  for (size_t i = h->helds; i-- > 0;)
    if (now >= h->held[i].end)
      {
        h->held[i] = h->held[--h->helds];
        ended = true;
      }
  if (!ended)
    return;
  add_up (h);
  for (size_t i = 0; i < h->seats; i++)
    {
      struct st_seat *s = &h->seat[i];

      if (s->used <= s->slots)
        continue;
      struct st_out c
          = { .kind = ST_OUT_CANCEL, .u.cancel.count = s->used - s->slots };
      memcpy (c.u.cancel.server, s->server, sizeof s->server);
      st_outs_add (out, c);
      s->used = s->slots;
    }
  sweep (h);
}

/* Lowers lease I to SLOTS and tells its owner.  */
static void
give_back (struct st_holder *h, size_t i, unsigned slots, struct st_outs *out)
{
  struct st_held *e = &h->held[i];

  assert (slots < e->slots);
  st_outs_add (out,
               (struct st_out){ .kind = ST_OUT_RETURN,
                                .to = e->owner,
                                .u.ret = { .id = e->id, .slots = slots } });
  h->seat[e->seat].slots -= e->slots - slots;
  e->slots = slots;
  if (e->keep > slots)
    {
      h->seat[e->seat].keep -= e->keep - slots;
      e->keep = slots;
    }
  if (slots == 0)
    *e = h->held[--h->helds];
}

/* Returns recalled slots that no request uses.  */
static void
return_recalled (struct st_holder *h, struct st_outs *out)
{
  for (size_t i = h->helds; i-- > 0;)
    {
      struct st_held *e = &h->held[i];
      struct st_seat *s = &h->seat[e->seat];
      unsigned idle = s->slots > s->used ? s->slots - s->used : 0;
      unsigned n = e->slots - e->keep;

      n = n < idle ? n : idle;
      if (n > 0)
        give_back (h, i, e->slots - n, out);
    }
}

/* Slots of lease E that have been idle for its period.  */
static unsigned
idle_part (const struct st_holder *h, const struct st_held *e, zp_time now)
{
  const struct st_seat *s = &h->seat[e->seat];
  bool own = e->owner == h->self;
  unsigned busy = s->peak[0] > s->peak[1] ? s->peak[0] : s->peak[1];

  if (now - e->granted < (own ? ST_IDLE_OWN : ZP_LEASE_IDLE))
    return 0;
  if (own)
    busy = now - s->full_at < ST_IDLE_OWN ? s->slots : s->used;
  unsigned idle = s->slots > busy ? s->slots - busy : 0;
  return idle < e->slots ? idle : e->slots;
}

static void
return_idle (struct st_holder *h, zp_time now, struct st_outs *out)
{
  for (size_t i = h->helds; i-- > 0;)
    {
      unsigned n = idle_part (h, &h->held[i], now);

      if (n > 0)
        give_back (h, i, h->held[i].slots - n, out);
    }
  for (size_t i = 0; i < h->seats; i++)
    {
      struct st_seat *s = &h->seat[i];

      if (now - s->turned < ST_IDLE_HALF)
        continue;
      s->peak[1] = s->peak[0];
      s->peak[0] = s->used;
      s->turned = now;
    }
}

/* Grants.  */

struct st_lender *
st_lender_of (struct st_holder *h, uint64_t owner)
{
  for (size_t i = 0; i < h->lenders; i++)
    if (h->lender[i].owner == owner)
      return &h->lender[i];
  h->lender
      = st_reserve (h->lender, &h->lender_cap, h->lenders, sizeof *h->lender);
  h->lender[h->lenders]
      = (struct st_lender){ .owner = owner, .asked = -ZP_LEASE_TTL };
  return &h->lender[h->lenders++];
}

/* When ask NUMBER was sent; false for one that is not known any more.  */
static bool
sent_at (const struct st_lender *l, uint64_t number, zp_time *at)
{
  for (size_t i = 0; i < ST_SENT_MAX; i++)
    if (number != 0 && l->sent[i].number == number)
      {
        *at = l->sent[i].at;
        return true;
      }
  return false;
}

static struct st_held *
held_of (const struct st_holder *h, const struct st_lease_id *id)
{
  for (size_t i = 0; i < h->helds; i++)
    if (st_lease_id_eq (&h->held[i].id, id))
      return &h->held[i];
  return NULL;
}

/* Adds a lease.  Its number has to be above all earlier ones of its owner, so
   that a copy of a grant never revives a lease that was returned.  */
static void
take_in (struct st_holder *h, uint64_t from, const struct st_grant *g,
         zp_time now, struct st_outs *out)
{
  struct st_lender *l = st_lender_of (h, from);
  zp_time at;

  if (g->id.owner != from || g->u.lend.slots == 0 || g->id.epoch < l->epoch
      || (g->id.epoch == l->epoch && g->id.number <= l->number))
    return;
  l->epoch = g->id.epoch;
  l->number = g->id.number;
  if (!sent_at (l, g->ask, &at) || at + g->u.lend.ttl <= now
      || g->u.lend.ttl > ZP_LEASE_TTL)
    {
      st_outs_add (out,
                   (struct st_out){ .kind = ST_OUT_RETURN,
                                    .to = from,
                                    .u.ret = { .id = g->id, .slots = 0 } });
      return;
    }
  struct st_seat *s = seat_of (h, zp_str_from (g->u.lend.server));
  if (!s)
    {
      h->seat = st_reserve (h->seat, &h->seat_cap, h->seats, sizeof *h->seat);
      s = &h->seat[h->seats++];
      *s = (struct st_seat){ .turned = now };
      memcpy (s->server, g->u.lend.server, sizeof s->server);
    }
  memcpy (s->service, g->u.lend.service, sizeof s->service);
  memcpy (s->address, g->u.lend.address, sizeof s->address);
  s->connections = g->u.lend.connections / g->u.lend.slots;
  h->held = st_reserve (h->held, &h->held_cap, h->helds, sizeof *h->held);
  h->held[h->helds++] = (struct st_held){ .id = g->id,
                                          .owner = from,
                                          .seat = (size_t) (s - h->seat),
                                          .slots = g->u.lend.slots,
                                          .keep = g->u.lend.slots,
                                          .granted = now,
                                          .end = at + g->u.lend.ttl };
  st_ask_close (h, from, g->u.lend.service, g->u.lend.slots);
  add_up (h);
}

void
st_holder_grant (struct st_holder *h, uint64_t from, const struct st_grant *g,
                 zp_time now, struct st_outs *out)
{
  struct st_held *e;
  zp_time at;

  expire (h, now, out);
  switch (g->kind)
    {
    case ST_GRANT_NEW:
      take_in (h, from, g, now, out);
      return;
    case ST_GRANT_RENEWED:
      e = held_of (h, &g->id);
      if (!e || e->owner != from
          || !sent_at (st_lender_of (h, from), g->ask, &at)
          || g->u.renewed.ttl > ZP_LEASE_TTL)
        return;
      if (at + g->u.renewed.ttl > e->end)
        e->end = at + g->u.renewed.ttl;
      if (g->u.renewed.keep < e->keep)
        e->keep = g->u.renewed.keep;
      break;
    case ST_GRANT_SHORT:
      for (size_t i = 0; i < h->opens; i++)
        if (h->open[i].owner == from && h->open[i].ask == g->ask)
          {
            h->open[i].none_free = true;
            h->open[i].want = g->u.shortage.missing;
          }
      return;
    case ST_GRANT_RECALL:
      e = held_of (h, &g->id);
      if (!e || g->u.recall.keep >= e->keep)
        return;
      e->keep = g->u.recall.keep;
      break;
    case ST_GRANT_MOVED:
      e = held_of (h, &g->id);
      if (e && g->u.moved.owner == from)
        e->owner = from;
      return;
    }
  add_up (h);
  return_recalled (h, out);
  sweep (h);
}

void
st_holder_step (struct st_holder *h, const struct st_view *v, zp_time now,
                struct st_outs *out)
{
  expire (h, now, out);
  return_recalled (h, out);
  return_idle (h, now, out);
  st_ask_step (h, v, now, out);
  sweep (h);
}

/* Slots of requests.  */

bool
st_holder_take (struct st_holder *h, struct zp_str server, zp_time now,
                struct st_outs *out)
{
  expire (h, now, out);
  struct st_seat *s = seat_of (h, server);
  if (!s || s->used >= s->keep)
    return false;
  s->used++;
  if (s->used > s->peak[0])
    s->peak[0] = s->used;
  assert (s->used <= s->slots);
  if (s->used == s->slots)
    s->full_at = now;
  return true;
}

void
st_holder_give (struct st_holder *h, struct zp_str server, zp_time now,
                struct st_outs *out)
{
  expire (h, now, out);
  struct st_seat *s = seat_of (h, server);
  if (!s || s->used == 0)
    return; /* cancelled by this very expiry */
  if (s->used == s->slots)
    s->full_at = now;
  s->used--;
  return_recalled (h, out);
  sweep (h);
}

unsigned
st_holder_slots (const struct st_holder *h, struct zp_str server, zp_time now)
{
  const struct st_seat *s = seat_of (h, server);
  unsigned n = 0;

  for (size_t i = 0; i < h->helds; i++)
    if (s && &h->seat[h->held[i].seat] == s && now < h->held[i].end)
      n += h->held[i].slots;
  return n;
}

unsigned
st_holder_free_slots (const struct st_holder *h, struct zp_str server,
                      zp_time now)
{
  const struct st_seat *s = seat_of (h, server);
  unsigned n = 0;

  for (size_t i = 0; i < h->helds; i++)
    if (s && &h->seat[h->held[i].seat] == s && now < h->held[i].end)
      n += h->held[i].keep;
  return s && n > s->used ? n - s->used : 0;
}

void
st_holder_free (struct st_holder *h)
{
  free (h->held);
  free (h->seat);
  free (h->lender);
  free (h->demand);
  free (h->open);
  *h = (struct st_holder){ .self = h->self };
}
