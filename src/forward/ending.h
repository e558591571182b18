/* NAME
     ending - whether an answer that ends with its connection is whole

   DESCRIPTION
     Pure; stepped by events.  Nothing in an answer with neither a length nor
     chunks shows that it is whole.  The end of its connection does not either:
     the kernel closes the connections of a process that was killed as the
     process closes them itself (FIN).  But it closes all of them.  So a second
     connection to the same process, the witness, shows it: when the process
     holds the witness after the answer ended, it runs, and has closed the
     connection of the answer itself.

     A connection is a witness only when it brought an answer before the request
     was sent.  One that is only established shows the kernel of the server: its
     listening socket can belong to a process that was started later, or to
     another one too, and a kernel can keep connections without bytes to itself
     (TCP_DEFER_ACCEPT).  Without a witness the answer is not proved.

     FW_WITNESS_CALLED: the answer to a call that is sent after the end shows
     that the process runs, whatever time its end takes (keeper.h).
     FW_WITNESS_IDLE: a connection of libcurl (pool.h), on which nothing can be
     sent, has to stay open for FW_ENDING_SETTLE.

     What neither shows: a server that runs on and breaks off such an answer
     with FIN, or adds bytes to it; and a process that ends while another one of
     the same server runs on and has the witness.  */

#ifndef ZP_FORWARD_ENDING_H
#define ZP_FORWARD_ENDING_H

#include <stdbool.h>

#include "base/clock.h"

/* Time within which an ended process has closed all of its sockets.  Beside 16
   busy processes on 8 cores it took up to 113 ms with 2,000 connections, and
   135 ms with 8,000 on a less busy machine (10 and 6 kills).  */
#define FW_ENDING_SETTLE (150 * ZP_MS)

/* Longest time until the witness answers a call, which can wait for a slot of
   the server.  The caller is kept waiting also past its deadline, because a
   late answer is worth more to it than none.  */
#define FW_ENDING_CALL_MAX (1 * ZP_SEC)

enum fw_witness_kind
{
  FW_WITNESS_NONE,   /* none, or lost */
  FW_WITNESS_IDLE,   /* nothing is sent on it */
  FW_WITNESS_CALLED, /* it is called when the answer has ended */
};

enum fw_ending_event
{
  FW_EVENT_WITNESS_ANSWERED, /* a call that was sent after the end */
  FW_EVENT_WITNESS_LOST,
  FW_EVENT_ANSWER_ENDED, /* without an error of the connection */
  FW_EVENT_TIME,
};

enum fw_ending_result
{
  FW_ENDING_PENDING,
  FW_ENDING_WHOLE,
  FW_ENDING_UNPROVED,
};

struct fw_ending
{
  enum fw_witness_kind witness;
  bool ended;         /* the answer */
  bool answered;      /* FW_WITNESS_CALLED */
  zp_time settled;    /* when an ended process would have closed the witness */
  zp_time call_until; /* when the witness has to have answered */
};

/* The ending of an answer whose head has just ended.  */
struct fw_ending fw_ending_begin (enum fw_witness_kind witness);

/* Applies an event.  FW_EVENT_TIME may only be applied after the witness has
   been looked at: after a pause of this process its end may not have been
   reported yet.  */
enum fw_ending_result fw_ending_step (struct fw_ending *e,
                                      enum fw_ending_event event, zp_time now);

/* The time at which FW_EVENT_TIME decides; ZP_NEVER if only another event
   can.  */
zp_time fw_ending_due (const struct fw_ending *e);

#endif
