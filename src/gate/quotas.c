#include "gate/quotas.h"

#include <assert.h>
#include <stdlib.h>

#include "base/log.h"
#include "gate/gate.h"

#define PART "quotas"

/* Shortest time between two lines about the same limit.  */
#define LOG_PERIOD ZP_SEC

/* While requests wait, their deadlines are checked in this period.  */
#define WAIT_PERIOD GT_QUEUE_PERIOD

/* Log and metrics.  */

static void
log_refused (struct gt_quota *x, zp_time now)
{
  if (x->unlogged == 0
      || (x->logged_at != 0 && now - x->logged_at < LOG_PERIOD))
    return;
  ZP_EVENT (ZP_LOG_NOTICE, PART, "a limit refuses requests",
            ZP_F_TEXT (ZP_KEY_WORKSPACE, zp_str_of (&x->name)),
            ZP_F_INT (ZP_KEY_REFUSED, x->unlogged));
  x->unlogged = 0;
  x->logged_at = now;
}

static void
log_changes (struct gt_quotas *s, zp_time now)
{
  struct qu_holder_counts c = qu_holder_counts (s->holder);

  zp_count (s->asks, (int64_t) (c.asks - s->counted.asks));
  s->counted.asks = c.asks;
  if (c.term != s->counted.term)
    ZP_EVENT (ZP_LOG_NOTICE, PART, "the owner of the rate limits has changed",
              ZP_F_INT (ZP_KEY_TERM, c.term));
  s->counted.term = c.term;
  if (c.ended == s->counted.ended
      || (s->ended_logged_at != 0 && now - s->ended_logged_at < LOG_PERIOD))
    return;
  ZP_EVENT (ZP_LOG_WARNING, PART,
            "leases of rate limits have ended without renewal",
            ZP_F_INT (ZP_KEY_LEASES, c.ended - s->counted.ended));
  s->counted.ended = c.ended;
  s->ended_logged_at = now;
}

/* Appends the label of the counters of a workspace.  A name can have any
   character that is not a control character.  */
static void
put_label (struct zp_buf *out, struct zp_str name)
{
  zp_buf_put (out, ZP_STR ("workspace=\""));
  for (size_t i = 0; i < name.len; i++)
    {
      if (name.ptr[i] == '"' || name.ptr[i] == '\\')
        zp_buf_put (out, ZP_STR ("\\"));
      zp_buf_put_bytes (out, &name.ptr[i], 1);
    }
  zp_buf_put (out, ZP_STR ("\""));
}

/* Limits.  */

static int
compare_quotas (const void *a, const void *b)
{
  const struct gt_quota *x = *(struct gt_quota *const *) a,
                        *y = *(struct gt_quota *const *) b;

  return (x->workspace > y->workspace) - (x->workspace < y->workspace);
}

static struct gt_quota *
find_quota (const struct gt_quotas *s, uint64_t workspace)
{
  const struct gt_quota key = { .workspace = workspace };
  const struct gt_quota *at = &key;

  if (s->len == 0)
    return NULL;
  struct gt_quota **found
      = bsearch (&at, s->item, s->len, sizeof (void *), compare_quotas);
  return found ? *found : NULL;
}

static struct gt_quota *
quota_new (const struct si_workspace *w)
{
  struct gt_quota *x = zp_alloc (sizeof *x);
  struct zp_buf labels = { .ptr = NULL };

  x->workspace = w->hash;
  x->name = zp_buf_from (zp_str_of (&w->name));
  put_label (&labels, zp_str_of (&w->name));
  x->refused = zp_counter ("zp_quota_refused_total", labels.ptr);
  zp_buf_free (&labels);
  return x;
}

static void
quota_free (struct gt_quota *x)
{
  assert (!x->first);
  zp_buf_free (&x->name);
  free (x);
}

static void
open_holder (struct gt_gate *g)
{
  struct gt_quotas *s = &g->quotas;
  uint64_t incarnation = 0;

  for (int i = 0; i < 4; i++)
    incarnation = incarnation << 16 | zp_rng_below (&g->rng, 1 << 16);
  s->holder = qu_holder_new (g->settings->id, incarnation);
  s->unknown = zp_counter ("zp_quota_unknown_total", "");
  s->asks = zp_counter ("zp_quota_asks_total", "");
  zp_histogram_init (&s->sent_wait, "zp_quota_wait_seconds",
                     "result=\"sent\"");
  zp_histogram_init (&s->refused_wait, "zp_quota_wait_seconds",
                     "result=\"refused\"");
}

/* Waiting requests.  */

static void
append (struct gt_quotas *s, struct gt_quota *x, struct gt_request *q)
{
  q->phase = GT_QUOTA;
  q->quota = x;
  q->quota_since = zp_clock_mono ();
  q->quota_prev = x->last;
  q->quota_next = NULL;
  if (x->last)
    x->last->quota_next = q;
  else
    x->first = q;
  x->last = q;
  s->waiting++;
}

static void
unlink_request (struct gt_quotas *s, struct gt_request *q)
{
  struct gt_quota *x = q->quota;

  assert (q->phase == GT_QUOTA);
  if (q->quota_prev)
    q->quota_prev->quota_next = q->quota_next;
  else
    x->first = q->quota_next;
  if (q->quota_next)
    q->quota_next->quota_prev = q->quota_prev;
  else
    x->last = q->quota_prev;
  q->quota = NULL;
  q->phase = GT_UNASSIGNED;
  s->waiting--;
}

static void
refuse_exhausted (struct gt_gate *g, struct gt_request *q, zp_time retry_after)
{
  struct gt_quota *x = find_quota (&g->quotas, q->workspace_hash);

  if (x)
    {
      zp_count (x->refused, 1);
      x->unlogged++;
      log_refused (x, zp_clock_mono ());
    }
  gt_request_refuse_limit (g, q, QU_EXHAUSTED, retry_after);
}

static void
refuse_unknown (struct gt_gate *g, struct gt_request *q, zp_time retry_after)
{
  zp_count (g->quotas.unknown, 1);
  gt_request_refuse_limit (g, q, QU_UNKNOWN, retry_after);
}

/* Carries out the decision on Q, which is not in a list.  */
static void
carry_out (struct gt_gate *g, struct gt_request *q,
           const struct qu_decision *d)
{
  switch (d->kind)
    {
    case QU_SPEND:
      q->has_token = true;
      gt_dispatch_admit (g, q);
      return;
    case QU_WAIT:
      append (&g->quotas, find_quota (&g->quotas, q->workspace_hash), q);
      return;
    case QU_EXHAUSTED:
      refuse_exhausted (g, q, d->u.retry_after);
      return;
    case QU_UNKNOWN:
      refuse_unknown (g, q, d->u.retry_after);
      return;
    }
}

/* Ends the wait of Q and adds its time to the metrics.  */
static void
end_wait (struct gt_quotas *s, struct gt_request *q, bool sent)
{
  unlink_request (s, q);
  zp_histogram_add (sent ? &s->sent_wait : &s->refused_wait,
                    zp_clock_mono () - q->quota_since);
}

/* Refuses the requests of X that have waited for too long.  */
static void
expire (struct gt_gate *g, struct gt_quota *x, zp_time now)
{
  for (struct gt_request *q = x->first, *next; q; q = next)
    {
      bool late = now >= q->deadline;
      next = q->quota_next;
      if (!late && now - q->quota_since < QU_WAIT_MAX)
        continue;
      end_wait (&g->quotas, q, false);
      qu_holder_cancel_wait (g->quotas.holder, x->workspace);
      if (late)
        gt_request_refuse (g, q, "deadline", false);
      else
        refuse_unknown (g, q, qu_retry_after (&g->rng));
    }
}

/* Decides again on the requests of X, in order of arrival.  */
static void
retry (struct gt_gate *g, struct gt_quota *x, zp_time now)
{
  struct gt_quotas *s = &g->quotas;
  struct gt_request *q;

  while ((q = x->first))
    {
      struct qu_decision d
          = qu_holder_retry (s->holder, x->workspace, now, &g->rng);
      if (d.kind == QU_WAIT)
        return;
      end_wait (s, q, d.kind == QU_SPEND);
      carry_out (g, q, &d);
    }
}

static void
retry_all (struct gt_gate *g, zp_time now)
{
  for (size_t i = 0; i < g->quotas.len && g->quotas.waiting > 0; i++)
    {
      retry (g, g->quotas.item[i], now);
      expire (g, g->quotas.item[i], now);
    }
}

/* Timer.  */

/* Sends an ask when one is due, and starts the timer for the next one.  */
static void
schedule (struct gt_gate *g, zp_time now)
{
  struct gt_quotas *s = &g->quotas;
  struct tk_quota_ask ask;

  if (s->len == 0)
    {
      ev_timer_stop (g->loop->ev, &s->timer);
      return;
    }
  if (qu_holder_make_ask (s->holder, now, &ask))
    {
      struct tk_msg *m = tk_msg_new (TK_QUOTA_ASK);
      m->u.quota_ask = ask;
      tk_send (g->roster, m);
    }
  zp_time due = qu_holder_next_due (s->holder, now);
  if (s->waiting > 0 && due > now + WAIT_PERIOD)
    due = now + WAIT_PERIOD;
  if (due < now + ZP_MS)
    due = now + ZP_MS;
  /* The holder's times move with every request; the timer is set again only
     for an earlier one.  */
  if (ev_is_active (&s->timer) && s->due <= due)
    return;
  ev_timer_stop (g->loop->ev, &s->timer);
  if (due == ZP_NEVER)
    return;
  s->due = due;
  ev_timer_set (&s->timer, (double) (due - now) / ZP_SEC, 0.0);
  ev_timer_start (g->loop->ev, &s->timer);
}

static void
on_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  struct gt_gate *g = w->data;
  struct gt_quotas *s = &g->quotas;
  zp_time now = zp_clock_mono ();

  (void) ev;
  (void) events;
  retry_all (g, now);
  schedule (g, now);
  log_changes (s, now);
  for (size_t i = 0; i < s->len; i++)
    log_refused (s->item[i], now);
}

/* Interface.  */

void
gt_quotas_init (struct gt_gate *g)
{
  ev_timer_init (&g->quotas.timer, on_timer, 0.0, 0.0);
  g->quotas.timer.data = g;
}

void
gt_quotas_free (struct gt_gate *g)
{
  struct gt_quotas *s = &g->quotas;

  ev_timer_stop (g->loop->ev, &s->timer);
  for (size_t i = 0; i < s->len; i++)
    {
      s->item[i]->first = NULL;
      quota_free (s->item[i]);
    }
  free (s->item);
  qu_holder_free (s->holder);
}

/* Replaces the list of limits by those of LIST, which are in the site.  */
static void
replace_items (struct gt_quotas *s, const struct si_site *site,
               const struct qu_limit *list, size_t n)
{
  struct gt_quota **item = zp_alloc ((n + 1) * sizeof (void *));
  size_t len = 0;

  for (size_t i = 0; i < site->workspaces && len < n; i++)
    {
      const struct si_workspace *w = &site->workspace[i];
      if (w->hash != list[len].workspace)
        continue;
      struct gt_quota *x = find_quota (s, w->hash);
      item[len++] = x ? x : quota_new (w);
    }
  qsort (item, len, sizeof (void *), compare_quotas);
  struct gt_quotas kept = { .item = item, .len = len };
  for (size_t i = 0; i < s->len; i++)
    if (!find_quota (&kept, s->item[i]->workspace))
      quota_free (s->item[i]);
  free (s->item);
  s->item = item;
  s->len = len;
}

void
gt_quotas_apply (struct gt_gate *g)
{
  struct gt_quotas *s = &g->quotas;
  const struct si_site *site = g->site;
  struct qu_limit *list = zp_alloc ((site->workspaces + 1) * sizeof *list);
  zp_time now = zp_clock_mono ();
  size_t n = 0;

  for (size_t i = 0; i < site->workspaces; i++)
    {
      const struct si_workspace *w = &site->workspace[i];
      if (w->rate_per_s > 0)
        list[n++] = (struct qu_limit){ .workspace = w->hash,
                                       .rate = w->rate_per_s,
                                       .burst = w->burst };
    }
  if (n > 0 && !s->holder)
    open_holder (g);
  if (s->holder)
    {
      qu_holder_set_limits (s->holder, list, n, now);
      /* Requests of a workspace that has no limit any more stop waiting.  */
      retry_all (g, now);
      replace_items (s, site, list, n);
      schedule (g, now);
    }
  free (list);
}

void
gt_quotas_admit (struct gt_gate *g, struct gt_request *q)
{
  struct gt_quotas *s = &g->quotas;
  zp_time now = zp_clock_mono ();

  if (!find_quota (s, q->workspace_hash))
    {
      gt_dispatch_admit (g, q);
      return;
    }
  struct qu_decision d
      = qu_holder_take (s->holder, q->workspace_hash, now, &g->rng);
  carry_out (g, q, &d);
  schedule (g, now);
}

void
gt_quotas_cancel (struct gt_gate *g, struct gt_request *q)
{
  uint64_t workspace = q->quota->workspace;

  unlink_request (&g->quotas, q);
  qu_holder_cancel_wait (g->quotas.holder, workspace);
}

void
gt_quotas_give_back (struct gt_gate *g, struct gt_request *q)
{
  struct gt_quotas *s = &g->quotas;

  if (!q->has_token)
    return;
  q->has_token = false;
  qu_holder_give_back (s->holder, q->workspace_hash, zp_clock_mono ());
}

void
gt_quotas_grant (struct gt_gate *g, const struct tk_quota_grant *grant)
{
  struct gt_quotas *s = &g->quotas;
  zp_time now = zp_clock_mono ();

  if (!s->holder)
    return;
  if (qu_holder_grant (s->holder, grant, now))
    retry_all (g, now);
  schedule (g, now);
  log_changes (s, now);
}

void
gt_quotas_refuse_all (struct gt_gate *g)
{
  struct gt_quotas *s = &g->quotas;

  for (size_t i = 0; i < s->len; i++)
    while (s->item[i]->first)
      {
        struct gt_request *q = s->item[i]->first;
        gt_quotas_cancel (g, q);
        gt_request_refuse (g, q, "stopping", true);
      }
}
