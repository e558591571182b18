/* NAME
     conflict - finds tickets that are based on outdated objects

   DESCRIPTION
     The number of the configuration that a ticket is based on is its AGAINST.

     TI_CONFLICT_BY_OBJECT: a ticket is in conflict when an object that it sets
     or deletes was created, changed or deleted after AGAINST.  An object
     without a slot may have had a tombstone that was dropped, so a ticket is
     also in conflict when AGAINST is older than the newest dropped tombstone.

     TI_CONFLICT_BY_NUMBER: a ticket is in conflict when any other ticket was
     numbered after AGAINST.  Only the benchmark uses this rule, to compare the
     rates of false conflicts.  */

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
  uint64_t number;         /* of the latest conflicting change */
  struct ti_digest digest; /* of its ticket; zero bytes when not known */
  struct ti_keys objects;  /* in conflict */
};

/* Returns true and fills OUT when T is in conflict with C.  */
bool ti_conflict_check (const struct ti_config *c, enum ti_conflict_rule rule,
                        const struct ti_ticket *t, struct ti_conflict *out);

/* Fills OUT with the objects of T that changed after its AGAINST and the
   number of the latest such change (0: none).  */
void ti_conflict_find (const struct ti_config *c, const struct ti_ticket *t,
                       struct ti_conflict *out);

void ti_conflict_copy (const struct ti_conflict *from, struct ti_conflict *to);
void ti_conflict_free (struct ti_conflict *c);

#endif
