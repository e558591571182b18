#include "once/out.h"

#include <stdlib.h>

struct oc_out *
oc_outs_put (struct oc_outs *q, enum oc_out_kind kind)
{
  struct oc_out *o = zp_alloc (sizeof *o);

  o->kind = kind;
  if (q->tail)
    q->tail->next = o;
  else
    q->head = o;
  q->tail = o;
  return o;
}

struct oc_out *
oc_outs_take (struct oc_outs *q)
{
  struct oc_out *o = q->head;

  if (!o)
    return NULL;
  q->head = o->next;
  if (!q->head)
    q->tail = NULL;
  o->next = NULL;
  return o;
}

void
oc_out_free (struct oc_out *o)
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
