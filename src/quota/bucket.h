/* NAME
     bucket - token bucket of a limit or of a share of it

   DESCRIPTION
     Pure.  A bucket refills continuously at a rate, up to a depth.  Both are
     arguments of qu_bucket_refill, because the share of a limit that a bucket
     has changes; a new bucket is empty.  A request takes one token.

     Over any time T, the tokens taken are at most rate x T and the level at its
     start, which is at most the depth.  When a limit is divided into buckets
     whose rates and depths sum up to it, the same bound holds for all of them
     together.  */

#ifndef ZP_QUOTA_BUCKET_H
#define ZP_QUOTA_BUCKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/limits.h"

/* Buckets refill slower than their limit, by the largest error of a clock's
   rate, so that a daemon with a fast clock does not exceed it.  */
#define QU_REFILL (1.0 - ZP_CLOCK_RATE_ERROR_PERCENT / 100.0)

/* Limit of a workspace.  No two limits of a list have the same workspace.  */
struct qu_limit
{
  uint64_t workspace; /* hash of its name */
  double rate;        /* requests a second; 0 or less: no limit */
  double burst;       /* requests */
};

/* Depth of the bucket of the whole limit: its burst, and at least a quarter of
   a second of its rate and one request, because a shallower bucket that is
   refilled from reports each 250 ms does not sustain its rate.  */
double qu_limit_depth (const struct qu_limit *l);

struct qu_bucket
{
  double level;    /* tokens at UPDATED */
  zp_time updated; /* a time in the future: it starts to refill then */
};

/* Adds the tokens since the last refill, at RATE a second, and cuts the level
   to DEPTH.  A time that goes back adds nothing.  */
void qu_bucket_refill (struct qu_bucket *b, double rate, double depth,
                       zp_time now);

/* Takes up to N tokens that the bucket had at the last refill; returns the
   number taken.  */
uint32_t qu_bucket_take (struct qu_bucket *b, uint32_t n);

/* Takes all tokens of B, which refills from NOW on, also a time to come.  */
void qu_bucket_empty (struct qu_bucket *b, zp_time now);

#endif
