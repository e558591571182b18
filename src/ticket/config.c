#include "ticket/config.h"

#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

struct ti_config *
ti_config_new (void)
{
  return zp_alloc (sizeof (struct ti_config));
}

struct ti_config *
ti_config_copy (const struct ti_config *c)
{
  struct ti_config *n = ti_config_new ();

  *n = *c;
  n->cap = c->len;
  n->slot = zp_alloc (c->len * sizeof *n->slot);
  for (size_t i = 0; i < c->len; i++)
    {
      n->slot[i] = c->slot[i];
      if (c->slot[i].object)
        n->slot[i].object = ti_object_copy (c->slot[i].object);
    }
  return n;
}

void
ti_config_free (struct ti_config *c)
{
  if (!c)
    return;
  for (size_t i = 0; i < c->len; i++)
    ti_object_free (c->slot[i].object);
  free (c->slot);
  free (c);
}

/* Look-up.  */

/* Returns the position of the first slot whose key is not below KEY.  */
static size_t
lower_bound (const struct ti_config *c, const struct ti_key *key)
{
  size_t low = 0, high = c->len;

  while (low < high)
    {
      size_t mid = low + (high - low) / 2;
      if (ti_key_cmp (&c->slot[mid].key, key) < 0)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}

const struct ti_slot *
ti_config_slot (const struct ti_config *c, const struct ti_key *key)
{
  size_t at = lower_bound (c, key);

  if (at == c->len || ti_key_cmp (&c->slot[at].key, key) != 0)
    return NULL;
  return &c->slot[at];
}

const struct ti_object *
ti_config_find (const struct ti_config *c, const struct ti_key *key)
{
  const struct ti_slot *s = ti_config_slot (c, key);

  return s ? s->object : NULL;
}

const struct ti_slot *
ti_config_next (const struct ti_config *c, enum ti_kind kind, size_t *at)
{
  const struct ti_key first = { .kind = kind };

  if (*at == 0)
    *at = lower_bound (c, &first);
  while (*at < c->len && c->slot[*at].key.kind == kind)
    {
      const struct ti_slot *s = &c->slot[(*at)++];
      if (s->object)
        return s;
    }
  return NULL;
}

/* Changes.  */

/* Returns the slot of KEY and inserts an empty one when there is none.  */
static struct ti_slot *
find_or_add_slot (struct ti_config *c, const struct ti_key *key)
{
  size_t at = lower_bound (c, key);

  if (at < c->len && ti_key_cmp (&c->slot[at].key, key) == 0)
    return &c->slot[at];
  if (c->len == c->cap)
    {
      c->cap = c->cap > 0 ? c->cap * 2 : 16;
      c->slot = zp_realloc (c->slot, c->cap * sizeof *c->slot);
    }
  memmove (&c->slot[at + 1], &c->slot[at], (c->len - at) * sizeof *c->slot);
  c->slot[at] = (struct ti_slot){ .key = *key };
  c->len++;
  return &c->slot[at];
}

static void
put_object (struct ti_config *c, const struct ti_object *o)
{
  struct ti_slot *s = find_or_add_slot (c, &o->key);

  ti_object_free (s->object);
  s->object = ti_object_copy (o);
  s->number = c->number;
  s->deleted_at = 0;
}

static void
delete_object (struct ti_config *c, const struct ti_key *key)
{
  struct ti_slot *s = find_or_add_slot (c, key);

  ti_object_free (s->object);
  s->object = NULL;
  s->number = c->number;
  s->deleted_at = c->time;
  s->moved = 0;
}

static void
apply_edit (struct ti_config *c, const struct ti_edit *e)
{
  for (size_t i = 0; i < e->set_len; i++)
    put_object (c, e->set[i]);
  for (size_t i = 0; i < e->deleted.len; i++)
    delete_object (c, &e->deleted.item[i]);
}

/* Drops the tombstones that are older than TI_TOMBSTONE_TTL.  */
static void
drop_tombstones (struct ti_config *c)
{
  size_t kept = 0;

  for (size_t i = 0; i < c->len; i++)
    {
      struct ti_slot *s = &c->slot[i];
      if (!s->object && s->deleted_at < c->time - TI_TOMBSTONE_TTL)
        {
          if (s->number > c->forgotten)
            c->forgotten = s->number;
          continue;
        }
      c->slot[kept++] = *s;
    }
  c->len = kept;
}

/* Returns the slot of the shift NAME, or NULL when there is no such shift.  */
static struct ti_slot *
shift_slot (struct ti_config *c, const struct ti_text *name)
{
  const struct ti_key key = { .kind = TI_SHIFT, .name = *name };
  size_t at = lower_bound (c, &key);

  if (at == c->len || ti_key_cmp (&c->slot[at].key, &key) != 0)
    return NULL;
  return c->slot[at].object ? &c->slot[at] : NULL;
}

bool
ti_config_apply (struct ti_config *c, const struct ti_change *change,
                 struct zp_err *err)
{
  struct ti_slot *shift;

  if (change->index <= c->index)
    return zp_fail (err, ZP_ECONFLICT,
                    "change has index %" PRIu64 ", allowed: above %" PRIu64,
                    change->index, c->index);
  switch (change->kind)
    {
    case TI_CHANGE_EDIT:
      if (change->u.edit.number != c->number + 1)
        return zp_fail (err, ZP_ECONFLICT,
                        "change has number %" PRIu64
                        ", allowed: the one after %" PRIu64,
                        change->u.edit.number, c->number);
      break;
    case TI_CHANGE_STEP:
      if (!shift_slot (c, &change->u.step.shift))
        return zp_fail (err, ZP_ENOTFOUND, "no shift \"%.*s\"",
                        ZP_ARG (ti_text_str (&change->u.step.shift)));
      break;
    }
  c->index = change->index;
  if (change->time > c->time)
    c->time = change->time;
  switch (change->kind)
    {
    case TI_CHANGE_EDIT:
      c->number = change->u.edit.number;
      apply_edit (c, &change->u.edit.edit);
      drop_tombstones (c);
      break;
    case TI_CHANGE_STEP:
      shift = shift_slot (c, &change->u.step.shift);
      assert (shift);
      shift->moved = change->u.step.moved;
      break;
    }
  return true;
}

/* Adds to OUT what restores KEY to its state in C.  */
static void
add_undo (const struct ti_config *c, const struct ti_key *key,
          struct ti_edit *out)
{
  const struct ti_object *o = ti_config_find (c, key);

  if (o)
    out->set[out->set_len++] = ti_object_copy (o);
  else
    ti_keys_add (&out->deleted, key);
}

void
ti_config_make_undo (const struct ti_config *c, const struct ti_edit *edit,
                     struct ti_edit *out)
{
  size_t n = edit->set_len + edit->deleted.len;

  *out = (struct ti_edit){ .set = zp_alloc (n * sizeof (struct ti_object *)) };
  for (size_t i = 0; i < edit->set_len; i++)
    add_undo (c, &edit->set[i]->key, out);
  for (size_t i = 0; i < edit->deleted.len; i++)
    add_undo (c, &edit->deleted.item[i], out);
  ti_edit_sort (out);
}

void
ti_config_revert (struct ti_config *c, const struct ti_edit *undo)
{
  assert (c->number > 0);
  c->number--;
  apply_edit (c, undo);
}

/* Differences.  */

static bool
same_object (const struct ti_object *a, const struct ti_object *b)
{
  struct zp_buf x = { .ptr = NULL }, y = { .ptr = NULL };

  if (!a || !b)
    return a == b;
  ti_object_write (a, &x);
  ti_object_write (b, &y);
  bool same = zp_str_eq (zp_str_of (&x), zp_str_of (&y));
  zp_buf_free (&x);
  zp_buf_free (&y);
  return same;
}

void
ti_config_diff (const struct ti_config *a, const struct ti_config *b,
                struct ti_diff *out)
{
  size_t i = 0, j = 0;

  *out = (struct ti_diff){
    .item = zp_alloc ((a->len + b->len) * sizeof *out->item),
  };
  while (i < a->len || j < b->len)
    {
      int order = i == a->len ? 1
                  : j == b->len
                      ? -1
                      : ti_key_cmp (&a->slot[i].key, &b->slot[j].key);
      const struct ti_slot *x = order <= 0 ? &a->slot[i++] : NULL;
      const struct ti_slot *y = order >= 0 ? &b->slot[j++] : NULL;
      if (x && y && x->number == y->number)
        continue;
      struct ti_difference d = { .key = x ? &x->key : &y->key,
                                 .before = x ? x->object : NULL,
                                 .after = y ? y->object : NULL };
      if (!same_object (d.before, d.after))
        out->item[out->len++] = d;
    }
}

void
ti_diff_free (struct ti_diff *d)
{
  free (d->item);
  *d = (struct ti_diff){ .len = 0 };
}
