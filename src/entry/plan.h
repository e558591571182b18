/* NAME
     plan - look-up tables derived from the configuration in force

   DESCRIPTION
     A plan is built from each new configuration.  It has numbers for sites,
     failure domains and regions, the topology, the block table and the shifts
     in progress.  Only the shares moved by shifts change afterwards.  Other
     objects of the configuration are looked up through the plan.  Only the
     router reads it.  */

#ifndef ZP_ENTRY_PLAN_H
#define ZP_ENTRY_PLAN_H

#include "steer/drain.h"
#include "steer/lookup.h"
#include "ticket/config.h"

struct en_plan_shift
{
  struct zp_str name;
  uint16_t from, to; /* sites */
  /* Shares of the blocks of FROM, 0 to 1.  */
  double logged; /* moved by the steps in the log of the control daemons */
  double cap;    /* largest change per minute */
  double moved;  /* moved by this daemon; set by the router */
};

struct en_plan_shifts
{
  struct en_plan_shift *item;
  size_t len;
};

struct en_plan
{
  const struct ti_config *config;
  uint64_t number;

  struct zp_str *site, *domain, *region; /* names by number */
  struct st_topology topology;
  uint16_t *site_domain, *domain_region; /* owned arrays of TOPOLOGY */
  zp_time *latency;

  struct st_blocks *blocks; /* NULL: no blocks */
  uint64_t blocks_stamp;    /* hash over the objects BLOCKS was built from */
  struct en_plan_shifts shifts;
};

/* CONFIG has to outlive the plan.  OLD may be NULL.  The block table is moved
   out of OLD when no block and no site has changed, because building it takes
   long at 880,000 blocks.  Returns NULL and sets ERR when the blocks are not
   valid.  */
struct en_plan *en_plan_build (const struct ti_config *config,
                               struct en_plan *old, struct zp_err *err);
void en_plan_free (struct en_plan *p);

/* The service, or NULL.  */
const struct ti_service *en_plan_service (const struct en_plan *p,
                                          struct zp_str name);

/* The number of the failure domain or region NAME, or UINT16_MAX.  */
uint16_t en_plan_domain (const struct en_plan *p, struct zp_str name);
uint16_t en_plan_region (const struct en_plan *p, struct zp_str name);

/* Adds all drains to OUT; the caller frees it with st_drains_free.  */
void en_plan_drains (const struct en_plan *p, struct st_drains *out);

/* Sets SHARE to the part of the limit of a service in a region that daemon ID
   may use, in requests in flight.  Returns false when there is no limit.  The
   shares of the entry daemons in the configuration add up to the limit; any
   other daemon has a share of 0.  */
bool en_plan_limit (const struct en_plan *p, struct zp_str service,
                    struct zp_str region, uint64_t id, unsigned *share);

/* The number of entry daemons in the configuration, which share a limit evenly.
   0 when daemon ID is none of them.  */
unsigned en_plan_share_count (const struct en_plan *p, uint64_t id);

/* Whether the configuration disables entry daemon ID.  */
bool en_plan_entry_disabled (const struct en_plan *p, uint64_t id);

/* Whether the configuration allows an entry daemon at ADDRESS in the failure
   domain DOMAIN.  A failure domain without networks allows every address.  */
bool en_plan_entry_allowed (const struct en_plan *p, struct zp_str domain,
                            struct zp_str address);

/* The site that BLOCK of SITE belongs to under the shifts in progress.  A
   st_shift_fn; SHIFTS is a struct en_plan_shifts.  */
uint16_t en_plan_shifted_site (const void *shifts,
                               const struct st_prefix *block, uint16_t site);

#endif
