/* NAME
     core-state - inner state of the consensus core, for core*.c only

   DESCRIPTION
     core.c has the inputs; the other files have one concern each.  */

#ifndef ZP_LEDGER_CORE_STATE_H
#define ZP_LEDGER_CORE_STATE_H

#include "ledger/core.h"

/* Earlier than every time; half of the range, so that sums do not wrap.  */
#define LG_TIME_MIN (INT64_MIN / 2)

/* Log (core-log.c).  */

struct lg_log_item
{
  struct lg_entry entry;
  uint64_t total_bytes; /* bytes of the log up to this entry */
};

/* Entries BASE_INDEX + 1 to BASE_INDEX + LEN.  */
struct lg_log
{
  struct lg_log_item *item;
  size_t len, cap;
  uint64_t base_index;
  uint64_t base_term;
  uint64_t base_total_bytes;
  struct lg_members base_members;
};

uint64_t lg_log_last (const struct lg_log *l);
uint64_t lg_log_last_term (const struct lg_log *l);

/* Whether the term of INDEX is known.  */
bool lg_log_has_term (const struct lg_log *l, uint64_t index);
uint64_t lg_log_term (const struct lg_log *l, uint64_t index);
const struct lg_entry *lg_log_at (const struct lg_log *l, uint64_t index);

/* Bytes of the entries FROM to TO, both included, with a charge for each.  */
uint64_t lg_log_bytes (const struct lg_log *l, uint64_t from, uint64_t to);

void lg_log_append (struct lg_log *l, uint64_t term, enum lg_entry_kind kind,
                    struct zp_str bytes);
void lg_log_truncate (struct lg_log *l, uint64_t from);
void lg_log_compact (struct lg_log *l, uint64_t base);
void lg_log_reset (struct lg_log *l, const struct lg_snapshot *s);
void lg_log_free (struct lg_log *l);

/* The member set in force after the entry UPTO, and the index of its entry
   (the base when it is older).  */
uint64_t lg_log_members (const struct lg_log *l, uint64_t upto,
                         struct lg_members *out);

/* Copies up to MAX bytes or LIMIT entries, at least one, from index FROM.  */
void lg_log_copy (const struct lg_log *l, uint64_t from, uint64_t max,
                  size_t limit, struct lg_entries *out);

/* Core.  */

/* What the core knows of another member.  */
struct lg_peer
{
  uint64_t id;
  bool voter;
  bool granted; /* its vote, in the election that runs */

  /* While this member leads.  */
  bool probing;       /* the match is not known: one append at a time */
  uint64_t match;     /* acknowledged */
  uint64_t next;      /* next entry to send */
  zp_time acked_sent; /* when the newest answered request was sent */
  zp_time progress;   /* last answer, or first append without one */
  struct lg_snapshot *transfer;
  uint64_t offset; /* of the chunk without answer */
  zp_time chunk_sent;
};

struct lg_pending_write
{
  uint64_t number;
  uint64_t last_index; /* entry that is durable with this write */
};

struct lg_proposal
{
  uint64_t id;
  uint64_t index;
};

struct lg_queue
{
  struct lg_out *head, *tail;
};

/* A snapshot that arrives in chunks.  */
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
  struct lg_role_change reported_role;

  /* Durable, written when DIRTY.  */
  bool dirty;
  bool rewrite;
  uint64_t
      first_vote_term; /* term of the first vote for a new group; 0: none */
  uint64_t term;
  uint64_t vote;
  struct lg_log log;
  struct lg_snapshot *snapshot;

  uint64_t leader;
  zp_time last_contact; /* from a leader, or the start */
  zp_time deadline;     /* of the election timeout */
  uint64_t vote_write;  /* own vote counts once this write is synced */

  uint64_t commit;
  uint64_t applied;
  uint64_t durable; /* last entry that is synced */

  struct lg_members members;
  uint64_t members_index;
  struct lg_peer peer[LG_MEMBERS_MAX];
  size_t peers;

  /* Leader.  */
  zp_time leader_since;
  zp_time next_heartbeat;
  bool send_entries;
  bool send_heartbeat;
  struct lg_proposal *proposal;
  size_t proposals, proposals_cap;

  /* Snapshots.  */
  bool snapshot_due;
  struct lg_snapshot *new_snapshot; /* being written */
  uint64_t new_snapshot_write;
  uint64_t restore_write; /* a restore waits for this write */
  struct lg_incoming_snapshot incoming;
  uint64_t snapshot_entries, keep_entries;

  /* Writes and outputs.  */
  uint64_t issued, synced;  /* write numbers */
  uint64_t first_unwritten; /* first entry without a write */
  struct lg_pending_write *pending;
  size_t pendings, pendings_cap;
  struct lg_queue out, held;
};

/* core-write.c  */

struct lg_out *lg_queue_take (struct lg_queue *q);
void lg_queue_free (struct lg_queue *q);
struct lg_out *lg_emit (struct lg_core *c, enum lg_out_kind kind);

/* The write that holds everything changed so far.  */
uint64_t lg_covering_write (const struct lg_core *c);

/* Emits an output that waits for all changes so far to be synced.  */
struct lg_out *lg_emit_held (struct lg_core *c, enum lg_out_kind kind);

/* A message of the current term.  HELD: wait for the disk.  */
struct lg_msg *lg_send (struct lg_core *c, enum lg_msg_kind kind, uint64_t to,
                        bool held);
void lg_mark_dirty (struct lg_core *c);
void lg_issue_changes (struct lg_core *c);
void lg_issue_rewrite (struct lg_core *c);
uint64_t lg_issue_snapshot (struct lg_core *c, struct lg_snapshot *s);

/* Removes entries from FROM on.  */
void lg_truncate (struct lg_core *c, uint64_t from);
void lg_stop (struct lg_core *c, enum lg_stop stop, int error);

/* core.c  */

/* Emits the entries that are committed and synced here.  */
void lg_apply (struct lg_core *c);
void lg_reply (struct lg_core *c, uint64_t proposal, enum lg_reply_kind kind,
               uint64_t index, const char *reason);

/* The last entry of the log is the proposal with this number.  */
void lg_add_proposal (struct lg_core *c, uint64_t proposal);

/* core-election.c  */

void lg_reset_deadline (struct lg_core *c);
void lg_become_follower (struct lg_core *c, uint64_t term, uint64_t leader);
bool lg_may_campaign (const struct lg_core *c);
void lg_campaign (struct lg_core *c, bool pre);
void lg_count_votes (struct lg_core *c);
void lg_on_vote_request (struct lg_core *c, const struct lg_msg *m);
void lg_on_vote_answer (struct lg_core *c, const struct lg_msg *m);

/* Whether a request of a leader with these fields shows that this member has
   lost its storage.  Stops the core then.  */
bool lg_stop_if_wiped (struct lg_core *c, bool voter, uint64_t formed_term);

/* core-replication.c  */

void lg_leader_append (struct lg_core *c, enum lg_entry_kind kind,
                       struct zp_str bytes);
void lg_broadcast (struct lg_core *c);
void lg_replicate (struct lg_core *c, struct lg_peer *p, bool heartbeat);
void lg_advance_commit (struct lg_core *c);
void lg_on_append (struct lg_core *c, const struct lg_msg *m);
void lg_on_append_answer (struct lg_core *c, const struct lg_msg *m);
zp_time lg_lease_until (const struct lg_core *c);

/* core-snapshot.c  */

void lg_send_chunk (struct lg_core *c, struct lg_peer *p);
void lg_end_transfer (struct lg_peer *p);
void lg_on_snapshot (struct lg_core *c, const struct lg_msg *m);
void lg_on_snapshot_answer (struct lg_core *c, const struct lg_msg *m);
void lg_on_snapshot_written (struct lg_core *c, uint64_t number);
void lg_trigger_snapshot (struct lg_core *c);

/* core-membership.c  */

struct lg_peer *lg_peer_find (struct lg_core *c, uint64_t id);

/* Takes the newest member set of the log into use.  */
void lg_refresh_members (struct lg_core *c);

#endif
