#include "harness.h"
#include "steer-fixture.h"

#include "steer/lease.h"
#include "steer/owner.h"
#include "steer/view.h"

/* One announcement of server b1 with UPTIME, received at NOW.  */
static struct st_server *
announce_at (struct st_owner *o, zp_time uptime, zp_time now)
{
  struct st_announce a = booking_server ("b1", 5, uptime);

  a.inflight = 2;
  return st_owner_announce (o, &a, now, NULL);
}

/* Announcements of B1 every 500 ms in [FROM, TO], uptime equal to the time. */
static struct st_server *
announce_from_to (struct st_owner *o, zp_time from, zp_time to)
{
  struct st_server *s = NULL;

  for (zp_time t = from; t <= to; t += 500 * MS)
    s = announce_at (o, t, t);
  return s;
}

/* Guards against a new owner that lends before old leases have ended, also for
   a server that restarted under the same id.  */
static void
test_new_owner_waits (void)
{
  struct st_owner o;

  st_owner_init (&o, 1, 1, 0);
  struct st_server *s = announce_from_to (&o, 0, 2 * S);
  CU_ASSERT (!st_server_usable (s, 2 * S + 400 * MS));
  announce_at (&o, 2500 * MS, 2500 * MS);
  CU_ASSERT (st_server_usable (s, 2500 * MS));
  CU_ASSERT_EQUAL (s->inflight, 2);
  CU_ASSERT_EQUAL (s->reported_at, 2500 * MS);
  /* Restart of the server.  */
  announce_at (&o, 0, 3 * S);
  CU_ASSERT (!st_server_usable (s, 3 * S));
  st_owner_free (&o);
}

/* Guards against use after the server went silent (2 s).  */
static void
test_ownership_ends (void)
{
  struct st_owner o;

  st_owner_init (&o, 1, 1, 0);
  struct st_server *s = announce_from_to (&o, 0, 3 * S);
  CU_ASSERT (st_server_usable (s, 5 * S - 1));
  CU_ASSERT (!st_server_usable (s, 5 * S));
  st_owner_free (&o);
}

/* Guards against two owners when a server alternates between two daemons: the
   wait begins again after a gap in which it may have announced to another
   daemon.  */
static void
test_gap_begins_the_wait_again (void)
{
  struct st_owner o;

  st_owner_init (&o, 1, 1, 0);
  struct st_server *s = announce_from_to (&o, 0, 1 * S);
  announce_from_to (&o, 2 * S, 4 * S);
  CU_ASSERT (!st_server_usable (s, 4 * S));
  announce_at (&o, 4500 * MS, 4500 * MS);
  CU_ASSERT (st_server_usable (s, 4500 * MS));
  st_owner_free (&o);
}

/* Guards against a late announcement that prolongs ownership after the server
   has moved to another daemon: ownership counts from the time of sending.  */
static void
test_late_announcement_counts_from_sending (void)
{
  struct st_owner o;

  st_owner_init (&o, 1, 1, 0);
  struct st_server *s = announce_from_to (&o, 0, 3 * S);
  announce_at (&o, 3500 * MS, 4800 * MS);
  CU_ASSERT (st_server_usable (s, 5500 * MS - 1));
  /* 36 ms: 2% of 1.8 s, which a difference of clock rates may have added.  */
  CU_ASSERT (!st_server_usable (s, 5536 * MS));
  st_owner_free (&o);
}

/* Guards against an announcement of an earlier process of the server that
   arrives late: its higher uptime would falsify the estimated sending time. */
static void
test_announcement_of_an_earlier_process (void)
{
  struct st_owner o;

  st_owner_init (&o, 1, 1, 0);
  struct st_server *s = announce_from_to (&o, 0, 3 * S);
  announce_at (&o, 60 * S, 3500 * MS);
  CU_ASSERT (!st_server_usable (s, 3500 * MS));
  st_owner_free (&o);
}

/* Guards against the loss of a server's capacity for a takeover wait on every
   planned stop.  */
static void
test_hand_over_shortens_the_wait (void)
{
  struct st_owner o;

  st_owner_init (&o, 1, 1, 0);
  struct st_server *s = announce_at (&o, 10 * S, 10 * S);
  CU_ASSERT (st_server_take_over (s, 9500 * MS, 10 * S));
  announce_at (&o, 10500 * MS, 10500 * MS);
  CU_ASSERT (!st_server_usable (s, 10500 * MS)); /* may have been late */
  announce_at (&o, 11 * S, 11 * S);
  CU_ASSERT (st_server_usable (s, 11 * S));
  st_owner_free (&o);
}

/* Guards against a hand-over after which a third daemon had time to become the
   owner.  */
static void
test_old_hand_over_is_refused (void)
{
  struct st_owner o;

  st_owner_init (&o, 1, 1, 0);
  struct st_server *s = announce_at (&o, 10 * S, 10 * S);
  CU_ASSERT (!st_server_take_over (s, 10 * S - ST_TAKEOVER_WAIT, 10 * S));
  CU_ASSERT (!st_server_take_over (s, 11 * S, 10 * S));
  announce_from_to (&o, 10500 * MS, 11 * S);
  CU_ASSERT (!st_server_usable (s, 11 * S));
  st_owner_free (&o);
}

/* Guards against grants of the old owner after a hand-over, and against a
   hand-over that omits leases.  */
static void
test_hand_over_carries_leases (void)
{
  struct st_lessor a, b;
  struct st_view v = { .self = 1 };
  struct st_grants out = { .item = NULL };
  struct st_handover h;
  struct st_announce an = booking_server ("b1", 5, 0);
  struct st_lease_request request
      = { .from = 9, .number = 1, .service = ZP_STR ("booking"), .want = 3 };
  zp_time now;

  st_lessor_init (&a, 1, 1, 0);
  st_lessor_init (&b, 2, 1, 0);
  for (now = 0; now <= 3 * S; now += 500 * MS)
    {
      an.uptime = now;
      st_lessor_announce (&a, &v, &an, now, &out, NULL);
      st_lessor_step (&b, &v, now, &out);
    }
  now = 3 * S;
  st_lessor_request (&a, &v, &request, now, &out);
  CU_ASSERT (st_lessor_hand_over (&a, ZP_STR ("b1"), now, &h));
  struct st_lease_keep k = { .id = a.lease[0].id, .slots = 3 };
  request.keep = &k;
  request.keeps = 1;
  request.number++;
  out.len = 0;
  st_lessor_request (&a, &v, &request, now, &out);
  request.keeps = 0;
  CU_ASSERT_EQUAL (out.len, 1);
  CU_ASSERT_EQUAL (out.item[0].kind, ST_GRANT_SHORTAGE);
  st_lessor_take_over (&b, &h, now, &out);
  st_handover_free (&h);
  for (; now <= 4 * S; now += 500 * MS)
    {
      an.uptime = now + 500 * MS;
      st_lessor_announce (&b, &v, &an, now, &out, NULL);
    }
  request.number++;
  out.len = 0;
  st_lessor_request (&b, &v, &request, 4 * S, &out);
  CU_ASSERT_EQUAL (out.item[0].kind, ST_GRANT_NEW);
  CU_ASSERT_EQUAL (out.item[0].u.lend.slots, 2);
  st_lessor_free (&a);
  st_lessor_free (&b);
  st_grants_free (&out);
}

/* Guards against a frozen process that wakes up and lends as before.  */
static void
test_frozen_daemon_resigns (void)
{
  struct st_lessor l;
  struct st_view v = { .self = 1 };
  struct st_grants out = { .item = NULL };

  st_lessor_init (&l, 1, 7, 0);
  for (zp_time t = 0; t <= 3 * S; t += 500 * MS)
    {
      struct st_announce a = booking_server ("b1", 5, t);

      st_lessor_announce (&l, &v, &a, t, &out, NULL);
    }
  st_lessor_step (&l, &v, 3 * S + ZP_LEASE_TTL, &out);
  CU_ASSERT_EQUAL (l.owner.epoch, 7);
  st_lessor_step (&l, &v, 3 * S + 2 * ZP_LEASE_TTL + 1, &out);
  CU_ASSERT_EQUAL (l.owner.epoch, 8);
  CU_ASSERT_EQUAL (l.owner.servers, 0);
  st_lessor_free (&l);
}

/* Guards against all servers preferring one entry VM, against preferring a VM
   that is dead or stops, and against a needless move when another VM joins. */
static void
test_preferred_entry (void)
{
  struct st_view v = { .self = 1 };
  unsigned hits[4] = { 0 }, moved = 0;
  struct st_member m = { .live = true, .failure_domain = "west-1" };

  for (m.id = 1; m.id <= 2; m.id++)
    st_view_put (&v, &m);
  for (unsigned i = 0; i < 200; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "b%u", i);
      struct zp_str s = zp_str_from (name);
      uint64_t two = st_view_preferred (&v, ZP_STR ("west-1"), s)->id;
      hits[two]++;
      m.id = 3;
      st_view_put (&v, &m);
      uint64_t three = st_view_preferred (&v, ZP_STR ("west-1"), s)->id;
      moved += three != two;
      CU_ASSERT (three == two || three == 3);
      st_view_remove (&v, 3);
    }
  CU_ASSERT (hits[1] > 50 && hits[2] > 50);
  CU_ASSERT (moved > 0 && moved < 200);
  m = (struct st_member){
    .id = 1, .live = true, .stopping = true, .failure_domain = "west-1"
  };
  st_view_put (&v, &m);
  CU_ASSERT_EQUAL (
      st_view_preferred (&v, ZP_STR ("west-1"), ZP_STR ("b1"))->id, 2);
  CU_ASSERT_PTR_NULL (
      st_view_preferred (&v, ZP_STR ("west-2"), ZP_STR ("b1")));
  st_view_free (&v);
}

/* Guards against accepting an invalid announcement.  */
static void
test_bad_announcement (void)
{
  struct st_owner o;
  struct zp_err err;
  struct st_announce a = booking_server ("b1", 5, -1);

  st_owner_init (&o, 1, 1, 0);
  CU_ASSERT_PTR_NULL (st_owner_announce (&o, &a, 0, &err));
  CU_ASSERT (HAS_TEXT (err.text, "uptime_ms"));
  a.uptime = 0;
  a.id.len = 0;
  CU_ASSERT_PTR_NULL (st_owner_announce (&o, &a, 0, &err));
  CU_ASSERT (HAS_TEXT (err.text, "id: needs"));
  a.id = ZP_STR ("b1");
  a.slots = ZP_SERVER_SLOTS_MAX + 1;
  CU_ASSERT_PTR_NULL (st_owner_announce (&o, &a, 0, &err));
  CU_ASSERT_EQUAL (o.servers, 0);
  st_owner_free (&o);
}

static const struct zp_test tests[] = {
  { "new owner waits", test_new_owner_waits },
  { "ownership ends", test_ownership_ends },
  { "gap begins the wait again", test_gap_begins_the_wait_again },
  { "late announcement counts from sending",
    test_late_announcement_counts_from_sending },
  { "announcement of an earlier process",
    test_announcement_of_an_earlier_process },
  { "hand-over shortens the wait", test_hand_over_shortens_the_wait },
  { "old hand-over is refused", test_old_hand_over_is_refused },
  { "hand-over carries leases", test_hand_over_carries_leases },
  { "frozen daemon resigns", test_frozen_daemon_resigns },
  { "preferred entry", test_preferred_entry },
  { "bad announcement", test_bad_announcement },
};

TEST_MAIN ("owner", tests)
