/* Feeds bytes of a connection to the frame parser and the payloads of its
   frames to the codec and to a core.  Guards against input of the network that
   ends the process.  */

#include <stdio.h>
#include <stdlib.h>

#include "ledger/codec.h"
#include "wire/frame.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static struct lg_core *
new_core (struct zp_rng *rng)
{
  struct lg_start start = { .id = 1, .fresh = true };

  zp_rng_seed (rng, 1);
  for (uint64_t id = 1; id <= 3; id++)
    lg_members_put (&start.base_members, id, true, ZP_STR ("here"));
  return lg_core_new (&start, 0, rng);
}

/* Drops messages and reports every write as synced.  */
static void
drain (struct lg_core *c, zp_time now)
{
  for (struct lg_out *o; (o = lg_core_next (c)); lg_out_free (o))
    if (o->kind == LG_OUT_WRITE)
      lg_core_written (c, now, o->u.write.number, 0);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct zp_str rest = { .ptr = (const char *) data, .len = size };
  struct zp_rng *rng = zp_alloc (sizeof *rng);
  struct lg_core *c = new_core (rng);
  struct zp_str payload;
  struct zp_err err;
  uint8_t kind;
  size_t used;

  for (zp_time now = 0;
       wi_frame_parse (rest, &kind, &payload, &used, &err) == WI_PARSE_FRAME;
       now += 100 * ZP_MS)
    {
      struct lg_msg m;
      rest.ptr += used;
      rest.len -= used;
      if (!lg_codec_take (kind, payload, &m, &err))
        continue;
      m.to = 1;
      lg_core_receive (c, now, &m);
      drain (c, now);
      lg_core_tick (c, now);
      drain (c, now);
      lg_msg_clear (&m);
    }
  lg_core_free (c);
  free (rng);
  return 0;
}
