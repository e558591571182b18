/* NAME
     member - the table of claims of one member of homes

   DESCRIPTION
     oc_member_handle applies one claim, seal or record and fills the answer:

       claim   grants a free key; answers the holder, the outcome or the seal
               otherwise.  The holder's own claim is granted again.
       seal    seals a key that is free or held by the asking attempt; nobody
               gets a grant of it afterwards.
       record  keeps the outcome of the attempt that had a quorum.  It replaces
               a claim or a seal, both of which can only be a minority then.

     A key counts only when it names this member's incarnation and one of its
     last ZP_ONCE_GENERATIONS generations.  A record is dropped in the same instant as
     its key begins to be refused, so that no key is granted twice.

     Memory is bounded by LIMIT bytes: buckets, records and outcomes, with an
     allowance for the allocator.  New keys are refused at the limit and no
     record is dropped early.  The last sixteenth is left to seals, so that a
     full member still helps to prove a refusal.  An outcome without room is
     kept without its answer.  */

#ifndef ZP_ONCE_MEMBER_H
#define ZP_ONCE_MEMBER_H

#include "once/home.h"
#include "once/msg.h"

struct oc_member;

struct oc_member_conf
{
  uint64_t id;
  uint64_t incarnation; /* different after every start */
  uint64_t hash_seed;   /* random, so that callers cannot aim at one bucket */
  size_t limit;         /* bytes; ZP_ONCE_MEMBER_BYTES in a daemon */
};

struct oc_member *oc_member_new (const struct oc_member_conf *conf,
                                 zp_time now);
void oc_member_free (struct oc_member *m);

/* What a token of this moment names.  */
struct oc_seat oc_member_seat (const struct oc_member *m, zp_time now);

/* Drops the records of expired generations; oc_member_handle does so too.  */
void oc_member_tick (struct oc_member *m, zp_time now);

/* IN is a claim, seal or record.  The caller frees ANSWER.  */
void oc_member_handle (struct oc_member *m, const struct oc_msg *in,
                       zp_time now, struct oc_msg *answer);

size_t oc_member_bytes (const struct oc_member *m);
size_t oc_member_keys (const struct oc_member *m);

#endif
