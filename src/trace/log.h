/* NAME
     log - reads the lines of several log files and orders them by time

   SYNOPSIS
     struct tr_log log = { .lines = 0 };
     tr_log_add (&log, ZP_STR ("entry-1.log"), bytes);
     tr_log_order (&log);

   DESCRIPTION
     A line that is not a JSON object with the members of base/log.h is counted
     and skipped.  Text before the first "{" of a line is ignored, so that a
     log collector may have added a prefix.

     A process is identified by a file and a pid.  Its lines keep their order,
     even if its clock was set back.

     The clocks of VMs can differ by seconds, so that a daemon seems to follow
     a change of the configuration before a control daemon has applied it.
     tr_log_order then adds an offset to the times of all lines of that daemon,
     so that a cause stands before its effect.  A clock that is ahead cannot be
     detected.  */

#ifndef ZP_TRACE_LOG_H
#define ZP_TRACE_LOG_H

#include <json-c/json.h>

#include "base/clock.h"
#include "base/field.h"
#include "base/str.h"

struct tr_line
{
  struct json_object *object;
  struct zp_str level, program, part, text; /* of OBJECT, which owns them */
  size_t process;                           /* index into tr_log.process */
  zp_time at; /* by the clock of its VM, until tr_log_order corrects it */
};

struct tr_process
{
  struct zp_buf file;
  int64_t pid;
  zp_time offset;  /* that tr_log_order adds to its times; not negative */
  zp_time last_at; /* time of the last line; used by tr_log_order */
};

struct tr_log
{
  struct tr_line *line;
  size_t lines;
  struct tr_process *process;
  size_t processes;
  size_t skipped; /* lines that no program of zinniapost wrote */
  size_t dropped; /* lines that the programs dropped, as their log reports */
};

/* Adds the lines of BYTES, the content of FILE.  */
void tr_log_add (struct tr_log *l, struct zp_str file, struct zp_str bytes);
/* Corrects the times of the lines and sorts the lines by them.  */
void tr_log_order (struct tr_log *l);
void tr_log_free (struct tr_log *l);

/* The field KEY as text, empty when the line has none.  The line owns it.  */
struct zp_str tr_line_text (const struct tr_line *l, enum zp_field_key key);

/* The field KEY as a number, MISSING when the line has none.  */
int64_t tr_line_number (const struct tr_line *l, enum zp_field_key key,
                        int64_t missing);

#endif
