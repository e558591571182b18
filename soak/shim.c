/* Replaces functions of the C library in zp-control-soak, to inject faults of
   the clock and the disk.  The file that ZP_SOAK_SHIM names holds "CLOCK_MS
   SYNC_MS FULL": the time of day is wrong by CLOCK_MS, each sync takes SYNC_MS
   longer, and if FULL is 1, writes to files and syncs fail with ENOSPC.  If
   FULL is 2, the last byte of each write to a file finds no room.  The file is
   read at each call, so that faults begin and end while the process
   runs.  Only whole seconds of CLOCK_MS are applied.  */

#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

struct faults
{
  long clock_ms, sync_ms;
  int full;
};

typedef int clock_fn (clockid_t, struct timespec *);
typedef int sync_fn (int);
typedef ssize_t write_fn (int, const void *, size_t);

static void *
real_function (const char *name)
{
  return dlsym (RTLD_NEXT, name);
}

static struct faults
read_faults (void)
{
  struct faults f = { 0 };
  const char *path = getenv ("ZP_SOAK_SHIM");
  char text[64] = "";
  int fd = path ? open (path, O_RDONLY | O_CLOEXEC) : -1;

  if (fd < 0)
    return f;
  ssize_t n = read (fd, text, sizeof text - 1);
  close (fd);
  if (n > 0)
    sscanf (text, "%ld %ld %d", &f.clock_ms, &f.sync_ms, &f.full);
  return f;
}

int
clock_gettime (clockid_t id, struct timespec *out)
{
  static clock_fn *real;

  if (!real)
    real = (clock_fn *) real_function ("clock_gettime");
  int r = real (id, out);
  if (r != 0 || id != CLOCK_REALTIME)
    return r;
  long ms = read_faults ().clock_ms;
  out->tv_sec += ms / 1000;
  return 0;
}

static int
slow_sync (const char *name, int fd)
{
  sync_fn *real = (sync_fn *) real_function (name);
  struct faults f = read_faults ();

  usleep ((useconds_t) f.sync_ms * 1000);
  if (f.full != 1)
    return real (fd);
  errno = ENOSPC;
  return -1;
}

int
fsync (int fd)
{
  return slow_sync ("fsync", fd);
}

int
fdatasync (int fd)
{
  return slow_sync ("fdatasync", fd);
}

ssize_t
write (int fd, const void *p, size_t n)
{
  static write_fn *real;
  struct stat st;

  if (!real)
    real = (write_fn *) real_function ("write");
  /* Log lines go to standard output, which is a regular file too, and must
     not fail.  */
  if (fd <= STDERR_FILENO || fstat (fd, &st) != 0 || !S_ISREG (st.st_mode))
    return real (fd, p, n);
  int full = read_faults ().full;
  if (full == 2 && n > 1)
    return real (fd, p, n - 1);
  if (!full)
    return real (fd, p, n);
  errno = ENOSPC;
  return -1;
}
