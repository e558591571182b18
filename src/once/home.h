/* NAME
     home - the members that decide who may forward the request of a key

   DESCRIPTION
     A member is an entry daemon that stores claims, outcomes and seals of
     keys.  The home of a key is the one member or the three members that store
     its state; a quorum is a majority of them.  Two members would need both
     for a quorum, and so be less available than one.

     The home is part of the key itself, so that every entry daemon knows it.
     A key is a token, a dot, and a part that the caller makes unique.  The
     token lists the members as "id:incarnation:generation,...".  Its numbers
     have no leading zeros, so that a home has exactly one token.

     oc_home_choose picks the members for a new token among the reachable entry
     daemons: SELF; a second one in the region of SELF, in another failure
     domain where possible; and a third one in another region where possible.
     With fewer than three reachable daemons it picks SELF alone.

   RETURN VALUE
     oc_home_parse and oc_key_parse return false and fill ERR for any text that
     oc_home_format cannot have written.

   ERRORS
     ZP_ELIMIT   The text is longer than ZP_KEY_MAX bytes.
     ZP_EINVAL   The text is not of the form above, names a member twice, or
                 names two members or more than three.  */

#ifndef ZP_ONCE_HOME_H
#define ZP_ONCE_HOME_H

#include "base/err.h"
#include "base/rng.h"

#define OC_HOME_MAX 3 /* members of a home */

/* The longest unique part of a key, in bytes: 1 to 64 characters out of A-Z
   a-z 0-9 "-" and "_".  */
#define OC_UNIQUE_MAX 64

/* One member as a token names it.  */
struct oc_member_ref
{
  uint64_t id;
  uint64_t incarnation; /* of the daemon; changes with every start */
  uint64_t generation;  /* of the member when the token was made */
};

struct oc_home
{
  struct oc_member_ref member[OC_HOME_MAX];
  size_t count;
};

/* A reachable entry daemon, with the generation that it last reported.  The
   texts are not copied.  */
struct oc_candidate
{
  struct oc_member_ref ref;
  struct zp_str failure_domain;
  struct zp_str region;
};

/* Picks the members out of SELF and the COUNT elements of CANDIDATES, which
   can include SELF.  */
void oc_home_choose (struct oc_home *out, const struct oc_candidate *self,
                     const struct oc_candidate *candidates, size_t count,
                     struct zp_rng *rng);

/* The number of members that are a majority of H.  */
size_t oc_home_quorum (const struct oc_home *h);

/* The reference to member ID in H, or NULL.  */
const struct oc_member_ref *oc_home_find (const struct oc_home *h,
                                          uint64_t id);

/* Appends the token of H to OUT.  */
void oc_home_format (struct zp_buf *out, const struct oc_home *h);
bool oc_home_parse (struct zp_str token, struct oc_home *out,
                    struct zp_err *err);
/* Reads the home from the token in KEY, and checks the unique part.  */
bool oc_key_parse (struct zp_str key, struct oc_home *out, struct zp_err *err);

#endif
