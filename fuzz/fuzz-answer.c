/* Fuzz target for libFuzzer: bytes received from a backend server.

   The first byte tells whether the connection was used before and how the body
   is split; the rest is read as the answer to the request r2.

   Guards against an answer that ends the process, and against a body whose
   content depends on how the network splits it.  */

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "forward/copy.h"

int LLVMFuzzerInitialize (int *argc, char ***argv);
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerInitialize (int *argc, char ***argv)
{
  (void) argc;
  (void) argv;
  zp_log_open ("fuzz", ZP_LOG_ERR, 2);
  return 0;
}

/* Reads the lines of the head.  Returns false when the answer is not read
   on.  */
static bool
read_head (struct fw_answer *a, struct zp_str *rest,
           struct tk_forward_done *done)
{
  while (a->framing.state != FW_IN_BODY)
    {
      const char *end = memchr (rest->ptr, '\n', rest->len);
      if (!end)
        return false;
      size_t n = (size_t) (end - rest->ptr) + 1;
      if (!fw_answer_line (a, (struct zp_str){ .ptr = rest->ptr, .len = n },
                           done))
        return false;
      rest->ptr += n;
      rest->len -= n;
    }
  return true;
}

/* Reads STREAM with its body in parts of STEP bytes, and appends the state, the
   body and the fields of the answer to OUT.  */
static void
read_stream (struct zp_str stream, size_t step, bool reused,
             struct zp_buf *out)
{
  static const struct fr_header_names names = { .request_id = "Request-Id",
                                                .stamp = "Stamp",
                                                .not_run = "Not-Run",
                                                .answers_have_id = true };
  struct fw_answer a
      = { .names = &names, .request_id = ZP_STR ("r2"), .reused = reused };
  struct tk_forward_done done = { .status = 0 };
  uint64_t received = 0;
  bool ok = read_head (&a, &stream, &done);

  if (a.framing.body.kind == FW_BODY_LENGTH
      && stream.len > a.framing.body.u.length)
    stream.len = a.framing.body.u.length;
  if (a.framing.body.kind == FW_BODY_NONE)
    stream.len = 0;
  while (ok && stream.len > 0)
    {
      size_t n = step < stream.len ? step : stream.len;
      struct zp_str part = { .ptr = stream.ptr, .len = n }, body;
      while (ok && part.len > 0)
        if ((ok = fw_answer_bytes (&a, &part, &body, &done)))
          {
            zp_buf_put (&done.body, body);
            received += body.len;
          }
      stream.ptr += n;
      stream.len -= n;
    }
  enum fw_answer_state state = fw_answer_state (&a, ok, received);
  zp_buf_printf (out, "%d ", state);
  if (state == FW_ANSWER_WHOLE)
    {
      zp_buf_printf (
          out, "%u %d %d %d ", a.framing.status,
          fw_answer_verdict (&a, a.framing.status),
          fw_copy_find (&a, zp_str_of (&done.body)).kind,
          fw_copy_completes (&a, zp_str_of (&done.body),
                             (struct fw_surplus){ .kind = FW_SURPLUS_KNOWN,
                                                  .u.bytes = stream.len }));
      zp_buf_put (out, zp_str_of (&done.headers));
      zp_buf_put (out, zp_str_of (&done.body));
    }
  fw_answer_free (&a);
  zp_buf_free (&done.headers);
  zp_buf_free (&done.content_type);
  zp_buf_free (&done.body);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct zp_buf whole = { .ptr = NULL }, parts = { .ptr = NULL };

  if (size < 2)
    return 0;
  struct zp_str stream = { .ptr = (const char *) data + 1, .len = size - 1 };
  bool reused = data[0] & 1;
  read_stream (stream, stream.len, reused, &whole);
  read_stream (stream, 1 + data[0] / 2, reused, &parts);
  if (!zp_str_eq (zp_str_of (&whole), zp_str_of (&parts)))
    abort ();
  zp_buf_free (&whole);
  zp_buf_free (&parts);
  return 0;
}
