/* NAME
     home - the members that decide about one at-most-once key

   DESCRIPTION
     The home of a key is written into the key itself, as the token
     "id:incarnation:generation,...", a dot and a part that the caller makes
     unique.  A home has one or three members.  Two would need both for a
     quorum and be less available than one.

     oc_home_choose picks the members for one look-up among the entry daemons
     that are reachable: two in the region of the look-up, in two failure
     domains where possible, and a witness in another region.  With fewer than
     three reachable daemons it picks SELF alone.

     Numbers have no leading zeros, so that one home has one token.

   RETURN VALUE
     oc_home_parse and oc_key_parse return false and fill ERR (ZP_EINVAL or
     ZP_ELIMIT) for anything that oc_home_format could not have written.  */

#ifndef ZP_ONCE_HOME_H
#define ZP_ONCE_HOME_H

#include "base/err.h"
#include "base/rng.h"

#define OC_HOME_MAX 3

/* Part of a key behind the token: 1 to 64 of A-Z a-z 0-9 "-" and "_".  */
#define OC_UNIQUE_MAX 64

/* One member as a token names it.  */
struct oc_member_ref
{
  uint64_t id;
  uint64_t incarnation;
  uint64_t generation;
};

struct oc_home
{
  struct oc_member_ref member[OC_HOME_MAX];
  size_t count;
};

/* A reachable entry daemon, with the generation that it last reported.  */
struct oc_candidate
{
  struct oc_member_ref ref;
  struct zp_str failure_domain;
  struct zp_str region;
};

/* LIVE may or may not hold SELF.  */
void oc_home_choose (struct oc_home *out, const struct oc_candidate *self,
                     const struct oc_candidate *candidates, size_t count,
                     struct zp_rng *rng);

size_t oc_home_quorum (const struct oc_home *h);

/* The seat of member ID, or NULL.  */
const struct oc_member_ref *oc_home_find (const struct oc_home *h,
                                          uint64_t id);

void oc_home_format (struct zp_buf *out, const struct oc_home *h);
bool oc_home_parse (struct zp_str token, struct oc_home *out,
                    struct zp_err *err);
bool oc_key_parse (struct zp_str key, struct oc_home *out, struct zp_err *err);

#endif
