#include "harness.h"

#include <json-c/json.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include "ctl/client.h"
#include "ticket/ticket.h"

#define MEMBERS 4

/* Bounds every wait.  A correct run takes far less.  */
#define TIMEOUT (60 * ZP_SEC)

/* Each member is a process of its own, so that it can be killed.  Members 1 to
   3 found the group, and member 4 joins later.  */
struct member
{
  pid_t pid; /* 0: not running */
  char address[ZP_ADDRESS_MAX];
  char http[ZP_ADDRESS_MAX];
  char settings[256];
};

struct group
{
  char folder[64];
  char program[512];
  struct member member[MEMBERS];
};

static void
copy_address (char *out, unsigned port)
{
  zp_str_copy (out, ZP_ADDRESS_MAX, zp_str_from (test_address (port)));
}

static void
write_settings (struct group *g, unsigned id)
{
  struct member *m = &g->member[id - 1];

  snprintf (m->settings, sizeof m->settings, "%s/control-%u.json", g->folder,
            id);
  FILE *f = fopen (m->settings, "we");
  CU_ASSERT_PTR_NOT_NULL_FATAL (f);
  fprintf (f,
           "{\"id\":%u,\"data\":\"%s/data-%u\",\"address\":\"%s\","
           "\"http\":\"%s\",\"join\":%s,\"members\":[",
           id, g->folder, id, m->address, m->http, id > 3 ? "true" : "false");
  for (unsigned i = 0; i < 3; i++)
    fprintf (f, "%s\"%u=%s,%s\"", i > 0 ? "," : "", i + 1,
             g->member[i].address, g->member[i].http);
  fprintf (f, "]}\n");
  fclose (f);
}

static void
group_new (struct group *g)
{
  *g = (struct group){ .folder = "/tmp/test-control-XXXXXX" };
  CU_ASSERT_PTR_NOT_NULL_FATAL (mkdtemp (g->folder));
  ssize_t n = readlink ("/proc/self/exe", g->program, sizeof g->program - 32);
  CU_ASSERT_FATAL (n > 0);
  g->program[n] = '\0';
  /* This program is build/tests/test-control; the daemon is
     build/zp-control.  */
  char *tests = strstr (g->program, "/tests/");
  CU_ASSERT_PTR_NOT_NULL_FATAL (tests);
  zp_str_copy (tests, 32, ZP_STR ("/zp-control"));
  for (unsigned i = 0; i < MEMBERS; i++)
    {
      copy_address (g->member[i].address, 8400 + 2 * i);
      copy_address (g->member[i].http, 8401 + 2 * i);
    }
  for (unsigned id = 1; id <= MEMBERS; id++)
    write_settings (g, id);
}

static void
start (struct group *g, unsigned id)
{
  struct member *m = &g->member[id - 1];
  char log[128];

  snprintf (log, sizeof log, "%s/log-%u", g->folder, id);
  fflush (stdout);
  m->pid = fork ();
  CU_ASSERT_FATAL (m->pid >= 0);
  if (m->pid > 0)
    return;
  if (!freopen (log, "ae", stdout))
    _exit (126);
  execl (g->program, "zp-control", "--settings", m->settings, (char *) NULL);
  _exit (127);
}

/* Sends SIGNAL_NUMBER to member ID and waits for its end.  Returns its wait
   status, or -1 when it was not running.  */
static int
stop (struct group *g, unsigned id, int signal_number)
{
  struct member *m = &g->member[id - 1];
  int status = -1;

  if (m->pid == 0)
    return -1;
  kill (m->pid, signal_number);
  CU_ASSERT_EQUAL (waitpid (m->pid, &status, 0), m->pid);
  m->pid = 0;
  return status;
}

/* Stops all members by SIGTERM; each has to exit with status 0.  Removes the
   folder unless a check has failed.  */
static void
group_stop (struct group *g)
{
  char command[128];

  for (unsigned id = 1; id <= MEMBERS; id++)
    if (g->member[id - 1].pid > 0)
      {
        int status = stop (g, id, SIGTERM);
        CU_ASSERT (WIFEXITED (status) && WEXITSTATUS (status) == 0);
      }
  if (CU_get_number_of_failures () > 0)
    {
      printf ("the logs are kept in %s\n", g->folder);
      return;
    }
  snprintf (command, sizeof command, "rm -rf '%s'", g->folder);
  CU_ASSERT_EQUAL (system (command), 0); /* NOLINT(cert-env33-c) */
}

/* Requests.  */

/* Sends a request; the client finds the leader among the members.  */
static bool
send_request (struct group *g, const char *method, const char *target,
              const char *body, struct zc_answer *a)
{
  struct zp_str servers[MEMBERS];
  const struct zc_client c
      = { .servers = { .item = servers, .len = MEMBERS }, .limit = TIMEOUT };
  const struct zc_request r = { .method = method,
                                .target = zp_str_from (target),
                                .body = zp_str_from (body) };
  struct zp_err err = { .text = "" };

  for (unsigned i = 0; i < MEMBERS; i++)
    servers[i] = zp_str_from (g->member[i].http);
  *a = (struct zc_answer){ .status = 0 };
  bool ok = zc_send (&c, &r, a, &err);
  if (!ok)
    printf ("%s\n", err.text);
  return ok;
}

/* Checks that the answer has status 200 and a body that contains EXPECT.  */
static void
check (struct group *g, const char *method, const char *target,
       const char *body, const char *expect)
{
  struct zc_answer a;

  CU_ASSERT_FATAL (send_request (g, method, target, body, &a));
  bool ok = a.status == 200 && HAS_TEXT (a.body.ptr, expect);
  if (!ok)
    printf ("%s: %ld %s\n", target, a.status, a.body.ptr ? a.body.ptr : "");
  CU_ASSERT_FATAL (ok);
  zp_buf_free (&a.body);
}

/* Submits, reviews and numbers a ticket by ana with the edit EDIT; it has to
   get NUMBER.  A second call with the same arguments resends all three
   requests.  */
static void
bring_into_force (struct group *g, unsigned number, const char *edit)
{
  struct zp_report r = { .count = 0 };
  struct zp_buf text = { .ptr = NULL };
  char target[128], expect[64];
  struct ti_digest d;

  zp_buf_printf (&text,
                 "{\"title\":\"t\",\"author\":\"ana\",\"against\":%u,%s}",
                 number - 1, edit);
  struct ti_ticket *t = ti_ticket_parse (zp_str_of (&text), &r);
  CU_ASSERT_PTR_NOT_NULL_FATAL (t);
  ti_ticket_digest (t, &d);
  ti_ticket_free (t);
  check (g, "POST", "/v1/tickets", text.ptr, "\"errors\":[]");
  snprintf (target, sizeof target, "/v1/tickets/%.*s/review",
            ZP_ARG (ti_digest_str (&d)));
  check (g, "POST", target, "{\"reviewer\":\"ben\"}", "\"errors\":[]");
  snprintf (target, sizeof target, "/v1/tickets/%.*s/number",
            ZP_ARG (ti_digest_str (&d)));
  snprintf (expect, sizeof expect, "\"numbered\",\"number\":%u,", number);
  check (g, "POST", target, "", expect);
  zp_buf_free (&text);
}

/* Polls the status of member ID until it contains EXPECT, for at most LIMIT;
   0: only once.  */
static bool
status_has (struct group *g, unsigned id, const char *expect, zp_time limit)
{
  const struct zc_request r
      = { .method = "GET", .target = ZP_STR ("/v1/status") };
  zp_time end = zp_clock_mono () + limit;
  bool found = false;

  do
    {
      struct zc_answer a = { .status = 0 };
      struct zp_err err;
      found = zc_send_to (zp_str_from (g->member[id - 1].http), &r, ZP_SEC, &a,
                          &err)
              && a.body.ptr && HAS_TEXT (a.body.ptr, expect);
      zp_buf_free (&a.body);
      if (!found && limit > 0)
        usleep (50000);
    }
  while (!found && zp_clock_mono () < end);
  return found;
}

static unsigned
find_leader (struct group *g)
{
  for (zp_time end = zp_clock_mono () + TIMEOUT; zp_clock_mono () < end;)
    for (unsigned id = 1; id <= MEMBERS; id++)
      if (g->member[id - 1].pid > 0
          && status_has (g, id, "\"role\":\"leader\"", 0))
        return id;
  CU_FAIL_FATAL ("no leader");
  return 0;
}

/* Tests.  */

#define DRAIN(n) "\"set\":{\"drain/" n "\":{\"target\":\"server/" n "\"}}"

/* Guards against the loss of an acknowledged change (P8) when the leader, or
   all members at once, are killed with SIGKILL.  */
static void
test_kill_the_leader (void)
{
  struct group g;

  group_new (&g);
  for (unsigned id = 1; id <= 3; id++)
    start (&g, id);
  bring_into_force (&g, 1, DRAIN ("a"));
  unsigned leader = find_leader (&g);
  stop (&g, leader, SIGKILL);
  bring_into_force (&g, 2, DRAIN ("b"));
  bring_into_force (&g, 1, DRAIN ("a"));

  start (&g, leader);
  CU_ASSERT (status_has (&g, leader, "\"number\":2,", TIMEOUT));
  for (unsigned id = 1; id <= 3; id++)
    stop (&g, id, SIGKILL);
  for (unsigned id = 1; id <= 3; id++)
    start (&g, id);
  bring_into_force (&g, 2, DRAIN ("b"));
  bring_into_force (&g, 3, DRAIN ("c"));
  check (&g, "GET", "/v1/config", "", "\"drain/a\":{\"number\":1,");
  group_stop (&g);
}

/* Appends the object of control daemon ID to the edit of a ticket.  */
static void
write_control (struct group *g, unsigned id, const char *role,
               struct zp_buf *out)
{
  zp_buf_printf (out,
                 "\"control/%u\":{\"address\":\"%s\",\"http\":\"%s\","
                 "\"failure_domain\":\"f%u\",\"role\":\"%s\"}",
                 id, g->member[id - 1].address, g->member[id - 1].http, id,
                 role);
}

/* Guards against a control VM that cannot be replaced by tickets alone: member
   4 is added as a learner and promoted, then member 1 is removed.  The three
   remaining voters still commit after the loss of one of them.  */
static void
test_replace_a_member (void)
{
  struct zp_buf edit = { .ptr = NULL };
  struct group g;

  group_new (&g);
  for (unsigned id = 1; id <= 3; id++)
    start (&g, id);
  zp_buf_put (&edit, ZP_STR ("\"set\":{"));
  for (unsigned id = 1; id <= MEMBERS; id++)
    zp_buf_printf (&edit,
                   "\"region/r%u\":{\"latency_ms\":{}},\"failure_domain/f%u\":"
                   "{\"region\":\"r%u\",\"entry_networks\":[]},",
                   id, id, id);
  for (unsigned id = 1; id <= 3; id++)
    {
      zp_buf_put (&edit, id > 1 ? ZP_STR (",") : ZP_STR (""));
      write_control (&g, id, "voter", &edit);
    }
  zp_buf_put (&edit, ZP_STR ("}"));
  bring_into_force (&g, 1, edit.ptr);

  zp_buf_clear (&edit);
  zp_buf_put (&edit, ZP_STR ("\"set\":{"));
  write_control (&g, 4, "learner", &edit);
  zp_buf_put (&edit, ZP_STR ("}"));
  start (&g, 4);
  bring_into_force (&g, 2, edit.ptr);
  CU_ASSERT_FATAL (
      status_has (&g, 4, "{\"id\":4,\"role\":\"learner\"", TIMEOUT));

  zp_buf_clear (&edit);
  zp_buf_put (&edit, ZP_STR ("\"set\":{"));
  write_control (&g, 4, "voter", &edit);
  zp_buf_put (&edit, ZP_STR ("}"));
  bring_into_force (&g, 3, edit.ptr);
  CU_ASSERT_FATAL (
      status_has (&g, 4, "{\"id\":4,\"role\":\"voter\"", TIMEOUT));

  /* Member 1 is removed, whether it leads or not.  */
  bring_into_force (&g, 4, "\"delete\":[\"control/1\"]");
  for (unsigned tries = 0; tries < 200; tries++)
    if (!status_has (&g, 4, "{\"id\":1,", 0))
      break;
    else
      usleep (100000);
  CU_ASSERT (!status_has (&g, 4, "{\"id\":1,", 0));
  stop (&g, 1, SIGKILL);
  bring_into_force (&g, 5, DRAIN ("after"));
  stop (&g, 2, SIGKILL);
  bring_into_force (&g, 6, DRAIN ("with-two-of-three"));
  zp_buf_free (&edit);
  group_stop (&g);
}

static const struct zp_test tests[] = {
  { "kill -9 of the leader", test_kill_the_leader },
  { "replace a member", test_replace_a_member },
};

TEST_MAIN ("control", tests)
