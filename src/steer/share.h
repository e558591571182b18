/* NAME
     share - fair division of the slots of one service among its holders

   DESCRIPTION
     st_share_next names the holder that gets the next free slot, and
     st_share_victim the holder that a slot is recalled from when none is free.
     While a holder of the owner's own failure domain (home) waits and home
     holders keep less than their part, home comes first; what they do not ask
     for is lent to the others.  Within that, slots go to the waiting holder
     with the fewest, then to the one that has waited longest.

     The others' part is small, because a slot that is lent to another region
     is busy for a round trip longer with each request.  With half of the slots
     for others, bench-capacity gave 77% of the capacity at twice the load.  */

#ifndef ZP_STEER_SHARE_H
#define ZP_STEER_SHARE_H

#include "base/limits.h"
#include "base/str.h"

/* How long a holder keeps a slot that others without any wait for.  */
#define ST_TIME_SLICE (250 * ZP_MS)

/* Part of the slots that others may keep while home has demand; at least one
   slot where there are two.  */
#define ST_OTHERS_DIVISOR 8

struct st_share
{
  uint64_t holder;
  bool home;
  unsigned kept; /* held and not recalled */
  unsigned due;  /* on the way to this holder */
  unsigned want; /* still missing, DUE included */
  zp_time since; /* when it began to wait */
  uint64_t request;
};

struct st_shares
{
  struct st_share *item;
  size_t len, cap;
  unsigned slots;     /* all that may be granted */
  unsigned home_kept; /* kept by or due to home holders */
};

/* The entry of HOLDER, added when it is new.  */
struct st_share *st_share_of (struct st_shares *t, uint64_t holder, bool home);

/* NULL: nobody waits.  */
struct st_share *st_share_next (const struct st_shares *t);

/* NULL: nobody gives way to W.  A slot granted after *BEFORE is not taken.  */
struct st_share *st_share_victim (const struct st_shares *t,
                                  const struct st_share *w, zp_time now,
                                  zp_time *before);

void st_shares_free (struct st_shares *t);

#endif
