/* NAME
     mesh - the task that owns the connections between entry daemons

   DESCRIPTION
     Opens a connection to every member for which pe_members_wants_link is
     true, and accepts the connections of others.  The first frame in each
     direction is a hello.  Every heartbeat is acknowledged.  A connection with
     ZP_HEARTBEAT_MISSED unacknowledged heartbeats is replaced by a fresh one,
     because a device between the two ends may have dropped its state.

     Messages sent to the deciding task: TK_PEER_UP (also when the incarnation
     or the leaving flag of a member changes), TK_PEER_DOWN and TK_PEER_FRAME.

     Messages received:
       TK_PEER_SEND   a frame for one member or for all live members.  Without
                      a usable connection the frame is dropped and counted: the
                      senders repeat the messages that must arrive.
       TK_STOP        this daemon is leaving: sets the flag in its heartbeats

   RETURN VALUE
     pe_mesh_open returns NULL and sets ERR when it cannot listen.  */

#ifndef ZP_PEER_MESH_H
#define ZP_PEER_MESH_H

#include "base/err.h"
#include "base/settings.h"
#include "peer/members.h"
#include "task/task.h"

struct pe_mesh;

/* Listens at LISTEN.  Other daemons connect to the wire address of SELF.  */
struct pe_mesh *pe_mesh_open (struct tk_loop *l, const struct pe_hello *self,
                              struct zp_str listen,
                              const struct zp_strs *seeds,
                              struct tk_task *decider, struct zp_err *err);
struct tk_task *pe_mesh_task (struct pe_mesh *m);

/* Returns the number of connections that this daemon has opened.  */
size_t pe_mesh_links (const struct pe_mesh *m);

void pe_mesh_close (struct pe_mesh *m);

#endif
