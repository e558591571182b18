/* NAME
     link - this daemon's part of the bytes/s of one direction of a link

   DESCRIPTION
     The bytes from region A to region B are the requests of A's daemons and
     the answers to requests of B's daemons.  A direction is therefore shared
     by the daemons of both regions, each of which has one struct st_link for
     it: its own part is the capacity divided by their number.  The sum of what
     all daemons may use is never above the capacity:

     - Lending.  A daemon lends what it does not need, with leases like those
       of slots: the borrower counts the ttl from its ask, the lender from its
       grant and 1%.  A daemon that is cut off keeps its own part, and what it
       has borrowed only until that ends.
     - Change of configuration.  A smaller part is in force at once, a larger
       one when all sharers have reported that they follow the same number
       (st_link_report), or when one of them is settled on it.  A new process
       starts without a part of its own and may borrow.  Reports of a new
       process and every larger part wait until leases of the process before,
       or of a sharer that was deleted, have ended.  A daemon is deleted from
       the configuration only after it has been stopped.  A lowered capacity is
       in force ST_LINK_WAIT after the last sharer was given it, when leases
       beyond it have ended.

     A request is admitted by an estimate of its bytes; st_link_correct charges
     what was really sent.  The bucket holds 100 ms of the rate and may go into
     debt by one request.  */

#ifndef ZP_STEER_LINK_H
#define ZP_STEER_LINK_H

#include "base/limits.h"
#include "base/str.h"

#define ST_LINK_BURST (100 * ZP_MS)

/* The longest lease, its clock-rate error, and 50 ms for scheduling.  */
#define ST_LINK_WAIT                                                          \
  (ZP_LEASE_TTL + ZP_LEASE_TTL * ZP_CLOCK_RATE_ERROR_PERCENT / 100            \
   + 50 * ZP_MS)

/* Borrowing stays below this part of the lender's unused rate, so that the
   lender's own demand can grow within one ttl.  */
#define ST_LINK_LEND_PERCENT 50

struct st_link_report
{
  uint64_t member;
  uint64_t number;
  bool settled; /* its whole part is in force */
};

struct st_link_lease
{
  uint64_t owner, epoch, number;
  uint64_t holder;
  int64_t rate; /* bytes/s */
  zp_time end;
};

struct st_link_grant
{
  uint64_t owner, epoch, number; /* of the lease */
  uint64_t request;
  int64_t rate;
  zp_time ttl;
};

/* An ask to one lender; at most one is open for each.  */
struct st_link_request
{
  uint64_t owner, number;
  zp_time at;
};

struct st_link
{
  uint64_t self, epoch;
  uint64_t config;       /* number in force; 0: none */
  bool settled;          /* the whole part by that number is in force */
  int64_t share, target; /* own part in force, and by the configuration */
  zp_time report_from, raise_from; /* no report, no larger part before */
  struct st_link_report *sharer;
  size_t sharers, sharer_cap;
  struct st_link_lease *lent;
  size_t lents, lent_cap;
  struct st_link_lease *borrowed;
  size_t borroweds, borrowed_cap;
  struct st_link_request *request;
  size_t requests, request_cap;
  uint64_t lease_number, request_number;

  /* Bucket.  Bytes times 1,000,000, so that a slow link loses no remainder. */
  double tokens;
  zp_time filled;
  double used_rate; /* smoothed bytes/s */
  int64_t used;     /* bytes since RATED */
  zp_time measured;
};

/* EPOCH is above that of every earlier process of this member, and below
   2^32.  */
void st_link_init (struct st_link *l, uint64_t self, uint64_t epoch,
                   zp_time now);

/* Configuration NUMBER: CAPACITY bytes/s, shared by MEMBERS.  The first one of
   a new process must not be older than the last one that an earlier process of
   this member was given (a configuration never reverts).  */
void st_link_configure (struct st_link *l, uint64_t number, int64_t capacity,
                        const uint64_t *members, size_t count, zp_time now);

/* What this daemon reports to the other sharers, again and again.  Returns
   false while leases beyond a lowered part still run.  */
bool st_link_own_report (struct st_link *l, zp_time now,
                         struct st_link_report *out);
void st_link_report (struct st_link *l, const struct st_link_report *r,
                     zp_time now);

/* Bytes/s that this daemon may use at NOW.  */
int64_t st_link_rate (struct st_link *l, zp_time now);

/* Begins an ask to OWNER and returns its number.  */
uint64_t st_link_request (struct st_link *l, uint64_t owner, zp_time now);

/* Answers an ask of HOLDER for WANT bytes/s.  The grant replaces what HOLDER
   has borrowed before.  Returns false when nothing can be lent.  */
bool st_link_lend (struct st_link *l, uint64_t holder, uint64_t request,
                   int64_t want, zp_time now, struct st_link_grant *out);
void st_link_granted (struct st_link *l, uint64_t from,
                      const struct st_link_grant *g, zp_time now);

/* Bytes/s that are short for DEMAND bytes/s; 0: no need to ask.  */
int64_t st_link_missing (struct st_link *l, int64_t demand, zp_time now);

/* Admits a request of about BYTES.  Returns false when it has to wait or go
   elsewhere.  */
bool st_link_take (struct st_link *l, int64_t bytes, zp_time now);
void st_link_correct (struct st_link *l, int64_t estimated, int64_t actual,
                      zp_time now);

/* Mean bytes of a service, by exponential smoothing over about 16 requests. */
int64_t st_link_estimate (int64_t estimate, int64_t actual);

void st_link_free (struct st_link *l);

#endif
