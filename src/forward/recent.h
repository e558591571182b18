/* NAME
     recent - requests that were sent to a server lately

   DESCRIPTION
     Pure.  A caller can send a request again under the id that it had.  When
     both go to one server on one connection, a late copy of the first answer
     has the id of the second request.  On another connection it can't arrive.

     The table is a hash table without chains: an entry gives way to the next one
     with its place.  With 400 requests a second, of which few are sent again,
     less than one in 20 is lost within FW_RECENT_PERIOD.  */

#ifndef ZP_FORWARD_RECENT_H
#define ZP_FORWARD_RECENT_H

#include "base/clock.h"
#include "base/str.h"

/* For this long a copy can follow an answer; a server's idle connections are
   closed after about as long.  */
#define FW_RECENT_PERIOD (10 * ZP_SEC)
#define FW_RECENT_ENTRIES 65536

struct fw_recent_entry
{
  uint64_t request; /* hash of its id and of its server; 0: none */
  zp_time sent;
};

struct fw_recent
{
  struct fw_recent_entry *entry; /* NULL before the first request */
};

/* Notes that the request ID is about to be sent to SERVER.  Returns whether it
   was sent there within FW_RECENT_PERIOD before NOW.  */
bool fw_recent_note (struct fw_recent *r, struct zp_str id,
                     struct zp_str server, zp_time now);

void fw_recent_free (struct fw_recent *r);

#endif
