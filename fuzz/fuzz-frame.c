/* Fuzz target for libFuzzer: bytes received from another control daemon.

   The input goes to the frame parser, the payload of each frame to the codec
   of the ledger's messages, and each message to a consensus core.  With an odd
   first byte the rest of the input is a list of payloads that get correct
   frame headers, so that more inputs reach the codec and the core.

   Guards against input from the network that ends the process.  */

#include <stdio.h>
#include <stdlib.h>

#include "ledger/codec.h"
#include "wire/frame.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Returns the core of member 1 of a new group of three voters.  */
static struct lg_core *
new_core (struct zp_rng *rng)
{
  struct lg_init_state init = { .id = 1, .fresh = true };

  zp_rng_seed (rng, 1);
  for (uint64_t id = 1; id <= 3; id++)
    lg_members_put (&init.base_members, id, true, ZP_STR ("here"));
  return lg_core_new (&init, 0, rng);
}

/* Takes all output of the core: drops its messages and reports every write as
   synced to the disk.  */
static void
discard_output (struct lg_core *c, zp_time now)
{
  for (struct lg_out *o; (o = lg_core_next_out (c)); lg_out_free (o))
    if (o->kind == LG_OUT_WRITE)
      lg_core_written (c, now, o->u.write.number, 0);
}

/* Appends frames to OUT, made from IN: for each, a byte that selects one of
   the 6 kinds of ledger messages, a byte with the length, and the payload.  */
static void
put_frames (struct zp_str in, struct zp_buf *out)
{
  while (in.len > 2)
    {
      uint8_t kind = (uint8_t) (WI_VOTE_ASK + (uint8_t) in.ptr[0] % 6);
      size_t len = (uint8_t) in.ptr[1];
      in.ptr += 2;
      in.len -= 2;
      len = len < in.len ? len : in.len;
      wi_frame_put (out, kind, (struct zp_str){ .ptr = in.ptr, .len = len });
      in.ptr += len;
      in.len -= len;
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (size == 0)
    return 0;
  struct zp_str rest = { .ptr = (const char *) data + 1, .len = size - 1 };
  struct zp_buf frames = { .ptr = NULL };
  struct zp_rng *rng = zp_alloc (sizeof *rng);
  struct lg_core *c = new_core (rng);
  struct zp_str payload;
  struct zp_err err;
  uint8_t kind;
  size_t used;

  if (data[0] & 1)
    {
      put_frames (rest, &frames);
      rest = zp_str_of (&frames);
    }
  for (zp_time now = 0;
       wi_frame_parse (rest, &kind, &payload, &used, &err) == WI_PARSE_FRAME;
       now += 100 * ZP_MS)
    {
      struct lg_msg m;
      rest.ptr += used;
      rest.len -= used;
      if (!lg_codec_decode (kind, payload, &m, &err))
        continue;
      m.to = 1;
      lg_core_receive (c, now, &m);
      discard_output (c, now);
      lg_core_tick (c, now);
      discard_output (c, now);
      lg_msg_clear (&m);
    }
  lg_core_free (c);
  free (rng);
  zp_buf_free (&frames);
  return 0;
}
