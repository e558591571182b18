/* NAME
     msg - messages between the tasks of a program

   DESCRIPTION
     struct tk_msg is one tagged union for all messages.  A receiver reads it
     with "switch (m->kind)".  A message owns its buffers, and its receiver
     frees it with tk_msg_free.  A receiver that wants to keep a buffer copies
     the struct zp_buf and clears the one in the message.  */

#ifndef ZP_TASK_MSG_H
#define ZP_TASK_MSG_H

#include "base/clock.h"
#include "base/limits.h"
#include "base/str.h"
#include "base/verdict.h"

enum tk_msg_kind
{
  TK_STOP, /* starts a graceful shutdown */

  /* Between front task and deciding task.  */
  TK_HTTP_REQUEST,
  TK_CALLER_LEFT, /* the caller disconnected before its answer */
  TK_HTTP_ANSWER,

  /* Between deciding task and forward task: attempts on backend servers.  */
  TK_FORWARD,
  TK_FORWARD_CANCEL,
  TK_FORWARD_DONE,

  /* Between deciding task and peer task: other entry daemons.  */
  TK_PEER_SEND,
  TK_PEER_FRAME,
  TK_PEER_UP, /* also when its incarnation or LEAVING has changed */
  TK_PEER_DOWN,

  /* To and from the disk task: one append or replacement, synced before
     TK_DISK_DONE.  */
  TK_DISK_WRITE,
  TK_DISK_DONE,

  /* Dissemination of the configuration.  */
  TK_CONFIG,         /* a change or a whole configuration */
  TK_CONFIG_REQUEST, /* asks for a TK_CONFIG with a whole configuration */
  TK_FOLLOW_REPORT,  /* the configuration in force on a daemon */
  TK_CONFIG_FRESH,   /* whether the sender is in contact with the leader */
  TK_CONFIG_SOURCES, /* addresses of daemons that send the configuration */

  /* Rosters of backend servers and daemons.  */
  TK_SERVER,         /* state of a backend server */
  TK_RENEWALS,       /* servers whose state has not changed */
  TK_SERVER_SETTLED, /* the connected daemons have acknowledged a TK_SERVER */
  TK_DAEMON,         /* state of another daemon, or of this one */
  TK_ENTRY_COUNT,    /* number of entry daemons */
  TK_SEEDS,          /* control daemons that changed settings name */
  TK_WORK,           /* numbers of requests at servers */
  TK_LOSS,           /* a request lost its connection to a server */

  /* Rate limits of workspaces, between the holder of leases (an entry daemon)
     and their owner (the control daemon that leads).  */
  TK_QUOTA_ASK,
  TK_QUOTA_GRANT,
};

struct tk_task;

struct tk_http_request
{
  uint64_t id;              /* given by the front task */
  struct tk_task *from;     /* the front task, which takes the answer */
  struct zp_buf host;       /* of the Host header */
  struct zp_buf request_id; /* from the caller; empty: none */
  struct zp_buf affinity;   /* empty: none */
  struct zp_buf credential; /* key of a workspace; empty: none */
  struct zp_buf method;
  struct zp_buf path;  /* without the query */
  struct zp_buf query; /* after "?", not decoded */
  bool has_query;      /* the target has a "?"; QUERY can still be empty */
  struct zp_buf content_type;
  struct zp_buf headers; /* other end-to-end headers: "Name: value\n" ... */
  struct zp_buf key;     /* Idempotency-Key */
  struct zp_buf body;
  zp_time deadline;     /* monotonic; 0: the caller gave none */
  uint32_t caller_ipv4; /* host byte order; 0: not IPv4 */
  bool bad_header;      /* a header has an invalid value */
};

struct tk_caller_left
{
  uint64_t id;
};

struct tk_http_answer
{
  uint64_t id;
  unsigned status;
  bool has_verdict;
  enum zp_verdict verdict;
  unsigned retry_after_s;  /* 0: no Retry-After header */
  unsigned retry_after_ms; /* if not 0, used instead of RETRY_AFTER_S */
  struct zp_buf location;  /* empty: no Location header */
  struct zp_buf content_type;
  struct zp_buf headers; /* as in struct tk_http_request */
  struct zp_buf body;
};

struct tk_forward
{
  uint64_t id; /* of the attempt; unique */
  char address[ZP_ADDRESS_MAX];
  struct zp_buf method;
  struct zp_buf target; /* path and query */
  struct zp_buf content_type;
  struct zp_buf headers; /* as in struct tk_http_request */
  struct zp_buf body;
  struct zp_buf request_id;
  struct zp_buf workspace; /* sent to the server; empty: none */
  struct zp_buf host;      /* empty: the address of the server */
  struct zp_buf
      health_path; /* where the server tells its health; empty: none */
  char expect[ZP_NAME_MAX]; /* id of the only server that may run it, or "" */
  zp_time idle_max; /* limit for a reused connection; 0: ZP_CONN_IDLE_MAX */
  zp_time deadline; /* monotonic; the attempt ends with a timeout then */
  bool fresh_connection; /* do not reuse an idle connection */
};

struct tk_forward_cancel
{
  uint64_t id;
};

/* How an attempt on a backend server ended.  */
enum tk_forward_end
{
  TK_END_ANSWER,     /* a whole answer was received */
  TK_END_NO_CONNECT, /* not connected; no byte was sent */
  TK_END_LOST,       /* connection lost after bytes were sent */
  TK_END_TIMEOUT,
  TK_END_CANCELLED,
};

/* How the end of the body of an answer is known.  */
enum tk_body_end
{
  TK_BODY_UNKNOWN, /* the head of the answer has not ended */
  TK_BODY_NONE,    /* the answer has no body */
  TK_BODY_LENGTH,
  TK_BODY_CHUNKED,
  TK_BODY_TO_CLOSE, /* it ends with the connection */
};

/* The name for logs and metrics.  */
struct zp_str tk_body_end_name (enum tk_body_end end);

/* Load of a backend server, from a header of its answer: requests that run and
   that wait, and slots.  */
struct tk_server_load
{
  bool known; /* false: the answer had no valid header */
  unsigned running, waiting, slots;

  /* How long work takes there at this moment, in percent of the usual time; 0:
     not stated.  */
  unsigned pace;
};

struct tk_forward_done
{
  uint64_t id;
  enum tk_forward_end end;
  enum zp_verdict verdict;
  unsigned status;
  bool stamped;  /* the answer has the stamp header of a server */
  bool leaving;  /* the server leaves and takes no new request */
  bool reused;   /* the connection was used for an earlier request */
  bool unproved; /* lost: an answer came, but nothing shows that it is whole */
  enum tk_body_end body_end;
  uint64_t received; /* bytes of the body, also of an answer that is dropped */
  uint64_t head_bytes; /* of its head, with interim answers and trailers */
  struct tk_server_load load;
  zp_time retry_after; /* a 503 asks for no request for so long; 0: none */
  zp_time elapsed;
  zp_time connect; /* time to establish the connection; 0: reused */
  struct zp_buf content_type;
  struct zp_buf headers; /* as in struct tk_http_request */
  struct zp_buf body;
};

struct tk_peer_frame
{
  uint64_t peer; /* member id; in TK_PEER_SEND 0: all members that are up */
  uint8_t kind;  /* enum wi_kind */
  struct zp_buf payload;
};

/* TK_PEER_UP and TK_PEER_DOWN.  */
struct tk_peer_change
{
  uint64_t peer;
  uint64_t incarnation;         /* different after every start */
  bool leaving;                 /* gets no new requests */
  char address[ZP_ADDRESS_MAX]; /* of its HTTP interface */
  char failure_domain[ZP_NAME_MAX];
  char region[ZP_NAME_MAX];
};

struct tk_disk_write
{
  uint64_t id;
  char file[ZP_NAME_MAX]; /* below the data folder */
  bool replace;           /* replace the file atomically, not append */
  bool retry;             /* the sender knows that a write has failed, and what
                             it writes from here on needs no lost bytes */
  int64_t truncate; /* first cut the file to this size; below 0: do not */
  struct zp_buf bytes;
};

struct tk_disk_done
{
  uint64_t id;
  int error; /* errno value; 0: written and synced */
};

/* BYTES holds a whole configuration, or the change from version FROM to
   VERSION.  Versions are indexes of the replicated log, so they only grow.  */
struct tk_config
{
  uint64_t from;
  uint64_t version;
  uint64_t number; /* of the last numbered ticket */
  uint64_t term;   /* of the leader of the log */
  bool whole;
  struct zp_buf bytes;
};

/* What an entry daemon reports of the configuration in force on it.  The
   numbers of servers and slots are those of the servers that it owns and may
   lend.  */
struct tk_follow_report
{
  uint64_t daemon;
  uint64_t version;
  uint64_t number;
  zp_time age; /* of the report */
  char failure_domain[ZP_NAME_MAX];
  uint32_t servers, ejected;
  uint32_t slots, free;
  uint32_t warm; /* slots that the slow start allows to use */
};

struct tk_config_fresh
{
  bool fresh; /* in contact with the leader, so not outdated */
  bool leads; /* leads the control log, so it owns the rate limits */
};

enum tk_server_state
{
  TK_SERVER_READY,
  TK_SERVER_DRAINING,
  TK_SERVER_GONE,
};

/* State of a backend server, as reported by the server or found by a control
   daemon.  A restart under the same id has a higher BORN_MS; a later report of
   the same start has a higher SEQ.  */
struct tk_server
{
  char id[ZP_NAME_MAX];
  char service[ZP_NAME_MAX];
  char address[ZP_ADDRESS_MAX];
  char failure_domain[ZP_NAME_MAX];
  unsigned slots;
  enum tk_server_state state;
  zp_time cold;     /* time until its slow start ends */
  uint64_t born_ms; /* start, by the server's wall clock: ms since 1970 */
  uint64_t seq;
  bool expired; /* gone because it was silent; a newer report undoes this */

  /* Starts of this server that were born up to this time have left, by the
     wall clock: ms since 1970; 0: none is known.  See roster/table.h.  */
  uint64_t left_ms;
  uint64_t report_id; /* not 0: TK_SERVER_SETTLED is sent with it */
};

/* A server has reported again without a change.  */
struct tk_renewal
{
  uint64_t start; /* ro_start_hash of its id and birth */
  uint64_t seq;
};

struct tk_renewals
{
  struct tk_renewal *item;
  size_t len;
};

struct tk_server_settled
{
  uint64_t report_id;
};

enum tk_daemon_kind
{
  TK_DAEMON_ENTRY,
  TK_DAEMON_CONTROL,
};

struct tk_daemon
{
  enum tk_daemon_kind kind;
  uint64_t id;
  char name[ZP_NAME_MAX];
  char address[ZP_ADDRESS_MAX]; /* of its HTTP interface */
  char failure_domain[ZP_NAME_MAX];
  char region[ZP_NAME_MAX];
  char log_address[ZP_ADDRESS_MAX]; /* of the replicated log; control only */
  bool ready;
  bool leaving;
  bool lost; /* its connection has ended */
};

struct tk_entry_count
{
  unsigned entries; /* entry daemons */
};

/* Numbers of requests at servers.  To the roster task: those of this daemon, or
   the sum that a control daemon passes on; from it: the sum over the daemons of
   the region, this one included, sorted by server.  */
struct tk_work_item
{
  uint32_t server; /* TK_WORK_TAG of the hash of its id */
  uint32_t count;
};

/* Two of 1,000 servers share a tag once in 8,600 deployments; each is then
   taken to have the requests of both.  */
#define TK_WORK_TAG(hash) ((uint32_t) ((hash) >> 32))

/* The newest sample of the load of a server, as one of its answers stated it.
 */
struct tk_work_load
{
  uint32_t server;   /* TK_WORK_TAG of the hash of its id */
  unsigned requests; /* running and waiting there */
  unsigned pace;     /* as in struct tk_server_load */
  zp_time age;       /* of the sample when the message is made */
};

struct tk_work
{
  struct tk_work_item *item;
  size_t len;
  struct tk_work_load *load;
  size_t loads;
};

/* The connection to a server was lost before the answer to a request.  */
struct tk_loss
{
  uint64_t fingerprint; /* of the request */
  uint64_t server;      /* hash of its id */
};

/* A share of a limit is stated in units of 1 / TK_QUOTA_WHOLE.  */
#define TK_QUOTA_WHOLE ((uint32_t) 1 << 24)

struct tk_quota_ask_item
{
  uint64_t workspace;  /* hash of its name */
  uint32_t rate_share; /* the lease that the holder has; 0: none */
  uint32_t burst_share;
  uint64_t applied; /* number of the last grant applied for this workspace */
  double demand;    /* requests a second */
  uint32_t want;    /* tokens from the pool */
};

struct tk_quota_ask
{
  uint64_t holder;
  uint64_t incarnation; /* of the holder, different after every start */
  uint64_t number;      /* of this ask */
  uint64_t link; /* connection that the ask came on, for the answer; set by the
                    roster source */
  struct tk_quota_ask_item *item;
  size_t len;
};

struct tk_quota_grant_item
{
  uint64_t workspace; /* hash of its name */
  uint32_t rate_share;
  uint32_t burst_share;
  uint32_t tokens; /* from the pool; fewer than WANTED: it is empty */
  uint32_t wanted;
};

struct tk_quota_grant
{
  uint64_t holder;
  uint64_t incarnation;
  uint64_t number; /* of the ask */
  uint64_t term;   /* of the owner */
  uint64_t grant;  /* number of this grant, rising within a term */
  uint64_t link;   /* of the ask */
  zp_time ttl;     /* of the leases, from when the ask was sent */
  zp_time period;  /* until the next ask */
  struct tk_quota_grant_item *item;
  size_t len;
};

/* TK_CONFIG_SOURCES and TK_SEEDS: one "IP:port" a line.  */
struct tk_addresses
{
  struct zp_buf lines;
};

struct tk_msg
{
  struct tk_msg *next; /* for queues: the mailbox, the disk task */
  enum tk_msg_kind kind;
  union
  {
    struct tk_http_request request;
    struct tk_caller_left caller_left;
    struct tk_http_answer answer;
    struct tk_forward forward;
    struct tk_forward_cancel cancel;
    struct tk_forward_done done;
    struct tk_peer_frame frame;
    struct tk_peer_change peer;
    struct tk_disk_write write;
    struct tk_disk_done disk;
    struct tk_config config;
    struct tk_follow_report follow_report;
    struct tk_config_fresh config_fresh;
    struct tk_addresses addresses;
    struct tk_server server;
    struct tk_renewals renewals;
    struct tk_server_settled settled;
    struct tk_daemon daemon;
    struct tk_entry_count entry_count;
    struct tk_work work;
    struct tk_loss loss;
    struct tk_quota_ask quota_ask;
    struct tk_quota_grant quota_grant;
  } u;
};

/* A message of KIND whose other bytes are zero.  */
struct tk_msg *tk_msg_new (enum tk_msg_kind kind);
/* Frees M and the buffers that are still in it.  */
void tk_msg_free (struct tk_msg *m);

/* Appends the path and query of R, byte for byte as the caller sent them.  */
void tk_put_target (const struct tk_http_request *r, struct zp_buf *out);

#endif
