/* NAME
     codec - encoding of the consensus core's messages as frame payloads

   DESCRIPTION
     Converts between struct lg_msg and the kinds WI_VOTE_ASK to
     WI_SNAPSHOT_ANSWER of the inner protocol.  The payload of a message from
     the core never exceeds ZP_FRAME_MAX.  */

#ifndef ZP_LEDGER_CODEC_H
#define ZP_LEDGER_CODEC_H

#include "base/err.h"
#include "ledger/core.h"

/* Appends the payload of M to OUT and returns its kind (enum wi_kind).  */
uint8_t lg_codec_encode (const struct lg_msg *m, struct zp_buf *out);

/* Fills M, which the caller frees with lg_msg_clear.  Returns false with
   ZP_EINVAL for another kind and for a payload that is not a valid message of
   its kind.  */
bool lg_codec_decode (uint8_t kind, struct zp_str payload, struct lg_msg *m,
                      struct zp_err *err);

#endif
