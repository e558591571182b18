#include "control/quotas.h"

#include <stdlib.h>

#include "base/counter.h"
#include "base/log.h"
#include "control/calls.h"
#include "ticket/blob.h"

#define PART "quotas"

/* The owner counts from when this member began to lead, also when the first
   limit comes later: there was no other owner in between.  */
static void
begin_term (struct ct_quotas *q)
{
  qu_owner_lead (q->owner, q->term, q->since);
  ZP_EVENT (ZP_LOG_NOTICE, PART, "this daemon owns the rate limits",
            ZP_F_INT (ZP_KEY_TERM, q->term));
}

/* Limits.  */

/* Sets the limits of SITE.  Without a limit in this document and in all earlier
   ones there is no owner.  */
static void
set_limits (struct ct_quotas *q, const struct si_site *site, zp_time now)
{
  struct qu_limit *list = zp_alloc ((site->workspaces + 1) * sizeof *list);
  size_t n = 0;

  for (size_t i = 0; i < site->workspaces; i++)
    {
      const struct si_workspace *w = &site->workspace[i];
      if (w->rate_per_s > 0)
        list[n++] = (struct qu_limit){ .workspace = w->hash,
                                       .rate = w->rate_per_s,
                                       .burst = w->burst };
    }
  q->limits = n;
  if (n > 0 && !q->owner)
    {
      q->owner = qu_owner_new ();
      begin_term (q);
    }
  if (q->owner)
    qu_owner_set_limits (q->owner, list, n, now);
  free (list);
}

/* Reads D once.  Like entry daemons, it keeps the limits in force when D cannot
   be read.  */
static void
read_document (struct ct_quotas *q, const struct ti_document *d, zp_time now)
{
  struct zp_buf text = { .ptr = NULL };
  struct zp_err err = { .text = "damaged" };
  struct si_site *site = NULL;

  if (!d || !q->decode || (q->has_read && q->document == d->number))
    return;
  q->has_read = true;
  q->document = d->number;
  if (ti_blob_decompress (&d->body, &text, CT_DOCUMENT_MAX))
    site = q->decode (zp_str_of (&text), &err);
  zp_buf_free (&text);
  if (site)
    set_limits (q, site, now);
  else
    ZP_EVENT (ZP_LOG_ERR, PART, "the limits of a configuration cannot be read",
              ZP_F_INT (ZP_KEY_CONFIGURATION, d->number),
              ZP_F_TEXT (ZP_KEY_REASON, zp_str_from (err.text)));
  si_site_free (site);
}

/* Ownership.  */

/* Adds what has changed since the last call.  */
static void
update_metrics (struct ct_quotas *q)
{
  struct qu_owner_counts c = qu_owner_counts (q->owner);

  zp_count (zp_counter ("zp_quota_grants_total", ""),
            (int64_t) (c.grants - q->counted.grants));
  zp_count (zp_counter ("zp_quota_pool_empty_total", ""),
            (int64_t) (c.pool_empty - q->counted.pool_empty));
  zp_gauge (zp_counter ("zp_quota_holders", ""),
            q->leads ? (int64_t) c.holders : 0);
  q->counted = c;
}

bool
ct_quotas_update (struct ct_quotas *q, const struct lg_status *s,
                  const struct ti_document *d, zp_time now)
{
  bool led = q->leads;

  q->leads = s->role == LG_LEADER && s->lease && s->current;
  if (q->leads && s->term != q->term)
    {
      q->term = s->term;
      q->since = now;
      if (q->owner)
        begin_term (q);
    }
  if (q->leads)
    read_document (q, d, now);
  if (!q->owner)
    return q->leads;
  if (led && !q->leads)
    {
      ZP_EVENT (ZP_LOG_NOTICE, PART,
                "this daemon no longer owns the rate limits",
                ZP_F_INT (ZP_KEY_TERM, q->term));
      update_metrics (q);
    }
  return q->leads;
}

bool
ct_quotas_answer (struct ct_quotas *q, const struct tk_quota_ask *a,
                  zp_time now, struct tk_quota_grant *grant)
{
  if (!q->leads || !q->owner || !qu_owner_ask (q->owner, a, now, grant))
    return false;
  update_metrics (q);
  return true;
}

void
ct_quotas_free (struct ct_quotas *q)
{
  if (q->owner)
    qu_owner_free (q->owner);
}
