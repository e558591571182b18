#include "roster/rank.h"

enum ro_rank
ro_rank (const struct ro_standing *s, zp_time now)
{
  if (!s->known)
    return RO_RANK_NONE;
  if (s->current)
    return RO_RANK_CURRENT;
  return !s->was_current && now - s->known_at < RO_RANK_PATIENCE
             ? RO_RANK_CURRENT
             : RO_RANK_CONNECTED;
}
