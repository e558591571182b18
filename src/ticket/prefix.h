/* NAME
     prefix - IP prefixes "IP/bits" and addresses "IP:port"

   DESCRIPTION
     A struct ti_prefix holds an IPv4 or IPv6 prefix.  Bits after the prefix
     length must be zero, so that a prefix has exactly one spelling.

   RETURN VALUE
     The parse functions return false when the text is not valid.  */

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

/* Orders by family, then by address, then by length.  */
int ti_prefix_cmp (const struct ti_prefix *a, const struct ti_prefix *b);

/* Parses "IP:port" (IPv6 in brackets) and appends its canonical spelling to
   CANONICAL.  Stores the address in HOST as a prefix of full length.  */
bool ti_address_parse (struct zp_str text, struct zp_buf *canonical,
                       struct ti_prefix *host);

/* Whether HOST lies in BLOCK.  */
bool ti_prefix_contains (const struct ti_prefix *block,
                         const struct ti_prefix *host);

#endif
