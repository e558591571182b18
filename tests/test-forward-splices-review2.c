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

#define PORT 19296
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

/* The request ID with METHOD.  */
static struct tk_msg *
ask (struct fixture *f, const char *id, const char *method)
{
  struct tk_msg *m = tk_msg_new (TK_FORWARD);

  f->done = NULL;
  m->u.forward.id = ++f->last_id;
  snprintf (m->u.forward.address, sizeof m->u.forward.address, "%s",
            f->address);
  zp_buf_put (&m->u.forward.method, zp_str_from (method));
  zp_buf_put (&m->u.forward.target, ZP_STR ("/x"));
  zp_buf_put (&m->u.forward.request_id, zp_str_from (id));
  m->u.forward.deadline = zp_clock_mono () + 5 * ZP_SEC;
  tk_send (fw_client_task (f->client), m);
  while (!f->done && !f->guard.fired)
    ev_run (f->loop.ev, EVRUN_ONCE);
  CU_ASSERT_FATAL (f->done != NULL);
  return f->done;
}

#define HEAD_R2 "Request-Id: r2\r\nStamp: s2\r\n"
#define OK_R2 "HTTP/1.1 200 OK\r\n" HEAD_R2

static void
put_chunks (struct zp_buf *b, size_t total, size_t chunk)
{
  static char piece[70000];

  memset (piece, 'H', sizeof piece);
  for (size_t n; total > 0; total -= n)
    {
      n = total < chunk ? total : chunk;
      zp_buf_printf (b, "%zx;e=1\r\n%.*s\r\n", n, (int) n, piece);
    }
}

static void
put_body (struct zp_buf *b, size_t n)
{
  static const char text[] = "abcdefghijklmnopqrstuvwxyz0123456789HTTP";

  for (; n >= sizeof text - 1; n -= sizeof text - 1)
    zp_buf_put_bytes (b, text, sizeof text - 1);
  zp_buf_put_bytes (b, text, n);
}

/* The answer N to r2; returns the method, and the length of its body.  */
static const char *
put_answer (struct zp_buf *b, int n, size_t *len)
{
  static const struct
  {
    const char *head;
    size_t total, chunk;
    const char *end;
  } chunked[] = { { "", 8 << 20, 5000, "0\r\nX-T: a\r\nX-U: b\r\n\r\n" },
                  { "", 300, 1, "0\r\n\r\n" },
                  { "", 0, 1, "0\r\n\r\n" },
                  { "", 65536, 4089, "0;last\r\nX-T: a\r\n\r\n" },
                  { "", 66000, 66000, "00000\r\n\r\n" } };
  static const struct
  {
    const char *text, *method;
    size_t len;
  } plain[]
      = { { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: "
            "a\r\n\r\n" OK_R2 "Content-Length: 3\r\n\r\nabc",
            "GET", 3 },
          { OK_R2 "Content-Length: 300\r\n\r\n", "HEAD", 0 },
          { "HTTP/1.1 204 No Content\r\n" HEAD_R2 "\r\n", "GET", 0 },
          { "HTTP/1.1 304 Not Modified\r\n" HEAD_R2
            "Content-Length: 7\r\n\r\n",
            "GET", 0 } };

  if (n < 5)
    {
      zp_buf_printf (b, OK_R2 CHUNKED "\r\n");
      put_chunks (b, *len = chunked[n].total, chunked[n].chunk);
      zp_buf_printf (b, "%s", chunked[n].end);
      return "GET";
    }
  if (n == 5)
    {
      zp_buf_printf (b, OK_R2 "Content-Length: %d\r\n\r\n", 8 << 20);
      put_body (b, *len = 8 << 20);
      return "GET";
    }
  zp_buf_printf (b, "%s", plain[n - 6].text);
  *len = plain[n - 6].len;
  return plain[n - 6].method;
}

/* Guards against bytes of answers that are counted wrongly for their
   connection: a sound answer that follows is lost, or a body that is completed
   is passed on.  */
static void
test_count_of_connection (void)
{
  struct fixture f;
  struct remote r;
  struct reply sound
      = { "200 OK", FIELDS,  REST, "r3", "s3", "Content-Length: 5\r\n",
          "TEETH",  "TEETH", false };
  struct reply other = sound;

  other.status = "500 Internal Server Error";
  open_fixture (&f);
  open_remote (&r);
  snprintf (f.address, sizeof f.address, "%s", r.address);
  render (&firsts[2], &r.answer[0]);
  for (int n = 0; n < 10; n++)
    for (int spliced = 0; spliced < 2; spliced++)
      {
        struct tally t = { .cases = 0 };
        struct zp_buf b = { .ptr = NULL };
        size_t len;
        zp_buf_clear (&r.answer[1]);
        const char *method = put_answer (&r.answer[1], n, &len);
        render (&sound, &r.answer[2]);
        if (spliced)
          {
            r.answer[2].len -= 3;
            render (&other, &b);
            zp_buf_put (&r.answer[2], zp_str_of (&b));
          }
        f.client = fw_client_open_with (&f.loop, &f.task, &strict);
        tk_msg_free (ask (&f, "r1", "GET"));
        struct tk_msg *m = ask (&f, "r2", method);
        if (m->u.done.end != TK_END_ANSWER || m->u.done.body.len != len)
          printf ("\nanswer %d: end %d, %zu of %zu bytes", n, m->u.done.end,
                  m->u.done.body.len, len);
        CU_ASSERT_EQUAL (m->u.done.end, TK_END_ANSWER);
        CU_ASSERT_EQUAL (m->u.done.body.len, len);
        tk_msg_free (m);
        m = ask (&f, "r3", "GET");
        count (&t, m, &sound, &other, spliced ? "spliced" : "sound",
               (size_t) n);
        if (!m->u.done.reused || t.lost != (unsigned) spliced)
          printf ("\nanswer %d, spliced %d: reused %d, lost %u, wrong %u", n,
                  spliced, m->u.done.reused, t.lost, t.wrong);
        CU_ASSERT (m->u.done.reused);
        CU_ASSERT_EQUAL (t.wrong, 0);
        CU_ASSERT_EQUAL (t.lost, (unsigned) spliced);
        tk_msg_free (m);
        fw_client_close (f.client);
        zp_buf_free (&b);
      }
  close_remote (&r);
  close_fixture (&f);
}

/* Guards against long bodies that are completed by another answer.  */
static void
test_long_bodies_completed (void)
{
  static const size_t sizes[] = { 3000, 4096, 65536, 1 << 20, 8 << 20 };
  unsigned all = 0, all_wrong = 0;
  struct fixture f;
  struct remote r;

  open_fixture (&f);
  open_remote (&r);
  snprintf (f.address, sizeof f.address, "%s", r.address);
  render (&firsts[2], &r.answer[0]);
  for (size_t i = 0; i < 5; i++)
    for (size_t k = 0; k < 5; k++)
      for (int chunked = 0; chunked < 2; chunked++)
        {
          unsigned wrong = 0, cases = 0;
          struct zp_buf first = { .ptr = NULL }, next = { .ptr = NULL };
          if (chunked)
            zp_buf_printf (&first, OK_R2 CHUNKED "\r\n%zx\r\n", sizes[i]);
          else
            zp_buf_printf (&first, OK_R2 "Content-Length: %zu\r\n\r\n",
                           sizes[i]);
          put_body (&first, sizes[i]);
          zp_buf_printf (&first, "%s", chunked ? "\r\n0\r\n\r\n" : "");
          zp_buf_printf (&next,
                         "HTTP/1.1 500 ISE\r\n" HEAD_R2
                         "Content-Length: %zu\r\n\r\n",
                         sizes[k]);
          put_body (&next, sizes[k]);
          for (size_t missing = 1; missing < sizes[i] && missing < next.len;
               missing = missing * 5 / 2 + 2)
            {
              zp_buf_clear (&r.answer[1]);
              zp_buf_put_bytes (&r.answer[1], first.ptr, first.len - missing);
              zp_buf_put (&r.answer[1], zp_str_of (&next));
              f.client = fw_client_open_with (&f.loop, &f.task, &strict);
              if (missing & 1)
                tk_msg_free (ask (&f, "r1", "GET"));
              struct tk_msg *m = ask (&f, "r2", "GET");
              cases++;
              if (m->u.done.end == TK_END_ANSWER && wrong++ < 3)
                printf ("\nfirst %zu, next %zu, chunked %d, missing %zu",
                        sizes[i], sizes[k], chunked, missing);
              tk_msg_free (m);
              fw_client_close (f.client);
            }
          if (wrong > 0)
            printf (": %u of %u wrong", wrong, cases);
          CU_ASSERT_EQUAL (wrong, 0);
          all += cases;
          all_wrong += wrong;
          zp_buf_free (&first);
          zp_buf_free (&next);
        }
  printf ("\nlong bodies: %u cases, %u wrong ", all, all_wrong);
  close_remote (&r);
  close_fixture (&f);
}

/* Guards against heads that are read from several answers: two copies that are
   cut, and interim answers that are cut.  */
static void
test_more_heads (void)
{
  static const char *const parts[] = {
    "HTTP/1.1 200 OK\r\nDate: x\r\nRequest-Id: r1\r\nStamp: s1\r\n"
    "Content-Length: 0\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 200 OK\r\n"
    "Date: x\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nDate: x\r\nRequest-Id: r1\r\n\r\n",
    "HTTP/1.0 200 OK\r\nConnection: close\r\nRequest-Id: r1\r\n\r\nabc"
  };
  struct tally t = { .cases = 0 };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < 4; i++)
    for (size_t k = 0; k < 4; k++)
      for (size_t n = 1; n < strlen (parts[i]); n++)
        for (size_t o = 0; o < strlen (parts[k]); o += k == i ? 5 : 13)
          {
            struct zp_buf next = { .ptr = NULL };
            f.script[0].parts = f.script[1].parts = 0;
            f.script[1].closes = true;
            render (&firsts[2], add_part (&f.script[0]));
            struct zp_buf *p = add_part (&f.script[1]);
            zp_buf_put_bytes (p, parts[i], n);
            zp_buf_put_bytes (p, parts[k], o);
            render (&seconds[0], &next);
            zp_buf_put (p, zp_str_of (&next));
            f.client = fw_client_open_with (&f.loop, &f.task, &strict);
            tk_msg_free (exchange (&f, "r1"));
            struct tk_msg *m = exchange (&f, "r2");
            count (&t, m, &seconds[0], NULL, "more heads", n * 1000 + o);
            tk_msg_free (m);
            fw_client_close (f.client);
            zp_buf_free (&next);
          }
  report ("more heads", &t);
  close_fixture (&f);
}

static const struct zp_test tests[] = {
  { "count of connection", test_count_of_connection },
  { "long bodies completed", test_long_bodies_completed },
  { "more heads", test_more_heads },
};

TEST_MAIN ("forward-splices-review2", tests)
