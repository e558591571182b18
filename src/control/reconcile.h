/* NAME
     reconcile - brings the members of the log to what the tickets say

   DESCRIPTION
     Pure.  Compares the control objects of a configuration with the member
     set in use and gives the next single change: new members join as learners,
     learners that are to vote are promoted, and members without an object are
     removed last.  The leader removes itself after all others.  A
     configuration without control objects asks for nothing.  */

#ifndef ZP_CONTROL_RECONCILE_H
#define ZP_CONTROL_RECONCILE_H

#include "ledger/core.h"
#include "ticket/config.h"

/* Returns false when nothing is left to change.  The address of OUT lives as
   long as C.  */
bool ct_reconcile (const struct ti_config *c, const struct lg_members *members,
                   uint64_t leader, struct lg_change *out);

#endif
