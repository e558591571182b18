/* NAME
     roster-fixture - a control daemon and clients of it on one loop

   DESCRIPTION
     The source task of a control daemon of the region "a", and client tasks of
     an entry daemon and of another control daemon, which connect to it.  The
     deciding tasks are fakes that count the messages they get.  */

#ifndef ZP_TESTS_ROSTER_FIXTURE_H
#define ZP_TESTS_ROSTER_FIXTURE_H

#include "guard.h"
#include "harness.h"

#include <stdlib.h>

#include "roster/client.h"
#include "roster/codec.h"
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
  unsigned losses;
  unsigned renewals;           /* servers in TK_RENEWALS */
  unsigned work;               /* requests in the last TK_WORK */
  struct tk_work_load load;    /* the last one in a TK_WORK */
  unsigned loads;              /* number of them */
  struct ro_client *neighbour; /* of another control daemon of the region */
  unsigned neighbour_messages; /* that it passed to its deciding task */
  struct tk_task neighbour_task;
  zp_time report_period;

  /* A daemon that takes updates and never acknowledges them.  */
  struct wi_conn *silent;
  unsigned updates;       /* that it has got */
  unsigned with_controls; /* of them, those that list control daemons */
  struct test_guard guard;
};

static inline void
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

static inline void
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
    case TK_LOSS:
      f->losses++;
      break;
    case TK_RENEWALS:
      f->renewals += (unsigned) m->u.renewals.len;
      break;
    case TK_WORK:
      f->work = 0;
      for (size_t i = 0; i < m->u.work.len; i++)
        f->work += m->u.work.item[i].count;
      f->loads += (unsigned) m->u.work.loads;
      if (m->u.work.loads > 0)
        f->load = m->u.work.load[0];
      break;
    default:
      break;
    }
  tk_msg_free (m);
}

static inline void
on_neighbour (void *self, struct tk_msg *m)
{
  struct fixture *f = self;

  f->neighbour_messages += m->kind != TK_ENTRY_COUNT;
  tk_msg_free (m);
}

static inline void
open_source (struct fixture *f)
{
  struct zp_err err = { .text = "" };
  const struct ro_source_options o = { .address = zp_str_from (f->address),
                                       .region = ZP_STR ("a"),
                                       .failure_domain = ZP_STR ("a-1"),
                                       .report_period = f->report_period,
                                       .decider = &f->control };

  f->source = ro_source_open (&f->loop, &o, &err);
  if (!f->source)
    CU_FAIL_FATAL ("the address of the roster is in use");
}

static inline void
open_fixture (struct fixture *f)
{
  *f = (struct fixture){ .report_period = 1500 * ZP_MS };
  snprintf (f->address, sizeof f->address, "%s", test_address (ROSTER_PORT));
  snprintf (f->http, sizeof f->http, "%s", test_address (HTTP_PORT));
  tk_loop_init (&f->loop);
  tk_task_init (&f->control, &f->loop, on_control, f);
  tk_task_init (&f->entry, &f->loop, on_entry, f);
  tk_task_init (&f->neighbour_task, &f->loop, on_neighbour, f);
  test_guard_start (&f->guard, f->loop.ev, 15.0);
  open_source (f);
}

static inline struct ro_client *
client_of (struct fixture *f, const struct tk_daemon *self,
           struct tk_task *decider)
{
  struct zp_str seed = zp_str_from (f->http);
  const struct zp_strs seeds = { .item = &seed, .len = 1 };
  const struct ro_client_options o = { .self = *self,
                                       .seeds = &seeds,
                                       .roster_port = ROSTER_PORT,
                                       .follow_port = HTTP_PORT,
                                       .decider = decider,
                                       .follower = &f->entry };

  return ro_client_open (&f->loop, &o);
}

static inline void
open_client (struct fixture *f)
{
  const struct tk_daemon self = { .kind = TK_DAEMON_ENTRY,
                                  .id = 5,
                                  .name = "edge-5",
                                  .failure_domain = "a-1",
                                  .region = "a" };

  f->client = client_of (f, &self, &f->entry);
}

static inline void
open_neighbour (struct fixture *f)
{
  const struct tk_daemon self = { .kind = TK_DAEMON_CONTROL,
                                  .id = 6,
                                  .name = "core-6",
                                  .address = "10.0.0.6:80",
                                  .failure_domain = "a-2",
                                  .region = "a" };

  f->neighbour = client_of (f, &self, &f->neighbour_task);
}

/* Tells the roster task TASK of COUNT requests at a server.  */
static inline void
send_work (struct tk_task *task, unsigned count)
{
  struct tk_msg *m = tk_msg_new (TK_WORK);

  m->u.work.item = zp_alloc (sizeof *m->u.work.item);
  m->u.work.item[0] = (struct tk_work_item){ .server = 7, .count = count };
  m->u.work.len = 1;
  tk_send (task, m);
}

static inline void
close_fixture (struct fixture *f)
{
  wi_conn_free (f->silent);
  ro_client_close (f->client);
  ro_client_close (f->neighbour);
  ro_source_close (f->source);
  test_guard_stop (&f->guard, f->loop.ev);
  tk_task_free (&f->control);
  tk_task_free (&f->entry);
  tk_task_free (&f->neighbour_task);
  tk_loop_free (&f->loop);
}

#define RUN_UNTIL(f, condition)                                               \
  while (!(condition) && !(f)->guard.fired)                                   \
    ev_run ((f)->loop.ev, EVRUN_ONCE);                                        \
  CU_ASSERT_FATAL (!(f)->guard.fired)

static inline void
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

static inline void
on_silent_frame (void *self, struct wi_conn *c, uint8_t kind,
                 struct zp_str payload)
{
  struct fixture *f = self;
  struct ro_update u;
  void *owner;

  (void) c;
  if (kind != WI_ROSTER_UPDATE)
    return;
  f->updates++;
  CU_ASSERT (ro_get_update (payload, &u, &owner));
  f->with_controls += u.controls > 0;
  ro_update_free (&u, owner);
}

static inline void
on_silent_end (void *self, struct wi_conn *c, const struct zp_err *why)
{
  struct fixture *f = self;

  (void) why;
  wi_conn_free (c);
  f->silent = NULL;
}

/* Connects a daemon that takes updates and never acknowledges them.  */
static inline void
open_silent (struct fixture *f)
{
  static const struct wi_handlers handlers
      = { .on_frame = on_silent_frame, .on_end = on_silent_end };
  const struct tk_daemon self = { .kind = TK_DAEMON_ENTRY, .id = 9 };
  struct zp_buf hello = { .ptr = NULL };

  f->silent = wi_conn_open (f->loop.ev, zp_str_from (f->address), &handlers, f,
                            NULL);
  ro_put_hello (&hello, &self, 0);
  wi_conn_send (f->silent, WI_ROSTER_HELLO, zp_str_of (&hello));
  zp_buf_free (&hello);
}

#endif
