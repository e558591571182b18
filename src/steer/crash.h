/* NAME
     blame - finds requests that crash the servers that run them, among daemons
     that tell each other of losses

   DESCRIPTION
     Pure.  When the connection of a request is lost without an answer, the
     pair of its fingerprint and the server is noted here and told to the other
     daemons.  After losses on ST_CRASH_SERVERS different servers without an
     answer in between, requests with the fingerprint are refused for
     ST_CRASH_PERIOD after the last loss.  An answer to the fingerprint clears
     it: servers also end for other reasons, and requests on one object look
     alike.

     src/steer/poison.h holds the losses of a region to three by a quorum of
     its daemons; that needs the connections between them, which routed
     requests do without.  Here daemons that have not heard of each other's
     losses yet may lose one server more each.  */

#ifndef ZP_STEER_CRASH_H
#define ZP_STEER_CRASH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

#define ST_CRASH_SERVERS 3
#define ST_CRASH_PERIOD (60 * ZP_SEC)
#define ST_CRASH_ENTRIES 256

struct st_crash_entry
{
  uint64_t fingerprint;
  uint64_t server[ST_CRASH_SERVERS];
  unsigned servers;
  zp_time last_loss;
};

struct st_crash_table
{
  struct st_crash_entry entry[ST_CRASH_ENTRIES];
  size_t len;
};

/* Returns whether the loss was not known.  The oldest fingerprint gives way
   when there are too many.  */
bool st_crash_note (struct st_crash_table *b, uint64_t fingerprint,
                    uint64_t server, zp_time now);
void st_crash_clear (struct st_crash_table *b, uint64_t fingerprint);
bool st_crash_refuses (const struct st_crash_table *b, uint64_t fingerprint,
                       zp_time now);

#endif
