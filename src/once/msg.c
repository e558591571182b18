#include "once/msg.h"

bool
oc_attempt_id_eq (struct oc_attempt_id a, struct oc_attempt_id b)
{
  return a.daemon == b.daemon && a.incarnation == b.incarnation
         && a.number == b.number;
}

struct oc_outcome
oc_outcome_copy (const struct oc_outcome *o)
{
  struct oc_outcome c = *o;

  c.content_type = zp_buf_from (zp_str_of (&o->content_type));
  c.body = zp_buf_from (zp_str_of (&o->body));
  return c;
}

void
oc_outcome_free (struct oc_outcome *o)
{
  zp_buf_free (&o->content_type);
  zp_buf_free (&o->body);
}

bool
oc_outcome_fits (const struct oc_outcome *o)
{
  return o->body.len <= ZP_ONCE_BODY_MAX
         && o->content_type.len <= ZP_ONCE_CONTENT_TYPE_MAX;
}

void
oc_msg_free (struct oc_msg *m)
{
  zp_buf_free (&m->key);
  switch (m->kind)
    {
    case OC_RECORD:
      oc_outcome_free (&m->u.record);
      break;
    case OC_ANSWER:
      oc_outcome_free (&m->u.answer.outcome);
      break;
    case OC_CLAIM:
    case OC_SEAL:
      break;
    }
}
