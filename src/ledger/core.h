/* NAME
     core - consensus core of the replicated log, a pure state machine

   SYNOPSIS
     struct lg_core *c = lg_core_new (&init, now, &rng);
     lg_core_receive (c, now, &msg);
     while ((out = lg_core_next_out (c)))
       ... switch (out->kind) ... lg_out_free (out);

   DESCRIPTION
     The protocol is Raft with a leader lease, pre-votes and staggered election
     timeouts.  The core does no input or output and reads no clock: inputs are
     function calls with the current time as an argument, and outputs wait in a
     queue that the caller drains with lg_core_next_out after one or more
     inputs.  Inputs that arrive between two drains share one disk write and
     one append message per member.

     Disk writes are numbered from 1 and must be done in order.  A vote or an
     acknowledgement leaves the queue only after lg_core_written has reported
     every write that it depends on.  After a failed write the member stops: it
     sends nothing more and reports LG_STOPPED.  Every LG_DISK_RETRY it writes
     its whole state anew; when that is synced, it goes on as a follower.  What
     depended on the failed writes was never sent.

     A leader accepts proposals only while it holds its lease.  The lease is
     counted from the sending of requests, not from their answers: it ends
     LG_LEASE after the newest time such that a majority of the voters has
     answered a request sent then or later.  A voter grants no vote for
     LG_VOTE_HOLDOFF after its last message from a leader, and for the same
     time after a restart.

     The first leader of a new group needs the votes of all voters; later ones
     need a majority.  A voter with an empty log that did not vote in the first
     election has lost its storage: it stops with LG_STOP_WIPED and has to
     join again as a learner with a new id.  */

#ifndef ZP_LEDGER_CORE_H
#define ZP_LEDGER_CORE_H

#include "base/clock.h"
#include "base/rng.h"
#include "ledger/members.h"

/* Minimum election timeout.  A new leader has to be elected within 1.5 s of
   the failure of the old one, with a round-trip time of 110 ms between
   regions.  */
#define LG_ELECTION_MIN (1000 * ZP_MS)

/* Difference between the election timeouts of two voters.  Voters become
   candidates one after the other, in an order that rotates with the term, so
   that split votes are rare.  Longer than a round trip between regions, so
   that the request of one candidate reaches the others before the next one
   times out.  */
#define LG_ELECTION_STAGGER (120 * ZP_MS)

/* The same for the first leader of a group, which needs the votes of all
   founders; these start up to 300 ms apart.  */
#define LG_FOUNDING_STAGGER (600 * ZP_MS)

/* Random part of the election timeout.  */
#define LG_ELECTION_JITTER (40 * ZP_MS)

/* Upper bound of the election timeout.  */
#define LG_ELECTION_MAX                                                       \
  (LG_ELECTION_MIN + LG_MEMBERS_MAX * LG_FOUNDING_STAGGER + LG_ELECTION_JITTER)

/* Duration of the leader lease.  A follower syncs its disk before it
   acknowledges, which takes hundreds of milliseconds on a busy disk: with a
   lease of 650 ms, leaders lost it on a machine with a load of 10.  */
#define LG_LEASE (880 * ZP_MS)

/* Time after a message from a leader in which a voter grants no vote.  Longer
   than the lease by more than the clock-rate error.  Shorter than the minimum
   election timeout by more than half a heartbeat interval, because followers
   receive the last heartbeat at different times: when the first one times out,
   the others are able to vote again.  */
#define LG_VOTE_HOLDOFF (920 * ZP_MS)

/* Interval of the leader's heartbeats.  */
#define LG_HEARTBEAT (150 * ZP_MS)

/* An append or a snapshot chunk without an answer is sent again after this
   time.  */
#define LG_RESEND (500 * ZP_MS)

/* Time after a failed write until the state is written anew.  */
#define LG_DISK_RETRY (500 * ZP_MS)

/* Limits in bytes of one entry, of the entries of one append message and of
   one snapshot chunk; each message has to fit into one frame.
   LG_BATCH_ENTRIES limits the number of entries of an append message.  */
#define LG_ENTRY_MAX (512 * 1024)
#define LG_BATCH_BYTES (512 * 1024)
#define LG_BATCH_ENTRIES 1024
#define LG_CHUNK_BYTES (256 * 1024)

/* Flow-control window: bytes of entries sent to one member and not
   acknowledged yet.  */
#define LG_WINDOW_BYTES (2 * 1024 * 1024)

/* Bytes of uncommitted entries above which a leader refuses proposals.  */
#define LG_UNCOMMITTED_BYTES (16 * 1024 * 1024)

/* A new snapshot is due after this many entries, or bytes of entries, since
   the last one.  */
#define LG_SNAPSHOT_ENTRIES 4096
#define LG_SNAPSHOT_BYTES (8 * 1024 * 1024)

/* Entries before the snapshot index that compaction keeps in the log, so that
   slow members need no snapshot transfer.  */
#define LG_KEEP_ENTRIES 1024

/* Entries.  */

enum lg_entry_kind
{
  LG_ENTRY_EMPTY,   /* first entry of a leader */
  LG_ENTRY_DATA,    /* a proposal */
  LG_ENTRY_MEMBERS, /* an encoded struct lg_members */
};

struct lg_entry
{
  uint64_t index;
  uint64_t term;
  enum lg_entry_kind kind;
  struct zp_buf bytes;
};

struct lg_entries
{
  struct lg_entry *item;
  size_t len;
};

void lg_entries_add (struct lg_entries *to, const struct lg_entry *e);
void lg_entries_free (struct lg_entries *e);

/* State of the caller after all entries up to INDEX.  Reference-counted:
   lg_snapshot_free releases one reference.  */
struct lg_snapshot
{
  unsigned refs;
  uint64_t index;
  uint64_t term;             /* of the entry at INDEX */
  struct lg_members members; /* in force at INDEX */
  struct zp_buf bytes;
};

struct lg_snapshot *lg_snapshot_new (uint64_t index, uint64_t term,
                                     const struct lg_members *members,
                                     struct zp_str bytes);
struct lg_snapshot *lg_snapshot_ref (struct lg_snapshot *s);
void lg_snapshot_free (struct lg_snapshot *s);

/* Messages between members.  */

enum lg_msg_kind
{
  LG_VOTE_REQUEST,
  LG_VOTE_ANSWER,
  LG_APPEND,
  LG_APPEND_ANSWER,
  LG_SNAPSHOT,
  LG_SNAPSHOT_ANSWER,
};

struct lg_vote_request
{
  bool pre_vote; /* the receiver's term and vote stay as they are */
  bool voter;    /* the receiver is a voter in the sender's member set */
  uint64_t last_index;
  uint64_t last_term;
  uint64_t formed_term; /* of the sender's member set */
};

struct lg_vote_answer
{
  bool pre_vote;
  bool granted;
};

struct lg_append
{
  bool voter;           /* as in struct lg_vote_request */
  uint64_t formed_term; /* of the sender's member set */
  uint64_t prev_index;
  uint64_t prev_term;
  uint64_t commit;
  zp_time sent; /* leader's clock; the answer carries it back */
  struct lg_entries entries;
};

struct lg_append_answer
{
  bool ok;
  uint64_t prev_index; /* of the append */
  uint64_t match;      /* ok: last entry that matches the leader's log and is
                          synced; otherwise the last index that can match */
  zp_time sent;        /* of the append */
};

struct lg_snapshot_chunk
{
  bool voter;           /* as in struct lg_vote_request */
  uint64_t formed_term; /* of the sender's member set */
  uint64_t index;       /* of the snapshot */
  uint64_t last_term;   /* of the entry at INDEX */
  struct lg_members members;
  uint64_t total;  /* bytes of the whole state */
  uint64_t hash;   /* zp_str_hash of the whole state */
  uint64_t offset; /* of BYTES in the whole state */
  zp_time sent;    /* leader's clock; the answer carries it back */
  struct zp_buf bytes;
};

struct lg_snapshot_answer
{
  uint64_t index;
  uint64_t offset; /* of the next byte that the receiver needs */
  bool done;       /* the snapshot is synced or not needed */
  zp_time sent;    /* of the chunk */
};

struct lg_msg
{
  enum lg_msg_kind kind;
  uint64_t from;
  uint64_t to;
  uint64_t term;
  union
  {
    struct lg_vote_request vote_request;
    struct lg_vote_answer vote_answer;
    struct lg_append append;
    struct lg_append_answer append_answer;
    struct lg_snapshot_chunk snapshot;
    struct lg_snapshot_answer snapshot_answer;
  } u;
};

/* Frees the buffers of M, not M itself.  */
void lg_msg_clear (struct lg_msg *m);

/* Outputs.  */

enum lg_role
{
  LG_FOLLOWER,
  LG_PRE_CANDIDATE,
  LG_CANDIDATE,
  LG_LEADER,
  LG_STOPPED,
};

enum lg_stop
{
  LG_RUNNING,
  LG_STOP_DISK,  /* a write failed; ends when the disk can be written again */
  LG_STOP_WIPED, /* empty storage under the id of a known voter; final */
  LG_STOP_STATE, /* lg_core_fail was called; final */
};

enum lg_write_kind
{
  LG_WRITE_APPEND,   /* one record at the end of the log file */
  LG_WRITE_REWRITE,  /* atomically replaces the log file */
  LG_WRITE_SNAPSHOT, /* atomically replaces the snapshot file */
};

/* The durable state in the log file.  LG_WRITE_APPEND uses only the term, the
   vote and the entries.  */
struct lg_write_log
{
  uint64_t id; /* of the member */

  /* Term in which the member first voted for the leader of a new group; 0:
     none.  */
  uint64_t first_vote_term;
  uint64_t term;
  uint64_t vote;
  uint64_t base_index;            /* index of the last entry before ENTRIES */
  uint64_t base_term;             /* its term */
  struct lg_members base_members; /* in force after it */
  struct lg_entries entries;
};

struct lg_write
{
  uint64_t number;
  enum lg_write_kind kind;
  bool retry; /* the first write after a failed one */
  union
  {
    struct lg_write_log log;
    struct lg_snapshot *snapshot;
  } u;
};

enum lg_reply_kind
{
  LG_REPLY_ACCEPTED,  /* in the leader's log at INDEX, not committed yet */
  LG_REPLY_COMMITTED, /* comes after the LG_OUT_COMMITTED of the entry */
  LG_REPLY_REFUSED,   /* not logged; LEADER is 0 or a hint */
  LG_REPLY_UNKNOWN,   /* accepted earlier; whether it commits is not known */
};

struct lg_reply
{
  uint64_t proposal;
  enum lg_reply_kind kind;
  uint64_t index;
  uint64_t leader;
  const char *reason; /* static text; NULL unless refused or unknown */
};

struct lg_role_change
{
  enum lg_role role;
  enum lg_stop stop;
  int error; /* errno value that caused LG_STOP_DISK or LG_STOP_STATE */
  uint64_t term;
  uint64_t leader; /* 0: not known */
};

enum lg_out_kind
{
  LG_OUT_MSG,
  LG_OUT_WRITE,
  LG_OUT_COMMITTED,    /* every entry once, in the order of the index */
  LG_OUT_RESTORE,      /* a snapshot that replaces the caller's state */
  LG_OUT_SNAPSHOT_DUE, /* call lg_core_snapshot with the current state */
  LG_OUT_ROLE,         /* role, term or known leader has changed */
  LG_OUT_MEMBERS,      /* the member set in use has changed */
  LG_OUT_REPLY,
};

struct lg_out
{
  /* Used by the core only.  */
  struct lg_out *next;
  uint64_t after; /* number of the write that has to be synced first */

  enum lg_out_kind kind;
  union
  {
    struct lg_msg msg;
    struct lg_write write;
    struct lg_entry committed;
    struct lg_snapshot *restore;
    uint64_t snapshot_index; /* of LG_OUT_SNAPSHOT_DUE */
    struct lg_role_change role;
    struct lg_members members;
    struct lg_reply reply;
  } u;
};

void lg_out_free (struct lg_out *out);

/* Initial state of the core, as recovery reads it from disk.  */
struct lg_init_state
{
  uint64_t id;
  bool fresh;   /* the storage is empty */
  bool rewrite; /* the log file has to be replaced before the first append */
  uint64_t first_vote_term; /* as in struct lg_write_log; 0: none */
  uint64_t term;
  uint64_t vote;
  uint64_t base_index;
  uint64_t base_term;
  struct lg_members base_members; /* fresh: the voters of a new group, or
                                     empty for a member that joins one */
  struct lg_entries entries;
  struct lg_snapshot *snapshot; /* NULL: none */

  /* 0 selects the default, LG_SNAPSHOT_ENTRIES or LG_KEEP_ENTRIES.  */
  uint64_t snapshot_entries;
  uint64_t keep_entries;
};

void lg_init_state_free (struct lg_init_state *s);

/* Inputs.  */

struct lg_core;

/* Copies INIT.  The caller keeps RNG until it has freed the core.  */
struct lg_core *lg_core_new (const struct lg_init_state *init, zp_time now,
                             struct zp_rng *rng);
void lg_core_free (struct lg_core *c);

void lg_core_receive (struct lg_core *c, zp_time now, const struct lg_msg *m);

/* Sends due heartbeats or starts an election.  Call it at the time that
   lg_core_next_tick returns.  */
void lg_core_tick (struct lg_core *c, zp_time now);

/* Reports that the write NUMBER is synced (ERROR 0) or has failed (ERROR is an
   errno value).  */
void lg_core_written (struct lg_core *c, zp_time now, uint64_t number,
                      int error);

/* Reports an error of the caller, for example a snapshot that it cannot read.
   The member stops for good.  */
void lg_core_fail (struct lg_core *c, zp_time now, int error);

/* Proposes BYTES as an entry.  The result follows as one or two LG_OUT_REPLY
   with PROPOSAL, a number that the caller chooses.  */
void lg_core_propose (struct lg_core *c, zp_time now, uint64_t proposal,
                      struct zp_str bytes);

enum lg_change_kind
{
  LG_ADD_LEARNER,
  LG_PROMOTE, /* a learner that has all committed entries becomes a voter */
  LG_REMOVE,
};

struct lg_change
{
  enum lg_change_kind kind;
  uint64_t id;
  struct zp_str address; /* LG_ADD_LEARNER only */
};

/* Proposes a change of the member set; replies as for lg_core_propose.  */
void lg_core_change (struct lg_core *c, zp_time now, uint64_t proposal,
                     const struct lg_change *change);

/* Answers LG_OUT_SNAPSHOT_DUE: STATE is the caller's state after the committed
   entries up to INDEX.  */
void lg_core_snapshot (struct lg_core *c, uint64_t index, struct zp_str state);

/* Returns the next output, which the caller frees with lg_out_free, or NULL
   when the queue is empty.  */
struct lg_out *lg_core_next_out (struct lg_core *c);

/* Status.  */

struct lg_status
{
  enum lg_role role;
  enum lg_stop stop;
  bool voter;
  bool lease;   /* leader with a valid lease */
  bool current; /* see lg_core_is_current */

  /* Last known contact with a majority.  Leader: when the requests were sent
     that a majority has answered.  Follower: the last message from its
     leader; without a leader, a time in the distant past.  */
  zp_time contact;
  uint64_t term;
  uint64_t leader;
  uint64_t commit;
  uint64_t applied;
  uint64_t last_index;
  uint64_t snapshot_index;
};

struct lg_status lg_core_status (const struct lg_core *c, zp_time now);
const struct lg_members *lg_core_members (const struct lg_core *c);

/* How long member ID has answered none of this leader's requests.  0: for ID
   itself, for an id that is no member, and on a member that does not lead.  */
zp_time lg_core_silence (const struct lg_core *c, uint64_t id, zp_time now);

/* Whether C is the leader and its lease is valid at NOW.  */
bool lg_core_has_lease (const struct lg_core *c, zp_time now);

/* Whether the committed entries that this member has emitted hold everything
   that was committed before its newest contact with a majority: for a leader,
   before NOW; for a follower, before its leader's last message.  A lease alone
   does not show this.  After an election or a restart the commit index can be
   that of an old snapshot, until an entry of the present term is committed.  */
bool lg_core_is_current (const struct lg_core *c, zp_time now);

/* Returns when the next lg_core_tick is due; ZP_NEVER when none is.  */
zp_time lg_core_next_tick (const struct lg_core *c);

#endif
