#include "guard.h"
#include "harness.h"

#include <fcntl.h>
#include <malloc.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "forward/client.h"
#include "wire/address.h"

#define FLOODS_MAX 48

/* A backend server that answers each request with the next text of its script.
   It does not answer when the text is "silence", and closes the connection
   when the text is empty or the script has ended.  With LIMIT set, it sends
   only so many bytes of a text and closes the connection, with RESET in such a
   way that the client gets a reset.  With FLOOD set, it answers
   each request with FLOOD_HEAD and then FLOOD again and again, until the other
   side closes the connection.  */
struct fake_server
{
  struct ev_loop *ev;
  int listener;
  ev_io accepting;
  ev_io reading;
  const char *const *script;
  size_t limit; /* bytes; 0: none */
  bool reset;
  const char *flood_head;
  struct zp_str flood;
  ev_io flooding[FLOODS_MAX];
  size_t floods;      /* connections that were flooded */
  size_t flooded;     /* bytes that were sent after the head */
  size_t memory_most; /* largest heap while floods were sent */
  int connections;    /* accepted */
  int requests;
  char last[4096]; /* request */
};

/* Bytes that the program has allocated.  */
static size_t
heap_bytes (void)
{
  struct mallinfo2 m = mallinfo2 ();

  return m.uordblks + m.hblkhd;
}

static void
on_flood (struct ev_loop *ev, ev_io *w, int events)
{
  struct fake_server *s = w->data;
  ssize_t n = send (w->fd, s->flood.ptr, s->flood.len, MSG_NOSIGNAL);
  size_t heap = heap_bytes ();

  (void) events;
  s->memory_most = heap > s->memory_most ? heap : s->memory_most;
  if (n > 0)
    {
      s->flooded += (size_t) n;
      return;
    }
  ev_io_stop (ev, w);
  close (w->fd);
}

/* Answers the request on FD with a flood.  */
static void
start_flood (struct fake_server *s, int fd)
{
  ev_io *w = &s->flooding[s->floods++];

  CU_ASSERT_FATAL (s->floods <= FLOODS_MAX);
  CU_ASSERT (send (fd, s->flood_head, strlen (s->flood_head), 0) > 0);
  fcntl (fd, F_SETFL, O_NONBLOCK);
  ev_io_init (w, on_flood, fd, EV_WRITE);
  w->data = s;
  ev_io_start (s->ev, w);
}

struct fixture
{
  struct tk_loop loop;
  struct tk_task task;
  struct fw_client *client;
  struct fake_server server;
  char address[ZP_ADDRESS_MAX];
  struct tk_msg *done; /* the last one */
  int dones;
  const char *request_id;
  uint64_t last_id;
  struct test_guard guard;
};

/* Sends the first bytes of TEXT on FD and closes it.  */
static void
send_part (const struct fake_server *s, int fd, const char *text)
{
  const struct linger hard = { .l_onoff = 1 };
  size_t n = strlen (text);

  n = n < s->limit ? n : s->limit;
  CU_ASSERT (send (fd, text, n, 0) == (ssize_t) n);
  if (s->reset)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  close (fd);
}

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
  if (s->flood.len > 0)
    {
      ev_io_stop (ev, w);
      start_flood (s, w->fd);
      free (w);
      return;
    }
  const char *text = *s->script ? *s->script++ : "";
  if (text[0] == '\0')
    {
      ev_io_stop (ev, w);
      close (w->fd);
    }
  else if (s->limit > 0)
    {
      ev_io_stop (ev, w);
      send_part (s, w->fd, text);
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
  s->connections++;
  if (s->flood.len > 0)
    {
      ev_io *x = zp_alloc (sizeof *x);
      ev_io_init (x, on_request, fd, EV_READ);
      x->data = s;
      ev_io_start (ev, x);
      return;
    }
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
  if (f->done)
    tk_msg_free (f->done);
  f->done = m;
  f->dones++;
  ev_break (f->loop.ev, EVBREAK_ALL);
}

static void
open_fixture_with (struct fixture *f, const char *const *script,
                   const struct fr_header_names *names)
{
  struct sockaddr_storage sa;
  socklen_t len;
  int one = 1;

  *f = (struct fixture){ .request_id = "r7" };
  snprintf (f->address, sizeof f->address, "%s", test_address (19281));
  tk_loop_init (&f->loop);
  tk_task_init (&f->task, &f->loop, on_done, f);
  f->client = fw_client_open_with (&f->loop, &f->task, names);
  CU_ASSERT_FATAL (
      wi_address_parse (zp_str_from (f->address), &sa, &len, NULL));
  f->server = (struct fake_server){ .ev = f->loop.ev, .script = script };
  f->server.listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (f->server.listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  CU_ASSERT_FATAL (bind (f->server.listener, (struct sockaddr *) &sa, len)
                   == 0);
  if (script)
    CU_ASSERT_FATAL (listen (f->server.listener, FLOODS_MAX) == 0);
  ev_io_init (&f->server.accepting, on_accept, f->server.listener, EV_READ);
  f->server.accepting.data = &f->server;
  if (script)
    ev_io_start (f->loop.ev, &f->server.accepting);
  test_guard_start (&f->guard, f->loop.ev, 10.0);
}

static void
open_fixture (struct fixture *f, const char *const *script)
{
  open_fixture_with (f, script, &fr_header_names_default);
}

static void
close_fixture (struct fixture *f)
{
  if (f->done)
    tk_msg_free (f->done);
  fw_client_close (f->client);
  ev_io_stop (f->loop.ev, &f->server.accepting);
  for (size_t i = 0; i < f->server.floods; i++)
    if (ev_is_active (&f->server.flooding[i]))
      {
        ev_io_stop (f->loop.ev, &f->server.flooding[i]);
        close (f->server.flooding[i].fd);
      }
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
  m->u.forward.id = f->last_id = 7 + f->last_id;
  snprintf (m->u.forward.address, sizeof m->u.forward.address, "%s",
            f->address);
  zp_buf_put (&m->u.forward.method, ZP_STR ("POST"));
  zp_buf_put (&m->u.forward.target, ZP_STR ("/x?a=b"));
  zp_buf_put (&m->u.forward.body, ZP_STR ("body"));
  zp_buf_put (&m->u.forward.headers, ZP_STR ("X-Partner: mend\n"));
  zp_buf_put (&m->u.forward.request_id, zp_str_from (f->request_id));
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

/* Header names of an interface whose answers all repeat the request id.  */
static const struct fr_header_names strict = {
  .deadline_ms = "Deadline-Ms",
  .request_id = "Request-Id",
  .stamp = "Stamp",
  .not_run = "Not-Run",
  .leaving = "Leaving",
  .answers_have_id = true,
};

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

/* The end of a request to a server that sends the first LIMIT bytes of TEXT and
   closes the connection.  */
static struct tk_forward_done
exchange_part (const char *text, size_t limit, bool reset,
               const struct fr_header_names *names)
{
  const char *const script[] = { text, NULL };
  struct fixture f;

  open_fixture_with (&f, script, names);
  f.server.limit = limit;
  f.server.reset = reset;
  struct tk_forward_done d = *exchange (&f, 5 * ZP_SEC);
  close_fixture (&f);
  return d;
}

static void
check_lost (const struct tk_forward_done *d)
{
  CU_ASSERT_EQUAL (d->end, TK_END_LOST);
  CU_ASSERT_EQUAL (d->verdict, ZP_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (d->body.len, 0);
  CU_ASSERT_EQUAL (d->status, 0);
}

/* Guards against an answer that ends early, at any of its bytes, and is passed
   on as a whole one or as a refusal (P3, P4).  */
static void
test_answers_cut_at_every_byte (void)
{
  static const char *const answers[]
      = { "HTTP/1.1 200 OK\r\nRequest-Id: r7\r\nStamp: s\r\n"
          "Content-Length: 12\r\n\r\nhello, world",
          "HTTP/1.1 200 OK\r\nRequest-Id: r7\r\nStamp: s\r\n"
          "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
          "7\r\n, world\r\n0\r\n\r\n",
          "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: "
          "r7\r\nContent-Length: 2\r\nStamp: s\r\n\r\nhi",
          "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRun-Verdict: not-run\r\n"
          "Request-Id: r7\r\nContent-Length: 0\r\n\r\n" };
  static const struct fr_header_names *const names[]
      = { &strict, &fr_header_names_default };

  for (size_t i = 0; i < sizeof answers / sizeof answers[0]; i++)
    for (size_t k = 0; k < 2; k++)
      {
        size_t len = strlen (answers[i]);
        /* The empty line after the last chunk may be missing.  */
        size_t needed = i == 1 ? len - 2 : len;
        for (size_t n = 1; n < needed; n++)
          {
            struct tk_forward_done d
                = exchange_part (answers[i], n, n % 2 == 0, names[k]);
            check_lost (&d);
          }
        struct tk_forward_done d
            = exchange_part (answers[i], len, false, names[k]);
        CU_ASSERT_EQUAL (d.end, TK_END_ANSWER);
      }
}

/* Guards against an answer without a length that is passed on after a reset
   within its body, and against one whose connection ends within its head.  */
static void
test_answer_that_ends_with_its_connection (void)
{
  static const char *const answer
      = "HTTP/1.1 200 OK\r\nRequest-Id: r7\r\nConnection: close\r\n\r\n"
        "hello, world";
  size_t head = (size_t) (strstr (answer, "hello") - answer);

  for (size_t n = 1; n < head; n++)
    {
      struct tk_forward_done d = exchange_part (answer, n, false, &strict);
      check_lost (&d);
    }
  for (size_t n = head; n <= strlen (answer); n++)
    {
      struct tk_forward_done d = exchange_part (answer, n, true, &strict);
      check_lost (&d);
    }
  struct tk_forward_done d
      = exchange_part (answer, strlen (answer), false, &strict);
  CU_ASSERT_EQUAL (d.end, TK_END_ANSWER);
}

/* Guards against a spoiled line in the head, or in the size of a chunk, that
   makes libcurl take a part of the body for the whole.  */
static void
test_spoiled_answers (void)
{
#define BEGIN "HTTP/1.1 200 OK\r\nRequest-Id: r7\r\n"
  static const char *const answers[]
      = { BEGIN "Content-Length: 1x2\r\n\r\nhello, world",
          BEGIN "Content-Length: 1 2\r\n\r\nhello, world",
          BEGIN "Content-Length: 0x12\r\n\r\nhello, world",
          BEGIN "Content-Length: -1\r\n\r\nhello, world",
          BEGIN "Content-Length: 5\r\nContent-Length: 12\r\n\r\nhello, world",
          BEGIN "Content-Length: 5, 12\r\n\r\nhello, world",
          BEGIN "Content-Length\x01: 12\r\n\r\nhello, world",
          BEGIN "Content-Length : 12\r\n\r\nhello, world",
          BEGIN "Content-Lenxth: 12\r\n\r\nhello, world",
          BEGIN "Tranzfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
          BEGIN "Content-Length; 12\r\n\r\nhello, world",
          BEGIN "Content-Length: 12\r\nTransfer-Encoding: "
                "chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
          BEGIN "Transfer-Encoding: chunkee\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
          BEGIN "Transfer-Encoding: chunked\r\n\r\n0\r\nhello, "
                "world\r\n\r\n0\r\n\r\n",
          BEGIN "Cont\r\nent-Length: 12\r\n\r\nhello, world",
          BEGIN BEGIN "Content-Length: 2\r\n\r\nhi" };

  for (size_t i = 0; i < sizeof answers / sizeof answers[0]; i++)
    {
      struct tk_forward_done d
          = exchange_part (answers[i], strlen (answers[i]), false, &strict);
      CU_ASSERT_EQUAL (d.end, TK_END_LOST);
      check_lost (&d);
    }
#undef BEGIN
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
          "HTTP/1.1 103 Early\r\n\r\n" OK "Request-Id: r7\r\n\r\nhi",
          "HTTP/1.1 103 Early\r\nRequest-Id: r6\r\n\r\n" OK
          "Request-Id: r7\r\n\r\nhi",
          NULL };
  struct fixture f;

  open_fixture_with (&f, script, &strict);
  CU_ASSERT_EQUAL (exchange (&f, 5 * ZP_SEC)->end, TK_END_ANSWER);
  CU_ASSERT_EQUAL (exchange (&f, 5 * ZP_SEC)->end, TK_END_ANSWER);
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

static const struct zp_test tests[] = {
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
  { "answers that are cut at every byte", test_answers_cut_at_every_byte },
  { "an answer that ends with its connection",
    test_answer_that_ends_with_its_connection },
  { "spoiled answers", test_spoiled_answers },
  { "a copy of a refusal", test_copy_of_a_refusal },
  { "an answer to another request is dropped",
    test_answer_to_another_request_is_dropped },
  { "a silent server ends at the deadline",
    test_silent_server_ends_at_the_deadline },
  { "cancel before sending is not-run", test_cancel_before_sending_is_not_run }
};

TEST_MAIN ("forward", tests)
