/* NAME
     bytes - length-counted strings to and from protobuf-c byte fields

   DESCRIPTION
     The generated code does not write to a bytes field that is packed, so a
     view of constant bytes may stand in one.  */

#ifndef ZP_WIRE_BYTES_H
#define ZP_WIRE_BYTES_H

#include <protobuf-c/protobuf-c.h>

#include "base/str.h"

ProtobufCBinaryData wi_bytes (struct zp_str s);
struct zp_str wi_view (ProtobufCBinaryData b);

/* Appends the packed message M.  */
void wi_pack (struct zp_buf *out, const ProtobufCMessage *m);

/* Unpacks a message of type D, or returns NULL.  Views of its byte fields live
   until wi_free.  */
void *wi_unpack (const ProtobufCMessageDescriptor *d, struct zp_str payload);
void wi_free (void *message);

#endif
