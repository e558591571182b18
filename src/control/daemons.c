#include "control/daemons.h"

#include <stdlib.h>

static struct ct_daemon *
find (struct ct_daemons *d, uint64_t id)
{
  for (size_t i = 0; i < d->len; i++)
    if (d->item[i].said.id == id)
      return &d->item[i];
  return NULL;
}

bool
ct_daemons_update (struct ct_daemons *d, const struct tk_daemon *said,
                   zp_time now)
{
  struct ct_daemon *x = find (d, said->id);

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
  else if (x->said.lost != said->lost)
    x->since = now;
  x->said = *said;
  return true;
}

void
ct_daemons_expire (struct ct_daemons *d, zp_time now)
{
  for (size_t i = 0; i < d->len;)
    if (d->item[i].said.lost && now - d->item[i].since > CT_LOST_TTL)
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

/* Which daemons may be named; a wider choice is tried when one is empty.  */
enum choice
{
  READY_IN_REGION,
  READY,
  CONNECTED,
  CHOICES,
};

static bool
chosen (const struct tk_daemon *said, enum choice c, struct zp_str region)
{
  if (said->kind != TK_DAEMON_ENTRY || said->lost || said->leaving)
    return false;
  switch (c)
    {
    case READY_IN_REGION:
      return said->ready && zp_str_eq (zp_str_from (said->region), region);
    case READY:
      return said->ready;
    case CONNECTED:
    case CHOICES:
      break;
    }
  return true;
}

size_t
ct_daemons_entries (const struct ct_daemons *d, struct zp_str region,
                    struct zp_str *out, size_t max)
{
  size_t n = 0;

  for (enum choice c = READY_IN_REGION; c < CHOICES && n == 0; c++)
    for (size_t i = 0; i < d->len && n < max; i++)
      if (chosen (&d->item[i].said, c, region))
        out[n++] = zp_str_from (d->item[i].said.address);
  return n;
}
