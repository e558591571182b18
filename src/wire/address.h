/* NAME
     address - "IP:port" texts and socket addresses

   DESCRIPTION
     IPv6 addresses stand in brackets.  Names are not resolved: processes learn
     their addresses by IP number from their settings.  */

#ifndef ZP_WIRE_ADDRESS_H
#define ZP_WIRE_ADDRESS_H

#include <sys/socket.h>

#include "base/err.h"

/* Ports of the inner protocols, counted from the first port that a deployment
   sets aside for them.  They are the same on all machines.  */
enum wi_port
{
  WI_PORT_LOG,    /* replicated log */
  WI_PORT_FOLLOW, /* dissemination of the configuration */
  WI_PORT_ROSTER, /* rosters of servers and daemons */
};

bool wi_address_parse (struct zp_str text, struct sockaddr_storage *out,
                       socklen_t *len, struct zp_err *err);

/* Checks the address of a setting and reports a mistake with file and key.  */
void wi_address_check (struct zp_str text, const char *path, const char *key,
                       struct zp_report *report);

#endif
