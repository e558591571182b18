/* NAME
     drain - effects and progress of the drains in the configuration

   DESCRIPTION
     A drain takes work away from a server, an entry daemon, a failure domain
     or a region:

       server          No slots are granted on it.
       entry daemon    It is left out of look-ups and hands its servers over
                       to other owners.
       failure domain  Its entry daemons are left out of look-ups, and no slots
       or region       are granted on its servers.  The servers keep their
                       owners until their work has ended.

     The slots of a draining server are recalled, and its leases are renewed
     for running requests only.  So new work for it ends within ZP_LEASE_TTL
     after the drain has come into force (P6), and running requests are not
     cancelled (P7).  A drained entry daemon still serves the callers that have
     it in a cached look-up answer.

     Each daemon reports its own part of the progress.  The numbers of all
     daemons are added up, and the drain is done when every daemon is done.  */

#ifndef ZP_STEER_DRAIN_H
#define ZP_STEER_DRAIN_H

#include "base/err.h"
#include "steer/holder.h"
#include "steer/lease.h"
#include "steer/view.h"

enum st_drain_kind
{
  ST_DRAIN_SERVER,
  ST_DRAIN_ENTRY,
  ST_DRAIN_FAILURE_DOMAIN,
  ST_DRAIN_REGION,
};

struct st_drain
{
  enum st_drain_kind kind;
  char name[ZP_NAME_MAX];
  zp_time since; /* when it came into force at this daemon, by its clock */
};

struct st_drains
{
  struct st_drain *item;
  size_t len, cap;
};

/* The names by which a drain can refer to this daemon.  */
struct st_drain_self
{
  struct zp_str entry, failure_domain, region;
};

/* Parses "server/ID", "entry/ID", "failure_domain/NAME" or "region/NAME".
   Returns false with the reason (ZP_EINVAL) in ERR on error.  */
bool st_drain_parse (struct zp_str text, struct st_drain *out,
                     struct zp_err *err);

void st_drains_add (struct st_drains *d, const struct st_drain *item);
void st_drains_free (struct st_drains *d);

/* Whether any drain covers a server, which then gets no new work.  */
bool st_drains_cover_server (const struct st_drains *d, struct zp_str id,
                             struct zp_str failure_domain,
                             struct zp_str region);

/* Whether any drain covers an entry daemon, which is then left out of
   look-ups.  */
bool st_drains_cover_entry (const struct st_drains *d, struct zp_str entry,
                            struct zp_str failure_domain,
                            struct zp_str region);

/* Whether any drain names the entry daemon itself, which then hands its
   servers over and is no server's preferred owner.  */
bool st_drains_name_entry (const struct st_drains *d, struct zp_str entry);

/* Sets the draining flag of each server of L.  To be called after each
   announcement and each change of the configuration.  Returns the number of
   draining servers.  */
size_t st_drains_apply (const struct st_drains *d, struct st_lessor *l,
                        const struct st_drain_self *self);

/* The work that a drain still waits for at this daemon.  */
struct st_drain_progress
{
  unsigned servers;     /* covered servers it owns that still have work */
  unsigned slots;       /* lent on these servers */
  unsigned inflight;    /* requests in the last reports of these servers */
  unsigned owned;       /* all servers, if the drain names this daemon */
  unsigned requests;    /* in progress here, if the drain covers this daemon */
  zp_time cached_until; /* callers can use cached answers that list this daemon
                           until then; 0: the drain does not cover it */
  bool done;
};

struct st_drain_progress st_drain_progress (const struct st_drain *d,
                                            const struct st_drain_self *self,
                                            const struct st_lessor *l,
                                            const struct st_holder *h,
                                            zp_time now);

#endif
