/* NAME
     header - HTTP header blocks

   DESCRIPTION
     A header block is a buffer of "Name: value\n" lines, one for each header
     that is forwarded unchanged between caller and backend server.  It never
     holds hop-by-hop headers or headers that zinniapost sets itself.  */

#ifndef ZP_FRONT_HEADER_H
#define ZP_FRONT_HEADER_H

#include "base/str.h"

/* The names of the headers that zinniapost reads or sets.  NULL: not in use.
   Headers of the first group are not forwarded, but set anew for each
   connection; those of the second group are read and forwarded.  */
struct fr_header_names
{
  const char *deadline_ms; /* time left, in milliseconds */
  const char *request_id;
  const char *verdict;    /* enum zp_verdict: whether the request ran */
  const char *key;        /* idempotency key */
  const char *expect;     /* id of the only server that may run the request */
  const char *credential; /* key of a workspace; from callers only */
  const char *workspace;  /* its name; to backend servers only */
  const char
      *leaving; /* present: the server leaves and takes no new request */

  const char *affinity; /* requests with equal values use the same object */
  const char *stamp;    /* present: made by the server itself */
  const char *not_run;  /* present: the server did not run the request */
  const char *load;     /* "running,waiting,slots" of the server */
  const char *cold_ms;  /* milliseconds until the server is warm */
  const char *instance; /* id of the server */

  /* Every answer of a backend server repeats the request id.  Without this,
     an answer that has none is taken for the answer to the request that
     waits.  */
  bool answers_have_id;
};

/* The names of zinniapost's native interface.  */
extern const struct fr_header_names fr_header_names_default;

/* Whether a header is forwarded unchanged.  */
bool fr_header_is_forwarded (const struct fr_header_names *names,
                             struct zp_str name);

/* Appends a line to BLOCK.  Drops a header that is not forwarded or that would
   make BLOCK larger than ZP_HEADERS_MAX bytes.  */
void fr_header_put (const struct fr_header_names *names, struct zp_buf *block,
                    struct zp_str name, struct zp_str value);

/* VALUE without surrounding spaces and tabs.  */
struct zp_str fr_header_trim (struct zp_str value);

/* Removes the first line of REST and splits it into NAME and VALUE, without
   surrounding spaces and tabs.  Returns false when REST is empty.  */
bool fr_header_next (struct zp_str *rest, struct zp_str *name,
                     struct zp_str *value);

/* Whether the value LIST, elements with commas between them, has TOKEN.  */
bool fr_header_has_token (struct zp_str list, const char *token);

/* Compares without regard to case, as HTTP header names require.  Returns
   false when EXPECTED is NULL.  */
bool fr_header_is (struct zp_str name, const char *expected);

#endif
