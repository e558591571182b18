#include "once/action.h"

#include <stdlib.h>

struct oc_action *
oc_actions_add (struct oc_actions *q, enum oc_action_kind kind)
{
  struct oc_action *x = zp_alloc (sizeof *x);

  x->kind = kind;
  if (q->tail)
    q->tail->next = x;
  else
    q->head = x;
  q->tail = x;
  return x;
}

struct oc_action *
oc_actions_take (struct oc_actions *q)
{
  struct oc_action *x = q->head;

  if (!x)
    return NULL;
  q->head = x->next;
  if (!q->head)
    q->tail = NULL;
  x->next = NULL;
  return x;
}

void
oc_action_free (struct oc_action *x)
{
  switch (x->kind)
    {
    case OC_SEND:
      oc_msg_free (&x->u.send.msg);
      break;
    case OC_ANSWERED:
      oc_outcome_free (&x->u.answer);
      break;
    case OC_FORWARD:
    case OC_REFUSED:
      break;
    }
  free (x);
}
