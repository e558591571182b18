/* NAME
     keeper - the connections that are kept as witnesses

   DESCRIPTION
     One for each server that has sent an answer which ends with its connection.
     They belong to the forward task and carry nothing but calls (call.h).
     keep.h decides when they are opened, called and closed; ending.h describes
     what they show.  */

#ifndef ZP_FORWARD_KEEPER_H
#define ZP_FORWARD_KEEPER_H

#include "base/clock.h"
#include "base/str.h"

/* Most connections; one for each server of the largest configuration.  */
#define FW_KEEPERS_MAX 270

struct fw_client;
struct fw_keeper;

struct fw_keepers
{
  struct fw_keeper *first;
  size_t count;
  uint64_t calls;
};

/* Notes that the server at ADDRESS sends an answer which ends with its
   connection.  PATH tells its health.  Returns its connection, or NULL without
   a path and when there are FW_KEEPERS_MAX.  */
struct fw_keeper *fw_keeper_want (struct fw_client *c, struct zp_str address,
                                  struct zp_str path);

/* Whether the connection has brought an answer before SENT and is open.  */
bool fw_keeper_is_witness (const struct fw_keeper *k, zp_time sent);

/* Calls the server.  */
void fw_keeper_ask (struct fw_keeper *k);

void fw_keepers_free (struct fw_client *c);

#endif
