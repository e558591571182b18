/* NAME
     view - membership view: the entry daemons as this daemon knows them

   DESCRIPTION
     A view holds the members (entry daemons, this one included), the latency
     between regions, and the last summary of free slots of each member and
     service.

     The view only guides choices, so it is allowed to be stale: a wrong choice
     costs an extra exchange of messages, never capacity.

     st_view_preferred picks the entry daemon that a server should announce to:
     rendezvous hashing over the members of a failure domain that are live and
     not stopping.  */

#ifndef ZP_STEER_VIEW_H
#define ZP_STEER_VIEW_H

#include "base/limits.h"
#include "base/str.h"

/* Older summaries are ignored when choosing a member to request slots
   from.  */
#define ST_SUMMARY_TTL (3 * ZP_SEC)

struct st_member
{
  uint64_t id;
  char failure_domain[ZP_NAME_MAX];
  char region[ZP_NAME_MAX];
  char address[ZP_ADDRESS_MAX];
  bool live;
  bool stopping; /* draining or shutting down; gets no new servers */
};

/* Slots of one service that a member owns.  */
struct st_summary
{
  uint64_t member;
  char service[ZP_NAME_MAX];
  unsigned free, slots;
  zp_time at; /* when it was received */
};

struct st_latency
{
  char from[ZP_NAME_MAX], to[ZP_NAME_MAX]; /* regions */
  zp_time one_way;
};

struct st_view
{
  uint64_t self;
  struct st_member *member;
  size_t members, member_cap;
  struct st_summary *summary;
  size_t summaries, summary_cap;
  struct st_latency *latency;
  size_t latencies, latency_cap;
};

/* Makes room for one more item after the LEN items of an array: reallocates
   it and updates CAP when it is full.  Returns the array.  SIZE is the size of
   an item.  */
void *st_reserve (void *items, size_t *cap, size_t len, size_t size);

/* Adds a member or replaces the one with the same id.  */
void st_view_put (struct st_view *v, const struct st_member *m);

/* Removes a member and its summaries.  */
void st_view_remove (struct st_view *v, uint64_t member);

/* Returns NULL when the member is unknown.  */
const struct st_member *st_view_member (const struct st_view *v, uint64_t id);

/* These two add or replace a record and ignore it when a name is too long for
   ZP_NAME_MAX.  */
void st_view_put_summary (struct st_view *v, uint64_t member,
                          struct zp_str service, unsigned free_slots,
                          unsigned slots, zp_time now);
void st_view_put_latency (struct st_view *v, struct zp_str from,
                          struct zp_str to, zp_time one_way);

/* A sort key, nearest first: 0 for this daemon, 1 in its failure domain, 2 in
   its region, and 2 plus the one-way latency in another region (ZP_NEVER - 1
   when the latency is unknown).  Returns ZP_NEVER for an unknown member.  */
zp_time st_view_distance (const struct st_view *v, uint64_t member);

/* Round-trip time to a member of another region.  Returns 0 within the region,
   where it is negligible, and when it is unknown.  */
zp_time st_view_round_trip (const struct st_view *v, uint64_t member);

/* Returns NULL when FAILURE_DOMAIN has no member that is live and not
   stopping.  SERVER is the id of the server.  */
const struct st_member *st_view_preferred (const struct st_view *v,
                                           struct zp_str failure_domain,
                                           struct zp_str server);

void st_view_free (struct st_view *v);

#endif
