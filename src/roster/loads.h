/* NAME
     loads - the newest sample of the load of each server of a region

   DESCRIPTION
     Pure.  An answer of a server states its requests and its pace.  An entry
     daemon sends the samples from its answers to a control daemon (direct
     samples), which answers with those of the other daemons.  Control daemons
     of a region pass their direct samples on to each other (relayed samples).

     The newest sample of each server is kept.  Each one that replaces an older
     one gets the next number.  A reader, which is an entry daemon or the relay,
     holds the number up to which it has had them, so that it gets no sample
     twice.  A reader that gets fewer samples than are new gets the newest ones;
     the others are left out for good, because most of their servers have a
     newer sample in the next message anyway.

     A sample is used for RO_LOADS_TTL.  */

#ifndef ZP_ROSTER_LOADS_H
#define ZP_ROSTER_LOADS_H

#include <stddef.h>

#include "roster/work.h"
#include "task/msg.h"

/* Two to four mean service times.  The requests that a server had at an older
   sample have ended.  */
#define RO_LOADS_TTL (1000 * ZP_MS)

/* Samples in one message.  About 8 bytes each, 8 messages a second: at most
   4 KB/s from and 8 KB/s to an entry daemon, whose control traffic is limited
   to 20 KB/s, and 20 KB/s between two control daemons of a region.  */
#define RO_LOADS_REPORT_MAX 64
#define RO_LOADS_ANSWER_MAX 128
#define RO_LOADS_RELAY_MAX 256

/* Servers with samples; bounds the memory that reports can take.  */
#define RO_LOADS_SERVERS_MAX 4096

/* Stands for a reader that sends no samples.  */
#define RO_LOADS_NO_DAEMON UINT64_MAX

struct ro_load
{
  uint32_t server; /* TK_WORK_TAG */
  unsigned requests, pace;
  zp_time at;      /* time of the sample */
  uint64_t daemon; /* that sent it */
  enum ro_work_kind kind;
  uint64_t number;
};

struct ro_loads
{
  struct ro_load *item; /* sorted by server */
  size_t len, cap;
  uint64_t number; /* of the last sample taken */
};

/* Takes the samples of W that DAEMON has sent, at most MAX.  Those that are
   older than the one held or than RO_LOADS_TTL are ignored.  */
void ro_loads_take (struct ro_loads *l, uint64_t daemon,
                    enum ro_work_kind kind, const struct tk_work *w,
                    size_t max, zp_time now);

/* Adds to OUT, which has none, the samples of KIND that are newer than the
   number *READ and that DAEMON has not sent itself; the newest MAX ones, newest
   first.  Sets *READ.  The caller frees OUT->load.  */
void ro_loads_read (const struct ro_loads *l, uint64_t daemon,
                    enum ro_work_kind kind, size_t max, uint64_t *read,
                    zp_time now, struct tk_work *out);

void ro_loads_free (struct ro_loads *l);

#endif
