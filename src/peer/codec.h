/* NAME
     codec - peer messages to and from their encoding

   DESCRIPTION
     Every decoder returns false on bytes that it cannot read.  The texts of a
     decoded message are views that live until its memory, OWNER, is released
     with wi_free; the caller does that also after false.  */

#ifndef ZP_PEER_CODEC_H
#define ZP_PEER_CODEC_H

#include "peer/members.h"

struct pe_heartbeat
{
  uint64_t seq;
  bool ack;
  bool leaving;
  struct zp_str known; /* address of one other member, or empty */
};

typedef void pe_address_fn (void *self, struct zp_str wire);

void pe_put_hello (struct zp_buf *out, const struct pe_hello *h,
                   const struct pe_members *known);
bool pe_get_hello (struct zp_str payload, struct pe_hello *out, void **owner);

/* Calls KNOWN for each address that the decoded hello brings.  */
void pe_each_address (const void *owner, pe_address_fn *each, void *self);

void pe_put_heartbeat (struct zp_buf *out, const struct pe_heartbeat *h);
bool pe_get_heartbeat (struct zp_str payload, struct pe_heartbeat *out,
                       void **owner);

#endif
