/* NAME
     msg - messages between attempts and members

   DESCRIPTION
     An attempt sends claims, seals and records to the members of the home of
     its key.  A member replies to each of them with one OC_ANSWER.  The
     network can lose, delay, repeat and reorder messages.  A message owns its
     buffers until oc_msg_free.  */

#ifndef ZP_ONCE_MSG_H
#define ZP_ONCE_MSG_H

#include "base/limits.h"
#include "base/verdict.h"

/* Unique among all attempts of all entry daemons.  */
struct oc_attempt_id
{
  uint64_t daemon;      /* its id */
  uint64_t incarnation; /* of the daemon; changes with every start */
  uint64_t number;      /* of the attempt within the incarnation */
};

/* The result of a request that was forwarded to a backend server.  */
struct oc_outcome
{
  enum zp_verdict verdict; /* ZP_MAY_HAVE_RUN or ZP_RAN in a record */
  bool whole;              /* status, content type and body are present */
  unsigned status;
  struct zp_buf content_type;
  struct zp_buf body; /* at most ZP_ONCE_BODY_MAX bytes */
};

enum oc_msg_kind
{
  OC_CLAIM,  /* asks for the permission to forward the request of the key */
  OC_SEAL,   /* asks the member to grant the key to no attempt any more */
  OC_RECORD, /* carries the outcome of the request */
  OC_ANSWER, /* of a member, to any of the others */
};

enum oc_reply
{
  OC_GRANTED, /* to a claim: the key belongs to the asking attempt */
  OC_TAKEN,   /* to a claim or seal: HOLDER has the key, without outcome yet */
  OC_FINISHED, /* to a claim or seal: OUTCOME is recorded */
  OC_SEALED, /* to a claim or seal: the member grants the key to no attempt */
  OC_RECORDED,  /* to a record: the outcome is recorded */
  OC_ABSTAINED, /* to any: the member does not decide about the key; see WHY */
};

enum oc_abstain
{
  OC_NOT_MEMBER,  /* the key is not valid or does not name this member */
  OC_INCARNATION, /* the key names another incarnation of this member */
  OC_GENERATION,  /* the generation in the key has expired or not yet begun */
  OC_FULL,        /* the memory limit is reached */
};

struct oc_answer
{
  enum oc_msg_kind in_reply_to; /* OC_CLAIM, OC_SEAL or OC_RECORD */
  enum oc_reply reply;
  enum oc_abstain why;         /* OC_ABSTAINED */
  struct oc_attempt_id holder; /* OC_TAKEN, OC_FINISHED */
  struct oc_outcome outcome;   /* OC_FINISHED */
};

struct oc_msg
{
  enum oc_msg_kind kind;
  struct oc_attempt_id attempt; /* the attempt that asks, also in answers */
  struct zp_buf key;
  union
  {
    struct oc_answer answer;  /* OC_ANSWER */
    struct oc_outcome record; /* OC_RECORD */
  } u;
};

bool oc_attempt_id_eq (struct oc_attempt_id a, struct oc_attempt_id b);

struct oc_outcome oc_outcome_copy (const struct oc_outcome *o);
void oc_outcome_free (struct oc_outcome *o);

/* Whether the body and the content type of O are within the limits of a
   record.  */
bool oc_outcome_fits (const struct oc_outcome *o);

void oc_msg_free (struct oc_msg *m);

#endif
