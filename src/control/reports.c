#include "control/reports.h"

#include <stdlib.h>

#include "follow/codec.h"

void
ct_reports_add (struct ct_reports *r, zp_time now,
                const struct tk_follow_report *report, bool unsent)
{
  size_t at = 0;

  while (at < r->len && r->item[at].report.daemon != report->daemon)
    at++;
  if (at == r->len)
    /* Reuses the entry of an expired report, or takes the next free one.  */
    for (at = 0; at < r->len; at++)
      if (now - r->item[at].made_at > CT_REPORT_TTL)
        break;
  if (at == CT_REPORTS_MAX)
    return;
  if (at == r->len)
    r->len++;
  else if (r->item[at].report.daemon == report->daemon
           && r->item[at].made_at > now - report->age)
    return;
  r->item[at] = (struct ct_follow_report){ .report = *report,
                                           .made_at = now - report->age,
                                           .unsent = unsent };
}

bool
ct_reports_put_unsent (struct ct_reports *r, zp_time now, struct zp_buf *out)
{
  struct tk_follow_report *all = zp_alloc ((r->len + 1) * sizeof *all);
  size_t n = 0;

  for (size_t i = 0; i < r->len; i++)
    if (r->item[i].unsent)
      {
        r->item[i].unsent = false;
        all[n] = r->item[i].report;
        all[n++].age = now - r->item[i].made_at;
      }
  if (n > 0)
    fo_put_report (out, all, n);
  free (all);
  return n > 0;
}

/* Where ct_reports_read stores the reports of a payload.  */
struct read_context
{
  struct ct_reports *reports;
  zp_time now;
};

static void
add_read (void *self, const struct tk_follow_report *report)
{
  struct read_context *p = self;

  ct_reports_add (p->reports, p->now, report, false);
}

bool
ct_reports_read (struct ct_reports *r, zp_time now, struct zp_str payload)
{
  struct read_context p = { .reports = r, .now = now };

  return fo_get_report (payload, add_read, &p);
}

void
ct_reports_count (const struct ct_reports *r, zp_time now, uint64_t version,
                  size_t *reporting, size_t *current)
{
  *reporting = 0;
  *current = 0;
  for (size_t i = 0; i < r->len; i++)
    if (now - r->item[i].made_at <= CT_REPORT_TTL)
      {
        ++*reporting;
        *current += r->item[i].report.version >= version;
      }
}
