#include "steer/lease.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "steer/share.h"
#include "steer/lease-table.h"

void
st_lessor_init (struct st_lessor *l, uint64_t self, uint64_t epoch,
                zp_time now)
{
  *l = (struct st_lessor){ .number = 0 };
  st_owner_init (&l->owner, self, epoch, now);
}

bool
st_lease_id_eq (const struct st_lease_id *a, const struct st_lease_id *b)
{
  return a->owner == b->owner && a->epoch == b->epoch
         && a->number == b->number;
}

struct st_grant *
st_grants_add (struct st_grants *g, struct st_grant item)
{
  g->item = st_reserve (g->item, &g->cap, g->len, sizeof *g->item);
  g->item[g->len] = item;
  return &g->item[g->len++];
}

void
st_grants_free (struct st_grants *g)
{
  free (g->item);
  *g = (struct st_grants){ .item = NULL };
}

/* Lease table.  */

void
st_table_check (const struct st_lessor *l)
{
  for (size_t i = 0; i < l->owner.servers; i++)
    l->owner.server[i]->sum = l->owner.server[i]->sum_connections = 0;
  for (size_t i = 0; i < l->leases; i++)
    {
      const struct st_lease *e = &l->lease[i];

      assert (e->slots > 0 && e->keep <= e->slots);
      e->server->sum += e->slots;
      e->server->sum_connections += e->slots * e->per_slot;
    }
  for (size_t i = 0; i < l->owner.servers; i++)
    {
      const struct st_server *s = l->owner.server[i];

      assert (s->sum == s->lent && s->lent <= s->limit);
      assert (s->sum_connections == s->lent_connections);
      assert (s->lent_connections <= s->limit_connections);
    }
}

static unsigned
higher (unsigned a, unsigned b)
{
  return a > b ? a : b;
}

void
st_table_shrink (struct st_lessor *l, size_t i, unsigned slots)
{
  struct st_lease *e = &l->lease[i];
  struct st_server *s = e->server;

  if (slots >= e->slots)
    return;
  s->lent -= e->slots - slots;
  s->lent_connections -= (e->slots - slots) * e->per_slot;
  s->limit = higher (s->slots, s->lent);
  s->limit_connections = higher (s->connections, s->lent_connections);
  e->slots = slots;
  if (e->keep > slots)
    e->keep = slots;
  if (slots == 0)
    *e = l->lease[--l->leases];
}

struct st_lease *
st_table_add (struct st_lessor *l, struct st_lease e)
{
  l->lease = st_reserve (l->lease, &l->lease_cap, l->leases, sizeof *l->lease);
  l->lease[l->leases] = e;
  e.server->lent += e.slots;
  e.server->lent_connections += e.slots * e.per_slot;
  return &l->lease[l->leases++];
}

unsigned
st_server_per_slot (const struct st_server *s)
{
  unsigned n = s->slots > 0 ? s->connections / s->slots : 0;

  return n > 0 ? n : 1;
}

unsigned
st_server_free_slots (const struct st_server *s)
{
  unsigned slots = s->slots > s->lent ? s->slots - s->lent : 0;
  unsigned rest
      = s->connections > s->lent_connections
            ? (s->connections - s->lent_connections) / st_server_per_slot (s)
            : 0;

  return slots < rest ? slots : rest;
}

/* A lease never outlasts the ownership.  */
zp_time
st_server_ttl (const struct st_server *s, zp_time now)
{
  return s->end - now < ZP_LEASE_TTL ? s->end - now : ZP_LEASE_TTL;
}

zp_time
st_lease_owner_end (zp_time now, zp_time ttl)
{
  return now + ttl + ttl * ZP_CLOCK_RATE_ERROR_PERCENT / 100;
}

/* Expiry.  */

static void
drop_server (struct st_lessor *l, size_t i)
{
  for (size_t k = l->leases; k-- > 0;)
    if (l->lease[k].server == l->owner.server[i])
      l->lease[k] = l->lease[--l->leases];
  st_owner_drop (&l->owner, i);
}

void
st_table_expire (struct st_lessor *l, zp_time now)
{
  bool frozen = st_owner_frozen (&l->owner, now);

  for (size_t i = l->owner.servers; i-- > 0;)
    if (frozen || now >= l->owner.server[i]->end)
      drop_server (l, i);
  for (size_t i = l->leases; i-- > 0;)
    if (now >= l->lease[i].end)
      st_table_shrink (l, i, 0);
  for (size_t i = l->waits; i-- > 0;)
    if (frozen || now - l->wait[i].at >= ST_WAIT_MAX)
      l->wait[i] = l->wait[--l->waits];
  for (size_t i = l->handovers; i-- > 0;)
    if (frozen || now - l->handover[i].at >= 2 * ST_TAKEOVER_WAIT)
      {
        st_handover_free (&l->handover[i]);
        l->handover[i] = l->handover[--l->handovers];
      }
}

/* Announcements, lease requests and returns.  */

struct st_server *
st_lessor_announce (struct st_lessor *l, const struct st_view *v,
                    const struct st_announce *a, zp_time now,
                    struct st_grants *out, struct zp_err *err)
{
  st_table_expire (l, now);
  struct st_server *s = st_owner_announce (&l->owner, a, now, err);
  if (!s)
    return NULL;
  for (size_t i = 0; i < l->handovers; i++)
    if (strcmp (l->handover[i].server, s->id) == 0
        && st_handover_adopt (l, s, &l->handover[i], now, out))
      {
        st_handover_free (&l->handover[i]);
        l->handover[i] = l->handover[--l->handovers];
        break;
      }
  st_recall_excess (l, s, out);
  st_lessor_serve (l, v, now, out);
  return s;
}

/* Whether A is newer than every lease request of its sender so far; records
   its number.  */
static bool
is_new_request (struct st_lessor *l, const struct st_lease_request *a)
{
  for (size_t i = 0; i < l->requesters; i++)
    if (l->requester[i].member == a->from)
      {
        if (a->number <= l->requester[i].last)
          return false;
        l->requester[i].last = a->number;
        return true;
      }
  l->requester = st_reserve (l->requester, &l->requester_cap, l->requesters,
                             sizeof *l->requester);
  l->requester[l->requesters++]
      = (struct st_requester){ .member = a->from, .last = a->number };
  return true;
}

/* Renews the lease in K, lowered to the slots that its holder still uses.  */
static void
renew (struct st_lessor *l, const struct st_lease_request *a,
       const struct st_lease_keep *k, zp_time now, struct st_grants *out)
{
  for (size_t i = 0; i < l->leases; i++)
    {
      struct st_lease *e = &l->lease[i];

      if (e->holder != a->from || !st_lease_id_eq (&e->id, &k->id))
        continue;
      if (k->slots < e->slots)
        st_table_shrink (l, i, k->slots);
      if (k->slots == 0 || !st_server_usable (e->server, now)
          || e->server->handed_over || e->server->end - now < ST_LEASE_TTL_MIN)
        return;
      if (!st_server_grantable (e->server, now))
        e->keep = 0;
      zp_time ttl = st_server_ttl (e->server, now);
      if (st_lease_owner_end (now, ttl) > e->end)
        e->end = st_lease_owner_end (now, ttl);
      st_grants_add (out, (struct st_grant){ .kind = ST_GRANT_RENEWED,
                                             .to = a->from,
                                             .request = a->number,
                                             .id = e->id,
                                             .u.renewed.slots = e->slots,
                                             .u.renewed.keep = e->keep,
                                             .u.renewed.ttl = ttl });
      return;
    }
}

void
st_lessor_request (struct st_lessor *l, const struct st_view *v,
                   const struct st_lease_request *a, zp_time now,
                   struct st_grants *out)
{
  struct st_waiting_request w = {
    .holder = a->from, .request = a->number, .want = a->want, .since = now
  };

  st_table_expire (l, now);
  if (!zp_str_copy (w.service, sizeof w.service, a->service)
      || !is_new_request (l, a))
    return;
  for (size_t i = 0; i < a->keeps; i++)
    renew (l, a, &a->keep[i], now, out);
  w.at = now;
  struct st_waiting_request *old = st_waiting_of (l, a->from, w.service);
  if (old)
    {
      w.since = old->since;
      *old = w;
    }
  else if (w.want > 0)
    {
      l->wait = st_reserve (l->wait, &l->wait_cap, l->waits, sizeof *l->wait);
      l->wait[l->waits++] = w;
    }
  st_lessor_serve (l, v, now, out);
  old = st_waiting_of (l, a->from, w.service);
  if (old && old->want > 0)
    st_grants_add (out, (struct st_grant){ .kind = ST_GRANT_SHORTAGE,
                                           .to = a->from,
                                           .request = a->number,
                                           .u.shortage.missing = old->want });
}

void
st_lessor_return (struct st_lessor *l, const struct st_view *v, uint64_t from,
                  const struct st_lease_keep *keep, zp_time now,
                  struct st_grants *out)
{
  st_table_expire (l, now);
  for (size_t i = 0; i < l->leases; i++)
    if (l->lease[i].holder == from
        && st_lease_id_eq (&l->lease[i].id, &keep->id))
      {
        st_table_shrink (l, i, keep->slots);
        break;
      }
  st_lessor_serve (l, v, now, out);
}

void
st_lessor_step (struct st_lessor *l, const struct st_view *v, zp_time now,
                struct st_grants *out)
{
  st_table_expire (l, now);
  st_lessor_serve (l, v, now, out);
}

zp_time
st_lessor_next (const struct st_lessor *l)
{
  /* Steps are well less than a ttl apart, so that a busy event loop is not
     mistaken for a freeze.  */
  zp_time next = l->owner.last_step + ZP_LEASE_TTL / 4;

  for (size_t i = 0; i < l->leases; i++)
    if (l->lease[i].end < next)
      next = l->lease[i].end;
  for (size_t i = 0; i < l->owner.servers; i++)
    if (l->owner.server[i]->end < next)
      next = l->owner.server[i]->end;
  if (l->waits > 0 && l->owner.last_step + ST_TIME_SLICE < next)
    next = l->owner.last_step + ST_TIME_SLICE;
  return next;
}

unsigned
st_lessor_free_slots (const struct st_lessor *l, struct zp_str service,
                      zp_time now, unsigned *slots)
{
  unsigned n = 0;

  *slots = 0;
  for (size_t i = 0; i < l->owner.servers; i++)
    {
      const struct st_server *s = l->owner.server[i];

      if (!zp_str_eq (zp_str_from (s->service), service)
          || !st_server_grantable (s, now))
        continue;
      n += st_server_free_slots (s);
      *slots += s->slots;
    }
  return n;
}

void
st_lessor_free (struct st_lessor *l)
{
  st_owner_free (&l->owner);
  for (size_t i = 0; i < l->handovers; i++)
    st_handover_free (&l->handover[i]);
  free (l->handover);
  free (l->lease);
  free (l->wait);
  free (l->requester);
  *l = (struct st_lessor){ .number = 0 };
}
