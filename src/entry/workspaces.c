#include "entry/workspaces.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Longest Retry-After, also for a daemon without a share.  */
#define RETRY_AFTER_MAX_S 60

static struct en_workspace *
find_or_add (struct en_workspaces *all, struct zp_str name, size_t *index,
             zp_time now)
{
  char labels[ZP_NAME_MAX + 16];

  for (*index = 0; *index < all->len; ++*index)
    if (zp_str_eq (zp_str_from (all->item[*index]->name), name))
      return all->item[*index];
  struct en_workspace *w = zp_alloc (sizeof *w);
  zp_str_copy (w->name, sizeof w->name, name);
  snprintf (labels, sizeof labels, "workspace=\"%s\"", w->name);
  w->refused = zp_counter ("zp_quota_refused_total", labels);
  qu_bucket_empty (&w->bucket, now);
  all->item = zp_realloc (all->item, (all->len + 1) * sizeof (void *));
  all->item[all->len++] = w;
  return w;
}

static void
copy_home (struct en_workspace *w, const struct ti_names *home)
{
  free (w->home.item);
  w->home
      = (struct ti_names){ .item = zp_alloc (home->len * sizeof *home->item),
                           .len = home->len };
  if (home->len > 0)
    memcpy (w->home.item, home->item, home->len * sizeof *home->item);
}

/* ENTRIES: the number of daemons that share the limit; 0: this daemon is none
   of them.  */
static void
apply (struct en_workspace *w, const struct ti_workspace *t, unsigned entries,
       zp_time now)
{
  const struct qu_limit whole = { .rate = (double) t->rate_per_s / TI_RATE_ONE,
                                  .burst = (double) t->burst / TI_RATE_ONE };

  /* The time until now counts at the share before.  */
  qu_bucket_refill (&w->bucket, w->rate, w->depth, now);
  w->priority = t->priority;
  copy_home (w, &t->home_regions);
  w->limited = t->rate_per_s > 0;
  w->rate = w->limited && entries > 0 ? whole.rate / entries : 0;
  w->depth = w->limited && entries > 0
                 ? fmax (qu_limit_depth (&whole) / entries, 1)
                 : 0;
}

void
en_workspaces_update (struct en_workspaces *all, const struct en_plan *p,
                      uint64_t id, zp_time now)
{
  unsigned entries = en_plan_share_count (p, id);
  const struct ti_slot *s;
  size_t at = 0, first, second, index;

  si_keys_free (&all->keys);
  all->needs_key = false;
  while ((s = ti_config_next (p->config, TI_WORKSPACE, &at)))
    {
      const struct ti_workspace *t = &s->object->u.workspace;
      struct en_workspace *w
          = find_or_add (all, ti_text_str (&s->key.name), &index, now);
      apply (w, t, entries, now);
      all->needs_key = true;
      for (size_t i = 0; i < t->keys.len; i++)
        si_keys_add (&all->keys,
                     (struct zp_str){ .ptr = t->keys.item[i].ptr,
                                      .len = t->keys.item[i].len },
                     index);
    }
  /* No two workspaces of a valid configuration have the same key (see
     ticket/validate.h).  */
  (void) si_keys_seal (&all->keys, &first, &second);
}

void
en_workspaces_free (struct en_workspaces *all)
{
  for (size_t i = 0; i < all->len; i++)
    {
      free (all->item[i]->home.item);
      free (all->item[i]);
    }
  free (all->item);
  si_keys_free (&all->keys);
  *all = (struct en_workspaces){ .len = 0 };
}

struct en_workspace *
en_workspaces_find (const struct en_workspaces *all, struct zp_str key)
{
  size_t index;

  return si_keys_find (&all->keys, key, &index) ? all->item[index] : NULL;
}

bool
en_workspace_allows (const struct en_workspace *w, struct zp_str region)
{
  if (!w || w->home.len == 0)
    return true;
  for (size_t i = 0; i < w->home.len; i++)
    if (zp_str_eq (ti_text_str (&w->home.item[i]), region))
      return true;
  return false;
}

bool
en_workspace_take (struct en_workspace *w, zp_time now,
                   unsigned *retry_after_s)
{
  if (!w->limited)
    return true;
  qu_bucket_refill (&w->bucket, w->rate, w->depth, now);
  if (qu_bucket_take (&w->bucket, 1) == 1)
    return true;
  double wait = w->rate > 0 ? ceil ((1 - w->bucket.level) / w->rate)
                            : RETRY_AFTER_MAX_S;
  *retry_after_s = (unsigned) fmin (fmax (wait, 1), RETRY_AFTER_MAX_S);
  zp_count (w->refused, 1);
  return false;
}

void
en_workspace_give_back (struct en_workspace *w)
{
  if (w->limited)
    w->bucket.level += 1;
}
