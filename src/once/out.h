/* NAME
     out - outputs of an attempt

   DESCRIPTION
     A queue of tagged outputs, which the caller of the attempt reads by
     "switch (o->kind)": a message to a member, the permission to forward, and
     the one answer or refusal for the caller of the request.  */

#ifndef ZP_ONCE_OUT_H
#define ZP_ONCE_OUT_H

#include "once/msg.h"

enum oc_out_kind
{
  OC_SEND,
  OC_FORWARD,
  OC_ANSWERED,
  OC_REFUSED,
};

struct oc_send
{
  uint64_t member;
  struct oc_msg msg;
};

struct oc_refusal
{
  enum zp_verdict verdict; /* ZP_NOT_RUN or ZP_MAY_HAVE_RUN */
  char reason[ZP_NAME_MAX];
};

struct oc_out
{
  struct oc_out *next;
  enum oc_out_kind kind;
  union
  {
    struct oc_send send;
    struct oc_outcome answer; /* OC_ANSWERED; whole */
    struct oc_refusal refusal;
  } u;
};

struct oc_outs
{
  struct oc_out *head, *tail;
};

/* Appends an output of KIND, which the queue owns.  */
struct oc_out *oc_outs_put (struct oc_outs *q, enum oc_out_kind kind);

/* Removes and returns the first output, or NULL.  */
struct oc_out *oc_outs_take (struct oc_outs *q);

void oc_out_free (struct oc_out *o);

#endif
