/* NAME
     core-state - internal state of the consensus core, for core*.c only

   DESCRIPTION
     core.c has the inputs and the output queue; each other core-*.c file
     handles the concern that it is named after.  */

#ifndef ZP_LEDGER_CORE_STATE_H
#define ZP_LEDGER_CORE_STATE_H

#include "ledger/core.h"

/* Earlier than every real time.  Half of the range, so that adding or
   subtracting a duration does not overflow.  */
#define LG_TIME_MIN (INT64_MIN / 2)

/* Log (core-log.c).  */

struct lg_log_item
{
  struct lg_entry entry;
  uint64_t total_bytes; /* running total; only differences have a meaning */
};

/* Entries BASE_INDEX + 1 to BASE_INDEX + LEN.  The base is the last entry that
   compaction or a snapshot has removed; 0: none.  */
struct lg_log
{
  struct lg_log_item *item;
  size_t len, cap;
  uint64_t base_index;
  uint64_t base_term;
  uint64_t base_total_bytes;
  struct lg_members base_members; /* in force after the base */
};

/* Returns the index of the last entry; the base when the log is empty.  */
uint64_t lg_log_last (const struct lg_log *l);
uint64_t lg_log_last_term (const struct lg_log *l);

/* Whether the log has the term of INDEX: INDEX is an entry or the base.  */
bool lg_log_has_term (const struct lg_log *l, uint64_t index);
uint64_t lg_log_term (const struct lg_log *l, uint64_t index);
const struct lg_entry *lg_log_at (const struct lg_log *l, uint64_t index);

/* Returns the bytes of the entries FROM to TO, both included, with a fixed
   overhead for each.  */
uint64_t lg_log_bytes (const struct lg_log *l, uint64_t from, uint64_t to);

void lg_log_append (struct lg_log *l, uint64_t term, enum lg_entry_kind kind,
                    struct zp_str bytes);

/* Removes the entries from FROM on.  */
void lg_log_truncate (struct lg_log *l, uint64_t from);

/* Removes the entries up to BASE, which becomes the base.  */
void lg_log_compact (struct lg_log *l, uint64_t base);

/* Removes all entries; the last entry of S becomes the base.  */
void lg_log_reset (struct lg_log *l, const struct lg_snapshot *s);
void lg_log_free (struct lg_log *l);

/* Sets OUT to the member set in force after the entry UPTO.  Returns the index
   of the entry with that set, or the base when the set is older.  */
uint64_t lg_log_members (const struct lg_log *l, uint64_t upto,
                         struct lg_members *out);

/* Copies the entries from index FROM on: at most MAX bytes and LIMIT entries,
   but the first one in any case.  */
void lg_log_copy (const struct lg_log *l, uint64_t from, uint64_t max,
                  size_t limit, struct lg_entries *out);

/* Core.  */

/* State of the core for another member.  */
struct lg_peer
{
  uint64_t id;
  bool voter;
  bool granted; /* it has granted its vote in the current election */

  /* Used while this member is the leader.  */
  bool probing;       /* the match is not known: one append at a time */
  uint64_t match;     /* last acknowledged entry */
  uint64_t next;      /* next entry to send */
  zp_time acked_sent; /* when the newest answered request was sent */
  zp_time progress;   /* when MATCH last advanced, or when the oldest
                         unacknowledged entry was sent, if later */
  struct lg_snapshot *transfer; /* being sent; NULL: none */
  uint64_t offset;              /* of the chunk that awaits its answer */
  zp_time chunk_sent;
};

/* A write that is issued and not synced yet.  */
struct lg_pending_write
{
  uint64_t number;
  uint64_t last_index; /* last entry that is durable after this write */
};

/* A proposal in the log of this leader, not committed yet.  */
struct lg_proposal
{
  uint64_t id;
  uint64_t index;
};

struct lg_queue
{
  struct lg_out *head, *tail;
};

/* The chunks received so far of a snapshot.  */
struct lg_incoming_snapshot
{
  uint64_t from;
  uint64_t index;
  uint64_t last_term;
  struct zp_buf bytes;
};

struct lg_core
{
  uint64_t id;
  struct zp_rng *rng;
  zp_time now; /* of the newest input */

  enum lg_role role;
  enum lg_stop stop;
  int error;
  struct lg_role_change reported_role; /* in the last LG_OUT_ROLE */

  /* After a failed write.  */
  zp_time retry_at;     /* next attempt; ZP_NEVER: none is due */
  uint64_t retry_first; /* first and last write of the last attempt */
  uint64_t retry_last;
  bool restore_due; /* the caller lacks the state of SNAPSHOT */

  /* Durable state.  */
  bool dirty;               /* term or vote has changed since the last write */
  bool rewrite;             /* the next write replaces the log file */
  uint64_t first_vote_term; /* as in struct lg_write_log; 0: none */
  uint64_t term;
  uint64_t vote;
  struct lg_log log;
  struct lg_snapshot *snapshot;

  uint64_t leader;
  zp_time last_contact; /* last message from a leader, or the start */
  zp_time deadline;     /* of the election timeout */
  uint64_t vote_write;  /* the own vote counts once this write is synced */

  uint64_t commit;
  uint64_t leader_commit; /* highest one that a leader has told */
  uint64_t applied;
  uint64_t durable; /* last entry that is synced */

  struct lg_members members; /* newest set in the log, committed or not */
  uint64_t members_index;    /* of its entry */
  struct lg_peer peer[LG_MEMBERS_MAX];
  size_t peers;

  /* Leader.  */
  zp_time leader_since;
  zp_time next_heartbeat;
  bool send_entries;   /* new entries have to be sent */
  bool send_heartbeat; /* every member has to be sent an append */
  struct lg_proposal *proposal;
  size_t proposals, proposals_cap;

  /* Snapshots.  */
  bool snapshot_due;                /* LG_OUT_SNAPSHOT_DUE not answered yet */
  struct lg_snapshot *new_snapshot; /* being written */
  uint64_t new_snapshot_write;
  uint64_t restore_write; /* write of an installed snapshot; entries are
                             applied once it is synced */
  struct lg_incoming_snapshot incoming;
  uint64_t snapshot_entries, keep_entries;

  /* Writes and outputs.  */
  uint64_t issued, synced;  /* number of the last issued and synced write */
  uint64_t first_unwritten; /* first entry that no issued write contains */
  struct lg_pending_write *pending;
  size_t pendings, pendings_cap;
  struct lg_queue out;
  struct lg_queue held; /* outputs that wait for writes to be synced */
};

/* core-write.c  */

struct lg_out *lg_queue_take (struct lg_queue *q);
void lg_queue_free (struct lg_queue *q);

/* Adds an empty output of KIND to the queue, for the caller to fill.  */
struct lg_out *lg_emit (struct lg_core *c, enum lg_out_kind kind);

/* Returns the number of the write that makes all changes so far durable; it
   may not be issued yet.  */
uint64_t lg_covering_write (const struct lg_core *c);

/* Emits an output that leaves the core once all changes so far are synced.  */
struct lg_out *lg_emit_held (struct lg_core *c, enum lg_out_kind kind);

/* Emits a message of the current term, for the caller to fill.  HELD: emits it
   as lg_emit_held does.  */
struct lg_msg *lg_send (struct lg_core *c, enum lg_msg_kind kind, uint64_t to,
                        bool held);

/* Notes that the term or the vote has to be written.  */
void lg_mark_dirty (struct lg_core *c);

/* Issues a write of the changes so far, if there are any.  */
void lg_issue_changes (struct lg_core *c);

/* Issues a write that replaces the log file.  */
void lg_issue_rewrite (struct lg_core *c);

/* Issues a write of S, after one of the changes so far.  Returns its number.
 */
uint64_t lg_issue_snapshot (struct lg_core *c, struct lg_snapshot *s);

/* Removes the uncommitted entries from FROM on.  */
void lg_truncate (struct lg_core *c, uint64_t from);

/* Writes the whole state anew after a failed write.  */
void lg_retry_writes (struct lg_core *c);

/* Stops the member: it sends and applies nothing.  With LG_STOP_DISK it goes on
   once its state is written anew; else it stays stopped until a restart.  */
void lg_stop (struct lg_core *c, enum lg_stop stop, int error);

/* core.c  */

/* Emits the entries that are committed and synced on this member.  */
void lg_apply (struct lg_core *c);

/* Emits the reply of KIND to PROPOSAL.  */
void lg_reply (struct lg_core *c, uint64_t proposal, enum lg_reply_kind kind,
               uint64_t index, const char *reason);

/* Records that the last entry of the log belongs to PROPOSAL, and replies
   LG_REPLY_ACCEPTED.  */
void lg_add_proposal (struct lg_core *c, uint64_t proposal);

/* core-election.c  */

/* Restarts the election timeout.  */
void lg_reset_deadline (struct lg_core *c);

/* Makes this member a follower in TERM; LEADER is 0 when it is not known.  */
void lg_become_follower (struct lg_core *c, uint64_t term, uint64_t leader);

/* Whether this member may become a candidate.  */
bool lg_may_campaign (const struct lg_core *c);

/* Requests votes, or pre-votes, from the other voters.  */
void lg_campaign (struct lg_core *c, bool pre_vote);

/* With enough votes, a pre-candidate becomes a candidate and a candidate
   becomes the leader.  */
void lg_count_votes (struct lg_core *c);
void lg_on_vote_request (struct lg_core *c, const struct lg_msg *m);
void lg_on_vote_answer (struct lg_core *c, const struct lg_msg *m);

/* Stops the core when the fields VOTER and FORMED_TERM of a leader's request
   show that this member has lost its storage.  Returns whether it did.  */
bool lg_stop_if_wiped (struct lg_core *c, bool voter, uint64_t formed_term);

/* core-replication.c  */

/* Appends an entry of the current term to the leader's log.  */
void lg_leader_append (struct lg_core *c, enum lg_entry_kind kind,
                       struct zp_str bytes);

/* Sends new entries and due heartbeats to all other members.  */
void lg_broadcast (struct lg_core *c);

/* Sends P what its state allows: entries, a probe or a snapshot chunk.
   HEARTBEAT: at least one append.  */
void lg_replicate (struct lg_core *c, struct lg_peer *p, bool heartbeat);

/* Commits the entries that a majority of the voters has.  */
void lg_advance_commit (struct lg_core *c);
void lg_on_append (struct lg_core *c, const struct lg_msg *m);
void lg_on_append_answer (struct lg_core *c, const struct lg_msg *m);

/* Returns when the leader's lease ends.  */
zp_time lg_lease_until (const struct lg_core *c);

/* core-snapshot.c  */

void lg_send_chunk (struct lg_core *c, struct lg_peer *p);
void lg_end_transfer (struct lg_peer *p);
void lg_on_snapshot (struct lg_core *c, const struct lg_msg *m);
void lg_on_snapshot_answer (struct lg_core *c, const struct lg_msg *m);

/* Compacts the log when the write NUMBER was that of the own new snapshot.  */
void lg_on_snapshot_written (struct lg_core *c, uint64_t number);

/* Emits LG_OUT_SNAPSHOT_DUE when the log has grown enough since the last
   snapshot.  */
void lg_trigger_snapshot (struct lg_core *c);

/* core-membership.c  */

/* Returns NULL when ID is not another member.  */
struct lg_peer *lg_peer_find (struct lg_core *c, uint64_t id);

/* Switches to the newest member set in the log, committed or not.  */
void lg_refresh_members (struct lg_core *c);

#endif
