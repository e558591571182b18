/* NAME
     codec - the messages of src/once as payloads of inner frames

   DESCRIPTION
     oc_encode appends the payload of M to OUT and returns the kind of its
     frame (WI_CLAIM, WI_SEAL, WI_RECORD or WI_CLAIM_ANSWER).

     oc_decode checks the size, the range and the presence of every field, so
     that the other files of this folder see only messages that oc_encode can
     have written.

   RETURN VALUE
     oc_decode returns true and fills OUT, which the caller frees with
     oc_msg_free.  It returns false and fills ERR otherwise; OUT then holds no
     buffers.

   ERRORS
     ZP_EINVAL   KIND is not a message of src/once, or a field is missing or
                 has no valid value.
     ZP_ELIMIT   A key, body or content type is too long, or a key is empty.
     ZP_ECORRUPT PAYLOAD is not a protobuf message of this kind.  */

#ifndef ZP_ONCE_CODEC_H
#define ZP_ONCE_CODEC_H

#include "base/err.h"
#include "once/msg.h"

uint8_t oc_encode (const struct oc_msg *m, struct zp_buf *out);

bool oc_decode (uint8_t kind, struct zp_str payload, struct oc_msg *out,
                struct zp_err *err);

#endif
