/* Benchmark of the log file.  Measures:

   - rate of synced appends through the disk task, for 1, 10 and 100 entries of
     300 bytes a sync; the baseline is a loop of write and fdatasync with the
     same bytes on the same disk
   - processor time to recover the ticket state from 100,000 records, without a
     snapshot (one run, because it takes long) and with a snapshot that leaves
     LG_SNAPSHOT_ENTRIES records to replay

   Limits: appends are measured in wall-clock time, on a disk that other
   processes use too; the appends and their baseline therefore take turns.  A
   commit of the replicated log needs such syncs at a majority of the members
   and the network (bench-replica).  Recovery reads from the page cache.  */

#include "figures.h"

#include <fcntl.h>

#include "ledger/recover.h"
#include "ledger/snapshot.h"
#include "ledger/wal.h"
#include "task/disk.h"
#include "ticket/store.h"

#define ENTRY_BYTES 300
#define SYNCS 40
#define RUNS 5
#define RECORDS 100000
#define TAIL_FIRST                                                            \
  (RECORDS - LG_SNAPSHOT_ENTRIES + 1) /* first record after the snapshot */
#define ENTRIES 420
#define MEMBER 1

static char folder[] = "build/bench-log-XXXXXX";

static void
make_path (char out[128], const char *name)
{
  snprintf (out, 128, "%s/%s", folder, name);
}

/* Appends.  */

struct writer
{
  struct tk_loop loop, disk_loop;
  struct tk_task task;
  struct tk_disk disk;
  uint64_t done;
};

static void
on_done (void *self, struct tk_msg *m)
{
  struct writer *w = self;

  if (m->u.disk.error != 0)
    fig_die ("bench-log: sync failed", NULL);
  w->done = m->u.disk.id;
  tk_msg_free (m);
}

static void
open_writer (struct writer *w)
{
  struct zp_err err;

  tk_loop_init (&w->loop);
  tk_loop_init (&w->disk_loop);
  tk_task_init (&w->task, &w->loop, on_done, w);
  if (!tk_disk_init (&w->disk, &w->disk_loop, zp_str_from (folder), &w->task,
                     &err))
    fig_die ("bench-log", &err);
  tk_loop_start (&w->disk_loop);
}

static void
close_writer (struct writer *w)
{
  tk_loop_stop (&w->disk_loop);
  tk_loop_join (&w->disk_loop);
  tk_disk_free (&w->disk);
  tk_task_free (&w->task);
  tk_loop_free (&w->disk_loop);
  tk_loop_free (&w->loop);
}

/* Writes one record with BATCH entries, the first at INDEX.  */
static void
put_record (struct zp_buf *out, uint64_t index, unsigned batch)
{
  static char bytes[ENTRY_BYTES];
  struct lg_write r = { .kind = LG_WRITE_APPEND };

  r.u.log.id = MEMBER;
  r.u.log.term = 1;
  r.u.log.vote = MEMBER;
  for (unsigned i = 0; i < batch; i++)
    {
      struct lg_entry e
          = { .index = index + i,
              .term = 1,
              .kind = LG_ENTRY_DATA,
              .bytes = zp_buf_from ((struct zp_str){ bytes, sizeof bytes }) };
      lg_entries_add (&r.u.log.entries, &e);
      zp_buf_free (&e.bytes);
    }
  lg_wal_encode (out, &r);
  lg_entries_free (&r.u.log.entries);
}

static void
append (struct writer *w, unsigned batch)
{
  static uint64_t index = 1, id;
  struct tk_msg *m = tk_msg_new (TK_DISK_WRITE);

  m->u.write.id = ++id;
  m->u.write.truncate = -1;
  zp_str_copy (m->u.write.file, ZP_NAME_MAX, ZP_STR ("appended"));
  put_record (&m->u.write.bytes, index, batch);
  index += batch;
  tk_send (&w->disk.task, m);
  while (w->done < id)
    ev_run (w->loop.ev, EVRUN_ONCE);
}

static void
append_bare (int fd, struct zp_str bytes)
{
  if (write (fd, bytes.ptr, bytes.len) != (ssize_t) bytes.len
      || fdatasync (fd) != 0)
    fig_die ("bench-log: bare write failed", NULL);
}

static void
measure_append (struct writer *w, unsigned batch)
{
  struct fig_values own = { .len = 0 }, bare = { .len = 0 };
  struct zp_buf bytes = { .ptr = NULL };
  char path[128], name[64];

  make_path (path, "bare");
  int fd = open (path, O_WRONLY | O_CREAT | O_APPEND, 0600);
  put_record (&bytes, 1, batch);
  for (int r = 0; r < RUNS; r++)
    {
      zp_time start = zp_clock_mono ();
      for (int i = 0; i < SYNCS; i++)
        append (w, batch);
      zp_time middle = zp_clock_mono ();
      for (int i = 0; i < SYNCS; i++)
        append_bare (fd, zp_str_of (&bytes));
      zp_time end = zp_clock_mono ();
      double entries = (double) SYNCS * batch * 1e6;
      fig_add (&own, entries / (double) (middle - start));
      fig_add (&bare, entries / (double) (end - middle));
    }
  close (fd);
  zp_buf_free (&bytes);
  snprintf (name, sizeof name, "log-append-%u", batch);
  fig_print (name, &own, "entries/s", fig_quantile (&bare, 0.5));
  snprintf (name, sizeof name, "log-append-%u-bare", batch);
  fig_print (name, &bare, "entries/s", NAN);
}

/* Recovery.  */

static struct ti_ticket *
make_ticket (struct zp_str text)
{
  struct zp_report report = { .count = 0 };
  struct ti_ticket *t = ti_ticket_parse (text, &report);

  if (!t)
    fig_die (report.lines.ptr, NULL);
  return t;
}

static void
put_base (struct zp_buf *out)
{
  zp_buf_put (out, ZP_STR ("{\"title\":\"base\",\"author\":\"ana\",\"against\""
                           ":0,\"set\":{\"region/r\":{\"latency_ms\":{}},"
                           "\"failure_domain/f\":{\"region\":\"r\","
                           "\"entry_networks\":[\"10.0.0.0/8\"]}"));
  for (unsigned i = 0; i < ENTRIES; i++)
    zp_buf_printf (out,
                   ",\"entry/%u\":{\"failure_domain\":\"f\",\"address\":"
                   "\"10.0.%u.%u:80\",\"enabled\":true}",
                   i + 1, i / 200, i % 200);
  zp_buf_put (out, ZP_STR ("}}"));
}

/* Writes the three commands of change N: submit, review, number.  */
static void
put_commands (struct zp_buf out[3], unsigned n)
{
  struct zp_buf text = { .ptr = NULL };
  struct ti_command c
      = { .now = (zp_time) n * (24 * 3600 * ZP_SEC / 2200) + ZP_SEC };
  struct ti_digest digest;
  unsigned e = n % ENTRIES;

  if (n == 0)
    put_base (&text);
  else
    zp_buf_printf (&text,
                   "{\"title\":\"change %u\",\"author\":\"ana\",\"against\":"
                   "%u,\"set\":{\"drain/d%u\":{\"target\":\"entry/%u\"}}}",
                   n, n, e, e + 1);
  c.kind = TI_SUBMIT;
  c.u.submit.ticket = make_ticket (zp_str_of (&text));
  ti_ticket_digest (c.u.submit.ticket, &digest);
  ti_command_encode (&c, &out[0]);
  ti_command_clear (&c);
  c.kind = TI_REVIEW;
  c.u.review.digest = digest;
  ti_text_set (&c.u.review.reviewer, ZP_STR ("ben"));
  ti_command_encode (&c, &out[1]);
  c.kind = TI_NUMBER;
  c.u.number.digest = digest;
  c.u.number.number = 0;
  ti_command_encode (&c, &out[2]);
  zp_buf_free (&text);
}

static void
write_file (const char *name, const struct zp_buf *b)
{
  char path[128];

  make_path (path, name);
  FILE *f = fopen (path, "w");
  if (!f || fwrite (b->ptr, 1, b->len, f) != b->len || fclose (f) != 0)
    fig_die ("bench-log: cannot write a file", NULL);
}

static struct lg_members
make_members (void)
{
  struct lg_members m = { .formed_term = 1 };

  lg_members_put (&m, MEMBER, true, ZP_STR ("127.0.0.1:1"));
  return m;
}

/* Writes the first record of a log file whose entries begin at FIRST.  */
static void
put_begin (struct zp_buf *out, uint64_t first)
{
  struct lg_write w = { .kind = LG_WRITE_REWRITE };

  w.u.log = (struct lg_write_log){ .id = MEMBER,
                                   .first_vote_term = 1,
                                   .term = 1,
                                   .vote = MEMBER,
                                   .base_index = first - 1,
                                   .base_term = first > 1,
                                   .base_members = make_members () };
  lg_wal_encode (out, &w);
}

static void
put_entry (struct zp_buf *out, uint64_t index, const struct zp_buf *bytes)
{
  struct lg_write w = { .kind = LG_WRITE_APPEND };
  struct lg_entry e
      = { .index = index, .term = 1, .kind = LG_ENTRY_DATA, .bytes = *bytes };

  w.u.log.id = MEMBER;
  w.u.log.term = 1;
  w.u.log.vote = MEMBER;
  lg_entries_add (&w.u.log.entries, &e);
  lg_wal_encode (out, &w);
  lg_entries_free (&w.u.log.entries);
}

/* Makes the log FULL with all entries, one a record, the log TAIL with the
   entries after the snapshot, and the STATE that the snapshot holds.  */
static void
make_logs (struct zp_buf *full, struct zp_buf *tail, struct zp_buf *state)
{
  struct ti_store *s = ti_store_new (TI_CONFLICT_BY_OBJECT);

  put_begin (full, 1);
  put_begin (tail, TAIL_FIRST);
  for (uint64_t index = 1; index <= RECORDS;)
    {
      struct zp_buf c[3] = { { .ptr = NULL } };
      put_commands (c, (unsigned) ((index - 1) / 3));
      for (int i = 0; i < 3; i++, index++)
        {
          struct ti_result result;
          put_entry (full, index, &c[i]);
          if (index >= TAIL_FIRST)
            put_entry (tail, index, &c[i]);
          else
            {
              ti_store_apply (s, index, zp_str_of (&c[i]), &result);
              if (result.outcome != TI_DONE)
                fig_die ("bench-log: a command was refused", NULL);
              ti_result_free (&result);
            }
          if (index == TAIL_FIRST - 1)
            ti_store_snapshot (s, state);
          zp_buf_free (&c[i]);
        }
    }
  ti_store_free (s);
}

/* Recovers the ticket state from the files of the folder: decodes the snapshot
   and applies the entries after it.  */
static void
recover (struct fig_values *seconds)
{
  struct lg_members members = make_members ();
  struct lg_init_state init;
  struct zp_err err;
  size_t cut;
  double begin = fig_cpu_process ();
  struct ti_store *s = NULL;

  if (!lg_recover_folder (zp_str_from (folder), MEMBER, &members, &init, &cut,
                          &err))
    fig_die ("bench-log", &err);
  if (init.snapshot)
    s = ti_store_restore (zp_str_of (&init.snapshot->bytes),
                          TI_CONFLICT_BY_OBJECT, &err);
  else
    s = ti_store_new (TI_CONFLICT_BY_OBJECT);
  if (!s)
    fig_die ("bench-log", &err);
  for (size_t i = 0; i < init.entries.len; i++)
    {
      const struct lg_entry *e = &init.entries.item[i];
      struct ti_result result;
      if (init.snapshot && e->index <= init.snapshot->index)
        continue;
      ti_store_apply (s, e->index, zp_str_of (&e->bytes), &result);
      ti_result_free (&result);
    }
  fig_add (seconds, (fig_cpu_process () - begin) / 1e6);
  if (ti_store_config (s)->number < RECORDS / 3)
    fig_die ("bench-log: the recovered state is incomplete", NULL);
  ti_store_free (s);
  lg_init_state_free (&init);
}

static void
write_snapshot (const struct zp_buf *state)
{
  struct lg_members members = make_members ();
  struct lg_snapshot *snapshot
      = lg_snapshot_new (TAIL_FIRST - 1, 1, &members, zp_str_of (state));
  struct zp_buf file = { .ptr = NULL };

  lg_snapshot_encode (&file, snapshot);
  write_file (LG_SNAPSHOT_FILE, &file);
  fig_line ("log-snapshot-size", (double) file.len / 1e6, "MB");
  zp_buf_free (&file);
  lg_snapshot_free (snapshot);
}

static void
measure_recovery (void)
{
  struct fig_values all = { .len = 0 }, some = { .len = 0 };
  struct zp_buf full = { .ptr = NULL }, tail = { .ptr = NULL };
  struct zp_buf state = { .ptr = NULL };

  make_logs (&full, &tail, &state);
  write_file (LG_LOG_FILE, &full);
  recover (&all);
  double without = fig_print ("log-replay-without-snapshot", &all, "s", NAN);
  write_file (LG_LOG_FILE, &tail);
  write_snapshot (&state);
  for (int i = 0; i < RUNS; i++)
    recover (&some);
  fig_print ("log-replay-with-snapshot", &some, "s", without);
  zp_buf_free (&full);
  zp_buf_free (&tail);
  zp_buf_free (&state);
}

static void
remove_files (void)
{
  static const char *const names[]
      = { "appended", "bare", LG_LOG_FILE, LG_SNAPSHOT_FILE, "lock" };

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    {
      char path[128];
      make_path (path, names[i]);
      unlink (path);
    }
  rmdir (folder);
}

int
main (void)
{
  struct writer w = { .done = 0 };

  if (!mkdtemp (folder))
    fig_die ("bench-log: cannot create a data folder below build", NULL);
  open_writer (&w);
  measure_append (&w, 1);
  measure_append (&w, 10);
  measure_append (&w, 100);
  close_writer (&w);
  measure_recovery ();
  remove_files ();
  return 0;
}
