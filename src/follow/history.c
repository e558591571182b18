#include "follow/history.h"

#include <stdlib.h>
#include <string.h>

static void
drop_oldest (struct fo_history *h, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      h->bytes -= h->item[i].bytes.len;
      zp_buf_free (&h->item[i].bytes);
    }
  h->len -= n;
  memmove (h->item, h->item + n, h->len * sizeof *h->item);
}

void
fo_history_reset (struct fo_history *h, uint64_t version, uint64_t number,
                  uint64_t term)
{
  if (h->len > 0)
    drop_oldest (h, h->len);
  h->version = version;
  h->number = number;
  h->term = term;
}

bool
fo_history_add (struct fo_history *h, const struct fo_delta *d)
{
  if (d->version <= h->version || d->from >= d->version)
    return false;
  if (d->from != h->version)
    fo_history_reset (h, d->from, h->number, h->term);
  /* Drops an eighth of the changes at once, so that the array is not moved for
     every change when it is full.  */
  if (h->len >= ZP_FOLLOW_HISTORY_MAX)
    drop_oldest (h, ZP_FOLLOW_HISTORY_MAX / 8);
  while (h->len > 0 && h->bytes + d->change.len > ZP_FOLLOW_HISTORY_BYTES)
    drop_oldest (h, (h->len + 7) / 8);
  if (!h->item)
    h->item = zp_alloc (ZP_FOLLOW_HISTORY_MAX * sizeof *h->item);
  h->item[h->len++] = (struct fo_change){ .from = d->from,
                                          .version = d->version,
                                          .number = d->number,
                                          .term = d->term,
                                          .bytes = zp_buf_from (d->change) };
  h->bytes += d->change.len;
  h->version = d->version;
  h->number = d->number;
  h->term = d->term;
  return true;
}

enum fo_need
fo_history_need (const struct fo_history *h, uint64_t have, size_t *index)
{
  if (have == h->version)
    return FO_UP_TO_DATE;
  if (have > h->version)
    return FO_AHEAD;
  for (size_t i = h->len; i > 0; i--)
    if (h->item[i - 1].from == have)
      {
        *index = i - 1;
        return FO_CHANGES;
      }
  return FO_SNAPSHOT;
}

void
fo_history_free (struct fo_history *h)
{
  if (h->len > 0)
    drop_oldest (h, h->len);
  free (h->item);
  h->item = NULL;
}
