/* NAME
     log - structured lines, one JSON object each

   SYNOPSIS
     zp_log_open ("zp-edge", ZP_LOG_INFO, STDOUT_FILENO);
     zp_log (ZP_LOG_NOTICE, "gate", "stopped");
     ZP_EVENT (ZP_LOG_INFO, "request", "refused",
               ZP_F_TEXT (ZP_KEY_REQUEST, id), ZP_F_INT (ZP_KEY_HELD_MS, ms));

   DESCRIPTION
     A line has the members "time" (UTC), "level", "program", "pid", "part"
     (the fixed prefix of the module that logs), "text" (a short sentence) and
     the fields of the event.  docs/OPERATIONS.md lists the fields.  One line
     is one write, so that lines of several threads never mix.

     Lines of requests that went well are written for a sample of the requests,
     chosen by their id, so that a request has its lines in every program or in
     none.

     Logging never blocks: a line that the reader has no room for is dropped.
     At most ZP_LOG_PER_S lines a second are written, of which half are kept
     for ZP_LOG_NOTICE and more urgent ones.  Dropped lines are counted in
     zp_log_dropped_total, and the next line that is written says how many
     there were.  */

#ifndef ZP_BASE_LOG_H
#define ZP_BASE_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include "base/field.h"
#include "base/str.h"

/* Lines a second, and lines at once after a quiet time.  A line costs about
   10 us of processor time; at this rate that is 0.3% of a core.  */
#define ZP_LOG_PER_S 300
#define ZP_LOG_BURST 600

/* An entry daemon that serves 400 requests a second writes some 12 lines a
   second of those that went well.  */
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

/* Sets the program name, the highest level that is written, and where.  Before
   this, lines go to standard error.  */
void zp_log_open (const char *program, enum zp_log_level level, int fd);

bool zp_log_enabled (enum zp_log_level level);

/* Whether REQUEST is one of the sample of one in ZP_LOG_SAMPLE requests.  */
bool zp_log_sampled (struct zp_str request);

/* A line without fields.  */
void zp_log (enum zp_log_level level, const char *part, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));

void zp_event (enum zp_log_level level, const char *part, const char *text,
               const struct zp_field *fields, size_t n);

#define ZP_EVENT(level, part, text, ...)                                      \
  zp_event ((level), (part), (text), (struct zp_field[]){ __VA_ARGS__ },      \
            sizeof ((struct zp_field[]){ __VA_ARGS__ })                       \
                / sizeof (struct zp_field))

#endif
