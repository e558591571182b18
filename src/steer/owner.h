/* NAME
     owner - the backend servers that announce to this daemon

   DESCRIPTION
     A server chooses its owner by announcing to it.  The owner may lend the
     slots of a server only while st_owner_usable holds:

     - Takeover.  A new owner waits ST_TAKEOVER_WAIT, so that every lease of an
       earlier owner has ended.  The announcements have to span this time
       without a gap of two periods, because another daemon may have been told
       in a gap.  Span and gap are measured by the uptime, that is the server's
       own clock, so that delay does not matter.
       The uptime never shortens the wait: a restarted server keeps its id and
       its address, and leases from before the restart are still in use.

     - End.  Ownership ends ZP_ANNOUNCE_TTL after the last announcement was
       sent.  The time of sending is estimated from the uptime and the quickest
       announcement so far, because an announcement can wait in a socket while
       the server has already moved to another entry VM.

     - Hand-over.  On a planned stop the old owner stops granting and passes on
       what it has lent.  The wait falls away when the server's uptime shows
       that no third daemon can have completed a wait in between.

     - Resignation.  A gap in this daemon's clock longer than the lease ttl
       means that the process was frozen.  It then drops every server.

   RETURN VALUE
     Pointers to servers stay valid until the server is dropped.  */

#ifndef ZP_STEER_OWNER_H
#define ZP_STEER_OWNER_H

#include "base/err.h"
#include "base/limits.h"

/* The 50 ms cover scheduling of the old owner and its holders.  */
#define ST_TAKEOVER_WAIT                                                      \
  (ZP_LEASE_TTL + ZP_LEASE_TTL * ZP_CLOCK_RATE_ERROR_PERCENT / 100            \
   + 50 * ZP_MS)

/* Announcements before the first use.  A server moves after two unanswered
   announcements, so a third one shows that this daemon's answers arrive and
   that the estimate of the sending time is right to within one period.  */
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
  bool handed_over; /* this daemon grants nothing on it any more */

  /* The last report.  */
  unsigned inflight;
  double load;
  zp_time reported_at;

  /* Ownership.  */
  zp_time uptime, first_uptime;
  zp_time arrived, offset; /* offset: least of arrival less uptime */
  zp_time wait, ready, end;
  unsigned announced; /* since the wait began */
  bool owned;         /* the wait is over */

  /* Kept by the lease module.  A limit is above the announced number only
     after a server has lowered it below what was lent.  */
  unsigned lent, lent_connections;
  unsigned limit, limit_connections;
  unsigned sum, sum_connections; /* scratch of the invariant check */
};

struct st_owner
{
  uint64_t self;
  uint64_t epoch; /* higher after every restart and resignation */
  zp_time last_step;
  struct st_server **server;
  size_t servers, server_cap;
};

void st_owner_init (struct st_owner *o, uint64_t self, uint64_t epoch,
                    zp_time now);

/* Takes in one announcement.  Returns NULL, with ERR set, when it breaks a
   rule; the caller answers with the preferred entry VM in any case.  */
struct st_server *st_owner_announce (struct st_owner *o,
                                     const struct st_announce *a, zp_time now,
                                     struct zp_err *err);

struct st_server *st_owner_find (const struct st_owner *o, struct zp_str id);

/* Whether slots of S may be lent or used at NOW by this daemon.  */
bool st_server_usable (const struct st_server *s, zp_time now);

/* Whether new work may be granted: usable, and neither leaving nor draining
   nor handed over.  */
bool st_server_grantable (const struct st_server *s, zp_time now);

/* Ends the wait of S when the old owner, which last heard it at UPTIME, has
   handed it over.  Returns false when the wait has to go on.  */
bool st_server_take_over (struct st_server *s, zp_time uptime, zp_time now);

/* Returns true when the clock shows a freeze: every ownership is void, and the
   epoch is raised.  The lease module then drops servers and leases.  */
bool st_owner_frozen (struct st_owner *o, zp_time now);

/* Removes server I from the registry.  */
void st_owner_drop (struct st_owner *o, size_t i);

void st_owner_free (struct st_owner *o);

#endif
