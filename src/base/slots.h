/* NAME
     slots - table from ids to objects, with ids that are never used again

   DESCRIPTION
     An id is a generation (upper 32 bits) and a place in the table.  A late
     message that carries the id of a removed object finds nothing, never the
     object that has taken its place.  */

#ifndef ZP_BASE_SLOTS_H
#define ZP_BASE_SLOTS_H

#include <stddef.h>
#include <stdint.h>

struct zp_slot
{
  uint64_t id; /* 0: free */
  void *object;
};

struct zp_slots
{
  struct zp_slot *slot;
  uint32_t *free;
  uint32_t cap, frees;
  uint64_t generation;
  size_t len;
};

/* Returns the id of OBJECT, never 0.  */
uint64_t zp_slots_put (struct zp_slots *s, void *object);

/* The object of ID, or NULL.  */
void *zp_slots_get (const struct zp_slots *s, uint64_t id);

void zp_slots_remove (struct zp_slots *s, uint64_t id);

/* Objects one by one: begin with *AT = 0; NULL at the end.  */
void *zp_slots_next (const struct zp_slots *s, uint32_t *at);

/* Releases the table, not its objects.  */
void zp_slots_free (struct zp_slots *s);

#endif
