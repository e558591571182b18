/* Two answers on one connection of which the first is broken off.  What the
   caller gets is one of the answers that the server has meant to send, or
   none.  */

#include "guard.h"
#include "harness.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "forward/client.h"
#include "wire/address.h"

#define PORT 19283
#define REQUEST_TIMEOUT (60 * ZP_SEC)
#define PART_PAUSE (2 * ZP_MS)
#define PARTS_MAX 4

/* An answer of the server.  */
struct reply
{
  const char *status;         /* "200 OK" */
  const char *before, *after; /* field lines around the line with the id */
  const char *id;
  const char *stamp;
  const char *framing; /* field line */
  const char *body;    /* as sent, with its chunks */
  const char *text;    /* as the caller gets it */
  bool refuses;        /* says that the request has not run */
};

#define CHUNKED "Transfer-Encoding: chunked\r\n"
#define FIELDS                                                                \
  "Date: Sun, 06 Dec 2026 03:00:00 GMT\r\nServer: bookings/2.1 (unix)\r\n"
#define REST "Cache-Control: no-store\r\n"
#define TEXT_A "{\"slot\":\"a-17\",\"at\":\"09:40\"}"
#define TEXT_B "{\"error\":\"desk 4 is shut\"}..."

/* The answers to the request r1, which come first.  */
static const struct reply firsts[] = {
  { "200 OK", FIELDS, REST, "r1", "s1", "Content-Length: 30\r\n", TEXT_A "ab",
    TEXT_A "ab", false },
  { "200 OK", FIELDS, REST, "r1", "s1", CHUNKED,
    "0a\r\n{\"slot\":\"a\r\n12\r\n-17\",\"at\":\"09:40\"}\r\n0\r\n\r\n",
    TEXT_A, false },
  { "500 Internal Server Error", FIELDS, REST, "r1", "s1",
    "Content-Length: 0\r\n", "", "", false },
  { "503 Service Unavailable", FIELDS "Not-Run: 1\r\nRetry-After: 2\r\n", REST,
    "r1", "s1", "Content-Length: 0\r\n", "", "", true },
  /* The id comes first, or last.  */
  { "200 OK", "", FIELDS REST, "r1", "s1", "Content-Length: 5\r\n", "hello",
    "hello", false },
  { "503 Service Unavailable",
    "Not-Run: 1\r\nX-Long: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n" FIELDS,
    "", "r1", "s1", "Content-Length: 2\r\n", "no", "no", true },
};

#define FIRSTS (sizeof firsts / sizeof firsts[0])

/* The answers to the request r2.  */
static const struct reply seconds[] = {
  { "500 Internal Server Error", FIELDS, REST, "r2", "s2",
    "Content-Length: 29\r\n", TEXT_B, TEXT_B, false },
  { "200 OK", FIELDS, REST, "r2", "s2", "Content-Length: 29\r\n", TEXT_B,
    TEXT_B, false },
  { "200 OK", "", FIELDS, "r2", "s2", CHUNKED, "1d\r\n" TEXT_B "\r\n0\r\n\r\n",
    TEXT_B, false },
  { "503 Service Unavailable", FIELDS "Not-Run: 1\r\n", REST, "r2", "s2",
    "Content-Length: 0\r\n", "", "", true },
};

#define SECONDS (sizeof seconds / sizeof seconds[0])

static void
render (const struct reply *r, struct zp_buf *out)
{
  zp_buf_clear (out);
  zp_buf_printf (
      out, "HTTP/1.1 %s\r\n%sRequest-Id: %s\r\nStamp: %s\r\n%s%s\r\n%s",
      r->status, r->before, r->id, r->stamp, r->after, r->framing, r->body);
}

/* What the server sends for one request, with a pause after each part.  */
struct script
{
  struct zp_buf part[PARTS_MAX];
  size_t parts;
  bool closes; /* after the last part */
};

struct fixture
{
  struct tk_loop loop;
  struct tk_task task;
  struct fw_client *client;
  char address[ZP_ADDRESS_MAX];
  int listener, conn;
  ev_io accepting, reading;
  ev_timer pausing;
  struct script script[2]; /* for the first and the second request */
  size_t request, part;
  int connections;
  struct tk_msg *done;
  uint64_t last_id;
  struct test_guard guard;
};

static const struct fr_header_names strict = {
  .deadline_ms = "Deadline-Ms",
  .request_id = "Request-Id",
  .stamp = "Stamp",
  .not_run = "Not-Run",
  .leaving = "Leaving",
  .answers_have_id = true,
};

static void
drop_connection (struct fixture *f)
{
  ev_io_stop (f->loop.ev, &f->reading);
  ev_timer_stop (f->loop.ev, &f->pausing);
  if (f->conn >= 0)
    close (f->conn);
  f->conn = -1;
}

static void
send_part (struct fixture *f)
{
  struct script *s = &f->script[f->request];

  if (f->part == s->parts)
    {
      drop_connection (f);
      return;
    }
  send (f->conn, s->part[f->part].ptr, s->part[f->part].len, MSG_NOSIGNAL);
  if (++f->part < s->parts + s->closes)
    {
      ev_timer_set (&f->pausing, (double) PART_PAUSE / (double) ZP_SEC, 0.0);
      ev_timer_start (f->loop.ev, &f->pausing);
    }
}

static void
on_pause (struct ev_loop *ev, ev_timer *w, int events)
{
  (void) ev;
  (void) events;
  send_part (w->data);
}

static void
on_request (struct ev_loop *ev, ev_io *w, int events)
{
  struct fixture *f = w->data;
  char request[2048];

  (void) ev;
  (void) events;
  ssize_t n = recv (f->conn, request, sizeof request - 1, 0);
  if (n <= 0)
    {
      drop_connection (f);
      return;
    }
  request[n] = '\0';
  f->request = HAS_TEXT (request, "Request-Id: r2") ? 1 : 0;
  f->part = 0;
  ev_timer_stop (f->loop.ev, &f->pausing);
  send_part (f);
}

static void
on_accept (struct ev_loop *ev, ev_io *w, int events)
{
  struct fixture *f = w->data;
  int one = 1;

  (void) events;
  drop_connection (f);
  f->conn = accept (w->fd, NULL, NULL);
  setsockopt (f->conn, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  f->connections++;
  ev_io_init (&f->reading, on_request, f->conn, EV_READ);
  f->reading.data = f;
  ev_io_start (ev, &f->reading);
}

static void
on_done (void *self, struct tk_msg *m)
{
  struct fixture *f = self;

  f->done = m;
  ev_break (f->loop.ev, EVBREAK_ALL);
}

static void
open_fixture (struct fixture *f)
{
  struct sockaddr_storage sa;
  socklen_t len;
  int one = 1;

  *f = (struct fixture){ .conn = -1 };
  snprintf (f->address, sizeof f->address, "%s", test_address (PORT));
  tk_loop_init (&f->loop);
  tk_task_init (&f->task, &f->loop, on_done, f);
  CU_ASSERT_FATAL (
      wi_address_parse (zp_str_from (f->address), &sa, &len, NULL));
  f->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (f->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  CU_ASSERT_FATAL (bind (f->listener, (struct sockaddr *) &sa, len) == 0);
  CU_ASSERT_FATAL (listen (f->listener, 16) == 0);
  ev_io_init (&f->accepting, on_accept, f->listener, EV_READ);
  f->accepting.data = f;
  ev_io_start (f->loop.ev, &f->accepting);
  ev_timer_init (&f->pausing, on_pause, 0.0, 0.0);
  f->pausing.data = f;
  test_guard_start (&f->guard, f->loop.ev, 100.0);
}

static void
close_fixture (struct fixture *f)
{
  drop_connection (f);
  ev_io_stop (f->loop.ev, &f->accepting);
  test_guard_stop (&f->guard, f->loop.ev);
  close (f->listener);
  for (size_t i = 0; i < 2; i++)
    for (size_t k = 0; k < PARTS_MAX; k++)
      zp_buf_free (&f->script[i].part[k]);
  tk_task_free (&f->task);
  tk_loop_free (&f->loop);
}

static struct zp_buf *
add_part (struct script *s)
{
  struct zp_buf *b = &s->part[s->parts++];

  CU_ASSERT_FATAL (s->parts <= PARTS_MAX);
  zp_buf_clear (b);
  return b;
}

/* Sends the request ID and returns how it ended; the caller frees it.  */
static struct tk_msg *
exchange (struct fixture *f, const char *id)
{
  struct tk_msg *m = tk_msg_new (TK_FORWARD);

  f->done = NULL;
  m->u.forward.id = ++f->last_id;
  snprintf (m->u.forward.address, sizeof m->u.forward.address, "%s",
            f->address);
  zp_buf_put (&m->u.forward.method, ZP_STR ("GET"));
  zp_buf_put (&m->u.forward.target, ZP_STR ("/x"));
  zp_buf_put (&m->u.forward.request_id, zp_str_from (id));
  m->u.forward.deadline = zp_clock_mono () + REQUEST_TIMEOUT;
  tk_send (fw_client_task (f->client), m);
  while (!f->done && !f->guard.fired)
    ev_run (f->loop.ev, EVRUN_ONCE);
  CU_ASSERT_FATAL (f->done != NULL);
  return f->done;
}

/* Whether D is R as the server has meant it.  */
static bool
is_reply (const struct tk_forward_done *d, const struct reply *r)
{
  char stamp[64];

  snprintf (stamp, sizeof stamp, "Stamp: %s\n", r->stamp);
  return d->status == (unsigned) strtoul (r->status, NULL, 10)
         && HAS_TEXT (d->headers.ptr, stamp)
         && zp_str_eq (zp_str_of (&d->body), zp_str_from (r->text))
         && (d->verdict == ZP_NOT_RUN) == r->refuses
         && (d->retry_after > 0)
                == (HAS_TEXT (r->before, "Retry-After") && d->status == 503);
}

struct tally
{
  unsigned cases, lost, delivered, wrong;
};

/* Counts how M ended; it may be the answer R or, unless NULL, OTHER.  */
static void
count (struct tally *t, const struct tk_msg *m, const struct reply *r,
       const struct reply *other, const char *where, size_t at)
{
  const struct tk_forward_done *d = &m->u.done;

  t->cases++;
  if (d->end != TK_END_ANSWER)
    {
      t->lost++;
      CU_ASSERT_EQUAL (d->verdict, ZP_MAY_HAVE_RUN);
      return;
    }
  if (is_reply (d, r) || (other && is_reply (d, other)))
    {
      t->delivered++;
      return;
    }
  if (t->wrong++ < 5)
    printf ("\n%s, cut at %zu: status %u, body \"%.*s\", meant: %s \"%s\"",
            where, at, d->status, ZP_ARG (zp_str_of (&d->body)), r->status,
            r->text);
}

/* When the copy comes.  */
enum copy_time
{
  COPY_AT_ONCE,     /* in one segment with the answer */
  COPY_NEXT,        /* in one segment with the next answer */
  COPY_BEFORE_NEXT, /* when the next request has arrived */
  COPY_TIMES,
};

/* The answer A to r1, a copy of it that is cut after N bytes, and the answer B
   to r2 on the same connection.  */
static void
check_copy (struct fixture *f, struct tally *t, const struct reply *a,
            const struct reply *b, size_t n, enum copy_time when)
{
  struct zp_buf whole = { .ptr = NULL }, next = { .ptr = NULL };
  static const char *const names[]
      = { "copy at once", "copy with the next answer",
          "copy before the next answer" };

  render (a, &whole);
  render (b, &next);
  f->script[0].parts = f->script[1].parts = 0;
  f->script[1].closes = true;
  struct zp_buf *p = add_part (&f->script[0]);
  zp_buf_put (p, zp_str_of (&whole));
  if (when != COPY_AT_ONCE)
    p = add_part (&f->script[1]);
  zp_buf_put_bytes (p, whole.ptr, n);
  if (when != COPY_NEXT)
    p = add_part (&f->script[1]);
  zp_buf_put (p, zp_str_of (&next));
  f->client = fw_client_open_with (&f->loop, &f->task, &strict);
  struct tk_msg *m = exchange (f, "r1");
  CU_ASSERT_EQUAL (m->u.done.end, TK_END_ANSWER);
  CU_ASSERT (is_reply (&m->u.done, a));
  tk_msg_free (m);
  m = exchange (f, "r2");
  count (t, m, b, NULL, names[when], n);
  tk_msg_free (m);
  fw_client_close (f->client);
  zp_buf_free (&whole);
  zp_buf_free (&next);
}

static void
report (const char *what, const struct tally *t)
{
  printf ("\n%s: %u cases, %u delivered, %u lost, %u wrong ", what, t->cases,
          t->delivered, t->lost, t->wrong);
  CU_ASSERT (t->cases > 0);
  CU_ASSERT_EQUAL (t->wrong, 0);
}

/* Guards against a head that is read from two answers: a late copy of the
   answer before, broken off at any byte of its head, and the next answer.  */
static void
test_late_copy_that_is_cut (void)
{
  struct tally t = { .cases = 0 };
  struct zp_buf whole = { .ptr = NULL };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < FIRSTS; i++)
    {
      render (&firsts[i], &whole);
      for (size_t k = 0; k < SECONDS; k++)
        for (size_t n = 1; n < whole.len; n++)
          check_copy (&f, &t, &firsts[i], &seconds[k], n,
                      n % 16 == 0 ? COPY_BEFORE_NEXT : COPY_NEXT);
    }
  report ("late copies", &t);
  zp_buf_free (&whole);
  close_fixture (&f);
}

/* Guards against the same with a copy that comes before the next request.  */
static void
test_copy_at_once_that_is_cut (void)
{
  struct tally t = { .cases = 0 };
  struct zp_buf whole = { .ptr = NULL };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < FIRSTS; i++)
    {
      render (&firsts[i], &whole);
      for (size_t n = 1; n < whole.len; n += 3)
        check_copy (&f, &t, &firsts[i], &seconds[0], n, COPY_AT_ONCE);
    }
  report ("copies at once", &t);
  zp_buf_free (&whole);
  close_fixture (&f);
}

/* Guards against a body that is completed by another answer: the answer to r1
   is broken off at any byte, and the same or another answer to r1 follows on
   the connection.  */
static void
test_cut_answer_and_another (void)
{
  struct tally t = { .cases = 0 };
  struct zp_buf first = { .ptr = NULL }, next = { .ptr = NULL };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < FIRSTS; i++)
    for (size_t k = 0; k < SECONDS + FIRSTS; k++)
      {
        struct reply other = k < SECONDS ? seconds[k] : firsts[k - SECONDS];
        other.id = "r1";
        render (&firsts[i], &first);
        render (&other, &next);
        for (size_t n = 1; n < first.len; n++)
          {
            f.script[0].parts = 0;
            f.script[0].closes = true;
            struct zp_buf *p = add_part (&f.script[0]);
            zp_buf_put_bytes (p, first.ptr, n);
            if (n % 16 == 0)
              p = add_part (&f.script[0]);
            zp_buf_put (p, zp_str_of (&next));
            f.client = fw_client_open_with (&f.loop, &f.task, &strict);
            struct tk_msg *m = exchange (&f, "r1");
            count (&t, m, &firsts[i], &other, "cut answer and another", n);
            tk_msg_free (m);
            fw_client_close (f.client);
          }
      }
  report ("cut answers", &t);
  zp_buf_free (&first);
  zp_buf_free (&next);
  close_fixture (&f);
}

/* Guards against sound answers that are lost.  */
static void
test_sound_answers (void)
{
  struct tally t = { .cases = 0 };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < FIRSTS; i++)
    for (size_t k = 0; k < SECONDS; k++)
      for (int split = 0; split < 2; split++)
        {
          struct zp_buf b = { .ptr = NULL };
          f.script[0].parts = f.script[1].parts = 0;
          render (&firsts[i], add_part (&f.script[0]));
          render (&seconds[k], &b);
          zp_buf_put_bytes (add_part (&f.script[1]), b.ptr,
                            split ? b.len / 2 : b.len);
          if (split)
            zp_buf_put_bytes (add_part (&f.script[1]), b.ptr + b.len / 2,
                              b.len - b.len / 2);
          f.client = fw_client_open_with (&f.loop, &f.task, &strict);
          int before = f.connections;
          tk_msg_free (exchange (&f, "r1"));
          struct tk_msg *m = exchange (&f, "r2");
          count (&t, m, &seconds[k], NULL, "sound", i);
          CU_ASSERT_EQUAL (f.connections, before + 1);
          tk_msg_free (m);
          fw_client_close (f.client);
          zp_buf_free (&b);
        }
  report ("sound answers", &t);
  CU_ASSERT_EQUAL (t.lost, 0);
  close_fixture (&f);
}

/* Guards against sound answers that are lost because of their body, and against
   bytes of earlier answers on the connection that count as their surplus.  */
static void
test_sound_bodies (void)
{
  static const char *const bodies[]
      = { "TEETH", "HTTP/1.1 20", "HTTP/1.1 502 Bad Gateway\r\n",
          "GET / HTTP/1.1\r\nHost: h\r\n\r\nHTTP/1.1 200 OK\r\n\r\nH" };
  struct tally t = { .cases = 0 };
  struct fixture f;
  char length[64], closing[128], chunks[256], id[32];

  open_fixture (&f);
  f.client = fw_client_open_with (&f.loop, &f.task, &strict);
  for (size_t i = 0; i < sizeof bodies / sizeof bodies[0]; i++)
    {
      const struct reply replies[]
          = { { "200 OK", FIELDS, REST, id, "s1", length, bodies[i], bodies[i],
                false },
              { "200 OK", FIELDS, REST, id, "s1",
                CHUNKED "Connection: close\r\n", chunks, bodies[i], false },
              { "200 OK", FIELDS, REST, id, "s1", closing, bodies[i],
                bodies[i], false } };
      snprintf (length, sizeof length, "Content-Length: %zu\r\n",
                strlen (bodies[i]));
      snprintf (closing, sizeof closing, "%sConnection: close\r\n", length);
      snprintf (chunks, sizeof chunks, "%zx;a\r\n%s\r\n0\r\n\r\n",
                strlen (bodies[i]), bodies[i]);
      for (size_t k = 0; k < 9; k++)
        {
          const struct reply *r = &replies[k / 3];
          snprintf (id, sizeof id, "sound-%zu-%zu", i, k);
          f.script[0].parts = 0;
          render (r, add_part (&f.script[0]));
          struct tk_msg *m = exchange (&f, id);
          count (&t, m, r, NULL, "sound body", i);
          tk_msg_free (m);
        }
    }
  fw_client_close (f.client);
  report ("sound bodies", &t);
  CU_ASSERT_EQUAL (f.connections,
                   6 * (int) (sizeof bodies / sizeof bodies[0]));
  CU_ASSERT_EQUAL (t.lost, 0);
  close_fixture (&f);
}

/* Guards against answers that are lost to the copies of one server again and
   again: after the first one each request has a connection of its own.  */
static void
test_server_that_sends_copies (void)
{
  struct tally t = { .cases = 0 };
  struct reply r = seconds[0];
  struct fixture f;
  char id[32];

  open_fixture (&f);
  f.client = fw_client_open_with (&f.loop, &f.task, &strict);
  for (size_t i = 0; i < 20; i++)
    {
      snprintf (id, sizeof id, "copied-%zu", i);
      r.id = id;
      f.script[0].parts = 0;
      struct zp_buf *p = add_part (&f.script[0]);
      if (i == 1)
        zp_buf_put (p, ZP_STR ("HTTP/1.1 200 OK\r\nRequest-Id: copied-0\r\n"
                               "Content-Length: 0\r\n\r\n"));
      struct zp_buf answer = { .ptr = NULL };
      render (&r, &answer);
      zp_buf_put (p, zp_str_of (&answer));
      zp_buf_free (&answer);
      struct tk_msg *m = exchange (&f, id);
      count (&t, m, &r, NULL, "copies", i);
      tk_msg_free (m);
    }
  fw_client_close (f.client);
  report ("a server that sends copies", &t);
  CU_ASSERT_EQUAL (t.lost, 1);
  CU_ASSERT_EQUAL (f.connections, 19);
  close_fixture (&f);
}

static const struct zp_test tests[] = {
  { "a late copy that is cut", test_late_copy_that_is_cut },
  { "a copy at once that is cut", test_copy_at_once_that_is_cut },
  { "a cut answer and another", test_cut_answer_and_another },
  { "sound answers", test_sound_answers },
  { "sound bodies", test_sound_bodies },
  { "a server that sends copies", test_server_that_sends_copies },
};

TEST_MAIN ("forward-splices", tests)
