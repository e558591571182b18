/* Tests what the gate task knows of the loads of servers, from its own answers
   and from those of other daemons.  */

#include "gate-fixture.h"

/* Sends the gate a sample of the server with this index, which another daemon
   got AGE ago.  */
static void
share_load (size_t at, unsigned requests, unsigned pace, zp_time age)
{
  struct tk_msg *m = tk_msg_new (TK_WORK);
  struct tk_work *w = &m->u.work;

  w->load = zp_alloc (2 * sizeof *w->load);
  w->load[w->loads++] = (struct tk_work_load){ .server = TK_WORK_TAG (
                                                   f.gate->server[at]->hash),
                                               .requests = requests,
                                               .pace = pace,
                                               .age = age };
  w->load[w->loads++] = (struct tk_work_load){ .server = 1, .requests = 99 };
  tk_send (&f.gate->task, m);
  run_pending ();
}

/* Sends the work of the gate; returns the number of samples in it.  */
static size_t
count_sent_loads (void)
{
  if (f.work)
    tk_msg_free (f.work);
  f.work = NULL;
  gt_server_send_work (f.gate);
  run_for (0.02);
  return f.work ? f.work->u.work.loads : 0;
}

/* Guards against a daemon that sends requests to a server that is full, while
   the answers to other daemons say so; also when the loads of the list are not
   in the order of the servers.  */
static void
test_shared_loads (void)
{
  set_up ("7");
  report_server ("i-1", "10.0.0.1:80", TK_SERVER_READY, 1);
  report_server ("i-2", "10.0.0.2:80", TK_SERVER_READY, 1);
  run_for (0.05);
  share_load (0, 40, 100, 10 * ZP_MS);
  for (uint64_t i = 1; i <= 6; i++)
    {
      send_request (i);
      RUN_UNTIL (f.sends == i);
      CU_ASSERT_STRING_EQUAL (f.sent[i - 1]->u.forward.expect, "i-2");
      answer_attempt (i - 1, 200, false, 0);
      RUN_UNTIL (f.answers == i);
    }
  tear_down ();
}

/* Guards against requests to a server whose work takes many times longer than
   usual at this moment.  */
static void
test_shared_pace (void)
{
  set_up ("7");
  report_server ("i-1", "10.0.0.1:80", TK_SERVER_READY, 1);
  report_server ("i-2", "10.0.0.2:80", TK_SERVER_READY, 1);
  run_for (0.05);
  for (uint64_t i = 1; i <= 6; i++)
    {
      share_load (1, 0, 1500, 10 * ZP_MS);
      send_request (i);
      RUN_UNTIL (f.sends == i);
      CU_ASSERT_STRING_EQUAL (f.sent[i - 1]->u.forward.expect, "i-1");
      answer_attempt (i - 1, 200, false, 0);
      RUN_UNTIL (f.answers == i);
    }
  tear_down ();
}

/* Guards against the load of an earlier start of a server that is used for the
   present one: from another daemon, or from an answer to an attempt that began
   before the restart was reported.  */
static void
test_load_before_restart (void)
{
  const struct tk_server_load l = { .known = true, .running = 30 };
  struct tk_msg *m;

  set_up ("7");
  report_server ("i-1", "10.0.0.1:80", TK_SERVER_READY, 1);
  run_for (0.1);
  zp_time before = zp_clock_mono ();
  m = tk_msg_new (TK_SERVER);
  m->u.server = f.gate->server[0]->report;
  m->u.server.born_ms = 2000;
  tk_send (&f.gate->task, m);
  run_for (0.02);
  struct gt_server *s = f.gate->server[0];
  CU_ASSERT_EQUAL (s->report.born_ms, 2000);
  share_load (0, 30, 900, 50 * ZP_MS);
  gt_server_note_load (f.gate, s, &l, before, zp_clock_mono ());
  CU_ASSERT_EQUAL (s->load.sampled, 0);
  CU_ASSERT_EQUAL (s->load.paced, 0);
  run_for (0.2);
  CU_ASSERT_PTR_NULL (f.work);
  share_load (0, 3, 90, 20 * ZP_MS);
  CU_ASSERT_DOUBLE_EQUAL (s->load.others, 3, 0.001);
  tear_down ();
}

/* Guards against a sample of another daemon that replaces a newer one of this
   daemon, against requests of this daemon that are counted twice, and against a
   log that gives the age of an older sample than the one used.  */
static void
test_age_of_shared_loads (void)
{
  const struct tk_server_load l = { .known = true, .running = 2 };
  const struct st_balance_choice c = { .wait = 0 };
  struct gt_request q = { .id = 0 };

  set_up ("7");
  report_server ("i-1", "10.0.0.1:80", TK_SERVER_READY, 1);
  run_for (0.1);
  struct gt_server *s = f.gate->server[0];
  f.gate->shares_loads = true;
  gt_record_choice (f.gate, &q, s, &c, 0, zp_clock_mono ());
  CU_ASSERT (q.choice.load_age < 0);
  zp_time now = zp_clock_mono ();
  gt_server_note_load (f.gate, s, &l, now, now);
  share_load (0, 30, 0, 90 * ZP_MS);
  CU_ASSERT_EQUAL (s->load.sampled, now);
  CU_ASSERT_DOUBLE_EQUAL (s->load.others, 2, 0.001);
  run_for (0.1);
  s->load.own = 4;
  share_load (0, 3, 0, 20 * ZP_MS);
  CU_ASSERT (s->load.others < 2);
  CU_ASSERT (s->load.others > 0);
  gt_record_choice (f.gate, &q, s, &c, 0, zp_clock_mono ());
  CU_ASSERT (q.choice.load_age >= 20 * ZP_MS);
  CU_ASSERT (q.choice.load_age < 80 * ZP_MS);
  s->load.own = 0;
  /* Too old, although nothing newer is known.  */
  s->load.sampled = 0;
  s->started_at = zp_clock_mono () - 60 * ZP_SEC;
  share_load (0, 30, 0, RO_LOADS_TTL);
  CU_ASSERT_EQUAL (s->load.sampled, 0);
  tear_down ();
}

/* Guards against the load of another server that has answered in the place of
   the one that the request was for.  */
static void
test_load_of_another_server (void)
{
  for (unsigned i = 0; i < 2; i++)
    {
      set_up ("7");
      report_server ("i-1", "10.0.0.1:80", TK_SERVER_READY, 1);
      run_for (0.05);
      send_request (1);
      RUN_UNTIL (f.sends == 1);
      struct gt_server *s = f.gate->server[0];
      f.gate->shares_loads = true;
      struct tk_msg *m = tk_msg_new (TK_FORWARD_DONE);
      m->u.done = (struct tk_forward_done){
        .id = f.sent[0]->u.forward.id,
        .end = TK_END_ANSWER,
        .status = i == 0 ? 421 : 503,
        .verdict = ZP_NOT_RUN,
        .stamped = true,
        .load = { .known = true, .running = 5, .pace = 100 },
      };
      tk_send (&f.gate->task, m);
      RUN_UNTIL (f.answers == 1);
      CU_ASSERT_EQUAL (s->load.sampled > 0, i == 1);
      CU_ASSERT_EQUAL (count_sent_loads (), i);
      tear_down ();
    }
}

/* Guards against a sample that counts twice when it comes again through another
   control daemon, where it looks newer by the time in transit.  */
static void
test_sample_that_comes_twice (void)
{
  set_up ("7");
  report_server ("i-1", "10.0.0.1:80", TK_SERVER_READY, 1);
  run_for (0.1);
  struct gt_server *s = f.gate->server[0];
  share_load (0, 2, 100, 50 * ZP_MS);
  run_for (0.03);
  share_load (0, 10, 100, 40 * ZP_MS);
  double others = s->load.others;
  zp_time sampled = s->load.sampled;
  CU_ASSERT (others > 5);
  share_load (0, 10, 100, zp_clock_mono () - sampled - 4 * ZP_MS);
  CU_ASSERT_DOUBLE_EQUAL (s->load.others, others, 0);
  CU_ASSERT_EQUAL (s->load.sampled, sampled);
  run_for (0.03);
  share_load (0, 10, 100, 5 * ZP_MS);
  CU_ASSERT (s->load.others > others);
  tear_down ();
}

/* Guards against samples that are sent twice or not at all, and against a
   report that grows with the number of servers.  */
static void
test_own_loads_are_sent (void)
{
  struct tk_server_load l
      = { .known = true, .running = 3, .waiting = 2, .pace = 140 };
  char id[16];

  set_up ("7");
  for (unsigned i = 0; i < 80; i++)
    {
      snprintf (id, sizeof id, "i-%u", i);
      report_server (id, "10.0.0.1:80", TK_SERVER_READY, 1);
    }
  run_for (0.05);
  zp_time now = zp_clock_mono ();
  gt_server_note_load (f.gate, f.gate->server[5], &l, now, now - 30 * ZP_MS);
  l.running = 7;
  gt_server_note_load (f.gate, f.gate->server[5], &l, now, now - 20 * ZP_MS);
  gt_server_send_work (f.gate);
  RUN_UNTIL (f.work);
  CU_ASSERT_EQUAL_FATAL (f.work->u.work.loads, 1);
  const struct tk_work_load *x = f.work->u.work.load;
  CU_ASSERT_EQUAL (x->server, TK_WORK_TAG (f.gate->server[5]->hash));
  CU_ASSERT_EQUAL (x->requests, 9);
  CU_ASSERT_EQUAL (x->pace, 140);
  CU_ASSERT (x->age >= 20 * ZP_MS && x->age < 200 * ZP_MS);

  tk_msg_free (f.work);
  f.work = NULL;
  run_for (0.3);
  CU_ASSERT_PTR_NULL (f.work);
  now = zp_clock_mono ();
  for (unsigned i = 0; i < 80; i++)
    gt_server_note_load (f.gate, f.gate->server[i], &l, now, now - i * ZP_MS);
  gt_server_send_work (f.gate);
  RUN_UNTIL (f.work);
  CU_ASSERT_EQUAL_FATAL (f.work->u.work.loads, RO_LOADS_REPORT_MAX);
  for (unsigned i = 0; i < RO_LOADS_REPORT_MAX; i++)
    CU_ASSERT_EQUAL (f.work->u.work.load[i].server,
                     TK_WORK_TAG (f.gate->server[i]->hash));
  tear_down ();
}

/* Guards against a deployment whose servers state no pace that is served in
   another way than before loads were shared: samples that are sent, samples of
   others that are taken, counts that do not apply to a new sample.  */
static void
test_nothing_is_shared_without_pace (void)
{
  const struct tk_server_load l = { .known = true, .running = 2 };
  const struct st_balance_choice c = { .wait = 0 };
  struct gt_request q = { .id = 0 };

  set_up ("7");
  report_server ("i-1", "10.0.0.1:80", TK_SERVER_READY, 1);
  run_for (0.05);
  struct gt_server *s = f.gate->server[0];
  zp_time now = zp_clock_mono ();
  gt_server_note_load (f.gate, s, &l, now, now);
  CU_ASSERT_EQUAL (count_sent_loads (), 0);
  share_load (0, 30, 0, 0);
  CU_ASSERT (!f.gate->shares_loads);
  CU_ASSERT_EQUAL (s->load.sampled, now);
  CU_ASSERT_DOUBLE_EQUAL (s->load.others, 2, 0.001);
  s->load.region_others = 9;
  s->load.region_at = now;
  gt_record_choice (f.gate, &q, s, &c, 0, now);
  CU_ASSERT_DOUBLE_EQUAL (q.choice.work, 9, 0.001);
  /* As before, also an answer to an attempt that began before a restart.  */
  s->started_at = now + 1;
  gt_server_note_load (f.gate, s, &l, now, now + 2);
  CU_ASSERT_EQUAL (s->load.sampled, now + 2);
  CU_ASSERT_EQUAL (count_sent_loads (), 0);
  tear_down ();
}

/* Guards against loads that are not shared although servers state their pace,
   in an answer to this daemon or to another one.  */
static void
test_first_pace_starts_sharing (void)
{
  struct tk_server_load l = { .known = true, .running = 2 };
  const struct st_balance_choice c = { .wait = 0 };
  struct gt_request q = { .id = 0 };

  for (int shared = 0; shared < 2; shared++)
    {
      set_up ("7");
      report_server ("i-1", "10.0.0.1:80", TK_SERVER_READY, 1);
      run_for (0.05);
      struct gt_server *s = f.gate->server[0];
      zp_time now = zp_clock_mono ();
      l.pace = 0;
      gt_server_note_load (f.gate, s, &l, now, now);
      CU_ASSERT_EQUAL (count_sent_loads (), 0);
      if (shared)
        {
          run_for (0.02);
          share_load (0, 5, 100, 0);
          CU_ASSERT_DOUBLE_EQUAL (s->load.others, 3.5, 0.1);
          CU_ASSERT_EQUAL (count_sent_loads (), 0);
        }
      else
        l.pace = 100;
      now = zp_clock_mono ();
      gt_server_note_load (f.gate, s, &l, now, now);
      CU_ASSERT (f.gate->shares_loads);
      CU_ASSERT_EQUAL (count_sent_loads (), 1);
      s->load.region_others = 9;
      s->load.region_at = now;
      gt_record_choice (f.gate, &q, s, &c, 0, now);
      CU_ASSERT (q.choice.work < 4);
      tear_down ();
    }
}

static const struct zp_test tests[]
    = { { "loads from other daemons", test_shared_loads },
        { "pace from other daemons", test_shared_pace },
        { "a load before a restart", test_load_before_restart },
        { "age of shared loads", test_age_of_shared_loads },
        { "load of another server", test_load_of_another_server },
        { "sample that comes twice", test_sample_that_comes_twice },
        { "own loads are sent", test_own_loads_are_sent },
        { "nothing is shared without pace",
          test_nothing_is_shared_without_pace },
        { "first pace starts sharing", test_first_pace_starts_sharing } };

TEST_MAIN ("gate-loads", tests)
