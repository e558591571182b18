#include <assert.h>

#include "base/log.h"
#include "entry/answer.h"
#include "entry/request.h"
#include "once/codec.h"

#define PART "claims"

/* Messages to the members of a home.  */

static void
send_msg (struct en_router *r, uint64_t member, const struct oc_msg *m)
{
  struct zp_buf b = { .ptr = NULL };
  uint8_t kind = oc_encode (m, &b);

  en_send (r, member, kind, b);
}

/* Delivers a message to this daemon's own table of claims by a call, and the
   answer to the attempt.  */
static void
send_to_self (struct en_router *r, struct en_request *q,
              const struct oc_msg *m)
{
  struct oc_msg answer;
  zp_time now = zp_clock_mono ();

  oc_member_handle (r->claims, m, now, &answer);
  oc_attempt_receive (q->attempt, r->id, &answer, now);
  oc_msg_free (&answer);
}

/* Attempts of this daemon.  */

static void
answer_outcome (struct en_router *r, struct en_request *q,
                struct oc_outcome *o)
{
  struct tk_forward_done d = { .status = o->status,
                               .verdict = o->verdict,
                               .content_type = o->content_type,
                               .body = o->body };

  o->content_type = o->body = (struct zp_buf){ .ptr = NULL };
  en_request_send_answer (r, q, &d);
  zp_buf_free (&d.content_type);
  zp_buf_free (&d.body);
}

static void
send_refusal (struct en_router *r, struct en_request *q, enum zp_verdict v,
              const char *reason)
{
  if (v != ZP_NOT_RUN)
    en_request_send_refusal (r, q, 502, v, reason, 0);
  else if (q->limit_wait_s > 0)
    en_request_send_refusal (r, q, 429, v, reason, q->limit_wait_s);
  else
    en_request_send_refusal (r, q, 503, v, reason, 1);
}

static void
handle_action (struct en_router *r, struct en_request *q, struct oc_action *o)
{
  switch (o->kind)
    {
    case OC_SEND:
      if (o->u.send.member == r->id)
        send_to_self (r, q, &o->u.send.msg);
      else
        send_msg (r, o->u.send.member, &o->u.send.msg);
      return;
    case OC_FORWARD:
      en_request_admit (r, q);
      return;
    case OC_ANSWERED:
      answer_outcome (r, q, &o->u.answer);
      return;
    case OC_REFUSED:
      send_refusal (r, q, o->u.refusal.verdict, o->u.refusal.reason);
      return;
    }
}

/* Removes a request from the queue or the parked requests, because its claims
   have answered or refused it before it was forwarded.  */
static void
leave_queue (struct en_request *q)
{
  if (q->phase == EN_QUEUED)
    st_queue_cancel (q->service->queue, q->ref);
  else if (q->phase == EN_PARKED)
    en_dispatch_unpark (q->service, q);
  else
    return;
  q->phase = EN_DETACHED;
}

void
en_claims_process (struct en_router *r, struct en_request *q)
{
  struct oc_action *o;

  assert (q->once);
  if (q->processing)
    return;
  q->processing = true;
  while ((o = oc_attempt_next_action (q->attempt)))
    {
      if (o->kind == OC_ANSWERED || o->kind == OC_REFUSED)
        leave_queue (q);
      handle_action (r, q, o);
      oc_action_free (o);
    }
  q->processing = false;
  if (q->phase != EN_RUNNING && oc_attempt_finished (q->attempt))
    {
      leave_queue (q);
      en_request_free (r, q);
    }
}

void
en_claims_frame (struct en_router *r, const struct tk_peer_frame *f)
{
  struct oc_msg m, answer;
  struct zp_err err;
  zp_time now = zp_clock_mono ();

  if (!oc_decode (f->kind, zp_str_of (&f->payload), &m, &err))
    {
      zp_log (ZP_LOG_WARNING, PART,
              "dropped an invalid claim message of entry daemon %llu: %s",
              (unsigned long long) f->peer, err.text);
      zp_count (zp_counter ("zp_claims_bad_total", ""), 1);
      return;
    }
  if (m.kind == OC_ANSWER)
    {
      struct en_request *q = NULL;
      if (m.attempt.daemon == r->id && m.attempt.incarnation == r->incarnation)
        q = zp_slots_get (&r->requests, m.attempt.number);
      if (q && q->once)
        {
          oc_attempt_receive (q->attempt, f->peer, &m, now);
          en_claims_process (r, q);
        }
    }
  else
    {
      oc_member_handle (r->claims, &m, now, &answer);
      send_msg (r, f->peer, &answer);
      oc_msg_free (&answer);
    }
  oc_msg_free (&m);
}

void
en_claims_tick (struct en_router *r)
{
  zp_time now = zp_clock_mono ();
  struct en_request *q;
  uint32_t at = 0;

  oc_member_tick (r->claims, now);
  while ((q = zp_slots_next (&r->requests, &at)))
    if (q->once && oc_attempt_next_tick (q->attempt) <= now)
      {
        oc_attempt_tick (q->attempt, now);
        en_claims_process (r, q);
      }
}
