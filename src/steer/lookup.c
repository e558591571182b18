#include "steer/lookup.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

/* Seed of st_block_hash: "shift" in ASCII.  */
#define SHIFT_SEED 0x7368696674u

/* The members of one state, sorted by the rank of their failure domain.  */
struct table
{
  uint32_t *member; /* index in the array given to st_lookup_build */
  uint64_t *hash;   /* of the member's id */
  size_t n;
  uint32_t *domain_first; /* first member by domain rank; DOMAINS + 1 */
};

/* Failure domains have consecutive ranks within a region, so that a region is
   one range of a table.  */
struct st_lookup
{
  struct table serving; /* live and not drained */
  struct table drained; /* live and drained */
  uint16_t *site_domain;
  size_t sites;
  uint16_t *domain_region;
  uint32_t *domain_rank;
  size_t domains;
  uint32_t *region_first; /* REGIONS + 1, rank of its first domain */
  uint16_t *nearest;      /* REGIONS x REGIONS, nearest first */
  size_t regions;
  uint32_t self;
  uint16_t self_domain;
};

/* The finaliser of splitmix64.  */
static uint64_t
mix64 (uint64_t x)
{
  x ^= x >> 30;
  x *= UINT64_C (0xbf58476d1ce4e5b9);
  x ^= x >> 27;
  x *= UINT64_C (0x94d049bb133111eb);
  return x ^ (x >> 31);
}

double
st_block_hash (const struct st_prefix *block)
{
  uint64_t key = (uint64_t) block->address << 8 | block->bits;
  uint64_t h = XXH64 (&key, sizeof key, SHIFT_SEED);

  return (double) (h >> 11) / 9007199254740992.0; /* 2^53 */
}

/* Build.  */

static void
rank_domains (struct st_lookup *l)
{
  uint32_t rank = 0;

  for (size_t r = 0; r < l->regions; r++)
    {
      l->region_first[r] = rank;
      for (size_t d = 0; d < l->domains; d++)
        if (l->domain_region[d] == r)
          l->domain_rank[d] = rank++;
    }
  l->region_first[l->regions] = rank;
  assert (rank == l->domains);
}

/* Sorts the regions by their latency from each region.  Insertion sort is
   enough for the small number of regions.  */
static void
rank_regions (struct st_lookup *l, const zp_time *latency)
{
  for (size_t r = 0; r < l->regions; r++)
    {
      uint16_t *order = l->nearest + r * l->regions;
      const zp_time *from = latency + r * l->regions;
      for (size_t o = 0; o < l->regions; o++)
        {
          size_t i = o;
          /* A region comes first in its own order, whatever its latency.  */
          while (i > 0 && order[i - 1] != r
                 && (o == r || from[o] < from[order[i - 1]]))
            {
              order[i] = order[i - 1];
              i--;
            }
          order[i] = (uint16_t) o;
        }
    }
}

static void
fill_table (struct st_lookup *l, struct table *t,
            const struct st_lookup_member *members, size_t n, bool drained)
{
  t->member = zp_alloc (n * sizeof *t->member);
  t->hash = zp_alloc (n * sizeof *t->hash);
  t->domain_first = zp_alloc ((l->domains + 1) * sizeof *t->domain_first);
  for (size_t i = 0; i < n; i++)
    if (members[i].live && members[i].drained == drained)
      t->domain_first[l->domain_rank[members[i].domain] + 1]++;
  for (size_t d = 0; d < l->domains; d++)
    t->domain_first[d + 1] += t->domain_first[d];
  t->n = t->domain_first[l->domains];

  uint32_t *next = zp_alloc (l->domains * sizeof *next);
  memcpy (next, t->domain_first, l->domains * sizeof *next);
  for (size_t i = 0; i < n; i++)
    if (members[i].live && members[i].drained == drained)
      {
        uint32_t at = next[l->domain_rank[members[i].domain]]++;
        t->member[at] = (uint32_t) i;
        t->hash[at] = XXH64 (&members[i].id, sizeof members[i].id, 0);
      }
  free (next);
}

static void *
copy (const void *p, size_t n, size_t size)
{
  void *q = zp_alloc (n * size);

  if (n > 0)
    memcpy (q, p, n * size);
  return q;
}

struct st_lookup *
st_lookup_build (const struct st_topology *t,
                 const struct st_lookup_member *members, size_t n, size_t self)
{
  struct st_lookup *l = zp_alloc (sizeof *l);

  assert (n <= ST_LOOKUP_MEMBERS_MAX && self < n);
  assert (t->domains > 0 && t->regions > 0);
  l->self = (uint32_t) self;
  l->self_domain = members[self].domain;
  l->sites = t->sites;
  l->domains = t->domains;
  l->regions = t->regions;
  l->site_domain = copy (t->site_domain, t->sites, sizeof *l->site_domain);
  l->domain_region
      = copy (t->domain_region, t->domains, sizeof *l->domain_region);
  l->domain_rank = zp_alloc (t->domains * sizeof *l->domain_rank);
  l->region_first = zp_alloc ((t->regions + 1) * sizeof *l->region_first);
  l->nearest = zp_alloc (t->regions * t->regions * sizeof *l->nearest);
  for (size_t i = 0; i < n; i++)
    assert (members[i].domain < t->domains);
  rank_domains (l);
  rank_regions (l, t->latency);
  fill_table (l, &l->serving, members, n, false);
  fill_table (l, &l->drained, members, n, true);
  return l;
}

static void
free_table (struct table *t)
{
  free (t->member);
  free (t->hash);
  free (t->domain_first);
}

void
st_lookup_free (struct st_lookup *l)
{
  if (!l)
    return;
  free_table (&l->serving);
  free_table (&l->drained);
  free (l->site_domain);
  free (l->domain_region);
  free (l->domain_rank);
  free (l->region_first);
  free (l->nearest);
  free (l);
}

/* Choice of entries.  */

/* The three highest weights so far.  The lower 16 bits of a weight hold the
   table index plus one: no two weights are equal, and 0 stands for none.  */
struct best
{
  uint64_t first, second, third;
};

static uint64_t
higher (uint64_t a, uint64_t b)
{
  return a > b ? a : b;
}

static uint64_t
lower (uint64_t a, uint64_t b)
{
  return a < b ? a : b;
}

/* Adds the members FROM to TO to BEST in one pass.  The code has no branches
   on the weights: these are random, so a mispredicted branch would cost more
   than the work that it skips.  */
static struct best
top_three (struct best best, const struct table *t, uint64_t key, size_t from,
           size_t to)
{
  for (size_t i = from; i < to; i++)
    {
      uint64_t w = (mix64 (key ^ t->hash[i]) & ~UINT64_C (0xffff)) | (i + 1);
      uint64_t rest = lower (w, best.first);
      best.first = higher (w, best.first);
      uint64_t last = lower (rest, best.second);
      best.second = higher (rest, best.second);
      best.third = higher (last, best.third);
    }
  return best;
}

/* The members FROM to TO of a table, except SKIP_FROM to SKIP_TO.  */
struct slice
{
  size_t from, skip_from, skip_to, to;
};

static size_t
slice_len (const struct slice *p)
{
  return (p->skip_from - p->from) + (p->to - p->skip_to);
}

static void
append_ranked (const struct table *t, const struct slice *p, uint64_t key,
               size_t max, struct st_lookup_answer *a)
{
  struct best best = { .first = 0 };

  best = top_three (best, t, key, p->from, p->skip_from);
  best = top_three (best, t, key, p->skip_to, p->to);
  uint64_t w[] = { best.first, best.second, best.third };
  assert (max <= sizeof w / sizeof w[0]);
  for (size_t k = 0; k < max && w[k] != 0; k++)
    {
      assert (a->n < ST_LOOKUP_MAX);
      a->entries[a->n++] = t->member[(w[k] & 0xffff) - 1];
    }
}

/* Appends up to MAX members, evenly spaced from a position given by KEY.  */
static void
append_spaced (const struct table *t, const struct slice *p, uint64_t key,
               size_t max, struct st_lookup_answer *a)
{
  if (max == 0)
    return;
  uint32_t n = (uint32_t) slice_len (p);
  uint32_t space = max < n ? n / (uint32_t) max : 1;
  /* Scales the upper half of KEY to 0 .. N - 1 without a slow division.  */
  uint32_t at = (uint32_t) ((key >> 32) * n >> 32);

  for (size_t k = 0; k < max && k < n; k++)
    {
      size_t i = p->from + at;
      if (i >= p->skip_from)
        i += p->skip_to - p->skip_from;
      assert (a->n < ST_LOOKUP_MAX && i < p->to);
      a->entries[a->n++] = t->member[i];
      at = at + space < n ? at + space : at + space - n;
    }
}

/* Appends up to MAX members of a slice.  Members that follow nearer ones are
   only fallbacks.  A change of membership can change them for any block, but
   this avoids the cost of ranking all members of the slice.  */
static void
append_slice (const struct table *t, const struct slice *p, uint64_t key,
              size_t max, struct st_lookup_answer *a)
{
  if (a->n == 0)
    append_ranked (t, p, key, max, a);
  else
    append_spaced (t, p, key, max, a);
}

/* Appends entries of DOMAIN, then of the other domains of its region.  */
static void
append_region (const struct st_lookup *l, const struct table *t, uint64_t key,
               uint16_t domain, struct st_lookup_answer *a)
{
  uint16_t region = l->domain_region[domain];
  uint32_t rank = l->domain_rank[domain];
  size_t first = t->domain_first[rank], last = t->domain_first[rank + 1];
  struct slice own
      = { .from = first, .skip_from = last, .skip_to = last, .to = last };
  struct slice rest = { .from = t->domain_first[l->region_first[region]],
                        .skip_from = first,
                        .skip_to = last,
                        .to = t->domain_first[l->region_first[region + 1]] };

  append_slice (
      t, &own, key,
      slice_len (&rest) > 0 ? ST_LOOKUP_DOMAIN_MAX : ST_LOOKUP_REGION_MAX, a);
  append_slice (t, &rest, key, ST_LOOKUP_REGION_MAX - a->n, a);
}

/* Appends entries of the nearest other region that has any.  */
static void
append_remote (const struct st_lookup *l, const struct table *t, uint64_t key,
               uint16_t domain, struct st_lookup_answer *a)
{
  const uint16_t *order = l->nearest + l->domain_region[domain] * l->regions;

  for (size_t i = 1; i < l->regions; i++)
    {
      size_t from = t->domain_first[l->region_first[order[i]]];
      size_t to = t->domain_first[l->region_first[order[i] + 1]];
      struct slice s
          = { .from = from, .skip_from = to, .skip_to = to, .to = to };
      if (from == to)
        continue;
      append_slice (t, &s, key, ST_LOOKUP_REMOTE_MAX, a);
      return;
    }
}

static void
append_all (const struct st_lookup *l, const struct table *t, uint64_t key,
            uint16_t domain, struct st_lookup_answer *a)
{
  if (t->n == 0)
    return;
  append_region (l, t, key, domain, a);
  append_remote (l, t, key, domain, a);
}

static enum st_scope
scope_of (const struct st_lookup *l, const struct table *t, uint16_t domain)
{
  uint16_t region = l->domain_region[domain];
  uint32_t rank = l->domain_rank[domain];

  if (t->domain_first[rank] < t->domain_first[rank + 1])
    return ST_SCOPE_DOMAIN;
  if (t->domain_first[l->region_first[region]]
      < t->domain_first[l->region_first[region + 1]])
    return ST_SCOPE_REGION;
  return ST_SCOPE_REMOTE;
}

/* Returns the failure domain that serves the caller; sets the block, the site
   and MOVED of the answer.  */
static uint16_t
find_domain (const struct st_lookup *l, const struct st_blocks *b,
             const struct st_lookup_query *q, struct st_lookup_answer *out)
{
  out->has_block
      = b && q->address != 0 && st_blocks_find (b, q->address, &out->block);
  if (!out->has_block)
    return l->self_domain;
  out->site = out->block.site;
  if (q->shifted)
    out->site = q->shifted (q->shifts, &out->block, out->block.site);
  out->moved = out->site != out->block.site;
  /* The table of blocks can be newer than the topology and name a site that
     is not in it.  */
  if (out->site >= l->sites || l->site_domain[out->site] >= l->domains)
    return l->self_domain;
  return l->site_domain[out->site];
}

void
st_lookup_find (const struct st_lookup *l, const struct st_blocks *b,
                const struct st_lookup_query *q, struct st_lookup_answer *out)
{
  *out = (struct st_lookup_answer){ .site = ST_NO_SITE };
  uint16_t domain = find_domain (l, b, q, out);
  /* Callers without a block are spread by their /24 network.  */
  uint64_t block = out->has_block
                       ? (uint64_t) out->block.address << 8 | out->block.bits
                       : q->address >> 8;
  uint64_t key = mix64 (block ^ q->service);

  append_all (l, &l->serving, key, domain, out);
  if (out->n > 0)
    {
      out->scope = scope_of (l, &l->serving, domain);
      return;
    }
  append_all (l, &l->drained, key, domain, out);
  if (out->n > 0)
    {
      out->scope = ST_SCOPE_DRAINED;
      return;
    }
  out->scope = ST_SCOPE_SELF;
  out->entries[out->n++] = l->self;
}
