/* NAME
     codec - encodes and decodes the hello and the heartbeat

   DESCRIPTION
     The pe_put functions append the encoded message to OUT.  The texts of a
     decoded message are views that are valid until its memory, OWNER, is
     released with wi_free; the caller releases it also when decoding has
     failed.

   RETURN VALUE
     The pe_get functions return false when the payload is malformed.  */

#ifndef ZP_PEER_CODEC_H
#define ZP_PEER_CODEC_H

#include "peer/members.h"

struct pe_heartbeat
{
  uint64_t seq;
  bool ack;            /* acknowledges the heartbeat SEQ of the receiver */
  bool leaving;        /* the sender is shutting down */
  struct zp_str known; /* address of one other member; may be empty */
};

/* Receives the address of one member.  */
typedef void pe_address_fn (void *self, struct zp_str wire);

/* The hello also lists the addresses of all members in KNOWN.  */
void pe_put_hello (struct zp_buf *out, const struct pe_hello *h,
                   const struct pe_members *known);
bool pe_get_hello (struct zp_str payload, struct pe_hello *out, void **owner);

/* Calls EACH with SELF for every member address of the hello in OWNER.  */
void pe_each_address (const void *owner, pe_address_fn *each, void *self);

void pe_put_heartbeat (struct zp_buf *out, const struct pe_heartbeat *h);
bool pe_get_heartbeat (struct zp_str payload, struct pe_heartbeat *out,
                       void **owner);

#endif
