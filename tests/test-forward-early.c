/* Answers that a server sends before it has read a long body.  The server keeps
   the connection and reads on later.  */

#include "forward-fixture.h"

#define BODY ((size_t) 8 * 1000 * 1000)
#define CONNECTIONS_MAX 4

/* When the server reads the rest of the body.  */
enum reads_on
{
  AT_ONCE,
  AFTER_NEXT, /* when the next request has been answered or has failed */
};

struct early_case
{
  const char *status; /* of the answer to the long request */
  const char *framing;
  size_t read; /* bytes before the answer */
  enum reads_on reads_on;
};

struct connection
{
  struct early_server *server;
  ev_io reading;
  struct zp_buf in;
  bool answered, pauses;
};

struct early_server
{
  const struct early_case *test;
  ev_io accepting;
  struct connection conn[CONNECTIONS_MAX];
  size_t conns;
};

static void
send_answer (int fd, const char *status, const char *framing, const char *id)
{
  struct zp_buf out = { .ptr = NULL };

  zp_buf_printf (&out, "HTTP/1.1 %s\r\nRequest-Id: %s\r\nStamp: s\r\n%s",
                 status, id, framing);
  CU_ASSERT (send (fd, out.ptr, out.len, MSG_NOSIGNAL) > 0);
  zp_buf_free (&out);
}

static void
on_bytes (struct ev_loop *ev, ev_io *w, int events)
{
  struct connection *c = w->data;
  const struct early_case *t = c->server->test;
  char bytes[65536];
  ssize_t n = recv (w->fd, bytes, sizeof bytes, 0);

  (void) events;
  if (n <= 0)
    {
      ev_io_stop (ev, w);
      return;
    }
  zp_buf_put_bytes (&c->in, bytes, (size_t) n);
  if (memmem (bytes, (size_t) n, "GET /x ", 7))
    {
      c->answered = true;
      send_answer (w->fd, "200 OK", "Content-Length: 2\r\n\r\nok", "r2");
    }
  else if (!c->answered && c->in.len >= t->read)
    {
      c->answered = true;
      send_answer (w->fd, t->status, t->framing, "r1");
      c->pauses = t->reads_on == AFTER_NEXT;
      if (c->pauses)
        ev_io_stop (ev, w);
    }
}

static void
on_connection (struct ev_loop *ev, ev_io *w, int events)
{
  struct early_server *s = w->data;
  struct connection *c = &s->conn[s->conns++];

  (void) events;
  CU_ASSERT_FATAL (s->conns <= CONNECTIONS_MAX);
  c->server = s;
  ev_io_init (&c->reading, on_bytes, accept (w->fd, NULL, NULL), EV_READ);
  c->reading.data = c;
  ev_io_start (ev, &c->reading);
}

static void
forward (struct fixture *f, const char *method, const char *id, size_t body)
{
  struct tk_msg *m = tk_msg_new (TK_FORWARD);

  if (f->done)
    tk_msg_free (f->done);
  f->done = NULL;
  m->u.forward.id = ++f->last_id;
  snprintf (m->u.forward.address, sizeof m->u.forward.address, "%s",
            f->address);
  zp_buf_put (&m->u.forward.method, zp_str_from (method));
  zp_buf_put (&m->u.forward.target, ZP_STR ("/x"));
  for (size_t i = 0; i < body; i += 8)
    zp_buf_put (&m->u.forward.body, ZP_STR ("bbbbbbbb"));
  zp_buf_put (&m->u.forward.request_id, zp_str_from (id));
  m->u.forward.deadline = zp_clock_mono () + ZP_SEC;
  tk_send (fw_client_task (f->client), m);
  ev_run (f->loop.ev, 0);
  CU_ASSERT_FATAL (f->done != NULL);
}

/* Reads what is left on every connection.  */
static void
read_rest (struct early_server *s, struct fixture *f)
{
  char bytes[65536];

  for (int i = 0; i < 20; i++)
    {
      for (size_t k = 0; k < s->conns; k++)
        {
          struct connection *c = &s->conn[k];
          ssize_t n;
          while ((n = recv (c->reading.fd, bytes, sizeof bytes, MSG_DONTWAIT))
                 > 0)
            zp_buf_put_bytes (&c->in, bytes, (size_t) n);
        }
      ev_run (f->loop.ev, EVRUN_NOWAIT);
      usleep (1000);
    }
}

/* Whether C has brought the long request, broken off or whole, and only behind
   a whole one the next.  */
static bool
is_in_order (const struct connection *c)
{
  const char *body = memmem (c->in.ptr, c->in.len, "\r\n\r\n", 4);

  if (!body)
    return false;
  body += 4;
  size_t len = c->in.len - (size_t) (body - c->in.ptr), i = 0;
  while (i < len && body[i] == 'b')
    i++;
  return i == len || (i == BODY && memcmp (body + i, "GET ", 4) == 0);
}

static void
check_case (const struct early_case *t, size_t number)
{
  struct early_server s = { .test = t };
  struct fixture f;

  open_fixture_with (&f, NULL, &strict);
  CU_ASSERT_FATAL (listen (f.server.listener, CONNECTIONS_MAX) == 0);
  ev_io_init (&s.accepting, on_connection, f.server.listener, EV_READ);
  s.accepting.data = &s;
  ev_io_start (f.loop.ev, &s.accepting);
  forward (&f, "POST", "r1", BODY);
  unsigned first = f.done->u.done.status;
  forward (&f, "GET", "r2", 0);
  unsigned second = f.done->u.done.status;
  read_rest (&s, &f);
  for (size_t i = 0; i < s.conns; i++)
    {
      bool in_order = is_in_order (&s.conn[i]);
      if (!in_order || second != 200)
        printf ("case %zu: connection %zu of %zu, %zu bytes, statuses %u %u\n",
                number, i, s.conns, s.conn[i].in.len, first, second);
      CU_ASSERT (in_order);
    }
  CU_ASSERT_EQUAL (second, 200);
  CU_ASSERT_EQUAL (first, (unsigned) atoi (t->status));
  ev_io_stop (f.loop.ev, &s.accepting);
  for (size_t i = 0; i < s.conns; i++)
    {
      ev_io_stop (f.loop.ev, &s.conn[i].reading);
      close (s.conn[i].reading.fd);
      zp_buf_free (&s.conn[i].in);
    }
  close_fixture (&f);
}

/* Guards against a request that is sent where the rest of the body of the
   request before is due, which the server takes for that body, and against the
   early answer that is lost because the server does not read on.  */
static void
test_next_request (void)
{
  static const char *const statuses[]
      = { "200 OK", "404 Not Found", "413 Content Too Large",
          "503 Service Unavailable" };
  static const char *const framings[]
      = { "Content-Length: 2\r\n\r\nok", "Content-Length: 0\r\n\r\n",
          "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" };
  static const size_t reads[] = { 1, 100000, BODY / 2 };

  for (size_t i = 0; i < 4; i++)
    for (size_t k = 0; k < 3; k++)
      for (size_t n = 0; n < 3; n++)
        for (int r = AT_ONCE; r <= AFTER_NEXT; r++)
          {
            const struct early_case t = { .status = statuses[i],
                                          .framing = framings[k],
                                          .read = reads[n],
                                          .reads_on = (enum reads_on) r };
            check_case (&t, ((i * 3 + k) * 3 + n) * 2 + (size_t) r);
          }
}

static const struct zp_test tests[]
    = { { "the request after an early answer", test_next_request } };

TEST_MAIN ("forward-early", tests)
