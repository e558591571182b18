/* NAME
     source - the task of a control daemon that tells entry daemons which
     backend servers there are

   DESCRIPTION
     Listens for entry daemons and other control daemons.  Every daemon that
     steers connects to every control daemon that it knows, so that a server
     may report to any of them.  A connection gets the whole table first and
     then each change; the daemon acknowledges every update after its deciding
     task has it.

     It takes TK_SERVER from the deciding task.  One with a ticket is answered
     by TK_SERVER_SETTLED when every connected entry daemon has acknowledged
     it.  A daemon that does not acknowledge within RO_ACK_LIMIT is cut off or
     frozen; it no longer counts.

     It sends TK_DAEMON to the deciding task whenever what a connected daemon
     says of itself changes, and when its connection ends.  TK_CONFIG_SOURCES from the
     deciding task names the control daemons, and TK_CONFIG_FRESH says whether this
     one is in contact with the leader of the log; the answers to pings pass it
     on.  */

#ifndef ZP_ROSTER_SOURCE_H
#define ZP_ROSTER_SOURCE_H

#include "base/err.h"
#include "task/task.h"

/* A server waits 1 s for the acknowledgement of its report; entry daemons in
   the farthest region answer in 110 ms.  */
#define RO_ACK_LIMIT (600 * ZP_MS)

/* Changes of one moment share a frame.  */
#define RO_BATCH (20 * ZP_MS)

struct ro_source;

struct ro_source_options
{
  struct zp_str address; /* "IP:port" to listen on */
  struct zp_str region;  /* of this daemon */
  zp_time report_period; /* of the reports of one server */
  struct tk_task *decider;
};

struct ro_source *ro_source_open (struct tk_loop *l,
                                  const struct ro_source_options *o,
                                  struct zp_err *err);
struct tk_task *ro_source_task (struct ro_source *s);
void ro_source_close (struct ro_source *s);

#endif
