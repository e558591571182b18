#include "control/reports.h"

void
ct_reports_add (struct ct_reports *r, zp_time now,
                const struct tk_in_force *report)
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
  r->item[at]
      = (struct ct_in_force){ .report = *report, .at = now - report->age };
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
