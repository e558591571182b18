/* NAME
     router-fake - a router connected to fake front, forward, peer and follow
     tasks

   DESCRIPTION
     The fake tasks store the messages that the router sends and do not answer
     them: the tests send the answers.  There are two services: board
     (idempotent) and booking (at most once).  Each has two backend servers
     with two slots, which announce to the router every 0.5 s.  */

#ifndef ZP_TESTS_ROUTER_FAKE_H
#define ZP_TESTS_ROUTER_FAKE_H

#include <stdlib.h>

#include "harness.h"

#include "entry/request.h"

/* Most messages that a fake task stores.  */
#define FAKE_MESSAGES 256

/* A task that stores the messages it receives.  */
struct fake
{
  struct tk_task task;
  struct tk_msg *msg[FAKE_MESSAGES];
  size_t len;
};

struct fixture
{
  struct tk_loop loop;
  struct en_settings settings;
  struct en_router *router;
  struct fake front, forward, peers, follower;
  uint64_t next_http;
  ev_timer timeout, announcer;
  bool timed_out;   /* the test took more than 60 s */
  bool no_announce; /* set: the servers stop announcing */
  zp_time opened;
};

static inline void
fake_store (void *self, struct tk_msg *m)
{
  struct fake *f = self;

  CU_ASSERT_FATAL (f->len < FAKE_MESSAGES);
  f->msg[f->len++] = m;
}

static inline void
fake_clear (struct fake *f)
{
  for (size_t i = 0; i < f->len; i++)
    tk_msg_free (f->msg[i]);
  f->len = 0;
}

static inline void
on_fixture_timeout (struct ev_loop *ev, ev_timer *w, int events)
{
  struct fixture *f = w->data;

  (void) ev;
  (void) events;
  f->timed_out = true;
}

/* A request of a caller, with a new exchange id and a deadline in 2 s.  */
static inline struct tk_msg *
fixture_http (struct fixture *f, const char *method, const char *path,
              const char *body)
{
  struct tk_msg *m = tk_msg_new (TK_HTTP_REQUEST);
  struct tk_http_request *r = &m->u.request;

  f->next_http++;
  r->id = f->next_http << 32 | f->next_http % 64;
  r->deadline = zp_clock_mono () + 2 * ZP_SEC;
  zp_buf_put (&r->method, zp_str_from (method));
  zp_buf_put (&r->path, zp_str_from (path));
  zp_buf_put (&r->body, zp_str_from (body));
  return m;
}

/* Sends M to the router and returns the id of its HTTP exchange.  */
static inline uint64_t
fixture_send (struct fixture *f, struct tk_msg *m)
{
  uint64_t id = m->u.request.id;

  tk_send (&f->router->task, m);
  return id;
}

/* Sends one announcement of each server.  Their processes appear to have
   started 10 minutes before the test.  */
static inline void
on_announce_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  struct fixture *f = w->data;
  static const char *const services[] = { "board", "booking" };
  char body[400];

  (void) ev;
  (void) events;
  if (f->no_announce)
    return;
  for (int s = 0; s < 2; s++)
    for (int i = 0; i < 2; i++)
      {
        snprintf (body, sizeof body,
                  "{\"service\":\"%s\",\"id\":\"%s-%d\",\"address\":"
                  "\"127.0.0.1:%d\",\"slots\":2,\"uptime_ms\":%lld}",
                  services[s], services[s], i, 9000 + s * 10 + i,
                  (long long) ((zp_clock_mono () - f->opened) / ZP_MS)
                      + 600000);
        fixture_send (f, fixture_http (f, "POST", "/v1/announce", body));
      }
}

/* A format for the first configuration.  Its argument is the digest, as an
   int.  */
static const char *const first_change
    = "{\"index\":2,\"time\":1,\"number\":1,\"digest\":\"%064d\",\"set\":{"
      "\"region/west\":{\"latency_ms\":{}},"
      "\"failure_domain/w1\":{\"region\":\"west\",\"entry_networks\":[]},"
      "\"service/board\":{\"class\":\"idempotent\",\"priority\":1,"
      "\"deadline_ms\":2000,\"queue_max\":2},"
      "\"service/booking\":{\"class\":\"once\",\"priority\":0,"
      "\"deadline_ms\":2000,\"queue_max\":2}}}";

static inline void
fixture_configure (struct fixture *f)
{
  struct tk_msg *m = tk_msg_new (TK_CONFIG);

  m->u.config.version = 2;
  m->u.config.number = 1;
  m->u.config.term = 1;
  zp_buf_printf (&m->u.config.bytes, first_change, 0);
  tk_send (&f->router->task, m);
}

static inline void
fixture_step (struct fixture *f)
{
  ev_run (f->loop.ev, EVRUN_ONCE);
}

/* Runs the loop for T.  */
static inline void
fixture_wait (struct fixture *f, zp_time t)
{
  zp_time end = zp_clock_mono () + t;

  while (zp_clock_mono () < end)
    fixture_step (f);
}

/* Whether all four slots of both services can be lent.  */
static inline bool
fixture_ready (struct fixture *f)
{
  zp_time now = zp_clock_mono ();
  unsigned slots;

  return st_lessor_free_slots (&f->router->lessor, ZP_STR ("board"), now,
                               &slots)
             == 4
         && st_lessor_free_slots (&f->router->lessor, ZP_STR ("booking"), now,
                                  &slots)
                == 4;
}

/* Opens the fixture and waits until the slots of the servers can be lent.  */
static inline void
fixture_open (struct fixture *f)
{
  *f = (struct fixture){ .settings = { .id = 1,
                                       .failure_domain = ZP_STR ("w1"),
                                       .region = ZP_STR ("west"),
                                       .http = ZP_STR ("127.0.0.1:1") } };
  tk_loop_init (&f->loop);
  f->opened = zp_clock_mono ();
  f->router = en_router_open (&f->loop, &f->settings, 100);
  struct fake *all[] = { &f->front, &f->forward, &f->peers, &f->follower };
  struct tk_task **at[] = { &f->router->front, &f->router->forward,
                            &f->router->peers, &f->router->follower };
  for (int i = 0; i < 4; i++)
    {
      tk_task_init (&all[i]->task, &f->loop, fake_store, all[i]);
      *at[i] = &all[i]->task;
    }
  ev_timer_init (&f->timeout, on_fixture_timeout, 60.0, 0.0);
  f->timeout.data = f;
  ev_timer_start (f->loop.ev, &f->timeout);
  ev_timer_init (&f->announcer, on_announce_timer, 0.0, 0.5);
  f->announcer.data = f;
  ev_timer_start (f->loop.ev, &f->announcer);
  fixture_configure (f);
  while (!f->timed_out && !fixture_ready (f))
    fixture_step (f);
  fake_clear (&f->front);
  fake_clear (&f->peers);
}

static inline void
fixture_close (struct fixture *f)
{
  struct fake *all[] = { &f->front, &f->forward, &f->peers, &f->follower };

  CU_ASSERT (!f->timed_out);
  ev_timer_stop (f->loop.ev, &f->timeout);
  ev_timer_stop (f->loop.ev, &f->announcer);
  en_router_close (f->router);
  for (int i = 0; i < 4; i++)
    {
      fake_clear (all[i]);
      tk_task_free (&all[i]->task);
    }
  tk_loop_free (&f->loop);
}

/* Waits for the answer to exchange ID; NULL after a timeout.  */
static inline const struct tk_http_answer *
fixture_answer (struct fixture *f, uint64_t id)
{
  while (!f->timed_out)
    {
      for (size_t i = 0; i < f->front.len; i++)
        if (f->front.msg[i]->kind == TK_HTTP_ANSWER
            && f->front.msg[i]->u.answer.id == id)
          return &f->front.msg[i]->u.answer;
      fixture_step (f);
    }
  return NULL;
}

/* Waits until N messages have reached the forward task and returns the Nth;
   NULL after a timeout.  */
static inline struct tk_msg *
fixture_forward (struct fixture *f, size_t n)
{
  while (!f->timed_out && f->forward.len < n)
    fixture_step (f);
  return f->forward.len >= n ? f->forward.msg[n - 1] : NULL;
}

/* Reports to the router the end of the attempt that FORWARD started.  */
static inline void
fixture_done (struct fixture *f, const struct tk_msg *forward,
              enum tk_forward_end end, enum zp_verdict verdict,
              unsigned status)
{
  struct tk_msg *m = tk_msg_new (TK_FORWARD_DONE);

  m->u.done.id = forward->u.forward.id;
  m->u.done.end = end;
  m->u.done.verdict = verdict;
  m->u.done.status = status;
  m->u.done.elapsed = 10 * ZP_MS;
  if (end == TK_END_ANSWER)
    zp_buf_put (&m->u.done.body, ZP_STR ("answer"));
  tk_send (&f->router->task, m);
}

#endif
