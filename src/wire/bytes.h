/* NAME
     bytes - converts strings and messages between protobuf-c and struct zp_str

   DESCRIPTION
     A bytes field of protobuf-c has a pointer to bytes that are not constant.
     Packing only reads them, so wi_bytes can put a view of constant bytes
     there.  */

#ifndef ZP_WIRE_BYTES_H
#define ZP_WIRE_BYTES_H

#include <protobuf-c/protobuf-c.h>

#include "base/str.h"

/* Both convert without copying: the bytes have to outlive the result.  */
ProtobufCBinaryData wi_bytes (struct zp_str s);
struct zp_str wi_view (ProtobufCBinaryData b);

/* Packs the message M and appends it to OUT.  */
void wi_pack (struct zp_buf *out, const ProtobufCMessage *m);

/* Unpacks a message of type D.  Returns NULL when PAYLOAD is not one.  Views
   of its bytes fields are valid until wi_free, which accepts NULL.  */
void *wi_unpack (const ProtobufCMessageDescriptor *d, struct zp_str payload);
void wi_free (void *message);

#endif
