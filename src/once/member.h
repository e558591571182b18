/* NAME
     member - the table of keys at one member of their homes

   DESCRIPTION
     oc_member_handle applies one claim, seal or record and fills the answer:

       claim   Grants the key if it is free, or if the asking attempt already
               holds it.  Otherwise answers with the holder, the outcome or
               the seal.
       seal    Seals the key if it is free or held by the asking attempt; no
               attempt is granted it afterwards.  Otherwise as a claim.
       record  Stores the outcome of the attempt that had a quorum.  It
               replaces a claim of another attempt or a seal, because these
               can only have been granted by a minority.

     A member decides only about keys that name its own incarnation and one of
     its last ZP_ONCE_GENERATIONS generations; it abstains on all others.  A
     generation lasts ZP_ONCE_GENERATION.  The record of a key is removed at
     the same time at which the member begins to abstain on that key, so that
     no key is granted twice.

     Memory is bounded by LIMIT bytes: buckets, records and outcomes, with an
     allowance for the allocator.  At the limit new keys are refused with
     OC_FULL; no record is removed early.  The last sixteenth is reserved for
     seals, so that a full member still helps to prove a refusal.  An outcome
     whose answer does not fit is stored without the answer.  */

#ifndef ZP_ONCE_MEMBER_H
#define ZP_ONCE_MEMBER_H

#include "once/home.h"
#include "once/msg.h"

struct oc_member;

struct oc_member_conf
{
  uint64_t id;
  uint64_t incarnation; /* changes with every start */
  uint64_t hash_seed;   /* random, so that callers cannot fill one bucket */
  size_t limit;         /* bytes; ZP_ONCE_MEMBER_BYTES in a daemon */
};

struct oc_member *oc_member_new (const struct oc_member_conf *conf,
                                 zp_time now);
void oc_member_free (struct oc_member *m);

/* The reference to M for a token that is made at NOW.  */
struct oc_member_ref oc_member_self (const struct oc_member *m, zp_time now);

/* Removes the records of expired generations.  oc_member_handle does so
   too.  */
void oc_member_tick (struct oc_member *m, zp_time now);

/* IN is a claim, seal or record.  The caller frees ANSWER.  */
void oc_member_handle (struct oc_member *m, const struct oc_msg *in,
                       zp_time now, struct oc_msg *answer);

/* The bytes that count towards the limit, and the number of keys.  */
size_t oc_member_bytes (const struct oc_member *m);
size_t oc_member_keys (const struct oc_member *m);

#endif
