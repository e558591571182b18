#include "base/slots.h"

#include <assert.h>
#include <stdlib.h>

#include "base/str.h"

#define FIRST_SIZE 64 /* slots */

static void
grow (struct zp_slots *s)
{
  uint32_t n = s->cap > 0 ? s->cap * 2 : FIRST_SIZE;

  s->slot = zp_realloc (s->slot, n * sizeof *s->slot);
  s->free = zp_realloc (s->free, n * sizeof *s->free);
  for (uint32_t i = n; i > s->cap; i--)
    {
      s->slot[i - 1] = (struct zp_slot){ .id = 0 };
      s->free[s->free_len++] = i - 1;
    }
  s->cap = n;
}

uint64_t
zp_slots_put (struct zp_slots *s, void *object)
{
  if (s->free_len == 0)
    grow (s);
  uint32_t at = s->free[--s->free_len];
  assert (s->slot[at].id == 0);
  s->slot[at].id = ++s->generation << 32 | at;
  s->slot[at].object = object;
  s->len++;
  return s->slot[at].id;
}

void *
zp_slots_get (const struct zp_slots *s, uint64_t id)
{
  uint32_t at = (uint32_t) id;

  if (id == 0 || at >= s->cap || s->slot[at].id != id)
    return NULL;
  return s->slot[at].object;
}

void
zp_slots_remove (struct zp_slots *s, uint64_t id)
{
  uint32_t at = (uint32_t) id;

  assert (zp_slots_get (s, id) != NULL);
  s->slot[at] = (struct zp_slot){ .id = 0 };
  s->free[s->free_len++] = at;
  s->len--;
}

void *
zp_slots_next (const struct zp_slots *s, uint32_t *at)
{
  while (*at < s->cap)
    {
      const struct zp_slot *x = &s->slot[(*at)++];
      if (x->id != 0)
        return x->object;
    }
  return NULL;
}

void
zp_slots_free (struct zp_slots *s)
{
  free (s->slot);
  free (s->free);
  *s = (struct zp_slots){ .cap = 0 };
}
