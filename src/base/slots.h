/* NAME
     slots - table of objects by id, whose ids are never used again

   DESCRIPTION
     The lower 32 bits of an id are an index into the table, the upper 32 bits
     a generation that grows with every object.  A late message with the id of
     a removed object finds nothing, even when its index is in use again.

     These slots have nothing to do with the slots of a backend server.  */

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
  uint32_t *free; /* indexes of free slots */
  uint32_t cap, free_len;
  uint64_t generation; /* of the object added last */
  size_t len;          /* number of objects */
};

/* Adds OBJECT and returns its id, which is never 0.  */
uint64_t zp_slots_put (struct zp_slots *s, void *object);

/* The object with the id ID, or NULL.  */
void *zp_slots_get (const struct zp_slots *s, uint64_t id);

/* ID has to be in the table.  */
void zp_slots_remove (struct zp_slots *s, uint64_t id);

/* Iterates over the objects: start with *AT = 0.  Returns NULL at the end.  */
void *zp_slots_next (const struct zp_slots *s, uint32_t *at);

/* Releases the table, not its objects.  */
void zp_slots_free (struct zp_slots *s);

#endif
