/* NAME
     router - the task of an entry daemon that makes all decisions

   DESCRIPTION
     Owns all state that the decisions of this daemon depend on: the
     configuration in force, members, leases, claims, queues and health.  It
     has no sockets; they belong to the front, forward, peer and follow tasks,
     which exchange messages with it.  All files of this folder that take a
     struct en_router run in this one task.

     router.c      set-up, dispatch of messages, timer, graceful shutdown
     config.c      configuration in force
     shifts.c      shifts in progress
     capacity.c    leases: lessor, holder and their messages
     workspaces.c  keys, limits and home regions of workspaces
     links.c       this daemon's shares of the links between regions
     request.c     one request from its arrival to its answer
     dispatch.c    admission, queue, forwarding, retries, parked requests
     candidates.c  the servers that a request could be forwarded to
     claims.c      at-most-once claims of this daemon and of others
     suspects.c    reports of requests suspected to crash servers
     lookup.c      look-ups
     announce.c    announcements of backend servers
     status.c      /v1/status and /metrics
     explain.c     /v1/explain: the decision that a request would get now
     request_log.c log lines about requests  */

#ifndef ZP_ENTRY_ROUTER_H
#define ZP_ENTRY_ROUTER_H

#include "base/counter.h"
#include "base/idmap.h"
#include "base/rng.h"
#include "base/slots.h"
#include "entry/links.h"
#include "entry/members.h"
#include "entry/plan.h"
#include "entry/settings.h"
#include "entry/workspaces.h"
#include "once/attempt.h"
#include "once/member.h"
#include "steer/health.h"
#include "steer/holder.h"
#include "steer/poison.h"
#include "steer/queue.h"
#include "steer/retry.h"
#include "steer/stop.h"
#include "steer/shift.h"
#include "task/task.h"

/* Period of the router's timer.  */
#define EN_TICK (20 * ZP_MS)

/* Bytes to assume for the headers of a message between an entry daemon and a
   backend server.  */
#define EN_HEADER_BYTES 300

/* Most attempts of one request, and so most servers that it has tried.  */
#define EN_TRIED_MAX ST_RETRY_ATTEMPTS

struct en_request;

/* State of this daemon for one service.  Never removed: requests of a service
   that has left the configuration may still be in progress.  */
struct en_service
{
  char name[ZP_NAME_MAX];
  /* From the configuration in force; NULL: the service is not in it.  */
  const struct ti_service *settings;
  struct st_queue *queue;
  struct st_budget budget;
  struct st_health_group group;
  struct en_request *parked; /* list in the order of parking */
  size_t parked_len;
  size_t running;
  zp_time running_age;  /* sum over the running requests, at the last tick */
  int64_t answer_bytes; /* expected size of an answer, with headers */
  /* REFUSED counts refusals with the verdict not-run, MAY_HAVE_RUN the other
     refusals.  */
  struct zp_counter *requests, *answered, *refused, *may_have_run, *retries;
};

/* Health of one backend server.  */
struct en_server
{
  uint64_t hash; /* zp_str_hash of its id */
  struct en_service *service;
  struct st_health health;
  unsigned running; /* requests of this daemon in flight there */
  bool reserved;    /* a suspect request runs alone there */
  zp_time seen;     /* when it was last a candidate */
  /* Last tick at which it announced to this daemon; 0: it does not announce to
     this daemon.  */
  zp_time announced;
};

/* This daemon's progress in one shift.  */
struct en_shift
{
  char name[ZP_NAME_MAX];
  struct st_shift_follower follower;
};

struct en_servers
{
  struct en_server **item;
  size_t len, cap;
};

struct en_router
{
  struct tk_loop *loop;
  struct tk_task task;
  struct tk_task *front, *forward, *peers, *follower, *relay;
  const struct en_settings *settings;
  uint64_t id;
  uint64_t incarnation;
  struct zp_rng rng;
  ev_timer timer;

  /* Configuration.  */
  struct ti_config *config;
  struct en_plan *plan; /* NULL before the first configuration */
  uint64_t term;        /* of the last change */
  bool fresh;           /* the source has contact with the control leader */

  struct st_drains drains;
  struct en_shift *shift; /* this daemon's progress in each shift */
  size_t shifts;
  zp_time shifts_at; /* next update of the moved shares */
  zp_time report_at; /* next report to the control daemons */

  /* Members.  */
  struct en_members members;
  struct st_view view;
  struct st_lookup *lookup;

  /* Capacity.  */
  struct st_lessor lessor;
  struct st_holder holder;
  zp_time summary_at, summary_sent; /* next due; last sent */
  uint64_t summary_hash;            /* of the last summary sent */

  /* Links between regions.  */
  struct en_link *link;
  size_t links;
  zp_time links_at;            /* next reports to the other sharers */
  zp_time links_blocked_until; /* other regions get no requests until then */

  /* Requests.  */
  struct zp_slots requests;
  struct zp_idmap by_http; /* request id by id of the HTTP exchange */
  struct en_service **service;
  size_t services;
  struct en_servers servers;
  struct en_workspaces workspaces;
  struct st_poison *poison;
  struct oc_member *claims;

  struct st_stop stop;          /* graceful shutdown */
  bool complete;                /* STOPPED was called */
  void (*stopped) (void *self); /* called when the shutdown is complete */
  void *stopped_self;
};

/* Sends a frame to MEMBER, or to all members when MEMBER is 0.  Takes over
   PAYLOAD.  */
void en_send (struct en_router *r, uint64_t member, uint8_t kind,
              struct zp_buf payload);

/* config.c.  en_config_send_whole sends the whole configuration, not only the
   last change; it does nothing when TO is NULL.  */
void en_config_apply (struct en_router *r, struct tk_config *c);
void en_config_report (struct en_router *r);
void en_config_send_whole (struct en_router *r, struct tk_task *to);
void en_members_changed (struct en_router *r);
void en_drains_apply (struct en_router *r);

/* shifts.c */
void en_shifts_update (struct en_router *r, bool first);
void en_shifts_tick (struct en_router *r);
void en_shifts_free (struct en_router *r);

/* capacity.c.  en_capacity_step passes the demand of each service to the
   holder, then runs the timers of the lessor and the holder.
   en_capacity_send_summary sends the free slots of this daemon's servers to
   all members, when due or AT_ONCE.  en_capacity_deliver delivers the grants
   and frees them.  en_capacity_take_slot returns false when no slot of SERVER
   is free.  */
void en_capacity_frame (struct en_router *r, const struct tk_peer_frame *f);
void en_capacity_step (struct en_router *r);
void en_capacity_send_summary (struct en_router *r, bool at_once);
void en_capacity_hand_over_all (struct en_router *r);
void en_capacity_hand_over_server (struct en_router *r, struct zp_str server,
                                   uint64_t to);
void en_capacity_return_all (struct en_router *r);
void en_capacity_release_slot (struct en_router *r, struct zp_str server);
bool en_capacity_take_slot (struct en_router *r, struct zp_str server);
void en_capacity_deliver (struct en_router *r, struct st_grants *g);

/* request.c.  Each handles one kind of message: a new request (takes over M),
   a caller that has left, the end of an attempt.  */
void en_request_start (struct en_router *r, struct tk_msg *m);
void en_request_caller_left (struct en_router *r, uint64_t http);
void en_request_attempt_done (struct en_router *r, struct tk_msg *m);

/* dispatch.c */
void en_dispatch (struct en_router *r, struct en_service *s);
void en_dispatch_tick (struct en_router *r);

/* Refuses the requests that wait for a server, because the daemon ends.  */
void en_dispatch_refuse_waiting (struct en_router *r);
void en_dispatch_cancel (struct en_router *r, struct zp_str server,
                         unsigned count);

/* claims.c */
void en_claims_frame (struct en_router *r, const struct tk_peer_frame *f);
void en_claims_tick (struct en_router *r);

/* suspects.c */
void en_suspects_frame (struct en_router *r, const struct tk_peer_frame *f);
void en_suspects_flush (struct en_router *r);
void en_suspects_members (struct en_router *r);

/* lookup.c, announce.c, status.c, explain.c */
void en_lookup (struct en_router *r, const struct tk_http_request *q);
void en_announce (struct en_router *r, const struct tk_http_request *q);
void en_status (struct en_router *r, uint64_t http);
void en_metrics (struct en_router *r, uint64_t http);
void en_explain (struct en_router *r, const struct tk_http_request *q);

/* config.c: the service, or NULL.  */
struct en_service *en_service_find (struct en_router *r, struct zp_str name);

/* candidates.c: the server ID, added when new; the server whose id has the
   hash HASH, or NULL.  */
struct en_server *en_server_get (struct en_router *r, struct en_service *s,
                                 struct zp_str id);
struct en_server *en_server_find (struct en_router *r, uint64_t hash);

struct en_router *en_router_open (struct tk_loop *l,
                                  const struct en_settings *s,
                                  uint64_t incarnation);
void en_router_close (struct en_router *r);

#endif
