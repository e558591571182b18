/* NAME
     codec - claims, seals, records and answers as payloads of inner frames

   DESCRIPTION
     oc_encode appends the payload of M to OUT and returns its frame kind
     (WI_CLAIM to WI_SEAL).  oc_decode checks sizes, numbers and presence of
     every field, so that the other files of this package meet only messages
     that oc_encode could have written.  The caller frees OUT of oc_decode with
     oc_msg_free after success.  */

#ifndef ZP_ONCE_CODEC_H
#define ZP_ONCE_CODEC_H

#include "base/err.h"
#include "once/msg.h"

uint8_t oc_encode (const struct oc_msg *m, struct zp_buf *out);

bool oc_decode (uint8_t kind, struct zp_str payload, struct oc_msg *out,
                struct zp_err *err);

#endif
