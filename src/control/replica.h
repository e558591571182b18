/* NAME
     replica - one member of the replicated log, as part of the control task

   DESCRIPTION
     Owns the consensus core, the connections to the other members, the timers
     and the disk task.  It runs on the loop of the control task; all calls and
     all callbacks happen on that loop's thread.  Callbacks run from the loop,
     never from inside a function of this header, and must not close the
     replica.

     Requests are sent on a connection that this member opened, and answers on
     the connection on which the request arrived.  A connection on which a
     request stays unanswered is replaced by a new one (replica-links.h).

   ERRORS
     ct_replica_open returns NULL and fills ERR when the data folder is in use
     by another process, cannot be read or is damaged (the text names file and
     offset), or when the address cannot be bound.  */

#ifndef ZP_CONTROL_REPLICA_H
#define ZP_CONTROL_REPLICA_H

#include "base/err.h"
#include "ledger/core.h"
#include "task/task.h"

struct ct_replica;

struct ct_replica_callbacks
{
  /* Applies a committed proposal.  Called once for each, in the order of
     INDEX.  */
  void (*apply) (void *self, uint64_t index, uint64_t term,
                 struct zp_str bytes);

  /* Appends to OUT the state that results from all calls of apply so far.  */
  void (*take_snapshot) (void *self, struct zp_buf *out);

  /* Replaces the whole state by STATE, which includes the entries up to
     INDEX.  Returns false with ERR filled when STATE cannot be read; the
     replica then stops.  */
  bool (*restore) (void *self, uint64_t index, uint64_t term,
                   struct zp_str state, struct zp_err *err);

  /* The role, the term or the leader has changed, or the member has stopped.
     Can be NULL.  */
  void (*role) (void *self, const struct lg_role_change *change);

  /* The outcome of a proposal; LG_REPLY_COMMITTED comes after the call of
     apply for the same entry.  Can be NULL.  */
  void (*answered) (void *self, const struct lg_reply *reply);

  /* The set of members in use has changed.  Can be NULL.  */
  void (*members) (void *self, const struct lg_members *members);

  /* A report that another member sent by ct_replica_send_report.  Reports are
     dropped when this is NULL.  */
  void (*report) (void *self, struct zp_str payload);

  /* A command that another member sent by ct_replica_forward.  Commands are
     dropped when this is NULL.  */
  void (*forwarded) (void *self, struct zp_str command);
};

struct ct_replica_options
{
  struct tk_loop *loop;
  uint64_t id;
  struct zp_str folder;  /* of the log; created when missing */
  struct zp_str address; /* to listen on, "IP:port" */

  /* Used only when the folder is empty: the voters of a new group, or an
     empty set for a member that joins an existing group.  */
  struct lg_members members;

  struct ct_replica_callbacks callbacks;
  void *self; /* first argument of the callbacks */

  /* Entries between two snapshots, and entries kept after a snapshot for slow
     members.  0: the defaults of ledger/core.h.  */
  uint64_t snapshot_entries;
  uint64_t keep_entries;
};

struct ct_replica *ct_replica_open (const struct ct_replica_options *o,
                                    struct zp_err *err);

/* Stops the disk thread and frees R.  Writes that are not synced yet can be
   lost, but none that has been acknowledged.  */
void ct_replica_close (struct ct_replica *r);

/* Both propose an entry to the log: BYTES, or a change of the members.  The
   outcome is passed to the callback "answered" (struct lg_reply) with the
   number PROPOSAL, which the caller chooses.  */
void ct_replica_propose (struct ct_replica *r, uint64_t proposal,
                         struct zp_str bytes);
void ct_replica_change_members (struct ct_replica *r, uint64_t proposal,
                                const struct lg_change *change);

/* Sends a command to the leader TO, which may propose it; the sender learns the
   outcome from the log only.  Returns false when it cannot be sent now.  */
bool ct_replica_forward (struct ct_replica *r, uint64_t to,
                         struct zp_str command);

/* Sends a WI_FOLLOW_REPORT to member TO, outside the log and without
   acknowledgement, so it can be lost.  Returns false when it cannot be sent
   now.  */
bool ct_replica_send_report (struct ct_replica *r, uint64_t to,
                             struct zp_str payload);

struct lg_status ct_replica_status (const struct ct_replica *r);
const struct lg_members *ct_replica_members (const struct ct_replica *r);

/* See lg_core_silence.  */
zp_time ct_replica_silence (const struct ct_replica *r, uint64_t id);

/* Whether this member leads and holds its lease now.  */
bool ct_replica_has_lease (const struct ct_replica *r);

#endif
