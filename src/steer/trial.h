/* NAME
     trial - the votes for one trial of a suspect request, used by poison

   DESCRIPTION
     Votes are kept by place of the member in the array of the region's entry
     daemons.  The daemon that holds the trial votes for itself.  */

#ifndef ZP_STEER_TRIAL_H
#define ZP_STEER_TRIAL_H

#include "steer/poison.h"

struct st_trial
{
  uint32_t entry; /* its mark, or ST_NO_INDEX when not in use */
  uint64_t seq;
  bool running;
  zp_time ask_at; /* when votes are asked for again */
  zp_time ask_period;
  zp_time wanted; /* when a request last wanted it */
  bool granted[ST_POISON_MEMBERS_MAX];
};

/* Whether every live member has voted, and of all members more than half, or
   half with the one that has the lowest id.  */
bool st_trial_quorum (const struct st_trial *t,
                      const struct st_poison_member *m, size_t n,
                      uint64_t self);

/* Keeps the votes when the members change from OLD to M.  */
void st_trial_members (struct st_trial *t, const struct st_poison_member *old,
                       size_t old_n, const struct st_poison_member *m,
                       size_t n);

#endif
