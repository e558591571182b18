#include "control/reconcile.h"

#include <inttypes.h>
#include <stdio.h>

static uint64_t
id_of (const struct ti_slot *s)
{
  uint64_t id = 0;

  zp_str_u64 (ti_text_str (&s->key.name), &id);
  return id;
}

static bool
has_object (const struct ti_config *c, uint64_t id)
{
  struct ti_key key = { .kind = TI_CONTROL };
  char text[24];

  snprintf (text, sizeof text, "%" PRIu64, id);
  return ti_text_set (&key.name, zp_str_from (text))
         && ti_config_find (c, &key) != NULL;
}

/* Fills OUT with the addition of a member that is missing, or else with the
   promotion of a learner that should vote.  Sets HAS_CONTROLS when C has a
   control object.  */
static bool
next_addition (const struct ti_config *c, const struct lg_members *members,
               struct lg_change *out, bool *has_controls)
{
  const struct ti_slot *s;
  bool found = false;

  for (size_t at = 0; (s = ti_config_next (c, TI_CONTROL, &at));)
    {
      const struct ti_control *o = &s->object->u.control;
      const struct lg_member *m = lg_members_find (members, id_of (s));
      *has_controls = true;
      if (!m)
        {
          *out = (struct lg_change){ .kind = LG_ADD_LEARNER,
                                     .id = id_of (s),
                                     .address = ti_text_str (&o->address) };
          return true;
        }
      if (!m->voter && o->role == TI_ROLE_VOTER && !found)
        {
          *out = (struct lg_change){ .kind = LG_PROMOTE, .id = m->id };
          found = true;
        }
    }
  return found;
}

bool
ct_reconcile (const struct ti_config *c, const struct lg_members *members,
              uint64_t leader, struct lg_change *out)
{
  const struct lg_member *surplus = NULL;
  bool has_controls = false;

  if (next_addition (c, members, out, &has_controls))
    return true;
  if (!has_controls)
    return false;
  for (size_t i = 0; i < members->len; i++)
    {
      const struct lg_member *m = &members->item[i];
      if (!has_object (c, m->id) && (!surplus || surplus->id == leader))
        surplus = m;
    }
  if (surplus)
    *out = (struct lg_change){ .kind = LG_REMOVE, .id = surplus->id };
  return surplus != NULL;
}
