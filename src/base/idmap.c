#include "base/idmap.h"

#include <stdlib.h>
#include <string.h>

#include "base/str.h"

#define FIRST_CAP 64 /* entries */

void
zp_idmap_put (struct zp_idmap *p, uint64_t foreign, uint64_t id)
{
  uint32_t at = (uint32_t) foreign;

  if (at >= p->cap)
    {
      size_t cap = p->cap > 0 ? p->cap : FIRST_CAP;
      while (at >= cap)
        cap *= 2;
      p->id = zp_realloc (p->id, cap * sizeof *p->id);
      memset (p->id + p->cap, 0, (cap - p->cap) * sizeof *p->id);
      p->cap = cap;
    }
  p->id[at] = id;
}

uint64_t
zp_idmap_get (const struct zp_idmap *p, uint64_t foreign)
{
  uint32_t at = (uint32_t) foreign;

  return at < p->cap ? p->id[at] : 0;
}

void
zp_idmap_free (struct zp_idmap *p)
{
  free (p->id);
  *p = (struct zp_idmap){ .id = NULL };
}
