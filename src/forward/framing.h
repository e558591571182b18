/* NAME
     framing - where the head and the body of an HTTP answer end

   DESCRIPTION
     Pure.  Reads the lines of the head of an answer (RFC 9112) and tells
     whether the answer was received whole.  An answer is whole when its head
     has ended with an empty line and its body has the announced size.  A
     connection that ends earlier is no proof of that.

     The lines are read strictly: a status line, field lines or a length that
     RFC 9112 does not allow make the answer malformed, because the end of its
     body is then unknown.  Folded field lines are malformed too.

     A connection that is used again is a stream of answers, and nothing but
     their own bytes shows where one begins.  When a late copy of an earlier
     answer breaks off inside its head, the status line of the next answer
     becomes the rest of a line of that head.  So a line with a status line
     behind its first byte is malformed, and so is a second length, even an
     equal one: each can come from another answer.

     An answer with neither a length nor chunks ends with its connection, and
     has to say so with "Connection: close" or by its version, 1.0.  Without
     that, the line with its framing has been spoiled: a server that keeps its
     connections open has no other way to end an answer.  */

#ifndef ZP_FORWARD_FRAMING_H
#define ZP_FORWARD_FRAMING_H

#include "base/str.h"

#define FW_VERSION "HTTP/1."

/* Bytes of "HTTP/1.x NNN", the shortest status line.  */
#define FW_STATUS_LINE_MIN 12

/* What comes next.  */
enum fw_framing_state
{
  FW_AT_STATUS_LINE,
  FW_IN_HEAD,
  FW_IN_BODY, /* the head has ended; only trailer fields can follow */
  FW_MALFORMED,
};

enum fw_body_kind
{
  FW_BODY_TO_CLOSE, /* ends with the connection */
  FW_BODY_LENGTH,
  FW_BODY_CHUNKED,
  FW_BODY_NONE, /* the status or the method of the request excludes a body */
};

/* Where a body ends.  */
struct fw_body
{
  enum fw_body_kind kind;
  union
  {
    uint64_t length; /* bytes */
  } u;
};

struct fw_framing
{
  bool head_request; /* the method of the request is HEAD */

  enum fw_framing_state state;
  unsigned status;
  bool closes; /* the connection ends after the answer */
  struct fw_body body;
};

enum fw_line
{
  FW_LINE_STATUS,
  FW_LINE_FIELD,
  FW_LINE_INTERIM_END, /* of the head of a 1xx answer: another one follows */
  FW_LINE_HEAD_END,
  FW_LINE_TRAILER,
  FW_LINE_MALFORMED,
};

/* Whether TEXT begins with "HTTP/1.x NNN".  */
bool fw_begins_status_line (struct zp_str text);

/* Whether a status line can begin with TEXT; one of its bytes may be spoiled,
   if it has four or more.  */
bool fw_can_begin_status_line (struct zp_str text);

/* The first place in TEXT where a status line begins, or NULL.  */
const char *fw_find_status_line (struct zp_str text);

/* Whether a status line begins in TEXT behind its first byte; one of its bytes
   may be spoiled.  */
bool fw_contains_status_line (struct zp_str text);

/* Reads LINE, with its end of line.  After FW_LINE_MALFORMED, F stays
   malformed.  */
enum fw_line fw_framing_line (struct fw_framing *f, struct zp_str line);

/* Whether the answer is whole, with RECEIVED bytes of its body, when the
   connection or the HTTP library has ended it without an error.  */
bool fw_framing_is_whole (const struct fw_framing *f, uint64_t received);

#endif
