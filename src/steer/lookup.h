/* NAME
     lookup - the ranked list of entry VMs for a caller

   SYNOPSIS
     struct st_lookup *l = st_lookup_build (&topology, members, n, self);
     st_lookup_find (l, blocks, &query, &answer);
     st_lookup_free (l);

   DESCRIPTION
     st_lookup_build arranges the live members once for each change of
     membership, drains or topology; the result does not change after that.

     A caller's block gives its site, the site its failure domain.  A shift
     may move the block to another site: the predicate of the query decides
     that.  The answer lists at most

       ST_LOOKUP_DOMAIN_MAX entries of the site's failure domain,
       entries of the rest of its region, up to ST_LOOKUP_REGION_MAX of the
       region in all, and
       ST_LOOKUP_REMOTE_MAX entries of the nearest other region that has any.

     A part that cannot be filled leaves its places to the other part of the
     region.  The last place of the region goes to another failure domain
     where there is one, so that a caller with a cached list gets past the
     loss of a domain.  A caller learns of at most ST_LOOKUP_REGION_MAX
     entries of a region; poison.h needs this bound.

     The entries of the nearest part are ordered by a hash of block, service
     and entry, so that the blocks spread over them and a change of membership
     moves only the blocks of the entry that changed.  Those behind them are
     reserves, taken at places that a hash of block and service chooses.

     Dead and drained entries are left out.  When nothing near is left, the
     answer holds the nearest entries elsewhere; when every live entry is
     drained, drained ones, since they still serve until they stop; and with
     no entry at all the daemon that answers, which the caller can reach.

   RETURN VALUE
     st_lookup_find fills the answer; the scope tells how far the first entry
     is, for the log and the counters.  */

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
  const zp_time *latency; /* REGIONS x REGIONS, one way */
  size_t regions;
};

struct st_lookup_member
{
  uint64_t id;
  uint16_t domain;
  bool live;
  bool drained; /* by a drain of itself, its failure domain or its region */
};

/* The site that a block of site SITE goes to now: SITE itself, or the target
   of a shift.  */
typedef uint16_t st_shift_fn (const void *shifts,
                              const struct st_prefix *block, uint16_t site);

struct st_lookup_query
{
  uint32_t address;     /* host byte order; 0: not known */
  uint64_t service;     /* zp_str_hash of its name */
  st_shift_fn *shifted; /* NULL: no shift is in progress */
  const void *shifts;   /* its first argument */
};

enum st_scope
{
  ST_SCOPE_DOMAIN,  /* the failure domain of the caller's site */
  ST_SCOPE_REGION,  /* another failure domain of its region */
  ST_SCOPE_REMOTE,  /* another region */
  ST_SCOPE_DRAINED, /* only drained entries are left */
  ST_SCOPE_SELF,    /* no other entry is known */
};

struct st_lookup_answer
{
  enum st_scope scope;
  bool has_block; /* BLOCK is set */
  bool moved;     /* by a shift */
  struct st_prefix block;
  uint16_t site; /* after the shift; ST_NO_SITE when there is no block */
  size_t n;      /* at least 1 */
  uint32_t entries[ST_LOOKUP_MAX]; /* places in the array of members */
};

struct st_lookup;

/* Copies what it needs.  SELF is the place of the daemon that answers; a
   caller without a block is taken for one of its failure domain.  */
struct st_lookup *st_lookup_build (const struct st_topology *t,
                                   const struct st_lookup_member *members,
                                   size_t n, size_t self);
void st_lookup_free (struct st_lookup *l);

void st_lookup_find (const struct st_lookup *l, const struct st_blocks *b,
                     const struct st_lookup_query *q,
                     struct st_lookup_answer *out);

/* Hash of a block in [0, 1), for the share of a shift.  It does not depend
   on the hash that orders the entries.  */
double st_block_hash (const struct st_prefix *block);

#endif
