#include "harness.h"

#include <stdlib.h>

#include "front/server.h"

#include "ctl/client.h"

/* A stand-in for a control daemon: it gives the same answer to every request
   and then, after ANSWERS of them, 200.  */
struct daemon
{
  struct tk_task task;
  struct fr_server *server;
  char address[ZP_ADDRESS_MAX];
  unsigned status;
  unsigned answers;
  const char *location; /* address of another daemon */
  unsigned requests;
  char last[200]; /* method, target and body of the last request */
};

static void
on_message (void *self, struct tk_msg *m)
{
  struct daemon *d = self;

  if (m->kind == TK_HTTP_REQUEST)
    {
      const struct tk_http_request *r = &m->u.request;
      struct tk_msg *a = tk_msg_new (TK_HTTP_ANSWER);
      snprintf (d->last, sizeof d->last, "%.*s %.*s?%.*s %.*s",
                ZP_ARG (zp_str_of (&r->method)), ZP_ARG (zp_str_of (&r->path)),
                ZP_ARG (zp_str_of (&r->query)), ZP_ARG (zp_str_of (&r->body)));
      a->u.answer.id = r->id;
      a->u.answer.status = d->requests++ < d->answers ? d->status : 200;
      if (a->u.answer.status == 307)
        zp_buf_printf (&a->u.answer.location, "http://%s%.*s?%.*s",
                       d->location, ZP_ARG (zp_str_of (&r->path)),
                       ZP_ARG (zp_str_of (&r->query)));
      zp_buf_printf (&a->u.answer.body, "from %s", d->address);
      tk_send (fr_server_task (d->server), a);
    }
  tk_msg_free (m);
}

static void
daemon_open (struct daemon *d, struct tk_loop *l, unsigned port)
{
  struct zp_err err = { .text = "" };

  zp_str_copy (d->address, sizeof d->address,
               zp_str_from (test_address (port)));
  tk_task_init (&d->task, l, on_message, d);
  d->server = fr_server_open (l, zp_str_from (d->address), &d->task, &err);
  if (!d->server)
    printf ("%s\n", err.text);
  CU_ASSERT_PTR_NOT_NULL_FATAL (d->server);
}

struct world
{
  struct tk_loop loop;
  struct daemon a, b;
};

static void
world_open (struct world *w)
{
  *w = (struct world){ .a = { .status = 200 }, .b = { .status = 200 } };
  tk_loop_init (&w->loop);
  daemon_open (&w->a, &w->loop, 8301);
  daemon_open (&w->b, &w->loop, 8302);
}

static void
world_close (struct world *w)
{
  tk_loop_stop (&w->loop);
  tk_loop_join (&w->loop);
  fr_server_close (w->a.server);
  fr_server_close (w->b.server);
  tk_task_free (&w->a.task);
  tk_task_free (&w->b.task);
  tk_loop_free (&w->loop);
}

/* Sends one request to SERVERS and checks who answered; the loop has to run.
   FROM is empty when nobody can answer.  */
static void
check_answer (const char *first, const char *second, const char *from)
{
  struct zp_str servers[2] = { zp_str_from (first), zp_str_from (second) };
  const struct zc_client c = { .servers = { .item = servers, .len = 2 },
                               .limit = from[0] ? 20 * ZP_SEC : ZP_SEC / 2 };
  const struct zc_request r = { .method = "POST",
                                .target = ZP_STR ("/v1/tickets?x=1"),
                                .body = ZP_STR ("{\"t\":1}") };
  struct zc_answer a = { .status = 0 };
  struct zp_err err = { .text = "" };
  bool ok = zc_send (&c, &r, &a, &err);

  CU_ASSERT_EQUAL (ok, from[0] != '\0');
  if (ok)
    {
      CU_ASSERT_EQUAL (a.status, 200);
      CU_ASSERT (a.body.ptr && HAS_TEXT (a.body.ptr, from));
    }
  else
    CU_ASSERT_EQUAL (err.code, ZP_EUNAVAIL);
  zp_buf_free (&a.body);
}

static void
test_next_server (void)
{
  struct world w;

  world_open (&w);
  tk_loop_start (&w.loop);
  check_answer (test_address (8399), w.b.address, w.b.address);
  world_close (&w);
  CU_ASSERT_EQUAL (w.a.requests, 0);
}

/* Guards against a redirect that turns POST into GET or drops the body.  */
static void
test_redirect (void)
{
  struct world w;

  world_open (&w);
  w.a.status = 307;
  w.a.answers = 1;
  w.a.location = w.b.address;
  tk_loop_start (&w.loop);
  check_answer (w.a.address, test_address (8399), w.b.address);
  world_close (&w);
  CU_ASSERT_STRING_EQUAL (w.b.last, "POST /v1/tickets?x=1 {\"t\":1}");
}

/* A redirect to a leader that has just died.  */
static void
test_redirect_to_a_dead_leader (void)
{
  struct world w;

  world_open (&w);
  w.a.status = 307;
  w.a.answers = 1;
  w.a.location = test_address (8399);
  tk_loop_start (&w.loop);
  check_answer (w.a.address, w.b.address, w.b.address);
  world_close (&w);
}

static void
test_waits_for_a_leader (void)
{
  struct world w;

  world_open (&w);
  w.a.status = w.b.status = 503;
  w.a.answers = 2;
  w.b.answers = 1;
  tk_loop_start (&w.loop);
  check_answer (w.a.address, w.b.address, w.b.address);
  world_close (&w);
  CU_ASSERT_EQUAL (w.a.requests, 2);
  CU_ASSERT_EQUAL (w.b.requests, 2);
}

static void
test_nobody_answers (void)
{
  check_answer (test_address (8398), test_address (8399), "");
}

static const struct zp_test tests[] = {
  { "the next server is tried", test_next_server },
  { "a redirect keeps method and body", test_redirect },
  { "a redirect to a dead leader", test_redirect_to_a_dead_leader },
  { "waits for a leader", test_waits_for_a_leader },
  { "nobody answers", test_nobody_answers },
};

TEST_MAIN ("ctl", tests)
