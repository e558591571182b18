/* NAME
     recover - start state of the consensus core from a data folder

   DESCRIPTION
     A folder without a log file is fresh storage: the core then starts with
     the given member set.  A snapshot without a log file is damage, because
     the log file is written first.

     A crash between the two writes of a received snapshot leaves a log that
     is older than the snapshot; it is kept when it holds the last entry of the
     snapshot, and replaced otherwise.

   ERRORS
     ZP_ECORRUPT for damage, ZP_EINVAL when the folder belongs to a member
     with another id, ZP_EIO when a file cannot be read.  */

#ifndef ZP_LEDGER_RECOVER_H
#define ZP_LEDGER_RECOVER_H

#include "base/err.h"
#include "ledger/core.h"

/* The contents of the two files; a NULL pointer means that there is none.  */
struct lg_files
{
  struct zp_str log;
  struct zp_str snapshot;
};

/* OUT is released with lg_init_state_free, also after a failure.  CUT is the
   number of bytes of an incomplete last record that were left out.  */
bool lg_recover (const struct lg_files *files, uint64_t id,
                 const struct lg_members *members, struct lg_init_state *out,
                 size_t *cut, struct zp_err *err);

bool lg_recover_folder (struct zp_str folder, uint64_t id,
                        const struct lg_members *members,
                        struct lg_init_state *out, size_t *cut,
                        struct zp_err *err);

#endif
