#include "control/membership.h"

#include <string.h>

/* A new leader treats no member as lost until this time has passed: daemons
   connect to it within a few hundred milliseconds.  */
#define LEADER_SETTLE_TIME (3 * ZP_SEC)

struct view
{
  const struct lg_members *members;
  const struct ct_daemons *daemons;
  const struct ct_membership_self *self;
  zp_time now;
};

static const struct ct_daemon *
daemon_of (const struct view *v, uint64_t id)
{
  for (size_t i = 0; i < v->daemons->len; i++)
    if (v->daemons->item[i].info.id == id
        && v->daemons->item[i].info.kind == TK_DAEMON_CONTROL)
      return &v->daemons->item[i];
  return NULL;
}

static bool
connected (const struct view *v, uint64_t id)
{
  const struct ct_daemon *d = daemon_of (v, id);

  return id == v->self->id || (d && !d->info.lost);
}

/* How long a member is known to have been without a connection; 0: it is
   connected, or this leader is too new to tell.  */
static zp_time
lost_for (const struct view *v, uint64_t id)
{
  const struct ct_daemon *d = daemon_of (v, id);

  if (connected (v, id))
    return 0;
  zp_time observed = v->now - v->self->led_since;
  if (observed < LEADER_SETTLE_TIME)
    return 0;
  if (d && v->now - d->since < observed)
    return v->now - d->since;
  return observed;
}

static bool
is_healthy (const struct view *v, size_t member)
{
  return connected (v, v->members->item[member].id)
         && v->self->silence[member] < CT_ANSWER_TIMEOUT;
}

/* How long a voter cannot have taken part in decisions; 0: it can.  */
static zp_time
unusable_for (const struct view *v, size_t member)
{
  if (!connected (v, v->members->item[member].id))
    return lost_for (v, v->members->item[member].id);
  return is_healthy (v, member) ? 0 : v->self->silence[member];
}

static struct zp_str
region_of (const struct view *v, uint64_t id)
{
  const struct ct_daemon *d = daemon_of (v, id);

  if (id == v->self->id)
    return v->self->region;
  return d ? zp_str_from (d->info.region) : ZP_STR ("");
}

static size_t
voters_in (const struct view *v, struct zp_str region)
{
  size_t n = 0;

  for (size_t i = 0; i < v->members->len; i++)
    n += v->members->item[i].voter && region.len > 0
         && zp_str_eq (region_of (v, v->members->item[i].id), region);
  return n;
}

/* Rule 1 of those in the header.  */
static bool
remove_wiped (const struct view *v, struct lg_change *out)
{
  for (size_t i = 0; i < v->members->len; i++)
    for (size_t k = 0; k < v->daemons->len; k++)
      {
        const struct lg_member *m = &v->members->item[i];
        const struct tk_daemon *d = &v->daemons->item[k].info;
        if (d->kind == TK_DAEMON_CONTROL && !d->lost && d->id != m->id
            && strcmp (d->log_address, m->address) == 0)
          {
            *out = (struct lg_change){ .kind = LG_REMOVE, .id = m->id };
            return true;
          }
      }
  return false;
}

/* Rule 2.  */
static bool
add_learner (const struct view *v, struct lg_change *out)
{
  for (size_t i = 0; i < v->daemons->len; i++)
    {
      const struct tk_daemon *d = &v->daemons->item[i].info;
      if (d->kind != TK_DAEMON_CONTROL || d->lost || d->log_address[0] == '\0'
          || lg_members_find (v->members, d->id)
          || v->members->len == LG_MEMBERS_MAX)
        continue;
      *out = (struct lg_change){ .kind = LG_ADD_LEARNER,
                                 .id = d->id,
                                 .address = zp_str_from (d->log_address) };
      return true;
    }
  return false;
}

/* A healthy learner that may become a voter, or NULL.  LEAVING is the id of
   the voter that it would replace, or 0.  */
static const struct lg_member *
find_promotable (const struct view *v, uint64_t leaving)
{
  for (size_t i = 0; i < v->members->len; i++)
    {
      const struct lg_member *m = &v->members->item[i];
      if (m->voter || !is_healthy (v, i))
        continue;
      struct zp_str region = region_of (v, m->id);
      size_t there = voters_in (v, region);
      if (leaving != 0 && there > 0
          && zp_str_eq (region_of (v, leaving), region))
        there--;
      if (there < CT_VOTERS_IN_REGION)
        return m;
    }
  return NULL;
}

/* Rule 3.  */
static bool
promote_learner (const struct view *v, struct lg_change *out)
{
  size_t voters = lg_members_voters (v->members);
  const struct lg_member *m = find_promotable (v, 0);

  if (!m || voters >= CT_VOTERS)
    return false;
  *out = (struct lg_change){ .kind = LG_PROMOTE, .id = m->id };
  return true;
}

/* Rule 4.  */
static bool
remove_lost_voter (const struct view *v, struct lg_change *out)
{
  size_t voters = lg_members_voters (v->members), present = 0;
  const struct lg_member *lost = NULL;

  for (size_t i = 0; i < v->members->len; i++)
    {
      const struct lg_member *m = &v->members->item[i];
      if (!m->voter)
        continue;
      present += is_healthy (v, i);
      if (!lost && unusable_for (v, i) >= CT_VOTER_TIMEOUT)
        lost = m;
    }
  if (!lost || voters < 2 || present <= (voters - 1) / 2
      || !find_promotable (v, lost->id))
    return false;
  *out = (struct lg_change){ .kind = LG_REMOVE, .id = lost->id };
  return true;
}

/* Rule 5.  */
static bool
remove_lost_learner (const struct view *v, struct lg_change *out)
{
  for (size_t i = 0; i < v->members->len; i++)
    {
      const struct lg_member *m = &v->members->item[i];
      if (m->voter || lost_for (v, m->id) < CT_LEARNER_TIMEOUT)
        continue;
      *out = (struct lg_change){ .kind = LG_REMOVE, .id = m->id };
      return true;
    }
  return false;
}

bool
ct_membership_decide (const struct lg_members *members,
                      const struct ct_daemons *daemons,
                      const struct ct_membership_self *self, zp_time now,
                      struct lg_change *out)
{
  const struct view v
      = { .members = members, .daemons = daemons, .self = self, .now = now };

  return remove_wiped (&v, out) || add_learner (&v, out)
         || promote_learner (&v, out) || remove_lost_voter (&v, out)
         || remove_lost_learner (&v, out);
}
