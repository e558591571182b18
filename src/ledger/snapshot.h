/* NAME
     snapshot - the snapshot file

   DESCRIPTION
     The file is one record of the form that wal.h describes: index and term of
     the last entry in it, the member set and the state.  It is only ever
     replaced as a whole, so an incomplete one is damage.  */

#ifndef ZP_LEDGER_SNAPSHOT_H
#define ZP_LEDGER_SNAPSHOT_H

#include "base/err.h"
#include "ledger/core.h"

#define LG_SNAPSHOT_FILE "snapshot"

void lg_snapshot_encode (struct zp_buf *out, const struct lg_snapshot *s);

/* NULL when FILE is damaged.  */
struct lg_snapshot *lg_snapshot_decode (struct zp_str file,
                                        struct zp_err *err);

#endif
