#include "front/bodies.h"

#include <assert.h>

bool
fr_bodies_take (struct fr_bodies *b, size_t len, size_t more)
{
  size_t max = ZP_BODIES_MAX;

  if (more <= FR_BODY_SHORT && len <= FR_BODY_SHORT - more)
    max += ZP_BODIES_RESERVE;
  if (b->held > max || more > max - b->held)
    return false;
  b->held += more;
  return true;
}

void
fr_bodies_give (struct fr_bodies *b, size_t len)
{
  assert (len <= b->held);
  b->held -= len;
}
