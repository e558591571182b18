/* NAME
     share - fair division of the slots of one service among its holders

   DESCRIPTION
     st_share_next returns the holder that gets the next free slot, and
     st_share_victim the holder that a slot is recalled from when none is free.

     Home holders are those in the owner's own failure domain.  They come first
     while one of them waits and together they keep less than the home quota,
     which is all slots but one in ST_OTHERS_DIVISOR.  Slots that they do not
     need are lent to the others.  Among equals, the next slot goes to the
     waiting holder with the fewest slots, then to the one that has waited
     longest.

     The quota of the others is small, because a slot that is lent to another
     region is occupied for one more round trip by each request.  With half of
     the slots for others, bench-capacity gave 77% of the capacity at twice the
     load.  */

#ifndef ZP_STEER_SHARE_H
#define ZP_STEER_SHARE_H

#include "base/limits.h"
#include "base/str.h"

/* How long a holder keeps its slots while a holder without any slot waits.  */
#define ST_TIME_SLICE (250 * ZP_MS)

/* The others may keep one slot in so many while home holders have demand, and
   at least one slot if there are two.  */
#define ST_OTHERS_DIVISOR 8

struct st_share
{
  uint64_t holder;
  bool home;
  unsigned kept;    /* slots held and not recalled */
  unsigned due;     /* recalled slots that will go to this holder */
  unsigned want;    /* slots not granted yet, DUE included */
  zp_time since;    /* when it began to wait */
  uint64_t request; /* number of its latest lease request */
};

struct st_shares
{
  struct st_share *item;
  size_t len, cap;
  unsigned slots;     /* of all grantable servers */
  unsigned home_kept; /* slots kept by or due to home holders */
};

/* The entry of HOLDER, added when it is new.  */
struct st_share *st_share_of (struct st_shares *t, uint64_t holder, bool home);

/* The holder that gets the next free slot.  NULL: none waits.  */
struct st_share *st_share_next (const struct st_shares *t);

/* The holder that has to return a slot for W, which waits.  NULL: none.  Only
   slots granted at *BEFORE or earlier may be recalled.  */
struct st_share *st_share_victim (const struct st_shares *t,
                                  const struct st_share *w, zp_time now,
                                  zp_time *before);

void st_shares_free (struct st_shares *t);

#endif
