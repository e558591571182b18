/* Benchmark of capacity leases.  Measures:

   - processor time of the full life cycle of a lease between an owner and one
     holder: request, grant, use of the slot, return when idle
   - processor time of one renewal at an owner, by the number of leases that
     the owner has granted
   - bytes on the wire of both
   - memory of the owner for each lease

   All messages are encoded and decoded.  The baseline of a renewal is its
   encoding and decoding alone.

   Limits: there are no sockets, and the benchmark sets the time.  */

#include "figures.h"

#include "peer/lease_codec.h"
#include "steer/holder.h"
#include "steer/lease.h"
#include "wire/bytes.h"
#include "wire/frame.h"

#define OWNER 1
#define HOLDER 2
#define SLOTS 6
#define RUNS 9
#define CALLS 2000
#define SERVERS_MAX 150

struct sim
{
  struct st_lessor lessor;
  struct st_view view;
  struct st_grants grants;
  zp_time now;
  unsigned servers;
  uint64_t requests; /* number of the last request */
  uint64_t bytes;
};

static void
put_member (struct st_view *v, uint64_t id)
{
  struct st_member m = { .id = id, .live = true };

  zp_str_copy (m.failure_domain, ZP_NAME_MAX, ZP_STR ("west-1"));
  zp_str_copy (m.region, ZP_NAME_MAX, ZP_STR ("west"));
  st_view_put (v, &m);
}

static void
announce (struct sim *sim)
{
  for (unsigned i = 0; i < sim->servers; i++)
    {
      char id[32];
      struct zp_err err;
      snprintf (id, sizeof id, "server-%u", i);
      struct st_announce a = { .id = zp_str_from (id),
                               .service = ZP_STR ("booking"),
                               .address = ZP_STR ("127.0.0.1:8080"),
                               .slots = SLOTS,
                               .connections = ZP_SERVER_CONNECTIONS_DEFAULT,
                               .uptime = sim->now };
      if (!st_lessor_announce (&sim->lessor, &sim->view, &a, sim->now,
                               &sim->grants, &err))
        fig_die ("bench-lease", &err);
    }
  sim->grants.len = 0;
}

/* Sets up an owner that may grant leases: it has received announcements of its
   servers for longer than the wait after a takeover.  */
static void
open_sim (struct sim *sim, unsigned servers)
{
  *sim = (struct sim){ .now = 10 * ZP_SEC, .servers = servers };
  sim->view.self = OWNER;
  for (uint64_t id = 1; id <= 420; id++)
    put_member (&sim->view, id);
  st_lessor_init (&sim->lessor, OWNER, 1, sim->now);
  for (int i = 0; i < 7; i++)
    {
      sim->now += ZP_ANNOUNCE_PERIOD;
      announce (sim);
    }
}

static void
close_sim (struct sim *sim)
{
  st_lessor_free (&sim->lessor);
  st_view_free (&sim->view);
  st_grants_free (&sim->grants);
}

/* Messages.  Each is encoded and decoded before it is delivered.  */

static void
send_request (struct sim *sim, uint64_t from, const struct st_action *o)
{
  struct zp_buf b = { .ptr = NULL };
  struct st_lease_keep *keep = NULL;
  struct st_lease_request a;
  void *owner = NULL;

  pe_put_lease_request (&b, o);
  if (!pe_get_lease_request (zp_str_of (&b), from, &a, &keep, &owner))
    fig_die ("bench-lease: a request did not decode", NULL);
  sim->bytes += b.len + WI_HEADER_SIZE;
  st_lessor_request (&sim->lessor, &sim->view, &a, sim->now, &sim->grants);
  free (keep);
  wi_free (owner);
  zp_buf_free (&b);
}

static struct st_grant
transfer (struct sim *sim, const struct st_grant *g)
{
  struct zp_buf b = { .ptr = NULL };
  struct st_grant out;

  pe_put_grant (&b, g);
  if (!pe_get_grant (zp_str_of (&b), g->to, &out))
    fig_die ("bench-lease: a grant did not decode", NULL);
  sim->bytes += b.len + WI_HEADER_SIZE;
  zp_buf_free (&b);
  return out;
}

static void
return_lease (struct sim *sim, const struct st_lease_keep *k)
{
  struct zp_buf b = { .ptr = NULL };
  struct st_lease_keep out;

  pe_put_lease_return (&b, k);
  if (!pe_get_lease_return (zp_str_of (&b), &out))
    fig_die ("bench-lease: a return did not decode", NULL);
  sim->bytes += b.len + WI_HEADER_SIZE;
  st_lessor_return (&sim->lessor, &sim->view, HOLDER, &out, sim->now,
                    &sim->grants);
  zp_buf_free (&b);
}

static void
deliver (struct sim *sim, struct st_holder *h, struct st_actions *actions)
{
  for (size_t i = 0; i < actions->len; i++)
    if (actions->item[i].kind == ST_ACTION_REQUEST)
      send_request (sim, HOLDER, &actions->item[i]);
    else if (actions->item[i].kind == ST_ACTION_RETURN)
      return_lease (sim, &actions->item[i].u.ret);
  st_actions_free (actions);
  for (size_t i = 0; i < sim->grants.len; i++)
    {
      struct st_grant g = transfer (sim, &sim->grants.item[i]);
      st_holder_grant (h, OWNER, &g, sim->now, actions);
    }
  sim->grants.len = 0;
  st_actions_free (actions);
}

/* Life cycle of a lease.  */

static void
run_cycle (struct sim *sim, struct st_holder *h)
{
  struct st_actions actions = { .len = 0 };
  struct zp_str server = ZP_STR ("server-0");

  st_holder_set_demand (h, ZP_STR ("booking"), 1);
  st_holder_step (h, &sim->view, sim->now, &actions);
  deliver (sim, h, &actions);
  if (!st_holder_take (h, server, sim->now, &actions))
    fig_die ("bench-lease: the holder got no slot", NULL);
  st_holder_set_demand (h, ZP_STR ("booking"), 0);
  st_holder_release (h, server, sim->now, &actions);
  for (int i = 0; i < 4; i++)
    {
      sim->now += ZP_LEASE_IDLE / 2;
      st_holder_step (h, &sim->view, sim->now, &actions);
      deliver (sim, h, &actions);
    }
  if (sim->lessor.leases != 0)
    fig_die ("bench-lease: a lease was not returned", NULL);
}

static void
measure_cycle (void)
{
  struct fig_values us = { .len = 0 };
  struct sim sim;
  struct st_holder h;

  open_sim (&sim, 1);
  st_holder_init (&h, HOLDER, 1);
  for (int r = 0; r < RUNS; r++)
    {
      double cpu = 0;
      sim.bytes = 0;
      for (int i = 0; i < CALLS; i++)
        {
          announce (&sim);
          st_view_put_summary (&sim.view, OWNER, ZP_STR ("booking"), SLOTS,
                               SLOTS, sim.now);
          double start = fig_cpu_process ();
          run_cycle (&sim, &h);
          cpu += fig_cpu_process () - start;
        }
      fig_add (&us, cpu / CALLS);
    }
  fig_print ("lease-life", &us, "us", NAN);
  fig_line ("lease-life-bytes", (double) sim.bytes / CALLS, "B");
  st_holder_free (&h);
  close_sim (&sim);
}

/* Renewals.  */

static void
lease_all (struct sim *sim)
{
  for (unsigned i = 0; i < sim->servers * SLOTS; i++)
    {
      struct st_lease_request a = { .from = 2 + i % 419,
                                    .number = ++sim->requests,
                                    .service = ZP_STR ("booking"),
                                    .want = 1 };
      st_lessor_request (&sim->lessor, &sim->view, &a, sim->now, &sim->grants);
      sim->grants.len = 0;
    }
}

/* Renews a lease.  AT_OWNER false: only encodes and decodes the messages, for
   the baseline.  */
static void
renew (struct sim *sim, size_t lease, bool at_owner)
{
  struct st_lease_keep k = { .id = sim->lessor.lease[lease].id, .slots = 1 };
  struct st_action o = { .kind = ST_ACTION_REQUEST, .to = OWNER };
  uint64_t from = sim->lessor.lease[lease].holder;

  zp_str_copy (o.u.request.service, ZP_NAME_MAX, ZP_STR ("booking"));
  o.u.request.number = ++sim->requests;
  o.u.request.keep = &k;
  o.u.request.keeps = 1;
  if (at_owner)
    {
      send_request (sim, from, &o);
      for (size_t i = 0; i < sim->grants.len; i++)
        transfer (sim, &sim->grants.item[i]);
      sim->grants.len = 0;
      return;
    }
  struct zp_buf b = { .ptr = NULL };
  struct st_lease_request a;
  struct st_lease_keep *keep = NULL;
  void *owner = NULL;
  struct st_grant g = { .kind = ST_GRANT_RENEWED, .to = from, .id = k.id };
  g.u.renewed.slots = g.u.renewed.keep = 1;
  g.u.renewed.ttl = ZP_LEASE_TTL;
  pe_put_lease_request (&b, &o);
  pe_get_lease_request (zp_str_of (&b), from, &a, &keep, &owner);
  transfer (sim, &g);
  free (keep);
  wi_free (owner);
  zp_buf_free (&b);
}

static double
measure_renewal (unsigned servers, double *heap)
{
  struct fig_values us = { .len = 0 }, codec = { .len = 0 };
  struct sim sim;
  char name[64];

  open_sim (&sim, servers);
  double before = fig_heap ();
  lease_all (&sim);
  *heap = fig_heap () - before;
  size_t leases = sim.lessor.leases;
  if (leases != (size_t) servers * SLOTS)
    fig_die ("bench-lease: the owner granted too few leases", NULL);
  for (int r = 0; r < RUNS; r++)
    for (int owner = 0; owner < 2; owner++)
      {
        double start = fig_cpu_process ();
        sim.bytes = 0;
        for (size_t i = 0; i < CALLS; i++)
          renew (&sim, i % leases, owner);
        fig_add (owner ? &us : &codec, (fig_cpu_process () - start) / CALLS);
      }
  snprintf (name, sizeof name, "lease-renewal-%zu", leases);
  double median = fig_print (name, &us, "us", fig_quantile (&codec, 0.5));
  if (servers == SERVERS_MAX)
    fig_line ("lease-renewal-bytes", (double) sim.bytes / CALLS, "B");
  close_sim (&sim);
  return median;
}

int
main (void)
{
  static const unsigned servers[] = { 5, 20, 50, SERVERS_MAX };
  double x[4], us[4], heap[4];

  measure_cycle ();
  for (int i = 0; i < 4; i++)
    {
      x[i] = servers[i] * SLOTS;
      us[i] = measure_renewal (servers[i], &heap[i]);
    }
  fig_fit ("lease-renewal", x, us, 4, "us/lease");
  fig_fit ("lease-memory", x, heap, 4, "B/lease");
  return 0;
}
