/* Fuzz target for libFuzzer: recovery from a log file and a snapshot file.

   Byte 0 of the input selects the mode, bytes 1 and 2 (low byte first) where
   the rest is divided into the log file and the snapshot file.  With an odd
   byte 0 the log file is made of records with correct checksums, so that the
   decoders that run after the checksum test are reached too.

   Guards against a damaged file that ends the process without a message.  */

#include <stdlib.h>

#include "ledger/recover.h"
#include "ledger/wal.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Appends records to OUT, made from IN: for each, a byte whose low 2 bits are
   the kind, two bytes with the length (low byte first) and the body.  */
static void
put_records (struct zp_str in, struct zp_buf *out)
{
  while (in.len > 3)
    {
      size_t len = (uint8_t) in.ptr[1] + 256U * (uint8_t) in.ptr[2];
      enum lg_record_kind kind = (enum lg_record_kind) (in.ptr[0] & 3);
      in.ptr += 3;
      in.len -= 3;
      len = len < in.len ? len : in.len;
      lg_record_encode (out, kind,
                        (struct zp_str){ .ptr = in.ptr, .len = len });
      in.ptr += len;
      in.len -= len;
    }
}

/* Starts a core from the recovered state, advances the time until an election
   is due, and reports the writes of the core as synced to the disk.  */
static void
run_core (const struct lg_init_state *init)
{
  struct zp_rng *rng = zp_alloc (sizeof *rng);

  zp_rng_seed (rng, 1);
  struct lg_core *c = lg_core_new (init, 0, rng);
  lg_core_tick (c, LG_ELECTION_MAX);
  for (struct lg_out *o; (o = lg_core_next_out (c)); lg_out_free (o))
    if (o->kind == LG_OUT_WRITE)
      lg_core_written (c, LG_ELECTION_MAX, o->u.write.number, 0);
  lg_core_free (c);
  free (rng);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct lg_members none = { .len = 0 };
  struct zp_buf records = { .ptr = NULL };
  struct lg_init_state init;
  struct zp_err err;
  size_t cut;

  if (size < 3)
    return 0;
  size_t split = 3 + (data[1] + 256U * data[2]) % (size - 2);
  struct zp_str log = { (const char *) data + 3, split - 3 };
  struct lg_files files = { .log = log };
  if (split < size)
    files.snapshot
        = (struct zp_str){ (const char *) data + split, size - split };
  if (data[0] & 1)
    {
      put_records (log, &records);
      files.log = zp_str_of (&records);
    }
  if (lg_recover (&files, 1, &none, &init, &cut, &err))
    run_core (&init);
  lg_init_state_free (&init);
  zp_buf_free (&records);
  return 0;
}
