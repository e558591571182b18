/* NAME
     run - the callers

   DESCRIPTION
     A task that sends the requests of a plan at their times, through
     src/forward.  TK_STOP ends the arrivals; the loop stops when every request
     has its outcome.  */

#ifndef ZP_LOAD_RUN_H
#define ZP_LOAD_RUN_H

#include "load/results.h"
#include "task/task.h"

struct lo_run;

struct lo_run *lo_run_open (struct tk_loop *l, struct lo_results *results);
struct tk_task *lo_run_task (struct lo_run *r);
void lo_run_close (struct lo_run *r);

#endif
