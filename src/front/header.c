#include "front/header.h"

#include <string.h>
#include <strings.h>

#include "base/limits.h"

/* Headers of one connection, or set anew by zinniapost on each side.  */
static const char *const own_headers[] = {
  "Connection",
  "Keep-Alive",
  "Proxy-Authenticate",
  "TE",
  "Proxy-Connection",
  "Trailer",
  "Upgrade",
  "Transfer-Encoding",
  "Content-Length",
  "Content-Type",
  "Host",
  "Date",
  "Expect",
  "Run-Verdict",
  "Request-Id",
  "Deadline-Ms",
  "Idempotency-Key",
  "Accept-Encoding",
  "Retry-After",
};

bool
fr_header_is (struct zp_str name, const char *want)
{
  return name.len == strlen (want)
         && strncasecmp (name.ptr, want, name.len) == 0;
}

bool
fr_header_passes (struct zp_str name)
{
  for (size_t i = 0; i < sizeof own_headers / sizeof own_headers[0]; i++)
    if (fr_header_is (name, own_headers[i]))
      return false;
  return name.len > 0;
}

void
fr_header_put (struct zp_buf *block, struct zp_str name, struct zp_str value)
{
  if (!fr_header_passes (name)
      || block->len + name.len + value.len + 3 > ZP_HEADERS_MAX)
    return;
  zp_buf_printf (block, "%.*s: %.*s\n", ZP_ARG (name), ZP_ARG (value));
}

bool
fr_header_next (struct zp_str *rest, struct zp_str *name, struct zp_str *value)
{
  struct zp_str line, tail;

  if (rest->len == 0)
    return false;
  zp_str_split (*rest, '\n', &line, &tail);
  *rest = tail;
  if (line.len > 0 && line.ptr[line.len - 1] == '\r')
    line.len--;
  zp_str_split (line, ':', name, value);
  while (value->len > 0 && value->ptr[0] == ' ')
    {
      value->ptr++;
      value->len--;
    }
  while (value->len > 0 && value->ptr[value->len - 1] == ' ')
    value->len--;
  return true;
}
