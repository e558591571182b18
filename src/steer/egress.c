#include "steer/egress.h"

#define BITS_PER_BYTE 8.0

void
st_egress_init (struct st_egress *e, double mbit_per_s)
{
  /* 1 Mbit/s is 1 bit a microsecond.  */
  *e = (struct st_egress){ .bytes_per_us = mbit_per_s / BITS_PER_BYTE };
}

/* Bytes not yet on the link at NOW.  */
static double
backlog (const struct st_egress *e, zp_time now)
{
  double left = e->backlog - (double) (now - e->updated) * e->bytes_per_us;

  return left > 0 ? left : 0.0;
}

void
st_egress_add (struct st_egress *e, uint64_t bytes, zp_time now)
{
  e->backlog = backlog (e, now) + (double) bytes;
  e->updated = now;
}

zp_time
st_egress_wait (const struct st_egress *e, zp_time now)
{
  if (e->bytes_per_us <= 0)
    return 0;
  return (zp_time) (backlog (e, now) / e->bytes_per_us);
}
