/* NAME
     transfer - one request to a backend server, inside the forward task

   DESCRIPTION
     All files that include this header belong to the forward task:

     client.c   the event loop, the callbacks of libcurl
     finish.c   the end of a transfer
     options.c  how the request is sent
     pace.c     how much of an answer is read at a time
     proof.c    what shows that an answer that ends with its connection is
                whole
     keeper.c   connections that show it  */

#ifndef ZP_FORWARD_TRANSFER_H
#define ZP_FORWARD_TRANSFER_H

#include <curl/curl.h>

#include "forward/answer.h"
#include "forward/client.h"
#include "forward/ending.h"
#include "forward/excess.h"
#include "forward/keeper.h"
#include "forward/pool.h"
#include "forward/recent.h"
#include "forward/suspects.h"

/* From TK_FORWARD to TK_FORWARD_DONE.  */
struct fw_transfer
{
  struct fw_transfer *next, *prev;
  struct fw_client *client;
  CURL *easy;
  curl_socket_t fd; /* CURL_SOCKET_BAD until it has a connection */
  struct curl_slist *headers;
  struct tk_msg *request;
  struct tk_msg *done; /* TK_FORWARD_DONE, filled while the answer arrives */
  zp_time start;
  zp_time sent;   /* the request; 0: not yet */
  zp_time ended;  /* the answer; 0: not yet */
  unsigned sends; /* times the request was handed to a connection; at most 1 */
  struct fw_answer answer;
  uint64_t received; /* bytes of the body */
  struct fw_excess excess;
  bool early;  /* the answer is whole before the request was sent whole */
  bool alone;  /* its connection serves no other request */
  bool closed; /* its connection, before its end was handled */
  bool knows_pending; /* of a closed connection */
  uint64_t pending;   /* fw_pool_pending when it was closed */

  /* The body in this iteration of the event loop.  */
  uint64_t turn;
  size_t slice; /* bytes */
  bool paused;
  bool crowded_out; /* its body was dropped, see ZP_ANSWER_BODIES_MAX */

  /* Of an answer that ends with its connection.  */
  struct fw_ending ending;
  struct fw_keeper *witness; /* FW_WITNESS_CALLED */
  ev_timer settle;
};

struct fw_client
{
  struct tk_loop *loop;
  struct tk_task task;
  struct tk_task *reply_to;
  const struct fr_header_names *names;
  CURLM *multi;
  ev_timer timer;
  struct fw_pool pool;
  struct fw_keepers keepers;
  struct fw_recent recent;
  struct fw_suspects suspects;
  struct fw_transfer active; /* list head */
  size_t body_bytes;         /* of all answers that arrive */
  ev_prepare iteration;      /* of the event loop */
  uint64_t turn;             /* number of the iteration */
  size_t paused;             /* transfers */
};

/* options.c: sets all options but the callbacks.  LEFT is the time until the
   deadline.  */
void fw_transfer_set_options (struct fw_transfer *t, zp_time left);

/* pace.c: limits what is read of one answer in one iteration of the event
   loop.  */
void fw_pace_start (struct fw_client *c);
void fw_pace_stop (struct fw_client *c);

/* Whether T may take N bytes of its body in this iteration.  If not, the write
   callback has to return CURL_WRITEFUNC_PAUSE; it gets the bytes again in a
   later iteration.  */
bool fw_pace_allows (struct fw_transfer *t, size_t n);

/* T ends.  */
void fw_pace_forget (struct fw_transfer *t);

/* Whether too many bytes between the chunks of the body of T were read; logs
   it.  To be called when bytes have come.  */
bool fw_pace_has_excess (struct fw_transfer *t);

/* proof.c */

/* Begins to look for a proof, when the head of an answer that ends with its
   connection has ended.  */
void fw_proof_begin (struct fw_transfer *t);

/* The answer has ended without an error.  Calls fw_transfer_finish_proof now
   or later.  */
void fw_proof_end_answer (struct fw_transfer *t);

/* Every transfer whose witness is K loses it.  */
void fw_proof_lose_witness (struct fw_client *c, const struct fw_keeper *k);

/* K has brought the answer to a call that was sent at CALLED.  */
void fw_proof_note_call (struct fw_client *c, const struct fw_keeper *k,
                         zp_time called);

/* Releases what the proof needs.  */
void fw_proof_free (struct fw_transfer *t);

/* finish.c */

/* How the end of the body of T is known, as far as its head tells.  */
enum tk_body_end fw_transfer_body_end (const struct fw_transfer *t);

/* Finishes T, for which libcurl has reported RESULT.  */
void fw_transfer_finish_by_result (struct fw_transfer *t, CURLcode result);

/* Finishes T, whose answer is proved WHOLE or is lost.  REASON is for the
   log.  */
void fw_transfer_finish_proof (struct fw_transfer *t, bool whole,
                               const char *reason);

/* Sends TK_FORWARD_DONE and frees T.  Of an answer that is not whole nothing is
   passed on.  */
void fw_transfer_finish (struct fw_transfer *t, enum tk_forward_end end,
                         enum zp_verdict verdict);

/* Closes the connection of T if its answer is not complete.  */
void fw_transfer_free (struct fw_transfer *t);

/* Drops the body that T has received.  */
void fw_transfer_drop_body (struct fw_transfer *t);

/* The server of T, as in pool.h.  */
uint64_t fw_transfer_server (const struct fw_transfer *t);

/* SERVER has sent bytes that belong to no answer.  */
void fw_note_stray_bytes (struct fw_client *c, uint64_t server);

#endif
