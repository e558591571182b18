#include "ticket/store.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "ticket/store_internal.h"

const char *
ti_state_name (enum ti_state state)
{
  switch (state)
    {
    case TI_STATE_NONE:
      return "unknown";
    case TI_STATE_SUBMITTED:
      return "submitted";
    case TI_STATE_REVIEWED:
      return "reviewed";
    case TI_STATE_NUMBERED:
      return "numbered";
    case TI_STATE_REFUSED:
      return "refused";
    case TI_STATE_CONFLICT:
      return "conflict";
    }
  return "";
}

void
ti_result_free (struct ti_result *r)
{
  zp_report_free (&r->errors);
  ti_conflict_free (&r->conflict);
  ti_change_free (r->change);
  *r = (struct ti_result){ .outcome = TI_UNKNOWN };
}

void
ti_store_copy_errors (const struct zp_report *from, struct zp_report *to)
{
  *to = (struct zp_report){ .count = from->count };
  if (from->count > 0)
    zp_buf_put (&to->lines, zp_str_of (&from->lines));
}

/* Creating and freeing; pending tickets, records and undo edits.  */

struct ti_store *
ti_store_new (enum ti_conflict_rule rule)
{
  struct ti_store *s = zp_alloc (sizeof *s);

  s->rule = rule;
  s->config = ti_config_new ();
  return s;
}

static void
record_clear (struct ti_record *r)
{
  zp_report_free (&r->errors);
  ti_conflict_free (&r->conflict);
}

void
ti_store_free (struct ti_store *s)
{
  if (!s)
    return;
  for (size_t i = 0; i < s->pending_len; i++)
    ti_ticket_free (s->pending[i].ticket);
  for (size_t i = 0; i < s->record_len; i++)
    record_clear (&s->record[i]);
  for (size_t i = 0; i < s->undo_len; i++)
    ti_edit_free (&s->undo[i].edit);
  free (s->record);
  free (s->record_hash);
  free (s->undo);
  ti_config_free (s->config);
  ti_leaves_free (&s->leaves);
  free (s);
}

void
ti_store_add_pending (struct ti_store *s, const struct ti_pending *p)
{
  assert (s->pending_len < TI_PENDING_MAX);
  s->pending[s->pending_len++] = *p;
  s->pending_bytes += p->bytes;
}

void
ti_store_drop_pending (struct ti_store *s, size_t at)
{
  ti_ticket_free (s->pending[at].ticket);
  s->pending_bytes -= s->pending[at].bytes;
  s->pending_len--;
  memmove (&s->pending[at], &s->pending[at + 1],
           (s->pending_len - at) * sizeof s->pending[0]);
}

static uint64_t
digest_hash (const struct ti_digest *d)
{
  return zp_str_hash (ti_digest_str (d), 0);
}

void
ti_store_add_record (struct ti_store *s, const struct ti_record *r)
{
  if (s->record_len == s->record_cap)
    {
      s->record_cap = s->record_cap > 0 ? s->record_cap * 2 : 64;
      s->record = zp_realloc (s->record, s->record_cap * sizeof *s->record);
      s->record_hash = zp_realloc (s->record_hash,
                                   s->record_cap * sizeof *s->record_hash);
    }
  s->record_hash[s->record_len] = digest_hash (&r->digest);
  s->record[s->record_len++] = *r;
}

void
ti_store_add_undo (struct ti_store *s, const struct ti_undo *u)
{
  if (s->undo_len == s->undo_cap)
    {
      s->undo_cap = s->undo_cap > 0 ? s->undo_cap * 2 : 64;
      s->undo = zp_realloc (s->undo, s->undo_cap * sizeof *s->undo);
    }
  s->undo[s->undo_len++] = *u;
  s->undo_bytes += u->bytes;
}

void
ti_store_expire (struct ti_store *s)
{
  size_t old = 0;

  ti_leaves_expire (&s->leaves, s->now);
  for (size_t i = s->pending_len; i > 0; i--)
    if (s->pending[i - 1].submitted < s->now - TI_PENDING_TTL)
      ti_store_drop_pending (s, i - 1);

  while (s->record_len - old > TI_RECORDS_MIN
         && s->record[old].at < s->now - TI_RECORD_TTL)
    record_clear (&s->record[old++]);
  if (old > 0)
    {
      s->record_len -= old;
      memmove (s->record, s->record + old, s->record_len * sizeof *s->record);
      memmove (s->record_hash, s->record_hash + old,
               s->record_len * sizeof *s->record_hash);
    }

  for (old = 0;
       s->undo_len - old > TI_UNDO_MAX || s->undo_bytes > TI_UNDO_BYTES; old++)
    {
      s->undo_bytes -= s->undo[old].bytes;
      ti_edit_free (&s->undo[old].edit);
    }
  if (old > 0)
    {
      s->undo_len -= old;
      memmove (s->undo, s->undo + old, s->undo_len * sizeof *s->undo);
    }
}

/* Look-up.  The search is linear: over the hashes of 20,000 records it takes
   some microseconds, and there are only some thousand commands a day.  */

static const struct ti_record *
find_record (const struct ti_store *s, const struct ti_digest *d)
{
  uint64_t hash = digest_hash (d);

  for (size_t i = s->record_len; i > 0; i--)
    if (s->record_hash[i - 1] == hash
        && ti_digest_eq (&s->record[i - 1].digest, d))
      return &s->record[i - 1];
  return NULL;
}

void
ti_store_digest_of (const struct ti_store *s, uint64_t number,
                    struct ti_digest *out)
{
  *out = (struct ti_digest){ .hex = { 0 } };
  for (size_t i = s->record_len; i > 0; i--)
    if (s->record[i - 1].number == number)
      {
        *out = s->record[i - 1].digest;
        return;
      }
}

/* Queries.  */

static void
fill_result (const struct ti_record *r, struct ti_result *out)
{
  out->state = r->state;
  out->number = r->number;
  out->outcome = r->state == TI_STATE_NUMBERED  ? TI_DONE
                 : r->state == TI_STATE_REFUSED ? TI_REFUSED
                                                : TI_IN_CONFLICT;
  ti_store_copy_errors (&r->errors, &out->errors);
  ti_conflict_copy (&r->conflict, &out->conflict);
}

const struct ti_leaves *
ti_store_leaves (const struct ti_store *s)
{
  return &s->leaves;
}

const struct ti_config *
ti_store_config (const struct ti_store *s)
{
  return s->config;
}

struct ti_config *
ti_store_config_at (const struct ti_store *s, uint64_t number)
{
  uint64_t oldest = s->config->number - s->undo_len;

  if (number > s->config->number || number < oldest)
    return NULL;
  struct ti_config *c = ti_config_copy (s->config);
  for (size_t i = s->undo_len; c->number > number; i--)
    ti_config_revert (c, &s->undo[i - 1].edit);
  return c;
}

void
ti_store_find (const struct ti_store *s, const struct ti_digest *digest,
               struct ti_result *out)
{
  *out = (struct ti_result){ .outcome = TI_UNKNOWN, .digest = *digest };
  for (size_t i = 0; i < s->pending_len; i++)
    if (ti_digest_eq (&s->pending[i].digest, digest))
      {
        out->outcome = TI_DONE;
        out->state
            = s->pending[i].reviewed ? TI_STATE_REVIEWED : TI_STATE_SUBMITTED;
        return;
      }
  const struct ti_record *r = find_record (s, digest);
  if (r)
    fill_result (r, out);
}

bool
ti_store_pending (const struct ti_store *s, size_t at,
                  struct ti_pending_ticket *out)
{
  if (at >= s->pending_len)
    return false;
  const struct ti_pending *p = &s->pending[at];
  *out = (struct ti_pending_ticket){ .digest = p->digest,
                                     .ticket = p->ticket,
                                     .reviewer
                                     = p->reviewed ? &p->reviewer : NULL };
  return true;
}
