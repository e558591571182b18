#include "roster/work.h"

#include <assert.h>
#include <stdlib.h>

static struct ro_work_report *
find_report (const struct ro_work *w, uint64_t daemon, enum ro_work_kind kind)
{
  for (size_t i = 0; i < w->len; i++)
    if (w->item[i].daemon == daemon && w->item[i].kind == kind)
      return &w->item[i];
  return NULL;
}

void
ro_work_set (struct ro_work *w, uint64_t daemon, enum ro_work_kind kind,
             struct zp_str region, struct tk_work *work, zp_time now)
{
  struct ro_work_report *x = find_report (w, daemon, kind);

  if (!x)
    {
      if (w->len == w->cap)
        {
          w->cap = w->cap > 0 ? 2 * w->cap : 16;
          w->item = zp_realloc (w->item, w->cap * sizeof *w->item);
        }
      assert (w->item);
      x = &w->item[w->len++];
      *x = (struct ro_work_report){ .daemon = daemon, .kind = kind };
    }
  free (x->work.item);
  x->work = *work;
  x->received_at = now;
  zp_str_copy (x->region, sizeof x->region, region);
  *work = (struct tk_work){ .item = NULL };
}

static int
cmp_server (const void *a, const void *b)
{
  const struct tk_work_item *x = a, *y = b;

  return x->server < y->server ? -1 : x->server > y->server;
}

static bool
is_counted (const struct ro_work_report *x, struct zp_str region,
            enum ro_work_kind kind, zp_time now)
{
  return (kind == RO_WORK_ALL || x->kind == kind)
         && now - x->received_at < RO_WORK_TTL
         && zp_str_eq (zp_str_from (x->region), region);
}

void
ro_work_sum (const struct ro_work *w, struct zp_str region,
             enum ro_work_kind kind, zp_time now, struct tk_work *out)
{
  size_t max = 0, merged = 0;

  for (size_t i = 0; i < w->len; i++)
    if (is_counted (&w->item[i], region, kind, now))
      max += w->item[i].work.len;
  *out = (struct tk_work){ .item = zp_alloc ((max + 1) * sizeof *out->item) };
  for (size_t i = 0; i < w->len; i++)
    if (is_counted (&w->item[i], region, kind, now))
      for (size_t k = 0; k < w->item[i].work.len; k++)
        out->item[out->len++] = w->item[i].work.item[k];
  qsort (out->item, out->len, sizeof *out->item, cmp_server);
  for (size_t i = 0; i < out->len; i++)
    if (merged > 0 && out->item[merged - 1].server == out->item[i].server)
      out->item[merged - 1].count += out->item[i].count;
    else
      out->item[merged++] = out->item[i];
  out->len = merged;
}

void
ro_work_drop (struct ro_work *w, uint64_t daemon, enum ro_work_kind kind)
{
  struct ro_work_report *x = find_report (w, daemon, kind);

  if (!x)
    return;
  free (x->work.item);
  *x = w->item[--w->len];
}

void
ro_work_free (struct ro_work *w)
{
  for (size_t i = 0; i < w->len; i++)
    free (w->item[i].work.item);
  free (w->item);
  *w = (struct ro_work){ .item = NULL };
}
