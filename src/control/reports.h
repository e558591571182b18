/* NAME
     reports - which daemons have the configuration in force

   DESCRIPTION
     Keeps the last report of every daemon that follows this member.  The
     leader decides by the reports of all daemons, so the other members pass
     theirs on to it.  A daemon that has not reported for CT_REPORT_PERIOD no
     longer counts.  */

#ifndef ZP_CONTROL_REPORTS_H
#define ZP_CONTROL_REPORTS_H

#include "task/msg.h"

#define CT_REPORT_PERIOD (60 * ZP_SEC)

/* Reports come by frames that name any daemon, so their number is bounded:
   twice the daemons of the size to design for.  */
#define CT_REPORTS_MAX 1024

struct ct_in_force
{
  struct tk_follow_report report;
  zp_time at; /* when the report was made */
  bool due;   /* for the leader */
};

struct ct_reports
{
  struct ct_in_force item[CT_REPORTS_MAX];
  size_t len;
};

/* DUE: the report came from a follower of this member, not from another
   member.  A report older than the last one of its daemon is dropped.  */
void ct_reports_add (struct ct_reports *r, zp_time now,
                     const struct tk_follow_report *report, bool due);

/* Appends the reports that are due as a WI_FOLLOW_REPORT; they are no longer
   due.  Returns false when there are none.  */
bool ct_reports_take (struct ct_reports *r, zp_time now, struct zp_buf *out);

/* Takes in the reports that another member sent.  Returns false when PAYLOAD
   cannot be read.  */
bool ct_reports_read (struct ct_reports *r, zp_time now,
                      struct zp_str payload);

/* Daemons that reported within the period, and those of them that have
   VERSION or a later one.  */
void ct_reports_count (const struct ct_reports *r, zp_time now,
                       uint64_t version, size_t *reporting, size_t *current);

#endif
