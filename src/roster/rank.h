/* NAME
     rank - which control daemons to follow for the configuration

   DESCRIPTION
     Pure.  A control daemon in contact with the leader of the log has the
     newest configuration.  One that has lost this contact is ranked lower at
     once, since another may have a newer configuration.  One that has not yet
     had the contact on a new connection has the highest rank for
     RO_RANK_GRACE: when all control daemons restart, they learn of the new
     leader within one round-trip time of each other, and a change of the
     source costs several round trips.  */

#ifndef ZP_ROSTER_RANK_H
#define ZP_ROSTER_RANK_H

#include <stdbool.h>

#include "base/clock.h"

/* How long a newly connected control daemon may be without contact to the
   leader.  After a restart of all, 99 of 100 elections end within 1.5 s, and
   the connections to the control daemons are made at their begin; a daemon of
   another region tells of its contact up to 0.9 s later.  A follower leaves a
   source that is cut off after ZP_FOLLOW_TIMEOUT, also within this time.  */
#define RO_RANK_GRACE (2 * ZP_SEC)

/* Lowest first.  */
enum ro_rank
{
  RO_RANK_NONE,      /* not connected */
  RO_RANK_CONNECTED, /* followed only when none is current */
  RO_RANK_CURRENT,   /* in contact with the leader, or in its grace period */
};

/* The connection to one control daemon.  */
struct ro_control_state
{
  bool answered;       /* an update has arrived on this connection */
  zp_time answered_at; /* when the first update arrived */
  bool fresh;          /* it is in contact with the leader of the log */
  bool was_fresh;      /* at any time on this connection */
};

enum ro_rank ro_rank (const struct ro_control_state *s, zp_time now);

#endif
