/* NAME
     log - syslog-style lines on standard error

   DESCRIPTION
     Every line is "<PRIORITY>PROGRAM[PID]: PART: text".  PART is the fixed
     prefix of the module that logs.  One line is one write, so that lines of
     several threads never mix.  */

#ifndef ZP_BASE_LOG_H
#define ZP_BASE_LOG_H

#include <stdbool.h>

enum zp_log_level
{
  ZP_LOG_ERR = 3,
  ZP_LOG_WARNING = 4,
  ZP_LOG_NOTICE = 5,
  ZP_LOG_INFO = 6,
  ZP_LOG_DEBUG = 7,
};

/* Sets the program name and the highest level that is written.  */
void zp_log_open (const char *program, enum zp_log_level level);

bool zp_log_enabled (enum zp_log_level level);

void zp_log (enum zp_log_level level, const char *part, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
