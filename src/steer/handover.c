#include "steer/lease-table.h"

#include <stdlib.h>
#include <string.h>

void
st_handover_free (struct st_handover *h)
{
  free (h->lease);
  *h = (struct st_handover){ .lease = NULL };
}

bool
st_lessor_hand_over (struct st_lessor *l, struct zp_str server, zp_time now,
                     struct st_handover *out)
{
  *out = (struct st_handover){ .lease = NULL };
  st_table_expire (l, now);
  struct st_server *s = st_owner_find (&l->owner, server);
  if (!s || !s->owned || s->handed_over)
    return false;
  out->uptime = s->uptime;
  s->handed_over = true;
  zp_str_copy (out->server, sizeof out->server, server);
  for (size_t i = 0; i < l->leases; i++)
    {
      const struct st_lease *e = &l->lease[i];

      if (e->server != s)
        continue;
      out->lease = st_reserve (out->lease, &out->cap, out->leases,
                               sizeof *out->lease);
      out->lease[out->leases++]
          = (struct st_handover_lease){ .id = e->id,
                                        .holder = e->holder,
                                        .slots = e->slots,
                                        .per_slot = e->per_slot,
                                        .left = e->end - now };
    }
  return true;
}

/* Whether the leases of H do not exceed the capacity of S and none is in the
   table yet.  */
static bool
fits (const struct st_lessor *l, const struct st_server *s,
      const struct st_handover *h)
{
  uint64_t slots = s->lent, connections = s->lent_connections;

  for (size_t i = 0; i < h->leases; i++)
    {
      const struct st_handover_lease *e = &h->lease[i];

      if (e->slots == 0 || e->per_slot > ZP_SERVER_CONNECTIONS_MAX)
        return false;
      slots += e->slots;
      connections += (uint64_t) e->slots * e->per_slot;
      for (size_t k = 0; k < l->leases; k++)
        if (st_lease_id_eq (&l->lease[k].id, &e->id))
          return false;
    }
  return slots <= s->slots && connections <= s->connections;
}

bool
st_handover_adopt (struct st_lessor *l, struct st_server *s,
                   const struct st_handover *h, zp_time now,
                   struct st_grants *out)
{
  if (!fits (l, s, h) || !st_server_take_over (s, h->uptime, now))
    return false;
  for (size_t i = 0; i < h->leases; i++)
    {
      const struct st_handover_lease *e = &h->lease[i];
      zp_time left = e->left + e->left * ZP_CLOCK_RATE_ERROR_PERCENT / 100;

      if (h->at + left <= now)
        continue;
      st_table_add (l, (struct st_lease){ .id = e->id,
                                          .holder = e->holder,
                                          .server = s,
                                          .slots = e->slots,
                                          .keep = e->slots,
                                          .per_slot = e->per_slot,
                                          .granted = now,
                                          .end = h->at + left });
      st_grants_add (out, (struct st_grant){ .kind = ST_GRANT_MOVED,
                                             .to = e->holder,
                                             .id = e->id,
                                             .u.moved.owner = l->owner.self });
    }
  return true;
}

void
st_lessor_take_over (struct st_lessor *l, const struct st_handover *h,
                     zp_time now, struct st_grants *out)
{
  struct st_handover copy = *h;

  st_table_expire (l, now);
  copy.at = now;
  struct st_server *s = st_owner_find (&l->owner, zp_str_from (h->server));
  if (s && st_handover_adopt (l, s, &copy, now, out))
    {
      st_table_check (l);
      return;
    }
  copy.lease = zp_alloc (h->leases * sizeof *copy.lease);
  copy.cap = h->leases;
  if (h->leases > 0)
    memcpy (copy.lease, h->lease, h->leases * sizeof *copy.lease);
  l->handover = st_reserve (l->handover, &l->handover_cap, l->handovers,
                            sizeof *l->handover);
  l->handover[l->handovers++] = copy;
}
