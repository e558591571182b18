/* NAME
     log - structured log, one JSON object a line

   SYNOPSIS
     zp_log_open ("zp-edge", ZP_LOG_INFO, STDOUT_FILENO);
     zp_log (ZP_LOG_NOTICE, "gate", "stopped");
     ZP_EVENT (ZP_LOG_INFO, "request", "refused",
               ZP_F_TEXT (ZP_KEY_REQUEST, id), ZP_F_INT (ZP_KEY_HELD_MS, ms));

   DESCRIPTION
     A line has the members "time" (UTC), "level", "program", "pid", "part"
     (a fixed name for the module that logs), "text" (a short sentence) and the
     fields of the event.  docs/OPERATIONS.md lists the fields.  Each line is
     written by one system call, so that lines of several threads never mix.

     Successful requests are logged for a sample of all requests only.  The
     sample is chosen by a hash of the request id, so that either all programs
     log a request or none does.

     Logging never blocks: when the pipe to the reader is full, the line is
     dropped.  A token bucket limits the rate to ZP_LOG_PER_S lines a second;
     the lower half of the bucket is reserved for lines of ZP_LOG_NOTICE and
     more urgent levels.  Dropped lines are counted in zp_log_dropped_total,
     and the next line that is written has their number in "dropped".

   SOURCES
     The numbers of the levels are those of syslog (RFC 5424).  */

#ifndef ZP_BASE_LOG_H
#define ZP_BASE_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include "base/field.h"
#include "base/str.h"

/* Lines a second, and lines in one burst.  A line costs about 10 us of
   processor time; at this rate that is 0.3% of a core.  */
#define ZP_LOG_PER_S 300
#define ZP_LOG_BURST 600

/* One in this many successful requests is logged: about 12 lines a second for
   an entry daemon that serves 400 requests a second.  */
#define ZP_LOG_SAMPLE 32

enum zp_log_level
{
  ZP_LOG_ERR = 3,
  ZP_LOG_WARNING = 4,
  ZP_LOG_NOTICE = 5,
  ZP_LOG_INFO = 6,
  ZP_LOG_DEBUG = 7,
};

enum zp_field_kind
{
  ZP_FIELD_TEXT,
  ZP_FIELD_INT,
};

struct zp_field
{
  enum zp_field_key key;
  enum zp_field_kind kind;
  union
  {
    struct zp_str text;
    int64_t number;
  } u;
};

#define ZP_F_TEXT(k, t)                                                       \
  (struct zp_field) { .key = (k), .kind = ZP_FIELD_TEXT, .u.text = (t) }
#define ZP_F_INT(k, v)                                                        \
  (struct zp_field)                                                           \
  {                                                                           \
    .key = (k), .kind = ZP_FIELD_INT, .u.number = (int64_t) (v)               \
  }

/* Sets the program name, the least urgent level that is written, and the file
   descriptor.  Before this call, lines go to standard error.  */
void zp_log_open (const char *program, enum zp_log_level level, int fd);

bool zp_log_enabled (enum zp_log_level level);

/* Whether the request with the id REQUEST is in the sample.  */
bool zp_log_sampled (struct zp_str request);

/* Writes a line without fields.  */
void zp_log (enum zp_log_level level, const char *part, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));

/* Writes a line with N fields; ZP_EVENT counts the fields itself.  */
void zp_event (enum zp_log_level level, const char *part, const char *text,
               const struct zp_field *fields, size_t n);

#define ZP_EVENT(level, part, text, ...)                                      \
  zp_event ((level), (part), (text), (struct zp_field[]){ __VA_ARGS__ },      \
            sizeof ((struct zp_field[]){ __VA_ARGS__ })                       \
                / sizeof (struct zp_field))

#endif
