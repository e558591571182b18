#include "harness.h"

#include <errno.h>
#include <stdlib.h>

#include "base/settings.h"
#include "task/disk.h"

static int syncs, failing_sync;

/* Counts the calls.  The one with the number FAILING_SYNC fails with EIO.  */
static int
counted_sync (int fd)
{
  if (++syncs == failing_sync)
    {
      errno = EIO;
      return -1;
    }
  return fdatasync (fd);
}

struct fixture
{
  struct tk_loop here, there;
  struct tk_task replies;
  struct tk_disk disk;
  char folder[64];
  uint64_t expected, done;
  int errors[16];
};

static void
on_reply (void *self, struct tk_msg *m)
{
  struct fixture *f = self;

  CU_ASSERT_EQUAL (m->kind, TK_DISK_DONE);
  CU_ASSERT_EQUAL (m->u.disk.id, f->done);
  f->errors[f->done++] = m->u.disk.error;
  tk_msg_free (m);
  if (f->done == f->expected)
    tk_loop_stop (&f->here);
}

static void
set_up (struct fixture *f)
{
  struct zp_err err;

  *f = (struct fixture){ .done = 0 };
  syncs = failing_sync = 0;
  snprintf (f->folder, sizeof f->folder, "/tmp/zp-test-disk-XXXXXX");
  CU_ASSERT_FATAL (mkdtemp (f->folder) != NULL);
  tk_loop_init (&f->here);
  tk_loop_init (&f->there);
  tk_task_init (&f->replies, &f->here, on_reply, f);
  CU_ASSERT_FATAL (tk_disk_init (&f->disk, &f->there, zp_str_from (f->folder),
                                 &f->replies, &err));
  f->disk.sync = counted_sync;
}

static void
send_write (struct fixture *f, const char *file, struct tk_disk_write w,
            const char *bytes)
{
  struct tk_msg *m = tk_msg_new (TK_DISK_WRITE);

  w.id = f->expected++;
  m->u.write = w;
  zp_str_copy (m->u.write.file, ZP_NAME_MAX, zp_str_from (file));
  zp_buf_put (&m->u.write.bytes, zp_str_from (bytes));
  tk_send (&f->disk.task, m);
}

static void
write_file (struct fixture *f, const char *file, bool replace,
            int64_t truncate, const char *bytes)
{
  send_write (
      f, file,
      (struct tk_disk_write){ .replace = replace, .truncate = truncate },
      bytes);
}

/* Sends a write whose sender knows of the failure.  */
static void
write_retry (struct fixture *f, const char *file, bool replace,
             const char *bytes)
{
  send_write (f, file,
              (struct tk_disk_write){
                  .replace = replace, .retry = true, .truncate = -1 },
              bytes);
}

/* Runs until all writes so far are answered.  */
static void
wait_for_answers (struct fixture *f)
{
  tk_loop_start (&f->there);
  tk_loop_run (&f->here);
  tk_loop_stop (&f->there);
  tk_loop_join (&f->there);
}

static bool
file_is (const struct fixture *f, const char *name, const char *want)
{
  struct zp_buf path = { .ptr = NULL }, found = { .ptr = NULL };

  zp_buf_printf (&path, "%s/%s", f->folder, name);
  bool ok = zp_file_read (path.ptr, &found, ZP_SETTINGS_MAX, NULL)
            && zp_str_eq (zp_str_of (&found), zp_str_from (want));
  zp_buf_free (&path);
  zp_buf_free (&found);
  return ok;
}

static void
tear_down (struct fixture *f)
{
  static const char *const files[] = { "log", "log.new", "other" };

  tk_disk_free (&f->disk);
  tk_task_free (&f->replies);
  tk_loop_free (&f->here);
  tk_loop_free (&f->there);
  for (size_t i = 0; i < sizeof files / sizeof *files; i++)
    {
      struct zp_buf path = { .ptr = NULL };
      zp_buf_printf (&path, "%s/%s", f->folder, files[i]);
      unlink (path.ptr);
      zp_buf_free (&path);
    }
  CU_ASSERT_EQUAL (rmdir (f->folder), 0);
}

/* Guards against one sync for each append when several are in the queue, and
   against answers out of order.  */
static void
test_appends_share_a_sync (void)
{
  struct fixture f;

  set_up (&f);
  write_file (&f, "log", true, -1, "");
  wait_for_answers (&f);
  syncs = 0;
  for (int i = 0; i < 8; i++)
    write_file (&f, "log", false, -1, "ab");
  wait_for_answers (&f);
  CU_ASSERT_EQUAL (syncs, 1);
  CU_ASSERT (file_is (&f, "log", "abababababababab"));
  write_file (&f, "log", false, -1, "c");
  write_file (&f, "other", false, -1, "d");
  wait_for_answers (&f);
  CU_ASSERT (file_is (&f, "other", "d"));
  CU_ASSERT (file_is (&f, "log", "ababababababababc"));
  tear_down (&f);
}

/* Guards against an append to the old file after a replacement, and against
   truncation at the wrong offset.  */
static void
test_replace_and_truncate (void)
{
  struct fixture f;

  set_up (&f);
  write_file (&f, "log", false, -1, "old contents");
  write_file (&f, "log", true, -1, "new");
  write_file (&f, "log", false, -1, " tail");
  wait_for_answers (&f);
  CU_ASSERT (file_is (&f, "log", "new tail"));
  write_file (&f, "log", false, 4, "end");
  wait_for_answers (&f);
  CU_ASSERT (file_is (&f, "log", "new end"));
  CU_ASSERT (!file_is (&f, "log.new", ""));
  tear_down (&f);
}

/* Guards against a positive answer for bytes that a failed sync lost: the
   kernel may have dropped them, and a later sync would succeed.  */
static void
test_failed_sync_is_final (void)
{
  struct fixture f;

  set_up (&f);
  write_file (&f, "log", true, -1, "good");
  wait_for_answers (&f);
  failing_sync = syncs + 1;
  write_file (&f, "log", false, -1, "lost");
  write_file (&f, "log", true, -1, "later");
  wait_for_answers (&f);
  write_file (&f, "other", false, -1, "later");
  wait_for_answers (&f);
  CU_ASSERT_EQUAL (f.errors[0], 0);
  CU_ASSERT_EQUAL (f.errors[1], EIO);
  CU_ASSERT_EQUAL (f.errors[2], EIO);
  CU_ASSERT_EQUAL (f.errors[3], EIO);
  CU_ASSERT (!file_is (&f, "log", "later"));
  tear_down (&f);
}

/* Guards against a disk task that refuses all writes for good after one has
   failed, and against one that goes on before its sender knows: only a
   replacement that was sent as a retry begins anew.  */
static void
test_retry_after_a_failure (void)
{
  struct fixture f;

  set_up (&f);
  write_file (&f, "log", true, -1, "good");
  wait_for_answers (&f);
  failing_sync = syncs + 1;
  write_file (&f, "log", false, -1, "lost");
  write_file (&f, "log", true, -1, "later");
  write_retry (&f, "log", false, "append");
  write_retry (&f, "log", true, "anew");
  write_file (&f, "log", false, -1, " and on");
  wait_for_answers (&f);
  CU_ASSERT_EQUAL (f.errors[1], EIO);
  CU_ASSERT_EQUAL (f.errors[2], EIO);
  CU_ASSERT_EQUAL (f.errors[3], EIO);
  CU_ASSERT_EQUAL (f.errors[4], 0);
  CU_ASSERT_EQUAL (f.errors[5], 0);
  CU_ASSERT (file_is (&f, "log", "anew and on"));
  tear_down (&f);
}

/* Guards against a retry that fails, whose later writes succeed, and against a
   part of a replacement that stays on a full disk.  */
static void
test_failed_retry (void)
{
  struct fixture f;

  set_up (&f);
  write_file (&f, "log", true, -1, "good");
  wait_for_answers (&f);
  failing_sync = syncs + 1;
  write_retry (&f, "log", true, "anew");
  write_file (&f, "log", false, -1, "after");
  wait_for_answers (&f);
  CU_ASSERT_EQUAL (f.errors[1], EIO);
  CU_ASSERT_EQUAL (f.errors[2], EIO);
  CU_ASSERT (file_is (&f, "log", "good"));
  CU_ASSERT (!file_is (&f, "log.new", "anew"));
  tear_down (&f);
}

/* Guards against a replacement that becomes visible before it is synced.  */
static void
test_failed_replacement_keeps_the_old_file (void)
{
  struct fixture f;

  set_up (&f);
  write_file (&f, "log", true, -1, "old");
  wait_for_answers (&f);
  failing_sync = syncs + 1;
  write_file (&f, "log", true, -1, "new");
  wait_for_answers (&f);
  CU_ASSERT_EQUAL (f.errors[1], EIO);
  CU_ASSERT (file_is (&f, "log", "old"));
  tear_down (&f);
}

static const struct zp_test tests[]
    = { { "appends share a sync", test_appends_share_a_sync },
        { "replace and truncate", test_replace_and_truncate },
        { "a failed sync is final", test_failed_sync_is_final },
        { "a retry after a failure", test_retry_after_a_failure },
        { "a failed retry", test_failed_retry },
        { "a failed replacement keeps the old file",
          test_failed_replacement_keeps_the_old_file } };

TEST_MAIN ("disk", tests)
