#include "base/process.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include "base/log.h"

/* Excludes all mappings from core dumps.  */
static bool
clear_filter (void)
{
  int fd = open ("/proc/self/coredump_filter", O_WRONLY | O_CLOEXEC);

  if (fd < 0)
    return false;
  bool ok = write (fd, "0", 1) == 1;
  close (fd);
  return ok;
}

void
zp_process_forbid_cores (void)
{
  const struct rlimit none = { .rlim_cur = 0, .rlim_max = 0 };

  if (setrlimit (RLIMIT_CORE, &none) != 0 || !clear_filter ())
    zp_log (ZP_LOG_WARNING, "process",
            "core dumps may hold the memory of this process");
}
