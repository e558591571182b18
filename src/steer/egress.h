/* NAME
     egress - delay of bytes on the outgoing link of this machine

   DESCRIPTION
     Pure.  The link of a small VM carries a few Mbit/s.  Answers of bursts
     exceed that, and then every forwarded request and every answer waits
     behind them.  This is a leaky bucket: the bytes that this daemon sends
     fill it, and the link drains it.  A request is refused while its answer
     would wait longer than ST_EGRESS_WAIT, because a refusal has only a
     fraction of the bytes of an answer.  */

#ifndef ZP_STEER_EGRESS_H
#define ZP_STEER_EGRESS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/* Six tenths of 250 ms, the shortest latency objective of the deployments.  */
#define ST_EGRESS_WAIT (150 * ZP_MS)

struct st_egress
{
  double bytes_per_us; /* rate of the link; 0: unlimited */
  double backlog;      /* bytes not yet on the link, at UPDATED */
  zp_time updated;
};

/* MBIT_PER_S is the rate of the link; 0: unlimited.  */
void st_egress_init (struct st_egress *e, double mbit_per_s);

/* Counts BYTES that are sent.  */
void st_egress_add (struct st_egress *e, uint64_t bytes, zp_time now);

/* How long bytes that are sent at NOW wait for the link.  */
zp_time st_egress_wait (const struct st_egress *e, zp_time now);

#endif
