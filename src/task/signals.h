/* NAME
     signals - keeps signals for a handler that is installed later

   DESCRIPTION
     Between the start of a program and its handlers, SIGTERM, SIGINT and SIGHUP
     would end it in the middle of its start, as a crash does.  A held signal
     waits until it is released.  Threads that are started meanwhile never get
     these signals.  */

#ifndef ZP_TASK_SIGNALS_H
#define ZP_TASK_SIGNALS_H

/* To be called first in main.  */
void tk_signals_hold (void);

/* To be called on the same thread when all handlers are installed.  Signals
   that came meanwhile are handled now.  */
void tk_signals_release (void);

#endif
