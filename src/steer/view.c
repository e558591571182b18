#include "steer/view.h"

#include <stdlib.h>
#include <string.h>

void *
st_reserve (void *items, size_t *cap, size_t len, size_t size)
{
  if (len < *cap)
    return items;
  *cap = *cap > 0 ? *cap * 2 : 8;
  return zp_realloc (items, *cap * size);
}

/* Members.  */

static struct st_member *
find (const struct st_view *v, uint64_t id)
{
  for (size_t i = 0; i < v->members; i++)
    if (v->member[i].id == id)
      return &v->member[i];
  return NULL;
}

void
st_view_put (struct st_view *v, const struct st_member *m)
{
  struct st_member *old = find (v, m->id);

  if (old)
    {
      *old = *m;
      return;
    }
  v->member
      = st_reserve (v->member, &v->member_cap, v->members, sizeof *v->member);
  v->member[v->members++] = *m;
}

void
st_view_remove (struct st_view *v, uint64_t member)
{
  struct st_member *m = find (v, member);

  if (m)
    *m = v->member[--v->members];
  for (size_t i = v->summaries; i-- > 0;)
    if (v->summary[i].member == member)
      v->summary[i] = v->summary[--v->summaries];
}

const struct st_member *
st_view_member (const struct st_view *v, uint64_t id)
{
  return find (v, id);
}

/* Summaries and latency.  */

void
st_view_put_summary (struct st_view *v, uint64_t member, struct zp_str service,
                     unsigned free_slots, unsigned slots, zp_time now)
{
  struct st_summary s
      = { .member = member, .free = free_slots, .slots = slots, .at = now };

  if (!zp_str_copy (s.service, sizeof s.service, service))
    return;
  for (size_t i = 0; i < v->summaries; i++)
    if (v->summary[i].member == member
        && strcmp (v->summary[i].service, s.service) == 0)
      {
        v->summary[i] = s;
        return;
      }
  v->summary = st_reserve (v->summary, &v->summary_cap, v->summaries,
                           sizeof *v->summary);
  v->summary[v->summaries++] = s;
}

void
st_view_put_latency (struct st_view *v, struct zp_str from, struct zp_str to,
                     zp_time one_way)
{
  struct st_latency l = { .one_way = one_way };

  if (!zp_str_copy (l.from, sizeof l.from, from)
      || !zp_str_copy (l.to, sizeof l.to, to))
    return;
  for (size_t i = 0; i < v->latencies; i++)
    if (strcmp (v->latency[i].from, l.from) == 0
        && strcmp (v->latency[i].to, l.to) == 0)
      {
        v->latency[i] = l;
        return;
      }
  v->latency = st_reserve (v->latency, &v->latency_cap, v->latencies,
                           sizeof *v->latency);
  v->latency[v->latencies++] = l;
}

zp_time
st_view_distance (const struct st_view *v, uint64_t member)
{
  const struct st_member *me = find (v, v->self);
  const struct st_member *m = find (v, member);

  if (member == v->self)
    return 0;
  if (!me || !m)
    return ZP_NEVER;
  if (strcmp (me->failure_domain, m->failure_domain) == 0)
    return 1;
  if (strcmp (me->region, m->region) == 0)
    return 2;
  for (size_t i = 0; i < v->latencies; i++)
    if (strcmp (v->latency[i].from, me->region) == 0
        && strcmp (v->latency[i].to, m->region) == 0)
      return 2 + v->latency[i].one_way;
  return ZP_NEVER - 1;
}

zp_time
st_view_round_trip (const struct st_view *v, uint64_t member)
{
  zp_time d = st_view_distance (v, member);

  return d <= 2 || d >= ZP_NEVER - 1 ? 0 : 2 * (d - 2);
}

const struct st_member *
st_view_preferred (const struct st_view *v, struct zp_str failure_domain,
                   struct zp_str server)
{
  const struct st_member *best = NULL;
  uint64_t top = 0;

  for (size_t i = 0; i < v->members; i++)
    {
      const struct st_member *m = &v->member[i];

      if (!m->live || m->stopping
          || !zp_str_eq (zp_str_from (m->failure_domain), failure_domain))
        continue;
      uint64_t h = zp_str_hash (server, m->id);
      if (!best || h > top || (h == top && m->id < best->id))
        {
          best = m;
          top = h;
        }
    }
  return best;
}

void
st_view_free (struct st_view *v)
{
  free (v->member);
  free (v->summary);
  free (v->latency);
  *v = (struct st_view){ .self = v->self };
}
