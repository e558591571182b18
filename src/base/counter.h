/* NAME
     counter - counters and gauges of the process

   DESCRIPTION
     zp_counter returns the counter of a name and label set and creates it at
     the first call; the pointer stays valid until the process ends.  All
     functions may be called from any thread; updates are atomic.  */

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

/* Adds N.  */
void zp_count (struct zp_counter *c, int64_t n);

/* Sets the value.  */
void zp_gauge (struct zp_counter *c, int64_t value);

/* Appends all counters in the Prometheus text exposition format.  */
void zp_counter_text (struct zp_buf *out);

#endif
