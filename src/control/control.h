/* NAME
     control - the task of a control daemon

   DESCRIPTION
     Joins the parts of zp-control on one loop: the HTTP server sends
     operators' requests here, decisions that change something are proposed to
     the replicated log, and every committed entry is applied to the ticket
     store.  A request is answered when its entry has been applied here.
     Changes go to the source task, which sends them to entry daemons.

     On TK_STOP the daemon takes no new connections, answers what it has
     accepted and stops its loop, at the latest after ZP_STOP_TIMEOUT.  */

#ifndef ZP_CONTROL_CONTROL_H
#define ZP_CONTROL_CONTROL_H

#include "control/call.h"
#include "control/settings.h"
#include "task/task.h"

struct ct_control;

/* SETTINGS has to live as long as the task, and INTERFACE too; NULL is the
   product's own interface.  */
struct ct_control *ct_control_open (struct tk_loop *l,
                                    const struct ct_settings *settings,
                                    const struct ct_interface *interface,
                                    struct zp_err *err);
struct tk_task *ct_control_task (struct ct_control *c);

/* Called after the loop has stopped.  */
void ct_control_close (struct ct_control *c);

#endif
