#include "task/disk.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define FILE_MODE 0600

/* Files.  Each function returns 0 or an errno value.  */

static int
write_all (int fd, struct zp_str s)
{
  while (s.len > 0)
    {
      ssize_t n = write (fd, s.ptr, s.len);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0)
        return errno;
      s.ptr += n;
      s.len -= (size_t) n;
    }
  return 0;
}

static int
sync_fd (struct tk_disk *d, int fd)
{
  return d->sync (fd) == 0 ? 0 : errno;
}

/* Sets FD to the file NAME, open for appending.  When the file is new, the
   folder is synced first, so that the file survives a crash.  */
static int
open_append (struct tk_disk *d, const char *name, int *fd)
{
  const int flags = O_WRONLY | O_APPEND | O_CLOEXEC;

  for (size_t i = 0; i < d->files; i++)
    if (strcmp (d->file[i].name, name) == 0)
      {
        *fd = d->file[i].fd;
        return 0;
      }
  if (d->files == TK_DISK_FILES_MAX)
    return EMFILE;
  int e = 0;
  *fd = openat (d->folder, name, flags);
  if (*fd < 0 && errno == ENOENT)
    {
      *fd = openat (d->folder, name, flags | O_CREAT, FILE_MODE);
      e = *fd < 0 ? errno : sync_fd (d, d->folder);
    }
  if (*fd < 0)
    return errno;
  struct tk_disk_file *f = &d->file[d->files++];
  f->fd = *fd;
  zp_str_copy (f->name, sizeof f->name, zp_str_from (name));
  return e;
}

static void
close_append (struct tk_disk *d, const char *name)
{
  for (size_t i = 0; i < d->files; i++)
    if (strcmp (d->file[i].name, name) == 0)
      {
        close (d->file[i].fd);
        d->file[i] = d->file[--d->files];
        return;
      }
}

static int
replace (struct tk_disk *d, const struct tk_disk_write *w)
{
  char temporary[ZP_NAME_MAX + sizeof ".new"];

  snprintf (temporary, sizeof temporary, "%s.new", w->file);
  int fd = openat (d->folder, temporary,
                   O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
  if (fd < 0)
    return errno;
  int e = write_all (fd, zp_str_of (&w->bytes));
  if (e == 0)
    e = sync_fd (d, fd);
  close (fd);
  if (e == 0 && renameat (d->folder, temporary, d->folder, w->file) < 0)
    e = errno;
  /* On a full disk, the part that was written takes the room of others.  */
  if (e != 0)
    unlinkat (d->folder, temporary, 0);
  if (e == 0)
    e = sync_fd (d, d->folder);
  close_append (d, w->file);
  return e;
}

/* Appends the bytes of FIRST and of the writes after it, END excluded.  */
static int
append (struct tk_disk *d, const struct tk_msg *first,
        const struct tk_msg *end)
{
  const struct tk_disk_write *w = &first->u.write;
  struct zp_buf joined = { .ptr = NULL };
  struct zp_str bytes = zp_str_of (&w->bytes);
  int fd;

  int e = open_append (d, w->file, &fd);
  if (e == 0 && w->truncate >= 0 && ftruncate (fd, w->truncate) < 0)
    e = errno;
  if (e != 0)
    return e;
  if (first->next != end)
    {
      for (const struct tk_msg *m = first; m != end; m = m->next)
        zp_buf_put (&joined, zp_str_of (&m->u.write.bytes));
      bytes = zp_str_of (&joined);
    }
  e = write_all (fd, bytes);
  zp_buf_free (&joined);
  return e == 0 ? sync_fd (d, fd) : e;
}

/* Task.  */

static void
answer (struct tk_disk *d, const struct tk_msg *m)
{
  struct tk_msg *done = tk_msg_new (TK_DISK_DONE);

  done->u.disk
      = (struct tk_disk_done){ .id = m->u.write.id, .error = d->error };
  tk_send (d->reply_to, done);
}

/* The first write after FIRST that cannot share its sync: not an append, or to
   another file, or one that truncates.  NULL: all can.  */
static struct tk_msg *
batch_end (struct tk_msg *first)
{
  struct tk_msg *m = first->next;

  while (m && !first->u.write.replace && !m->u.write.replace
         && m->u.write.truncate < 0 && !m->u.write.retry
         && strcmp (m->u.write.file, first->u.write.file) == 0)
    m = m->next;
  return m;
}

static void
write_queued (struct tk_disk *d)
{
  while (d->head)
    {
      struct tk_msg *first = d->head;
      struct tk_msg *end = batch_end (first);
      if (first->u.write.retry && first->u.write.replace)
        d->error = 0;
      if (d->error == 0)
        d->error = first->u.write.replace ? replace (d, &first->u.write)
                                          : append (d, first, end);
      while (d->head != end)
        {
          struct tk_msg *m = d->head;
          d->head = m->next;
          answer (d, m);
          tk_msg_free (m);
        }
    }
  d->tail = NULL;
}

static void
on_before_sleep (struct ev_loop *ev, ev_prepare *w, int events)
{
  (void) ev;
  (void) events;
  write_queued (w->data);
}

/* Queues the write until the loop is about to sleep, so that writes that
   arrived together can share one sync.  */
static void
on_message (void *self, struct tk_msg *m)
{
  struct tk_disk *d = self;

  switch (m->kind)
    {
    case TK_DISK_WRITE:
      m->next = NULL;
      if (d->tail)
        d->tail->next = m;
      else
        d->head = m;
      d->tail = m;
      return;
    default:
      tk_msg_free (m);
      return;
    }
}

bool
tk_disk_init (struct tk_disk *d, struct tk_loop *l, struct zp_str folder,
              struct tk_task *reply_to, struct zp_err *err)
{
  struct zp_buf path = zp_buf_from (folder);

  *d = (struct tk_disk){ .reply_to = reply_to, .sync = fdatasync };
  d->folder = open (path.ptr, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  zp_buf_free (&path);
  if (d->folder < 0)
    return zp_fail (err, ZP_EIO, "cannot open folder %.*s: %s",
                    ZP_ARG (folder), strerror (errno));
  tk_task_init (&d->task, l, on_message, d);
  ev_prepare_init (&d->before_sleep, on_before_sleep);
  d->before_sleep.data = d;
  ev_prepare_start (l->ev, &d->before_sleep);
  return true;
}

void
tk_disk_free (struct tk_disk *d)
{
  ev_prepare_stop (d->task.loop->ev, &d->before_sleep);
  tk_task_free (&d->task);
  while (d->head)
    {
      struct tk_msg *m = d->head;
      d->head = m->next;
      tk_msg_free (m);
    }
  while (d->files > 0)
    close (d->file[--d->files].fd);
  close (d->folder);
}
