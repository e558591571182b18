#include "site/split.h"

#include <assert.h>

size_t
si_split_choose (const struct si_route *r, int64_t *credit)
{
  size_t best = r->parts;
  int64_t total = 0;

  for (size_t i = 0; i < r->parts; i++)
    {
      if (r->part[i].weight == 0)
        continue;
      credit[i] += r->part[i].weight;
      total += r->part[i].weight;
      if (best == r->parts || credit[i] > credit[best])
        best = i;
    }
  assert (best < r->parts);
  credit[best] -= total;
  return best;
}
