#include "backend/server.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "backend/announce.h"
#include "backend/command.h"
#include "backend/work.h"
#include "base/log.h"
#include "base/pattern.h"
#include "forward/client.h"
#include "front/header.h"
#include "front/server.h"

#define PART "server"
#define HISTORY_LEN 16 /* announcements; bounds report_delay_ms */
#define DOWN_MIN_MS 10
#define DOWN_MAX_MS 60000
#define LEAVING_CHECK 0.02 /* seconds between checks while leaving */

enum state
{
  UP,
  CRASHING, /* until the sockets are closed, in the next loop iteration */
  DOWN,     /* until it restarts */
  LEAVING,  /* stops when its requests have ended */
  CLOSED,
};

struct be_server
{
  struct tk_loop *loop;
  struct tk_task task;
  struct tk_task *reply_to;
  const struct be_settings *settings;
  char address[ZP_ADDRESS_MAX];
  struct fr_server *front;
  struct fw_client *client;
  struct be_work work;
  enum state state;
  ev_timer state_timer; /* next step of CRASHING, DOWN or LEAVING */
  int64_t down_ms;
  zp_time up_since;

  /* Faults, together with those of struct be_work.  */
  int64_t load_percent; /* reported load; below 0: the real one */
  bool answers_500;

  ev_timer announce_timer;
  struct be_entry_list entries;
  uint64_t sequence;                    /* announcements sent */
  int64_t running_history[HISTORY_LEN]; /* requests, by announcement */
  zp_time leaving_since;                /* 0: not leaving */
  zp_time leaving_acked; /* first answer after leaving_since; 0: none */
};

/* Announcements.  */

/* The number of running requests, report_delay_ms ago.  */
static int64_t
reported_inflight (struct be_server *s)
{
  uint64_t periods
      = (uint64_t) (s->settings->report_delay_ms * ZP_MS / ZP_ANNOUNCE_PERIOD);

  s->running_history[s->sequence % HISTORY_LEN] = s->work.running;
  return periods > s->sequence
             ? 0
             : s->running_history[(s->sequence - periods) % HISTORY_LEN];
}

static void
announce (struct be_server *s)
{
  const struct be_settings *c = s->settings;
  struct tk_msg *m = tk_msg_new (TK_FORWARD);
  struct tk_forward *f = &m->u.forward;
  zp_time now = zp_clock_mono ();

  f->id = ++s->sequence;
  int64_t inflight = reported_inflight (s);
  double load = (double) inflight / (double) c->slots
                * (1.0
                   + (double) c->report_error_percent / 100.0
                         * (2.0 * gsl_rng_uniform (s->work.rng) - 1.0));
  if (s->load_percent >= 0)
    load = (double) s->load_percent / 100.0;
  zp_str_copy (f->address, sizeof f->address,
               zp_str_from (s->entries.entry[s->entries.current]));
  zp_buf_put (&f->method, ZP_STR ("POST"));
  zp_buf_put (&f->target, ZP_STR ("/v1/announce"));
  zp_buf_put (&f->content_type, ZP_STR ("application/json"));
  zp_buf_printf (&f->request_id, "%s.%" PRIu64, s->work.server, s->sequence);
  zp_buf_printf (
      &f->body,
      "{\"service\":\"%.*s\",\"id\":\"%s\",\"address\":\"%s\","
      "\"slots\":%" PRId64 ",\"connections\":%d,\"inflight\":%" PRId64
      ",\"load\":%.3f,\"uptime_ms\":%" PRId64 ",\"leaving\":%s,"
      "\"failure_domain\":\"%.*s\"}",
      ZP_ARG (c->service), s->work.server, s->address, c->slots,
      ZP_SERVER_CONNECTIONS_DEFAULT, inflight, load,
      (now - s->up_since) / ZP_MS, s->leaving_since > 0 ? "true" : "false",
      ZP_ARG (c->failure_domain));
  f->deadline = now + ZP_ANNOUNCE_PERIOD * 9 / 10;
  tk_send (fw_client_task (s->client), m);
}

static void
handle_announce_answer (struct be_server *s, const struct tk_forward_done *d)
{
  char preferred[ZP_ADDRESS_MAX];

  if (d->end != TK_END_ANSWER || d->status != 200
      || !be_announce_parse_answer (zp_str_of (&d->body), preferred,
                                    sizeof preferred))
    {
      zp_log (ZP_LOG_INFO, PART, "%s: no valid answer from entry VM %s",
              s->work.server, s->entries.entry[s->entries.current]);
      be_entry_list_note_failure (&s->entries);
      return;
    }
  be_entry_list_note_answer (&s->entries, zp_str_from (preferred));
  if (s->leaving_since > 0 && s->leaving_acked == 0)
    s->leaving_acked = zp_clock_mono ();
}

static void
on_announce_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  (void) ev, (void) events;
  announce (w->data);
}

/* Start, crash and stop.  */

/* Calls on_state_timer after AFTER seconds.  */
static void
enter_state (struct be_server *s, enum state next, double after)
{
  s->state = next;
  ev_timer_stop (s->loop->ev, &s->state_timer);
  ev_timer_set (&s->state_timer, after, 0.0);
  ev_timer_start (s->loop->ev, &s->state_timer);
}

/* The sockets are closed in on_state_timer, because that replaces the mailbox,
   which must not happen while a message is handled.  */
static void
crash (struct be_server *s, int64_t down_ms)
{
  be_work_record (&s->work, "crash", ZP_STR ("-"), 0);
  s->down_ms = down_ms < DOWN_MIN_MS ? DOWN_MIN_MS : down_ms;
  enter_state (s, CRASHING, 0.0);
}

static void
drop_sockets (struct be_server *s)
{
  ev_timer_stop (s->loop->ev, &s->announce_timer);
  ev_timer_stop (s->loop->ev, &s->state_timer);
  be_work_cancel_all (&s->work);
  fr_server_close (s->front);
  fw_client_close (s->client);
  s->front = NULL;
  s->client = NULL;
}

static bool
start_serving (struct be_server *s, struct zp_err *err)
{
  s->front = fr_server_open (s->loop, zp_str_from (s->address), &s->task, err);
  if (!s->front)
    return false;
  s->client = fw_client_open (s->loop, &s->task);
  s->state = UP;
  s->up_since = zp_clock_mono ();
  ev_timer_set (&s->announce_timer, 0.0, (double) ZP_ANNOUNCE_PERIOD / 1e6);
  ev_timer_start (s->loop->ev, &s->announce_timer);
  return true;
}

static void
start_leaving (struct be_server *s)
{
  if (s->leaving_since > 0)
    return;
  s->leaving_since = zp_clock_mono ();
  ev_timer_again (s->loop->ev, &s->announce_timer);
  announce (s);
}

static void
finish_stopping (struct be_server *s)
{
  drop_sockets (s);
  s->state = CLOSED;
  tk_send (s->reply_to, tk_msg_new (TK_STOP));
}

static void
start_stopping (struct be_server *s)
{
  if (s->state == DOWN)
    finish_stopping (s);
  if (s->state != UP)
    return;
  start_leaving (s);
  enter_state (s, LEAVING, LEAVING_CHECK);
}

static bool
can_finish_stopping (const struct be_server *s)
{
  zp_time elapsed = zp_clock_mono () - s->leaving_since;

  return elapsed >= ZP_STOP_TIMEOUT
         || (elapsed >= s->settings->leave_ms * ZP_MS && s->work.running == 0
             && fr_server_pending (s->front) == 0);
}

static void on_message (void *self, struct tk_msg *m);

static void
on_state_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  struct be_server *s = w->data;
  struct zp_err err;

  (void) ev, (void) events;
  switch (s->state)
    {
    case UP:
    case CLOSED:
      return;
    case CRASHING:
      drop_sockets (s);
      /* Drop messages about requests from before the crash: the next
         front server numbers its requests from the start again.  */
      tk_task_free (&s->task);
      tk_task_init (&s->task, s->loop, on_message, s);
      enter_state (s, DOWN, (double) s->down_ms / 1000.0);
      return;
    case DOWN:
      if (start_serving (s, &err))
        return;
      zp_log (ZP_LOG_ERR, PART, "%s: %s", s->work.server, err.text);
      enter_state (s, DOWN, 0.1);
      return;
    case LEAVING:
      if (can_finish_stopping (s))
        finish_stopping (s);
      else
        enter_state (s, LEAVING, LEAVING_CHECK);
      return;
    }
}

/* Requests.  */

static void
answer (struct be_server *s, uint64_t id, unsigned status,
        enum zp_verdict verdict, struct zp_buf headers, struct zp_buf body)
{
  struct tk_msg *m = tk_msg_new (TK_HTTP_ANSWER);

  m->u.answer = (struct tk_http_answer){ .id = id,
                                         .status = status,
                                         .has_verdict = true,
                                         .verdict = verdict,
                                         .headers = headers,
                                         .body = body };
  tk_send (fr_server_task (s->front), m);
}

static void
refuse (struct be_server *s, uint64_t id, unsigned status, struct zp_str text)
{
  answer (s, id, status, ZP_NOT_RUN, (struct zp_buf){ .ptr = NULL },
          zp_buf_from (text));
}

/* Answers a request.  The first line of the body has its key, its digest and
   the length of the rest, which is the pattern of the key, so that the caller
   can check that the whole answer belongs to its request.  */
static void
on_run_end (void *self, const struct be_run *r)
{
  struct be_server *s = self;
  struct zp_buf headers = { .ptr = NULL }, body = { .ptr = NULL };
  size_t rest = (size_t) s->settings->answer_bytes;

  zp_buf_printf (&headers,
                 "X-Request-Key: %s\nX-Body-Digest: %016" PRIx64 "\n",
                 r->key.ptr, r->digest);
  zp_buf_printf (&body, "%s %016" PRIx64 " %zu\n", r->key.ptr, r->digest,
                 rest);
  zp_pattern_put (&body, zp_str_hash (zp_str_of (&r->key), 0), rest);
  if (r->expires)
    answer (s, r->id, 504, ZP_MAY_HAVE_RUN, headers, body);
  else
    answer (s, r->id, s->answers_500 ? 500 : 200, ZP_RAN, headers, body);
}

static struct zp_str
header_of (const struct tk_http_request *q, const char *want)
{
  struct zp_str rest = zp_str_of (&q->headers);
  struct zp_str name, value;

  while (fr_header_next (&rest, &name, &value))
    if (fr_header_is (name, want))
      return value;
  return (struct zp_str){ .ptr = NULL };
}

static void
execute_command (struct be_server *s, const struct be_command *c)
{
  switch (c->kind)
    {
    case BE_NORMAL:
      s->work.slow_percent = 100;
      s->work.silent = false;
      s->load_percent = -1;
      s->answers_500 = false;
      return;
    case BE_SLOW:
      s->work.slow_percent = c->value;
      return;
    case BE_SILENT:
      s->work.silent = true;
      return;
    case BE_FAIL:
      s->answers_500 = true;
      return;
    case BE_LIE:
      s->load_percent = c->value;
      return;
    case BE_CRASH:
      crash (s, c->value);
      return;
    case BE_DRAIN:
      start_leaving (s);
      return;
    case BE_STOP:
      start_stopping (s);
      return;
    }
}

static void
handle_command (struct be_server *s, const struct tk_http_request *q)
{
  struct be_command c;
  struct zp_buf body = { .ptr = NULL };

  if (!be_command_parse (zp_str_of (&q->body), &c))
    {
      refuse (s, q->id, 400, ZP_STR ("no such command\n"));
      return;
    }
  zp_buf_printf (&body, "%s running %" PRId64 "\n", s->work.server,
                 s->work.running);
  answer (s, q->id, 200, ZP_RAN, (struct zp_buf){ .ptr = NULL }, body);
  execute_command (s, &c);
}

static void
handle_request (struct be_server *s, const struct tk_http_request *q)
{
  zp_time now = zp_clock_mono ();
  struct zp_str key = header_of (q, "X-Request-Key");
  uint64_t down_ms;

  if (zp_str_eq (zp_str_of (&q->path), ZP_STR ("/_control")))
    {
      handle_command (s, q);
      return;
    }
  if (s->leaving_acked > 0 && now - s->leaving_acked > ZP_ANNOUNCE_TTL)
    be_work_record (&s->work, "late", key, 0);
  if (s->work.running >= s->settings->slots)
    {
      be_work_record (&s->work, "over", key, 0);
      refuse (s, q->id, 503, ZP_STR ("no free slot\n"));
      return;
    }
  if (q->deadline > 0 && q->deadline <= now)
    {
      refuse (s, q->id, 503, ZP_STR ("deadline passed\n"));
      return;
    }
  be_work_start (&s->work, q->id, key, zp_str_hash (zp_str_of (&q->body), 0),
                 now - s->up_since, q->deadline > 0 ? q->deadline - now : 0);
  if (zp_str_u64 (header_of (q, "X-Crash"), &down_ms)
      && down_ms <= DOWN_MAX_MS)
    crash (s, (int64_t) down_ms);
}

static void
on_message (void *self, struct tk_msg *m)
{
  struct be_server *s = self;
  bool open = s->state == UP || s->state == LEAVING;

  switch (m->kind)
    {
    case TK_HTTP_REQUEST:
      if (open)
        handle_request (s, &m->u.request);
      break;
    case TK_CALLER_LEFT:
      if (open)
        be_work_cancel (&s->work, m->u.caller_left.id);
      break;
    case TK_FORWARD_DONE:
      if (open)
        handle_announce_answer (s, &m->u.done);
      break;
    case TK_STOP:
      start_stopping (s);
      break;
    default:
      assert (!"message kind that a stub server does not handle");
    }
  tk_msg_free (m);
}

/* Set-up.  */

struct be_server *
be_server_open (struct tk_loop *l, const struct be_settings *settings,
                size_t n, int record_fd, struct tk_task *reply_to,
                struct zp_err *err)
{
  struct be_server *s = zp_alloc (sizeof *s);
  struct be_work *w = &s->work;

  s->loop = l;
  s->settings = settings;
  s->reply_to = reply_to;
  s->load_percent = -1;
  *w = (struct be_work){ .ev = l->ev,
                         .settings = settings,
                         .record_fd = record_fd,
                         .rng = gsl_rng_alloc (gsl_rng_mt19937),
                         .runs = { .next = &w->runs, .prev = &w->runs },
                         .slow_percent = 100,
                         .on_end = on_run_end,
                         .self = s };
  snprintf (w->server, sizeof w->server, "%.*s-%zu",
            ZP_ARG (settings->id_prefix), n + 1);
  gsl_rng_set (w->rng, (uint64_t) settings->seed
                           + zp_str_hash (zp_str_from (w->server), 0));
  zp_str_copy (s->address, sizeof s->address, settings->addresses.item[n]);
  be_entry_list_init (&s->entries, &settings->entries);
  ev_timer_init (&s->state_timer, on_state_timer, 0.0, 0.0);
  ev_timer_init (&s->announce_timer, on_announce_timer, 0.0, 0.0);
  s->state_timer.data = s;
  s->announce_timer.data = s;
  tk_task_init (&s->task, l, on_message, s);
  if (start_serving (s, err))
    return s;
  be_server_close (s);
  return NULL;
}

struct tk_task *
be_server_task (struct be_server *s)
{
  return &s->task;
}

void
be_server_close (struct be_server *s)
{
  drop_sockets (s);
  tk_task_free (&s->task);
  gsl_rng_free (s->work.rng);
  free (s);
}
