#include "ticket/conflict.h"

/* Adds KEY to OUT when its object changed after AGAINST.  */
static void
check_key (const struct ti_config *c, uint64_t against,
           const struct ti_key *key, struct ti_conflict *out)
{
  const struct ti_slot *s = ti_config_slot (c, key);
  uint64_t changed = s ? s->number : c->forgotten;

  if (changed <= against)
    return;
  ti_keys_add (&out->objects, key);
  if (changed > out->number)
    out->number = changed;
}

void
ti_conflict_find (const struct ti_config *c, const struct ti_ticket *t,
                  struct ti_conflict *out)
{
  *out = (struct ti_conflict){ .number = 0 };
  for (size_t i = 0; i < t->edit.set_len; i++)
    check_key (c, t->against, &t->edit.set[i]->key, out);
  for (size_t i = 0; i < t->edit.deleted.len; i++)
    check_key (c, t->against, &t->edit.deleted.item[i], out);
}

bool
ti_conflict_check (const struct ti_config *c, enum ti_conflict_rule rule,
                   const struct ti_ticket *t, struct ti_conflict *out)
{
  ti_conflict_find (c, t, out);
  switch (rule)
    {
    case TI_CONFLICT_BY_OBJECT:
      return out->objects.len > 0;
    case TI_CONFLICT_BY_NUMBER:
      out->number = c->number;
      return c->number > t->against;
    }
  return false;
}

void
ti_conflict_copy (const struct ti_conflict *from, struct ti_conflict *to)
{
  *to = (struct ti_conflict){ .number = from->number, .digest = from->digest };
  for (size_t i = 0; i < from->objects.len; i++)
    ti_keys_add (&to->objects, &from->objects.item[i]);
}

void
ti_conflict_free (struct ti_conflict *c)
{
  ti_keys_free (&c->objects);
  *c = (struct ti_conflict){ .number = 0 };
}
