#include "front/header.h"

#include <string.h>
#include <strings.h>

#include "base/limits.h"

/* Hop-by-hop headers, and headers that are set anew for each connection.  */
static const char *const not_forwarded[] = {
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
  "Accept-Encoding",
  "Retry-After",
};

const struct fr_header_names fr_header_names_default = {
  .deadline_ms = "Deadline-Ms",
  .request_id = "Request-Id",
  .verdict = "Run-Verdict",
  .key = "Idempotency-Key",
  .credential = "Workspace-Key",
  .workspace = "Workspace",
};

bool
fr_header_is (struct zp_str name, const char *expected)
{
  return expected && name.len == strlen (expected)
         && strncasecmp (name.ptr, expected, name.len) == 0;
}

static char
fold (char c)
{
  if (c >= 'A' && c <= 'Z')
    return (char) (c - 'A' + 'a');
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') ? c : '-';
}

/* Whether a server can take NAME for EXPECTED: gateway interfaces such as CGI
   make one character of all that are neither letters nor digits.  */
static bool
is_read_as (struct zp_str name, const char *expected)
{
  if (!expected || name.len != strlen (expected))
    return false;
  for (size_t i = 0; i < name.len; i++)
    if (fold (name.ptr[i]) != fold (expected[i]))
      return false;
  return true;
}

bool
fr_header_is_forwarded (const struct fr_header_names *names,
                        struct zp_str name)
{
  if (fr_header_is (name, names->deadline_ms)
      || fr_header_is (name, names->request_id)
      || fr_header_is (name, names->verdict) || fr_header_is (name, names->key)
      || fr_header_is (name, names->expect)
      || is_read_as (name, names->credential)
      || is_read_as (name, names->workspace)
      || fr_header_is (name, names->leaving))
    return false;
  for (size_t i = 0; i < sizeof not_forwarded / sizeof not_forwarded[0]; i++)
    if (fr_header_is (name, not_forwarded[i]))
      return false;
  return name.len > 0;
}

void
fr_header_put (const struct fr_header_names *names, struct zp_buf *block,
               struct zp_str name, struct zp_str value)
{
  if (!fr_header_is_forwarded (names, name)
      || block->len + name.len + value.len + 3 > ZP_HEADERS_MAX)
    return;
  zp_buf_printf (block, "%.*s: %.*s\n", ZP_ARG (name), ZP_ARG (value));
}

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t';
}

struct zp_str
fr_header_trim (struct zp_str s)
{
  while (s.len > 0 && is_blank (s.ptr[0]))
    {
      s.ptr++;
      s.len--;
    }
  while (s.len > 0 && is_blank (s.ptr[s.len - 1]))
    s.len--;
  return s;
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
  *value = fr_header_trim (*value);
  return true;
}

bool
fr_header_has_token (struct zp_str list, const char *token)
{
  struct zp_str part;

  while (list.len > 0)
    {
      zp_str_split (list, ',', &part, &list);
      if (fr_header_is (fr_header_trim (part), token))
        return true;
    }
  return false;
}
