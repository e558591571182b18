#include "entry/request.h"

#include <assert.h>
#include <stdlib.h>

#include "base/log.h"
#include "entry/answer.h"

#define PART "request"

/* Table.  */

static struct en_request *
find_http (struct en_router *r, uint64_t http)
{
  struct en_request *q
      = zp_slots_get (&r->requests, zp_idmap_get (&r->by_http, http));

  return q && q->http == http ? q : NULL;
}

void
en_request_free (struct en_router *r, struct en_request *q)
{
  assert (q->phase != EN_RUNNING && q->phase != EN_QUEUED);
  if (q->phase == EN_PARKED)
    en_dispatch_unpark (q->service, q);
  if (q->token && q->attempts == 0)
    en_workspace_give_back (q->workspace);
  oc_attempt_free (q->attempt);
  tk_msg_free (q->msg);
  zp_slots_remove (&r->requests, q->id);
  free (q);
}

/* Answers.  */

void
en_request_send_refusal (struct en_router *r, struct en_request *q,
                         unsigned status, enum zp_verdict verdict,
                         const char *reason, unsigned retry_after_s)
{
  if (q->answered)
    return;
  q->answered = true;
  zp_count (verdict == ZP_NOT_RUN ? q->service->refused
                                  : q->service->may_have_run,
            1);
  en_log_refusal (r, q, verdict, reason, retry_after_s);
  en_refuse (r->front, q->http, status, verdict, reason, retry_after_s);
}

void
en_request_send_answer (struct en_router *r, struct en_request *q,
                        struct tk_forward_done *d)
{
  if (q->answered)
    return;
  q->answered = true;
  zp_count (q->service->answered, 1);
  struct tk_msg *m = tk_msg_new (TK_HTTP_ANSWER);
  struct tk_http_answer *a = &m->u.answer;
  a->id = q->http;
  a->status = d->status;
  a->has_verdict = true;
  a->verdict = d->verdict;
  a->content_type = d->content_type;
  a->headers = d->headers;
  a->body = d->body;
  d->content_type = d->headers = d->body = (struct zp_buf){ .ptr = NULL };
  tk_send (r->front, m);
}

/* The key of an at-most-once request has to be sealed before the caller gets
   the verdict not-run.  */
void
en_request_refuse (struct en_router *r, struct en_request *q, unsigned status,
                   const char *reason, unsigned retry_after_s)
{
  assert (q->phase != EN_RUNNING);
  if (q->phase == EN_PARKED)
    en_dispatch_unpark (q->service, q);
  q->phase = EN_DETACHED;
  if (q->once)
    {
      oc_attempt_refuse (q->attempt, zp_str_from (reason), zp_clock_mono ());
      en_claims_process (r, q);
      return;
    }
  en_request_send_refusal (r, q, status, q->verdict, reason, retry_after_s);
  en_request_free (r, q);
}

/* Arrival.  */

static zp_time
deadline_of (const struct tk_http_request *h, const struct ti_service *s,
             zp_time now)
{
  if (h->deadline > 0)
    return h->deadline;
  return now
         + (s->deadline_ms > 0 ? (zp_time) s->deadline_ms * ZP_MS
                               : ZP_DEADLINE_DEFAULT);
}

/* Parses the key of an at-most-once request and starts claiming it.  Returns
   NULL, or the reason to refuse the request.  */
static const char *
start_attempt (struct en_router *r, struct en_request *q, zp_time now)
{
  struct zp_str key = zp_str_of (&q->msg->u.request.key);
  struct oc_attempt_id id
      = { .daemon = r->id, .incarnation = r->incarnation, .number = q->id };
  struct oc_home home;
  struct zp_err err;

  if (key.len == 0)
    return "key-required";
  if (!oc_key_parse (key, &home, &err))
    return "bad-key";
  q->attempt = oc_attempt_new (id, key, &home, now, q->deadline);
  return NULL;
}

/* Takes a token of the limit of the workspace of Q.  Refuses Q and returns
   false when there is none.  */
static bool
take_token (struct en_router *r, struct en_request *q, zp_time now)
{
  if (!q->workspace)
    return true;
  q->token = en_workspace_take (q->workspace, now, &q->limit_wait_s);
  if (q->token)
    return true;
  en_request_refuse (r, q, 429, "workspace-limit", q->limit_wait_s);
  return false;
}

/* W: the workspace of the request; NULL: none is needed.  */
static void
start (struct en_router *r, struct en_service *s, struct en_workspace *w,
       struct tk_msg *m)
{
  struct en_request *q = zp_alloc (sizeof *q);
  struct tk_http_request *h = &m->u.request;
  zp_time now = zp_clock_mono ();

  q->msg = m;
  q->http = h->id;
  q->service = s;
  q->workspace = w;
  q->once = s->settings->class == TI_CLASS_ONCE;
  q->arrived = now;
  q->deadline = deadline_of (h, s->settings, now);
  q->verdict = ZP_NOT_RUN;
  q->phase = EN_CLAIMING;
  q->fingerprint
      = st_fingerprint (zp_str_from (s->name), zp_str_of (&h->method),
                        zp_str_of (&h->path), zp_str_of (&h->body));
  q->id = zp_slots_put (&r->requests, q);
  zp_idmap_put (&r->by_http, q->http, q->id);
  st_budget_first_try (&s->budget);
  if (!q->once)
    {
      if (take_token (r, q, now))
        en_request_admit (r, q);
      return;
    }
  const char *bad = start_attempt (r, q, now);
  if (!bad)
    {
      if (take_token (r, q, now))
        en_claims_process (r, q);
      return;
    }
  /* Without a valid key no other daemon can have run the request.  */
  en_request_send_refusal (r, q, 400, ZP_NOT_RUN, bad, 0);
  q->phase = EN_DETACHED;
  en_request_free (r, q);
}

/* Why a request is refused before it is claimed.  */
struct refusal
{
  unsigned status;
  const char *reason; /* NULL: not refused */
};

/* Looks up the workspace of H, a request for S.  Sets W to NULL when none is
   needed.  */
static struct refusal
identify (const struct en_router *r, const struct en_service *s,
          const struct tk_http_request *h, struct en_workspace **w)
{
  struct zp_str key = zp_str_of (&h->credential);

  *w = NULL;
  if (!r->workspaces.needs_key || s->settings->public)
    return (struct refusal){ .reason = NULL };
  if (key.len == 0)
    return (struct refusal){ .status = 401, .reason = "no-key" };
  *w = en_workspaces_find (&r->workspaces, key);
  if (!*w)
    return (struct refusal){ .status = 401, .reason = "unknown-key" };
  /* Leases are requested for all requests of a service together, from owners
     nearby first, so this daemon has no slots of regions far away for one
     workspace.  */
  if (!en_workspace_allows (*w, r->settings->region))
    return (struct refusal){ .status = 503, .reason = "home-region" };
  return (struct refusal){ .reason = NULL };
}

/* Refuses the request of M without a claim, and frees M.  */
static void
refuse_unclaimed (struct en_router *r, struct en_service *s, struct tk_msg *m,
                  struct refusal why)
{
  const struct tk_http_request *h = &m->u.request;
  /* An earlier send of the same key may have run through another entry VM.  */
  enum zp_verdict v = h->key.len > 0 ? ZP_MAY_HAVE_RUN : ZP_NOT_RUN;

  zp_count (v == ZP_NOT_RUN ? s->refused : s->may_have_run, 1);
  if (why.status == 401)
    {
      zp_count (zp_counter ("zp_key_refused_total", ""), 1);
      en_log_unclaimed (r, s, h, "a request has no valid key", why.reason);
    }
  else
    en_log_unclaimed (r, s, h, "a request is refused", why.reason);
  en_refuse (r->front, h->id, why.status, v, why.reason, 0);
  tk_msg_free (m);
}

void
en_request_start (struct en_router *r, struct tk_msg *m)
{
  struct tk_http_request *h = &m->u.request;
  struct zp_str path = zp_str_of (&h->path);
  struct zp_str name, rest;

  if (path.len > 0 && path.ptr[0] == '/')
    path = (struct zp_str){ .ptr = path.ptr + 1, .len = path.len - 1 };
  zp_str_split (path, '/', &name, &rest);
  struct en_service *s = r->plan ? en_service_find (r, name) : NULL;
  if (s && s->settings)
    {
      struct en_workspace *w;
      struct refusal why = identify (r, s, h, &w);
      zp_buf_wipe (&h->credential);
      zp_count (s->requests, 1);
      if (why.reason)
        refuse_unclaimed (r, s, m, why);
      else
        start (r, s, w, m);
      return;
    }
  zp_count (zp_counter ("zp_unknown_requests_total", ""), 1);
  /* An earlier send of the same key may have run through another entry VM.  */
  enum zp_verdict v = h->key.len > 0 ? ZP_MAY_HAVE_RUN : ZP_NOT_RUN;
  if (r->plan)
    en_refuse (r->front, h->id, 404, v, "unknown-service", 0);
  else
    en_refuse (r->front, h->id, 503, v, "no-configuration", 1);
  tk_msg_free (m);
}

/* The caller has closed its connection.  An at-most-once request that runs at
   a server is not cancelled, so that its outcome is recorded and a resend gets
   the answer.  */
void
en_request_caller_left (struct en_router *r, uint64_t http)
{
  struct en_request *q = find_http (r, http);

  if (!q || q->answered)
    return;
  q->answered = true;
  switch (q->phase)
    {
    case EN_QUEUED:
      st_queue_cancel (q->service->queue, q->ref);
      q->phase = EN_DETACHED;
      en_request_refuse (r, q, 0, "caller-left", 0);
      return;
    case EN_CLAIMING:
    case EN_PARKED:
      en_request_refuse (r, q, 0, "caller-left", 0);
      return;
    case EN_RUNNING:
      if (!q->once)
        {
          struct tk_msg *m = tk_msg_new (TK_FORWARD_CANCEL);
          m->u.cancel.id = q->id;
          tk_send (r->forward, m);
        }
      return;
    case EN_DETACHED:
      return;
    }
}

/* Outcome of an attempt at a backend server.  */

/* How the attempt ended, for health and retry decisions.  */
static enum st_attempt_end
end_of (const struct en_request *q, const struct tk_forward_done *d,
        zp_time now)
{
  switch (d->end)
    {
    case TK_END_ANSWER:
      if (d->verdict == ZP_NOT_RUN)
        return ST_END_SHED;
      if (now > q->deadline)
        return ST_END_LATE;
      return d->status >= 500 ? ST_END_STATUS : ST_END_ANSWER;
    case TK_END_NO_CONNECT:
      return ST_END_REFUSED;
    case TK_END_LOST:
      return ST_END_LOST;
    case TK_END_TIMEOUT:
      return ST_END_TIMEOUT;
    case TK_END_CANCELLED:
      return ST_END_CANCELLED;
    }
  return ST_END_LOST;
}

/* How the attempt ended, for the poison table.  */
static enum st_run_end
run_end_of (const struct tk_forward_done *d)
{
  if (d->verdict == ZP_NOT_RUN)
    return ST_RUN_NOT_RUN;
  if (d->end == TK_END_ANSWER || d->unproved)
    return ST_RUN_ANSWERED;
  return d->end == TK_END_LOST ? ST_RUN_LOST : ST_RUN_UNKNOWN;
}

static void
update_health (struct en_router *r, struct en_request *q,
               enum st_attempt_end end, zp_time now)
{
  struct en_server *s = en_server_find (r, q->server_hash);
  struct st_outcome o
      = { .end = end, .started = q->started, .fresh = q->fresh };

  if (!s)
    return;
  s->running--;
  s->reserved = false;
  struct st_health_event e
      = st_health_outcome (&s->health, &q->service->group, &o, now, &r->rng);
  switch (e.kind)
    {
    case ST_EVENT_EJECTED:
      en_log_health (q, "a server is ejected", end, e.until - now);
      zp_count (zp_counter ("zp_ejections_total", ""), 1);
      return;
    case ST_EVENT_RETURNED:
      en_log_health (q, "a server is no longer ejected", end, 0);
      return;
    case ST_EVENT_CAPPED:
      en_log_health (q,
                     "a failing server is not ejected: the limit of ejected "
                     "servers is reached",
                     end, 0);
      return;
    case ST_EVENT_SUSPECTED:
    case ST_EVENT_NONE:
      return;
    }
}

/* Corrects the bytes taken on the links.  An attempt without a complete answer
   is charged the expected bytes, because the number of bytes sent is not
   known.  One that ended with not-run and no answer did not reach a
   server and is charged nothing.  */
static void
correct_links (struct en_router *r, struct en_request *q,
               const struct tk_forward_done *d)
{
  int64_t request_bytes = d->verdict == ZP_NOT_RUN && d->end != TK_END_ANSWER
                              ? 0
                              : q->link.request_bytes;
  int64_t answer_bytes = request_bytes == 0 ? 0 : q->link.answer_bytes;

  if (d->end == TK_END_ANSWER)
    {
      answer_bytes
          = EN_HEADER_BYTES + (int64_t) (d->headers.len + d->body.len);
      q->service->answer_bytes
          = st_link_estimate (q->service->answer_bytes, answer_bytes);
    }
  en_links_correct (r, &q->link, request_bytes, answer_bytes);
}

/* Releases what the attempt held, updates health, poison table and retry
   budget, and logs the attempt.  */
static enum st_attempt_end
close_attempt (struct en_router *r, struct en_request *q,
               const struct tk_forward_done *d, zp_time now)
{
  enum st_attempt_end end = end_of (q, d, now);

  if (!q->lease_lost)
    en_capacity_release_slot (r, zp_str_from (q->server));
  q->lease_lost = false;
  correct_links (r, q, d);
  q->service->running--;
  update_health (r, q, end, now);
  if (d->end == TK_END_ANSWER && d->verdict == ZP_RAN)
    st_queue_served (q->service->queue, d->elapsed);
  st_poison_run_end (r->poison, q->run, run_end_of (d), now);
  en_suspects_flush (r);
  if (q->retry)
    st_budget_retry_ended (&q->service->budget, end);
  q->phase = EN_DETACHED;
  en_log_attempt (r, q, d, end, now);
  return end;
}

static struct st_retry
decide_retry (struct en_router *r, struct en_request *q,
              const struct tk_forward_done *d, enum st_attempt_end end,
              zp_time now)
{
  struct st_retry_request x = {
    .idempotent = !q->once,
    .poisoned
    = st_poison_admit (r->poison, q->fingerprint, now).kind == ST_ADMIT_REFUSE,
    .other_server = en_dispatch_has_other (r, q),
    .attempts = q->attempts,
    .has_answer = d->end == TK_END_ANSWER,
    .now = now,
    .deadline = q->deadline,
    .expected = st_queue_service_time (q->service->queue),
    .earlier = q->verdict,
  };

  return st_retry_decide (&x, end, d->verdict, &q->service->budget);
}

static unsigned
http_status (enum st_refuse_reason reason)
{
  switch (reason)
    {
    case ST_REFUSE_DEADLINE:
      return 504;
    case ST_REFUSE_MAY_HAVE_RUN:
    case ST_REFUSE_ATTEMPTS:
      return 502;
    case ST_REFUSE_CANCELLED:
    case ST_REFUSE_POISON:
    case ST_REFUSE_NO_SERVER:
    case ST_REFUSE_BUDGET:
      return 503;
    }
  return 503;
}

static void
finish_idempotent (struct en_router *r, struct en_request *q,
                   struct tk_forward_done *d, enum st_attempt_end end,
                   zp_time now)
{
  struct st_retry x = decide_retry (r, q, d, end, now);

  q->verdict = x.verdict;
  switch (x.kind)
    {
    case ST_RETRY_NOW:
      en_dispatch_retry (r, q);
      return;
    case ST_RETRY_ANSWER:
      en_request_send_answer (r, q, d);
      en_request_free (r, q);
      return;
    case ST_RETRY_REFUSE:
      en_request_send_refusal (r, q, http_status (x.u.refuse), x.verdict,
                               st_refuse_name (x.u.refuse), 1);
      en_request_free (r, q);
      return;
    }
}

/* Reports the outcome to the claims before the request is retried, refused or
   answered.  */
static void
finish_once (struct en_router *r, struct en_request *q,
             struct tk_forward_done *d, enum st_attempt_end end, zp_time now)
{
  struct oc_outcome o = { .verdict = d->verdict };
  bool retry = false;
  enum st_refuse_reason reason = ST_REFUSE_NO_SERVER;

  if (d->verdict == ZP_NOT_RUN)
    {
      struct st_retry x = decide_retry (r, q, d, end, now);
      retry = x.kind == ST_RETRY_NOW;
      if (x.kind == ST_RETRY_REFUSE)
        reason = x.u.refuse;
    }
  else if (d->end == TK_END_ANSWER)
    {
      o.whole = true;
      o.status = d->status;
      o.content_type = d->content_type;
      o.body = d->body;
      d->content_type = d->body = (struct zp_buf){ .ptr = NULL };
    }
  oc_attempt_end_forward (q->attempt, &o, now);
  if (retry)
    en_dispatch_retry (r, q);
  else if (d->verdict == ZP_NOT_RUN)
    en_request_refuse (r, q, http_status (reason), st_refuse_name (reason), 1);
  else
    en_claims_process (r, q);
}

void
en_request_attempt_done (struct en_router *r, struct tk_msg *m)
{
  struct tk_forward_done *d = &m->u.done;
  struct en_request *q = zp_slots_get (&r->requests, d->id);
  zp_time now = zp_clock_mono ();

  if (!q || q->phase != EN_RUNNING)
    {
      assert (!q);
      return;
    }
  struct en_service *s = q->service;
  enum st_attempt_end end = close_attempt (r, q, d, now);
  if (q->once)
    finish_once (r, q, d, end, now);
  else if (q->answered)
    en_request_free (r, q);
  else
    finish_idempotent (r, q, d, end, now);
  en_dispatch (r, s);
}
