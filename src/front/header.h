/* NAME
     header - HTTP header blocks

   DESCRIPTION
     A header block is a buffer of "Name: value\n" lines.  Hop-by-hop headers
     and those that zinniapost itself sets never enter one.  */

#ifndef ZP_FRONT_HEADER_H
#define ZP_FRONT_HEADER_H

#include "base/str.h"

/* The names of the headers that have a meaning here.  NULL: not in use.  The
   first group is set anew on each side; the second is read and passes.  */
struct fr_header_names
{
  const char *deadline_ms; /* time left, in milliseconds */
  const char *request_id;
  const char *verdict; /* whether the request may have run */
  const char *key;     /* idempotency key */
  const char *expect;  /* id of the one server that may run the request */

  const char *affinity; /* requests with equal values concern one object */
  const char *stamp;    /* the server's mark on its answers */
  const char *not_run;  /* the server did not run the request */
  const char *load;     /* running, waiting and slots of the server */
  const char *cold_ms;  /* how long the server stays cold */
  const char *instance; /* id of the server */
};

/* The names of the product's own interface.  */
extern const struct fr_header_names fr_header_names_default;

/* Whether a header travels from end to end, unchanged.  */
bool fr_header_is_forwarded (const struct fr_header_names *names,
                             struct zp_str name);

/* Appends a line when the header passes and the block stays below
   ZP_HEADERS_MAX.  */
void fr_header_put (const struct fr_header_names *names, struct zp_buf *block,
                    struct zp_str name, struct zp_str value);

/* Takes the next line off REST.  Returns false at the end.  */
bool fr_header_next (struct zp_str *rest, struct zp_str *name,
                     struct zp_str *value);

/* Case-insensitive, as header names are.  */
bool fr_header_is (struct zp_str name, const char *expected); /* NULL: false */

#endif
