/* NAME
     shifts - decides on the steps of the traffic shifts

   DESCRIPTION
     Pure.  Every member records the steps of each shift as their log entries
     are applied, so that a new leader knows what was moved and when.  On the
     leader, ct_shifts_decide applies st_shift_decide to one shift of the
     configuration.  The function's caller proposes the step to the log; until
     the log has answered, the shift makes no further step.

     A snapshot has the share of a shift but not the steps that led to it, so
     after a restore every shift counts as having used its whole cap.

     The state of the receiving site comes from the reports of the daemons in
     its failure domain, without those that are too old.  It is dated by the
     oldest of these reports.  The slots that the whole traffic of the shift
     needs are at most those in use at both sites.  */

#ifndef ZP_CONTROL_SHIFTS_H
#define ZP_CONTROL_SHIFTS_H

#include "control/reports.h"
#include "ledger/core.h"
#include "steer/shift.h"
#include "ticket/command.h"
#include "ticket/config.h"

/* A site is failing when its daemons have ejected at least one in this many of
   its servers.  Daemons eject at most one in three servers of a service.  */
#define CT_SHIFT_FAILING_DIVISOR 4

struct ct_shift
{
  struct ti_text name;
  struct st_shift_step *step;
  size_t steps, cap;
  uint64_t proposal; /* of a step without an answer; 0: none */
  bool decided;      /* LAST is set */
  struct st_shift_decision last;
};

struct ct_shifts
{
  struct ct_shift *item;
  size_t len, cap;
  struct st_shift_leader leader;
  uint64_t term_index; /* at or after the first entry of the leader's term */
  bool caught_up;      /* the entry of TERM_INDEX is committed and applied */
};

/* Records the step in CHANGE, which was applied from a log entry of TERM.  */
void ct_shifts_applied (struct ct_shifts *s, const struct ti_change *change,
                        uint64_t term, zp_time now);

/* C, from a snapshot, has replaced the configuration: counts the whole cap of
   every shift as used.  */
void ct_shifts_restored (struct ct_shifts *s, const struct ti_config *c,
                         uint64_t term, zp_time now);

/* Updates the leadership of this member from the status of the log.  Call it
   before the decisions of each period.  */
void ct_shifts_update_leader (struct ct_shifts *s,
                              const struct lg_status *status, zp_time now);

/* Decides on the shift in SLOT, and logs each step and each decision that
   differs from the last one.  Returns true when STEP has to be proposed; the
   number of its proposal then goes to ct_shifts_proposed.  */
bool ct_shifts_decide (struct ct_shifts *s, const struct ti_config *c,
                       const struct ti_slot *slot,
                       const struct ct_reports *reports, zp_time now,
                       struct ti_step_command *step);
void ct_shifts_proposed (struct ct_shifts *s, const struct ti_text *name,
                         uint64_t proposal);

/* The log has answered PROPOSAL.  Returns false when it is not that of a step.
   */
bool ct_shifts_answered (struct ct_shifts *s, uint64_t proposal);

/* The state of the site in FAILURE_DOMAIN; slots_needed is left at 0.  */
struct st_site_state ct_shifts_site_state (const struct ct_reports *reports,
                                           struct zp_str failure_domain,
                                           zp_time now);

/* The last decision on the shift NAME as a text for operators.  */
const char *ct_shifts_reason (const struct ct_shifts *s,
                              const struct ti_text *name);

void ct_shifts_free (struct ct_shifts *s);

#endif
