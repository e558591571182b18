/* NAME
     action - what an attempt asks the code that drives it to do

   DESCRIPTION
     A queue of tagged unions.  The code that drives an attempt takes each
     action, switches on its kind and carries it out.  */

#ifndef ZP_ONCE_ACTION_H
#define ZP_ONCE_ACTION_H

#include "once/msg.h"

enum oc_action_kind
{
  OC_SEND,     /* send a message to a member */
  OC_FORWARD,  /* the claim is granted: forward to a backend server */
  OC_ANSWERED, /* answer the caller of the request with the outcome */
  OC_REFUSED,  /* refuse the request */
};

struct oc_send
{
  uint64_t member; /* id */
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
    struct oc_outcome answer; /* OC_ANSWERED; its field whole is true */
    struct oc_refusal refusal;
  } u;
};

struct oc_actions
{
  struct oc_action *head, *tail;
};

/* Appends an action of KIND, which the queue owns.  */
struct oc_action *oc_actions_add (struct oc_actions *q,
                                  enum oc_action_kind kind);

/* Removes and returns the first action, or NULL.  The caller frees it with
   oc_action_free.  */
struct oc_action *oc_actions_take (struct oc_actions *q);

void oc_action_free (struct oc_action *x);

#endif
