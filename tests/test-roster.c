#include "guard.h"
#include "harness.h"

#include <stdlib.h>

#include "roster/client.h"
#include "roster/codec.h"
#include "roster/seeds.h"
#include "roster/source.h"
#include "wire/conn.h"
#include "wire/frame.h"

/* Ports of the control daemon.  Nothing listens on the one of the operators'
   interface: its address only serves as a name.  */
#define ROSTER_PORT 19590
#define HTTP_PORT 19592

/* A control daemon and an entry daemon on one loop.  */
struct fixture
{
  struct tk_loop loop;
  struct tk_task control;
  struct ro_source *source;
  char address[ZP_ADDRESS_MAX]; /* of the roster */
  char http[ZP_ADDRESS_MAX];
  unsigned settled; /* number of TK_SERVER_SETTLED */
  zp_time settled_at;
  unsigned connected, lost;

  struct tk_task entry;
  struct ro_client *client;
  struct tk_server got;
  unsigned servers, entry_count, sources;
  unsigned losses;
  unsigned renewals;           /* servers in TK_RENEWALS */
  unsigned work;               /* requests in the last TK_WORK */
  struct ro_client *neighbour; /* of another control daemon of the region */
  unsigned neighbour_messages; /* that it passed to its deciding task */
  struct tk_task neighbour_task;
  zp_time report_period;

  /* A daemon that takes updates and never acknowledges them.  */
  struct wi_conn *silent;
  unsigned updates;       /* that it has got */
  unsigned with_controls; /* of them, those that list control daemons */
  struct test_guard guard;
};

static void
on_control (void *self, struct tk_msg *m)
{
  struct fixture *f = self;

  switch (m->kind)
    {
    case TK_SERVER_SETTLED:
      f->settled++;
      f->settled_at = zp_clock_mono ();
      break;
    case TK_DAEMON:
      f->connected += !m->u.daemon.lost;
      f->lost += m->u.daemon.lost;
      break;
    default:
      break;
    }
  tk_msg_free (m);
}

static void
on_entry (void *self, struct tk_msg *m)
{
  struct fixture *f = self;

  switch (m->kind)
    {
    case TK_SERVER:
      f->got = m->u.server;
      f->servers++;
      break;
    case TK_ENTRY_COUNT:
      f->entry_count = m->u.entry_count.entries;
      break;
    case TK_CONFIG_SOURCES:
      f->sources++;
      break;
    case TK_LOSS:
      f->losses++;
      break;
    case TK_RENEWALS:
      f->renewals += (unsigned) m->u.renewals.len;
      break;
    case TK_WORK:
      f->work = 0;
      for (size_t i = 0; i < m->u.work.len; i++)
        f->work += m->u.work.item[i].count;
      break;
    default:
      break;
    }
  tk_msg_free (m);
}

static void
on_neighbour (void *self, struct tk_msg *m)
{
  struct fixture *f = self;

  f->neighbour_messages += m->kind != TK_ENTRY_COUNT;
  tk_msg_free (m);
}

static void
open_source (struct fixture *f)
{
  struct zp_err err = { .text = "" };
  const struct ro_source_options o = { .address = zp_str_from (f->address),
                                       .region = ZP_STR ("a"),
                                       .failure_domain = ZP_STR ("a-1"),
                                       .report_period = f->report_period,
                                       .decider = &f->control };

  f->source = ro_source_open (&f->loop, &o, &err);
  if (!f->source)
    CU_FAIL_FATAL ("the address of the roster is in use");
}

static void
open_fixture (struct fixture *f)
{
  *f = (struct fixture){ .report_period = 1500 * ZP_MS };
  snprintf (f->address, sizeof f->address, "%s", test_address (ROSTER_PORT));
  snprintf (f->http, sizeof f->http, "%s", test_address (HTTP_PORT));
  tk_loop_init (&f->loop);
  tk_task_init (&f->control, &f->loop, on_control, f);
  tk_task_init (&f->entry, &f->loop, on_entry, f);
  tk_task_init (&f->neighbour_task, &f->loop, on_neighbour, f);
  test_guard_start (&f->guard, f->loop.ev, 15.0);
  open_source (f);
}

static struct ro_client *
client_of (struct fixture *f, const struct tk_daemon *self,
           struct tk_task *decider)
{
  struct zp_str seed = zp_str_from (f->http);
  const struct zp_strs seeds = { .item = &seed, .len = 1 };
  const struct ro_client_options o = { .self = *self,
                                       .seeds = &seeds,
                                       .roster_port = ROSTER_PORT,
                                       .follow_port = HTTP_PORT,
                                       .decider = decider,
                                       .follower = &f->entry };

  return ro_client_open (&f->loop, &o);
}

static void
open_client (struct fixture *f)
{
  const struct tk_daemon self = { .kind = TK_DAEMON_ENTRY,
                                  .id = 5,
                                  .name = "edge-5",
                                  .failure_domain = "a-1",
                                  .region = "a" };

  f->client = client_of (f, &self, &f->entry);
}

static void
open_neighbour (struct fixture *f)
{
  const struct tk_daemon self = { .kind = TK_DAEMON_CONTROL,
                                  .id = 6,
                                  .name = "core-6",
                                  .address = "10.0.0.6:80",
                                  .failure_domain = "a-2",
                                  .region = "a" };

  f->neighbour = client_of (f, &self, &f->neighbour_task);
}

/* Tells the roster task TASK of COUNT requests at a server.  */
static void
send_work (struct tk_task *task, unsigned count)
{
  struct tk_msg *m = tk_msg_new (TK_WORK);

  m->u.work.item = zp_alloc (sizeof *m->u.work.item);
  m->u.work.item[0] = (struct tk_work_item){ .server = 7, .count = count };
  m->u.work.len = 1;
  tk_send (task, m);
}

static void
close_fixture (struct fixture *f)
{
  wi_conn_free (f->silent);
  ro_client_close (f->client);
  ro_client_close (f->neighbour);
  ro_source_close (f->source);
  test_guard_stop (&f->guard, f->loop.ev);
  tk_task_free (&f->control);
  tk_task_free (&f->entry);
  tk_task_free (&f->neighbour_task);
  tk_loop_free (&f->loop);
}

#define RUN_UNTIL(f, condition)                                               \
  while (!(condition) && !(f)->guard.fired)                                   \
    ev_run ((f)->loop.ev, EVRUN_ONCE);                                        \
  CU_ASSERT_FATAL (!(f)->guard.fired)

static void
report (struct fixture *f, const char *id, enum tk_server_state state,
        uint64_t seq, uint64_t report_id)
{
  struct tk_msg *m = tk_msg_new (TK_SERVER);

  m->u.server = (struct tk_server){ .service = "svc",
                                    .address = "10.0.0.1:80",
                                    .slots = 6,
                                    .state = state,
                                    .born_ms = 1000,
                                    .seq = seq,
                                    .report_id = report_id };
  zp_str_copy (m->u.server.id, sizeof m->u.server.id, zp_str_from (id));
  tk_send (ro_source_task (f->source), m);
}

/* Guards against a server whose leave report is acknowledged before the entry
   daemon has it.  */
static void
test_settled_after_acknowledgement (void)
{
  struct fixture f;

  open_fixture (&f);
  open_client (&f);
  report (&f, "a", TK_SERVER_READY, 1, 0);
  RUN_UNTIL (&f, f.servers == 1);
  CU_ASSERT_EQUAL (f.got.state, TK_SERVER_READY);
  RUN_UNTIL (&f, f.entry_count == 1);
  report (&f, "a", TK_SERVER_DRAINING, 2, 77);
  RUN_UNTIL (&f, f.settled == 1);
  CU_ASSERT_EQUAL (f.servers, 2);
  CU_ASSERT_EQUAL (f.got.state, TK_SERVER_DRAINING);
  CU_ASSERT (f.sources > 0);
  close_fixture (&f);
}

static void
on_silent_frame (void *self, struct wi_conn *c, uint8_t kind,
                 struct zp_str payload)
{
  struct fixture *f = self;
  struct ro_update u;
  void *owner;

  (void) c;
  if (kind != WI_ROSTER_UPDATE)
    return;
  f->updates++;
  CU_ASSERT (ro_get_update (payload, &u, &owner));
  f->with_controls += u.controls > 0;
  ro_update_free (&u, owner);
}

static void
on_silent_end (void *self, struct wi_conn *c, const struct zp_err *why)
{
  struct fixture *f = self;

  (void) why;
  wi_conn_free (c);
  f->silent = NULL;
}

/* Connects a daemon that takes updates and never acknowledges them.  */
static void
open_silent (struct fixture *f)
{
  static const struct wi_handlers handlers
      = { .on_frame = on_silent_frame, .on_end = on_silent_end };
  const struct tk_daemon self = { .kind = TK_DAEMON_ENTRY, .id = 9 };
  struct zp_buf hello = { .ptr = NULL };

  f->silent = wi_conn_open (f->loop.ev, zp_str_from (f->address), &handlers, f,
                            NULL);
  ro_put_hello (&hello, &self, 0);
  wi_conn_send (f->silent, WI_ROSTER_HELLO, zp_str_of (&hello));
  zp_buf_free (&hello);
}

/* Guards against a frozen entry daemon that delays the acknowledgement of
   reports without limit, and against one that is not waited for at all.  */
static void
test_daemon_without_acknowledgement (void)
{
  struct fixture f;

  open_fixture (&f);
  open_silent (&f);
  RUN_UNTIL (&f, f.connected == 1);
  zp_time before = zp_clock_mono ();
  report (&f, "a", TK_SERVER_DRAINING, 2, 77);
  RUN_UNTIL (&f, f.settled == 1);
  CU_ASSERT (f.settled_at - before >= RO_ACK_TIMEOUT);
  CU_ASSERT (f.settled_at - before < 2 * RO_ACK_TIMEOUT);
  /* It sends no pings either, so that its connection is closed.  */
  RUN_UNTIL (&f, f.lost == 1);
  close_fixture (&f);
}

/* Guards against a connection that ends and is taken as the end of its daemon:
   a leave report is acknowledged while a running entry daemon does not have
   it.  Once the daemon has connected again, its acknowledgement counts.  */
static void
test_connection_ends_before_the_acknowledgement (void)
{
  struct fixture f;

  open_fixture (&f);
  open_silent (&f);
  RUN_UNTIL (&f, f.connected == 1);
  report (&f, "a", TK_SERVER_DRAINING, 2, 77);
  RUN_UNTIL (&f, f.updates == 2);
  zp_time before = zp_clock_mono ();
  wi_conn_free (f.silent);
  f.silent = NULL;
  RUN_UNTIL (&f, f.settled == 1);
  CU_ASSERT (f.settled_at - before >= RO_ACK_TIMEOUT - 50 * ZP_MS);
  CU_ASSERT (f.settled_at - before < 2 * RO_ACK_TIMEOUT);

  open_silent (&f);
  RUN_UNTIL (&f, f.connected == 2);
  report (&f, "a", TK_SERVER_DRAINING, 3, 78);
  wi_conn_free (f.silent);
  f.silent = NULL;
  RUN_UNTIL (&f, f.lost == 2);
  CU_ASSERT_EQUAL (f.settled, 1);
  before = zp_clock_mono ();
  f.client = client_of (
      &f, &(struct tk_daemon){ .kind = TK_DAEMON_ENTRY, .id = 9 }, &f.entry);
  RUN_UNTIL (&f, f.settled == 2);
  CU_ASSERT_EQUAL (f.got.state, TK_SERVER_DRAINING);
  CU_ASSERT (f.settled_at - before < RO_ACK_TIMEOUT / 2);
  close_fixture (&f);
}

/* Guards against an entry daemon that drops its servers while the control
   daemon restarts, or does not connect to it again.  */
static void
test_control_restarts (void)
{
  struct fixture f;

  open_fixture (&f);
  open_client (&f);
  report (&f, "a", TK_SERVER_READY, 1, 0);
  RUN_UNTIL (&f, f.servers == 1);
  ro_source_close (f.source);
  open_source (&f);
  RUN_UNTIL (&f, f.connected == 2);
  report (&f, "b", TK_SERVER_READY, 1, 0);
  RUN_UNTIL (&f, f.servers == 2);
  CU_ASSERT_STRING_EQUAL (f.got.id, "b");
  close_fixture (&f);
}

/* Guards against traffic that grows with the number of control daemons times
   that of the updates: the list of control daemons is sent once, and again
   when it has changed.  */
static void
test_list_of_control_daemons (void)
{
  struct fixture f;

  open_fixture (&f);
  struct tk_msg *m = tk_msg_new (TK_CONFIG_SOURCES);
  zp_buf_put (&m->u.addresses.lines, ZP_STR ("10.0.0.8:1\n"));
  tk_send (ro_source_task (f.source), m);
  open_silent (&f);
  RUN_UNTIL (&f, f.updates == 1);
  CU_ASSERT_EQUAL (f.with_controls, 1);
  for (unsigned i = 1; i <= 5; i++)
    {
      unsigned updates = f.updates;
      report (&f, "a", i % 2 ? TK_SERVER_READY : TK_SERVER_DRAINING, i, 0);
      RUN_UNTIL (&f, f.updates > updates);
    }
  CU_ASSERT_EQUAL (f.with_controls, 1);
  m = tk_msg_new (TK_CONFIG_SOURCES);
  zp_buf_put (&m->u.addresses.lines, ZP_STR ("10.0.0.8:1\n10.0.0.9:1\n"));
  tk_send (ro_source_task (f.source), m);
  RUN_UNTIL (&f, f.with_controls == 2);
  close_fixture (&f);
}

/* Guards against an entry daemon whose number of a server's reports stays
   behind, so that it takes an older report of another control daemon for a
   newer one, and against unchanged reports that are sent one by one.  */
static void
test_renewals (void)
{
  struct fixture f;

  open_fixture (&f);
  ro_source_close (f.source);
  f.report_period = 50 * ZP_MS;
  open_source (&f);
  open_client (&f);
  report (&f, "a", TK_SERVER_READY, 1, 0);
  RUN_UNTIL (&f, f.servers == 1);
  zp_time begin = zp_clock_mono ();
  for (uint64_t seq = 2; f.renewals == 0 && !f.guard.fired; seq++)
    {
      report (&f, "a", TK_SERVER_READY, seq, 0);
      ev_run (f.loop.ev, EVRUN_ONCE);
    }
  CU_ASSERT (zp_clock_mono () - begin < 2 * ZP_SEC);
  CU_ASSERT_EQUAL (f.renewals, 1);
  CU_ASSERT_EQUAL (f.servers, 1);
  close_fixture (&f);
}

/* Guards against entry daemons that do not know of each other's requests, when
   they report to different control daemons of a region, and against requests
   that are counted twice.  A control daemon passes sums on and takes none.  */
static void
test_work_of_the_region (void)
{
  struct fixture f;

  open_fixture (&f);
  open_client (&f);
  open_neighbour (&f);
  RUN_UNTIL (&f, f.connected == 2);
  for (f.work = 0; f.work != 3 + 20 && !f.guard.fired;)
    {
      send_work (ro_client_task (f.client), 3);
      send_work (ro_client_task (f.neighbour), 20);
      for (int i = 0; i < 5; i++)
        ev_run (f.loop.ev, EVRUN_ONCE);
    }
  CU_ASSERT (!f.guard.fired);
  ro_source_set_relay (f.source, ro_client_task (f.neighbour));
  report (&f, "a", TK_SERVER_READY, 1, 0);
  RUN_UNTIL (&f, f.servers == 1);
  CU_ASSERT_EQUAL (f.neighbour_messages, 0);
  close_fixture (&f);
}

/* Guards against an acknowledgement of more than was sent, which would count for
   every later leave report.  */
static void
test_acknowledgement_of_the_future (void)
{
  struct zp_buf ack = { .ptr = NULL };
  struct fixture f;

  open_fixture (&f);
  open_silent (&f);
  RUN_UNTIL (&f, f.updates == 1);
  ro_put_ack (&ack, UINT64_MAX);
  wi_conn_send (f.silent, WI_ROSTER_ACK, zp_str_of (&ack));
  zp_buf_free (&ack);
  zp_time before = zp_clock_mono ();
  while (zp_clock_mono () - before < 50 * ZP_MS)
    ev_run (f.loop.ev, EVRUN_NOWAIT);
  /* The daemon is waited for, because it may still run.  */
  report (&f, "a", TK_SERVER_DRAINING, 2, 77);
  RUN_UNTIL (&f, f.settled == 1);
  CU_ASSERT (f.settled_at - before >= RO_ACK_TIMEOUT / 2);
  close_fixture (&f);
}

/* Guards against a frame of one daemon that ends the connections of the others:
   a loss that is malformed or comes before the hello is not passed on.  */
static void
test_malformed_loss (void)
{
  const struct tk_loss loss = { .fingerprint = 5, .server = 6 };
  struct zp_buf b = { .ptr = NULL };
  struct fixture f;

  open_fixture (&f);
  open_client (&f);
  RUN_UNTIL (&f, f.entry_count == 1);
  open_silent (&f);
  RUN_UNTIL (&f, f.updates == 1);
  wi_conn_send (f.silent, WI_ROSTER_LOSS, ZP_STR ("\xff\xff no message"));
  RUN_UNTIL (&f, f.lost == 1);
  CU_ASSERT_EQUAL (f.losses, 0);

  open_silent (&f);
  RUN_UNTIL (&f, f.updates == 2);
  ro_put_loss (&b, &loss);
  wi_conn_send (f.silent, WI_ROSTER_LOSS, zp_str_of (&b));
  RUN_UNTIL (&f, f.losses == 1);
  zp_buf_free (&b);
  CU_ASSERT_EQUAL (f.lost, 1);
  close_fixture (&f);
}

/* Guards against what one daemon has acknowledged and counts for another one
   that says hello on the same connection.  */
static void
test_hello_of_another_daemon (void)
{
  const struct tk_daemon other = { .kind = TK_DAEMON_ENTRY, .id = 10 };
  struct zp_buf hello = { .ptr = NULL };
  struct fixture f;

  open_fixture (&f);
  open_silent (&f);
  RUN_UNTIL (&f, f.updates == 1);
  ro_put_hello (&hello, &other, 0);
  wi_conn_send (f.silent, WI_ROSTER_HELLO, zp_str_of (&hello));
  zp_buf_free (&hello);
  RUN_UNTIL (&f, f.lost == 1);
  CU_ASSERT_EQUAL (f.connected, 1);
  close_fixture (&f);
}

static const struct zp_test tests[]
    = { { "settled after the acknowledgement",
          test_settled_after_acknowledgement },
        { "a daemon that does not acknowledge",
          test_daemon_without_acknowledgement },
        { "a connection that ends before the acknowledgement",
          test_connection_ends_before_the_acknowledgement },
        { "an acknowledgement of more than was sent",
          test_acknowledgement_of_the_future },
        { "a hello of another daemon", test_hello_of_another_daemon },
        { "a malformed loss", test_malformed_loss },
        { "the control daemon restarts", test_control_restarts },
        { "the list of control daemons", test_list_of_control_daemons },
        { "renewals", test_renewals },
        { "the work of a region", test_work_of_the_region } };

TEST_MAIN ("roster", tests)
