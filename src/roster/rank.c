#include "roster/rank.h"

enum ro_rank
ro_rank (const struct ro_control_state *s, zp_time now)
{
  if (!s->answered)
    return RO_RANK_NONE;
  if (s->fresh)
    return RO_RANK_CURRENT;
  return !s->was_fresh && now - s->answered_at < RO_RANK_GRACE
             ? RO_RANK_CURRENT
             : RO_RANK_CONNECTED;
}
