/* NAME
     ledger-fake - a member of a replicated log on a disk in memory

   DESCRIPTION
     Disk writes wait in a queue until the test performs them, so that a test
     chooses between which two writes a crash happens.  */

#ifndef ZP_TESTS_LEDGER_FAKE_H
#define ZP_TESTS_LEDGER_FAKE_H

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "ledger/recover.h"
#include "ledger/snapshot.h"
#include "ledger/wal.h"

#define FAKE_WRITES_MAX 512

struct fake
{
  struct lg_core *core;           /* NULL: down */
  _Alignas(16) struct zp_rng rng; /* dSFMT uses SSE registers */
  uint64_t id;
  struct zp_buf log, snapshot;          /* synced */
  struct lg_out *disk[FAKE_WRITES_MAX]; /* writes not done yet */
  size_t writes;
  bool full;   /* the disk refuses every write */
  bool failed; /* a write was refused; see src/task/disk.h */
};

/* Starts the member from its disk.  Snapshots are due after 20 entries and
   keep 5, so that tests need few entries.  */
static inline bool
fake_start (struct fake *f, const struct lg_members *members, zp_time now,
            struct zp_err *err)
{
  struct lg_files files = { zp_str_of (&f->log), zp_str_of (&f->snapshot) };
  struct lg_init_state s;
  size_t cut;

  f->failed = false;
  if (!lg_recover (&files, f->id, members, &s, &cut, err))
    {
      lg_init_state_free (&s);
      return false;
    }
  s.snapshot_entries = 20;
  s.keep_entries = 5;
  f->core = lg_core_new (&s, now, &f->rng);
  lg_init_state_free (&s);
  return true;
}

/* Moves the contents of OUT to a new output.  The caller still frees OUT.  */
static inline struct lg_out *
fake_move (struct lg_out *out)
{
  struct lg_out *copy = zp_alloc (sizeof *copy);

  *copy = *out;
  out->kind = LG_OUT_ROLE;
  return copy;
}

/* Adds the write in OUT to the queue.  The caller still frees OUT.  */
static inline void
fake_queue (struct fake *f, struct lg_out *out)
{
  if (f->writes == FAKE_WRITES_MAX)
    abort ();
  f->disk[f->writes++] = fake_move (out);
}

/* Performs the oldest write and returns its number.  Of an append, only the
   first KEEP bytes are written; a replacement of a file is left out when KEEP
   is 0.  */
static inline uint64_t
fake_disk_step (struct fake *f, size_t keep)
{
  struct lg_write *w = &f->disk[0]->u.write;
  bool snapshot = w->kind == LG_WRITE_SNAPSHOT;
  struct zp_buf *file = snapshot ? &f->snapshot : &f->log;
  struct zp_buf bytes = { .ptr = NULL };
  uint64_t number = w->number;

  if (snapshot)
    lg_snapshot_encode (&bytes, w->u.snapshot);
  else
    lg_wal_encode (&bytes, w);
  if (w->kind != LG_WRITE_APPEND && keep > 0)
    zp_buf_clear (file);
  else if (keep < bytes.len)
    bytes.len = keep;
  if (bytes.len > 0)
    zp_buf_put (file, zp_str_of (&bytes));
  zp_buf_free (&bytes);
  lg_out_free (f->disk[0]);
  memmove (f->disk, f->disk + 1, --f->writes * sizeof f->disk[0]);
  return number;
}

/* Performs the oldest write and sets NUMBER to its number.  Returns ENOSPC when
   the disk is full, or when an earlier write has failed and no write has begun
   anew since; of an append that fails first, KEEP bytes are in the file then.
   */
static inline int
fake_disk_try (struct fake *f, size_t keep, uint64_t *number)
{
  const struct lg_write *w = &f->disk[0]->u.write;

  f->failed = f->failed && !w->retry;
  if (!f->full && !f->failed)
    {
      *number = fake_disk_step (f, SIZE_MAX);
      return 0;
    }
  *number = fake_disk_step (f, w->kind == LG_WRITE_APPEND && !f->failed ? keep
                                                                        : 0);
  f->failed = true;
  return ENOSPC;
}

/* Crashes the process.  All but the last LEFT queued writes are done, and KEEP
   bytes of the next one when it is an append; the others are lost.  */
static inline void
fake_crash (struct fake *f, size_t left, size_t keep)
{
  uint64_t number;

  while (f->writes > left)
    fake_disk_try (f, keep, &number);
  if (f->failed)
    keep = 0;
  for (; f->writes > 0; keep = 0)
    fake_disk_step (f, f->disk[0]->u.write.kind == LG_WRITE_APPEND ? keep : 0);
  lg_core_free (f->core);
  f->core = NULL;
}

/* Erases the storage of a member that is down.  */
static inline void
fake_wipe (struct fake *f)
{
  zp_buf_free (&f->log);
  zp_buf_free (&f->snapshot);
}

static inline void
fake_free (struct fake *f)
{
  fake_crash (f, f->writes, 0);
  fake_wipe (f);
}

#endif
