/* NAME
     call - the calls of operators, backend servers and callers, independent
     of their encoding

   DESCRIPTION
     A control daemon can serve the HTTP interface of the users' platform in
     place of the product's own one.  A struct ct_interface decodes an HTTP
     request to a struct ct_call and encodes a struct ct_reply as an HTTP
     answer.  calls.h decides on these types what a call does.

     Strings in a call point into the request and are valid as long as the
     request.  Strings in a reply are not copied either: they have to stay
     valid until the reply is encoded.  */

#ifndef ZP_CONTROL_CALL_H
#define ZP_CONTROL_CALL_H

#include "front/header.h"
#include "site/site.h"
#include "task/msg.h"
#include "ticket/object.h"

enum ct_call_kind
{
  CT_CALL_BAD,      /* malformed, or breaks a rule of the interface */
  CT_CALL_UNKNOWN,  /* no such call */
  CT_CALL_PUT,      /* replace the document by the one with a given number */
  CT_CALL_READ,     /* get the document in force */
  CT_CALL_EVACUATE, /* start or end the drain of a failure domain */
  CT_CALL_SERVER,   /* a backend server reports its own state */
  CT_CALL_LOOKUP,   /* list the entry VMs that a caller can use */
  CT_CALL_METRICS,
};

struct ct_put
{
  uint64_t number; /* given by the operators, higher for newer documents */
  struct zp_str body;
};

struct ct_evacuate
{
  struct ti_text failure_domain;
  bool on; /* true: start, false: end */
};

/* Where the caller is; empty names when it does not say.  */
struct ct_lookup
{
  char region[ZP_NAME_MAX];
  char failure_domain[ZP_NAME_MAX];
};

struct ct_call
{
  enum ct_call_kind kind;
  union
  {
    struct zp_err bad; /* why the call is not accepted */
    struct ct_put put;
    struct ct_evacuate evacuate;
    struct tk_server server;
    struct ct_lookup lookup;
  } u;
};

enum ct_reply_kind
{
  CT_REPLY_DONE,
  CT_REPLY_BAD,     /* permanent: the same call will never be accepted */
  CT_REPLY_UNKNOWN, /* no such call */
  CT_REPLY_DOCUMENT,
  CT_REPLY_ENTRY_VMS,
  CT_REPLY_METRICS,
  CT_REPLY_REDIRECT,    /* only the leader takes the call */
  CT_REPLY_UNAVAILABLE, /* temporary: nothing was done, or the outcome is not
                           known; the same call can be sent again */
};

struct ct_reply
{
  enum ct_reply_kind kind;
  union
  {
    const char *bad; /* why the call is not accepted */
    struct zp_str document;
    struct
    {
      const struct zp_str *address;
      size_t len;
      zp_time ttl; /* how long the caller may cache the list */
    } entry_vms;
    struct zp_str leader; /* "IP:port" */
  } u;
};

struct ct_interface
{
  const struct fr_header_names *names; /* of HTTP headers */
  void (*decode) (const struct tk_http_request *r, struct ct_call *out);
  void (*encode) (const struct tk_http_request *r,
                  const struct ct_reply *reply, struct tk_http_answer *out);

  /* Decodes a routing document, for the limits of workspaces.  On failure
     returns NULL with ERR filled.  */
  struct si_site *(*decode_site) (struct zp_str document, struct zp_err *err);
};

#endif
