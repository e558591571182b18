/* NAME
     log - the lines of several log files, in an order that causes come first

   SYNOPSIS
     struct tr_log log = { .lines = 0 };
     tr_log_add (&log, ZP_STR ("entry-1.log"), bytes);
     tr_log_order (&log);

   DESCRIPTION
     A line that is no JSON object with the members of base/log.h is counted
     and left out.  Text before the first "{" of a line is ignored, so that
     files may be given as a collector wrote them.

     A process is a file and a pid.  Its lines keep their order, also when its
     clock was set back.  Clocks of VMs may differ by seconds, so that a daemon
     seems to follow a change before a control daemon has applied it.
     tr_log_order then moves all lines of that daemon to a later time.  Nothing
     shows a clock that is ahead.  */

#ifndef ZP_TRACE_LOG_H
#define ZP_TRACE_LOG_H

#include <json-c/json.h>

#include "base/clock.h"
#include "base/field.h"
#include "base/str.h"

struct tr_line
{
  struct json_object *object;
  struct zp_str level, program, part, text; /* of OBJECT */
  size_t process;
  zp_time at; /* on the clock of its VM; after tr_log_order, corrected */
};

struct tr_process
{
  struct zp_buf file;
  int64_t pid;
  zp_time offset; /* added to its clock */
  zp_time last_at;
};

struct tr_log
{
  struct tr_line *line;
  size_t lines;
  struct tr_process *process;
  size_t processes;
  size_t skipped; /* lines that are not of zinniapost */
  size_t dropped; /* lines that the programs did not write */
};

void tr_log_add (struct tr_log *l, struct zp_str file, struct zp_str bytes);
void tr_log_order (struct tr_log *l);
void tr_log_free (struct tr_log *l);

/* The field KEY as text, empty when the line has none.  */
struct zp_str tr_line_text (const struct tr_line *l, enum zp_field_key key);

/* The field KEY as a number; NONE when the line has none.  */
int64_t tr_line_number (const struct tr_line *l, enum zp_field_key key,
                        int64_t missing);

#endif
