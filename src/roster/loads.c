#include "roster/loads.h"

#include <stdlib.h>

/* Ages in milliseconds that a sample in use can have.  */
#define AGES ((size_t) (RO_LOADS_TTL / ZP_MS))

static bool
is_expired (const struct ro_load *x, zp_time now)
{
  return now - x->at >= RO_LOADS_TTL;
}

/* Index of the first server that is not below SERVER.  */
static size_t
lower_bound (const struct ro_loads *l, uint32_t server)
{
  size_t from = 0, to = l->len;

  while (from < to)
    {
      size_t mid = from + (to - from) / 2;
      if (l->item[mid].server < server)
        from = mid + 1;
      else
        to = mid;
    }
  return from;
}

static void
drop_expired (struct ro_loads *l, zp_time now)
{
  size_t kept = 0;

  for (size_t i = 0; i < l->len; i++)
    if (!is_expired (&l->item[i], now))
      l->item[kept++] = l->item[i];
  l->len = kept;
}

/* Makes room for one more server.  Returns false when RO_LOADS_SERVERS_MAX have
   a sample in use.  */
static bool
reserve (struct ro_loads *l, zp_time now)
{
  if (l->len < l->cap)
    return true;
  drop_expired (l, now);
  if (l->len >= RO_LOADS_SERVERS_MAX)
    return false;
  if (l->len == l->cap)
    {
      l->cap = l->cap > 0 ? 2 * l->cap : 64;
      l->item = zp_realloc (l->item, l->cap * sizeof *l->item);
    }
  return true;
}

/* The place for a sample of SERVER, which is new or has an older sample.  NULL:
   there is no room.  */
static struct ro_load *
place_of (struct ro_loads *l, uint32_t server, zp_time now)
{
  size_t at = lower_bound (l, server);

  if (at < l->len && l->item[at].server == server)
    return &l->item[at];
  if (!reserve (l, now))
    return NULL;
  at = lower_bound (l, server);
  for (size_t i = l->len++; i > at; i--)
    l->item[i] = l->item[i - 1];
  l->item[at] = (struct ro_load){ .server = server, .at = -RO_LOADS_TTL };
  return &l->item[at];
}

void
ro_loads_take (struct ro_loads *l, uint64_t daemon, enum ro_work_kind kind,
               const struct tk_work *w, size_t max, zp_time now)
{
  for (size_t i = 0; i < w->loads && i < max; i++)
    {
      const struct tk_work_load *s = &w->load[i];
      const struct ro_load x = { .server = s->server,
                                 .requests = s->requests,
                                 .pace = s->pace,
                                 .at = now - s->age,
                                 .daemon = daemon,
                                 .kind = kind,
                                 .number = l->number + 1 };
      struct ro_load *held;

      if (is_expired (&x, now))
        continue;
      held = place_of (l, s->server, now);
      if (!held || (held->number > 0 && x.at <= held->at))
        continue;
      *held = x;
      l->number++;
    }
}

static bool
is_wanted (const struct ro_load *x, uint64_t daemon, enum ro_work_kind kind,
           uint64_t read, zp_time now)
{
  return x->number > read && x->daemon != daemon && !is_expired (x, now)
         && (kind == RO_WORK_ALL || x->kind == kind);
}

static size_t
age_of (const struct ro_load *x, zp_time now)
{
  return now > x->at ? (size_t) ((now - x->at) / ZP_MS) : 0;
}

static int
cmp_age (const void *a, const void *b)
{
  const struct tk_work_load *x = a, *y = b;

  return x->age < y->age ? -1 : x->age > y->age;
}

/* The largest age in milliseconds of which not all samples may fit.  Counting
   them takes the place of sorting: in the largest deployments 1,000 servers
   have new samples for each of 400 messages a second.  */
static size_t
age_limit (const unsigned count[AGES], size_t max)
{
  size_t sum = 0, age = 0;

  while (age < AGES - 1 && (sum += count[age]) < max)
    age++;
  return age;
}

void
ro_loads_read (const struct ro_loads *l, uint64_t daemon,
               enum ro_work_kind kind, size_t max, uint64_t *read, zp_time now,
               struct tk_work *out)
{
  unsigned count[AGES] = { 0 };

  for (size_t i = 0; i < l->len; i++)
    if (is_wanted (&l->item[i], daemon, kind, *read, now))
      count[age_of (&l->item[i], now)]++;
  size_t limit = age_limit (count, max), all = 0;
  for (size_t age = 0; age <= limit; age++)
    all += count[age];
  out->load = zp_alloc ((all + 1) * sizeof *out->load);
  out->loads = 0;
  for (size_t i = 0; i < l->len; i++)
    {
      const struct ro_load *x = &l->item[i];
      if (is_wanted (x, daemon, kind, *read, now) && age_of (x, now) <= limit)
        out->load[out->loads++]
            = (struct tk_work_load){ .server = x->server,
                                     .requests = x->requests,
                                     .pace = x->pace,
                                     .age = now - x->at };
    }
  qsort (out->load, out->loads, sizeof *out->load, cmp_age);
  if (out->loads > max)
    out->loads = max;
  *read = l->number;
}

void
ro_loads_free (struct ro_loads *l)
{
  free (l->item);
  *l = (struct ro_loads){ .item = NULL };
}
