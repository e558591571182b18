/* NAME
     conflict - whether a ticket was overtaken by other changes

   DESCRIPTION
     By object, a ticket is in conflict when an object that it sets or deletes
     was changed, created or deleted after the number that its author looked
     at.  An object that is absent may have been deleted so long ago that its
     slot was dropped; a ticket from before that time is in conflict too.

     By number, a ticket is in conflict when any other ticket was numbered
     after the one that its author looked at.  Only the benchmark uses this,
     to compare the rates of false conflicts.  */

#ifndef ZP_TICKET_CONFLICT_H
#define ZP_TICKET_CONFLICT_H

#include "ticket/config.h"

enum ti_conflict_rule
{
  TI_CONFLICT_BY_OBJECT,
  TI_CONFLICT_BY_NUMBER,
};

struct ti_conflict
{
  uint64_t number;         /* of the latest change in the way */
  struct ti_digest digest; /* of that ticket; zero bytes when not known */
  struct ti_keys objects;
};

/* Returns true and fills OUT when T is in conflict with C.  */
bool ti_conflict_check (const struct ti_config *c, enum ti_conflict_rule rule,
                        const struct ti_ticket *t, struct ti_conflict *out);

/* The objects of T that changed after its AGAINST; NUMBER of OUT is that of
   the latest such change, 0 for none.  */
void ti_conflict_find (const struct ti_config *c, const struct ti_ticket *t,
                       struct ti_conflict *out);

void ti_conflict_copy (const struct ti_conflict *from, struct ti_conflict *to);
void ti_conflict_free (struct ti_conflict *c);

#endif
