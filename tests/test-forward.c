#include "guard.h"
#include "harness.h"

#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "forward/client.h"
#include "wire/address.h"

/* A backend server that answers each request with the next text of its script.
   It does not answer when the text is "silence", and closes the connection
   when the text is empty or the script has ended.  */
struct fake_server
{
  struct ev_loop *ev;
  int listener;
  ev_io accepting;
  ev_io reading;
  const char *const *script;
  int requests;
  char last[4096]; /* request */
};

struct fixture
{
  struct tk_loop loop;
  struct tk_task task;
  struct fw_client *client;
  struct fake_server server;
  char address[ZP_ADDRESS_MAX];
  struct tk_msg *done;
  struct test_guard guard;
};

static void
on_request (struct ev_loop *ev, ev_io *w, int events)
{
  struct fake_server *s = w->data;
  ssize_t n = recv (w->fd, s->last, sizeof s->last - 1, 0);

  (void) events;
  if (n <= 0)
    {
      ev_io_stop (ev, w);
      close (w->fd);
      return;
    }
  s->last[n] = '\0';
  s->requests++;
  const char *text = *s->script ? *s->script++ : "";
  if (text[0] == '\0')
    {
      ev_io_stop (ev, w);
      close (w->fd);
    }
  else if (strcmp (text, "silence") != 0)
    CU_ASSERT (send (w->fd, text, strlen (text), 0)
               == (ssize_t) strlen (text));
}

static void
on_accept (struct ev_loop *ev, ev_io *w, int events)
{
  struct fake_server *s = w->data;
  int fd = accept (w->fd, NULL, NULL);

  (void) events;
  ev_io_stop (ev, &s->reading);
  ev_io_init (&s->reading, on_request, fd, EV_READ);
  s->reading.data = s;
  ev_io_start (ev, &s->reading);
}

static void
on_done (void *self, struct tk_msg *m)
{
  struct fixture *f = self;

  CU_ASSERT_EQUAL (m->kind, TK_FORWARD_DONE);
  CU_ASSERT_PTR_NULL (f->done);
  f->done = m;
  ev_break (f->loop.ev, EVBREAK_ALL);
}

static void
open_fixture (struct fixture *f, const char *const *script)
{
  struct sockaddr_storage sa;
  socklen_t len;
  int one = 1;

  *f = (struct fixture){ .done = NULL };
  snprintf (f->address, sizeof f->address, "%s", test_address (19281));
  tk_loop_init (&f->loop);
  tk_task_init (&f->task, &f->loop, on_done, f);
  f->client = fw_client_open (&f->loop, &f->task);
  CU_ASSERT_FATAL (
      wi_address_parse (zp_str_from (f->address), &sa, &len, NULL));
  f->server = (struct fake_server){ .ev = f->loop.ev, .script = script };
  f->server.listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (f->server.listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  CU_ASSERT_FATAL (bind (f->server.listener, (struct sockaddr *) &sa, len)
                   == 0);
  if (script)
    CU_ASSERT_FATAL (listen (f->server.listener, 8) == 0);
  ev_io_init (&f->server.accepting, on_accept, f->server.listener, EV_READ);
  f->server.accepting.data = &f->server;
  if (script)
    ev_io_start (f->loop.ev, &f->server.accepting);
  test_guard_start (&f->guard, f->loop.ev, 10.0);
}

static void
close_fixture (struct fixture *f)
{
  if (f->done)
    tk_msg_free (f->done);
  fw_client_close (f->client);
  ev_io_stop (f->loop.ev, &f->server.accepting);
  if (ev_is_active (&f->server.reading))
    {
      ev_io_stop (f->loop.ev, &f->server.reading);
      close (f->server.reading.fd);
    }
  test_guard_stop (&f->guard, f->loop.ev);
  close (f->server.listener);
  tk_task_free (&f->task);
  tk_loop_free (&f->loop);
}

static void
send_request (struct fixture *f, zp_time timeout)
{
  struct tk_msg *m = tk_msg_new (TK_FORWARD);

  if (f->done)
    tk_msg_free (f->done);
  f->done = NULL;
  m->u.forward.id = 7;
  snprintf (m->u.forward.address, sizeof m->u.forward.address, "%s",
            f->address);
  zp_buf_put (&m->u.forward.method, ZP_STR ("POST"));
  zp_buf_put (&m->u.forward.target, ZP_STR ("/x?a=b"));
  zp_buf_put (&m->u.forward.body, ZP_STR ("body"));
  zp_buf_put (&m->u.forward.headers, ZP_STR ("X-Partner: mend\n"));
  zp_buf_put (&m->u.forward.request_id, ZP_STR ("r7"));
  m->u.forward.deadline = zp_clock_mono () + timeout;
  tk_send (fw_client_task (f->client), m);
}

/* Runs one request and returns how it ended.  */
static const struct tk_forward_done *
exchange (struct fixture *f, zp_time timeout)
{
  send_request (f, timeout);
  ev_run (f->loop.ev, 0);
  CU_ASSERT_FATAL (f->done != NULL);
  return &f->done->u.done;
}

#define OK "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"

static void
test_whole_answer (void)
{
  static const char *const script[]
      = { OK "Request-Id: r7\r\nX-Count: 3\r\n\r\nhi", NULL };
  struct fixture f;

  open_fixture (&f, script);
  const struct tk_forward_done *d = exchange (&f, 5 * ZP_SEC);
  CU_ASSERT_EQUAL (d->end, TK_END_ANSWER);
  CU_ASSERT_EQUAL (d->verdict, ZP_RAN);
  CU_ASSERT_EQUAL (d->status, 200);
  CU_ASSERT (zp_str_eq (zp_str_of (&d->body), ZP_STR ("hi")));
  CU_ASSERT (zp_str_eq (zp_str_of (&d->headers), ZP_STR ("X-Count: 3\n")));
  CU_ASSERT (HAS_TEXT (f.server.last, "POST /x?a=b HTTP/1.1\r\n"));
  CU_ASSERT (HAS_TEXT (f.server.last, "X-Partner: mend\r\n"));
  CU_ASSERT (HAS_TEXT (f.server.last, "Request-Id: r7\r\n"));
  CU_ASSERT (HAS_TEXT (f.server.last, "Deadline-Ms: "));
  close_fixture (&f);
}

/* Guards against a false may-have-run: without a connection no byte of the
   request was sent (P4).  */
static void
test_refused_connection_is_not_run (void)
{
  struct fixture f;

  open_fixture (&f, NULL);
  const struct tk_forward_done *d = exchange (&f, 5 * ZP_SEC);
  CU_ASSERT_EQUAL (d->end, TK_END_NO_CONNECT);
  CU_ASSERT_EQUAL (d->verdict, ZP_NOT_RUN);
  close_fixture (&f);
}

/* Guards against running a request twice (P5): libcurl sends it again when the
   server closes a reused connection before any byte of the answer.  */
static void
test_no_resend_after_a_reused_connection_is_lost (void)
{
  static const char *const script[] = { OK "\r\nhi", "", OK "\r\nhi", NULL };
  struct fixture f;

  open_fixture (&f, script);
  CU_ASSERT_EQUAL (exchange (&f, 5 * ZP_SEC)->end, TK_END_ANSWER);
  const struct tk_forward_done *d = exchange (&f, 5 * ZP_SEC);
  CU_ASSERT_EQUAL (d->end, TK_END_LOST);
  CU_ASSERT_EQUAL (d->verdict, ZP_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (f.server.requests, 2);
  close_fixture (&f);
}

/* Guards against a false not-run (P4): only a 503 with that Run-Verdict means
   that the request did not run.  */
static void
test_not_run_verdict_needs_503 (void)
{
  static const char *const script[]
      = { "HTTP/1.1 503 Busy\r\nRun-Verdict: not-run\r\n"
          "Content-Length: 0\r\n\r\n",
          "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nRun-Verdict: not-run\r\n"
          "Content-Length: 0\r\n\r\n",
          NULL };
  struct fixture f;

  open_fixture (&f, script);
  CU_ASSERT_EQUAL (exchange (&f, 5 * ZP_SEC)->verdict, ZP_NOT_RUN);
  CU_ASSERT_EQUAL (exchange (&f, 5 * ZP_SEC)->verdict, ZP_RAN);
  CU_ASSERT_EQUAL (exchange (&f, 5 * ZP_SEC)->verdict, ZP_RAN);
  close_fixture (&f);
}

/* Guards against passing on a part of an answer as a whole answer (P3).  */
static void
test_truncated_answer_is_lost (void)
{
  static const char *const script[]
      = { "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n"
          "Connection: close\r\n\r\npart",
          NULL };
  struct fixture f;

  open_fixture (&f, script);
  send_request (&f, 300 * ZP_MS);
  ev_run (f.loop.ev, 0);
  CU_ASSERT_FATAL (f.done != NULL);
  CU_ASSERT (f.done->u.done.end != TK_END_ANSWER);
  CU_ASSERT_EQUAL (f.done->u.done.verdict, ZP_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (f.done->u.done.body.len, 0);
  close_fixture (&f);
}

/* Guards against passing on the answer to another request (P3).  */
static void
test_answer_to_another_request_is_dropped (void)
{
  static const char *const script[] = { OK "Request-Id: r6\r\n\r\nhi", NULL };
  struct fixture f;

  open_fixture (&f, script);
  const struct tk_forward_done *d = exchange (&f, 5 * ZP_SEC);
  CU_ASSERT_EQUAL (d->end, TK_END_LOST);
  CU_ASSERT_EQUAL (d->verdict, ZP_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (d->body.len, 0);
  close_fixture (&f);
}

/* Guards against waiting after the deadline for a server that does not answer.
 */
static void
test_silent_server_ends_at_the_deadline (void)
{
  static const char *const script[] = { "silence", NULL };
  struct fixture f;

  open_fixture (&f, script);
  const struct tk_forward_done *d = exchange (&f, 100 * ZP_MS);
  CU_ASSERT_EQUAL (d->end, TK_END_TIMEOUT);
  CU_ASSERT_EQUAL (d->verdict, ZP_MAY_HAVE_RUN);
  close_fixture (&f);
}

static void
test_cancel_before_sending_is_not_run (void)
{
  static const char *const script[] = { "silence", NULL };
  struct fixture f;

  open_fixture (&f, script);
  send_request (&f, 5 * ZP_SEC);
  struct tk_msg *m = tk_msg_new (TK_FORWARD_CANCEL);
  m->u.cancel.id = 7;
  tk_send (fw_client_task (f.client), m);
  ev_run (f.loop.ev, 0);
  CU_ASSERT_FATAL (f.done != NULL);
  CU_ASSERT_EQUAL (f.done->u.done.end, TK_END_CANCELLED);
  CU_ASSERT_EQUAL (f.done->u.done.verdict, ZP_NOT_RUN);
  CU_ASSERT_EQUAL (f.server.requests, 0);
  close_fixture (&f);
}

static const struct zp_test tests[] = {
  { "a whole answer", test_whole_answer },
  { "a refused connection is not-run", test_refused_connection_is_not_run },
  { "no resend after a reused connection is lost",
    test_no_resend_after_a_reused_connection_is_lost },
  { "a not-run verdict needs status 503", test_not_run_verdict_needs_503 },
  { "a truncated answer is lost", test_truncated_answer_is_lost },
  { "an answer to another request is dropped",
    test_answer_to_another_request_is_dropped },
  { "a silent server ends at the deadline",
    test_silent_server_ends_at_the_deadline },
  { "cancel before sending is not-run", test_cancel_before_sending_is_not_run }
};

TEST_MAIN ("forward", tests)
