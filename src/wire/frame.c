#include "wire/frame.h"

#include <arpa/inet.h>
#include <assert.h>
#include <string.h>

#include "base/limits.h"

void
wi_frame_put (struct zp_buf *out, uint8_t kind, struct zp_str payload)
{
  unsigned char head[WI_HEADER_SIZE] = { 0 };
  uint32_t len = htonl ((uint32_t) payload.len);

  assert (payload.len <= ZP_FRAME_MAX);
  memcpy (head, &len, 4);
  head[4] = WI_VERSION;
  head[5] = kind;
  zp_buf_put_bytes (out, head, sizeof head);
  zp_buf_put (out, payload);
}

enum wi_parse
wi_frame_parse (struct zp_str bytes, uint8_t *kind, struct zp_str *payload,
                size_t *used, struct zp_err *err)
{
  const unsigned char *p = (const unsigned char *) bytes.ptr;
  uint32_t len;

  if (bytes.len < WI_HEADER_SIZE)
    return WI_PARSE_MORE;
  memcpy (&len, p, 4);
  len = ntohl (len);
  if (p[4] != WI_VERSION)
    {
      zp_fail (err, ZP_EINVAL, "protocol version %u, expected %u", p[4],
               WI_VERSION);
      return WI_PARSE_BAD;
    }
  if (p[6] != 0 || p[7] != 0)
    {
      zp_fail (err, ZP_ECORRUPT, "reserved header bytes are not zero");
      return WI_PARSE_BAD;
    }
  if (len > ZP_FRAME_MAX)
    {
      zp_fail (err, ZP_ELIMIT, "frame of %u bytes, limit %u", len,
               ZP_FRAME_MAX);
      return WI_PARSE_BAD;
    }
  if (bytes.len - WI_HEADER_SIZE < len)
    return WI_PARSE_MORE;
  *kind = p[5];
  *payload = (struct zp_str){ .ptr = bytes.ptr + WI_HEADER_SIZE, .len = len };
  *used = WI_HEADER_SIZE + (size_t) len;
  return WI_PARSE_FRAME;
}
