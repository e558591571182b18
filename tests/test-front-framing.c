/* Where the body of a request ends: requests that are cut, lengths that are no
   number, chunks that are malformed, and requests within a body.  */

#include "harness.h"
#include "seeds.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "front/server.h"
#include "wire/address.h"

/* An exchange has ended after both without an event.  A pause of the process
   takes time, but no passes.  */
#define QUIET (20 * ZP_MS)
#define QUIET_PASSES 50 /* of the loop */
#define EXCHANGE_MAX (5 * ZP_SEC)
#define BODIES_MAX 4

/* What the deciding task has received and the caller has got.  */
struct fixture
{
  struct tk_loop loop;
  struct tk_task task;
  struct fr_server *server;
  struct sockaddr_storage address;
  socklen_t address_len;
  size_t requests;
  struct zp_buf path[BODIES_MAX], body[BODIES_MAX]; /* of the first ones */
  bool hold;                                        /* no answers */
  size_t left;
  char answer[8192];
  size_t answer_len;
  bool closed; /* by the server */
};

/* How the caller ends its side after the request.  */
enum caller_end
{
  STAYS,
  SHUTS, /* FIN; the caller still reads */
  RESETS,
};

static void
on_message (void *self, struct tk_msg *m)
{
  struct fixture *f = self;

  if (m->kind == TK_HTTP_REQUEST)
    {
      struct tk_msg *a = tk_msg_new (TK_HTTP_ANSWER);
      if (f->requests < BODIES_MAX)
        {
          zp_buf_put (&f->path[f->requests], zp_str_of (&m->u.request.path));
          zp_buf_put (&f->body[f->requests], zp_str_of (&m->u.request.body));
        }
      f->requests++;
      a->u.answer.id = m->u.request.id;
      a->u.answer.status = 200;
      zp_buf_put (&a->u.answer.body, ZP_STR ("ran"));
      if (f->hold)
        tk_msg_free (a);
      else
        tk_send (fr_server_task (f->server), a);
    }
  else
    f->left += m->kind == TK_CALLER_LEFT;
  tk_msg_free (m);
}

static void
open_fixture (struct fixture *f)
{
  struct zp_str address = zp_str_from (test_address (19382));

  *f = (struct fixture){ .requests = 0 };
  tk_loop_init (&f->loop);
  tk_task_init (&f->task, &f->loop, on_message, f);
  f->server = fr_server_open (&f->loop, address, &f->task, NULL);
  CU_ASSERT_FATAL (f->server != NULL);
  CU_ASSERT_FATAL (
      wi_address_parse (address, &f->address, &f->address_len, NULL));
}

static void
forget_requests (struct fixture *f)
{
  for (size_t i = 0; i < BODIES_MAX; i++)
    {
      zp_buf_clear (&f->path[i]);
      zp_buf_clear (&f->body[i]);
    }
  f->requests = f->left = f->answer_len = 0;
  f->answer[0] = '\0';
  f->closed = false;
}

static void
close_fixture (struct fixture *f)
{
  fr_server_close (f->server);
  tk_task_free (&f->task);
  tk_loop_free (&f->loop);
  for (size_t i = 0; i < BODIES_MAX; i++)
    {
      zp_buf_free (&f->path[i]);
      zp_buf_free (&f->body[i]);
    }
}

static int
connect_caller (struct fixture *f)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  CU_ASSERT_FATAL (
      connect (fd, (struct sockaddr *) &f->address, f->address_len) == 0);
  return fd;
}

/* Reads what is there.  Returns false when there is nothing.  */
static bool
receive (struct fixture *f, int fd)
{
  ssize_t n = recv (fd, f->answer + f->answer_len,
                    sizeof f->answer - 1 - f->answer_len, MSG_DONTWAIT);

  if (n < 0 && errno == EAGAIN)
    return false;
  f->closed = f->closed || n <= 0;
  f->answer_len += n > 0 ? (size_t) n : 0;
  f->answer[f->answer_len] = '\0';
  return n > 0;
}

/* Runs the loop until the server closes the connection FD, or nothing has
   happened for a while.  */
static void
run_until_quiet (struct fixture *f, int fd)
{
  zp_time start = zp_clock_mono (), last = start;

  for (int passes = 0;; passes++)
    {
      size_t requests = f->requests, left = f->left;
      ev_run (f->loop.ev, EVRUN_NOWAIT);
      zp_time now = zp_clock_mono ();
      if (receive (f, fd) || requests != f->requests || left != f->left)
        {
          last = now;
          passes = 0;
        }
      if (f->closed || (now - last > QUIET && passes > QUIET_PASSES)
          || now - start > EXCHANGE_MAX)
        return;
      usleep (100);
    }
}

static void
finish (struct fixture *f, int fd, enum caller_end end)
{
  static const struct linger reset = { .l_onoff = 1, .l_linger = 0 };

  switch (end)
    {
    case STAYS:
      break;
    case SHUTS:
      shutdown (fd, SHUT_WR);
      break;
    case RESETS:
      /* The server reads the bytes first.  */
      for (int i = 0; i < 3; i++)
        ev_run (f->loop.ev, EVRUN_NOWAIT);
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      close (fd);
      for (int i = 0; i < 20; i++)
        {
          ev_run (f->loop.ev, EVRUN_NOWAIT);
          usleep (100);
        }
      return;
    }
  run_until_quiet (f, fd);
  close (fd);
  for (int i = 0; i < 3; i++)
    ev_run (f->loop.ev, EVRUN_NOWAIT);
}

/* Sends TEXT on a new connection and ends it.  */
static void
send_request (struct fixture *f, struct zp_str text, enum caller_end end)
{
  int fd = connect_caller (f);

  forget_requests (f);
  CU_ASSERT (send (fd, text.ptr, text.len, MSG_NOSIGNAL)
             == (ssize_t) text.len);
  finish (f, fd, end);
}

#define HEAD "POST /x HTTP/1.1\r\nHost: h\r\n"
#define LENGTH_REQUEST HEAD "Content-Length: 12\r\n\r\n{\"number\":1}"
#define CHUNKED_REQUEST                                                       \
  HEAD "Transfer-Encoding: chunked\r\n\r\n"                                   \
       "5\r\n{\"num\r\n7;x=y\r\nber\":1}\r\n0\r\nSum: 1\r\n\r\n"

/* Guards against a request that is forwarded although its body was cut, with a
   length and in chunks, at every byte and by each end of a connection.  */
static void
test_cut_requests (void)
{
  static const char *const texts[] = { LENGTH_REQUEST, CHUNKED_REQUEST };
  static const enum caller_end ends[] = { SHUTS, RESETS };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < 2; i++)
    for (size_t k = 0; k < 2; k++)
      for (size_t n = 1; n < strlen (texts[i]); n++)
        {
          send_request (&f, (struct zp_str){ .ptr = texts[i], .len = n },
                        ends[k]);
          if (f.requests > 0)
            printf ("request %zu, end %zu: cut after %zu bytes\n", i, k, n);
          CU_ASSERT_EQUAL (f.requests, 0);
          CU_ASSERT_EQUAL (fr_server_pending (f.server), 0);
        }
  close_fixture (&f);
}

static void
test_whole_requests (void)
{
  static const char *const texts[]
      = { LENGTH_REQUEST, CHUNKED_REQUEST,
          HEAD "content-length:\t12\r\n\r\n{\"number\":1}",
          HEAD "Content-Length: 12\r\nContent-Length: 12\r\n\r\n"
               "{\"number\":1}",
          HEAD "Transfer-Encoding: Chunked\r\n\r\n"
               "00C\r\n{\"number\":1}\r\n000\r\n\r\n" };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      send_request (&f, zp_str_from (texts[i]), STAYS);
      CU_ASSERT_EQUAL (f.requests, 1);
      CU_ASSERT (
          zp_str_eq (zp_str_of (&f.body[0]), ZP_STR ("{\"number\":1}")));
      CU_ASSERT (HAS_TEXT (f.answer, " 200 "));
      CU_ASSERT_FALSE (f.closed);
    }
  close_fixture (&f);
}

#define SMUGGLED "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"

/* Guards against a request whose end is not certain: it must not run, nor may
   what follows be read as another request.  */
static void
test_unclear_ends (void)
{
  static const char *const fields[] = {
    "Content-Length: 1x0\r\n",
    "Content-Length: 3 5\r\n",
    "Content-Length: 0x3\r\n",
    "Content-Length: +3\r\n",
    "Content-Length: -3\r\n",
    "Content-Length: 3,3\r\n",
    "Content-Length: 3;\r\n",
    "Content-Length:\r\n",
    "Content-Length: 3\r\nContent-Length: 5\r\n",
    "Content-Length: 5\r\nContent-Length: 3\r\n",
    "Content-Length: 3\r\nContent-Length: x\r\n",
    "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked, chunked\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Transfer-Encoding: identity\r\n",
    "Transfer-Encoding: xchunked\r\n",
    "Transfer-Encoding:\r\n",
    "Content-Length : 3\r\n",
    "Transfer-Encoding : chunked\r\n",
    " Content-Length: 3\r\n",
    "X: y\r\n Content-Length: 3\r\n",
    "X: y\r\n\tTransfer-Encoding: chunked\r\n",
    "Content-Length\r\n",
    "Content-Length: 3\rX: y\r\n",
    "X: y\rContent-Length: 3\r\n",
    "Content Length: 3\r\n",
    "Content-Length: 3\x01\r\n",
    "X: y\x7f\r\n",
    "Host: h\r\n",
    "Deadline-Ms: 900\r\nDeadline-Ms: 900\r\n",
    "Request-Id: 1\r\nRequest-Id: 2\r\n",
    "Idempotency-Key: 1\r\nIdempotency-Key: 2\r\n",
    "Content-Type: a/b\r\nContent-Type: a/b\r\n",
    "X: GET / HTTP/1.1\r\n",
  };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < sizeof fields / sizeof fields[0]; i++)
    {
      struct zp_buf text = { .ptr = NULL };
      zp_buf_printf (&text, HEAD "%s\r\n0\r\n\r\n" SMUGGLED, fields[i]);
      send_request (&f, zp_str_of (&text), STAYS);
      if (f.requests > 0 || !HAS_TEXT (f.answer, " 400 ") || !f.closed)
        printf ("%s%zu requests, %s, answer: %.20s\n", fields[i], f.requests,
                f.closed ? "closed" : "open", f.answer);
      CU_ASSERT_EQUAL (f.requests, 0);
      CU_ASSERT (HAS_TEXT (f.answer, "HTTP/1.1 400 "));
      CU_ASSERT (f.closed);
      zp_buf_free (&text);
    }
  close_fixture (&f);
}

/* Guards against a target that ends its request line for a backend server, or
   that names another host.  */
static void
test_invalid_targets (void)
{
  static const struct zp_str texts[] = {
    ZP_STR ("GET /a b HTTP/1.1\r\nHost: h\r\n\r\n" SMUGGLED),
    ZP_STR ("GET /a  HTTP/1.1\r\nHost: h\r\n\r\n" SMUGGLED),
    ZP_STR ("GET /a HTTP/1.1 HTTP/1.1\r\nHost: h\r\n\r\n" SMUGGLED),
    ZP_STR ("GET /a\tb HTTP/1.1\r\nHost: h\r\n\r\n" SMUGGLED),
    ZP_STR ("GET /a\rb HTTP/1.1\r\nHost: h\r\n\r\n" SMUGGLED),
    ZP_STR ("GET /a\vb HTTP/1.1\r\nHost: h\r\n\r\n" SMUGGLED),
    ZP_STR ("GET /a\x7f HTTP/1.1\r\nHost: h\r\n\r\n" SMUGGLED),
    ZP_STR ("GET x HTTP/1.1\r\nHost: h\r\n\r\n" SMUGGLED),
    ZP_STR ("OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n" SMUGGLED),
    ZP_STR ("GET @127.0.0.1:9/x HTTP/1.1\r\nHost: h\r\n\r\n" SMUGGLED),
    ZP_STR ("GET http://h/x HTTP/1.1\r\nHost: h\r\n\r\n" SMUGGLED),
    ZP_STR ("GET ?x HTTP/1.1\r\nHost: h\r\n\r\n" SMUGGLED),
  };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      send_request (&f, texts[i], STAYS);
      if (f.requests > 0 || !HAS_TEXT (f.answer, " 400 ") || !f.closed)
        printf ("target %zu: %zu requests, path %.*s, %s, answer: %.20s\n", i,
                f.requests, ZP_ARG (zp_str_of (&f.path[0])),
                f.closed ? "closed" : "open", f.answer);
      CU_ASSERT_EQUAL (f.requests, 0);
      CU_ASSERT (HAS_TEXT (f.answer, "HTTP/1.1 400 "));
      CU_ASSERT (f.closed);
    }
  close_fixture (&f);
}

/* Guards against a target or a method that is cut off at a zero byte and
   forwarded.  */
static void
test_zero_byte_in_a_request_line (void)
{
  static const struct zp_str texts[] = {
    ZP_STR ("GET /a\0b HTTP/1.1\r\nHost: h\r\n\r\n" SMUGGLED),
    ZP_STR ("GET /a\0 HTTP/1.1\r\nHost: h\r\n\r\n" SMUGGLED),
    ZP_STR ("GET /a?b\0/../c HTTP/1.1\r\nHost: h\r\n\r\n" SMUGGLED),
    ZP_STR ("GET /a\0 HTTP/1.1\0 HTTP/1.1\r\nHost: h\r\n\r\n" SMUGGLED),
    ZP_STR ("GET\0 /a HTTP/1.1\r\nHost: h\r\n\r\n" SMUGGLED),
    ZP_STR ("GET\0X /a HTTP/1.1\r\nHost: h\r\n\r\n" SMUGGLED),
    ZP_STR ("GET \0/a HTTP/1.1\r\nHost: h\r\n\r\n" SMUGGLED),
  };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      send_request (&f, texts[i], STAYS);
      if (f.requests > 0 || !f.closed)
        printf ("target %zu: %zu requests, path %.*s, %s, answer: %.20s\n", i,
                f.requests, ZP_ARG (zp_str_of (&f.path[0])),
                f.closed ? "closed" : "open", f.answer);
      CU_ASSERT_EQUAL (f.requests, 0);
      CU_ASSERT (f.closed);
    }
  close_fixture (&f);
}

/* Guards against valid request lines that are refused because libmicrohttpd has
   moved them: pipelined requests with long targets and heads, in parts.  */
static void
test_long_heads_in_parts (void)
{
  static const size_t parts[] = { 1, 7, 700, 5000, 100000 };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < sizeof parts / sizeof parts[0]; i++)
    {
      struct zp_buf text = { .ptr = NULL };
      for (int k = 0; k < 3; k++)
        zp_buf_printf (&text,
                       "POST /%0*d?%0*d HTTP/1.1\r\nHost: h\r\nX: %0*d\r\n"
                       "Content-Length: 3\r\n\r\nabc",
                       1 + 2000 * k, 0, 1 + 1000 * k, 0, 1 + 3000 * k, 0);
      int fd = connect_caller (&f), one = 1;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      forget_requests (&f);
      for (size_t at = 0; at < text.len; at += parts[i])
        {
          size_t rest = text.len - at;
          size_t n = rest < parts[i] ? rest : parts[i];
          CU_ASSERT (send (fd, text.ptr + at, n, MSG_NOSIGNAL) == (ssize_t) n);
          ev_run (f.loop.ev, EVRUN_NOWAIT);
        }
      finish (&f, fd, STAYS);
      CU_ASSERT_EQUAL (f.requests, 3);
      for (size_t k = 0; k < 3; k++)
        CU_ASSERT_EQUAL (f.path[k].len, 2 + 2000 * k);
      CU_ASSERT_FALSE (f.closed);
      zp_buf_free (&text);
    }
  close_fixture (&f);
}

/* Guards against chunks whose size is no number, or that do not end where
   their size says.  */
static void
test_malformed_chunks (void)
{
  static const char *const chunks[] = {
    "x\r\nabc\r\n0\r\n\r\n",      "0x3\r\nabc\r\n0\r\n\r\n",
    "-3\r\nabc\r\n0\r\n\r\n",     "+3\r\nabc\r\n0\r\n\r\n",
    "3 5\r\nabc\r\n0\r\n\r\n",    " 3\r\nabc\r\n0\r\n\r\n",
    "\r\nabc\r\n0\r\n\r\n",       "3\r\nabcd\r\n0\r\n\r\n",
    "3\r\nabcX\r\n0\r\n\r\n",     "3\r\nabc0\r\n\r\n",
    "3\r\nabc\r\n0x\r\nX: y\r\n", ";x\r\nabc\r\n0\r\n\r\n",
  };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < sizeof chunks / sizeof chunks[0]; i++)
    {
      struct zp_buf text = { .ptr = NULL };
      zp_buf_printf (&text,
                     HEAD "Transfer-Encoding: chunked\r\n\r\n%s" SMUGGLED,
                     chunks[i]);
      send_request (&f, zp_str_of (&text), STAYS);
      if (f.requests > 0 || !HAS_TEXT (f.answer, " 400 ") || !f.closed)
        printf ("%s%zu requests, %s, answer: %.20s\n", chunks[i], f.requests,
                f.closed ? "closed" : "open", f.answer);
      CU_ASSERT_EQUAL (f.requests, 0);
      CU_ASSERT (HAS_TEXT (f.answer, "HTTP/1.1 400 "));
      CU_ASSERT (f.closed);
      zp_buf_free (&text);
    }
  close_fixture (&f);
}

/* Guards against a zero byte in the name of a field, against chunks in HTTP/1.0, and against a body that ends with its
   connection.  */
static void
test_other_unclear_requests (void)
{
  static const struct zp_str texts[] = {
    ZP_STR (HEAD "X\0y: z\r\nContent-Length: 3\r\n\r\nabc"),
    ZP_STR ("POST /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"
            "0\r\n\r\n"),
    ZP_STR (HEAD "Transfer-Encoding: gzip\r\n\r\nabc"),
    ZP_STR (HEAD "Transfer-Encoding: identity\r\n\r\nabc"),
    ZP_STR ("POST /x HTTP/1.0\r\nTransfer-Encoding: identity\r\n\r\nabc"),
  };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      send_request (&f, texts[i], SHUTS);
      if (f.requests > 0)
        printf ("request %zu: %s\n", i, texts[i].ptr);
      CU_ASSERT_EQUAL (f.requests, 0);
      CU_ASSERT (f.closed);
    }
  close_fixture (&f);
}

/* A length that is a number, but too large, gets 413.  */
static void
test_too_large_lengths (void)
{
  static const char *const texts[]
      = { HEAD "Content-Length: 99999999999999999999\r\n\r\nabc" SMUGGLED,
          HEAD "Content-Length: 18446744073709551619\r\n\r\nabc" SMUGGLED,
          HEAD "Transfer-Encoding: chunked\r\n\r\n"
               "10000000000000003\r\nabc\r\n0\r\n\r\n" SMUGGLED };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      send_request (&f, zp_str_from (texts[i]), STAYS);
      CU_ASSERT_EQUAL (f.requests, 0);
      CU_ASSERT (HAS_TEXT (f.answer, "HTTP/1.1 413 "));
      CU_ASSERT (f.closed);
    }
  close_fixture (&f);
}

/* Guards against a body that is read as a request.  */
static void
test_request_within_a_body (void)
{
  struct zp_buf text = { .ptr = NULL };
  struct fixture f;

  open_fixture (&f);
  zp_buf_printf (&text, HEAD "Content-Length: %zu\r\n\r\n" SMUGGLED,
                 sizeof SMUGGLED - 1);
  send_request (&f, zp_str_of (&text), STAYS);
  CU_ASSERT_EQUAL (f.requests, 1);
  CU_ASSERT (zp_str_eq (zp_str_of (&f.body[0]), ZP_STR (SMUGGLED)));
  zp_buf_clear (&text);
  zp_buf_printf (
      &text, "GET /x HTTP/1.1\r\nHost: h\r\nContent-Length: %zu\r\n\r\n%s%s",
      sizeof SMUGGLED - 1, SMUGGLED, LENGTH_REQUEST);
  send_request (&f, zp_str_of (&text), STAYS);
  CU_ASSERT_EQUAL (f.requests, 2);
  CU_ASSERT (zp_str_eq (zp_str_of (&f.body[0]), ZP_STR (SMUGGLED)));
  CU_ASSERT (zp_str_eq (zp_str_of (&f.path[1]), ZP_STR ("/x")));
  zp_buf_free (&text);
  close_fixture (&f);
}

/* Guards against a request that is read from two: the head of a caller that
   breaks off is completed by its next request, at every byte.  */
static void
test_heads_of_two_requests (void)
{
  static const char *const firsts[] = {
    "POST /first HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 900\r\n"
    "Content-Length: 2\r\n\r\n",
    "POST /first HTTP/1.1\r\nX-Partner: a\r\nIdempotency-Key: k1\r\n"
    "Content-Type: text/plain\r\nHost: h\r\n\r\n",
    "GET /first HTTP/1.1\r\nX-Partner: a\r\nRequest-Id: 1\r\nHost: h\r\n\r\n",
  };
  static const char *const seconds[] = {
    "POST /second HTTP/1.1\r\nHost: h\r\nIdempotency-Key: k2\r\n"
    "Content-Length: 3\r\n\r\nabc",
    "GET /second HTTP/1.1\r\nRequest-Id: 2\r\nDeadline-Ms: 800\r\n"
    "Host: h\r\n\r\n",
    "GET /second HTTP/1.0\r\n\r\n",
  };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < sizeof firsts / sizeof firsts[0]; i++)
    for (size_t k = 0; k < sizeof seconds / sizeof seconds[0]; k++)
      for (size_t n = 1; n < strlen (firsts[i]); n++)
        {
          struct zp_buf text = { .ptr = NULL };
          zp_buf_printf (&text, "%.*s%s", (int) n, firsts[i], seconds[k]);
          send_request (&f, zp_str_of (&text), STAYS);
          if (f.requests > 0 || !f.closed)
            printf ("%zu of %zu bytes, then %zu: %zu requests, %s: %.*s|\n", n,
                    i, k, f.requests, f.closed ? "closed" : "open",
                    (int) (n < 200 ? n : 200), firsts[i]);
          CU_ASSERT_EQUAL (f.requests, 0);
          CU_ASSERT (f.closed);
          zp_buf_free (&text);
        }
  close_fixture (&f);
}

/* Guards against a request that is made of the rest of another one: the body of
   a caller that breaks off is completed by its next request.  The request with
   that body runs, because any bytes can be a body of that length.  */
static void
test_bodies_of_two_requests (void)
{
  static const char *const firsts[] = { LENGTH_REQUEST, CHUNKED_REQUEST };
  static const char *const seconds[]
      = { "POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
          "GET /second HTTP/1.1\r\nHost: h\r\n\r\n",
          "OPTIONS * HTTP/1.1\r\nHost: h\r\nX: y\r\n\r\n" };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < sizeof firsts / sizeof firsts[0]; i++)
    for (size_t k = 0; k < sizeof seconds / sizeof seconds[0]; k++)
      {
        const char *body = strstr (firsts[i], "\r\n\r\n") + 4;
        for (size_t n = (size_t) (body - firsts[i]); n < strlen (firsts[i]);
             n++)
          {
            struct zp_buf text = { .ptr = NULL };
            zp_buf_printf (&text, "%.*s%s", (int) n, firsts[i], seconds[k]);
            send_request (&f, zp_str_of (&text), STAYS);
            bool chunked = firsts[i] != firsts[0];
            size_t runs = chunked ? 0 : 1;
            if (f.requests != runs || !f.closed)
              printf ("%zu of %zu bytes, then %zu: %zu requests, %s\n", n, i,
                      k, f.requests, f.closed ? "closed" : "open");
            CU_ASSERT_EQUAL (f.requests, runs);
            CU_ASSERT (f.closed);
            zp_buf_free (&text);
          }
      }
  close_fixture (&f);
}

/* Appends a whole request with BODY, with its length or in chunks.  Returns
   the offset of the part that has the framing.  */
static size_t
put_request (struct zp_rng *rng, struct zp_buf *out, struct zp_str body)
{
  size_t at = 0;

  zp_buf_put (out, ZP_STR (HEAD));
  size_t framing = out->len;
  if (chance (rng, 0.4))
    {
      zp_buf_printf (out, "Content-Length: %zu\r\n\r\n%.*s", body.len,
                     ZP_ARG (body));
      return framing;
    }
  zp_buf_put (out, ZP_STR ("Transfer-Encoding: chunked\r\n\r\n"));
  while (at < body.len)
    {
      size_t n = 1 + zp_rng_below (rng, (uint32_t) (body.len - at));
      zp_buf_printf (out, "%zx\r\n%.*s\r\n", n, (int) n, body.ptr + at);
      at += n;
    }
  zp_buf_put (out, ZP_STR ("0\r\n\r\n"));
  return framing;
}

/* Cuts the request, or inserts a byte anywhere behind FRAMING that is no digit,
   no part or end of a name and no line end; any other byte could turn the
   request into another valid one.  */
static void
spoil (struct zp_rng *rng, struct zp_buf *text, size_t framing)
{
  static const char bytes[] = "@(/\x01 ?=\x80\x7f";
  size_t at = framing + zp_rng_below (rng, (uint32_t) (text->len - framing));
  struct zp_buf out = { .ptr = NULL };

  zp_buf_put_bytes (&out, text->ptr, at);
  if (chance (rng, 0.7))
    {
      zp_buf_put_bytes (&out, bytes + zp_rng_below (rng, sizeof bytes - 1), 1);
      zp_buf_put_bytes (&out, text->ptr + at, text->len - at);
    }
  zp_buf_free (text);
  *text = out;
}

/* Whatever is spoiled, the deciding task gets at most the request that was
   meant, and never the one within its body.  An inserted byte may become part
   of the body or be a space or an extension that RFC 9112 allows.  */
static bool
spoiled_requests_do_not_run (uint32_t seed)
{
  struct zp_rng rng;
  struct zp_buf body = { .ptr = NULL }, text = { .ptr = NULL };
  struct fixture f;

  zp_rng_seed (&rng, seed);
  open_fixture (&f);
  for (uint32_t n = zp_rng_below (&rng, 40); n > 0; n--)
    zp_buf_put (&body, ZP_STR ("a"));
  zp_buf_put (&body, ZP_STR ("\r\n" SMUGGLED));
  size_t framing = put_request (&rng, &text, zp_str_of (&body));
  spoil (&rng, &text, framing);
  TRACE ("%.*s\n", ZP_ARG (zp_str_of (&text)));
  send_request (&f, zp_str_of (&text), SHUTS);
  TRACE ("%zu requests, answer: %s\n", f.requests, f.answer);
  bool ok = f.requests <= 1 && f.closed && fr_server_pending (f.server) == 0;
  if (f.requests == 1)
    ok = ok && zp_str_eq (zp_str_of (&f.path[0]), ZP_STR ("/x"))
         && f.body[0].len == body.len;
  zp_buf_free (&body);
  zp_buf_free (&text);
  close_fixture (&f);
  return ok;
}

static void
test_spoiled_requests (void)
{
  zp_log_open ("test", ZP_LOG_ERR, STDERR_FILENO);
  CU_ASSERT_EQUAL (seeds_run (spoiled_requests_do_not_run, 400), 0);
}

/* The kernel reports a caller that ends only its side of the connection like
   one that has closed it.  Guards against work for callers that have left; a
   caller that waits for its answer has to keep its side open.  */
static void
test_half_closed_caller (void)
{
  struct fixture f;

  open_fixture (&f);
  f.hold = true;
  send_request (&f, ZP_STR (LENGTH_REQUEST), SHUTS);
  CU_ASSERT_EQUAL (f.requests, 1);
  CU_ASSERT_EQUAL (f.left, 1);
  CU_ASSERT (f.closed);
  CU_ASSERT_EQUAL (f.answer_len, 0);
  CU_ASSERT_EQUAL (fr_server_pending (f.server), 0);
  close_fixture (&f);
}

static const struct zp_test tests[] = {
  { "requests that are cut at every byte", test_cut_requests },
  { "whole requests", test_whole_requests },
  { "requests whose end is not certain", test_unclear_ends },
  { "invalid targets", test_invalid_targets },
  { "a zero byte in a request line", test_zero_byte_in_a_request_line },
  { "long heads in parts", test_long_heads_in_parts },
  { "malformed chunks", test_malformed_chunks },
  { "other requests whose end is not certain", test_other_unclear_requests },
  { "lengths that are too large", test_too_large_lengths },
  { "a request within a body", test_request_within_a_body },
  { "heads of two requests", test_heads_of_two_requests },
  { "bodies of two requests", test_bodies_of_two_requests },
  { "spoiled requests", test_spoiled_requests },
  { "a caller that ends its side", test_half_closed_caller },
};

TEST_MAIN ("front-framing", tests)
