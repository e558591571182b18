/* NAME
     msg - messages between attempts and members

   DESCRIPTION
     An attempt sends claims, seals and records to the members of the home of
     its key; a member answers each with one OC_ANSWER.  Every message may be
     lost, delayed, repeated or overtaken by another.  A message owns its
     buffers until oc_msg_free.  */

#ifndef ZP_ONCE_MSG_H
#define ZP_ONCE_MSG_H

#include "base/limits.h"
#include "base/verdict.h"

/* Unique among all attempts of all daemons.  */
struct oc_attempt_id
{
  uint64_t daemon;
  uint64_t incarnation;
  uint64_t number;
};

/* The result of the request that was forwarded.  */
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
  OC_CLAIM,
  OC_SEAL,
  OC_RECORD,
  OC_ANSWER,
};

enum oc_reply
{
  OC_GRANTED,   /* claim: the key belongs to the asking attempt */
  OC_TAKEN,     /* claim or seal: HOLDER has the key; no outcome yet */
  OC_FINISHED,  /* claim or seal: OUTCOME is recorded */
  OC_SEALED,    /* claim or seal: this member grants the key to nobody */
  OC_RECORDED,  /* record: kept */
  OC_ABSTAINED, /* WHY */
};

enum oc_abstain
{
  OC_NOT_MEMBER,  /* the key does not name this member */
  OC_INCARNATION, /* of an earlier or unknown incarnation */
  OC_GENERATION,  /* too old, or not yet begun */
  OC_FULL,        /* memory limit reached */
};

struct oc_answer
{
  enum oc_msg_kind in_reply_to; /* what is answered */
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

/* Whether O is small enough to be recorded.  */
bool oc_outcome_fits (const struct oc_outcome *o);

void oc_msg_free (struct oc_msg *m);

#endif
