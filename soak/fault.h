/* NAME
     fault - faults of the servers of the platform soak

   DESCRIPTION
     A fault is a product of the dimensions below.  Its textual form, in plans
     and records, is a list such as "part=copy,at=before,when=next".  What it
     leaves out has the first value of its dimension.

     The extra bytes of a fault (a copy, a refusal, noise) come behind the
     whole answer of the attempt, in the way that "when" tells; with
     part=answer, the answer itself is damaged, and "when" tells how the bytes
     of "follow" come.  */

#ifndef SOAK_FAULT_H
#define SOAK_FAULT_H

#include "base/str.h"

/* What is damaged or sent in excess.  */
enum sk_part
{
  SK_PART_NONE,
  SK_PART_ANSWER,
  SK_PART_COPY,    /* of the answer */
  SK_PART_EARLIER, /* a copy of the answer before on the connection */
  SK_PART_REFUSAL, /* a copy of the last refusal on the connection */
  SK_PART_OTHER,   /* another answer, of unlike status */
  SK_PART_NOISE,   /* random bytes */
  SK_PART_TAIL,    /* the end of the answer again */
  SK_PART_ENDLESS, /* bytes without end, in the head or in the body */
};

/* What follows.  */
enum sk_follow
{
  SK_FOLLOW_ANSWER, /* the next answer on the connection */
  SK_FOLLOW_FIN,
  SK_FOLLOW_RST,
  SK_FOLLOW_KILL,   /* the server gets SIGKILL */
  SK_FOLLOW_WHOLE,  /* the whole of what was damaged */
  SK_FOLLOW_UNLIKE, /* an answer of unlike status */
};

enum sk_frame
{
  SK_FRAME_LENGTH,
  SK_FRAME_ZERO, /* a length of 0 */
  SK_FRAME_CHUNKED,
  SK_FRAME_CLOSE, /* the end of the connection ends the body */
};

/* Where the part is damaged.  When it does not have the place, it is damaged
   anywhere, but is whole with SK_FRAME_CLOSE.  */
enum sk_at
{
  SK_AT_NONE, /* nowhere: it is whole */
  SK_AT_ANY,
  SK_AT_REASON,
  SK_AT_BEFORE, /* in a field value before the request id */
  SK_AT_AFTER,  /* in a field value after it */
  SK_AT_EDGE,   /* in the end of the head */
  SK_AT_BODY,
  SK_AT_SIZE, /* of a chunk */
  SK_AT_DATA, /* of a chunk */
  SK_AT_TRAILER,
  SK_AT_VALUES
};

enum sk_when
{
  SK_WHEN_NOW,    /* in one segment with the bytes before */
  SK_WHEN_PAUSE,  /* after a pause */
  SK_WHEN_NEXT,   /* between the next request and its answer */
  SK_WHEN_JOINED, /* in one segment with the next answer */
  SK_WHEN_SPLIT,  /* in two segments with a pause between them */
};

enum sk_how
{
  SK_HOW_CUT,
  SK_HOW_SPOIL, /* some bytes are replaced */
};

/* The place of the request id among the header lines.  */
enum sk_order
{
  SK_ORDER_ANY, /* drawn for each answer */
  SK_ORDER_FIRST,
  SK_ORDER_MIDDLE,
  SK_ORDER_LAST,
};

enum sk_status
{
  SK_STATUS_ANY, /* drawn for each answer */
  SK_STATUS_OK,
  SK_STATUS_FAIL,   /* 500 */
  SK_STATUS_REFUSE, /* 503 with X-Not-Run */
};

struct sk_fault
{
  enum sk_part part;
  enum sk_follow follow;
  enum sk_frame frame;
  enum sk_at at;
  enum sk_when when;
  enum sk_how how;
  enum sk_order order;
  enum sk_status status;
};

#define SK_FAULT_TEXT 160 /* bytes of the longest textual form, with NUL */

/* Returns false when TEXT is no fault.  */
bool sk_fault_parse (struct sk_fault *f, struct zp_str text);

/* Writes all dimensions of F to TEXT.  */
void sk_fault_text (const struct sk_fault *f, char text[SK_FAULT_TEXT]);

/* Prints a line "DIMENSION VALUE..." for each dimension.  */
void sk_fault_print_all (void);

#endif
