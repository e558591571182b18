/* NAME
     status - role and state of this member of the log, as operators see them

   DESCRIPTION
     Translates the status of the log: whether this member leads, the HTTP
     address at which the leader serves operators, and why a member has
     stopped.  */

#ifndef ZP_CONTROL_STATUS_H
#define ZP_CONTROL_STATUS_H

#include "control/operators.h"
#include "control/settings.h"
#include "ledger/core.h"

/* Takes the address of the leader from its control object, or from the
   settings while no ticket has set one.  The address in the result is valid as
   long as CONFIG and SETTINGS.  */
struct ct_leadership ct_leadership_of (const struct lg_status *s,
                                       const struct ct_settings *settings,
                                       const struct ti_config *config);

/* For groups without control objects: the address of the leader has the host
   of its log address and the port at which this member serves operators, which
   is the same on all members.  It is written to TEXT, which has SIZE bytes and
   has to outlive the result.  */
struct ct_leadership ct_leadership_by_port (const struct lg_status *s,
                                            const struct ct_settings *settings,
                                            const struct lg_members *members,
                                            char *text, size_t size);

/* The status report for operators.  MEMBER has space for LG_MEMBERS_MAX
   entries and has to outlive the result.  */
struct ct_status_report ct_status_report_of (
    const struct lg_status *s, const struct ct_settings *settings,
    const struct lg_members *members, struct ct_member *member);

const char *ct_role_name (enum lg_role role);

/* A text for operators; NULL while the member runs.  */
const char *ct_stop_reason (enum lg_stop stop);

#endif
