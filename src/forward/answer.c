#include "forward/answer.h"

#include <string.h>

#include "base/log.h"

#define PART "forward"

/* Digits of a fraction that are read: microseconds.  */
#define FRACTION_DIGITS 6

/* Parses "running,waiting,slots" or "running,waiting,slots,pace".  A malformed
   value leaves OUT unchanged.  */
static void
read_load (struct zp_str value, struct tk_server_load *out)
{
  struct zp_str part, rest = value;
  uint64_t n[3], pace = 0;
  bool more = true;

  for (int i = 0; i < 3; i++)
    {
      more = zp_str_split (rest, ',', &part, &rest);
      if (!zp_str_u64 (part, &n[i]) || n[i] > ZP_SERVER_SLOTS_MAX)
        return;
    }
  if (more
      && (!zp_str_u64 (rest, &pace) || pace < ZP_SERVER_PACE_MIN
          || pace > ZP_SERVER_PACE_MAX))
    return;
  *out = (struct tk_server_load){ .known = true,
                                  .running = (unsigned) n[0],
                                  .waiting = (unsigned) n[1],
                                  .slots = (unsigned) n[2],
                                  .pace = (unsigned) pace };
}

static bool
only_digits (struct zp_str s)
{
  for (size_t i = 0; i < s.len; i++)
    if (s.ptr[i] < '0' || s.ptr[i] > '9')
      return false;
  return s.len > 0;
}

/* The digits S after the decimal point as a duration.  */
static zp_time
fraction_of (struct zp_str s)
{
  zp_time unit = ZP_SEC, t = 0;

  for (size_t i = 0; i < s.len && i < FRACTION_DIGITS; i++)
    {
      unit /= 10;
      t += (s.ptr[i] - '0') * unit;
    }
  return t;
}

bool
fw_retry_after_parse (struct zp_str value, zp_time *out)
{
  struct zp_str whole, fraction;
  uint64_t seconds;
  bool has_point = zp_str_split (value, '.', &whole, &fraction);

  if (!only_digits (whole) || (has_point && !only_digits (fraction)))
    return false;
  if (!zp_str_u64 (whole, &seconds)
      || seconds >= (uint64_t) (FW_RETRY_AFTER_MAX / ZP_SEC))
    *out = FW_RETRY_AFTER_MAX;
  else
    *out = (zp_time) seconds * ZP_SEC + fraction_of (fraction);
  return true;
}

static void
read_retry_after (struct zp_str value, struct tk_forward_done *out)
{
  if (!fw_retry_after_parse (value, &out->retry_after))
    zp_log (ZP_LOG_INFO, PART, "ignored a Retry-After of a server: \"%.*s\"",
            ZP_ARG (value));
  else if (out->retry_after == FW_RETRY_AFTER_MAX)
    zp_log (ZP_LOG_NOTICE, PART,
            "reduced a Retry-After of a server, \"%.*s\", to %d s",
            ZP_ARG (value), (int) (FW_RETRY_AFTER_MAX / ZP_SEC));
}

/* Forgets the headers of an interim answer.  */
static void
begin_answer (struct fw_answer *a, struct tk_forward_done *out)
{
  zp_buf_clear (&out->headers);
  zp_buf_clear (&out->content_type);
  a->has_id = false;
  a->has_verdict = false;
  a->not_run = false;
  a->fields = 0;
  out->load = (struct tk_server_load){ .known = false };
  out->stamped = false;
  out->leaving = false;
  out->retry_after = 0;
}

/* Fields that stand at most once in a head.  */
enum field
{
  FIELD_OTHER, /* may stand several times */
  FIELD_CONTENT_TYPE,
  FIELD_DATE,
  FIELD_ID,
  FIELD_LEAVING,
  FIELD_LOAD,
  FIELD_NOT_RUN,
  FIELD_RETRY_AFTER,
  FIELD_STAMP,
  FIELD_VERDICT,
};

static enum field
field_of (const struct fr_header_names *names, struct zp_str name)
{
  const struct
  {
    const char *name;
    enum field field;
  } known[] = {
    { "Content-Type", FIELD_CONTENT_TYPE },
    { "Date", FIELD_DATE },
    { names->request_id, FIELD_ID },
    { names->leaving, FIELD_LEAVING },
    { names->load, FIELD_LOAD },
    { names->not_run, FIELD_NOT_RUN },
    { "Retry-After", FIELD_RETRY_AFTER },
    { names->stamp, FIELD_STAMP },
    { names->verdict, FIELD_VERDICT },
  };

  for (size_t i = 0; i < sizeof known / sizeof known[0]; i++)
    if (fr_header_is (name, known[i].name))
      return known[i].field;
  return FIELD_OTHER;
}

/* Whether FIELD is in the head for the first time, if it may be in it only
   once.  */
static bool
note_field (struct fw_answer *a, enum field field)
{
  unsigned bit = 1U << field;

  if (field != FIELD_OTHER && (a->fields & bit))
    return false;
  a->fields |= bit;
  return true;
}

/* Returns false when the field shows that this is not the answer to the
   request, or not one answer.  */
static bool
read_field (struct fw_answer *a, struct zp_str line,
            struct tk_forward_done *out)
{
  const struct fr_header_names *names = a->names;
  struct zp_str name, value;
  enum field field;

  if (!fr_header_next (&line, &name, &value))
    return true;
  field = field_of (names, name);
  if (field == FIELD_ID && !zp_str_eq (value, a->request_id))
    {
      a->has_id = a->foreign_id = true;
      return false;
    }
  if (!note_field (a, field))
    {
      a->framing.state = FW_MALFORMED;
      return false;
    }
  switch (field)
    {
    case FIELD_CONTENT_TYPE:
      zp_buf_put (&out->content_type, value);
      return true;
    case FIELD_ID:
      a->has_id = true;
      return true;
    case FIELD_LEAVING:
      out->leaving = true;
      return true;
    case FIELD_RETRY_AFTER:
      read_retry_after (value, out);
      return true;
    case FIELD_VERDICT:
      a->has_verdict = zp_verdict_parse (value, &a->verdict);
      return true;
    case FIELD_LOAD:
      read_load (value, &out->load);
      break;
    case FIELD_NOT_RUN:
      a->not_run = true;
      break;
    case FIELD_STAMP:
      out->stamped = true;
      break;
    case FIELD_DATE:
    case FIELD_OTHER:
      break;
    }
  fr_header_put (names, &out->headers, name, value);
  return true;
}

bool
fw_answer_line (struct fw_answer *a, struct zp_str line,
                struct tk_forward_done *out)
{
  a->head_bytes += line.len;
  if (a->head_bytes > FW_HEAD_MAX)
    {
      a->framing.state = FW_MALFORMED;
      return false;
    }
  switch (fw_framing_line (&a->framing, line))
    {
    case FW_LINE_STATUS:
      begin_answer (a, out);
      a->head_hash = a->status_hash = zp_str_hash (line, 0);
      a->status_len
          = line.len < FW_STATUS_LINE_MAX ? line.len : FW_STATUS_LINE_MAX;
      memcpy (a->status_line, line.ptr, a->status_len);
      return true;
    case FW_LINE_FIELD:
      a->head_hash = zp_str_hash (line, a->head_hash);
      return read_field (a, line, out);
    case FW_LINE_TRAILER:
      a->trailer_bytes += line.len;
      return true;
    case FW_LINE_INTERIM_END:
      return true;
    case FW_LINE_HEAD_END:
      a->head_hash = zp_str_hash (line, a->head_hash);
      return fw_answer_is_own (a);
    case FW_LINE_MALFORMED:
      break;
    }
  return false;
}

bool
fw_answer_bytes (struct fw_answer *a, struct zp_str *bytes,
                 struct zp_str *body, struct tk_forward_done *out)
{
  *body = *bytes;
  if (a->framing.body.kind != FW_BODY_CHUNKED)
    {
      bytes->len = 0;
      return true;
    }
  body->len = 0;
  struct fw_piece piece = fw_chunks_read (&a->chunks, bytes);
  switch (piece.kind)
    {
    case FW_PIECE_DATA:
      *body = piece.u.bytes;
      return true;
    case FW_PIECE_TRAILER:
      return fw_answer_line (a, piece.u.bytes, out);
    case FW_PIECE_END:
      bytes->len = 0;
      return true;
    case FW_PIECE_NONE:
      return true;
    case FW_PIECE_MALFORMED:
      break;
    }
  a->framing.state = FW_MALFORMED;
  return false;
}

static bool
is_whole (const struct fw_answer *a, uint64_t received)
{
  return fw_framing_is_whole (&a->framing, received)
         && (a->framing.body.kind != FW_BODY_CHUNKED
             || fw_chunks_are_whole (&a->chunks));
}

uint64_t
fw_answer_size (const struct fw_answer *a, uint64_t received)
{
  /* Trailer lines are counted with the head, too.  */
  return a->framing.body.kind == FW_BODY_CHUNKED
             ? a->head_bytes - a->trailer_bytes + a->chunks.taken
             : a->head_bytes + received;
}

void
fw_answer_free (struct fw_answer *a)
{
  fw_chunks_free (&a->chunks);
}

enum fw_answer_state
fw_answer_state (const struct fw_answer *a, bool ended, uint64_t received)
{
  if (a->framing.state == FW_MALFORMED)
    return FW_ANSWER_MALFORMED;
  if (a->foreign_id
      || (a->framing.state == FW_IN_BODY && !fw_answer_is_own (a)))
    return FW_ANSWER_FOREIGN;
  return ended && is_whole (a, received) ? FW_ANSWER_WHOLE : FW_ANSWER_CUT;
}

bool
fw_answer_is_own (const struct fw_answer *a)
{
  if (a->foreign_id)
    return false;
  return a->has_id || !a->reused || !a->names->answers_have_id;
}

enum zp_verdict
fw_answer_verdict (const struct fw_answer *a, unsigned status)
{
  bool says_not_run
      = (status == 503 && a->has_verdict && a->verdict == ZP_NOT_RUN)
        || a->not_run || (status == 421 && a->expects_instance);

  /* Without an id this can be a copy of an earlier refusal.  */
  if (says_not_run)
    return a->has_id || !a->reused ? ZP_NOT_RUN : ZP_MAY_HAVE_RUN;
  if (a->has_verdict && a->verdict == ZP_MAY_HAVE_RUN)
    return ZP_MAY_HAVE_RUN;
  return ZP_RAN;
}
