/* NAME
     reports - the last report of every daemon that follows the configuration

   DESCRIPTION
     A report has the version of the configuration that a daemon uses, and the
     servers and slots that it knows.  The leader decides by the reports of all
     daemons, so the other members forward to it those of their own followers.
     A report older than CT_REPORT_TTL no longer counts.  */

#ifndef ZP_CONTROL_REPORTS_H
#define ZP_CONTROL_REPORTS_H

#include "task/msg.h"

#define CT_REPORT_TTL (60 * ZP_SEC)

/* A frame may name any daemon, so the number of reports is bounded: twice the
   daemons of the largest deployment that the design is for.  */
#define CT_REPORTS_MAX 1024

struct ct_follow_report
{
  struct tk_follow_report report;
  zp_time made_at; /* local time at which the report was made */
  bool unsent;     /* still to be forwarded to the leader */
};

struct ct_reports
{
  struct ct_follow_report item[CT_REPORTS_MAX];
  size_t len;
};

/* Stores a report.  UNSENT: it came from a follower of this member, not from
   another member.  Dropped are a report older than the stored one of its
   daemon, and one of a new daemon while CT_REPORTS_MAX others count.  */
void ct_reports_add (struct ct_reports *r, zp_time now,
                     const struct tk_follow_report *report, bool unsent);

/* Appends the unsent reports to OUT as a WI_FOLLOW_REPORT and marks them as
   sent.  Returns false when there are none.  */
bool ct_reports_put_unsent (struct ct_reports *r, zp_time now,
                            struct zp_buf *out);

/* Stores the reports that another member forwarded.  Returns false when
   PAYLOAD cannot be decoded.  */
bool ct_reports_read (struct ct_reports *r, zp_time now,
                      struct zp_str payload);

/* Counts the daemons whose report is at most CT_REPORT_TTL old, and those of
   them that use VERSION of the configuration or a later one.  */
void ct_reports_count (const struct ct_reports *r, zp_time now,
                       uint64_t version, size_t *reporting, size_t *current);

#endif
