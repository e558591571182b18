/* Tests the programs of the platform together.  */

#include "platform-fixture.h"

/* Guards against programs that work alone but not together: the control
   daemons found their cluster without an operator, a configuration takes
   effect for callers, a server joins, drains and is excluded by an evacuation,
   and a control daemon that has lost its data rejoins.  */
static void
test_deployment (void)
{
  char wanted[64];

  for (int i = 0; i < PROCESSES; i++)
    {
      write_settings (i, true);
      start (i);
    }
  open_stub ();
  CU_ASSERT_EQUAL (wait_for (PORT_READY, "/ready", 503).status, 503);
  call_control ("/Config.Put", "{\"version\":1}", 400);
  call_control ("/Config.Put", document, 200);
  CU_ASSERT_STRING_EQUAL (call_control ("/Config.Get", NULL, 200).body,
                          document);
  wait_for (PORT_READY, "/ready", 200);
  CU_ASSERT (HAS_TEXT (wait_for (PORT_FRONT, "/p/x", 503).headers,
                       "Retry-After: 0."));
  wait_for (PORT_FRONT, "/q/x", 404);

  report ("ready", 1);
  struct reply r = wait_for (PORT_FRONT, "/p/x", 200);
  CU_ASSERT_STRING_EQUAL (r.body, "GET /p/x");
  CU_ASSERT (HAS_TEXT (r.headers, "X-Server-Stamp: stamp-1"));
  CU_ASSERT (HAS_TEXT (r.headers, "X-Request-Id: 9c41d07be2a35f68"));

  snprintf (wanted, sizeof wanted, "{\"addresses\":[\"%s:%d\"],", ip (ENTRY),
            PORT_FRONT);
  r = call (0, PORT_DIRECTORY, "/resolve?name=h.example&region=a", NULL);
  CU_ASSERT_EQUAL (r.status, 200);
  CU_ASSERT (HAS_TEXT (r.body, wanted));

  call_control ("/Evacuate.Start/a-1", "", 200);
  wait_for (PORT_FRONT, "/p/x", 503);
  call_control ("/Evacuate.End/a-1", "", 200);
  wait_for (PORT_FRONT, "/p/x", 200);

  /* A control daemon that loses its data rejoins as a new member.  */
  kill_process (2);
  char data[256];
  snprintf (data, sizeof data, "%s/data-2", folder);
  CU_ASSERT_EQUAL (rename (data, strcat (strcpy (wanted, folder), "/old")), 0);
  write_settings (2, false);
  start (2);
  usleep (300000);
  CU_ASSERT_STRING_EQUAL (call_control ("/Config.Get", NULL, 200).body,
                          document);

  report ("draining", 2);
  unsigned before = stub.served;
  zp_time sent = zp_clock_mono ();
  CU_ASSERT_EQUAL (call (ENTRY, PORT_FRONT, "/p/x", NULL).status, 503);
  /* No server can serve the request, so it is refused without a wait.  */
  CU_ASSERT (zp_clock_mono () - sent < 500 * ZP_MS);
  CU_ASSERT_EQUAL (stub.served, before);
  report ("ready", 3);
  wait_for (PORT_FRONT, "/p/x", 200);
}

/* Guards against an acknowledged leave that is forgotten when all daemons lose
   power: a report that the server sent before is late and arrives at daemons
   that have no memory of it.  A new start of the server is used.  */
static void
test_leave_survives_restarts (void)
{
  call_control ("/Instances.Deregister/i-1", "", 200);
  CU_ASSERT_EQUAL (call (ENTRY, PORT_FRONT, "/p/x", NULL).status, 503);
  for (int i = 0; i < PROCESSES; i++)
    kill_process (i);
  for (int i = 0; i < PROCESSES; i++)
    {
      write_settings (i, false);
      start (i);
    }
  wait_for (PORT_READY, "/ready", 200);
  unsigned before = stub.served;
  report ("ready", 90);
  for (int i = 0; i < 20; i++)
    {
      CU_ASSERT_EQUAL (call (ENTRY, PORT_FRONT, "/p/x", NULL).status, 503);
      usleep (50000);
    }
  CU_ASSERT_EQUAL (stub.served, before);
  born = (long long) (zp_clock_wall () / ZP_MS) + 5000;
  report ("ready", 1);
  wait_for (PORT_FRONT, "/p/x", 200);
}

static const char with_tenants[]
    = "{\"version\":%d,\"listeners\":[{\"host\":\"h.example\","
      "\"routingRules\":"
      "[{\"type\":\"unsafe\",\"match\":{\"pathPrefix\":\"/p/\"},\"action\":{"
      "\"service\":\"svc\",\"timeout\":\"3s\",\"attempts\":2}},{\"type\":"
      "\"unsafe\",\"public\":true,\"match\":{\"pathPrefix\":\"/open/\"},"
      "\"action\":{\"service\":\"svc\",\"timeout\":\"3s\",\"attempts\":2}}]}],"
      "\"clusters\":[{\"name\":\"svc\"}],\"tenants\":[{\"name\":\"acme\","
      "\"apiKeys\":[%s]},{\"name\":\"beta\",\"apiKeys\":[%s]}]}";

static struct reply
put_tenants (int version, const char *acme, const char *beta, long status)
{
  char text[2048];

  snprintf (text, sizeof text, with_tenants, version, acme, beta);
  return call_control ("/Config.Put", text, status);
}

/* Whether the log of a process has TEXT.  */
static bool
logs_have (const char *text)
{
  bool found = false;

  for (int i = 0; i < PROCESSES; i++)
    {
      struct zp_buf log = { .ptr = NULL };
      char path[128];
      snprintf (path, sizeof path, "%s/%d.log", folder, i);
      CU_ASSERT_FATAL (zp_file_read (path, &log, 64 * 1024 * 1024, NULL));
      found = found || HAS_TEXT (log.ptr, text);
      zp_buf_free (&log);
    }
  return found;
}

static void
check_core_limits (void)
{
  for (int i = 0; i < PROCESSES; i++)
    {
      char path[64], text[4096] = "";
      unsigned long soft = 1, hard = 1;
      snprintf (path, sizeof path, "/proc/%d/limits", (int) process[i]);
      FILE *f = fopen (path, "r");
      CU_ASSERT_PTR_NOT_NULL_FATAL (f);
      CU_ASSERT (fread (text, 1, sizeof text - 1, f) > 0);
      fclose (f);
      const char *line = strstr (text, "Max core file size");
      CU_ASSERT_PTR_NOT_NULL_FATAL (line);
      CU_ASSERT_EQUAL (
          sscanf (line, "Max core file size %lu %lu", &soft, &hard), 2);
      CU_ASSERT (soft == 0 && hard == 0);
    }
}

/* Guards against keys that work in the tests of the parts only: with the header
   names of the platform a request needs a key, the server gets the workspace
   and neither the key nor the caller's own header, a removed key is refused in
   time, and no log line or error shows a key.  */
static void
test_workspaces (void)
{
  report ("ready", 2);
  struct reply r = put_tenants (20, "\"k-secret\"", "\"k-secret\"", 400);
  CU_ASSERT (HAS_TEXT (r.body, "acme"));
  CU_ASSERT (!HAS_TEXT (r.body, "k-secret"));
  put_tenants (20, "\"k-secret\",\"k-second\"", "\"k-hidden\"", 200);
  more_headers[0] = "X-Tenant: forged";
  r = wait_for (PORT_FRONT, "/p/x", 401);
  CU_ASSERT (HAS_TEXT (r.body, "\"reason\":\"no-key\""));
  CU_ASSERT_EQUAL (call (ENTRY, PORT_FRONT, "/open/x", NULL).status, 200);
  CU_ASSERT (!HAS_TEXT (stub.headers, "X-Tenant"));
  more_headers[1] = "X-Credential: k-secret";
  CU_ASSERT_EQUAL (call (ENTRY, PORT_FRONT, "/p/x", NULL).status, 200);
  CU_ASSERT (HAS_TEXT (stub.headers, "X-Tenant: acme\n"));
  CU_ASSERT (!HAS_TEXT (stub.headers, "forged"));
  CU_ASSERT (!HAS_TEXT (stub.headers, "k-secret"));
  CU_ASSERT_EQUAL (call (ENTRY, PORT_FRONT, "/open/x", NULL).status, 200);
  CU_ASSERT (!HAS_TEXT (stub.headers, "X-Tenant"));
  CU_ASSERT (!HAS_TEXT (stub.headers, "k-secret"));
  more_headers[2] = "x-credential: k-hidden";
  CU_ASSERT_EQUAL (call (ENTRY, PORT_FRONT, "/p/x", NULL).status, 400);
  more_headers[2] = NULL;
  zp_time end = zp_clock_mono () + 5 * ZP_SEC;
  put_tenants (21, "\"k-second\"", "\"k-hidden\"", 200);
  r = wait_for (PORT_FRONT, "/p/x", 401);
  CU_ASSERT (zp_clock_mono () < end);
  CU_ASSERT (HAS_TEXT (r.body, "\"reason\":\"unknown-key\""));
  more_headers[1] = "X-Credential: k-hidden";
  CU_ASSERT_EQUAL (call (ENTRY, PORT_FRONT, "/p/x", NULL).status, 200);
  CU_ASSERT (HAS_TEXT (stub.headers, "X-Tenant: beta\n"));
  r = call (ENTRY, PORT_READY, "/metrics", NULL);
  CU_ASSERT (!HAS_TEXT (r.body, "k-hidden"));
  CU_ASSERT (logs_have ("a request has no valid key"));
  CU_ASSERT (!logs_have ("k-secret"));
  CU_ASSERT (!logs_have ("k-hidden"));
  check_core_limits ();
  /* The requests of the next test need the key as well.  */
}

/* Guards against a graceful shutdown that drops requests in progress.  */
static void
test_stop (void)
{
  ev_timer release;

  /* Servers that send no report for 6 s are dropped.  */
  report ("ready", 4);
  /* The stub answers the request 1 s after the shutdown begins.  */
  stub.hold = true;
  pid_t caller = fork ();
  CU_ASSERT_FATAL (caller >= 0);
  if (caller == 0)
    _exit (call (ENTRY, PORT_FRONT, "/p/slow", NULL).status == 200 ? 0 : 1);
  zp_time end = zp_clock_mono () + STEP_TIMEOUT;
  while (!stub.held && zp_clock_mono () < end)
    usleep (10000);
  CU_ASSERT_PTR_NOT_NULL (stub.held);
  kill (process[ENTRY], SIGTERM);
  usleep (100000);
  CU_ASSERT_EQUAL (call (ENTRY, PORT_READY, "/ready", NULL).status, 503);
  tk_loop_stop (&stub.loop);
  tk_loop_join (&stub.loop);
  ev_timer_init (&release, on_release, 0.9, 0.0);
  release.data = &stub;
  ev_timer_start (stub.loop.ev, &release);
  stub.hold = false;
  tk_loop_start (&stub.loop);
  int status = -1;
  waitpid (caller, &status, 0);
  CU_ASSERT (WIFEXITED (status) && WEXITSTATUS (status) == 0);
  CU_ASSERT_EQUAL (stop (ENTRY), 0);
  for (int i = 0; i < CONTROLS; i++)
    CU_ASSERT_EQUAL (stop (i), 0);
  close_stub ();
}
static const struct zp_test tests[]
    = { { "the programs work together", test_deployment },
        { "a leave survives restarts", test_leave_survives_restarts },
        { "workspaces", test_workspaces },
        { "graceful shutdown", test_stop } };

int
main (int argc, char **argv)
{
  (void) argc;
  return run_platform_tests (argv[0], "platform-programs", tests,
                             sizeof tests / sizeof tests[0]);
}
