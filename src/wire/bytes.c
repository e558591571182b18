#include "wire/bytes.h"

#include <stdlib.h>

ProtobufCBinaryData
wi_bytes (struct zp_str s)
{
  union
  {
    const char *in;
    uint8_t *out;
  } p = { .in = s.ptr };

  return (ProtobufCBinaryData){ .len = s.len, .data = p.out };
}

struct zp_str
wi_view (ProtobufCBinaryData b)
{
  return (struct zp_str){ .ptr = (const char *) b.data, .len = b.len };
}

void
wi_pack (struct zp_buf *out, const ProtobufCMessage *m)
{
  size_t n = protobuf_c_message_get_packed_size (m);
  uint8_t *p = zp_alloc (n);

  protobuf_c_message_pack (m, p);
  zp_buf_put_bytes (out, p, n);
  free (p);
}

void *
wi_unpack (const ProtobufCMessageDescriptor *d, struct zp_str payload)
{
  return protobuf_c_message_unpack (d, NULL, payload.len,
                                    (const uint8_t *) payload.ptr);
}

void
wi_free (void *message)
{
  if (message)
    protobuf_c_message_free_unpacked (message, NULL);
}
