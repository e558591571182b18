#include "ticket/overlay.h"

#include <stdlib.h>

void
ti_overlay_open (struct ti_overlay *o, const struct ti_config *c,
                 const struct ti_edit *e)
{
  size_t i = 0, j = 0;

  *o = (struct ti_overlay){
    .item = zp_alloc ((c->len + e->set_len) * sizeof (struct ti_object *)),
  };
  while (i < c->len || j < e->set_len)
    {
      int order = i == c->len ? 1
                  : j == e->set_len
                      ? -1
                      : ti_key_cmp (&c->slot[i].key, &e->set[j]->key);
      if (order >= 0)
        {
          o->item[o->len++] = e->set[j++];
          i += order == 0;
          continue;
        }
      const struct ti_slot *s = &c->slot[i++];
      if (s->object && !ti_edit_deletes (e, &s->key))
        o->item[o->len++] = s->object;
    }
}

void
ti_overlay_close (struct ti_overlay *o)
{
  free (o->item);
  *o = (struct ti_overlay){ .len = 0 };
}

static size_t
lower_bound (const struct ti_overlay *o, const struct ti_key *key)
{
  size_t low = 0, high = o->len;

  while (low < high)
    {
      size_t mid = low + (high - low) / 2;
      if (ti_key_cmp (&o->item[mid]->key, key) < 0)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}

const struct ti_object *
ti_overlay_find (const struct ti_overlay *o, const struct ti_key *key)
{
  size_t at = lower_bound (o, key);

  if (at == o->len || ti_key_cmp (&o->item[at]->key, key) != 0)
    return NULL;
  return o->item[at];
}

size_t
ti_overlay_kind (const struct ti_overlay *o, enum ti_kind kind,
                 const struct ti_object *const **first)
{
  const struct ti_key low = { .kind = kind }, high = { .kind = kind + 1 };
  size_t from = lower_bound (o, &low);

  *first = o->item + from;
  return lower_bound (o, &high) - from;
}
