/* NAME
     request - planned requests and the retry logic of a caller

   DESCRIPTION
     lo_plan_make draws all arrivals before the run, so that they do not depend
     on answers.  lo_next_action decides what a caller does after one send has
     ended.

     The keys of a request are numbered from 0.  An at-most-once request keeps
     its key until an answer says not-run.  An idempotent request takes a new
     key for every send, so that each verdict can be checked separately.  */

#ifndef ZP_LOAD_REQUEST_H
#define ZP_LOAD_REQUEST_H

#include "load/settings.h"

enum lo_outcome
{
  LO_PENDING, /* none yet */
  LO_ANSWERED,
  LO_REFUSED, /* has not run, as the answers say */
  LO_MAY_HAVE_RUN,
  LO_FAILED,  /* it ran, and its server answered with an error */
  LO_WRONG,   /* the answer is incomplete or belongs to another request */
  LO_OUTCOMES /* number of outcomes */
};

struct lo_request
{
  zp_time at;               /* planned arrival, from the start of the run */
  uint8_t service, caller;  /* indices in the settings */
  uint8_t outcome;          /* enum lo_outcome */
  uint8_t key;              /* number of the key in use */
  uint8_t sends, failovers; /* failovers: changes to the next entry VM */
  bool unresolved;          /* an earlier send may have run */
  /* Bit sets of key numbers: answered not-run, and in the run records.  */
  uint32_t not_run_keys, ran_keys;
  uint32_t runs; /* from the run records */
};

struct lo_plan
{
  struct lo_request *request; /* sorted by arrival */
  size_t count;
};

/* How a send ended.  */
enum lo_event
{
  LO_GOT_ANSWER,
  LO_GOT_WRONG,
  LO_GOT_ERROR,        /* the request ran; the server answered with an error */
  LO_GOT_NOT_RUN,      /* a refusal with that verdict */
  LO_GOT_MAY_HAVE_RUN, /* that verdict, or the answer was lost or late */
  LO_GOT_NO_CONNECTION, /* nothing was sent */
};

struct lo_action
{
  enum
  {
    LO_END,
    LO_SEND, /* send again after DELAY */
  } kind;
  union
  {
    enum lo_outcome outcome;
    zp_time delay;
  } u;
};

/* Draws the requests from the seed of S, at most LO_REQUESTS_MAX.  */
void lo_plan_make (struct lo_plan *p, const struct lo_settings *s);
void lo_plan_free (struct lo_plan *p);

/* Updates Q after a send that ended with EVENT at NOW, counted from the start
   of the run.  Sets the outcome of Q when it returns LO_END.  */
struct lo_action lo_next_action (struct lo_request *q,
                                 const struct lo_service *s,
                                 enum lo_event event, zp_time now);

#endif
