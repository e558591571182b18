#include "quota/index.h"

#include <assert.h>
#include <stdlib.h>

#include "base/str.h"

#define FIRST_CAP 16 /* slots; the number of slots is a power of two */

/* Spreads keys that differ only in a few bits (finalizer of MurmurHash3).  */
static size_t
home_of (const struct qu_index *t, uint64_t key)
{
  key ^= key >> 33;
  key *= 0xff51afd7ed558ccdULL;
  key ^= key >> 33;
  key *= 0xc4ceb9fe1a85ec53ULL;
  key ^= key >> 33;
  return (size_t) key & (t->cap - 1);
}

/* The slot of KEY, or the free slot where it would be stored.  At least one
   slot is free.  */
static size_t
find (const struct qu_index *t, uint64_t key)
{
  size_t i = home_of (t, key);

  while (t->slot[i].at != QU_NONE && t->slot[i].key != key)
    i = (i + 1) & (t->cap - 1);
  return i;
}

uint32_t
qu_index_get (const struct qu_index *t, uint64_t key)
{
  return t->len > 0 ? t->slot[find (t, key)].at : QU_NONE;
}

static void
resize (struct qu_index *t, size_t cap)
{
  struct qu_index old = *t;

  t->slot = zp_alloc (cap * sizeof *t->slot);
  t->cap = cap;
  for (size_t i = 0; i < cap; i++)
    t->slot[i].at = QU_NONE;
  for (size_t i = 0; i < old.cap; i++)
    if (old.slot[i].at != QU_NONE)
      t->slot[find (t, old.slot[i].key)] = old.slot[i];
  free (old.slot);
}

void
qu_index_put (struct qu_index *t, uint64_t key, uint32_t at)
{
  assert (at != QU_NONE);
  if (t->len * 2 >= t->cap)
    resize (t, t->cap > 0 ? t->cap * 2 : FIRST_CAP);
  size_t i = find (t, key);
  if (t->slot[i].at == QU_NONE)
    t->len++;
  t->slot[i] = (struct qu_index_slot){ .key = key, .at = at };
}

void
qu_index_remove (struct qu_index *t, uint64_t key)
{
  if (qu_index_get (t, key) == QU_NONE)
    return;
  size_t mask = t->cap - 1;
  size_t hole = find (t, key);

  /* Moves later keys of the chain back, so that a search that starts at their
     home does not end at the hole.  */
  for (size_t i = (hole + 1) & mask; t->slot[i].at != QU_NONE;
       i = (i + 1) & mask)
    {
      size_t home = home_of (t, t->slot[i].key);
      if (((i - home) & mask) < ((i - hole) & mask))
        continue;
      t->slot[hole] = t->slot[i];
      hole = i;
    }
  t->slot[hole].at = QU_NONE;
  t->len--;
}

void
qu_index_free (struct qu_index *t)
{
  free (t->slot);
  *t = (struct qu_index){ .len = 0 };
}
