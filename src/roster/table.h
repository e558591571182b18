/* NAME
     table - the table of backend servers that a daemon knows

   SYNOPSIS
     switch (ro_table_update (&t, &server, now))
       ...

   DESCRIPTION
     Pure.  Reports of one server reach a daemon through several control
     daemons, late, twice and out of order.  A start is one run of the server's
     process, identified by its BORN_MS.  The start with the highest BORN_MS
     counts, and of one start the report with the highest SEQ.  A server that
     is gone stays in the table for RO_GONE_TTL, so that a late report does not
     bring it back.  A server that is gone because it was silent comes back
     with a newer report.  A leave report is a report of the server itself with
     the state TK_SERVER_GONE.

     Reports can come from another writer.  A server keeps its service while it
     is reported, and a start also its address; a report that says otherwise is
     ignored.  That an address has a new owner is one writer's word as long as
     only a report says so, so that the table holds both servers; the entry
     daemons, which see the answers from the address, decide
     (ro_claims_address).

     A leave report covers every start that was born up to its LEFT_MS, also one
     whose reports this daemon has not had yet: it may have just started.  A
     report of a covered start never makes the server ready, whatever its SEQ.
     A leave report need not tell the start; it covers the starts that were born
     before it arrived (ro_leave_bound).

     A server can also say in its answers that it leaves, before or after its
     reports say so (ro_table_leave).  That start is then never ready again,
     whatever its reports say.  */

#ifndef ZP_ROSTER_TABLE_H
#define ZP_ROSTER_TABLE_H

#include <stddef.h>

#include "task/msg.h"

/* A network partition can delay a report until it ends; partitions of minutes
   are expected.  */
#define RO_GONE_TTL (600 * ZP_SEC)

/* Bounds the memory that reports can take; the largest deployment has 486
   servers.  */
#define RO_SERVERS_MAX 4096

/* A report is a change when its cold time ends later than that of the report
   before by more than this.  The end is computed at the arrival of a report,
   so that it varies with the delay of delivery.  */
#define RO_COLD_TOLERANCE (250 * ZP_MS)

/* Added to the time at which a leave report arrives, for clocks that differ.  A
   server that leaves serves on for seconds before it can start again under the
   same id.  */
#define RO_LEAVE_MARGIN_MS 1000

struct ro_server
{
  struct tk_server report;        /* the newest one */
  uint64_t start;                 /* ro_start_hash of the report */
  enum tk_server_state own_state; /* as the server itself reported it last */
  bool leaving;                   /* see ro_table_leave */
  zp_time cold_until;
  zp_time updated_at; /* last accepted report, or when it became gone */

  /* Set by the owner of the table, which numbers its updates: the numbers of
     the last change and of the last unchanged report that was passed on, and
     when either was passed on last.  */
  uint64_t change_number;
  uint64_t refresh_number;
  zp_time refreshed_at;
};

struct ro_table
{
  struct ro_server *item;
  size_t len, cap;
  size_t renewed; /* index of the last server that was renewed */
};

/* Identifies one start of the server ID.  */
uint64_t ro_start_hash (struct zp_str id, uint64_t born_ms);

/* What a report has changed.  */
enum ro_table_result
{
  RO_OLD,       /* older than the report held, or odd; ignored */
  RO_UNCHANGED, /* newer, with the same content */
  RO_CHANGED,   /* newer, with other content; also of silence or leaving */
  RO_STARTED,   /* the first report of a start */
  RO_FULL,      /* RO_SERVERS_MAX servers are known; ignored */
};

/* Adds the report S to the table.  *AT is set to its server, except for RO_OLD
   and RO_FULL, and is valid until the next call.  */
enum ro_table_result ro_table_update (struct ro_table *t,
                                      const struct tk_server *s, zp_time now,
                                      struct ro_server **at);

/* Whether A claims the address at which B was reported: both are reported at
   it, and A was born later.  Addresses of servers that have ended are used
   again.  The claim ends when A is gone.  */
bool ro_claims_address (const struct tk_server *a, const struct tk_server *b);

/* Applies R, which repeats the last report of a server.  It brings back a
   server that was marked gone because of silence.  *AT is set to the server,
   except for RO_OLD.  */
enum ro_table_result ro_table_renew (struct ro_table *t,
                                     const struct tk_renewal *r, zp_time now,
                                     struct ro_server **at);

/* The LEFT_MS of the leave report S, which arrives from the server itself at
   the time WALL.  Also the start that T holds is covered, in case the clocks
   differ by more than RO_LEAVE_MARGIN_MS.  T can be NULL.  */
uint64_t ro_leave_bound (const struct ro_table *t, const struct tk_server *s,
                         zp_time wall);

/* Marks the present start of X as one that has left.  */
void ro_table_mark_left (struct ro_server *x, zp_time now);

/* Notes that the present start of X leaves, as its answers say.  */
void ro_table_leave (struct ro_server *x);

/* Returns NULL when ID is not known.  */
struct ro_server *ro_table_find (const struct ro_table *t, struct zp_str id);

/* Marks every server gone whose last report came before SINCE, and calls EACH
   for it.  Removes servers that have been gone for RO_GONE_TTL.  */
typedef void ro_each_server (void *self, struct ro_server *s);
void ro_table_expire (struct ro_table *t, zp_time since, zp_time now,
                      ro_each_server *each, void *self);

/* Marks X gone because of silence; a newer report brings it back.  */
void ro_table_mark_silent (struct ro_server *x, zp_time now);

/* Removes the servers that have been gone for RO_GONE_TTL and that MAY allows
   to remove.  */
typedef bool ro_may_forget (void *self, const struct ro_server *s);
void ro_table_forget (struct ro_table *t, zp_time now, ro_may_forget *may,
                      void *self);

void ro_table_free (struct ro_table *t);

#endif
