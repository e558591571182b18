#include "harness.h"

#include "steer/health.h"

#define SERVERS 12

struct fixture
{
  struct st_health_group group;
  struct st_health h[SERVERS];
  struct zp_rng rng;
};

static void
setup (struct fixture *f, int n)
{
  *f = (struct fixture){ .group = { .servers = 0 } };
  zp_rng_seed (&f->rng, 11);
  for (int i = 0; i < n; i++)
    st_health_add (&f->h[i], &f->group, 0);
}

/* Reports the outcome of an attempt at server I.  */
static struct st_health_event
report (struct fixture *f, int i, enum st_attempt_end e, zp_time started,
        bool fresh, zp_time now)
{
  struct st_outcome o = { .end = e, .started = started, .fresh = fresh };
  return st_health_outcome (&f->h[i], &f->group, &o, now, &f->rng);
}

/* Reports refused connections until server I is ejected.  Returns the end of
   the ejection.  */
static zp_time
refuse_until_ejected (struct fixture *f, int i, zp_time now)
{
  struct st_health_event e = report (f, i, ST_END_REFUSED, now, true, now);

  if (e.kind == ST_EVENT_NONE)
    e = report (f, i, ST_END_REFUSED, now, true, now);
  CU_ASSERT_EQUAL (e.kind, ST_EVENT_EJECTED);
  return e.until;
}

/* Guards against ejecting a healthy server because all its open connections
   broke or went silent at once.  */
static void
test_broken_connections_do_not_eject (void)
{
  struct fixture f;

  setup (&f, SERVERS);
  CU_ASSERT_EQUAL (report (&f, 0, ST_END_LOST, 0, false, 100).kind,
                   ST_EVENT_SUSPECTED);
  for (int i = 0; i < 50; i++)
    /* Started before the suspicion, on connections that were fresh.  */
    report (&f, 0, i % 2 ? ST_END_LOST : ST_END_TIMEOUT, 50, true, 200);
  CU_ASSERT_EQUAL (st_health_state (&f.h[0], 200), ST_HEALTH_UP);
  CU_ASSERT (st_health_wants_fresh (&f.h[0]));

  /* An answer on an old connection does not clear the suspicion.  */
  report (&f, 0, ST_END_ANSWER, 50, false, 300);
  CU_ASSERT (st_health_wants_fresh (&f.h[0]));
  report (&f, 0, ST_END_ANSWER, 300, true, 400);
  CU_ASSERT (!st_health_wants_fresh (&f.h[0]));

  report (&f, 0, ST_END_LOST, 400, false, 500);
  report (&f, 0, ST_END_LOST, 500, true, 600);
  CU_ASSERT_EQUAL (st_health_state (&f.h[0], 600), ST_HEALTH_UP);
  CU_ASSERT_EQUAL (report (&f, 0, ST_END_LOST, 600, true, 700).kind,
                   ST_EVENT_EJECTED);
}

/* Guards against ejection times that do not grow or are equal for two servers,
   and against a return without a successful probe or without slow start.  */
static void
test_ejection_and_probe (void)
{
  struct fixture f;
  zp_time now = 0, length = 0;

  setup (&f, SERVERS);
  zp_time a = refuse_until_ejected (&f, 0, now),
          b = refuse_until_ejected (&f, 1, now);
  CU_ASSERT (a != b);
  CU_ASSERT_EQUAL (st_health_state (&f.h[0], a - 1), ST_HEALTH_EJECTED);
  for (int i = 0; i < 4; i++)
    {
      zp_time t = f.h[0].until - now;
      CU_ASSERT (t > length);
      length = t;
      now = f.h[0].until;
      CU_ASSERT_EQUAL (st_health_state (&f.h[0], now), ST_HEALTH_PROBE_DUE);
      st_health_begin_probe (&f.h[0], now);
      CU_ASSERT_EQUAL (st_health_state (&f.h[0], now + 1), ST_HEALTH_PROBING);
      /* The outcome of an earlier attempt does not count as the probe's.  */
      report (&f, 0, ST_END_ANSWER, now - 1, false, now + 1);
      CU_ASSERT_EQUAL (st_health_state (&f.h[0], now + 1), ST_HEALTH_PROBING);
      report (&f, 0, ST_END_TIMEOUT, now, true, now);
    }
  now = f.h[0].until;
  st_health_begin_probe (&f.h[0], now);
  CU_ASSERT_EQUAL (report (&f, 0, ST_END_ANSWER, now, true, now).kind,
                   ST_EVENT_RETURNED);
  CU_ASSERT (st_health_ramp (&f.h[0], now) < 0.2);
  CU_ASSERT_DOUBLE_EQUAL (st_health_ramp (&f.h[0], now + 5 * ZP_SEC), 0.5,
                          0.01);
  CU_ASSERT_EQUAL (st_health_ramp (&f.h[0], now + 10 * ZP_SEC), 1.0);

  /* A new probe is due when the outcome of one is not reported.  */
  st_health_begin_probe (&f.h[1], b);
  CU_ASSERT_EQUAL (st_health_state (&f.h[1], b + 10 * ZP_SEC),
                   ST_HEALTH_PROBE_DUE);
  for (int i = 0; i < 20; i++)
    refuse_until_ejected (&f, 2, f.h[2].until),
        st_health_begin_probe (&f.h[2], f.h[2].until);
  CU_ASSERT (f.h[2].until - f.h[2].probe_started <= ST_HEALTH_EJECT_MAX * 2);
}

/* Guards against ejecting too many servers of a service because the requests
   of one caller always fail.  */
static void
test_ejection_limit (void)
{
  struct fixture f;
  unsigned up = 0;
  bool capped = false;

  setup (&f, SERVERS);
  for (int round = 0; round < 20; round++)
    for (int i = 0; i < SERVERS; i++)
      capped |= report (&f, i, ST_END_STATUS, 0, false, round).kind
                == ST_EVENT_CAPPED;
  for (int i = 0; i < SERVERS; i++)
    up += st_health_state (&f.h[i], 20) == ST_HEALTH_UP;
  CU_ASSERT (capped);
  CU_ASSERT_EQUAL (up, SERVERS - SERVERS / ST_HEALTH_EJECT_DIVISOR);
  for (int i = 0; i < SERVERS; i++)
    st_health_remove (&f.h[i], &f.group);
  CU_ASSERT_EQUAL (f.group.ejected + f.group.servers, 0);

  /* Guards against traffic to dead servers: when the limit applied to refused
     connections, the scenario half-servers refused one request in twelve.  */
  setup (&f, SERVERS);
  for (int i = 0; i < SERVERS; i++)
    refuse_until_ejected (&f, i, 0);
  CU_ASSERT_EQUAL (f.group.ejected, SERVERS);

  setup (&f, 1);
  for (int i = 0; i < 50; i++)
    report (&f, 0, ST_END_STATUS, 0, false, i);
  CU_ASSERT_EQUAL (st_health_state (&f.h[0], 50), ST_HEALTH_UP);
}

/* Guards against keeping a server that fails more than half of its requests
   but never many in a row, and against ejecting one that sheds load or fails
   rarely.  */
static void
test_failure_rate (void)
{
  struct fixture f;

  setup (&f, SERVERS);
  for (int i = 0; i < 1000; i++)
    {
      report (&f, 0, i % 10 == 0 ? ST_END_STATUS : ST_END_ANSWER, i, false, i);
      report (&f, 1, ST_END_SHED, i, false, i);
      report (&f, 2, i % 3 == 0 ? ST_END_ANSWER : ST_END_STATUS, i, false, i);
      report (&f, 3, ST_END_CANCELLED, i, false, i);
    }
  CU_ASSERT_EQUAL (st_health_state (&f.h[0], 1000), ST_HEALTH_UP);
  CU_ASSERT_EQUAL (st_health_state (&f.h[1], 1000), ST_HEALTH_UP);
  CU_ASSERT_EQUAL (st_health_state (&f.h[2], 1000), ST_HEALTH_EJECTED);
  CU_ASSERT_EQUAL (st_health_state (&f.h[3], 1000), ST_HEALTH_UP);
}

static const struct zp_test tests[]
    = { { "broken connections do not eject",
          test_broken_connections_do_not_eject },
        { "ejection and probe", test_ejection_and_probe },
        { "ejection limit", test_ejection_limit },
        { "failure rate", test_failure_rate } };

TEST_MAIN ("health", tests)
