/* NAME
     link_codec - encodes and decodes messages about leases of link bandwidth

   DESCRIPTION
     Names are copied: a decoded message holds no views into the payload.

   RETURN VALUE
     The pe_get functions return false when the payload is malformed or a value
     is out of range.  */

#ifndef ZP_PEER_LINK_CODEC_H
#define ZP_PEER_LINK_CODEC_H

#include "steer/link.h"

/* One direction of a link between two regions.  */
struct pe_direction
{
  char from[ZP_NAME_MAX], to[ZP_NAME_MAX]; /* regions */
};

struct pe_link_request
{
  uint64_t number;
  int64_t want; /* bytes/s */
};

void pe_put_link_report (struct zp_buf *out, const struct pe_direction *d,
                         const struct st_link_report *r);
bool pe_get_link_report (struct zp_str payload, struct pe_direction *d,
                         struct st_link_report *out);

void pe_put_link_request (struct zp_buf *out, const struct pe_direction *d,
                          const struct pe_link_request *r);
bool pe_get_link_request (struct zp_str payload, struct pe_direction *d,
                          struct pe_link_request *out);

void pe_put_link_grant (struct zp_buf *out, const struct pe_direction *d,
                        const struct st_link_grant *g);
bool pe_get_link_grant (struct zp_str payload, struct pe_direction *d,
                        struct st_link_grant *out);

#endif
