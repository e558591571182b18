/* NAME
     members - the member set of a replicated log

   DESCRIPTION
     A member is a voter or a learner.  Learners receive the log but never
     vote.  The set is small, and every change of it is one log entry that
     holds the whole new set.

     FORMED_TERM is the term in which the first leader of the group was
     elected.  A voter with an empty log compares it with the term of its own
     first vote.  If it had voted by then, it helped to form the group and has
     only missed the entries; otherwise the group was formed before the
     voter's storage was wiped.  */

#ifndef ZP_LEDGER_MEMBERS_H
#define ZP_LEDGER_MEMBERS_H

#include "base/limits.h"
#include "base/str.h"

#define LG_MEMBERS_MAX 9

struct lg_member
{
  uint64_t id; /* never 0; never reused after the storage is lost */
  bool voter;
  char address[ZP_ADDRESS_MAX]; /* for the inner protocol */
};

struct lg_members
{
  struct lg_member item[LG_MEMBERS_MAX];
  size_t len;
  uint64_t formed_term; /* 0: no leader yet */
};

/* Returns NULL when ID is not a member.  */
const struct lg_member *lg_members_find (const struct lg_members *m,
                                         uint64_t id);

/* Whether ID is a voter.  */
bool lg_members_voter (const struct lg_members *m, uint64_t id);

/* Returns the number of voters.  */
size_t lg_members_voters (const struct lg_members *m);

/* Adds a member, or changes the role and address of an existing one.  Returns
   false when the set is full, ID is 0 or the address is too long.  */
bool lg_members_put (struct lg_members *m, uint64_t id, bool voter,
                     struct zp_str address);
void lg_members_remove (struct lg_members *m, uint64_t id);

void lg_members_encode (const struct lg_members *m, struct zp_buf *out);

/* Returns false unless BYTES are exactly one encoded set.  */
bool lg_members_decode (struct lg_members *m, struct zp_str bytes);

#endif
