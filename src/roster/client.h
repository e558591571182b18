/* NAME
     client - the task that connects a daemon to the control daemons

   DESCRIPTION
     Keeps one connection to every control daemon that is known: the seeds of
     the settings, and those that the control daemons themselves name.  It says
     on each what this daemon is, and hands every TK_SERVER that arrives to the
     deciding task, with TK_ENTRY_COUNT when the number of entry daemons changes.
     An update is acknowledged once its messages are in the mailbox of the
     deciding task.

     It takes TK_DAEMON of the deciding task, which is what this daemon says of
     itself, and TK_SEEDS.  Ports of control daemons for this protocol are the
     same on all of them, so an address of their operators' interface is enough
     to find one.  TK_CONFIG_SOURCES with the addresses of the configuration is sent
     to FOLLOWER whenever they change: it names the control daemons that are in
     contact with the leader of the log, or else those that are connected, or
     all that are known.  */

#ifndef ZP_ROSTER_CLIENT_H
#define ZP_ROSTER_CLIENT_H

#include "base/err.h"
#include "base/settings.h"
#include "task/task.h"

/* A ping is sent this often and sent back; it shows that the connection
   stands.  */
#define RO_PING_PERIOD (300 * ZP_MS)

struct ro_client;

struct ro_client_options
{
  struct tk_daemon self;
  const struct zp_strs *seeds; /* "IP:port" of operators' interfaces */
  unsigned roster_port;
  unsigned follow_port;
  struct tk_task *decider;
  struct tk_task *follower; /* NULL: none */
};

struct ro_client *ro_client_open (struct tk_loop *l,
                                  const struct ro_client_options *o);
struct tk_task *ro_client_task (struct ro_client *c);
void ro_client_close (struct ro_client *c);

#endif
