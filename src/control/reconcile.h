/* NAME
     reconcile - makes the members of the log match the configuration

   DESCRIPTION
     Pure.  Compares the control objects of a configuration, which tickets set,
     with the current members of the log and gives the next single change.
     Members that are missing are added as learners first, then learners with
     the role of a voter are promoted, and members without an object are
     removed last, the leader after all others.  A configuration without
     control objects changes nothing.  */

#ifndef ZP_CONTROL_RECONCILE_H
#define ZP_CONTROL_RECONCILE_H

#include "ledger/core.h"
#include "ticket/config.h"

/* Fills OUT with the next change.  Returns false when there is none.  The
   address in OUT is valid as long as C.  LEADER is a member id.  */
bool ct_reconcile (const struct ti_config *c, const struct lg_members *members,
                   uint64_t leader, struct lg_change *out);

#endif
