/* NAME
     control - the task of a control daemon

   DESCRIPTION
     Connects the parts of zp-control on one loop.  The HTTP server sends
     requests to this task.  A request that changes the state is proposed to
     the replicated log, and every committed entry is applied to the ticket
     store; the request is answered when its entry has been applied by this
     member.  Changes of the configuration go to the source task, which sends
     them to entry daemons.

     On TK_STOP the daemon accepts no more connections, answers the requests
     that it has accepted and stops its loop, at the latest after 4 s
     (CONTROL_STOP_TIMEOUT).

   RETURN VALUE
     ct_control_open returns NULL and fills ERR when an address cannot be bound
     or the log cannot be opened (see replica.h).  */

#ifndef ZP_CONTROL_CONTROL_H
#define ZP_CONTROL_CONTROL_H

#include "control/call.h"
#include "control/settings.h"
#include "task/task.h"

struct ct_control;

/* SETTINGS and INTERFACE have to stay valid until ct_control_close.  INTERFACE
   is NULL for the product's own HTTP interface.  */
struct ct_control *ct_control_open (struct tk_loop *l,
                                    const struct ct_settings *settings,
                                    const struct ct_interface *interface,
                                    struct zp_err *err);
struct tk_task *ct_control_task (struct ct_control *c);

/* To be called after the loop has stopped.  */
void ct_control_close (struct ct_control *c);

#endif
