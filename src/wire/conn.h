/* NAME
     conn - framed TCP connections and listeners of the inner protocol

   DESCRIPTION
     A struct wi_conn belongs to one task and is used on the thread of its loop
     only.  on_frame is called for every frame that arrives.  The connection
     ends after an invalid frame, an error, or a close by the other side; then
     on_end is called once, with the reason.  The owner frees the connection
     with wi_conn_free, which may also be called inside on_frame and on_end.

     Addresses have the form "IP:port".

   ERRORS
     ZP_EUNAVAIL as the code of the reason: the connection was refused, because
     no process listens at the address.  */

#ifndef ZP_WIRE_CONN_H
#define ZP_WIRE_CONN_H

#include <ev.h>

#include "base/clock.h"
#include "base/err.h"

struct wi_conn;

/* SELF is the pointer that was given with the handlers.  PAYLOAD and WHY are
   valid during the call only.  */
struct wi_handlers
{
  void (*on_frame) (void *self, struct wi_conn *c, uint8_t kind,
                    struct zp_str payload);
  void (*on_end) (void *self, struct wi_conn *c, const struct zp_err *why);
};

struct wi_listener;

/* Gets every accepted connection.  It has to call wi_conn_set_handlers before
   it returns, and owns C from then on.  */
typedef void wi_accept (void *self, struct wi_conn *c);

/* Starts to connect.  When that fails later, on_end is called.  Returns NULL
   when it fails at once, such as for an invalid ADDRESS.  */
struct wi_conn *wi_conn_open (struct ev_loop *ev, struct zp_str address,
                              const struct wi_handlers *h, void *self,
                              struct zp_err *err);
void wi_conn_free (struct wi_conn *c);

/* Sets the handlers; for accepted connections.  */
void wi_conn_set_handlers (struct wi_conn *c, const struct wi_handlers *h,
                           void *self);

/* Limits the bytes of a frame that is not whole; ZP_FRAME_MAX at first.  For
   accepted connections, of which many can be open, until the other side has
   said who it is.  */
void wi_conn_set_frame_max (struct wi_conn *c, size_t bytes);

/* Queues one frame.  Returns false, and queues nothing, when the connection
   has ended or more than ZP_CONN_BACKLOG_MAX bytes would be in the queue.  */
bool wi_conn_send (struct wi_conn *c, uint8_t kind, struct zp_str payload);

/* Whether the TCP connection is established and has not ended.  */
bool wi_conn_ready (const struct wi_conn *c);

/* When bytes last arrived, by the monotonic clock; at first, when C was
   created.  */
zp_time wi_conn_last_read (const struct wi_conn *c);

/* Bytes sent and received so far, headers included.  */
uint64_t wi_conn_bytes (const struct wi_conn *c);

/* Listens at ADDRESS.  Returns NULL on error.  */
struct wi_listener *wi_listen (struct ev_loop *ev, struct zp_str address,
                               wi_accept *accept, void *self,
                               struct zp_err *err);
void wi_listener_free (struct wi_listener *l);

#endif
