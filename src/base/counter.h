/* NAME
     counter - the counters and gauges of one process

   DESCRIPTION
     zp_counter returns the counter of a name and label set and creates it at
     the first call; the pointer stays valid for the life of the process.
     Updates are atomic, so that any task may count.  zp_counter_text writes
     all of them in the usual text exposition format.  */

#ifndef ZP_BASE_COUNTER_H
#define ZP_BASE_COUNTER_H

#include <stdatomic.h>

#include "base/str.h"

struct zp_counter
{
  _Atomic int64_t value;
};

/* LABELS is empty or of the form: service="booking",reason="no-capacity".  */
struct zp_counter *zp_counter (const char *name, const char *labels);

void zp_count (struct zp_counter *c, int64_t n);
void zp_gauge (struct zp_counter *c, int64_t value);

void zp_counter_text (struct zp_buf *out);

#endif
