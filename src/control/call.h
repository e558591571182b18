/* NAME
     call - the calls of operators and backend servers, apart from their
     encoding

   DESCRIPTION
     A control daemon can speak another interface than the product's own one.
     The interface turns an HTTP request into a struct ct_call and a struct
     ct_reply into an answer; what a call does is decided on these types.

     Views in a call live as long as the request.  */

#ifndef ZP_CONTROL_CALL_H
#define ZP_CONTROL_CALL_H

#include "front/header.h"
#include "task/msg.h"
#include "ticket/object.h"

enum ct_call_kind
{
  CT_CALL_BAD,      /* cannot be read, or breaks a rule of the interface */
  CT_CALL_UNKNOWN,  /* no such call */
  CT_CALL_PUT,      /* a whole document under the operators' number */
  CT_CALL_READ,     /* the document in force */
  CT_CALL_EVACUATE, /* drain a failure domain, or end that */
  CT_CALL_SERVER,   /* a backend server's report of itself */
  CT_CALL_ENTRIES,  /* which entry VMs a caller may use */
  CT_CALL_METRICS,
};

struct ct_put
{
  uint64_t number;
  struct zp_str body;
};

struct ct_evacuate
{
  struct ti_text failure_domain;
  bool on;
};

struct ct_entries
{
  char region[ZP_NAME_MAX];
  char failure_domain[ZP_NAME_MAX];
};

struct ct_call
{
  enum ct_call_kind kind;
  union
  {
    struct zp_err bad;
    struct ct_put put;
    struct ct_evacuate evacuate;
    struct tk_server server;
    struct ct_entries entries;
  } u;
};

enum ct_reply_kind
{
  CT_REPLY_DONE,
  CT_REPLY_BAD,     /* the call will never be accepted */
  CT_REPLY_UNKNOWN, /* no such call, or nothing to read yet */
  CT_REPLY_DOCUMENT,
  CT_REPLY_ENTRIES,
  CT_REPLY_METRICS,
  CT_REPLY_LEADER,      /* the leader takes the call */
  CT_REPLY_UNAVAILABLE, /* nothing was done; try again */
};

struct ct_reply
{
  enum ct_reply_kind kind;
  union
  {
    const char *bad;
    struct zp_str document;
    struct
    {
      const struct zp_str *address;
      size_t len;
      zp_time ttl;
    } entries;
    struct zp_str leader; /* "IP:port" */
  } u;
};

struct ct_interface
{
  const struct fr_header_names *names;
  void (*decode) (const struct tk_http_request *r, struct ct_call *out);
  void (*encode) (const struct tk_http_request *r,
                  const struct ct_reply *reply, struct tk_http_answer *out);
};

#endif
