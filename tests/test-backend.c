#include "fake-entry.h"

/* Each test starts a zp-backend process and sends it requests as an entry VM
   does.  */
struct fixture
{
  struct tk_loop loop;
  struct fake_entry entry, other;
  struct tk_task task; /* gets TK_FORWARD_DONE */
  struct fw_client *caller;
  pid_t pid;
  char server[ZP_ADDRESS_MAX];
  struct tk_msg *done[4];
  int done_count;
};

static void
on_done (void *self, struct tk_msg *m)
{
  struct fixture *f = self;

  CU_ASSERT_FATAL (m->kind == TK_FORWARD_DONE && f->done_count < 4);
  f->done[f->done_count++] = m;
}

/* Starts one server and waits for its announcement.  EXTRA has additional
   settings, with a comma at the end.  FIRST is the address of the first entry
   VM in its settings.  */
static void
open_fixture (struct fixture *f, const char *extra, const char *first)
{
  struct zp_buf text = { .ptr = NULL };

  *f = (struct fixture){ .pid = -1 };
  tk_loop_init (&f->loop);
  fake_open (&f->entry, &f->loop, test_address (19310), FAKE_CORRECT);
  tk_task_init (&f->task, &f->loop, on_done, f);
  f->caller = fw_client_open (&f->loop, &f->task);
  snprintf (f->server, sizeof f->server, "%s", test_address (19312));
  zp_buf_printf (&text,
                 "{%s \"service\": \"s\", \"id_prefix\": \"b\", "
                 "\"failure_domain\": \"w1\","
                 " \"addresses\": [\"%s\"], \"records\": \"%s/b.record\","
                 " \"entries\": [\"%s\", \"%s\"], \"leave_ms\": 100}",
                 extra, f->server, test_folder (), first, f->entry.address);
  write_settings ("backend.json", text.ptr);
  zp_buf_free (&text);
  f->pid = start_program ("zp-backend", "backend.json", NULL);
  CU_ASSERT_FATAL (wait_until (&f->loop, has_server, &f->entry));
}

static void
drop_answers (struct fixture *f)
{
  while (f->done_count > 0)
    tk_msg_free (f->done[--f->done_count]);
}

/* Every test ends with a graceful stop of the process.  */
static void
close_fixture (struct fixture *f)
{
  char path[128];

  kill (f->pid, SIGTERM);
  CU_ASSERT_EQUAL (wait_program (&f->loop, f->pid), 0);
  CU_ASSERT (HAS_TEXT (f->entry.announcement.ptr, "\"leaving\":true"));
  drop_answers (f);
  fw_client_close (f->caller);
  tk_task_free (&f->task);
  fake_close (&f->entry);
  tk_loop_free (&f->loop);
  snprintf (path, sizeof path, "%s/b.record", test_folder ());
  unlink (path);
}

static void
send_to_server (struct fixture *f, const char *target, const char *headers,
                const char *body, zp_time left)
{
  struct tk_msg *m = tk_msg_new (TK_FORWARD);
  struct tk_forward *q = &m->u.forward;

  zp_str_copy (q->address, sizeof q->address, zp_str_from (f->server));
  zp_buf_put (&q->method, ZP_STR ("POST"));
  zp_buf_put (&q->target, zp_str_from (target));
  zp_buf_put (&q->headers, zp_str_from (headers));
  zp_buf_put (&q->body, zp_str_from (body));
  zp_buf_put (&q->request_id, ZP_STR ("r1"));
  q->deadline = zp_clock_mono () + left;
  tk_send (fw_client_task (f->caller), m);
}

static bool
one_answer (void *data)
{
  return ((struct fixture *) data)->done_count >= 1;
}

static bool
two_answers (void *data)
{
  return ((struct fixture *) data)->done_count >= 2;
}

static const struct tk_forward_done *
command (struct fixture *f, const char *body)
{
  drop_answers (f);
  send_to_server (f, "/_control", "", body, 5 * ZP_SEC);
  CU_ASSERT_FATAL (wait_until (&f->loop, one_answer, f));
  return &f->done[0]->u.done;
}

static void
test_runs_and_records (void)
{
  struct fixture f;

  open_fixture (&f, "\"service_us\": 1000, \"slots\": 3,",
                test_address (19310));
  CU_ASSERT (HAS_TEXT (f.entry.announcement.ptr, "\"service\":\"s\""));
  CU_ASSERT (HAS_TEXT (f.entry.announcement.ptr, "\"id\":\"b-1\""));
  CU_ASSERT (HAS_TEXT (f.entry.announcement.ptr, "\"slots\":3"));
  CU_ASSERT (HAS_TEXT (f.entry.announcement.ptr, "\"leaving\":false"));
  send_to_server (&f, "/s/1", "X-Request-Key: k1\n", "body", 5 * ZP_SEC);
  CU_ASSERT_FATAL (wait_until (&f.loop, one_answer, &f));
  const struct tk_forward_done *d = &f.done[0]->u.done;
  CU_ASSERT_EQUAL (d->status, 200);
  CU_ASSERT_EQUAL (d->verdict, ZP_RAN);
  char want[64];
  snprintf (want, sizeof want, "k1 %016llx 0\n",
            (unsigned long long) zp_str_hash (ZP_STR ("body"), 0));
  CU_ASSERT (zp_str_eq (zp_str_of (&d->body), zp_str_from (want)));
  CU_ASSERT (HAS_TEXT (d->headers.ptr, "X-Request-Key: k1\n"));
  CU_ASSERT (HAS_TEXT (d->headers.ptr, "X-Body-Digest: "));
  CU_ASSERT_EQUAL (count_lines ("b.record", "ran k1 "), 1);
  close_fixture (&f);
}

/* Guards against a false not-run (P4): a refused request must not run.  */
static void
test_refuses_above_its_slots (void)
{
  struct fixture f;

  open_fixture (&f, "\"service_us\": 1000000, \"slots\": 1,",
                test_address (19310));
  send_to_server (&f, "/s/1", "X-Request-Key: k1\n", "", 5 * ZP_SEC);
  send_to_server (&f, "/s/2", "X-Request-Key: k2\n", "", 5 * ZP_SEC);
  CU_ASSERT_FATAL (wait_until (&f.loop, two_answers, &f));
  const struct tk_forward_done *refused = &f.done[0]->u.done;
  CU_ASSERT_EQUAL (refused->status, 503);
  CU_ASSERT_EQUAL (refused->verdict, ZP_NOT_RUN);
  CU_ASSERT_EQUAL (f.done[1]->u.done.status, 200);
  CU_ASSERT_EQUAL (count_lines ("b.record", "ran "), 1);
  CU_ASSERT_EQUAL (count_lines ("b.record", "over "), 1);
  close_fixture (&f);
}

static bool
is_idle (void *data)
{
  const struct tk_forward_done *d = command (data, "{\"do\":\"normal\"}");

  return HAS_TEXT (d->body.ptr, "running 0");
}

/* Guards against a slot that stays occupied after its caller has left.  */
static void
test_cancellation_frees_the_slot (void)
{
  struct fixture f;

  open_fixture (&f, "\"service_us\": 50000000, \"slots\": 1,",
                test_address (19310));
  send_to_server (&f, "/s/1", "X-Request-Key: k1\n", "", 200 * ZP_MS);
  CU_ASSERT_FATAL (wait_until (&f.loop, one_answer, &f));
  CU_ASSERT_EQUAL (f.done[0]->u.done.verdict, ZP_MAY_HAVE_RUN);
  CU_ASSERT (wait_until (&f.loop, is_idle, &f));
  close_fixture (&f);
}

static bool
is_restarted (void *data)
{
  struct fixture *f = data;

  return f->entry.announcements > 0;
}

static void
test_crash_header_crashes_the_server (void)
{
  struct fixture f;

  open_fixture (&f, "\"service_us\": 50000000, \"slots\": 4,",
                test_address (19310));
  send_to_server (&f, "/s/1", "X-Request-Key: k1\n", "", 5 * ZP_SEC);
  send_to_server (&f, "/s/2", "X-Request-Key: k2\nX-Crash: 3000\n", "",
                  5 * ZP_SEC);
  CU_ASSERT_FATAL (wait_until (&f.loop, two_answers, &f));
  for (int i = 0; i < 2; i++)
    {
      CU_ASSERT_EQUAL (f.done[i]->u.done.end, TK_END_LOST);
      CU_ASSERT_EQUAL (f.done[i]->u.done.verdict, ZP_MAY_HAVE_RUN);
    }
  CU_ASSERT_EQUAL (count_lines ("b.record", "crash "), 1);
  drop_answers (&f);
  send_to_server (&f, "/s/3", "", "", 5 * ZP_SEC);
  CU_ASSERT_FATAL (wait_until (&f.loop, one_answer, &f));
  CU_ASSERT_EQUAL (f.done[0]->u.done.end, TK_END_NO_CONNECT);
  f.entry.announcements = 0;
  CU_ASSERT (wait_until (&f.loop, is_restarted, &f));
  CU_ASSERT (
      HAS_TEXT (command (&f, "{\"do\":\"normal\"}")->body.ptr, "running 0"));
  close_fixture (&f);
}

static bool
reports_false_load (void *data)
{
  return HAS_TEXT (((struct fixture *) data)->entry.announcement.ptr,
                   "\"load\":3.000");
}

static bool
announces_leaving (void *data)
{
  return HAS_TEXT (((struct fixture *) data)->entry.announcement.ptr,
                   "\"leaving\":true");
}

static void
test_control_commands (void)
{
  struct fixture f;

  open_fixture (&f, "\"service_us\": 1000,", test_address (19310));
  CU_ASSERT_EQUAL (command (&f, "{\"do\":\"dance\"}")->status, 400);
  CU_ASSERT_EQUAL (command (&f, "no JSON")->status, 400);
  CU_ASSERT_EQUAL (command (&f, "{\"do\":\"lie\",\"value\":300}")->status,
                   200);
  CU_ASSERT (wait_until (&f.loop, reports_false_load, &f));
  CU_ASSERT_EQUAL (command (&f, "{\"do\":\"fail\"}")->status, 200);
  drop_answers (&f);
  send_to_server (&f, "/s/1", "X-Request-Key: k1\n", "", 5 * ZP_SEC);
  CU_ASSERT_FATAL (wait_until (&f.loop, one_answer, &f));
  CU_ASSERT_EQUAL (f.done[0]->u.done.status, 500);
  CU_ASSERT_EQUAL (f.done[0]->u.done.verdict, ZP_RAN);
  CU_ASSERT_EQUAL (command (&f, "{\"do\":\"silent\"}")->status, 200);
  drop_answers (&f);
  send_to_server (&f, "/s/1", "X-Request-Key: k2\n", "", 200 * ZP_MS);
  CU_ASSERT_FATAL (wait_until (&f.loop, one_answer, &f));
  CU_ASSERT_EQUAL (f.done[0]->u.done.end, TK_END_TIMEOUT);
  CU_ASSERT_EQUAL (count_lines ("b.record", "ran k2 "), 1);
  CU_ASSERT_EQUAL (command (&f, "{\"do\":\"drain\"}")->status, 200);
  CU_ASSERT (wait_until (&f.loop, announces_leaving, &f));
  close_fixture (&f);
}

/* Guards against a server that keeps announcing to a failed entry VM, and
   against one that ignores the preferred entry VM of an answer.  */
static void
test_switches_entry_vms (void)
{
  struct fixture f;

  open_fixture (&f, "", test_address (19319)); /* no listener */
  fake_open (&f.other, &f.loop, test_address (19311), FAKE_CORRECT);
  f.entry.preferred = f.other.address;
  CU_ASSERT (wait_until (&f.loop, has_server, &f.other));
  f.other.preferred = f.entry.address;
  f.entry.preferred = NULL;
  f.entry.announcements = 0;
  CU_ASSERT (wait_until (&f.loop, has_server, &f.entry));
  fake_close (&f.other);
  close_fixture (&f);
}

static void
test_settings_are_checked (void)
{
  struct tk_loop loop;

  tk_loop_init (&loop);
  write_settings ("bad.json", "{\"service\": \"s\", \"slots\": 0}");
  CU_ASSERT_EQUAL (
      wait_program (
          &loop, start_program ("zp-backend", "bad.json", "--check-settings")),
      1);
  tk_loop_free (&loop);
}

static const struct zp_test tests[] = {
  { "a request runs once and is recorded", test_runs_and_records },
  { "requests above the slots are refused", test_refuses_above_its_slots },
  { "cancellation frees the slot", test_cancellation_frees_the_slot },
  { "a request with X-Crash crashes the server",
    test_crash_header_crashes_the_server },
  { "control commands", test_control_commands },
  { "switches entry VMs", test_switches_entry_vms },
  { "settings are checked", test_settings_are_checked },
};

TEST_MAIN ("backend", tests)
