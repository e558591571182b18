/* NAME
     source - the task that sends the configuration to followers

   DESCRIPTION
     Runs in control daemons and, as a relay, in entry daemons.  It takes every
     TK_CONFIG of its provider in order and sends each change to all
     followers; a follower that is too far behind gets a whole configuration,
     which the source asks of the provider by TK_CONFIG_REQUEST.  TK_CONFIG_FRESH says
     whether the provider is in contact with the leader; pings pass it on.
     Reports of followers reach the provider as TK_FOLLOW_REPORT.  */

#ifndef ZP_FOLLOW_SOURCE_H
#define ZP_FOLLOW_SOURCE_H

#include "base/err.h"
#include "task/task.h"

struct fo_source;

struct fo_source *fo_source_open (struct tk_loop *l, struct zp_str address,
                                  struct tk_task *provider,
                                  struct zp_err *err);
struct tk_task *fo_source_task (struct fo_source *s);
void fo_source_close (struct fo_source *s);

#endif
