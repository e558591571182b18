/* NAME
     source - the task that sends the configuration to followers

   DESCRIPTION
     Runs in control daemons and, as a relay, in entry daemons.  PROVIDER is
     the task that has the configuration.

     Messages received from the provider:
       TK_CONFIG        every change, in order; it is sent to all followers.  A
                        whole configuration is sent to the followers that need
                        one.
       TK_CONFIG_FRESH  whether the provider is in contact with the leader;
                        every ping repeats it to the followers

     Messages sent to the provider:
       TK_CONFIG_REQUEST  when the history has no change that starts at the
                          version of a follower
       TK_FOLLOW_REPORT   the report of a follower

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
