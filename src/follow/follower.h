/* NAME
     follower - the task that keeps an entry daemon's configuration current

   DESCRIPTION
     Keeps one connection to a source of the configuration, receives changes
     and whole configurations and sends each of them to the deciding task as
     TK_CONFIG, in order.  It starts with the first source of the list.  When
     the source is silent, has an older configuration or is out of contact with
     the leader, the task switches to the next source; the configuration in
     force stays.  With a data folder, the task starts from the configuration
     cached there and caches through the disk task what it receives.

     Messages received:
       TK_FOLLOW_REPORT   the report of the deciding task, or of another daemon
                          that follows this one as a relay; it is forwarded to
                          the source
       TK_CONFIG          a whole configuration, the answer to the
                          TK_CONFIG_REQUEST of this task; it replaces the
                          cached one, and the file of changes is emptied
       TK_DISK_DONE       a write to the cache has ended
       TK_CONFIG_SOURCES  the new list of sources

     Messages sent to the deciding task:
       TK_CONFIG          a change or a whole configuration
       TK_CONFIG_REQUEST  when the file of changes reaches
                          ZP_FOLLOW_COMPACT_AFTER records
       TK_CONFIG_FRESH    when the source becomes current, that is, it is in
                          contact with the leader and not older than this
                          follower; and when no source has been current for
                          ZP_FOLLOW_TIMEOUT  */

#ifndef ZP_FOLLOW_FOLLOWER_H
#define ZP_FOLLOW_FOLLOWER_H

#include "base/err.h"
#include "base/settings.h"
#include "task/task.h"

struct fo_follower;

struct fo_follower_options
{
  uint64_t id;                   /* of this daemon */
  const struct zp_strs *sources; /* nearest first */
  struct zp_str data;            /* folder of the cache; empty: no cache */
  struct tk_task *disk;          /* NULL: the cache is not written */
  struct tk_task *decider;
};

/* Reads the cache and sends its configuration to the deciding task before it
   returns.  */
struct fo_follower *fo_follower_open (struct tk_loop *l,
                                      const struct fo_follower_options *o);
struct tk_task *fo_follower_task (struct fo_follower *f);
void fo_follower_close (struct fo_follower *f);

#endif
