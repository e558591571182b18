/* NAME
     request - one request of a caller inside the router

   DESCRIPTION
     A request is in one phase at a time.  It has at most one attempt at a
     backend server in flight, under its own id; the attempt's TK_FORWARD_DONE
     always arrives before anything else is done with the request.  */

#ifndef ZP_ENTRY_REQUEST_H
#define ZP_ENTRY_REQUEST_H

#include "entry/router.h"
#include "steer/place.h"

enum en_phase
{
  EN_CLAIMING, /* at most once: waits for a quorum of claims */
  EN_PARKED,   /* waits for a condition of its own */
  EN_QUEUED,
  EN_RUNNING,  /* at a backend server */
  EN_DETACHED, /* in none of these: between two, or claims are completed */
};

struct en_request
{
  uint64_t id;
  uint64_t http;
  bool answered; /* the caller has its answer or has left */
  enum en_phase phase;
  struct tk_msg *msg; /* TK_HTTP_REQUEST */
  struct en_service *service;
  bool once;
  zp_time arrived, deadline;

  struct oc_attempt *attempt; /* of an at-most-once request */

  /* Poison.  */
  struct st_fp fingerprint;
  struct st_run_ref run;
  bool alone;           /* a suspect request */
  uint64_t only_server; /* 0: any; else the one server it may use */
  uint32_t copies;      /* in flight or open */
  zp_time copies_since; /* none of them was answered since */

  /* Queue.  */
  struct st_queue_ref ref;
  struct en_request *next_parked;

  /* Attempts.  */
  unsigned attempts;
  bool retry;
  enum zp_verdict verdict;
  uint64_t tried[EN_TRIED_MAX];

  /* The attempt in flight.  */
  char server[ZP_NAME_MAX];
  char region[ZP_NAME_MAX]; /* of the server */
  uint64_t server_hash;
  struct st_placement placement; /* why that server */
  zp_time started;
  bool fresh;
  struct en_link_use link;
  bool lease_lost; /* cancelled; its slot counts as given back */
  bool processing; /* inside en_claims_process */
};

/* Puts the request on its way to a server, now or through the queue.  */
void en_request_admit (struct en_router *r, struct en_request *q);

/* Ends a request without an attempt in flight: refuses it and releases it.  */
void en_request_refuse (struct en_router *r, struct en_request *q,
                        unsigned status, const char *reason,
                        unsigned retry_after_s);

/* Gives the caller its answer, from a TK_FORWARD_DONE.  */
void en_request_send_answer (struct en_router *r, struct en_request *q,
                             struct tk_forward_done *d);
void en_request_send_refusal (struct en_router *r, struct en_request *q,
                              unsigned status, enum zp_verdict verdict,
                              const char *reason, unsigned retry_after_s);

void en_request_free (struct en_router *r, struct en_request *q);

/* Acts on the outputs of the request's claims.  The request may be released
   by the call.  */
void en_claims_process (struct en_router *r, struct en_request *q);

/* dispatch.c, candidates.c */
void en_dispatch_retry (struct en_router *r, struct en_request *q);
void en_dispatch_unpark (struct en_service *s, struct en_request *q);
void en_dispatch_park (struct en_service *s, struct en_request *q);

/* Fills OUT and SEATS, which have room for every seat of the holder, with the
   servers that Q could go to; returns their number.  */
size_t en_dispatch_candidates (struct en_router *r, const struct en_request *q,
                               struct st_candidate *out, size_t *seats,
                               zp_time now);

/* Chooses a server for Q.  SEAT is set when one was placed.  */
struct st_placement en_dispatch_choose (struct en_router *r,
                                        const struct en_request *q,
                                        size_t *seat, zp_time now);

/* The entry daemon that lends the slots of seat AT: the servers are where it
   is.  NULL when no lease is left.  */
const struct st_member *en_seat_owner (const struct en_router *r, size_t at);

/* record.c */
void en_log_refusal (const struct en_router *r, const struct en_request *q,
                     enum zp_verdict verdict, const char *reason,
                     unsigned retry_after_s);
void en_log_attempt (const struct en_router *r, const struct en_request *q,
                     const struct tk_forward_done *d, enum st_end end,
                     zp_time now);
void en_log_health (const struct en_request *q, const char *text,
                    enum st_end end, zp_time pause);
void en_log_lease_lost (const struct en_request *q);

/* Whether a server that Q has not tried could take it.  */
bool en_dispatch_has_other (struct en_router *r, struct en_request *q);

#endif
