/* NAME
     caller - the cached look-up answer of one group of callers  */

#ifndef ZP_LOAD_LOOKUP_H
#define ZP_LOAD_LOOKUP_H

#include "base/clock.h"
#include "base/limits.h"
#include "base/str.h"

#define LO_ENTRIES_MAX 16

struct lo_lookup
{
  char entry[LO_ENTRIES_MAX][ZP_ADDRESS_MAX]; /* ranked */
  size_t entries;
  struct zp_buf once_home;
  zp_time received, valid_until;
  bool pending;
  size_t failures; /* counts the entry VMs that were asked */
};

/* Replaces the cached answer; false when BODY is none.  */
bool lo_lookup_parse (struct lo_lookup *l, struct zp_str body, zp_time now);

/* A send went wrong: the entry VM or the home of the key may be gone.  */
void lo_lookup_invalidate (struct lo_lookup *l, zp_time now);

#endif
