/* NAME
     rank - which control daemons are worth following for the configuration

   DESCRIPTION
     Pure.  One that is in contact with the leader of the log has the newest
     configuration.  One that has lost that contact is left at once, since
     another may know more.  One that has just been connected to, and has not
     had the contact yet, may be about to get it: after a restart of all control
     daemons they hear of the new leader within a round trip of each other, and
     a change of the source costs several.  */

#ifndef ZP_ROSTER_RANK_H
#define ZP_ROSTER_RANK_H

#include <stdbool.h>

#include "base/clock.h"

/* A leader is elected in 1.5 s at 99 of 100, and connections to control
   daemons are made during most of it; a cut-off source may delay a change by
   as much.  */
#define RO_RANK_GRACE ZP_SEC

enum ro_rank
{
  RO_RANK_NONE,      /* not connected */
  RO_RANK_CONNECTED, /* followed when there is nothing better */
  RO_RANK_CURRENT,
};

struct ro_control_state
{
  bool answered;       /* it has answered on this connection */
  zp_time answered_at; /* since when */
  bool current;        /* it is in contact with the leader of the log */
  bool was_current;    /* at any time of this connection */
};

enum ro_rank ro_rank (const struct ro_control_state *s, zp_time now);

#endif
