#include "forward-fixture.h"

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
  f.request_id = "r8";
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

/* Guards against a copy of an earlier refusal, on a connection in use again,
   that is taken for the answer to a request that runs (P4): without an id it
   proves nothing, also where answers need no id.  */
static void
test_copy_of_a_refusal (void)
{
#define REFUSAL                                                               \
  "HTTP/1.1 503 Busy\r\nRun-Verdict: not-run\r\nContent-Length: 0\r\n\r\n"
  static const char *const script[] = { REFUSAL, REFUSAL, NULL };
  struct fixture f;

  open_fixture (&f, script);
  CU_ASSERT_EQUAL (exchange (&f, 5 * ZP_SEC)->verdict, ZP_NOT_RUN);
  f.request_id = "r8"; /* the same id would get another connection */
  CU_ASSERT_EQUAL (exchange (&f, 5 * ZP_SEC)->verdict, ZP_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (f.server.connections, 1);
  close_fixture (&f);
#undef REFUSAL
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
  m->u.cancel.id = f.last_id;
  tk_send (fw_client_task (f.client), m);
  ev_run (f.loop.ev, 0);
  CU_ASSERT_FATAL (f.done != NULL);
  CU_ASSERT_EQUAL (f.done->u.done.end, TK_END_CANCELLED);
  CU_ASSERT_EQUAL (f.done->u.done.verdict, ZP_NOT_RUN);
  CU_ASSERT_EQUAL (f.server.requests, 0);
  close_fixture (&f);
}

/* Guards against a late second copy of an answer on a connection in use again:
   it is not the answer to the next request, and the connection is closed,
   since the answer to that request follows where a third one expects its
   own.  */
static void
test_copy_of_an_earlier_answer (void)
{
  static const char *const script[]
      = { OK "Request-Id: r7\r\n\r\nhi", OK "Request-Id: r7\r\n\r\nhi",
          OK "Request-Id: r9\r\n\r\nyo", NULL };
  struct fixture f;

  open_fixture_with (&f, script, &strict);
  CU_ASSERT_EQUAL (exchange (&f, 5 * ZP_SEC)->end, TK_END_ANSWER);
  f.request_id = "r8";
  const struct tk_forward_done *d = exchange (&f, 5 * ZP_SEC);
  CU_ASSERT_EQUAL (d->end, TK_END_LOST);
  CU_ASSERT_EQUAL (d->verdict, ZP_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (f.server.connections, 1);
  f.request_id = "r9";
  d = exchange (&f, 5 * ZP_SEC);
  CU_ASSERT_EQUAL (d->end, TK_END_ANSWER);
  CU_ASSERT (zp_str_eq (zp_str_of (&d->body), ZP_STR ("yo")));
  CU_ASSERT_EQUAL (f.server.connections, 2);
  close_fixture (&f);
}

/* Guards against a copy of an earlier refusal without a request id that is
   taken for the answer to the next request, which then runs although its
   caller was told that it has not (P4).  On a connection without an earlier
   request such an answer is the server's.  */
static void
test_refusal_without_id (void)
{
  static const char *const script[]
      = { "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
          NULL };
  struct fixture f;

  open_fixture_with (&f, script, &strict);
  CU_ASSERT_EQUAL (exchange (&f, 5 * ZP_SEC)->verdict, ZP_NOT_RUN);
  f.request_id = "r8";
  const struct tk_forward_done *d = exchange (&f, 5 * ZP_SEC);
  CU_ASSERT_EQUAL (d->end, TK_END_LOST);
  CU_ASSERT_EQUAL (d->verdict, ZP_MAY_HAVE_RUN);
  close_fixture (&f);
}

/* Guards against bytes after a whole answer, in the same packet, that are
   taken for the answer to the next request.  */
static void
test_copy_glued_to_the_answer (void)
{
  static const char *const script[]
      = { OK "Request-Id: r7\r\n\r\nhi" OK "Request-Id: r7\r\n\r\nhi",
          OK "Request-Id: r8\r\n\r\nyo", NULL };
  struct fixture f;

  open_fixture_with (&f, script, &strict);
  CU_ASSERT_EQUAL (exchange (&f, 5 * ZP_SEC)->end, TK_END_ANSWER);
  f.request_id = "r8";
  const struct tk_forward_done *d = exchange (&f, 5 * ZP_SEC);
  CU_ASSERT_EQUAL (d->end, TK_END_ANSWER);
  CU_ASSERT (zp_str_eq (zp_str_of (&d->body), ZP_STR ("yo")));
  CU_ASSERT_EQUAL (f.server.connections, 2);
  close_fixture (&f);
}

/* Guards against an interim answer to another request whose headers are
   forgotten, and against an interim answer without an id that ends the
   request.  */
static void
test_interim_answers (void)
{
  static const char *const script[]
      = { OK "Request-Id: r7\r\n\r\nhi",
          "HTTP/1.1 103 Early\r\n\r\n" OK "Request-Id: r8\r\n\r\nhi",
          "HTTP/1.1 103 Early\r\nRequest-Id: r6\r\n\r\n" OK
          "Request-Id: r9\r\n\r\nhi",
          NULL };
  struct fixture f;

  open_fixture_with (&f, script, &strict);
  CU_ASSERT_EQUAL (exchange (&f, 5 * ZP_SEC)->end, TK_END_ANSWER);
  f.request_id = "r8";
  CU_ASSERT_EQUAL (exchange (&f, 5 * ZP_SEC)->end, TK_END_ANSWER);
  f.request_id = "r9";
  CU_ASSERT_EQUAL (exchange (&f, 5 * ZP_SEC)->end, TK_END_LOST);
  close_fixture (&f);
}

/* Guards against losing what a server says of itself (see test-answer), against
   a pause that an answer other than 503 asks for, and against passing either on
   to the caller as if it were ours.  */
static void
test_leaving_and_retry_after (void)
{
  static const char *const script[]
      = { OK "Request-Id: r7\r\nLeaving: 1\r\nRetry-After: 3\r\n\r\nhi",
          "HTTP/1.1 503 Busy\r\nRequest-Id: r7\r\nRetry-After: 1.25\r\n"
          "Content-Length: 0\r\n\r\n",
          NULL };
  struct fixture f;

  open_fixture_with (&f, script, &strict);
  const struct tk_forward_done *d = exchange (&f, 5 * ZP_SEC);
  CU_ASSERT_EQUAL (d->end, TK_END_ANSWER);
  CU_ASSERT (d->leaving);
  CU_ASSERT_EQUAL (d->retry_after, 0);
  CU_ASSERT_EQUAL (d->headers.len, 0);
  d = exchange (&f, 5 * ZP_SEC);
  CU_ASSERT (!d->leaving);
  CU_ASSERT_EQUAL (d->retry_after, 1250 * ZP_MS);
  CU_ASSERT_EQUAL (d->headers.len, 0);
  close_fixture (&f);
}

/* Guards against a head without end that is read until the deadline: the
   connection is closed after a bounded number of bytes.  */
static void
test_endless_head (void)
{
  static const char *const heads[][2]
      = { { "HTTP/1.1 200 OK\r\n", "X-Pad: 0123456789abcdef\r\n" },
          { "HTTP/1.1 200 OK\r\nX-Pad: ", "0123456789abcdef" },
          { "", "HTTP/1.1 103 Early\r\nX-Pad: 01234\r\n\r\n" },
          { "x", "0123456789abcdef" } };

  for (size_t i = 0; i < sizeof heads / sizeof heads[0]; i++)
    {
      static const char *const none[] = { NULL };
      struct fixture f;
      open_fixture_with (&f, none, &strict);
      f.server.flood_head = heads[i][0][0] ? heads[i][0] : heads[i][1];
      f.server.flood = zp_str_from (heads[i][1]);
      const struct tk_forward_done *d = exchange (&f, 8 * ZP_SEC);
      CU_ASSERT_EQUAL (d->end, TK_END_LOST);
      CU_ASSERT_EQUAL (d->verdict, ZP_MAY_HAVE_RUN);
      CU_ASSERT (d->elapsed < 4 * ZP_SEC);
      close_fixture (&f);
    }
}

/* Guards against a daemon that is killed for its memory while many servers
   send bodies without end.  A buffer can have twice the size of what it
   holds, and half as much again while it grows.  */
static void
test_endless_bodies (void)
{
  enum
  {
    REQUESTS = 40
  };
  static const char *const none[] = { NULL };
  static char chunk[64 * 1024];
  struct fixture f;

  open_fixture_with (&f, none, &strict);
  f.server.flood_head = "HTTP/1.1 200 OK\r\nRequest-Id: r7\r\n"
                        "Connection: close\r\n\r\n";
  f.server.flood = (struct zp_str){ .ptr = chunk, .len = sizeof chunk };
  size_t before = heap_bytes ();
  for (int i = 0; i < REQUESTS; i++)
    send_request (&f, 8 * ZP_SEC);
  while (f.dones < REQUESTS && !f.guard.fired)
    {
      ev_run (f.loop.ev, 0);
      CU_ASSERT_FATAL (f.done != NULL);
      CU_ASSERT_EQUAL (f.done->u.done.end, TK_END_LOST);
      CU_ASSERT_EQUAL (f.done->u.done.verdict, ZP_MAY_HAVE_RUN);
    }
  CU_ASSERT (f.server.memory_most < before + 3 * ZP_ANSWER_BODIES_MAX);
  close_fixture (&f);
}

/* Guards against a request that is sent after its deadline by a process that
   was paused: the server would get more time than is left.  */
static void
test_pause_before_sending (void)
{
  static const char *const script[] = { "silence", NULL };
  struct fixture f;

  open_fixture (&f, script);
  send_request (&f, 100 * ZP_MS);
  ev_run (f.loop.ev, EVRUN_NOWAIT);
  usleep (200000);
  ev_run (f.loop.ev, 0);
  CU_ASSERT_FATAL (f.done != NULL);
  CU_ASSERT_EQUAL (f.done->u.done.end, TK_END_TIMEOUT);
  CU_ASSERT_EQUAL (f.done->u.done.verdict, ZP_NOT_RUN);
  CU_ASSERT_EQUAL (f.server.requests, 0);
  close_fixture (&f);
}

/* Guards against a server that does not learn whose request it is, and against
   a header for requests without a workspace.  */
static void
test_workspace_header (void)
{
  static const char *const answers[]
      = { OK "Request-Id: r7\r\n\r\nhi", OK "Request-Id: r7\r\n\r\nhi", NULL };
  struct fixture f;

  open_fixture (&f, answers);
  CU_ASSERT_EQUAL (exchange (&f, 5 * ZP_SEC)->end, TK_END_ANSWER);
  CU_ASSERT (!HAS_TEXT (f.server.last, "Workspace"));
  struct tk_msg *m = tk_msg_new (TK_FORWARD);
  m->u.forward.id = 99;
  snprintf (m->u.forward.address, sizeof m->u.forward.address, "%s",
            f.address);
  zp_buf_put (&m->u.forward.method, ZP_STR ("GET"));
  zp_buf_put (&m->u.forward.target, ZP_STR ("/x"));
  zp_buf_put (&m->u.forward.request_id, ZP_STR ("r7"));
  zp_buf_put (&m->u.forward.workspace, ZP_STR ("acme & sons"));
  m->u.forward.deadline = zp_clock_mono () + 5 * ZP_SEC;
  tk_send (fw_client_task (f.client), m);
  ev_run (f.loop.ev, 0);
  CU_ASSERT_EQUAL (f.done->u.done.end, TK_END_ANSWER);
  CU_ASSERT (HAS_TEXT (f.server.last, "\r\nWorkspace: acme & sons\r\n"));
  CU_ASSERT (!HAS_TEXT (f.server.last, "Workspace-Key"));
  close_fixture (&f);
}

static const struct zp_test tests[] = {
  { "the workspace of a request", test_workspace_header },
  { "a pause before sending", test_pause_before_sending },
  { "a copy of an earlier answer", test_copy_of_an_earlier_answer },
  { "a refusal without id", test_refusal_without_id },
  { "a copy glued to the answer", test_copy_glued_to_the_answer },
  { "interim answers", test_interim_answers },
  { "what a server says of itself", test_leaving_and_retry_after },
  { "an endless head", test_endless_head },
  { "endless bodies", test_endless_bodies },
  { "a whole answer", test_whole_answer },
  { "a refused connection is not-run", test_refused_connection_is_not_run },
  { "no resend after a reused connection is lost",
    test_no_resend_after_a_reused_connection_is_lost },
  { "a not-run verdict needs status 503", test_not_run_verdict_needs_503 },
  { "a truncated answer is lost", test_truncated_answer_is_lost },
  { "a copy of a refusal", test_copy_of_a_refusal },
  { "an answer to another request is dropped",
    test_answer_to_another_request_is_dropped },
  { "a silent server ends at the deadline",
    test_silent_server_ends_at_the_deadline },
  { "cancel before sending is not-run", test_cancel_before_sending_is_not_run }
};

TEST_MAIN ("forward", tests)
