/* Tests the daemons as processes that get signals while they start.  */

#include "platform-fixture.h"

/* A daemon reads its settings from a pipe, so that it stands still in main
   while the test sends signals.  */
struct daemon_start
{
  pid_t pid;
  int settings; /* the pipe, to be written to */
};

static struct daemon_start
begin (const char *name)
{
  char program[600], path[128], log[128];
  struct daemon_start d;

  snprintf (program, sizeof program, "%s/%s", programs, name);
  snprintf (path, sizeof path, "%s/%s.pipe", folder, name);
  snprintf (log, sizeof log, "%s/%s.log", folder, name);
  CU_ASSERT_FATAL (mkfifo (path, 0600) == 0);
  d.pid = fork ();
  CU_ASSERT_FATAL (d.pid >= 0);
  if (d.pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2 (fd, STDERR_FILENO);
      dup2 (fd, STDOUT_FILENO);
      execl (program, program, "--settings", path, (char *) NULL);
      _exit (127);
    }
  /* Returns when the daemon has opened the other end.  */
  d.settings = open (path, O_WRONLY | O_CLOEXEC);
  CU_ASSERT_FATAL (d.settings >= 0);
  return d;
}

/* Replaces the pipe of the daemon NAME by a file, which it reads after
   SIGHUP.  */
static void
replace_pipe (const char *name, struct zp_str settings)
{
  char path[128];

  snprintf (path, sizeof path, "%s/%s.pipe", folder, name);
  unlink (path);
  FILE *f = fopen (path, "w");
  CU_ASSERT_PTR_NOT_NULL_FATAL (f);
  fwrite (settings.ptr, 1, settings.len, f);
  fclose (f);
}

/* Starts the daemon NAME, sends SIGNALS before it has its SETTINGS, and
   checks that it ends as after a graceful shutdown.  */
static void
check_signals (const char *name, struct zp_str settings, const int *signals,
               size_t n)
{
  struct daemon_start d = begin (name);
  int status = 0;

  replace_pipe (name, settings);
  signal (SIGPIPE, SIG_IGN);
  for (size_t i = 0; i < n; i++)
    {
      kill (d.pid, signals[i]);
      usleep (20000);
    }
  if (write (d.settings, settings.ptr, settings.len) < 0)
    printf ("\n    %s has ended", name);
  close (d.settings);
  waitpid (d.pid, &status, 0);
  printf ("\n    %s: wait status %#x", name, (unsigned) status);
  CU_ASSERT (WIFEXITED (status) && WEXITSTATUS (status) == 0);
}

static const int hangup_and_term[] = { SIGHUP, SIGTERM };
static const int term[] = { SIGTERM };
static const int interrupt[] = { SIGINT };

#define CHECK(name, settings, signals)                                        \
  check_signals (name, settings, signals,                                     \
                 sizeof (signals) / sizeof (signals)[0])

/* The settings of process AT of the platform.  */
static struct zp_buf
platform_settings (int at)
{
  struct zp_buf text = { .ptr = NULL };
  char path[128];
  struct zp_err err;

  write_settings (at, true);
  snprintf (path, sizeof path, "%s/%d.json", folder, at);
  CU_ASSERT_FATAL (zp_file_read (path, &text, 65536, &err));
  return text;
}

static void
remove_settings (const char *name)
{
  char path[128];

  snprintf (path, sizeof path, "%s/%s.pipe", folder, name);
  unlink (path);
}

static void
check_daemon (const char *name, struct zp_str settings)
{
  CHECK (name, settings, hangup_and_term);
  remove_settings (name);
  CHECK (name, settings, interrupt);
  remove_settings (name);
}

/* Guards against a daemon of the platform that is ended by a signal before it
   handles it.  */
static void
test_platform (void)
{
  struct zp_buf edge = platform_settings (ENTRY), core = platform_settings (0);

  check_daemon ("zp-edge", zp_str_of (&edge));
  check_daemon ("zp-core", zp_str_of (&core));
  zp_buf_free (&edge);
  zp_buf_free (&core);
}

/* The same for the daemons of the native interface.  */
static void
test_native (void)
{
  struct zp_buf text = { .ptr = NULL };

  zp_buf_printf (&text,
                 "{\"id\":1,\"data\":\"%s/control\",\"address\":\"%s:7100\","
                 "\"http\":\"%s:7180\",\"follow\":\"%s:7190\",\"members\":["
                 "\"1=%s:7100,%s:7180\"]}",
                 folder, ip (1), ip (1), ip (1), ip (1), ip (1));
  check_daemon ("zp-control", zp_str_of (&text));
  zp_buf_clear (&text);
  zp_buf_printf (
      &text,
      "{\"id\":7,\"failure_domain\":\"a-1\",\"region\":\"a\","
      "\"http\":\"%s:7280\",\"wire\":\"%s:7290\",\"follow\":[\"%s:7190\"]}",
      ip (2), ip (2), ip (1));
  /* It has no settings that are read again, and SIGHUP ends it.  */
  CHECK ("zp-entry", zp_str_of (&text), term);
  remove_settings ("zp-entry");
  CHECK ("zp-entry", zp_str_of (&text), interrupt);
  zp_buf_free (&text);
}

#define DELAYS 60
#define DELAY_US 200
#define DELAY_MAX_US 10000000 /* to reach main, with sanitizers too */

/* Sends SIGTERM to process AT after DELAY and returns its wait status.  */
static int
end_after (int at, unsigned delay)
{
  int status = 0;

  start (at);
  usleep (delay);
  kill (process[at], SIGTERM);
  waitpid (process[at], &status, 0);
  process[at] = 0;
  return status;
}

static bool
has_logged (int at)
{
  struct stat log;
  char path[128];

  snprintf (path, sizeof path, "%s/%d.log", folder, at);
  bool logged = stat (path, &log) == 0 && log.st_size > 0;
  unlink (path);
  return logged;
}

/* Guards against a daemon that is ended by SIGTERM when it has begun to work,
   at any time from its fork on.  */
static void
test_any_time (void)
{
  static const int at[] = { 0, ENTRY };
  unsigned early = 0, graceful = 0;

  write_settings (0, true);
  write_settings (ENTRY, true);
  for (size_t i = 0; i < 2; i++)
    for (unsigned n = 0, delay = 0, reached = 0;
         n < DELAYS || (!reached && delay < DELAY_MAX_US); n++)
      {
        int status = end_after (at[i], delay);
        bool logged = has_logged (at[i]);
        bool is_early = WIFSIGNALED (status) && !logged;
        early += is_early;
        graceful += status == 0;
        reached += status == 0;
        delay = n < DELAYS ? delay + DELAY_US : 2 * delay;
        CU_ASSERT (status == 0 || (is_early && WTERMSIG (status) == SIGTERM));
      }
  printf ("\n    %u before main, %u graceful", early, graceful);
  CU_ASSERT (graceful >= 2);
}

static const struct zp_test tests[]
    = { { "signals at the start, platform", test_platform },
        { "signals at the start, native interface", test_native },
        { "a signal at any time", test_any_time } };

int
main (int argc, char **argv)
{
  (void) argc;
  return run_platform_tests (argv[0], "early-signals", tests,
                             sizeof tests / sizeof tests[0]);
}
