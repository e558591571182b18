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
  TK_HTTP_GONE, /* the caller left before its answer */
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
  TK_CONFIG,     /* a change or a whole configuration */
  TK_CONFIG_ASK, /* asks for a whole TK_CONFIG */
  TK_IN_FORCE,   /* a configuration is in force on a daemon */
  TK_FRESH,      /* whether the configuration can be called current */
};

struct tk_http_request
{
  uint64_t id;
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

struct tk_http_gone
{
  uint64_t id;
};

struct tk_http_answer
{
  uint64_t id;
  unsigned status;
  bool has_verdict;
  enum zp_verdict verdict;
  unsigned retry_after_s; /* 0: no Retry-After header */
  struct zp_buf location; /* empty: no Location header */
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
  zp_time deadline;      /* monotonic; the attempt is cancelled then */
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

struct tk_forward_done
{
  uint64_t id;
  enum tk_forward_end end;
  enum zp_verdict verdict;
  unsigned status;
  zp_time elapsed;
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
struct tk_in_force
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

struct tk_fresh
{
  bool fresh;
};

struct tk_msg
{
  struct tk_msg *next; /* used by the mailbox only */
  enum tk_msg_kind kind;
  union
  {
    struct tk_http_request request;
    struct tk_http_gone gone;
    struct tk_http_answer answer;
    struct tk_forward forward;
    struct tk_forward_cancel cancel;
    struct tk_forward_done done;
    struct tk_peer_frame frame;
    struct tk_peer_change peer;
    struct tk_disk_write write;
    struct tk_disk_done disk;
    struct tk_config config;
    struct tk_in_force in_force;
    struct tk_fresh fresh;
  } u;
};

struct tk_msg *tk_msg_new (enum tk_msg_kind kind);
void tk_msg_free (struct tk_msg *m);

#endif
