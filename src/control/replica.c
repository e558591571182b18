#include "control/replica.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/log.h"
#include "control/replica-links.h"
#include "ledger/recover.h"
#include "ledger/snapshot.h"
#include "ledger/wal.h"
#include "task/disk.h"
#include "wire/frame.h"

/* Interval between checks of the core's timers, in seconds.  */
#define TICK_S 0.05
#define FOLDER_MODE 0700

struct ct_replica
{
  _Alignas(16) struct zp_rng rng; /* dSFMT uses SSE registers */
  struct ct_replica_callbacks callbacks;
  void *self;
  struct tk_loop *loop;
  uint64_t id;
  struct lg_core *core;
  struct ct_links *links;
  struct tk_task disk_replies; /* receives the replies of the disk task */
  struct tk_loop disk_loop;
  struct tk_disk disk;
  int lock; /* descriptor of the locked file in the data folder */
  ev_timer tick;
  ev_prepare before_sleep;
  bool restore_failed; /* the state is unusable: no entry is applied to it */
};

/* Outputs of the core.  */

static void
write_out (struct ct_replica *r, const struct lg_write *w)
{
  struct tk_msg *m = tk_msg_new (TK_DISK_WRITE);
  const char *file = LG_LOG_FILE;

  m->u.write.id = w->number;
  m->u.write.truncate = -1;
  m->u.write.retry = w->retry;
  switch (w->kind)
    {
    case LG_WRITE_APPEND:
      lg_wal_encode (&m->u.write.bytes, w);
      break;
    case LG_WRITE_REWRITE:
      m->u.write.replace = true;
      lg_wal_encode (&m->u.write.bytes, w);
      break;
    case LG_WRITE_SNAPSHOT:
      m->u.write.replace = true;
      file = LG_SNAPSHOT_FILE;
      lg_snapshot_encode (&m->u.write.bytes, w->u.snapshot);
      break;
    }
  zp_str_copy (m->u.write.file, sizeof m->u.write.file, zp_str_from (file));
  tk_send (&r->disk.task, m);
}

static void
role_changed (struct ct_replica *r, const struct lg_role_change *c)
{
  static const char *const names[]
      = { "follower", "pre-candidate", "candidate", "leader", "stopped" };

  switch (c->stop)
    {
    case LG_RUNNING:
      ZP_EVENT (ZP_LOG_NOTICE, "replica", "the role of a member has changed",
                ZP_F_INT (ZP_KEY_MEMBER, r->id),
                ZP_F_TEXT (ZP_KEY_STATE, zp_str_from (names[c->role])),
                ZP_F_INT (ZP_KEY_TERM, c->term),
                ZP_F_INT (ZP_KEY_LEADER, c->leader));
      break;
    case LG_STOP_DISK:
      zp_log (ZP_LOG_ERR, "replica",
              "the data folder cannot be written (%s); member %" PRIu64
              " stops voting and acknowledging until it can",
              strerror (c->error), r->id);
      break;
    case LG_STOP_STATE:
      zp_log (ZP_LOG_ERR, "replica",
              "the state cannot be used (%s); member %" PRIu64
              " stops voting and acknowledging",
              strerror (c->error), r->id);
      break;
    case LG_STOP_WIPED:
      zp_log (ZP_LOG_ERR, "replica",
              "the data folder is empty, but member %" PRIu64
              " is a voter of the group; it has to join again with a new id",
              r->id);
      break;
    }
  if (r->callbacks.role)
    r->callbacks.role (r->self, c);
}

static void
restore (struct ct_replica *r, const struct lg_snapshot *s)
{
  struct zp_err err = { .text = "" };

  if (r->callbacks.restore (r->self, s->index, s->term, zp_str_of (&s->bytes),
                            &err))
    return;
  zp_log (ZP_LOG_ERR, "replica",
          "cannot restore the snapshot at entry %" PRIu64 ": %s", s->index,
          err.text);
  r->restore_failed = true;
  lg_core_fail (r->core, zp_clock_mono (), EILSEQ);
}

static void
take_snapshot (struct ct_replica *r, uint64_t index)
{
  struct zp_buf state = { .ptr = NULL };

  r->callbacks.take_snapshot (r->self, &state);
  lg_core_snapshot (r->core, index, zp_str_of (&state));
  zp_buf_free (&state);
}

static void
members_changed (struct ct_replica *r, const struct lg_members *members)
{
  ct_links_set_members (r->links, members);
  if (r->callbacks.members)
    r->callbacks.members (r->self, members);
}

static void
handle_output (struct ct_replica *r, const struct lg_out *o)
{
  switch (o->kind)
    {
    case LG_OUT_MSG:
      ct_links_send (r->links, zp_clock_mono (), &o->u.msg);
      break;
    case LG_OUT_WRITE:
      write_out (r, &o->u.write);
      break;
    case LG_OUT_COMMITTED:
      if (o->u.committed.kind == LG_ENTRY_DATA && !r->restore_failed)
        r->callbacks.apply (r->self, o->u.committed.index, o->u.committed.term,
                            zp_str_of (&o->u.committed.bytes));
      break;
    case LG_OUT_RESTORE:
      restore (r, o->u.restore);
      break;
    case LG_OUT_SNAPSHOT_DUE:
      take_snapshot (r, o->u.snapshot_index);
      break;
    case LG_OUT_ROLE:
      role_changed (r, &o->u.role);
      break;
    case LG_OUT_MEMBERS:
      members_changed (r, &o->u.members);
      break;
    case LG_OUT_REPLY:
      if (r->callbacks.answered)
        r->callbacks.answered (r->self, &o->u.reply);
      break;
    }
}

/* Drains the outputs of the core once per iteration of the loop, so that all
   inputs of an iteration share one write and one message per member.  */
static void
on_before_sleep (struct ev_loop *ev, ev_prepare *w, int events)
{
  struct ct_replica *r = w->data;
  struct lg_out *o;

  (void) ev;
  (void) events;
  while ((o = lg_core_next_out (r->core)))
    {
      handle_output (r, o);
      lg_out_free (o);
    }
}

/* Inputs of the core.  */

static void
on_report (void *self, uint8_t kind, struct zp_str payload)
{
  struct ct_replica *r = self;

  if (kind == WI_FOLLOW_REPORT && r->callbacks.report)
    r->callbacks.report (r->self, payload);
  if (kind == WI_PROPOSAL && r->callbacks.forwarded)
    r->callbacks.forwarded (r->self, payload);
}

bool
ct_replica_forward (struct ct_replica *r, uint64_t to, struct zp_str command)
{
  return ct_links_send_report (r->links, to, WI_PROPOSAL, command);
}

bool
ct_replica_send_report (struct ct_replica *r, uint64_t to,
                        struct zp_str payload)
{
  return ct_links_send_report (r->links, to, WI_FOLLOW_REPORT, payload);
}

static void
on_msg (void *self, const struct lg_msg *m)
{
  struct ct_replica *r = self;

  lg_core_receive (r->core, zp_clock_mono (), m);
}

static void
on_disk_reply (void *self, struct tk_msg *m)
{
  struct ct_replica *r = self;

  switch (m->kind)
    {
    case TK_DISK_DONE:
      lg_core_written (r->core, zp_clock_mono (), m->u.disk.id,
                       m->u.disk.error);
      break;
    default:
      break;
    }
  tk_msg_free (m);
}

static void
on_tick (struct ev_loop *ev, ev_timer *w, int events)
{
  struct ct_replica *r = w->data;
  zp_time now = zp_clock_mono ();

  (void) ev;
  (void) events;
  ct_links_check (r->links, now);
  if (now >= lg_core_next_tick (r->core))
    lg_core_tick (r->core, now);
}

void
ct_replica_propose (struct ct_replica *r, uint64_t proposal,
                    struct zp_str bytes)
{
  lg_core_propose (r->core, zp_clock_mono (), proposal, bytes);
}

void
ct_replica_change_members (struct ct_replica *r, uint64_t proposal,
                           const struct lg_change *change)
{
  lg_core_change (r->core, zp_clock_mono (), proposal, change);
}

struct lg_status
ct_replica_status (const struct ct_replica *r)
{
  return lg_core_status (r->core, zp_clock_mono ());
}

const struct lg_members *
ct_replica_members (const struct ct_replica *r)
{
  return lg_core_members (r->core);
}

zp_time
ct_replica_silence (const struct ct_replica *r, uint64_t id)
{
  return lg_core_silence (r->core, id, zp_clock_mono ());
}

bool
ct_replica_has_lease (const struct ct_replica *r)
{
  return lg_core_has_lease (r->core, zp_clock_mono ());
}

/* Open and close.  */

/* Creates the folder when it is missing and locks it against a second process.
   Returns the descriptor of the lock, or -1 with ERR filled.  */
static int
lock_folder (struct zp_str folder, struct zp_err *err)
{
  struct zp_buf path = zp_buf_from (folder);
  int fd = -1;

  if (mkdir (path.ptr, FOLDER_MODE) == 0 || errno == EEXIST)
    {
      zp_buf_put (&path, ZP_STR ("/lock"));
      fd = open (path.ptr, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    }
  if (fd < 0 || flock (fd, LOCK_EX | LOCK_NB) < 0)
    {
      zp_fail (err, ZP_EIO, "%s: %s", path.ptr,
               errno == EWOULDBLOCK ? "in use by another process"
                                    : strerror (errno));
      if (fd >= 0)
        close (fd);
      fd = -1;
    }
  zp_buf_free (&path);
  return fd;
}

static bool
open_core (struct ct_replica *r, const struct ct_replica_options *o,
           struct zp_err *err)
{
  struct lg_init_state init;
  size_t incomplete = 0;

  bool ok = lg_recover_folder (o->folder, o->id, &o->members, &init,
                               &incomplete, err);
  if (ok)
    {
      init.snapshot_entries = o->snapshot_entries;
      init.keep_entries = o->keep_entries;
      r->core = lg_core_new (&init, zp_clock_mono (), &r->rng);
    }
  if (ok && incomplete > 0)
    zp_log (ZP_LOG_NOTICE, "replica",
            "ignored an incomplete record of %zu bytes at the end of the log",
            incomplete);
  lg_init_state_free (&init);
  return ok;
}

static void
start_watchers (struct ct_replica *r)
{
  ev_timer_init (&r->tick, on_tick, 0, TICK_S);
  r->tick.data = r;
  ev_timer_start (r->loop->ev, &r->tick);
  ev_prepare_init (&r->before_sleep, on_before_sleep);
  r->before_sleep.data = r;
  ev_prepare_start (r->loop->ev, &r->before_sleep);
}

struct ct_replica *
ct_replica_open (const struct ct_replica_options *o, struct zp_err *err)
{
  struct ct_replica *r = zp_alloc (sizeof *r);

  r->callbacks = o->callbacks;
  r->self = o->self;
  r->loop = o->loop;
  r->id = o->id;
  zp_rng_seed_os (&r->rng);
  r->lock = lock_folder (o->folder, err);
  if (r->lock >= 0 && open_core (r, o, err))
    r->links = ct_links_open (o->loop->ev, o->address, o->id, on_msg, r, err);
  tk_loop_init (&r->disk_loop);
  tk_task_init (&r->disk_replies, o->loop, on_disk_reply, r);
  if (r->links
      && tk_disk_init (&r->disk, &r->disk_loop, o->folder, &r->disk_replies,
                       err))
    {
      ct_links_set_on_report (r->links, on_report);
      tk_loop_start (&r->disk_loop);
      start_watchers (r);
      return r;
    }
  ct_links_free (r->links);
  lg_core_free (r->core);
  tk_task_free (&r->disk_replies);
  tk_loop_free (&r->disk_loop);
  if (r->lock >= 0)
    close (r->lock);
  free (r);
  return NULL;
}

void
ct_replica_close (struct ct_replica *r)
{
  if (!r)
    return;
  ev_timer_stop (r->loop->ev, &r->tick);
  ev_prepare_stop (r->loop->ev, &r->before_sleep);
  tk_loop_stop (&r->disk_loop);
  tk_loop_join (&r->disk_loop);
  tk_disk_free (&r->disk);
  tk_loop_free (&r->disk_loop);
  tk_task_free (&r->disk_replies);
  ct_links_free (r->links);
  lg_core_free (r->core);
  close (r->lock);
  free (r);
}
