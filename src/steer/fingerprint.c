#include "steer/fingerprint.h"

#include <assert.h>
#include <stdlib.h>

#include <xxhash.h>

struct st_fp
st_fingerprint (struct zp_str service, struct zp_str method,
                struct zp_str path, struct zp_str body)
{
  struct zp_str part[] = { service, method, path, body };
  XXH128_hash_t h[4];

  /* Hashing the hash of each part makes the result depend on where one part
     ends and the next begins.  */
  for (int i = 0; i < 4; i++)
    h[i] = XXH3_128bits (part[i].ptr ? part[i].ptr : "", part[i].len);
  XXH128_hash_t all = XXH3_128bits (h, sizeof h);
  return (struct st_fp){ .hi = all.high64, .lo = all.low64 };
}

void
st_fp_table_init (struct st_fp_table *t, uint32_t max)
{
  *t = (struct st_fp_table){ .entries = zp_alloc (max * sizeof *t->entries),
                             .buckets = zp_alloc (max * sizeof *t->buckets),
                             .max = max };
  for (uint32_t i = 0; i < max; i++)
    {
      t->buckets[i] = ST_NO_INDEX;
      t->entries[i].next = i + 1 < max ? i + 1 : ST_NO_INDEX;
    }
}

void
st_fp_table_free (struct st_fp_table *t)
{
  free (t->entries);
  free (t->buckets);
}

/* Table.  */

static uint32_t *
bucket (struct st_fp_table *t, struct st_fp fp)
{
  return &t->buckets[fp.lo % t->max];
}

static bool
in_use (const struct st_fp_entry *e)
{
  return e->runs > 0 || e->trial != ST_NO_INDEX;
}

void
st_fp_table_remove (struct st_fp_table *t, struct st_fp_entry *e)
{
  uint32_t index = (uint32_t) (e - t->entries);
  uint32_t *link = bucket (t, e->fp);

  assert (!in_use (e));
  while (*link != index)
    link = &t->entries[*link].next;
  *link = e->next;
  *e = (struct st_fp_entry){ .kind = ST_FP_FREE, .next = t->free };
  t->free = index;
  t->len--;
}

struct st_fp_entry *
st_fp_table_find (struct st_fp_table *t, struct st_fp fp, zp_time now)
{
  uint32_t i = *bucket (t, fp);

  while (i != ST_NO_INDEX
         && (t->entries[i].fp.hi != fp.hi || t->entries[i].fp.lo != fp.lo))
    i = t->entries[i].next;
  if (i == ST_NO_INDEX)
    return NULL;
  struct st_fp_entry *e = &t->entries[i];
  if (e->kind == ST_FP_NEW || now < e->until || e->trial != ST_NO_INDEX)
    return e;
  if (!in_use (e))
    {
      st_fp_table_remove (t, e);
      return NULL;
    }
  e->kind = ST_FP_NEW;
  e->losses = 0;
  e->vote = 0;
  return e;
}

/* Idle entries of the lowest rank are evicted first.  */
static int
evict_rank (const struct st_fp_entry *e)
{
  switch (e->kind)
    {
    case ST_FP_FREE:
    case ST_FP_NEW:
    case ST_FP_PROVEN:
      return 0;
    case ST_FP_SUSPECT:
      return e->vote != 0 ? 2 : 1;
    case ST_FP_POISON:
      return 3;
    }
  return 3;
}

static void
evict (struct st_fp_table *t)
{
  struct st_fp_entry *victim = NULL;

  for (uint32_t i = 0; i < t->max; i++)
    {
      struct st_fp_entry *e = &t->entries[t->evict_at];
      t->evict_at = (t->evict_at + 1) % t->max;
      if (in_use (e))
        continue;
      if (!victim || evict_rank (e) < evict_rank (victim)
          || (evict_rank (e) == evict_rank (victim)
              && e->until < victim->until))
        victim = e;
      if (evict_rank (e) == 0)
        break;
    }
  assert (victim); /* there are more entries than runs and trials */
  st_fp_table_remove (t, victim);
}

struct st_fp_entry *
st_fp_table_add (struct st_fp_table *t, struct st_fp fp, zp_time now)
{
  struct st_fp_entry *e = st_fp_table_find (t, fp, now);

  if (e)
    return e;
  if (t->free == ST_NO_INDEX)
    evict (t);
  uint32_t index = t->free;
  uint32_t *head = bucket (t, fp);
  e = &t->entries[index];
  t->free = e->next;
  *e = (struct st_fp_entry){
    .fp = fp, .kind = ST_FP_NEW, .next = *head, .trial = ST_NO_INDEX
  };
  *head = index;
  t->len++;
  return e;
}

/* Entries.  */

void
st_fp_suspect (struct st_fp_entry *e, zp_time until)
{
  if (e->kind != ST_FP_SUSPECT && e->kind != ST_FP_POISON)
    {
      e->kind = ST_FP_SUSPECT;
      e->until = until;
    }
  if (e->until < until)
    e->until = until;
}

bool
st_fp_add_loss (struct st_fp_entry *e, uint64_t server, uint64_t trial,
                zp_time at)
{
  for (uint32_t i = 0; i < e->losses; i++)
    if (e->loss[i].server == server && e->loss[i].trial == trial)
      return false;
  if (e->losses == ST_POISON_LOSSES)
    return false;
  e->loss[e->losses++]
      = (struct st_loss){ .server = server, .trial = trial, .age = at };
  st_fp_suspect (e, at + ST_POISON_TTL);
  if (e->losses == ST_POISON_LOSSES)
    e->kind = ST_FP_POISON;
  return true;
}

void
st_fp_prove (struct st_fp_entry *e, zp_time now)
{
  e->kind = ST_FP_PROVEN;
  e->until = now + ST_POISON_PROVEN_TTL;
  e->losses = 0;
  e->vote = 0;
}
