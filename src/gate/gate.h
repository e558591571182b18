/* NAME
     gate - the task of an entry daemon that steers routed requests

   DESCRIPTION
     Takes requests of callers from the front task, selects their route and a
     backend server, forwards them and answers.  It owns the site in force, the
     servers that the roster names, the queues and the requests; it has no
     sockets.  The files of this folder that take a struct gt_gate are parts of
     this one task.

     gate.c     set-up, messages, timer, graceful shutdown
     config.c   the site in force and the failure domains that are evacuated
     servers.c  backend servers and what is known of each
     request.c  one request from its arrival to its answer
     dispatch.c queue, forwarding, retries
     choose.c   choice of a server
     record.c   log lines that explain what became of a request

     A request runs at most once for each request id of its caller, unless its
     route is idempotent: it is sent again only when it is proved not to have
     run, or may run twice.  Nothing has to be shared between daemons for that,
     because every attempt of a caller has an id of its own and reaches one
     daemon.  */

#ifndef ZP_GATE_GATE_H
#define ZP_GATE_GATE_H

#include "base/counter.h"
#include "base/histogram.h"
#include "base/idmap.h"
#include "base/rng.h"
#include "base/slots.h"
#include "gate/settings.h"
#include "roster/table.h"
#include "site/site.h"
#include "steer/blame.h"
#include "steer/egress.h"
#include "steer/health.h"
#include "steer/mix.h"
#include "steer/pace.h"
#include "steer/pool.h"
#include "steer/queue.h"
#include "steer/retry.h"
#include "steer/warm.h"
#include "task/task.h"
#include "ticket/config.h"

/* How often queues are looked at while they hold requests.  */
#define GT_TICK (10 * ZP_MS)

/* Entry daemons that were connected in this time may still send: one that is
   cut off does so without anyone knowing.  */
#define GT_CENSUS_KEPT (30 * ZP_SEC)

/* Servers of a request that are remembered; an attempt after so many may reach
   one of them again.  */
#define GT_TRIED_MAX 8

/* How often the daemons of a region tell each other their work: below the
   250 ms that a server takes for a request on an object new to it.  */
#define GT_WORK_PERIOD (200 * ZP_MS)

/* Bytes of the headers of one message, with those of TCP and IP.  */
#define GT_HEADER_BYTES 400

/* Traffic may move freely between regions for this long after servers have
   been lost: callers come first then.  */
#define GT_LOSS_RECENT (5 * ZP_SEC)

/* What is read from a document by the interface that it came by.  */
struct gt_interface
{
  const struct fr_names *names;

  /* Returns NULL with ERR filled.  */
  struct si_site *(*decode) (struct zp_str document, struct zp_err *err);
};

struct gt_service
{
  char name[ZP_NAME_MAX];
  const struct si_service
      *settings; /* of the site in force; NULL: not in it */
  struct st_queue *queue;
  struct st_budget budget;
  struct st_health_group group;
  unsigned running; /* requests of this daemon */
  struct st_times times;
  struct zp_counter *requests, *answered, *refused, *maybe, *retries;
  struct zp_histogram answer_time; /* from arrival to answer */
  struct zp_histogram server_time; /* of one attempt */
};

struct gt_server
{
  uint64_t hash; /* of its id */
  struct gt_service *service;
  struct tk_server report;
  zp_time cold_until;
  zp_time domain_way; /* there and back to its failure domain */
  size_t region;      /* its number */
  bool evacuated;     /* its failure domain */
  struct st_pool_load load;
  struct st_health health;
  struct st_pace pace;
  struct st_warm warm;
  zp_time usual; /* service time, smoothed; 0: none yet */
  unsigned answers;
};

/* Way there and back to a failure domain.  */
struct gt_way
{
  char failure_domain[ZP_NAME_MAX];
  zp_time way;
};

enum gt_phase
{
  GT_QUEUED,
  GT_RUNNING, /* at a backend server */
  GT_ENDING,  /* neither */
};

/* The choice of a server and what it rested on.  */
struct gt_choice
{
  char server[ZP_NAME_MAX]; /* empty: none */
  zp_time wait, finish, patience, way;
  double work;
  unsigned slots;
  zp_time load_age; /* of the server's last word on its load; below 0: none */
  bool cold;
};

struct gt_request
{
  uint64_t id;
  uint64_t http;
  struct tk_msg *msg; /* TK_HTTP_REQUEST */
  struct gt_service *service;
  enum gt_phase phase;
  bool answered; /* the caller has its answer or has left */

  /* Of its route.  */
  bool idempotent;
  unsigned priority, attempts_max;
  zp_time objective;
  uint64_t object;      /* hash of what it concerns; 0: not known */
  uint64_t fingerprint; /* of method, path and body */
  struct zp_buf
      homes; /* regions it may be served in, one a line; empty: all */

  zp_time arrived, deadline;
  struct st_queue_ref ref;
  unsigned attempts;
  enum zp_verdict furthest;
  uint64_t tried[GT_TRIED_MAX];
  uint64_t server; /* hash; of the attempt in flight */
  zp_time started;
  bool fresh;
  bool warm;               /* the server was expected to know the object */
  struct gt_choice choice; /* the last one */
};

struct gt_gate
{
  struct tk_loop *loop;
  struct tk_task task;
  struct tk_task *forward, *roster, *follower;
  const struct gt_settings *settings;
  const struct gt_interface *interface;
  struct zp_rng rng;
  ev_timer timer;
  ev_timer work_timer;

  struct ti_config *config;
  struct si_site *site; /* NULL before the first configuration */
  int64_t **credit;     /* of the parts of each route */

  struct ro_table table;
  struct gt_server **server;
  size_t servers;
  /* For gt_choose, with room for every server.  */
  struct st_pool_candidate *choice_candidate;
  struct gt_server **choice_server;
  struct gt_way *way;
  size_t ways;
  struct st_mix mix;
  struct st_egress egress;
  struct st_blame blame;
  char region[ST_MIX_REGIONS][ZP_NAME_MAX]; /* by number */
  size_t regions;
  zp_time lost_at; /* servers were lost last; 0: never */

  unsigned daemons;                   /* entry daemons that may send */
  struct st_budget_terms retry_terms; /* the part of this one */
  zp_time daemons_at;

  struct gt_service **service;
  size_t services;
  struct zp_slots requests;
  struct zp_idmap by_http; /* by the front's id */

  struct fr_server *front, *ready;
  bool leaving;
  zp_time leaving_since;
  void (*stopped) (void *self);
  void *stopped_self;
};

/* config.c */
void gt_config_take (struct gt_gate *g, const struct tk_config *c);
bool gt_config_evacuated (const struct gt_gate *g, const char *failure_domain);
void gt_config_free (struct gt_gate *g);
struct gt_service *gt_service_get (struct gt_gate *g, struct zp_str name);

/* servers.c */
void gt_server_take (struct gt_gate *g, const struct tk_server *s);
void gt_server_wrong (struct gt_gate *g, struct gt_server *s);
void gt_server_cold (struct gt_gate *g, const char *failure_domain,
                     zp_time now);
struct gt_server *gt_server_find (struct gt_gate *g, uint64_t hash);
void gt_server_connected (struct gt_gate *g, struct gt_server *s, zp_time way);
bool gt_server_usable (const struct gt_gate *g, const struct gt_server *s,
                       const struct gt_request *q, zp_time now);
/* Whether S could get Q soon: it is not, like gt_server_usable, asked whether
   it may get it now.  */
bool gt_server_eligible (const struct gt_gate *g, const struct gt_server *s,
                         const struct gt_request *q);
double gt_server_cold_rate (const struct gt_server *s);
bool gt_server_is_cold (const struct gt_server *s, zp_time now);

/* Tells the roster what this daemon has at each server, and takes what the
   others have.  */
void gt_server_tell_work (struct gt_gate *g);
void gt_server_take_work (struct gt_gate *g, const struct tk_work *w);

/* The usual time of a request of S's service.  */
zp_time gt_service_usual (const struct gt_service *s);

/* The same at S, which may be slower than the others.  */
zp_time gt_server_usual (const struct gt_server *s);
/* Notes that servers were lost.  */
void gt_server_lost (struct gt_gate *g);

/* The number of a region; the last one stands for all that have none.  */
size_t gt_region_number (struct gt_gate *g, struct zp_str region);

/* Notes at every server whether its failure domain is evacuated now.  */
void gt_server_note_evacuations (struct gt_gate *g);

/* request.c */
void gt_request_start (struct gt_gate *g, struct tk_msg *m);
void gt_request_gone (struct gt_gate *g, uint64_t http);
void gt_request_answer (struct gt_gate *g, struct gt_request *q,
                        struct tk_forward_done *d);

/* Refuses and releases Q, which is at no server.  */
void gt_request_refuse (struct gt_gate *g, struct gt_request *q,
                        const char *reason, bool again);
void gt_request_free (struct gt_gate *g, struct gt_request *q);

/* choose.c: chooses a server for Q.  OUT is set when there is one.  */
struct st_pool_choice gt_choose (struct gt_gate *g, const struct gt_request *q,
                                 zp_time now, struct gt_server **out);

/* record.c */
void gt_record_choice (struct gt_request *q, const struct gt_server *s,
                       const struct st_pool_choice *c, zp_time patience,
                       zp_time now);
void gt_record_attempt (const struct gt_gate *g, const struct gt_request *q,
                        const struct tk_forward_done *d, enum st_end end);
void gt_record_refusal (const struct gt_gate *g, const struct gt_request *q,
                        const char *reason, zp_time again, zp_time now);
void gt_record_health (const struct gt_server *s, const char *text,
                       enum st_end end, zp_time pause);
void gt_record_no_route (const struct gt_gate *g,
                         const struct tk_http_request *h);

/* dispatch.c */
void gt_dispatch_admit (struct gt_gate *g, struct gt_request *q);
void gt_dispatch_service (struct gt_gate *g, struct gt_service *s);
void gt_dispatch_done (struct gt_gate *g, struct tk_msg *m);
void gt_dispatch_tick (struct gt_gate *g);

/* gate.c */
void gt_wake (struct gt_gate *g);

/* What this daemon says of itself.  */
struct tk_daemon gt_gate_self (const struct gt_gate *g);

struct gt_gate *gt_gate_open (struct tk_loop *l, const struct gt_settings *s,
                              const struct gt_interface *i,
                              struct zp_err *err);
void gt_gate_close (struct gt_gate *g);

#endif
