#include "forward/keep.h"

static enum fw_keep_action
connect_now (struct fw_keep *k, zp_time now)
{
  if (k->state != FW_KEEP_CLOSED || now < k->connect_from
      || now >= k->wanted_until)
    return FW_KEEP_NOTHING;
  k->state = FW_KEEP_CONNECTING;
  k->begun = now;
  k->connect_from = now + FW_KEEP_CONNECT_EVERY;
  return FW_KEEP_CONNECT;
}

static enum fw_keep_action
call_now (struct fw_keep *k, zp_time now)
{
  k->state = FW_KEEP_CALLING;
  k->begun = now;
  k->again = false;
  return FW_KEEP_CALL;
}

static enum fw_keep_action
close_now (struct fw_keep *k)
{
  if (k->state == FW_KEEP_CLOSED)
    return FW_KEEP_NOTHING;
  k->state = FW_KEEP_CLOSED;
  k->again = false;
  k->proved = k->called = 0;
  return FW_KEEP_CLOSE;
}

static enum fw_keep_action
ask (struct fw_keep *k, zp_time now)
{
  switch (k->state)
    {
    case FW_KEEP_OPEN:
      return call_now (k, now);
    case FW_KEEP_CALLING:
      /* The server serves one request at a time on a connection.  */
      k->again = true;
      break;
    case FW_KEEP_CLOSED:
    case FW_KEEP_CONNECTING:
      break;
    }
  return FW_KEEP_NOTHING;
}

static enum fw_keep_action
note_answer (struct fw_keep *k, zp_time now)
{
  if (k->state != FW_KEEP_CALLING)
    return close_now (k);
  k->called = k->begun;
  if (k->proved == 0)
    k->proved = now;
  if (k->again)
    return call_now (k, now);
  k->state = FW_KEEP_OPEN;
  return FW_KEEP_NOTHING;
}

static enum fw_keep_action
check_time (struct fw_keep *k, zp_time now)
{
  switch (k->state)
    {
    case FW_KEEP_CLOSED:
      return connect_now (k, now);
    case FW_KEEP_CONNECTING:
    case FW_KEEP_CALLING:
      return now >= k->begun + FW_KEEP_ANSWER_MAX ? close_now (k)
                                                  : FW_KEEP_NOTHING;
    case FW_KEEP_OPEN:
      break;
    }
  return now >= k->wanted_until ? close_now (k) : FW_KEEP_NOTHING;
}

enum fw_keep_action
fw_keep_step (struct fw_keep *k, enum fw_keep_event event, zp_time now)
{
  switch (event)
    {
    case FW_KEEP_WANTED:
      k->wanted_until = now + FW_KEEP_WANTED_TIME;
      return connect_now (k, now);
    case FW_KEEP_ASKED:
      return ask (k, now);
    case FW_KEEP_CONNECTED:
      return call_now (k, now);
    case FW_KEEP_ANSWERED:
      return note_answer (k, now);
    case FW_KEEP_LOST:
      return close_now (k);
    case FW_KEEP_TIME:
      break;
    }
  return check_time (k, now);
}

bool
fw_keep_is_witness (const struct fw_keep *k, zp_time sent)
{
  return k->proved > 0 && k->proved < sent;
}

bool
fw_keep_is_over (const struct fw_keep *k, zp_time now)
{
  return k->state == FW_KEEP_CLOSED && now >= k->wanted_until;
}

zp_time
fw_keep_due (const struct fw_keep *k)
{
  switch (k->state)
    {
    case FW_KEEP_CLOSED:
      return k->connect_from < k->wanted_until ? k->connect_from
                                               : k->wanted_until;
    case FW_KEEP_CONNECTING:
    case FW_KEEP_CALLING:
      return k->begun + FW_KEEP_ANSWER_MAX;
    case FW_KEEP_OPEN:
      break;
    }
  return k->wanted_until;
}
