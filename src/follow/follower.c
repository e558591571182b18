#include "follow/follower.h"

#include <assert.h>
#include <stdlib.h>

#include "base/counter.h"
#include "base/log.h"
#include "follow/cache.h"
#include "follow/state.h"
#include "wire/bytes.h"
#include "wire/conn.h"
#include "wire/frame.h"

#define PART "follow"

#define REPORTS_MAX ZP_MEMBERS_MAX

struct fo_follower
{
  struct tk_loop *loop;
  struct tk_task task;
  struct tk_task *decider;
  struct tk_task *disk;
  uint64_t id;
  struct zp_buf *sources;
  size_t source_count;
  size_t source; /* index of the one in use */

  struct wi_conn *conn;
  zp_time dial_at;
  zp_time dialed;
  zp_time good_since; /* last proof that a source is current */
  bool fresh;
  ev_timer timer;

  struct fo_state state;
  size_t changes_kept; /* in the cache file */
  uint64_t writes;

  /* Reports that the source has not got yet, one a daemon.  A report is sent
     once: every daemon makes a new one each second, and a repeated one would
     make a daemon that has ended look alive.  */
  struct tk_follow_report *reports;
  zp_time *taken;
  size_t report_count, report_cap;
};

/* Towards the deciding task.  */

static void
tell_fresh (struct fo_follower *f, bool fresh)
{
  if (f->fresh == fresh)
    return;
  f->fresh = fresh;
  struct tk_msg *m = tk_msg_new (TK_CONFIG_FRESH);
  m->u.config_fresh.fresh = fresh;
  tk_send (f->decider, m);
}

/* Cuts the file of changes to SIZE bytes.  */
static void
cut_changes (struct fo_follower *f, size_t size)
{
  if (!f->disk)
    return;
  struct tk_msg *m = tk_msg_new (TK_DISK_WRITE);
  m->u.write.id = ++f->writes;
  m->u.write.truncate = (int64_t) size;
  zp_str_copy (m->u.write.file, sizeof m->u.write.file,
               ZP_STR (FO_CACHE_CHANGES));
  tk_send (f->disk, m);
}

static void
write_cache (struct fo_follower *f, const struct tk_config *c)
{
  if (!f->disk)
    return;
  struct tk_msg *m = tk_msg_new (TK_DISK_WRITE);
  struct tk_disk_write *w = &m->u.write;
  w->id = ++f->writes;
  w->replace = c->whole;
  w->truncate = -1;
  zp_str_copy (w->file, sizeof w->file,
               c->whole ? ZP_STR (FO_CACHE_WHOLE) : ZP_STR (FO_CACHE_CHANGES));
  fo_cache_put (&w->bytes, c);
  tk_send (f->disk, m);
  if (!c->whole)
    {
      if (++f->changes_kept == ZP_FOLLOW_COMPACT_AFTER)
        {
          struct tk_msg *ask = tk_msg_new (TK_CONFIG_REQUEST);
          tk_send (f->decider, ask);
        }
      return;
    }
  /* Changes up to the whole configuration are skipped when read, so losing
     this second write does no harm.  */
  cut_changes (f, 0);
  f->changes_kept = 0;
}

/* Sends C, a copy of its bytes, to the deciding task.  */
static void
put_in_force (struct fo_follower *f, const struct tk_config *c)
{
  struct tk_msg *m = tk_msg_new (TK_CONFIG);

  m->u.config = *c;
  m->u.config.bytes = zp_buf_from (zp_str_of (&c->bytes));
  tk_send (f->decider, m);
}

static void
take (struct fo_follower *f, const struct tk_config *c)
{
  ZP_EVENT (ZP_LOG_NOTICE, PART,
            c->whole ? "takes a whole configuration" : "takes a change",
            ZP_F_INT (ZP_KEY_VERSION, c->version),
            ZP_F_INT (ZP_KEY_TICKET_NUMBER, c->number));
  put_in_force (f, c);
  write_cache (f, c);
}

/* Connection to the source.  */

static void
drop_source (struct fo_follower *f, const char *why)
{
  /* A source that cannot be reached is tried again several times a second.  */
  if (f->conn)
    ZP_EVENT (wi_conn_ready (f->conn) ? ZP_LOG_NOTICE : ZP_LOG_DEBUG, PART,
              "leaves its source",
              ZP_F_TEXT (ZP_KEY_REASON, zp_str_from (why)));
  wi_conn_free (f->conn);
  f->conn = NULL;
  fo_state_restart (&f->state);
}

static void
leave_source (struct fo_follower *f, const char *why)
{
  drop_source (f, why);
  if (f->source_count > 0)
    f->source = (f->source + 1) % f->source_count;
  f->dial_at = zp_clock_mono () + ZP_FOLLOW_RETRY;
}

static void
send_reports (struct fo_follower *f)
{
  struct zp_buf b = { .ptr = NULL };

  if (f->report_count == 0 || !f->conn || !wi_conn_ready (f->conn))
    return;
  zp_time now = zp_clock_mono ();
  for (size_t i = 0; i < f->report_count; i++)
    {
      f->reports[i].age += now - f->taken[i];
      f->taken[i] = now;
    }
  fo_put_report (&b, f->reports, f->report_count);
  if (wi_conn_send (f->conn, WI_FOLLOW_REPORT, zp_str_of (&b)))
    f->report_count = 0;
  zp_buf_free (&b);
}

static void
on_delta (struct fo_follower *f, struct zp_str payload)
{
  struct fo_delta d;
  void *owner;

  if (!fo_get_delta (payload, &d, &owner))
    leave_source (f, "a change that cannot be read");
  else
    switch (fo_state_delta (&f->state, &d))
      {
      case FO_TAKE:
        {
          struct tk_config c = { .from = d.from,
                                 .version = d.version,
                                 .number = d.number,
                                 .term = d.term,
                                 .bytes = zp_buf_from (d.change) };
          take (f, &c);
          zp_buf_free (&c.bytes);
          break;
        }
      case FO_OLD:
        break;
      case FO_MORE:
      case FO_GAP:
      case FO_STALE:
      case FO_DAMAGE:
        zp_count (zp_counter ("zp_follow_refused_total", ""), 1);
        leave_source (f, "a change that does not fit");
        break;
      }
  wi_free (owner);
}

static void
on_part (struct fo_follower *f, struct zp_str payload)
{
  struct fo_part p;
  void *owner;

  if (!fo_get_part (payload, &p, &owner))
    leave_source (f, "a configuration that cannot be read");
  else
    switch (fo_state_part (&f->state, &p))
      {
      case FO_TAKE:
        {
          struct tk_config c = { .version = p.version,
                                 .number = p.number,
                                 .term = p.term,
                                 .whole = true,
                                 .bytes = f->state.parts };
          take (f, &c);
          fo_state_restart (&f->state);
          break;
        }
      case FO_MORE:
      case FO_OLD:
        break;
      case FO_GAP:
      case FO_STALE:
      case FO_DAMAGE:
        zp_count (zp_counter ("zp_follow_refused_total", ""), 1);
        leave_source (f, "a configuration that does not fit");
        break;
      }
  wi_free (owner);
}

static void
on_ping (struct fo_follower *f, struct zp_str payload)
{
  struct fo_ping p;

  if (!fo_get_ping (payload, &p) || !p.fresh || p.version < f->state.version)
    return;
  f->good_since = zp_clock_mono ();
  tell_fresh (f, true);
  send_reports (f);
}

static void
on_frame (void *self, struct wi_conn *c, uint8_t kind, struct zp_str payload)
{
  struct fo_follower *f = self;

  (void) c;
  switch (kind)
    {
    case WI_FOLLOW_DELTA:
      on_delta (f, payload);
      break;
    case WI_FOLLOW_SNAPSHOT:
      on_part (f, payload);
      break;
    case WI_FOLLOW_PING:
      on_ping (f, payload);
      break;
    default:
      leave_source (f, "a frame of another protocol");
    }
}

static void
on_end (void *self, struct wi_conn *c, const struct zp_err *why)
{
  (void) c;
  leave_source (self, why->text);
}

static const struct wi_handlers source_handlers
    = { .on_frame = on_frame, .on_end = on_end };

static void
dial (struct fo_follower *f)
{
  struct zp_err err;
  struct zp_buf b = { .ptr = NULL };

  f->conn = wi_conn_open (f->loop->ev, zp_str_of (&f->sources[f->source]),
                          &source_handlers, f, &err);
  if (!f->conn)
    {
      leave_source (f, err.text);
      return;
    }
  f->dialed = zp_clock_mono ();
  fo_put_follow (&b,
                 &(struct fo_follow){ .id = f->id, .have = f->state.version });
  wi_conn_send (f->conn, WI_FOLLOW, zp_str_of (&b));
  zp_buf_free (&b);
}

static void
on_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  struct fo_follower *f = w->data;
  zp_time now = zp_clock_mono ();

  (void) ev;
  (void) events;
  if (f->source_count == 0)
    return;
  /* A lost opening packet is sent again only after 1 s.  */
  if (f->conn && !wi_conn_ready (f->conn)
      && now - f->dialed > ZP_CONNECT_TIMEOUT)
    leave_source (f, "no connection");
  if (now - f->good_since > ZP_FOLLOW_TIMEOUT)
    {
      tell_fresh (f, false);
      if (f->conn && now - f->dialed > ZP_FOLLOW_TIMEOUT)
        leave_source (f, "silent or not current");
    }
  if (!f->conn && now >= f->dial_at)
    dial (f);
  send_reports (f);
}

/* Messages.  */

/* Takes the addresses of sources, one a line.  The one in use stays in use as
   long as it is named.  */
static void
take_sources (struct fo_follower *f, struct zp_str lines)
{
  struct zp_buf used = { .ptr = NULL };
  struct zp_str rest = lines, line;

  if (f->source_count > 0)
    zp_buf_put (&used, zp_str_of (&f->sources[f->source]));
  for (size_t i = 0; i < f->source_count; i++)
    zp_buf_free (&f->sources[i]);
  f->source_count = 0;
  f->source = 0;
  while (rest.len > 0)
    {
      zp_str_split (rest, '\n', &line, &rest);
      if (line.len == 0)
        continue;
      f->sources = zp_realloc (f->sources,
                               (f->source_count + 1) * sizeof *f->sources);
      if (zp_str_eq (line, zp_str_of (&used)))
        f->source = f->source_count;
      f->sources[f->source_count++] = zp_buf_from (line);
    }
  bool named
      = f->source_count > 0
        && zp_str_eq (zp_str_of (&f->sources[f->source]), zp_str_of (&used));
  if (f->conn && !named)
    drop_source (f, "it is no longer named");
  zp_buf_free (&used);
}

/* The report goes on with the next ping or tick, together with others.  */
static void
take_report (struct fo_follower *f, const struct tk_follow_report *r)
{
  size_t i = 0;

  while (i < f->report_count && f->reports[i].daemon != r->daemon)
    i++;
  if (i == REPORTS_MAX)
    return;
  if (i == f->report_cap)
    {
      f->report_cap = i + 8;
      f->reports = zp_realloc (f->reports, f->report_cap * sizeof *f->reports);
      f->taken = zp_realloc (f->taken, f->report_cap * sizeof *f->taken);
    }
  if (i == f->report_count)
    f->report_count++;
  f->reports[i] = *r;
  f->taken[i] = zp_clock_mono ();
}

static void
on_message (void *self, struct tk_msg *m)
{
  struct fo_follower *f = self;

  switch (m->kind)
    {
    case TK_FOLLOW_REPORT:
      take_report (f, &m->u.follow_report);
      break;
    case TK_CONFIG:
      if (m->u.config.whole)
        write_cache (f, &m->u.config);
      break;
    case TK_CONFIG_SOURCES:
      take_sources (f, zp_str_of (&m->u.addresses.lines));
      break;
    case TK_DISK_DONE:
      if (m->u.disk.error != 0)
        {
          zp_log (ZP_LOG_ERR, PART,
                  "cannot keep the configuration on disk, error %d; it stays "
                  "in force in memory",
                  m->u.disk.error);
          zp_count (zp_counter ("zp_follow_disk_errors_total", ""), 1);
        }
      break;
    default:
      assert (!"message that the follow task does not take");
    }
  tk_msg_free (m);
}

/* Set-up.  */

static bool
read_file (struct fo_follower *f, struct zp_str folder, const char *name,
           struct zp_buf *out)
{
  struct zp_buf path = { .ptr = NULL };
  struct zp_err err;

  zp_buf_printf (&path, "%.*s/%s", ZP_ARG (folder), name);
  bool ok = zp_file_read (path.ptr, out, ZP_CONFIG_MAX, &err);
  zp_buf_free (&path);
  (void) f;
  return ok;
}

/* Brings the cached configuration in force, as far as it is whole.  */
static void
read_cache (struct fo_follower *f, struct zp_str folder)
{
  struct zp_buf whole = { .ptr = NULL };
  struct zp_buf changes = { .ptr = NULL };
  struct tk_config c;

  if (read_file (f, folder, FO_CACHE_WHOLE, &whole))
    {
      struct zp_str rest = zp_str_of (&whole);
      if (fo_cache_next (&rest, &c) && c.whole)
        {
          f->state = (struct fo_state){ .version = c.version,
                                        .number = c.number,
                                        .term = c.term };
          put_in_force (f, &c);
        }
      else
        zp_log (ZP_LOG_WARNING, PART, "the cached configuration is damaged");
    }
  if (read_file (f, folder, FO_CACHE_CHANGES, &changes))
    {
      struct zp_str rest = zp_str_of (&changes);
      while (fo_cache_next (&rest, &c))
        {
          struct fo_delta d = { .from = c.from,
                                .version = c.version,
                                .number = c.number,
                                .term = c.term };
          f->changes_kept++;
          if (fo_state_delta (&f->state, &d) == FO_TAKE)
            put_in_force (f, &c);
        }
      if (rest.len > 0)
        cut_changes (f, changes.len - rest.len);
    }
  zp_log (ZP_LOG_NOTICE, PART, "starts from version %llu, number %llu",
          (unsigned long long) f->state.version,
          (unsigned long long) f->state.number);
  zp_buf_free (&whole);
  zp_buf_free (&changes);
}

struct fo_follower *
fo_follower_open (struct tk_loop *l, const struct fo_follower_options *o)
{
  struct fo_follower *f = zp_alloc (sizeof *f);

  f->loop = l;
  f->id = o->id;
  f->decider = o->decider;
  f->disk = o->disk;
  f->source_count = o->sources->len;
  f->sources = zp_alloc (f->source_count * sizeof *f->sources);
  for (size_t i = 0; i < f->source_count; i++)
    f->sources[i] = zp_buf_from (o->sources->item[i]);
  tk_task_init (&f->task, l, on_message, f);
  if (o->data.len > 0)
    read_cache (f, o->data);
  ev_timer_init (&f->timer, on_timer, 0.0, (double) ZP_FOLLOW_RETRY / ZP_SEC);
  f->timer.data = f;
  ev_timer_start (l->ev, &f->timer);
  return f;
}

struct tk_task *
fo_follower_task (struct fo_follower *f)
{
  return &f->task;
}

void
fo_follower_close (struct fo_follower *f)
{
  if (!f)
    return;
  wi_conn_free (f->conn);
  ev_timer_stop (f->loop->ev, &f->timer);
  tk_task_free (&f->task);
  fo_state_restart (&f->state);
  for (size_t i = 0; i < f->source_count; i++)
    zp_buf_free (&f->sources[i]);
  free (f->sources);
  free (f->reports);
  free (f->taken);
  free (f);
}
