#include "peer/members.h"

#include <assert.h>
#include <stdlib.h>

void
pe_members_init (struct pe_members *m, uint64_t self, struct zp_str region)
{
  *m = (struct pe_members){ .self = self };
  zp_str_copy (m->region, sizeof m->region, region);
}

void
pe_members_free (struct pe_members *m)
{
  free (m->item);
  m->item = NULL;
  m->len = 0;
}

int
pe_members_find (const struct pe_members *m, uint64_t id)
{
  for (size_t i = 0; i < m->len; i++)
    if (m->item[i].id == id && id != 0)
      return (int) i;
  return -1;
}

static int
find_address (const struct pe_members *m, struct zp_str wire)
{
  for (size_t i = 0; i < m->len; i++)
    if (zp_str_eq (zp_str_from (m->item[i].wire), wire))
      return (int) i;
  return -1;
}

int
pe_members_add (struct pe_members *m, struct zp_str wire)
{
  int i = find_address (m, wire);

  if (i >= 0)
    return i;
  if (m->len >= ZP_MEMBERS_MAX || wire.len >= ZP_ADDRESS_MAX || wire.len == 0)
    return -1;
  m->item = zp_realloc (m->item, (m->len + 1) * sizeof *m->item);
  m->item[m->len] = (struct pe_member){ .period = ZP_HEARTBEAT_REMOTE };
  zp_str_copy (m->item[m->len].wire, ZP_ADDRESS_MAX, wire);
  return (int) m->len++;
}

static bool
same_region (const struct pe_members *m, const struct pe_member *p)
{
  return zp_str_eq (zp_str_from (m->region), zp_str_from (p->region));
}

/* The index of the sender of a hello: the member with its id, or else the one
   at its address, which is added when it is not known.  */
static int
find_entry (struct pe_members *m, const struct pe_hello *h)
{
  int i = pe_members_find (m, h->id);

  if (i >= 0)
    return i;
  i = pe_members_add (m, h->wire);
  if (i >= 0 && m->item[i].id != 0 && m->item[i].state != PE_DOWN)
    return -1; /* two live members cannot have one address */
  return i;
}

enum pe_event
pe_members_hello (struct pe_members *m, const struct pe_hello *h, zp_time now,
                  int *index)
{
  *index = -1;
  if (h->id == 0 || h->id == m->self || h->wire.len == 0)
    return PE_NOTHING;
  int i = find_entry (m, h);
  if (i < 0)
    return PE_NOTHING;
  struct pe_member *p = &m->item[i];
  if (p->id == h->id && h->incarnation < p->incarnation)
    return PE_NOTHING;
  bool was_up = p->state == PE_ALIVE || p->state == PE_SUSPECT;
  bool restarted = p->id != h->id || p->incarnation != h->incarnation;
  if (!zp_str_copy (p->http, sizeof p->http, h->http)
      || !zp_str_copy (p->failure_domain, sizeof p->failure_domain,
                       h->failure_domain)
      || !zp_str_copy (p->region, sizeof p->region, h->region)
      || !zp_str_copy (p->wire, sizeof p->wire, h->wire))
    return PE_NOTHING;
  p->id = h->id;
  p->incarnation = h->incarnation;
  p->state = PE_ALIVE;
  p->received_at = now;
  p->period = same_region (m, p) ? ZP_HEARTBEAT_REGION : ZP_HEARTBEAT_REMOTE;
  if (restarted)
    p->leaving = false;
  *index = i;
  if (!was_up)
    return PE_CAME_UP;
  return restarted ? PE_CHANGED : PE_NOTHING;
}

enum pe_event
pe_members_heartbeat (struct pe_members *m, int index, uint64_t incarnation,
                      bool leaving, zp_time now)
{
  struct pe_member *p = &m->item[index];

  assert (index >= 0 && (size_t) index < m->len);
  if (incarnation != p->incarnation)
    return PE_NOTHING; /* a connection of an earlier start */
  bool was_down = p->state == PE_DOWN;
  bool changed = leaving != p->leaving;
  p->state = PE_ALIVE;
  p->leaving = leaving;
  p->received_at = now;
  if (was_down)
    return PE_CAME_UP;
  return changed ? PE_CHANGED : PE_NOTHING;
}

enum pe_event
pe_members_refused (struct pe_members *m, int index)
{
  struct pe_member *p = &m->item[index];

  if (p->state != PE_ALIVE && p->state != PE_SUSPECT)
    return PE_NOTHING;
  p->state = PE_DOWN;
  return PE_WENT_DOWN;
}

enum pe_event
pe_members_tick (struct pe_members *m, int index, zp_time now)
{
  struct pe_member *p = &m->item[index];
  zp_time silent = now - p->received_at;

  switch (p->state)
    {
    case PE_KNOWN:
    case PE_DOWN:
      return PE_NOTHING;
    case PE_ALIVE:
      if (silent <= ZP_HEARTBEAT_MISSED * p->period)
        return PE_NOTHING;
      p->state = PE_SUSPECT;
      return PE_PROBE;
    case PE_SUSPECT:
      if (silent <= 2 * ZP_HEARTBEAT_MISSED * p->period)
        return PE_NOTHING;
      p->state = PE_DOWN;
      return PE_WENT_DOWN;
    }
  return PE_NOTHING;
}

/* The rank of P among the members of its region; the lowest ranks get a link.
   It depends on the id of this daemon, so that the links of all daemons spread
   over the members.  */
static uint64_t
link_rank (const struct pe_members *m, const struct pe_member *p)
{
  return zp_str_hash (zp_str_from (p->wire), m->self);
}

void
pe_members_note_alias (struct pe_members *m, int index, uint64_t id)
{
  assert (index >= 0 && (size_t) index < m->len);
  m->item[index].alias_of = id;
}

/* Whether P is another address of a member that is up.  */
static bool
is_alias (const struct pe_members *m, const struct pe_member *p)
{
  int i = p->id == 0 ? pe_members_find (m, p->alias_of) : -1;

  return i >= 0 && m->item[i].state != PE_DOWN;
}

bool
pe_members_wants_link (const struct pe_members *m, int index)
{
  const struct pe_member *p = &m->item[index];
  int lower = 0;

  if (is_alias (m, p))
    return false;

  if (p->id == 0 || same_region (m, p))
    return true;
  for (size_t i = 0; i < m->len; i++)
    {
      const struct pe_member *q = &m->item[i];
      if (q != p && q->id != 0 && q->state != PE_DOWN
          && zp_str_eq (zp_str_from (q->region), zp_str_from (p->region))
          && link_rank (m, q) < link_rank (m, p))
        lower++;
    }
  return lower < ZP_REMOTE_LINKS;
}
