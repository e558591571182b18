/* NAME
     shift - gradual shift of client blocks between sites, limited in rate

   DESCRIPTION
     A shift moves a share (0 to 1) of the client blocks of a source site to a
     destination site.  A block is moved if and only if its hash, scaled to
     [0, 1), is below the share.  The share changes in steps, which the leader
     of the control daemons writes to the replicated log.

     st_shift_decide decides on the leader whether to write the next step.  It
     is a pure function of the committed steps, the time and the state of the
     receiving site.  The changes within any ST_SHIFT_WINDOW add up to at most
     the cap, both directions counted together.  A step counts from its commit,
     and no step is proposed while another one is uncommitted.  Since clocks of
     leaders differ, every step of an earlier term counts from the time at
     which the present leader took over.

     st_shift_follow applies the logged share at an entry daemon.  A daemon
     that is behind in the log could receive several steps at once, so it
     limits its own changes by the same cap and window.  A new process starts
     at the logged share, because other daemons served its callers before.  */

#ifndef ZP_STEER_SHIFT_H
#define ZP_STEER_SHIFT_H

#include "base/limits.h"
#include "base/str.h"

/* 60 s plus the time for which callers cache a look-up answer, lengthened by
   the clock-rate error in case the local clock runs fast.  */
#define ST_SHIFT_WINDOW                                                       \
  ((60 * ZP_SEC + ZP_LOOKUP_TTL) * (100 + ZP_CLOCK_RATE_ERROR_PERCENT) / 100)

/* The cap is divided into this many steps, spread over the window, so that the
   caches of the receiving site fill between steps and a fault shows before the
   whole cap has moved.  */
#define ST_SHIFT_STEPS_PER_CAP 8

/* Smallest step to a cold site, as a fraction of the step to a warm one.  It
   is above 0 because only traffic warms a site.  */
#define ST_SHIFT_COLD_MIN 0.125

/* Fraction of the reported free slots that a step may use.  The rest is for
   demand that grows before the next report arrives.  */
#define ST_SHIFT_HEADROOM 0.5

/* The shift stops when the last report of the receiving site is older.  */
#define ST_SHIFT_REPORT_TTL (3 * ZP_SEC)

/* Smallest change of the share that is written to the log.  It is less than
   one of 880,000 blocks, so a smaller change would move nothing.  */
#define ST_SHIFT_CHANGE_MIN 1e-6

/* A committed step.  */
struct st_shift_step
{
  uint64_t term; /* of the log, when the step was written */
  double share;  /* after this step; 0 before the first one */
  zp_time at;    /* time of the commit, by the clock of the leader of TERM */
};

/* The receiving site, which gets traffic by the next step: the destination, or
   the source when the share decreases.  */
struct st_site_state
{
  zp_time reported_at;
  bool failing;
  double free_slots;   /* when the report was made */
  double slots_needed; /* by the traffic of a share of 1 */
  double warmth;       /* of the caches: 0 cold to 1 warm */
};

struct st_shift
{
  double target; /* final share; 0 after the shift was revoked */
  double cap;    /* largest sum of changes of the share in any window */
  const struct st_shift_step *step;
  size_t steps;
  bool pending; /* a proposed step is not yet committed */
};

struct st_shift_leader
{
  uint64_t term;
  zp_time since; /* when it took over: it held the lease and an entry of its
                    term was committed, so that no step of an earlier term can
                    be committed later */
  bool lease;    /* it holds the leader lease now */
};

enum st_shift_action
{
  ST_SHIFT_DONE, /* the share is at the target */
  ST_SHIFT_WAIT, /* decide again at AT or when an input changes */
  ST_SHIFT_STOP, /* the receiving site cannot take more traffic now */
  ST_SHIFT_STEP, /* write a step that sets the share to SHARE */
};

enum st_shift_reason
{
  ST_SHIFT_NO_REASON,
  ST_SHIFT_NO_LEASE,
  ST_SHIFT_PENDING,
  ST_SHIFT_CAP, /* used up, or the next step is not yet due */
  ST_SHIFT_NO_REPORT,
  ST_SHIFT_FAILING,
  ST_SHIFT_NO_HEADROOM,
};

struct st_shift_decision
{
  enum st_shift_action action;
  enum st_shift_reason reason;
  double share; /* only for ST_SHIFT_STEP */
  zp_time at;   /* ZP_NEVER: not before an input changes */
};

struct st_shift_decision st_shift_decide (const struct st_shift *s,
                                          const struct st_shift_leader *l,
                                          const struct st_site_state *to,
                                          zp_time now);

/* Text for operators; "" for ST_SHIFT_NO_REASON.  */
const char *st_shift_reason_text (enum st_shift_reason r);

/* Whether a block whose 64-bit hash is H is moved at SHARE.  */
bool st_shift_moved (uint64_t h, double share);

/* A change of the share that an entry daemon has made.  */
struct st_shift_change
{
  double change; /* absolute value */
  zp_time at;    /* by the daemon's clock */
};

/* One shift at one entry daemon.  It starts as all zero when the shift is
   added to the configuration while the process runs.  */
struct st_shift_follower
{
  double share;                 /* that this daemon applies */
  struct st_shift_change *step; /* within the window */
  size_t steps, cap;
};

/* Starts a follower at the logged share, for a shift that is in the first
   configuration of a new process.  */
void st_shift_follower_init (struct st_shift_follower *f, double logged);

/* Moves the share of this daemon towards LOGGED as far as CAP allows, and
   returns it.  To be called repeatedly.  */
double st_shift_follow (struct st_shift_follower *f, double logged, double cap,
                        zp_time now);
void st_shift_follower_free (struct st_shift_follower *f);

#endif
