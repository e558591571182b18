#include "harness.h"
#include "seeds.h"
#include "steer-fixture.h"

#include "steer/holder.h"
#include "steer/lease.h"
#include "steer/share.h"

/* Focused tests: one owner (member 1), askers 2 to 5.  Members 1 and 2 are in
   one failure domain.  */

struct one
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
announce (struct one *o, unsigned slots, unsigned connections, bool leaving)
{
  struct st_announce a = booking_server ("b1", slots, o->now);

  a.connections = connections;
  a.leaving = leaving;
  CU_ASSERT_PTR_NOT_NULL (
      st_lessor_announce (&o->l, &o->v, &a, o->now, &o->out, NULL));
}

/* A server with SLOTS slots past its takeover wait.  */
static struct one
one_server (unsigned slots, unsigned connections)
{
  struct one o = { .now = 10 * S, .v.self = 1 };

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
end (struct one *o)
{
  st_lessor_free (&o->l);
  st_view_free (&o->v);
  st_grants_free (&o->out);
}

/* Slots newly granted to HOLDER by an ask for WANT.  */
static unsigned
ask (struct one *o, uint64_t from, unsigned want, const struct st_keep *keep,
     size_t keeps)
{
  struct st_ask a = { .from = from,
                      .number = ++o->number,
                      .service = ZP_STR ("booking"),
                      .want = want,
                      .keep = keep,
                      .keeps = keeps };
  unsigned n = 0;

  o->out.len = 0;
  st_lessor_ask (&o->l, &o->v, &a, o->now, &o->out);
  for (size_t i = 0; i < o->out.len; i++)
    if (o->out.item[i].kind == ST_GRANT_NEW && o->out.item[i].to == from)
      n += o->out.item[i].u.lend.slots;
  return n;
}

static unsigned
count (const struct one *o, enum st_grant_kind kind, uint64_t to)
{
  unsigned n = 0;

  for (size_t i = 0; i < o->out.len; i++)
    n += o->out.item[i].kind == kind && o->out.item[i].to == to;
  return n;
}

/* Guards against lending the same slot to the owner's own requests and to
   another daemon.  */
static void
test_own_use_and_lent_share_the_slots (void)
{
  struct one o = one_server (5, 360);

  CU_ASSERT_EQUAL (ask (&o, 1, 3, NULL, 0), 3);
  CU_ASSERT_EQUAL (ask (&o, 3, 3, NULL, 0), 2);
  CU_ASSERT_EQUAL (ask (&o, 4, 1, NULL, 0), 0);
  CU_ASSERT_EQUAL (count (&o, ST_GRANT_SHORT, 4), 1);
  end (&o);
}

/* Guards against more leases than connections.  */
static void
test_connections_limit_slots (void)
{
  struct one o = one_server (5, 3);

  CU_ASSERT_EQUAL (ask (&o, 3, 5, NULL, 0), 3);
  end (&o);
}

/* Guards against a copy of an ask taking slots again.  */
static void
test_repeated_ask_is_ignored (void)
{
  struct one o = one_server (5, 360);

  CU_ASSERT_EQUAL (ask (&o, 3, 2, NULL, 0), 2);
  o.number--;
  CU_ASSERT_EQUAL (ask (&o, 3, 2, NULL, 0), 0);
  CU_ASSERT_EQUAL (o.l.owner.server[0]->lent, 2);
  end (&o);
}

/* Guards against lost slots: a lease that nobody renews comes back, not before
   the holder's end and 1%, and what waits is served then.  */
static void
test_expiry_serves_those_who_wait (void)
{
  struct one o = one_server (2, 360);

  CU_ASSERT_EQUAL (ask (&o, 3, 2, NULL, 0), 2);
  zp_time given = o.now;
  for (int i = 0; i < 4; i++)
    {
      o.now += 490 * MS;
      announce (&o, 2, 360, false);
      CU_ASSERT_EQUAL (ask (&o, 4, 1, NULL, 0), 0);
    }
  o.out.len = 0;
  o.now = given + ZP_LEASE_TTL * 101 / 100 - 1;
  st_lessor_step (&o.l, &o.v, o.now, &o.out);
  CU_ASSERT_EQUAL (count (&o, ST_GRANT_NEW, 4), 0);
  o.now++;
  st_lessor_step (&o.l, &o.v, o.now, &o.out);
  CU_ASSERT_EQUAL (count (&o, ST_GRANT_NEW, 4), 1);
  end (&o);
}

/* Guards against a holder that renews for ever while others get nothing.  */
static void
test_no_asker_starves (void)
{
  struct one o = one_server (4, 360);

  CU_ASSERT_EQUAL (ask (&o, 3, 4, NULL, 0), 4);
  ask (&o, 4, 4, NULL, 0);
  CU_ASSERT_EQUAL (count (&o, ST_GRANT_RECALL, 3), 2);
  struct st_keep k = { .id = o.l.lease[0].id, .slots = 2 };
  o.out.len = 0;
  st_lessor_return (&o.l, &o.v, 3, &k, o.now, &o.out);
  CU_ASSERT_EQUAL (o.out.item[0].kind, ST_GRANT_NEW);
  CU_ASSERT_EQUAL (o.out.item[0].u.lend.slots, 2);
  end (&o);
}

/* Guards against the same with fewer slots than askers: the slot changes hands
   after a turn.  */
static void
test_one_slot_takes_turns (void)
{
  struct one o = one_server (1, 360);

  CU_ASSERT_EQUAL (ask (&o, 3, 1, NULL, 0), 1);
  CU_ASSERT_EQUAL (ask (&o, 4, 1, NULL, 0), 0);
  CU_ASSERT_EQUAL (count (&o, ST_GRANT_RECALL, 3), 0);
  o.now += 250 * MS;
  st_lessor_step (&o.l, &o.v, o.now, &o.out);
  CU_ASSERT_EQUAL (count (&o, ST_GRANT_RECALL, 3), 1);
  end (&o);
}

/* Guards against remote demand that takes the home part, against keeping the
   part idle when home does not need it, and against a remote asker that gets
   nothing at all.  */
static void
test_home_part_only_with_demand (void)
{
  struct one o = one_server (6, 360);

  CU_ASSERT_EQUAL (ask (&o, 4, 6, NULL, 0), 6);
  ask (&o, 2, 6, NULL, 0);
  CU_ASSERT_EQUAL (count (&o, ST_GRANT_RECALL, 4), 5);
  struct st_keep k = { .id = o.l.lease[0].id, .slots = 1 };
  st_lessor_return (&o.l, &o.v, 4, &k, o.now, &o.out);
  ask (&o, 3, 6, NULL, 0);
  o.now += ST_TURN;
  o.out.len = 0;
  st_lessor_step (&o.l, &o.v, o.now, &o.out);
  CU_ASSERT_EQUAL (count (&o, ST_GRANT_RECALL, 2), 0);
  CU_ASSERT_EQUAL (count (&o, ST_GRANT_RECALL, 4), 1);
  end (&o);
}

/* Guards against an owner whose home holders keep every slot for ever.  */
static void
test_home_leaves_a_slot (void)
{
  struct one o = one_server (6, 360);

  CU_ASSERT_EQUAL (ask (&o, 2, 6, NULL, 0), 6);
  ask (&o, 4, 6, NULL, 0);
  CU_ASSERT_EQUAL (count (&o, ST_GRANT_RECALL, 2), 1);
  end (&o);
}

/* Guards against new work for a leaving server after 2 s (P6), and against
   cancelling what runs there (P7): a renewal takes the right to new work.  */
static void
test_leaving_server_gets_no_new_work (void)
{
  struct one o = one_server (5, 360);

  CU_ASSERT_EQUAL (ask (&o, 3, 2, NULL, 0), 2);
  o.now += 100 * MS;
  o.out.len = 0;
  announce (&o, 5, 360, true);
  CU_ASSERT_EQUAL (count (&o, ST_GRANT_RECALL, 3), 1);
  CU_ASSERT_EQUAL (o.out.item[0].u.recall.keep, 0);
  struct st_keep k = { .id = o.l.lease[0].id, .slots = 2 };
  CU_ASSERT_EQUAL (ask (&o, 3, 2, &k, 1), 0);
  CU_ASSERT_EQUAL (count (&o, ST_GRANT_RENEWED, 3), 1);
  CU_ASSERT_EQUAL (o.out.item[0].u.renewed.keep, 0);
  end (&o);
}

/* Guards against a server that lowers its slots and is never relieved.  */
static void
test_lowered_slots_are_recalled (void)
{
  struct one o = one_server (5, 360);

  CU_ASSERT_EQUAL (ask (&o, 3, 5, NULL, 0), 5);
  o.out.len = 0;
  announce (&o, 5, 360, false);
  o.now += 500 * MS;
  announce (&o, 2, 144, false);
  CU_ASSERT_EQUAL (count (&o, ST_GRANT_RECALL, 3), 1);
  CU_ASSERT_EQUAL (o.out.item[0].u.recall.keep, 2);
  end (&o);
}

/* Holder: the grant of ASK N from owner 1.  */
static struct st_grant
grant (uint64_t ask_number, uint64_t number, unsigned slots)
{
  struct st_grant g
      = { .kind = ST_GRANT_NEW,
          .ask = ask_number,
          .id = { .owner = 1, .epoch = 1, .number = number },
          .u.lend
          = { .slots = slots, .connections = slots, .ttl = ZP_LEASE_TTL } };

  zp_str_copy (g.u.lend.server, ZP_NAME_MAX, ZP_STR ("b1"));
  zp_str_copy (g.u.lend.service, ZP_NAME_MAX, ZP_STR ("booking"));
  return g;
}

struct two
{
  struct st_holder h;
  struct st_view v;
  struct st_outs out;
};

/* Member 2 knows owner 1 (near) and owner 4 (far), both with free slots, and
   lacks MISSING slots.  */
static struct two
one_holder (unsigned missing)
{
  struct two t = { .v.self = 2 };

  put_member (&t.v, 1, "west-1", "west");
  put_member (&t.v, 2, "west-1", "west");
  put_member (&t.v, 4, "east-1", "east");
  st_view_put_latency (&t.v, ZP_STR ("west"), ZP_STR ("east"), 55 * MS);
  st_view_put_summary (&t.v, 4, ZP_STR ("booking"), 9, 9, 0);
  st_view_put_summary (&t.v, 1, ZP_STR ("booking"), 3, 9, 0);
  st_holder_init (&t.h, 2, 0);
  st_holder_want (&t.h, ZP_STR ("booking"), missing);
  st_holder_step (&t.h, &t.v, 0, &t.out);
  return t;
}

static void
end_holder (struct two *t)
{
  st_holder_free (&t->h);
  st_view_free (&t->v);
  st_outs_free (&t->out);
}

/* Guards against asking far away first, and against a storm: more requests
   within the gap cause no further ask to the same owner.  */
static void
test_asks_are_near_and_bounded (void)
{
  struct two t = one_holder (5);

  CU_ASSERT_EQUAL (t.out.len, 1);
  CU_ASSERT_EQUAL (t.out.item[0].to, 1);
  CU_ASSERT_EQUAL (t.out.item[0].u.ask.want, 3);
  for (zp_time now = 1; now < ST_ASK_GAP; now += MS)
    {
      st_holder_want (&t.h, ZP_STR ("booking"), (unsigned) (now / MS + 6));
      st_holder_step (&t.h, &t.v, now, &t.out);
    }
  CU_ASSERT_EQUAL (t.out.len, 1);
  st_holder_want (&t.h, ZP_STR ("booking"), 5);
  st_holder_step (&t.h, &t.v, 110 * MS, &t.out);
  CU_ASSERT_EQUAL (t.out.len, 2);
  CU_ASSERT_EQUAL (t.out.item[1].to, 4);
  CU_ASSERT_EQUAL (t.out.item[1].u.ask.want, 2);
  end_holder (&t);
}

/* Guards against use after the end: the end counts from the ask.  */
static void
test_end_counts_from_the_ask (void)
{
  struct two t = one_holder (3);
  struct st_grant g = grant (1, 1, 2);

  st_holder_grant (&t.h, 1, &g, 900 * MS, &t.out);
  CU_ASSERT (st_holder_take (&t.h, ZP_STR ("b1"), 1999 * MS, &t.out));
  t.out.len = 0;
  CU_ASSERT (!st_holder_take (&t.h, ZP_STR ("b1"), 2000 * MS, &t.out));
  CU_ASSERT_EQUAL (t.out.len, 1);
  CU_ASSERT_EQUAL (t.out.item[0].kind, ST_OUT_CANCEL);
  CU_ASSERT_EQUAL (t.out.item[0].u.cancel.count, 1);
  end_holder (&t);
}

/* Guards against a copy of a grant that revives a returned lease.  */
static void
test_copy_of_a_grant_is_ignored (void)
{
  struct two t = one_holder (3);
  struct st_grant g = grant (1, 1, 2);

  st_holder_want (&t.h, ZP_STR ("booking"), 0);
  st_holder_grant (&t.h, 1, &g, 10 * MS, &t.out);
  for (zp_time now = 10 * MS; now <= 800 * MS; now += 10 * MS)
    st_holder_step (&t.h, &t.v, now, &t.out);
  CU_ASSERT_EQUAL (st_holder_slots (&t.h, ZP_STR ("b1"), 800 * MS), 0);
  st_holder_grant (&t.h, 1, &g, 800 * MS, &t.out);
  CU_ASSERT_EQUAL (st_holder_slots (&t.h, ZP_STR ("b1"), 800 * MS), 0);
  end_holder (&t);
}

/* Guards against a recall that cancels work or that is reused first.  */
static void
test_recalled_slot_returns_when_idle (void)
{
  struct two t = one_holder (3);
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
  st_holder_give (&t.h, ZP_STR ("b1"), 40 * MS, &t.out);
  CU_ASSERT_EQUAL (t.out.len, 1);
  CU_ASSERT_EQUAL (t.out.item[0].kind, ST_OUT_RETURN);
  CU_ASSERT_EQUAL (t.out.item[0].u.ret.slots, 1);
  CU_ASSERT (!st_holder_take (&t.h, ZP_STR ("b1"), 40 * MS, &t.out));
  /* What still runs is renewed, even when every slot is recalled.  */
  r.u.recall.keep = 0;
  st_holder_want (&t.h, ZP_STR ("booking"), 0);
  st_holder_grant (&t.h, 1, &r, 50 * MS, &t.out);
  t.out.len = 0;
  st_holder_step (&t.h, &t.v, 1001 * MS, &t.out);
  CU_ASSERT_EQUAL (t.out.len, 1);
  CU_ASSERT_EQUAL (t.out.item[0].u.ask.keeps, 1);
  end_holder (&t);
}

#include "lease-world.h"

/* Guards against any order of events that lets holders use more than a server
   has, and against a world in which nothing happens.  */
static void
test_sum_never_exceeds_capacity (void)
{
  CU_ASSERT_EQUAL (seeds_run (world_holds, 150), 0);
  printf (" taken %lu, handed over %lu, resigned %lu\n", world_taken,
          world_adopted, world_resigned);
  CU_ASSERT (world_taken > 0 && world_adopted > 0 && world_resigned > 0);
}

static const struct zp_test tests[] = {
  { "own use and lent slots share the slots",
    test_own_use_and_lent_share_the_slots },
  { "connections limit slots", test_connections_limit_slots },
  { "repeated ask is ignored", test_repeated_ask_is_ignored },
  { "expiry serves those who wait", test_expiry_serves_those_who_wait },
  { "no asker starves", test_no_asker_starves },
  { "one slot takes turns", test_one_slot_takes_turns },
  { "home part only with demand", test_home_part_only_with_demand },
  { "home leaves a slot", test_home_leaves_a_slot },
  { "leaving server gets no new work", test_leaving_server_gets_no_new_work },
  { "lowered slots are recalled", test_lowered_slots_are_recalled },
  { "asks are near and bounded", test_asks_are_near_and_bounded },
  { "end counts from the ask", test_end_counts_from_the_ask },
  { "copy of a grant is ignored", test_copy_of_a_grant_is_ignored },
  { "recalled slot returns when idle", test_recalled_slot_returns_when_idle },
  { "sum never exceeds capacity", test_sum_never_exceeds_capacity },
};

TEST_MAIN ("lease", tests)
