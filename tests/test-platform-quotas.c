/* Tests a rate limit with the programs of the platform.  */

#define ENTRIES 2
#include "platform-fixture.h"

#define RATE 20
#define BURST 20
#define WINDOW (5 * ZP_SEC)
#define CALLERS 4 /* half of them at each entry daemon */

/* Time of the load, and when the leader is killed in it: after the 4 s for
   which a new owner gives only a quarter of the limit.  */
#define LOAD_TIME (16 * ZP_SEC)
#define KILL_AT (8 * ZP_SEC)

#define SAMPLES_MAX 2000

struct sample
{
  zp_time at;
  unsigned served;
};

static const char limited[]
    = "{\"version\":7,\"listeners\":[{\"host\":\"h.example\",\"routingRules\":"
      "[{\"type\":\"unsafe\",\"match\":{\"pathPrefix\":\"/p/\"},\"action\":{"
      "\"service\":\"svc\",\"timeout\":\"3s\",\"attempts\":2}}]}],"
      "\"clusters\":[{\"name\":\"svc\"}],"
      "\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"k\"],"
      "\"ratePerS\":20,\"burst\":20}]}";

static bool
has_metric (int at, int port, const char *text)
{
  return HAS_TEXT (call (at, port, "/metrics", NULL).body, text);
}

static int
find_leader (void)
{
  for (int i = 0; i < CONTROLS; i++)
    if (process[i] > 0 && has_metric (i, PORT_CONTROL, "zp_control_leader 1"))
      return i;
  return -1;
}

/* Sends requests to an entry daemon until END.  */
static pid_t
start_caller (int entry, zp_time end)
{
  pid_t child = fork ();

  CU_ASSERT_FATAL (child >= 0);
  if (child > 0)
    return child;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  while (zp_clock_mono () < end)
    {
      call (entry, PORT_FRONT, "/p/x", NULL);
      usleep (2000);
    }
  _exit (0);
}

/* The most requests of any window.  */
static unsigned
most_in_window (const struct sample *s, size_t n)
{
  unsigned most = 0;

  for (size_t i = 0, j = 0; j < n; j++)
    {
      while (s[j].at - s[i].at > WINDOW)
        i++;
      if (s[j].served - s[i].served > most)
        most = s[j].served - s[i].served;
    }
  return most;
}

/* Guards against entry daemons that together exceed a limit, also when the
   control daemon that owns it is killed, and against a limit that nobody can
   use after that.  */
static void
test_limit_of_two_daemons (void)
{
  static struct sample sample[SAMPLES_MAX];
  pid_t caller[CALLERS];
  size_t n = 0;

  for (int i = 0; i < PROCESSES; i++)
    {
      write_settings (i, true);
      start (i);
    }
  open_stub ();
  more_headers[0] = "X-Credential: k";
  call_control ("/Config.Put", limited, 200);
  wait_for (PORT_READY, "/ready", 200);
  report ("ready", 1);
  wait_for (PORT_FRONT, "/p/x", 200);

  zp_time begin = zp_clock_mono (), reported = begin;
  for (int i = 0; i < CALLERS; i++)
    caller[i] = start_caller (ENTRY + i % ENTRIES, begin + LOAD_TIME);
  int leader = -1;
  unsigned killed = 0; /* requests served until then */
  for (zp_time now = begin; now < begin + LOAD_TIME && n < SAMPLES_MAX;)
    {
      usleep (10000);
      sample[n++]
          = (struct sample){ .at = zp_clock_mono (), .served = stub.served };
      now = sample[n - 1].at;
      if (leader < 0 && now - begin > KILL_AT)
        {
          leader = find_leader ();
          CU_ASSERT_FATAL (leader >= 0);
          kill_process (leader);
          killed = stub.served;
        }
      if (now - reported > ZP_SEC)
        {
          reported = now;
          report ("ready", 1 + (unsigned) ((now - begin) / ZP_SEC));
        }
    }
  for (int i = 0; i < CALLERS; i++)
    waitpid (caller[i], NULL, 0);
  printf ("served: %u until the leader was killed, %u then, most in 5 s %u\n",
          killed, stub.served - killed, most_in_window (sample, n));
  CU_ASSERT (most_in_window (sample, n) <= RATE * 5 + BURST);
  for (int i = 0; i < ENTRIES; i++)
    CU_ASSERT (has_metric (ENTRY + i, PORT_READY,
                           "zp_quota_refused_total{workspace=\"acme\"}"));
  /* A quarter of the limit for the rest of the time, without the 3 s in which
     there may be no leader.  */
  CU_ASSERT (stub.served - killed >= RATE / 4 * 5);
  close_stub ();
}

static const struct zp_test tests[]
    = { { "a limit of two entry daemons", test_limit_of_two_daemons } };

int
main (int argc, char **argv)
{
  (void) argc;
  return run_platform_tests (argv[0], "platform-quotas", tests,
                             sizeof tests / sizeof tests[0]);
}
