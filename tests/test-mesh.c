#include "guard.h"
#include "harness.h"

#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peer/codec.h"
#include "peer/mesh.h"
#include "wire/address.h"
#include "wire/frame.h"

#define DAEMONS 3
#define FAR 7 /* daemons of another region; more than ZP_REMOTE_LINKS */

struct daemon
{
  struct tk_task task;
  struct pe_mesh *mesh;
  char wire[ZP_ADDRESS_MAX];
  int up, down, leaving, frames; /* messages received */
  char last[64];                 /* payload of the last frame */
};

struct fixture
{
  struct tk_loop loop;
  struct daemon d[DAEMONS];
  struct test_guard guard;
};

static void
on_message (void *self, struct tk_msg *m)
{
  struct daemon *d = self;

  switch (m->kind)
    {
    case TK_PEER_UP:
      d->up++;
      d->leaving += m->u.peer.leaving;
      break;
    case TK_PEER_DOWN:
      d->down++;
      break;
    case TK_PEER_FRAME:
      d->frames++;
      zp_str_copy (d->last, sizeof d->last, zp_str_of (&m->u.frame.payload));
      break;
    default:
      CU_FAIL ("unexpected message kind");
    }
  tk_msg_free (m);
}

/* Only daemon 0 is a seed: the others learn the addresses of each other from
   hellos and heartbeats.  */
static void
open_daemon (struct fixture *f, int i, uint64_t incarnation)
{
  struct daemon *d = &f->d[i];
  struct zp_str seed = zp_str_from (f->d[0].wire);
  struct zp_strs seeds = { .item = &seed, .len = i > 0 };
  struct pe_hello h = { .id = (uint64_t) i + 1,
                        .incarnation = incarnation,
                        .failure_domain = ZP_STR ("w1"),
                        .region = ZP_STR ("west"),
                        .http = ZP_STR ("127.0.0.1:80"),
                        .wire = zp_str_from (d->wire) };

  d->mesh = pe_mesh_open (&f->loop, &h, h.wire, &seeds, &d->task, NULL);
  CU_ASSERT_FATAL (d->mesh != NULL);
}

static void
open_fixture (struct fixture *f)
{
  *f = (struct fixture){ .guard.fired = false };
  tk_loop_init (&f->loop);
  for (int i = 0; i < DAEMONS; i++)
    {
      snprintf (f->d[i].wire, ZP_ADDRESS_MAX, "%s",
                test_address (19481 + (unsigned) i));
      tk_task_init (&f->d[i].task, &f->loop, on_message, &f->d[i]);
      open_daemon (f, i, 100);
    }
  test_guard_start (&f->guard, f->loop.ev, 20.0);
}

static void
close_fixture (struct fixture *f)
{
  CU_ASSERT (!f->guard.fired);
  for (int i = 0; i < DAEMONS; i++)
    {
      pe_mesh_close (f->d[i].mesh);
      tk_task_free (&f->d[i].task);
    }
  test_guard_stop (&f->guard, f->loop.ev);
  tk_loop_free (&f->loop);
}

/* Runs until every open daemon has been informed of COUNT members that came
   up.  */
static void
run_until_up (struct fixture *f, int count)
{
  for (int i = 0; i < DAEMONS; i++)
    while (!f->guard.fired && f->d[i].mesh && f->d[i].up < count)
      ev_run (f->loop.ev, EVRUN_ONCE);
}

/* Guards against daemons that share a seed but do not find each other, and
   against frames that reach the wrong member.  */
static void
test_discovery_by_one_seed (void)
{
  struct fixture f;

  open_fixture (&f);
  run_until_up (&f, DAEMONS - 1);
  struct tk_msg *m = tk_msg_new (TK_PEER_SEND);
  m->u.frame.peer = 3;
  m->u.frame.kind = WI_SERVER_VIEW;
  zp_buf_put (&m->u.frame.payload, ZP_STR ("free 5"));
  tk_send (pe_mesh_task (f.d[1].mesh), m);
  while (!f.guard.fired && f.d[2].frames == 0)
    ev_run (f.loop.ev, EVRUN_ONCE);
  CU_ASSERT_STRING_EQUAL (f.d[2].last, "free 5");
  CU_ASSERT_EQUAL (f.d[0].frames, 0);
  close_fixture (&f);
}

/* Guards against a daemon that is not reported as down after it has ended, or
   not reported as up after it has restarted.  */
static void
test_lost_and_restarted_daemon (void)
{
  struct fixture f;

  open_fixture (&f);
  run_until_up (&f, DAEMONS - 1);
  pe_mesh_close (f.d[2].mesh);
  f.d[2].mesh = NULL;
  while (!f.guard.fired && (f.d[0].down == 0 || f.d[1].down == 0))
    ev_run (f.loop.ev, EVRUN_ONCE);
  open_daemon (&f, 2, 101);
  run_until_up (&f, DAEMONS);
  CU_ASSERT_EQUAL (f.d[0].down, 1);
  close_fixture (&f);
}

/* Guards against a leaving daemon that is not reported as leaving, or is
   reported as down.  */
static void
test_leaving_is_announced (void)
{
  struct fixture f;

  open_fixture (&f);
  run_until_up (&f, DAEMONS - 1);
  tk_send (pe_mesh_task (f.d[1].mesh), tk_msg_new (TK_STOP));
  while (!f.guard.fired && (f.d[0].leaving == 0 || f.d[2].leaving == 0))
    ev_run (f.loop.ev, EVRUN_ONCE);
  CU_ASSERT_EQUAL (f.d[0].down + f.d[2].down, 0);
  close_fixture (&f);
}

/* Guards against links to other regions that were opened to learn the region
   of a member and are not closed: 420 daemons would keep a full mesh.  */
static void
test_unwanted_links_are_closed (void)
{
  struct fixture f = { .guard.fired = false };
  struct daemon far[FAR], near = { .up = 0 };
  struct zp_str seeds[FAR];
  struct zp_strs all = { .item = seeds, .len = FAR }, none = { .len = 0 };

  tk_loop_init (&f.loop);
  test_guard_start (&f.guard, f.loop.ev, 20.0);
  for (int i = 0; i <= FAR; i++)
    {
      struct daemon *d = i < FAR ? &far[i] : &near;
      *d = (struct daemon){ .up = 0 };
      snprintf (d->wire, ZP_ADDRESS_MAX, "%s",
                test_address (19490 + (unsigned) i));
      if (i < FAR)
        seeds[i] = zp_str_from (d->wire);
      struct pe_hello h
          = { .id = (uint64_t) i + 1,
              .incarnation = 100,
              .failure_domain = ZP_STR ("x"),
              .region = i < FAR ? ZP_STR ("east") : ZP_STR ("west"),
              .http = ZP_STR ("127.0.0.1:80"),
              .wire = zp_str_from (d->wire) };
      tk_task_init (&d->task, &f.loop, on_message, d);
      d->mesh = pe_mesh_open (&f.loop, &h, h.wire, i < FAR ? &none : &all,
                              &d->task, NULL);
      CU_ASSERT_FATAL (d->mesh != NULL);
    }
  while (!f.guard.fired
         && (near.up < FAR || pe_mesh_links (near.mesh) != ZP_REMOTE_LINKS))
    ev_run (f.loop.ev, EVRUN_ONCE);
  CU_ASSERT (!f.guard.fired);
  for (int i = 0; i <= FAR; i++)
    {
      struct daemon *d = i < FAR ? &far[i] : &near;
      pe_mesh_close (d->mesh);
      tk_task_free (&d->task);
    }
  test_guard_stop (&f.guard, f.loop.ev);
  tk_loop_free (&f.loop);
}

/* Guards against a crash or a false member after a malformed hello.  */
static void
test_malformed_frames (void)
{
  struct fixture f;
  struct sockaddr_storage sa;
  socklen_t len;
  struct zp_buf b = { .ptr = NULL };

  open_fixture (&f);
  run_until_up (&f, DAEMONS - 1);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  CU_ASSERT_FATAL (
      wi_address_parse (zp_str_from (f.d[0].wire), &sa, &len, NULL));
  CU_ASSERT_FATAL (connect (fd, (struct sockaddr *) &sa, len) == 0);
  wi_frame_put (&b, WI_HEARTBEAT, ZP_STR (""));
  wi_frame_put (&b, WI_HELLO, ZP_STR ("\xff\xff\xff\xff"));
  wi_frame_put (&b, WI_LEASE_ASK, ZP_STR ("x"));
  CU_ASSERT (send (fd, b.ptr, b.len, 0) == (ssize_t) b.len);
  int up = f.d[0].up;
  for (int i = 0; i < 20; i++)
    ev_run (f.loop.ev, EVRUN_ONCE);
  CU_ASSERT_EQUAL (f.d[0].up, up);
  CU_ASSERT_EQUAL (f.d[0].frames, 0);
  close (fd);
  zp_buf_free (&b);
  close_fixture (&f);
}

/* Connects to daemon 0 as a start of member 9.  */
/* Sends the hello of daemon ID on FD.  */
static void
send_hello (struct fixture *f, int fd, uint64_t id, uint64_t incarnation)
{
  struct zp_buf hello = { .ptr = NULL }, b = { .ptr = NULL };
  struct pe_members known;

  pe_members_init (&known, id, ZP_STR ("west"));
  pe_put_hello (&hello,
                &(struct pe_hello){ .id = id,
                                    .incarnation = incarnation,
                                    .failure_domain = ZP_STR ("w1"),
                                    .region = ZP_STR ("west"),
                                    .http = ZP_STR ("127.0.0.1:80"),
                                    .wire = ZP_STR ("127.0.0.9:9") },
                &known);
  wi_frame_put (&b, WI_HELLO, zp_str_of (&hello));
  CU_ASSERT (send (fd, b.ptr, b.len, 0) == (ssize_t) b.len);
  zp_buf_free (&hello);
  zp_buf_free (&b);
  for (int i = 0; i < 20; i++)
    ev_run (f->loop.ev, EVRUN_ONCE);
}

static int
connect_start (struct fixture *f, uint64_t incarnation)
{
  struct sockaddr_storage sa;
  socklen_t len;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  CU_ASSERT_FATAL (
      wi_address_parse (zp_str_from (f->d[0].wire), &sa, &len, NULL));
  CU_ASSERT_FATAL (connect (fd, (struct sockaddr *) &sa, len) == 0);
  send_hello (f, fd, 9, incarnation);
  return fd;
}

static void
send_frame (struct fixture *f, int fd, struct zp_str payload)
{
  struct zp_buf b = { .ptr = NULL };

  wi_frame_put (&b, WI_LEASE_ASK, payload);
  CU_ASSERT (send (fd, b.ptr, b.len, 0) == (ssize_t) b.len);
  zp_buf_free (&b);
  for (int i = 0; i < 20; i++)
    ev_run (f->loop.ev, EVRUN_ONCE);
}

/* Guards against late frames of a daemon that was killed, which are taken for
   those of its next start at the same address and with the same id.  */
static void
test_late_frames_of_an_earlier_start (void)
{
  struct fixture f;

  open_fixture (&f);
  run_until_up (&f, DAEMONS - 1);
  int earlier = connect_start (&f, 5);
  send_frame (&f, earlier, ZP_STR ("in time"));
  CU_ASSERT_EQUAL (f.d[0].frames, 1);
  int later = connect_start (&f, 6);
  send_frame (&f, earlier, ZP_STR ("late"));
  CU_ASSERT_EQUAL (f.d[0].frames, 1);
  send_frame (&f, later, ZP_STR ("new"));
  CU_ASSERT_EQUAL (f.d[0].frames, 2);
  CU_ASSERT_STRING_EQUAL (f.d[0].last, "new");
  close (earlier);
  close (later);
  close_fixture (&f);
}

/* Guards against a member that is reached at two addresses: each tick opened
   another link to it, and frames were sent on links that are not watched, so
   that they were lost when one of these went silent.  */
static void
test_member_at_two_addresses (void)
{
  struct fixture f = { .guard.fired = false };
  struct daemon one = { .up = 0 }, two = { .up = 0 };
  unsigned port = 19498;
  char listen[ZP_ADDRESS_MAX], other[ZP_ADDRESS_MAX];

  tk_loop_init (&f.loop);
  test_guard_start (&f.guard, f.loop.ev, 20.0);
  snprintf (listen, sizeof listen, "0.0.0.0:%u", port);
  snprintf (one.wire, sizeof one.wire, "%s", test_address (port));
  snprintf (two.wire, sizeof two.wire, "%s", test_address (port + 1));
  /* Another loopback address of the machine.  */
  snprintf (other, sizeof other, "127.0.0.1:%u", port);
  struct zp_str seed = zp_str_from (other);
  struct zp_strs seeds = { .item = &seed, .len = 1 }, none = { .len = 0 };
  struct pe_hello h = { .id = 1,
                        .incarnation = 100,
                        .failure_domain = ZP_STR ("w1"),
                        .region = ZP_STR ("west"),
                        .http = ZP_STR ("127.0.0.1:80"),
                        .wire = zp_str_from (one.wire) };
  tk_task_init (&one.task, &f.loop, on_message, &one);
  tk_task_init (&two.task, &f.loop, on_message, &two);
  one.mesh = pe_mesh_open (&f.loop, &h, zp_str_from (listen), &none, &one.task,
                           NULL);
  h.id = 2;
  h.wire = zp_str_from (two.wire);
  two.mesh = pe_mesh_open (&f.loop, &h, h.wire, &seeds, &two.task, NULL);
  CU_ASSERT_FATAL (one.mesh && two.mesh);
  while (!f.guard.fired && two.up == 0)
    ev_run (f.loop.ev, EVRUN_ONCE);
  zp_time end = zp_clock_mono () + 2 * ZP_SEC;
  while (!f.guard.fired && zp_clock_mono () < end)
    ev_run (f.loop.ev, EVRUN_ONCE);
  CU_ASSERT_EQUAL (pe_mesh_links (two.mesh), 1);
  CU_ASSERT_EQUAL (two.down, 0);
  pe_mesh_close (one.mesh);
  pe_mesh_close (two.mesh);
  tk_task_free (&one.task);
  tk_task_free (&two.task);
  test_guard_stop (&f.guard, f.loop.ev);
  tk_loop_free (&f.loop);
}

/* Guards against a connection whose frames count for two daemons, or for two
   starts of one, because it brings a second hello.  */
static void
test_second_hello (void)
{
  struct fixture f;

  open_fixture (&f);
  run_until_up (&f, DAEMONS - 1);
  int fd = connect_start (&f, 5);
  send_hello (&f, fd, 9, 5);
  send_frame (&f, fd, ZP_STR ("first"));
  CU_ASSERT_EQUAL (f.d[0].frames, 1);
  int up = f.d[0].up;
  send_hello (&f, fd, 10, 5);
  CU_ASSERT_EQUAL (f.d[0].up, up);
  close (fd);

  fd = connect_start (&f, 6);
  up = f.d[0].up;
  send_hello (&f, fd, 9, 7);
  CU_ASSERT_EQUAL (f.d[0].up, up);
  send_frame (&f, fd, ZP_STR ("late"));
  CU_ASSERT_EQUAL (f.d[0].frames, 1);
  close (fd);
  close_fixture (&f);
}

static const struct zp_test tests[]
    = { { "discovery by one seed", test_discovery_by_one_seed },
        { "a lost and restarted daemon", test_lost_and_restarted_daemon },
        { "leaving is announced", test_leaving_is_announced },
        { "unwanted links are closed", test_unwanted_links_are_closed },
        { "malformed frames", test_malformed_frames },
        { "late frames of an earlier start",
          test_late_frames_of_an_earlier_start },
        { "a second hello", test_second_hello },
        { "a member at two addresses", test_member_at_two_addresses } };

TEST_MAIN ("mesh", tests)
