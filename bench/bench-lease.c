/* Cost of capacity leases: processor time of one whole life of a lease between
   an owner and one holder (ask, grant, use of the slot, idle return), of one
   renewal at an owner by the number of leases that it has granted, bytes of
   both on the wire, and memory of the owner for each lease.  All messages pass
   through the codec.

   Limits: no sockets; the clock of the run is set by the bench.  The baseline
   of a renewal is its encoding and decoding alone.  */

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

struct world
{
  struct st_lessor lessor;
  struct st_view view;
  struct st_grants grants;
  zp_time now;
  unsigned servers;
  uint64_t ask;
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
announce (struct world *w)
{
  for (unsigned i = 0; i < w->servers; i++)
    {
      char id[32];
      struct zp_err err;
      snprintf (id, sizeof id, "server-%u", i);
      struct st_announce a = { .id = zp_str_from (id),
                               .service = ZP_STR ("booking"),
                               .address = ZP_STR ("127.0.0.1:8080"),
                               .slots = SLOTS,
                               .connections = ZP_SERVER_CONNECTIONS_DEFAULT,
                               .uptime = w->now };
      if (!st_lessor_announce (&w->lessor, &w->view, &a, w->now, &w->grants,
                               &err))
        fig_die ("bench-lease", &err);
    }
  w->grants.len = 0;
}

/* An owner whose servers are past the wait of a takeover.  */
static void
open_world (struct world *w, unsigned servers)
{
  *w = (struct world){ .now = 10 * ZP_SEC, .servers = servers };
  w->view.self = OWNER;
  for (uint64_t id = 1; id <= 420; id++)
    put_member (&w->view, id);
  st_lessor_init (&w->lessor, OWNER, 1, w->now);
  for (int i = 0; i < 7; i++)
    {
      w->now += ZP_ANNOUNCE_PERIOD;
      announce (w);
    }
}

static void
close_world (struct world *w)
{
  st_lessor_free (&w->lessor);
  st_view_free (&w->view);
  st_grants_free (&w->grants);
}

/* Messages, each through its encoding.  */

static void
ask (struct world *w, uint64_t from, const struct st_action *o)
{
  struct zp_buf b = { .ptr = NULL };
  struct st_lease_keep *keep = NULL;
  struct st_lease_request a;
  void *owner = NULL;

  pe_put_lease_request (&b, o);
  if (!pe_get_lease_request (zp_str_of (&b), from, &a, &keep, &owner))
    fig_die ("bench-lease: ask", NULL);
  w->bytes += b.len + WI_HEADER_SIZE;
  st_lessor_request (&w->lessor, &w->view, &a, w->now, &w->grants);
  free (keep);
  wi_free (owner);
  zp_buf_free (&b);
}

static struct st_grant
transfer (struct world *w, const struct st_grant *g)
{
  struct zp_buf b = { .ptr = NULL };
  struct st_grant out;

  pe_put_grant (&b, g);
  if (!pe_get_grant (zp_str_of (&b), g->to, &out))
    fig_die ("bench-lease: grant", NULL);
  w->bytes += b.len + WI_HEADER_SIZE;
  zp_buf_free (&b);
  return out;
}

static void
give_back (struct world *w, const struct st_lease_keep *k)
{
  struct zp_buf b = { .ptr = NULL };
  struct st_lease_keep out;

  pe_put_lease_return (&b, k);
  if (!pe_get_lease_return (zp_str_of (&b), &out))
    fig_die ("bench-lease: return", NULL);
  w->bytes += b.len + WI_HEADER_SIZE;
  st_lessor_return (&w->lessor, &w->view, HOLDER, &out, w->now, &w->grants);
  zp_buf_free (&b);
}

static void
deliver (struct world *w, struct st_holder *h, struct st_actions *outs)
{
  for (size_t i = 0; i < outs->len; i++)
    if (outs->item[i].kind == ST_ACTION_REQUEST)
      ask (w, HOLDER, &outs->item[i]);
    else if (outs->item[i].kind == ST_ACTION_RETURN)
      give_back (w, &outs->item[i].u.ret);
  st_actions_free (outs);
  for (size_t i = 0; i < w->grants.len; i++)
    {
      struct st_grant g = transfer (w, &w->grants.item[i]);
      st_holder_grant (h, OWNER, &g, w->now, outs);
    }
  w->grants.len = 0;
  st_actions_free (outs);
}

/* Whole life of a lease.  */

static void
live (struct world *w, struct st_holder *h)
{
  struct st_actions outs = { .len = 0 };
  struct zp_str server = ZP_STR ("server-0");

  st_holder_set_demand (h, ZP_STR ("booking"), 1);
  st_holder_step (h, &w->view, w->now, &outs);
  deliver (w, h, &outs);
  if (!st_holder_take (h, server, w->now, &outs))
    fig_die ("bench-lease: no slot", NULL);
  st_holder_set_demand (h, ZP_STR ("booking"), 0);
  st_holder_release (h, server, w->now, &outs);
  for (int i = 0; i < 4; i++)
    {
      w->now += ZP_LEASE_IDLE / 2;
      st_holder_step (h, &w->view, w->now, &outs);
      deliver (w, h, &outs);
    }
  if (w->lessor.leases != 0)
    fig_die ("bench-lease: a lease was not returned", NULL);
}

static void
measure_life (void)
{
  struct fig_values us = { .len = 0 };
  struct world w;
  struct st_holder h;

  open_world (&w, 1);
  st_holder_init (&h, HOLDER, 1);
  for (int r = 0; r < RUNS; r++)
    {
      double cpu = 0;
      w.bytes = 0;
      for (int i = 0; i < CALLS; i++)
        {
          announce (&w);
          st_view_put_summary (&w.view, OWNER, ZP_STR ("booking"), SLOTS,
                               SLOTS, w.now);
          double start = fig_cpu_process ();
          live (&w, &h);
          cpu += fig_cpu_process () - start;
        }
      fig_add (&us, cpu / CALLS);
    }
  fig_print ("lease-life", &us, "us", NAN);
  fig_line ("lease-life-bytes", (double) w.bytes / CALLS, "B");
  st_holder_free (&h);
  close_world (&w);
}

/* Renewals.  */

static void
take_all (struct world *w)
{
  for (unsigned i = 0; i < w->servers * SLOTS; i++)
    {
      struct st_lease_request a = { .from = 2 + i % 419,
                                    .number = ++w->ask,
                                    .service = ZP_STR ("booking"),
                                    .want = 1 };
      st_lessor_request (&w->lessor, &w->view, &a, w->now, &w->grants);
      w->grants.len = 0;
    }
}

static void
renew (struct world *w, size_t lease, bool at_owner)
{
  struct st_lease_keep k = { .id = w->lessor.lease[lease].id, .slots = 1 };
  struct st_action o = { .kind = ST_ACTION_REQUEST, .to = OWNER };
  uint64_t from = w->lessor.lease[lease].holder;

  zp_str_copy (o.u.request.service, ZP_NAME_MAX, ZP_STR ("booking"));
  o.u.request.number = ++w->ask;
  o.u.request.keep = &k;
  o.u.request.keeps = 1;
  if (at_owner)
    {
      ask (w, from, &o);
      for (size_t i = 0; i < w->grants.len; i++)
        transfer (w, &w->grants.item[i]);
      w->grants.len = 0;
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
  transfer (w, &g);
  free (keep);
  wi_free (owner);
  zp_buf_free (&b);
}

static double
measure_renewal (unsigned servers, double *heap)
{
  struct fig_values us = { .len = 0 }, base = { .len = 0 };
  struct world w;
  char name[64];

  open_world (&w, servers);
  double before = fig_heap ();
  take_all (&w);
  *heap = fig_heap () - before;
  size_t leases = w.lessor.leases;
  if (leases != (size_t) servers * SLOTS)
    fig_die ("bench-lease: leases are missing", NULL);
  for (int r = 0; r < RUNS; r++)
    for (int owner = 0; owner < 2; owner++)
      {
        double start = fig_cpu_process ();
        w.bytes = 0;
        for (size_t i = 0; i < CALLS; i++)
          renew (&w, i % leases, owner);
        fig_add (owner ? &us : &base, (fig_cpu_process () - start) / CALLS);
      }
  snprintf (name, sizeof name, "lease-renewal-%zu", leases);
  double median = fig_print (name, &us, "us", fig_quantile (&base, 0.5));
  if (servers == SERVERS_MAX)
    fig_line ("lease-renewal-bytes", (double) w.bytes / CALLS, "B");
  close_world (&w);
  return median;
}

int
main (void)
{
  static const unsigned servers[] = { 5, 20, 50, SERVERS_MAX };
  double x[4], us[4], heap[4];

  measure_life ();
  for (int i = 0; i < 4; i++)
    {
      x[i] = servers[i] * SLOTS;
      us[i] = measure_renewal (servers[i], &heap[i]);
    }
  fig_fit ("lease-renewal", x, us, 4, "us/lease");
  fig_fit ("lease-memory", x, heap, 4, "B/lease");
  return 0;
}
