#include "guard.h"
#include "harness.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "front/server.h"
#include "wire/address.h"

struct fixture
{
  struct tk_loop loop;
  struct tk_task task;
  struct fr_server *server;
  char address[ZP_ADDRESS_MAX];
  struct tk_msg *request; /* the last one */
  int requests;
  int left;        /* number of TK_CALLER_LEFT */
  bool hold;       /* on_message does not answer */
  unsigned status; /* of the answers */
  int fd;          /* the caller's socket */
  char answer[65536];
  size_t answer_len;
  ev_io reading;
  struct test_guard guard;
};

static void
answer (struct fixture *f, uint64_t id)
{
  struct tk_msg *m = tk_msg_new (TK_HTTP_ANSWER);

  m->u.answer.id = id;
  m->u.answer.status = f->status;
  m->u.answer.has_verdict = true;
  m->u.answer.verdict = ZP_RAN;
  zp_buf_put (&m->u.answer.headers, ZP_STR ("X-Count: 3\n"));
  zp_buf_printf (&m->u.answer.body, "answer %d", f->requests);
  tk_send (fr_server_task (f->server), m);
}

static void
on_message (void *self, struct tk_msg *m)
{
  struct fixture *f = self;

  if (m->kind == TK_CALLER_LEFT)
    {
      f->left++;
      tk_msg_free (m);
      ev_break (f->loop.ev, EVBREAK_ALL);
      return;
    }
  CU_ASSERT_EQUAL (m->kind, TK_HTTP_REQUEST);
  if (f->request)
    tk_msg_free (f->request);
  f->request = m;
  f->requests++;
  if (f->hold)
    ev_break (f->loop.ev, EVBREAK_ALL);
  else
    answer (f, m->u.request.id);
}

static void
on_answer (struct ev_loop *ev, ev_io *w, int events)
{
  struct fixture *f = w->data;
  ssize_t n = recv (f->fd, f->answer + f->answer_len,
                    sizeof f->answer - 1 - f->answer_len, 0);

  (void) events;
  f->answer_len += n > 0 ? (size_t) n : 0;
  f->answer[f->answer_len] = '\0';
  ev_break (ev, EVBREAK_ALL);
}

static void
open_fixture (struct fixture *f)
{
  struct sockaddr_storage sa;
  socklen_t len;

  *f = (struct fixture){ .status = 200 };
  snprintf (f->address, sizeof f->address, "%s", test_address (19381));
  tk_loop_init (&f->loop);
  tk_task_init (&f->task, &f->loop, on_message, f);
  f->server
      = fr_server_open (&f->loop, zp_str_from (f->address), &f->task, NULL);
  CU_ASSERT_FATAL (f->server != NULL);
  CU_ASSERT_FATAL (
      wi_address_parse (zp_str_from (f->address), &sa, &len, NULL));
  f->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  CU_ASSERT_FATAL (connect (f->fd, (struct sockaddr *) &sa, len) == 0);
  ev_io_init (&f->reading, on_answer, f->fd, EV_READ);
  f->reading.data = f;
  ev_io_start (f->loop.ev, &f->reading);
  test_guard_start (&f->guard, f->loop.ev, 10.0);
}

static void
close_fixture (struct fixture *f)
{
  ev_io_stop (f->loop.ev, &f->reading);
  test_guard_stop (&f->guard, f->loop.ev);
  close (f->fd);
  fr_server_close (f->server);
  if (f->request)
    tk_msg_free (f->request);
  tk_task_free (&f->task);
  tk_loop_free (&f->loop);
}

static void
send_text (struct fixture *f, const char *text)
{
  f->answer_len = 0;
  f->answer[0] = '\0';
  CU_ASSERT (send (f->fd, text, strlen (text), 0) == (ssize_t) strlen (text));
}

static void
test_request_and_answer (void)
{
  struct fixture f;

  open_fixture (&f);
  send_text (&f,
             "POST /booking/a%20b?x=1 HTTP/1.1\r\nHost: h\r\n"
             "Deadline-Ms: 500\r\nIdempotency-Key: k1\r\nX-Partner: mend\r\n"
             "Request-Id: 1-7-1\r\n"
             "Content-Length: 4\r\n\r\nbody");
  ev_run (f.loop.ev, 0);
  CU_ASSERT_FATAL (f.request != NULL);
  const struct tk_http_request *r = &f.request->u.request;
  CU_ASSERT (zp_str_eq (zp_str_of (&r->path), ZP_STR ("/booking/a%20b")));
  CU_ASSERT (zp_str_eq (zp_str_of (&r->query), ZP_STR ("x=1")));
  CU_ASSERT (zp_str_eq (zp_str_of (&r->key), ZP_STR ("k1")));
  CU_ASSERT (zp_str_eq (zp_str_of (&r->body), ZP_STR ("body")));
  CU_ASSERT (
      zp_str_eq (zp_str_of (&r->headers), ZP_STR ("X-Partner: mend\n")));
  CU_ASSERT (r->deadline > 0);
  CU_ASSERT_EQUAL (r->caller_ipv4 >> 24, 127);
  CU_ASSERT (HAS_TEXT (f.answer, "200 OK"));
  CU_ASSERT (HAS_TEXT (f.answer, "Run-Verdict: ran"));
  CU_ASSERT (HAS_TEXT (f.answer, "X-Count: 3"));
  CU_ASSERT (HAS_TEXT (f.answer, "Request-Id: 1-7-1"));
  CU_ASSERT (HAS_TEXT (f.answer, "\r\n\r\nanswer 1"));
  close_fixture (&f);
}

/* Guards against a header that is silently ignored because its value is
   invalid.  */
static void
test_invalid_header_values_are_refused (void)
{
  struct fixture f;

  open_fixture (&f);
  send_text (&f, "GET /x HTTP/1.1\r\nHost: h\r\nDeadline-Ms: soon\r\n\r\n");
  ev_run (f.loop.ev, 0);
  CU_ASSERT (HAS_TEXT (f.answer, " 400 "));
  CU_ASSERT (HAS_TEXT (f.answer, "Run-Verdict: not-run"));
  CU_ASSERT (HAS_TEXT (f.answer, "bad-header"));
  /* Guards against a false not-run (P4): a request with a key may have run
     through another entry VM.  */
  send_text (&f, "GET /x HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k\r\n"
                 "Deadline-Ms: soon\r\n\r\n");
  ev_run (f.loop.ev, 0);
  CU_ASSERT (HAS_TEXT (f.answer, "Run-Verdict: may-have-run"));
  CU_ASSERT_EQUAL (f.requests, 0);
  close_fixture (&f);
}

/* Guards against memory use that grows without limit with the
   Content-Length of a request.  */
static void
test_body_limit (void)
{
  struct fixture f;
  struct zp_buf text = { .ptr = NULL };

  open_fixture (&f);
  zp_buf_printf (&text,
                 "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d"
                 "\r\n\r\n",
                 ZP_BODY_MAX + 1);
  for (int i = 0; i < ZP_BODY_MAX + 1; i++)
    zp_buf_put (&text, ZP_STR ("x"));
  size_t sent = 0;
  while (sent < text.len)
    {
      ssize_t n = send (f.fd, text.ptr + sent, text.len - sent, MSG_DONTWAIT);
      sent += n > 0 ? (size_t) n : 0;
      ev_run (f.loop.ev, EVRUN_NOWAIT);
    }
  if (f.answer_len == 0)
    ev_run (f.loop.ev, 0);
  CU_ASSERT (HAS_TEXT (f.answer, " 413 "));
  CU_ASSERT (HAS_TEXT (f.answer, "Run-Verdict: not-run"));
  CU_ASSERT_EQUAL (f.requests, 0);
  zp_buf_free (&text);
  close_fixture (&f);
}

/* Guards against work for a caller that has left, and against an answer that
   reaches another request (P3) because it arrives after its caller has left.
 */
static void
test_caller_leaves (void)
{
  struct fixture f;

  open_fixture (&f);
  f.hold = true;
  send_text (&f, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  ev_run (f.loop.ev, 0);
  CU_ASSERT_EQUAL (f.requests, 1);
  shutdown (f.fd, SHUT_RDWR);
  while (f.left == 0)
    ev_run (f.loop.ev, 0);
  CU_ASSERT_EQUAL (f.left, 1);
  answer (&f, f.request->u.request.id);
  for (int i = 0; i < 10; i++)
    ev_run (f.loop.ev, EVRUN_NOWAIT);
  CU_ASSERT_EQUAL (fr_server_pending (f.server), 0);
  close_fixture (&f);
}

static void
test_malformed_request (void)
{
  struct fixture f;

  open_fixture (&f);
  send_text (&f, "NONSENSE\r\n\r\n");
  ev_run (f.loop.ev, 0);
  CU_ASSERT_EQUAL (f.requests, 0);
  close_fixture (&f);
}

/* Reads the answer on FD while the loop runs.  Returns its length; 0 when the
   connection has ended without one.  */
static size_t
read_answer (struct fixture *f, int fd, char *out, size_t size)
{
  zp_time end = zp_clock_mono () + 5 * ZP_SEC;
  ssize_t n = -1;

  while (n < 0 && zp_clock_mono () < end)
    {
      ev_run (f->loop.ev, EVRUN_NOWAIT);
      n = recv (fd, out, size - 1, MSG_DONTWAIT);
      if (n < 0 && errno != EAGAIN)
        n = 0;
    }
  out[n > 0 ? n : 0] = '\0';
  return n > 0 ? (size_t) n : 0;
}

/* Guards against requests that are cut off by a planned stop: callers that are
   connected, but not accepted yet, get their answers.  */
static void
test_stop_with_callers_in_the_queue (void)
{
  enum
  {
    CALLERS = 60
  };
  static const char request[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
  struct sockaddr_storage sa;
  socklen_t len;
  int fd[CALLERS];
  char text[512];
  struct fixture f;

  open_fixture (&f);
  wi_address_parse (zp_str_from (f.address), &sa, &len, NULL);
  for (int i = 0; i < CALLERS; i++)
    {
      fd[i] = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      CU_ASSERT_FATAL (connect (fd[i], (struct sockaddr *) &sa, len) == 0);
      CU_ASSERT (send (fd[i], request, sizeof request - 1, 0) > 0);
    }
  fr_server_quiesce (f.server);
  for (int i = 0; i < CALLERS; i++)
    {
      CU_ASSERT (read_answer (&f, fd[i], text, sizeof text) > 0);
      CU_ASSERT (HAS_TEXT (text, "HTTP/1.1 200"));
      close (fd[i]);
    }
  close_fixture (&f);
}

/* Guards against a target whose bytes change on the way to the backend server:
   an empty query that is lost, and bytes above 127.  */
static void
test_bytes_of_the_target (void)
{
  static const struct
  {
    const char *target, *path, *query;
    bool has_query;
  } row[] = { { "/a/x", "/a/x", "", false },
              { "/a/x?", "/a/x", "", true },
              { "/a/x?y=1?z", "/a/x", "y=1?z", true },
              { "/a/../b//c/./", "/a/../b//c/./", "", false },
              { "/a/%2f%41%zz+", "/a/%2f%41%zz+", "", false },
              { "/a/\xc3\xa9\xff?\x80", "/a/\xc3\xa9\xff", "\x80", true } };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < sizeof row / sizeof row[0]; i++)
    {
      struct zp_buf text = { .ptr = NULL };
      zp_buf_printf (&text, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n",
                     row[i].target);
      send_text (&f, text.ptr);
      while (f.answer_len == 0 && !f.guard.fired)
        ev_run (f.loop.ev, EVRUN_ONCE);
      CU_ASSERT_EQUAL_FATAL (f.requests, (int) i + 1);
      const struct tk_http_request *r = &f.request->u.request;
      CU_ASSERT (zp_str_eq (zp_str_of (&r->path), zp_str_from (row[i].path)));
      CU_ASSERT (
          zp_str_eq (zp_str_of (&r->query), zp_str_from (row[i].query)));
      CU_ASSERT_EQUAL (r->has_query, row[i].has_query);
      zp_buf_free (&text);
    }
  close_fixture (&f);
}

/* Guards against an answer whose status was never set, and that reaches the
   caller as status 000 or ends its connection.  */
static void
test_unset_status (void)
{
  static const unsigned statuses[] = { 0, 20, 99, 100, 101, 600, 999, 2000 };

  for (size_t i = 0; i < sizeof statuses / sizeof statuses[0]; i++)
    {
      struct fixture f;
      open_fixture (&f);
      f.status = statuses[i];
      send_text (&f, "GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n");
      while (!strstr (f.answer, "\r\n\r\n"))
        ev_run (f.loop.ev, 0);
      CU_ASSERT (strncmp (f.answer, "HTTP/1.1 502 ", 13) == 0);
      CU_ASSERT (strstr (f.answer, "X-Count") == NULL);
      close_fixture (&f);
    }
}

/* Guards against a caller that chooses its workspace itself, and against a key
   that is forwarded to the server, under any spelling of the headers.  */
static void
test_headers_of_workspaces (void)
{
  struct fixture f;

  open_fixture (&f);
  send_text (&f, "GET /x HTTP/1.1\r\nHost: h\r\nWorkspace: forged\r\n"
                 "X-A: 1\r\nworkspace-KEY:  k-1 \r\nWORKSPACE: again\r\n"
                 "\r\n");
  ev_run (f.loop.ev, 0);
  CU_ASSERT_EQUAL_FATAL (f.requests, 1);
  const struct tk_http_request *r = &f.request->u.request;
  CU_ASSERT (zp_str_eq (zp_str_of (&r->credential), ZP_STR ("k-1")));
  CU_ASSERT (zp_str_eq (zp_str_of (&r->headers), ZP_STR ("X-A: 1\n")));
  CU_ASSERT (!HAS_TEXT (f.answer, "k-1"));
  send_text (&f, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  ev_run (f.loop.ev, 0);
  CU_ASSERT_EQUAL_FATAL (f.requests, 2);
  CU_ASSERT_EQUAL (f.request->u.request.credential.len, 0);
  CU_ASSERT (!fr_header_is_forwarded (&fr_header_names_default,
                                      ZP_STR ("workspace-KEY")));
  CU_ASSERT (!fr_header_is_forwarded (&fr_header_names_default,
                                      ZP_STR ("WORKSPACE")));
  close_fixture (&f);
}

/* Guards against a server that takes a header of the caller for the workspace:
   gateway interfaces such as CGI read other characters as "-".  */
static void
test_spellings_of_workspaces (void)
{
  const struct fr_header_names names
      = { .credential = "Workspace-Key", .workspace = "A-Workspace" };
  static const struct
  {
    struct zp_str name;
    bool forwarded;
  } cases[] = {
    { ZP_STR ("A_Workspace"), false },   { ZP_STR ("a.WORKSPACE"), false },
    { ZP_STR ("workspace_key"), false }, { ZP_STR ("A-Workspaces"), true },
    { ZP_STR ("A--Workspace"), true },   { ZP_STR ("AxWorkspace"), true }
  };
  struct fixture f;

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    CU_ASSERT_EQUAL (fr_header_is_forwarded (&names, cases[i].name),
                     cases[i].forwarded);
  open_fixture (&f);
  send_text (&f, "GET /x HTTP/1.1\r\nHost: h\r\nWorkspace_Key: k-1\r\n"
                 "X-A: 1\r\n\r\n");
  ev_run (f.loop.ev, 0);
  CU_ASSERT_EQUAL_FATAL (f.requests, 1);
  const struct tk_http_request *r = &f.request->u.request;
  CU_ASSERT_EQUAL (r->credential.len, 0);
  CU_ASSERT (zp_str_eq (zp_str_of (&r->headers), ZP_STR ("X-A: 1\n")));
  close_fixture (&f);
}

/* Guards against headers of workspaces that pass because their line is not
   quite one: each is refused, or read as the header that it looks like.  */
static void
test_unusual_lines_of_workspaces (void)
{
  static const char *const line[]
      = { "Workspace : forged",   "Workspace\t: forged",
          " Workspace: forged",   "X-A: 1\r\n Workspace: forged",
          "X-A: 1\rWorkspace: f", "X-A: 1\nWorkspace: forged",
          "Workspace-Key : k-1" };

  for (size_t i = 0; i < sizeof line / sizeof line[0]; i++)
    {
      struct fixture f;
      struct zp_buf text = { .ptr = NULL };
      open_fixture (&f);
      zp_buf_printf (&text, "GET /x HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n",
                     line[i]);
      send_text (&f, text.ptr);
      while (f.answer_len == 0 && !f.guard.fired)
        ev_run (f.loop.ev, EVRUN_ONCE);
      if (f.request)
        {
          struct zp_str rest = zp_str_of (&f.request->u.request.headers);
          struct zp_str name, value;
          while (fr_header_next (&rest, &name, &value))
            CU_ASSERT (zp_str_eq (name, ZP_STR ("X-A")));
        }
      zp_buf_free (&text);
      close_fixture (&f);
    }
}

/* Guards against a request whose workspace depends on which of two keys is
   read.  */
static void
test_two_keys (void)
{
  static const char *const second[]
      = { "Workspace-Key: k-1", "workspace-key: k-2", "Workspace-Key:" };

  for (size_t i = 0; i < sizeof second / sizeof second[0]; i++)
    {
      struct fixture f;
      struct zp_buf text = { .ptr = NULL };
      open_fixture (&f);
      zp_buf_printf (&text,
                     "GET /x HTTP/1.1\r\nHost: h\r\nWorkspace-Key: k-1\r\n"
                     "X-A: 1\r\n%s\r\n\r\n",
                     second[i]);
      send_text (&f, text.ptr);
      ev_run (f.loop.ev, 0);
      CU_ASSERT (HAS_TEXT (f.answer, " 400 "));
      CU_ASSERT (!HAS_TEXT (f.answer, "k-1"));
      CU_ASSERT_EQUAL (f.requests, 0);
      zp_buf_free (&text);
      close_fixture (&f);
    }
}

static const struct zp_test tests[]
    = { { "request and answer", test_request_and_answer },
        { "invalid header values are refused",
          test_invalid_header_values_are_refused },
        { "body limit", test_body_limit },
        { "the caller leaves", test_caller_leaves },
        { "a status that was not set", test_unset_status },
        { "a malformed request", test_malformed_request },
        { "a stop with callers in the queue",
          test_stop_with_callers_in_the_queue },
        { "bytes of the target", test_bytes_of_the_target },
        { "headers of workspaces", test_headers_of_workspaces },
        { "spellings of headers of workspaces", test_spellings_of_workspaces },
        { "unusual lines of workspaces", test_unusual_lines_of_workspaces },
        { "two keys", test_two_keys } };

TEST_MAIN ("front", tests)
