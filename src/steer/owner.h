/* NAME
     owner - the backend servers that announce to this daemon

   DESCRIPTION
     A server chooses its owner by announcing to it.  The owner may lend the
     slots of a server only while st_server_usable holds:

     - Takeover.  A new owner waits ST_TAKEOVER_WAIT, so that every lease of an
       earlier owner has ended.  The announcements have to cover this time
       without a gap of two periods, because in a gap the server may have
       announced to another daemon.  Both times are measured by the uptime in
       the announcements, that is by the server's own clock, so that network
       delay does not matter.  A low uptime does not shorten the wait: a
       restarted server keeps its id and its address, and leases from before
       the restart are still in use.

     - End.  Ownership ends ZP_ANNOUNCE_TTL after the last announcement was
       sent.  The time of sending is estimated from the uptime and from the
       announcement with the least delay so far.  The time of arrival would be
       too late, because an announcement can wait in a socket while the server
       has already moved to another entry VM.

     - Hand-over.  On a planned stop the old owner stops granting and sends its
       leases to the new owner.  The new owner need not wait if the server's
       uptime shows that no third daemon can have completed a takeover wait in
       between.

     - Resignation.  Two calls that are further apart than the lease ttl mean
       that this process was frozen.  It then drops every server.

   RETURN VALUE
     Pointers to servers stay valid until the server is dropped.  */

#ifndef ZP_STEER_OWNER_H
#define ZP_STEER_OWNER_H

#include "base/err.h"
#include "base/limits.h"

/* The longest lease, its clock-rate error, and 50 ms for scheduling delays of
   the old owner and its holders.  */
#define ST_TAKEOVER_WAIT                                                      \
  (ZP_LEASE_TTL + ZP_LEASE_TTL * ZP_CLOCK_RATE_ERROR_PERCENT / 100            \
   + 50 * ZP_MS)

/* Announcements before the first use of a server.  A server moves to another
   entry VM after two unanswered announcements, so a third one shows that this
   daemon's answers arrive and that the estimated sending time is right to
   within one period.  */
#define ST_CONFIRM_COUNT 3

struct st_announce
{
  struct zp_str id, service, address;
  unsigned slots, connections, inflight;
  double load;
  zp_time uptime;
  bool leaving;
};

struct st_server
{
  char id[ZP_NAME_MAX];
  char service[ZP_NAME_MAX];
  char address[ZP_ADDRESS_MAX];
  unsigned slots, connections;
  bool leaving;
  bool draining;    /* by configuration; set by the task */
  bool handed_over; /* to another owner; this daemon grants nothing on it */

  /* The last report.  */
  unsigned inflight;
  double load;
  zp_time reported_at;

  /* Ownership.  */
  zp_time uptime, first_uptime;
  zp_time arrived;          /* the last announcement */
  zp_time offset;           /* least difference of arrival and uptime */
  zp_time wait, ready, end; /* takeover wait, its end, end of ownership */
  unsigned announced;       /* since the wait began */
  bool owned;               /* the wait is over */

  /* Set by the lease module.  A limit is the announced number or, when the
     server has lowered that below what is lent, what is lent.  */
  unsigned lent, lent_connections;
  unsigned limit, limit_connections;
  unsigned sum, sum_connections; /* used by st_table_check only */
};

struct st_owner
{
  uint64_t self;
  uint64_t epoch;    /* higher after every restart and resignation */
  zp_time last_step; /* last call of st_owner_frozen */
  struct st_server **server;
  size_t servers, server_cap;
};

void st_owner_init (struct st_owner *o, uint64_t self, uint64_t epoch,
                    zp_time now);

/* Applies one announcement.  Returns NULL, with ERR set, when it is invalid;
   the task answers with the preferred entry VM in any case.  */
struct st_server *st_owner_announce (struct st_owner *o,
                                     const struct st_announce *a, zp_time now,
                                     struct zp_err *err);

struct st_server *st_owner_find (const struct st_owner *o, struct zp_str id);

/* Whether this daemon may lend or use slots of S at NOW.  */
bool st_server_usable (const struct st_server *s, zp_time now);

/* Whether new leases may be granted: S is usable, and neither leaving nor
   draining nor handed over.  */
bool st_server_grantable (const struct st_server *s, zp_time now);

/* Ends the takeover wait of S after a hand-over.  UPTIME is from the last
   announcement that the old owner received.  Returns false when the wait has
   to continue.  */
bool st_server_take_over (struct st_server *s, zp_time uptime, zp_time now);

/* Returns true when the last call is longer ago than the lease ttl, which
   means that the process was frozen.  Every ownership is then void and the
   epoch is raised.  The lease module drops the servers and their leases.  */
bool st_owner_frozen (struct st_owner *o, zp_time now);

/* Removes server I from the registry.  */
void st_owner_drop (struct st_owner *o, size_t i);

void st_owner_free (struct st_owner *o);

#endif
