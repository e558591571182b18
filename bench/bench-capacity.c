/* NAME
     bench-capacity - capacity leases compared with other policies

   SYNOPSIS
     bench-capacity [SECONDS [SEED [SERVICE_MS]]]

   DESCRIPTION
     A seeded discrete-event simulation of 7 entry daemons in 3 regions and the
     booking service of the design page (12 servers x 5 slots, 2 servers in
     each of 6 failure domains), with the one-way latencies of the Mend
     Exchange.  It runs the same arrivals under each policy and prints lines
     "name value unit baseline", where the baseline is the static split at the
     same load.

     Policies: leases (the code of src/steer), a static split of each failure
     domain's slots among its daemons, a random server, and the server with the
     least reported load, with reports delayed by 0, 1 and 5 s.  Under the
     random and least-load policies, daemons send each request at once, and a
     server queues the requests above its slots.

     over     arrivals at a server whose slots are all in use, for every 1,000
              arrivals at daemons
     refused  percent of requests that were refused by a full queue or waited
              past the deadline
     wait     from arrival at the daemon to the start at the server, p50 and
              p99

   LIMITS
     Service times are exponential (mean 50 ms by default), and arrivals are
     Poisson with 50, 30 and 20% in the three regions; neither comes from the
     real deployment.  Load is relative to slots / mean service time.  A lease
     or a static slot is also in use while its request is on the network, which
     lowers the results of these two policies.  Messages are not lost, daemons
     do not fail, processing takes no time, and all clocks agree.  A server
     with more requests than slots does not slow down, which favours the random
     and least-load policies.  The simulation does not measure the speed of the
     code.  */

#include "capacity-leases.h"
#include "capacity-model.h"

/* Static split: the slots of server V that belong to daemon D.  */
static unsigned
static_slots (unsigned d, unsigned v)
{
  if (daemon_domain[d] != v / 2)
    return 0;
  if (daemon_domain[d] > 0)
    return SLOTS;
  return (d + v) % 2 == 0 ? (SLOTS + 1) / 2 : SLOTS / 2;
}

static void
serve_static (struct sim *s, unsigned d)
{
  struct daemon *e = &s->daemon[d];

  for (unsigned v = 0; v < SERVERS; v++)
    while (e->queue.len > 0 && e->used[v] < static_slots (d, v))
      {
        uint32_t r = queue_take (&e->queue);

        if (is_late (s, r))
          {
            refuse (s, r);
            continue;
          }
        e->used[v]++;
        send (s, r, v);
      }
}

/* Random and least reported load.  */

static unsigned
reported (const struct sim *s, unsigned server, zp_time delay)
{
  const struct server *v = &s->server[server];
  size_t back = (size_t) (delay / SAMPLE);

  if (delay == 0)
    return v->running + (unsigned) v->queue.len;
  return s->sampled > back ? v->history[(s->sampled - 1 - back) % SAMPLES] : 0;
}

/* The server with the least reported load; of equal ones the nearest, and of
   equally near ones a random one.  */
static unsigned
least_reported (struct sim *s, unsigned d, zp_time delay)
{
  unsigned best = 0, ties = 0;

  for (unsigned v = 0; v < SERVERS; v++)
    {
      unsigned a = reported (s, v, delay), b = reported (s, best, delay);
      zp_time x = server_latency (d, v), y = server_latency (d, best);

      if (v == 0 || a < b || (a == b && x < y))
        {
          best = v;
          ties = 1;
        }
      else if (a == b && x == y && zp_rng_below (&s->rng, ++ties) == 0)
        best = v;
    }
  return best;
}

static void
arrive (struct sim *s, unsigned d)
{
  uint32_t r = (uint32_t) s->requests;
  struct daemon *e = &s->daemon[d];

  s->request = st_reserve (s->request, &s->request_cap, r, sizeof *s->request);
  s->request[s->requests++]
      = (struct request){ .arrived = s->now, .daemon = d };
  s->arrived += is_counted (s, r);
  switch (s->policy)
    {
    case LEASES:
    case STATIC_SPLIT:
      if (e->queue.len >= DAEMON_QUEUE)
        {
          refuse (s, r);
          return;
        }
      queue_put (&e->queue, r);
      if (s->policy == LEASES)
        step_leases (s, d);
      else
        serve_static (s, d);
      return;
    case RANDOM:
      send (s, r, zp_rng_below (&s->rng, SERVERS));
      return;
    case LEAST_0S:
      send (s, r, least_reported (s, d, 0));
      return;
    case LEAST_1S:
      send (s, r, least_reported (s, d, 1 * ZP_SEC));
      return;
    case LEAST_5S:
      send (s, r, least_reported (s, d, 5 * ZP_SEC));
      return;
    case POLICIES:
      return;
    }
}

static void
answered (struct sim *s, uint32_t r)
{
  const struct request *q = &s->request[r];
  struct st_actions actions = { .item = NULL };

  if (s->policy == LEASES && !q->cancelled)
    {
      st_holder_release (&s->daemon[q->daemon].holder, name ("b", q->server),
                         s->now, &actions);
      /* An answered request can no longer be cancelled.  */
      s->request[r].cancelled = true;
      send_actions (s, q->daemon, &actions);
      step_leases (s, q->daemon);
    }
  if (s->policy == STATIC_SPLIT)
    {
      s->daemon[q->daemon].used[q->server]--;
      serve_static (s, q->daemon);
    }
}

static void
next_arrival (struct sim *s)
{
  double wait = -log (1 - zp_rng_unit (&s->rng)) / s->rate;
  double u = zp_rng_unit (&s->rng);
  unsigned region = 0;

  while (region + 1 < REGIONS && u >= region_demand[region])
    u -= region_demand[region++];
  unsigned d = region == 0 ? zp_rng_below (&s->rng, 3)
                           : 1 + 2 * region + zp_rng_below (&s->rng, 2);
  push (s, s->now + (zp_time) wait + 1,
        (struct event){ .kind = ARRIVE, .d = d });
}

static void
handle (struct sim *s, struct event *e)
{
  switch (e->kind)
    {
    case ARRIVE:
      next_arrival (s);
      arrive (s, e->d);
      return;
    case REACH:
      reach (s, e->req);
      return;
    case FINISH:
      finish (s, e->req);
      return;
    case ANSWER:
      answered (s, e->req);
      return;
    case TICK_ALL:
      tick_all (s);
      push (s, s->now + TICK, *e);
      return;
    case SAMPLE_ALL:
      for (unsigned i = 0; i < SERVERS; i++)
        s->server[i].history[s->sampled % SAMPLES] = reported (s, i, 0);
      s->sampled++;
      push (s, s->now + SAMPLE, *e);
      return;
    case ANNOUNCE:
      announce_all (s);
      push (s, s->now + ZP_ANNOUNCE_PERIOD, *e);
      return;
    case SUMMARY:
      send_summary (s, e->d);
      push (s, s->now + ZP_HEARTBEAT_REGION, *e);
      return;
    case SUMMARY_IN:
      st_view_put_summary (&s->daemon[e->d].view, e->from, ZP_STR ("booking"),
                           e->free_slots, e->slots, s->now);
      return;
    case REQUEST_IN:
    case RETURN_IN:
    case GRANT_IN:
      lease_message (s, e);
      return;
    }
}

static void
tear_down (struct sim *s)
{
  while (s->events > 0)
    {
      struct event e = pop (s);

      if (e.kind == REQUEST_IN)
        free (e.out.u.request.keep);
      if (e.kind == GRANT_IN)
        free (e.grant);
    }
  for (unsigned d = 0; d < DAEMONS; d++)
    {
      st_lessor_free (&s->daemon[d].lessor);
      st_holder_free (&s->daemon[d].holder);
      st_view_free (&s->daemon[d].view);
      free (s->daemon[d].queue.item);
    }
  for (unsigned i = 0; i < SERVERS; i++)
    free (s->server[i].queue.item);
  free (s->heap);
  free (s->request);
  free (s->wait);
}

static int
by_value (const void *a, const void *b)
{
  double x = *(const double *) a, y = *(const double *) b;

  return (x > y) - (x < y);
}

static struct result
simulate (enum policy p, unsigned load, zp_time length, uint32_t seed,
          double service_ms)
{
  struct sim *s = zp_alloc (sizeof *s);

  s->policy = p;
  s->service_ms = service_ms;
  s->end = WARM_UP + length;
  s->rate = SERVERS * SLOTS / (service_ms * 1000) * load / 100;
  zp_rng_seed (&s->rng, seed);
  zp_rng_seed (&s->service_rng, seed + 1);
  if (p == LEASES)
    set_up_leases (s);
  push (s, 0, (struct event){ .kind = SAMPLE_ALL });
  next_arrival (s);
  while (s->heap[0].at < s->end)
    {
      struct event e = pop (s);

      s->now = e.at;
      handle (s, &e);
    }
  qsort (s->wait, s->waits, sizeof *s->wait, by_value);
  struct result r = {
    .over = 1000.0 * (double) s->over / (double) s->arrived,
    .refused = 100.0 * (double) s->refused / (double) s->arrived,
    .p50 = s->waits > 0 ? s->wait[s->waits / 2] : 0,
    .p99 = s->waits > 0 ? s->wait[s->waits * 99 / 100] : 0,
  };
  tear_down (s);
  free (s);
  return r;
}

int
main (int argc, char **argv)
{
  static const unsigned load[] = { 50, 90, 100, 200 };
  zp_time length = (argc > 1 ? strtol (argv[1], NULL, 10) : 60) * ZP_SEC;
  uint32_t seed = argc > 2 ? (uint32_t) strtoul (argv[2], NULL, 10) : 1;
  double service_ms = argc > 3 ? strtod (argv[3], NULL) : 50;

  if (length < ZP_SEC || length > 3600 * ZP_SEC || !(service_ms >= 1)
      || service_ms > 2000)
    {
      fprintf (stderr, "usage: bench-capacity [SECONDS 1-3600 [SEED "
                       "[SERVICE_MS 1-2000]]]\n");
      return 2;
    }
  for (size_t i = 0; i < sizeof load / sizeof load[0]; i++)
    {
      struct result r[POLICIES];

      for (unsigned p = 0; p < POLICIES; p++)
        r[p] = simulate ((enum policy) p, load[i], length, seed, service_ms);
      const struct result *b = &r[STATIC_SPLIT];
      for (unsigned p = 0; p < POLICIES; p++)
        {
          char head[64];

          snprintf (head, sizeof head, "capacity_%s_%u", policy_name[p],
                    load[i]);
          printf ("%s_over %.2f per_1000 %.2f\n", head, r[p].over, b->over);
          printf ("%s_refused %.2f percent %.2f\n", head, r[p].refused,
                  b->refused);
          printf ("%s_wait_p50 %.2f ms %.2f\n", head, r[p].p50, b->p50);
          printf ("%s_wait_p99 %.2f ms %.2f\n", head, r[p].p99, b->p99);
        }
    }
  return 0;
}
