/* NAME
     overlay - a configuration with an edit laid over it

   DESCRIPTION
     Gives the objects of a configuration as they would be after the edit of a
     ticket.  It copies no object: it has an array of pointers, sorted by key,
     to the objects of the configuration and of the edit, which must outlive
     it.  */

#ifndef ZP_TICKET_OVERLAY_H
#define ZP_TICKET_OVERLAY_H

#include "ticket/config.h"

struct ti_overlay
{
  const struct ti_object **item;
  size_t len;
};

void ti_overlay_open (struct ti_overlay *o, const struct ti_config *c,
                      const struct ti_edit *e);
void ti_overlay_close (struct ti_overlay *o);

/* Returns the object of KEY, or NULL.  */
const struct ti_object *ti_overlay_find (const struct ti_overlay *o,
                                         const struct ti_key *key);

/* Returns the number of objects of KIND and stores a pointer to the first in
   FIRST.  */
size_t ti_overlay_kind (const struct ti_overlay *o, enum ti_kind kind,
                        const struct ti_object *const **first);

#endif
