/* NAME
     shift - moving blocks of clients from one site to another under a cap

   DESCRIPTION
     The share of a shift changes by steps that the leader writes to the log.
     A block is moved if and only if its hash is below the share.

     st_shift_decide is the leader's decision, a pure function of the committed
     steps, the time and the state of the receiving site.  The sum of changes
     in any ST_SHIFT_WINDOW is at most the cap, in both directions together,
     and every step of an earlier term counts as made when the leader began.  A
     step counts from its commit; while one is not committed, none is added.

     st_shift_follow is the part of each entry daemon.  A daemon that is behind
     would otherwise make several steps at once, so it limits its own changes
     by the same rule.  A new process begins with the logged share, because its
     callers were served by other daemons meanwhile.  */

#ifndef ZP_STEER_SHIFT_H
#define ZP_STEER_SHIFT_H

#include "base/limits.h"
#include "base/str.h"

/* 60 s and the time for which callers keep an answer, by a clock that may be
   fast by the clock-rate error.  */
#define ST_SHIFT_WINDOW                                                       \
  ((60 * ZP_SEC + ZP_LOOKUP_TTL) * (100 + ZP_CLOCK_RATE_ERROR_PERCENT) / 100)

/* Parts that the cap is divided into, so that caches of the receiving site
   fill between steps and a fault shows before the whole cap has moved.  */
#define ST_SHIFT_STEPS_PER_CAP 8

/* A cold site gets at least this part of a usual step, so that it warms up. */
#define ST_SHIFT_COLD_MIN 0.125

/* Free slots that a step may use, of those reported; the rest is for demand
   that grows while measurements are on their way.  */
#define ST_SHIFT_HEADROOM 0.5

/* A site that has not reported for this long is silent.  */
#define ST_SHIFT_REPORT_TTL (3 * ZP_SEC)

/* Least share that is worth a log entry; below the smallest of 880,000 blocks
   nothing would move.  */
#define ST_SHIFT_CHANGE_MIN 1e-6

struct st_shift_step
{
  uint64_t term;
  double share; /* after this step; 0 before the first one */
  zp_time at;   /* commit, by the clock of the leader of TERM */
};

/* The site that gets traffic by the next step: the destination, or the source
   when the shift goes back.  */
struct st_site_state
{
  zp_time reported_at;
  bool failing;
  double free_slots;   /* when the report was made */
  double slots_needed; /* slots that the whole traffic of the shift needs */
  double warmth;       /* 0 cold to 1 warm */
};

struct st_shift
{
  double target; /* final share, 0 after it was taken back */
  double cap;    /* largest change in any window */
  const struct st_shift_step *step;
  size_t steps;
  bool pending; /* a proposed step is not committed yet */
};

struct st_shift_leader
{
  uint64_t term;
  zp_time since; /* when its lease held and an entry of its term was committed,
                    so that no step of an earlier term can come later */
  bool lease;    /* held now */
};

enum st_shift_action
{
  ST_SHIFT_DONE,
  ST_SHIFT_WAIT, /* until AT, or until an input changes */
  ST_SHIFT_STOP, /* the receiving site cannot take more */
  ST_SHIFT_STEP, /* write a step to SHARE */
};

enum st_shift_reason
{
  ST_SHIFT_NO_REASON,
  ST_SHIFT_NO_LEASE,
  ST_SHIFT_PENDING,
  ST_SHIFT_CAP,
  ST_SHIFT_NO_REPORT,
  ST_SHIFT_FAILING,
  ST_SHIFT_NO_HEADROOM,
};

struct st_shift_decision
{
  enum st_shift_action action;
  enum st_shift_reason reason;
  double share;
  zp_time at;
};

struct st_shift_decision st_shift_decide (const struct st_shift *s,
                                          const struct st_shift_leader *l,
                                          const struct st_site_state *to,
                                          zp_time now);
const char *st_shift_reason_text (enum st_shift_reason r);

/* Whether a block with hash H is moved; H is zp_str_hash of its prefix with
   the hash of the shift's name as the seed.  */
bool st_shift_moved (uint64_t h, double share);

/* The changes of one shift at one daemon within the window.  */
struct st_shift_change
{
  double change;
  zp_time at;
};

/* All zero: a shift that appeared while this process ran.  */
struct st_shift_follower
{
  double share;
  struct st_shift_change *step;
  size_t steps, cap;
};

/* For a shift in the first configuration of a new process.  */
void st_shift_follower_init (struct st_shift_follower *f, double logged);

/* Moves the share of this daemon towards LOGGED and returns it.  */
double st_shift_follow (struct st_shift_follower *f, double logged, double cap,
                        zp_time now);
void st_shift_follower_free (struct st_shift_follower *f);

#endif
