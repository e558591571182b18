/* NAME
     command - encoding of the commands in the replicated log

   DESCRIPTION
     Each entry of the replicated log holds one command in JSON, which changes
     the state of the ticket store.  NOW is the wall clock of the leader that
     proposed the command, in microseconds.  Members use it instead of their
     own clocks, so that all of them reach the same state.

   RETURN VALUE
     ti_command_decode returns false with ERR filled (ZP_ECORRUPT, or the error
     of the JSON parser).  */

#ifndef ZP_TICKET_COMMAND_H
#define ZP_TICKET_COMMAND_H

#include "ticket/leaves.h"
#include "ticket/ticket.h"

enum ti_command_kind
{
  TI_SUBMIT,
  TI_REVIEW,
  TI_NUMBER,
  TI_STEP,
  TI_PUT,
  TI_EVACUATE,
  TI_LEAVE,
};

struct ti_submit_command
{
  struct ti_ticket *ticket;
};

struct ti_review_command
{
  struct ti_digest digest;
  struct ti_text reviewer;
};

struct ti_number_command
{
  struct ti_digest digest;
  uint64_t number; /* claimed; 0: the ticket's own claim or the next number */
};

/* One step of a shift, proposed by the leader: changes the share that has been
   moved from BEFORE to AFTER.  The step is refused when the share is not
   BEFORE, so that a step that was proposed twice is applied once.  The leader
   enforces the cap over a window of time; the store only refuses a single step
   that is larger than the cap.  */
struct ti_step_command
{
  struct ti_text shift;
  uint32_t before, after; /* millionths */
};

/* Replaces the document of the routes without a ticket.  Has no effect unless
   NUMBER is higher than the number of the document in force.  */
struct ti_put_command
{
  uint64_t number;
  struct ti_blob body; /* as in struct ti_document */
};

/* Starts (ON) or ends the drain of a failure domain without a ticket.  */
struct ti_evacuate_command
{
  struct ti_text failure_domain;
  bool on;
};

/* A backend server has left.  LEAVE.at is not used: NOW of the command
   counts.  */
struct ti_leave_command
{
  struct ti_leave leave;
};

struct ti_command
{
  enum ti_command_kind kind;
  zp_time now;
  union
  {
    struct ti_submit_command submit;
    struct ti_review_command review;
    struct ti_number_command number;
    struct ti_step_command step;
    struct ti_put_command put;
    struct ti_evacuate_command evacuate;
    struct ti_leave_command leave;
  } u;
};

/* Appends the JSON text of C to OUT.  */
void ti_command_encode (const struct ti_command *c, struct zp_buf *out);
bool ti_command_decode (struct zp_str bytes, struct ti_command *out,
                        struct zp_err *err);

/* Frees the members of C, not C itself.  */
void ti_command_clear (struct ti_command *c);

#endif
