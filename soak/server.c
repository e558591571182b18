/* A backend server of the platform soak, with faults in its answers.

   Usage: zp-soak-server SEED NAME SERVICE ZONE ADDRESS CONTROLS RECORD BEGAN
          PLAN

   CONTROLS is a list of control daemons, separated by commas.  PLAN is the
   output of "soak/plan --platform"; the lines "AT FOR server NAME FAULT DOSE"
   with its own NAME apply, at AT ms after BEGAN, which is in ms of the
   monotonic clock.  During that time, DOSE percent of the answers have FAULT,
   see fault.h.  zp-soak-server --faults prints the dimensions of faults.

   The program starts itself again as a child process, which serves.  When the
   child is killed, the next one follows, at once or after up to 2 s, with
   another lifetime and mostly another id.

   RECORD gets a line for each attempt before its answer is sent:

     run MS SERVER ID STAMP SERVICE METHOD PATH BODY STATUS LEN HASH FAULT LAST
     refused MS SERVER ID STATUS FAULT LAST
     killed MS SERVER.START

   The last one comes before a SIGKILL; START is the number of the child
   process, as in STAMP.  BODY is the hash of the request's body, LEN and HASH
   belong to the body that a caller must receive, which depends on ID and STAMP.
   LAST is the last fault of an earlier answer on the connection, "-" without
   one.  */

#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/rng.h"
#include "message.h"
#include "session.h"

#define REPORT_INTERVAL (1500 * ZP_MS) /* "server_report" of the daemons */
#define REPORT_STEP (100 * ZP_MS)
#define RESTART_MS 2000 /* longest pause before a restart */

static void
pause_for (zp_time t)
{
  if (t > 0)
    usleep ((useconds_t) t);
}

/* Sends one report.  Returns the status of the answer, or 0.  */
static unsigned
report (struct sk_server *v, const char *control, struct zp_str body)
{
  struct sk_conn c = { .fd = -1 };
  struct sk_message m = { .status = 0 };
  struct zp_buf out = { .ptr = NULL };

  zp_buf_printf (&out,
                 "POST /Instances.Heartbeat/%s HTTP/1.1\r\nHost: control\r\n"
                 "Content-Type: application/json\r\nConnection: close\r\n"
                 "Content-Length: %zu\r\n\r\n%.*s",
                 v->id, body.len, ZP_ARG (body));
  if (sk_dial (&c, control) && sk_send (&c, zp_str_of (&out)))
    sk_read (&c, SK_ANSWER, zp_clock_mono () + ZP_SEC, &m);
  unsigned status = m.status;
  sk_close (&c, false);
  zp_buf_free (&out);
  sk_message_free (&m);
  return status;
}

/* Sends reports while the process runs.  */
static void *
report_all (void *self)
{
  struct sk_server *v = self;
  struct zp_buf body = { .ptr = NULL };
  unsigned at = 0;

  long long born = zp_clock_wall () / ZP_MS;
  for (unsigned seq = 1;; seq++)
    {
      zp_buf_clear (&body);
      zp_buf_printf (&body,
                     "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
                     "\"version\":\"v1\",\"capacity\":%d,\"state\":\"ready\","
                     "\"warmupLeft\":\"0ms\",\"seq\":%u,\"born\":%lld}",
                     v->service, v->address, v->zone, SK_CAPACITY, seq, born);
      unsigned status = 0;
      for (unsigned i = 0; i < v->controls && status / 100 != 2; i++)
        {
          status = report (v, v->control[at], zp_str_of (&body));
          if (status / 100 != 2)
            {
              fprintf (stderr, "%s: report %u to %s: status %u\n", v->id, seq,
                       v->control[at], status);
              at = (at + 1) % v->controls;
            }
        }
      pause_for (status / 100 == 2 ? REPORT_INTERVAL : REPORT_STEP);
    }
  return NULL;
}

static void
read_plan (struct sk_server *v, const char *file, zp_time began)
{
  long long at, lasts;
  char name[32], fault[SK_FAULT_TEXT], line[250];
  unsigned dose;
  FILE *f = fopen (file, "r");

  if (!f)
    {
      perror (file);
      exit (2);
    }
  while (fgets (line, sizeof line, f) && v->events < SK_EVENTS_MAX)
    {
      if (sscanf (line, "%lld %lld server %31s %159s %u", &at, &lasts, name,
                  fault, &dose)
              != 5
          || strcmp (name, v->name) != 0)
        continue;
      struct sk_event *e = &v->event[v->events++];
      *e = (struct sk_event){ .from = began + at * ZP_MS,
                              .until = began + (at + lasts) * ZP_MS,
                              .dose = dose };
      if (!sk_fault_parse (&e->fault, zp_str_from (fault)))
        {
          fprintf (stderr, "%s: %s is no fault\n", file, fault);
          exit (2);
        }
    }
  fclose (f);
}

static void
serve_all (struct sk_server *v)
{
  struct zp_rng rng;
  pthread_t thread;

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  zp_rng_seed (&rng, v->seed + v->start);
  /* A server may start again under the id that it had.  */
  unsigned id
      = v->start > 0 && zp_rng_below (&rng, 5) == 0 ? v->start - 1 : v->start;
  snprintf (v->id, sizeof v->id, "i-%s-%u", v->name, id);
  v->listener = sk_listen (v->address);
  if (v->listener < 0)
    {
      perror (v->address);
      exit (2);
    }
  if (pthread_create (&thread, NULL, report_all, v) != 0)
    exit (2);
  for (;;)
    {
      int fd = accept (v->listener, NULL, NULL);
      if (fd < 0)
        continue;
      if (!sk_session_start (v, fd))
        {
          fputs ("cannot create a thread\n", stderr);
          exit (2);
        }
    }
}

static volatile sig_atomic_t stopped;
static volatile sig_atomic_t child;

static void
on_term (int signal_number)
{
  (void) signal_number;
  stopped = 1;
  if (child > 0)
    kill (child, SIGKILL);
}

/* Starts the serving process again each time that it was killed.  */
static int
supervise (struct sk_server *v)
{
  struct sigaction term = { .sa_handler = on_term };
  struct zp_rng rng;

  zp_rng_seed (&rng, v->seed);
  sigaction (SIGTERM, &term, NULL);
  for (; !stopped; v->start++)
    {
      int status;
      pid_t pid = fork ();
      if (pid < 0)
        {
          perror ("fork");
          return 2;
        }
      if (pid == 0)
        {
          signal (SIGTERM, SIG_DFL);
          serve_all (v);
        }
      child = pid;
      while (waitpid (pid, &status, 0) < 0)
        if (errno != EINTR)
          return 2;
      child = 0;
      if (!WIFSIGNALED (status) || WTERMSIG (status) != SIGKILL)
        {
          fprintf (stderr, "%s: ended with wait status %#x\n", v->name,
                   (unsigned) status);
          return 2;
        }
      if (!stopped && zp_rng_below (&rng, 3) > 0)
        pause_for (zp_rng_below (&rng, RESTART_MS) * ZP_MS);
    }
  return 0;
}

int
main (int argc, char **argv)
{
  static struct sk_server v;
  char *save = NULL;

  if (argc == 2 && strcmp (argv[1], "--faults") == 0)
    {
      sk_fault_print_all ();
      return 0;
    }
  if (argc != 10)
    {
      fputs ("zp-soak-server: wrong usage, see soak/server.c\n", stderr);
      return 2;
    }
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  v.name = argv[2];
  v.seed = (uint32_t) zp_str_hash (zp_str_from (v.name),
                                   strtoull (argv[1], NULL, 10));
  v.service = argv[3];
  v.zone = argv[4];
  v.address = argv[5];
  for (char *c = strtok_r (argv[6], ",", &save);
       c && v.controls < SK_CONTROLS_MAX; c = strtok_r (NULL, ",", &save))
    v.control[v.controls++] = c;
  v.record = sk_record_open (argv[7]);
  if (v.record < 0)
    {
      perror (argv[7]);
      return 2;
    }
  read_plan (&v, argv[9], strtoll (argv[8], NULL, 10) * ZP_MS);
  return supervise (&v);
}
