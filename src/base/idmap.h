/* NAME
     places - ids by the place in another table

   DESCRIPTION
     A request has an id in the front task and another one in the deciding
     task.  The front's id holds its place in the lower 32 bits (base/slots.h);
     the deciding task finds its own id by it, without a search.  */

#ifndef ZP_BASE_IDMAP_H
#define ZP_BASE_IDMAP_H

#include <stddef.h>
#include <stdint.h>

struct zp_idmap
{
  uint64_t *id;
  size_t cap;
};

/* Notes ID for FOREIGN; an earlier id at the same place is replaced.  */
void zp_idmap_put (struct zp_idmap *p, uint64_t foreign, uint64_t id);

/* The id that was noted last for the place of FOREIGN; 0: none.  */
uint64_t zp_idmap_get (const struct zp_idmap *p, uint64_t foreign);

void zp_idmap_free (struct zp_idmap *p);

#endif
