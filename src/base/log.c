#include "base/log.h"

#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/limits.h"

static const char *log_program = "zinniapost";
static enum zp_log_level log_level = ZP_LOG_INFO;
static int log_fd = STDERR_FILENO;

/* Token bucket: one token for each line that may be written now.  DROPPED
   counts the lines dropped since the last one that was written.  */
static pthread_mutex_t bucket_lock = PTHREAD_MUTEX_INITIALIZER;
static double tokens = ZP_LOG_BURST;
static zp_time filled_at;
static uint64_t dropped;

void
zp_log_open (const char *program, enum zp_log_level level, int fd)
{
  log_program = program;
  log_level = level;
  log_fd = fd;
}

bool
zp_log_enabled (enum zp_log_level level)
{
  return level <= log_level;
}

bool
zp_log_sampled (struct zp_str request)
{
  return zp_str_hash (request, 0) % ZP_LOG_SAMPLE == 0;
}

static const char *
level_name (enum zp_log_level level)
{
  switch (level)
    {
    case ZP_LOG_ERR:
      return "error";
    case ZP_LOG_WARNING:
      return "warning";
    case ZP_LOG_NOTICE:
      return "notice";
    case ZP_LOG_INFO:
      return "info";
    case ZP_LOG_DEBUG:
      return "debug";
    }
  return "";
}

/* Lines.  Text that does not fit is left out.  */

struct line
{
  char bytes[ZP_LOG_LINE_MAX];
  size_t len;
};

/* Bytes kept free for "}\n" and the zero byte that vsnprintf writes.  */
#define END_BYTES 3

static void put (struct line *l, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
put (struct line *l, const char *fmt, ...)
{
  size_t room = sizeof l->bytes - END_BYTES - l->len;
  va_list ap;

  va_start (ap, fmt);
  int n = vsnprintf (l->bytes + l->len, room, fmt, ap);
  va_end (ap);
  if (n > 0 && (size_t) n < room)
    l->len += (size_t) n;
}

/* Bytes that are not ASCII are escaped too, because text from callers and
   servers may be no valid UTF-8.  */
static void
put_string (struct line *l, struct zp_str s)
{
  put (l, "\"");
  for (size_t i = 0; i < s.len; i++)
    {
      unsigned char c = (unsigned char) s.ptr[i];
      if (c == '"' || c == '\\')
        put (l, "\\%c", c);
      else if (c < 0x20 || c >= 0x7f)
        put (l, "\\u%04x", c);
      else
        put (l, "%c", c);
      /* A long string is cut, so that the members after it still fit.  */
      if (l->len > sizeof l->bytes / 2)
        break;
    }
  put (l, "\"");
}

static void
put_time (struct line *l)
{
  zp_time now = zp_clock_wall ();
  time_t s = (time_t) (now / ZP_SEC);
  struct tm tm;

  gmtime_r (&s, &tm);
  put (l, "{\"time\":\"%04d-%02d-%02dT%02d:%02d:%02d.%06dZ\"",
       tm.tm_year + 1900, tm.tm_mon + 1, tm.tm_mday, tm.tm_hour, tm.tm_min,
       tm.tm_sec, (int) (now % ZP_SEC));
}

static void
put_fields (struct line *l, const struct zp_field *fields, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      put (l, ",\"%s\":", zp_field_name (fields[i].key));
      switch (fields[i].kind)
        {
        case ZP_FIELD_TEXT:
          put_string (l, fields[i].u.text);
          break;
        case ZP_FIELD_INT:
          put (l, "%lld", (long long) fields[i].u.number);
          break;
        }
    }
}

/* Rate limit.  */

/* Whether a line of LEVEL may be written now.  Takes a token then, and sets
   MISSED to the number of lines dropped before it.  */
static bool
take_token (enum zp_log_level level, uint64_t *missed)
{
  zp_time now = zp_clock_mono ();
  double reserve = level <= ZP_LOG_NOTICE ? 0.0 : ZP_LOG_BURST / 2.0;
  struct pollfd p = { .fd = log_fd, .events = POLLOUT };

  pthread_mutex_lock (&bucket_lock);
  tokens += (double) (now - filled_at) / (double) ZP_SEC * ZP_LOG_PER_S;
  if (tokens > ZP_LOG_BURST)
    tokens = ZP_LOG_BURST;
  filled_at = now;
  /* A pipe that is ready for writing has room for a whole line.  */
  bool ok = tokens >= reserve + 1.0 && poll (&p, 1, 0) == 1
            && (p.revents & POLLOUT);
  *missed = ok ? dropped : 0;
  if (ok)
    {
      tokens -= 1.0;
      dropped = 0;
    }
  else
    dropped++;
  pthread_mutex_unlock (&bucket_lock);
  if (!ok)
    zp_count (zp_counter ("zp_log_dropped_total", ""), 1);
  return ok;
}

void
zp_event (enum zp_log_level level, const char *part, const char *text,
          const struct zp_field *fields, size_t n)
{
  struct line l = { .len = 0 };
  uint64_t missed;

  if (!zp_log_enabled (level) || !take_token (level, &missed))
    return;
  put_time (&l);
  put (&l, ",\"level\":\"%s\",\"program\":\"%s\",\"pid\":%d,\"part\":\"%s\"",
       level_name (level), log_program, (int) getpid (), part);
  if (missed > 0)
    put (&l, ",\"dropped\":%llu", (unsigned long long) missed);
  put_fields (&l, fields, n);
  put (&l, ",\"text\":");
  put_string (&l, zp_str_from (text));
  l.bytes[l.len++] = '}';
  l.bytes[l.len++] = '\n';
  /* A failed write drops the line: logging must not stop the program.  */
  ssize_t ignored = write (log_fd, l.bytes, l.len);
  (void) ignored;
}

void
zp_log (enum zp_log_level level, const char *part, const char *fmt, ...)
{
  char text[ZP_LOG_LINE_MAX / 2];
  va_list ap;

  if (!zp_log_enabled (level))
    return;
  va_start (ap, fmt);
  vsnprintf (text, sizeof text, fmt, ap);
  va_end (ap);
  zp_event (level, part, text, NULL, 0);
}
