/* NAME
     command - the commands of the replicated ticket state, as bytes

   DESCRIPTION
     A command is what the log carries.  NOW is the wall clock of the leader
     that proposed it; members take the time from there and never from their
     own clock, so that all of them reach the same state.  */

#ifndef ZP_TICKET_COMMAND_H
#define ZP_TICKET_COMMAND_H

#include "ticket/ticket.h"

enum ti_command_kind
{
  TI_SUBMIT,
  TI_REVIEW,
  TI_NUMBER,
  TI_STEP,
  TI_PUT,
  TI_EVACUATE,
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
  uint64_t number; /* claimed; 0: as the ticket says, or the next one */
};

/* One step of a shift, by the leader.  It is refused when the share moved so
   far is no longer BEFORE, so that a step that was decided twice counts once.
   The leader keeps the cap over a window of time; the store refuses a single
   step above the cap.  */
struct ti_step_command
{
  struct ti_text shift;
  uint32_t before, after; /* millionths */
};

/* Puts a whole document into force, without a ticket.  The highest number
   wins; a number that is not higher changes nothing.  */
struct ti_put_command
{
  uint64_t number;
  struct ti_blob body; /* as in struct ti_document */
};

/* Begins or ends the drain of a failure domain, without a ticket.  */
struct ti_evacuate_command
{
  struct ti_text failure_domain;
  bool on;
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
  } u;
};

void ti_command_encode (const struct ti_command *c, struct zp_buf *out);
bool ti_command_decode (struct zp_str bytes, struct ti_command *out,
                        struct zp_err *err);

/* Releases what C holds, not C itself.  */
void ti_command_clear (struct ti_command *c);

#endif
