/* NAME
     trial - votes for one trial of a suspect request, used by poison

   DESCRIPTION
     A trial runs a suspect request alone on one server; it needs the votes of
     a quorum of the region's entry daemons (see steer/poison.h).  GRANTED has
     one element for each member, in the order of the member array.  The daemon
     that holds the trial votes for itself.  */

#ifndef ZP_STEER_TRIAL_H
#define ZP_STEER_TRIAL_H

#include "steer/poison.h"

struct st_trial
{
  uint32_t entry; /* index of its fingerprint; ST_NO_INDEX: not in use */
  uint64_t seq;   /* of this trial among those of the daemon */
  bool running;
  zp_time request_at;     /* when votes are requested again */
  zp_time request_period; /* time between two requests for votes */
  zp_time wanted;         /* when a request last needed the trial */
  bool granted[ST_POISON_MEMBERS_MAX]; /* votes received */
};

/* Whether every live member of M has voted, and a quorum of all N members:
   more than half, or exactly half including the member with the lowest id.
   SELF counts as a vote.  */
bool st_trial_quorum (const struct st_trial *t,
                      const struct st_poison_member *m, size_t n,
                      uint64_t self);

/* Keeps the votes of the remaining members when the members change from OLD to
   M.  */
void st_trial_members (struct st_trial *t, const struct st_poison_member *old,
                       size_t old_n, const struct st_poison_member *m,
                       size_t n);

#endif
