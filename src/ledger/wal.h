/* NAME
     wal - write-ahead log: the records of the log file

   DESCRIPTION
     The first record of the log file holds the whole durable state except for
     the snapshot.  The records after it hold a newer term and vote and more
     entries.  An entry with the index of an earlier one replaces that entry
     and all later ones.  The file is only appended to or atomically replaced.

     A record is a header of 16 bytes and a body; numbers are little endian:

       bytes 0-3    length of the body
       bytes 4-7    kind (enum lg_record_kind)
       bytes 8-11   crc32 of the body
       bytes 12-15  crc32 of bytes 0-11

     A crash can leave the last record incomplete (torn).  Such a record was
     never synced, so nothing in it was acknowledged, and the reader drops it.
     The header has its own checksum, so that a record with a damaged length
     is not mistaken for an incomplete one.  A complete record with a wrong
     checksum may have been acknowledged; it is an error even at the end of
     the file.

   ERRORS
     ZP_ECORRUPT names the file and the offset of the damaged record.  */

#ifndef ZP_LEDGER_WAL_H
#define ZP_LEDGER_WAL_H

#include "base/err.h"
#include "ledger/core.h"

#define LG_LOG_FILE "log"

/* Limit for the body of a record, in bytes.  A longer one is refused before
   memory is allocated for it.  */
#define LG_RECORD_MAX (512U * 1024 * 1024)

enum lg_record_kind
{
  LG_RECORD_BEGIN = 1,    /* first record: the whole durable state */
  LG_RECORD_APPEND = 2,   /* newer term and vote, more entries */
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

/* Decodes the record at the start of BYTES.  USED, its length with the header,
   and BODY are set when it is complete, WHY when it is corrupt.  */
enum lg_record_state lg_record_decode (struct zp_str bytes, uint32_t *kind,
                                       struct zp_str *body, size_t *used,
                                       const char **why);

/* Appends the record for W, which is not a snapshot write, to OUT.  */
void lg_wal_encode (struct zp_buf *out, const struct lg_write *w);

/* Decodes a whole log file into OUT, except for the fields of the snapshot.
   VALID is set to the length of the complete records.  */
bool lg_wal_decode (struct zp_str file, struct lg_init_state *out,
                    size_t *valid, struct zp_err *err);

#endif
