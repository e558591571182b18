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
#define CT_ENTRIES_MAX 64

enum ct_step_kind
{
  CT_STEP_REPLY,
  CT_STEP_PROPOSE,
  CT_STEP_SERVER, /* a report for the roster */
};

struct ct_step
{
  enum ct_step_kind kind;
  union
  {
    struct ct_reply reply;
    struct zp_buf command;
    struct tk_server server;
  } u;

  /* What the reply points to.  */
  struct zp_buf document;
  struct zp_str address[CT_ENTRIES_MAX];
};

struct ct_calls_view
{
  const struct ti_store *store;
  struct ct_leadership standing;
  const struct ct_daemons *daemons;
  zp_time lookup_ttl;
  zp_time wall;
};

/* The caller releases OUT's document and command.  */
void ct_calls_decide (const struct ct_call *call,
                      const struct ct_calls_view *v, struct ct_step *out);

/* Whether a report of a server may be acknowledged only when no entry daemon
   will send it new work for much longer.  */
bool ct_calls_binding (const struct tk_server *s);

/* The reply to a proposal that was not decided here.  */
struct ct_reply ct_calls_refused (const struct ct_leadership *s);

#endif
