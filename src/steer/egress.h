/* NAME
     egress - how long bytes wait on the way out of this machine

   DESCRIPTION
     Pure.  The link of a small VM takes some Mbit/s; answers of bursts exceed
     it, and then every request that is sent on and every answer waits behind
     them.  The bytes that this daemon sends fill a bucket that the link
     empties.  A request is refused while they would wait longer than
     ST_EGRESS_WAIT: its refusal has a fraction of the bytes of its answer.  */

#ifndef ZP_STEER_EGRESS_H
#define ZP_STEER_EGRESS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/* Six tenths of the shortest latency objective of the deployments, 250 ms.  */
#define ST_EGRESS_WAIT (150 * ZP_MS)

struct st_egress
{
  double bytes_per_us; /* of the link; 0: not bounded */
  double backlog;      /* bytes, at AT */
  zp_time updated;
};

/* The link takes MBIT_PER_S; 0: it is not bounded.  */
void st_egress_init (struct st_egress *e, double mbit_per_s);

/* Notes that BYTES are sent.  */
void st_egress_add (struct st_egress *e, uint64_t bytes, zp_time now);

/* How long bytes that are sent now wait.  */
zp_time st_egress_wait (const struct st_egress *e, zp_time now);

#endif
