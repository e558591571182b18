#include "follow/codec.h"

#include <stdlib.h>

#include "wire/bytes.h"
#include "wire/follow.pb-c.h"

void
fo_put_follow (struct zp_buf *out, const struct fo_follow *m)
{
  Wire__Follow w = WIRE__FOLLOW__INIT;

  w.id = m->id;
  w.have = m->have;
  wi_pack (out, &w.base);
}

bool
fo_get_follow (struct zp_str payload, struct fo_follow *out)
{
  Wire__Follow *w = wi_unpack (&wire__follow__descriptor, payload);

  if (!w)
    return false;
  *out = (struct fo_follow){ .id = w->id, .have = w->have };
  wi_free (w);
  return true;
}

void
fo_put_delta (struct zp_buf *out, const struct fo_delta *m)
{
  Wire__FollowDelta w = WIRE__FOLLOW_DELTA__INIT;

  w.from = m->from;
  w.version = m->version;
  w.number = m->number;
  w.term = m->term;
  w.change = wi_bytes (m->change);
  wi_pack (out, &w.base);
}

bool
fo_get_delta (struct zp_str payload, struct fo_delta *out, void **owner)
{
  Wire__FollowDelta *w = wi_unpack (&wire__follow_delta__descriptor, payload);

  *owner = w;
  if (!w)
    return false;
  *out = (struct fo_delta){ .from = w->from,
                            .version = w->version,
                            .number = w->number,
                            .term = w->term,
                            .change = wi_view (w->change) };
  return true;
}

void
fo_put_part (struct zp_buf *out, const struct fo_part *m)
{
  Wire__FollowSnapshot w = WIRE__FOLLOW_SNAPSHOT__INIT;

  w.version = m->version;
  w.number = m->number;
  w.term = m->term;
  w.offset = m->offset;
  w.total = m->total;
  w.part = wi_bytes (m->part);
  wi_pack (out, &w.base);
}

bool
fo_get_part (struct zp_str payload, struct fo_part *out, void **owner)
{
  Wire__FollowSnapshot *w
      = wi_unpack (&wire__follow_snapshot__descriptor, payload);

  *owner = w;
  if (!w)
    return false;
  *out = (struct fo_part){ .version = w->version,
                           .number = w->number,
                           .term = w->term,
                           .offset = w->offset,
                           .total = w->total,
                           .part = wi_view (w->part) };
  return true;
}

void
fo_put_ping (struct zp_buf *out, const struct fo_ping *m)
{
  Wire__FollowPing w = WIRE__FOLLOW_PING__INIT;

  w.version = m->version;
  w.fresh = m->fresh;
  wi_pack (out, &w.base);
}

bool
fo_get_ping (struct zp_str payload, struct fo_ping *out)
{
  Wire__FollowPing *w = wi_unpack (&wire__follow_ping__descriptor, payload);

  if (!w)
    return false;
  *out = (struct fo_ping){ .version = w->version, .fresh = w->fresh };
  wi_free (w);
  return true;
}

void
fo_put_report (struct zp_buf *out, const struct tk_follow_report *r, size_t n)
{
  Wire__FollowReport w = WIRE__FOLLOW_REPORT__INIT;
  Wire__FollowReport__InForce *items = zp_alloc (n * sizeof *items);
  Wire__FollowReport__InForce **list
      = zp_alloc (n * sizeof (Wire__FollowReport__InForce *));

  for (size_t i = 0; i < n; i++)
    {
      wire__follow_report__in_force__init (&items[i]);
      items[i].id = r[i].daemon;
      items[i].version = r[i].version;
      items[i].number = r[i].number;
      items[i].age_us = (uint64_t) (r[i].age);
      items[i].failure_domain = (char *) r[i].failure_domain;
      items[i].servers = r[i].servers;
      items[i].ejected = r[i].ejected;
      items[i].slots = r[i].slots;
      items[i].free = r[i].free;
      items[i].warm = r[i].warm;
      list[i] = &items[i];
    }
  w.n_daemons = n;
  w.daemons = list;
  wi_pack (out, &w.base);
  free (list);
  free (items);
}

/* Longer ages are replaced by this one, so that no time overflows.  */
#define AGE_MAX (3600 * ZP_SEC)

static void
get_report_item (const Wire__FollowReport__InForce *w,
                 struct tk_follow_report *out)
{
  *out = (struct tk_follow_report){ .daemon = w->id,
                                    .version = w->version,
                                    .number = w->number,
                                    .age = AGE_MAX,
                                    .servers = w->servers,
                                    .ejected = w->ejected,
                                    .slots = w->slots,
                                    .free = w->free,
                                    .warm = w->warm };
  if (w->age_us < (uint64_t) AGE_MAX)
    out->age = (zp_time) w->age_us;
  zp_str_copy (out->failure_domain, sizeof out->failure_domain,
               zp_str_from (w->failure_domain));
}

bool
fo_get_report (struct zp_str payload, fo_each_report *each, void *self)
{
  Wire__FollowReport *w
      = wi_unpack (&wire__follow_report__descriptor, payload);

  if (!w)
    return false;
  for (size_t i = 0; i < w->n_daemons; i++)
    {
      struct tk_follow_report r;
      get_report_item (w->daemons[i], &r);
      each (self, &r);
    }
  wi_free (w);
  return true;
}
