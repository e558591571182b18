/* NAME
     view - a configuration as it would be with a ticket in force

   DESCRIPTION
     Holds pointers into the configuration and the ticket, sorted by key, and
     copies no object.  */

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

const struct ti_object *ti_overlay_find (const struct ti_overlay *o,
                                         const struct ti_key *key);

/* The objects of KIND: FIRST and the number of them.  */
size_t ti_overlay_kind (const struct ti_overlay *o, enum ti_kind kind,
                        const struct ti_object *const **first);

#endif
