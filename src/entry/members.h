/* NAME
     members - the table of entry daemons in the router

   DESCRIPTION
     The first member is this daemon.  A member that went down remains in the
     table with LIVE false, because it counts towards the quorum that allows a
     suspect request to run on trial.  TK_PEER_UP sets it live again.  */

#ifndef ZP_ENTRY_MEMBERS_H
#define ZP_ENTRY_MEMBERS_H

#include "base/limits.h"
#include "once/home.h"
#include "steer/lookup.h"
#include "task/msg.h"

struct en_plan;
struct st_drains;

struct en_member
{
  uint64_t id;
  uint64_t incarnation;
  bool live;
  bool leaving;
  char http[ZP_ADDRESS_MAX];
  char failure_domain[ZP_NAME_MAX];
  char region[ZP_NAME_MAX];
  /* Its table of claims, as a token names it; id 0: not received yet.  */
  struct oc_member_ref ref;
  uint64_t number; /* of the configuration in force there */
};

struct en_members
{
  struct en_member *item;
  size_t len;
};

/* The member ID, added when new.  NULL when the table is full.  */
struct en_member *en_members_get (struct en_members *m, uint64_t id);

/* The member ID, or NULL.  */
struct en_member *en_members_find (const struct en_members *m, uint64_t id);

/* Applies TK_PEER_UP (UP is true) or TK_PEER_DOWN.  NULL when the table is
   full.  */
struct en_member *en_members_change (struct en_members *m,
                                     const struct tk_peer_change *c, bool up);

/* Builds the table that answers look-ups, over all members.  PLAN is not NULL.
   Returns NULL when the configuration lacks this daemon's failure domain.  */
struct st_lookup *en_members_lookup (const struct en_members *m,
                                     const struct en_plan *plan,
                                     const struct st_drains *drains);

/* The id of E as text, which names it as the target of a drain.  */
struct zp_str en_member_name (const struct en_member *e, char text[24]);

/* Chooses the home of a new at-most-once key and appends it to TOKEN, as the
   prefix of the key.  */
void en_members_choose_home (const struct en_members *m, struct zp_rng *rng,
                             struct zp_buf *token);

void en_members_free (struct en_members *m);

#endif
