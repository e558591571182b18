/* NAME
     reports - which daemons have the configuration in force

   DESCRIPTION
     Keeps the last report of every daemon that follows this member.  A daemon
     that has not reported for CT_REPORT_PERIOD no longer counts.  */

#ifndef ZP_CONTROL_REPORTS_H
#define ZP_CONTROL_REPORTS_H

#include "task/msg.h"

#define CT_REPORT_PERIOD (60 * ZP_SEC)

/* Reports come by frames that name any daemon, so their number is bounded:
   twice the daemons of the size to design for.  */
#define CT_REPORTS_MAX 1024

struct ct_in_force
{
  struct tk_in_force report;
  zp_time at; /* when the report was made */
};

struct ct_reports
{
  struct ct_in_force item[CT_REPORTS_MAX];
  size_t len;
};

void ct_reports_add (struct ct_reports *r, zp_time now,
                     const struct tk_in_force *report);

/* Daemons that reported within the period, and those of them that have
   VERSION or a later one.  */
void ct_reports_count (const struct ct_reports *r, zp_time now,
                       uint64_t version, size_t *reporting, size_t *current);

#endif
