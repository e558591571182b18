/* The log in memory, and lists of copied entries.  */

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "ledger/core-state.h"

/* Bytes counted for each entry in addition to its contents, for its header in
   memory and in frames.  */
#define ENTRY_OVERHEAD 64

/* Entries.  */

void
lg_entries_add (struct lg_entries *to, const struct lg_entry *e)
{
  /* The capacity is not stored: it is the length rounded up to a power of
     two.  */
  if ((to->len & (to->len - 1)) == 0)
    to->item = zp_realloc (to->item,
                           (to->len > 0 ? to->len * 2 : 1) * sizeof *to->item);
  to->item[to->len] = *e;
  to->item[to->len++].bytes = zp_buf_from (zp_str_of (&e->bytes));
}

void
lg_entries_free (struct lg_entries *e)
{
  for (size_t i = 0; i < e->len; i++)
    zp_buf_free (&e->item[i].bytes);
  free (e->item);
  *e = (struct lg_entries){ .item = NULL };
}

/* Log.  */

uint64_t
lg_log_last (const struct lg_log *l)
{
  return l->base_index + l->len;
}

uint64_t
lg_log_last_term (const struct lg_log *l)
{
  return lg_log_term (l, lg_log_last (l));
}

bool
lg_log_has_term (const struct lg_log *l, uint64_t index)
{
  return index >= l->base_index && index <= lg_log_last (l);
}

uint64_t
lg_log_term (const struct lg_log *l, uint64_t index)
{
  return index == l->base_index ? l->base_term : lg_log_at (l, index)->term;
}

static const struct lg_log_item *
item_at (const struct lg_log *l, uint64_t index)
{
  assert (index > l->base_index && index <= lg_log_last (l));
  return &l->item[index - l->base_index - 1];
}

const struct lg_entry *
lg_log_at (const struct lg_log *l, uint64_t index)
{
  return &item_at (l, index)->entry;
}

static uint64_t
total_bytes_at (const struct lg_log *l, uint64_t index)
{
  return index == l->base_index ? l->base_total_bytes
                                : item_at (l, index)->total_bytes;
}

uint64_t
lg_log_bytes (const struct lg_log *l, uint64_t from, uint64_t to)
{
  if (from > to)
    return 0;
  assert (from > l->base_index);
  return total_bytes_at (l, to) - total_bytes_at (l, from - 1);
}

void
lg_log_append (struct lg_log *l, uint64_t term, enum lg_entry_kind kind,
               struct zp_str bytes)
{
  uint64_t total
      = total_bytes_at (l, lg_log_last (l)) + bytes.len + ENTRY_OVERHEAD;

  assert (term >= lg_log_last_term (l));
  if (l->len == l->cap)
    {
      l->cap = l->cap > 0 ? l->cap * 2 : 64;
      l->item = zp_realloc (l->item, l->cap * sizeof *l->item);
    }
  l->item[l->len]
      = (struct lg_log_item){ .entry = { .index = lg_log_last (l) + 1,
                                         .term = term,
                                         .kind = kind,
                                         .bytes = zp_buf_from (bytes) },
                              .total_bytes = total };
  l->len++;
}

void
lg_log_truncate (struct lg_log *l, uint64_t from)
{
  assert (from > l->base_index);
  while (lg_log_last (l) >= from)
    zp_buf_free (&l->item[--l->len].entry.bytes);
}

void
lg_log_compact (struct lg_log *l, uint64_t base)
{
  assert (lg_log_has_term (l, base));
  size_t n = (size_t) (base - l->base_index);
  if (n == 0)
    return;
  struct lg_members members;
  lg_log_members (l, base, &members);
  uint64_t term = lg_log_term (l, base);
  uint64_t total = total_bytes_at (l, base);
  for (size_t i = 0; i < n; i++)
    zp_buf_free (&l->item[i].entry.bytes);
  l->len -= n;
  memmove (l->item, l->item + n, l->len * sizeof *l->item);
  l->base_index = base;
  l->base_term = term;
  l->base_total_bytes = total;
  l->base_members = members;
}

void
lg_log_reset (struct lg_log *l, const struct lg_snapshot *s)
{
  lg_log_truncate (l, l->base_index + 1);
  l->base_index = s->index;
  l->base_term = s->term;
  l->base_members = s->members;
}

void
lg_log_free (struct lg_log *l)
{
  lg_log_truncate (l, l->base_index + 1);
  free (l->item);
}

uint64_t
lg_log_members (const struct lg_log *l, uint64_t upto, struct lg_members *out)
{
  for (uint64_t i = upto; i > l->base_index; i--)
    {
      const struct lg_entry *e = lg_log_at (l, i);
      if (e->kind == LG_ENTRY_MEMBERS
          && lg_members_decode (out, zp_str_of (&e->bytes)))
        return i;
    }
  *out = l->base_members;
  return l->base_index;
}

void
lg_log_copy (const struct lg_log *l, uint64_t from, uint64_t max, size_t limit,
             struct lg_entries *out)
{
  for (uint64_t i = from; i <= lg_log_last (l); i++)
    {
      if (out->len > 0
          && (out->len >= limit || lg_log_bytes (l, from, i) > max))
        return;
      lg_entries_add (out, lg_log_at (l, i));
    }
}
