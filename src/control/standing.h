/* NAME
     standing - the place of this member in the log, as operators see it

   DESCRIPTION
     Translates the status of the log: who leads, where the leader's operators'
     interface is, and why a member has stopped.  The address of the leader
     comes from its control object, or from the settings while no ticket has
     set one.  */

#ifndef ZP_CONTROL_STANDING_H
#define ZP_CONTROL_STANDING_H

#include "control/operators.h"
#include "control/settings.h"
#include "ledger/core.h"

/* The view in the result lives as long as CONFIG and SETTINGS.  */
struct ct_standing ct_standing_of (const struct lg_status *s,
                                   const struct ct_settings *settings,
                                   const struct ti_config *config);

/* The same where no object says where the members are: the leader is at the
   host of its log, and the operators' interface has the same port on all.  The
   view in the result is of TEXT, which has SIZE bytes.  */
struct ct_standing ct_standing_by_port (const struct lg_status *s,
                                        const struct ct_settings *settings,
                                        const struct lg_members *members,
                                        char *text, size_t size);

/* MEMBER has room for LG_MEMBERS_MAX and belongs to the result.  */
struct ct_status_report ct_report_of (const struct lg_status *s,
                                      const struct ct_settings *settings,
                                      const struct lg_members *members,
                                      struct ct_member *member);

const char *ct_role_name (enum lg_role role);

/* NULL while the member runs.  */
const char *ct_stop_reason (enum lg_stop stop);

#endif
