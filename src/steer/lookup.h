/* NAME
     lookup - the ranked list of entry VMs for a caller

   SYNOPSIS
     struct st_lookup *l = st_lookup_build (&topology, members, n, self);
     st_lookup_find (l, blocks, &query, &answer);
     st_lookup_free (l);

   DESCRIPTION
     In this file an entry is an entry VM with its entry daemon.

     st_lookup_build indexes the live members by failure domain.  The index is
     immutable; it is built anew when the membership, the drains or the
     topology change.

     st_lookup_find maps the caller's address to its client block, the block
     to a site, and the site to a failure domain.  While a traffic shift is in
     progress, the callback in the query may replace the site of the block.
     The answer lists, nearest first, at most

       ST_LOOKUP_DOMAIN_MAX entries of the site's failure domain,
       entries of the other failure domains of its region, up to
       ST_LOOKUP_REGION_MAX entries of the region in total, and
       ST_LOOKUP_REMOTE_MAX entries of the nearest other region that has any.

     When the failure domain has too few entries, the rest of the region fills
     the list up to ST_LOOKUP_REGION_MAX; when the rest of the region has
     none, the failure domain does.  Otherwise the last entry of the region is
     in another failure domain, so that a caller with a cached list survives
     the loss of a domain.  No answer lists more than ST_LOOKUP_REGION_MAX
     entries of a region; the bound in poison.h depends on this.

     The first group that has any entry is ordered by rendezvous hashing over
     block, service and entry: blocks spread over the entries, and a change of
     membership moves only the blocks of the entry that changed.  The entries
     of later groups are fallbacks and are picked at positions given by a hash
     of block and service, which is cheaper.

     Dead and drained entries are left out.  When the failure domain and the
     region have no entry, the answer starts with the nearest region that has
     one.  When every live entry is drained, the answer lists drained ones,
     because they serve until they stop.  When no entry is live, it lists the
     daemon that answers, which the caller can evidently reach.

   RETURN VALUE
     st_lookup_find fills the answer, which always has at least one entry.
     SCOPE is the distance class of the first entry, for the log and the
     counters.  */

#ifndef ZP_STEER_LOOKUP_H
#define ZP_STEER_LOOKUP_H

#include "base/clock.h"
#include "steer/blocks.h"

#define ST_LOOKUP_DOMAIN_MAX 2
#define ST_LOOKUP_REGION_MAX 3
#define ST_LOOKUP_REMOTE_MAX 2
#define ST_LOOKUP_MEMBERS_MAX 4096
#define ST_LOOKUP_MAX (ST_LOOKUP_REGION_MAX + ST_LOOKUP_REMOTE_MAX)

#define ST_NO_SITE UINT16_MAX

/* Sites, failure domains and regions are numbered from 0.  */
struct st_topology
{
  const uint16_t *site_domain; /* of each site */
  size_t sites;
  const uint16_t *domain_region; /* of each failure domain */
  size_t domains;
  const zp_time *latency; /* one way; row: from, column: to a region */
  size_t regions;
};

struct st_lookup_member
{
  uint64_t id;
  uint16_t domain;
  bool live;
  bool drained; /* by a drain of itself, its failure domain or its region */
};

/* Returns the site that serves BLOCK, which belongs to SITE: SITE itself, or
   the destination of a traffic shift that has moved the block.  */
typedef uint16_t st_shift_fn (const void *shifts,
                              const struct st_prefix *block, uint16_t site);

struct st_lookup_query
{
  uint32_t address;     /* IPv4, host byte order; 0: unknown */
  uint64_t service;     /* zp_str_hash of its name */
  st_shift_fn *shifted; /* NULL: no shift is in progress */
  const void *shifts;   /* first argument of SHIFTED */
};

enum st_scope
{
  ST_SCOPE_DOMAIN,  /* the failure domain of the caller's site */
  ST_SCOPE_REGION,  /* another failure domain of its region */
  ST_SCOPE_REMOTE,  /* another region */
  ST_SCOPE_DRAINED, /* every live entry is drained */
  ST_SCOPE_SELF,    /* no entry is live; the daemon that answers */
};

struct st_lookup_answer
{
  enum st_scope scope;
  bool has_block; /* a block contains the address; BLOCK is set */
  bool moved;     /* a shift replaced the site of the block */
  struct st_prefix block;
  uint16_t site; /* after the shift; ST_NO_SITE when there is no block */
  size_t n;      /* at least 1 */
  uint32_t entries[ST_LOOKUP_MAX]; /* indices into MEMBERS of the build */
};

struct st_lookup;

/* Builds the index from copies of its arguments.  SELF is the index in MEMBERS
   of the daemon that answers; a caller without a block is treated as one of
   its failure domain.  N is at most ST_LOOKUP_MEMBERS_MAX.  */
struct st_lookup *st_lookup_build (const struct st_topology *t,
                                   const struct st_lookup_member *members,
                                   size_t n, size_t self);
void st_lookup_free (struct st_lookup *l);

void st_lookup_find (const struct st_lookup *l, const struct st_blocks *b,
                     const struct st_lookup_query *q,
                     struct st_lookup_answer *out);

/* Maps a block to [0, 1): a shift moves the blocks below its share.  The hash
   is independent of the one that orders the entries.  */
double st_block_hash (const struct st_prefix *block);

#endif
