#include <stdlib.h>

#include "base/log.h"
#include "entry/router.h"

#define PART "shift"

/* Period at which the moved shares are updated.  */
#define UPDATE_PERIOD (1 * ZP_SEC)

static struct en_shift *
find (struct en_router *r, struct zp_str name)
{
  for (size_t i = 0; i < r->shifts; i++)
    if (zp_str_eq (zp_str_from (r->shift[i].name), name))
      return &r->shift[i];
  return NULL;
}

static struct en_shift *
add (struct en_router *r, struct zp_str name)
{
  r->shift = zp_realloc (r->shift, (r->shifts + 1) * sizeof *r->shift);
  struct en_shift *s = &r->shift[r->shifts++];
  *s = (struct en_shift){ .follower = { .share = 0 } };
  zp_str_copy (s->name, sizeof s->name, name);
  return s;
}

/* Moves the share of every shift towards its logged share, by at most its cap
   per minute.  */
static void
follow (struct en_router *r, zp_time now)
{
  for (size_t i = 0; i < r->plan->shifts.len; i++)
    {
      struct en_plan_shift *p = &r->plan->shifts.item[i];
      struct en_shift *s = find (r, p->name);
      double before = s->follower.share;
      p->moved = st_shift_follow (&s->follower, p->logged, p->cap, now);
      if (p->moved != before)
        zp_log (ZP_LOG_NOTICE, PART, "shift %s moves %.6f of its blocks",
                s->name, p->moved);
    }
}

/* Removes the shifts that are no longer in the configuration.  */
static void
drop_ended (struct en_router *r)
{
  size_t n = 0;

  for (size_t i = 0; i < r->shifts; i++)
    {
      bool found = false;
      for (size_t k = 0; k < r->plan->shifts.len; k++)
        if (zp_str_eq (r->plan->shifts.item[k].name,
                       zp_str_from (r->shift[i].name)))
          found = true;
      if (found)
        r->shift[n++] = r->shift[i];
      else
        st_shift_follower_free (&r->shift[i].follower);
    }
  r->shifts = n;
}

/* FIRST is true for the first configuration of this process.  Its shifts start
   at the logged share, because other daemons served their callers until
   now.  */
void
en_shifts_update (struct en_router *r, bool first)
{
  drop_ended (r);
  for (size_t i = 0; i < r->plan->shifts.len; i++)
    {
      struct en_plan_shift *p = &r->plan->shifts.item[i];
      if (find (r, p->name))
        continue;
      struct en_shift *s = add (r, p->name);
      if (first)
        st_shift_follower_init (&s->follower, p->logged);
    }
  follow (r, zp_clock_mono ());
}

void
en_shifts_tick (struct en_router *r)
{
  zp_time now = zp_clock_mono ();

  if (now >= r->report_at)
    en_config_report (r);
  if (!r->plan || now < r->shifts_at)
    return;
  r->shifts_at = now + UPDATE_PERIOD;
  follow (r, now);
}

void
en_shifts_free (struct en_router *r)
{
  for (size_t i = 0; i < r->shifts; i++)
    st_shift_follower_free (&r->shift[i].follower);
  free (r->shift);
}
