/* NAME
     gate - the task of an entry daemon that decides on routed requests

   DESCRIPTION
     Receives the requests of callers from the front task, selects the route
     and a backend server for each, has it forwarded, retries or refuses it,
     and answers the caller.  The task owns the site in force (routes and
     services), the table of backend servers that the roster task reports, the
     queues and the requests in progress.  Sockets belong to the front, forward
     and roster tasks.  All files of this folder that take a struct gt_gate
     belong to this one task:

     gate.c     set-up, message handling, timers, graceful shutdown
     config.c   the site in force and the evacuated failure domains
     servers.c  state of each backend server and whether it can be used
     expire.c   removal of servers that have been gone for long
     owners.c   which server has an address that several are reported at
     request.c  a request: arrival, answer, refusal, cancellation
     quotas.c   rate limits of workspaces (quotas.h)
     dispatch.c admission, queue, forwarding, retries
     choose.c   choice of a backend server
     log.c      log events about requests and servers

     A request on a sticky route may have an affinity key, which names the data
     that the request needs.  The gate stores the hash of the key ("affinity").
     src/steer calls the data an object and identifies it by this hash.

     A request on an idempotent route can run several times.  Any other request
     runs at most once for each request id: it is retried only when the earlier
     attempt is proved not to have run.  Entry daemons share no state for that,
     because each attempt of a caller has a request id of its own and reaches
     one daemon.  */

#ifndef ZP_GATE_GATE_H
#define ZP_GATE_GATE_H

#include "base/counter.h"
#include "base/histogram.h"
#include "base/idmap.h"
#include "base/rng.h"
#include "base/slots.h"
#include "gate/quotas.h"
#include "gate/settings.h"
#include "roster/loads.h"
#include "roster/table.h"
#include "site/site.h"
#include "steer/crash.h"
#include "steer/egress.h"
#include "steer/health.h"
#include "steer/slew.h"
#include "steer/throttle.h"
#include "steer/balance.h"
#include "steer/queue.h"
#include "steer/retry.h"
#include "steer/stop.h"
#include "steer/warm.h"
#include "task/task.h"
#include "ticket/config.h"

/* Interval between checks of the queues while they hold requests.  */
#define GT_QUEUE_PERIOD (10 * ZP_MS)

/* A lower count of entry daemons is ignored for this long, because a daemon
   that has lost its connections to the control daemons may still send requests
   to backend servers.  */
#define GT_DAEMONS_HOLD (30 * ZP_SEC)

/* Number of servers remembered as tried for one request.  Servers of later
   attempts are not remembered and can be chosen again.  */
#define GT_TRIED_MAX 8

/* Failure domains with an estimate of their own for the round-trip time;
   reports can name any.  The design is for 25.  */
#define GT_DOMAINS_MAX 256

/* Interval at which the entry daemons of a region report to each other how
   many requests they have in progress at each server.  What a daemon knows of
   another is up to two periods and RELAY_PERIOD (src/roster) old, which is
   about the 250 ms that a server takes for a request whose affinity key is new
   to it.  */
#define GT_WORK_PERIOD (125 * ZP_MS)

/* Interval between calls of gt_server_expire.  */
#define GT_EXPIRE_PERIOD (10 * ZP_SEC)

/* Estimated bytes of HTTP, TCP and IP headers of one message.  */
#define GT_HEADER_BYTES 400

/* For this long after a loss of servers, and after a start of this daemon in a
   deployment that was running, requests can shift between regions without a
   limit, because answering callers matters more then.  */
#define GT_LOSS_WINDOW (5 * ZP_SEC)

/* What depends on the protocol of callers and operators.  */
struct gt_interface
{
  const struct fr_header_names *names; /* of HTTP headers */

  /* Decodes a routing document.  On failure returns NULL with ERR filled.  */
  struct si_site *(*decode) (struct zp_str document, struct zp_err *err);
};

struct gt_service
{
  char name[ZP_NAME_MAX];
  const struct si_service
      *settings; /* from the site in force; NULL: the site lacks it */
  struct st_queue *queue;
  struct st_budget budget;
  struct st_health_group group;
  unsigned running; /* requests of this daemon at its servers */
  struct st_service_times service_times; /* of requests with a key */
  struct zp_counter *requests, *answered, *refused_not_run,
      *refused_may_have_run, *retries;
  struct zp_histogram answer_time; /* from arrival to answer */
  struct zp_histogram server_time; /* duration of one attempt */
};

struct gt_server
{
  uint64_t hash;         /* of its id */
  uint64_t address_hash; /* of the address in REPORT */
  struct gt_service *service;
  struct tk_server report; /* the newest one */
  zp_time cold_until;
  zp_time rtt;          /* estimated round-trip time to its failure domain */
  size_t region;        /* see gt_region_number */
  bool evacuated;       /* its failure domain is evacuated */
  bool displaced;       /* a later start has its address, see owners.c */
  bool displaces;       /* it has the address of an earlier start */
  zp_time paused_until; /* it asked for no request until then */
  zp_time answered_at;  /* its last answer; 0: none yet */
  struct st_balance_load load;
  unsigned reported; /* own requests, as last sent to the roster task */

  /* The newest load that an answer to this daemon has stated, while the roster
     task does not have it; otherwise SAMPLED_AT is 0.  */
  struct tk_server_load sample;
  zp_time sampled_at;
  zp_time started_at; /* when its present start was reported */
  struct st_health health;
  struct st_throttle cold_limit; /* rate limit while the server is cold */
  struct st_warm recent_objects; /* data of the requests sent to it lately */
  zp_time mean_time; /* moving average of service times; 0: none yet */
  unsigned answers;  /* that are in MEAN_TIME */
};

/* Estimated round-trip time to a failure domain.  */
struct gt_domain_rtt
{
  char failure_domain[ZP_NAME_MAX];
  zp_time rtt;
};

enum gt_phase
{
  GT_QUOTA, /* waits for a token of the limit of its workspace */
  GT_QUEUED,
  GT_RUNNING,    /* at a backend server */
  GT_UNASSIGNED, /* between two phases: just arrived, to be retried or freed */
};

/* A chosen server and the figures that the choice was based on, for the log.
   Times are durations.  */
struct gt_choice
{
  char server[ZP_NAME_MAX]; /* id; empty: none was chosen */
  zp_time wait;             /* expected wait for a slot */
  zp_time finish;           /* expected time until the answer */
  zp_time wait_max;         /* longest wait that is allowed */
  zp_time rtt;
  double work; /* estimated requests at the server */
  unsigned slots;
  zp_time
      load_age; /* of the newest sample of the server's load, from an answer
                       to this or another daemon; below 0: none */
  bool cold;
};

struct gt_request
{
  uint64_t id;        /* in gt_gate.requests */
  uint64_t front_id;  /* id that the front task gave it */
  struct tk_msg *msg; /* TK_HTTP_REQUEST */
  struct gt_service *service;
  enum gt_phase phase;
  bool answered; /* the caller has its answer or has left */

  /* From its route and its headers.  */
  bool idempotent;
  unsigned priority, attempts_max;
  zp_time objective;    /* for the latency; 0: none */
  uint64_t affinity;    /* hash of the affinity key; 0: no key */
  uint64_t fingerprint; /* hash of method, host, path, query and body */

  /* From its workspace, if it has one.  */
  struct zp_buf workspace; /* its name; empty: none */
  uint64_t workspace_hash; /* of the name; 0: none */
  bool has_token;          /* of the limit of its workspace */

  /* In the phase GT_QUOTA.  */
  struct gt_quota *quota;
  struct gt_request *quota_prev, *quota_next; /* that wait there */
  zp_time quota_since;

  /* From its route and its workspace.  */
  bool any_region;            /* HOME_REGIONS does not apply */
  struct zp_buf home_regions; /* allowed to serve it, one a line; empty: none
                                 can */

  zp_time arrived, deadline;
  struct st_queue_ref queue_ref;
  unsigned attempts;
  enum zp_verdict verdict;      /* of all attempts together */
  uint64_t tried[GT_TRIED_MAX]; /* hashes of servers */

  /* Of the newest attempt.  */
  uint64_t server_hash;
  zp_time attempt_started;
  bool fresh_connection;   /* no kept connection is used */
  bool expect_cached;      /* the server is likely to have its data cached */
  struct gt_choice choice; /* the last one, also when it led to a refusal */
};

struct gt_gate
{
  struct tk_loop *loop;
  struct tk_task task;
  struct tk_task *forward, *roster, *follower;
  const struct gt_settings *settings;
  const struct gt_interface *interface;
  struct zp_rng rng;
  ev_timer timer;      /* of the queues and of a shutdown */
  ev_timer work_timer; /* of gt_server_send_work */

  struct ti_config *config; /* NULL before the first one */
  struct si_site *site;     /* NULL before the first configuration */
  int64_t **split_credit;   /* for si_split_choose, by route and part */

  struct ro_table table; /* newest report of each server */
  struct gt_server **server;
  size_t servers;

  /* Samples of loads are sent to and taken from other daemons.  Set by the first
     pace that a server states to this or another daemon; earlier deployments,
     whose servers state none, are served as before.  */
  bool shares_loads;

  /* Buffers of gt_choose, with room for every server.  */
  struct st_balance_candidate *choice_candidate;
  struct gt_server **choice_server;
  struct gt_domain_rtt *domain_rtt;
  size_t domain_rtts;
  struct st_slew region_shares; /* of the requests sent lately */
  struct st_egress egress;      /* of the link of this machine */
  struct st_crash_table crash_suspects;
  char region_name[ST_SLEW_REGIONS][ZP_NAME_MAX]; /* by region number */
  size_t regions;
  zp_time lost_at;    /* time of the last loss of servers; 0: never */
  zp_time expired_at; /* of the last call of gt_server_expire */

  unsigned daemons;                   /* entry daemons that send requests */
  struct st_budget_terms retry_terms; /* this daemon's share */
  zp_time daemons_reported;           /* when DAEMONS was last set */

  struct gt_service **service;
  size_t services;
  struct gt_service *unnamed; /* of servers whose service no site has named;
                                 it has no requests and no counters */
  struct gt_quotas quotas;
  struct zp_slots requests;
  struct zp_idmap by_front_id; /* front_id to id */

  struct fr_server *front;      /* for callers */
  struct fr_server *ready;      /* for readiness checks and metrics */
  struct st_stop stop;          /* graceful shutdown */
  bool complete;                /* STOPPED was called */
  void (*stopped) (void *self); /* called when the shutdown is complete */
  void *stopped_self;
};

/* config.c */

/* Applies a whole configuration or a change of the one in force.  An unusable
   one is logged and changes nothing.  */
void gt_config_apply (struct gt_gate *g, const struct tk_config *c);
bool gt_config_is_evacuated (const struct gt_gate *g,
                             const char *failure_domain);
void gt_config_free (struct gt_gate *g);

/* Returns the service NAME; adds it when it is missing.  */
struct gt_service *gt_service_get (struct gt_gate *g, struct zp_str name);

/* The service of a report that names NAME, which can come from another writer:
   adds none.  */
struct gt_service *gt_service_find (struct gt_gate *g, struct zp_str name);

/* servers.c */

/* Applies a report of a backend server.  */
void gt_server_update (struct gt_gate *g, const struct tk_server *s);

/* Applies renewals of reports.  */
void gt_server_renew (struct gt_gate *g, const struct tk_renewals *r);

/* Sets the state of S to TK_SERVER_GONE, because another server instance has
   answered 421 at its address.  */
void gt_server_replaced (struct gt_gate *g, struct gt_server *s);

/* Notes that an answer of S says that it leaves: this start gets no request any
   more.  */
void gt_server_note_leaving (struct gt_gate *g, struct gt_server *s);

/* Marks the servers of a failure domain cold for the warm-up time of their
   service.  */
void gt_domain_mark_cold (struct gt_gate *g, const char *failure_domain,
                          zp_time now);

/* Returns the server whose id has HASH, or NULL.  */
struct gt_server *gt_server_find (struct gt_gate *g, uint64_t hash);

/* Updates the estimate for the failure domain of S with RTT, the time that it
   took to connect to S.  */
void gt_server_note_rtt (struct gt_gate *g, struct gt_server *s, zp_time rtt);

/* Whether Q can be sent to S now.  */
bool gt_server_usable (const struct gt_gate *g, const struct gt_server *s,
                       const struct gt_request *q, zp_time now);

/* Like gt_server_usable, but without conditions that can pass while Q waits:
   ejection, the rate limit of a cold server, and a pause that it asked for and
   that ends before the deadline of Q.  */
bool gt_server_eligible (const struct gt_gate *g, const struct gt_server *s,
                         const struct gt_request *q);

/* Requests a second that S tolerates from all entry daemons together while it
   is cold.  */
double gt_server_cold_rate (const struct gt_server *s);
bool gt_server_is_cold (const struct gt_server *s, zp_time now);

/* How samples of loads are read.  */
enum st_balance_mode gt_server_load_mode (const struct gt_gate *g);

/* Notes the load that an answer of S states.  STARTED: start of the attempt.  */
void gt_server_note_load (struct gt_gate *g, struct gt_server *s,
                          const struct tk_server_load *l, zp_time started,
                          zp_time now);

/* Sends the number of this daemon's requests in progress at each server to the
   roster task; also, when loads are shared, those that answers have stated since
   the last call.  */
void gt_server_send_work (struct gt_gate *g);

/* Stores the numbers of the other daemons of the region: W less what this
   daemon has last sent.  When loads are shared, takes the samples of W that are
   newer than what is known and that are of the present start of their server;
   sorts them.  */
void gt_server_receive_work (struct gt_gate *g, struct tk_work *w);

/* Mean service time of S.  */
zp_time gt_service_mean_time (const struct gt_service *s);

/* Mean service time of S if it is known to be slow, otherwise that of its
   service.  */
zp_time gt_server_mean_time (const struct gt_server *s);

/* Notes the time of a loss of servers.  */
void gt_server_note_loss (struct gt_gate *g);

/* Returns the number of a region; a new region gets the next number.  Regions
   beyond ST_SLEW_REGIONS - 1 share the last number.  */
size_t gt_region_number (struct gt_gate *g, struct zp_str region);

/* Updates gt_server.service of every server, when services were added.  */
void gt_server_note_services (struct gt_gate *g);

/* Updates gt_server.evacuated of every server.  */
void gt_server_note_evacuations (struct gt_gate *g);

/* Applies the entry X of the table.  STARTED: it is about a new start.  */
void gt_server_apply (struct gt_gate *g, const struct ro_server *x,
                      bool started);

/* expire.c */

/* Forgets servers that have been gone for longer than a report can be late, and
   marks gone those that are silent for as long.  */
void gt_server_expire (struct gt_gate *g, zp_time now);

/* owners.c */

/* Decides again which server has the address with this hash.  */
void gt_owner_update (struct gt_gate *g, uint64_t address_hash);

/* The same for all addresses, when the named services have changed.  */
void gt_owner_update_all (struct gt_gate *g);

/* An answer from the address of S names it: earlier starts that are reported
   there have ended.  */
void gt_owner_proved (struct gt_gate *g, struct gt_server *s);

/* request.c */

/* Starts the request of M, which it takes over.  The request is refused when the
   site needs a key and its key is missing or unknown.  */
void gt_request_start (struct gt_gate *g, struct tk_msg *m);

/* Cancels a request whose caller has left.  */
void gt_request_cancel (struct gt_gate *g, uint64_t front_id);

/* Answers the caller with the answer in D, whose contents it takes over, and
   frees Q.  */
void gt_request_answer (struct gt_gate *g, struct gt_request *q,
                        struct tk_forward_done *d);

/* Refuses and frees Q, which is neither queued nor at a server.  With
   RETRY_LATER, and if no attempt can have run, the answer gives the time
   after which the caller can retry.  */
void gt_request_refuse (struct gt_gate *g, struct gt_request *q,
                        const char *reason, bool retry_later);

/* Refuses and frees Q because of the limit of its workspace.  WHY is
   QU_EXHAUSTED or QU_UNKNOWN.  */
void gt_request_refuse_limit (struct gt_gate *g, struct gt_request *q,
                              enum qu_result why, zp_time retry_after);
void gt_request_free (struct gt_gate *g, struct gt_request *q);

/* Releases Q without an answer, and without removing it from the gate.  */
void gt_request_discard (struct gt_request *q);

/* choose.c: chooses a server for Q.  Sets OUT when the choice is
   ST_BALANCE_SEND.  */
struct st_balance_choice gt_choose (struct gt_gate *g,
                                    const struct gt_request *q, zp_time now,
                                    struct gt_server **out);

/* log.c */

/* Stores the choice of S in Q for later log events.  */
void gt_record_choice (const struct gt_gate *g, struct gt_request *q,
                       const struct gt_server *s,
                       const struct st_balance_choice *c, zp_time wait_max,
                       zp_time now);

/* Logs the end of an attempt; of successful ones, a sample.  */
void gt_log_attempt (const struct gt_gate *g, const struct gt_request *q,
                     const struct tk_forward_done *d, enum st_attempt_end end);
void gt_log_refusal (const struct gt_gate *g, const struct gt_request *q,
                     const char *reason, zp_time retry_after, zp_time now);

/* Logs a change of the health of S.  PAUSE is the length of an ejection.  */
void gt_log_health (const struct gt_server *s, const char *text,
                    enum st_attempt_end end, zp_time pause);
void gt_log_no_route (const struct gt_gate *g,
                      const struct tk_http_request *h);

/* A request is refused for REASON: its key is missing or unknown.  */
void gt_log_no_key (const struct gt_gate *g, const struct tk_http_request *h,
                    const char *reason);

/* dispatch.c */

/* Sends Q to a server, queues it or refuses it.  */
void gt_dispatch_admit (struct gt_gate *g, struct gt_request *q);

/* Sends queued requests of S to servers that have become usable.  */
void gt_dispatch_service (struct gt_gate *g, struct gt_service *s);

/* Handles the end of an attempt, TK_FORWARD_DONE.  */
void gt_dispatch_attempt_done (struct gt_gate *g, struct tk_msg *m);

/* Refuses all queued requests, because the daemon ends.  */
void gt_dispatch_refuse_queues (struct gt_gate *g);

/* Checks all queues; refuses the requests whose wait has expired.  */
void gt_dispatch_tick (struct gt_gate *g);

/* gate.c */

/* Starts the timer of the queues if it is not running.  */
void gt_start_timer (struct gt_gate *g);

/* The description of this daemon for the roster.  */
struct tk_daemon gt_gate_describe (const struct gt_gate *g);

struct gt_gate *gt_gate_open (struct tk_loop *l, const struct gt_settings *s,
                              const struct gt_interface *i,
                              struct zp_err *err);
void gt_gate_close (struct gt_gate *g);

#endif
