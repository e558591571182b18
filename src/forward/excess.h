/* NAME
     excess - an answer whose connection brings much more than its body

   DESCRIPTION
     The bytes between the chunks of a body (sizes, extensions) have no limit
     in all.  The kernel counts the bytes that a connection has received.  The
     difference to the bytes of the body is the excess.  */

#ifndef ZP_FORWARD_EXCESS_H
#define ZP_FORWARD_EXCESS_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stdint.h>

/* Bytes that a connection may bring for each byte of a body, and besides.
   Chunks of one byte need 6 bytes each.  */
#define FW_EXCESS_FACTOR 16
#define FW_EXCESS_MAX (256 * 1024)

/* The counts at the first check of a transfer: the connection may have brought
   other answers before.  Initialised to zero.  */
struct fw_excess
{
  bool begun;
  uint64_t raw, body;
};

/* Whether a connection that has received RAW bytes so far, with BODY bytes of
   the answer, brings too many that are no body.  Pure.  */
bool fw_excess_check (struct fw_excess *x, uint64_t raw, uint64_t body);

/* Sets OUT to the bytes that the connection FD has received.  Returns false
   where the kernel does not tell.  */
bool fw_excess_received (curl_socket_t fd, uint64_t *out);

#endif
