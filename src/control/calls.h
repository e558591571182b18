/* NAME
     calls - decides what a control daemon does with a struct ct_call

   DESCRIPTION
     Pure functions without I/O.  A call is answered from the state, redirected
     to the leader, turned into a command for the replicated log, or handed to
     the roster of backend servers.

     Calls that need the leader are those of operators: put and read the
     document, and evacuate a failure domain.  Every member takes the others.
     A put whose number is not above that of the document in force, and an
     evacuation that is already in the wanted state, are answered as done:
     they are resends of calls that took effect.  */

#ifndef ZP_CONTROL_CALLS_H
#define ZP_CONTROL_CALLS_H

#include "control/call.h"
#include "control/daemons.h"
#include "control/operators.h"

/* Largest document, in bytes.  The log stores it compressed to about a tenth,
   which fits into LG_ENTRY_MAX.  */
#define CT_DOCUMENT_MAX (4 * 1024 * 1024)

/* Most entry VMs in one reply to a caller.  */
#define CT_LOOKUP_MAX 64

enum ct_action_kind
{
  CT_ACTION_REPLY,   /* reply now */
  CT_ACTION_PROPOSE, /* propose a command; reply when it is applied */
  CT_ACTION_SERVER,  /* hand the report of a server to the roster */
};

struct ct_action
{
  enum ct_action_kind kind;
  union
  {
    struct ct_reply reply;
    struct zp_buf command;
    struct tk_server server;
  } u;

  /* Storage that the reply points to.  */
  struct zp_buf document;
  struct zp_str address[CT_LOOKUP_MAX];
};

/* The state that decisions read.  */
struct ct_calls_view
{
  const struct ti_store *store;
  struct ct_leadership leadership;
  const struct ct_daemons *daemons;
  zp_time lookup_ttl;
  zp_time wall_now;
};

/* Fills OUT.  The caller frees its document and, for CT_ACTION_PROPOSE, its
   command.  */
void ct_calls_decide (const struct ct_call *call,
                      const struct ct_calls_view *v, struct ct_action *out);

/* The document in force; NULL before the first one.  */
const struct ti_document *ct_calls_document (const struct ti_store *s);

/* Whether the reply to a server's report has to wait until no entry daemon
   will send the server new requests for much longer (see roster.h).  True in
   the states TK_SERVER_DRAINING and TK_SERVER_GONE.  */
bool ct_calls_defers_reply (const struct tk_server *s);

/* The reply to a call that only the leader can take: a redirect when the
   leader is known, otherwise CT_REPLY_UNAVAILABLE.  */
struct ct_reply ct_calls_not_leader (const struct ct_leadership *leadership);

#endif
