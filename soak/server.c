/* A backend server of the platform soak, with faults in its answers.

   Usage: zp-soak-server SEED NAME SERVICE ZONE ADDRESS CONTROLS RECORD BEGAN
          PLAN

   CONTROLS is a list of control daemons, separated by commas.  PLAN is the
   output of "soak/plan --platform"; the lines "AT FOR server NAME FAULT DOSE"
   with its own NAME apply, at AT ms after BEGAN, which is in ms of the
   monotonic clock.  During that time, DOSE percent of the answers have FAULT,
   see fault.h.  zp-soak-server --faults prints the dimensions of faults.

   At a line "AT FOR leave NAME HOW", the server leaves: it reports that it is
   draining (HOW is "draining") or sends Instances.Deregister and no more reports
   ("silent"), serves for FOR ms after the ack, and ends.  A copy of its last
   report from before arrives late.

   The program starts itself again as a child process, which serves.  When the
   child is killed, the next one follows, at once or after up to 2 s, with
   another lifetime and mostly another id.

   RECORD gets a line for each attempt before its answer is sent:

     run MS SERVER ID STAMP SERVICE METHOD PATH BODY STATUS LEN HASH FAULT LAST
     refused MS SERVER ID STATUS FAULT LAST
     killed MS SERVER.START
     left MS SERVER.START

   "killed" comes before a SIGKILL, "left" after the ack of a leave; START is the number of the child
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
#define RESTART_MS 2000             /* longest pause before a restart */
#define LEAVE_PATIENCE (5 * ZP_SEC) /* for an ack, before it leaves without */

static void
pause_for (zp_time t)
{
  if (t > 0)
    usleep ((useconds_t) t);
}

/* Sends one report; CALL is "Heartbeat" or "Deregister".  Returns the status of
   the answer, or 0.  */
static unsigned
report (struct sk_server *v, const char *control, const char *call,
        struct zp_str body)
{
  struct sk_conn c = { .fd = -1 };
  struct sk_message m = { .status = 0 };
  struct zp_buf out = { .ptr = NULL };

  zp_buf_printf (&out,
                 "POST /Instances.%s/%s HTTP/1.1\r\nHost: control\r\n"
                 "Content-Type: application/json\r\nConnection: close\r\n"
                 "Content-Length: %zu\r\n\r\n%.*s",
                 call, v->id, body.len, ZP_ARG (body));
  if (sk_dial (&c, control) && sk_send (&c, zp_str_of (&out)))
    sk_read (&c, SK_ANSWER, zp_clock_mono () + ZP_SEC, &m);
  unsigned status = m.status;
  sk_close (&c, false);
  zp_buf_free (&out);
  sk_message_free (&m);
  return status;
}

/* What the reporting thread knows.  */
struct reporter
{
  struct sk_server *server;
  unsigned at; /* index of the control daemon to call */
  unsigned seq;
  zp_time started;
  long long born;
  struct zp_buf body;
};

/* Calls the control daemons in turn until one acknowledges.  */
static bool
call_any (struct reporter *r, const char *call, struct zp_str body)
{
  struct sk_server *v = r->server;

  for (unsigned i = 0; i < v->controls; i++)
    {
      unsigned status = report (v, v->control[r->at], call, body);
      if (status / 100 == 2)
        return true;
      fprintf (stderr, "%s: %s %u to %s: status %u\n", v->id, call, r->seq,
               v->control[r->at], status);
      r->at = (r->at + 1) % v->controls;
    }
  return false;
}

static bool
send_heartbeat (struct reporter *r, const char *state)
{
  const struct sk_server *v = r->server;

  zp_buf_clear (&r->body);
  zp_buf_printf (&r->body,
                 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
                 "\"version\":\"v1\",\"capacity\":%d,\"state\":\"%s\","
                 "\"warmupLeft\":\"0ms\",\"seq\":%u,\"born\":%lld}",
                 v->service, v->address, v->zone, SK_CAPACITY, state, ++r->seq,
                 r->born);
  return call_any (r, "Heartbeat", zp_str_of (&r->body));
}

static bool
send_leave (struct reporter *r)
{
  zp_buf_clear (&r->body);
  zp_buf_printf (&r->body, "{\"born\":%lld}", r->born);
  return call_any (r, "Deregister", zp_str_of (&r->body));
}

static void
record_process (const struct sk_server *v, const char *what)
{
  sk_record (v->record, "%s %lld %s.%u", what,
             (long long) (zp_clock_mono () / ZP_MS), v->id, v->start);
}

/* Leaves as L says and ends the process.  */
static void
leave (struct reporter *r, const struct sk_leave *l)
{
  struct sk_server *v = r->server;
  struct zp_buf late = zp_buf_from (zp_str_of (&r->body));
  zp_time until = zp_clock_mono () + LEAVE_PATIENCE;
  bool known = false;

  atomic_store (&v->draining, true);
  while (!known && zp_clock_mono () < until)
    {
      known = l->reports ? send_heartbeat (r, "draining") : send_leave (r);
      if (!known)
        pause_for (REPORT_STEP);
    }
  if (known)
    {
      record_process (v, "left");
      until = zp_clock_mono () + l->lasts;
    }
  while (zp_clock_mono () < until)
    {
      pause_for (REPORT_INTERVAL);
      r->at = (r->at + 1) % v->controls;
      call_any (r, "Heartbeat", zp_str_of (&late));
      if (l->reports)
        send_heartbeat (r, "draining");
    }
  if (l->reports)
    send_leave (r);
  record_process (v, "killed");
  kill (getpid (), SIGKILL);
}

/* Sends reports while the process runs.  */
static void *
report_all (void *self)
{
  struct sk_server *v = self;
  struct reporter r = { .server = v,
                        .started = zp_clock_mono (),
                        .born = zp_clock_wall () / ZP_MS };

  for (;;)
    {
      bool known = send_heartbeat (&r, "ready");
      zp_time next
          = zp_clock_mono () + (known ? REPORT_INTERVAL : REPORT_STEP);
      for (; zp_clock_mono () < next; pause_for (REPORT_STEP))
        for (unsigned i = 0; i < v->leaves; i++)
          if (v->leave[i].at > r.started && v->leave[i].at <= zp_clock_mono ())
            leave (&r, &v->leave[i]);
    }
  return NULL;
}

/* Reads a line of the plan with a leave.  */
static void
read_leave (struct sk_server *v, const char *line, zp_time began)
{
  long long at, lasts;
  char name[32], how[32];

  if (sscanf (line, "%lld %lld leave %31s %31s", &at, &lasts, name, how) == 4
      && strcmp (name, v->name) == 0 && v->leaves < SK_LEAVES_MAX)
    v->leave[v->leaves++]
        = (struct sk_leave){ .at = began + at * ZP_MS,
                             .lasts = lasts * ZP_MS,
                             .reports = strcmp (how, "draining") == 0 };
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
      read_leave (v, line, began);
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
