#include "once/member.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* Table.  */

enum state
{
  CLAIMED,
  SEALED,
  FINISHED,
};

/* The stored answer of a backend server; BYTES holds the content type and then
   the body.  */
struct stored_answer
{
  unsigned status;
  size_t type_len;
  size_t body_len;
  char bytes[];
};

struct record
{
  struct record *next; /* in the bucket */
  struct record *next_in_generation;
  uint64_t hash;
  enum state state;
  enum zp_verdict verdict;      /* FINISHED */
  struct oc_attempt_id holder;  /* claimed, sealed or recorded last */
  struct stored_answer *stored; /* FINISHED; NULL: not stored */
  size_t key_len;
  char key[];
};

struct oc_member
{
  struct oc_member_conf conf;
  zp_time start;       /* of generation 1 */
  size_t bytes;        /* counted towards conf.limit */
  size_t keys;         /* records in the table */
  size_t bucket_count; /* a power of two */
  struct record **bucket;
  uint64_t oldest; /* the oldest generation whose records are in the table */
  struct record *by_generation
      [ZP_ONCE_GENERATIONS]; /* index: modulo ZP_ONCE_GENERATIONS */
};

/* The memory that an allocation of N bytes uses, with a header of 16 bytes and
   rounded up to 16 bytes.  */
static size_t
alloc_size (size_t n)
{
  return (n + 16 + 15) & ~(size_t) 15;
}

static size_t
record_size (size_t key_len)
{
  return alloc_size (sizeof (struct record) + key_len);
}

static size_t
stored_size (const struct stored_answer *k)
{
  return alloc_size (sizeof *k + k->type_len + k->body_len);
}

static struct record **
bucket_of (const struct oc_member *m, uint64_t hash)
{
  return &m->bucket[hash & (m->bucket_count - 1)];
}

static struct record *
find (const struct oc_member *m, struct zp_str key, uint64_t hash)
{
  for (struct record *r = *bucket_of (m, hash); r; r = r->next)
    if (r->hash == hash
        && zp_str_eq ((struct zp_str){ r->key, r->key_len }, key))
      return r;
  return NULL;
}

static void
remove_record (struct oc_member *m, struct record *r)
{
  struct record **p = bucket_of (m, r->hash);

  while (*p != r)
    p = &(*p)->next;
  *p = r->next;
  m->bytes -= record_size (r->key_len);
  if (r->stored)
    m->bytes -= stored_size (r->stored);
  m->keys--;
  free (r->stored);
  free (r);
}

/* Returns NULL when the new record would exceed LIMIT bytes.  */
static struct record *
insert (struct oc_member *m, struct zp_str key, uint64_t hash,
        uint64_t generation, size_t limit)
{
  size_t size = record_size (key.len);

  if (m->bytes + size > limit)
    return NULL;
  struct record *r = zp_alloc (sizeof *r + key.len);
  struct record **b = bucket_of (m, hash);
  struct record **g = &m->by_generation[generation % ZP_ONCE_GENERATIONS];
  r->hash = hash;
  r->key_len = key.len;
  memcpy (r->key, key.ptr, key.len);
  r->next = *b;
  *b = r;
  r->next_in_generation = *g;
  *g = r;
  m->bytes += size;
  m->keys++;
  return r;
}

/* Generations.  */

static uint64_t
generation_at (const struct oc_member *m, zp_time now)
{
  zp_time age = now > m->start ? now - m->start : 0;

  return (uint64_t) (age / ZP_ONCE_GENERATION) + 1;
}

static bool
expired (uint64_t generation, uint64_t current)
{
  return current >= ZP_ONCE_GENERATIONS
         && generation <= current - ZP_ONCE_GENERATIONS;
}

void
oc_member_tick (struct oc_member *m, zp_time now)
{
  uint64_t current = generation_at (m, now);

  /* ZP_ONCE_GENERATIONS steps empty all lists, however many generations have
     passed.  */
  for (int i = 0; i < ZP_ONCE_GENERATIONS && expired (m->oldest, current); i++)
    {
      struct record **g = &m->by_generation[m->oldest++ % ZP_ONCE_GENERATIONS];
      while (*g)
        {
          struct record *r = *g;
          *g = r->next_in_generation;
          remove_record (m, r);
        }
    }
  if (expired (m->oldest, current))
    m->oldest = current - ZP_ONCE_GENERATIONS + 1;
}

/* Member.  */

struct oc_member *
oc_member_new (const struct oc_member_conf *conf, zp_time now)
{
  struct oc_member *m = zp_alloc (sizeof *m);

  m->conf = *conf;
  m->start = now;
  m->oldest = 1;
  m->bucket_count = 16;
  /* The array is never resized, so that no request is delayed by a rehash.
   */
  while (m->bucket_count < conf->limit / 1024)
    m->bucket_count *= 2;
  size_t size = m->bucket_count * sizeof (struct record *);
  m->bucket = zp_alloc (size);
  m->bytes = alloc_size (sizeof *m) + alloc_size (size);
  return m;
}

void
oc_member_free (struct oc_member *m)
{
  if (!m)
    return;
  for (size_t i = 0; i < m->bucket_count; i++)
    while (m->bucket[i])
      remove_record (m, m->bucket[i]);
  free (m->bucket);
  free (m);
}

struct oc_member_ref
oc_member_self (const struct oc_member *m, zp_time now)
{
  return (struct oc_member_ref){ .id = m->conf.id,
                                 .incarnation = m->conf.incarnation,
                                 .generation = generation_at (m, now) };
}

size_t
oc_member_bytes (const struct oc_member *m)
{
  return m->bytes;
}

size_t
oc_member_keys (const struct oc_member *m)
{
  return m->keys;
}

/* Messages.  */

/* The limit in bytes for claims and outcomes; the last sixteenth is for seals.
 */
static size_t
claim_limit (const struct oc_member *m)
{
  return m->conf.limit - m->conf.limit / 16;
}

static void
abstain (struct oc_answer *a, enum oc_abstain why)
{
  a->reply = OC_ABSTAINED;
  a->why = why;
}

/* Answers with the state of R, which the asking attempt cannot hold.  */
static void
answer_state (const struct record *r, struct oc_answer *a)
{
  switch (r->state)
    {
    case CLAIMED:
      a->reply = OC_TAKEN;
      a->holder = r->holder;
      return;
    case SEALED:
      a->reply = OC_SEALED;
      return;
    case FINISHED:
      a->reply = OC_FINISHED;
      a->holder = r->holder;
      a->outcome.verdict = r->verdict;
      a->outcome.whole = r->stored != NULL;
      if (!r->stored)
        return;
      a->outcome.status = r->stored->status;
      zp_buf_put_bytes (&a->outcome.content_type, r->stored->bytes,
                        r->stored->type_len);
      zp_buf_put_bytes (&a->outcome.body,
                        r->stored->bytes + r->stored->type_len,
                        r->stored->body_len);
      return;
    }
}

/* Stores the verdict of O, and its answer where there is memory for it.  */
static void
store_outcome (struct oc_member *m, struct record *r,
               const struct oc_outcome *o)
{
  size_t type_len = o->content_type.len, body_len = o->body.len;
  struct stored_answer head
      = { .status = o->status, .type_len = type_len, .body_len = body_len };
  size_t size = stored_size (&head);

  r->verdict = o->verdict;
  if (!o->whole || !oc_outcome_fits (o) || m->bytes + size > claim_limit (m))
    return;
  r->stored = zp_alloc (sizeof head + type_len + body_len);
  *r->stored = head;
  if (type_len > 0)
    memcpy (r->stored->bytes, o->content_type.ptr, type_len);
  if (body_len > 0)
    memcpy (r->stored->bytes + type_len, o->body.ptr, body_len);
  m->bytes += size;
}

static void
on_claim (struct oc_member *m, const struct oc_msg *in, struct record *r,
          uint64_t hash, uint64_t generation, struct oc_answer *a)
{
  if (r && (r->state != CLAIMED || !oc_attempt_id_eq (r->holder, in->attempt)))
    {
      answer_state (r, a);
      return;
    }
  if (!r)
    {
      r = insert (m, zp_str_of (&in->key), hash, generation, claim_limit (m));
      if (!r)
        {
          abstain (a, OC_FULL);
          return;
        }
      r->state = CLAIMED;
      r->holder = in->attempt;
    }
  a->reply = OC_GRANTED;
}

static void
on_seal (struct oc_member *m, const struct oc_msg *in, struct record *r,
         uint64_t hash, uint64_t generation, struct oc_answer *a)
{
  if (r && (r->state != CLAIMED || !oc_attempt_id_eq (r->holder, in->attempt)))
    {
      answer_state (r, a);
      return;
    }
  if (!r)
    r = insert (m, zp_str_of (&in->key), hash, generation, m->conf.limit);
  if (!r)
    {
      abstain (a, OC_FULL);
      return;
    }
  r->state = SEALED;
  r->holder = in->attempt;
  a->reply = OC_SEALED;
}

static void
on_record (struct oc_member *m, const struct oc_msg *in, struct record *r,
           uint64_t hash, uint64_t generation, struct oc_answer *a)
{
  if (!r)
    r = insert (m, zp_str_of (&in->key), hash, generation, claim_limit (m));
  if (!r)
    {
      abstain (a, OC_FULL);
      return;
    }
  a->reply = OC_RECORDED;
  if (r->state == FINISHED)
    return;
  r->state = FINISHED;
  r->holder = in->attempt;
  store_outcome (m, r, &in->u.record);
}

/* Whether M decides about the key of IN.  Sets GENERATION if so; fills A with
   the reason to abstain otherwise.  */
static bool
check_key (const struct oc_member *m, const struct oc_msg *in, zp_time now,
           uint64_t *generation, struct oc_answer *a)
{
  struct oc_home home;
  uint64_t current = generation_at (m, now);
  const struct oc_member_ref *ref = NULL;

  if (oc_key_parse (zp_str_of (&in->key), &home, NULL))
    ref = oc_home_find (&home, m->conf.id);
  if (!ref)
    {
      abstain (a, OC_NOT_MEMBER);
      return false;
    }
  if (ref->incarnation != m->conf.incarnation)
    {
      abstain (a, OC_INCARNATION);
      return false;
    }
  /* If NOW went back, records of generations before m->oldest have already
     been removed although expired () is false.  */
  if (ref->generation < m->oldest || ref->generation > current
      || expired (ref->generation, current))
    {
      abstain (a, OC_GENERATION);
      return false;
    }
  *generation = ref->generation;
  return true;
}

void
oc_member_handle (struct oc_member *m, const struct oc_msg *in, zp_time now,
                  struct oc_msg *answer)
{
  struct oc_answer *a = &answer->u.answer;
  uint64_t generation = 0;

  assert (in->kind != OC_ANSWER);
  oc_member_tick (m, now);
  *answer = (struct oc_msg){ .kind = OC_ANSWER,
                             .attempt = in->attempt,
                             .key = zp_buf_from (zp_str_of (&in->key)),
                             .u.answer.in_reply_to = in->kind };
  if (!check_key (m, in, now, &generation, a))
    return;
  uint64_t hash = zp_str_hash (zp_str_of (&in->key), m->conf.hash_seed);
  struct record *r = find (m, zp_str_of (&in->key), hash);
  switch (in->kind)
    {
    case OC_CLAIM:
      on_claim (m, in, r, hash, generation, a);
      break;
    case OC_SEAL:
      on_seal (m, in, r, hash, generation, a);
      break;
    case OC_RECORD:
      on_record (m, in, r, hash, generation, a);
      break;
    case OC_ANSWER:
      break;
    }
  assert (m->bytes <= m->conf.limit || m->keys == 0);
}
