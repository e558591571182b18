/* NAME
     follower - the task that keeps an entry daemon's configuration current

   DESCRIPTION
     Holds one connection to the nearest source that is current, takes changes
     and whole configurations from it and sends each to the deciding task as
     TK_CONFIG, in order.  A source that is silent, behind or out of contact
     with the leader is left for the next one; the configuration in force
     stays.  With a data folder, the task starts from the configuration kept
     there and writes what it takes through the disk task.

     It takes TK_FOLLOW_REPORT of the deciding task (and, from followers of a relay,
     of other daemons), which goes on to the source; TK_CONFIG with a whole
     configuration, the answer to its TK_CONFIG_REQUEST, by which the file of
     changes is made short again; TK_DISK_DONE; and TK_CONFIG_SOURCES, which replaces
     the sources.  It tells the deciding task by TK_CONFIG_FRESH whether its source is
     current.  */

#ifndef ZP_FOLLOW_FOLLOWER_H
#define ZP_FOLLOW_FOLLOWER_H

#include "base/err.h"
#include "base/settings.h"
#include "task/task.h"

struct fo_follower;

struct fo_follower_options
{
  uint64_t id;
  const struct zp_strs *sources; /* nearest first */
  struct zp_str data;            /* folder; empty: no disk */
  struct tk_task *disk;          /* NULL: no disk */
  struct tk_task *decider;
};

/* Reads the cache, and sends what it has to the deciding task, before it
   returns.  */
struct fo_follower *fo_follower_open (struct tk_loop *l,
                                      const struct fo_follower_options *o);
struct tk_task *fo_follower_task (struct fo_follower *f);
void fo_follower_close (struct fo_follower *f);

#endif
