/* NAME
     owner-state - state of a struct qu_owner, private to the owner module

   DESCRIPTION
     Shared by owner.c (limits, leadership, answers to asks), owner-pool.c (the
     pool of a limit and what is counted against it) and owner-table.c (holders
     and their leases, and when they end); other modules use quota/owner.h.  */

#ifndef ZP_QUOTA_OWNER_STATE_H
#define ZP_QUOTA_OWNER_STATE_H

#include "quota/index.h"
#include "quota/owner.h"

/* How long the owner counts what it has granted for TIME.  */
#define QU_COUNTED(time) ((time) + (time) *ZP_CLOCK_RATE_ERROR_PERCENT / 100)

/* Positions in a doubly linked list; the first item ends first.  */
struct qu_order
{
  uint32_t first, last;
};

struct qu_links
{
  uint32_t previous, next;
};

/* A share of a limit, in units of 1 / TK_QUOTA_WHOLE.  */
struct qu_share
{
  uint32_t rate, burst;
};

/* Tokens of a grant that are under way.  Flights of a limit have numbers from 1
   on, in the order of their ends; NEXT is that of the next one of the same
   lease, 0: none.  */
struct qu_flight
{
  uint32_t lease;
  uint32_t tokens; /* 0: acknowledged */
  uint64_t next;
  uint64_t grant;
  zp_time end;
};

/* A limit.  PART is the share of it that the pool had since the last refill,
   COUNTED the sum of the shares that holders may have.  */
struct qu_pool
{
  uint64_t workspace;
  bool used;    /* false: free position */
  bool limited; /* false: removed, with leases that have not ended */
  double rate, depth;
  struct qu_share part, counted;
  struct qu_bucket pool;
  struct qu_flight *flight; /* ring: flight N is at N modulo FLIGHT_CAP */
  size_t flight_cap;
  uint64_t flight_first, flight_end; /* numbers; the end is not included */
  uint32_t flying;                   /* sum of their tokens */
  double demand;                     /* sum over the leases */
  uint32_t demands;                  /* leases with a demand */
  uint32_t leases;
};

/* What a holder has of a limit; also for holders that have no share.  */
struct qu_lease
{
  struct qu_links links; /* NEXT also links free positions */
  uint32_t holder, limit;
  struct qu_share share;   /* granted last */
  struct qu_share counted; /* the most that the holder may have */
  uint64_t changed;        /* grant with which SHARE was set */
  uint64_t applied;        /* last grant that the holder has acknowledged */
  zp_time end;
  uint64_t flight_first, flight_last; /* not acknowledged; 0: none */
  zp_time seen;                       /* last ask with this limit */
  double demand;                      /* smoothed */
};

/* One start of an entry daemon.  */
struct qu_start
{
  struct qu_links links;
  uint64_t id, incarnation;
  uint64_t number; /* of its last ask */
  zp_time end;
};

struct qu_owner
{
  uint64_t term;
  uint64_t grants; /* in this term */
  zp_time now;     /* latest time seen */
  zp_time claims_end;

  struct qu_pool *limit;
  uint32_t limit_len;
  struct qu_index limit_index; /* by workspace */

  struct qu_lease *lease;
  uint32_t lease_len, lease_free;
  struct qu_order lease_order;
  struct qu_index lease_index; /* by positions of holder and limit */

  struct qu_start *holder;
  uint32_t holder_len, holder_free;
  struct qu_order holder_order;
  struct qu_index holder_index; /* by id and incarnation */

  struct qu_owner_counts counts;
};

/* Pools (owner-pool.c).  */

/* Whether the owner still waits for claims.  */
bool qu_claims_only (const struct qu_owner *o);

/* Refills the pool of W for the time since the last call, with the share that
   it had then.  To be called before what is counted or the limit changes.  */
void qu_pool_refill (struct qu_owner *o, struct qu_pool *w);

/* Sets the share of the pool from now on, and cuts its level.  */
void qu_pool_set_part (struct qu_owner *o, struct qu_pool *w);

/* Takes up to WANT tokens for LEASE and counts them as in flight.  */
uint32_t qu_pool_give (struct qu_owner *o, struct qu_pool *w, uint32_t lease,
                       uint32_t want, uint64_t grant);

/* Tokens of grants that the holder of L has acknowledged are spent.  */
void qu_pool_acknowledge (struct qu_pool *w, struct qu_lease *l);

/* Counts COUNTED for lease L instead of what was counted before.  */
void qu_pool_count_share (struct qu_owner *o, struct qu_pool *w,
                          struct qu_lease *l, struct qu_share counted);
void qu_pool_count_demand (struct qu_pool *w, struct qu_lease *l,
                           double demand);

/* Frees the position of W, which has no leases.  */
void qu_pool_release (struct qu_owner *o, struct qu_pool *w);

/* Tables (owner-table.c).  */

/* Forgets all leases and holders.  */
void qu_table_clear (struct qu_owner *o);

/* Advances the time and drops what has ended.  */
void qu_table_advance (struct qu_owner *o, zp_time now);

/* The position of the holder that sent A, or QU_NONE when A is out of order or
   there are too many holders.  Its time begins anew.  */
uint32_t qu_table_holder (struct qu_owner *o, const struct tk_quota_ask *a);

/* The lease of HOLDER in the limit at position LIMIT, a new one without a share
   when it has none.  Its time begins anew.  Valid until the next call.  */
struct qu_lease *qu_table_lease (struct qu_owner *o, uint32_t holder,
                                 uint32_t limit);

#endif
