/* NAME
     cache - the configuration that a follower keeps on its disk

   DESCRIPTION
     Two files below the data folder: "config.whole" has one whole
     configuration and "config.changes" the changes after it.  Every record has
     a length and a checksum.  Reading stops at the first record that fails its
     check; what comes before it is whole, so the result is an earlier state of
     this follower, never a wrong one.  The configuration is also held by the
     control daemons: a lost cache costs a transfer, no data.  */

#ifndef ZP_FOLLOW_CACHE_H
#define ZP_FOLLOW_CACHE_H

#include "base/err.h"
#include "task/msg.h"

#define FO_CACHE_WHOLE "config.whole"
#define FO_CACHE_CHANGES "config.changes"

/* Appends one record.  */
void fo_cache_put (struct zp_buf *out, const struct tk_config *c);

/* Takes the next record off REST.  The view in OUT->bytes must not be freed;
   it lives as long as the bytes of REST.  Returns false at the end or at a
   record that fails its check.  */
bool fo_cache_next (struct zp_str *rest, struct tk_config *out);

#endif
