/* NAME
     split - divides the requests of a route among its services by weight

   DESCRIPTION
     Pure.  Smooth weighted round robin: each choice adds to the credit of
     every part its weight, chooses the part with the most credit and subtracts
     the total weight from it.  After any number of choices each part is within
     one request of its share.  */

#ifndef ZP_SITE_SPLIT_H
#define ZP_SITE_SPLIT_H

#include "site/site.h"

/* Returns the index of the chosen part.  CREDIT has an entry for each part and
   is all 0 before the first choice.  A part of R has a weight above 0.  */
size_t si_split_choose (const struct si_route *r, int64_t *credit);

#endif
