#include <assert.h>
#include <inttypes.h>
#include <string.h>

#include "ticket/store_internal.h"
#include "ticket/validate.h"

/* Results.  */

/* Keeps the lines in the first TI_ERRORS_BYTES and replaces the others by
   their number.  */
static void
truncate_errors (struct zp_report *r)
{
  size_t kept = 0, lines = 0;

  if (r->lines.len <= TI_ERRORS_BYTES)
    return;
  for (size_t i = 0; i < TI_ERRORS_BYTES; i++)
    if (r->lines.ptr[i] == '\n')
      {
        kept = i + 1;
        lines++;
      }
  size_t more = r->count - lines;
  r->lines.len = kept;
  r->count = lines;
  zp_report_add (r, "%zu more mistakes", more);
}

/* Replaces the pending ticket P by a record of the result OUT.  */
static void
decide (struct ti_store *s, struct ti_pending *p, struct ti_result *out)
{
  struct ti_record r = { .digest = p->digest,
                         .state = out->state,
                         .number = out->number,
                         .at = s->now };

  ti_store_copy_errors (&out->errors, &r.errors);
  ti_conflict_copy (&out->conflict, &r.conflict);
  ti_store_add_record (s, &r);
  ti_store_drop_pending (s, (size_t) (p - s->pending));
}

/* Returns true and fills OUT when T is in conflict with the configuration or
   its claimed number CLAIM (0: none) is taken.  */
static bool
in_conflict (const struct ti_store *s, const struct ti_ticket *t,
             uint64_t claim, struct ti_result *out)
{
  bool taken = claim > 0 && claim <= s->config->number;

  if (!ti_conflict_check (s->config, s->rule, t, &out->conflict) && !taken)
    {
      ti_conflict_free (&out->conflict);
      return false;
    }
  if (taken)
    out->conflict.number = claim;
  ti_store_digest_of (s, out->conflict.number, &out->conflict.digest);
  out->outcome = TI_IN_CONFLICT;
  out->state = TI_STATE_CONFLICT;
  return true;
}

/* Returns true and fills OUT when T is not valid.  */
static bool
fails_validation (const struct ti_store *s, const struct ti_ticket *t,
                  struct ti_result *out)
{
  if (ti_validate (s->config, t, &out->errors))
    return false;
  truncate_errors (&out->errors);
  out->outcome = TI_REFUSED;
  out->state = TI_STATE_REFUSED;
  return true;
}

/* Commands.  */

static struct ti_pending *
find_pending (struct ti_store *s, const struct ti_digest *d)
{
  for (size_t i = 0; i < s->pending_len; i++)
    if (ti_digest_eq (&s->pending[i].digest, d))
      return &s->pending[i];
  return NULL;
}

/* Fills OUT with the state of the ticket OUT->digest.  Returns false when the
   store has no such ticket.  */
static bool
find_known (const struct ti_store *s, struct ti_result *out)
{
  struct ti_digest digest = out->digest;

  ti_store_find (s, &digest, out);
  return out->outcome != TI_UNKNOWN;
}

static void
apply_submit (struct ti_store *s, struct ti_submit_command *c,
              struct ti_result *out)
{
  struct zp_buf text = { .ptr = NULL };

  ti_ticket_digest (c->ticket, &out->digest);
  if (find_known (s, out))
    return;
  if (in_conflict (s, c->ticket, c->ticket->number, out)
      || fails_validation (s, c->ticket, out))
    return;
  ti_ticket_write (c->ticket, &text);
  size_t bytes = text.len;
  zp_buf_free (&text);
  if (s->pending_len == TI_PENDING_MAX
      || s->pending_bytes + bytes > TI_PENDING_BYTES)
    {
      out->outcome = TI_FULL;
      zp_report_add (&out->errors,
                     "%zu tickets are pending; number some of them first",
                     s->pending_len);
      return;
    }
  ti_store_add_pending (s, &(struct ti_pending){ .digest = out->digest,
                                                 .ticket = c->ticket,
                                                 .bytes = bytes,
                                                 .submitted = s->now });
  c->ticket = NULL;
  out->outcome = TI_DONE;
  out->state = TI_STATE_SUBMITTED;
}

static void
apply_review (struct ti_store *s, const struct ti_review_command *c,
              struct ti_result *out)
{
  struct ti_pending *p = find_pending (s, &c->digest);

  out->digest = c->digest;
  if (!find_known (s, out) || !p || p->reviewed)
    return;
  if (ti_text_eq (&c->reviewer, &p->ticket->author))
    {
      out->outcome = TI_REFUSED;
      zp_report_add (&out->errors,
                     "\"reviewer\": found \"%.*s\", the author; allowed: "
                     "another operator",
                     ZP_ARG (ti_text_str (&c->reviewer)));
      return;
    }
  p->reviewed = true;
  p->reviewer = c->reviewer;
  out->state = TI_STATE_REVIEWED;
}

/* Returns true and fills OUT when the number command cannot be applied to P
   yet, or when it requests another number than P claims.  P stays pending.
   REQUESTED is the number in the command.  CLAIM is the number in the ticket,
   or else REQUESTED.  */
static bool
not_ready (const struct ti_store *s, const struct ti_pending *p,
           uint64_t requested, uint64_t claim, struct ti_result *out)
{
  uint64_t next = s->config->number + 1;

  if (!p->reviewed)
    zp_report_add (&out->errors,
                   "the ticket waits for a review by another operator than "
                   "\"%.*s\"",
                   ZP_ARG (ti_text_str (&p->ticket->author)));
  if (requested > 0 && requested != claim)
    zp_report_add (&out->errors,
                   "\"number\": found %" PRIu64 ", allowed: %" PRIu64
                   ", the number in the ticket",
                   requested, claim);
  if (claim > next)
    zp_report_add (&out->errors,
                   "\"number\": found %" PRIu64 ", allowed: %" PRIu64
                   ", the next number",
                   claim, next);
  if (out->errors.count > 0)
    out->outcome = TI_REFUSED;
  return out->errors.count > 0;
}

/* Applies EDIT under the next number and keeps its undo edit.  Takes ownership
   of EDIT.  */
static void
commit_edit (struct ti_store *s, uint64_t index,
             const struct ti_digest *digest, const struct ti_edit *edit,
             struct ti_result *out)
{
  struct ti_change *change = zp_alloc (sizeof *change);
  struct ti_undo undo = { .number = s->config->number + 1 };
  struct zp_buf text = { .ptr = NULL };

  *change = (struct ti_change){
    .kind = TI_CHANGE_EDIT,
    .index = index,
    .time = s->now,
    .u.edit = { .number = undo.number, .digest = *digest },
  };
  change->u.edit.edit = *edit;

  ti_config_make_undo (s->config, &change->u.edit.edit, &undo.edit);
  ti_edit_write (&undo.edit, &text);
  undo.bytes = text.len;
  zp_buf_free (&text);
  bool ok = ti_config_apply (s->config, change, NULL);
  assert (ok);
  (void) ok;
  ti_store_add_undo (s, &undo);
  out->outcome = TI_DONE;
  out->state = TI_STATE_NUMBERED;
  out->number = undo.number;
  out->change = change;
}

static void
apply_number (struct ti_store *s, uint64_t index,
              const struct ti_number_command *c, struct ti_result *out)
{
  struct ti_pending *p = find_pending (s, &c->digest);

  out->digest = c->digest;
  if (!find_known (s, out) || !p)
    return;
  uint64_t claim = p->ticket->number > 0 ? p->ticket->number : c->number;
  if (not_ready (s, p, c->number, claim, out))
    return;
  /* When only the number claimed in the command is taken, the ticket stays
     pending and can take another number.  */
  if (in_conflict (s, p->ticket, claim, out))
    {
      if (p->ticket->number > 0 || out->conflict.objects.len > 0
          || s->rule == TI_CONFLICT_BY_NUMBER)
        decide (s, p, out);
      else
        out->state = TI_STATE_REVIEWED;
      return;
    }
  if (!fails_validation (s, p->ticket, out))
    {
      struct ti_edit edit = p->ticket->edit;
      p->ticket->edit = (struct ti_edit){ .set = NULL };
      commit_edit (s, index, &p->digest, &edit, out);
    }
  decide (s, p, out);
}

static void
apply_step (struct ti_store *s, uint64_t index,
            const struct ti_step_command *c, struct ti_result *out)
{
  const struct ti_key key = { .kind = TI_SHIFT, .name = c->shift };
  const struct ti_slot *slot = ti_config_slot (s->config, &key);
  uint32_t size
      = c->after > c->before ? c->after - c->before : c->before - c->after;

  out->outcome = TI_REFUSED;
  if (!slot || !slot->object)
    zp_report_add (&out->errors, "shift/%.*s: no such shift",
                   ZP_ARG (ti_text_str (&c->shift)));
  else if (slot->moved != c->before)
    zp_report_add (&out->errors,
                   "shift/%.*s: found a step from %u, allowed: from %u",
                   ZP_ARG (ti_text_str (&c->shift)), c->before, slot->moved);
  else if (size > slot->object->u.shift.cap_per_minute)
    zp_report_add (&out->errors,
                   "shift/%.*s: found a step of %u, allowed: at most %u",
                   ZP_ARG (ti_text_str (&c->shift)), size,
                   slot->object->u.shift.cap_per_minute);
  else
    out->outcome = TI_DONE;
  if (out->outcome != TI_DONE)
    return;
  out->change = zp_alloc (sizeof *out->change);
  *out->change = (struct ti_change){
    .kind = TI_CHANGE_STEP,
    .index = index,
    .time = s->now,
    .u.step = { .shift = c->shift, .moved = c->after },
  };
  bool ok = ti_config_apply (s->config, out->change, NULL);
  assert (ok);
  (void) ok;
}

/* Sets the object O, or deletes KEY when O is NULL, as a numbered change
   without a ticket; its digest is all zeros.  Takes ownership of O.  */
static void
commit_object (struct ti_store *s, uint64_t index, const struct ti_key *key,
               struct ti_object *o, struct ti_result *out)
{
  struct ti_digest none;
  struct ti_edit edit = { .set = NULL };

  memset (none.hex, '0', sizeof none.hex);
  if (o)
    {
      edit.set = zp_alloc (sizeof (struct ti_object *));
      edit.set[0] = o;
      edit.set_len = 1;
    }
  else
    {
      ti_keys_add (&edit.deleted, key);
    }
  commit_edit (s, index, &none, &edit, out);
}

static void
apply_put (struct ti_store *s, uint64_t index, struct ti_put_command *c,
           struct ti_result *out)
{
  struct ti_key key = { .kind = TI_DOCUMENT };

  ti_text_set (&key.name, ZP_STR (TI_ROUTES));
  const struct ti_object *current = ti_config_find (s->config, &key);
  out->outcome = TI_DONE;
  if (current && c->number <= current->u.document.number)
    return;
  struct ti_object *o = zp_alloc (sizeof *o);
  *o = (struct ti_object){ .key = key };
  o->u.document = (struct ti_document){ .number = c->number, .body = c->body };
  c->body = (struct ti_blob){ .ptr = NULL };
  commit_object (s, index, &key, o, out);
}

static void
apply_evacuate (struct ti_store *s, uint64_t index,
                const struct ti_evacuate_command *c, struct ti_result *out)
{
  struct ti_key key = { .kind = TI_DRAIN, .name = c->failure_domain };
  bool drained = ti_config_find (s->config, &key) != NULL;

  out->outcome = TI_DONE;
  if (drained == c->on)
    return;
  struct ti_object *o = NULL;
  if (c->on)
    {
      o = zp_alloc (sizeof *o);
      *o = (struct ti_object){ .key = key };
      o->u.drain.target.kind = TI_TARGET_FAILURE_DOMAIN;
      o->u.drain.target.name = c->failure_domain;
    }
  commit_object (s, index, &key, o, out);
}

static void
apply_leave (struct ti_store *s, struct ti_leave *leave, struct ti_result *out)
{
  leave->at = s->now;
  ti_leaves_put (&s->leaves, leave);
  out->outcome = TI_DONE;
  out->leave = *ti_leaves_find (&s->leaves, zp_str_from (leave->server));
}

void
ti_store_apply (struct ti_store *s, uint64_t index, struct zp_str bytes,
                struct ti_result *out)
{
  struct ti_command c;
  struct zp_err err;

  *out = (struct ti_result){ .outcome = TI_REFUSED };
  if (!ti_command_decode (bytes, &c, &err))
    {
      zp_report_add (&out->errors, "%s", err.text);
      return;
    }
  if (c.now > s->now)
    s->now = c.now;
  ti_store_expire (s);
  switch (c.kind)
    {
    case TI_SUBMIT:
      apply_submit (s, &c.u.submit, out);
      break;
    case TI_REVIEW:
      apply_review (s, &c.u.review, out);
      break;
    case TI_NUMBER:
      apply_number (s, index, &c.u.number, out);
      break;
    case TI_STEP:
      apply_step (s, index, &c.u.step, out);
      break;
    case TI_PUT:
      apply_put (s, index, &c.u.put, out);
      break;
    case TI_EVACUATE:
      apply_evacuate (s, index, &c.u.evacuate, out);
      break;
    case TI_LEAVE:
      apply_leave (s, &c.u.leave.leave, out);
      break;
    }
  ti_command_clear (&c);
}
