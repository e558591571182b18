/* The callers of the platform soak.

   Usage: zp-soak-caller SEED CALLERS UNTIL HOST RECORD FRONT...

   Each of CALLERS threads sends requests one after the other until UNTIL, in
   ms of the monotonic clock, to the FRONT addresses of the entry daemons, and
   keeps its connection open while the answers allow it.  The path tells the
   route: /TYPE-SERVICE/, where TYPE is safe or unsafe and SERVICE a or b.
   After a refusal, the same request is sent again with the same id.  Some
   callers leave midway.

   RECORD gets two lines for each time that a request is sent:

     send MS ID TYPE SERVICE METHOD PATH BODY FRONT
     got MS ID END STATUS STAMP ECHO LEN HASH USED

   BODY and HASH are hashes of the bodies, ECHO is the id in the answer.  END
   is the name of an enum sk_end, "left" or, for bytes that come while no
   request waits, "extra".  USED tells how many requests the connection had
   carried before.  FRONT is the name of the daemon, edge-N.  A missing value is
   "-".  */

#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <signal.h>
#include <unistd.h>

#include "base/rng.h"
#include "message.h"

#define CALLERS_MAX 64
#define DEADLINE_MS 2500 /* that callers state */
/* Above the deadline, so that a late answer is still recorded.  */
#define ANSWER_TIMEOUT (4 * ZP_SEC)
#define RESENDS_MAX 3      /* after refusals */
#define RETRY_AFTER_MS 300 /* longest wait before a resend */

struct caller
{
  uint32_t seed;
  unsigned number;
  const char *host;
  char **front;
  unsigned fronts;
  zp_time until;
  int record;
  struct zp_rng rng;
  struct sk_conn conn;
  unsigned at;   /* index of its address */
  unsigned used; /* requests that the connection has carried */
  struct sk_message answer;
};

struct request
{
  char id[32];
  const char *type, *service, *method;
  char path[128];
  struct zp_buf body;
  bool chunked;
};

static long long
now_ms (void)
{
  return zp_clock_mono () / ZP_MS;
}

static unsigned
below (struct caller *c, unsigned n)
{
  return zp_rng_below (&c->rng, n);
}

static void
draw_request (struct caller *c, unsigned number, struct request *q)
{
  static const char *const safe[] = { "GET", "GET", "GET", "HEAD", "OPTIONS" };
  static const char *const unsafe[]
      = { "POST", "POST", "PUT", "DELETE", "GET", "PATCH" };
  bool is_safe = below (c, 2) == 0;

  snprintf (q->id, sizeof q->id, "%08x%04x%08x", c->seed, c->number, number);
  q->type = is_safe ? "safe" : "unsafe";
  q->service = below (c, 2) == 0 ? "a" : "b";
  q->method = is_safe ? safe[below (c, 5)] : unsafe[below (c, 6)];
  snprintf (q->path, sizeof q->path, "/%s-%s/%x?n=%u", q->type, q->service,
            below (c, 1000), number);
  zp_buf_clear (&q->body);
  if (strcmp (q->method, "POST") == 0 || q->method[1] == 'U'
      || strcmp (q->method, "PATCH") == 0)
    sk_body (&q->body, zp_str_from (q->id), ZP_STR ("request"),
             below (c, 8) == 0 ? below (c, 100000) : below (c, 2000));
  q->chunked = q->body.len > 0 && below (c, 4) == 0;
}

static bool
send_request (struct caller *c, const struct request *q)
{
  struct zp_buf out = { .ptr = NULL };

  zp_buf_printf (&out,
                 "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n"
                 "X-Deadline-Ms: %d\r\n",
                 q->method, q->path, c->host, q->id, DEADLINE_MS);
  if (q->chunked)
    {
      zp_buf_printf (&out, "Transfer-Encoding: chunked\r\n\r\n%zx\r\n",
                     q->body.len);
      zp_buf_put (&out, zp_str_of (&q->body));
      zp_buf_put (&out, ZP_STR ("\r\n0\r\n\r\n"));
    }
  else
    {
      zp_buf_printf (&out, "Content-Length: %zu\r\n\r\n", q->body.len);
      zp_buf_put (&out, zp_str_of (&q->body));
    }
  bool ok = sk_send (&c->conn, zp_str_of (&out));
  zp_buf_free (&out);
  return ok;
}

static void
record_end (struct caller *c, const struct request *q, const char *end)
{
  sk_record (c->record, "got %lld %s %s 0 - - 0 - %u", now_ms (), q->id, end,
             c->used);
}

/* Bytes that came since the last answer belong to no request.  */
static void
check_idle (struct caller *c, const struct request *q)
{
  char byte;

  if (c->conn.fd < 0)
    return;
  ssize_t n = recv (c->conn.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (n > 0 || c->conn.in.len > 0)
    record_end (c, q, "extra");
  /* The daemon has closed the connection, or bytes came.  */
  if (n >= 0)
    sk_close (&c->conn, false);
}

/* Sends Q once.  Returns the status, or 0 without a whole answer.  */
static unsigned
call (struct caller *c, const struct request *q)
{
  struct sk_message *m = &c->answer;
  bool leaves = below (c, 50) == 0;
  enum sk_side side
      = strcmp (q->method, "HEAD") == 0 ? SK_ANSWER_WITHOUT_BODY : SK_ANSWER;

  check_idle (c, q);
  if (c->conn.fd < 0)
    {
      c->at = below (c, c->fronts);
      if (!sk_dial (&c->conn, c->front[c->at]))
        return 0;
      c->used = 0;
    }
  sk_record (c->record, "send %lld %s %s %s %s %s %016llx edge-%u", now_ms (),
             q->id, q->type, q->service, q->method, q->path,
             (unsigned long long) zp_str_hash (zp_str_of (&q->body), 0),
             c->at);
  bool sent = send_request (c, q);
  if (leaves)
    {
      usleep (below (c, 20000));
      record_end (c, q, "left");
      sk_close (&c->conn, below (c, 2) == 0);
      return 0;
    }
  enum sk_end e = SK_CLOSED;
  if (sent)
    e = sk_read (&c->conn, side, zp_clock_mono () + ANSWER_TIMEOUT, m);
  if (e != SK_WHOLE)
    {
      record_end (c, q, sk_end_name (e));
      sk_close (&c->conn, false);
      return 0;
    }
  struct zp_str stamp = sk_header (m, "X-Server-Stamp");
  struct zp_str echo = sk_header (m, "X-Request-Id");
  if (stamp.len == 0)
    stamp = ZP_STR ("-");
  if (echo.len == 0)
    echo = ZP_STR ("-");
  sk_record (
      c->record, "got %lld %s whole %u %.*s %.*s %zu %016llx %u", now_ms (),
      q->id, m->status, ZP_ARG (stamp), ZP_ARG (echo), m->body.len,
      (unsigned long long) zp_str_hash (zp_str_of (&m->body), 0), c->used);
  c->used++;
  if (zp_str_eq (sk_header (m, "Connection"), ZP_STR ("close"))
      || (sk_header (m, "Content-Length").len == 0
          && sk_header (m, "Transfer-Encoding").len == 0 && side == SK_ANSWER
          && m->status != 204 && m->status != 304))
    sk_close (&c->conn, false);
  return m->status;
}

static bool
is_refusal (unsigned status)
{
  return status == 429 || status == 503 || status == 408 || status == 421;
}

static void *
run_caller (void *self)
{
  struct caller *c = self;
  struct request q = { .type = NULL };

  for (unsigned i = 0; zp_clock_mono () < c->until; i++)
    {
      draw_request (c, i, &q);
      for (unsigned k = 0; is_refusal (call (c, &q)) && k < RESENDS_MAX; k++)
        usleep (below (c, RETRY_AFTER_MS * 1000));
      usleep (below (c, 10000));
    }
  sk_close (&c->conn, false);
  sk_message_free (&c->answer);
  zp_buf_free (&q.body);
  return NULL;
}

int
main (int argc, char **argv)
{
  static struct caller caller[CALLERS_MAX];
  pthread_t thread[CALLERS_MAX];

  if (argc < 7 || atoi (argv[2]) < 1 || atoi (argv[2]) > CALLERS_MAX)
    {
      fputs ("zp-soak-caller: wrong usage, see soak/caller.c\n", stderr);
      return 2;
    }
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  unsigned callers = (unsigned) atoi (argv[2]);
  int record = sk_record_open (argv[5]);
  if (record < 0)
    {
      perror (argv[5]);
      return 2;
    }
  for (unsigned i = 0; i < callers; i++)
    {
      struct caller *c = &caller[i];
      c->seed = (uint32_t) strtoul (argv[1], NULL, 10);
      c->number = i;
      c->until = strtoll (argv[3], NULL, 10) * ZP_MS;
      c->host = argv[4];
      c->record = record;
      c->front = argv + 6;
      c->fronts = (unsigned) (argc - 6);
      c->conn.fd = -1;
      zp_rng_seed (&c->rng, c->seed * 1000 + i);
      if (pthread_create (&thread[i], NULL, run_caller, c) != 0)
        return 2;
    }
  for (unsigned i = 0; i < callers; i++)
    pthread_join (thread[i], NULL);
  return 0;
}
