/* NAME
     conn - framed TCP connections and listeners of the inner protocol

   DESCRIPTION
     A struct wi_conn belongs to one task and is used on its loop only.  It
     reads frames and hands each to on_frame; a bad frame, an error or the
     other side's close ends it with one call of on_end, after which the owner
     may free it.  wi_conn_free may also be called from inside on_frame.

     The reason of an end has the code ZP_EUNAVAIL when the connection was
     refused: no process listens at the address.

     Addresses have the form "IP:port".  */

#ifndef ZP_WIRE_CONN_H
#define ZP_WIRE_CONN_H

#include <ev.h>

#include "base/clock.h"
#include "base/err.h"

struct wi_conn;

struct wi_handlers
{
  void (*on_frame) (void *self, struct wi_conn *c, uint8_t kind,
                    struct zp_str payload);
  void (*on_end) (void *self, struct wi_conn *c, const struct zp_err *why);
};

struct wi_listener;

typedef void wi_accept (void *self, struct wi_conn *c);

/* Begins a connection.  A failure to connect is reported by on_end, later.
   Returns NULL when ADDRESS cannot be used.  */
struct wi_conn *wi_conn_open (struct ev_loop *ev, struct zp_str address,
                              const struct wi_handlers *h, void *self,
                              struct zp_err *err);
void wi_conn_free (struct wi_conn *c);

/* Replaces the handlers; for accepted connections.  */
void wi_conn_set_handlers (struct wi_conn *c, const struct wi_handlers *h,
                           void *self);

/* Queues one frame.  Returns false when more than ZP_CONN_BACKLOG_MAX bytes
   would wait; the frame is then not queued.  */
bool wi_conn_send (struct wi_conn *c, uint8_t kind, struct zp_str payload);

/* True once the TCP connection stands.  */
bool wi_conn_ready (const struct wi_conn *c);

/* When bytes last arrived, by the monotonic clock.  */
zp_time wi_conn_last_read (const struct wi_conn *c);

/* Bytes sent and received so far, headers included.  */
uint64_t wi_conn_bytes (const struct wi_conn *c);

struct wi_listener *wi_listen (struct ev_loop *ev, struct zp_str address,
                               wi_accept *accept, void *self,
                               struct zp_err *err);
void wi_listener_free (struct wi_listener *l);

#endif
