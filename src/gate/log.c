/* Log events about requests and the health of servers.  */

#include "base/log.h"
#include "gate/gate.h"

#define PART "request"

static struct zp_str
id_of (const struct gt_request *q)
{
  return zp_str_of (&q->msg->u.request.request_id);
}

static int64_t
to_ms (zp_time t)
{
  return t / ZP_MS;
}

void
gt_record_choice (const struct gt_gate *g, struct gt_request *q,
                  const struct gt_server *s, const struct st_balance_choice *c,
                  zp_time wait_max, zp_time now)
{
  q->choice = (struct gt_choice){
    .wait = c->wait,
    .finish = c->finish,
    .wait_max = wait_max,
    .rtt = s->rtt,
    .work = st_balance_work (&s->load, gt_server_load_mode (g), now),
    .slots = s->load.slots,
    .load_age = s->load.sampled > 0 ? now - s->load.sampled : -ZP_MS,
    .cold = gt_server_is_cold (s, now),
  };
  zp_str_copy (q->choice.server, sizeof q->choice.server,
               zp_str_from (s->report.id));
}

void
gt_log_attempt (const struct gt_gate *g, const struct gt_request *q,
                const struct tk_forward_done *d, enum st_attempt_end end)
{
  const struct gt_choice *c = &q->choice;

  /* Nothing in an answer that ends with its connection shows that it is whole,
     so each one is logged.  */
  if (end == ST_END_ANSWER && d->body_end != TK_BODY_TO_CLOSE
      && !zp_log_sampled (id_of (q)))
    return;
  ZP_EVENT (
      ZP_LOG_INFO, PART, "an attempt at a server has ended",
      ZP_F_TEXT (ZP_KEY_REQUEST, id_of (q)),
      ZP_F_TEXT (ZP_KEY_SERVICE, zp_str_from (q->service->name)),
      ZP_F_TEXT (ZP_KEY_WORKSPACE, zp_str_of (&q->workspace)),
      ZP_F_INT (ZP_KEY_CONFIGURATION, g->site ? g->site->number : 0),
      ZP_F_TEXT (ZP_KEY_SERVER, zp_str_from (c->server)),
      ZP_F_INT (ZP_KEY_ATTEMPT, q->attempts),
      ZP_F_TEXT (ZP_KEY_END, zp_str_from (st_attempt_end_name (end))),
      ZP_F_INT (ZP_KEY_STATUS, d->status),
      ZP_F_TEXT (ZP_KEY_VERDICT, zp_str_from (zp_verdict_name (d->verdict))),
      ZP_F_INT (ZP_KEY_ELAPSED_MS, to_ms (d->elapsed)),
      ZP_F_INT (ZP_KEY_REUSED_CONNECTION, d->reused),
      ZP_F_TEXT (ZP_KEY_BODY_END, tk_body_end_name (d->body_end)),
      ZP_F_INT (ZP_KEY_RECEIVED, d->received),
      ZP_F_INT (ZP_KEY_HEAD_BYTES, d->head_bytes),
      ZP_F_INT (ZP_KEY_EXPECTED_MS, to_ms (c->finish)),
      ZP_F_INT (ZP_KEY_EXPECTED_WAIT_MS, to_ms (c->wait)),
      ZP_F_INT (ZP_KEY_WAY_MS, to_ms (c->rtt)),
      ZP_F_INT (ZP_KEY_WORK, c->work), ZP_F_INT (ZP_KEY_SLOTS, c->slots),
      ZP_F_INT (ZP_KEY_LOAD_AGE_MS, to_ms (c->load_age)),
      ZP_F_INT (ZP_KEY_WARM, q->expect_cached),
      ZP_F_INT (ZP_KEY_COLD, c->cold));
}

void
gt_log_refusal (const struct gt_gate *g, const struct gt_request *q,
                const char *reason, zp_time retry_after, zp_time now)
{
  const struct gt_choice *c = &q->choice;

  ZP_EVENT (
      ZP_LOG_INFO, PART, "a request is refused",
      ZP_F_TEXT (ZP_KEY_REQUEST, id_of (q)),
      ZP_F_TEXT (ZP_KEY_SERVICE, zp_str_from (q->service->name)),
      ZP_F_TEXT (ZP_KEY_WORKSPACE, zp_str_of (&q->workspace)),
      ZP_F_INT (ZP_KEY_CONFIGURATION, g->site ? g->site->number : 0),
      ZP_F_TEXT (ZP_KEY_REASON, zp_str_from (reason)),
      ZP_F_TEXT (ZP_KEY_VERDICT, zp_str_from (zp_verdict_name (q->verdict))),
      ZP_F_INT (ZP_KEY_HELD_MS, to_ms (now - q->arrived)),
      ZP_F_INT (ZP_KEY_LEFT_MS, to_ms (q->deadline - now)),
      ZP_F_INT (ZP_KEY_ATTEMPTS, q->attempts),
      ZP_F_INT (ZP_KEY_RETRY_AFTER_MS, to_ms (retry_after)),
      ZP_F_INT (ZP_KEY_QUEUE, st_queue_len (q->service->queue)),
      ZP_F_TEXT (ZP_KEY_BEST_SERVER, zp_str_from (c->server)),
      ZP_F_INT (ZP_KEY_EXPECTED_WAIT_MS, to_ms (c->wait)),
      ZP_F_INT (ZP_KEY_PATIENCE_MS, to_ms (c->wait_max)),
      ZP_F_INT (ZP_KEY_WORK, c->work), ZP_F_INT (ZP_KEY_SLOTS, c->slots),
      ZP_F_INT (ZP_KEY_LOAD_AGE_MS, to_ms (c->load_age)));
}

void
gt_log_health (const struct gt_server *s, const char *text,
               enum st_attempt_end end, zp_time pause)
{
  ZP_EVENT (ZP_LOG_NOTICE, "server", text,
            ZP_F_TEXT (ZP_KEY_SERVER, zp_str_from (s->report.id)),
            ZP_F_TEXT (ZP_KEY_SERVICE, zp_str_from (s->service->name)),
            ZP_F_TEXT (ZP_KEY_END, zp_str_from (st_attempt_end_name (end))),
            ZP_F_INT (ZP_KEY_PAUSE_MS, to_ms (pause)));
}

void
gt_log_no_route (const struct gt_gate *g, const struct tk_http_request *h)
{
  ZP_EVENT (ZP_LOG_INFO, PART, "a request has no route",
            ZP_F_TEXT (ZP_KEY_REQUEST, zp_str_of (&h->request_id)),
            ZP_F_INT (ZP_KEY_CONFIGURATION, g->site->number),
            ZP_F_TEXT (ZP_KEY_HOST, zp_str_of (&h->host)),
            ZP_F_TEXT (ZP_KEY_PATH, zp_str_of (&h->path)));
}

void
gt_log_no_key (const struct gt_gate *g, const struct tk_http_request *h,
               const char *reason)
{
  ZP_EVENT (ZP_LOG_INFO, PART, "a request has no valid key",
            ZP_F_TEXT (ZP_KEY_REQUEST, zp_str_of (&h->request_id)),
            ZP_F_INT (ZP_KEY_CONFIGURATION, g->site->number),
            ZP_F_TEXT (ZP_KEY_HOST, zp_str_of (&h->host)),
            ZP_F_TEXT (ZP_KEY_PATH, zp_str_of (&h->path)),
            ZP_F_TEXT (ZP_KEY_REASON, zp_str_from (reason)));
}
