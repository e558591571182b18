/* NAME
     wal - records of the log file

   DESCRIPTION
     The log file begins with one record that holds the whole durable state
     except for the snapshot; records with a newer term, vote and entries
     follow.  An entry with the index of an earlier one replaces that one and
     all behind it.  The file is only appended to or atomically replaced.

     A record is a header of 16 bytes and a body; numbers are little endian:

       bytes 0-3    length of the body
       bytes 4-7    kind
       bytes 8-11   crc32 of the body
       bytes 12-15  crc32 of bytes 0-11

     A crash can leave the last record incomplete.  Such a record was never
     synced, so nothing in it was acknowledged, and the reader cuts it off.
     The header has a checksum of its own, so that a damaged length is not
     taken for an incomplete record.  A complete record with a wrong checksum
     may have been acknowledged and is refused, at the end of the file too.

   ERRORS
     ZP_ECORRUPT names the file and the offset of the damaged record.  */

#ifndef ZP_LEDGER_WAL_H
#define ZP_LEDGER_WAL_H

#include "base/err.h"
#include "ledger/core.h"

#define LG_LOG_FILE "log"

/* Longer records are refused before memory is set aside for them.  */
#define LG_RECORD_MAX (512U * 1024 * 1024)

enum lg_record_kind
{
  LG_RECORD_BEGIN = 1,
  LG_RECORD_APPEND = 2,
  LG_RECORD_SNAPSHOT = 3, /* only in the snapshot file */
};

enum lg_record_state
{
  LG_RECORD_COMPLETE,
  LG_RECORD_TORN, /* the bytes end before the record does */
  LG_RECORD_CORRUPT,
};

void lg_record_encode (struct zp_buf *out, enum lg_record_kind kind,
                       struct zp_str body);

/* Reads the record at the front of BYTES; USED and BODY are set when it is
   whole, WHY when it is bad.  */
enum lg_record_state lg_record_decode (struct zp_str bytes, uint32_t *kind,
                                       struct zp_str *body, size_t *used,
                                       const char **why);

/* Writes the record of W, which is no snapshot write.  */
void lg_wal_encode (struct zp_buf *out, const struct lg_write *w);

/* Reads a whole log file into OUT, all fields but those of the snapshot.
   VALID is the size up to which the file holds whole records.  */
bool lg_wal_decode (struct zp_str file, struct lg_init_state *out,
                    size_t *valid, struct zp_err *err);

#endif
