/* NAME
     client-state - state of the roster client, shared by its files

   DESCRIPTION
     client.c       connections to control daemons, updates, messages, set-up
     client-work.c  requests at servers and lost requests, to control daemons
     client-quota.c asks and grants of rate limits

     All of it belongs to the one task of struct ro_client.  */

#ifndef ZP_ROSTER_CLIENT_STATE_H
#define ZP_ROSTER_CLIENT_STATE_H

#include "roster/client.h"
#include "roster/rank.h"
#include "wire/conn.h"
#include "wire/frame.h"

#define RO_CONTROLS_MAX 64

/* One control daemon.  */
struct ro_control
{
  struct ro_client *client;
  char address[ZP_ADDRESS_MAX]; /* of its operators' interface */
  bool seed;
  zp_time named_at; /* when an update or the seeds last listed it */
  struct wi_conn *conn;
  struct ro_control_state state;
  bool in_grace;            /* its rank falls at the end of RO_RANK_GRACE */
  zp_time leads_since;      /* when it first said so; 0: it does not lead */
  char region[ZP_NAME_MAX]; /* empty: not known yet */
  char failure_domain[ZP_NAME_MAX];
  zp_time ping_at;
  zp_time dialed_at; /* last attempt to connect */
  zp_time dial_at;   /* no attempt to connect before */
  unsigned entries;  /* entry daemons, by its last update */
  uint64_t acked;    /* number of its last update */
};

struct ro_client
{
  struct tk_loop *loop;
  struct tk_task task;
  struct tk_task *decider, *follower;
  struct tk_daemon self;
  unsigned roster_port, follow_port;
  struct ro_control *control[RO_CONTROLS_MAX];
  size_t controls;
  unsigned entries; /* as last sent to the deciding task */
  ev_timer timer;
};

/* Sends W to the collector, a control daemon of the failure domain or else of
   the region; a control daemon sends it to the others of its region.  */
void ro_client_send_work (struct ro_client *c, const struct tk_work *w);

/* Sends the loss to two control daemons, which forward it: one of them may be
   cut off.  */
void ro_client_send_loss (struct ro_client *c, const struct tk_loss *l);

/* Notes whether X says that it leads the log.  */
void ro_client_note_leads (struct ro_control *x, bool leads);

/* Sends the ask to the control daemon that leads; drops it if there is none.
 */
void ro_client_send_ask (struct ro_client *c, const struct tk_quota_ask *a);

/* Passes a grant to the deciding task of an entry daemon.  Returns false when
   PAYLOAD is malformed.  */
bool ro_client_take_grant (struct ro_control *x, struct zp_str payload);

#endif
