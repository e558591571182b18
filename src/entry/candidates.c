#include <stdlib.h>

#include "entry/request.h"

/* Servers.  */

struct en_server *
en_server_find (struct en_router *r, uint64_t hash)
{
  for (size_t i = 0; i < r->servers.len; i++)
    if (r->servers.item[i]->hash == hash)
      return r->servers.item[i];
  return NULL;
}

struct en_server *
en_server_get (struct en_router *r, struct en_service *s, struct zp_str id)
{
  struct en_servers *all = &r->servers;
  uint64_t hash = zp_str_hash (id, 0);
  struct en_server *x = en_server_find (r, hash);

  if (!x)
    {
      all->item = st_reserve (all->item, &all->cap, all->len,
                              sizeof (struct en_server *));
      x = zp_alloc (sizeof *x);
      x->hash = hash;
      x->service = s;
      st_health_add (&x->health, &s->group, zp_clock_mono ());
      all->item[all->len++] = x;
    }
  x->seen = zp_clock_mono ();
  return x;
}

/* Candidates.  */

static bool
was_tried (const struct en_request *q, uint64_t server)
{
  for (unsigned i = 0; i < q->attempts && i < EN_TRIED_MAX; i++)
    if (q->tried[i] == server)
      return true;
  return false;
}

const struct st_member *
en_held_server_owner (const struct en_router *r, size_t at)
{
  for (size_t i = 0; i < r->holder.leases; i++)
    if (r->holder.lease[i].server == at)
      return st_view_member (&r->view, r->holder.lease[i].owner);
  return NULL;
}

/* Sets the tier from DISTANCE, as st_view_distance returns it.  */
static void
set_tier (struct st_candidate *c, zp_time distance)
{
  c->tier = distance <= 1   ? ST_TIER_DOMAIN
            : distance == 2 ? ST_TIER_REGION
                            : ST_TIER_REMOTE;
  c->latency = c->tier == ST_TIER_REMOTE ? distance : 0;
}

/* Adds what the server has announced, if it announces to this daemon.  */
static void
add_report (const struct en_router *r, struct st_candidate *c,
            struct zp_str id, zp_time now)
{
  const struct st_server *s = st_owner_find (&r->lessor.owner, id);

  if (!s)
    return;
  c->capacity = s->slots;
  c->leaving = s->leaving || s->draining;
  c->report.kind = ST_REPORT_INFLIGHT;
  c->report.age = now - s->reported_at;
  c->report.u.inflight = s->inflight;
}

/* Limits.  */

/* Requests of S that run at servers of REGION.  */
static unsigned
running_in (const struct en_router *r, const struct en_service *s,
            struct zp_str region)
{
  const struct en_request *q;
  uint32_t at = 0;
  unsigned n = 0;

  while ((q = zp_slots_next (&r->requests, &at)))
    if (q->phase == EN_RUNNING && q->service == s
        && zp_str_eq (zp_str_from (q->region), region))
      n++;
  return n;
}

/* Whether this daemon has used up its share of a limit of the configuration.
   The shares of all entry daemons add up to the limit, so it holds without
   messages between them.  */
static bool
limit_reached (const struct en_router *r, const struct en_service *s,
               struct zp_str region)
{
  unsigned share;

  return en_plan_limit (r->plan, zp_str_from (s->name), region, r->id, &share)
         && running_in (r, s, region) >= share;
}

/* Whether the servers of OWNER are in a home region of the workspace of Q.
   Without an owner their region is not known.  */
static bool
in_home (const struct en_request *q, const struct st_member *owner)
{
  return en_workspace_allows (q->workspace, owner ? zp_str_from (owner->region)
                                                  : ZP_STR (""));
}

size_t
en_dispatch_candidates (struct en_router *r, const struct en_request *q,
                        struct st_candidate *out, size_t *indexes, zp_time now)
{
  size_t n = 0;

  for (size_t i = 0; i < r->holder.servers && n < ST_CANDIDATES_MAX; i++)
    {
      const struct st_held_server *held = &r->holder.server[i];
      struct zp_str id = zp_str_from (held->server);
      if (!zp_str_eq (zp_str_from (held->service),
                      zp_str_from (q->service->name)))
        continue;
      struct en_server *s = en_server_get (r, q->service, id);
      const struct st_member *owner = en_held_server_owner (r, i);
      if (!in_home (q, owner))
        continue;
      struct st_candidate *c = &out[n];
      *c = (struct st_candidate){
        .server = s->hash,
        .capacity = held->slots,
        .slots = st_holder_slots (&r->holder, id, now),
        .own = s->running,
        .ramp = st_health_ramp (&s->health, now),
        .health = st_health_state (&s->health, now),
        .tried = was_tried (q, s->hash),
        .reserved = s->reserved,
        .blocked = st_holder_free_slots (&r->holder, id, now) == 0,
      };
      set_tier (c, owner ? st_view_distance (&r->view, owner->id) : ZP_NEVER);
      if (owner && en_links_blocked (r, zp_str_from (owner->region), now))
        c->blocked = true;
      if (owner && limit_reached (r, q->service, zp_str_from (owner->region)))
        c->blocked = true;
      add_report (r, c, id, now);
      indexes[n++] = i;
    }
  return n;
}

struct st_placement
en_dispatch_choose (struct en_router *r, const struct en_request *q,
                    size_t *index, zp_time now)
{
  struct st_candidate *c = zp_alloc (r->holder.servers * sizeof *c);
  size_t *indexes = zp_alloc (r->holder.servers * sizeof *indexes);
  size_t n = en_dispatch_candidates (r, q, c, indexes, now);
  struct st_place_request x
      = { .alone = q->alone, .retry = q->retry, .only = q->only_server };
  struct st_placement p = st_place (c, n, &x, &r->rng);

  if (p.kind == ST_PLACED || p.kind == ST_PLACED_PROBE)
    *index = indexes[p.u.chosen.index];
  free (indexes);
  free (c);
  return p;
}

static bool
same_text (const char *a, const char *b)
{
  return zp_str_eq (zp_str_from (a), zp_str_from (b));
}

/* A server counts when this daemon holds slots of it or when it announces to
   this daemon.  A current summary of another member that reports slots of the
   service counts too, because it does not name the servers.  */
bool
en_dispatch_has_other (struct en_router *r, struct en_request *q)
{
  const struct st_owner *own = &r->lessor.owner;
  zp_time now = zp_clock_mono ();

  for (size_t i = 0; i < r->holder.servers; i++)
    if (same_text (r->holder.server[i].service, q->service->name)
        && in_home (q, en_held_server_owner (r, i))
        && !was_tried (
            q, zp_str_hash (zp_str_from (r->holder.server[i].server), 0)))
      return true;
  for (size_t i = 0; i < own->servers; i++)
    if (same_text (own->server[i]->service, q->service->name)
        && st_server_grantable (own->server[i], now)
        && !was_tried (q, zp_str_hash (zp_str_from (own->server[i]->id), 0)))
      return true;
  for (size_t i = 0; i < r->view.summaries; i++)
    if (r->view.summary[i].member != r->id && r->view.summary[i].slots > 0
        && now - r->view.summary[i].at <= ST_SUMMARY_TTL
        && same_text (r->view.summary[i].service, q->service->name)
        && in_home (q, st_view_member (&r->view, r->view.summary[i].member)))
      return true;
  return false;
}
