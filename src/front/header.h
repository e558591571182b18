/* NAME
     header - HTTP header blocks

   DESCRIPTION
     A header block is a buffer of "Name: value\n" lines.  Hop-by-hop headers
     and those that zinniapost itself sets never enter one.  */

#ifndef ZP_FRONT_HEADER_H
#define ZP_FRONT_HEADER_H

#include "base/str.h"

/* Whether a header travels from end to end, unchanged.  */
bool fr_header_passes (struct zp_str name);

/* Appends a line when the header passes and the block stays below
   ZP_HEADERS_MAX.  */
void fr_header_put (struct zp_buf *block, struct zp_str name,
                    struct zp_str value);

/* Takes the next line off REST.  Returns false at the end.  */
bool fr_header_next (struct zp_str *rest, struct zp_str *name,
                     struct zp_str *value);

/* Case-insensitive, as header names are.  */
bool fr_header_is (struct zp_str name, const char *want);

#endif
