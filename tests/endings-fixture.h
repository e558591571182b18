/* NAME
     endings-fixture - the forward task with a server that is a process

   DESCRIPTION
     The kernel closes the connections of a process that has ended as the
     process closes them itself, which a fake server inside the test cannot
     show.  */

#ifndef ZP_TESTS_ENDINGS_FIXTURE_H
#define ZP_TESTS_ENDINGS_FIXTURE_H

#include "guard.h"
#include "harness.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "forward/client.h"
#include "forward/ending.h"
#include "wire/address.h"

#define PORT 19283
/* Below the time limit of the test.  A process with CROWD connections can take
   seconds to end on a busy machine.  */
#define REQUEST_TIMEOUT (8 * ZP_SEC)

/* Connections within a server, two descriptors each.  */
#define CROWD 8000

#define HEAD                                                                  \
  "HTTP/1.1 200 OK\r\nRequest-Id: r7\r\nStamp: s\r\nConnection: "             \
  "close\r\n\r\n"
#define BODY "hello, world"

#define HEALTH_PATH "/health"
#define WARM_PATH "/warm" /* gets a sound answer */
#define WARM_MAX 5

/* Longest time until the server has started, or answers a call.  */
#define TELL_MS 10000

/* What the server does after each part of its answer.  */
enum step_kind
{
  STEP_SEND,
  STEP_PAUSE, /* 30 ms */
  STEP_CLOSE,
  STEP_END,   /* closes the connection and runs on */
  STEP_KILL,  /* the process ends at once */
  STEP_BLOCK, /* the client's loop stands still until the server has ended and
                 is started again */
};

/* How the server listens.  */
enum listen_kind
{
  LISTEN_ALONE,    /* the process has the only copy of the socket */
  LISTEN_SHARED,   /* another process has it too, as in a prefork server */
  LISTEN_DEFERRED, /* a connection is accepted with its first bytes */
  LISTEN_CROWDED,  /* the process has CROWD other connections */
};

/* What the server has answered before.  */
enum history_kind
{
  HISTORY_COLD, /* nothing */
  HISTORY_WARM, /* answers that end with their connection, and calls */
};

struct step
{
  enum step_kind kind;
  const char *text; /* STEP_SEND */
};

struct fixture
{
  struct tk_loop loop;
  struct tk_task task;
  struct fw_client *client;
  char address[ZP_ADDRESS_MAX];
  pid_t server;
  ev_timer watch; /* for the end of the server, which is then started again */
  const struct step *steps;
  bool restarts;
  enum listen_kind listen;
  int shared;     /* LISTEN_SHARED: the other copy */
  int blocked[2]; /* a pipe: STEP_BLOCK writes a byte */
  int told[2];    /* a pipe: the server has started, or answered a call */
  ev_io on_blocked;
  struct tk_msg *done;
  struct test_guard guard;
};

static const struct fr_header_names strict = {
  .deadline_ms = "Deadline-Ms",
  .request_id = "Request-Id",
  .stamp = "Stamp",
  .answers_have_id = true,
};

static inline int
listen_at (const char *address)
{
  struct sockaddr_storage sa;
  socklen_t len;
  int one = 1, fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  CU_ASSERT_FATAL (wi_address_parse (zp_str_from (address), &sa, &len, NULL));
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  CU_ASSERT_FATAL (bind (fd, (struct sockaddr *) &sa, len) == 0);
  CU_ASSERT_FATAL (listen (fd, 64) == 0);
  return fd;
}

/* Opens CROWD connections of the process to itself.  */
static inline void
open_crowd (void)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  socklen_t len = sizeof sa;
  struct rlimit files;
  int listener = socket (AF_INET, SOCK_STREAM, 0);

  getrlimit (RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit (RLIMIT_NOFILE, &files);
  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (bind (listener, (struct sockaddr *) &sa, sizeof sa) < 0
      || listen (listener, 64) < 0
      || getsockname (listener, (struct sockaddr *) &sa, &len) < 0)
    _exit (1);
  for (int i = 0; i < CROWD; i++)
    {
      int fd = socket (AF_INET, SOCK_STREAM, 0);
      if (connect (fd, (struct sockaddr *) &sa, len) < 0
          || accept (listener, NULL, NULL) < 0)
        _exit (1);
    }
}

/* One connection of the server.  */
struct session
{
  const struct fixture *f;
  int fd;
  int low; /* LISTEN_CROWDED: a descriptor below those of the crowd */
};

static inline void
send_text (int fd, const char *text)
{
  send (fd, text, strlen (text), MSG_NOSIGNAL);
}

static inline void
play_steps (const struct fixture *f, int fd)
{
  for (const struct step *s = f->steps;; s++)
    switch (s->kind)
      {
      case STEP_SEND:
        send_text (fd, s->text);
        break;
      case STEP_PAUSE:
        usleep (30000);
        break;
      case STEP_CLOSE:
        return;
      case STEP_END:
        shutdown (fd, SHUT_WR);
        break;
      case STEP_KILL:
        kill (getpid (), SIGKILL);
        break;
      case STEP_BLOCK:
        if (write (f->blocked[1], "", 1) < 0)
          return;
        break;
      }
}

static inline bool
begins_with (const char *text, const char *begin)
{
  return strncmp (text, begin, strlen (begin)) == 0;
}

static inline void
tell (const struct fixture *f)
{
  if (write (f->told[1], "", 1) < 0)
    _exit (1);
}

/* Waits until the server has told of its start or of a call.  */
static inline void
wait_until_told (const struct fixture *f)
{
  struct pollfd p = { .fd = f->told[0], .events = POLLIN };
  char byte;

  CU_ASSERT_FATAL (poll (&p, 1, TELL_MS) == 1);
  CU_ASSERT_FATAL (read (f->told[0], &byte, 1) == 1);
}

/* Serves one connection: calls until it is closed, or one request.  */
static inline void *
serve (void *self)
{
  struct session *s = self;
  char request[4096];
  ssize_t n;

  while ((n = recv (s->fd, request, sizeof request - 1, 0)) > 0)
    {
      request[n] = '\0';
      if (begins_with (request, "GET " HEALTH_PATH " "))
        {
          send_text (s->fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
          tell (s->f);
          continue;
        }
      if (begins_with (request, "GET " WARM_PATH " "))
        send_text (s->fd, HEAD BODY);
      else
        {
          /* The kernel closes descriptors in their order.  */
          if (s->low >= 0)
            {
              dup2 (s->fd, s->low);
              close (s->fd);
              s->fd = s->low;
            }
          play_steps (s->f, s->fd);
        }
      break;
    }
  close (s->fd);
  free (s);
  return NULL;
}

/* Serves connections until the process is killed.  */
static inline void
run_server (const struct fixture *f, int listener)
{
  int low = -1;

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (f->listen == LISTEN_CROWDED)
    {
      low = dup (STDERR_FILENO);
      open_crowd ();
    }
  tell (f);
  for (;;)
    {
      pthread_t thread;
      struct session *s = malloc (sizeof *s);
      if (!s)
        _exit (1);
      *s = (struct session){ .f = f, .low = low };
      s->fd = accept (listener, NULL, NULL);
      if (s->fd < 0 || pthread_create (&thread, NULL, serve, s) != 0)
        _exit (1);
      pthread_detach (thread);
    }
}

static inline void
start_server (struct fixture *f)
{
  int listener = listen_at (f->address);
  int seconds = 5;

  if (f->listen == LISTEN_DEFERRED)
    setsockopt (listener, IPPROTO_TCP, TCP_DEFER_ACCEPT, &seconds,
                sizeof seconds);
  f->server = fork ();
  CU_ASSERT_FATAL (f->server >= 0);
  if (f->server == 0)
    run_server (f, listener);
  wait_until_told (f);
  if (f->listen == LISTEN_SHARED)
    f->shared = listener;
  else
    close (listener);
}

static inline void
on_blocked (struct ev_loop *ev, ev_io *w, int events)
{
  struct fixture *f = w->data;

  (void) events;
  ev_io_stop (ev, w);
  waitpid (f->server, NULL, 0);
  start_server (f);
}

static inline void
on_watch (struct ev_loop *ev, ev_timer *w, int events)
{
  struct fixture *f = w->data;

  (void) events;
  if (waitpid (f->server, NULL, WNOHANG) != f->server)
    return;
  ev_timer_stop (ev, w);
  start_server (f);
}

static inline void
on_done (void *self, struct tk_msg *m)
{
  struct fixture *f = self;

  CU_ASSERT_EQUAL (m->kind, TK_FORWARD_DONE);
  f->done = m;
  ev_break (f->loop.ev, EVBREAK_ALL);
}

/* Sends a request and returns how it ended; the caller frees the message.  */
static inline struct tk_msg *
request (struct fixture *f, const char *path)
{
  struct tk_msg *m = tk_msg_new (TK_FORWARD);
  struct tk_forward *x = &m->u.forward;

  f->done = NULL;
  x->id = 7;
  snprintf (x->address, sizeof x->address, "%s", f->address);
  zp_buf_put (&x->method, ZP_STR ("GET"));
  zp_buf_put (&x->target, zp_str_from (path));
  zp_buf_put (&x->request_id, ZP_STR ("r7"));
  zp_buf_put (&x->health_path, ZP_STR (HEALTH_PATH));
  x->deadline = zp_clock_mono () + REQUEST_TIMEOUT;
  test_guard_start (&f->guard, f->loop.ev, 10.0);
  tk_send (fw_client_task (f->client), m);
  while (!f->done && !f->guard.fired)
    ev_run (f->loop.ev, EVRUN_ONCE);
  test_guard_stop (&f->guard, f->loop.ev);
  CU_ASSERT_FATAL (f->done != NULL);
  return f->done;
}

/* Runs the client until the server has answered a call and the client has read
   the answer.  */
static inline void
run_until_called (struct fixture *f)
{
  struct pollfd p = { .fd = f->told[0], .events = POLLIN };

  for (int ms = 0; ms < TELL_MS && poll (&p, 1, 1) == 0; ms++)
    ev_run (f->loop.ev, EVRUN_NOWAIT);
  wait_until_told (f);
  ev_run (f->loop.ev, EVRUN_NOWAIT);
  usleep (1000);
}

/* Sends sound requests until one is proved.  Returns how many were lost.  */
static inline unsigned
warm_up (struct fixture *f)
{
  unsigned lost = 0;

  for (;;)
    {
      struct tk_msg *m = request (f, WARM_PATH);
      bool whole = m->u.done.end == TK_END_ANSWER;
      tk_msg_free (m);
      if (whole || lost == WARM_MAX)
        return lost;
      lost++;
      run_until_called (f);
    }
}

/* Sends one request to a server that answers with STEPS, and returns how it
   ended; the caller frees the message.  */
static inline struct tk_msg *
exchange_with (const struct step *steps, bool restarts,
               enum listen_kind listen, enum history_kind history)
{
  struct fixture f = {
    .steps = steps, .restarts = restarts, .listen = listen, .shared = -1
  };

  CU_ASSERT_FATAL (pipe2 (f.blocked, O_CLOEXEC) == 0);
  CU_ASSERT_FATAL (pipe2 (f.told, O_CLOEXEC) == 0);
  snprintf (f.address, sizeof f.address, "%s", test_address (PORT));
  tk_loop_init (&f.loop);
  tk_task_init (&f.task, &f.loop, on_done, &f);
  f.client = fw_client_open_with (&f.loop, &f.task, &strict);
  start_server (&f);
  ev_timer_init (&f.watch, on_watch, 0.001, 0.001);
  f.watch.data = &f;
  ev_io_init (&f.on_blocked, on_blocked, f.blocked[0], EV_READ);
  f.on_blocked.data = &f;
  ev_io_start (f.loop.ev, &f.on_blocked);
  /* Guards against more than one sound answer that is lost.  */
  if (history == HISTORY_WARM)
    CU_ASSERT_EQUAL (warm_up (&f), 1);
  if (restarts)
    ev_timer_start (f.loop.ev, &f.watch);
  struct tk_msg *done = request (&f, "/x");

  ev_timer_stop (f.loop.ev, &f.watch);
  ev_io_stop (f.loop.ev, &f.on_blocked);
  fw_client_close (f.client);
  tk_task_free (&f.task);
  tk_loop_free (&f.loop);
  kill (f.server, SIGKILL);
  waitpid (f.server, NULL, 0);
  close (f.blocked[0]);
  close (f.blocked[1]);
  close (f.told[0]);
  close (f.told[1]);
  if (f.shared >= 0)
    close (f.shared);
  return done;
}

static inline struct tk_msg *
exchange (const struct step *steps, enum history_kind history)
{
  return exchange_with (steps, false, LISTEN_ALONE, history);
}

static inline void
check_lost_after (const struct step *steps, bool restarts,
                  enum listen_kind listen, enum history_kind history)
{
  struct tk_msg *m = exchange_with (steps, restarts, listen, history);

  CU_ASSERT_EQUAL (m->u.done.end, TK_END_LOST);
  CU_ASSERT_EQUAL (m->u.done.verdict, ZP_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (m->u.done.body.len, 0);
  tk_msg_free (m);
}

static inline void
check_lost_with (const struct step *steps, bool restarts,
                 enum listen_kind listen)
{
  check_lost_after (steps, restarts, listen, HISTORY_COLD);
  check_lost_after (steps, restarts, listen, HISTORY_WARM);
}

static inline void
check_lost (const struct step *steps, bool restarts)
{
  check_lost_with (steps, restarts, LISTEN_ALONE);
}

static inline void
check_whole (const struct step *steps, enum history_kind history)
{
  struct tk_msg *m = exchange (steps, history);

  CU_ASSERT_EQUAL (m->u.done.end, TK_END_ANSWER);
  CU_ASSERT (zp_str_eq (zp_str_of (&m->u.done.body), ZP_STR (BODY)));
  tk_msg_free (m);
}

#endif
