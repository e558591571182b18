/* NAME
     index - hash table from 64-bit keys to positions in an array

   DESCRIPTION
     Pure.  Used by owner and holder for workspaces, holders and leases.  All
     fields zero make an empty table.  A key is in the table at most once.  */

#ifndef ZP_QUOTA_INDEX_H
#define ZP_QUOTA_INDEX_H

#include <stddef.h>
#include <stdint.h>

#define QU_NONE UINT32_MAX /* no position */

struct qu_index_slot
{
  uint64_t key;
  uint32_t at; /* QU_NONE: free */
};

struct qu_index
{
  struct qu_index_slot *slot;
  size_t cap, len;
};

/* The position stored for KEY, or QU_NONE.  */
uint32_t qu_index_get (const struct qu_index *t, uint64_t key);

/* Stores AT for KEY, in place of an earlier one.  */
void qu_index_put (struct qu_index *t, uint64_t key, uint32_t at);

/* Removes KEY when it is in the table.  */
void qu_index_remove (struct qu_index *t, uint64_t key);

void qu_index_free (struct qu_index *t);

#endif
