/* NAME
     blob - compressed bytes of a document

   DESCRIPTION
     Configurations of hundreds of routes repeat themselves; compressed they
     take about a tenth in the log, in snapshots and on the links.

   RETURN VALUE
     ti_blob_decompress returns false when the bytes are damaged or would exceed
     MAX.  */

#ifndef ZP_TICKET_BLOB_H
#define ZP_TICKET_BLOB_H

#include "ticket/object.h"

/* The caller frees OUT's bytes.  */
void ti_blob_compress (struct zp_str text, struct ti_blob *out);
bool ti_blob_decompress (const struct ti_blob *b, struct zp_buf *out,
                         size_t max);

#endif
