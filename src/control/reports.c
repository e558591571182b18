#include "control/reports.h"

#include <stdlib.h>

#include "follow/codec.h"

void
ct_reports_add (struct ct_reports *r, zp_time now,
                const struct tk_follow_report *report, bool due)
{
  size_t at = 0;

  while (at < r->len && r->item[at].report.daemon != report->daemon)
    at++;
  if (at == r->len)
    /* The place of one that went silent, or a new one.  */
    for (at = 0; at < r->len; at++)
      if (now - r->item[at].at > CT_REPORT_PERIOD)
        break;
  if (at == CT_REPORTS_MAX)
    return;
  if (at == r->len)
    r->len++;
  else if (r->item[at].report.daemon == report->daemon
           && r->item[at].at > now - report->age)
    return;
  r->item[at] = (struct ct_in_force){ .report = *report,
                                      .at = now - report->age,
                                      .due = due };
}

bool
ct_reports_take (struct ct_reports *r, zp_time now, struct zp_buf *out)
{
  struct tk_follow_report *all = zp_alloc ((r->len + 1) * sizeof *all);
  size_t n = 0;

  for (size_t i = 0; i < r->len; i++)
    if (r->item[i].due)
      {
        r->item[i].due = false;
        all[n] = r->item[i].report;
        all[n++].age = now - r->item[i].at;
      }
  if (n > 0)
    fo_put_report (out, all, n);
  free (all);
  return n > 0;
}

/* Reports of one payload.  */
struct passed
{
  struct ct_reports *reports;
  zp_time now;
};

static void
add_passed (void *self, const struct tk_follow_report *report)
{
  struct passed *p = self;

  ct_reports_add (p->reports, p->now, report, false);
}

bool
ct_reports_read (struct ct_reports *r, zp_time now, struct zp_str payload)
{
  struct passed p = { .reports = r, .now = now };

  return fo_get_report (payload, add_passed, &p);
}

void
ct_reports_count (const struct ct_reports *r, zp_time now, uint64_t version,
                  size_t *reporting, size_t *current)
{
  *reporting = 0;
  *current = 0;
  for (size_t i = 0; i < r->len; i++)
    if (now - r->item[i].at <= CT_REPORT_PERIOD)
      {
        ++*reporting;
        *current += r->item[i].report.version >= version;
      }
}
