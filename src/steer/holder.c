#include "steer/holder.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "steer/acquire.h"

void
st_holder_init (struct st_holder *h, uint64_t self, uint64_t first)
{
  *h = (struct st_holder){ .self = self, .number = first };
}

struct st_action *
st_actions_add (struct st_actions *o, struct st_action item)
{
  o->item = st_reserve (o->item, &o->cap, o->len, sizeof *o->item);
  o->item[o->len] = item;
  return &o->item[o->len++];
}

void
st_actions_free (struct st_actions *o)
{
  for (size_t i = 0; i < o->len; i++)
    if (o->item[i].kind == ST_ACTION_REQUEST)
      free (o->item[i].u.request.keep);
  free (o->item);
  *o = (struct st_actions){ .item = NULL };
}

/* Leases and servers.  */

/* The slots held on SERVER; NULL: none.  */
static struct st_held_server *
server_of (const struct st_holder *h, struct zp_str server)
{
  for (size_t i = 0; i < h->servers; i++)
    if (zp_str_eq (zp_str_from (h->server[i].server), server))
      return &h->server[i];
  return NULL;
}

/* Sums the leases of each server.  */
static void
sum_slots (struct st_holder *h)
{
  for (size_t i = 0; i < h->servers; i++)
    h->server[i].slots = h->server[i].keep = 0;
  for (size_t i = 0; i < h->leases; i++)
    {
      h->server[h->lease[i].server].slots += h->lease[i].slots;
      h->server[h->lease[i].server].keep += h->lease[i].keep;
    }
}

/* Removes servers without leases and requests.  */
static void
drop_unused_servers (struct st_holder *h)
{
  for (size_t i = h->servers; i-- > 0;)
    {
      if (h->server[i].slots > 0 || h->server[i].used > 0)
        continue;
      h->servers--;
      h->server[i] = h->server[h->servers];
      for (size_t k = 0; k < h->leases; k++)
        if (h->lease[k].server == h->servers)
          h->lease[k].server = i;
    }
}

/* Removes ended leases.  Appends an ST_ACTION_CANCEL for a server with more
   running requests than remaining slots.  */
static void
expire (struct st_holder *h, zp_time now, struct st_actions *out)
{
  bool ended = false;

  for (size_t i = h->leases; i-- > 0;)
    if (now >= h->lease[i].end)
      {
        h->lease[i] = h->lease[--h->leases];
        ended = true;
      }
  if (!ended)
    return;
  sum_slots (h);
  for (size_t i = 0; i < h->servers; i++)
    {
      struct st_held_server *s = &h->server[i];

      if (s->used <= s->slots)
        continue;
      struct st_action c
          = { .kind = ST_ACTION_CANCEL, .u.cancel.count = s->used - s->slots };
      memcpy (c.u.cancel.server, s->server, sizeof s->server);
      st_actions_add (out, c);
      s->used = s->slots;
    }
  drop_unused_servers (h);
}

/* Lowers lease I to SLOTS and returns the others to its owner.  */
static void
return_slots (struct st_holder *h, size_t i, unsigned slots,
              struct st_actions *out)
{
  struct st_held_lease *e = &h->lease[i];

  assert (slots < e->slots);
  st_actions_add (
      out, (struct st_action){ .kind = ST_ACTION_RETURN,
                               .to = e->owner,
                               .u.ret = { .id = e->id, .slots = slots } });
  h->server[e->server].slots -= e->slots - slots;
  e->slots = slots;
  if (e->keep > slots)
    {
      h->server[e->server].keep -= e->keep - slots;
      e->keep = slots;
    }
  if (slots == 0)
    *e = h->lease[--h->leases];
}

/* Returns recalled slots that no request uses.  */
static void
return_recalled (struct st_holder *h, struct st_actions *out)
{
  for (size_t i = h->leases; i-- > 0;)
    {
      struct st_held_lease *e = &h->lease[i];
      struct st_held_server *s = &h->server[e->server];
      unsigned idle = s->slots > s->used ? s->slots - s->used : 0;
      unsigned n = e->slots - e->keep;

      n = n < idle ? n : idle;
      if (n > 0)
        return_slots (h, i, e->slots - n, out);
    }
}

/* Slots of lease E that have been idle for ST_IDLE_OWN on an own server, for
   ZP_LEASE_IDLE elsewhere.  */
static unsigned
idle_slots (const struct st_holder *h, const struct st_held_lease *e,
            zp_time now)
{
  const struct st_held_server *s = &h->server[e->server];
  bool own = e->owner == h->self;
  unsigned busy = s->peak[0] > s->peak[1] ? s->peak[0] : s->peak[1];

  if (now - e->granted < (own ? ST_IDLE_OWN : ZP_LEASE_IDLE))
    return 0;
  if (own)
    busy = now - s->full_at < ST_IDLE_OWN ? s->slots : s->used;
  unsigned idle = s->slots > busy ? s->slots - busy : 0;
  return idle < e->slots ? idle : e->slots;
}

/* Returns idle slots.  Then starts a new period of peaks when one is over.  */
static void
return_idle (struct st_holder *h, zp_time now, struct st_actions *out)
{
  for (size_t i = h->leases; i-- > 0;)
    {
      unsigned n = idle_slots (h, &h->lease[i], now);

      if (n > 0)
        return_slots (h, i, h->lease[i].slots - n, out);
    }
  for (size_t i = 0; i < h->servers; i++)
    {
      struct st_held_server *s = &h->server[i];

      if (now - s->peak_since < ST_IDLE_HALF)
        continue;
      s->peak[1] = s->peak[0];
      s->peak[0] = s->used;
      s->peak_since = now;
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
      = (struct st_lender){ .owner = owner, .requested = -ZP_LEASE_TTL };
  return &h->lender[h->lenders++];
}

/* Stores in AT when lease request NUMBER was sent.  Returns false when it is
   no longer among the last ST_SENT_MAX.  */
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

static struct st_held_lease *
lease_of (const struct st_holder *h, const struct st_lease_id *id)
{
  for (size_t i = 0; i < h->leases; i++)
    if (st_lease_id_eq (&h->lease[i].id, id))
      return &h->lease[i];
  return NULL;
}

/* Adds a granted lease.  Its number has to be above all earlier ones of its
   owner, so that a copy of a grant never restores a lease that was returned.
   A lease that has ended or answers an unknown request is returned at once. */
static void
add_lease (struct st_holder *h, uint64_t from, const struct st_grant *g,
           zp_time now, struct st_actions *out)
{
  struct st_lender *l = st_lender_of (h, from);
  zp_time at;

  if (g->id.owner != from || g->u.lend.slots == 0 || g->id.epoch < l->epoch
      || (g->id.epoch == l->epoch && g->id.number <= l->number))
    return;
  l->epoch = g->id.epoch;
  l->number = g->id.number;
  if (!sent_at (l, g->request, &at) || at + g->u.lend.ttl <= now
      || g->u.lend.ttl > ZP_LEASE_TTL)
    {
      st_actions_add (
          out, (struct st_action){ .kind = ST_ACTION_RETURN,
                                   .to = from,
                                   .u.ret = { .id = g->id, .slots = 0 } });
      return;
    }
  struct st_held_server *s = server_of (h, zp_str_from (g->u.lend.server));
  if (!s)
    {
      h->server = st_reserve (h->server, &h->server_cap, h->servers,
                              sizeof *h->server);
      s = &h->server[h->servers++];
      *s = (struct st_held_server){ .peak_since = now };
      memcpy (s->server, g->u.lend.server, sizeof s->server);
    }
  memcpy (s->service, g->u.lend.service, sizeof s->service);
  memcpy (s->address, g->u.lend.address, sizeof s->address);
  s->connections = g->u.lend.connections / g->u.lend.slots;
  h->lease = st_reserve (h->lease, &h->lease_cap, h->leases, sizeof *h->lease);
  h->lease[h->leases++]
      = (struct st_held_lease){ .id = g->id,
                                .owner = from,
                                .server = (size_t) (s - h->server),
                                .slots = g->u.lend.slots,
                                .keep = g->u.lend.slots,
                                .granted = now,
                                .end = at + g->u.lend.ttl };
  st_acquire_granted (h, from, g->u.lend.service, g->u.lend.slots);
  sum_slots (h);
}

void
st_holder_grant (struct st_holder *h, uint64_t from, const struct st_grant *g,
                 zp_time now, struct st_actions *out)
{
  struct st_held_lease *e;
  zp_time at;

  expire (h, now, out);
  switch (g->kind)
    {
    case ST_GRANT_NEW:
      add_lease (h, from, g, now, out);
      return;
    case ST_GRANT_RENEWED:
      e = lease_of (h, &g->id);
      if (!e || e->owner != from
          || !sent_at (st_lender_of (h, from), g->request, &at)
          || g->u.renewed.ttl > ZP_LEASE_TTL)
        return;
      if (at + g->u.renewed.ttl > e->end)
        e->end = at + g->u.renewed.ttl;
      if (g->u.renewed.keep < e->keep)
        e->keep = g->u.renewed.keep;
      break;
    case ST_GRANT_SHORTAGE:
      for (size_t i = 0; i < h->opens; i++)
        if (h->open[i].owner == from && h->open[i].request == g->request)
          {
            h->open[i].none_free = true;
            h->open[i].want = g->u.shortage.missing;
          }
      return;
    case ST_GRANT_RECALL:
      e = lease_of (h, &g->id);
      if (!e || g->u.recall.keep >= e->keep)
        return;
      e->keep = g->u.recall.keep;
      break;
    case ST_GRANT_MOVED:
      e = lease_of (h, &g->id);
      if (e && g->u.moved.owner == from)
        e->owner = from;
      return;
    }
  sum_slots (h);
  return_recalled (h, out);
  drop_unused_servers (h);
}

void
st_holder_step (struct st_holder *h, const struct st_view *v, zp_time now,
                struct st_actions *out)
{
  expire (h, now, out);
  return_recalled (h, out);
  return_idle (h, now, out);
  st_acquire_step (h, v, now, out);
  drop_unused_servers (h);
}

/* Slots of requests.  */

bool
st_holder_take (struct st_holder *h, struct zp_str server, zp_time now,
                struct st_actions *out)
{
  expire (h, now, out);
  struct st_held_server *s = server_of (h, server);
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
st_holder_release (struct st_holder *h, struct zp_str server, zp_time now,
                   struct st_actions *out)
{
  expire (h, now, out);
  struct st_held_server *s = server_of (h, server);
  if (!s || s->used == 0)
    return; /* the request was cancelled by expire above */
  if (s->used == s->slots)
    s->full_at = now;
  s->used--;
  return_recalled (h, out);
  drop_unused_servers (h);
}

unsigned
st_holder_slots (const struct st_holder *h, struct zp_str server, zp_time now)
{
  const struct st_held_server *s = server_of (h, server);
  unsigned n = 0;

  for (size_t i = 0; i < h->leases; i++)
    if (s && &h->server[h->lease[i].server] == s && now < h->lease[i].end)
      n += h->lease[i].slots;
  return n;
}

unsigned
st_holder_free_slots (const struct st_holder *h, struct zp_str server,
                      zp_time now)
{
  const struct st_held_server *s = server_of (h, server);
  unsigned n = 0;

  for (size_t i = 0; i < h->leases; i++)
    if (s && &h->server[h->lease[i].server] == s && now < h->lease[i].end)
      n += h->lease[i].keep;
  return s && n > s->used ? n - s->used : 0;
}

void
st_holder_free (struct st_holder *h)
{
  free (h->lease);
  free (h->server);
  free (h->lender);
  free (h->demand);
  free (h->open);
  *h = (struct st_holder){ .self = h->self };
}
