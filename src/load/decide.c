#include "load/request.h"

/* Delay before the next send after a refusal; doubles with each refusal.  */
#define BACKOFF (50 * ZP_MS)
#define BACKOFF_DOUBLINGS 4

static struct lo_action
end (struct lo_request *q, enum lo_outcome outcome)
{
  q->outcome = (uint8_t) outcome;
  return (struct lo_action){ .kind = LO_END, .u.outcome = outcome };
}

struct lo_action
lo_next_action (struct lo_request *q, const struct lo_service *s,
                enum lo_event event, zp_time now)
{
  zp_time delay = 0;

  switch (event)
    {
    case LO_GOT_ANSWER:
      return end (q, LO_ANSWERED);
    case LO_GOT_WRONG:
      return end (q, LO_WRONG);
    case LO_GOT_ERROR:
      return end (q, LO_FAILED);
    case LO_GOT_NOT_RUN:
      q->not_run_keys |= 1u << q->key;
      if (s->once)
        q->unresolved = false; /* not-run holds for every send with this key */
      delay = BACKOFF << (q->key < BACKOFF_DOUBLINGS ? q->key
                                                     : BACKOFF_DOUBLINGS);
      q->key++;
      break;
    case LO_GOT_MAY_HAVE_RUN:
      q->unresolved = true;
      q->failovers++;
      q->key += !s->once;
      break;
    case LO_GOT_NO_CONNECTION:
      q->failovers++;
      break;
    }
  if (q->sends >= s->tries || now + delay >= q->at + s->deadline_ms * ZP_MS)
    return end (q, q->unresolved ? LO_MAY_HAVE_RUN : LO_REFUSED);
  return (struct lo_action){ .kind = LO_SEND, .u.delay = delay };
}
