#include "load/run.h"

#include <assert.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdlib.h>

#include "base/log.h"
#include "base/pattern.h"
#include "forward/client.h"
#include "front/header.h"
#include "load/lookup.h"

#define PART "load"
#define LOOKUP_BIT ((uint64_t) 1 << 63) /* set in the ids of look-ups */
#define LOOKUP_TIMEOUT (500 * ZP_MS)
#define LOOKUP_RETRY 0.02 /* seconds from a failed look-up to the next */
#define OPEN_MAX 8000     /* most requests in progress */

enum state
{
  NEEDS_LOOKUP, /* waits for a look-up, at most until the deadline */
  DELAYED,      /* waits to be sent again */
  SENT,
  CANCELLED, /* timed out; waits for its TK_FORWARD_DONE */
};

/* A request in progress.  */
struct open_request
{
  struct open_request *next, *prev;
  struct lo_run *run;
  size_t index; /* in the plan */
  enum state state;
  ev_timer timer;
  uint64_t id;        /* of the last send */
  struct zp_buf home; /* once_home in the key in use; empty: no key yet */
};

/* The callers of one address and service.  */
struct group
{
  struct lo_run *run;
  struct lo_lookup lookup;
  ev_timer retry;
};

struct lo_run
{
  struct tk_loop *loop;
  struct tk_task task;
  struct fw_client *client;
  struct lo_results *results;
  zp_time start;
  size_t next; /* index of the request that arrives next */
  ev_timer arrivals;
  struct open_request open; /* list head */
  size_t open_count;
  struct group group[LO_SERVICES_MAX * LO_CALLERS_MAX];
};

static zp_time
elapsed (const struct lo_run *r)
{
  return zp_clock_mono () - r->start;
}

static struct lo_request *
request_of (const struct open_request *x)
{
  return &x->run->results->plan.request[x->index];
}

static const struct lo_service *
service_of (const struct open_request *x)
{
  return &x->run->results->settings->service[request_of (x)->service];
}

static struct group *
group_of (const struct open_request *x)
{
  const struct lo_request *q = request_of (x);

  return &x->run->group[q->service * LO_CALLERS_MAX + q->caller];
}

static void
set_timer (struct open_request *x, enum state state, zp_time after)
{
  x->state = state;
  ev_timer_stop (x->run->loop->ev, &x->timer);
  ev_timer_set (&x->timer, (double) after / 1e6, 0.0);
  ev_timer_start (x->run->loop->ev, &x->timer);
}

/* Look-ups.  */

static void
send_lookup (struct group *g)
{
  struct lo_run *r = g->run;
  const struct lo_settings *s = r->results->settings;
  size_t n = (size_t) (g - r->group);
  struct tk_msg *m = tk_msg_new (TK_FORWARD);
  struct tk_forward *f = &m->u.forward;

  g->lookup.pending = true;
  f->id = LOOKUP_BIT | n;
  zp_str_copy (f->address, sizeof f->address,
               s->entries.item[(n + g->lookup.failures) % s->entries.len]);
  zp_buf_put (&f->method, ZP_STR ("GET"));
  zp_buf_printf (&f->target, "/v1/lookup?service=%s&caller=%.*s",
                 s->service[n / LO_CALLERS_MAX].name,
                 ZP_ARG (s->callers.item[n % LO_CALLERS_MAX]));
  zp_buf_printf (&f->request_id, "%s-lookup-%zu", r->results->run_id, n);
  f->deadline = zp_clock_mono () + LOOKUP_TIMEOUT;
  tk_send (fw_client_task (r->client), m);
}

static void
on_retry (struct ev_loop *ev, ev_timer *w, int events)
{
  (void) ev, (void) events;
  send_lookup (w->data);
}

static void send_request (struct open_request *x);

/* Sends the requests that wait for this look-up.  When it failed and requests
   wait for it, starts another one at the next entry VM.  */
static void
handle_lookup_done (struct lo_run *r, struct tk_forward_done *d)
{
  struct group *g = &r->group[d->id & ~LOOKUP_BIT];
  bool needed = false;

  if (d->end == TK_END_ANSWER && d->status == 200
      && lo_lookup_parse (&g->lookup, zp_str_of (&d->body), elapsed (r)))
    {
      g->lookup.pending = false;
      for (struct open_request *x = r->open.next, *next; x != &r->open;
           x = next)
        {
          next = x->next;
          if (x->state == NEEDS_LOOKUP && group_of (x) == g)
            send_request (x);
        }
      return;
    }
  g->lookup.failures++;
  for (struct open_request *x = r->open.next; x != &r->open; x = x->next)
    needed |= x->state == NEEDS_LOOKUP && group_of (x) == g;
  g->lookup.pending = needed;
  if (needed)
    {
      ev_timer_set (&g->retry, LOOKUP_RETRY, 0.0);
      ev_timer_start (r->loop->ev, &g->retry);
    }
}

/* Sends.  */

static void
send_request (struct open_request *x)
{
  struct lo_run *r = x->run;
  struct lo_request *q = request_of (x);
  const struct lo_service *s = service_of (x);
  struct lo_lookup *l = &group_of (x)->lookup;
  zp_time now = elapsed (r);
  zp_time left = q->at + s->deadline_ms * ZP_MS - now;

  if (l->valid_until <= now)
    {
      set_timer (x, NEEDS_LOOKUP, left);
      if (!l->pending)
        send_lookup (group_of (x));
      return;
    }
  struct tk_msg *m = tk_msg_new (TK_FORWARD);
  struct tk_forward *f = &m->u.forward;
  if (x->home.len == 0)
    zp_buf_put (&x->home, zp_str_of (&l->once_home));
  q->sends++;
  x->id = (uint64_t) x->index << 8 | q->sends;
  f->id = x->id;
  f->deadline = r->start + q->at + s->deadline_ms * ZP_MS;
  zp_str_copy (f->address, sizeof f->address,
               zp_str_from (l->entry[q->failovers % l->entries]));
  lo_request_body (r->results, x->index, &f->body);
  zp_buf_put (&f->method,
              f->body.len > 0 || s->once ? ZP_STR ("POST") : ZP_STR ("GET"));
  if (s->crash_ms > 0) /* the servers see one and the same request */
    zp_buf_printf (&f->target, "/%s/crash", s->name);
  else
    zp_buf_printf (&f->target, "/%s/%zu", s->name, x->index);
  zp_buf_printf (&f->request_id, "%s-%zu-%u", r->results->run_id, x->index,
                 q->key);
  zp_buf_printf (&f->headers, "X-Request-Key: %s\n", f->request_id.ptr);
  if (s->once)
    zp_buf_printf (&f->headers, "Idempotency-Key: %s.%s\n",
                   x->home.ptr ? x->home.ptr : "", f->request_id.ptr);
  if (s->crash_ms > 0)
    zp_buf_printf (&f->headers, "X-Crash: %" PRId64 "\n", s->crash_ms);
  set_timer (x, SENT,
             s->patience_ms > 0 ? s->patience_ms * ZP_MS : left + ZP_SEC);
  tk_send (fw_client_task (r->client), m);
}

static void
stop_when_idle (struct lo_run *r)
{
  if (r->open_count == 0 && r->next == r->results->plan.count)
    tk_loop_stop (r->loop);
}

/* The last send of X has ended with EVENT.  */
static void
handle_event (struct open_request *x, enum lo_event event)
{
  struct lo_run *r = x->run;
  struct lo_request *q = request_of (x);
  zp_time now = elapsed (r);
  uint8_t key = q->key;
  struct lo_action a = lo_next_action (q, service_of (x), event, now);

  if (event != LO_GOT_ANSWER)
    lo_lookup_invalidate (&group_of (x)->lookup, now);
  if (q->key != key)
    zp_buf_clear (&x->home);
  switch (a.kind)
    {
    case LO_SEND:
      set_timer (x, DELAYED, a.u.delay);
      return;
    case LO_END:
      lo_results_add_latency (r->results, x->index, now - q->at);
      ev_timer_stop (r->loop->ev, &x->timer);
      x->prev->next = x->next;
      x->next->prev = x->prev;
      zp_buf_free (&x->home);
      free (x);
      r->open_count--;
      stop_when_idle (r);
      return;
    }
}

static void
on_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  struct open_request *x = w->data;

  (void) ev, (void) events;
  switch (x->state)
    {
    case NEEDS_LOOKUP:
      handle_event (x, LO_GOT_NO_CONNECTION);
      return;
    case DELAYED:
      send_request (x);
      return;
    case SENT:
      x->state = CANCELLED;
      struct tk_msg *m = tk_msg_new (TK_FORWARD_CANCEL);
      m->u.cancel.id = x->id;
      tk_send (fw_client_task (x->run->client), m);
      return;
    case CANCELLED:
      return;
    }
}

/* Answers.  */

/* Whether the answer is complete and belongs to the last send of X.  The first
   line of its body has key, digest and length, and the rest is the pattern of
   the key; the header X-Request-Key is
   absent in an answer that was recorded for the idempotency key.  */
static bool
is_own_answer (const struct open_request *x, const struct tk_forward_done *d)
{
  struct zp_buf key = { .ptr = NULL }, want = { .ptr = NULL };
  struct zp_str headers = zp_str_of (&d->headers), name, value, first, rest;
  const struct lo_results *results = x->run->results;

  zp_str_split (zp_str_of (&d->body), '\n', &first, &rest);
  zp_buf_printf (&key, "%s-%zu-%u", results->run_id, x->index,
                 request_of (x)->key);
  zp_buf_printf (&want, "%s %016" PRIx64 " %zu", key.ptr,
                 lo_request_digest (results, x->index), rest.len);
  bool own = zp_str_eq (first, zp_str_of (&want))
             && zp_pattern_is (rest, zp_str_hash (zp_str_of (&key), 0));
  while (fr_header_next (&headers, &name, &value))
    if (fr_header_is (name, "X-Request-Key"))
      own = own && zp_str_eq (value, zp_str_of (&key));
  zp_buf_free (&key);
  zp_buf_free (&want);
  return own;
}

/* The verdict of a refusal: from its JSON body, else from src/forward.  */
static enum zp_verdict
verdict_of (const struct tk_forward_done *d)
{
  struct json_object *v = NULL;
  struct json_object *o = zp_json_parse (zp_str_of (&d->body), NULL);
  enum zp_verdict verdict = d->verdict;

  if (json_object_object_get_ex (o, "verdict", &v))
    zp_verdict_parse (zp_str_from (json_object_get_string (v)), &verdict);
  json_object_put (o);
  return verdict;
}

static enum lo_event
event_of (const struct open_request *x, const struct tk_forward_done *d)
{
  if (d->end == TK_END_ANSWER && d->status >= 200 && d->status < 300)
    return is_own_answer (x, d) ? LO_GOT_ANSWER : LO_GOT_WRONG;
  switch (d->end == TK_END_ANSWER ? verdict_of (d) : d->verdict)
    {
    case ZP_NOT_RUN:
      return d->end == TK_END_ANSWER ? LO_GOT_NOT_RUN : LO_GOT_NO_CONNECTION;
    case ZP_MAY_HAVE_RUN:
      return LO_GOT_MAY_HAVE_RUN;
    case ZP_RAN:
      return LO_GOT_ERROR;
    }
  return LO_GOT_ERROR;
}

static void
handle_done (struct lo_run *r, struct tk_forward_done *d)
{
  struct open_request *x = r->open.next;

  if (d->id & LOOKUP_BIT)
    {
      handle_lookup_done (r, d);
      return;
    }
  while (x != &r->open && x->id != d->id)
    x = x->next;
  assert (x != &r->open);
  enum lo_event e = event_of (x, d);
  zp_log (ZP_LOG_DEBUG, PART, "request %zu send %u: end %d status %u event %d",
          x->index, request_of (x)->sends, (int) d->end, d->status, (int) e);
  handle_event (x, e);
}

/* Arrivals.  */

static void
start_next_request (struct lo_run *r)
{
  struct open_request *x = zp_alloc (sizeof *x);

  x->run = r;
  x->index = r->next++;
  x->next = r->open.next;
  x->prev = &r->open;
  x->next->prev = x;
  r->open.next = x;
  r->open_count++;
  ev_timer_init (&x->timer, on_timer, 0.0, 0.0);
  x->timer.data = x;
  send_request (x);
}

static void
on_arrivals (struct ev_loop *ev, ev_timer *w, int events)
{
  struct lo_run *r = w->data;
  const struct lo_plan *p = &r->results->plan;
  zp_time now = elapsed (r);

  (void) events;
  while (r->next < p->count && p->request[r->next].at <= now)
    {
      if (r->open_count >= OPEN_MAX)
        {
          zp_log (ZP_LOG_ERR, PART,
                  "%d requests in progress: no further request is sent",
                  OPEN_MAX);
          tk_send (&r->task, tk_msg_new (TK_STOP));
          return;
        }
      start_next_request (r);
    }
  stop_when_idle (r);
  if (r->next == p->count)
    return;
  ev_timer_set (w, (double) (p->request[r->next].at - now) / 1e6, 0.0);
  ev_timer_start (ev, w);
}

static void
on_message (void *self, struct tk_msg *m)
{
  struct lo_run *r = self;

  switch (m->kind)
    {
    case TK_FORWARD_DONE:
      handle_done (r, &m->u.done);
      break;
    case TK_STOP:
      ev_timer_stop (r->loop->ev, &r->arrivals);
      r->results->plan.count = r->next;
      stop_when_idle (r);
      break;
    default:
      assert (!"message kind that the callers do not handle");
    }
  tk_msg_free (m);
}

/* Set-up.  */

struct lo_run *
lo_run_open (struct tk_loop *l, struct lo_results *results)
{
  struct lo_run *r = zp_alloc (sizeof *r);

  r->loop = l;
  r->results = results;
  r->start = zp_clock_mono ();
  r->open.next = &r->open;
  r->open.prev = &r->open;
  tk_task_init (&r->task, l, on_message, r);
  r->client = fw_client_open (l, &r->task);
  for (size_t i = 0; i < LO_SERVICES_MAX * LO_CALLERS_MAX; i++)
    {
      r->group[i].run = r;
      ev_timer_init (&r->group[i].retry, on_retry, 0.0, 0.0);
      r->group[i].retry.data = &r->group[i];
    }
  ev_timer_init (&r->arrivals, on_arrivals, 0.0, 0.0);
  r->arrivals.data = r;
  ev_timer_start (l->ev, &r->arrivals);
  return r;
}

struct tk_task *
lo_run_task (struct lo_run *r)
{
  return &r->task;
}

void
lo_run_close (struct lo_run *r)
{
  ev_timer_stop (r->loop->ev, &r->arrivals);
  for (size_t i = 0; i < LO_SERVICES_MAX * LO_CALLERS_MAX; i++)
    {
      ev_timer_stop (r->loop->ev, &r->group[i].retry);
      zp_buf_free (&r->group[i].lookup.once_home);
    }
  fw_client_close (r->client);
  tk_task_free (&r->task);
  free (r);
}
