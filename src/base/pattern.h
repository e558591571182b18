/* NAME
     pattern - bytes that show from which text they are, and from which place

   DESCRIPTION
     The letters at the same place of two patterns with different seeds differ
     in 15 of 16 cases, so that bytes of another text, missing bytes and
     repeated bytes are found.  */

#ifndef ZP_BASE_PATTERN_H
#define ZP_BASE_PATTERN_H

#include "base/str.h"

void zp_pattern_put (struct zp_buf *out, uint64_t seed, size_t len);

/* Whether the whole of S is the pattern of SEED.  */
bool zp_pattern_is (struct zp_str s, uint64_t seed);

#endif
