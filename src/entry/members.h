/* NAME
     members - the entry daemons as the router sees them

   DESCRIPTION
     Self is the first member.  Members that went down stay in the table,
     because a quorum for trials of suspect requests counts them; the
     configuration or a new incarnation brings them back.  */

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
  struct oc_member_ref
      seat;        /* of its table of claims; incarnation 0: not known */
  uint64_t number; /* configuration in force there */
};

struct en_members
{
  struct en_member *item;
  size_t len;
};

/* The member of ID, added when new.  NULL when the table is full.  */
struct en_member *en_members_get (struct en_members *m, uint64_t id);
struct en_member *en_members_find (const struct en_members *m, uint64_t id);

/* Takes in TK_PEER_UP (UP) or TK_PEER_DOWN.  */
struct en_member *en_members_change (struct en_members *m,
                                     const struct tk_peer_change *c, bool up);

/* The look-up arrangement over all members; PLAN is not NULL.  */
struct st_lookup *en_members_lookup (const struct en_members *m,
                                     const struct en_plan *plan,
                                     const struct st_drains *drains);

/* Its id as the name of a drain's target.  */
struct zp_str en_member_name (const struct en_member *e, char text[24]);

/* Chooses the home of new at-most-once keys; appends its token.  */
void en_members_home (const struct en_members *m, struct zp_rng *rng,
                      struct zp_buf *token);

void en_members_free (struct en_members *m);

#endif
