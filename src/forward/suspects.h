/* NAME
     suspects - servers whose connections are not used again

   DESCRIPTION
     Pure.  A server that has sent bytes which belong to no answer, such as a
     second copy, may do it again.  On a connection that is used again these
     bytes cost the next answer, which is then lost; on a connection of its own
     an answer meets none of them.

     The table is a hash table without chains: a server gives way to the next
     one with its place.  */

#ifndef ZP_FORWARD_SUSPECTS_H
#define ZP_FORWARD_SUSPECTS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/clock.h"

/* For this long after such bytes each request gets a connection of its own.  */
#define FW_SUSPECT_PERIOD (10 * ZP_SEC)
#define FW_SUSPECT_ENTRIES 4096

struct fw_suspect
{
  uint64_t server; /* hash of its address; 0: none */
  zp_time until;
};

struct fw_suspects
{
  struct fw_suspect *entry; /* NULL before the first server */
};

/* Notes that SERVER, the hash of an address, has sent such bytes.  */
void fw_suspects_note (struct fw_suspects *s, uint64_t server, zp_time now);

/* Whether the connections of SERVER are not used again.  */
bool fw_suspects_has (const struct fw_suspects *s, uint64_t server,
                      zp_time now);

void fw_suspects_free (struct fw_suspects *s);

#endif
