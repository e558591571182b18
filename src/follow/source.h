/* NAME
     source - the task that sends the configuration to followers

   DESCRIPTION
     Runs in control daemons and, as a relay, in entry daemons.  PROVIDER is
     the task that has the configuration.  The source receives every TK_CONFIG
     of the provider in order and sends each change to all followers.  For a
     follower that is too far behind, it requests a whole configuration from
     the provider by TK_CONFIG_REQUEST.  TK_CONFIG_FRESH says whether the provider is in
     contact with the leader, which every ping repeats to the followers.
     Reports of followers are forwarded to the provider as TK_FOLLOW_REPORT.

   RETURN VALUE
     fo_source_open returns NULL and sets ERR when it cannot listen at ADDRESS,
     "IP:port".  */

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
