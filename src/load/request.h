/* NAME
     request - one request of a caller: its plan and what the caller does next

   DESCRIPTION
     lo_plan_make draws all arrivals before the run, so that they do not depend
     on answers.  lo_next_action is the caller: it takes how one send ended and
     tells what follows.  Every key has a number: an at-most-once request keeps
     its key until it is told not-run; an idempotent request takes the next
     number for every send, so that each verdict can be checked by itself.  */

#ifndef ZP_LOAD_REQUEST_H
#define ZP_LOAD_REQUEST_H

#include "load/settings.h"

enum lo_outcome
{
  LO_PENDING,
  LO_ANSWERED,
  LO_REFUSED, /* every try was told not-run */
  LO_MAY_HAVE_RUN,
  LO_FAILED, /* it ran, and its server answered an error */
  LO_WRONG,  /* the answer belongs to another request or is not whole */
  LO_OUTCOMES
};

struct lo_request
{
  zp_time at; /* intended arrival, from the start of the run */
  uint8_t service, caller;
  uint8_t outcome;                 /* enum lo_outcome */
  uint8_t key;                     /* number of the key in use */
  uint8_t sends, failovers;        /* moves: entry VMs that were given up */
  bool unresolved;                 /* a send may have run */
  uint32_t not_run_keys, ran_keys; /* bit sets of key numbers */
  uint32_t runs;
};

struct lo_plan
{
  struct lo_request *request; /* by arrival */
  size_t count;
};

enum lo_event
{
  LO_GOT_ANSWER,
  LO_GOT_WRONG,
  LO_GOT_ERROR,
  LO_GOT_NOT_RUN,
  LO_GOT_MAY_HAVE_RUN, /* told so, or the answer was lost or late */
  LO_GOT_NO_CONNECTION,
};

struct lo_action
{
  enum
  {
    LO_END,
    LO_SEND
  } kind;
  union
  {
    enum lo_outcome outcome;
    zp_time delay;
  } u;
};

void lo_plan_make (struct lo_plan *p, const struct lo_settings *s);
void lo_plan_free (struct lo_plan *p);

/* NOW is the time from the start of the run.  */
struct lo_action lo_next_action (struct lo_request *q,
                                 const struct lo_service *s,
                                 enum lo_event event, zp_time now);

#endif
