/* NAME
     warm - objects that a server is likely to have in its cache

   DESCRIPTION
     Pure.  An object is the data that a request needs.  In src/steer it is
     identified by the hash of the key that names it, which src/gate calls the
     affinity; 0 stands for a request without a key.  A server answers a
     request on an object that it has handled lately in a fraction of the time
     that it needs otherwise.  Each entry daemon records which objects it has
     sent to a server.  Every daemon prefers the same servers for an object,
     those that rank first, so that the requests of other daemons have put the
     object into these caches too.

     The table is direct-mapped: the hash modulo ST_WARM_ENTRIES selects the
     entry, and a newer object replaces an older one, as in the server's own
     cache.  An entry expires after ST_WARM_TTL.

     struct st_service_times keeps the mean service times of requests whose
     object was cached (warm) and of those whose object was not (cold).  */

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
  uint64_t object[ST_WARM_ENTRIES]; /* hash of the key */
  zp_time sent[ST_WARM_ENTRIES];    /* when OBJECT was last sent */
};

/* Records that a request on OBJECT is sent to the server.  */
void st_warm_note (struct st_warm *w, uint64_t object, zp_time now);

/* Whether OBJECT is likely in the server's cache; false for object 0.  */
bool st_warm_has (const struct st_warm *w, uint64_t object, zp_time now);

/* Removes all objects, as after a restart of the server.  */
void st_warm_clear (struct st_warm *w);

/* Mean service times.  */
struct st_service_times
{
  zp_time warm, cold;            /* 0: none measured yet */
  unsigned warm_seen, cold_seen; /* number of measurements */
};

/* Adds one measured service time.  */
void st_service_times_note (struct st_service_times *t, bool warm,
                            zp_time elapsed);

/* Expected service time of a warm or a cold request.  While only the other
   mean has been measured, returns that one; before any measurement, FIRST.  */
zp_time st_service_times_expect (const struct st_service_times *t, bool warm,
                                 zp_time first);

#endif
