/* NAME
     control-state - the state of the control task, for its own files

   DESCRIPTION
     control.c        set-up, messages, timer
     control-http.c   requests of operators and servers, and their answers
     control-log.c    callbacks of the replicated log  */

#ifndef ZP_CONTROL_CONTROL_STATE_H
#define ZP_CONTROL_CONTROL_STATE_H

#include "control/control.h"
#include "control/replica.h"
#include "control/reports.h"
#include "control/roster.h"
#include "control/shifts.h"
#include "control/standing.h"
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
  struct fr_server *front;
  struct fr_server *directory;          /* NULL: none */
  const struct ct_interface *interface; /* NULL: the product's own */
  struct ct_roster roster;
  struct fo_source *source; /* NULL: no "follow" in the settings */
  struct ct_reports reports;
  struct ct_shifts shifts;
  struct ct_waiting_list waiting;
  uint64_t proposals;     /* numbers given so far */
  uint64_t member_change; /* proposal of a change of members; 0: none */
  uint64_t term;          /* of the last entry applied */
  bool fresh;             /* as last told to the source */
  char leader_http[ZP_ADDRESS_MAX];
  ev_timer tick;
  zp_time reconciled_at;
  zp_time shifts_at; /* next decisions on shifts */
  zp_time stop_at;   /* 0: not stopping */
};

/* control.c */

/* Who leads, and what this member may answer.  */
struct ct_standing ct_control_standing (struct ct_control *c);

/* Tells the source whether this member can call its configuration current: it
   leads, or hears from the leader.  */
void ct_control_update_fresh (struct ct_control *c);

/* control-http.c */
void ct_control_request (struct ct_control *c,
                         const struct tk_http_request *r);

/* Ends the request W, which waits for the log.  */
void ct_control_take_reply (struct ct_control *c, struct ct_waiting_request *w,
                            const struct lg_reply *reply);

/* Answers the reports of servers whose outcome is known.  */
void ct_control_answer_reports (struct ct_control *c);

/* control-log.c */
extern const struct ct_replica_callbacks ct_control_callbacks;

#endif
