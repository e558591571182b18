/* Tests what the entry daemons of a region learn from each other through control
   daemons: requests at servers and loads of servers.  */

#include "roster-fixture.h"

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

/* Sends a sample of the server 8 to the roster task TASK.  */
static void
send_load (struct tk_task *task, unsigned requests, zp_time age)
{
  struct tk_msg *m = tk_msg_new (TK_WORK);

  m->u.work.load = zp_alloc (sizeof *m->u.work.load);
  m->u.work.load[0] = (struct tk_work_load){
    .server = 8, .requests = requests, .pace = 110, .age = age
  };
  m->u.work.loads = 1;
  tk_send (task, m);
}

/* Sends the same on a connection.  */
static void
send_raw_load (struct wi_conn *conn, unsigned requests)
{
  struct tk_work_load x = { .server = 8, .requests = requests };
  const struct tk_work w = { .load = &x, .loads = 1 };
  struct zp_buf b = { .ptr = NULL };

  ro_put_work (&b, &w);
  wi_conn_send (conn, WI_ROSTER_WORK, zp_str_of (&b));
  zp_buf_free (&b);
}

/* Runs the loop for TIME, while the entry daemon sends empty reports.  */
static void
report_for (struct fixture *f, zp_time time)
{
  zp_time begin = zp_clock_mono ();

  while (zp_clock_mono () - begin < time)
    {
      send_work (ro_client_task (f->client), 1);
      for (int i = 0; i < 5; i++)
        ev_run (f->loop.ev, EVRUN_ONCE);
    }
}

/* Guards against loads that do not reach the entry daemons of another control
   daemon of the region, and against those of another region that do; against a
   daemon that gets its own ones back; and against a control daemon that passes
   on what another one has passed to it.  */
static void
test_loads_of_the_region (void)
{
  const struct tk_daemon other = { .kind = TK_DAEMON_ENTRY,
                                   .id = 8,
                                   .name = "edge-8",
                                   .failure_domain = "a-1",
                                   .region = "a" };
  struct fixture f;

  open_fixture (&f);
  open_client (&f);
  open_neighbour (&f);
  RUN_UNTIL (&f, f.connected == 2);
  while (f.loads == 0 && !f.guard.fired)
    {
      send_load (ro_client_task (f.neighbour), 17, 40 * ZP_MS);
      report_for (&f, 20 * ZP_MS);
    }
  CU_ASSERT_FATAL (!f.guard.fired);
  CU_ASSERT_EQUAL (f.load.server, 8);
  CU_ASSERT_EQUAL (f.load.requests, 17);
  CU_ASSERT_EQUAL (f.load.pace, 110);
  CU_ASSERT (f.load.age >= 40 * ZP_MS);

  /* Once each; none of the daemon's own samples.  */
  report_for (&f, 50 * ZP_MS);
  f.loads = 0;
  send_load (ro_client_task (f.client), 3, 0);
  report_for (&f, 100 * ZP_MS);
  CU_ASSERT_EQUAL (f.loads, 0);

  /* Of another daemon at the same control daemon.  */
  struct ro_client *edge = client_of (&f, &other, &f.neighbour_task);
  while (f.loads == 0 && !f.guard.fired)
    {
      send_load (ro_client_task (edge), 4, 0);
      report_for (&f, 20 * ZP_MS);
    }
  CU_ASSERT_EQUAL (f.load.requests, 4);
  ro_client_close (edge);

  /* A daemon of no region that is known here; its connection works, since its
     updates come.  */
  open_silent (&f);
  RUN_UNTIL (&f, f.updates > 0);
  report_for (&f, 50 * ZP_MS);
  f.loads = 0;
  send_raw_load (f.silent, 99);
  report_for (&f, 100 * ZP_MS);
  CU_ASSERT_EQUAL (f.loads, 0);
  CU_ASSERT_PTR_NOT_NULL (f.silent);
  close_fixture (&f);
}

/* Guards against a control daemon that does not relay the samples of its entry
   daemons, also while they have no requests in progress, and against one that
   relays the same sample again and again, or what was relayed to it.  */
static void
test_relayed_loads (void)
{
  struct fixture f;

  open_fixture (&f);
  open_client (&f);
  open_neighbour (&f);
  RUN_UNTIL (&f, f.connected == 2);
  /* The entry task takes the place of the client of this control daemon.  */
  ro_source_set_relay (f.source, &f.entry);
  while (f.loads == 0 && !f.guard.fired)
    {
      send_load (ro_client_task (f.client), 5, 0);
      ev_run (f.loop.ev, EVRUN_ONCE);
    }
  CU_ASSERT_FATAL (!f.guard.fired);
  CU_ASSERT_EQUAL (f.load.requests, 5);
  report_for (&f, 250 * ZP_MS);
  f.loads = 0;
  report_for (&f, 250 * ZP_MS);
  CU_ASSERT_EQUAL (f.loads, 0);
  send_load (ro_client_task (f.neighbour), 6, 0);
  report_for (&f, 250 * ZP_MS);
  /* The answer to the entry daemon, and no relayed copy of it.  */
  CU_ASSERT_EQUAL (f.loads, 1);
  close_fixture (&f);
}

static const struct zp_test tests[]
    = { { "the work of a region", test_work_of_the_region },
        { "the loads of a region", test_loads_of_the_region },
        { "relayed loads", test_relayed_loads } };

TEST_MAIN ("roster-region", tests)
