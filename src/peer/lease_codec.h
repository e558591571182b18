/* NAME
     lease_codec - lease messages to and from their encoding

   DESCRIPTION
     The decoders check kinds, counts and sizes, so that the lease modules meet
     only values that an encoder could have written.  Views of a decoded ask
     live until wi_free of OWNER, which the caller does also after false.  */

#ifndef ZP_PEER_LEASE_CODEC_H
#define ZP_PEER_LEASE_CODEC_H

#include "steer/holder.h"

/* More leases than one ask can renew.  */
#define PE_LEASES_MAX 4096

void pe_put_lease_request (struct zp_buf *out, const struct st_out *r);

/* OUT->keep is allocated; the caller frees it, after true only.  */
bool pe_get_lease_request (struct zp_str payload, uint64_t from,
                           struct st_ask *out, struct st_keep **keep,
                           void **owner);

void pe_put_grant (struct zp_buf *out, const struct st_grant *g);
bool pe_get_grant (struct zp_str payload, uint64_t to, struct st_grant *out);

void pe_put_lease_return (struct zp_buf *out, const struct st_keep *keep);
bool pe_get_lease_return (struct zp_str payload, struct st_keep *out);

void pe_put_handover (struct zp_buf *out, const struct st_handover *h);

/* The caller frees OUT with st_handover_free after true.  */
bool pe_get_handover (struct zp_str payload, zp_time now,
                      struct st_handover *out);

#endif
