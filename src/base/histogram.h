/* NAME
     histogram - distribution of durations, kept in counters

   DESCRIPTION
     A histogram consists of the counters NAME_bucket, whose label "le" is the
     upper bound in seconds, NAME_sum in microseconds and NAME_count, as in the
     Prometheus text exposition format.  The bounds go from 5 ms, enough for an
     answer on the same machine, to 10 s; longer durations count under "+Inf"
     only.  */

#ifndef ZP_BASE_HISTOGRAM_H
#define ZP_BASE_HISTOGRAM_H

#include "base/clock.h"
#include "base/counter.h"

#define ZP_HISTOGRAM_BOUNDS 13

struct zp_histogram
{
  struct zp_counter *bucket[ZP_HISTOGRAM_BOUNDS + 1]; /* last one: "+Inf" */
  struct zp_counter *sum, *count;
};

/* LABELS as for zp_counter; not empty.  */
void zp_histogram_init (struct zp_histogram *h, const char *name,
                        const char *labels);

/* Adds one duration.  Buckets are cumulative: every bucket whose bound is not
   below T counts it.  */
void zp_histogram_add (struct zp_histogram *h, zp_time t);

#endif
