#include "base/log.h"
#include "entry/request.h"
#include "steer/place.h"

#define PART "request"

/* The request id that the caller sent; empty when it sent none.  */
static struct zp_str
request_id (const struct en_request *q)
{
  return zp_str_of (&q->msg->u.request.request_id);
}

static uint64_t
config_number (const struct en_router *r)
{
  return r->config ? r->config->number : 0;
}

void
en_log_refusal (const struct en_router *r, const struct en_request *q,
                enum zp_verdict verdict, const char *reason,
                unsigned retry_after_s)
{
  zp_time now = zp_clock_mono ();

  ZP_EVENT (
      ZP_LOG_INFO, PART, "a request is refused",
      ZP_F_TEXT (ZP_KEY_REQUEST, request_id (q)),
      ZP_F_TEXT (ZP_KEY_SERVICE, zp_str_from (q->service->name)),
      ZP_F_TEXT (ZP_KEY_WORKSPACE,
                 zp_str_from (q->workspace ? q->workspace->name : "")),
      ZP_F_INT (ZP_KEY_CONFIGURATION, config_number (r)),
      ZP_F_TEXT (ZP_KEY_REASON, zp_str_from (reason)),
      ZP_F_TEXT (ZP_KEY_VERDICT, zp_str_from (zp_verdict_name (verdict))),
      ZP_F_INT (ZP_KEY_HELD_MS, (now - q->arrived) / ZP_MS),
      ZP_F_INT (ZP_KEY_LEFT_MS, (q->deadline - now) / ZP_MS),
      ZP_F_INT (ZP_KEY_ATTEMPTS, q->attempts),
      ZP_F_INT (ZP_KEY_RETRY_AFTER_MS, 1000 * (int64_t) retry_after_s),
      ZP_F_INT (ZP_KEY_QUEUE, st_queue_len (q->service->queue)),
      ZP_F_TEXT (ZP_KEY_SERVER, zp_str_from (q->server)));
}

void
en_log_unclaimed (const struct en_router *r, const struct en_service *s,
                  const struct tk_http_request *h, const char *text,
                  const char *reason)
{
  ZP_EVENT (ZP_LOG_INFO, PART, text,
            ZP_F_TEXT (ZP_KEY_REQUEST, zp_str_of (&h->request_id)),
            ZP_F_TEXT (ZP_KEY_SERVICE, zp_str_from (s->name)),
            ZP_F_INT (ZP_KEY_CONFIGURATION, config_number (r)),
            ZP_F_TEXT (ZP_KEY_REASON, zp_str_from (reason)));
}

void
en_log_attempt (const struct en_router *r, const struct en_request *q,
                const struct tk_forward_done *d, enum st_attempt_end end,
                zp_time now)
{
  struct zp_buf choice = { .ptr = NULL };

  if (!zp_log_enabled (ZP_LOG_INFO)
      || (end == ST_END_ANSWER && d->body_end != TK_BODY_TO_CLOSE
          && !zp_log_sampled (request_id (q))))
    return;
  st_placement_text (&q->placement, &choice);
  ZP_EVENT (
      ZP_LOG_INFO, PART, "an attempt at a server has ended",
      ZP_F_TEXT (ZP_KEY_REQUEST, request_id (q)),
      ZP_F_TEXT (ZP_KEY_SERVICE, zp_str_from (q->service->name)),
      ZP_F_INT (ZP_KEY_CONFIGURATION, config_number (r)),
      ZP_F_TEXT (ZP_KEY_SERVER, zp_str_from (q->server)),
      ZP_F_INT (ZP_KEY_ATTEMPT, q->attempts),
      ZP_F_TEXT (ZP_KEY_END, zp_str_from (st_attempt_end_name (end))),
      ZP_F_INT (ZP_KEY_STATUS, d->status),
      ZP_F_TEXT (ZP_KEY_VERDICT, zp_str_from (zp_verdict_name (d->verdict))),
      ZP_F_INT (ZP_KEY_ELAPSED_MS, (now - q->started) / ZP_MS),
      ZP_F_INT (ZP_KEY_REUSED_CONNECTION, d->reused),
      ZP_F_TEXT (ZP_KEY_BODY_END, tk_body_end_name (d->body_end)),
      ZP_F_INT (ZP_KEY_RECEIVED, d->received),
      ZP_F_INT (ZP_KEY_HEAD_BYTES, d->head_bytes),
      ZP_F_TEXT (ZP_KEY_CHOICE, zp_str_of (&choice)));
  zp_buf_free (&choice);
}

void
en_log_health (const struct en_request *q, const char *text,
               enum st_attempt_end end, zp_time pause)
{
  ZP_EVENT (ZP_LOG_NOTICE, PART, text,
            ZP_F_TEXT (ZP_KEY_SERVER, zp_str_from (q->server)),
            ZP_F_TEXT (ZP_KEY_SERVICE, zp_str_from (q->service->name)),
            ZP_F_TEXT (ZP_KEY_END, zp_str_from (st_attempt_end_name (end))),
            ZP_F_INT (ZP_KEY_PAUSE_MS, pause / ZP_MS));
}

void
en_log_lease_lost (const struct en_request *q)
{
  ZP_EVENT (ZP_LOG_NOTICE, PART, "a request is cancelled: its lease has ended",
            ZP_F_TEXT (ZP_KEY_REQUEST, request_id (q)),
            ZP_F_TEXT (ZP_KEY_SERVICE, zp_str_from (q->service->name)),
            ZP_F_TEXT (ZP_KEY_SERVER, zp_str_from (q->server)));
}
