#include "forward/ending.h"

struct fw_ending
fw_ending_begin (enum fw_witness_kind witness)
{
  return (struct fw_ending){ .witness = witness };
}

static enum fw_ending_result
decide (const struct fw_ending *e, zp_time now)
{
  if (!e->ended)
    return FW_ENDING_PENDING;
  switch (e->witness)
    {
    case FW_WITNESS_NONE:
      return FW_ENDING_UNPROVED;
    case FW_WITNESS_CALLED:
      if (!e->answered)
        return now >= e->call_until ? FW_ENDING_UNPROVED : FW_ENDING_PENDING;
      break;
    case FW_WITNESS_IDLE:
      break;
    }
  return now >= e->settled ? FW_ENDING_WHOLE : FW_ENDING_PENDING;
}

enum fw_ending_result
fw_ending_step (struct fw_ending *e, enum fw_ending_event event, zp_time now)
{
  switch (event)
    {
    case FW_EVENT_WITNESS_ANSWERED:
      /* An answer before the end says nothing about the end.  */
      e->answered = e->ended;
      break;
    case FW_EVENT_WITNESS_LOST:
      e->witness = FW_WITNESS_NONE;
      break;
    case FW_EVENT_ANSWER_ENDED:
      e->ended = true;
      e->settled = now + FW_ENDING_SETTLE;
      e->call_until = now + FW_ENDING_CALL_MAX;
      break;
    case FW_EVENT_TIME:
      break;
    }
  return decide (e, now);
}

zp_time
fw_ending_due (const struct fw_ending *e)
{
  if (!e->ended)
    return ZP_NEVER;
  switch (e->witness)
    {
    case FW_WITNESS_NONE:
      return ZP_NEVER;
    case FW_WITNESS_CALLED:
      if (!e->answered)
        return e->call_until;
      break;
    case FW_WITNESS_IDLE:
      break;
    }
  return e->settled;
}
