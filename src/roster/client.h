/* NAME
     client - the task that connects a daemon to the control daemons

   DESCRIPTION
     Keeps one connection to every known control daemon: the seeds in the
     settings, and those that other control daemons list in their updates.  All
     control daemons use the same port for this protocol, so the address of the
     operators' interface is enough to reach one.  The first message on each
     connection describes this daemon.  An update is acknowledged once its
     messages are in the mailbox of the deciding task.

     Messages received from the deciding task:
       TK_DAEMON   the new description of this daemon
       TK_SEEDS    the new list of seeds
       TK_WORK     the requests of this daemon at each server and the samples
                   of loads from its answers, sent to a control daemon of its
                   failure domain or else its region; on a control daemon the
                   sum and the samples of those that report to it, sent to the
                   other control daemons of the region
       TK_LOSS     a request that was lost with its server; sent to two control
                   daemons
       TK_QUOTA_ASK
                   an ask of an entry daemon for its leases of rate limits;
                   sent to the connected control daemon that says that it
                   leads the log, and dropped when there is none

     Messages sent to the deciding task, the first and the last four to that of
     an entry daemon only:
       TK_SERVER       a report of a backend server
       TK_ENTRY_COUNT  the number of entry daemons, when it changes
       TK_RENEWALS     servers that have reported again without a change
       TK_WORK         the requests of all entry daemons of the region, and
                       samples of loads that others have got
       TK_LOSS         a request that another daemon lost
       TK_QUOTA_GRANT  the answer to an ask

     TK_CONFIG_SOURCES is sent to FOLLOWER whenever the sources of the
     configuration change.  It lists the control daemons of the highest rank
     (rank.h): those in contact with the leader of the log, or else the
     connected ones, or else all known ones.  */

#ifndef ZP_ROSTER_CLIENT_H
#define ZP_ROSTER_CLIENT_H

#include "base/err.h"
#include "base/settings.h"
#include "task/task.h"

/* Time between two pings to a control daemon of the region.  The control daemon answers each; an answer shows
   that the connection works.  */
#define RO_PING_PERIOD (300 * ZP_MS)

struct ro_client;

struct ro_client_options
{
  struct tk_daemon self;       /* describes this daemon */
  const struct zp_strs *seeds; /* "IP:port" of operators' interfaces */
  unsigned roster_port;        /* of every control daemon, for this protocol */
  unsigned follow_port;        /* likewise, for the configuration */
  struct tk_task *decider;
  struct tk_task *follower; /* NULL: none */
};

struct ro_client *ro_client_open (struct tk_loop *l,
                                  const struct ro_client_options *o);
struct tk_task *ro_client_task (struct ro_client *c);
void ro_client_close (struct ro_client *c);

#endif
