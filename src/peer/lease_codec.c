#include "peer/lease_codec.h"

#include <stdlib.h>

#include "wire/bytes.h"
#include "wire/peer.pb-c.h"

/* Fields.  */

static Wire__LeaseId
put_id (const struct st_lease_id *id)
{
  Wire__LeaseId w = WIRE__LEASE_ID__INIT;

  w.owner = id->owner;
  w.epoch = id->epoch;
  w.number = id->number;
  return w;
}

static bool
get_id (const Wire__LeaseId *w, struct st_lease_id *out)
{
  if (!w)
    return false;
  *out = (struct st_lease_id){ .owner = w->owner,
                               .epoch = w->epoch,
                               .number = w->number };
  return true;
}

/* Refuses times so long that sums of them could overflow.  */
static bool
get_time (uint64_t us, zp_time *out)
{
  *out = (zp_time) us;
  return us <= (uint64_t) INT64_MAX / 4;
}

static struct zp_str
text (const char *s)
{
  return zp_str_from (s);
}

/* Request.  */

void
pe_put_lease_request (struct zp_buf *out, const struct st_action *r)
{
  Wire__LeaseAsk w = WIRE__LEASE_ASK__INIT;
  size_t n = r->u.request.keeps;
  Wire__LeaseKeep *items = zp_alloc (n * sizeof *items);
  Wire__LeaseId *ids = zp_alloc (n * sizeof *ids);
  Wire__LeaseKeep **list = zp_alloc (n * sizeof (Wire__LeaseKeep *));

  for (size_t i = 0; i < n; i++)
    {
      ids[i] = put_id (&r->u.request.keep[i].id);
      wire__lease_keep__init (&items[i]);
      items[i].id = &ids[i];
      items[i].slots = r->u.request.keep[i].slots;
      list[i] = &items[i];
    }
  w.number = r->u.request.number;
  w.service = wi_bytes (text (r->u.request.service));
  w.want = r->u.request.want;
  w.n_keep = n;
  w.keep = list;
  wi_pack (out, &w.base);
  free (list);
  free (ids);
  free (items);
}

bool
pe_get_lease_request (struct zp_str payload, uint64_t from,
                      struct st_lease_request *out,
                      struct st_lease_keep **keep, void **owner)
{
  Wire__LeaseAsk *w = wi_unpack (&wire__lease_ask__descriptor, payload);

  *owner = w;
  if (!w || w->n_keep > PE_LEASES_MAX || w->service.len >= ZP_NAME_MAX)
    return false;
  struct st_lease_keep *list = zp_alloc (w->n_keep * sizeof *list);
  for (size_t i = 0; i < w->n_keep; i++)
    {
      list[i].slots = w->keep[i]->slots;
      if (!get_id (w->keep[i]->id, &list[i].id))
        {
          free (list);
          return false;
        }
    }
  *keep = list;
  *out = (struct st_lease_request){ .from = from,
                                    .number = w->number,
                                    .service = wi_view (w->service),
                                    .want = w->want,
                                    .keep = list,
                                    .keeps = w->n_keep };
  return true;
}

/* Grant.  */

void
pe_put_grant (struct zp_buf *out, const struct st_grant *g)
{
  Wire__LeaseGrant w = WIRE__LEASE_GRANT__INIT;
  Wire__LeaseId id = put_id (&g->id);

  w.kind = (uint32_t) g->kind;
  w.ask = g->request;
  w.id = &id;
  switch (g->kind)
    {
    case ST_GRANT_NEW:
      w.server = wi_bytes (text (g->u.lend.server));
      w.service = wi_bytes (text (g->u.lend.service));
      w.address = wi_bytes (text (g->u.lend.address));
      w.slots = g->u.lend.slots;
      w.connections = g->u.lend.connections;
      w.ttl_us = (uint64_t) g->u.lend.ttl;
      break;
    case ST_GRANT_RENEWED:
      w.slots = g->u.renewed.slots;
      w.keep = g->u.renewed.keep;
      w.ttl_us = (uint64_t) g->u.renewed.ttl;
      break;
    case ST_GRANT_SHORTAGE:
      w.missing = g->u.shortage.missing;
      break;
    case ST_GRANT_RECALL:
      w.keep = g->u.recall.keep;
      break;
    case ST_GRANT_MOVED:
      w.owner = g->u.moved.owner;
      break;
    }
  wi_pack (out, &w.base);
}

static bool
get_lend (const Wire__LeaseGrant *w, struct st_grant *g)
{
  g->u.lend.slots = w->slots;
  g->u.lend.connections = w->connections;
  return zp_str_copy (g->u.lend.server, sizeof g->u.lend.server,
                      wi_view (w->server))
         && zp_str_copy (g->u.lend.service, sizeof g->u.lend.service,
                         wi_view (w->service))
         && zp_str_copy (g->u.lend.address, sizeof g->u.lend.address,
                         wi_view (w->address))
         && get_time (w->ttl_us, &g->u.lend.ttl);
}

static bool
get_grant (const Wire__LeaseGrant *w, struct st_grant *g)
{
  if (!get_id (w->id, &g->id))
    return false;
  switch (w->kind)
    {
    case ST_GRANT_NEW:
      return get_lend (w, g);
    case ST_GRANT_RENEWED:
      g->u.renewed.slots = w->slots;
      g->u.renewed.keep = w->keep;
      return get_time (w->ttl_us, &g->u.renewed.ttl);
    case ST_GRANT_SHORTAGE:
      g->u.shortage.missing = w->missing;
      return true;
    case ST_GRANT_RECALL:
      g->u.recall.keep = w->keep;
      return true;
    case ST_GRANT_MOVED:
      g->u.moved.owner = w->owner;
      return true;
    default:
      return false;
    }
}

bool
pe_get_grant (struct zp_str payload, uint64_t to, struct st_grant *out)
{
  Wire__LeaseGrant *w = wi_unpack (&wire__lease_grant__descriptor, payload);

  if (!w)
    return false;
  *out = (struct st_grant){ .kind = (enum st_grant_kind) w->kind,
                            .to = to,
                            .request = w->ask };
  bool ok = get_grant (w, out);
  wi_free (w);
  return ok;
}

/* Return.  */

void
pe_put_lease_return (struct zp_buf *out, const struct st_lease_keep *keep)
{
  Wire__LeaseReturn w = WIRE__LEASE_RETURN__INIT;
  Wire__LeaseKeep k = WIRE__LEASE_KEEP__INIT;
  Wire__LeaseId id = put_id (&keep->id);

  k.id = &id;
  k.slots = keep->slots;
  w.keep = &k;
  wi_pack (out, &w.base);
}

bool
pe_get_lease_return (struct zp_str payload, struct st_lease_keep *out)
{
  Wire__LeaseReturn *w = wi_unpack (&wire__lease_return__descriptor, payload);
  bool ok = w && w->keep && get_id (w->keep->id, &out->id);

  if (ok)
    out->slots = w->keep->slots;
  wi_free (w);
  return ok;
}

/* Hand-over.  */

void
pe_put_handover (struct zp_buf *out, const struct st_handover *h)
{
  Wire__Handover w = WIRE__HANDOVER__INIT;
  size_t n = h->leases;
  Wire__Handover__Lease *items = zp_alloc (n * sizeof *items);
  Wire__LeaseId *ids = zp_alloc (n * sizeof *ids);
  Wire__Handover__Lease **list
      = zp_alloc (n * sizeof (Wire__Handover__Lease *));

  for (size_t i = 0; i < n; i++)
    {
      ids[i] = put_id (&h->lease[i].id);
      wire__handover__lease__init (&items[i]);
      items[i].id = &ids[i];
      items[i].holder = h->lease[i].holder;
      items[i].slots = h->lease[i].slots;
      items[i].per_slot = h->lease[i].per_slot;
      items[i].left_us = (uint64_t) h->lease[i].left;
      list[i] = &items[i];
    }
  w.server = wi_bytes (text (h->server));
  w.uptime_us = (uint64_t) h->uptime;
  w.n_leases = n;
  w.leases = list;
  wi_pack (out, &w.base);
  free (list);
  free (ids);
  free (items);
}

static bool
get_handover (const Wire__Handover *w, struct st_handover *out)
{
  if (w->n_leases > PE_LEASES_MAX
      || !zp_str_copy (out->server, sizeof out->server, wi_view (w->server))
      || !get_time (w->uptime_us, &out->uptime))
    return false;
  out->lease = zp_alloc (w->n_leases * sizeof *out->lease);
  out->cap = w->n_leases;
  for (size_t i = 0; i < w->n_leases; i++)
    {
      const Wire__Handover__Lease *x = w->leases[i];
      struct st_handover_lease *l = &out->lease[out->leases++];
      *l = (struct st_handover_lease){ .holder = x->holder,
                                       .slots = x->slots,
                                       .per_slot = x->per_slot };
      if (!get_id (x->id, &l->id) || !get_time (x->left_us, &l->left))
        return false;
    }
  return true;
}

bool
pe_get_handover (struct zp_str payload, zp_time now, struct st_handover *out)
{
  Wire__Handover *w = wi_unpack (&wire__handover__descriptor, payload);

  *out = (struct st_handover){ .at = now };
  bool ok = w && get_handover (w, out);
  if (!ok)
    st_handover_free (out);
  wi_free (w);
  return ok;
}
