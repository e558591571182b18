/* NAME
     response - an answer in the form that libmicrohttpd sends  */

#ifndef ZP_FRONT_RESPONSE_H
#define ZP_FRONT_RESPONSE_H

#include <microhttpd.h>

#include "front/header.h"
#include "task/msg.h"

/* Takes the body of A.  CLOSE: the connection ends with it.  Returns NULL when
   out of memory.  */
struct MHD_Response *fr_response_new (struct tk_http_answer *a,
                                      const struct fr_header_names *names,
                                      const char *request_id, bool close);

/* Makes A, whose status is not from 200 to 599, a refusal, so that no caller
   gets a status that a decision has left unset.  */
void fr_response_check_status (struct tk_http_answer *a);

/* Makes A, for whose body there is no room, a refusal without the headers of
   the server.  */
void fr_response_drop_body (struct tk_http_answer *a);

#endif
