/* NAME
     ask - what a struct st_holder asks for and whom, inside the holder module

   DESCRIPTION
     Shared by ask.c and holder.c; other modules use steer/holder.h.  */

#ifndef ZP_STEER_ACQUIRE_H
#define ZP_STEER_ACQUIRE_H

#include "steer/holder.h"

/* Two of these make up the idle period.  */
#define ST_IDLE_HALF (ZP_LEASE_IDLE / 2)

struct st_action *st_actions_add (struct st_actions *o, struct st_action item);

/* The record of OWNER, added when it is new.  */
struct st_lender *st_lender_of (struct st_holder *h, uint64_t owner);

/* SLOTS of the open ask at OWNER were granted.  */
void st_acquire_granted (struct st_holder *h, uint64_t owner,
                         const char *service, unsigned slots);

/* Asks for missing slots and for renewals.  */
void st_acquire_step (struct st_holder *h, const struct st_view *v,
                      zp_time now, struct st_actions *out);

#endif
