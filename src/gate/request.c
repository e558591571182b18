#include <assert.h>
#include <stdlib.h>

#include "gate/gate.h"
#include "site/split.h"
#include "steer/maxwait.h"

/* Requests in progress.  */

static struct gt_request *
find_by_front_id (struct gt_gate *g, uint64_t front_id)
{
  struct gt_request *q
      = zp_slots_get (&g->requests, zp_idmap_get (&g->by_front_id, front_id));

  return q && q->front_id == front_id ? q : NULL;
}

void
gt_request_free (struct gt_gate *g, struct gt_request *q)
{
  assert (q->phase == GT_UNASSIGNED);
  zp_slots_remove (&g->requests, q->id);
  gt_request_discard (q);
}

void
gt_request_discard (struct gt_request *q)
{
  tk_msg_free (q->msg);
  zp_buf_free (&q->workspace);
  zp_buf_free (&q->home_regions);
  free (q);
}

/* Answers.  */

/* The status of a refusal: 503 guarantees that the request has not run and
   will not; 502 and 504 guarantee nothing.  */
static unsigned
refusal_status (enum zp_verdict v, bool late)
{
  switch (v)
    {
    case ZP_NOT_RUN:
      return 503;
    case ZP_MAY_HAVE_RUN:
    case ZP_RAN:
      break;
    }
  return late ? 504 : 502;
}

static void
send_refusal (struct tk_task *to, uint64_t front_id, unsigned status,
              enum zp_verdict v, const char *reason, zp_time retry_after)
{
  struct tk_msg *m = tk_msg_new (TK_HTTP_ANSWER);
  struct tk_http_answer *a = &m->u.answer;

  a->id = front_id;
  a->status = status;
  a->has_verdict = true;
  a->verdict = v;
  a->retry_after_ms = (unsigned) (retry_after / ZP_MS);
  zp_buf_put (&a->content_type, ZP_STR ("application/json"));
  zp_buf_printf (&a->body, "{\"reason\":\"%s\",\"verdict\":\"%s\"}\n", reason,
                 zp_verdict_name (v));
  tk_send (to, m);
}

/* Answers the caller of Q, which has not left, with a refusal.  */
static void
answer_refusal (struct gt_gate *g, const struct gt_request *q, unsigned status,
                const char *reason, zp_time retry_after, zp_time now)
{
  zp_count (q->verdict == ZP_NOT_RUN ? q->service->refused_not_run
                                     : q->service->refused_may_have_run,
            1);
  st_egress_add (&g->egress, GT_HEADER_BYTES, now);
  send_refusal (q->msg->u.request.from, q->front_id, status, q->verdict,
                reason, retry_after);
}

void
gt_request_refuse (struct gt_gate *g, struct gt_request *q, const char *reason,
                   bool retry_later)
{
  zp_time now = zp_clock_mono (), retry_after = 0;

  q->phase = GT_UNASSIGNED;
  if (!q->answered)
    {
      if (q->verdict == ZP_NOT_RUN && retry_later)
        /* Another entry VM can take the request at once.  */
        retry_after
            = g->stop.begun
                  ? ST_RETRY_AFTER_MIN
                  : st_retry_after (st_queue_service_time (q->service->queue),
                                    q->deadline - now, &g->rng);
      gt_log_refusal (g, q, reason, retry_after, now);
      answer_refusal (g, q, refusal_status (q->verdict, now >= q->deadline),
                      reason, retry_after, now);
    }
  if (q->verdict == ZP_NOT_RUN)
    gt_quotas_give_back (g, q);
  gt_request_free (g, q);
}

/* 429 means, like 503, that the request has not run.  Requests over their limit
   have one line for many (quotas.c): their number is not limited.  */
void
gt_request_refuse_limit (struct gt_gate *g, struct gt_request *q,
                         enum qu_result why, zp_time retry_after)
{
  zp_time now = zp_clock_mono ();

  assert (q->phase == GT_UNASSIGNED && !q->answered && !q->has_token);
  switch (why)
    {
    case QU_EXHAUSTED:
      answer_refusal (g, q, 429, "over-limit", retry_after, now);
      break;
    case QU_UNKNOWN:
      gt_log_refusal (g, q, "limit-unknown", retry_after, now);
      answer_refusal (g, q, 503, "limit-unknown", retry_after, now);
      break;
    case QU_SPEND:
    case QU_WAIT:
      assert (!"a result that is no refusal");
    }
  gt_request_free (g, q);
}

void
gt_request_answer (struct gt_gate *g, struct gt_request *q,
                   struct tk_forward_done *d)
{
  q->phase = GT_UNASSIGNED;
  if (!q->answered)
    {
      zp_count (q->service->answered, 1);
      zp_histogram_add (&q->service->answer_time,
                        zp_clock_mono () - q->arrived);
      st_egress_add (&g->egress,
                     GT_HEADER_BYTES + d->headers.len + d->body.len,
                     zp_clock_mono ());
      struct tk_msg *m = tk_msg_new (TK_HTTP_ANSWER);
      struct tk_http_answer *a = &m->u.answer;
      a->id = q->front_id;
      a->status = d->status;
      a->has_verdict = true;
      a->verdict = d->verdict;
      a->content_type = d->content_type;
      a->headers = d->headers;
      a->body = d->body;
      d->content_type = d->headers = d->body = (struct zp_buf){ .ptr = NULL };
      tk_send (q->msg->u.request.from, m);
    }
  gt_request_free (g, q);
}

/* Arrival.  */

static const struct si_route *
find_route (const struct gt_gate *g, const struct tk_http_request *h)
{
  return si_site_route (g->site, zp_str_of (&h->host), zp_str_of (&h->path));
}

/* The service of the next request on route R.  */
static struct gt_service *
choose_service (struct gt_gate *g, const struct si_route *r)
{
  size_t at = si_split_choose (r, g->split_credit[r - g->site->route]);

  return gt_service_get (g, zp_str_of (&r->part[at].service));
}

static uint64_t
fingerprint_of (const struct tk_http_request *h)
{
  uint64_t f = zp_str_hash (zp_str_of (&h->method), 0);

  f = zp_str_hash (zp_str_of (&h->host), f);
  f = zp_str_hash (zp_str_of (&h->path), f);
  f = zp_str_hash (zp_str_of (&h->query), f);
  return zp_str_hash (zp_str_of (&h->body), f);
}

/* Whose request it is.  */
enum identity_kind
{
  IDENTITY_NONE, /* a workspace is not needed */
  IDENTITY_WORKSPACE,
  IDENTITY_REFUSED,
};

struct identity
{
  enum identity_kind kind;
  union
  {
    const struct si_workspace *workspace; /* IDENTITY_WORKSPACE */
    const char *reason;                   /* IDENTITY_REFUSED */
  } u;
};

/* Looks up the key of H, a request on route R.  */
static struct identity
identify (const struct gt_gate *g, const struct si_route *r,
          const struct tk_http_request *h)
{
  struct zp_str key = zp_str_of (&h->credential);

  if (!g->site->needs_key || r->is_public)
    return (struct identity){ .kind = IDENTITY_NONE };
  if (key.len == 0)
    return (struct identity){ .kind = IDENTITY_REFUSED, .u.reason = "no-key" };
  const struct si_workspace *w = si_site_workspace (g->site, key);
  if (!w)
    return (struct identity){ .kind = IDENTITY_REFUSED,
                              .u.reason = "unknown-key" };
  return (struct identity){ .kind = IDENTITY_WORKSPACE, .u.workspace = w };
}

/* Answers the request of M, whose key is missing or unknown, and frees M.  */
static void
refuse_key (struct gt_gate *g, struct tk_msg *m, const char *reason)
{
  const struct tk_http_request *h = &m->u.request;

  zp_count (zp_counter ("zp_key_refused_total", ""), 1);
  gt_log_no_key (g, h, reason);
  send_refusal (h->from, h->id, 401, ZP_NOT_RUN, reason, 0);
  tk_msg_free (m);
}

static unsigned
queue_class (unsigned priority)
{
  return priority < ST_QUEUE_CLASSES ? priority : ST_QUEUE_CLASSES - 1;
}

static bool
has_region (const struct zp_buf *list, size_t n, struct zp_str region)
{
  for (size_t i = 0; i < n; i++)
    if (zp_str_eq (zp_str_of (&list[i]), region))
      return true;
  return false;
}

/* Sets the regions that both the route R and the workspace W allow.  W can be
   NULL.  */
static void
set_home_regions (struct gt_request *q, const struct si_route *r,
                  const struct si_workspace *w)
{
  const struct zp_buf *list = r->home;
  size_t n = r->homes;

  if (n == 0 && w)
    {
      list = w->home;
      n = w->homes;
    }
  q->any_region = n == 0;
  for (size_t i = 0; i < n; i++)
    {
      struct zp_str region = zp_str_of (&list[i]);
      if (!w || w->homes == 0 || has_region (w->home, w->homes, region))
        zp_buf_printf (&q->home_regions, "%.*s\n", ZP_ARG (region));
    }
}

/* Fills Q with the properties of its workspace.  They are copied, because Q can
   outlive the site.  */
static void
apply_workspace (struct gt_request *q, const struct si_workspace *w)
{
  q->workspace = zp_buf_from (zp_str_of (&w->name));
  q->workspace_hash = w->hash;
  if (w->has_priority)
    q->priority = queue_class (w->priority);
}

/* Fills Q with the properties of its route.  */
static void
apply_route (struct gt_request *q, const struct si_route *r)
{
  const struct tk_http_request *h = &q->msg->u.request;
  struct zp_str key = zp_str_of (&h->affinity);

  q->fingerprint = fingerprint_of (h);
  q->idempotent = r->class == SI_IDEMPOTENT;
  q->priority = queue_class (r->priority);
  q->attempts_max = r->attempts > 0 ? r->attempts : 1;
  q->objective = r->objective;
  if (r->sticky && key.len > 0)
    q->affinity = zp_str_hash (key, 1);
  q->deadline
      = h->deadline > 0 ? h->deadline : q->arrived + ZP_DEADLINE_DEFAULT;
  if (r->timeout > 0 && q->arrived + r->timeout < q->deadline)
    q->deadline = q->arrived + r->timeout;
}

void
gt_request_start (struct gt_gate *g, struct tk_msg *m)
{
  struct tk_http_request *h = &m->u.request;
  const struct si_route *r;

  if (!g->site)
    {
      send_refusal (h->from, h->id, 503, ZP_NOT_RUN, "no-configuration",
                    ST_RETRY_AFTER_MAX);
      tk_msg_free (m);
      return;
    }
  if (!(r = find_route (g, h)))
    {
      zp_count (zp_counter ("zp_unknown_requests_total", ""), 1);
      gt_log_no_route (g, h);
      send_refusal (h->from, h->id, 404, ZP_NOT_RUN, "no-route", 0);
      tk_msg_free (m);
      return;
    }
  struct identity who = identify (g, r, h);
  zp_buf_wipe (&h->credential);
  if (who.kind == IDENTITY_REFUSED)
    {
      refuse_key (g, m, who.u.reason);
      return;
    }
  const struct si_workspace *w
      = who.kind == IDENTITY_WORKSPACE ? who.u.workspace : NULL;
  struct gt_request *q = zp_alloc (sizeof *q);
  q->msg = m;
  q->front_id = h->id;
  q->arrived = zp_clock_mono ();
  q->phase = GT_UNASSIGNED;
  q->verdict = ZP_NOT_RUN;
  q->service = choose_service (g, r);
  apply_route (q, r);
  set_home_regions (q, r, w);
  if (w)
    apply_workspace (q, w);
  q->id = zp_slots_put (&g->requests, q);
  zp_idmap_put (&g->by_front_id, q->front_id, q->id);
  zp_count (q->service->requests, 1);
  st_budget_first_try (&q->service->budget);
  gt_quotas_admit (g, q);
}

/* The answer is no longer needed, so the server should not spend a slot on the
   request.  */
void
gt_request_cancel (struct gt_gate *g, uint64_t front_id)
{
  struct gt_request *q = find_by_front_id (g, front_id);

  if (!q || q->answered)
    return;
  q->answered = true;
  switch (q->phase)
    {
    case GT_QUOTA:
      gt_quotas_cancel (g, q);
      gt_request_refuse (g, q, "caller-left", false);
      return;
    case GT_QUEUED:
      st_queue_cancel (q->service->queue, q->queue_ref);
      gt_request_refuse (g, q, "caller-left", false);
      return;
    case GT_RUNNING:
      {
        struct tk_msg *m = tk_msg_new (TK_FORWARD_CANCEL);
        m->u.cancel.id = q->id;
        tk_send (g->forward, m);
        return;
      }
    case GT_UNASSIGNED:
      return;
    }
}
