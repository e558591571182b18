/* NAME
     link - this daemon's share of the bandwidth of one direction of a link

   DESCRIPTION
     The bytes from region A to region B are the requests of A's daemons and
     the answers to requests of B's daemons.  A direction is therefore shared
     by the daemons of both regions, the sharers.  Each of them has one struct
     st_link for it, and its own share is the capacity divided by their number.
     The rates that all sharers may use never add up to more than the capacity:

     - Lending.  A sharer lends bandwidth that it does not need, with leases
       like those of slots: the borrower counts the ttl from its request, the
       lender from its grant and adds 1% for the difference of clock rates.  A
       sharer that is cut off keeps its own share, and what it has borrowed
       only until the lease ends.
     - Change of configuration.  A smaller share is in force at once.  A larger
       one is in force when all sharers have reported that they follow the same
       configuration number (st_link_report), or when one of them has reported
       that its whole share by that number is in force (it is settled).
     - Restart.  A new process starts without a share of its own, but may
       borrow.  Its reports, and every larger share, wait until the leases of
       the process before, or of a sharer that was deleted, have ended.  A
       daemon is deleted from the configuration only after it has been stopped.
     - Lowered capacity.  It is in force ST_LINK_WAIT after the last sharer
       received it, when the leases beyond it have ended.

     A token bucket limits the rate.  A request is admitted with an estimate of
     its bytes, and st_link_correct charges the difference to the bytes sent.
     The bucket holds 100 ms of the rate and may go into debt by one request.
     */

#ifndef ZP_STEER_LINK_H
#define ZP_STEER_LINK_H

#include "base/limits.h"
#include "base/str.h"

/* Size of the token bucket, as time at the present rate.  */
#define ST_LINK_BURST (100 * ZP_MS)

/* The longest lease, its clock-rate error, and 50 ms for scheduling.  */
#define ST_LINK_WAIT                                                          \
  (ZP_LEASE_TTL + ZP_LEASE_TTL * ZP_CLOCK_RATE_ERROR_PERCENT / 100            \
   + 50 * ZP_MS)

/* A sharer lends at most this percentage of its unused rate to one borrower,
   so that its own demand can grow within one ttl.  */
#define ST_LINK_LEND_PERCENT 50

/* The configuration that a sharer follows.  */
struct st_link_report
{
  uint64_t member;
  uint64_t number; /* of the configuration */
  bool settled;    /* its whole share by that number is in force */
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
  uint64_t request;              /* number of the request it answers */
  int64_t rate;                  /* bytes/s */
  zp_time ttl;
};

/* The last request to a lender; grants for earlier ones are ignored.  */
struct st_link_request
{
  uint64_t owner, number;
  zp_time at;
};

struct st_link
{
  uint64_t self, epoch;
  uint64_t config;       /* number of the last configuration; 0: none */
  bool settled;          /* the whole share by that number is in force */
  int64_t share, target; /* own share in force, and by the configuration */
  zp_time report_from;   /* no report before */
  zp_time raise_from;    /* no larger share before */
  struct st_link_report *sharer; /* the last reports of the others */
  size_t sharers, sharer_cap;
  struct st_link_lease *lent;
  size_t lents, lent_cap;
  struct st_link_lease *borrowed;
  size_t borroweds, borrowed_cap;
  struct st_link_request *request;
  size_t requests, request_cap;
  uint64_t lease_number, request_number;

  /* Token bucket.  Tokens are bytes times 1,000,000 (a rate times zp_time), so
     that no fraction of a byte is lost on a slow link.  */
  double tokens;
  zp_time filled;
  double used_rate; /* bytes/s; falls by smoothing, rises at once */
  int64_t used;     /* bytes since MEASURED */
  zp_time measured;
};

/* EPOCH is above that of every earlier process of this member, and below
   2^32.  */
void st_link_init (struct st_link *l, uint64_t self, uint64_t epoch,
                   zp_time now);

/* Applies configuration NUMBER: CAPACITY bytes/s, shared by MEMBERS.  A number
   that is not above the present one is ignored.  The first number of a new
   process must not be below the last one that an earlier process of this
   member received (a configuration never reverts).  */
void st_link_configure (struct st_link *l, uint64_t number, int64_t capacity,
                        const uint64_t *members, size_t count, zp_time now);

/* Stores the report that this daemon sends to the other sharers periodically.
   Returns false when it must not report: before a configuration, while leases
   of an earlier process may exist, or while leases beyond a lowered share have
   not ended.  */
bool st_link_own_report (struct st_link *l, zp_time now,
                         struct st_link_report *out);

/* Applies the report of another sharer.  */
void st_link_report (struct st_link *l, const struct st_link_report *r,
                     zp_time now);

/* Bytes/s that this daemon may use at NOW.  */
int64_t st_link_rate (struct st_link *l, zp_time now);

/* Records a request to the lender OWNER and returns its number.  */
uint64_t st_link_request (struct st_link *l, uint64_t owner, zp_time now);

/* Answers a request of HOLDER for WANT bytes/s.  The grant replaces the lease
   that HOLDER has from this daemon.  Returns false when nothing can be lent.
   */
bool st_link_lend (struct st_link *l, uint64_t holder, uint64_t request,
                   int64_t want, zp_time now, struct st_link_grant *out);

/* Applies a grant of the lender FROM.  */
void st_link_granted (struct st_link *l, uint64_t from,
                      const struct st_link_grant *g, zp_time now);

/* By how much DEMAND bytes/s exceeds the rate; 0: no need to borrow.  */
int64_t st_link_missing (struct st_link *l, int64_t demand, zp_time now);

/* Admits a request of about BYTES.  Returns false when the bucket is empty:
   the request has to wait or go to another region.  */
bool st_link_take (struct st_link *l, int64_t bytes, zp_time now);

/* Replaces the ESTIMATED bytes of an admitted request by the ACTUAL ones.  */
void st_link_correct (struct st_link *l, int64_t estimated, int64_t actual,
                      zp_time now);

/* Adds ACTUAL bytes to ESTIMATE, the mean bytes of a service: an exponential
   moving average over about 16 requests.  */
int64_t st_link_estimate (int64_t estimate, int64_t actual);

void st_link_free (struct st_link *l);

#endif
