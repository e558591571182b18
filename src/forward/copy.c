#include "forward/copy.h"

#include <string.h>

/* Bytes of a line that can be a status line.  */
#define STATUS_MAX 256

enum head_kind
{
  HEAD_NONE,  /* not the head of an answer */
  HEAD_BEGIN, /* cut off before its request id */
  HEAD_PART,  /* cut off or spoiled */
  HEAD_OTHER,
  HEAD_EQUAL, /* the head of the first answer once more */
};

/* Removes the first line, of at most MAX bytes with its end.  */
static bool
next_line (struct zp_str *rest, size_t max, struct zp_str *line)
{
  size_t len = rest->len < max ? rest->len : max;
  const char *end = memchr (rest->ptr, '\n', len);

  if (!end)
    return false;
  line->ptr = rest->ptr;
  line->len = (size_t) (end - rest->ptr) + 1;
  rest->ptr += line->len;
  rest->len -= line->len;
  return true;
}

/* Whether a line that begins with PART can have the form that F expects.  */
static bool
can_begin_line (struct fw_framing f, struct zp_str part)
{
  struct zp_buf line = { .ptr = NULL };

  if (part.len > 0 && part.ptr[part.len - 1] == '\r')
    part.len--;
  if (part.len == 0)
    return true;
  zp_buf_put (&line, part);
  if (f.state == FW_IN_HEAD && !memchr (part.ptr, ':', part.len))
    zp_buf_put (&line, ZP_STR (":"));
  zp_buf_put (&line, ZP_STR ("\r\n"));
  bool fits = fw_framing_line (&f, zp_str_of (&line)) != FW_LINE_MALFORMED;
  zp_buf_free (&line);
  return fits;
}

static bool
is_part_of_status_line (const struct fw_answer *a, struct zp_str part)
{
  struct zp_str line = { .ptr = a->status_line, .len = a->status_len };

  return part.len >= FW_STATUS_LINE_MIN && zp_str_starts (line, part);
}

/* Whether the body that F announces has the length of REST.  */
static bool
ends_with (const struct fw_framing *f, struct zp_str rest)
{
  switch (f->body.kind)
    {
    case FW_BODY_LENGTH:
      return f->body.u.length == rest.len;
    case FW_BODY_NONE:
      return rest.len == 0;
    case FW_BODY_TO_CLOSE:
    case FW_BODY_CHUNKED:
      break;
    }
  return true;
}

/* Reads the head of an answer, and removes it when it is whole.  ENDS: whether
   its body ends with REST, as far as the head tells.  */
static enum head_kind
read_head (const struct fw_answer *a, struct zp_str *rest, bool *ends)
{
  struct fw_framing f = { .head_request = a->framing.head_request };
  uint64_t hash = 0;
  bool has_id = false, same_status = false;
  struct zp_str line, field, name, value;

  while (next_line (
      rest, f.state == FW_AT_STATUS_LINE ? STATUS_MAX : FW_HEAD_MAX, &line))
    switch (fw_framing_line (&f, line))
      {
      case FW_LINE_STATUS:
        hash = zp_str_hash (line, 0);
        same_status = hash == a->status_hash;
        break;
      case FW_LINE_FIELD:
        hash = zp_str_hash (line, hash);
        field = line;
        if (fr_header_next (&field, &name, &value))
          has_id = has_id || fr_header_is (name, a->names->request_id);
        break;
      case FW_LINE_HEAD_END:
        *ends = ends_with (&f, *rest);
        if (zp_str_hash (line, hash) == a->head_hash)
          return HEAD_EQUAL;
        return has_id || !a->has_id ? HEAD_OTHER : HEAD_NONE;
      case FW_LINE_INTERIM_END:
      case FW_LINE_TRAILER:
        return has_id ? HEAD_OTHER : HEAD_NONE;
      case FW_LINE_MALFORMED:
        return has_id ? HEAD_PART : HEAD_NONE;
      }
  if (f.state == FW_AT_STATUS_LINE)
    return is_part_of_status_line (a, *rest) ? HEAD_BEGIN : HEAD_NONE;
  if (has_id)
    return HEAD_PART;
  return same_status && rest->len < FW_HEAD_MAX && can_begin_line (f, *rest)
             ? HEAD_BEGIN
             : HEAD_NONE;
}

/* How a second answer in a body ends.  */
enum ending
{
  ENDING_CUT,   /* perhaps early, with its connection */
  ENDING_EXACT, /* where the body ends */
};

static struct fw_copy
search (const struct fw_answer *a, struct zp_str body, enum ending ending)
{
  struct zp_str rest = body;
  const char *found;

  while ((found = fw_find_status_line (rest)))
    {
      struct zp_str first
          = { .ptr = body.ptr, .len = (size_t) (found - body.ptr) };
      struct zp_str second = { .ptr = found, .len = body.len - first.len };
      rest = (struct zp_str){ .ptr = found + 1, .len = second.len - 1 };
      bool ends = true;
      enum head_kind kind = read_head (a, &second, &ends);
      if (ending == ENDING_EXACT && !ends)
        continue;
      switch (kind)
        {
        case HEAD_NONE:
          break;
        case HEAD_BEGIN:
          if (ending == ENDING_EXACT)
            break;
          return (struct fw_copy){ .kind = FW_COPY_OTHER };
        case HEAD_PART:
        case HEAD_OTHER:
          return (struct fw_copy){ .kind = FW_COPY_OTHER };
        case HEAD_EQUAL:
          if (!zp_str_eq (first, second))
            return (struct fw_copy){ .kind = FW_COPY_OTHER };
          return (struct fw_copy){ .kind = FW_COPY_EQUAL,
                                   .u.body_len = first.len };
        }
    }
  return (struct fw_copy){ .kind = FW_COPY_NONE };
}

struct fw_copy
fw_copy_find (const struct fw_answer *a, struct zp_str body)
{
  return search (a, body, ENDING_CUT);
}

/* Whether a status line begins anywhere in BODY, or its end can be the begin
   of one.  */
static bool
has_status_line (struct zp_str body)
{
  if (fw_begins_status_line (body) || fw_contains_status_line (body))
    return true;
  for (size_t n = 1; n < FW_STATUS_LINE_MIN && n <= body.len; n++)
    if (fw_can_begin_status_line (
            (struct zp_str){ .ptr = body.ptr + body.len - n, .len = n }))
      return true;
  return false;
}

bool
fw_copy_completes (const struct fw_answer *a, struct zp_str body,
                   struct fw_surplus surplus)
{
  switch (surplus.kind)
    {
    case FW_SURPLUS_KNOWN:
      if (surplus.u.bytes > 0)
        return has_status_line (body);
      break;
    case FW_SURPLUS_UNKNOWN:
      if (fw_find_status_line (body))
        return true;
      break;
    }
  return search (a, body, ENDING_EXACT).kind != FW_COPY_NONE;
}
