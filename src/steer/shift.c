#include "steer/shift.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>

#include "steer/view.h"

/* Kept below the cap, so that rounding errors in the sum of changes cannot
   exceed it.  */
#define ROUNDING_MARGIN 1e-12

/* Decisions of the leader.  */

/* When a step counts as made; see the header.  */
static zp_time
counts_from (const struct st_shift_step *s, const struct st_shift_leader *l)
{
  return s->term == l->term && s->at > l->since ? s->at : l->since;
}

/* Sum of the changes in the window that ends at NOW.  UNTIL becomes the time
   at which the first of them leaves the window, or ZP_NEVER.  */
static double
window_sum (const struct st_shift *s, const struct st_shift_leader *l,
            zp_time now, zp_time *until)
{
  double sum = 0, before = 0;

  *until = ZP_NEVER;
  for (size_t i = 0; i < s->steps; i++)
    {
      double change = fabs (s->step[i].share - before);
      zp_time end = counts_from (&s->step[i], l) + ST_SHIFT_WINDOW;

      before = s->step[i].share;
      if (change == 0 || now > end)
        continue;
      sum += change;
      *until = end < *until ? end : *until;
    }
  return sum;
}

/* Sum of the changes that the free slots in the report do not reflect yet.
   Callers follow a step only after up to ZP_LOOKUP_TTL, so steps of that time
   before the report count too.  */
static double
unreported (const struct st_shift *s, const struct st_shift_leader *l,
            zp_time reported_at)
{
  double sum = 0, before = 0;

  for (size_t i = 0; i < s->steps; i++)
    {
      if (counts_from (&s->step[i], l) > reported_at - ZP_LOOKUP_TTL)
        sum += fabs (s->step[i].share - before);
      before = s->step[i].share;
    }
  return sum;
}

static struct st_shift_decision
decision (enum st_shift_action a, enum st_shift_reason r, zp_time at)
{
  return (struct st_shift_decision){ .action = a, .reason = r, .at = at };
}

struct st_shift_decision
st_shift_decide (const struct st_shift *s, const struct st_shift_leader *l,
                 const struct st_site_state *to, zp_time now)
{
  double share = s->steps > 0 ? s->step[s->steps - 1].share : 0;
  double rest = s->target - share;
  zp_time until;

  assert (s->target >= 0 && s->target <= 1 && s->cap >= 0);
  if (!l->lease)
    return decision (ST_SHIFT_WAIT, ST_SHIFT_NO_LEASE, ZP_NEVER);
  if (s->pending)
    return decision (ST_SHIFT_WAIT, ST_SHIFT_PENDING, ZP_NEVER);
  if (fabs (rest) < ST_SHIFT_CHANGE_MIN)
    return decision (ST_SHIFT_DONE, ST_SHIFT_NO_REASON, ZP_NEVER);
  if (to->failing)
    return decision (ST_SHIFT_STOP, ST_SHIFT_FAILING, ZP_NEVER);
  if (now - to->reported_at > ST_SHIFT_REPORT_TTL)
    return decision (ST_SHIFT_STOP, ST_SHIFT_NO_REPORT, ZP_NEVER);

  double budget = s->cap - window_sum (s, l, now, &until) - ROUNDING_MARGIN;
  if (budget < ST_SHIFT_CHANGE_MIN)
    return decision (ST_SHIFT_WAIT, ST_SHIFT_CAP,
                     until == ZP_NEVER ? ZP_NEVER : until + 1);
  /* Steps are spread evenly over the window.  */
  zp_time last
      = s->steps > 0 ? counts_from (&s->step[s->steps - 1], l) : l->since;
  zp_time due = last + ST_SHIFT_WINDOW / ST_SHIFT_STEPS_PER_CAP;
  if (s->steps > 0 && now < due)
    return decision (ST_SHIFT_WAIT, ST_SHIFT_CAP, due);

  double warm
      = to->warmth > ST_SHIFT_COLD_MIN ? to->warmth : ST_SHIFT_COLD_MIN;
  double change = s->cap / ST_SHIFT_STEPS_PER_CAP * (warm < 1 ? warm : 1);
  change = change < budget ? change : budget;
  if (to->slots_needed > 0)
    {
      double fits = to->free_slots * ST_SHIFT_HEADROOM / to->slots_needed
                    - unreported (s, l, to->reported_at);
      change = change < fits ? change : fits;
    }
  if (change < ST_SHIFT_CHANGE_MIN)
    return decision (ST_SHIFT_STOP, ST_SHIFT_NO_HEADROOM, ZP_NEVER);
  if (change >= fabs (rest))
    change = fabs (rest);
  struct st_shift_decision d
      = decision (ST_SHIFT_STEP, ST_SHIFT_NO_REASON, now);
  d.share = rest > 0 ? share + change : share - change;
  return d;
}

const char *
st_shift_reason_text (enum st_shift_reason r)
{
  switch (r)
    {
    case ST_SHIFT_NO_REASON:
      break;
    case ST_SHIFT_NO_LEASE:
      return "not the leader";
    case ST_SHIFT_PENDING:
      return "a step is not committed yet";
    case ST_SHIFT_CAP:
      return "cap of the shift";
    case ST_SHIFT_NO_REPORT:
      return "the receiving site does not report";
    case ST_SHIFT_FAILING:
      return "the receiving site fails";
    case ST_SHIFT_NO_HEADROOM:
      return "the receiving site has no headroom";
    }
  return "";
}

/* Share at an entry daemon.  */

bool
st_shift_moved (uint64_t h, double share)
{
  return (double) (h >> 11) * 0x1p-53 < share;
}

void
st_shift_follower_init (struct st_shift_follower *f, double logged)
{
  f->share = logged;
}

double
st_shift_follow (struct st_shift_follower *f, double logged, double cap,
                 zp_time now)
{
  double sum = 0;

  for (size_t i = f->steps; i-- > 0;)
    if (now - f->step[i].at > ST_SHIFT_WINDOW)
      f->step[i] = f->step[--f->steps];
  for (size_t i = 0; i < f->steps; i++)
    sum += f->step[i].change;
  double budget = cap - sum - ROUNDING_MARGIN;
  double change = fabs (logged - f->share);
  if (change > budget)
    change = budget;
  if (change <= 0)
    return f->share;
  f->share = change == fabs (logged - f->share) ? logged
             : logged > f->share                ? f->share + change
                                                : f->share - change;
  f->step = st_reserve (f->step, &f->cap, f->steps, sizeof *f->step);
  f->step[f->steps++]
      = (struct st_shift_change){ .change = change, .at = now };
  return f->share;
}

void
st_shift_follower_free (struct st_shift_follower *f)
{
  free (f->step);
  *f = (struct st_shift_follower){ .step = NULL };
}
