/* NAME
     capacity-model - events, requests and servers of bench-capacity  */

#ifndef ZP_BENCH_CAPACITY_MODEL_H
#define ZP_BENCH_CAPACITY_MODEL_H

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "steer/holder.h"
#include "steer/lease.h"

#define DAEMONS 7
#define DOMAINS 6
#define REGIONS 3
#define SERVERS 12
#define SLOTS 5
#define WARM_UP (10 * ZP_SEC)
#define TICK (10 * ZP_MS)
#define DAEMON_QUEUE 200 /* requests */
#define SERVER_QUEUE 200 /* requests */
#define SAMPLE (50 * ZP_MS)
/* More than the longest delay of a report, 5 s, divided by SAMPLE.  */
#define SAMPLES 128

enum policy
{
  LEASES,
  STATIC_SPLIT,
  RANDOM,
  LEAST_0S,
  LEAST_1S,
  LEAST_5S,
  POLICIES,
};

static const char *const policy_name[POLICIES]
    = { "leases", "static", "random", "least_0s", "least_1s", "least_5s" };

static const unsigned daemon_domain[DAEMONS] = { 0, 0, 1, 2, 3, 4, 5 };
static const double region_demand[REGIONS] = { 0.5, 0.3, 0.2 };

enum event_kind
{
  ARRIVE, /* at daemon D */
  REACH,  /* request REQ arrives at its server */
  FINISH, /* request REQ has run */
  ANSWER, /* the answer of REQ arrives at its daemon */
  TICK_ALL,
  SAMPLE_ALL,
  ANNOUNCE, /* all servers announce themselves */
  SUMMARY,  /* daemon D sends the others its free slots */
  SUMMARY_IN,
  REQUEST_IN,
  RETURN_IN,
  GRANT_IN,
};

struct event
{
  zp_time at;
  uint64_t order;
  enum event_kind kind;
  unsigned d, from;
  uint32_t req;
  unsigned free_slots, slots;
  struct st_action out;
  struct st_grant *grant;
};

struct request
{
  zp_time arrived;
  unsigned daemon, server;
  bool cancelled;
};

struct queue
{
  uint32_t *item;
  size_t head, len, cap;
};

struct server
{
  unsigned running;
  struct queue queue;
  unsigned history[SAMPLES]; /* running and queued, at each SAMPLE */
};

struct daemon
{
  struct st_lessor lessor;
  struct st_holder holder;
  struct st_view view;
  struct queue queue;
  unsigned used[SERVERS]; /* slots in use, under the static split */
};

struct sim
{
  enum policy policy;
  /* The dSFMT generator needs 16 bytes of alignment.  */
  _Alignas(16) struct zp_rng rng;
  _Alignas(16) struct zp_rng service_rng;
  zp_time now, end;
  double service_ms;
  uint64_t order;
  struct event *heap;
  size_t events, event_cap;
  struct request *request;
  size_t requests, request_cap;
  struct server server[SERVERS];
  struct daemon daemon[DAEMONS];
  size_t sampled;
  double rate; /* arrivals for each microsecond */
  uint64_t arrived, refused, over;
  double *wait;
  size_t waits, wait_cap;
};

struct result
{
  double over, refused, p50, p99;
};

/* Names and distances.  */

static struct zp_str
name (const char *prefix, unsigned i)
{
  static char text[8][16];
  static unsigned next_text;
  char *out = text[next_text++ % 8];

  snprintf (out, sizeof text[0], "%s%u", prefix, i);
  return zp_str_from (out);
}

static unsigned
server_number (const char *id)
{
  return (unsigned) strtoul (id + 1, NULL, 10);
}

/* One-way latency in microseconds.  */
static zp_time
domain_latency (unsigned domain_a, unsigned domain_b)
{
  if (domain_a == domain_b)
    return 200;
  return domain_a / 2 == domain_b / 2 ? 1500 : 55 * ZP_MS;
}

static zp_time
server_latency (unsigned daemon, unsigned server)
{
  return domain_latency (daemon_domain[daemon], server / 2);
}

static zp_time
daemon_latency (unsigned a, unsigned b)
{
  return a == b ? 0 : domain_latency (daemon_domain[a], daemon_domain[b]);
}

/* Event heap.  */

static bool
earlier (const struct event *a, const struct event *b)
{
  return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static void
push (struct sim *s, zp_time at, struct event e)
{
  size_t i = s->events++;

  s->heap = st_reserve (s->heap, &s->event_cap, i, sizeof *s->heap);
  e.at = at;
  e.order = s->order++;
  while (i > 0 && earlier (&e, &s->heap[(i - 1) / 2]))
    {
      s->heap[i] = s->heap[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  s->heap[i] = e;
}

static struct event
pop (struct sim *s)
{
  struct event top = s->heap[0], last = s->heap[--s->events];
  size_t i = 0, child;

  while ((child = 2 * i + 1) < s->events)
    {
      if (child + 1 < s->events
          && earlier (&s->heap[child + 1], &s->heap[child]))
        child++;
      if (!earlier (&s->heap[child], &last))
        break;
      s->heap[i] = s->heap[child];
      i = child;
    }
  s->heap[i] = last;
  return top;
}

static void
queue_put (struct queue *q, uint32_t r)
{
  if (q->head + q->len == q->cap && q->head > 0)
    {
      memmove (q->item, q->item + q->head, q->len * sizeof *q->item);
      q->head = 0;
    }
  q->item = st_reserve (q->item, &q->cap, q->head + q->len, sizeof *q->item);
  q->item[q->head + q->len++] = r;
}

static uint32_t
queue_take (struct queue *q)
{
  q->len--;
  return q->item[q->head++];
}

/* Requests.  */

/* False for requests that arrive during the warm-up.  */
static bool
is_counted (const struct sim *s, uint32_t r)
{
  return s->request[r].arrived >= WARM_UP;
}

static void
refuse (struct sim *s, uint32_t r)
{
  s->refused += is_counted (s, r);
}

static bool
is_late (const struct sim *s, uint32_t r)
{
  return s->now - s->request[r].arrived > ZP_DEADLINE_DEFAULT;
}

static void
send (struct sim *s, uint32_t r, unsigned server)
{
  s->request[r].server = server;
  push (s, s->now + server_latency (s->request[r].daemon, server),
        (struct event){ .kind = REACH, .req = r });
}

static void
run_request (struct sim *s, uint32_t r)
{
  double ms = -log (1 - zp_rng_unit (&s->service_rng)) * s->service_ms;

  s->server[s->request[r].server].running++;
  if (is_counted (s, r))
    {
      s->wait = st_reserve (s->wait, &s->wait_cap, s->waits, sizeof *s->wait);
      s->wait[s->waits++] = (double) (s->now - s->request[r].arrived) / 1000;
    }
  push (s, s->now + (zp_time) (ms * 1000) + 1,
        (struct event){ .kind = FINISH, .req = r });
}

static void
reach (struct sim *s, uint32_t r)
{
  struct server *v = &s->server[s->request[r].server];

  if (v->running < SLOTS)
    {
      run_request (s, r);
      return;
    }
  s->over += is_counted (s, r);
  if (v->queue.len < SERVER_QUEUE)
    {
      queue_put (&v->queue, r);
      return;
    }
  refuse (s, r);
  push (s, s->now, (struct event){ .kind = ANSWER, .req = r });
}

static void
finish (struct sim *s, uint32_t r)
{
  const struct request *q = &s->request[r];
  struct server *v = &s->server[q->server];

  v->running--;
  push (s, s->now + server_latency (q->daemon, q->server),
        (struct event){ .kind = ANSWER, .req = r });
  while (v->queue.len > 0 && v->running < SLOTS)
    {
      uint32_t next = queue_take (&v->queue);

      if (is_late (s, next))
        {
          refuse (s, next);
          push (s, s->now, (struct event){ .kind = ANSWER, .req = next });
          continue;
        }
      run_request (s, next);
    }
}

#endif
