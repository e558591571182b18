/* NAME
     poison - quarantine of requests that crash the servers that run them

   SYNOPSIS
     a = st_poison_admit (p, fp, now);
     run = st_poison_run_begin (p, fp, server, now);
     st_poison_run_end (p, run, ST_RUN_LOST, now);
     while (st_poison_next_report (p, &message))
       ...

   DESCRIPTION
     One struct st_poison belongs to one entry daemon.  It records the
     fingerprints of the requests that the daemon has in flight, each in one of
     these states:

       new      Nothing is known yet.  Copies of the request run on one server
                at a time.
       proven   It was answered within the last ST_POISON_PROVEN_TTL.  It runs
                without restriction.
       suspect  It was in flight on a server whose connection was lost.
       poison   Two losses are recorded.  It is refused for ST_POISON_TTL.

     When a connection is lost without an answer, every fingerprint in flight
     on that server becomes suspect.  A suspect runs again only in a trial,
     that is alone, on a server without other work of this daemon.  A run that
     ends with an answer clears its fingerprint in the whole region, whenever
     it ends.

     A loss is recorded against a fingerprint only if the run was not proven
     when it was sent; a proven run becomes suspect without a recorded loss.
     So a rack failure, which takes several servers at once, does not
     quarantine a request that works.  Losses of the same server count once,
     except that the loss in a trial always counts.

     A run that was cancelled or timed out can still crash its server.  It
     stays on record for ST_POISON_LINGER, and copies go to the same server.

   BOUND
     A request that crashes every server that runs it is never answered, so it
     is never proven.  It costs a region at most 3 servers in ST_POISON_TTL:

     1. A daemon runs a new fingerprint on one server at a time and, after its
        first loss, in trials only.  So each daemon loses at most one server
        outside trials.
     2. A trial needs a vote of every live daemon of the region and of a quorum
        of all its daemons, dead ones included: more than half, or half with
        the daemon that has the lowest id.  A daemon votes for one trial at a
        time, does not vote while it has the fingerprint in flight, and does
        not vote after two losses.  Its vote carries the losses that it knows.
        The vote stays with the holder of the trial until the holder reports
        the end of the trial with the losses of the trial.
     3. Any two quorums have a daemon in common.  After a trial that lost its
        server, that daemon knows of two losses by the time its vote is free
        again, so there is no second trial.
     4. Let there be D daemons and a trial with the quorum Q.  The daemons of Q
        together have lost one server before the trial (with two losses the
        request would be poison and there would be no trial), and they do not
        run it outside the trial.  The trial loses one more server, and each
        daemon outside Q loses at most one.  The sum is 2 + D - |Q|.  Without a
        trial it is at most D.

     For D = 1, 2 or 3 the sum is at most 3, whatever the delay of the reports
     and even when links are cut.

     In a region with more daemons, a caller learns of at most 3 of them
     (ST_LOOKUP_REGION_MAX), so at most 3 daemons lose a server outside trials.
     While all daemons are live, the sum is again at most 3.  It is 4 only when
     one of the three gets a quorum for a trial while the other two are cut off
     from it.

     The bound does not cover a daemon that restarts and so loses its records.
     It learns them again from its peers by st_poison_export.

   REPORTS
     The daemon sends the messages that st_poison_next_report returns, in
     order, before it answers the caller of a lost request.  It passes the
     reports that it receives to st_poison_merge.  A link delivers in order or
     breaks; when it is up again, st_poison_export resends what was lost.  */

#ifndef ZP_STEER_POISON_H
#define ZP_STEER_POISON_H

#include "base/clock.h"
#include "base/str.h"

#define ST_POISON_TTL (600 * ZP_SEC)       /* of a suspect or poison record */
#define ST_POISON_PROVEN_TTL (60 * ZP_SEC) /* after the last answer */
#define ST_POISON_LINGER (3 * ZP_SEC)      /* above ZP_ANNOUNCE_TTL */
#define ST_POISON_LOSSES 2                 /* a request with these is poison */
#define ST_POISON_MEMBERS_MAX 128          /* entry daemons of a region */

/* Fingerprint of a request: a 128-bit hash.  */
struct st_fp
{
  uint64_t hi, lo;
};

struct st_poison;

/* An entry daemon of the region.  */
struct st_poison_member
{
  uint64_t id; /* not 0 */
  bool live;
};

/* A connection that was lost while the request ran on the server.  */
struct st_loss
{
  uint64_t server; /* zp_str_hash of its id; equal on all daemons */
  uint64_t trial;  /* id of the trial; 0: not in a trial */
  zp_time age;     /* time since the loss when the report was made */
};

enum st_poison_kind
{
  ST_POISON_UPDATE,       /* only carries the losses */
  ST_POISON_CLEAR,        /* the fingerprint was answered */
  ST_POISON_VOTE_REQUEST, /* for trial SEQ of the origin */
  ST_POISON_VOTE_GRANT,   /* the origin votes for trial SEQ of the receiver */
  ST_POISON_VOTE_DENY,    /* the origin does not vote for it */
  ST_POISON_TRIAL_END,    /* all trials of the origin up to SEQ have ended */
};

/* A report to other entry daemons.  Each kind carries the losses of FP that
   the origin knows.  */
struct st_poison_report
{
  enum st_poison_kind kind;
  struct st_fp fp;
  uint64_t origin; /* id of the daemon that sent it */
  uint64_t seq;    /* number of a trial */
  uint32_t losses;
  struct st_loss loss[ST_POISON_LOSSES];
};

struct st_poison_message
{
  uint64_t to; /* 0: every other entry daemon of the region */
  struct st_poison_report report;
};

enum st_admit_kind
{
  ST_ADMIT_RUN,         /* on any server */
  ST_ADMIT_SAME_SERVER, /* only on SERVER, where a copy of it runs */
  ST_ADMIT_ALONE,       /* on a server without other work of this daemon */
  ST_ADMIT_WAIT,        /* call again after a change, or in 100 ms */
  ST_ADMIT_REFUSE,      /* it is poison until UNTIL */
};

/* Whether and where a request can run.  */
struct st_admit
{
  enum st_admit_kind kind;
  uint32_t runs; /* copies that are in flight, or lingering after their end */
  zp_time since; /* none was answered since; invalid while RUNS is 0 */
  union
  {
    uint64_t server; /* ST_ADMIT_SAME_SERVER */
    zp_time until;   /* ST_ADMIT_REFUSE */
  } u;
};

enum st_run_end
{
  ST_RUN_ANSWERED, /* whole answer, of any status */
  ST_RUN_NOT_RUN,  /* no connection; changes no record */
  ST_RUN_LOST,     /* connection lost without an answer */
  ST_RUN_UNKNOWN,  /* cancelled or timed out; possibly still running */
};

/* Refers to a run.  */
struct st_run_ref
{
  uint32_t slot;
  uint32_t generation; /* of the slot; detects a stale reference */
};

/* The fingerprint of a request.  PATH includes the query.  */
struct st_fp st_fingerprint (struct zp_str service, struct zp_str method,
                             struct zp_str path, struct zp_str body);

/* SELF is the id of this daemon.  RUNS is the largest number of requests in
   flight; the table holds four times as many fingerprints, plus one for each
   trial.  */
struct st_poison *st_poison_new (uint64_t self, uint32_t runs);
void st_poison_free (struct st_poison *p);

/* Sets the entry daemons of the region: all that can run requests according to
   the configuration, SELF included, and whether each is live.  */
void st_poison_set_members (struct st_poison *p,
                            const struct st_poison_member *m, size_t n);

/* Decides whether a request can be sent now.  Queues requests for votes if it
   needs a trial.  */
struct st_admit st_poison_admit (struct st_poison *p, struct st_fp fp,
                                 zp_time now);

/* Records that the request is sent to SERVER now, which the last call of
   st_poison_admit for it must have allowed.  */
struct st_run_ref st_poison_run_begin (struct st_poison *p, struct st_fp fp,
                                       uint64_t server, zp_time now);

/* Records the end of a run.  ST_RUN_LOST counts for all runs on its
   server.  */
void st_poison_run_end (struct st_poison *p, struct st_run_ref run,
                        enum st_run_end end, zp_time now);

/* Records that SERVER is lost, for example because it stopped announcing.  All
   its runs count as lost.  */
void st_poison_server_lost (struct st_poison *p, uint64_t server, zp_time now);

/* Ends lingering runs and abandoned trials whose time is over.  To be called
   every 100 ms.  */
void st_poison_tick (struct st_poison *p, zp_time now);

/* Merges a report of another daemon and queues the answer, if any.  */
void st_poison_merge (struct st_poison *p, const struct st_poison_report *r,
                      zp_time now);

/* Queues reports of all recorded losses for member TO, to be called when the
   link to it is up again.  */
void st_poison_export (struct st_poison *p, uint64_t to, zp_time now);

/* Removes the next queued report.  Returns false when there is none.  */
bool st_poison_next_report (struct st_poison *p,
                            struct st_poison_message *out);

/* Number of recorded fingerprints, for the counters.  */
size_t st_poison_len (const struct st_poison *p);

#endif
