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

/* Time after a failed write of the cache until it is written again.  */
#define CACHE_RETRY (1 * ZP_SEC)

/* Queued reports: that of this daemon, and one of each daemon that follows it
   as a relay.  */
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
  size_t source; /* index of the one in use or tried next */

  struct wi_conn *conn;
  zp_time dial_at;    /* no attempt to connect before */
  zp_time dialed_at;  /* last attempt to connect */
  zp_time current_at; /* last ping that showed that the source is current */
  bool fresh;         /* as last sent to the deciding task */
  ev_timer timer;

  struct fo_state state;
  size_t changes_cached; /* records in the file of changes */
  uint64_t writes;       /* id of the last disk write */
  bool cache_broken;     /* a write has failed: changes are not cached */
  zp_time cache_retry_at;

  /* Reports to be sent to the source, one for each daemon.  Each is sent only
     once: every daemon makes a new report each second, and a repeated one
     would hide that a daemon has ended.  */
  struct tk_follow_report *reports;
  zp_time *age_at; /* by report: when its age was last set */
  size_t report_count, report_cap;
};

/* Messages to the deciding task and the disk task.  */

static void
send_fresh (struct fo_follower *f, bool fresh)
{
  if (f->fresh == fresh)
    return;
  f->fresh = fresh;
  struct tk_msg *m = tk_msg_new (TK_CONFIG_FRESH);
  m->u.config_fresh.fresh = fresh;
  tk_send (f->decider, m);
}

/* Truncates the file of changes to SIZE bytes.  */
static void
truncate_changes (struct fo_follower *f, size_t size)
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
  if (!f->disk || (f->cache_broken && !c->whole))
    return;
  struct tk_msg *m = tk_msg_new (TK_DISK_WRITE);
  struct tk_disk_write *w = &m->u.write;
  f->cache_broken = false;
  w->id = ++f->writes;
  w->replace = c->whole;
  w->retry = c->whole;
  w->truncate = -1;
  zp_str_copy (w->file, sizeof w->file,
               c->whole ? ZP_STR (FO_CACHE_WHOLE) : ZP_STR (FO_CACHE_CHANGES));
  fo_cache_put (&w->bytes, c);
  tk_send (f->disk, m);
  if (!c->whole)
    {
      if (++f->changes_cached == ZP_FOLLOW_COMPACT_AFTER)
        {
          struct tk_msg *request = tk_msg_new (TK_CONFIG_REQUEST);
          tk_send (f->decider, request);
        }
      return;
    }
  /* The reader skips changes that the whole configuration already has, so it
     does no harm when this second write is lost.  */
  truncate_changes (f, 0);
  f->changes_cached = 0;
}

/* Sends C with a copy of its bytes to the deciding task.  */
static void
send_config (struct fo_follower *f, const struct tk_config *c)
{
  struct tk_msg *m = tk_msg_new (TK_CONFIG);

  m->u.config = *c;
  m->u.config.bytes = zp_buf_from (zp_str_of (&c->bytes));
  tk_send (f->decider, m);
}

static void
apply_config (struct fo_follower *f, const struct tk_config *c)
{
  ZP_EVENT (ZP_LOG_NOTICE, PART,
            c->whole ? "received a whole configuration" : "received a change",
            ZP_F_INT (ZP_KEY_VERSION, c->version),
            ZP_F_INT (ZP_KEY_TICKET_NUMBER, c->number));
  send_config (f, c);
  write_cache (f, c);
}

/* Connection to the source.  */

static void
drop_source (struct fo_follower *f, const char *why)
{
  /* A source that cannot be reached is tried again several times a second, so
     that failed attempts are logged at debug level only.  */
  if (f->conn)
    ZP_EVENT (wi_conn_ready (f->conn) ? ZP_LOG_NOTICE : ZP_LOG_DEBUG, PART,
              "disconnected from the source",
              ZP_F_TEXT (ZP_KEY_REASON, zp_str_from (why)));
  wi_conn_free (f->conn);
  f->conn = NULL;
  fo_state_drop_parts (&f->state);
}

/* Drops the source; the next one is tried after DELAY.  */
static void
switch_source_after (struct fo_follower *f, const char *why, zp_time delay)
{
  drop_source (f, why);
  if (f->source_count > 0)
    f->source = (f->source + 1) % f->source_count;
  f->dial_at = zp_clock_mono () + delay;
}

static void
switch_source (struct fo_follower *f, const char *why)
{
  switch_source_after (f, why, ZP_FOLLOW_RETRY);
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
      f->reports[i].age += now - f->age_at[i];
      f->age_at[i] = now;
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
    switch_source (f, "a malformed change");
  else
    switch (fo_state_delta (&f->state, &d))
      {
      case FO_ACCEPTED:
        {
          struct tk_config c = { .from = d.from,
                                 .version = d.version,
                                 .number = d.number,
                                 .term = d.term,
                                 .bytes = zp_buf_from (d.change) };
          apply_config (f, &c);
          zp_buf_free (&c.bytes);
          break;
        }
      case FO_OLD:
        break;
      case FO_PART_KEPT:
      case FO_GAP:
      case FO_STALE:
      case FO_BAD_PART:
        zp_count (zp_counter ("zp_follow_refused_total", ""), 1);
        switch_source (f, "a change that does not continue the version held");
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
    switch_source (f, "a malformed part of a configuration");
  else
    switch (fo_state_part (&f->state, &p))
      {
      case FO_ACCEPTED:
        {
          struct tk_config c = { .version = p.version,
                                 .number = p.number,
                                 .term = p.term,
                                 .whole = true,
                                 .bytes = f->state.parts };
          apply_config (f, &c);
          fo_state_drop_parts (&f->state);
          break;
        }
      case FO_PART_KEPT:
      case FO_OLD:
        break;
      case FO_GAP:
      case FO_STALE:
      case FO_BAD_PART:
        zp_count (zp_counter ("zp_follow_refused_total", ""), 1);
        switch_source (
            f, "a part of a configuration that is stale or out of order");
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
  f->current_at = zp_clock_mono ();
  send_fresh (f, true);
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
      switch_source (f, "a frame of an unexpected kind");
    }
}

static void
on_end (void *self, struct wi_conn *c, const struct zp_err *why)
{
  (void) c;
  switch_source (self, why->text);
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
      switch_source (f, err.text);
      return;
    }
  f->dialed_at = zp_clock_mono ();
  fo_put_follow (&b,
                 &(struct fo_follow){ .id = f->id, .have = f->state.version });
  wi_conn_send (f->conn, WI_FOLLOW, zp_str_of (&b));
  zp_buf_free (&b);
}

/* After a failed write, asks for a whole configuration to write anew.  */
static void
retry_cache (struct fo_follower *f, zp_time now)
{
  if (!f->cache_broken || now < f->cache_retry_at)
    return;
  f->cache_retry_at = now + CACHE_RETRY;
  tk_send (f->decider, tk_msg_new (TK_CONFIG_REQUEST));
}

static void
on_timer (struct ev_loop *ev, ev_timer *w, int events)
{
  struct fo_follower *f = w->data;
  zp_time now = zp_clock_mono ();

  (void) ev;
  (void) events;
  retry_cache (f, now);
  if (f->source_count == 0)
    return;
  /* The kernel repeats a lost SYN packet only after 1 s; a new attempt is
     faster.  */
  if (f->conn && !wi_conn_ready (f->conn)
      && now - f->dialed_at > ZP_CONNECT_TIMEOUT)
    switch_source (f, "connect timed out");
  if (now - f->current_at > ZP_FOLLOW_TIMEOUT)
    {
      send_fresh (f, false);
      if (f->conn && now - f->dialed_at > ZP_FOLLOW_TIMEOUT)
        switch_source_after (f, "silent or not current", 0);
    }
  if (!f->conn && now >= f->dial_at)
    dial (f);
  send_reports (f);
}

/* Messages.  */

/* Replaces the sources by LINES, one address a line.  The connection to the
   source in use is kept when LINES names it.  */
static void
set_sources (struct fo_follower *f, struct zp_str lines)
{
  struct zp_buf in_use = { .ptr = NULL };
  struct zp_str rest = lines, line;

  if (f->source_count > 0)
    zp_buf_put (&in_use, zp_str_of (&f->sources[f->source]));
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
      if (zp_str_eq (line, zp_str_of (&in_use)))
        f->source = f->source_count;
      f->sources[f->source_count++] = zp_buf_from (line);
    }
  bool still_named
      = f->source_count > 0
        && zp_str_eq (zp_str_of (&f->sources[f->source]), zp_str_of (&in_use));
  zp_buf_free (&in_use);
  if (!f->conn || still_named)
    return;
  /* After a restart of all, entry daemons answer nobody until they have a
     configuration, so that the next source is not waited for.  */
  drop_source (f, "no longer in the list of sources");
  if (f->source_count > 0)
    dial (f);
}

/* Queues the report; it is sent with the others at the next ping or timer.  A
   newer report replaces the queued one of the same daemon.  */
static void
add_report (struct fo_follower *f, const struct tk_follow_report *r)
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
      f->age_at = zp_realloc (f->age_at, f->report_cap * sizeof *f->age_at);
    }
  if (i == f->report_count)
    f->report_count++;
  f->reports[i] = *r;
  f->age_at[i] = zp_clock_mono ();
}

static void
on_message (void *self, struct tk_msg *m)
{
  struct fo_follower *f = self;

  switch (m->kind)
    {
    case TK_FOLLOW_REPORT:
      add_report (f, &m->u.follow_report);
      break;
    case TK_CONFIG:
      if (m->u.config.whole)
        write_cache (f, &m->u.config);
      break;
    case TK_CONFIG_SOURCES:
      set_sources (f, zp_str_of (&m->u.addresses.lines));
      break;
    case TK_DISK_DONE:
      if (m->u.disk.error != 0)
        {
          zp_log (ZP_LOG_ERR, PART,
                  "cannot write the configuration to disk, error %d; it stays "
                  "in force in memory and is written again",
                  m->u.disk.error);
          zp_count (zp_counter ("zp_follow_disk_errors_total", ""), 1);
          f->cache_broken = true;
          f->cache_retry_at = zp_clock_mono () + CACHE_RETRY;
        }
      break;
    default:
      assert (!"message kind that the follower task does not handle");
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

/* Sends the cached configuration, up to the first damaged record, to the
   deciding task.  */
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
          send_config (f, &c);
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
          f->changes_cached++;
          if (fo_state_delta (&f->state, &d) == FO_ACCEPTED)
            send_config (f, &c);
        }
      if (rest.len > 0)
        truncate_changes (f, changes.len - rest.len);
    }
  zp_log (ZP_LOG_NOTICE, PART, "starts from version %llu, ticket number %llu",
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
  fo_state_drop_parts (&f->state);
  for (size_t i = 0; i < f->source_count; i++)
    zp_buf_free (&f->sources[i]);
  free (f->sources);
  free (f->reports);
  free (f->age_at);
  free (f);
}
