/* NAME
     roster - backend servers and daemons, as the control task sees them

   DESCRIPTION
     Combines the roster source, which gives the list of servers to entry
     daemons, the client that connects to the other control daemons, and the
     reports of backend servers that wait for an acknowledgement.

     The report of a server that is draining or gone is acknowledged once every
     connected entry daemon has applied it, and this daemon has been in contact
     with a majority of the log's voters since the report arrived.  That of one
     that is gone must also be in the log, from which every control daemon
     applies it: so no restart, loss of power or late report of the server makes
     it ready again (ticket/leaves.h).  A control
     daemon that is cut off cannot know which entry daemons still send to the
     server.  It does not acknowledge, so the server reports to another control
     daemon.  */

#ifndef ZP_CONTROL_ROSTER_H
#define ZP_CONTROL_ROSTER_H

#include "control/daemons.h"
#include "control/replica.h"
#include "control/settings.h"
#include "ledger/core.h"
#include "roster/client.h"
#include "roster/source.h"
#include "ticket/leaves.h"

/* Below the 1 s for which a server waits for the acknowledgement.  */
#define CT_REPORT_ACK_TIMEOUT (900 * ZP_MS)

/* A leave that is not in the log after this time is proposed again: a message
   or the leader was lost.  */
#define CT_LEAVE_RETRY (300 * ZP_MS)

/* A server's report that waits for its acknowledgement.  */
struct ct_report_wait
{
  uint64_t report_id;   /* names the report to the roster source */
  uint64_t request_id;  /* of the HTTP request */
  struct tk_task *from; /* the HTTP server, which takes the answer */
  zp_time arrived;
  bool settled; /* every connected entry daemon has applied the report */
  bool durable; /* it need not be in the log, or it is */
  struct ti_leave leave; /* unless durable */
  zp_time proposed_at;   /* 0: not yet */
};

struct ct_roster
{
  struct ro_source *source; /* NULL: not in use */
  struct ro_client *client;
  struct ct_daemons daemons;
  struct ct_report_wait *wait;
  size_t waits, wait_cap;
  uint64_t last_report_id;
  zp_time led_since;           /* 0: this member does not lead */
  struct zp_buf sent_controls; /* list last sent to the source */
};

/* DECIDER receives the messages of the source and of the client.  SETTINGS has
   to outlive R.  */
bool ct_roster_open (struct ct_roster *r, struct tk_loop *l,
                     const struct ct_settings *settings,
                     struct tk_task *decider, struct zp_err *err);
void ct_roster_close (struct ct_roster *r);

/* Handle the messages TK_DAEMON and TK_SERVER_SETTLED.  */
void ct_roster_update_daemon (struct ct_roster *r, const struct tk_daemon *d);
void ct_roster_report_settled (struct ct_roster *r, uint64_t report_id);

/* Sends a server's report to the source.  Returns true when the request Q is
   to be acknowledged now, and false when ct_roster_next_outcome gives the
   outcome later.  */
bool ct_roster_report (struct ct_roster *r, const struct tk_server *server,
                       const struct tk_http_request *q);

/* Removes a report that can be acknowledged, or that has waited for
   CT_REPORT_ACK_TIMEOUT, and copies it to OUT.  CONTACT is the time of the
   last contact with a majority of the voters.  Returns false when no report
   has an outcome.  */
bool ct_roster_next_outcome (struct ct_roster *r, zp_time contact, zp_time now,
                             struct ct_report_wait *out, bool *acknowledged);

/* Sets OUT to a leave that has to be proposed now.  Returns false when there is
   none.  */
bool ct_roster_next_leave (struct ct_roster *r, zp_time now,
                           struct ti_leave *out);

/* A leave is in the log.  */
void ct_roster_left (struct ct_roster *r, const struct ti_leave *leave);

/* Removes lost daemons and sends the source a changed list of control daemons.
   Call it several times a second.  Returns true and fills OUT when this member
   leads and the members of the log should change.  */
bool ct_roster_step (struct ct_roster *r, const struct ct_settings *settings,
                     const struct ct_replica *replica, zp_time now,
                     struct lg_change *out);

#endif
