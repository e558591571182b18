#include "entry/members.h"

#include <stdio.h>
#include <stdlib.h>

#include "entry/plan.h"

struct en_member *
en_members_find (const struct en_members *m, uint64_t id)
{
  for (size_t i = 0; i < m->len; i++)
    if (m->item[i].id == id)
      return &m->item[i];
  return NULL;
}

struct en_member *
en_members_get (struct en_members *m, uint64_t id)
{
  struct en_member *e = en_members_find (m, id);

  if (e || m->len >= ZP_MEMBERS_MAX)
    return e;
  m->item = zp_realloc (m->item, (m->len + 1) * sizeof *m->item);
  e = &m->item[m->len++];
  *e = (struct en_member){ .id = id };
  return e;
}

struct en_member *
en_members_change (struct en_members *m, const struct tk_peer_change *c,
                   bool up)
{
  struct en_member *e = en_members_get (m, c->peer);

  if (!e)
    return NULL;
  if (e->incarnation != c->incarnation)
    e->ref = (struct oc_member_ref){ .id = 0 };
  e->incarnation = c->incarnation;
  e->live = up;
  e->leaving = c->leaving;
  zp_str_copy (e->http, sizeof e->http, zp_str_from (c->address));
  zp_str_copy (e->failure_domain, sizeof e->failure_domain,
               zp_str_from (c->failure_domain));
  zp_str_copy (e->region, sizeof e->region, zp_str_from (c->region));
  return e;
}

struct zp_str
en_member_name (const struct en_member *e, char text[24])
{
  snprintf (text, 24, "%llu", (unsigned long long) e->id);
  return zp_str_from (text);
}

struct st_lookup *
en_members_lookup (const struct en_members *m, const struct en_plan *plan,
                   const struct st_drains *drains)
{
  struct st_lookup_member *all = zp_alloc (m->len * sizeof *all);

  for (size_t i = 0; i < m->len; i++)
    {
      const struct en_member *e = &m->item[i];
      struct zp_str domain = zp_str_from (e->failure_domain);
      uint16_t d = en_plan_domain (plan, domain);
      char name[24];
      all[i] = (struct st_lookup_member){
        .id = e->id,
        .domain = d,
        .live = e->live && d != UINT16_MAX
                && !en_plan_entry_disabled (plan, e->id)
                && en_plan_entry_allowed (plan, domain, zp_str_from (e->http)),
        .drained = e->leaving
                   || st_drains_cover_entry (drains, en_member_name (e, name),
                                             domain, zp_str_from (e->region)),
      };
    }
  struct st_lookup *l
      = all[0].domain == UINT16_MAX
            ? NULL
            : st_lookup_build (&plan->topology, all, m->len, 0);
  free (all);
  return l;
}

static struct oc_candidate
candidate_of (const struct en_member *e)
{
  return (struct oc_candidate){ .ref = e->ref,
                                .failure_domain
                                = zp_str_from (e->failure_domain),
                                .region = zp_str_from (e->region) };
}

void
en_members_choose_home (const struct en_members *m, struct zp_rng *rng,
                        struct zp_buf *token)
{
  struct oc_candidate *others = zp_alloc (m->len * sizeof *others);
  struct oc_candidate self = candidate_of (&m->item[0]);
  struct oc_home home;
  size_t n = 0;

  for (size_t i = 1; i < m->len; i++)
    {
      const struct en_member *e = &m->item[i];
      if (e->live && !e->leaving && e->ref.id == e->id)
        others[n++] = candidate_of (e);
    }
  oc_home_choose (&home, &self, others, n, rng);
  oc_home_format (token, &home);
  free (others);
}

void
en_members_free (struct en_members *m)
{
  free (m->item);
  *m = (struct en_members){ .len = 0 };
}
