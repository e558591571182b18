/* NAME
     roster - the part of the control task that knows servers and daemons

   DESCRIPTION
     Joins the roster source, the connections to the other control daemons and
     the reports of backend servers that wait for their acknowledgement.

     A report that a server leaves is acknowledged when every connected entry
     daemon has taken it, and when this daemon has been in contact with a
     majority of the log's voters since the report arrived.  A daemon that is
     cut off cannot know who still sends to the server, and lets it report to
     another daemon.  */

#ifndef ZP_CONTROL_ROSTER_H
#define ZP_CONTROL_ROSTER_H

#include "control/daemons.h"
#include "control/settings.h"
#include "ledger/core.h"
#include "roster/client.h"
#include "roster/source.h"

/* A server waits 1 s for the acknowledgement of its report.  */
#define CT_REPORT_ACK_TIMEOUT (900 * ZP_MS)

struct ct_report_wait
{
  uint64_t ticket;
  uint64_t http;
  struct tk_task *from;
  zp_time arrived;
  bool settled;
};

struct ct_roster
{
  struct ro_source *source; /* NULL: not in use */
  struct ro_client *client;
  struct ct_daemons daemons;
  struct ct_report_wait *wait;
  size_t waits, wait_cap;
  uint64_t last_ticket;
  zp_time led_since;           /* 0: this member does not lead */
  struct zp_buf sent_controls; /* as last told to the source */
};

/* DECIDER gets the messages of the parts.  SETTINGS have to stay.  */
bool ct_roster_open (struct ct_roster *r, struct tk_loop *l,
                     const struct ct_settings *settings,
                     struct tk_task *decider, struct zp_err *err);
void ct_roster_close (struct ct_roster *r);

/* TK_DAEMON and TK_SERVER_SETTLED.  */
void ct_roster_update_daemon (struct ct_roster *r, const struct tk_daemon *d);
void ct_roster_report_settled (struct ct_roster *r, uint64_t ticket);

/* Hands a report to the source.  Returns true when it is acknowledged now, and
   false when ct_roster_next_outcome has the outcome later.  */
bool ct_roster_report (struct ct_roster *r, const struct tk_server *server,
                       const struct tk_http_request *q);

/* Takes out a report whose outcome is known.  Returns false when there is
   none.  */
bool ct_roster_next_outcome (struct ct_roster *r, zp_time contact, zp_time now,
                             struct ct_report_wait *out, bool *acknowledged);

/* Called several times a second.  Returns true and fills OUT with a change of
   the log's members that the leader should make.  */
bool ct_roster_step (struct ct_roster *r, const struct ct_settings *settings,
                     const struct lg_status *status,
                     const struct lg_members *members, zp_time now,
                     struct lg_change *out);

#endif
