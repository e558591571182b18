/* NAME
     call - a GET request on a connection that carries nothing else

   DESCRIPTION
     Pure: makes the bytes of the request and reads those of its answer.  An
     answer that would end with the connection is not accepted, and neither are
     bytes behind the answer, or the id of another request.  Whatever its
     status, the answer shows that the server's process runs.  */

#ifndef ZP_FORWARD_CALL_H
#define ZP_FORWARD_CALL_H

#include "forward/answer.h"

/* Longest body of an answer, bytes.  */
#define FW_CALL_BODY_MAX (64 * 1024)

struct fw_call
{
  struct fw_answer answer;
  struct tk_msg *done; /* TK_FORWARD_DONE, for the fields of the head */
  struct zp_buf line;  /* of the head, not yet whole */
  struct zp_buf id;
  uint64_t received; /* bytes of the body */
};

enum fw_call_result
{
  FW_CALL_PENDING,
  FW_CALL_ANSWERED,
  FW_CALL_BROKEN,
};

/* Begins the call with the number N at ADDRESS and appends its request to OUT.
   Frees what an earlier call has left.  */
void fw_call_begin (struct fw_call *c, const struct fr_header_names *names,
                    struct zp_str address, struct zp_str path, uint64_t n,
                    struct zp_buf *out);

/* Reads BYTES of the answer.  */
enum fw_call_result fw_call_read (struct fw_call *c, struct zp_str bytes);

void fw_call_free (struct fw_call *c);

#endif
