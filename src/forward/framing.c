#include "forward/framing.h"

#include <string.h>

#include "front/header.h"

/* Removes the end of line.  Returns false when LINE has none: a line that ends
   without CR can be one whose CR was spoiled, and became a part of a value.  */
static bool
strip_line_end (struct zp_str *line)
{
  if (line->len < 2 || line->ptr[line->len - 2] != '\r'
      || line->ptr[line->len - 1] != '\n')
    return false;
  line->len -= 2;
  return true;
}

static bool
is_digit (char c)
{
  return c >= '0' && c <= '9';
}

/* Bytes of a part of a status line in which one may be spoiled; in a shorter
   part too many other texts would resemble it.  */
#define SPOILED_PART_MIN 4

/* Whether C can be the character I of a status line.  */
static bool
fits_status_line (char c, size_t i)
{
  static const char form[FW_STATUS_LINE_MIN + 1] = FW_VERSION "0 500";

  if (i == FW_STATUS_LINE_MIN - 3)
    return c >= '1' && c <= '5';
  return is_digit (form[i]) && i >= sizeof FW_VERSION - 1 ? is_digit (c)
                                                          : c == form[i];
}

/* How many bytes of the begin of TEXT are not those of a status line; 2 also
   for more.  */
static unsigned
spoiled_bytes (struct zp_str text)
{
  unsigned n = 0;

  for (size_t i = 0; i < text.len && i < FW_STATUS_LINE_MIN && n < 2; i++)
    n += !fits_status_line (text.ptr[i], i);
  return n;
}

bool
fw_can_begin_status_line (struct zp_str text)
{
  return spoiled_bytes (text) <= (text.len >= SPOILED_PART_MIN);
}

bool
fw_begins_status_line (struct zp_str text)
{
  return text.len >= FW_STATUS_LINE_MIN && spoiled_bytes (text) == 0;
}

/* Bytes that are searched at once: with the address sanitizer, memmem looks at
   all of them before it returns the first match.  */
#define WINDOW 4096

const char *
fw_find_status_line (struct zp_str text)
{
  const char *end = text.ptr + text.len;
  const size_t len = sizeof FW_VERSION - 1;

  for (const char *p = text.ptr; p + FW_STATUS_LINE_MIN <= end;)
    {
      size_t left = (size_t) (end - p), n = left < WINDOW ? left : WINDOW;
      const char *found = memmem (p, n, FW_VERSION, len);
      if (!found)
        p += n == left ? n : n - len + 1;
      else if (fw_begins_status_line ((struct zp_str){
                   .ptr = found, .len = (size_t) (end - found) }))
        return found;
      else
        p = found + 1;
    }
  return NULL;
}

bool
fw_contains_status_line (struct zp_str text)
{
  for (size_t i = 1; i + FW_STATUS_LINE_MIN <= text.len; i++)
    if (fw_can_begin_status_line (
            (struct zp_str){ .ptr = text.ptr + i, .len = text.len - i }))
      return true;
  return false;
}

/* Reads "HTTP/1.x NNN", with or without a reason after it.  */
static bool
read_status_line (struct fw_framing *f, struct zp_str line)
{
  const char *digit = line.ptr + FW_STATUS_LINE_MIN - 3;

  if (!fw_begins_status_line (line)
      || (line.len > FW_STATUS_LINE_MIN
          && line.ptr[FW_STATUS_LINE_MIN] != ' '))
    return false;
  f->closes = zp_str_starts (line, ZP_STR ("HTTP/1.0"));
  f->status = (unsigned) ((digit[0] - '0') * 100 + (digit[1] - '0') * 10
                          + digit[2] - '0');
  return true;
}

/* Characters of a field name: "token" of RFC 9110.  */
static bool
is_token_char (char c)
{
  return is_digit (c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
         || (c != '\0' && strchr ("!#$%&'*+-.^_`|~", c));
}

static bool
is_value_char (char c)
{
  return c == '\t' || ((unsigned char) c >= ' ' && c != 0x7f);
}

static bool
is_field_line (struct zp_str line)
{
  size_t i = 0;

  while (i < line.len && is_token_char (line.ptr[i]))
    i++;
  if (i == 0 || i == line.len || line.ptr[i] != ':')
    return false;
  while (++i < line.len)
    if (!is_value_char (line.ptr[i]))
      return false;
  return true;
}

/* A second length is not valid, and neither is one beside chunks.  */
static bool
read_length (struct fw_body *body, struct zp_str value)
{
  uint64_t n;

  if (!zp_str_u64 (value, &n))
    return false;
  switch (body->kind)
    {
    case FW_BODY_TO_CLOSE:
      *body = (struct fw_body){ .kind = FW_BODY_LENGTH, .u.length = n };
      return true;
    case FW_BODY_LENGTH:
    case FW_BODY_CHUNKED:
    case FW_BODY_NONE:
      break;
    }
  return false;
}

static bool
read_field (struct fw_framing *f, struct zp_str line)
{
  struct zp_str name, value;

  if (!is_field_line (line) || !fr_header_next (&line, &name, &value))
    return false;
  if (fr_header_is (name, "Content-Length"))
    return read_length (&f->body, value);
  if (fr_header_is (name, "Connection"))
    f->closes = f->closes || fr_header_has_token (value, "close");
  if (!fr_header_is (name, "Transfer-Encoding"))
    return true;
  if (!fr_header_is (value, "chunked") || f->body.kind != FW_BODY_TO_CLOSE)
    return false;
  f->body.kind = FW_BODY_CHUNKED;
  return true;
}

static enum fw_line
end_head (struct fw_framing *f)
{
  /* No request asks for another protocol.  */
  if (f->status == 101)
    return FW_LINE_MALFORMED;
  if (f->status < 200)
    {
      f->state = FW_AT_STATUS_LINE;
      return FW_LINE_INTERIM_END;
    }
  f->state = FW_IN_BODY;
  if (f->head_request || f->status == 204 || f->status == 304)
    f->body.kind = FW_BODY_NONE;
  if (f->body.kind == FW_BODY_TO_CLOSE && !f->closes)
    return FW_LINE_MALFORMED;
  return FW_LINE_HEAD_END;
}

static enum fw_line
read_line (struct fw_framing *f, struct zp_str line)
{
  if (!strip_line_end (&line) || fw_contains_status_line (line))
    return FW_LINE_MALFORMED;
  switch (f->state)
    {
    case FW_AT_STATUS_LINE:
      f->body = (struct fw_body){ .kind = FW_BODY_TO_CLOSE };
      if (!read_status_line (f, line))
        break;
      f->state = FW_IN_HEAD;
      return FW_LINE_STATUS;
    case FW_IN_HEAD:
      if (line.len == 0)
        return end_head (f);
      if (!read_field (f, line))
        break;
      return FW_LINE_FIELD;
    case FW_IN_BODY:
      if (f->body.kind != FW_BODY_CHUNKED
          || (line.len > 0 && !is_field_line (line)))
        break;
      return FW_LINE_TRAILER;
    case FW_MALFORMED:
      break;
    }
  return FW_LINE_MALFORMED;
}

enum fw_line
fw_framing_line (struct fw_framing *f, struct zp_str line)
{
  enum fw_line kind = read_line (f, line);

  if (kind == FW_LINE_MALFORMED)
    f->state = FW_MALFORMED;
  return kind;
}

bool
fw_framing_is_whole (const struct fw_framing *f, uint64_t received)
{
  if (f->state != FW_IN_BODY)
    return false;
  switch (f->body.kind)
    {
    case FW_BODY_LENGTH:
      return received == f->body.u.length;
    case FW_BODY_NONE:
      return received == 0;
    case FW_BODY_TO_CLOSE:
    case FW_BODY_CHUNKED:
      break;
    }
  return true;
}
