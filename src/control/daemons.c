#include "control/daemons.h"

#include <stdlib.h>

static struct ct_daemon *
find (struct ct_daemons *d, uint64_t id)
{
  for (size_t i = 0; i < d->len; i++)
    if (d->item[i].info.id == id)
      return &d->item[i];
  return NULL;
}

bool
ct_daemons_update (struct ct_daemons *d, const struct tk_daemon *info,
                   zp_time now)
{
  struct ct_daemon *x = find (d, info->id);

  if (!x)
    {
      if (d->len == CT_DAEMONS_MAX)
        return false;
      if (d->len == d->cap)
        {
          d->cap = d->cap > 0 ? 2 * d->cap : 16;
          d->item = zp_realloc (d->item, d->cap * sizeof *d->item);
        }
      x = &d->item[d->len++];
      *x = (struct ct_daemon){ .since = now };
    }
  else if (x->info.lost != info->lost)
    x->since = now;
  x->info = *info;
  return true;
}

void
ct_daemons_expire (struct ct_daemons *d, zp_time now)
{
  for (size_t i = 0; i < d->len;)
    if (d->item[i].info.lost && now - d->item[i].since > CT_LOST_TTL)
      d->item[i] = d->item[--d->len];
    else
      i++;
}

void
ct_daemons_free (struct ct_daemons *d)
{
  free (d->item);
  *d = (struct ct_daemons){ .item = NULL };
}

/* Which entry daemons are listed.  Each scope is wider than the one before and
   is tried when that one has no daemon.  */
enum scope
{
  READY_IN_REGION,
  READY,
  CONNECTED,
  SCOPES,
};

static bool
eligible (const struct tk_daemon *info, enum scope scope, struct zp_str region)
{
  if (info->kind != TK_DAEMON_ENTRY || info->lost || info->leaving)
    return false;
  switch (scope)
    {
    case READY_IN_REGION:
      return info->ready && zp_str_eq (zp_str_from (info->region), region);
    case READY:
      return info->ready;
    case CONNECTED:
    case SCOPES:
      break;
    }
  return true;
}

size_t
ct_daemons_entries (const struct ct_daemons *d, struct zp_str region,
                    struct zp_str *out, size_t max)
{
  size_t n = 0;

  for (enum scope scope = READY_IN_REGION; scope < SCOPES && n == 0; scope++)
    for (size_t i = 0; i < d->len && n < max; i++)
      if (eligible (&d->item[i].info, scope, region))
        out[n++] = zp_str_from (d->item[i].info.address);
  return n;
}
