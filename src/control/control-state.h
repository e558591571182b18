/* NAME
     control-state - the state of the control task, private to its files

   DESCRIPTION
     control.c        set-up, messages, timer
     control-http.c   HTTP requests and their answers
     control-log.c    callbacks of the replicated log  */

#ifndef ZP_CONTROL_CONTROL_STATE_H
#define ZP_CONTROL_CONTROL_STATE_H

#include "control/control.h"
#include "control/quotas.h"
#include "control/replica.h"
#include "control/reports.h"
#include "control/roster.h"
#include "control/shifts.h"
#include "control/status.h"
#include "control/waiting.h"
#include "follow/source.h"
#include "front/server.h"

struct ct_control
{
  const struct ct_settings *settings;
  struct tk_loop *loop;
  struct tk_task task;
  struct ti_store *store;
  struct ct_replica *replica;
  struct fr_server *front;     /* HTTP server of operators */
  struct fr_server *directory; /* HTTP server of callers; NULL: none */
  const struct ct_interface *interface; /* NULL: the product's own */
  struct ct_roster roster;
  struct fo_source *source; /* NULL: no "follow" in the settings */
  struct ct_reports reports;
  struct ct_shifts shifts;
  struct ct_quotas quotas;
  struct ct_waiting_list waiting;
  uint64_t proposals;     /* number of the last proposal */
  uint64_t member_change; /* number of the pending proposal that changes the
                             members of the log; 0: none */
  uint64_t term;          /* of the last entry applied */
  bool fresh, leads;      /* the state last sent as TK_CONFIG_FRESH */
  char leader_http[ZP_ADDRESS_MAX];
  ev_timer tick;
  zp_time reconciled_at; /* last comparison of members with the tickets */
  zp_time shifts_at;     /* when shifts are decided next */
  zp_time stop_at;       /* deadline of the shutdown; 0: not stopping */
};

/* control.c */

/* Whether this member leads, and otherwise where the leader is.  */
struct ct_leadership ct_control_leadership (struct ct_control *c);

/* Sends TK_CONFIG_FRESH to the sources of configuration and roster when this
   member becomes current or stale: lg_core_is_current, and for a follower a
   contact with the leader within CONTACT_MAX_AGE.  Also when it becomes the
   owner of the rate limits (quotas.h), or is it no longer.  */
void ct_control_update_fresh (struct ct_control *c);

/* Proposes the leaves of servers that wait for it, here or at the leader.  */
void ct_control_propose_leaves (struct ct_control *c);

/* Proposes LEAVE on the leader.  */
void ct_control_propose_leave (struct ct_control *c,
                               const struct ti_leave *leave);

/* control-http.c */
void ct_control_request (struct ct_control *c,
                         const struct tk_http_request *r);

/* Handles the log's reply to the proposal of W.  Any reply but
   LG_REPLY_ACCEPTED ends W: its request is answered and W is removed.  */
void ct_control_take_reply (struct ct_control *c, struct ct_waiting_request *w,
                            const struct lg_reply *reply);

/* Answers the reports of servers in the state draining or gone that all entry
   daemons have applied, or that have waited for CT_REPORT_ACK_TIMEOUT.  */
void ct_control_answer_reports (struct ct_control *c);

/* control-log.c */
extern const struct ct_replica_callbacks ct_control_callbacks;

#endif
