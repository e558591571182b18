/* NAME
     holder-state - state of a struct qu_holder, private to the holder module

   DESCRIPTION
     Shared by holder.c (limits, requests and grants) and holder-ask.c (asks);
     other modules use quota/holder.h.  */

#ifndef ZP_QUOTA_HOLDER_STATE_H
#define ZP_QUOTA_HOLDER_STATE_H

#include "quota/holder.h"
#include "quota/index.h"
#include "quota/owner.h"

/* Time constant of the measured demand.  A workspace with 1.5 requests a
   second at a holder is then measured from about 6 requests.  */
#define QU_DEMAND_TIME 2.0 /* seconds */

/* Asks whose time is remembered: all of the last 1.2 s when they follow each
   other at QU_ASK_GAP, which is longer than grants are under way.  */
#define QU_SENT_ASKS 64

/* Silence is measured again from the first ask after a gap of this length,
   because a daemon without requests sends no asks.  */
#define QU_SILENCE_GAP (QU_PERIOD_MAX + 500 * ZP_MS)

/* One limit.  */
struct qu_entry
{
  uint64_t workspace;
  double rate, depth;               /* of the whole limit */
  uint32_t rate_share, burst_share; /* the lease; 0: none */
  zp_time lease_end;
  struct qu_bucket bucket; /* of the lease */
  uint32_t spare;          /* tokens from the pool, for waiting requests */
  zp_time spare_end;
  zp_time empty_until; /* the pool is empty; 0: not known */

  /* Last grant that was applied, and the last ask that was sent before.  */
  uint64_t applied, applied_ask;

  uint32_t waiting; /* requests */

  /* Tokens that asks under way want, in two generations: asks from number
     FIRST[0] on, and earlier ones from FIRST[1] on.  What is still there after
     two generations was lost.  */
  uint32_t asked[2];
  uint64_t first[2];
  zp_time asked_since; /* beginning of generation 0 */

  double demand; /* requests a second, at DEMAND_AT */
  zp_time demand_at;
  zp_time active_until; /* QU_IDLE after the last request */
  zp_time asked_at;     /* last ask with this workspace */
  bool flagged;         /* in struct qu_holder.flag */
  bool unacked;         /* tokens were applied since the last ask */
};

struct qu_sent
{
  uint64_t number;
  zp_time at;
};

struct qu_holder
{
  uint64_t id, incarnation;
  struct qu_entry *entry; /* in the order of the limits */
  size_t len;
  struct qu_index index;

  /* Positions of entries that may want tokens, or that acknowledge tokens.  A
     daemon with few waiting requests makes an ask without a look at all its
     limits.  URGENT: one of them may want tokens.  */
  uint32_t *flag;
  size_t flags;
  bool urgent;
  zp_time ack_due; /* ZP_NEVER: nothing to acknowledge */

  struct qu_sent sent[QU_SENT_ASKS]; /* by number */
  uint64_t number;                   /* of the last ask; 0: none */
  uint64_t answered;                 /* highest number that was answered */
  zp_time silent_since; /* first ask since the last answer; 0: none */
  zp_time period, next_period;
  zp_time last_ask;
  zp_time active_until; /* latest of the entries */
  struct qu_holder_counts counts;
};

/* The entry of WORKSPACE, or NULL when it has no limit.  */
struct qu_entry *qu_entry_of (struct qu_holder *h, uint64_t workspace);

/* Brings the bucket, the tokens from the pool and the asked tokens of E to
   NOW.  A lease that has ended refills nothing and leaves nothing.  */
void qu_entry_refresh (struct qu_holder *h, struct qu_entry *e, zp_time now);

/* Tokens that asks under way want.  */
uint32_t qu_entry_asked (const struct qu_entry *e);

/* The next ask gets E.  */
void qu_entry_flag (struct qu_holder *h, struct qu_entry *e);

#endif
