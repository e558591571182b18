/* NAME
     pool - which server of a service a request goes to, without leases

   DESCRIPTION
     Pure.  Used where backend servers report to control daemons, so that no
     entry daemon owns a server and can lease its slots out.  Each entry daemon
     counts its own requests at a server and learns from the server's answers
     how many it has altogether; the difference is the work of the other
     daemons.  It is smoothed over answers, and fades by half in each
     ST_BALANCE_HALF_LIFE without an answer, so that a server that was full is
     tried again.  The daemons of a region also tell each other what they have
     at each server; while this is newer than ST_BALANCE_REPORT_TTL, the larger of both
     counts.

     The request goes where its answer is expected first: the way there and
     back, the wait for a slot, and the service time.  On an object that a
     server knows, the service time is a third of the usual one, so that
     waiting for that server beats a free one.  This answers the load of the
     deployments, where all requests need less than the slots when they meet
     servers that know their objects, and twice the slots when they do not: a
     daemon that sends to any free server under load keeps the load up.

     Candidates whose finish differs by less than ST_BALANCE_TIE count as equal;
     of these the one with the lowest rank is chosen.

   RETURN VALUE
     st_balance_choose returns a tagged choice.  */

#ifndef ZP_STEER_BALANCE_H
#define ZP_STEER_BALANCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/* Two to four usual service times, 250 to 480 ms: what ran at the time of a
   sample has ended then.  */
#define ST_BALANCE_HALF_LIFE (1000 * ZP_MS)

/* Daemons tell each other every 200 ms.  */
#define ST_BALANCE_REPORT_TTL (600 * ZP_MS)

/* Failure domains of one region are 1 to 3 ms apart; regions 40 ms or more. */
#define ST_BALANCE_TIE (5 * ZP_MS)

/* What is known of one server's work.  */
struct st_balance_load
{
  unsigned slots;
  unsigned own;    /* requests of this daemon there */
  double others;   /* work of other daemons, at SAMPLED */
  zp_time sampled; /* 0: never */
  unsigned
      region_others; /* requests of the other daemons of the region, at TOLD */
  zp_time region_at; /* 0: never */
};

/* Notes what the server said with an answer.  OWN is the number of this
   daemon's requests that were there when it did.  */
void st_balance_sample (struct st_balance_load *l, unsigned running,
                        unsigned waiting, unsigned own, zp_time now);

/* Estimated requests at the server.  */
double st_balance_work (const struct st_balance_load *l, zp_time now);

struct st_balance_candidate
{
  const struct st_balance_load *load;
  zp_time rtt;       /* there and back */
  zp_time service;   /* expected service time of this request there */
  zp_time mean_time; /* of the requests before it */
  uint64_t rank;     /* for the object of the request */
};

enum st_balance_kind
{
  ST_BALANCE_SEND, /* to candidate AT */
  ST_BALANCE_NONE, /* no candidate */
};

struct st_balance_choice
{
  enum st_balance_kind kind;
  size_t at;
  zp_time wait;   /* expected, for a slot */
  zp_time finish; /* expected time until the answer */
};

struct st_balance_choice
st_balance_choose (const struct st_balance_candidate *c, size_t n,
                   zp_time now);

#endif
