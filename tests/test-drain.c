#include "harness.h"
#include "steer-fixture.h"

#include "steer/drain.h"

static const struct st_drain_self self = { .entry = { "e1", 2 },
                                           .failure_domain = { "west-1", 6 },
                                           .region = { "west", 4 } };

static struct st_drains
one_drain (const char *text, zp_time since)
{
  struct st_drains d = { .item = NULL };
  struct st_drain item;

  CU_ASSERT (st_drain_parse (zp_str_from (text), &item, NULL));
  item.since = since;
  st_drains_add (&d, &item);
  return d;
}

/* Guards against drain targets that are parsed as another kind, and invalid
   ones that are not rejected.  */
static void
test_parse (void)
{
  struct st_drain d;
  struct zp_err err;

  CU_ASSERT (st_drain_parse (ZP_STR ("server/b/1"), &d, &err));
  CU_ASSERT_STRING_EQUAL (d.name, "b/1");
  CU_ASSERT (!st_drain_parse (ZP_STR ("server/"), &d, &err));
  CU_ASSERT (!st_drain_parse (ZP_STR ("server"), &d, &err));
  CU_ASSERT (!st_drain_parse (ZP_STR ("site/west"), &d, &err));
  CU_ASSERT (HAS_TEXT (err.text, "expected server/ID"));
}

/* Guards against a kind of drain that affects the wrong look-ups, grants or
   ownership; the rows follow the list in drain.h.  */
static void
test_effects_of_each_kind (void)
{
  static const struct
  {
    const char *text;
    bool look_up, server, owner;
  } row[] = {
    { "server/b1", false, true, false },
    { "server/b2", false, false, false },
    { "entry/e1", true, false, true },
    { "entry/b1", false, false, false },
    { "failure_domain/west-1", true, true, false },
    { "failure_domain/west", false, false, false },
    { "region/west", true, true, false },
    { "region/west-1", false, false, false },
  };

  for (size_t i = 0; i < sizeof row / sizeof row[0]; i++)
    {
      struct st_drains d = one_drain (row[i].text, 0);

      CU_ASSERT_EQUAL (st_drains_cover_entry (
                           &d, self.entry, self.failure_domain, self.region),
                       row[i].look_up);
      CU_ASSERT_EQUAL (st_drains_cover_server (&d, ZP_STR ("b1"),
                                               self.failure_domain,
                                               self.region),
                       row[i].server);
      CU_ASSERT_EQUAL (st_drains_name_entry (&d, self.entry), row[i].owner);
      st_drains_free (&d);
    }
}

/* An entry daemon that is owner and holder at once.  */
struct daemon
{
  struct st_lessor l;
  struct st_holder h;
  struct st_view v;
  struct st_grants grants;
  struct st_actions actions;
};

static void
announce (struct daemon *e, unsigned inflight, zp_time now)
{
  struct st_announce a = booking_server ("b1", 5, now);

  a.inflight = inflight;
  st_lessor_announce (&e->l, &e->v, &a, now, &e->grants, NULL);
}

/* Delivers the messages of the daemon to itself: it owns b1 and needs one slot
   of it.  */
static void
exchange (struct daemon *e, zp_time now)
{
  st_view_put_summary (&e->v, 1, ZP_STR ("booking"), 5, 5, now);
  st_holder_step (&e->h, &e->v, now, &e->actions);
  for (size_t i = 0; i < e->actions.len; i++)
    {
      const struct st_action *o = &e->actions.item[i];
      struct st_lease_request a = { .from = 1 };

      switch (o->kind)
        {
        case ST_ACTION_REQUEST:
          a.number = o->u.request.number;
          a.service = zp_str_from (o->u.request.service);
          a.want = o->u.request.want;
          a.keep = o->u.request.keep;
          a.keeps = o->u.request.keeps;
          st_lessor_request (&e->l, &e->v, &a, now, &e->grants);
          break;
        case ST_ACTION_RETURN:
          st_lessor_return (&e->l, &e->v, 1, &o->u.ret, now, &e->grants);
          break;
        case ST_ACTION_CANCEL:
          break;
        }
    }
  st_actions_free (&e->actions);
  for (size_t i = 0; i < e->grants.len; i++)
    st_holder_grant (&e->h, 1, &e->grants.item[i], now, &e->actions);
  st_grants_free (&e->grants);
}

static void
setup (struct daemon *e)
{
  *e = (struct daemon){ .v.self = 1 };
  st_lessor_init (&e->l, 1, 1, 0);
  st_holder_init (&e->h, 1, 0);
  for (zp_time t = 0; t <= 3 * S; t += 500 * MS)
    announce (e, 0, t);
  st_holder_set_demand (&e->h, ZP_STR ("booking"), 1);
  exchange (e, 3 * S);
}

static void
teardown (struct daemon *e)
{
  st_lessor_free (&e->l);
  st_holder_free (&e->h);
  st_view_free (&e->v);
  st_actions_free (&e->actions);
  st_grants_free (&e->grants);
}

/* Guards against new work on a draining server more than a lease TTL (2 s)
   after the drain began (P6), even if its holder uses it all the time.  */
static void
test_no_new_work_after_lease_ttl (void)
{
  struct daemon e;
  struct st_drains d = one_drain ("server/b1", 3 * S);
  zp_time last = 0;
  unsigned early = 0;

  setup (&e);
  for (zp_time t = 3 * S + 10 * MS; t <= 9 * S; t += 10 * MS)
    {
      if (t % (500 * MS) == 0)
        announce (&e, 0, t);
      if (t == 4 * S)
        CU_ASSERT_EQUAL (st_drains_apply (&d, &e.l, &self), 1);
      exchange (&e, t);
      if (st_holder_take (&e.h, ZP_STR ("b1"), t, &e.actions))
        {
          last = t;
          early += t < 4 * S;
          st_holder_release (&e.h, ZP_STR ("b1"), t, &e.actions);
        }
    }
  CU_ASSERT (early > 0);
  CU_ASSERT (last <= 4 * S + ZP_LEASE_TTL);
  st_drains_free (&d);
  teardown (&e);
}

/* Guards against cancelling a long request on a draining server (P7).  */
static void
test_running_request_is_not_cancelled (void)
{
  struct daemon e;
  struct st_drains d = one_drain ("server/b1", 3 * S);

  setup (&e);
  CU_ASSERT (st_holder_take (&e.h, ZP_STR ("b1"), 3 * S, &e.actions));
  for (zp_time t = 3 * S + 10 * MS; t <= 9 * S; t += 10 * MS)
    {
      if (t % (500 * MS) == 0)
        announce (&e, 1, t);
      st_drains_apply (&d, &e.l, &self);
      exchange (&e, t);
      CU_ASSERT_EQUAL (st_holder_slots (&e.h, ZP_STR ("b1"), t), 1);
    }
  st_holder_release (&e.h, ZP_STR ("b1"), 9 * S, &e.actions);
  CU_ASSERT_EQUAL (e.h.leases, 0);
  st_drains_free (&d);
  teardown (&e);
}

/* Guards against a drain of a server that is reported as done while work is
   left.  */
static void
test_server_progress (void)
{
  struct daemon e;
  struct st_drains d = one_drain ("server/b1", 3 * S);
  struct st_drain_progress p;

  setup (&e);
  CU_ASSERT (st_holder_take (&e.h, ZP_STR ("b1"), 3 * S, &e.actions));
  st_drains_apply (&d, &e.l, &self);
  p = st_drain_progress (&d.item[0], &self, &e.l, &e.h, 3 * S);
  CU_ASSERT_EQUAL (p.slots, 1);
  CU_ASSERT (!p.done);
  for (zp_time t = 3500 * MS; t <= 6 * S; t += 500 * MS)
    announce (&e, t < 6 * S ? 1 : 0, t);
  p = st_drain_progress (&d.item[0], &self, &e.l, &e.h, 6 * S);
  CU_ASSERT_EQUAL (p.slots, 0);
  CU_ASSERT (p.done);
  announce (&e, 1, 6500 * MS);
  p = st_drain_progress (&d.item[0], &self, &e.l, &e.h, 6500 * MS);
  CU_ASSERT_EQUAL (p.inflight, 1);
  CU_ASSERT (!p.done);
  st_drains_free (&d);
  teardown (&e);
}

/* Guards against a drain of an entry daemon that is reported as done while
   callers have the daemon in a cached answer, or while it owns servers
   (P7).  */
static void
test_entry_progress (void)
{
  struct daemon e;
  struct st_drains d = one_drain ("entry/e1", 3 * S);
  struct st_drain_progress p;

  setup (&e);
  CU_ASSERT (st_holder_take (&e.h, ZP_STR ("b1"), 3 * S, &e.actions));
  p = st_drain_progress (&d.item[0], &self, &e.l, &e.h, 3 * S);
  CU_ASSERT_EQUAL (p.owned, 1);
  CU_ASSERT_EQUAL (p.requests, 1);
  CU_ASSERT_EQUAL (p.slots, 0);
  st_holder_release (&e.h, ZP_STR ("b1"), 3 * S, &e.actions);
  for (zp_time t = 3 * S; t <= 6 * S; t += 500 * MS)
    st_lessor_step (&e.l, &e.v, t, &e.grants);
  p = st_drain_progress (&d.item[0], &self, &e.l, &e.h,
                         3 * S + ZP_LOOKUP_TTL - 1);
  CU_ASSERT_EQUAL (p.owned, 0);
  CU_ASSERT (!p.done);
  p = st_drain_progress (&d.item[0], &self, &e.l, &e.h, 3 * S + ZP_LOOKUP_TTL);
  CU_ASSERT (p.done);
  /* The drain does not concern another daemon.  */
  struct st_drain_self other = self;
  other.entry = ZP_STR ("e2");
  p = st_drain_progress (&d.item[0], &other, &e.l, &e.h, 3 * S);
  CU_ASSERT (p.done);
  st_drains_free (&d);
  teardown (&e);
}

static const struct zp_test tests[] = {
  { "parse", test_parse },
  { "effects of each kind", test_effects_of_each_kind },
  { "no new work after lease ttl", test_no_new_work_after_lease_ttl },
  { "running request is not cancelled",
    test_running_request_is_not_cancelled },
  { "server progress", test_server_progress },
  { "entry progress", test_entry_progress },
};

TEST_MAIN ("drain", tests)
