/* NAME
     idmap - map from ids of another table to ids of one's own

   DESCRIPTION
     A request has one id in the front task and another one in the deciding
     task.  The lower 32 bits of the front's id are an index into its table
     (base/slots.h).  The deciding task uses this index to find its own id for
     the request without a search.  */

#ifndef ZP_BASE_IDMAP_H
#define ZP_BASE_IDMAP_H

#include <stddef.h>
#include <stdint.h>

struct zp_idmap
{
  uint64_t *id; /* by the index in the other table; 0: none */
  size_t cap;
};

/* Maps FOREIGN to ID.  Replaces an id stored earlier for the same index.  */
void zp_idmap_put (struct zp_idmap *p, uint64_t foreign, uint64_t id);

/* The id that was stored last for the index in FOREIGN; 0: none.  Only the
   index is compared, so the caller has to check that the object found belongs
   to FOREIGN.  */
uint64_t zp_idmap_get (const struct zp_idmap *p, uint64_t foreign);

void zp_idmap_free (struct zp_idmap *p);

#endif
