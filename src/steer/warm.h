/* NAME
     warm - which objects a server is likely to have handled lately

   DESCRIPTION
     Pure.  A server answers a request on an object that it has handled lately
     in a fraction of the usual time.  Each entry daemon notes which objects it
     has sent to a server; the servers that rank first for an object are chosen
     by all daemons alike, so that other daemons have warmed them too.

     The table has one place for each value of the lower bits of an object; a
     newer object replaces an older one, as in the server's own memory.  A note
     counts for ST_WARM_TTL.

     struct st_service_times keeps the usual service time of either kind.  */

#ifndef ZP_STEER_WARM_H
#define ZP_STEER_WARM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

#define ST_WARM_ENTRIES 128
#define ST_WARM_TTL (20 * ZP_SEC)

struct st_warm
{
  uint64_t object[ST_WARM_ENTRIES];
  zp_time sent[ST_WARM_ENTRIES];
};

void st_warm_note (struct st_warm *w, uint64_t object, zp_time now);
bool st_warm_has (const struct st_warm *w, uint64_t object, zp_time now);
void st_warm_clear (struct st_warm *w);

/* Usual service times; 0: not known yet.  */
struct st_service_times
{
  zp_time warm, cold;
  unsigned warm_seen, cold_seen;
};

void st_service_times_note (struct st_service_times *t, bool warm,
                            zp_time elapsed);

/* The expected time.  FIRST is taken until anything is known; a kind that is
   not known yet is expected to take as long as the other one.  */
zp_time st_service_times_expect (const struct st_service_times *t, bool warm,
                                 zp_time first);

#endif
