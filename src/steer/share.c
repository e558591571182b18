#include "steer/share.h"

#include <stdlib.h>

#include "steer/view.h"

struct st_share *
st_share_of (struct st_shares *t, uint64_t holder, bool home)
{
  for (size_t i = 0; i < t->len; i++)
    if (t->item[i].holder == holder)
      return &t->item[i];
  t->item = st_reserve (t->item, &t->cap, t->len, sizeof *t->item);
  t->item[t->len] = (struct st_share){ .holder = holder, .home = home };
  return &t->item[t->len++];
}

/* Slots that home holders may keep while others wait.  */
static unsigned
home_quota (const struct st_shares *t)
{
  unsigned others = t->slots / ST_OTHERS_DIVISOR;

  others = others > 0 ? others : 1;
  return t->slots > others ? t->slots - others : 0;
}

/* Whether A gets a slot before B; both wait.  */
static bool
is_served_before (const struct st_share *a, const struct st_share *b,
                  bool prefer_home)
{
  unsigned x = a->kept + a->due, y = b->kept + b->due;

  if (prefer_home && a->home != b->home)
    return a->home;
  if (x != y)
    return x < y;
  if (a->since != b->since)
    return a->since < b->since;
  return a->holder < b->holder;
}

struct st_share *
st_share_next (const struct st_shares *t)
{
  struct st_share *best = NULL;
  bool prefer_home = t->home_kept < home_quota (t);

  for (size_t i = 0; i < t->len; i++)
    {
      struct st_share *y = &t->item[i];

      if (y->want > y->due
          && (!best || is_served_before (y, best, prefer_home)))
        best = y;
    }
  return best;
}

struct st_share *
st_share_victim (const struct st_shares *t, const struct st_share *w,
                 zp_time now, zp_time *before)
{
  bool prefer_home = w->home && t->home_kept < home_quota (t);
  bool protect_home = !w->home && t->home_kept <= home_quota (t);
  struct st_share *most = NULL;

  for (size_t i = 0; i < t->len; i++)
    {
      struct st_share *y = &t->item[i];

      if (y == w || y->kept == 0 || (y->home && (prefer_home || protect_home)))
        continue;
      if (!most || y->kept > most->kept)
        most = y;
    }
  *before = now;
  if (!most || prefer_home || most->kept > w->kept + w->due + 1)
    return most;
  *before = now - ST_TIME_SLICE;
  return w->kept + w->due == 0 ? most : NULL;
}

void
st_shares_free (struct st_shares *t)
{
  free (t->item);
  *t = (struct st_shares){ .item = NULL };
}
