/* NAME
     replica - one member of the replicated log, as part of the control task

   DESCRIPTION
     Owns the consensus core, the connections to the other members, the timers
     and the disk task.  It runs on the loop of the control task; all calls and
     all callbacks happen on that loop's thread.  Callbacks run from the loop,
     never from inside a call of this interface, and must not close the
     replica.

     Requests to a member travel on a connection that this side opened, and
     answers on the connection that brought the request.  A connection on
     which requests stay unanswered is replaced by a fresh one.

   ERRORS
     ct_replica_open fails when the data folder is in use, cannot be read or is
     damaged (the text names file and offset), or when the address cannot be
     bound.  */

#ifndef ZP_CONTROL_REPLICA_H
#define ZP_CONTROL_REPLICA_H

#include "base/err.h"
#include "ledger/core.h"
#include "task/task.h"

struct ct_replica;

struct ct_replica_callbacks
{
  /* A committed proposal.  Each is given once, in the order of INDEX.  */
  void (*apply) (void *self, uint64_t index, uint64_t term,
                 struct zp_str bytes);

  /* Appends the state after all calls of apply so far to OUT.  */
  void (*take_snapshot) (void *self, struct zp_buf *out);

  /* Replaces the whole state; entries up to INDEX are part of it.  Returns
     false when STATE cannot be read; the replica then stops.  */
  bool (*restore) (void *self, uint64_t index, uint64_t term,
                   struct zp_str state, struct zp_err *err);

  void (*role) (void *self, const struct lg_role_change *change);

  /* LG_REPLY_COMMITTED comes after the apply of the same entry.  */
  void (*answered) (void *self, const struct lg_reply *reply);

  void (*members) (void *self, const struct lg_members *members);

  /* A report of another member, by ct_replica_send_report; NULL: not taken.  */
  void (*report) (void *self, struct zp_str payload);
};

struct ct_replica_options
{
  struct tk_loop *loop;
  uint64_t id;
  struct zp_str folder;  /* below the data folder; created when missing */
  struct zp_str address; /* to listen on, "IP:port" */

  /* Used only when the folder is empty: the voters of a new group, or an
     empty set for a member that joins an existing group.  */
  struct lg_members members;

  struct ct_replica_callbacks callbacks;
  void *self;

  /* 0: the defaults of ledger/core.h.  */
  uint64_t snapshot_entries;
  uint64_t keep_entries;
};

struct ct_replica *ct_replica_open (const struct ct_replica_options *o,
                                    struct zp_err *err);

/* Stops the disk thread and releases everything.  Writes that are not synced
   yet may be lost; nothing that was acknowledged is.  */
void ct_replica_close (struct ct_replica *r);

/* PROPOSAL is the caller's number of the proposal; see LG_OUT_REPLY.  */
void ct_replica_propose (struct ct_replica *r, uint64_t proposal,
                         struct zp_str bytes);
void ct_replica_change_members (struct ct_replica *r, uint64_t proposal,
                                const struct lg_change *change);

/* Sends a WI_FOLLOW_REPORT to member TO, outside the log.  It may be lost.
   Returns false when there is no connection now.  */
bool ct_replica_send_report (struct ct_replica *r, uint64_t to,
                             struct zp_str payload);

struct lg_status ct_replica_status (const struct ct_replica *r);
const struct lg_members *ct_replica_members (const struct ct_replica *r);

/* Whether this member leads and holds its lease now.  */
bool ct_replica_has_lease (const struct ct_replica *r);

#endif
