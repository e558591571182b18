/* Review of incident 38: answers that could still be read from two, and sound
   answers that could be lost.  */

#include "guard.h"
#include "harness.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "forward/client.h"
#include "wire/address.h"

#define PORT 19293
#define REQUEST_TIMEOUT (60 * ZP_SEC)
#define PART_PAUSE (2 * ZP_MS)
#define PARTS_MAX 4

/* Microseconds that a send of the client takes, as of a process that is not
   scheduled.  */
static _Atomic unsigned send_delay_us;

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

static void
report (const char *what, const struct tally *t)
{
  printf ("\n%s: %u cases, %u delivered, %u lost, %u wrong ", what, t->cases,
          t->delivered, t->lost, t->wrong);
  CU_ASSERT (t->cases > 0);
  CU_ASSERT_EQUAL (t->wrong, 0);
}

ssize_t
send (int fd, const void *bytes, size_t n, int flags)
{
  ssize_t sent = sendto (fd, bytes, n, flags, NULL, 0);

  if (send_delay_us > 0)
    usleep (send_delay_us);
  return sent;
}

/* A server in a thread of its own.  */
struct remote
{
  int listener;
  char address[ZP_ADDRESS_MAX];
  pthread_t thread;
  struct zp_buf answer[3]; /* to r1, r2 and r3 */
};

static void *
serve (void *self)
{
  struct remote *r = self;
  char request[2048];
  ssize_t n;
  int fd;

  while ((fd = accept (r->listener, NULL, NULL)) >= 0)
    {
      while ((n = recv (fd, request, sizeof request - 1, 0)) > 0)
        {
          request[n] = '\0';
          const struct zp_buf *b
              = &r->answer[HAS_TEXT (request, "Request-Id: r2")   ? 1
                           : HAS_TEXT (request, "Request-Id: r3") ? 2
                                                                  : 0];
          sendto (fd, b->ptr, b->len, MSG_NOSIGNAL, NULL, 0);
        }
      close (fd);
    }
  return NULL;
}

static void
open_remote (struct remote *r)
{
  struct sockaddr_storage sa;
  socklen_t len;
  int one = 1;

  *r = (struct remote){ .listener = -1 };
  snprintf (r->address, sizeof r->address, "%s", test_address (PORT + 1));
  CU_ASSERT_FATAL (
      wi_address_parse (zp_str_from (r->address), &sa, &len, NULL));
  r->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (r->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  CU_ASSERT_FATAL (bind (r->listener, (struct sockaddr *) &sa, len) == 0);
  CU_ASSERT_FATAL (listen (r->listener, 16) == 0);
  CU_ASSERT_FATAL (pthread_create (&r->thread, NULL, serve, r) == 0);
}

static void
close_remote (struct remote *r)
{
  shutdown (r->listener, SHUT_RDWR);
  pthread_join (r->thread, NULL);
  close (r->listener);
  for (size_t i = 0; i < 3; i++)
    zp_buf_free (&r->answer[i]);
}

static void
check_early_answers (const char *what, const char *framing, unsigned delay_us,
                     unsigned rounds)
{
  struct tally t = { .cases = 0 };
  struct zp_buf first = { .ptr = NULL }, next = { .ptr = NULL };
  struct fixture f;
  struct remote r;

  open_fixture (&f);
  open_remote (&r);
  snprintf (f.address, sizeof f.address, "%s", r.address);
  struct reply own = firsts[0], other = firsts[0];
  own.id = other.id = "r2";
  own.framing = framing;
  other.status = "500 Internal Server Error";
  render (&own, &first);
  render (&other, &next);
  render (&firsts[2], &r.answer[0]);
  for (unsigned i = 0; i < rounds; i++)
    {
      size_t missing = i % 30 + 1;
      zp_buf_clear (&r.answer[1]);
      zp_buf_put_bytes (&r.answer[1], first.ptr, first.len - missing);
      zp_buf_put (&r.answer[1], zp_str_of (&next));
      f.client = fw_client_open_with (&f.loop, &f.task, &strict);
      tk_msg_free (exchange (&f, "r1"));
      send_delay_us = delay_us;
      struct tk_msg *m = exchange (&f, "r2");
      send_delay_us = 0;
      CU_ASSERT (m->u.done.reused);
      count (&t, m, &own, &other, what, missing);
      tk_msg_free (m);
      fw_client_close (f.client);
    }
  report (what, &t);
  zp_buf_free (&first);
  zp_buf_free (&next);
  close_remote (&r);
  close_fixture (&f);
}

/* Guards against a body that is completed by another answer, when the answer
   comes before the send of the request returns: libcurl reads it before it
   has told the number of the connection that is used again.  */
static void
test_answer_before_send_returns (void)
{
  check_early_answers ("send takes 5 ms", "Content-Length: 30\r\n", 5000, 30);
  check_early_answers ("send takes 5 ms, close",
                       "Content-Length: 30\r\nConnection: close\r\n", 5000,
                       30);
}

/* The same without a delay; the scheduler decides.  */
static void
test_answers_of_a_thread (void)
{
  check_early_answers ("send is not delayed", "Content-Length: 30\r\n", 0,
                       20000);
}

/* Guards against whole answers that are not counted as read, so that the next
   one on the connection has a surplus and is lost.  */
static void
test_sound_after_early_answer (void)
{
  struct tally t = { .cases = 0 };
  struct fixture f;
  struct remote r;

  open_fixture (&f);
  open_remote (&r);
  snprintf (f.address, sizeof f.address, "%s", r.address);
  struct reply sound
      = { "200 OK", FIELDS,  REST, "r3", "s3", "Content-Length: 5\r\n",
          "TEETH",  "TEETH", false };
  render (&firsts[2], &r.answer[0]);
  render (&seconds[0], &r.answer[1]);
  render (&sound, &r.answer[2]);
  for (int i = 0; i < 5; i++)
    {
      f.client = fw_client_open_with (&f.loop, &f.task, &strict);
      tk_msg_free (exchange (&f, "r1"));
      send_delay_us = 40000;
      tk_msg_free (exchange (&f, "r2"));
      send_delay_us = 0;
      struct tk_msg *m = exchange (&f, "r3");
      count (&t, m, &sound, NULL, "sound after early answer", 0);
      tk_msg_free (m);
      fw_client_close (f.client);
    }
  report ("sound after early answer", &t);
  CU_ASSERT_EQUAL (t.lost, 0);
  close_remote (&r);
  close_fixture (&f);
}

/* One request r1 on a connection of its own; the server sends A and then B with
   a pause between, and closes.  */
static struct tk_msg *
one_exchange (struct fixture *f, const struct fr_header_names *names,
              struct zp_str a, struct zp_str b)
{
  f->script[0].parts = 0;
  f->script[0].closes = true;
  zp_buf_put (add_part (&f->script[0]), a);
  if (b.len > 0)
    zp_buf_put (add_part (&f->script[0]), b);
  f->client = fw_client_open_with (&f->loop, &f->task, names);
  struct tk_msg *m = exchange (f, "r1");
  fw_client_close (f->client);
  return m;
}

/* Guards against a body that is completed exactly by the begin of another
   answer, which breaks off as well, or whose rest comes later.  */
static void
test_exact_completion (void)
{
  struct tally t = { .cases = 0 };
  struct zp_buf whole = { .ptr = NULL }, part = { .ptr = NULL };
  struct fixture f;

  open_fixture (&f);
  for (int late = 0; late < 2; late++)
    for (size_t m = 1; m <= 30; m++)
      {
        render (&firsts[0], &whole);
        zp_buf_clear (&part);
        zp_buf_put_bytes (&part, whole.ptr, whole.len - m);
        zp_buf_put_bytes (&part, whole.ptr, m);
        struct tk_msg *d
            = one_exchange (&f, &strict, zp_str_of (&part),
                            late ? (struct zp_str){ .ptr = whole.ptr + m,
                                                    .len = whole.len - m }
                                 : ZP_STR (""));
        count (&t, d, &firsts[0], NULL,
               late ? "rest of the other later" : "both cut", m);
        tk_msg_free (d);
      }
  report ("exact completion", &t);
  close_fixture (&f);
}

/* Guards against a head that is read from two answers, with one byte of the
   second status line changed.  */
static void
test_spoiled_status_line (void)
{
  struct zp_buf whole = { .ptr = NULL }, next = { .ptr = NULL };
  struct fixture f;

  open_fixture (&f);
  for (size_t at = 0; at < 12; at++)
    {
      struct tally t = { .cases = 0 };
      char what[64];
      render (&firsts[0], &whole);
      render (&seconds[0], &next);
      next.ptr[at] ^= 1;
      for (size_t n = 1; n < whole.len; n++)
        {
          f.script[0].parts = f.script[1].parts = 0;
          f.script[1].closes = true;
          zp_buf_put (add_part (&f.script[0]), zp_str_of (&whole));
          struct zp_buf *p = add_part (&f.script[1]);
          zp_buf_put_bytes (p, whole.ptr, n);
          zp_buf_put (p, zp_str_of (&next));
          f.client = fw_client_open_with (&f.loop, &f.task, &strict);
          tk_msg_free (exchange (&f, "r1"));
          struct tk_msg *m = exchange (&f, "r2");
          count (&t, m, &seconds[0], NULL, "spoiled status line", n);
          tk_msg_free (m);
          fw_client_close (f.client);
        }
      snprintf (what, sizeof what, "byte %zu of the second status line", at);
      report (what, &t);
    }
  close_fixture (&f);
}

/* Guards against sound answers that are lost because their body quotes an
   answer.  */
static void
test_sound_quotes (void)
{
  static const char *const bodies[]
      = { "see:\nHTTP/1.1 200 OK\r\nServer: x\r\n\r\nend",
          "see:\nHTTP/1.1 200 OK\r\nServer: x\r\nRequest-Id: q\r\n\r\nend",
          "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: q" };
  struct fixture f;
  struct fr_header_names loose = strict;
  char length[64];

  loose.answers_have_id = false;
  open_fixture (&f);
  for (size_t i = 0; i < 3; i++)
    for (int k = 0; k < 3; k++)
      {
        struct tally t = { .cases = 0 };
        struct zp_buf b = { .ptr = NULL };
        char what[64];
        const struct reply r = { "200 OK", FIELDS,    REST,      "r1", "s1",
                                 length,   bodies[i], bodies[i], false };
        snprintf (length, sizeof length, "Content-Length: %zu\r\n",
                  strlen (bodies[i]));
        render (&r, &b);
        if (k > 0)
          {
            char *id = strstr (b.ptr, "Request-Id: r1");
            memcpy (id, "Xequest-Xd", 10);
          }
        struct tk_msg *m = one_exchange (&f, k > 1 ? &loose : &strict,
                                         zp_str_of (&b), ZP_STR (""));
        count (&t, m, &r, NULL, "quote", i);
        tk_msg_free (m);
        snprintf (what, sizeof what, "quote %zu, %s", i,
                  k == 0   ? "with id"
                  : k == 1 ? "without id"
                           : "without id, native names");
        report (what, &t);
        CU_ASSERT_EQUAL (t.lost, 0);
        zp_buf_free (&b);
      }
  close_fixture (&f);
}

static const struct zp_test tests[] = {
  { "answer before send returns", test_answer_before_send_returns },
  { "answers of a thread", test_answers_of_a_thread },
  { "sound after early answer", test_sound_after_early_answer },
  { "exact completion", test_exact_completion },
  { "sound quotes", test_sound_quotes },
  { "spoiled status line", test_spoiled_status_line },
};

TEST_MAIN ("forward-splices-review", tests)
