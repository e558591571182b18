/* NAME
     poison - finds requests that crash every backend server that runs them

   SYNOPSIS
     a = st_poison_admit (p, fp, now);
     run = st_poison_run (p, fp, server, now);
     st_poison_done (p, run, ST_RUN_LOST, now);
     while (st_poison_next_report (p, &send))
       ...

   DESCRIPTION
     One struct st_poison belongs to one entry daemon.  It tracks the
     fingerprints of the requests that the daemon has in flight:

       new      nothing is known; copies of it run on one server at a time
       proven   it was answered in the last ST_POISON_PROVEN_TTL; it runs freely
       suspect  it was in flight on a server whose connection was lost
       poison   two losses; refused for ST_POISON_TTL

     When a connection is lost without an answer, every fingerprint in flight
     on that server becomes suspect.  A suspect runs again only as a trial:
     alone, on a server without other work of ours.  A run that ends with an
     answer clears its fingerprint in the region, at any time.  A loss counts
     towards blame when the run was not proven, so that a rack failure, which
     takes several servers at once, does not blame a request that works; its
     first loss makes it suspect only.  Losses in the same server count once,
     except for the loss of a trial, which always counts.

     A run that was cancelled or timed out may still crash its server.  It
     stays on record for ST_POISON_LINGER, and copies go to the same server.

   BOUND
     A request that crashes every server that runs it is never answered and so
     never proven.  It costs a region at most 3 servers in ST_POISON_TTL:

     1. A daemon runs a new fingerprint on one server at a time and after its
        first loss only in trials.  So each daemon loses at most one server
        outside trials.
     2. A trial needs a vote of every live daemon of the region, and of a
        quorum of all its daemons, dead ones included: more than half, or
        half with the one that has the lowest id.  A daemon votes for one
        trial at a time, not while it has the fingerprint in flight, and not
        after two losses; with its vote go the losses it knows.  It keeps its
        vote until the holder reports the end of the trial with its losses.
     3. Two quorums share a daemon.  After a lost trial that daemon has learnt
        of two losses when its vote is free again, so there is no second one.
     4. Let there be D daemons and a trial by a quorum Q.  The daemons of Q
        lost one server before (else the losses, being two, are blame and
        there is no trial) and stay without a run outside the trial.  The
        trial loses one more and each daemon outside Q at most one.  The sum
        is 2 + D - |Q|.  Without a trial it is at most D.

     With D of 1, 2 or 3 that gives at most 3, whatever the delay of the
     reports, and with links cut.

     Of more daemons a caller is given at most 3 in a region, which is
     ST_LOOKUP_REGION_MAX, so at most 3 lose a server outside trials.  With
     all daemons live the sum is at most 3 again.  It is 4 only when a trial
     is won by one of the three while the other two are cut off from it.

     The bound does not cover a daemon that restarts and so forgets: it
     learns the marks again from st_poison_export of its peers.

   REPORTS
     The daemon sends what st_poison_next_report returns, in order, before it answers
     the caller of a lost request, and gives what it receives to
     st_poison_merge.  A link delivers in order or breaks; when one is up
     again, st_poison_export repairs what was lost.  */

#ifndef ZP_STEER_POISON_H
#define ZP_STEER_POISON_H

#include "base/clock.h"
#include "base/str.h"

#define ST_POISON_TTL (600 * ZP_SEC)
#define ST_POISON_PROVEN_TTL (60 * ZP_SEC)
#define ST_POISON_LINGER (3 * ZP_SEC) /* above ZP_ANNOUNCE_TTL */
#define ST_POISON_LOSSES 2            /* this many are blame */
#define ST_POISON_MEMBERS_MAX 128     /* entry daemons of a region */

struct st_fp
{
  uint64_t hi, lo;
};

struct st_poison;

struct st_poison_member
{
  uint64_t id; /* not 0 */
  bool live;
};

struct st_loss
{
  uint64_t server; /* zp_str_hash of its id, the same on every daemon */
  uint64_t trial;  /* 0: not in a trial */
  zp_time age;
};

enum st_poison_kind
{
  ST_POISON_UPDATE,       /* the losses, nothing more */
  ST_POISON_CLEAR,        /* the fingerprint was answered */
  ST_POISON_VOTE_REQUEST, /* asks for a vote for trial SEQ of the origin */
  ST_POISON_VOTE_GRANT,   /* gives it */
  ST_POISON_VOTE_DENY,
  ST_POISON_TRIAL_END, /* trials of the origin up to SEQ have ended */
};

/* Every kind carries the losses that the origin knows.  */
struct st_poison_report
{
  enum st_poison_kind kind;
  struct st_fp fp;
  uint64_t origin;
  uint64_t seq;
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
  ST_ADMIT_SAME_SERVER, /* on SERVER only, where a copy of it runs */
  ST_ADMIT_ALONE,       /* on a server without other work of ours */
  ST_ADMIT_WAIT,        /* ask again when something changes, or in 100 ms */
  ST_ADMIT_REFUSE,      /* poison until UNTIL */
};

/* RUNS copies are in flight or open, and none was answered since SINCE.  */
struct st_admit
{
  enum st_admit_kind kind;
  uint32_t runs;
  zp_time since; /* not read while RUNS is 0 */
  union
  {
    uint64_t server;
    zp_time until;
  } u;
};

enum st_run_end
{
  ST_RUN_ANSWERED, /* whole answer, of any status */
  ST_RUN_NOT_RUN,  /* no connection; nothing is learnt */
  ST_RUN_LOST,     /* connection lost without an answer */
  ST_RUN_UNKNOWN,  /* cancelled or timed out; it may still run */
};

struct st_run_ref
{
  uint32_t slot;
  uint32_t generation;
};

/* PATH includes the query.  */
struct st_fp st_fingerprint (struct zp_str service, struct zp_str method,
                             struct zp_str path, struct zp_str body);

/* RUNS is the largest number of requests in flight; the table holds four
   times as many fingerprints.  SELF is this daemon's id.  */
struct st_poison *st_poison_new (uint64_t self, uint32_t runs);
void st_poison_free (struct st_poison *p);

/* The entry daemons of the region: all that may run requests, from the
   configuration, SELF included, and whether each is live.  */
void st_poison_members (struct st_poison *p, const struct st_poison_member *m,
                        size_t n);

struct st_admit st_poison_admit (struct st_poison *p, struct st_fp fp,
                                 zp_time now);

/* The request is sent to SERVER now, as the last st_poison_admit allowed.  */
struct st_run_ref st_poison_run (struct st_poison *p, struct st_fp fp,
                                 uint64_t server, zp_time now);
void st_poison_done (struct st_poison *p, struct st_run_ref run,
                     enum st_run_end end, zp_time now);

/* SERVER was lost as a whole, for instance by missing announcements.  */
void st_poison_server_lost (struct st_poison *p, uint64_t server, zp_time now);

/* Ends runs and trials that were given up.  To be called every 100 ms.  */
void st_poison_tick (struct st_poison *p, zp_time now);

void st_poison_merge (struct st_poison *p, const struct st_poison_report *r,
                      zp_time now);

/* Queues all marks for member TO.  */
void st_poison_export (struct st_poison *p, uint64_t to, zp_time now);

/* Takes the next report to send.  Returns false when there is none.  */
bool st_poison_next_report (struct st_poison *p,
                            struct st_poison_message *out);

/* Fingerprints on record, for the counters.  */
size_t st_poison_len (const struct st_poison *p);

#endif
