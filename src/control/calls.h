/* NAME
     calls - what a control daemon does with a call of another interface

   DESCRIPTION
     Pure decisions on struct ct_call: a call is answered from the state, sent
     on to the leader, turned into a command for the log, or handed to the
     roster of backend servers.  */

#ifndef ZP_CONTROL_CALLS_H
#define ZP_CONTROL_CALLS_H

#include "control/call.h"
#include "control/daemons.h"
#include "control/operators.h"

/* Bytes of a document.  The log holds it compressed to about a tenth, within
   LG_ENTRY_MAX.  */
#define CT_DOCUMENT_MAX (4 * 1024 * 1024)

/* Entry VMs in one answer to a caller.  */
#define CT_LOOKUP_MAX 64

enum ct_action_kind
{
  CT_ACTION_REPLY,
  CT_ACTION_PROPOSE,
  CT_ACTION_SERVER, /* a report for the roster */
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

  /* What the reply points to.  */
  struct zp_buf document;
  struct zp_str address[CT_LOOKUP_MAX];
};

struct ct_calls_view
{
  const struct ti_store *store;
  struct ct_standing leadership;
  const struct ct_daemons *daemons;
  zp_time lookup_ttl;
  zp_time wall_now;
};

/* The caller releases OUT's document and command.  */
void ct_calls_decide (const struct ct_call *call,
                      const struct ct_calls_view *v, struct ct_action *out);

/* Whether a report of a server may be acknowledged only when no entry daemon
   will send it new work for much longer.  */
bool ct_calls_defers_reply (const struct tk_server *s);

/* The reply to a proposal that was not decided here.  */
struct ct_reply ct_calls_not_leader (const struct ct_standing *s);

#endif
