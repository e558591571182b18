/* The lines that explain what became of a request.  */

#include "base/log.h"
#include "gate/gate.h"

#define PART "request"

/* Every request that is refused or fails has its lines.  Of the others, one in
   SAMPLE has them, chosen by its id, so that the volume is bounded under load.
 */
#define SAMPLE 32

static struct zp_str
id_of (const struct gt_request *q)
{
  return zp_str_of (&q->msg->u.request.request_id);
}

static bool
sampled (const struct gt_request *q)
{
  return zp_str_hash (id_of (q), 0) % SAMPLE == 0;
}

static int64_t
ms (zp_time t)
{
  return t / ZP_MS;
}

void
gt_record_choice (struct gt_request *q, const struct gt_server *s,
                  const struct st_pool_choice *c, zp_time patience,
                  zp_time now)
{
  q->choice = (struct gt_choice){
    .wait = c->wait,
    .finish = c->finish,
    .patience = patience,
    .way = s->domain_way,
    .work = st_pool_work (&s->load, now),
    .slots = s->load.slots,
    .load_age = s->load.sampled > 0 ? now - s->load.sampled : -ZP_MS,
    .cold = gt_server_is_cold (s, now),
  };
  zp_str_copy (q->choice.server, sizeof q->choice.server,
               zp_str_from (s->report.id));
}

void
gt_record_attempt (const struct gt_gate *g, const struct gt_request *q,
                   const struct tk_forward_done *d, enum st_end end)
{
  const struct gt_choice *c = &q->choice;

  if (end == ST_END_ANSWER && !sampled (q))
    return;
  ZP_EVENT (ZP_LOG_INFO, PART, "an attempt at a server has ended",
            ZP_F_TEXT ("request", id_of (q)),
            ZP_F_TEXT ("service", zp_str_from (q->service->name)),
            ZP_F_INT ("configuration", g->site ? g->site->number : 0),
            ZP_F_TEXT ("server", zp_str_from (c->server)),
            ZP_F_INT ("attempt", q->attempts),
            ZP_F_TEXT ("end", zp_str_from (st_end_name (end))),
            ZP_F_INT ("status", d->status),
            ZP_F_TEXT ("verdict", zp_str_from (zp_verdict_name (d->verdict))),
            ZP_F_INT ("elapsed_ms", ms (d->elapsed)),
            ZP_F_INT ("reused_connection", d->reused),
            ZP_F_INT ("expected_ms", ms (c->finish)),
            ZP_F_INT ("expected_wait_ms", ms (c->wait)),
            ZP_F_INT ("way_ms", ms (c->way)), ZP_F_INT ("work", c->work),
            ZP_F_INT ("slots", c->slots),
            ZP_F_INT ("load_age_ms", ms (c->load_age)),
            ZP_F_INT ("warm", q->warm), ZP_F_INT ("cold", c->cold));
}

void
gt_record_refusal (const struct gt_gate *g, const struct gt_request *q,
                   const char *reason, zp_time again, zp_time now)
{
  const struct gt_choice *c = &q->choice;

  ZP_EVENT (ZP_LOG_INFO, PART, "a request is refused",
            ZP_F_TEXT ("request", id_of (q)),
            ZP_F_TEXT ("service", zp_str_from (q->service->name)),
            ZP_F_INT ("configuration", g->site ? g->site->number : 0),
            ZP_F_TEXT ("reason", zp_str_from (reason)),
            ZP_F_TEXT ("verdict", zp_str_from (zp_verdict_name (q->furthest))),
            ZP_F_INT ("held_ms", ms (now - q->arrived)),
            ZP_F_INT ("left_ms", ms (q->deadline - now)),
            ZP_F_INT ("attempts", q->attempts),
            ZP_F_INT ("retry_after_ms", ms (again)),
            ZP_F_INT ("queue", st_queue_len (q->service->queue)),
            ZP_F_TEXT ("best_server", zp_str_from (c->server)),
            ZP_F_INT ("expected_wait_ms", ms (c->wait)),
            ZP_F_INT ("patience_ms", ms (c->patience)),
            ZP_F_INT ("work", c->work), ZP_F_INT ("slots", c->slots),
            ZP_F_INT ("load_age_ms", ms (c->load_age)));
}

void
gt_record_no_route (const struct gt_gate *g, const struct tk_http_request *h)
{
  ZP_EVENT (ZP_LOG_INFO, PART, "a request has no route",
            ZP_F_TEXT ("request", zp_str_of (&h->request_id)),
            ZP_F_INT ("configuration", g->site->number),
            ZP_F_TEXT ("host", zp_str_of (&h->host)),
            ZP_F_TEXT ("path", zp_str_of (&h->path)));
}
