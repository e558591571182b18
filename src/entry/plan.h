/* NAME
     plan - what an entry daemon derives from the configuration in force

   DESCRIPTION
     Built anew from each configuration and immutable after: services by name,
     numbered sites, failure domains and regions, the block table, shifts in
     progress and drains.  No task but the router reads it.  */

#ifndef ZP_ENTRY_PLAN_H
#define ZP_ENTRY_PLAN_H

#include "steer/drain.h"
#include "steer/lookup.h"
#include "ticket/config.h"

struct en_plan_shift
{
  struct zp_str name;
  uint16_t from, to; /* sites */
  double logged;     /* share of the blocks of FROM, by the logged steps */
  double cap;        /* largest change in a minute */
  double moved;      /* share that this daemon moves; set by the router */
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
  uint16_t *site_domain, *domain_region;
  zp_time *latency;

  struct st_blocks *blocks; /* NULL: none */
  uint64_t blocks_stamp;    /* of the objects that BLOCKS was built from */
  struct en_plan_shifts shifts;
};

/* CONFIG has to outlive the plan.  The block table of OLD (or NULL) is taken
   over when no block and no site has changed, because building it takes long
   at 880,000 blocks.  */
struct en_plan *en_plan_build (const struct ti_config *config,
                               struct en_plan *old, struct zp_err *err);
void en_plan_free (struct en_plan *p);

/* The service, or NULL.  */
const struct ti_service *en_plan_service (const struct en_plan *p,
                                          struct zp_str name);

/* The number of a name, or UINT16_MAX.  */
uint16_t en_plan_domain (const struct en_plan *p, struct zp_str name);
uint16_t en_plan_region (const struct en_plan *p, struct zp_str name);

/* All drains; the caller frees OUT with st_drains_free.  */
void en_plan_drains (const struct en_plan *p, struct st_drains *out);

/* The part of daemon ID in the limit of a service in a region.  Returns false
   when there is no limit.  The parts of the entry daemons of the configuration
   add up to the limit; a daemon that it does not name has none.  */
bool en_plan_limit (const struct en_plan *p, struct zp_str service,
                    struct zp_str region, uint64_t id, unsigned *share);

/* Whether the configuration has switched an entry daemon off.  */
bool en_plan_entry_disabled (const struct en_plan *p, uint64_t id);

/* Whether the configuration lets this entry daemon take part.  Without any
   networks for a failure domain every address may join it.  */
bool en_plan_entry_allowed (const struct en_plan *p, struct zp_str domain,
                            struct zp_str address);

/* A st_shift_fn over struct en_plan_shifts.  */
uint16_t en_plan_shifted_site (const void *shifts,
                               const struct st_prefix *block, uint16_t site);

#endif
