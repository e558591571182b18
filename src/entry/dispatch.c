#include <assert.h>
#include <stdlib.h>

#include "base/log.h"
#include "entry/request.h"
#include "steer/place.h"

#define PART "place"

/* Forwarding.  */

/* The first attempt of an idempotent request may use half of the remaining
   time, so that a connection without an answer leaves time for a retry.  */
static zp_time
attempt_deadline (const struct en_request *q, zp_time now)
{
  if (q->once || q->attempts > 1)
    return q->deadline;
  return now + (q->deadline - now) / 2;
}

static void
send_forward (struct en_router *r, struct en_request *q, const char *address)
{
  struct tk_msg *m = tk_msg_new (TK_FORWARD);
  struct tk_forward *f = &m->u.forward;
  const struct tk_http_request *h = &q->msg->u.request;

  f->id = q->id;
  zp_str_copy (f->address, sizeof f->address, zp_str_from (address));
  zp_buf_put (&f->method, zp_str_of (&h->method));
  tk_put_target (h, &f->target);
  zp_buf_put (&f->content_type, zp_str_of (&h->content_type));
  zp_buf_put (&f->headers, zp_str_of (&h->headers));
  if (q->once)
    zp_buf_printf (&f->headers, "Idempotency-Key: %.*s\n",
                   ZP_ARG (zp_str_of (&h->key)));
  if (q->workspace)
    zp_buf_put (&f->workspace, zp_str_from (q->workspace->name));
  zp_buf_put (&f->body, zp_str_of (&h->body));
  zp_buf_printf (&f->request_id, "%llu-%llx-%u", (unsigned long long) r->id,
                 (unsigned long long) q->id, q->attempts);
  f->deadline = attempt_deadline (q, q->started);
  f->fresh_connection = q->fresh;
  tk_send (r->forward, m);
}

/* Bytes of the request on a link, with an estimate for the headers.  */
static int64_t
request_bytes (const struct en_request *q)
{
  const struct tk_http_request *h = &q->msg->u.request;

  return EN_HEADER_BYTES
         + (int64_t) (h->path.len + h->query.len + h->headers.len
                      + h->body.len);
}

/* Forwards Q to the held server INDEX.  Returns false when a link share is
   used up, no slot is free there, or the claim of Q no longer allows it.  */
static bool
forward (struct en_router *r, struct en_request *q,
         const struct st_placement *p, size_t index, zp_time now)
{
  char address[ZP_ADDRESS_MAX];
  struct zp_str id = zp_str_from (r->holder.server[index].server);
  struct en_server *s = en_server_get (r, q->service, id);

  zp_str_copy (q->server, sizeof q->server, id);
  zp_str_copy (address, sizeof address,
               zp_str_from (r->holder.server[index].address));
  const struct st_member *owner = en_held_server_owner (r, index);
  struct zp_str region
      = owner ? zp_str_from (owner->region) : r->settings->region;
  if (!en_links_take (r, region, request_bytes (q), q->service->answer_bytes,
                      &q->link))
    return false;
  if (!en_capacity_take_slot (r, zp_str_from (q->server)))
    {
      en_links_correct (r, &q->link, 0, 0);
      return false;
    }
  if (q->once && !oc_attempt_begin_forward (q->attempt, now))
    {
      en_capacity_release_slot (r, zp_str_from (q->server));
      en_links_correct (r, &q->link, 0, 0);
      return false;
    }
  if (p->kind == ST_PLACED_PROBE)
    st_health_begin_probe (&s->health, now);
  zp_str_copy (q->region, sizeof q->region, region);
  q->server_hash = s->hash;
  q->started = now;
  /* An at-most-once request always gets a new connection.  If libcurl found a
     reused idle connection dead, the verdict would be may-have-run.  */
  q->fresh = q->once || st_health_wants_fresh (&s->health);
  q->run = st_poison_run_begin (r->poison, q->fingerprint, s->hash, now);
  if (q->attempts < EN_TRIED_MAX)
    q->tried[q->attempts] = s->hash;
  q->attempts++;
  q->phase = EN_RUNNING;
  s->running++;
  s->reserved = q->alone;
  q->service->running++;
  q->placement = *p;
  send_forward (r, q, address);
  return true;
}

/* Chooses a server for Q and forwards Q to it.  Returns false when it could
   not.  */
static bool
try_forward (struct en_router *r, struct en_request *q, zp_time now)
{
  size_t index = 0;
  struct st_placement p = en_dispatch_choose (r, q, &index, now);

  if (p.kind != ST_PLACED && p.kind != ST_PLACED_PROBE)
    return false;
  return forward (r, q, &p, index, now);
}

/* Whether a graceful shutdown leaves time to send Q to a server.  */
static bool
stop_allows (const struct en_router *r, const struct en_request *q,
             zp_time now)
{
  const struct st_stop_request s
      = { .now = now,
          .arrived = q->arrived,
          .deadline = q->deadline,
          .expected = st_queue_service_time (q->service->queue) };

  return st_stop_allows (&r->stop, &s);
}

/* Parked requests.  */

void
en_dispatch_park (struct en_service *s, struct en_request *q)
{
  struct en_request **at = &s->parked;

  while (*at)
    at = &(*at)->next_parked;
  *at = q;
  q->next_parked = NULL;
  q->phase = EN_PARKED;
  s->parked_len++;
}

void
en_dispatch_unpark (struct en_service *s, struct en_request *q)
{
  struct en_request **at = &s->parked;

  while (*at != q)
    {
      assert (*at);
      at = &(*at)->next_parked;
    }
  *at = q->next_parked;
  s->parked_len--;
  q->phase = EN_DETACHED;
}

/* Admission.  */

/* Slots that this daemon holds on the servers of S.  */
static unsigned
usable_slots (const struct en_router *r, const struct en_service *s,
              zp_time now)
{
  unsigned n = 0;

  for (size_t i = 0; i < r->holder.servers; i++)
    {
      struct zp_str id = zp_str_from (r->holder.server[i].server);
      if (zp_str_eq (zp_str_from (r->holder.server[i].service),
                     zp_str_from (s->name)))
        n += st_holder_slots (&r->holder, id, now);
    }
  return n;
}

static void
evict (struct en_router *r, uint64_t id)
{
  struct en_request *q = zp_slots_get (&r->requests, id);

  assert (q && q->phase == EN_QUEUED);
  q->phase = EN_DETACHED;
  en_request_refuse (r, q, 503, "queue-full", 1);
}

/* The priority of the workspace of Q, or else of its service.  */
static unsigned
queue_class (const struct en_request *q)
{
  if (q->workspace && q->workspace->priority.given)
    return q->workspace->priority.value;
  return q->service->settings ? q->service->settings->priority
                              : ST_QUEUE_CLASSES - 1;
}

static void
enqueue (struct en_router *r, struct en_request *q, zp_time now)
{
  struct en_service *s = q->service;
  struct st_queue_entry e
      = { .id = q->id, .class = queue_class (q), .deadline = q->deadline };
  struct st_push p
      = st_queue_push (s->queue, &e, usable_slots (r, s, now), now);

  switch (p.kind)
    {
    case ST_PUSH_ADDED:
      q->ref = p.u.added;
      q->phase = EN_QUEUED;
      return;
    case ST_PUSH_ADDED_EVICTED:
      q->ref = p.u.evicted.added;
      q->phase = EN_QUEUED;
      evict (r, p.u.evicted.evicted.id);
      return;
    case ST_PUSH_FULL:
      en_request_refuse (r, q, 503, "queue-full", 1);
      return;
    case ST_PUSH_TOO_LATE:
      en_request_refuse (r, q, 503, "no-capacity-in-time", 1);
      return;
    case ST_PUSH_EXPIRED:
      en_request_refuse (r, q, 504, "deadline", 0);
      return;
    }
}

/* Parks Q, which may run only at the server of its copies, or only alone.
   Refuses it at once when it is expected to miss its deadline.  The estimate
   assumes that the copies that arrived before it run first, as many at a time
   as run now.  Each takes the service time, or the time for which the running
   copies have waited for an answer if that is longer.  Two rounds are added:
   the copies that run now, and Q itself.  */
static void
park_or_refuse (struct en_router *r, struct en_request *q, zp_time now)
{
  zp_time one = st_queue_service_time (q->service->queue), ahead = 0;
  zp_time parallel = q->copies > 0 ? q->copies : 1;

  if (q->copies > 0 && now - q->copies_since > one)
    one = now - q->copies_since;
  for (const struct en_request *x = q->service->parked; x; x = x->next_parked)
    ahead += x->fingerprint.hi == q->fingerprint.hi
             && x->fingerprint.lo == q->fingerprint.lo
             && x->arrived < q->arrived;
  /* Without copies it waits for votes of other daemons.  That time is not
     estimated.  */
  if (q->copies == 0 || now + (ahead / parallel + 2) * one <= q->deadline)
    {
      en_dispatch_park (q->service, q);
      return;
    }
  en_request_refuse (r, q, 503, "no-capacity-in-time", 1);
}

/* Checks Q against the poison table and stores the restrictions in Q.  Returns
   false when Q was parked or refused.  */
static bool
admit_fingerprint (struct en_router *r, struct en_request *q, zp_time now)
{
  struct st_admit a = st_poison_admit (r->poison, q->fingerprint, now);

  q->copies = a.runs;
  q->copies_since = a.since;

  en_suspects_flush (r);
  q->only_server = 0;
  q->alone = false;
  switch (a.kind)
    {
    case ST_ADMIT_RUN:
      return true;
    case ST_ADMIT_SAME_SERVER:
      q->only_server = a.u.server;
      return true;
    case ST_ADMIT_ALONE:
      q->alone = true;
      return true;
    case ST_ADMIT_WAIT:
      park_or_refuse (r, q, now);
      return false;
    case ST_ADMIT_REFUSE:
      /* Earlier copies may have run before their server crashed.  */
      zp_count (zp_counter ("zp_poison_refused_total", ""), 1);
      q->verdict = ZP_MAY_HAVE_RUN;
      en_request_refuse (r, q, 503, "poison", 0);
      return false;
    }
  return true;
}

void
en_request_admit (struct en_router *r, struct en_request *q)
{
  struct en_service *s = q->service;
  zp_time now = zp_clock_mono ();

  if (now >= q->deadline)
    {
      en_request_refuse (r, q, 504, "deadline", 0);
      return;
    }
  if (!stop_allows (r, q, now))
    {
      en_request_refuse (r, q, 503, "stopping", 0);
      return;
    }
  if (!admit_fingerprint (r, q, now))
    return;
  bool own_condition = q->alone || q->only_server != 0;
  if (q->waits_for_home && !own_condition)
    {
      if (!try_forward (r, q, now))
        en_dispatch_park (s, q);
      return;
    }
  if ((own_condition || st_queue_len (s->queue) == 0)
      && try_forward (r, q, now))
    return;
  if (own_condition)
    park_or_refuse (r, q, now);
  else
    enqueue (r, q, now);
  /* Leases on servers that announce to this daemon are granted in this call,
     so the queue can be dispatched at once.  */
  en_capacity_step (r);
  en_dispatch (r, s);
}

void
en_dispatch_retry (struct en_router *r, struct en_request *q)
{
  q->retry = true;
  zp_count (q->service->retries, 1);
  en_request_admit (r, q);
}

/* Dispatch.  */

/* The first queued request whose deadline has not passed, or NULL.  Refuses
   the expired requests before it.  */
static struct en_request *
next_runnable (struct en_router *r, struct en_service *s, zp_time now)
{
  struct st_queue_entry e;

  while (st_queue_peek (s->queue, &e))
    {
      struct en_request *q = zp_slots_get (&r->requests, e.id);
      assert (q && q->phase == EN_QUEUED);
      if (now < q->deadline)
        return q;
      st_queue_cancel (s->queue, q->ref);
      q->phase = EN_DETACHED;
      en_request_refuse (r, q, 504, "deadline", 0);
    }
  return NULL;
}

/* Whether Q, which has no server now, would have one without the home regions
   of its workspace.  It must not hold up the requests behind it then.  */
static bool
lacks_home (struct en_router *r, const struct en_request *q, zp_time now)
{
  const struct en_request any = { .service = q->service };
  size_t index;

  if (!q->workspace || q->workspace->home.len == 0)
    return false;
  struct st_placement p = en_dispatch_choose (r, &any, &index, now);
  return p.kind == ST_PLACED || p.kind == ST_PLACED_PROBE;
}

/* Takes Q out of the queue and parks it until a slot in a home region is free.
   As many requests may wait so as may be queued.  */
static void
wait_for_home (struct en_router *r, struct en_request *q)
{
  struct en_service *s = q->service;

  st_queue_cancel (s->queue, q->ref);
  q->phase = EN_DETACHED;
  q->waits_for_home = true;
  if (s->settings && s->parked_len < s->settings->queue_max)
    en_dispatch_park (s, q);
  else
    en_request_refuse (r, q, 503, "queue-full", 1);
}

void
en_dispatch (struct en_router *r, struct en_service *s)
{
  zp_time now = zp_clock_mono ();
  struct en_request *q;
  size_t index;

  while ((q = next_runnable (r, s, now)))
    {
      struct st_placement p = en_dispatch_choose (r, q, &index, now);
      if (p.kind != ST_PLACED && p.kind != ST_PLACED_PROBE
          && p.kind != ST_PLACE_TRIED)
        {
          if (!lacks_home (r, q, now))
            return;
          wait_for_home (r, q);
          continue;
        }
      st_queue_cancel (s->queue, q->ref);
      q->phase = EN_DETACHED;
      if (p.kind == ST_PLACE_TRIED)
        {
          /* Wait for a slot on a server that it has not tried.  */
          en_dispatch_park (s, q);
          continue;
        }
      if (!stop_allows (r, q, now))
        {
          en_request_refuse (r, q, 503, "stopping", 0);
          continue;
        }
      /* The poison table may have changed while Q was queued.  */
      if (!admit_fingerprint (r, q, now))
        continue;
      if (q->alone || q->only_server != 0)
        park_or_refuse (r, q, now);
      else if (!forward (r, q, &p, index, now))
        {
          if (q->once)
            en_claims_process (r, q);
          else
            enqueue (r, q, now);
          return;
        }
    }
}

void
en_dispatch_refuse_waiting (struct en_router *r)
{
  struct en_request *q;
  uint32_t at = 0;

  while ((q = zp_slots_next (&r->requests, &at)))
    switch (q->phase)
      {
      case EN_QUEUED:
        st_queue_cancel (q->service->queue, q->ref);
        q->phase = EN_DETACHED;
        en_request_refuse (r, q, 503, "stopping", 0);
        break;
      case EN_PARKED:
        en_request_refuse (r, q, 503, "stopping", 0);
        break;
      case EN_CLAIMING:
      case EN_RUNNING:
      case EN_DETACHED:
        break;
      }
}

static void
admit_parked (struct en_router *r, struct en_service *s)
{
  size_t n = s->parked_len;

  while (n-- > 0 && s->parked)
    {
      struct en_request *q = s->parked;
      en_dispatch_unpark (s, q);
      en_request_admit (r, q);
    }
}

static void
refuse_expired (struct en_router *r, struct en_service *s, zp_time now)
{
  struct st_queue_entry e;

  while (st_queue_expire (s->queue, now, &e))
    {
      struct en_request *q = zp_slots_get (&r->requests, e.id);
      assert (q && q->phase == EN_QUEUED);
      q->phase = EN_DETACHED;
      en_request_refuse (r, q, 503, "no-capacity-in-time", 1);
    }
}

/* Reports servers whose announcements have stopped to the poison table, which
   counts the requests in flight there as lost with the server.  */
static void
detect_lost_servers (struct en_router *r, zp_time now)
{
  for (size_t i = 0; i < r->lessor.owner.servers; i++)
    {
      struct st_server *s = r->lessor.owner.server[i];
      struct en_server *x
          = en_server_find (r, zp_str_hash (zp_str_from (s->id), 0));
      if (x)
        x->announced = now;
    }
  for (size_t i = 0; i < r->servers.len; i++)
    {
      struct en_server *x = r->servers.item[i];
      if (x->announced != 0 && x->announced != now)
        {
          st_poison_server_lost (r->poison, x->hash, now);
          x->announced = 0;
        }
    }
}

/* Updates each queue with the mean age of the running requests.  */
static void
measure_running (struct en_router *r, zp_time now)
{
  struct en_request *q;
  uint32_t at = 0;

  for (size_t i = 0; i < r->services; i++)
    r->service[i]->running_age = 0;
  while ((q = zp_slots_next (&r->requests, &at)))
    if (q->phase == EN_RUNNING)
      q->service->running_age += now - q->started;
  for (size_t i = 0; i < r->services; i++)
    {
      struct en_service *s = r->service[i];
      st_queue_set_age (s->queue, s->running > 0
                                      ? s->running_age / (zp_time) s->running
                                      : 0);
    }
}

void
en_dispatch_tick (struct en_router *r)
{
  zp_time now = zp_clock_mono ();

  measure_running (r, now);
  detect_lost_servers (r, now);
  st_poison_tick (r->poison, now);
  en_suspects_flush (r);
  for (size_t i = 0; i < r->services; i++)
    {
      struct en_service *s = r->service[i];
      refuse_expired (r, s, now);
      admit_parked (r, s);
      en_dispatch (r, s);
    }
}

/* Cancels COUNT requests at SERVER because their lease has ended.  Cancels the
   most recently started ones, because the least work is lost with them.  */
void
en_dispatch_cancel (struct en_router *r, struct zp_str server, unsigned count)
{
  while (count-- > 0)
    {
      struct en_request *youngest = NULL, *q;
      uint32_t at = 0;
      while ((q = zp_slots_next (&r->requests, &at)))
        if (q->phase == EN_RUNNING && !q->lease_lost
            && zp_str_eq (zp_str_from (q->server), server)
            && (!youngest || q->started > youngest->started))
          youngest = q;
      if (!youngest)
        return;
      youngest->lease_lost = true;
      en_log_lease_lost (youngest);
      zp_count (zp_counter ("zp_lease_cancelled_total", ""), 1);
      struct tk_msg *m = tk_msg_new (TK_FORWARD_CANCEL);
      m->u.cancel.id = youngest->id;
      tk_send (r->forward, m);
    }
}
