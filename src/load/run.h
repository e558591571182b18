/* NAME
     run - task that acts as the callers of a plan

   DESCRIPTION
     Sends each request of the plan at its arrival time, through src/forward,
     and sends it again as lo_next_action decides.  TK_STOP ends the arrivals:
     the plan is cut there.  The loop stops when every request has its outcome.
 */

#ifndef ZP_LOAD_RUN_H
#define ZP_LOAD_RUN_H

#include "load/results.h"
#include "task/task.h"

struct lo_run;

/* Starts the run.  RESULTS must outlive it.  */
struct lo_run *lo_run_open (struct tk_loop *l, struct lo_results *results);
struct tk_task *lo_run_task (struct lo_run *r);
void lo_run_close (struct lo_run *r);

#endif
