/* NAME
     gate-fixture - a gate task with fake tasks around it

   DESCRIPTION
     Fake tasks take the place of the forward, front and roster tasks of an
     entry daemon: they store the messages that the gate sends to them, and the
     test sends the replies.  */

#ifndef ZP_TESTS_GATE_FIXTURE_H
#define ZP_TESTS_GATE_FIXTURE_H

#include "guard.h"
#include "harness.h"

#include <stdlib.h>

#include "forward/client.h"
#include "gate/gate.h"
#include "ticket/blob.h"
#include "ticket/store.h"

/* Seconds after which a test that waits for a message fails.  */
#define TIMEOUT_S 5.0

struct fixture
{
  struct tk_loop loop;
  struct gt_settings settings;
  struct zp_str regions[3];
  struct gt_gate *gate;
  struct tk_task forward, front, roster;
  struct tk_msg *sent[64];   /* TK_FORWARD */
  size_t sends, cancels;     /* messages to the forward task */
  struct tk_msg *answer[64]; /* TK_HTTP_ANSWER */
  size_t answers;
  struct tk_daemon announced; /* last description sent to the roster */
  struct tk_msg *work;        /* last TK_WORK with loads; NULL: none */
  struct ti_store *store;
  uint64_t version;
  struct test_guard guard;
  bool stopped;
};

static struct fixture f;

static inline void
on_forward (void *self, struct tk_msg *m)
{
  (void) self;
  if (m->kind == TK_FORWARD)
    {
      f.sent[f.sends++] = m;
      return;
    }
  f.cancels++;
  tk_msg_free (m);
}

static inline void
on_front (void *self, struct tk_msg *m)
{
  (void) self;
  f.answer[f.answers++] = m;
}

static inline void
on_roster (void *self, struct tk_msg *m)
{
  (void) self;
  if (m->kind == TK_DAEMON)
    f.announced = m->u.daemon;
  if (m->kind == TK_WORK && m->u.work.loads > 0)
    {
      if (f.work)
        tk_msg_free (f.work);
      f.work = m;
      return;
    }
  tk_msg_free (m);
}

static inline void
on_elapsed (struct ev_loop *ev, ev_timer *w, int events)
{
  bool *elapsed = w->data;

  (void) events;
  *elapsed = true;
  ev_break (ev, EVBREAK_ALL);
}

/* Runs the loop for SECONDS.  */
static inline void
run_for (double seconds)
{
  bool elapsed = false;
  ev_timer wait;

  ev_timer_init (&wait, on_elapsed, seconds, 0.0);
  wait.data = &elapsed;
  ev_timer_start (f.loop.ev, &wait);
  while (!elapsed)
    ev_run (f.loop.ev, EVRUN_ONCE);
}

static inline void
on_stopped (void *self)
{
  (void) self;
  f.stopped = true;
}

/* A document of this test is "NUMBER", "NUMBER once" or "NUMBER in REGION...":
   it has one route with the prefix "/" to the service "svc", idempotent unless
   "once" is given, with the regions as its homes.  */
static struct si_site *
decode (struct zp_str text, struct zp_err *err)
{
  struct zp_str number, kind, home;
  uint64_t n = 0;

  zp_str_split (text, ' ', &number, &kind);
  zp_str_u64 (number, &n);
  bool once = zp_str_eq (kind, ZP_STR ("once"));
  struct si_site *s = si_site_new (n);
  struct si_service v = { .name = zp_buf_from (ZP_STR ("svc")),
                          .health_path = zp_buf_from (ZP_STR ("/health")) };
  struct si_route r = { .host = zp_buf_from (ZP_STR ("h")),
                        .prefix = zp_buf_from (ZP_STR ("/")),
                        .class = once ? SI_ONCE : SI_IDEMPOTENT,
                        .timeout = 2 * ZP_SEC,
                        .objective = 400 * ZP_MS,
                        .attempts = 3 };
  si_route_add_part (&r, ZP_STR ("svc"), 1);
  if (zp_str_starts (kind, ZP_STR ("in ")))
    for (zp_str_split (kind, ' ', &home, &kind); kind.len > 0;)
      {
        zp_str_split (kind, ' ', &home, &kind);
        si_route_add_home (&r, home);
      }
  si_site_add_service (s, &v);
  si_site_add_route (s, &r);
  if (si_site_seal (s, err))
    return s;
  si_site_free (s);
  return NULL;
}

static const struct gt_interface interface = { .names
                                               = &fr_header_names_default,
                                               .decode = decode };

static inline void
put_document (const char *text, uint64_t number)
{
  struct ti_command c = { .kind = TI_PUT, .now = 5 };
  struct zp_buf bytes = { .ptr = NULL };
  struct ti_result r;
  struct tk_msg *m = tk_msg_new (TK_CONFIG);

  c.u.put.number = number;
  ti_blob_compress (zp_str_from (text), &c.u.put.body);
  ti_command_encode (&c, &bytes);
  ti_store_apply (f.store, ++f.version, zp_str_of (&bytes), &r);
  m->u.config.whole = true;
  m->u.config.version = f.version;
  ti_config_encode (ti_store_config (f.store), &m->u.config.bytes);
  tk_send (&f.gate->task, m);
  ti_result_free (&r);
  zp_buf_free (&bytes);
  ti_command_clear (&c);
}

static inline void
report_server (const char *id, const char *address, enum tk_server_state state,
               uint64_t seq)
{
  struct tk_msg *m = tk_msg_new (TK_SERVER);

  m->u.server = (struct tk_server){ .service = "svc",
                                    .failure_domain = "a-1",
                                    .slots = 4,
                                    .state = state,
                                    .born_ms = 1000,
                                    .seq = seq };
  zp_str_copy (m->u.server.id, sizeof m->u.server.id, zp_str_from (id));
  zp_str_copy (m->u.server.address, sizeof m->u.server.address,
               zp_str_from (address));
  tk_send (&f.gate->task, m);
}

/* Sends a request whose deadline is in TIME.  */
static inline void
send_request_for (uint64_t http, zp_time time)
{
  struct tk_msg *m = tk_msg_new (TK_HTTP_REQUEST);
  struct tk_http_request *r = &m->u.request;

  r->id = http;
  r->from = &f.front;
  r->host = zp_buf_from (ZP_STR ("h"));
  r->method = zp_buf_from (ZP_STR ("GET"));
  r->path = zp_buf_from (ZP_STR ("/x"));
  zp_buf_printf (&r->request_id, "r-%llu", (unsigned long long) http);
  r->deadline = zp_clock_mono () + time;
  tk_send (&f.gate->task, m);
}

static inline void
send_request (uint64_t http)
{
  send_request_for (http, 2 * ZP_SEC);
}

#define RUN_UNTIL(condition)                                                  \
  while (!(condition) && !f.guard.fired)                                      \
    ev_run (f.loop.ev, EVRUN_ONCE);                                           \
  CU_ASSERT_FATAL (!f.guard.fired)

/* Delivers all messages that are under way.  */
static inline void
run_pending (void)
{
  for (int i = 0; i < 20; i++)
    ev_run (f.loop.ev, EVRUN_NOWAIT);
}

/* Ends the attempt of the TK_FORWARD message with index AT.  */
static inline void
end_attempt (size_t at, enum tk_forward_end end, unsigned status,
             enum zp_verdict verdict, bool stamped)
{
  struct tk_msg *m = tk_msg_new (TK_FORWARD_DONE);

  m->u.done.id = f.sent[at]->u.forward.id;
  m->u.done.end = end;
  m->u.done.status = status;
  m->u.done.verdict = verdict;
  m->u.done.stamped = stamped;
  zp_buf_put (&m->u.done.body, ZP_STR ("the server's bytes"));
  tk_send (&f.gate->task, m);
}

/* Ends the attempt with index AT by an answer of the server with STATUS, which
   says that the server leaves, or that it wants no request for RETRY_AFTER.
   A 503 has not run.  */
static inline void
answer_attempt (size_t at, unsigned status, bool leaving, zp_time retry_after)
{
  struct tk_msg *m = tk_msg_new (TK_FORWARD_DONE);

  m->u.done.id = f.sent[at]->u.forward.id;
  m->u.done.end = TK_END_ANSWER;
  m->u.done.status = status;
  m->u.done.verdict = status == 503 ? ZP_NOT_RUN : ZP_RAN;
  m->u.done.stamped = true;
  m->u.done.leaving = leaving;
  m->u.done.retry_after = retry_after;
  tk_send (&f.gate->task, m);
}

static inline void
set_up (const char *document)
{
  static char front[ZP_ADDRESS_MAX], ready[ZP_ADDRESS_MAX];
  struct zp_err err = { .text = "" };

  f = (struct fixture){ .version = 0 };
  snprintf (front, sizeof front, "%s", test_address (19611));
  snprintf (ready, sizeof ready, "%s", test_address (19612));
  f.regions[0] = ZP_STR ("a-1=a");
  f.regions[1] = ZP_STR ("b-1=b");
  f.regions[2] = ZP_STR ("c-1=c");
  f.settings = (struct gt_settings){ .name = ZP_STR ("entry"),
                                     .failure_domain = ZP_STR ("a-1"),
                                     .region = ZP_STR ("a"),
                                     .front = zp_str_from (front),
                                     .ready = zp_str_from (ready),
                                     .regions = { f.regions, 3 },
                                     .lookup_ttl = 100 * ZP_MS,
                                     .first_start = true,
                                     .retry_ratio = 0.2,
                                     .retry_slack = 60,
                                     .grace = 3 * ZP_SEC };
  tk_loop_init (&f.loop);
  tk_task_init (&f.forward, &f.loop, on_forward, &f);
  tk_task_init (&f.front, &f.loop, on_front, &f);
  tk_task_init (&f.roster, &f.loop, on_roster, &f);
  f.store = ti_store_new (TI_CONFLICT_BY_OBJECT);
  f.gate = gt_gate_open (&f.loop, &f.settings, &interface, &err);
  if (!f.gate)
    CU_FAIL_FATAL ("gt_gate_open failed");
  f.gate->forward = &f.forward;
  f.gate->roster = &f.roster;
  f.gate->stopped = on_stopped;
  /* Requests raise the retry budget, so that the tests can retry.  */
  struct gt_service *s = gt_service_get (f.gate, ZP_STR ("svc"));
  for (int i = 0; i < 100; i++)
    st_budget_first_try (&s->budget);
  test_guard_start (&f.guard, f.loop.ev, TIMEOUT_S);
  if (document)
    put_document (document, 7);
}

static inline void
tear_down (void)
{
  for (size_t i = 0; i < f.sends; i++)
    tk_msg_free (f.sent[i]);
  for (size_t i = 0; i < f.answers; i++)
    tk_msg_free (f.answer[i]);
  if (f.work)
    tk_msg_free (f.work);
  test_guard_stop (&f.guard, f.loop.ev);
  gt_gate_close (f.gate);
  ti_store_free (f.store);
  tk_task_free (&f.forward);
  tk_task_free (&f.front);
  tk_task_free (&f.roster);
  tk_loop_free (&f.loop);
}

static inline unsigned
answer_status (size_t at)
{
  return f.answer[at]->u.answer.status;
}

#endif
