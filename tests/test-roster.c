#include "guard.h"
#include "harness.h"

#include <stdlib.h>

#include "roster/client.h"
#include "roster/codec.h"
#include "roster/seeds.h"
#include "roster/source.h"
#include "wire/conn.h"
#include "wire/frame.h"

/* Ports of the control daemon.  Nothing listens on the one of the operators'
   interface: its address only serves as a name.  */
#define ROSTER_PORT 19590
#define HTTP_PORT 19592

/* A control daemon and an entry daemon on one loop.  */
struct fixture
{
  struct tk_loop loop;
  struct tk_task control;
  struct ro_source *source;
  char address[ZP_ADDRESS_MAX]; /* of the roster */
  char http[ZP_ADDRESS_MAX];
  unsigned settled; /* number of TK_SERVER_SETTLED */
  zp_time settled_at;
  unsigned connected, lost;

  struct tk_task entry;
  struct ro_client *client;
  struct tk_server got;
  unsigned servers, entry_count, sources;

  /* A daemon that takes updates and never acknowledges them.  */
  struct wi_conn *silent;
  struct test_guard guard;
};

static void
on_control (void *self, struct tk_msg *m)
{
  struct fixture *f = self;

  switch (m->kind)
    {
    case TK_SERVER_SETTLED:
      f->settled++;
      f->settled_at = zp_clock_mono ();
      break;
    case TK_DAEMON:
      f->connected += !m->u.daemon.lost;
      f->lost += m->u.daemon.lost;
      break;
    default:
      break;
    }
  tk_msg_free (m);
}

static void
on_entry (void *self, struct tk_msg *m)
{
  struct fixture *f = self;

  switch (m->kind)
    {
    case TK_SERVER:
      f->got = m->u.server;
      f->servers++;
      break;
    case TK_ENTRY_COUNT:
      f->entry_count = m->u.entry_count.entries;
      break;
    case TK_CONFIG_SOURCES:
      f->sources++;
      break;
    default:
      break;
    }
  tk_msg_free (m);
}

static void
open_source (struct fixture *f)
{
  struct zp_err err = { .text = "" };
  const struct ro_source_options o = { .address = zp_str_from (f->address),
                                       .report_period = 1500 * ZP_MS,
                                       .decider = &f->control };

  f->source = ro_source_open (&f->loop, &o, &err);
  if (!f->source)
    CU_FAIL_FATAL ("the address of the roster is in use");
}

static void
open_fixture (struct fixture *f)
{
  *f = (struct fixture){ .guard.fired = false };
  snprintf (f->address, sizeof f->address, "%s", test_address (ROSTER_PORT));
  snprintf (f->http, sizeof f->http, "%s", test_address (HTTP_PORT));
  tk_loop_init (&f->loop);
  tk_task_init (&f->control, &f->loop, on_control, f);
  tk_task_init (&f->entry, &f->loop, on_entry, f);
  test_guard_start (&f->guard, f->loop.ev, 15.0);
  open_source (f);
}

static void
open_client (struct fixture *f)
{
  struct zp_str seed = zp_str_from (f->http);
  const struct zp_strs seeds = { .item = &seed, .len = 1 };
  const struct ro_client_options o
      = { .self = { .kind = TK_DAEMON_ENTRY, .id = 5, .name = "edge-5" },
          .seeds = &seeds,
          .roster_port = ROSTER_PORT,
          .follow_port = HTTP_PORT,
          .decider = &f->entry,
          .follower = &f->entry };

  f->client = ro_client_open (&f->loop, &o);
}

static void
close_fixture (struct fixture *f)
{
  wi_conn_free (f->silent);
  ro_client_close (f->client);
  ro_source_close (f->source);
  test_guard_stop (&f->guard, f->loop.ev);
  tk_task_free (&f->control);
  tk_task_free (&f->entry);
  tk_loop_free (&f->loop);
}

#define RUN_UNTIL(f, condition)                                               \
  while (!(condition) && !(f)->guard.fired)                                   \
    ev_run ((f)->loop.ev, EVRUN_ONCE);                                        \
  CU_ASSERT_FATAL (!(f)->guard.fired)

static void
report (struct fixture *f, const char *id, enum tk_server_state state,
        uint64_t seq, uint64_t report_id)
{
  struct tk_msg *m = tk_msg_new (TK_SERVER);

  m->u.server = (struct tk_server){ .service = "svc",
                                    .address = "10.0.0.1:80",
                                    .slots = 6,
                                    .state = state,
                                    .born_ms = 1000,
                                    .seq = seq,
                                    .report_id = report_id };
  zp_str_copy (m->u.server.id, sizeof m->u.server.id, zp_str_from (id));
  tk_send (ro_source_task (f->source), m);
}

/* Guards against a server whose leave report is acknowledged before the entry
   daemon has it.  */
static void
test_settled_after_acknowledgement (void)
{
  struct fixture f;

  open_fixture (&f);
  open_client (&f);
  report (&f, "a", TK_SERVER_READY, 1, 0);
  RUN_UNTIL (&f, f.servers == 1);
  CU_ASSERT_EQUAL (f.got.state, TK_SERVER_READY);
  RUN_UNTIL (&f, f.entry_count == 1);
  report (&f, "a", TK_SERVER_DRAINING, 2, 77);
  RUN_UNTIL (&f, f.settled == 1);
  CU_ASSERT_EQUAL (f.servers, 2);
  CU_ASSERT_EQUAL (f.got.state, TK_SERVER_DRAINING);
  CU_ASSERT (f.sources > 0);
  close_fixture (&f);
}

static void
on_silent_frame (void *self, struct wi_conn *c, uint8_t kind,
                 struct zp_str payload)
{
  (void) self;
  (void) c;
  (void) kind;
  (void) payload;
}

static void
on_silent_end (void *self, struct wi_conn *c, const struct zp_err *why)
{
  struct fixture *f = self;

  (void) why;
  wi_conn_free (c);
  f->silent = NULL;
}

/* Guards against a frozen entry daemon that delays the acknowledgement of
   reports without limit, and against one that is not waited for at all.  */
static void
test_daemon_without_acknowledgement (void)
{
  static const struct wi_handlers handlers
      = { .on_frame = on_silent_frame, .on_end = on_silent_end };
  const struct tk_daemon self = { .kind = TK_DAEMON_ENTRY, .id = 9 };
  struct fixture f;
  struct zp_buf hello = { .ptr = NULL };

  open_fixture (&f);
  f.silent
      = wi_conn_open (f.loop.ev, zp_str_from (f.address), &handlers, &f, NULL);
  ro_put_hello (&hello, &self, 0);
  wi_conn_send (f.silent, WI_ROSTER_HELLO, zp_str_of (&hello));
  zp_buf_free (&hello);
  RUN_UNTIL (&f, f.connected == 1);
  zp_time before = zp_clock_mono ();
  report (&f, "a", TK_SERVER_DRAINING, 2, 77);
  RUN_UNTIL (&f, f.settled == 1);
  CU_ASSERT (f.settled_at - before >= RO_ACK_TIMEOUT);
  CU_ASSERT (f.settled_at - before < 2 * RO_ACK_TIMEOUT);
  /* It sends no pings either, so that its connection is closed.  */
  RUN_UNTIL (&f, f.lost == 1);
  close_fixture (&f);
}

/* Guards against an entry daemon that drops its servers while the control
   daemon restarts, or does not connect to it again.  */
static void
test_control_restarts (void)
{
  struct fixture f;

  open_fixture (&f);
  open_client (&f);
  report (&f, "a", TK_SERVER_READY, 1, 0);
  RUN_UNTIL (&f, f.servers == 1);
  ro_source_close (f.source);
  open_source (&f);
  RUN_UNTIL (&f, f.connected == 2);
  report (&f, "b", TK_SERVER_READY, 1, 0);
  RUN_UNTIL (&f, f.servers == 2);
  CU_ASSERT_STRING_EQUAL (f.got.id, "b");
  close_fixture (&f);
}

static const struct zp_test tests[]
    = { { "settled after the acknowledgement",
          test_settled_after_acknowledgement },
        { "a daemon that does not acknowledge",
          test_daemon_without_acknowledgement },
        { "the control daemon restarts", test_control_restarts } };

TEST_MAIN ("roster", tests)
