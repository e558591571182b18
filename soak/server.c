/* A backend server of the platform soak, with faults in its answers.

   Usage: zp-soak-server SEED NAME SERVICE ZONE ADDRESS CONTROLS RECORD BEGAN
          PLAN

   CONTROLS is a list of control daemons, separated by commas.  PLAN is the
   output of "soak/plan --platform"; the lines "AT FOR server NAME KIND DOSE"
   with its own NAME apply, at AT ms after BEGAN, which is in ms of the
   monotonic clock.  During that time, DOSE percent of the answers have the
   fault KIND, one of the table below.  zp-soak-server --kinds prints them.

   At a line "AT FOR leave NAME HOW", the server leaves: it reports that it is
   draining (HOW is "draining") or sends Instances.Deregister and no more reports
   ("silent"), serves for FOR ms after the ack, and ends.  A copy of its last
   report from before arrives late.

   The program starts itself again as a child process, which serves.  When the
   child is killed, the next one follows, at once or after up to 2 s, with
   another lifetime and mostly another id.

   RECORD gets a line for each attempt before its answer is sent:

     run MS SERVER ID STAMP SERVICE METHOD PATH BODY STATUS LEN HASH KIND
     refused MS SERVER ID STATUS KIND
     left MS PROCESS     an ack says that it is known that the server leaves
     gone MS PROCESS     it has left and ends

   BODY is the hash of the request's body, LEN and HASH belong to the body that
   a caller must receive, which depends on ID and STAMP.  */

#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/rng.h"
#include "message.h"

#define CAPACITY 12                    /* requests that run at a time */
#define REPORT_INTERVAL (1500 * ZP_MS) /* "server_report" of the daemons */
#define REPORT_STEP (100 * ZP_MS)
#define IDLE_TIMEOUT (60 * ZP_SEC)       /* above the length of a plan */
#define ENDLESS_BYTES (16 * 1024 * 1024) /* then the connection is reset */
#define RESTART_MS 2000                  /* longest pause before a restart */
#define EVENTS_MAX 64
#define LEAVES_MAX 16
#define LEAVE_PATIENCE (5 * ZP_SEC) /* for an ack, before it leaves without */
#define CONTROLS_MAX 8

enum framing
{
  LENGTH,
  CHUNKED,
  UNFRAMED /* the end of the connection ends the body */
};

enum fault_kind
{
  SOUND,
  CUT,
  KILL,
  COPY,
  GARBAGE,
  ENDLESS,
  SLOW,
  REFUSE,
  FAIL
};

struct fault
{
  const char *name;
  enum framing framing;
  bool empty; /* the body has no bytes */
  enum fault_kind kind;
  union
  {
    struct
    {
      bool reset;
    } cut;
    struct
    {
      unsigned late_ms; /* longest pause before the copy */
      bool split;       /* with a pause inside the copy */
      bool cut;         /* only the first half of the copy */
      bool refusal;     /* of a refusal */
      bool earlier;     /* of the answer before on the connection */
    } copy;
    struct
    {
      bool tail; /* the end of the body again, not random bytes */
    } garbage;
    struct
    {
      bool head;
    } endless;
  } u;
};

static const struct fault sound = { .name = "none" };

static const struct fault faults[] = {
  { .name = "none" },
  { .name = "cut-fin", .kind = CUT },
  { .name = "cut-rst", .kind = CUT, .u.cut = { .reset = true } },
  { .name = "killed", .kind = KILL },
  { .name = "copy", .kind = COPY },
  { .name = "copy-late", .kind = COPY, .u.copy = { .late_ms = 100 } },
  { .name = "copy-split",
    .kind = COPY,
    .u.copy = { .late_ms = 20, .split = true } },
  { .name = "copy-cut",
    .kind = COPY,
    .u.copy = { .late_ms = 20, .cut = true } },
  { .name = "copy-earlier",
    .kind = COPY,
    .u.copy = { .late_ms = 20, .earlier = true } },
  { .name = "copy-refusal",
    .kind = COPY,
    .u.copy = { .late_ms = 50, .refusal = true } },
  { .name = "chunked", .framing = CHUNKED },
  { .name = "chunked-cut", .framing = CHUNKED, .kind = CUT },
  { .name = "chunked-killed", .framing = CHUNKED, .kind = KILL },
  { .name = "chunked-copy",
    .framing = CHUNKED,
    .kind = COPY,
    .u.copy = { .late_ms = 20 } },
  { .name = "zero", .empty = true },
  { .name = "zero-copy",
    .empty = true,
    .kind = COPY,
    .u.copy = { .late_ms = 20 } },
  { .name = "garbage", .kind = GARBAGE },
  { .name = "garbage-tail", .kind = GARBAGE, .u.garbage = { .tail = true } },
  { .name = "endless-head", .kind = ENDLESS, .u.endless = { .head = true } },
  { .name = "endless-body", .framing = CHUNKED, .kind = ENDLESS },
  { .name = "slow", .kind = SLOW },
  { .name = "refuse", .kind = REFUSE },
  { .name = "fail", .kind = FAIL },
  { .name = "unframed", .framing = UNFRAMED },
  { .name = "unframed-rst",
    .framing = UNFRAMED,
    .kind = CUT,
    .u.cut = { .reset = true } },
  { .name = "unframed-killed", .framing = UNFRAMED, .kind = KILL },
  { .name = "unframed-copy", .framing = UNFRAMED, .kind = COPY },
  { .name = "unframed-copy-late",
    .framing = UNFRAMED,
    .kind = COPY,
    .u.copy = { .late_ms = 100 } },
  { .name = "unframed-copy-cut",
    .framing = UNFRAMED,
    .kind = COPY,
    .u.copy = { .late_ms = 20, .cut = true } },
};

#define FAULTS (sizeof faults / sizeof faults[0])

/* A fault of the plan.  */
struct event
{
  zp_time from, until;
  const struct fault *fault;
  unsigned dose; /* percent of the answers */
};

/* A planned leave.  */
struct leave
{
  zp_time at, lasts;
  bool reports; /* that it is draining */
};

/* All but the counters is written before the threads start.  */
struct server
{
  uint32_t seed;
  const char *name, *service, *zone, *address;
  char id[64];
  unsigned start; /* number of the child process */
  char *control[CONTROLS_MAX];
  unsigned controls;
  int record;
  struct event event[EVENTS_MAX];
  unsigned events;
  struct leave leave[LEAVES_MAX];
  unsigned leaves;
  int listener;
  atomic_uint connections, runs, running;
  atomic_bool draining;
};

/* A connection, owned by one thread.  */
struct session
{
  struct server *server;
  struct sk_conn conn;
  struct zp_rng rng;
  struct sk_message request;
  struct zp_buf previous; /* the answer before */
};

/* One attempt to run a request.  */
struct attempt
{
  const struct fault *fault;
  struct zp_str id, method;
  char path[256];
  char stamp[96];
  unsigned status;
  size_t len;              /* of the body */
  struct zp_buf body, out; /* OUT: the whole answer */
  size_t head_len;         /* bytes of OUT before the body */
};

static void
pause_for (zp_time t)
{
  if (t > 0)
    usleep ((useconds_t) t);
}

static zp_time
random_ms (struct session *s, unsigned max)
{
  return max == 0 ? 0 : (1 + zp_rng_below (&s->rng, max)) * ZP_MS;
}

static bool
is_head (const struct attempt *a)
{
  return zp_str_eq (a->method, ZP_STR ("HEAD"));
}

static const struct fault *
draw_fault (struct session *s)
{
  struct server *v = s->server;
  zp_time now = zp_clock_mono ();

  for (unsigned i = 0; i < v->events; i++)
    {
      const struct event *e = &v->event[i];
      if (now >= e->from && now < e->until
          && zp_rng_below (&s->rng, 100) < e->dose)
        return e->fault;
    }
  return &sound;
}

/* Writes the answer of A to A->out.  */
static void
put_answer (struct server *v, struct attempt *a)
{
  const struct fault *f = a->fault;

  zp_buf_printf (&a->out,
                 "HTTP/1.1 %u Status\r\nX-Request-Id: %.*s\r\n"
                 "X-Server-Stamp: %s\r\nX-Server-Load: %u,0,%u\r\n",
                 a->status, ZP_ARG (a->id), a->stamp,
                 atomic_load (&v->running), CAPACITY);
  switch (f->framing)
    {
    case LENGTH:
      zp_buf_printf (&a->out, "Content-Length: %zu\r\n\r\n", a->body.len);
      break;
    case CHUNKED:
      zp_buf_put (&a->out, ZP_STR ("Transfer-Encoding: chunked\r\n\r\n"));
      break;
    case UNFRAMED:
      zp_buf_put (&a->out, ZP_STR ("Connection: close\r\n\r\n"));
      break;
    }
  a->head_len = a->out.len;
  if (is_head (a))
    return;
  if (f->framing != CHUNKED)
    {
      zp_buf_put (&a->out, zp_str_of (&a->body));
      return;
    }
  for (size_t at = 0; at < a->body.len;)
    {
      size_t n = a->body.len - at < 1000 ? a->body.len - at : 1000;
      zp_buf_printf (&a->out, "%zx\r\n", n);
      zp_buf_put_bytes (&a->out, a->body.ptr + at, n);
      zp_buf_put (&a->out, ZP_STR ("\r\n"));
      at += n;
    }
  if (f->kind != ENDLESS)
    zp_buf_put (&a->out, ZP_STR ("0\r\n\r\n"));
}

/* A place to cut an answer: in the head in one case of three.  */
static size_t
cut_point (struct session *s, const struct attempt *a)
{
  size_t n = zp_rng_below (&s->rng, 3) == 0 ? a->head_len : a->out.len;

  return zp_rng_below (&s->rng, (uint32_t) n);
}

static struct zp_str
part (struct zp_str s, size_t from, size_t until)
{
  return (struct zp_str){ .ptr = s.ptr + from, .len = until - from };
}

static bool
send_copy (struct session *s, const struct fault *f, struct zp_str copy)
{
  size_t half = copy.len / 2;

  pause_for (random_ms (s, f->u.copy.late_ms));
  if (f->u.copy.cut)
    {
      sk_send (&s->conn, part (copy, 0, half));
      return false;
    }
  if (!f->u.copy.split)
    return sk_send (&s->conn, copy);
  if (!sk_send (&s->conn, part (copy, 0, half)))
    return false;
  pause_for (random_ms (s, 20));
  return sk_send (&s->conn, part (copy, half, copy.len));
}

static void
send_endless (struct session *s, bool head)
{
  struct zp_buf b = { .ptr = NULL };

  for (int i = 0; i < 64; i++)
    if (head)
      zp_buf_printf (&b, "X-More-%d: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
                     i);
    else
      zp_buf_put (&b, ZP_STR ("20\r\nBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBBB\r\n"));
  for (size_t n = 0; n < ENDLESS_BYTES && sk_send (&s->conn, zp_str_of (&b));)
    n += b.len;
  zp_buf_free (&b);
}

/* Sends the answer of A with its fault.  Returns false when the connection is
   closed.  */
static bool
send_answer (struct session *s, struct attempt *a)
{
  const struct fault *f = a->fault;
  struct zp_str out = zp_str_of (&a->out);
  bool open = true;

  switch (f->kind)
    {
    case CUT:
      sk_send (&s->conn, part (out, 0, cut_point (s, a)));
      sk_close (&s->conn, f->u.cut.reset);
      return false;
    case KILL:
      sk_send (&s->conn, part (out, 0, cut_point (s, a)));
      /* Most of the time, the daemon has read the bytes before the end.  */
      pause_for (random_ms (s, 20));
      kill (getpid (), SIGKILL);
      return false;
    case ENDLESS:
      sk_send (&s->conn,
               part (out, 0, f->u.endless.head ? a->head_len - 2 : out.len));
      send_endless (s, f->u.endless.head);
      sk_close (&s->conn, true);
      return false;
    case SLOW:
      open = sk_send (&s->conn, part (out, 0, out.len / 2));
      pause_for (random_ms (s, 400));
      open = open && sk_send (&s->conn, part (out, out.len / 2, out.len));
      break;
    case COPY:
      open = sk_send (&s->conn, out);
      if (!f->u.copy.earlier)
        open = open && send_copy (s, f, out);
      else if (s->previous.len > 0)
        open = open && send_copy (s, f, zp_str_of (&s->previous));
      break;
    case GARBAGE:
      open = sk_send (&s->conn, out);
      pause_for (random_ms (s, 20) - ZP_MS);
      zp_buf_clear (&s->previous);
      sk_body (&s->previous, a->id, ZP_STR ("garbage"),
               1 + zp_rng_below (&s->rng, 300));
      if (f->u.garbage.tail && out.len > 0)
        out = part (out, zp_rng_below (&s->rng, (uint32_t) out.len), out.len);
      else
        out = zp_str_of (&s->previous);
      open = open && sk_send (&s->conn, out);
      break;
    case SOUND:
    case REFUSE:
    case FAIL:
      open = sk_send (&s->conn, out);
      break;
    }
  zp_buf_clear (&s->previous);
  zp_buf_put (&s->previous, zp_str_of (&a->out));
  if (open && f->framing != UNFRAMED)
    return true;
  sk_close (&s->conn, false);
  return false;
}

/* Most bodies are short; some need several reads.  */
static size_t
draw_length (struct session *s, const struct fault *f)
{
  if (f->empty)
    return 0;
  return zp_rng_below (&s->rng, 10) == 0 ? zp_rng_below (&s->rng, 200000)
                                         : 1 + zp_rng_below (&s->rng, 4000);
}

static bool
run (struct session *s, struct attempt *a)
{
  struct server *v = s->server;

  snprintf (a->stamp, sizeof a->stamp, "%s.%u.%u", v->id, v->start,
            atomic_fetch_add (&v->runs, 1));
  a->status = a->fault->kind == FAIL ? 500 : 200;
  sk_body (&a->body, a->id, zp_str_from (a->stamp), draw_length (s, a->fault));
  put_answer (v, a);
  struct zp_str body = zp_str_of (&a->body);
  if (is_head (a))
    body.len = 0;
  sk_record (
      v->record, "run %lld %s %.*s %s %s %.*s %s %016llx %u %zu %016llx %s",
      (long long) (zp_clock_mono () / ZP_MS), v->id, ZP_ARG (a->id), a->stamp,
      v->service, ZP_ARG (a->method), a->path,
      (unsigned long long) zp_str_hash (zp_str_of (&s->request.body), 0),
      a->status, body.len, (unsigned long long) zp_str_hash (body, 0),
      a->fault->name);
  pause_for (random_ms (s, 8));
  return send_answer (s, a);
}

/* Answers that the request has not run.  */
static bool
refuse (struct session *s, struct attempt *a, unsigned status)
{
  const struct fault *f = a->fault;

  a->status = status;
  zp_buf_printf (&a->out,
                 "HTTP/1.1 %u Status\r\nX-Request-Id: %.*s\r\n"
                 "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
                 a->status, ZP_ARG (a->id));
  sk_record (s->server->record, "refused %lld %s %.*s %u %s",
             (long long) (zp_clock_mono () / ZP_MS), s->server->id,
             ZP_ARG (a->id), a->status, f->name);
  a->head_len = a->out.len;
  return send_answer (s, a);
}

static bool
answer (struct session *s)
{
  struct server *v = s->server;
  struct sk_message *q = &s->request;
  struct attempt a = { .id = sk_header (q, "X-Request-Id") };
  struct zp_str path, tail, expect = sk_header (q, "X-Expect-Instance");
  bool open;

  if (!zp_str_split (zp_str_of (&q->head), ' ', &a.method, &tail)
      || !zp_str_split (tail, ' ', &path, &tail)
      || !zp_str_copy (a.path, sizeof a.path, path))
    return false;
  if (strcmp (a.path, "/health") == 0)
    {
      zp_buf_printf (&a.out,
                     "HTTP/1.1 %s\r\nX-Instance-Id: %s\r\n"
                     "X-Server-Load: %u,0,%u\r\nContent-Length: 0\r\n\r\n",
                     atomic_load (&v->draining) ? "503 Draining" : "200 OK",
                     v->id, atomic_load (&v->running), CAPACITY);
      open = sk_send (&s->conn, zp_str_of (&a.out));
      zp_buf_free (&a.out);
      return open;
    }
  a.fault = draw_fault (s);
  unsigned before = atomic_fetch_add (&v->running, 1);
  if (expect.len > 0 && !zp_str_eq (expect, zp_str_from (v->id)))
    {
      a.fault = &sound;
      open = refuse (s, &a, 421);
    }
  else if (a.fault->kind == REFUSE
           || (a.fault->kind == COPY && a.fault->u.copy.refusal))
    open = refuse (s, &a, 503);
  else if (before >= CAPACITY)
    {
      a.fault = &sound;
      open = refuse (s, &a, 503);
    }
  else
    open = run (s, &a);
  atomic_fetch_sub (&v->running, 1);
  zp_buf_free (&a.out);
  zp_buf_free (&a.body);
  return open;
}

static void *
serve (void *self)
{
  struct session *s = self;

  while (sk_read (&s->conn, SK_REQUEST, zp_clock_mono () + IDLE_TIMEOUT,
                  &s->request)
             == SK_WHOLE
         && answer (s))
    ;
  sk_close (&s->conn, false);
  sk_message_free (&s->request);
  zp_buf_free (&s->previous);
  free (s);
  return NULL;
}

/* Sends one report; CALL is "Heartbeat" or "Deregister".  Returns the status of
   the answer, or 0.  */
static unsigned
report (struct server *v, const char *control, const char *call,
        struct zp_str body)
{
  struct sk_conn c = { .fd = -1 };
  struct sk_message m = { .status = 0 };
  struct zp_buf out = { .ptr = NULL };

  zp_buf_printf (&out,
                 "POST /Instances.%s/%s HTTP/1.1\r\nHost: control\r\n"
                 "Content-Type: application/json\r\nConnection: close\r\n"
                 "Content-Length: %zu\r\n\r\n%.*s",
                 call, v->id, body.len, ZP_ARG (body));
  if (sk_dial (&c, control) && sk_send (&c, zp_str_of (&out)))
    sk_read (&c, SK_ANSWER, zp_clock_mono () + ZP_SEC, &m);
  unsigned status = m.status;
  sk_close (&c, false);
  zp_buf_free (&out);
  sk_message_free (&m);
  return status;
}

/* What the reporting thread knows.  */
struct reporter
{
  struct server *server;
  unsigned at; /* index of the control daemon to call */
  unsigned seq;
  zp_time started;
  long long born;
  struct zp_buf body;
};

/* Calls the control daemons in turn until one acknowledges.  */
static bool
call_any (struct reporter *r, const char *call, struct zp_str body)
{
  struct server *v = r->server;

  for (unsigned i = 0; i < v->controls; i++)
    {
      unsigned status = report (v, v->control[r->at], call, body);
      if (status / 100 == 2)
        return true;
      fprintf (stderr, "%s: %s %u to %s: status %u\n", v->id, call, r->seq,
               v->control[r->at], status);
      r->at = (r->at + 1) % v->controls;
    }
  return false;
}

static bool
send_heartbeat (struct reporter *r, const char *state)
{
  const struct server *v = r->server;

  zp_buf_clear (&r->body);
  zp_buf_printf (&r->body,
                 "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
                 "\"version\":\"v1\",\"capacity\":%d,\"state\":\"%s\","
                 "\"warmupLeft\":\"0ms\",\"seq\":%u,\"born\":%lld}",
                 v->service, v->address, v->zone, CAPACITY, state, ++r->seq,
                 r->born);
  return call_any (r, "Heartbeat", zp_str_of (&r->body));
}

static bool
send_leave (struct reporter *r)
{
  zp_buf_clear (&r->body);
  zp_buf_printf (&r->body, "{\"born\":%lld}", r->born);
  return call_any (r, "Deregister", zp_str_of (&r->body));
}

static void
record_process (const struct server *v, const char *what)
{
  sk_record (v->record, "%s %lld %s.%u", what,
             (long long) (zp_clock_mono () / ZP_MS), v->id, v->start);
}

/* Leaves as L says and ends the process.  */
static void
leave (struct reporter *r, const struct leave *l)
{
  struct server *v = r->server;
  struct zp_buf late = zp_buf_from (zp_str_of (&r->body));
  zp_time until = zp_clock_mono () + LEAVE_PATIENCE;
  bool known = false;

  atomic_store (&v->draining, true);
  while (!known && zp_clock_mono () < until)
    {
      known = l->reports ? send_heartbeat (r, "draining") : send_leave (r);
      if (!known)
        pause_for (REPORT_STEP);
    }
  if (known)
    {
      record_process (v, "left");
      until = zp_clock_mono () + l->lasts;
    }
  while (zp_clock_mono () < until)
    {
      pause_for (REPORT_INTERVAL);
      r->at = (r->at + 1) % v->controls;
      call_any (r, "Heartbeat", zp_str_of (&late));
      if (l->reports)
        send_heartbeat (r, "draining");
    }
  if (l->reports)
    send_leave (r);
  record_process (v, "gone");
  kill (getpid (), SIGKILL);
}

/* Sends reports while the process runs.  */
static void *
report_all (void *self)
{
  struct server *v = self;
  struct reporter r = { .server = v,
                        .started = zp_clock_mono (),
                        .born = zp_clock_wall () / ZP_MS };

  for (;;)
    {
      bool known = send_heartbeat (&r, "ready");
      zp_time next
          = zp_clock_mono () + (known ? REPORT_INTERVAL : REPORT_STEP);
      for (; zp_clock_mono () < next; pause_for (REPORT_STEP))
        for (unsigned i = 0; i < v->leaves; i++)
          if (v->leave[i].at > r.started && v->leave[i].at <= zp_clock_mono ())
            leave (&r, &v->leave[i]);
    }
  return NULL;
}

/* Reads a line of the plan with a leave.  */
static void
read_leave (struct server *v, const char *line, zp_time began)
{
  long long at, lasts;
  char name[32], how[32];

  if (sscanf (line, "%lld %lld leave %31s %31s", &at, &lasts, name, how) == 4
      && strcmp (name, v->name) == 0 && v->leaves < LEAVES_MAX)
    v->leave[v->leaves++]
        = (struct leave){ .at = began + at * ZP_MS,
                          .lasts = lasts * ZP_MS,
                          .reports = strcmp (how, "draining") == 0 };
}

static void
read_plan (struct server *v, const char *file, zp_time began)
{
  long long at, lasts;
  char name[32], kind[32], line[200];
  unsigned dose;
  FILE *f = fopen (file, "r");

  if (!f)
    {
      perror (file);
      exit (2);
    }
  while (fgets (line, sizeof line, f) && v->events < EVENTS_MAX)
    {
      read_leave (v, line, began);
      if (sscanf (line, "%lld %lld server %31s %31s %u", &at, &lasts, name,
                  kind, &dose)
              != 5
          || strcmp (name, v->name) != 0)
        continue;
      struct event *e = &v->event[v->events++];
      *e = (struct event){ .from = began + at * ZP_MS,
                           .until = began + (at + lasts) * ZP_MS,
                           .dose = dose };
      for (size_t i = 0; i < FAULTS; i++)
        if (strcmp (faults[i].name, kind) == 0)
          e->fault = &faults[i];
      if (!e->fault)
        {
          fprintf (stderr, "%s: no fault is named %s\n", file, kind);
          exit (2);
        }
    }
  fclose (f);
}

static void
serve_all (struct server *v)
{
  struct zp_rng rng;
  pthread_t thread;

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  zp_rng_seed (&rng, v->seed + v->start);
  /* A server may start again under the id that it had.  */
  unsigned id
      = v->start > 0 && zp_rng_below (&rng, 5) == 0 ? v->start - 1 : v->start;
  snprintf (v->id, sizeof v->id, "i-%s-%u", v->name, id);
  v->listener = sk_listen (v->address);
  if (v->listener < 0)
    {
      perror (v->address);
      exit (2);
    }
  if (pthread_create (&thread, NULL, report_all, v) != 0)
    exit (2);
  for (;;)
    {
      int fd = accept (v->listener, NULL, NULL);
      if (fd < 0)
        continue;
      struct session *s = aligned_alloc (_Alignof(struct session), sizeof *s);
      if (!s)
        exit (2);
      memset (s, 0, sizeof *s);
      s->server = v;
      s->conn.fd = fd;
      zp_rng_seed (&s->rng, v->seed + 1000 * v->start
                                + atomic_fetch_add (&v->connections, 1));
      if (pthread_create (&thread, NULL, serve, s) != 0)
        exit (2);
      pthread_detach (thread);
    }
}

static volatile sig_atomic_t stopped;
static volatile sig_atomic_t child;

static void
on_term (int signal_number)
{
  (void) signal_number;
  stopped = 1;
  if (child > 0)
    kill (child, SIGKILL);
}

/* Starts the serving process again each time that it was killed.  */
static int
supervise (struct server *v)
{
  struct sigaction term = { .sa_handler = on_term };
  struct zp_rng rng;

  zp_rng_seed (&rng, v->seed);
  sigaction (SIGTERM, &term, NULL);
  for (; !stopped; v->start++)
    {
      int status;
      pid_t pid = fork ();
      if (pid < 0)
        return 2;
      if (pid == 0)
        {
          signal (SIGTERM, SIG_DFL);
          serve_all (v);
        }
      child = pid;
      while (waitpid (pid, &status, 0) < 0)
        if (errno != EINTR)
          return 2;
      child = 0;
      if (!WIFSIGNALED (status) || WTERMSIG (status) != SIGKILL)
        {
          fprintf (stderr, "%s: the process ended with wait status %#x\n",
                   v->name, (unsigned) status);
          return 2;
        }
      if (!stopped && zp_rng_below (&rng, 3) > 0)
        pause_for (zp_rng_below (&rng, RESTART_MS) * ZP_MS);
    }
  return 0;
}

int
main (int argc, char **argv)
{
  static struct server v;
  char *save = NULL;

  if (argc == 2 && strcmp (argv[1], "--kinds") == 0)
    {
      for (size_t i = 0; i < FAULTS; i++)
        puts (faults[i].name);
      return 0;
    }
  if (argc != 10)
    {
      fputs ("zp-soak-server: wrong usage, see soak/server.c\n", stderr);
      return 2;
    }
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  v.name = argv[2];
  v.seed = (uint32_t) zp_str_hash (zp_str_from (v.name),
                                   strtoull (argv[1], NULL, 10));
  v.service = argv[3];
  v.zone = argv[4];
  v.address = argv[5];
  for (char *c = strtok_r (argv[6], ",", &save);
       c && v.controls < CONTROLS_MAX; c = strtok_r (NULL, ",", &save))
    v.control[v.controls++] = c;
  v.record = sk_record_open (argv[7]);
  if (v.record < 0)
    {
      perror (argv[7]);
      return 2;
    }
  read_plan (&v, argv[9], strtoll (argv[8], NULL, 10) * ZP_MS);
  return supervise (&v);
}
