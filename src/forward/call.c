#include "forward/call.h"

#include <inttypes.h>
#include <string.h>

/* The server need not wait longer for a slot.  */
#define DEADLINE_MS 1000

void
fw_call_begin (struct fw_call *c, const struct fr_header_names *names,
               struct zp_str address, struct zp_str path, uint64_t n,
               struct zp_buf *out)
{
  fw_call_free (c);
  zp_buf_printf (&c->id, "w%016" PRIx64, n);
  c->done = tk_msg_new (TK_FORWARD_DONE);
  c->answer
      = (struct fw_answer){ .names = names, .request_id = zp_str_of (&c->id) };
  zp_buf_printf (out,
                 "GET %.*s HTTP/1.1\r\nHost: %.*s\r\n%s: %.*s\r\n"
                 "%s: %d\r\n\r\n",
                 ZP_ARG (path), ZP_ARG (address), names->request_id,
                 ZP_ARG (zp_str_of (&c->id)), names->deadline_ms, DEADLINE_MS);
}

/* Moves one line of the head from BYTES.  Returns false when it is not
   valid.  */
static bool
read_line (struct fw_call *c, struct zp_str *bytes)
{
  const char *end = memchr (bytes->ptr, '\n', bytes->len);
  size_t len = end ? (size_t) (end - bytes->ptr) + 1 : bytes->len;

  zp_buf_put_bytes (&c->line, bytes->ptr, len);
  bytes->ptr += len;
  bytes->len -= len;
  if (!end)
    return c->line.len <= FW_HEAD_MAX;
  bool valid
      = fw_answer_line (&c->answer, zp_str_of (&c->line), &c->done->u.done);
  zp_buf_clear (&c->line);
  return valid;
}

static bool
read_body (struct fw_call *c, struct zp_str *bytes)
{
  struct fw_answer *a = &c->answer;
  uint64_t taken = a->chunks.taken;
  size_t before = bytes->len;
  struct zp_str body;

  if (!fw_answer_bytes (a, bytes, &body, &c->done->u.done))
    return false;
  /* Bytes behind the last chunk are not taken.  */
  if (a->framing.body.kind == FW_BODY_CHUNKED
      && a->chunks.taken - taken != before - bytes->len)
    return false;
  c->received += body.len;
  return c->received <= FW_CALL_BODY_MAX;
}

enum fw_call_result
fw_call_read (struct fw_call *c, struct zp_str bytes)
{
  const struct fw_framing *f = &c->answer.framing;

  if (!c->done)
    return FW_CALL_BROKEN;
  while (bytes.len > 0)
    if (!(f->state == FW_IN_BODY ? read_body (c, &bytes)
                                 : read_line (c, &bytes)))
      return FW_CALL_BROKEN;
  if (f->state != FW_IN_BODY)
    return FW_CALL_PENDING;
  if (f->closes || f->body.kind == FW_BODY_TO_CLOSE
      || (f->body.kind == FW_BODY_LENGTH && c->received > f->body.u.length)
      || (f->body.kind == FW_BODY_NONE && c->received > 0))
    return FW_CALL_BROKEN;
  /* The end of the trailer has to come, too, or it would be the begin of the
     next answer.  */
  if (f->body.kind == FW_BODY_CHUNKED
      && c->answer.chunks.state != FW_CHUNKS_ENDED)
    return FW_CALL_PENDING;
  return fw_answer_state (&c->answer, true, c->received) == FW_ANSWER_WHOLE
             ? FW_CALL_ANSWERED
             : FW_CALL_PENDING;
}

void
fw_call_free (struct fw_call *c)
{
  fw_answer_free (&c->answer);
  if (c->done)
    tk_msg_free (c->done);
  zp_buf_free (&c->line);
  zp_buf_free (&c->id);
  *c = (struct fw_call){ .done = NULL };
}
