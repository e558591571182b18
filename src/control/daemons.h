/* NAME
     daemons - table of the daemons that are connected to this control daemon

   DESCRIPTION
     Pure.  Holds the last description that each daemon sent of itself.  A
     daemon whose connection has ended stays in the table for CT_LOST_TTL,
     because a lost control member is replaced only after a timeout.  */

#ifndef ZP_CONTROL_DAEMONS_H
#define ZP_CONTROL_DAEMONS_H

#include "task/msg.h"

#define CT_LOST_TTL (60 * ZP_SEC)
#define CT_DAEMONS_MAX (ZP_MEMBERS_MAX + 16)

struct ct_daemon
{
  struct tk_daemon info; /* as last received */
  zp_time since;         /* when it was connected or lost */
};

struct ct_daemons
{
  struct ct_daemon *item;
  size_t len, cap;
};

/* Adds a daemon, or replaces the description of a known one.  Returns false
   when the table already holds CT_DAEMONS_MAX others.  */
bool ct_daemons_update (struct ct_daemons *d, const struct tk_daemon *info,
                        zp_time now);

/* Removes the daemons that were lost more than CT_LOST_TTL ago.  */
void ct_daemons_expire (struct ct_daemons *d, zp_time now);

void ct_daemons_free (struct ct_daemons *d);

/* Fills OUT with the addresses of at most MAX entry VMs for a caller of REGION
   and returns their number: the ready ones of the region; if there are none,
   the ready ones of all regions; if there are none either, all connected ones.
   An entry daemon that is leaving is never listed.  */
size_t ct_daemons_entries (const struct ct_daemons *d, struct zp_str region,
                           struct zp_str *out, size_t max);

#endif
