/* NAME
     owner - grants shares and tokens of the limits to the entry daemons

   SYNOPSIS
     o = qu_owner_new ();
     qu_owner_set_limits (o, list, n, now);      at each new configuration
     qu_owner_lead (o, term, now);               when it becomes the leader
     if (qu_owner_ask (o, &ask, now, &grant))    for each TK_QUOTA_ASK
       send GRANT

   DESCRIPTION
     Pure.  The owner is the leader of the control log.  The caller passes asks
     only while the leader lease holds and the state is current, and calls
     qu_owner_lead each time when the leadership begins.  Limits that were set
     stay across that.

     The owner leases shares of each limit to the holders, by the demand that
     they report, and gives single tokens from the rest, the pool.  These rules
     keep the sum of all buckets within the limit, whatever is lost, late or
     frozen:
     - A lease is counted until it has certainly ended at the holder, which is
       QU_TTL after the grant, and later by the error of the clock rate.  The
       holder counts from when it sent the ask.
     - A larger share is counted from the grant on, a smaller one from its
       acknowledgement on.
     - A holder with a new incarnation is another holder.
     - For QU_TTL after qu_owner_lead only leases that holders claim are
       renewed, and the pool has what can never be leased of the limit: a
       quarter, or QU_POOL_MIN tokens of its depth.  Claims are leases of an
       earlier owner, so their sum is within what can be leased.
     - Tokens count as in flight until the holder has acknowledged the grant,
       or QU_TOKEN_TTL has passed.  A new owner's pool starts to refill when
       the tokens of an earlier owner are no longer valid.

     The time for an ask grows with its workspaces, not with the number of
     holders.  Memory grows with the pairs of holder and workspace that asked
     in the last QU_TTL; asks of more than QU_HOLDERS_MAX holders are
     refused.  */

#ifndef ZP_QUOTA_OWNER_H
#define ZP_QUOTA_OWNER_H

#include "quota/bucket.h"
#include "task/msg.h"

/* Longer than the 2.6 s of the slowest election and the time until the holders
   know the new owner.  It is not longer, because a new owner gives only a part
   of a large limit for as long: after a restart of all daemons there is no
   lease that it could renew.  */
#define QU_TTL (4 * ZP_SEC)

/* Longer than the 300 ms that a request waits and a round trip between
   regions.  */
#define QU_TOKEN_TTL (500 * ZP_MS)

/* Period of the asks: at least QU_PERIOD_MIN, longer with many holders so that
   the owner gets at most 125 asks a second from them, but at most
   QU_PERIOD_MAX, so that a lease survives three lost asks; one, when a holder
   has more than QU_ITEMS_MAX workspaces to renew.  */
#define QU_PERIOD_MIN (250 * ZP_MS)
#define QU_PERIOD_HOLDER (8 * ZP_MS)
#define QU_PERIOD_MAX (1500 * ZP_MS)

/* Workspaces in an ask or a grant; 128 take about 4 KB.  */
#define QU_ITEMS_MAX 128

/* Starts of holders that the owner tracks: twice the 420 daemons that the
   system is designed for, so that all can restart within QU_TTL.  */
#define QU_HOLDERS_MAX 1024

/* The number of a grant has the term in its upper bits, so that a holder's
   acknowledgement of an earlier owner's grant is not taken for one of a later
   owner's.  The other 40 bits last for 17 years at 2,000 grants a second.  */
#define QU_GRANT_NUMBER(term, n) ((uint64_t) (term) << 40 | (uint64_t) (n))
#define QU_GRANT_TERM(number) ((number) >> 40)

struct qu_owner;

struct qu_owner_counts
{
  uint64_t grants;     /* sent, of all terms */
  uint64_t tokens;     /* given from the pools */
  uint64_t pool_empty; /* items whose wanted tokens were not all given */
  size_t holders;      /* that asked within QU_TTL */
  size_t leases;       /* pairs of holder and workspace in memory */
};

struct qu_owner *qu_owner_new (void);
void qu_owner_free (struct qu_owner *o);

/* Replaces the limits.  Shares stay; a pool is cut to its new depth.  A limit
   that was not in the list before starts with an empty pool.  Leases of a
   limit that is removed are counted until they end, in case it returns.  */
void qu_owner_set_limits (struct qu_owner *o, const struct qu_limit *list,
                          size_t n, zp_time now);

/* Becomes the owner in TERM: forgets all leases and waits for claims.  Nothing
   changes when TERM is not higher than before: there was no other owner since,
   so the leases are still valid.  */
void qu_owner_lead (struct qu_owner *o, uint64_t term, zp_time now);

/* Answers ask A with *GRANT, whose items the receiver frees.  Returns false,
   and sends nothing, for an ask that came out of order or does not fit, and
   before qu_owner_lead.  Grants have items only for the workspaces of the ask
   that have a limit.  */
bool qu_owner_ask (struct qu_owner *o, const struct tk_quota_ask *a,
                   zp_time now, struct tk_quota_grant *grant);

struct qu_owner_counts qu_owner_counts (const struct qu_owner *o);

#endif
