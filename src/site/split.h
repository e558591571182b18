/* NAME
     split - divides the requests of a route among its services by weight

   DESCRIPTION
     Pure.  Each choice gives every part the credit of its weight and takes the
     total weight from the part with the most, so that after any number of
     choices each part is within one request of its share.  CREDIT has one
     entry a part and begins at 0.  */

#ifndef ZP_SITE_SPLIT_H
#define ZP_SITE_SPLIT_H

#include "site/site.h"

/* Returns the index of the part.  R has a part with a weight above 0.  */
size_t si_split_choose (const struct si_route *r, int64_t *credit);

#endif
