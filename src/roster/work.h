/* NAME
     work - how many requests the entry daemons of a region have at each server

   DESCRIPTION
     Pure.  An entry daemon reports its requests at each server to one control
     daemon (direct reports), which answers with the sum over the region, its
     own requests included.  Control daemons report their sums of direct
     reports to each other (relayed reports).  A server reports its load only
     with its answers, and with many entry daemons and servers a single daemon
     gets few answers from one server: with 22 entry VMs and 282 servers, these
     loads are up to 8 s old.

     The report of a daemon is used for RO_WORK_TTL.  */

#ifndef ZP_ROSTER_WORK_H
#define ZP_ROSTER_WORK_H

#include <stddef.h>

#include "task/msg.h"

/* Eight periods of GT_WORK_PERIOD: a daemon that is silent for this long is
   taken to be cut off.  */
#define RO_WORK_TTL (1000 * ZP_MS)

enum ro_work_kind
{
  RO_WORK_DIRECT,  /* of an entry daemon */
  RO_WORK_RELAYED, /* of a control daemon: the sum of its direct reports */
  RO_WORK_ALL,     /* in ro_work_sum: both */
};

/* The last report of one daemon.  */
struct ro_work_report
{
  uint64_t daemon;
  enum ro_work_kind kind;
  char region[ZP_NAME_MAX];
  struct tk_work work;
  zp_time received_at;
};

struct ro_work
{
  struct ro_work_report *item;
  size_t len, cap;
};

/* Replaces the report of DAEMON.  The list of WORK is moved; WORK becomes
   empty.  */
void ro_work_set (struct ro_work *w, uint64_t daemon, enum ro_work_kind kind,
                  struct zp_str region, struct tk_work *work, zp_time now);

/* Sets OUT to the sums over the reports of KIND from REGION, sorted by server;
   servers without requests are left out.  The caller frees OUT->item.  */
void ro_work_sum (const struct ro_work *w, struct zp_str region,
                  enum ro_work_kind kind, zp_time now, struct tk_work *out);

/* Removes the report of DAEMON, if there is one.  */
void ro_work_drop (struct ro_work *w, uint64_t daemon, enum ro_work_kind kind);
void ro_work_free (struct ro_work *w);

#endif
