/* NAME
     daemons - the daemons that are connected to this control daemon

   DESCRIPTION
     Pure.  Holds what each daemon has last info of itself.  A daemon whose
     connection has ended stays for CT_LOST_TTL, because a control member that
     is lost is replaced only after a while.  */

#ifndef ZP_CONTROL_DAEMONS_H
#define ZP_CONTROL_DAEMONS_H

#include "task/msg.h"

#define CT_LOST_TTL (60 * ZP_SEC)
#define CT_DAEMONS_MAX (ZP_MEMBERS_MAX + 16)

struct ct_daemon
{
  struct tk_daemon info;
  zp_time since; /* when it was connected or lost */
};

struct ct_daemons
{
  struct ct_daemon *item;
  size_t len, cap;
};

/* Returns false when CT_DAEMONS_MAX are known.  */
bool ct_daemons_update (struct ct_daemons *d, const struct tk_daemon *info,
                        zp_time now);
void ct_daemons_expire (struct ct_daemons *d, zp_time now);
void ct_daemons_free (struct ct_daemons *d);

/* The addresses of entry VMs for a caller of REGION, at most MAX: those of its
   region that take requests; without any, those of all regions.  Daemons that
   are not ready are named when none is.  Returns the number.  */
size_t ct_daemons_entries (const struct ct_daemons *d, struct zp_str region,
                           struct zp_str *out, size_t max);

#endif
