#include "harness.h"
#include "seeds.h"
#include "steer-fixture.h"

#include "steer/holder.h"
#include "steer/lease.h"
#include "steer/share.h"

/* Owner: member 1 owns one server, members 2 to 5 request slots.  Members 1
   and 2 are in one failure domain.  */

struct owner_fixture
{
  struct st_lessor l;
  struct st_view v;
  struct st_grants out;
  zp_time now;
  uint64_t number;
};

static void
put_member (struct st_view *v, uint64_t id, const char *domain,
            const char *region)
{
  struct st_member m = { .id = id, .live = true };

  zp_str_copy (m.failure_domain, ZP_NAME_MAX, zp_str_from (domain));
  zp_str_copy (m.region, ZP_NAME_MAX, zp_str_from (region));
  st_view_put (v, &m);
}

static void
announce (struct owner_fixture *o, unsigned slots, unsigned connections,
          bool leaving)
{
  struct st_announce a = booking_server ("b1", slots, o->now);

  a.connections = connections;
  a.leaving = leaving;
  CU_ASSERT_PTR_NOT_NULL (
      st_lessor_announce (&o->l, &o->v, &a, o->now, &o->out, NULL));
}

/* An owner of one server with SLOTS slots, after the takeover wait.  */
static struct owner_fixture
owner_of (unsigned slots, unsigned connections)
{
  struct owner_fixture o = { .now = 10 * S, .v.self = 1 };

  put_member (&o.v, 1, "west-1", "west");
  put_member (&o.v, 2, "west-1", "west");
  put_member (&o.v, 3, "west-2", "west");
  put_member (&o.v, 4, "east-1", "east");
  put_member (&o.v, 5, "east-1", "east");
  st_lessor_init (&o.l, 1, 1, o.now);
  for (int i = 0; i < 6; i++)
    {
      announce (&o, slots, connections, false);
      if (i < 5)
        o.now += 500 * MS;
    }
  return o;
}

static void
free_owner (struct owner_fixture *o)
{
  st_lessor_free (&o->l);
  st_view_free (&o->v);
  st_grants_free (&o->out);
}

/* Sends a lease request of FROM for WANT slots and returns the slots that are
   granted at once.  */
static unsigned
request_slots (struct owner_fixture *o, uint64_t from, unsigned want,
               const struct st_lease_keep *keep, size_t keeps)
{
  struct st_lease_request a = { .from = from,
                                .number = ++o->number,
                                .service = ZP_STR ("booking"),
                                .want = want,
                                .keep = keep,
                                .keeps = keeps };
  unsigned n = 0;

  o->out.len = 0;
  st_lessor_request (&o->l, &o->v, &a, o->now, &o->out);
  for (size_t i = 0; i < o->out.len; i++)
    if (o->out.item[i].kind == ST_GRANT_NEW && o->out.item[i].to == from)
      n += o->out.item[i].u.lend.slots;
  return n;
}

static unsigned
count_grants (const struct owner_fixture *o, enum st_grant_kind kind,
              uint64_t to)
{
  unsigned n = 0;

  for (size_t i = 0; i < o->out.len; i++)
    n += o->out.item[i].kind == kind && o->out.item[i].to == to;
  return n;
}

/* Guards against lending the same slot to the owner's own requests and to
   another daemon.  */
static void
test_own_and_lent_slots_add_up (void)
{
  struct owner_fixture o = owner_of (5, 360);

  CU_ASSERT_EQUAL (request_slots (&o, 1, 3, NULL, 0), 3);
  CU_ASSERT_EQUAL (request_slots (&o, 3, 3, NULL, 0), 2);
  CU_ASSERT_EQUAL (request_slots (&o, 4, 1, NULL, 0), 0);
  CU_ASSERT_EQUAL (count_grants (&o, ST_GRANT_SHORTAGE, 4), 1);
  free_owner (&o);
}

/* Guards against more leases than connections.  */
static void
test_connections_limit_slots (void)
{
  struct owner_fixture o = owner_of (5, 3);

  CU_ASSERT_EQUAL (request_slots (&o, 3, 5, NULL, 0), 3);
  free_owner (&o);
}

/* Guards against a copy of a lease request taking slots again.  */
static void
test_repeated_request_is_ignored (void)
{
  struct owner_fixture o = owner_of (5, 360);

  CU_ASSERT_EQUAL (request_slots (&o, 3, 2, NULL, 0), 2);
  o.number--;
  CU_ASSERT_EQUAL (request_slots (&o, 3, 2, NULL, 0), 0);
  CU_ASSERT_EQUAL (o.l.owner.server[0]->lent, 2);
  free_owner (&o);
}

/* Guards against slots that stay lost with a lease that its holder does not
   renew, against granting them before the holder's ttl and 1% have passed, and
   against a request that still waits after that.  */
static void
test_expiry_serves_waiting_requests (void)
{
  struct owner_fixture o = owner_of (2, 360);

  CU_ASSERT_EQUAL (request_slots (&o, 3, 2, NULL, 0), 2);
  zp_time granted = o.now;
  for (int i = 0; i < 4; i++)
    {
      o.now += 490 * MS;
      announce (&o, 2, 360, false);
      CU_ASSERT_EQUAL (request_slots (&o, 4, 1, NULL, 0), 0);
    }
  o.out.len = 0;
  o.now = granted + ZP_LEASE_TTL * 101 / 100 - 1;
  st_lessor_step (&o.l, &o.v, o.now, &o.out);
  CU_ASSERT_EQUAL (count_grants (&o, ST_GRANT_NEW, 4), 0);
  o.now++;
  st_lessor_step (&o.l, &o.v, o.now, &o.out);
  CU_ASSERT_EQUAL (count_grants (&o, ST_GRANT_NEW, 4), 1);
  free_owner (&o);
}

/* Guards against a holder that renews for ever while others get nothing.  */
static void
test_no_requester_starves (void)
{
  struct owner_fixture o = owner_of (4, 360);

  CU_ASSERT_EQUAL (request_slots (&o, 3, 4, NULL, 0), 4);
  request_slots (&o, 4, 4, NULL, 0);
  CU_ASSERT_EQUAL (count_grants (&o, ST_GRANT_RECALL, 3), 2);
  struct st_lease_keep k = { .id = o.l.lease[0].id, .slots = 2 };
  o.out.len = 0;
  st_lessor_return (&o.l, &o.v, 3, &k, o.now, &o.out);
  CU_ASSERT_EQUAL (o.out.item[0].kind, ST_GRANT_NEW);
  CU_ASSERT_EQUAL (o.out.item[0].u.lend.slots, 2);
  free_owner (&o);
}

/* Guards against starvation with fewer slots than requesters: the slot is
   recalled after a time slice.  */
static void
test_one_slot_is_time_sliced (void)
{
  struct owner_fixture o = owner_of (1, 360);

  CU_ASSERT_EQUAL (request_slots (&o, 3, 1, NULL, 0), 1);
  CU_ASSERT_EQUAL (request_slots (&o, 4, 1, NULL, 0), 0);
  CU_ASSERT_EQUAL (count_grants (&o, ST_GRANT_RECALL, 3), 0);
  o.now += 250 * MS;
  st_lessor_step (&o.l, &o.v, o.now, &o.out);
  CU_ASSERT_EQUAL (count_grants (&o, ST_GRANT_RECALL, 3), 1);
  free_owner (&o);
}

/* Guards against remote demand that takes the home quota, against a home quota
   that stays idle when home holders do not need it, and against a remote
   requester that gets nothing at all.  */
static void
test_home_quota_only_with_demand (void)
{
  struct owner_fixture o = owner_of (6, 360);

  CU_ASSERT_EQUAL (request_slots (&o, 4, 6, NULL, 0), 6);
  request_slots (&o, 2, 6, NULL, 0);
  CU_ASSERT_EQUAL (count_grants (&o, ST_GRANT_RECALL, 4), 5);
  struct st_lease_keep k = { .id = o.l.lease[0].id, .slots = 1 };
  st_lessor_return (&o.l, &o.v, 4, &k, o.now, &o.out);
  request_slots (&o, 3, 6, NULL, 0);
  o.now += ST_TIME_SLICE;
  o.out.len = 0;
  st_lessor_step (&o.l, &o.v, o.now, &o.out);
  CU_ASSERT_EQUAL (count_grants (&o, ST_GRANT_RECALL, 2), 0);
  CU_ASSERT_EQUAL (count_grants (&o, ST_GRANT_RECALL, 4), 1);
  free_owner (&o);
}

/* Guards against an owner whose home holders keep every slot for ever.  */
static void
test_home_leaves_a_slot_to_others (void)
{
  struct owner_fixture o = owner_of (6, 360);

  CU_ASSERT_EQUAL (request_slots (&o, 2, 6, NULL, 0), 6);
  request_slots (&o, 4, 6, NULL, 0);
  CU_ASSERT_EQUAL (count_grants (&o, ST_GRANT_RECALL, 2), 1);
  free_owner (&o);
}

/* Guards against new work for a leaving server after 2 s (P6), and against
   cancelling requests that run there (P7): its leases are renewed, but a
   renewal allows no new request.  */
static void
test_leaving_server_gets_no_new_work (void)
{
  struct owner_fixture o = owner_of (5, 360);

  CU_ASSERT_EQUAL (request_slots (&o, 3, 2, NULL, 0), 2);
  o.now += 100 * MS;
  o.out.len = 0;
  announce (&o, 5, 360, true);
  CU_ASSERT_EQUAL (count_grants (&o, ST_GRANT_RECALL, 3), 1);
  CU_ASSERT_EQUAL (o.out.item[0].u.recall.keep, 0);
  struct st_lease_keep k = { .id = o.l.lease[0].id, .slots = 2 };
  CU_ASSERT_EQUAL (request_slots (&o, 3, 2, &k, 1), 0);
  CU_ASSERT_EQUAL (count_grants (&o, ST_GRANT_RENEWED, 3), 1);
  CU_ASSERT_EQUAL (o.out.item[0].u.renewed.keep, 0);
  free_owner (&o);
}

/* Guards against a server that lowers its slots and stays overloaded.  */
static void
test_lowered_slots_are_recalled (void)
{
  struct owner_fixture o = owner_of (5, 360);

  CU_ASSERT_EQUAL (request_slots (&o, 3, 5, NULL, 0), 5);
  o.out.len = 0;
  announce (&o, 5, 360, false);
  o.now += 500 * MS;
  announce (&o, 2, 144, false);
  CU_ASSERT_EQUAL (count_grants (&o, ST_GRANT_RECALL, 3), 1);
  CU_ASSERT_EQUAL (o.out.item[0].u.recall.keep, 2);
  free_owner (&o);
}

/* Holder: a grant from owner 1 that answers lease request REQUEST.  */
static struct st_grant
grant (uint64_t request, uint64_t number, unsigned slots)
{
  struct st_grant g
      = { .kind = ST_GRANT_NEW,
          .request = request,
          .id = { .owner = 1, .epoch = 1, .number = number },
          .u.lend
          = { .slots = slots, .connections = slots, .ttl = ZP_LEASE_TTL } };

  zp_str_copy (g.u.lend.server, ZP_NAME_MAX, ZP_STR ("b1"));
  zp_str_copy (g.u.lend.service, ZP_NAME_MAX, ZP_STR ("booking"));
  return g;
}

struct holder_fixture
{
  struct st_holder h;
  struct st_view v;
  struct st_actions out;
};

/* Member 2, which lacks MISSING slots.  Owner 1 in its failure domain has 3
   free slots, owner 4 in another region has 9.  */
static struct holder_fixture
holder_lacking (unsigned missing)
{
  struct holder_fixture t = { .v.self = 2 };

  put_member (&t.v, 1, "west-1", "west");
  put_member (&t.v, 2, "west-1", "west");
  put_member (&t.v, 4, "east-1", "east");
  st_view_put_latency (&t.v, ZP_STR ("west"), ZP_STR ("east"), 55 * MS);
  st_view_put_summary (&t.v, 4, ZP_STR ("booking"), 9, 9, 0);
  st_view_put_summary (&t.v, 1, ZP_STR ("booking"), 3, 9, 0);
  st_holder_init (&t.h, 2, 0);
  st_holder_set_demand (&t.h, ZP_STR ("booking"), missing);
  st_holder_step (&t.h, &t.v, 0, &t.out);
  return t;
}

static void
free_holder (struct holder_fixture *t)
{
  st_holder_free (&t->h);
  st_view_free (&t->v);
  st_actions_free (&t->out);
}

/* Guards against requests to a distant owner before a near one, and against a
   storm of lease requests: more demand within the interval causes no further
   one to the same owner.  */
static void
test_requests_are_near_and_limited (void)
{
  struct holder_fixture t = holder_lacking (5);

  CU_ASSERT_EQUAL (t.out.len, 1);
  CU_ASSERT_EQUAL (t.out.item[0].to, 1);
  CU_ASSERT_EQUAL (t.out.item[0].u.request.want, 3);
  for (zp_time now = 1; now < ST_REQUEST_INTERVAL; now += MS)
    {
      st_holder_set_demand (&t.h, ZP_STR ("booking"),
                            (unsigned) (now / MS + 6));
      st_holder_step (&t.h, &t.v, now, &t.out);
    }
  CU_ASSERT_EQUAL (t.out.len, 1);
  st_holder_set_demand (&t.h, ZP_STR ("booking"), 5);
  st_holder_step (&t.h, &t.v, 110 * MS, &t.out);
  CU_ASSERT_EQUAL (t.out.len, 2);
  CU_ASSERT_EQUAL (t.out.item[1].to, 4);
  CU_ASSERT_EQUAL (t.out.item[1].u.request.want, 2);
  free_holder (&t);
}

/* Guards against use after the end of a lease: its ttl counts from the lease
   request, not from the grant.  */
static void
test_ttl_counts_from_the_request (void)
{
  struct holder_fixture t = holder_lacking (3);
  struct st_grant g = grant (1, 1, 2);

  st_holder_grant (&t.h, 1, &g, 900 * MS, &t.out);
  CU_ASSERT (st_holder_take (&t.h, ZP_STR ("b1"), 1999 * MS, &t.out));
  t.out.len = 0;
  CU_ASSERT (!st_holder_take (&t.h, ZP_STR ("b1"), 2000 * MS, &t.out));
  CU_ASSERT_EQUAL (t.out.len, 1);
  CU_ASSERT_EQUAL (t.out.item[0].kind, ST_ACTION_CANCEL);
  CU_ASSERT_EQUAL (t.out.item[0].u.cancel.count, 1);
  free_holder (&t);
}

/* Guards against a copy of a grant that restores a returned lease.  */
static void
test_copy_of_a_grant_is_ignored (void)
{
  struct holder_fixture t = holder_lacking (3);
  struct st_grant g = grant (1, 1, 2);

  st_holder_set_demand (&t.h, ZP_STR ("booking"), 0);
  st_holder_grant (&t.h, 1, &g, 10 * MS, &t.out);
  for (zp_time now = 10 * MS; now <= 800 * MS; now += 10 * MS)
    st_holder_step (&t.h, &t.v, now, &t.out);
  CU_ASSERT_EQUAL (st_holder_slots (&t.h, ZP_STR ("b1"), 800 * MS), 0);
  st_holder_grant (&t.h, 1, &g, 800 * MS, &t.out);
  CU_ASSERT_EQUAL (st_holder_slots (&t.h, ZP_STR ("b1"), 800 * MS), 0);
  free_holder (&t);
}

/* Guards against a recall that cancels a request, and against using a recalled
   slot again before it is returned.  */
static void
test_recalled_slot_returns_when_idle (void)
{
  struct holder_fixture t = holder_lacking (3);
  struct st_grant g = grant (1, 1, 2);
  struct st_grant r = { .kind = ST_GRANT_RECALL,
                        .id = { .owner = 1, .epoch = 1, .number = 1 },
                        .u.recall.keep = 1 };

  st_holder_grant (&t.h, 1, &g, 10 * MS, &t.out);
  CU_ASSERT (st_holder_take (&t.h, ZP_STR ("b1"), 20 * MS, &t.out));
  CU_ASSERT (st_holder_take (&t.h, ZP_STR ("b1"), 20 * MS, &t.out));
  t.out.len = 0;
  st_holder_grant (&t.h, 1, &r, 30 * MS, &t.out);
  CU_ASSERT_EQUAL (t.out.len, 0);
  st_holder_release (&t.h, ZP_STR ("b1"), 40 * MS, &t.out);
  CU_ASSERT_EQUAL (t.out.len, 1);
  CU_ASSERT_EQUAL (t.out.item[0].kind, ST_ACTION_RETURN);
  CU_ASSERT_EQUAL (t.out.item[0].u.ret.slots, 1);
  CU_ASSERT (!st_holder_take (&t.h, ZP_STR ("b1"), 40 * MS, &t.out));
  /* The lease of a running request is renewed, even when every slot is
     recalled.  */
  r.u.recall.keep = 0;
  st_holder_set_demand (&t.h, ZP_STR ("booking"), 0);
  st_holder_grant (&t.h, 1, &r, 50 * MS, &t.out);
  t.out.len = 0;
  st_holder_step (&t.h, &t.v, 1001 * MS, &t.out);
  CU_ASSERT_EQUAL (t.out.len, 1);
  CU_ASSERT_EQUAL (t.out.item[0].u.request.keeps, 1);
  free_holder (&t);
}

#include "lease-sim.h"

/* Guards against any order of events that lets holders use more slots than a
   server has.  The counts show that slots were used, leases handed over and
   daemons frozen in the simulation.  */
static void
test_sum_never_exceeds_capacity (void)
{
  CU_ASSERT_EQUAL (seeds_run (capacity_holds, 150), 0);
  printf (" taken %lu, handed over %lu, resigned %lu\n", taken, adopted,
          resigned);
  CU_ASSERT (taken > 0 && adopted > 0 && resigned > 0);
}

static const struct zp_test tests[] = {
  { "own and lent slots add up", test_own_and_lent_slots_add_up },
  { "connections limit slots", test_connections_limit_slots },
  { "repeated request is ignored", test_repeated_request_is_ignored },
  { "expiry serves waiting requests", test_expiry_serves_waiting_requests },
  { "no requester starves", test_no_requester_starves },
  { "one slot is time-sliced", test_one_slot_is_time_sliced },
  { "home quota only with demand", test_home_quota_only_with_demand },
  { "home leaves a slot to others", test_home_leaves_a_slot_to_others },
  { "leaving server gets no new work", test_leaving_server_gets_no_new_work },
  { "lowered slots are recalled", test_lowered_slots_are_recalled },
  { "requests are near and limited", test_requests_are_near_and_limited },
  { "ttl counts from the request", test_ttl_counts_from_the_request },
  { "copy of a grant is ignored", test_copy_of_a_grant_is_ignored },
  { "recalled slot returns when idle", test_recalled_slot_returns_when_idle },
  { "sum never exceeds capacity", test_sum_never_exceeds_capacity },
};

TEST_MAIN ("lease", tests)
