/* NAME
     members - the member set of a replicated log

   DESCRIPTION
     A member is a voter or a learner.  Learners receive the log and never
     vote.  The set is small, and every change of it is one log entry that
     holds the whole new set.

     FORMED is the term in which the first leader of the group was elected.
     It lets a member with an empty log tell a group that it helped to form
     from one that formed before its storage was wiped.  */

#ifndef ZP_LEDGER_MEMBERS_H
#define ZP_LEDGER_MEMBERS_H

#include "base/limits.h"
#include "base/str.h"

#define LG_MEMBERS_MAX 9

struct lg_member
{
  uint64_t id; /* never 0, never used again for other storage */
  bool voter;
  char address[ZP_ADDRESS_MAX]; /* of its inner protocol */
};

struct lg_members
{
  struct lg_member item[LG_MEMBERS_MAX];
  size_t len;
  uint64_t formed_term; /* 0: no leader yet */
};

/* NULL when ID is no member.  */
const struct lg_member *lg_members_find (const struct lg_members *m,
                                         uint64_t id);
bool lg_members_voter (const struct lg_members *m, uint64_t id);
size_t lg_members_voters (const struct lg_members *m);

/* Returns false when the set is full or the address is too long.  An existing
   member gets the new role and address.  */
bool lg_members_put (struct lg_members *m, uint64_t id, bool voter,
                     struct zp_str address);
void lg_members_remove (struct lg_members *m, uint64_t id);

void lg_members_encode (const struct lg_members *m, struct zp_buf *out);

/* Returns false when BYTES are not exactly one encoded set.  */
bool lg_members_decode (struct lg_members *m, struct zp_str bytes);

#endif
