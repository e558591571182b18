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
  oc_attempt_free (q->attempt);
  tk_msg_free (q->msg);
  zp_slots_remove (&r->requests, q->id);
  free (q);
}

/* Answers.  */

void
en_request_refused (struct en_router *r, struct en_request *q, unsigned status,
                    enum zp_verdict verdict, const char *reason,
                    unsigned retry_after_s)
{
  if (q->answered)
    return;
  q->answered = true;
  zp_count (verdict == ZP_NOT_RUN ? q->service->refused : q->service->maybe,
            1);
  en_record_refusal (r, q, verdict, reason, retry_after_s);
  en_refuse (r->front, q->http, status, verdict, reason, retry_after_s);
}

void
en_request_answer (struct en_router *r, struct en_request *q,
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

/* An at-most-once request has to seal its key before it may say not-run.  */
void
en_request_refuse (struct en_router *r, struct en_request *q, unsigned status,
                   const char *reason, unsigned retry_after_s)
{
  assert (q->phase != EN_RUNNING);
  if (q->phase == EN_PARKED)
    en_dispatch_unpark (q->service, q);
  q->phase = EN_ENDING;
  if (q->once)
    {
      oc_attempt_refuse (q->attempt, zp_str_from (reason), zp_clock_mono ());
      en_claims_pump (r, q);
      return;
    }
  en_request_refused (r, q, status, q->furthest, reason, retry_after_s);
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

/* Reads the key of an at-most-once request and begins its attempt.  Returns
   NULL, or the reason of a refusal.  */
static const char *
begin_attempt (struct en_router *r, struct en_request *q, zp_time now)
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

static void
begin (struct en_router *r, struct en_service *s, struct tk_msg *m)
{
  struct en_request *q = zp_alloc (sizeof *q);
  struct tk_http_request *h = &m->u.request;
  zp_time now = zp_clock_mono ();

  q->msg = m;
  q->http = h->id;
  q->service = s;
  q->once = s->settings->class == TI_CLASS_ONCE;
  q->arrived = now;
  q->deadline = deadline_of (h, s->settings, now);
  q->furthest = ZP_NOT_RUN;
  q->phase = EN_CLAIMING;
  q->fingerprint
      = st_fingerprint (zp_str_from (s->name), zp_str_of (&h->method),
                        zp_str_of (&h->path), zp_str_of (&h->body));
  q->id = zp_slots_put (&r->requests, q);
  zp_idmap_put (&r->by_http, q->http, q->id);
  st_budget_first (&s->budget);
  if (!q->once)
    {
      en_request_admit (r, q);
      return;
    }
  const char *bad = begin_attempt (r, q, now);
  if (!bad)
    {
      en_claims_pump (r, q);
      return;
    }
  /* Without a key there is no other attempt that could run.  */
  en_request_refused (r, q, 400, ZP_NOT_RUN, bad, 0);
  q->phase = EN_ENDING;
  en_request_free (r, q);
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
      zp_count (s->requests, 1);
      begin (r, s, m);
      return;
    }
  zp_count (zp_counter ("zp_unknown_requests_total", ""), 1);
  /* A resend with a key may have run through another entry VM.  */
  enum zp_verdict v = h->key.len > 0 ? ZP_MAY_HAVE_RUN : ZP_NOT_RUN;
  if (r->plan)
    en_refuse (r->front, h->id, 404, v, "unknown-service", 0);
  else
    en_refuse (r->front, h->id, 503, v, "no-configuration", 1);
  tk_msg_free (m);
}

/* The caller has left.  An at-most-once request that is at a server goes on,
   so that its outcome is recorded and a resend gets the answer.  */
void
en_request_gone (struct en_router *r, uint64_t http)
{
  struct en_request *q = find_http (r, http);

  if (!q || q->answered)
    return;
  q->answered = true;
  switch (q->phase)
    {
    case EN_QUEUED:
      st_queue_cancel (q->service->queue, q->ref);
      q->phase = EN_ENDING;
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
    case EN_ENDING:
      return;
    }
}

/* Outcome of an attempt at a backend server.  */

static enum st_end
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

static enum st_run_end
run_end_of (const struct tk_forward_done *d)
{
  if (d->verdict == ZP_NOT_RUN)
    return ST_RUN_NOT_RUN;
  if (d->end == TK_END_ANSWER)
    return ST_RUN_ANSWERED;
  return d->end == TK_END_LOST ? ST_RUN_LOST : ST_RUN_OPEN;
}

static void
note_health (struct en_router *r, struct en_request *q, enum st_end end,
             zp_time now)
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
      en_record_health (q, "a server is ejected", end, e.until - now);
      zp_count (zp_counter ("zp_ejections_total", ""), 1);
      return;
    case ST_EVENT_RETURNED:
      en_record_health (q, "a server has returned", end, 0);
      return;
    case ST_EVENT_SHARE:
      en_record_health (q, "a server fails but stays: too many are ejected",
                        end, 0);
      return;
    case ST_EVENT_DOUBT:
    case ST_EVENT_NONE:
      return;
    }
}

/* An attempt without a whole answer is charged what was expected, because
   nobody knows how much was sent.  */
static void
correct_links (struct en_router *r, struct en_request *q,
               const struct tk_forward_done *d)
{
  int64_t there = d->verdict == ZP_NOT_RUN && d->end != TK_END_ANSWER
                      ? 0
                      : q->link.there;
  int64_t back = there == 0 ? 0 : q->link.back;

  if (d->end == TK_END_ANSWER)
    {
      back = EN_HEADER_BYTES + (int64_t) (d->headers.len + d->body.len);
      q->service->answer_bytes
          = st_link_estimate (q->service->answer_bytes, back);
    }
  en_links_correct (r, &q->link, there, back);
}

/* Everything that ends with an attempt, whatever follows.  */
static enum st_end
close_attempt (struct en_router *r, struct en_request *q,
               const struct tk_forward_done *d, zp_time now)
{
  enum st_end end = end_of (q, d, now);

  if (!q->lease_lost)
    en_capacity_give (r, zp_str_from (q->server));
  q->lease_lost = false;
  correct_links (r, q, d);
  q->service->running--;
  note_health (r, q, end, now);
  if (d->end == TK_END_ANSWER && d->verdict == ZP_RAN)
    st_queue_served (q->service->queue, d->elapsed);
  st_poison_done (r->poison, q->run, run_end_of (d), now);
  en_suspects_flush (r);
  if (q->retry)
    st_budget_retried (&q->service->budget, end);
  q->phase = EN_ENDING;
  en_record_attempt (r, q, d, end, now);
  return end;
}

static struct st_retry
decide (struct en_router *r, struct en_request *q,
        const struct tk_forward_done *d, enum st_end end, zp_time now)
{
  struct st_retry_request x = {
    .idempotent = !q->once,
    .poisoned
    = st_poison_admit (r->poison, q->fingerprint, now).kind == ST_ADMIT_REFUSE,
    .other_server = en_dispatch_other (r, q),
    .attempts = q->attempts,
    .has_answer = d->end == TK_END_ANSWER,
    .now = now,
    .deadline = q->deadline,
    .expected = st_queue_service_time (q->service->queue),
    .earlier = q->furthest,
  };

  return st_retry_decide (&x, end, d->verdict, &q->service->budget);
}

static unsigned
status_of (enum st_refuse_reason reason)
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
                   struct tk_forward_done *d, enum st_end end, zp_time now)
{
  struct st_retry x = decide (r, q, d, end, now);

  q->furthest = x.verdict;
  switch (x.kind)
    {
    case ST_RETRY_NOW:
      en_dispatch_retry (r, q);
      return;
    case ST_RETRY_ANSWER:
      en_request_answer (r, q, d);
      en_request_free (r, q);
      return;
    case ST_RETRY_REFUSE:
      en_request_refused (r, q, status_of (x.u.refuse), x.verdict,
                          st_refuse_name (x.u.refuse), 1);
      en_request_free (r, q);
      return;
    }
}

/* The claims hear of every outcome before anything else is done.  */
static void
finish_once (struct en_router *r, struct en_request *q,
             struct tk_forward_done *d, enum st_end end, zp_time now)
{
  struct oc_outcome o = { .verdict = d->verdict };
  bool retry = false;
  enum st_refuse_reason reason = ST_REFUSE_NO_SERVER;

  if (d->verdict == ZP_NOT_RUN)
    {
      struct st_retry x = decide (r, q, d, end, now);
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
  oc_attempt_done (q->attempt, &o, now);
  if (retry)
    en_dispatch_retry (r, q);
  else if (d->verdict == ZP_NOT_RUN)
    en_request_refuse (r, q, status_of (reason), st_refuse_name (reason), 1);
  else
    en_claims_pump (r, q);
}

void
en_request_done (struct en_router *r, struct tk_msg *m)
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
  enum st_end end = close_attempt (r, q, d, now);
  if (q->once)
    finish_once (r, q, d, end, now);
  else if (q->answered)
    en_request_free (r, q);
  else
    finish_idempotent (r, q, d, end, now);
  en_dispatch (r, s);
}
