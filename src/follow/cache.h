/* NAME
     cache - the copy of the configuration on a follower's disk

   DESCRIPTION
     Encodes and decodes the records of two files in the data folder:
     "config.whole" holds one whole configuration, "config.changes" the changes
     after it.  Every record has a length and a checksum.  Reading stops at the
     first record that is cut short or fails its checksum.  The records before
     it are intact, so the result is an earlier configuration of this follower,
     never a wrong one.  The control daemons hold the configuration too: a lost
     cache costs one transfer and no data.  */

#ifndef ZP_FOLLOW_CACHE_H
#define ZP_FOLLOW_CACHE_H

#include "base/err.h"
#include "task/msg.h"

#define FO_CACHE_WHOLE "config.whole"
#define FO_CACHE_CHANGES "config.changes"

/* Appends one record.  */
void fo_cache_put (struct zp_buf *out, const struct tk_config *c);

/* Decodes the first record of REST and removes it from REST.  OUT->bytes is a
   view into REST: it must not be freed, and is valid as long as the bytes of
   REST.  Returns false at the end of REST and at a record that is cut short or
   fails its checksum; REST then stays as it is.  */
bool fo_cache_next (struct zp_str *rest, struct tk_config *out);

#endif
