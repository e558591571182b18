/* NAME
     address - converts "IP:port" to socket addresses

   DESCRIPTION
     An IPv6 address is written in brackets.  Host names are not accepted: all
     addresses in settings and messages are numeric.  */

#ifndef ZP_WIRE_ADDRESS_H
#define ZP_WIRE_ADDRESS_H

#include <sys/socket.h>

#include "base/err.h"

/* Offsets of the ports of the inner protocols from the first port that the
   settings reserve for them.  The ports are the same on all machines.  */
enum wi_port
{
  WI_PORT_LOG,    /* replicated log */
  WI_PORT_FOLLOW, /* dissemination of the configuration */
  WI_PORT_ROSTER, /* rosters of servers and daemons */
};

/* Returns false when TEXT is not "IP:port" with a port from 1 to 65535.  */
bool wi_address_parse (struct zp_str text, struct sockaddr_storage *out,
                       socklen_t *len, struct zp_err *err);

/* Whether SA can be the address of one host: not the unspecified address, a
   multicast address or the broadcast address.  */
bool wi_address_is_host (const struct sockaddr_storage *sa);

/* Checks the value TEXT of the setting KEY in the file PATH.  Adds a line to
   REPORT when TEXT is not an address.  */
void wi_address_check (struct zp_str text, const char *path, const char *key,
                       struct zp_report *report);

#endif
