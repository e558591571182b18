/* NAME
     recover - reads the initial state of the consensus core from a data folder

   DESCRIPTION
     A folder without a log file is fresh storage: the core then starts with
     the given member set.  A snapshot without a log file is an error, because
     the log file is written before the first snapshot.

     A received snapshot takes two writes, first the snapshot file and then
     the log file.  After a crash between them the log is older than the
     snapshot.  It is kept when it contains the last entry of the snapshot, and
     replaced otherwise.

   ERRORS
     ZP_ECORRUPT when a file is damaged or the two contradict each other,
     ZP_EINVAL when the folder belongs to a member with another id, ZP_EIO
     when a file cannot be read.  */

#ifndef ZP_LEDGER_RECOVER_H
#define ZP_LEDGER_RECOVER_H

#include "base/err.h"
#include "ledger/core.h"

/* The contents of the two files.  The pointer is NULL when the file does not
   exist.  */
struct lg_files
{
  struct zp_str log;
  struct zp_str snapshot;
};

/* Fills OUT, which the caller frees with lg_init_state_free even after a
   failure.  CUT is set to the number of bytes of an incomplete last record,
   which is dropped.  */
bool lg_recover (const struct lg_files *files, uint64_t id,
                 const struct lg_members *members, struct lg_init_state *out,
                 size_t *cut, struct zp_err *err);

/* The same with the two files in FOLDER.  */
bool lg_recover_folder (struct zp_str folder, uint64_t id,
                        const struct lg_members *members,
                        struct lg_init_state *out, size_t *cut,
                        struct zp_err *err);

#endif
