/* NAME
     work - how many requests each entry daemon of a region has at each server

   DESCRIPTION
     Pure.  An entry daemon tells one control daemon of its region its own
     requests at each server, and learns those of the others.  A server's own
     word on its load comes only with its answers, and with many daemons and
     servers one daemon gets few of one server: on a deployment of 22 entry VMs
     and 282 servers these words were up to 8 s old.

     Servers are named by the hash of their id.  What a daemon has said counts
     for RO_WORK_TTL.  */

#ifndef ZP_ROSTER_WORK_H
#define ZP_ROSTER_WORK_H

#include <stddef.h>

#include "task/msg.h"

/* Five periods of GT_WORK_PERIOD: a daemon that is silent for so long counts as
   cut off.  */
#define RO_WORK_TTL (1000 * ZP_MS)

/* What one daemon has said.  */
struct ro_work_report
{
  uint64_t daemon;
  char region[ZP_NAME_MAX];
  struct tk_work work;
  zp_time received_at;
};

struct ro_work
{
  struct ro_work_report *item;
  size_t len, cap;
};

/* Takes WORK over.  */
void ro_work_set (struct ro_work *w, uint64_t daemon, struct zp_str region,
                  struct tk_work *work, zp_time now);

/* The sums over the other daemons of REGION; servers without any are left out.
   The caller frees OUT's list.  */
void ro_work_others (const struct ro_work *w, uint64_t daemon,
                     struct zp_str region, zp_time now, struct tk_work *out);

void ro_work_drop (struct ro_work *w, uint64_t daemon);
void ro_work_free (struct ro_work *w);

#endif
