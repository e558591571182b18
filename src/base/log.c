#include "base/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <unistd.h>

#include "base/limits.h"

static const char *log_program = "zinniapost";
static enum zp_log_level log_level = ZP_LOG_INFO;

void
zp_log_open (const char *program, enum zp_log_level level)
{
  log_program = program;
  log_level = level;
}

bool
zp_log_enabled (enum zp_log_level level)
{
  return level <= log_level;
}

void
zp_log (enum zp_log_level level, const char *part, const char *fmt, ...)
{
  char line[ZP_LOG_LINE_MAX];
  va_list ap;

  if (!zp_log_enabled (level))
    return;
  int n = snprintf (line, sizeof line, "<%d>%s[%d]: %s: ", (int) level,
                    log_program, (int) getpid (), part);
  va_start (ap, fmt);
  int m = vsnprintf (line + n, sizeof line - (size_t) n - 1, fmt, ap);
  va_end (ap);
  size_t len = (size_t) n + (size_t) (m > 0 ? m : 0);
  if (len > sizeof line - 2)
    len = sizeof line - 2;
  line[len++] = '\n';
  /* A log line that cannot be written is dropped: logging never stops work. */
  ssize_t ignored = write (STDERR_FILENO, line, len);
  (void) ignored;
}
