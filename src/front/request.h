/* NAME
     request - the head of an HTTP request, as libmicrohttpd has parsed it  */

#ifndef ZP_FRONT_REQUEST_H
#define ZP_FRONT_REQUEST_H

#include <microhttpd.h>

#include "front/framing.h"
#include "front/header.h"
#include "task/msg.h"

/* Fills R from the head of the request on CONN, and BODY from its fields.
   TARGET is the path and query as they came.  */
void fr_request_read (struct MHD_Connection *conn, const char *method,
                      struct zp_str target,
                      const struct fr_header_names *names,
                      struct tk_http_request *r, struct fr_body *body);

/* Reads the fields behind the last chunk of the request on CONN.  They are not
   forwarded.  */
void fr_request_read_trailer (struct MHD_Connection *conn,
                              struct fr_body *body);

/* Whether the headers on CONN, whose target has TARGET bytes, have at most MAX
   bytes; 0: any.  */
bool fr_request_head_fits (struct MHD_Connection *conn, size_t target,
                           size_t max);

#endif
