/* NAME
     keep - when to open, call and close a connection that is kept as a witness

   DESCRIPTION
     Pure; stepped by events.  To a server that has sent an answer which ends
     with its connection, one connection is kept, so that the next such answer
     can be proved (ending.h).  A call on it is a GET of the path at which the
     server tells its health.  The first call makes the connection a witness,
     each later one is sent when an answer has ended.  */

#ifndef ZP_FORWARD_KEEP_H
#define ZP_FORWARD_KEEP_H

#include <stdbool.h>

#include "base/clock.h"

/* The connection is kept for this long after the last answer that needs it. */
#define FW_KEEP_WANTED_TIME (60 * ZP_SEC)

/* Shortest time from one connect to the next one, so that a server that closes
   the connection at once is not flooded.  */
#define FW_KEEP_CONNECT_EVERY (1 * ZP_SEC)

/* Longest time to connect, and to answer a call.  */
#define FW_KEEP_ANSWER_MAX (2 * ZP_SEC)

enum fw_keep_state
{
  FW_KEEP_CLOSED,
  FW_KEEP_CONNECTING,
  FW_KEEP_CALLING,
  FW_KEEP_OPEN, /* the last call was answered */
};

enum fw_keep_event
{
  FW_KEEP_WANTED, /* an answer that ends with its connection has begun */
  FW_KEEP_ASKED,  /* such an answer has ended */
  FW_KEEP_CONNECTED,
  FW_KEEP_ANSWERED,
  FW_KEEP_LOST, /* closed, refused, or an answer that is not valid */
  FW_KEEP_TIME,
};

/* What the caller has to do.  */
enum fw_keep_action
{
  FW_KEEP_NOTHING,
  FW_KEEP_CONNECT,
  FW_KEEP_CALL,
  FW_KEEP_CLOSE,
};

struct fw_keep
{
  enum fw_keep_state state;
  bool again;           /* call again after the answer */
  zp_time proved;       /* first answer on this connection; 0: none yet */
  zp_time begun;        /* the connect or the call in progress */
  zp_time called;       /* when the newest call with an answer was sent */
  zp_time wanted_until; /* 0: never wanted */
  zp_time connect_from; /* earliest time of the next connect */
};

enum fw_keep_action fw_keep_step (struct fw_keep *k, enum fw_keep_event event,
                                  zp_time now);

/* Whether the connection was a witness before SENT.  */
bool fw_keep_is_witness (const struct fw_keep *k, zp_time sent);

/* Whether the connection is closed and not wanted any more.  */
bool fw_keep_is_over (const struct fw_keep *k, zp_time now);

/* When FW_KEEP_TIME is due.  */
zp_time fw_keep_due (const struct fw_keep *k);

#endif
