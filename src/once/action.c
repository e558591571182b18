#include "once/action.h"

#include <stdlib.h>

struct oc_action *
oc_actions_add (struct oc_actions *q, enum oc_action_kind kind)
{
  struct oc_action *o = zp_alloc (sizeof *o);

  o->kind = kind;
  if (q->tail)
    q->tail->next = o;
  else
    q->head = o;
  q->tail = o;
  return o;
}

struct oc_action *
oc_actions_take (struct oc_actions *q)
{
  struct oc_action *o = q->head;

  if (!o)
    return NULL;
  q->head = o->next;
  if (!q->head)
    q->tail = NULL;
  o->next = NULL;
  return o;
}

void
oc_action_free (struct oc_action *o)
{
  switch (o->kind)
    {
    case OC_SEND:
      oc_msg_free (&o->u.send.msg);
      break;
    case OC_ANSWERED:
      oc_outcome_free (&o->u.answer);
      break;
    case OC_FORWARD:
    case OC_REFUSED:
      break;
    }
  free (o);
}
