#include "entry/plan.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

/* Assumed between regions whose latency the configuration does not state.  */
#define LATENCY_UNKNOWN (200 * ZP_MS)

/* Names and numbers.  */

static size_t
count_kind (const struct ti_config *c, enum ti_kind kind)
{
  size_t at = 0, n = 0;

  while (ti_config_next (c, kind, &at))
    n++;
  return n;
}

/* The names of all objects of KIND, in the order of the configuration.  */
static struct zp_str *
collect_names (const struct ti_config *c, enum ti_kind kind, size_t *n)
{
  const struct ti_slot *s;
  size_t at = 0;
  struct zp_str *names = zp_alloc (count_kind (c, kind) * sizeof *names);

  *n = 0;
  while ((s = ti_config_next (c, kind, &at)))
    names[(*n)++] = ti_text_str (&s->key.name);
  return names;
}

static uint16_t
number_of (const struct zp_str *names, size_t n, struct zp_str name)
{
  for (size_t i = 0; i < n; i++)
    if (zp_str_eq (names[i], name))
      return (uint16_t) i;
  return UINT16_MAX;
}

uint16_t
en_plan_domain (const struct en_plan *p, struct zp_str name)
{
  return number_of (p->domain, p->topology.domains, name);
}

uint16_t
en_plan_region (const struct en_plan *p, struct zp_str name)
{
  return number_of (p->region, p->topology.regions, name);
}

static uint16_t
site_number (const struct en_plan *p, const struct ti_text *name)
{
  return number_of (p->site, p->topology.sites, ti_text_str (name));
}

/* Topology.  */

static void
fill_latency (struct en_plan *p)
{
  const struct ti_slot *s;
  size_t at = 0, n = p->topology.regions;

  p->latency = zp_alloc (n * n * sizeof *p->latency);
  for (size_t i = 0; i < n * n; i++)
    p->latency[i] = i % (n + 1) == 0 ? 0 : LATENCY_UNKNOWN;
  for (size_t i = 0; (s = ti_config_next (p->config, TI_REGION, &at)); i++)
    {
      const struct ti_latencies *l = &s->object->u.region.latency_ms;
      for (size_t k = 0; k < l->len; k++)
        {
          uint16_t to = en_plan_region (p, ti_text_str (&l->item[k].region));
          if (to != UINT16_MAX)
            p->latency[i * n + to] = l->item[k].us;
        }
    }
  p->topology.latency = p->latency;
}

static void
fill_topology (struct en_plan *p)
{
  const struct ti_config *c = p->config;
  const struct ti_slot *s;
  size_t at = 0, i = 0;

  p->site = collect_names (c, TI_SITE, &p->topology.sites);
  p->domain = collect_names (c, TI_FAILURE_DOMAIN, &p->topology.domains);
  p->region = collect_names (c, TI_REGION, &p->topology.regions);
  p->site_domain = zp_alloc (p->topology.sites * sizeof *p->site_domain);
  p->domain_region = zp_alloc (p->topology.domains * sizeof *p->domain_region);
  while ((s = ti_config_next (c, TI_SITE, &at)))
    p->site_domain[i++]
        = en_plan_domain (p, ti_text_str (&s->object->u.site.failure_domain));
  at = i = 0;
  while ((s = ti_config_next (c, TI_FAILURE_DOMAIN, &at)))
    p->domain_region[i++] = en_plan_region (
        p, ti_text_str (&s->object->u.failure_domain.region));
  p->topology.site_domain = p->site_domain;
  p->topology.domain_region = p->domain_region;
  fill_latency (p);
}

/* Blocks and shifts.  */

/* Appends the IPv4 prefixes of IN.  */
static void
put_prefixes (struct st_prefix *out, size_t *n, const struct ti_prefixes *in,
              uint16_t site)
{
  for (size_t i = 0; i < in->len; i++)
    {
      uint32_t address;
      if (in->item[i].family != 4)
        continue;
      memcpy (&address, in->item[i].ip, 4);
      out[(*n)++] = (struct st_prefix){ .address = ntohl (address),
                                        .bits = in->item[i].bits,
                                        .site = site };
    }
}

/* A hash that changes when any object of KIND changes.  */
static uint64_t
stamp_kind (const struct ti_config *c, enum ti_kind kind, uint64_t seed)
{
  const struct ti_slot *s;
  size_t at = 0;

  while ((s = ti_config_next (c, kind, &at)))
    seed = zp_str_hash (ti_text_str (&s->key.name), seed + s->number);
  return seed;
}

static bool
fill_blocks (struct en_plan *p, struct en_plan *old, struct zp_err *err)
{
  const struct ti_slot *s;
  size_t at = 0, total = 0, n = 0;

  p->blocks_stamp
      = stamp_kind (p->config, TI_BLOCKS, stamp_kind (p->config, TI_SITE, 1));
  if (old && old->blocks_stamp == p->blocks_stamp)
    {
      p->blocks = old->blocks;
      old->blocks = NULL;
      return true;
    }
  while ((s = ti_config_next (p->config, TI_BLOCKS, &at)))
    total += s->object->u.blocks.prefixes.len;
  struct st_prefix *all = zp_alloc (total * sizeof *all);
  at = 0;
  while ((s = ti_config_next (p->config, TI_BLOCKS, &at)))
    put_prefixes (all, &n, &s->object->u.blocks.prefixes,
                  site_number (p, &s->object->u.blocks.site));
  if (n > 0)
    p->blocks = st_blocks_build (all, n, err);
  free (all);
  return n == 0 || p->blocks;
}

static void
fill_shifts (struct en_plan *p)
{
  const struct ti_slot *s;
  size_t at = 0;
  struct en_plan_shifts *all = &p->shifts;

  all->item = zp_alloc (count_kind (p->config, TI_SHIFT) * sizeof *all->item);
  while ((s = ti_config_next (p->config, TI_SHIFT, &at)))
    all->item[all->len++] = (struct en_plan_shift){
      .name = ti_text_str (&s->key.name),
      .from = site_number (p, &s->object->u.shift.from),
      .to = site_number (p, &s->object->u.shift.to),
      .logged = (double) s->moved / TI_SHARE_ONE,
      .cap = (double) s->object->u.shift.cap_per_minute / TI_SHARE_ONE,
    };
}

uint16_t
en_plan_shifted_site (const void *shifts, const struct st_prefix *block,
                      uint16_t site)
{
  const struct en_plan_shifts *all = shifts;

  for (size_t i = 0; i < all->len; i++)
    if (all->item[i].from == site && all->item[i].to != UINT16_MAX
        && st_block_hash (block) < all->item[i].moved)
      return all->item[i].to;
  return site;
}

/* Objects.  */

static bool
make_key (enum ti_kind kind, struct zp_str name, struct ti_key *out)
{
  *out = (struct ti_key){ .kind = kind };
  return ti_name_parse (name, &out->name);
}

const struct ti_service *
en_plan_service (const struct en_plan *p, struct zp_str name)
{
  struct ti_key key;

  if (!make_key (TI_SERVICE, name, &key))
    return NULL;
  const struct ti_object *o = ti_config_find (p->config, &key);
  return o ? &o->u.service : NULL;
}

static enum st_drain_kind
drain_kind (enum ti_target_kind kind)
{
  switch (kind)
    {
    case TI_TARGET_SERVER:
      return ST_DRAIN_SERVER;
    case TI_TARGET_ENTRY:
      return ST_DRAIN_ENTRY;
    case TI_TARGET_FAILURE_DOMAIN:
      return ST_DRAIN_FAILURE_DOMAIN;
    case TI_TARGET_REGION:
      return ST_DRAIN_REGION;
    }
  return ST_DRAIN_SERVER;
}

void
en_plan_drains (const struct en_plan *p, struct st_drains *out)
{
  const struct ti_slot *s;
  size_t at = 0;

  while ((s = ti_config_next (p->config, TI_DRAIN, &at)))
    {
      const struct ti_target *t = &s->object->u.drain.target;
      struct st_drain d = { .kind = drain_kind (t->kind) };
      zp_str_copy (d.name, sizeof d.name, ti_text_str (&t->name));
      st_drains_add (out, &d);
    }
}

/* Sets RANK to the number of configured entry daemons with an id below ID, and
   COUNT to the number of all.  Returns whether ID is configured.  */
static bool
entry_rank (const struct en_plan *p, uint64_t id, unsigned *rank,
            unsigned *count)
{
  const struct ti_slot *s;
  size_t at = 0;
  uint64_t other;
  bool found = false;

  *rank = *count = 0;
  while ((s = ti_config_next (p->config, TI_ENTRY, &at)))
    if (zp_str_u64 (ti_text_str (&s->key.name), &other))
      {
        found = found || other == id;
        *rank += other < id;
        ++*count;
      }
  return found;
}

bool
en_plan_limit (const struct en_plan *p, struct zp_str service,
               struct zp_str region, uint64_t id, unsigned *share)
{
  const struct ti_slot *s;
  size_t at = 0;
  unsigned rank, count;

  while ((s = ti_config_next (p->config, TI_LIMITS, &at)))
    {
      const struct ti_limits *l = &s->object->u.limits;
      if (!zp_str_eq (ti_text_str (&l->service), service)
          || !zp_str_eq (ti_text_str (&l->region), region))
        continue;
      bool found = entry_rank (p, id, &rank, &count);
      *share = !found ? 0
                      : l->max_in_flight / count
                            + (rank < l->max_in_flight % count);
      return true;
    }
  return false;
}

unsigned
en_plan_share_count (const struct en_plan *p, uint64_t id)
{
  unsigned rank, count;

  return entry_rank (p, id, &rank, &count) ? count : 0;
}

bool
en_plan_entry_disabled (const struct en_plan *p, uint64_t id)
{
  const struct ti_slot *s;
  size_t at = 0;
  uint64_t other;

  while ((s = ti_config_next (p->config, TI_ENTRY, &at)))
    if (zp_str_u64 (ti_text_str (&s->key.name), &other) && other == id)
      return !s->object->u.entry.enabled;
  return false;
}

bool
en_plan_entry_allowed (const struct en_plan *p, struct zp_str domain,
                       struct zp_str address)
{
  struct ti_key key;
  struct ti_prefix host;
  struct zp_buf canonical = { .ptr = NULL };

  if (!make_key (TI_FAILURE_DOMAIN, domain, &key))
    return false;
  const struct ti_object *o = ti_config_find (p->config, &key);
  if (!o)
    return false;
  const struct ti_prefixes *nets = &o->u.failure_domain.entry_networks;
  bool ok = ti_address_parse (address, &canonical, &host);
  zp_buf_free (&canonical);
  if (!ok || nets->len == 0)
    return ok;
  for (size_t i = 0; i < nets->len; i++)
    if (ti_prefix_contains (&nets->item[i], &host))
      return true;
  return false;
}

/* Construction.  */

struct en_plan *
en_plan_build (const struct ti_config *config, struct en_plan *old,
               struct zp_err *err)
{
  struct en_plan *p = zp_alloc (sizeof *p);

  p->config = config;
  p->number = config->number;
  fill_topology (p);
  fill_shifts (p);
  if (!fill_blocks (p, old, err))
    {
      en_plan_free (p);
      return NULL;
    }
  return p;
}

void
en_plan_free (struct en_plan *p)
{
  if (!p)
    return;
  st_blocks_free (p->blocks);
  free (p->shifts.item);
  free (p->site);
  free (p->domain);
  free (p->region);
  free (p->site_domain);
  free (p->domain_region);
  free (p->latency);
  free (p);
}
