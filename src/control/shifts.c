#include "control/shifts.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "steer/view.h"

#define PART "shift"

/* In millionths: rounding of a share may have lost this much.  */
#define ROUNDING_TOLERANCE 1e-3

static struct ct_shift *
find (const struct ct_shifts *s, const struct ti_text *name)
{
  for (size_t i = 0; i < s->len; i++)
    if (ti_text_eq (&s->item[i].name, name))
      return &s->item[i];
  return NULL;
}

static struct ct_shift *
get (struct ct_shifts *s, const struct ti_text *name)
{
  struct ct_shift *x = find (s, name);

  if (x)
    return x;
  s->item = st_reserve (s->item, &s->cap, s->len, sizeof *s->item);
  x = &s->item[s->len++];
  *x = (struct ct_shift){ .name = *name };
  return x;
}

/* Steps.  */

/* Drops the steps that are older than ST_SHIFT_WINDOW, except the last of
   them: the change of the next step is counted from its share.  */
static void
drop_old_steps (struct ct_shift *x, zp_time now)
{
  size_t n = 0;

  while (n + 1 < x->steps && now - x->step[n + 1].at > ST_SHIFT_WINDOW)
    n++;
  if (n == 0)
    return;
  x->steps -= n;
  memmove (x->step, x->step + n, x->steps * sizeof *x->step);
}

static void
add_step (struct ct_shift *x, uint64_t term, double share, zp_time now)
{
  drop_old_steps (x, now);
  x->step = st_reserve (x->step, &x->cap, x->steps, sizeof *x->step);
  x->step[x->steps++]
      = (struct st_shift_step){ .term = term, .share = share, .at = now };
}

void
ct_shifts_applied (struct ct_shifts *s, const struct ti_change *change,
                   uint64_t term, zp_time now)
{
  switch (change->kind)
    {
    case TI_CHANGE_EDIT:
      break;
    case TI_CHANGE_STEP:
      add_step (get (s, &change->u.step.shift), term,
                (double) change->u.step.moved / TI_SHARE_ONE, now);
      break;
    }
}

void
ct_shifts_restored (struct ct_shifts *s, const struct ti_config *c,
                    uint64_t term, zp_time now)
{
  const struct ti_slot *slot;
  size_t at = 0;

  while ((slot = ti_config_next (c, TI_SHIFT, &at)))
    {
      struct ct_shift *x = get (s, &slot->key.name);
      double moved = (double) slot->moved / TI_SHARE_ONE;
      x->steps = 0;
      /* A step of 1 in each direction uses any cap, as no cap exceeds 1.  */
      add_step (x, term, moved + 1, now);
      add_step (x, term, moved, now);
    }
}

/* Leadership.  */

void
ct_shifts_update_leader (struct ct_shifts *s, const struct lg_status *status,
                         zp_time now)
{
  s->leader.lease = false;
  if (status->role != LG_LEADER)
    {
      s->leader.term = 0;
      return;
    }
  if (s->leader.term != status->term)
    {
      /* A leader appends an entry at the start of its term, so the last index
         is that of an entry of this term.  */
      s->leader = (struct st_shift_leader){ .term = status->term };
      s->term_index = status->last_index;
      s->caught_up = false;
    }
  if (!s->caught_up && status->lease && status->applied >= s->term_index)
    {
      s->caught_up = true;
      s->leader.since = now;
    }
  s->leader.lease = s->caught_up && status->lease;
}

/* Sites.  */

static bool
in_domain (const struct ct_follow_report *r, struct zp_str domain)
{
  return zp_str_eq (zp_str_from (r->report.failure_domain), domain);
}

struct st_site_state
ct_shifts_site_state (const struct ct_reports *reports, struct zp_str domain,
                      zp_time now)
{
  struct st_site_state out = { .reported_at = now - ST_SHIFT_REPORT_TTL - 1 };
  zp_time oldest = ZP_NEVER;
  uint64_t servers = 0, ejected = 0, slots = 0, warm = 0, free_slots = 0;

  for (size_t i = 0; i < reports->len; i++)
    {
      const struct ct_follow_report *r = &reports->item[i];
      if (!in_domain (r, domain) || now - r->made_at > ST_SHIFT_REPORT_TTL)
        continue;
      oldest = r->made_at < oldest ? r->made_at : oldest;
      servers += r->report.servers;
      ejected += r->report.ejected;
      slots += r->report.slots;
      warm += r->report.warm;
      free_slots += r->report.free;
    }
  if (oldest == ZP_NEVER)
    return out;
  out.reported_at = oldest;
  out.failing = servers == 0 || ejected * CT_SHIFT_FAILING_DIVISOR >= servers;
  out.free_slots = (double) free_slots;
  out.warmth = slots > 0 ? (double) warm / (double) slots : 0;
  return out;
}

/* Slots in use at a site.  Reports up to CT_REPORT_TTL old count: a site that
   has just stopped reporting had its traffic until then.  */
static double
slots_in_use (const struct ct_reports *reports, struct zp_str domain,
              zp_time now)
{
  double sum = 0;

  for (size_t i = 0; i < reports->len; i++)
    {
      const struct ct_follow_report *r = &reports->item[i];
      if (in_domain (r, domain) && now - r->made_at <= CT_REPORT_TTL
          && r->report.slots > r->report.free)
        sum += r->report.slots - r->report.free;
    }
  return sum;
}

static struct zp_str
domain_of (const struct ti_config *c, const struct ti_text *site)
{
  const struct ti_key key = { .kind = TI_SITE, .name = *site };
  const struct ti_object *o = ti_config_find (c, &key);

  return o ? ti_text_str (&o->u.site.failure_domain) : ZP_STR ("");
}

/* Decisions.  */

static const char *
decision_text (const struct st_shift_decision *d)
{
  switch (d->action)
    {
    case ST_SHIFT_DONE:
      return "done";
    case ST_SHIFT_STEP:
      return "a step is proposed";
    case ST_SHIFT_WAIT:
    case ST_SHIFT_STOP:
      break;
    }
  return st_shift_reason_text (d->reason);
}

static void
record_decision (struct ct_shift *x, const struct st_shift_decision *d,
                 double share, double target)
{
  static const char *const name[] = { [ST_SHIFT_DONE] = "is done",
                                      [ST_SHIFT_WAIT] = "is waiting",
                                      [ST_SHIFT_STOP] = "is stopped",
                                      [ST_SHIFT_STEP] = "proposes a step" };
  bool same = x->decided && x->last.action == d->action
              && x->last.reason == d->reason && d->action != ST_SHIFT_STEP;

  x->last = *d;
  x->decided = true;
  if (same)
    return;
  zp_log (d->action == ST_SHIFT_STOP ? ZP_LOG_WARNING : ZP_LOG_NOTICE, PART,
          "shift %.*s %s at share %.6f, target %.6f: %s",
          ZP_ARG (ti_text_str (&x->name)), name[d->action], share, target,
          decision_text (d));
}

/* SHARE in millionths, rounded towards BEFORE so that a step is never larger
   than decided.  */
static uint32_t
millionths (double share, uint32_t before)
{
  double x = share * TI_SHARE_ONE;

  return (uint32_t) (x > before ? floor (x + ROUNDING_TOLERANCE)
                                : ceil (x - ROUNDING_TOLERANCE));
}

bool
ct_shifts_decide (struct ct_shifts *s, const struct ti_config *c,
                  const struct ti_slot *slot, const struct ct_reports *reports,
                  zp_time now, struct ti_step_command *step)
{
  const struct ti_shift *o = &slot->object->u.shift;
  struct ct_shift *x = get (s, &slot->key.name);
  double moved = (double) slot->moved / TI_SHARE_ONE;

  /* The share differs when a shift of this name was deleted and created again.
   */
  if ((x->steps > 0 ? x->step[x->steps - 1].share : 0) != moved)
    add_step (x, s->leader.term, moved, now);
  struct zp_str from = domain_of (c, &o->from), to = domain_of (c, &o->to);
  struct st_site_state site = ct_shifts_site_state (
      reports, o->share < slot->moved ? from : to, now);
  site.slots_needed
      = slots_in_use (reports, from, now) + slots_in_use (reports, to, now);
  const struct st_shift shift = {
    .target = (double) o->share / TI_SHARE_ONE,
    .cap = (double) o->cap_per_minute / TI_SHARE_ONE,
    .step = x->step,
    .steps = x->steps,
    .pending = x->proposal != 0,
  };
  struct st_shift_decision d
      = st_shift_decide (&shift, &s->leader, &site, now);
  record_decision (x, &d, moved, shift.target);
  if (d.action != ST_SHIFT_STEP)
    return false;
  *step
      = (struct ti_step_command){ .shift = slot->key.name,
                                  .before = slot->moved,
                                  .after = millionths (d.share, slot->moved) };
  return step->after != step->before;
}

void
ct_shifts_proposed (struct ct_shifts *s, const struct ti_text *name,
                    uint64_t proposal)
{
  get (s, name)->proposal = proposal;
}

bool
ct_shifts_answered (struct ct_shifts *s, uint64_t proposal)
{
  for (size_t i = 0; i < s->len; i++)
    if (s->item[i].proposal == proposal)
      {
        s->item[i].proposal = 0;
        return true;
      }
  return false;
}

const char *
ct_shifts_reason (const struct ct_shifts *s, const struct ti_text *name)
{
  const struct ct_shift *x = find (s, name);

  if (!s->leader.lease)
    return st_shift_reason_text (ST_SHIFT_NO_LEASE);
  return x && x->decided ? decision_text (&x->last) : "not decided yet";
}

void
ct_shifts_free (struct ct_shifts *s)
{
  for (size_t i = 0; i < s->len; i++)
    free (s->item[i].step);
  free (s->item);
}
