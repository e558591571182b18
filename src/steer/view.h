/* NAME
     view - what this daemon knows of the other entry daemons

   DESCRIPTION
     Members, the latency between regions, and the last summary of free slots
     by member and service.  A view only guides choices: a wrong or old view
     costs an exchange, never capacity.

     st_view_preferred picks the entry daemon that a server should announce to
     by rendezvous hashing over the live members of a failure domain.  */

#ifndef ZP_STEER_VIEW_H
#define ZP_STEER_VIEW_H

#include "base/limits.h"
#include "base/str.h"

/* A summary older than this is not used to choose whom to ask.  */
#define ST_SUMMARY_TTL (3 * ZP_SEC)

struct st_member
{
  uint64_t id;
  char failure_domain[ZP_NAME_MAX];
  char region[ZP_NAME_MAX];
  char address[ZP_ADDRESS_MAX];
  bool live;
  bool stopping; /* drains or shuts down; gets no new server */
};

struct st_summary
{
  uint64_t member;
  char service[ZP_NAME_MAX];
  unsigned free, slots;
  zp_time at;
};

struct st_latency
{
  char from[ZP_NAME_MAX], to[ZP_NAME_MAX];
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

/* Returns ITEMS, moved when needed, with room for one more than LEN.  */
void *st_reserve (void *items, size_t *cap, size_t len, size_t size);

void st_view_put (struct st_view *v, const struct st_member *m);
void st_view_remove (struct st_view *v, uint64_t member);
const struct st_member *st_view_member (const struct st_view *v, uint64_t id);

/* Ignores names that are too long.  */
void st_view_put_summary (struct st_view *v, uint64_t member,
                          struct zp_str service, unsigned free_slots,
                          unsigned slots, zp_time now);
void st_view_put_latency (struct st_view *v, struct zp_str from,
                          struct zp_str to, zp_time one_way);

/* Orders members by nearness: 0 for this daemon, 1 in its failure domain, 2 in
   its region, then by the latency between regions.  ZP_NEVER: not known.  */
zp_time st_view_distance (const struct st_view *v, uint64_t member);

/* The time that an exchange with MEMBER of another region takes; 0 inside the
   region, where it is short.  */
zp_time st_view_round_trip (const struct st_view *v, uint64_t member);

/* NULL when no live member of the failure domain is left.  */
const struct st_member *st_view_preferred (const struct st_view *v,
                                           struct zp_str failure_domain,
                                           struct zp_str server);

void st_view_free (struct st_view *v);

#endif
