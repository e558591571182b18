/* NAME
     histogram - how long something took, as counters

   DESCRIPTION
     A histogram is a set of counters NAME_bucket with the label "le" in
     seconds, NAME_sum in microseconds and NAME_count, as the usual text
     exposition format has them.  The bounds cover an answer on the same
     machine up to the longest deadline.  */

#ifndef ZP_BASE_HISTOGRAM_H
#define ZP_BASE_HISTOGRAM_H

#include "base/clock.h"
#include "base/counter.h"

#define ZP_HISTOGRAM_BOUNDS 13

struct zp_histogram
{
  struct zp_counter *bucket[ZP_HISTOGRAM_BOUNDS + 1]; /* the last one: all */
  struct zp_counter *sum, *count;
};

/* LABELS as for zp_counter; not empty.  */
void zp_histogram_init (struct zp_histogram *h, const char *name,
                        const char *labels);
void zp_histogram_add (struct zp_histogram *h, zp_time t);

#endif
