/* NAME
     validate - whether a ticket leaves a consistent configuration

   DESCRIPTION
     Checks the configuration as it would be with the ticket in force, and adds
     every mistake to the report: references to objects that are absent,
     deletions of objects that are absent or still in use, two objects that say
     different things about one matter (links, limits, addresses, blocks,
     shifts), entry daemons outside the networks of their failure domain,
     shifts that would move blocks at once, and control members that cannot be
     changed in one step.

   RETURN VALUE
     true when no mistake was added.  */

#ifndef ZP_TICKET_VALIDATE_H
#define ZP_TICKET_VALIDATE_H

#include "ticket/config.h"

/* Voters of the control log; one more than the five of the larger size may be
   there while a VM is replaced.  */
#define TI_VOTERS_MAX 6
#define TI_VOTERS_IN_REGION_MAX 2

bool ti_validate (const struct ti_config *c, const struct ti_ticket *t,
                  struct zp_report *report);

#endif
