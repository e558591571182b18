#include "front/framing.h"

#include <string.h>

#include "front/header.h"
#include "front/target.h"

#define METHODS (sizeof methods / sizeof methods[0])

static const struct zp_str methods[]
    = { ZP_STR ("GET"),    ZP_STR ("HEAD"),    ZP_STR ("POST"), ZP_STR ("PUT"),
        ZP_STR ("DELETE"), ZP_STR ("OPTIONS"), ZP_STR ("PATCH") };

/* Characters of a field name: "token" of RFC 9110.  */
static bool
is_token_char (char c)
{
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z')
         || (c >= 'A' && c <= 'Z')
         || (c != '\0' && strchr ("!#$%&'*+-.^_`|~", c));
}

/* Whether VALUE ends as a request line does, with " /target HTTP/1.x" or
   " * HTTP/1.x".  */
static bool
ends_like_request_line (struct zp_str value)
{
  static const char version[] = " HTTP/1.";
  const size_t n = sizeof version; /* with the digit */
  const char *target;

  if (value.len <= n || value.ptr[value.len - 1] < '0'
      || value.ptr[value.len - 1] > '9'
      || memcmp (value.ptr + value.len - n, version, n - 1) != 0)
    return false;
  target = memrchr (value.ptr, ' ', value.len - n);
  return target && (target[1] == '/' || target[1] == '*');
}

static bool
is_valid_field (struct zp_str name, struct zp_str value)
{
  if (ends_like_request_line (value))
    return false;
  for (size_t i = 0; i < name.len; i++)
    if (!is_token_char (name.ptr[i]))
      return false;
  for (size_t i = 0; i < value.len; i++)
    {
      unsigned char c = (unsigned char) value.ptr[i];
      if ((c < ' ' && c != '\t') || c == 0x7f)
        return false;
    }
  return name.len > 0;
}

static bool
begins_method (struct zp_str part)
{
  for (size_t i = 0; i < METHODS; i++)
    if (zp_str_starts (methods[i], part))
      return true;
  return false;
}

/* Whether METHOD is a part of a method and a whole one behind it.  */
static bool
is_joined_method (struct zp_str method)
{
  for (size_t i = 0; i < METHODS; i++)
    {
      struct zp_str last = methods[i], first = method;
      if (method.len <= last.len)
        continue;
      first.len -= last.len;
      if (memcmp (method.ptr + first.len, last.ptr, last.len) == 0
          && begins_method (first))
        return true;
    }
  return false;
}

/* Whether METHOD is the end of a method, without its begin.  */
static bool
is_end_of_method (struct zp_str method)
{
  for (size_t i = 0; i < METHODS; i++)
    {
      struct zp_str m = methods[i];
      if (method.len < m.len
          && memcmp (m.ptr + m.len - method.len, method.ptr, method.len) == 0)
        return true;
    }
  return false;
}

void
fr_body_read_line (struct fr_body *b, struct zp_str method,
                   struct zp_str target)
{
  if (is_joined_method (method) || is_end_of_method (method)
      || !fr_target_is_valid (target))
    b->kind = FR_BODY_UNCERTAIN;
}

static struct fr_body
read_length (struct fr_body b, struct zp_str value)
{
  const struct fr_body uncertain = { .kind = FR_BODY_UNCERTAIN };
  uint64_t n;

  if (!zp_str_u64 (value, &n))
    return uncertain;
  switch (b.kind)
    {
    case FR_BODY_NONE:
      return (struct fr_body){ .kind = FR_BODY_LENGTH, .u.length = n };
    case FR_BODY_LENGTH:
      return b.u.length == n ? b : uncertain;
    case FR_BODY_CHUNKED:
    case FR_BODY_UNCERTAIN:
      break;
    }
  return uncertain;
}

void
fr_body_read_field (struct fr_body *b, struct zp_str name, struct zp_str value)
{
  if (!is_valid_field (name, value))
    b->kind = FR_BODY_UNCERTAIN;
  else if (fr_header_is (name, "Content-Length"))
    *b = read_length (*b, value);
  else if (fr_header_is (name, "Transfer-Encoding"))
    b->kind = b->kind == FR_BODY_NONE && fr_header_is (value, "chunked")
                  ? FR_BODY_CHUNKED
                  : FR_BODY_UNCERTAIN;
}

void
fr_body_read_trailer (struct fr_body *b, struct zp_str name,
                      struct zp_str value)
{
  if (!is_valid_field (name, value))
    b->kind = FR_BODY_UNCERTAIN;
}

void
fr_body_read_version (struct fr_body *b, struct zp_str version)
{
  if (b->kind == FR_BODY_CHUNKED && zp_str_eq (version, ZP_STR ("HTTP/1.0")))
    b->kind = FR_BODY_UNCERTAIN;
}

bool
fr_body_is_whole (const struct fr_body *b, uint64_t received)
{
  switch (b->kind)
    {
    case FR_BODY_NONE:
      return received == 0;
    case FR_BODY_LENGTH:
      return received == b->u.length;
    case FR_BODY_CHUNKED:
      return true;
    case FR_BODY_UNCERTAIN:
      break;
    }
  return false;
}
