#include "roster-fixture.h"

#include "roster/seeds.h"

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
        { "renewals", test_renewals } };

TEST_MAIN ("roster", tests)
