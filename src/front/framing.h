/* NAME
     framing - whether the end of a request's body is certain

   DESCRIPTION
     Pure.  libmicrohttpd reads the body and is tolerant: of several lengths it
     takes the first, it prefers chunks to a length, and with an unknown
     transfer coding it waits for the end of the connection.  A request for
     which a backend server could find another end than this program must not
     be forwarded, because it may hide a second request.

     The end is certain with at most one length (or equal ones), or with chunks
     as the only coding, and when each field line is valid (RFC 9112).  Chunks
     are not part of HTTP/1.0.

     It is not certain either when the head can come from two requests: when a
     caller breaks off a head and sends its next request on the connection, the
     request line becomes the rest of the method, of the target or of a value.
     When it breaks off a body, its next request can begin within a method.  So
     a method of two methods is not valid, nor is the end of one, a target with
     a space, or a value that ends like a request line ("GET / HTTP/1.1").  request.c refuses a
     second one of each field that is read.

     A body with a length that breaks off is completed by the next request, and
     nothing shows it: any bytes can be a body.  */

#ifndef ZP_FRONT_FRAMING_H
#define ZP_FRONT_FRAMING_H

#include "base/str.h"

enum fr_body_kind
{
  FR_BODY_NONE,
  FR_BODY_LENGTH,
  FR_BODY_CHUNKED,
  FR_BODY_UNCERTAIN,
};

/* Initialised to zero: no field read.  */
struct fr_body
{
  enum fr_body_kind kind;
  union
  {
    uint64_t length; /* bytes */
  } u;
};

/* Reads the method and the target of the request, before its fields.  */
void fr_body_read_line (struct fr_body *b, struct zp_str method,
                        struct zp_str target);

/* Reads one field line of the head.  FR_BODY_UNCERTAIN stays.  */
void fr_body_read_field (struct fr_body *b, struct zp_str name,
                         struct zp_str value);

/* Reads one field line behind the last chunk.  */
void fr_body_read_trailer (struct fr_body *b, struct zp_str name,
                           struct zp_str value);

/* Reads the version of the request, "HTTP/1.1", after its fields.  */
void fr_body_read_version (struct fr_body *b, struct zp_str version);

/* Whether RECEIVED bytes can be the body.  */
bool fr_body_is_whole (const struct fr_body *b, uint64_t received);

#endif
