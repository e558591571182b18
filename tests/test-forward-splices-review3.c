/* Review of incident 38: answers that could still be read from two, and sound
   answers that could be lost.  */

#include "guard.h"
#include "harness.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "forward/client.h"
#include "wire/address.h"

#define PORT 19299
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

static void
report (const char *what, const struct tally *t)
{
  printf ("\n%s: %u cases, %u delivered, %u lost, %u wrong ", what, t->cases,
          t->delivered, t->lost, t->wrong);
  CU_ASSERT (t->cases > 0);
  CU_ASSERT_EQUAL (t->wrong, 0);
}

/* The server sends A and B to r1 in one segment, and closes.  */
static void
check_pair (struct fixture *f, struct tally *t, const struct reply *own,
            struct zp_str a, struct zp_str b, const char *what, size_t at)
{
  f->script[0].parts = 0;
  f->script[0].closes = true;
  struct zp_buf *p = add_part (&f->script[0]);
  zp_buf_put (p, a);
  zp_buf_put (p, b);
  f->client = fw_client_open_with (&f->loop, &f->task, &strict);
  struct tk_msg *m = exchange (f, "r1");
  count (t, m, own, NULL, what, at);
  tk_msg_free (m);
  fw_client_close (f->client);
}

/* Guards against a body that is completed by another answer, whose status line
   has one byte changed.  */
static void
test_body_and_spoiled_status_line (void)
{
  struct tally t = { .cases = 0 };
  struct zp_buf whole = { .ptr = NULL }, next = { .ptr = NULL };
  struct fixture f;

  open_fixture (&f);
  for (size_t at = 0; at < 12; at++)
    for (size_t missing = 1; missing <= 30; missing++)
      {
        render (&firsts[0], &whole);
        render (&firsts[0], &next);
        next.ptr[at] ^= 1;
        check_pair (
            &f, &t, &firsts[0],
            (struct zp_str){ .ptr = whole.ptr, .len = whole.len - missing },
            zp_str_of (&next), "body and spoiled status line", missing);
      }
  report ("body and spoiled status line", &t);
  close_fixture (&f);
}

/* Guards against the same in an answer after which the connection ends.  */
static void
test_length_and_close (void)
{
  struct tally t = { .cases = 0 };
  struct zp_buf whole = { .ptr = NULL }, next = { .ptr = NULL };
  struct fixture f;
  struct reply own = firsts[0];

  own.framing = "Content-Length: 30\r\nConnection: close\r\n";
  open_fixture (&f);
  render (&own, &whole);
  render (&own, &next);
  for (size_t n = 1; n < whole.len; n++)
    check_pair (&f, &t, &own, (struct zp_str){ .ptr = whole.ptr, .len = n },
                zp_str_of (&next), "length and close", n);
  report ("length and close", &t);
  close_fixture (&f);
}

/* Guards against the begin of another answer, with another status, that is
   passed on as the end of a body that ends with its connection.  */
static void
test_to_close_and_cut_other (void)
{
  struct tally t = { .cases = 0 };
  struct zp_buf whole = { .ptr = NULL }, next = { .ptr = NULL };
  struct fixture f;
  struct reply own = firsts[0], other = seconds[0];

  other.id = "r1";
  own.framing = "Connection: close\r\n";
  open_fixture (&f);
  render (&own, &whole);
  render (&other, &next);
  for (size_t n = 12; n < next.len; n += 3)
    check_pair (&f, &t, &own,
                (struct zp_str){ .ptr = whole.ptr, .len = whole.len - 3 },
                (struct zp_str){ .ptr = next.ptr, .len = n },
                "to close and cut other", n);
  report ("to close and cut other", &t);
  close_fixture (&f);
}

/* Guards against sound answers that are lost because a field quotes a status
   line, or a field of a proxy stands twice.  */
static void
test_sound_heads (void)
{
  static const char *const lines[]
      = { "X-Upstream: HTTP/1.1 200 OK\r\n",
          "Content-Type: a\r\nContent-Type: a\r\n", "Date: b\r\n",
          "Content-Length: 30\r\n", "Retry-After: 1\r\nRetry-After: 1\r\n" };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < 5; i++)
    {
      struct tally t = { .cases = 0 };
      struct zp_buf whole = { .ptr = NULL };
      struct reply own = firsts[0];
      own.after = lines[i];
      render (&own, &whole);
      check_pair (&f, &t, &own, zp_str_of (&whole), ZP_STR (""), "head", i);
      report (lines[i], &t);
      zp_buf_free (&whole);
    }
  close_fixture (&f);
}

static const struct zp_test tests[] = {
  { "body and spoiled status line", test_body_and_spoiled_status_line },
  { "length and close", test_length_and_close },
  { "to close and cut other", test_to_close_and_cut_other },
  { "sound heads", test_sound_heads },
};

TEST_MAIN ("forward-splices-review3", tests)
