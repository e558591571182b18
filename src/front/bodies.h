/* NAME
     bodies - the bytes of bodies that a front task holds

   SYNOPSIS
     if (!fr_bodies_take (&b, 0, length))
       refuse...
     fr_bodies_give (&b, length)

   DESCRIPTION
     Pure.  Counts the bodies of requests, from their head until the answer, and
     those of answers until they are sent.  A request that declares its length
     takes it before its first byte is read, so that it can be refused at once;
     one in chunks takes it chunk by chunk.

     Bodies together have at most ZP_BODIES_MAX bytes.  A body of at most
     FR_BODY_SHORT bytes can take ZP_BODIES_RESERVE more, so that long bodies do
     not keep out the many short ones.  */

#ifndef ZP_FRONT_BODIES_H
#define ZP_FRONT_BODIES_H

#include <stdbool.h>
#include <stddef.h>

#include "base/limits.h"

#define FR_BODY_SHORT ((size_t) 64 * 1024)

struct fr_bodies
{
  size_t held;
};

/* Takes MORE bytes for a body that has taken LEN before.  Returns false, and
   takes nothing, when there is no room.  */
bool fr_bodies_take (struct fr_bodies *b, size_t len, size_t more);

/* Gives back LEN bytes that were taken.  */
void fr_bodies_give (struct fr_bodies *b, size_t len);

#endif
