/* NAME
     request - one request of a caller inside the router

   DESCRIPTION
     A request is in one phase at a time.  It has at most one attempt at a
     backend server in flight, under the id of the request.  Until the
     TK_FORWARD_DONE of that attempt arrives, the request is neither retried
     nor released.  */

#ifndef ZP_ENTRY_REQUEST_H
#define ZP_ENTRY_REQUEST_H

#include "entry/router.h"
#include "steer/place.h"

enum en_phase
{
  EN_CLAIMING, /* at most once: waits for a quorum of claims */
  EN_PARKED,   /* in the list of its service, outside the queue: waits for the
                  one server it may use, for a server without other requests,
                  or for a server that it has not tried */
  EN_QUEUED,
  EN_RUNNING,  /* at a backend server */
  EN_DETACHED, /* between two phases, or only its claims are still completed */
};

struct en_request
{
  uint64_t id;
  uint64_t http; /* id of the HTTP exchange in the front task */
  bool answered; /* an answer was sent or the caller has left */
  enum en_phase phase;
  struct tk_msg *msg; /* TK_HTTP_REQUEST */
  struct en_service *service;
  struct en_workspace *workspace; /* NULL: none is needed */
  bool token;                     /* one of the limit of WORKSPACE is taken */
  unsigned limit_wait_s; /* until the limit has a token; 0: not over it */
  /* Parked because the free slots are outside the home regions of
     WORKSPACE.  */
  bool waits_for_home;
  bool once;
  zp_time arrived, deadline;

  struct oc_attempt *attempt; /* of an at-most-once request */

  /* Protection against requests that crash servers.  */
  struct st_fp fingerprint;
  struct st_run_ref run;
  bool alone; /* suspect: may run only on a server without other requests */
  uint64_t only_server; /* hash of the one server it may use; 0: any */
  /* Requests with the same fingerprint that are in flight, or that may still
     run after they were cancelled or timed out.  */
  uint32_t copies;
  zp_time copies_since; /* no copy was answered since then */

  /* Queue.  */
  struct st_queue_ref ref;
  struct en_request *next_parked;

  /* Attempts.  */
  unsigned attempts;
  bool retry;
  enum zp_verdict verdict;      /* combined from all attempts so far */
  uint64_t tried[EN_TRIED_MAX]; /* hashes of servers */

  /* The attempt in flight.  */
  char server[ZP_NAME_MAX];
  char region[ZP_NAME_MAX]; /* of the server */
  uint64_t server_hash;
  struct st_placement placement; /* why that server was chosen */
  zp_time started;
  bool fresh; /* on a new connection */
  struct en_link_use link;
  bool lease_lost; /* cancelled; its slot counts as released already */
  bool processing; /* inside en_claims_process */
};

/* Forwards the request to a server now, queues it, parks it or refuses it.  */
void en_request_admit (struct en_router *r, struct en_request *q);

/* Refuses a request that has no attempt in flight, and releases it.  Seals the
   key of an at-most-once request first, so the answer may come later.  */
void en_request_refuse (struct en_router *r, struct en_request *q,
                        unsigned status, const char *reason,
                        unsigned retry_after_s);

/* Sends the caller the answer in D, or a refusal.  Both do nothing when
   q->answered is set, and don't release Q.  */
void en_request_send_answer (struct en_router *r, struct en_request *q,
                             struct tk_forward_done *d);
void en_request_send_refusal (struct en_router *r, struct en_request *q,
                              unsigned status, enum zp_verdict verdict,
                              const char *reason, unsigned retry_after_s);

void en_request_free (struct en_router *r, struct en_request *q);

/* Carries out all pending actions of the claims of Q.  May release Q.  */
void en_claims_process (struct en_router *r, struct en_request *q);

/* dispatch.c: retries Q; adds it to or removes it from the parked requests.
 */
void en_dispatch_retry (struct en_router *r, struct en_request *q);
void en_dispatch_unpark (struct en_service *s, struct en_request *q);
void en_dispatch_park (struct en_service *s, struct en_request *q);

/* candidates.c: fills OUT with the servers that Q could be forwarded to, and
   INDEXES with their indexes in r->holder.server.  Both arrays have room for
   all held servers.  Returns the number of servers.  */
size_t en_dispatch_candidates (struct en_router *r, const struct en_request *q,
                               struct st_candidate *out, size_t *indexes,
                               zp_time now);

/* Chooses a server for Q.  Sets INDEX, in r->holder.server, when the result is
   ST_PLACED or ST_PLACED_PROBE.  */
struct st_placement en_dispatch_choose (struct en_router *r,
                                        const struct en_request *q,
                                        size_t *index, zp_time now);

/* The entry daemon that lends the slots of the held server AT, an index in
   r->holder.server.  Its region counts as the region of the server.  NULL when
   no lease is left.  */
const struct st_member *en_held_server_owner (const struct en_router *r,
                                              size_t at);

/* request_log.c: log lines about requests.  PAUSE is the time that the server
   stays ejected, 0 when it is not ejected.  en_log_unclaimed is for requests
   that are refused before their claim.  */
void en_log_refusal (const struct en_router *r, const struct en_request *q,
                     enum zp_verdict verdict, const char *reason,
                     unsigned retry_after_s);
void en_log_unclaimed (const struct en_router *r, const struct en_service *s,
                       const struct tk_http_request *h, const char *text,
                       const char *reason);
void en_log_attempt (const struct en_router *r, const struct en_request *q,
                     const struct tk_forward_done *d, enum st_attempt_end end,
                     zp_time now);
void en_log_health (const struct en_request *q, const char *text,
                    enum st_attempt_end end, zp_time pause);
void en_log_lease_lost (const struct en_request *q);

/* candidates.c: whether a server that Q has not tried could take it.  */
bool en_dispatch_has_other (struct en_router *r, struct en_request *q);

#endif
