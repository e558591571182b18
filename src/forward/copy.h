/* NAME
     copy - a second answer inside the body of an answer

   DESCRIPTION
     Pure.  A faulty server can send an answer twice.  When the first one ends
     with its connection (framing.h), everything up to the end of the
     connection is its body, also the second one.  A part of a body is a second
     answer when it has the form of a head (RFC 9112) and names a request id,
     or the first answer names none.  So is a head that the end of the body cuts
     off when it names an id or has the status line of the
     first answer.

     Not found: a copy that is cut off within "HTTP/1.x NNN", and an answer of
     another status that is cut off before its request id.

     An answer with a length or chunks that breaks off is completed by what the
     server sends next on the connection, so that its body has the begin of
     another answer at its end.  The rest of that one is then left over behind
     the body.

     Not found: another answer whose bytes end, or pause, inside its head before
     its request id exactly where the body of the first one does.  */

#ifndef ZP_FORWARD_COPY_H
#define ZP_FORWARD_COPY_H

#include "forward/answer.h"

enum fw_copy_kind
{
  FW_COPY_NONE,
  FW_COPY_EQUAL, /* the same answer once more, whole: the first one is too */
  FW_COPY_OTHER, /* another answer, or a part of one */
};

struct fw_copy
{
  enum fw_copy_kind kind;
  union
  {
    size_t body_len; /* FW_COPY_EQUAL: bytes of the body of one answer */
  } u;
};

/* Bytes that the connection has brought behind an answer.  */
enum fw_surplus_kind
{
  FW_SURPLUS_UNKNOWN, /* the kernel does not tell */
  FW_SURPLUS_KNOWN,
};

struct fw_surplus
{
  enum fw_surplus_kind kind;
  union
  {
    uint64_t bytes; /* FW_SURPLUS_KNOWN */
  } u;
};

/* Looks for a second answer in BODY, the body of the answer A, which has ended
   with its connection.  */
struct fw_copy fw_copy_find (const struct fw_answer *a, struct zp_str body);

/* Whether BODY, of the answer A with a length or chunks, was completed by
   another answer.  With a surplus, a status line in it shows that, or an end
   that can begin one.  Without, the other answer has to end where the body does,
   or its head with a request id; a quoted answer does not.  */
bool fw_copy_completes (const struct fw_answer *a, struct zp_str body,
                        struct fw_surplus surplus);

#endif
