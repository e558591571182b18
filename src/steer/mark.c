#include "steer/mark.h"

#include <assert.h>
#include <stdlib.h>

#include <xxhash.h>

struct st_fp
st_fingerprint (struct zp_str service, struct zp_str method,
                struct zp_str path, struct zp_str body)
{
  struct zp_str part[] = { service, method, path, body };
  XXH128_hash_t h[4];

  /* Hashing the hashes keeps the bounds of the parts apart.  */
  for (int i = 0; i < 4; i++)
    h[i] = XXH3_128bits (part[i].ptr ? part[i].ptr : "", part[i].len);
  XXH128_hash_t all = XXH3_128bits (h, sizeof h);
  return (struct st_fp){ .hi = all.high64, .lo = all.low64 };
}

void
st_marks_init (struct st_marks *m, uint32_t max)
{
  *m = (struct st_marks){ .entries = zp_alloc (max * sizeof *m->entries),
                          .buckets = zp_alloc (max * sizeof *m->buckets),
                          .max = max };
  for (uint32_t i = 0; i < max; i++)
    {
      m->buckets[i] = ST_NONE;
      m->entries[i].next = i + 1 < max ? i + 1 : ST_NONE;
    }
}

void
st_marks_free (struct st_marks *m)
{
  free (m->entries);
  free (m->buckets);
}

/* Table.  */

static uint32_t *
bucket (struct st_marks *m, struct st_fp fp)
{
  return &m->buckets[fp.lo % m->max];
}

static bool
in_use (const struct st_mark *e)
{
  return e->runs > 0 || e->trial != ST_NONE;
}

void
st_marks_remove (struct st_marks *m, struct st_mark *e)
{
  uint32_t index = (uint32_t) (e - m->entries);
  uint32_t *link = bucket (m, e->fp);

  assert (!in_use (e));
  while (*link != index)
    link = &m->entries[*link].next;
  *link = e->next;
  *e = (struct st_mark){ .kind = ST_MARK_FREE, .next = m->free };
  m->free = index;
  m->len--;
}

struct st_mark *
st_marks_find (struct st_marks *m, struct st_fp fp, zp_time now)
{
  uint32_t i = *bucket (m, fp);

  while (i != ST_NONE
         && (m->entries[i].fp.hi != fp.hi || m->entries[i].fp.lo != fp.lo))
    i = m->entries[i].next;
  if (i == ST_NONE)
    return NULL;
  struct st_mark *e = &m->entries[i];
  if (e->kind == ST_MARK_NEW || now < e->until || e->trial != ST_NONE)
    return e;
  if (!in_use (e))
    {
      st_marks_remove (m, e);
      return NULL;
    }
  e->kind = ST_MARK_NEW;
  e->losses = 0;
  e->vote = 0;
  return e;
}

/* How much the loss of an idle entry matters.  */
static int
worth (const struct st_mark *e)
{
  switch (e->kind)
    {
    case ST_MARK_FREE:
    case ST_MARK_NEW:
    case ST_MARK_PROVEN:
      return 0;
    case ST_MARK_SUSPECT:
      return e->vote != 0 ? 2 : 1;
    case ST_MARK_POISON:
      return 3;
    }
  return 3;
}

static void
evict (struct st_marks *m)
{
  struct st_mark *victim = NULL;

  for (uint32_t i = 0; i < m->max; i++)
    {
      struct st_mark *e = &m->entries[m->hand];
      m->hand = (m->hand + 1) % m->max;
      if (in_use (e))
        continue;
      if (!victim || worth (e) < worth (victim)
          || (worth (e) == worth (victim) && e->until < victim->until))
        victim = e;
      if (worth (e) == 0)
        break;
    }
  assert (victim); /* the table is larger than all runs and trials */
  st_marks_remove (m, victim);
}

struct st_mark *
st_marks_add (struct st_marks *m, struct st_fp fp, zp_time now)
{
  struct st_mark *e = st_marks_find (m, fp, now);

  if (e)
    return e;
  if (m->free == ST_NONE)
    evict (m);
  uint32_t index = m->free;
  uint32_t *head = bucket (m, fp);
  e = &m->entries[index];
  m->free = e->next;
  *e = (struct st_mark){
    .fp = fp, .kind = ST_MARK_NEW, .next = *head, .trial = ST_NONE
  };
  *head = index;
  m->len++;
  return e;
}

/* Changes of one mark.  */

void
st_mark_suspect (struct st_mark *e, zp_time until)
{
  if (e->kind != ST_MARK_SUSPECT && e->kind != ST_MARK_POISON)
    {
      e->kind = ST_MARK_SUSPECT;
      e->until = until;
    }
  if (e->until < until)
    e->until = until;
}

bool
st_mark_loss (struct st_mark *e, uint64_t server, uint64_t trial, zp_time at)
{
  for (uint32_t i = 0; i < e->losses; i++)
    if (e->loss[i].server == server && e->loss[i].trial == trial)
      return false;
  if (e->losses == ST_POISON_LOSSES)
    return false;
  e->loss[e->losses++]
      = (struct st_loss){ .server = server, .trial = trial, .age = at };
  st_mark_suspect (e, at + ST_POISON_TTL);
  if (e->losses == ST_POISON_LOSSES)
    e->kind = ST_MARK_POISON;
  return true;
}

void
st_mark_prove (struct st_mark *e, zp_time now)
{
  e->kind = ST_MARK_PROVEN;
  e->until = now + ST_POISON_PROVEN_TTL;
  e->losses = 0;
  e->vote = 0;
}
