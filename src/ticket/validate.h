/* NAME
     validate - checks that a ticket leaves a consistent configuration

   DESCRIPTION
     Checks the configuration as it would be after the ticket and adds every
     mistake to the report:

       - references to objects that do not exist;
       - deletions of objects that do not exist or are still referred to;
       - two objects for the same thing: links between the same two regions,
         limits of the same service and region, the same address of two
         daemons, the same prefix in two blocks objects, two shifts from the
         same site, a key of two workspaces;
       - entry daemons outside the networks of their failure domain;
       - deleting a shift, or changing its sites, while blocks are moved, which
         would move them all at once;
       - changes of the control members that are not allowed in one ticket;
       - daemon ids that are not numbers, too many objects, and an AGAINST
         above the number in force.

   RETURN VALUE
     ti_validate returns true when it added no mistake.  */

#ifndef ZP_TICKET_VALIDATE_H
#define ZP_TICKET_VALIDATE_H

#include "ticket/config.h"

/* Voters of the control log: at most five, and a sixth while a VM is
   replaced.  */
#define TI_VOTERS_MAX 6

/* So that the loss of one region out of three leaves a majority.  */
#define TI_VOTERS_IN_REGION_MAX 2

bool ti_validate (const struct ti_config *c, const struct ti_ticket *t,
                  struct zp_report *report);

#endif
