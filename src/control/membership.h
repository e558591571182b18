/* NAME
     membership - changes the members of the replicated log without an operator

   DESCRIPTION
     Pure.  The leader keeps CT_VOTERS voters in the group, or fewer while
     fewer control daemons exist.  The other control daemons are learners: they
     hold the state and can replace a lost voter at once.  The first rule that
     applies gives the next change:

     1. A member whose address is used by a daemon with another id has lost its
        storage.  It is removed, because its vote must not be counted again.
     2. A connected control daemon that is not a member becomes a learner.
     3. A healthy learner becomes a voter while there are fewer than
        CT_VOTERS.  A region gets at most CT_VOTERS_IN_REGION voters, so that
        the loss of one region leaves a majority.
     4. A voter that has been lost for CT_VOTER_TIMEOUT is removed when a
        healthy learner can replace it and a majority of the other voters is
        healthy.  A voter that is connected but answers no request of the
        leader is lost too: its disk may be full.
     5. A learner that has been lost for CT_LEARNER_TIMEOUT is removed.

     A member is healthy when it is connected and has answered a request of the
     leader within CT_ANSWER_TIMEOUT.  Only a healthy learner is promoted.

     The log makes one change at a time, and refuses to promote a learner that
     does not hold the state yet.  */

#ifndef ZP_CONTROL_MEMBERSHIP_H
#define ZP_CONTROL_MEMBERSHIP_H

#include "control/daemons.h"
#include "ledger/core.h"

/* Five voters tolerate the loss of two, and so of one region out of three.  */
#define CT_VOTERS 5
#define CT_VOTERS_IN_REGION 2

/* Longer than a restart, which takes about 1 s, and well below the 4 s within
   which the replacement has to vote.  */
#define CT_VOTER_TIMEOUT (2500 * ZP_MS)
#define CT_LEARNER_TIMEOUT (20 * ZP_SEC)

/* Several heartbeats, and a sync on a slow disk.  */
#define CT_ANSWER_TIMEOUT (1000 * ZP_MS)

/* The leader that decides.  */
struct ct_membership_self
{
  uint64_t id;
  struct zp_str region;
  zp_time led_since; /* daemons connect to a new leader after this time */

  /* By index of the member: how long it has answered no request of this
     leader; see lg_core_silence.  */
  zp_time silence[LG_MEMBERS_MAX];
};

/* Fills OUT with the next change.  Returns false when there is none.  The
   address in OUT is valid until DAEMONS changes.  */
bool ct_membership_decide (const struct lg_members *members,
                           const struct ct_daemons *daemons,
                           const struct ct_membership_self *self, zp_time now,
                           struct lg_change *out);

#endif
