#include "steer/lease-table.h"

#include <string.h>

#include "steer/share.h"

/* Whether HOLDER is in this daemon's failure domain.  */
static bool
is_home (const struct st_view *v, uint64_t holder)
{
  return st_view_distance (v, holder) <= 1;
}

/* Counts what each holder of SERVICE keeps and waits for.  Stores in RECALLED
   the slots that were recalled and not returned yet.  */
static struct st_shares
count_shares (struct st_lessor *l, const struct st_view *v,
              const char *service, zp_time now, unsigned *recalled)
{
  struct st_shares t = { .item = NULL };

  *recalled = 0;
  for (size_t i = 0; i < l->owner.servers; i++)
    if (st_server_grantable (l->owner.server[i], now)
        && strcmp (l->owner.server[i]->service, service) == 0)
      t.slots += l->owner.server[i]->slots;
  for (size_t i = 0; i < l->leases; i++)
    {
      const struct st_lease *e = &l->lease[i];

      if (strcmp (e->server->service, service) != 0
          || !st_server_grantable (e->server, now))
        continue;
      struct st_share *y = st_share_of (&t, e->holder, is_home (v, e->holder));
      y->kept += e->keep;
      t.home_kept += y->home ? e->keep : 0;
      *recalled += e->slots - e->keep;
    }
  for (size_t i = 0; i < l->waits; i++)
    {
      const struct st_waiting_request *w = &l->wait[i];

      if (strcmp (w->service, service) != 0)
        continue;
      struct st_share *y = st_share_of (&t, w->holder, is_home (v, w->holder));
      y->want = w->want;
      y->since = w->since;
      y->request = w->request;
    }
  return t;
}

/* The grantable server of SERVICE with the largest fraction of free slots;
   NULL when none is free.  */
static struct st_server *
most_free (const struct st_lessor *l, const char *service, zp_time now)
{
  struct st_server *best = NULL;

  for (size_t i = 0; i < l->owner.servers; i++)
    {
      struct st_server *s = l->owner.server[i];

      if (strcmp (s->service, service) != 0 || !st_server_grantable (s, now)
          || s->end - now < ST_LEASE_TTL_MIN || st_server_free_slots (s) == 0)
        continue;
      if (!best
          || (uint64_t) st_server_free_slots (s) * best->slots
                 > (uint64_t) st_server_free_slots (best) * s->slots)
        best = s;
    }
  return best;
}

/* Whether E was granted in this step.  LAST_NUMBER is that of the last lease
   before the step.  */
static bool
granted_now (const struct st_lessor *l, const struct st_lease *e,
             uint64_t last_number)
{
  return e->id.owner == l->owner.self && e->id.epoch == l->owner.epoch
         && e->id.number > last_number;
}

/* Adds one slot of S to the lease that HOLDER is granted in this step.  */
static void
lend_slot (struct st_lessor *l, uint64_t holder, struct st_server *s,
           uint64_t last_number, zp_time now)
{
  for (size_t i = 0; i < l->leases; i++)
    {
      struct st_lease *e = &l->lease[i];

      if (!granted_now (l, e, last_number) || e->holder != holder
          || e->server != s)
        continue;
      e->slots++;
      e->keep++;
      s->lent++;
      s->lent_connections += e->per_slot;
      return;
    }
  st_table_add (l, (struct st_lease){ .id = { .owner = l->owner.self,
                                              .epoch = l->owner.epoch,
                                              .number = ++l->number },
                                      .holder = holder,
                                      .server = s,
                                      .slots = 1,
                                      .keep = 1,
                                      .per_slot = st_server_per_slot (s),
                                      .granted = now,
                                      .end = st_lease_owner_end (
                                          now, st_server_ttl (s, now)) });
}

/* Appends a grant for each lease of this step to OUT.  */
static void
emit_new_leases (const struct st_lessor *l, const struct st_shares *t,
                 uint64_t last_number, zp_time now, struct st_grants *out)
{
  for (size_t i = 0; i < l->leases; i++)
    {
      const struct st_lease *e = &l->lease[i];

      if (!granted_now (l, e, last_number))
        continue;
      struct st_grant g = { .kind = ST_GRANT_NEW,
                            .to = e->holder,
                            .id = e->id,
                            .u.lend.slots = e->slots,
                            .u.lend.connections = e->slots * e->per_slot,
                            .u.lend.ttl = st_server_ttl (e->server, now) };
      for (size_t k = 0; k < t->len; k++)
        if (t->item[k].holder == e->holder)
          g.request = t->item[k].request;
      memcpy (g.u.lend.server, e->server->id, ZP_NAME_MAX);
      memcpy (g.u.lend.service, e->server->service, ZP_NAME_MAX);
      memcpy (g.u.lend.address, e->server->address, ZP_ADDRESS_MAX);
      st_grants_add (out, g);
    }
}

/* Recalls one slot from the oldest lease of HOLDER.  Returns false when every
   lease with a slot to recall was granted after BEFORE.  */
static bool
recall (struct st_lessor *l, const char *service, uint64_t holder,
        zp_time before, zp_time now, struct st_grants *out)
{
  struct st_lease *best = NULL;

  for (size_t i = 0; i < l->leases; i++)
    {
      struct st_lease *e = &l->lease[i];

      if (e->holder == holder && e->keep > 0 && e->granted <= before
          && strcmp (e->server->service, service) == 0
          && st_server_grantable (e->server, now)
          && (!best || e->granted < best->granted))
        best = e;
    }
  if (!best)
    return false;
  best->keep--;
  st_grants_add (out, (struct st_grant){ .kind = ST_GRANT_RECALL,
                                         .to = holder,
                                         .id = best->id,
                                         .u.recall.keep = best->keep });
  return true;
}

/* Recalls slots until no holder has to return one for a waiting holder.  The
   RECALLED slots, which were not returned yet, count as due to the first
   waiting holders.  */
static void
recall_shares (struct st_lessor *l, struct st_shares *t, unsigned recalled,
               const char *service, zp_time now, struct st_grants *out)
{
  struct st_share *w;

  while ((w = st_share_next (t)))
    {
      if (recalled > 0)
        recalled--;
      else
        {
          zp_time before;
          struct st_share *y = st_share_victim (t, w, now, &before);

          if (!y || !recall (l, service, y->holder, before, now, out))
            return;
          y->kept--;
          t->home_kept -= y->home ? 1 : 0;
        }
      w->due++;
      t->home_kept += w->home ? 1 : 0;
    }
}

struct st_waiting_request *
st_waiting_of (const struct st_lessor *l, uint64_t holder, const char *service)
{
  for (size_t i = 0; i < l->waits; i++)
    if (l->wait[i].holder == holder
        && strcmp (l->wait[i].service, service) == 0)
      return &l->wait[i];
  return NULL;
}

/* Grants the free slots of SERVICE and recalls slots for those who still wait.
 */
static void
serve_service (struct st_lessor *l, const struct st_view *v,
               const char *service, zp_time now, struct st_grants *out)
{
  unsigned recalled;
  struct st_shares t = count_shares (l, v, service, now, &recalled);
  uint64_t last_number = l->number;
  struct st_server *s;
  struct st_share *w;

  while ((w = st_share_next (&t)) && (s = most_free (l, service, now)))
    {
      lend_slot (l, w->holder, s, last_number, now);
      w->kept++;
      w->want--;
      t.home_kept += w->home ? 1 : 0;
      st_waiting_of (l, w->holder, service)->want--;
    }
  emit_new_leases (l, &t, last_number, now, out);
  recall_shares (l, &t, recalled, service, now, out);
  st_shares_free (&t);
}

/* Serves each service with a waiting lease request once.  */
void
st_lessor_serve (struct st_lessor *l, const struct st_view *v, zp_time now,
                 struct st_grants *out)
{
  for (size_t i = 0; i < l->waits; i++)
    {
      bool first = true;

      for (size_t k = 0; k < i; k++)
        if (strcmp (l->wait[k].service, l->wait[i].service) == 0)
          first = false;
      if (first)
        serve_service (l, v, l->wait[i].service, now, out);
    }
  for (size_t i = l->waits; i-- > 0;)
    if (l->wait[i].want == 0)
      l->wait[i] = l->wait[--l->waits];
  st_table_check (l);
}

void
st_recall_excess (struct st_lessor *l, const struct st_server *s,
                  struct st_grants *out)
{
  unsigned kept = 0, slots = s->leaving || s->draining ? 0 : s->slots;

  for (size_t i = 0; i < l->leases; i++)
    if (l->lease[i].server == s)
      kept += l->lease[i].keep;
  for (size_t i = 0; i < l->leases && kept > slots; i++)
    {
      struct st_lease *e = &l->lease[i];

      if (e->server != s || e->keep == 0)
        continue;
      unsigned n = kept - slots < e->keep ? kept - slots : e->keep;
      e->keep -= n;
      kept -= n;
      st_grants_add (out, (struct st_grant){ .kind = ST_GRANT_RECALL,
                                             .to = e->holder,
                                             .id = e->id,
                                             .u.recall.keep = e->keep });
    }
}
