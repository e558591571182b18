/* NAME
     answer - the head of a backend server's answer

   DESCRIPTION
     Pure.  Reads the header lines of the answer to one request and tells what
     the answer says about it, and whether it is whole (framing.h) and the
     answer to this request.

     A connection that is used again can deliver a late copy of an earlier
     answer where the answer to the next request is due.  An answer with the
     request id of another request is never the answer to this one.  With
     fr_header_names.answers_have_id, an answer without a request id counts
     only on a connection that has carried no request before: no late copy can
     arrive there.  Without answers_have_id such an answer counts, but never as
     a proof that the request has not run.

     The request id proves only a head that was read from one answer.  A head
     with a second status line (framing.h), or with a second one of the fields
     that are read here or of Date, can come from two: it is malformed.

     Retry-After has the form of RFC 9110, delay-seconds, and may have a
     fraction.  A date is not read.  */

#ifndef ZP_FORWARD_ANSWER_H
#define ZP_FORWARD_ANSWER_H

#include "base/clock.h"
#include "forward/chunks.h"
#include "forward/framing.h"
#include "front/header.h"
#include "task/msg.h"

/* Bytes of the head of an answer, with those of its interim (1xx) answers.  */
#define FW_HEAD_MAX (32 * 1024)

/* Bytes of a status line that are kept.  */
#define FW_STATUS_LINE_MAX 64

/* Longest time for which a server is left alone because of Retry-After.  */
#define FW_RETRY_AFTER_MAX (600 * ZP_SEC)

struct fw_answer
{
  const struct fr_header_names *names;
  struct zp_str request_id; /* of the request */
  bool expects_instance;    /* the request names the server that may run it */
  bool reused;              /* the connection has carried an earlier request */

  struct fw_framing framing;
  struct fw_chunks chunks; /* FW_BODY_CHUNKED */
  size_t head_bytes;       /* with interim answers and trailers */
  size_t trailer_bytes;
  uint64_t head_hash;   /* of the lines of the head, without interim answers */
  uint64_t status_hash; /* of the first of them */
  char status_line[FW_STATUS_LINE_MAX]; /* its begin */
  size_t status_len;
  unsigned fields; /* that were read and may stand only once */
  bool has_id;     /* the answer repeats a request id */
  bool foreign_id; /* that of another request */
  bool has_verdict;
  enum zp_verdict verdict; /* as the answer states it */
  bool not_run;            /* the answer has the not_run header */
};

/* What an answer is worth when it has ended.  */
enum fw_answer_state
{
  FW_ANSWER_WHOLE,
  FW_ANSWER_FOREIGN,   /* not the answer to the request */
  FW_ANSWER_MALFORMED, /* its head or a chunk is not valid, or its head exceeds
                          FW_HEAD_MAX */
  FW_ANSWER_SPLICED,   /* its body was completed by another answer (copy.h) */
  FW_ANSWER_CUT,       /* it ended early; perhaps before its first byte */
};

/* Reads LINE: the status line, a header line or the empty line after them.
   Sets the fields of OUT that the header states.  Returns false, so that the
   connection is closed, when the head is malformed, exceeds FW_HEAD_MAX or
   this is not the answer to the request.  The connection has to be closed, because the answer
   to the request may follow where the one to the next request is due.  */
bool fw_answer_line (struct fw_answer *a, struct zp_str line,
                     struct tk_forward_done *out);

/* Removes from BYTES, which the connection has brought after the head, what is
   read next, and sets BODY to the bytes of the body in it, none between chunks.
   Returns false, so that the connection is closed, when the body is
   malformed.  */
bool fw_answer_bytes (struct fw_answer *a, struct zp_str *bytes,
                      struct zp_str *body, struct tk_forward_done *out);

/* Whether this is the answer to the request, as far as its head is read.  */
bool fw_answer_is_own (const struct fw_answer *a);

/* The state of the answer after its last byte.  ENDED: the HTTP library has
   seen the end without an error.  RECEIVED: bytes of the body.  */
enum fw_answer_state fw_answer_state (const struct fw_answer *a, bool ended,
                                      uint64_t received);

/* Bytes of the whole answer on its connection, with RECEIVED bytes of its
   body.  */
uint64_t fw_answer_size (const struct fw_answer *a, uint64_t received);

void fw_answer_free (struct fw_answer *a);

/* The verdict of a whole answer with STATUS.  A verdict of not-run that the
   answer states counts only with status 503.  */
enum zp_verdict fw_answer_verdict (const struct fw_answer *a, unsigned status);

/* Reads the value of Retry-After.  A value above FW_RETRY_AFTER_MAX is reduced
   to it.  Returns false when VALUE is no number of seconds.  */
bool fw_retry_after_parse (struct zp_str value, zp_time *out);

#endif
