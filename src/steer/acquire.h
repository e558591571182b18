/* NAME
     acquire - lease requests of a struct st_holder: how many slots, from whom

   DESCRIPTION
     A private header of the holder module, shared by acquire.c and holder.c;
     other modules use steer/holder.h.  */

#ifndef ZP_STEER_ACQUIRE_H
#define ZP_STEER_ACQUIRE_H

#include "steer/holder.h"

/* The idle period ZP_LEASE_IDLE is observed as two periods of this length. */
#define ST_IDLE_HALF (ZP_LEASE_IDLE / 2)

struct st_action *st_actions_add (struct st_actions *o, struct st_action item);

/* The record of OWNER, added when it is new.  */
struct st_lender *st_lender_of (struct st_holder *h, uint64_t owner);

/* Records that OWNER has granted SLOTS slots of an open request.  */
void st_acquire_granted (struct st_holder *h, uint64_t owner,
                         const char *service, unsigned slots);

/* Requests missing slots and renews leases.  */
void st_acquire_step (struct st_holder *h, const struct st_view *v,
                      zp_time now, struct st_actions *out);

#endif
