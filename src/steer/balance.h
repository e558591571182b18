/* NAME
     balance - chooses the backend server with the earliest expected answer

   DESCRIPTION
     Pure.  Used by entry daemons that lease no slots, because the backend
     servers report to control daemons and no entry daemon owns them.  (With
     leases src/steer/place.h chooses.)

     The load of a server is estimated.  Each entry daemon counts its own
     requests at the server, and each answer states how many requests the
     server has altogether, those of all regions included.  The difference is
     the work of the other daemons, averaged over the answers of this daemon
     and those that other daemons of the region have shared.  The entry
     daemons of a region also send each other their counts for each server.

     A sample is outdated with its age, so that a server that was full is tried
     again; st_balance_weight alone says how fast.  There are two ways to combine
     it with the region's counts, see enum st_balance_mode.

     A server may also state its pace: how long work takes there at this
     moment, compared with the usual time.

     The request goes to the server with the earliest expected finish: round
     trip, wait for a slot, and service time.  A server that has the object of
     the request (the data that it needs, see warm.h) in its cache needs a
     third of the mean service time, so that waiting for that server is faster
     than using a free one.  In the deployments, requests need less than all
     slots when they reach servers that have their objects cached, and twice
     the slots when they do not; sending requests to any free server under load
     would keep the overload up.

     Candidates whose finish differs by less than ST_BALANCE_TIE count as
     equal; of these the one with the lowest rank is chosen.

   RETURN VALUE
     st_balance_choose returns a tagged choice.  */

#ifndef ZP_STEER_BALANCE_H
#define ZP_STEER_BALANCE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/* Two to four mean service times, which are 250 to 480 ms: the requests that
   ran at the time of a sample have ended by then.  */
#define ST_BALANCE_HALF_LIFE (1000 * ZP_MS)

/* The pace of a server changes many times a second.  */
#define ST_BALANCE_PACE_HALF_LIFE (300 * ZP_MS)

/* Bounds of the factor for service times: one odd figure must neither draw all
   requests to a server nor keep it out for seconds.  */
#define ST_BALANCE_PACE_MIN 0.5
#define ST_BALANCE_PACE_MAX 20.0

/* Almost five periods of the reports between daemons, which are 125 ms.  */
#define ST_BALANCE_REPORT_TTL (600 * ZP_MS)

/* Mean age of the counts in a report when it arrives: half a period at the
   daemon that counted and half of one at the control daemon that relays.  */
#define ST_BALANCE_REPORT_AGE (120 * ZP_MS)

/* Failure domains of one region are 1 to 3 ms apart; regions 40 ms or more. */
#define ST_BALANCE_TIE (5 * ZP_MS)

/* How samples and the counts of the region are combined.  */
enum st_balance_mode
{
  /* The larger one.  For samples of this daemon only, most of which are older
     than the counts.  */
  ST_BALANCE_LARGER,

  /* A new sample counts in full; with its age, weight moves from it to the
     counts, or to 0 without counts.  Counts that are newer than the sample are a
     lower bound.  For samples that the daemons of a region share.  */
  ST_BALANCE_WEIGHTED,
};

/* Load of one server as this daemon knows it.  */
struct st_balance_load
{
  unsigned slots;
  unsigned own;           /* requests of this daemon at the server */
  double others;          /* requests of other daemons, at SAMPLED */
  zp_time sampled;        /* time of the newest sample; 0: none */
  unsigned pace;          /* percent of the usual time, at PACED */
  zp_time paced;          /* time of the newest pace; 0: none */
  unsigned region_others; /* requests of the region's other daemons */
  zp_time region_at;      /* time of their report; 0: none */
};

/* What an answer of a server says of it.  */
struct st_balance_sample
{
  unsigned requests; /* at the server, of all daemons, less the answered one */
  unsigned own;      /* of them, those of this daemon */
  unsigned pace;     /* percent of the usual time; 0: not stated */
  zp_time age;       /* time since the answer; not 0 for a shared sample */
};

/* Adds the sample S.  Returns false and changes nothing if L has a newer
   one.  */
bool st_balance_sample (struct st_balance_load *l,
                        const struct st_balance_sample *s, zp_time now);

/* The weight of a sample of this age in the estimate, from 1 to 0.  */
double st_balance_weight (zp_time age);

/* The factor for service times at the server, from ST_BALANCE_PACE_MIN to
   ST_BALANCE_PACE_MAX; near 1 when its last stated pace is old.  */
double st_balance_pace (const struct st_balance_load *l, zp_time now);

/* Estimated number of requests at the server, of all daemons.  */
double st_balance_work (const struct st_balance_load *l,
                        enum st_balance_mode mode, zp_time now);

struct st_balance_candidate
{
  const struct st_balance_load *load;
  enum st_balance_mode mode;
  zp_time rtt;       /* round-trip time */
  zp_time service;   /* expected service time of this request there */
  zp_time mean_time; /* mean service time of the requests ahead of it */
  uint64_t rank;     /* of the server for the object of the request */
};

enum st_balance_kind
{
  ST_BALANCE_SEND, /* send to candidate AT */
  ST_BALANCE_NONE, /* no candidate */
};

struct st_balance_choice
{
  enum st_balance_kind kind;
  size_t at;      /* index of the candidate */
  zp_time wait;   /* expected wait for a slot */
  zp_time finish; /* expected time until the answer */
};

struct st_balance_choice
st_balance_choose (const struct st_balance_candidate *c, size_t n,
                   zp_time now);

#endif
