/* NAME
     router - the task of an entry daemon that decides

   DESCRIPTION
     Owns everything that decisions of this daemon depend on: the configuration
     in force, members, leases, claims, queues, health.  It has no sockets: the
     front, forward, peer and follow tasks have them.  The files of this folder
     that take a struct en_router are parts of this one task.

     router.c     set-up, messages, timer, graceful shutdown
     config.c     configuration in force
     shifts.c     shifts in progress
     capacity.c   leases: lessor, holder and their messages
     links.c      shares of links between regions
     request.c    one request from its arrival to its answer
     dispatch.c   queue, forwarding, retries
     candidates.c the servers that a request could go to
     claims.c     at-most-once claims of this daemon and of others
     suspects.c   poison marks and their reports
     lookup.c     look-ups
     announce.c   announcements of backend servers
     status.c     status and counters
     explain.c    which decisions would be taken now  */

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
#include "once/attempt.h"
#include "once/member.h"
#include "steer/health.h"
#include "steer/holder.h"
#include "steer/poison.h"
#include "steer/queue.h"
#include "steer/retry.h"
#include "steer/shift.h"
#include "task/task.h"

/* How often timers of the parts are looked at.  */
#define EN_TICK (20 * ZP_MS)

/* Bytes of the headers that every message between an entry daemon and a
   backend server has.  */
#define EN_HEADER_BYTES 300

/* Attempts of one request, and so the servers it may have tried.  */
#define EN_TRIED_MAX ST_RETRY_ATTEMPTS

struct en_request;

/* What this daemon keeps for one service.  */
struct en_service
{
  char name[ZP_NAME_MAX];
  const struct ti_service *settings; /* in the configuration in force */
  struct st_queue *queue;
  struct st_budget budget;
  struct st_health_group group;
  struct en_request *parked; /* wait for a condition of their own */
  size_t parked_len;
  size_t running;
  zp_time running_age;  /* sum over them, at the last tick */
  int64_t answer_bytes; /* usual size of an answer */
  struct zp_counter *requests, *answered, *refused, *maybe, *retries;
};

/* Health of one backend server.  */
struct en_server
{
  uint64_t hash; /* zp_str_hash of its id */
  struct en_service *service;
  struct st_health health;
  unsigned running;  /* our requests in flight there */
  bool reserved;     /* a suspect request runs alone there */
  zp_time seen;      /* last a candidate */
  zp_time announced; /* last found among the servers that announce here */
};

/* This daemon's part of one shift.  */
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
  bool fresh;           /* the source is in contact with the leader */

  struct st_drains drains;
  struct en_shift *shift; /* this daemon's part of each shift */
  size_t shifts;
  zp_time shifts_at;
  zp_time report_at; /* next report to control */

  /* Members.  */
  struct en_members members;
  struct st_view view;
  struct st_lookup *lookup;

  /* Capacity.  */
  struct st_lessor lessor;
  struct st_holder holder;
  zp_time summary_at, summary_sent;
  uint64_t summary_hash; /* of the last one sent */

  /* Links between regions.  */
  struct en_link *link;
  size_t links;
  zp_time links_at;      /* next reports */
  zp_time links_blocked; /* other regions are passed over until then */

  /* Requests.  */
  struct zp_slots requests;
  struct zp_idmap by_http; /* by the front's id */
  struct en_service **service;
  size_t services;
  struct en_servers servers;
  struct st_poison *poison;
  struct oc_member *claims;

  /* Graceful shutdown.  */
  bool leaving;
  zp_time leaving_since;
  void (*stopped) (void *self); /* everything is done */
  void *stopped_self;
};

/* Sends to one member, or to all for member 0.  Takes over PAYLOAD.  */
void en_send (struct en_router *r, uint64_t member, uint8_t kind,
              struct zp_buf payload);

/* config.c */
void en_config_take (struct en_router *r, struct tk_config *c);
void en_config_report (struct en_router *r);
void en_config_send_whole (struct en_router *r, struct tk_task *to);
void en_members_changed (struct en_router *r);
void en_drains_apply (struct en_router *r);

/* shifts.c */
void en_shifts_update (struct en_router *r, bool first);
void en_shifts_tick (struct en_router *r);
void en_shifts_free (struct en_router *r);

/* capacity.c */
void en_capacity_frame (struct en_router *r, const struct tk_peer_frame *f);
void en_capacity_step (struct en_router *r);
void en_capacity_summary (struct en_router *r, bool now);
void en_capacity_hand_over (struct en_router *r);
void en_capacity_pass_on (struct en_router *r, struct zp_str server,
                          uint64_t to);
void en_capacity_return_all (struct en_router *r);
void en_capacity_give (struct en_router *r, struct zp_str server);
bool en_capacity_take (struct en_router *r, struct zp_str server);
void en_capacity_grants (struct en_router *r, struct st_grants *g);

/* request.c */
void en_request_start (struct en_router *r, struct tk_msg *m);
void en_request_gone (struct en_router *r, uint64_t http);
void en_request_done (struct en_router *r, struct tk_msg *m);

/* dispatch.c */
void en_dispatch (struct en_router *r, struct en_service *s);
void en_dispatch_tick (struct en_router *r);
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

/* services */
struct en_service *en_service_find (struct en_router *r, struct zp_str name);
struct en_server *en_server_get (struct en_router *r, struct en_service *s,
                                 struct zp_str id);
struct en_server *en_server_find (struct en_router *r, uint64_t hash);

struct en_router *en_router_open (struct tk_loop *l,
                                  const struct en_settings *s,
                                  uint64_t incarnation);
void en_router_close (struct en_router *r);

#endif
