/* NAME
     lease_codec - encodes and decodes lease messages

   DESCRIPTION
     The decoders check kinds, counts and sizes, so that the lease modules get
     only values that an encoder can have written.  Views in a decoded request
     are valid until its memory, OWNER, is released with wi_free; the caller
     releases it also when decoding has failed.

   RETURN VALUE
     The pe_get functions return false when the payload is malformed.  */

#ifndef ZP_PEER_LEASE_CODEC_H
#define ZP_PEER_LEASE_CODEC_H

#include "steer/holder.h"

/* Most leases in one message.  No request renews as many.  */
#define PE_LEASES_MAX 4096

void pe_put_lease_request (struct zp_buf *out, const struct st_action *r);

/* FROM is the member that sent the request.  After success, *KEEP is the list
   OUT->keep, which the caller frees.  */
bool pe_get_lease_request (struct zp_str payload, uint64_t from,
                           struct st_lease_request *out,
                           struct st_lease_keep **keep, void **owner);

void pe_put_grant (struct zp_buf *out, const struct st_grant *g);
/* TO is the member that received the grant.  */
bool pe_get_grant (struct zp_str payload, uint64_t to, struct st_grant *out);

void pe_put_lease_return (struct zp_buf *out,
                          const struct st_lease_keep *keep);
bool pe_get_lease_return (struct zp_str payload, struct st_lease_keep *out);

void pe_put_handover (struct zp_buf *out, const struct st_handover *h);

/* NOW is the time of arrival.  The caller releases OUT with st_handover_free
   after success.  */
bool pe_get_handover (struct zp_str payload, zp_time now,
                      struct st_handover *out);

#endif
