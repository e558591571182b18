/* NAME
     source - the task of a control daemon that sends the table of backend
     servers to entry daemons

   DESCRIPTION
     Listens for entry daemons and other control daemons.  Every entry daemon
     connects to every control daemon that it knows, so that a server may
     report to any of them.  An entry daemon is sent the whole table first and
     then every change; it acknowledges each update once its deciding task has
     it.  Updates to control daemons hold no servers.

     Messages received from the deciding task:
       TK_SERVER          a report of a server; one with a report_id is
                          answered by TK_SERVER_SETTLED when every connected
                          entry daemon has acknowledged it.  A daemon that does
                          not acknowledge within RO_ACK_TIMEOUT is cut off or
                          frozen and is not waited for.  The end of a
                          connection proves neither: the daemon is waited for
                          as long, unless it was stopping.
       TK_CONFIG_SOURCES  the control daemons, which every update lists
       TK_CONFIG_FRESH    whether this control daemon is in contact with the
                          leader of the log, and whether it leads; the answers
                          to pings repeat it, and a change is sent at once
       TK_QUOTA_GRANT     the answer to an ask, sent on the connection that the
                          ask came on (LINK); dropped if that has ended

     TK_QUOTA_ASK is sent to the deciding task with the number of the connection
     in LINK.  An ask is dropped if it is not from an entry daemon that names
     itself as the holder.

     TK_DAEMON is sent to the deciding task when the description of a connected
     daemon changes and when its connection ends.

     A server that reports again without a change is passed on as a renewal, 10
     bytes, together with others once a second.  Renewals keep the numbers of
     reports at the entry daemons new, so that an older report that arrives
     through another control daemon is recognized.

     The task also sums up the requests of the entry daemons of the region
     (work.h).  An entry daemon reports them to a control daemon of its failure
     domain; the control daemons of a region exchange their sums, so that a
     sum leaves the failure domain once for each control daemon and not for
     each entry daemon.  The same messages pass on the loads that servers have
     stated in their answers (loads.h).  And it forwards losses of requests between entry
     daemons.

   RETURN VALUE
     ro_source_open returns NULL and sets ERR when it cannot listen at the
     address.  */

#ifndef ZP_ROSTER_SOURCE_H
#define ZP_ROSTER_SOURCE_H

#include "base/err.h"
#include "task/task.h"

/* How long an update may stay without acknowledgement.  A server waits 1 s for
   the acknowledgement of its report; entry daemons in the farthest region
   answer in 110 ms.  */
#define RO_ACK_TIMEOUT (600 * ZP_MS)

/* Changes within this time are sent in one frame.  */
#define RO_BATCH_DELAY (20 * ZP_MS)

struct ro_source;

struct ro_source_options
{
  struct zp_str address; /* "IP:port" to listen on */
  struct zp_str region;  /* of this daemon */
  struct zp_str failure_domain;
  zp_time report_period; /* between two reports of one server */
  struct tk_task *decider;
};

struct ro_source *ro_source_open (struct tk_loop *l,
                                  const struct ro_source_options *o,
                                  struct zp_err *err);
struct tk_task *ro_source_task (struct ro_source *s);

/* RELAY takes TK_WORK, the requests of the entry daemons that report to this
   daemon, and sends it to the other control daemons of the region.  */
void ro_source_set_relay (struct ro_source *s, struct tk_task *relay);
void ro_source_close (struct ro_source *s);

#endif
