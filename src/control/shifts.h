/* NAME
     shifts - the leader's part of every shift in progress

   DESCRIPTION
     Pure.  Keeps the steps of every shift as their entries are applied, on
     every member, so that a new leader knows what was moved.  On the leader,
     ct_shifts_decide takes the decision of st_shift_decide for one shift of
     the configuration; a step is proposed by the caller and blocks further
     ones until the log has answered.

     A snapshot has the share of a shift but not the steps that led to it, so
     after a restore every shift counts as having used its whole cap.

     The receiving site is known by the reports of the daemons in its failure
     domain.  Its free slots count from the oldest report of the site that is
     not silent.  The slots that the whole shift needs are at most those in use
     at both sites.  */

#ifndef ZP_CONTROL_SHIFTS_H
#define ZP_CONTROL_SHIFTS_H

#include "control/reports.h"
#include "ledger/core.h"
#include "steer/shift.h"
#include "ticket/command.h"
#include "ticket/config.h"

/* A site fails when its daemons have ejected one of this many of its servers.
   Daemons eject at most one in three servers of a service.  */
#define CT_SHIFT_FAILING 4

struct ct_shift
{
  struct ti_text name;
  struct st_shift_step *step;
  size_t steps, cap;
  uint64_t proposal; /* of a step that is not decided; 0: none */
  bool decided;      /* LAST is set */
  struct st_shift_decision last;
};

struct ct_shifts
{
  struct ct_shift *item;
  size_t len, cap;
  struct st_shift_leader leader;
  uint64_t first; /* an entry of the leader's own term, or a later one */
  bool began;     /* that entry is committed and applied here */
};

/* CHANGE was applied from an entry of TERM.  */
void ct_shifts_applied (struct ct_shifts *s, const struct ti_change *change,
                        uint64_t term, zp_time now);

/* C replaced the configuration.  */
void ct_shifts_restored (struct ct_shifts *s, const struct ti_config *c,
                         uint64_t term, zp_time now);

/* Takes in the state of the log; called before the decisions of a period.  */
void ct_shifts_lead (struct ct_shifts *s, const struct lg_status *status,
                     zp_time now);

/* Decides for the shift of SLOT and logs what is new.  Returns true when STEP
   is to be proposed; ct_shifts_proposed gives its number.  */
bool ct_shifts_decide (struct ct_shifts *s, const struct ti_config *c,
                       const struct ti_slot *slot,
                       const struct ct_reports *reports, zp_time now,
                       struct ti_step_command *step);
void ct_shifts_proposed (struct ct_shifts *s, const struct ti_text *name,
                         uint64_t proposal);

/* Returns false when PROPOSAL is not that of a step.  */
bool ct_shifts_answered (struct ct_shifts *s, uint64_t proposal);

/* The state of the site of FAILURE_DOMAIN, without slots_needed.  */
struct st_site_state ct_shifts_site (const struct ct_reports *reports,
                                     struct zp_str failure_domain,
                                     zp_time now);

/* The last decision in words.  */
const char *ct_shifts_reason (const struct ct_shifts *s,
                              const struct ti_text *name);

void ct_shifts_free (struct ct_shifts *s);

#endif
