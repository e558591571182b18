#include "guard.h"
#include "harness.h"

#include <stdlib.h>

#include "roster/client.h"
#include "roster/quota_codec.h"
#include "roster/source.h"
#include "wire/conn.h"
#include "wire/frame.h"

/* The port of the operators' interface has no listener; its address only
   serves as a name.  */
#define ROSTER_PORT 19595
#define HTTP_PORT 19596

/* A control daemon, which answers asks once it leads.  */
struct control
{
  struct fixture *fixture;
  struct tk_task task;
  struct ro_source *source;
  char roster[ZP_ADDRESS_MAX], http[ZP_ADDRESS_MAX];
  unsigned asks;
  uint64_t link; /* of the last ask */
};

/* Two control daemons and two entry daemons, 5 and 6, on one loop.  */
struct fixture
{
  struct tk_loop loop;
  struct control control[2];
  struct tk_task entry[2];
  struct ro_client *client[2];
  unsigned grants[2]; /* that each entry daemon has got */
  struct tk_quota_grant last;
  uint32_t last_tokens;
  bool answers; /* whether control daemons answer asks */
  unsigned connected;
  struct test_guard guard;
};

static void
send_grant (struct control *c, uint64_t link, uint64_t number)
{
  struct tk_msg *m = tk_msg_new (TK_QUOTA_GRANT);
  struct tk_quota_grant *g = &m->u.quota_grant;

  *g = (struct tk_quota_grant){ .holder = 5,
                                .number = number,
                                .term = 3,
                                .grant = 9,
                                .link = link,
                                .ttl = 6 * ZP_SEC,
                                .period = 250 * ZP_MS };
  g->item = zp_alloc (sizeof *g->item);
  g->item[g->len++]
      = (struct tk_quota_grant_item){ .workspace = 77, .tokens = 4 };
  tk_send (ro_source_task (c->source), m);
}

static void
on_control (void *self, struct tk_msg *m)
{
  struct control *c = self;

  switch (m->kind)
    {
    case TK_QUOTA_ASK:
      c->asks++;
      c->link = m->u.quota_ask.link;
      if (c->fixture->answers)
        send_grant (c, c->link, m->u.quota_ask.number);
      break;
    case TK_DAEMON:
      c->fixture->connected += !m->u.daemon.lost;
      break;
    default:
      break;
    }
  tk_msg_free (m);
}

static void
take_grant (struct fixture *f, size_t entry, struct tk_msg *m)
{
  if (m->kind == TK_QUOTA_GRANT)
    {
      f->grants[entry]++;
      f->last = m->u.quota_grant;
      f->last_tokens = f->last.len > 0 ? f->last.item[0].tokens : 0;
    }
  tk_msg_free (m);
}

static void
on_entry_5 (void *self, struct tk_msg *m)
{
  take_grant (self, 0, m);
}

static void
on_entry_6 (void *self, struct tk_msg *m)
{
  take_grant (self, 1, m);
}

static void
open_control (struct fixture *f, struct control *c, unsigned octet)
{
  const char *address = test_address (ROSTER_PORT);
  struct zp_err err = { .text = "" };
  unsigned b, d;

  /* All control daemons use the same port, so each has an IP of its own.  */
  CU_ASSERT_EQUAL_FATAL (sscanf (address, "127.%*u.%u.%u", &b, &d), 2);
  snprintf (c->roster, sizeof c->roster, "127.%u.%u.%u:%u", octet, b, d,
            ROSTER_PORT);
  snprintf (c->http, sizeof c->http, "127.%u.%u.%u:%u", octet, b, d,
            HTTP_PORT);
  c->fixture = f;
  tk_task_init (&c->task, &f->loop, on_control, c);
  const struct ro_source_options o = { .address = zp_str_from (c->roster),
                                       .region = ZP_STR ("a"),
                                       .failure_domain = ZP_STR ("a-1"),
                                       .report_period = 1500 * ZP_MS,
                                       .decider = &c->task };
  c->source = ro_source_open (&f->loop, &o, &err);
  if (!c->source)
    CU_FAIL_FATAL ("the address of the roster is in use");
}

static void
open_client (struct fixture *f, size_t at)
{
  struct zp_str seed[]
      = { zp_str_from (f->control[0].http), zp_str_from (f->control[1].http) };
  const struct zp_strs seeds = { .item = seed, .len = 2 };
  const struct ro_client_options o = { .self = { .kind = TK_DAEMON_ENTRY,
                                                 .id = 5 + at,
                                                 .failure_domain = "a-1",
                                                 .region = "a" },
                                       .seeds = &seeds,
                                       .roster_port = ROSTER_PORT,
                                       .follow_port = HTTP_PORT,
                                       .decider = &f->entry[at] };

  f->client[at] = ro_client_open (&f->loop, &o);
}

#define RUN_UNTIL(f, condition)                                               \
  while (!(condition) && !(f)->guard.fired)                                   \
    ev_run ((f)->loop.ev, EVRUN_ONCE);                                        \
  CU_ASSERT_FATAL (!(f)->guard.fired)

static void
open_fixture (struct fixture *f)
{
  *f = (struct fixture){ .answers = true };
  tk_loop_init (&f->loop);
  tk_task_init (&f->entry[0], &f->loop, on_entry_5, f);
  tk_task_init (&f->entry[1], &f->loop, on_entry_6, f);
  test_guard_start (&f->guard, f->loop.ev, 15.0);
  open_control (f, &f->control[0], 192);
  open_control (f, &f->control[1], 193);
  open_client (f, 0);
  open_client (f, 1);
  RUN_UNTIL (f, f->connected == 4);
}

static void
close_fixture (struct fixture *f)
{
  for (size_t i = 0; i < 2; i++)
    {
      ro_client_close (f->client[i]);
      ro_source_close (f->control[i].source);
      tk_task_free (&f->control[i].task);
      tk_task_free (&f->entry[i]);
    }
  test_guard_stop (&f->guard, f->loop.ev);
  tk_loop_free (&f->loop);
}

static void
run_for (struct fixture *f, zp_time time)
{
  zp_time end = zp_clock_mono () + time;

  while (zp_clock_mono () < end && !f->guard.fired)
    ev_run (f->loop.ev, EVRUN_ONCE);
}

static void
set_leads (struct control *c, bool leads)
{
  struct tk_msg *m = tk_msg_new (TK_CONFIG_FRESH);

  m->u.config_fresh
      = (struct tk_config_fresh){ .fresh = true, .leads = leads };
  tk_send (ro_source_task (c->source), m);
}

/* Has entry daemon AT ask in the name of HOLDER.  */
static void
ask (struct fixture *f, size_t at, uint64_t holder, uint64_t number)
{
  struct tk_msg *m = tk_msg_new (TK_QUOTA_ASK);
  struct tk_quota_ask *a = &m->u.quota_ask;

  *a = (struct tk_quota_ask){ .holder = holder, .number = number };
  a->item = zp_alloc (sizeof *a->item);
  a->item[a->len++] = (struct tk_quota_ask_item){ .workspace = 77, .want = 4 };
  tk_send (ro_client_task (f->client[at]), m);
}

/* Asks as daemon 5 until one of the control daemons has COUNT asks.  */
static void
ask_until (struct fixture *f, const struct control *c, unsigned count)
{
  for (uint64_t number = 1; c->asks < count && !f->guard.fired; number++)
    {
      ask (f, 0, 5, number);
      run_for (f, 20 * ZP_MS);
    }
}

/* Guards against asks that go to a control daemon that does not lead, and
   against ones that still go to the former leader after a change: the change
   takes effect before the next ping.  */
static void
test_leader_change (void)
{
  struct fixture f;

  open_fixture (&f);
  ask (&f, 0, 5, 1);
  run_for (&f, 400 * ZP_MS);
  CU_ASSERT_EQUAL (f.control[0].asks + f.control[1].asks, 0);

  set_leads (&f.control[0], true);
  run_for (&f, 100 * ZP_MS);
  ask (&f, 0, 5, 2);
  RUN_UNTIL (&f, f.grants[0] == 1);
  CU_ASSERT_EQUAL (f.control[0].asks, 1);
  CU_ASSERT_EQUAL (f.control[1].asks, 0);

  set_leads (&f.control[0], false);
  set_leads (&f.control[1], true);
  run_for (&f, 100 * ZP_MS);
  ask (&f, 0, 5, 3);
  RUN_UNTIL (&f, f.grants[0] == 2);
  CU_ASSERT_EQUAL (f.control[0].asks, 1);
  CU_ASSERT_EQUAL (f.control[1].asks, 1);
  close_fixture (&f);
}

/* Guards against a former leader that is cut off, whose last message says that
   it leads, and that keeps the asks from the new one.  */
static void
test_two_leaders (void)
{
  struct fixture f;

  open_fixture (&f);
  set_leads (&f.control[0], true);
  ask_until (&f, &f.control[0], 1);
  unsigned asks = f.control[0].asks;
  set_leads (&f.control[1], true);
  run_for (&f, 100 * ZP_MS);
  ask (&f, 0, 5, 99);
  RUN_UNTIL (&f, f.control[1].asks == 1);
  CU_ASSERT_EQUAL (f.control[0].asks, asks);

  /* The end of the connection to the leader moves the asks as well.  */
  ro_source_close (f.control[1].source);
  f.control[1].source = NULL;
  ask_until (&f, &f.control[0], asks + 1);
  close_fixture (&f);
}

/* Guards against a grant that reaches another daemon than the one that has
   asked, or another connection of it.  */
static void
test_connection_of_grant (void)
{
  struct fixture f;

  open_fixture (&f);
  set_leads (&f.control[0], true);
  ask_until (&f, &f.control[0], 1);
  RUN_UNTIL (&f, f.grants[0] >= 1);
  CU_ASSERT_EQUAL (f.grants[1], 0);
  CU_ASSERT_EQUAL (f.last.holder, 5);
  CU_ASSERT_EQUAL (f.last.term, 3);
  CU_ASSERT_EQUAL (f.last.grant, 9);
  CU_ASSERT_EQUAL (f.last.ttl, 6 * ZP_SEC);
  CU_ASSERT_EQUAL (f.last.period, 250 * ZP_MS);
  CU_ASSERT_EQUAL (f.last_tokens, 4);

  /* The connection ends before the grant; the daemon connects again.  */
  uint64_t link = f.control[0].link;
  f.answers = false;
  f.connected = 0;
  ro_client_close (f.client[0]);
  open_client (&f, 0);
  RUN_UNTIL (&f, f.connected == 2);
  unsigned before = f.grants[0];
  send_grant (&f.control[0], link, 1);
  run_for (&f, 100 * ZP_MS);
  CU_ASSERT_EQUAL (f.grants[0], before);
  CU_ASSERT_EQUAL (f.grants[1], 0);
  close_fixture (&f);
}

/* Guards against a daemon that asks in the name of another one.  */
static void
test_ask_for_another_daemon (void)
{
  struct fixture f;

  open_fixture (&f);
  set_leads (&f.control[0], true);
  ask_until (&f, &f.control[0], 1);
  unsigned asks = f.control[0].asks;
  ask (&f, 1, 5, 50);
  run_for (&f, 100 * ZP_MS);
  CU_ASSERT_EQUAL (f.control[0].asks, asks);
  ask (&f, 1, 6, 51);
  RUN_UNTIL (&f, f.control[0].asks == asks + 1);
  RUN_UNTIL (&f, f.grants[1] == 1);
  close_fixture (&f);
}

static const struct zp_test tests[]
    = { { "asks follow the leader", test_leader_change },
        { "two daemons say that they lead", test_two_leaders },
        { "the connection of a grant", test_connection_of_grant },
        { "an ask for another daemon", test_ask_for_another_daemon } };

TEST_MAIN ("roster-quota", tests)
