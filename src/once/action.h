/* NAME
     out - outputs of an attempt

   DESCRIPTION
     A queue of tagged outputs, which the caller of the attempt reads by
     "switch (o->kind)": a message to a member, the permission to forward, and
     the one answer or refusal for the caller of the request.  */

#ifndef ZP_ONCE_ACTION_H
#define ZP_ONCE_ACTION_H

#include "once/msg.h"

enum oc_action_kind
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

struct oc_action
{
  struct oc_action *next;
  enum oc_action_kind kind;
  union
  {
    struct oc_send send;
    struct oc_outcome answer; /* OC_ANSWERED; whole */
    struct oc_refusal refusal;
  } u;
};

struct oc_actions
{
  struct oc_action *head, *tail;
};

/* Appends an output of KIND, which the queue owns.  */
struct oc_action *oc_actions_add (struct oc_actions *q,
                                  enum oc_action_kind kind);

/* Removes and returns the first output, or NULL.  */
struct oc_action *oc_actions_take (struct oc_actions *q);

void oc_action_free (struct oc_action *x);

#endif
