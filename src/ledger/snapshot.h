/* NAME
     snapshot - the snapshot file

   DESCRIPTION
     The file is one record in the format of wal.h: version, index and term of
     the last entry that the snapshot covers, the member set and the state.
     The file is always replaced as a whole, so an incomplete one is damaged.

   ERRORS
     ZP_ECORRUPT names the file and the offset of the damaged record.  */

#ifndef ZP_LEDGER_SNAPSHOT_H
#define ZP_LEDGER_SNAPSHOT_H

#include "base/err.h"
#include "ledger/core.h"

#define LG_SNAPSHOT_FILE "snapshot"

void lg_snapshot_encode (struct zp_buf *out, const struct lg_snapshot *s);

/* Returns NULL when FILE is damaged.  */
struct lg_snapshot *lg_snapshot_decode (struct zp_str file,
                                        struct zp_err *err);

#endif
