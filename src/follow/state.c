#include "follow/state.h"

enum fo_result
fo_state_delta (struct fo_state *s, const struct fo_delta *d)
{
  if (d->version <= s->version)
    return FO_OLD;
  if (d->term < s->term || d->number < s->number)
    return FO_STALE;
  if (d->from != s->version)
    return FO_GAP;
  s->version = d->version;
  s->number = d->number;
  s->term = d->term;
  return FO_ACCEPTED;
}

enum fo_result
fo_state_part (struct fo_state *s, const struct fo_part *p)
{
  if (p->version <= s->version)
    return FO_OLD;
  if (p->term < s->term || p->number < s->number)
    return FO_STALE;
  if (p->offset == 0)
    {
      zp_buf_clear (&s->parts);
      s->parts_version = p->version;
    }
  if (p->version != s->parts_version || p->offset != s->parts.len
      || p->total > ZP_CONFIG_MAX || p->part.len > p->total - p->offset)
    {
      fo_state_drop_parts (s);
      return FO_BAD_PART;
    }
  zp_buf_put (&s->parts, p->part);
  if (s->parts.len < p->total)
    return FO_PART_KEPT;
  s->version = p->version;
  s->number = p->number;
  s->term = p->term;
  return FO_ACCEPTED;
}

void
fo_state_drop_parts (struct fo_state *s)
{
  zp_buf_free (&s->parts);
  s->parts_version = 0;
}
