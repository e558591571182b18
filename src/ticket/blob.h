/* NAME
     blob - compression of a document

   DESCRIPTION
     A document is kept compressed in the log, in snapshots and in messages
     between daemons.  A configuration of hundreds of routes is repetitive and
     shrinks to about a tenth of its size.

   RETURN VALUE
     ti_blob_decompress returns false when the bytes are damaged or the text
     would be longer than MAX bytes.  */

#ifndef ZP_TICKET_BLOB_H
#define ZP_TICKET_BLOB_H

#include "ticket/object.h"

/* Compresses TEXT (at most UINT32_MAX bytes) into OUT.  The caller frees
   OUT->ptr.  */
void ti_blob_compress (struct zp_str text, struct ti_blob *out);

/* Appends the text of B to OUT.  */
bool ti_blob_decompress (const struct ti_blob *b, struct zp_buf *out,
                         size_t max);

#endif
