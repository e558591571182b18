/* NAME
     prefix - address blocks "IP/bits"

   DESCRIPTION
     Holds IPv4 and IPv6 blocks in one form.  Bits behind the prefix length
     have to be zero, so that a block has exactly one spelling.  */

#ifndef ZP_TICKET_PREFIX_H
#define ZP_TICKET_PREFIX_H

#include "base/err.h"

struct ti_prefix
{
  uint8_t family; /* 4 or 6 */
  uint8_t bits;
  uint8_t ip[16]; /* network byte order; IPv4 uses the first 4 bytes */
};

bool ti_prefix_parse (struct zp_str text, struct ti_prefix *out);
void ti_prefix_print (const struct ti_prefix *p, struct zp_buf *out);

/* Orders by family, address, then length.  */
int ti_prefix_cmp (const struct ti_prefix *a, const struct ti_prefix *b);

/* Reads "IP:port" (IPv6 in brackets) and writes its one canonical spelling.
   HOST gets the address as a block of full length.  */
bool ti_address_parse (struct zp_str text, struct zp_buf *canonical,
                       struct ti_prefix *host);

bool ti_prefix_contains (const struct ti_prefix *block,
                         const struct ti_prefix *host);

#endif
