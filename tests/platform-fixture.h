/* NAME
     platform-fixture - the programs of the platform as processes

   SYNOPSIS
     static const struct zp_test tests[] = { { "name", function } };
     int main (int argc, char **argv)
     {
       return run_platform_tests (argv[0], "suite", tests, COUNT);
     }

   DESCRIPTION
     Runs control daemons (zp-core) and an entry daemon (zp-edge) with the
     settings of deploy/ on loopback addresses.  A stub backend server is part
     of the test.  A program that needs another number of control daemons than
     three, or of entry daemons than one, defines CONTROLS or ENTRIES before it
     includes this header.

     The processes end with the test, also when it is killed.  */

#ifndef ZP_TESTS_PLATFORM_FIXTURE_H
#define ZP_TESTS_PLATFORM_FIXTURE_H

#include "harness.h"

#include <curl/curl.h>
#include <fcntl.h>
#include <libgen.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include "base/settings.h"
#include "front/server.h"
#include "platform.h"

#ifndef CONTROLS
#define CONTROLS 3
#endif
#ifndef ENTRIES
#define ENTRIES 1
#endif
#define ENTRY CONTROLS /* index of the first entry daemon */
#define PROCESSES (CONTROLS + ENTRIES)
#define STUB PROCESSES /* of the address of the stub server */
#define PORT_CONTROL 8649
#define PORT_DIRECTORY 8644
#define PORT_FRONT 8641
#define PORT_READY 8640
#define PORT_INNER 7620
#define PORT_SERVER 8080

/* Time limit for each step of a test.  */
#define STEP_TIMEOUT (15 * ZP_SEC)

static char folder[64];    /* of settings, data and logs */
static char programs[512]; /* folder of the programs */
static const char *core_program = "zp-core";
static int founders = CONTROLS; /* control daemons that are named as seeds */
static int regions = 1;         /* of the control daemons, which alternate */
static pid_t process[PROCESSES];
static unsigned pid; /* of the test process, also in its children */

/* The loopback address of process AT.  It depends on the process id of the
   test, so that runs at the same time do not share addresses.  */
static inline const char *
ip (int at)
{
  static char text[8][32];
  static int turn;
  char *out = text[turn++ % 8];

  snprintf (out, sizeof text[0], "127.%u.%u.%d", 128 + (pid >> 8) % 64,
            pid % 256, 10 + at);
  return out;
}

/* Settings, made from the templates in deploy/.  */

static inline void
replace (struct zp_buf *text, const char *from, const char *to)
{
  struct zp_buf out = { .ptr = NULL };
  const char *at = text->ptr, *found;

  while ((found = strstr (at, from)))
    {
      zp_buf_put_bytes (&out, at, (size_t) (found - at));
      zp_buf_put (&out, zp_str_from (to));
      at = found + strlen (from);
    }
  zp_buf_put (&out, zp_str_from (at));
  zp_buf_free (text);
  *text = out;
}

static inline void
replacef (struct zp_buf *text, const char *from, const char *fmt, ...)
{
  struct zp_buf to = { .ptr = NULL };
  va_list ap;

  va_start (ap, fmt);
  zp_buf_vprintf (&to, fmt, ap);
  va_end (ap);
  replace (text, from, to.ptr);
  zp_buf_free (&to);
}

static inline void
write_settings (int at, bool bootstrap)
{
  struct zp_buf text = { .ptr = NULL }, seeds = { .ptr = NULL };
  char path[128];
  struct zp_err err;

  CU_ASSERT_FATAL (zp_file_read (at >= ENTRY ? "deploy/edge.json.tmpl"
                                             : "deploy/core.json.tmpl",
                                 &text, 65536, &err));
  replacef (&text, "{{nodeName|json}}", "\"machine-%d\"", at);
  int region = 'a' + (at >= ENTRY ? 0 : at % regions);
  replacef (&text, "{{zone|json}}", "\"%c-1\"", region);
  replacef (&text, "{{region|json}}", "\"%c\"", region);
  replace (&text, "{{bootstrap|json}}", bootstrap ? "true" : "false");
  replacef (&text, "{{dataDir|json}}", "\"%s/data-%d\"", folder, at);
  replacef (&text, "{{ip|json}}", "\"%s\"", ip (at));
  replacef (&text, "{{listen.control|json}}", "\"%s:%d\"", ip (at),
            PORT_CONTROL);
  replacef (&text, "{{listen.directory|json}}", "\"%s:%d\"", ip (at),
            PORT_DIRECTORY);
  replacef (&text, "{{listen.front|json}}", "\"%s:%d\"", ip (at), PORT_FRONT);
  replacef (&text, "{{listen.ready|json}}", "\"%s:%d\"", ip (at), PORT_READY);
  replacef (&text, "{{internalPorts.0|json}}", "%d", PORT_INNER);
  replace (&text, "{{heartbeat|json}}", "\"1500ms\"");
  replace (&text, "{{bounds.grace|json}}", "\"6s\"");
  replace (&text, "{{limits.linkMbps|json}}", "1000.0");
  replace (&text, "{{bounds.retryRatio|json}}", "0.2");
  replace (&text, "{{bounds.retrySlack|json}}", "60");
  replace (&text, "{{#zones}}\"{{@}}={{.}}\"{{,}}{{/zones}}", "\"a-1=a\"");
  for (int i = 0; i < founders; i++)
    zp_buf_printf (&seeds, "%s\"%s:%d\"", i > 0 ? "," : "", ip (i),
                   PORT_CONTROL);
  replacef (&text, "{{seeds|json}}", "[%s]", seeds.ptr);
  zp_buf_free (&seeds);
  CU_ASSERT_PTR_NULL (strstr (text.ptr, "{{"));
  snprintf (path, sizeof path, "%s/%d.json", folder, at);
  FILE *f = fopen (path, "w");
  CU_ASSERT_PTR_NOT_NULL_FATAL (f);
  fputs (text.ptr, f);
  fclose (f);
  zp_buf_free (&text);
}

static inline void
start (int at)
{
  char program[600], settings[128], log[128], shim[128];

  snprintf (program, sizeof program, "%s/%s", programs,
            at >= ENTRY ? "zp-edge" : core_program);
  snprintf (settings, sizeof settings, "%s/%d.json", folder, at);
  snprintf (log, sizeof log, "%s/%d.log", folder, at);
  snprintf (shim, sizeof shim, "%s/%d.shim", folder, at);
  process[at] = fork ();
  CU_ASSERT_FATAL (process[at] >= 0);
  if (process[at] > 0)
    return;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  setenv ("ZP_SOAK_SHIM", shim, 1); /* read by programs with soak/shim.c */
  int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2 (fd, STDERR_FILENO);
  dup2 (fd, STDOUT_FILENO);
  execl (program, program, "--settings", settings, (char *) NULL);
  _exit (127);
}

/* Sends SIGTERM to a process and returns its exit status, or -1 when it ended
   by a signal.  */
static inline int
stop (int at)
{
  int status = -1;

  kill (process[at], SIGTERM);
  waitpid (process[at], &status, 0);
  process[at] = 0;
  return WIFEXITED (status) ? WEXITSTATUS (status) : -1;
}

/* The stub backend server.  */

struct stub_server
{
  struct tk_loop loop;
  struct tk_task task;
  struct fr_server *front;
  struct tk_msg *held; /* request without an answer yet */
  bool hold;           /* do not answer the next request */
  unsigned served;
  char headers[1024]; /* of the last request, with those of workspaces */
};

static inline void
serve (const struct tk_http_request *q)
{
  struct tk_msg *m = tk_msg_new (TK_HTTP_ANSWER);

  m->u.answer.id = q->id;
  m->u.answer.status = 200;
  zp_buf_put (&m->u.answer.headers,
              ZP_STR ("X-Server-Stamp: stamp-1\nX-Server-Load: 1,0,6\n"));
  zp_buf_printf (&m->u.answer.body, "%.*s %.*s",
                 ZP_ARG (zp_str_of (&q->method)),
                 ZP_ARG (zp_str_of (&q->path)));
  tk_send (q->from, m);
}

static inline void
on_stub_message (void *self, struct tk_msg *m)
{
  struct stub_server *s = self;

  if (m->kind == TK_HTTP_REQUEST)
    {
      s->served++;
      zp_str_copy (s->headers, sizeof s->headers,
                   zp_str_of (&m->u.request.headers));
      if (s->hold)
        {
          s->held = m;
          return;
        }
      serve (&m->u.request);
    }
  tk_msg_free (m);
}

static inline void
on_release (struct ev_loop *ev, ev_timer *w, int events)
{
  struct stub_server *s = w->data;

  (void) ev;
  (void) events;
  if (!s->held)
    return;
  serve (&s->held->u.request);
  tk_msg_free (s->held);
  s->held = NULL;
}

/* HTTP calls of the test.  */

/* Header lines that all calls have in addition; NULL ends them.  */
static const char *more_headers[4];

struct reply
{
  long status;
  char body[65536];
  char headers[4096];
  size_t body_len, headers_len;
};

static inline size_t
append (char *out, size_t *len, size_t size, const char *bytes, size_t n)
{
  if (*len + n < size)
    {
      memcpy (out + *len, bytes, n);
      *len += n;
      out[*len] = '\0';
    }
  return n;
}

static inline size_t
on_body (char *bytes, size_t size, size_t n, void *self)
{
  struct reply *r = self;

  return append (r->body, &r->body_len, sizeof r->body, bytes, size * n);
}

static inline size_t
on_header (char *bytes, size_t size, size_t n, void *self)
{
  struct reply *r = self;

  return append (r->headers, &r->headers_len, sizeof r->headers, bytes,
                 size * n);
}

/* Calls process AT: POST if there is a BODY, otherwise GET.  Redirects are
   followed twice if FOLLOW is set.  The status is 0 without an answer within
   LIMIT.  */
static inline struct reply
call_within (int at, int port, const char *path, const char *body, bool follow,
             zp_time limit)
{
  struct reply r = { .status = 0 };
  struct curl_slist *headers = NULL;
  char url[256];
  CURL *c = curl_easy_init ();

  snprintf (url, sizeof url, "http://%s:%d%s", ip (at), port, path);
  headers = curl_slist_append (headers, "Host: h.example");
  headers = curl_slist_append (headers, "X-Request-Id: 9c41d07be2a35f68");
  headers = curl_slist_append (headers, "X-Deadline-Ms: 4000");
  headers = curl_slist_append (headers, "Expect:");
  for (size_t i = 0; more_headers[i]; i++)
    headers = curl_slist_append (headers, more_headers[i]);
  curl_easy_setopt (c, CURLOPT_URL, url);
  curl_easy_setopt (c, CURLOPT_PROXY, "");
  curl_easy_setopt (c, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (c, CURLOPT_TIMEOUT_MS, (long) (limit / ZP_MS));
  curl_easy_setopt (c, CURLOPT_FOLLOWLOCATION, follow ? 1L : 0L);
  curl_easy_setopt (c, CURLOPT_MAXREDIRS, 2L);
  curl_easy_setopt (c, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (c, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (c, CURLOPT_WRITEDATA, &r);
  curl_easy_setopt (c, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (c, CURLOPT_HEADERDATA, &r);
  if (body)
    curl_easy_setopt (c, CURLOPT_POSTFIELDS, body);
  if (curl_easy_perform (c) == CURLE_OK)
    curl_easy_getinfo (c, CURLINFO_RESPONSE_CODE, &r.status);
  curl_slist_free_all (headers);
  curl_easy_cleanup (c);
  return r;
}

static inline struct reply
call (int at, int port, const char *path, const char *body)
{
  return call_within (at, port, path, body, false, 5 * ZP_SEC);
}

/* Calls the control daemons in turn until one answers with STATUS.  */
static inline struct reply
call_control (const char *path, const char *body, long status)
{
  zp_time end = zp_clock_mono () + STEP_TIMEOUT;
  struct reply r = { .status = 0 };

  for (int i = 0; zp_clock_mono () < end; i++)
    {
      r = call (i % CONTROLS, PORT_CONTROL, path, body);
      if (r.status == status)
        return r;
      usleep (50000);
    }
  printf ("%s: the last status is %ld\n", path, r.status);
  CU_FAIL ("no control daemon answers with the expected status");
  return r;
}

/* Calls the entry daemon until it answers with STATUS.  */
static inline struct reply
wait_for (int port, const char *path, long status)
{
  zp_time end = zp_clock_mono () + STEP_TIMEOUT;
  struct reply r = { .status = 0 };

  while (zp_clock_mono () < end)
    {
      r = call (ENTRY, port, path, NULL);
      if (r.status == status)
        return r;
      usleep (50000);
    }
  printf ("%s: the last status is %ld\n", path, r.status);
  CU_FAIL ("the entry daemon does not answer with the expected status");
  return r;
}

static const char document[]
    = "{\"version\":7,\"listeners\":[{\"host\":\"h.example\",\"routingRules\":"
      "[{\"type\":\"unsafe\",\"match\":{\"pathPrefix\":\"/p/\"},\"action\":{"
      "\"service\":\"svc\",\"timeout\":\"3s\",\"attempts\":2}}]}],"
      "\"clusters\":[{\"name\":\"svc\"}]}";

/* Start of the stub server, in ms since 1970.  */
static long long born = 1700000000000;

/* Sends a report of the server ID of SERVICE at AT, which has the address
   ip (AT), to the control daemons.  */
static inline void
report_server (const char *service, const char *id, int at, const char *state,
               unsigned seq)
{
  char body[512], path[64];

  snprintf (path, sizeof path, "/Instances.Heartbeat/%s", id);
  snprintf (body, sizeof body,
            "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"a-1\","
            "\"version\":\"v1\",\"capacity\":6,\"state\":\"%s\","
            "\"warmupLeft\":\"0ms\",\"seq\":%u,\"born\":%lld}",
            service, ip (at), PORT_SERVER, state, seq, born);
  call_control (path, body, 200);
}

/* The same for the stub server.  */
static inline void
report (const char *state, unsigned seq)
{
  report_server ("svc", "i-1", STUB, state, seq);
}

static struct stub_server stub;

static inline void
open_stub (void)
{
  /* The front drops headers of these names; the tests look for them.  */
  static struct fr_header_names names;
  char address[64];

  names = pf_names;
  names.credential = names.workspace = NULL;

  snprintf (address, sizeof address, "%s:%d", ip (STUB), PORT_SERVER);
  const struct fr_options o = { .address = zp_str_from (address),
                                .decider = &stub.task,
                                .names = &names,
                                .idle_max = 60 * ZP_SEC,
                                .body_max = 65536 };
  tk_loop_init (&stub.loop);
  tk_task_init (&stub.task, &stub.loop, on_stub_message, &stub);
  stub.front = fr_server_open_with (&stub.loop, &o, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (stub.front);
  tk_loop_start (&stub.loop);
}

static inline void
close_stub (void)
{
  tk_loop_stop (&stub.loop);
  tk_loop_join (&stub.loop);
  fr_server_close (stub.front);
  tk_task_free (&stub.task);
  tk_loop_free (&stub.loop);
}

/* Ends process AT without a chance to clean up.  */
static inline void
kill_process (int at)
{
  kill (process[at], SIGKILL);
  waitpid (process[at], NULL, 0);
  process[at] = 0;
}

/* Runs the tests and returns the exit status of the program.  The logs are
   kept when a test fails.  */
static inline int
run_platform_tests (const char *program, const char *suite_name,
                    const struct zp_test *test, size_t count)
{
  char path[512];

  pid = (unsigned) getpid ();
  snprintf (path, sizeof path, "%s", program);
  snprintf (programs, sizeof programs, "%s/..", dirname (path));
  strcpy (folder, "/tmp/test-platform-XXXXXX");
  if (!mkdtemp (folder))
    return 1;
  curl_global_init (CURL_GLOBAL_DEFAULT);
  CU_initialize_registry ();
  CU_pSuite suite = CU_add_suite (suite_name, NULL, NULL);
  for (size_t i = 0; i < count; i++)
    CU_add_test (suite, test[i].name, test[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failed = CU_get_number_of_failures ();
  unsigned ran = CU_get_number_of_tests_run ();
  CU_cleanup_registry ();
  for (int i = 0; i < PROCESSES; i++)
    if (process[i] > 0)
      kill_process (i);
  if (failed > 0)
    printf ("the logs are in %s\n", folder);
  return failed == 0 && ran > 0 ? 0 : 1;
}

#endif
