/* NAME
     steer-fixture - announcement of a backend server, and clocks that differ,
     for tests of src/steer  */

#ifndef ZP_TESTS_STEER_FIXTURE_H
#define ZP_TESTS_STEER_FIXTURE_H

#include "base/rng.h"
#include "steer/owner.h"

#define S ZP_SEC
#define MS ZP_MS

static inline struct st_announce
booking_server (const char *id, unsigned slots, zp_time uptime)
{
  return (struct st_announce){ .id = zp_str_from (id),
                               .service = ZP_STR ("booking"),
                               .address = ZP_STR ("127.0.0.1:1"),
                               .slots = slots,
                               .connections = 360,
                               .uptime = uptime };
}

/* The clock of one machine; the rates of two clocks differ by less than
   1%.  */
struct skewed_clock
{
  double rate;
  zp_time offset;
};

/* A clock with a random rate and offset.  */
static inline struct skewed_clock
clock_new (struct zp_rng *r)
{
  return (struct skewed_clock){ .rate = 0.995 + 0.0099 * zp_rng_unit (r),
                                .offset = zp_rng_below (r, 100000000) };
}

/* What C shows at the true time NOW.  */
static inline zp_time
clock_at (const struct skewed_clock *c, zp_time now)
{
  return c->offset + (zp_time) ((double) now * c->rate);
}

#endif
