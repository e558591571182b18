/* NAME
     lookup - cached look-up answer of one group of callers

   DESCRIPTION
     The answer lists the entry VMs to which the group sends its requests, best
     first, and the time for which the list is valid.  */

#ifndef ZP_LOAD_LOOKUP_H
#define ZP_LOAD_LOOKUP_H

#include "base/clock.h"
#include "base/limits.h"
#include "base/str.h"

#define LO_ENTRIES_MAX 16

struct lo_lookup
{
  char entry[LO_ENTRIES_MAX][ZP_ADDRESS_MAX]; /* best first */
  size_t entries;
  struct zp_buf once_home;       /* prefix for new idempotency keys */
  zp_time received, valid_until; /* from the start of the run */
  bool pending;                  /* a look-up is in progress */
  size_t failures; /* of look-ups; selects the entry VM for the next one */
};

/* Replaces the cached answer.  Returns false when BODY names no entry VM.  */
bool lo_lookup_parse (struct lo_lookup *l, struct zp_str body, zp_time now);

/* Makes the next send look up again, unless the answer is younger than 200 ms.
   To be called after a failed send: the entry VM or the home of the key may
   have failed.  */
void lo_lookup_invalidate (struct lo_lookup *l, zp_time now);

#endif
