/* NAME
     pool - which server of a service a request goes to, without leases

   DESCRIPTION
     Pure.  Used where backend servers report to control daemons, so that no
     entry daemon owns a server and can lease its slots out.  Each entry daemon
     counts its own requests at a server and learns from the server's answers
     how many it has altogether; the difference is the work of the other
     daemons.  The estimate of the others' work fades with its age, because
     their requests end too.

     A server has room while the estimated work is below its slots.  Of the
     servers with room the one with the earliest expected finish is chosen: the
     way there and back and the usual service time.  Servers whose finish
     differs by less than ST_POOL_NEAR count as equal; among these the one that
     ranks first for the request's object is chosen, as long as it is not
     fuller than the emptiest by more than ST_POOL_SKEW of its slots.

     Without room the request waits.  The entry daemon never sends more than
     the estimated room, because a request in a server's own queue can no
     longer go anywhere else.

   RETURN VALUE
     st_pool_choose returns a tagged choice.  */

#ifndef ZP_STEER_POOL_H
#define ZP_STEER_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/* The others' work is taken to last for one service time, and to fade by half
   in each one after that.  */

/* Failure domains of one region are 1 to 3 ms apart; regions 40 ms or more.  */
#define ST_POOL_NEAR (10 * ZP_MS)

/* Share of its slots by which the preferred server may be fuller.  */
#define ST_POOL_SKEW 1.0

/* What is known of one server's work.  */
struct st_pool_load
{
  unsigned slots;
  unsigned own;    /* requests of this daemon there */
  double others;   /* work of other daemons, at SAMPLED */
  zp_time sampled; /* 0: never */
  zp_time service; /* usual service time */
};

/* Notes what the server said with an answer.  OWN is the number of this
   daemon's requests that were there when it did.  */
void st_pool_sample (struct st_pool_load *l, unsigned running,
                     unsigned waiting, unsigned own, zp_time now);

/* Estimated requests at the server.  */
double st_pool_work (const struct st_pool_load *l, zp_time now);

struct st_pool_candidate
{
  const struct st_pool_load *load;
  zp_time way;    /* there and back */
  zp_time service; /* usual service time */
  uint64_t rank;  /* for the object of the request; the lowest is preferred */
  bool usable;    /* may get a request now */
};

enum st_pool_kind
{
  ST_POOL_SEND, /* to candidate AT */
  ST_POOL_WAIT, /* none has room */
  ST_POOL_NONE, /* none is usable */
};

struct st_pool_choice
{
  enum st_pool_kind kind;
  size_t at;
  zp_time finish; /* expected time until the answer */
};

struct st_pool_choice st_pool_choose (const struct st_pool_candidate *c,
                                      size_t n, zp_time now);

#endif
