/* Tests soak/check, the checker of the platform soak, with records that break
   one rule each.  */

#include "harness.h"

#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

static char folder[64];

struct records
{
  const char *servers, *callers, *driver;
};

static void
write_record (const char *name, const char *lines)
{
  char path[128];

  snprintf (path, sizeof path, "%s/%s", folder, name);
  FILE *f = fopen (path, "w");
  CU_ASSERT_PTR_NOT_NULL_FATAL (f);
  fputs (lines, f);
  CU_ASSERT_EQUAL (fclose (f), 0);
}

/* Runs the checker and copies what it prints to OUT.  Returns its exit
   status.  */
static int
check (const struct records *r, char *out, size_t size)
{
  const char *names[] = { "servers", "callers", "driver" };
  char command[512], path[128];

  strcpy (folder, "/tmp/test-soak-check-XXXXXX");
  CU_ASSERT_PTR_NOT_NULL_FATAL (mkdtemp (folder));
  write_record ("servers", r->servers);
  write_record ("callers", r->callers);
  write_record ("driver", r->driver ? r->driver : "");
  snprintf (command, sizeof command,
            "soak/check %s/servers %s/callers %s/driver", folder, folder,
            folder);
  FILE *f = popen (command, "r");
  CU_ASSERT_PTR_NOT_NULL_FATAL (f);
  size_t n = fread (out, 1, size - 1, f);
  out[n] = '\0';
  int status = pclose (f);
  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    {
      snprintf (path, sizeof path, "%s/%s", folder, names[i]);
      unlink (path);
    }
  rmdir (folder);
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

/* Lines of a request 7 that an unsafe route sends to service a, and of its
   run.  */
#define SEND(at) "send " at " 7 unsafe a POST /u/1 b0 edge-0\n"
#define SOUND "part=none,follow=answer,frame=length"
#define CUT "part=answer,follow=fin,frame=length"
#define COPY "part=copy,follow=answer,frame=zero,at=before"
#define REFUSE "part=none,follow=answer,frame=zero,status=refuse"
#define RUN(at, stamp, fault)                                                 \
  "run " at " i-1 7 " stamp " a POST /u/1 b0 200 5 h5 " fault "\n"
#define GOT(at, status, stamp)                                                \
  "got " at " 7 whole " status " " stamp " 7 5 h5 0\n"
/* Another request, 8.  */
#define OTHER_SEND "send 100 8 safe a GET /s/1 b0 edge-0\n"
#define OTHER_RUN "run 101 i-1 8 i-1.0.9 a GET /s/1 b0 200 3 h3 " SOUND " -\n"

static void
expect_none (const struct records *r)
{
  char out[8192];

  CU_ASSERT_EQUAL (check (r, out, sizeof out), 0);
  CU_ASSERT (HAS_TEXT (out, " 0 violations"));
}

static void
expect (const struct records *r, const char *rule)
{
  char out[8192], counted[64];

  CU_ASSERT_EQUAL (check (r, out, sizeof out), 1);
  snprintf (counted, sizeof counted, " 1 violations, %s 1\n", rule);
  if (!HAS_TEXT (out, counted))
    printf ("expected %s:\n%s", rule, out);
  CU_ASSERT (HAS_TEXT (out, counted));
}

/* Guards against a checker that reports what the rules allow.  */
static void
test_allowed (void)
{
  expect_none (&(struct records){
      .servers = RUN ("101", "i-1.0.1", SOUND " -"),
      .callers = SEND ("100") GOT ("102", "200", "i-1.0.1") });
  /* Refused, sent again and run.  */
  expect_none (
      &(struct records){ .servers = "refused 101 i-1 7 503 " REFUSE
                                    " -\n" RUN ("201", "i-1.0.1", SOUND " -"),
                         .callers = SEND ("100") GOT ("102", "503", "-")
                             SEND ("200") GOT ("202", "200", "i-1.0.1") });
  /* A failure of the daemon promises nothing.  */
  expect_none (
      &(struct records){ .servers = RUN ("101", "i-1.0.1", CUT " -"),
                         .callers = SEND ("100") GOT ("102", "502", "-") });
  /* An answer to HEAD and a leave of the caller.  */
  expect_none (&(struct records){
      .servers = RUN ("101", "i-1.0.1", SOUND " -"),
      .callers = SEND ("100") "got 102 7 left 0 - - 0 - 0\n" });
}

/* Guards against a checker that overlooks answers that are not the caller's
   own or not whole.  */
static void
test_mixed (void)
{
  const char *server = RUN ("101", "i-1.0.1", SOUND " -") OTHER_RUN;

  expect (&(struct records){ .servers = server,
                             .callers = OTHER_SEND SEND ("100")
                                 GOT ("102", "200", "-") },
          "MIXED");
  expect (
      &(struct records){ .servers = server,
                         .callers = OTHER_SEND SEND (
                             "100") "got 102 7 whole 200 i-1.0.1 7 4 h4 0\n" },
      "MIXED");
  expect (
      &(struct records){ .servers = server,
                         .callers = OTHER_SEND SEND (
                             "100") "got 102 7 whole 200 i-1.0.9 7 3 h3 0\n" },
      "MIXED");
  expect (
      &(struct records){ .servers = server,
                         .callers = OTHER_SEND SEND (
                             "100") "got 102 7 whole 200 i-1.0.1 8 5 h5 0\n" },
      "MIXED");
  expect (&(struct records){ .servers = server,
                             .callers = OTHER_SEND SEND ("100")
                                 GOT ("102", "500", "i-1.0.1") },
          "MIXED");
  expect (&(struct records){ .servers = server,
                             .callers = OTHER_SEND SEND (
                                 "100") "got 102 7 extra 0 - - 0 - 1\n" },
          "MIXED");
  expect (&(struct records){ .servers = server,
                             .callers = OTHER_SEND SEND (
                                 "100") "got 102 7 garbage 0 - - 0 - 1\n" },
          "MIXED");
}

/* Guards against a checker that overlooks runs that must not be.  */
static void
test_runs (void)
{
  expect (&(struct records){ .servers = RUN ("101", "i-1.0.1", SOUND " -")
                                 RUN ("103", "i-1.0.2", SOUND " -"),
                             .callers
                             = SEND ("100") GOT ("104", "200", "i-1.0.2") },
          "TWICE");
  expect (&(struct records){ .servers = RUN ("101", "i-1.0.1", SOUND " -"),
                             .callers = SEND ("100") GOT ("102", "503", "-") },
          "REFUSED");
  /* It runs after the refusal.  */
  expect (&(struct records){ .servers = RUN ("150", "i-1.0.1", SOUND " -"),
                             .callers = SEND ("100") GOT ("102", "429", "-") },
          "REFUSED");
  /* It ran before the refusal, and is sent again.  */
  expect (&(struct records){ .servers = RUN ("101", "i-1.0.1", SOUND " -"),
                             .callers = SEND ("100") GOT ("102", "503", "-")
                                 SEND ("200") GOT ("202", "502", "-") },
          "REFUSED");
  expect (&(struct records){ .servers = OTHER_RUN,
                             .callers = SEND ("100") GOT ("102", "502", "-") },
          "UNASKED");
  expect (
      &(struct records){
          .servers
          = "run 101 i-1 7 i-1.0.1 a POST /u/1 b1 200 5 h5 " SOUND "\n",
          .callers = SEND ("100") GOT ("102", "200", "i-1.0.1") },
      "UNASKED");
  expect (
      &(struct records){
          .servers
          = "run 101 i-1 7 i-1.0.1 b POST /u/1 b0 200 5 h5 " SOUND "\n",
          .callers = SEND ("100") GOT ("102", "200", "i-1.0.1") },
      "ROUTE");
}

/* Guards against a checker that overlooks requests lost in planned work, or
   reports those that other disturbances end.  */
static void
test_lost (void)
{
  const char *closed = SEND ("10000") "got 10500 7 closed 0 - - 0 - 0\n";
  struct records r = { .servers = RUN ("10001", "i-1.0.1", SOUND " -"),
                       .callers = closed,
                       .driver = "event 10100 term edge-0\n" };

  expect (&r, "LOST");
  r.driver = "event 9000 hup edge-0\n";
  expect (&r, "LOST");
  r.driver = "event 10100 term edge-1\n";
  expect_none (&r);
  r.driver = "event 10100 term edge-0\nevent 7000 kill core-1\n";
  expect_none (&r);
  r.driver = "event 10100 term edge-0\n";
  r.servers = RUN ("10001", "i-1.0.1", CUT " -");
  expect_none (&r);
  r.servers = RUN ("10001", "i-1.0.1", SOUND " -") "killed 10002 i-1.0\n";
  expect_none (&r);
  /* The server was killed long after the end of the request.  */
  r.servers = RUN ("10001", "i-1.0.1", SOUND " -") "killed 19000 i-1.0\n";
  expect (&r, "LOST");
}

/* Guards against a checker that overlooks requests to a server that has left,
   or counts those of daemons that were not in touch.  */
static void
test_drain (void)
{
  struct records r
      = { .servers = "left 7400 i-1.0\n" RUN ("10001", "i-1.0.1", SOUND " -"),
          .callers = SEND ("10000") GOT ("10002", "200", "i-1.0.1") };

  expect (&r, "DRAIN");
  r.driver = "event 9000 kill edge-1\nevent 9000 full core-1\n"
             "event 9000 hup edge-0\nevent 5900 kill core-0\n";
  expect (&r, "DRAIN");
  r.driver = "event 9000 kill edge-0\n";
  expect_none (&r);
  r.driver = "event 9000 start core-2\n";
  expect_none (&r);
  r.driver = "event 9000 slow core-2\n";
  expect_none (&r);
  /* Within the time that the platform allows.  */
  r.driver = NULL;
  r.servers = "left 7600 i-1.0\n" RUN ("10001", "i-1.0.1", SOUND " -");
  expect_none (&r);
  /* The next lifetime at the id.  */
  r.servers = "left 7400 i-1.0\n" RUN ("10001", "i-1.1.1", SOUND " -");
  r.callers = SEND ("10000") GOT ("10002", "200", "i-1.1.1");
  expect_none (&r);
}

/* Expects that the table of the checker has LINE, with equal spaces.  */
static void
expect_line (const struct records *r, const char *line)
{
  char out[8192], packed[8192];
  size_t n = 0;

  check (r, out, sizeof out);
  for (const char *p = out; *p != '\0'; p++)
    if (*p != ' ' || p[1] != ' ')
      packed[n++] = *p;
  packed[n] = '\0';
  if (!HAS_TEXT (packed, line))
    printf ("expected %s:\n%s", line, packed);
  CU_ASSERT (HAS_TEXT (packed, line));
}

/* Guards against a table that hides which value of a fault, of the answer or of
   the one before, goes with wrong answers.  */
static void
test_faults (void)
{
  struct records r
      = { .servers = OTHER_RUN RUN ("101", "i-1.0.1", CUT " " COPY),
          .callers = OTHER_SEND SEND ("100") GOT ("102", "200", "i-1.0.9") };

  /* Another stamp, and another answer to the own one.  */
  expect (&r, "MIXED");
  expect_line (&r, "\npart=answer 1 1 0\n");
  expect_line (&r, "\npart=none 1 0 0\n");
  expect_line (&r, "\npart=copy 0 0 1\n");
  expect_line (&r, "\nat=before 0 0 1\n");
  expect_line (&r, "\nframe=length 2 1 0\n");
  expect_line (&r, "\nframe=zero 0 0 1\n");
  /* The first of two runs is the one that was not understood.  */
  r.servers
      = RUN ("101", "i-1.0.1", CUT " -") RUN ("103", "i-1.0.2", SOUND " -");
  r.callers = SEND ("100") GOT ("104", "200", "i-1.0.2");
  expect (&r, "TWICE");
  expect_line (&r, "\npart=answer 1 1 0\n");
}

/* Guards against a head that is read from two answers: the status of one with
   the stamp of another.  */
static void
test_status (void)
{
  struct records r
      = { .servers = "run 101 i-1 7 i-1.0.1 a POST /u/1 b0 500 5 h5 " SOUND
                     " " COPY "\n",
          .callers = SEND ("100") GOT ("102", "200", "i-1.0.1") };

  expect (&r, "MIXED");
  r.callers = SEND ("100") GOT ("102", "500", "i-1.0.1");
  expect_none (&r);
  /* A refusal of which the server knows nothing.  */
  r.callers = SEND ("100") GOT ("102", "503", "-");
  expect (&r, "REFUSED");
}

/* Guards against rules of the daemons that lose sound answers unseen, and
   against counting those that something else has ended.  */
static void
test_sound_lost (void)
{
  const char *lost = "\nframe=length 1 1\n", *kept = "\nframe=length 1 0\n";
  struct records r = { .servers = RUN ("10001", "i-1.0.1", SOUND " -"),
                       .callers = SEND ("10000") GOT ("10500", "502", "-") };

  expect_none (&r);
  expect_line (&r, lost);
  r.callers = SEND ("10000") "got 10500 7 closed 0 - - 0 - 0\n";
  expect_line (&r, lost);
  r.callers = SEND ("10000") "got 12500 7 timeout 0 - - 0 - 0\n";
  expect_line (&r, lost);
  r.callers = SEND ("10000") "got 10500 7 left 0 - - 0 - 0\n";
  expect_line (&r, kept);
  r.callers = SEND ("10000") GOT ("10500", "200", "i-1.0.1");
  expect_line (&r, kept);
  r.callers = SEND ("10000") GOT ("10500", "502", "-");
  r.driver = "event 9000 pause core-1\n";
  expect_line (&r, kept);
  r.driver = NULL;
  /* Its connection had a fault before, or its server was killed.  */
  r.servers = RUN ("10001", "i-1.0.1", SOUND " " COPY);
  expect_line (&r, "\nsound answers clean lost\n1 requests");
  r.servers = RUN ("10001", "i-1.0.1", SOUND " -") "killed 10002 i-1.0\n";
  expect_line (&r, "\nsound answers clean lost\n1 requests");
  /* Another process, or long after the answer.  */
  r.servers = RUN ("10001", "i-1.0.1", SOUND " -") "killed 10002 i-1.1\n";
  expect_line (&r, lost);
  r.servers = RUN ("10001", "i-1.0.1", SOUND " -") "killed 20002 i-1.0\n";
  expect_line (&r, lost);
  /* A server that gives the answer a framing of its own.  */
  r.servers
      = RUN ("10001", "i-1.0.1", "part=none,follow=answer,frame=close -");
  expect_line (&r, "\nframe=close 1 1\n");
}

/* Guards against a checker that overlooks a manifest that is lost, changed or
   refused.  */
static void
test_config (void)
{
  struct records r
      = { .servers = RUN ("101", "i-1.0.1", SOUND " -"),
          .callers = SEND ("100") GOT ("102", "200", "i-1.0.1"),
          .driver = "put 100 5\nack 110 5\nread 3000 core-1 4\n" };

  expect (&r, "CONFIG");
  /* Within the time that the platform allows.  */
  r.driver = "put 100 5\nack 110 5\nread 2000 core-1 4\n";
  expect_none (&r);
  r.driver = "changed 100 core-1 5\n";
  expect (&r, "CONFIG");
  r.driver = "denied 100 5 400\n";
  expect (&r, "CONFIG");
  r.driver = "missing 30000 core-1\n";
  expect (&r, "CONFIG");
}

/* Guards against a run without any answer that passes.  */
static void
test_empty (void)
{
  char out[8192];

  CU_ASSERT_EQUAL (check (&(struct records){ .servers = "", .callers = "" },
                          out, sizeof out),
                   1);
}

static const struct zp_test tests[]
    = { { "what the rules allow", test_allowed },
        { "answers", test_mixed },
        { "runs", test_runs },
        { "planned work", test_lost },
        { "servers that leave", test_drain },
        { "values of faults", test_faults },
        { "statuses", test_status },
        { "sound answers lost", test_sound_lost },
        { "manifests", test_config },
        { "no answers", test_empty } };

TEST_MAIN ("soak-check", tests)
