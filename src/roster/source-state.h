/* NAME
     source-state - state of the roster source, shared by its files

   DESCRIPTION
     source.c         connections, reports of servers, messages, set-up
     source-update.c  updates to the connected daemons, and who has them
     source-work.c    requests at servers, and requests that were lost
     source-quota.c   asks and grants of rate limits

     All of it belongs to the one task of struct ro_source.  */

#ifndef ZP_ROSTER_SOURCE_STATE_H
#define ZP_ROSTER_SOURCE_STATE_H

#include "roster/source.h"
#include "roster/table.h"
#include "roster/loads.h"
#include "roster/work.h"
#include "wire/conn.h"
#include "wire/frame.h"

#define RO_SOURCE_PART "roster" /* of the log */

/* The connection of one daemon.  */
struct ro_link
{
  struct ro_link *next;
  struct ro_source *source;
  uint64_t link; /* number of this connection, never used again */
  struct wi_conn *conn;
  zp_time accepted_at;
  bool identified; /* its hello has arrived */
  struct tk_daemon daemon;
  struct zp_buf hello;        /* the last one, encoded */
  uint64_t sent, acked;       /* numbers of the last updates */
  zp_time sent_at;            /* when the wait for the acknowledgement began */
  uint64_t controls_version;  /* of the last list of control daemons sent */
  zp_time controls_listed_at; /* when it was sent; 0: never */
  uint64_t loads_read;        /* see ro_loads_read */
};

/* A report with a report_id that waits for the acknowledgement of every entry
   daemon.  */
struct ro_pending
{
  uint64_t report_id;
  uint64_t number; /* of the update that has to be acknowledged */
};

/* An entry daemon whose connection has ended.  It may be running and use the
   servers it knows until it has connected again.  */
struct ro_lost
{
  uint64_t daemon; /* id */
  zp_time at;
};

struct ro_source
{
  struct tk_loop *loop;
  struct tk_task task;
  struct tk_task *decider;
  struct tk_task
      *relay; /* takes the work for other control daemons, or NULL */
  zp_time report_period;
  struct wi_listener *listener;
  struct ro_link *links;
  uint64_t last_link; /* number of the last connection */
  struct ro_table table;
  struct ro_work work;
  zp_time work_relayed_at;
  bool work_relayed_any; /* the last list for other daemons was not empty */
  struct ro_loads loads;
  uint64_t loads_relayed; /* see ro_loads_read */
  struct zp_buf region;   /* of this daemon */
  struct zp_buf failure_domain;
  uint64_t number; /* of the last change */
  struct ro_pending *pending;
  size_t pending_count, pending_cap;
  struct ro_lost *lost;
  size_t lost_count, lost_cap;
  struct zp_buf controls;    /* "IP:port" lines */
  uint64_t controls_version; /* counts the changes of CONTROLS */
  unsigned entries;          /* connected entry daemons, as last sent */
  bool fresh;                /* in contact with the leader of the log */
  bool leads;                /* leads it */
  zp_time renewals_at;       /* when unchanged reports are passed on next */
  ev_timer batch, tick;
};

/* source-update.c */

/* Sends what has changed since the last update of L; to a new link, all.  */
void ro_source_send_update (struct ro_link *l, zp_time now);

/* The same for every link to which something is due.  */
void ro_source_send_changes (struct ro_source *s);

/* Sends TK_SERVER_SETTLED for each report that all daemons have
   acknowledged.  */
void ro_source_send_settled (struct ro_source *s);

/* Has REPORT_ID settled when all daemons have acknowledged the last change. */
void ro_source_add_pending (struct ro_source *s, uint64_t report_id);

/* Notes that the connection of the daemon of L ends, so that its
   acknowledgement of reports is still waited for.  */
void ro_source_note_lost (struct ro_source *s, const struct ro_link *l);

/* source-work.c */

/* The kind of the reports of L.  */
enum ro_work_kind ro_source_work_kind (const struct ro_link *l);

/* Takes the requests that the daemon of L has at each server and the samples of
   loads that it sends; answers an entry daemon with those of the region.  */
void ro_source_take_work (struct ro_link *l, struct zp_str payload);

/* Passes the sums and the samples of this failure domain's daemons to the other
   control daemons of the region, when it is time.  */
void ro_source_relay_work (struct ro_source *s, zp_time now);

/* Forwards a lost request to the other entry daemons.  */
void ro_source_forward_loss (struct ro_link *from, const struct tk_loss *loss);

/* source-quota.c */

/* Passes an ask to the deciding task.  Returns false when PAYLOAD is
   malformed.  */
bool ro_source_take_ask (struct ro_link *l, struct zp_str payload);

/* Sends G on the connection that the ask came on; drops it if that has
   ended.  */
void ro_source_send_grant (struct ro_source *s,
                           const struct tk_quota_grant *g);

#endif
