#include "base/histogram.h"

#include <stdio.h>

#define NAME_MAX_BYTES 256 /* of a counter name, or of a label set */

static const struct
{
  zp_time bound;
  const char *seconds; /* the same, for the label */
} bounds[ZP_HISTOGRAM_BOUNDS] = {
  { 5 * ZP_MS, "0.005" }, { 10 * ZP_MS, "0.01" }, { 25 * ZP_MS, "0.025" },
  { 50 * ZP_MS, "0.05" }, { 100 * ZP_MS, "0.1" }, { 150 * ZP_MS, "0.15" },
  { 200 * ZP_MS, "0.2" }, { 300 * ZP_MS, "0.3" }, { 400 * ZP_MS, "0.4" },
  { 600 * ZP_MS, "0.6" }, { 1000 * ZP_MS, "1" },  { 2 * ZP_SEC, "2" },
  { 10 * ZP_SEC, "10" },
};

void
zp_histogram_init (struct zp_histogram *h, const char *name,
                   const char *labels)
{
  char full[NAME_MAX_BYTES], with_le[NAME_MAX_BYTES];

  snprintf (full, sizeof full, "%s_bucket", name);
  for (size_t i = 0; i <= ZP_HISTOGRAM_BOUNDS; i++)
    {
      snprintf (with_le, sizeof with_le, "%s,le=\"%s\"", labels,
                i < ZP_HISTOGRAM_BOUNDS ? bounds[i].seconds : "+Inf");
      h->bucket[i] = zp_counter (full, with_le);
    }
  snprintf (full, sizeof full, "%s_sum", name);
  h->sum = zp_counter (full, labels);
  snprintf (full, sizeof full, "%s_count", name);
  h->count = zp_counter (full, labels);
}

void
zp_histogram_add (struct zp_histogram *h, zp_time t)
{
  for (size_t i = 0; i < ZP_HISTOGRAM_BOUNDS; i++)
    if (t <= bounds[i].bound)
      zp_count (h->bucket[i], 1);
  zp_count (h->bucket[ZP_HISTOGRAM_BOUNDS], 1);
  zp_count (h->sum, t);
  zp_count (h->count, 1);
}
