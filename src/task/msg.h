/* NAME
     msg - the messages between tasks

   DESCRIPTION
     struct tk_msg is the one tagged union of all messages between the tasks of
     a program.  A receiver reads it by "switch (m->kind)".  A message owns its
     buffers; the receiver frees it with tk_msg_free, which also releases
     whatever the receiver has not taken out.  */

#ifndef ZP_TASK_MSG_H
#define ZP_TASK_MSG_H

#include "base/clock.h"
#include "base/limits.h"
#include "base/str.h"
#include "base/verdict.h"

enum tk_msg_kind
{
  TK_STOP, /* graceful shutdown begins */

  /* Front task and the task that decides.  */
  TK_HTTP_REQUEST,
  TK_CALLER_LEFT, /* the caller left before its answer */
  TK_HTTP_ANSWER,

  /* Deciding task and forward task.  */
  TK_FORWARD,
  TK_FORWARD_CANCEL,
  TK_FORWARD_DONE,

  /* Deciding task and peer task.  */
  TK_PEER_SEND,
  TK_PEER_FRAME,
  TK_PEER_UP,
  TK_PEER_DOWN,

  /* Disk task: one append or replace, synced before the answer.  */
  TK_DISK_WRITE,
  TK_DISK_DONE,

  /* Dissemination of the configuration.  */
  TK_CONFIG,         /* a change or a whole configuration */
  TK_CONFIG_REQUEST, /* asks for a whole TK_CONFIG */
  TK_FOLLOW_REPORT,  /* a configuration is in force on a daemon */
  TK_CONFIG_FRESH,   /* whether the configuration can be called current */
  TK_CONFIG_SOURCES, /* where the configuration can be had */

  /* Rosters of backend servers and daemons.  */
  TK_SERVER,         /* what a server says of itself, or is known of it */
  TK_SERVER_SETTLED, /* every connected daemon has taken a TK_SERVER */
  TK_DAEMON,         /* another daemon, or this one */
  TK_ENTRY_COUNT,    /* how many daemons there are */
  TK_SEEDS,          /* the seeds in the settings have changed */
  TK_WORK,           /* requests at each server */
  TK_LOSS,           /* a request was lost with its server */
};

struct tk_task;

struct tk_http_request
{
  uint64_t id;
  struct tk_task *from;     /* the front task that takes the answer */
  struct zp_buf host;       /* of the Host header */
  struct zp_buf request_id; /* as the caller sent it; empty: none */
  struct zp_buf affinity;   /* empty: none */
  struct zp_buf method;
  struct zp_buf path;  /* without the query */
  struct zp_buf query; /* behind "?", not decoded */
  struct zp_buf content_type;
  struct zp_buf headers; /* other end-to-end headers, "Name: value\n" each */
  struct zp_buf key;     /* Idempotency-Key */
  struct zp_buf body;
  zp_time deadline;     /* monotonic; 0: none was given */
  uint32_t caller_ipv4; /* host byte order; 0: not IPv4 */
  bool bad_header;      /* a header had a value that is not allowed */
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
  unsigned retry_after_ms; /* the same with a fraction; goes first */
  struct zp_buf location;  /* empty: no Location header */
  struct zp_buf content_type;
  struct zp_buf headers; /* as in struct tk_http_request */
  struct zp_buf body;
};

struct tk_forward
{
  uint64_t id; /* unique for every attempt */
  char address[ZP_ADDRESS_MAX];
  struct zp_buf method;
  struct zp_buf target; /* path and query */
  struct zp_buf content_type;
  struct zp_buf headers; /* as in struct tk_http_request */
  struct zp_buf body;
  struct zp_buf request_id;
  struct zp_buf host;       /* empty: the address of the server */
  char expect[ZP_NAME_MAX]; /* id of the server; empty: any */
  zp_time idle_max; /* oldest idle connection to use; 0: the usual limit */
  zp_time deadline; /* monotonic; the attempt is cancelled then */
  bool fresh_connection; /* never reuse an idle connection */
};

struct tk_forward_cancel
{
  uint64_t id;
};

/* How an attempt on a backend server ended.  */
enum tk_forward_end
{
  TK_END_ANSWER,     /* whole answer received */
  TK_END_NO_CONNECT, /* no connection; no byte sent */
  TK_END_LOST,       /* connection lost after bytes were sent */
  TK_END_TIMEOUT,
  TK_END_CANCELLED,
};

/* What a backend server says of its load with an answer.  */
struct tk_server_load
{
  bool known;
  unsigned running, waiting, slots;
};

struct tk_forward_done
{
  uint64_t id;
  enum tk_forward_end end;
  enum zp_verdict verdict;
  unsigned status;
  bool stamped; /* the answer bears the server's mark */
  bool reused;  /* the connection had served a request before */
  struct tk_server_load load;
  zp_time elapsed;
  zp_time connect; /* until the connection stood; 0: it was reused */
  struct zp_buf content_type;
  struct zp_buf headers; /* as in struct tk_http_request */
  struct zp_buf body;
};

struct tk_peer_frame
{
  uint64_t peer; /* member id; in TK_PEER_SEND 0 means every live member */
  uint8_t kind;  /* enum wi_kind */
  struct zp_buf payload;
};

struct tk_peer_change
{
  uint64_t peer;
  uint64_t incarnation;
  bool leaving;                 /* gets no new work */
  char address[ZP_ADDRESS_MAX]; /* of its HTTP interface */
  char failure_domain[ZP_NAME_MAX];
  char region[ZP_NAME_MAX];
};

struct tk_disk_write
{
  uint64_t id;
  char file[ZP_NAME_MAX]; /* below the data folder */
  bool replace;           /* atomically replace, not append */
  int64_t truncate;       /* cut to this size first; below 0: do not cut */
  struct zp_buf bytes;
};

struct tk_disk_done
{
  uint64_t id;
  int error; /* errno value, 0: synced */
};

/* BYTES hold a whole configuration, or the change that leads from version FROM
   to VERSION.  Versions are log indexes: they only grow.  */
struct tk_config
{
  uint64_t from;
  uint64_t version;
  uint64_t number; /* of the last numbered ticket */
  uint64_t term;
  bool whole;
  struct zp_buf bytes;
};

/* The servers of a report are those that the daemon owns and may lend.  */
struct tk_follow_report
{
  uint64_t daemon;
  uint64_t version;
  uint64_t number;
  zp_time age; /* since the report was made */
  char failure_domain[ZP_NAME_MAX];
  uint32_t servers, ejected;
  uint32_t slots, free;
  uint32_t warm; /* of the slots: those that the slow start allows */
};

struct tk_config_fresh
{
  bool fresh;
};

enum tk_server_state
{
  TK_SERVER_READY,
  TK_SERVER_DRAINING,
  TK_SERVER_GONE,
};

/* One start of a backend server.  A later start under the same id has a higher
   BORN, and a later report of one start a higher SEQ.  */
struct tk_server
{
  char id[ZP_NAME_MAX];
  char service[ZP_NAME_MAX];
  char address[ZP_ADDRESS_MAX];
  char failure_domain[ZP_NAME_MAX];
  unsigned slots;
  enum tk_server_state state;
  zp_time cold;     /* how much longer it stays cold */
  uint64_t born_ms; /* wall clock of the server, in ms since 1970 */
  uint64_t seq;
  bool expired; /* gone because it was silent: a newer report brings it back */
  bool same;    /* only ID, BORN and SEQ are set: the rest is as before */
  uint64_t report_id; /* not 0: answered by TK_SERVER_SETTLED */
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
  char log_address[ZP_ADDRESS_MAX]; /* control: of the replicated log */
  bool ready;
  bool leaving;
  bool lost; /* its connection has ended */
};

struct tk_entry_count
{
  unsigned entries;
};

/* Requests at servers, which are named by the hash of their id.  To the
   roster: those of this daemon; from it: those of the other daemons of the
   region.  */
struct tk_work_item
{
  uint64_t server;
  uint32_t count;
};

struct tk_work
{
  struct tk_work_item *item;
  size_t len;
};

/* The connection of a request was lost without an answer.  */
struct tk_loss
{
  uint64_t fingerprint; /* of the request */
  uint64_t server;      /* hash of its id */
};

/* "IP:port" each, one a line.  */
struct tk_addresses
{
  struct zp_buf lines;
};

struct tk_msg
{
  struct tk_msg *next; /* used by the mailbox only */
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
    struct tk_server_settled settled;
    struct tk_daemon daemon;
    struct tk_entry_count entry_count;
    struct tk_work work;
    struct tk_loss loss;
  } u;
};

struct tk_msg *tk_msg_new (enum tk_msg_kind kind);
void tk_msg_free (struct tk_msg *m);

#endif
