/* NAME
     drain - what the drains of the configuration mean, and what is left of
     them

   DESCRIPTION
     A drain names a server, an entry daemon, a failure domain or a region:

                        server   entry   failure domain or region
       look-ups         -        left out of them, with its entry daemons
       grants on        the      -       its servers
                        server
       ownership of     -        handed over   stays, until work has ended
       servers

     Slots of a draining server are recalled, and its leases renewed only for
     running requests, so new work for it ends within one lease ttl of the
     drain (P6) and what runs is not cancelled (P7).  A drained entry daemon
     goes on serving the callers that still have it in a cached answer.

     Each daemon reports its own part of the progress; the parts of all daemons
     are added up, and the drain is done when all parts are.  */

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
  zp_time since; /* when it came into force at this daemon */
};

struct st_drains
{
  struct st_drain *item;
  size_t len, cap;
};

/* This daemon, as drains see it.  */
struct st_drain_self
{
  struct zp_str entry, failure_domain, region;
};

/* Reads "server/ID", "entry/ID", "failure_domain/NAME" or "region/NAME".  */
bool st_drain_parse (struct zp_str text, struct st_drain *out,
                     struct zp_err *err);

void st_drains_add (struct st_drains *d, const struct st_drain *item);
void st_drains_free (struct st_drains *d);

/* Whether a server gets no new work.  */
bool st_drains_cover_server (const struct st_drains *d, struct zp_str id,
                             struct zp_str failure_domain,
                             struct zp_str region);

/* Whether an entry daemon is left out of look-ups.  */
bool st_drains_cover_entry (const struct st_drains *d, struct zp_str entry,
                            struct zp_str failure_domain,
                            struct zp_str region);

/* Whether an entry daemon hands over its servers and is preferred by none.  */
bool st_drains_name_entry (const struct st_drains *d, struct zp_str entry);

/* Marks the servers of L that drain; call it after every announcement and
   every change of the configuration.  Returns how many drain.  */
size_t st_drains_apply (const struct st_drains *d, struct st_lessor *l,
                        const struct st_drain_self *self);

/* What this daemon still has to do with a drain.  */
struct st_drain_progress
{
  unsigned servers;     /* owned ones that still have work */
  unsigned slots;       /* lent on them */
  unsigned inflight;    /* by the last reports of these servers */
  unsigned owned;       /* servers that a drained entry daemon still owns */
  unsigned requests;    /* running at a drained entry daemon */
  zp_time cached_until; /* callers may come until then; 0: not left out */
  bool done;
};

struct st_drain_progress st_drain_progress (const struct st_drain *d,
                                            const struct st_drain_self *self,
                                            const struct st_lessor *l,
                                            const struct st_holder *h,
                                            zp_time now);

#endif
