/* NAME
     crash - refuses requests that crash the servers that run them

   DESCRIPTION
     Pure.  When the connection of a request is lost without an answer, the
     daemon records the pair of the request's fingerprint and the server here,
     and reports it to the other daemons.  After losses of ST_CRASH_SERVERS
     different servers without an answer in between, requests with the
     fingerprint are refused until ST_CRASH_PERIOD after the last loss.  An
     answer to a request with the fingerprint removes it from the table,
     because servers also end for other reasons, and equal requests of several
     callers have the same fingerprint.

     src/steer/poison.h limits the losses of a region to three by a quorum of
     its daemons.  That needs connections between the daemons, which routed
     requests do not depend on.  Here each daemon that has not received the
     others' reports yet may lose one more server.  */

#ifndef ZP_STEER_CRASH_H
#define ZP_STEER_CRASH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

#define ST_CRASH_SERVERS 3 /* requests are refused after so many losses */
#define ST_CRASH_PERIOD (60 * ZP_SEC)
#define ST_CRASH_ENTRIES 256 /* fingerprints in a table */

struct st_crash_entry
{
  uint64_t fingerprint;
  uint64_t server[ST_CRASH_SERVERS]; /* the servers that were lost */
  unsigned servers;
  zp_time last_loss;
};

struct st_crash_table
{
  struct st_crash_entry entry[ST_CRASH_ENTRIES];
  size_t len;
};

/* Records the loss of SERVER while it ran a request with FINGERPRINT.  A full
   table drops the fingerprint whose last loss is oldest.  Returns whether the
   loss is new.  */
bool st_crash_note (struct st_crash_table *t, uint64_t fingerprint,
                    uint64_t server, zp_time now);

/* Removes FINGERPRINT, to which a server has answered.  */
void st_crash_clear (struct st_crash_table *t, uint64_t fingerprint);

/* Whether requests with FINGERPRINT are refused at NOW.  */
bool st_crash_refuses (const struct st_crash_table *t, uint64_t fingerprint,
                       zp_time now);

#endif
