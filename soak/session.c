#include "session.h"

#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "answer.h"
#include "message.h"

#define IDLE_TIMEOUT (60 * ZP_SEC)       /* above the length of a plan */
#define ENDLESS_BYTES (16 * 1024 * 1024) /* then the connection is reset */
#define FAIL_PERCENT 10                  /* of the sound answers */
#define REFUSE_PERCENT 3                 /* of the sound answers */
#define PAUSE_MS 100                     /* longest pause of a fault */
#define SPLIT_MS 20                      /* longest pause in what is split */
#define SLOW_MS 400                      /* the same, in a whole answer */
#define NEXT_REQUEST_MS 2000             /* longest wait for a request */
#define GIVE_UP_MS 300                   /* the same, after a broken answer */

/* A connection, owned by one thread.  */
struct session
{
  struct sk_server *server;
  struct sk_conn conn;
  struct zp_rng rng;
  struct sk_message request;
  struct sk_answer previous;      /* the answer before, empty at first */
  struct sk_answer refusal;       /* the last refusal, empty at first */
  struct zp_buf joined;           /* bytes that go with the next answer */
  char last_fault[SK_FAULT_TEXT]; /* "-" without one */
};

/* One attempt to run a request.  */
struct attempt
{
  struct sk_fault fault;
  struct zp_str id, method;
  char path[256];
  char stamp[96]; /* empty when the request is refused */
  unsigned status;
  struct zp_buf body;
  struct sk_answer answer;
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

/* Draws the framing of a sound answer.  */
static enum sk_frame
draw_frame (struct session *s)
{
  unsigned percent = zp_rng_below (&s->rng, 100);

  return percent < 70   ? SK_FRAME_LENGTH
         : percent < 80 ? SK_FRAME_ZERO
         : percent < 95 ? SK_FRAME_CHUNKED
                        : SK_FRAME_CLOSE;
}

/* Draws the fault of an answer, with a status and an order.  */
static struct sk_fault
draw_fault (struct session *s)
{
  struct sk_server *v = s->server;
  struct sk_fault f = { .frame = draw_frame (s) };
  zp_time now = zp_clock_mono ();
  bool drawn = false;

  for (unsigned i = 0; i < v->events && !drawn; i++)
    {
      const struct sk_event *e = &v->event[i];
      if (now < e->from || now >= e->until + GIVE_UP_MS * ZP_MS)
        continue;
      /* A server that leaves has to serve until its end.  */
      drawn = now < e->until && zp_rng_below (&s->rng, 100) < e->dose
              && (e->fault.follow != SK_FOLLOW_KILL
                  || !atomic_load (&v->draining));
      if (drawn)
        f = e->fault;
      /* A kill would make it the fault that KNOWN-RED.txt has.  */
      else if (e->fault.follow == SK_FOLLOW_KILL && f.frame == SK_FRAME_CLOSE)
        f.frame = SK_FRAME_LENGTH;
    }
  if (f.order == SK_ORDER_ANY)
    f.order = SK_ORDER_FIRST + zp_rng_below (&s->rng, 3);
  /* The place of the damage has to be there.  */
  if (f.at == SK_AT_BEFORE && f.order == SK_ORDER_FIRST)
    f.order = SK_ORDER_LAST;
  if (f.at == SK_AT_AFTER && f.order == SK_ORDER_LAST)
    f.order = SK_ORDER_FIRST;
  /* Without an earlier refusal, the copy is one of the answer.  */
  if (f.part == SK_PART_REFUSAL && s->refusal.bytes.len == 0)
    f.status = SK_STATUS_REFUSE;
  if (f.part == SK_PART_EARLIER && s->previous.bytes.len == 0)
    f.part = SK_PART_COPY;
  if (f.status == SK_STATUS_ANY)
    {
      unsigned percent = zp_rng_below (&s->rng, 100);
      f.status = percent < FAIL_PERCENT                    ? SK_STATUS_FAIL
                 : percent < FAIL_PERCENT + REFUSE_PERCENT ? SK_STATUS_REFUSE
                                                           : SK_STATUS_OK;
    }
  return f;
}

/* Writes an answer with STATUS to the request of A.  NOT_RUN makes it a
   refusal.  */
static void
write_answer (struct session *s, const struct attempt *a, unsigned status,
              bool not_run, struct zp_str body, struct sk_answer *to)
{
  char load[32];

  snprintf (load, sizeof load, "%u,0,%u", atomic_load (&s->server->running),
            SK_CAPACITY);
  sk_answer_write (to,
                   &(struct sk_answer_plan){
                       .status = status,
                       .frame = not_run ? SK_FRAME_ZERO : a->fault.frame,
                       .order = a->fault.order,
                       .id = a->id,
                       .not_run = not_run,
                       .stamp = not_run ? "" : a->stamp,
                       .load = load,
                       .body = body,
                       .head_request = is_head (a),
                       .endless = a->fault.part == SK_PART_ENDLESS },
                   &s->rng);
}

/* Writes an answer to the request of A with another status: 500 or a
   refusal.  */
static void
write_unlike (struct session *s, const struct attempt *a, struct sk_answer *to)
{
  struct zp_buf body = { .ptr = NULL };
  bool ran = a->stamp[0] != '\0';

  if (a->status == 500 || (ran && zp_rng_below (&s->rng, 2) == 0))
    write_answer (s, a, 503, true, ZP_STR (""), to);
  else
    {
      if (a->fault.frame != SK_FRAME_ZERO)
        sk_body (&body, a->id, ZP_STR ("unlike"),
                 1 + zp_rng_below (&s->rng, 300));
      write_answer (s, a, 500, false, zp_str_of (&body), to);
    }
  zp_buf_free (&body);
}

/* Sends BYTES, in one segment with those that wait for them.  */
static bool
send_bytes (struct session *s, struct zp_str bytes)
{
  if (s->joined.len == 0)
    return sk_send (&s->conn, bytes);
  zp_buf_put (&s->joined, bytes);
  bool sent = sk_send (&s->conn, zp_str_of (&s->joined));
  zp_buf_clear (&s->joined);
  return sent;
}

static bool
send_split (struct session *s, struct zp_str bytes, unsigned pause_ms)
{
  struct zp_str half = { .ptr = bytes.ptr, .len = bytes.len / 2 };

  if (!send_bytes (s, half))
    return false;
  pause_for (random_ms (s, pause_ms));
  return send_bytes (s, (struct zp_str){ .ptr = bytes.ptr + half.len,
                                         .len = bytes.len - half.len });
}

/* Waits until a request comes or the connection ends.  */
static bool
wait_for_request (struct session *s, int ms)
{
  struct pollfd p = { .fd = s->conn.fd, .events = POLLIN };

  return s->conn.in.len > 0 || poll (&p, 1, ms) > 0;
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

/* Appends what the fault of A sends in excess to OUT, or the damaged answer.
   OTHER gets the whole of what is damaged.  */
static void
write_part (struct session *s, struct attempt *a, struct sk_answer *other,
            struct zp_buf *out)
{
  struct sk_fault f = a->fault;
  const struct sk_answer *from = &a->answer;
  size_t skipped;

  switch (f.part)
    {
    case SK_PART_NONE:
    case SK_PART_ENDLESS:
      return;
    case SK_PART_NOISE:
      sk_body (out, a->id, ZP_STR ("garbage"),
               1 + zp_rng_below (&s->rng, 300));
      return;
    case SK_PART_TAIL:
      skipped = zp_rng_below (&s->rng, (uint32_t) from->bytes.len);
      zp_buf_put_bytes (out, from->bytes.ptr + skipped,
                        from->bytes.len - skipped);
      return;
    case SK_PART_ANSWER:
    case SK_PART_COPY:
      break;
    case SK_PART_EARLIER:
      from = &s->previous;
      break;
    case SK_PART_REFUSAL:
      from = s->refusal.bytes.len > 0 ? &s->refusal : from;
      break;
    case SK_PART_OTHER:
      write_unlike (s, a, other);
      from = other;
      break;
    }
  if (from != other)
    sk_answer_copy (other, from);
  /* A body that ends with the connection takes up what has no request id.  */
  if (other->place[f.at].until == 0 && f.at != SK_AT_NONE)
    f.at = f.frame == SK_FRAME_CLOSE ? SK_AT_NONE : SK_AT_ANY;
  sk_answer_damage (other, &f, &s->rng, out);
}

/* Appends the bytes that follow the damaged part to OUT.  WHOLE is the part
   without damage.  */
static void
write_follow (struct session *s, struct attempt *a,
              const struct sk_answer *whole, struct zp_buf *out)
{
  struct sk_answer unlike = { .bytes.ptr = NULL };

  switch (a->fault.follow)
    {
    case SK_FOLLOW_WHOLE:
      zp_buf_put (out, zp_str_of (&whole->bytes));
      break;
    case SK_FOLLOW_UNLIKE:
      write_unlike (s, a, &unlike);
      zp_buf_put (out, zp_str_of (&unlike.bytes));
      break;
    case SK_FOLLOW_ANSWER:
    case SK_FOLLOW_FIN:
    case SK_FOLLOW_RST:
    case SK_FOLLOW_KILL:
      break;
    }
  sk_answer_free (&unlike);
}

/* Sends FIRST, then SECOND in the way of the fault.  */
static bool
send_parts (struct session *s, const struct sk_fault *f, struct zp_buf *first,
            struct zp_buf *second)
{
  bool damaged = f->part == SK_PART_ANSWER;

  switch (f->when)
    {
    case SK_WHEN_NOW:
      zp_buf_put (first, zp_str_of (second));
      return send_bytes (s, zp_str_of (first));
    case SK_WHEN_SPLIT:
      if (damaged)
        return send_split (s, zp_str_of (first),
                           f->at == SK_AT_NONE ? SLOW_MS : SPLIT_MS)
               && send_bytes (s, zp_str_of (second));
      if (!send_bytes (s, zp_str_of (first)))
        return false;
      pause_for (random_ms (s, SPLIT_MS));
      return send_split (s, zp_str_of (second), SPLIT_MS);
    case SK_WHEN_PAUSE:
      if (!send_bytes (s, zp_str_of (first)))
        return false;
      pause_for (random_ms (s, PAUSE_MS));
      return send_bytes (s, zp_str_of (second));
    case SK_WHEN_NEXT:
      return send_bytes (s, zp_str_of (first))
             && wait_for_request (
                 s, f->follow == SK_FOLLOW_KILL ? GIVE_UP_MS : NEXT_REQUEST_MS)
             && send_bytes (s, zp_str_of (second));
    case SK_WHEN_JOINED:
      if (!send_bytes (s, zp_str_of (first)))
        return false;
      zp_buf_put (&s->joined, zp_str_of (second));
      return true;
    }
  return false;
}

static void
send_faulty (struct session *s, struct attempt *a)
{
  struct sk_answer whole = { .bytes.ptr = NULL };
  struct zp_buf first = { .ptr = NULL }, second = { .ptr = NULL };

  if (a->fault.part == SK_PART_ANSWER)
    write_part (s, a, &whole, &first);
  else
    {
      zp_buf_put (&first, zp_str_of (&a->answer.bytes));
      write_part (s, a, &whole, &second);
    }
  write_follow (s, a, &whole, &second);
  if (!send_parts (s, &a->fault, &first, &second))
    sk_close (&s->conn, false);
  zp_buf_free (&first);
  zp_buf_free (&second);
  sk_answer_free (&whole);
}

/* Ends the connection in the way of the fault, if it does.  */
static void
end_answer (struct session *s, const struct sk_fault *f)
{
  switch (f->follow)
    {
    case SK_FOLLOW_KILL:
      /* Most of the time, the daemon has read the bytes before the end.  */
      pause_for (random_ms (s, SPLIT_MS));
      sk_record (s->server->record, "killed %lld %s.%u",
                 (long long) (zp_clock_mono () / ZP_MS), s->server->id,
                 s->server->start);
      kill (getpid (), SIGKILL);
      return;
    case SK_FOLLOW_FIN:
    case SK_FOLLOW_RST:
      sk_close (&s->conn, f->follow == SK_FOLLOW_RST);
      return;
    case SK_FOLLOW_ANSWER:
    case SK_FOLLOW_WHOLE:
    case SK_FOLLOW_UNLIKE:
      if (f->frame == SK_FRAME_CLOSE
          || (f->part == SK_PART_ANSWER && f->at != SK_AT_NONE
              && !wait_for_request (s, GIVE_UP_MS)))
        sk_close (&s->conn, false);
      return;
    }
}

/* Sends the answer of A with its fault.  Returns false when the connection is
   closed.  */
static bool
send_answer (struct session *s, struct attempt *a)
{
  const struct sk_answer *whole = &a->answer;
  struct zp_str out = zp_str_of (&whole->bytes);

  switch (a->fault.part)
    {
    case SK_PART_NONE:
      if (!send_bytes (s, out))
        sk_close (&s->conn, false);
      break;
    case SK_PART_ENDLESS:
      if (a->fault.at == SK_AT_AFTER)
        out.len = whole->place[SK_AT_EDGE].from + strlen ("\r\n");
      send_bytes (s, out);
      send_endless (s, a->fault.at == SK_AT_AFTER);
      break;
    case SK_PART_ANSWER:
    case SK_PART_COPY:
    case SK_PART_EARLIER:
    case SK_PART_REFUSAL:
    case SK_PART_OTHER:
    case SK_PART_NOISE:
    case SK_PART_TAIL:
      send_faulty (s, a);
      break;
    }
  sk_answer_copy (&s->previous, whole);
  if (a->stamp[0] == '\0')
    sk_answer_copy (&s->refusal, whole);
  if (s->conn.fd >= 0)
    end_answer (s, &a->fault);
  return s->conn.fd >= 0;
}

/* Most bodies are short; some need several reads.  */
static size_t
draw_length (struct session *s, const struct sk_fault *f)
{
  if (f->frame == SK_FRAME_ZERO)
    return 0;
  return zp_rng_below (&s->rng, 10) == 0 ? zp_rng_below (&s->rng, 200000)
                                         : 1 + zp_rng_below (&s->rng, 4000);
}

/* Notes that FAULT was the last one of the connection, unless it is none.  */
static void
note_fault (struct session *s, const struct sk_fault *f, const char *fault)
{
  if (f->part != SK_PART_NONE)
    memcpy (s->last_fault, fault, sizeof s->last_fault);
}

static bool
run (struct session *s, struct attempt *a)
{
  struct sk_server *v = s->server;
  char fault[SK_FAULT_TEXT];

  snprintf (a->stamp, sizeof a->stamp, "%s.%u.%u", v->id, v->start,
            atomic_fetch_add (&v->runs, 1));
  a->status = a->fault.status == SK_STATUS_FAIL ? 500 : 200;
  sk_body (&a->body, a->id, zp_str_from (a->stamp),
           draw_length (s, &a->fault));
  write_answer (s, a, a->status, false, zp_str_of (&a->body), &a->answer);
  struct zp_str body = zp_str_of (&a->body);
  if (is_head (a))
    body.len = 0;
  sk_fault_text (&a->fault, fault);
  sk_record (
      v->record, "run %lld %s %.*s %s %s %.*s %s %016llx %u %zu %016llx %s %s",
      (long long) (zp_clock_mono () / ZP_MS), v->id, ZP_ARG (a->id), a->stamp,
      v->service, ZP_ARG (a->method), a->path,
      (unsigned long long) zp_str_hash (zp_str_of (&s->request.body), 0),
      a->status, body.len, (unsigned long long) zp_str_hash (body, 0), fault,
      s->last_fault);
  note_fault (s, &a->fault, fault);
  pause_for (random_ms (s, 8));
  return send_answer (s, a);
}

/* Answers that the request has not run.  */
static bool
refuse (struct session *s, struct attempt *a, unsigned status)
{
  char fault[SK_FAULT_TEXT];

  a->status = status;
  a->fault.frame = SK_FRAME_ZERO;
  write_answer (s, a, status, true, ZP_STR (""), &a->answer);
  sk_fault_text (&a->fault, fault);
  sk_record (s->server->record, "refused %lld %s %.*s %u %s %s",
             (long long) (zp_clock_mono () / ZP_MS), s->server->id,
             ZP_ARG (a->id), a->status, fault, s->last_fault);
  note_fault (s, &a->fault, fault);
  return send_answer (s, a);
}

static bool
answer (struct session *s)
{
  struct sk_server *v = s->server;
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
      zp_buf_printf (&a.body,
                     "HTTP/1.1 %s\r\nX-Instance-Id: %s\r\n"
                     "X-Server-Load: %u,0,%u\r\nContent-Length: 0\r\n\r\n",
                     atomic_load (&v->draining) ? "503 Draining" : "200 OK",
                     v->id, atomic_load (&v->running), SK_CAPACITY);
      open = send_bytes (s, zp_str_of (&a.body));
      zp_buf_free (&a.body);
      return open;
    }
  a.fault = draw_fault (s);
  unsigned before = atomic_fetch_add (&v->running, 1);
  if (expect.len > 0 && !zp_str_eq (expect, zp_str_from (v->id)))
    {
      a.fault = (struct sk_fault){ .order = a.fault.order,
                                   .status = SK_STATUS_REFUSE };
      open = refuse (s, &a, 421);
    }
  else if (a.fault.status == SK_STATUS_REFUSE)
    open = refuse (s, &a, 503);
  else if (before >= SK_CAPACITY)
    {
      a.fault = (struct sk_fault){ .order = a.fault.order,
                                   .status = SK_STATUS_REFUSE };
      open = refuse (s, &a, 503);
    }
  else
    open = run (s, &a);
  atomic_fetch_sub (&v->running, 1);
  sk_answer_free (&a.answer);
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
  sk_answer_free (&s->previous);
  sk_answer_free (&s->refusal);
  zp_buf_free (&s->joined);
  free (s);
  return NULL;
}

bool
sk_session_start (struct sk_server *v, int fd)
{
  pthread_t thread;
  struct session *s = aligned_alloc (_Alignof(struct session), sizeof *s);

  if (!s)
    return false;
  memset (s, 0, sizeof *s);
  s->server = v;
  s->conn.fd = fd;
  strcpy (s->last_fault, "-");
  zp_rng_seed (&s->rng, v->seed + 1000 * v->start
                            + atomic_fetch_add (&v->connections, 1));
  if (pthread_create (&thread, NULL, serve, s) != 0)
    {
      free (s);
      return false;
    }
  pthread_detach (thread);
  return true;
}
