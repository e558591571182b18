/* NAME
     join - membership of the replicated log without an operator

   DESCRIPTION
     Pure.  The leader keeps the group at CT_VOTERS voters, or fewer while
     fewer control daemons exist, with the other daemons as learners that hold
     the state and can replace a voter at once:

     1. A member whose address is used by a daemon with another id has lost its
        storage.  It is removed: its vote cannot be counted again.
     2. A connected control daemon that is no member becomes a learner.
     3. A learner becomes a voter while there are too few voters, or an even
        number of them.  A region gets at most CT_VOTERS_IN_REGION, so that the
        loss of one region leaves a majority.
     4. A voter that has been lost for CT_VOTER_TIMEOUT is removed when a
        connected learner can take its place and a majority of the others is
        connected.
     5. A learner that has been lost for CT_LEARNER_TIMEOUT is removed.

     One change at a time; the log refuses a promotion until the learner holds
     the state.  */

#ifndef ZP_CONTROL_MEMBERSHIP_H
#define ZP_CONTROL_MEMBERSHIP_H

#include "control/daemons.h"
#include "ledger/core.h"

/* Five voters bear the loss of two, and of one region out of three.  */
#define CT_VOTERS 5
#define CT_VOTERS_IN_REGION 2

/* Longer than a restart, which takes about 1 s, and short against the 4 s in
   which a replacement has to count.  */
#define CT_VOTER_TIMEOUT (2500 * ZP_MS)
#define CT_LEARNER_TIMEOUT (20 * ZP_SEC)

struct ct_membership_self
{
  uint64_t id;
  struct zp_str region;
  zp_time led_since; /* it has heard of all daemons only some time after */
};

/* Returns false when nothing is to be done.  OUT's address lives as long as
   DAEMONS.  */
bool ct_membership_decide (const struct lg_members *members,
                           const struct ct_daemons *daemons,
                           const struct ct_membership_self *self, zp_time now,
                           struct lg_change *out);

#endif
