/* Benchmark of placement and look-up, and memory of the block table.  Prints
   lines "name value unit baseline"; the value is the median of several runs,
   and lines ending in -min and -max follow.  The baselines are simpler
   algorithms, measured in the same run: a full scan for the least loaded
   server, and a binary search over the whole table of disjoint blocks.  */

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/rng.h"
#include "steer/lookup.h"
#include "steer/place.h"

#define RUNS 9
#define CALLS 200000

struct setting
{
  const char *name;
  uint32_t blocks, sites, members, domains, regions, servers;
};

static const struct setting settings[]
    = { { "today", 700, 6, 7, 6, 3, 18 },
        { "880k", 880000, 120, 420, 25, 9, 128 } };

/* Tables and queries of one setting.  */
struct workload
{
  const struct setting *set;
  struct st_prefix *prefixes;
  struct st_blocks *blocks;
  struct st_lookup *lookup;
  struct st_candidate *servers;
  uint32_t *addresses;
  struct zp_rng rng;
};

typedef uint64_t work_fn (struct workload *w);

/* The calls that are measured.  Results are summed so that the compiler keeps
   the calls.  */

static uint64_t
find_blocks (struct workload *w)
{
  uint64_t sum = 0;
  struct st_prefix out = { .site = 0 };

  for (uint32_t i = 0; i < CALLS; i++)
    if (st_blocks_find (w->blocks, w->addresses[i], &out))
      sum += out.site;
  return sum;
}

static uint64_t
find_blocks_baseline (struct workload *w)
{
  uint64_t sum = 0;

  for (uint32_t i = 0; i < CALLS; i++)
    {
      uint32_t at = 0;
      for (uint32_t n = w->set->blocks; n > 1;)
        {
          uint32_t half = n / 2;
          if (w->prefixes[at + half].address <= w->addresses[i])
            at += half;
          n -= half;
        }
      sum += w->prefixes[at].site;
    }
  return sum;
}

static uint64_t
look_up (struct workload *w)
{
  uint64_t sum = 0;
  struct st_lookup_answer a;

  for (uint32_t i = 0; i < CALLS; i++)
    {
      struct st_lookup_query q
          = { .address = w->addresses[i], .service = i % 4 };
      st_lookup_find (w->lookup, w->blocks, &q, &a);
      sum += a.entries[0];
    }
  return sum;
}

static uint64_t
place (struct workload *w)
{
  uint64_t sum = 0;
  struct st_place_request r = { .alone = false };

  for (uint32_t i = 0; i < CALLS; i++)
    sum += st_place (w->servers, w->set->servers, &r, &w->rng).u.chosen.index;
  return sum;
}

static uint64_t
place_baseline (struct workload *w)
{
  uint64_t sum = 0;

  for (uint32_t i = 0; i < CALLS; i++)
    {
      uint32_t best = 0;
      for (uint32_t s = 1; s < w->set->servers; s++)
        if (w->servers[s].tier < w->servers[best].tier
            || (w->servers[s].tier == w->servers[best].tier
                && st_place_score (&w->servers[s])
                       < st_place_score (&w->servers[best])))
          best = s;
      sum += best;
    }
  return sum;
}

static uint64_t
build_blocks (struct workload *w)
{
  struct st_blocks *b = st_blocks_build (w->prefixes, w->set->blocks, NULL);
  uint64_t n = st_blocks_len (b);

  st_blocks_free (b);
  return n;
}

/* Measurement.  */

static int
compare (const void *a, const void *b)
{
  double x = *(const double *) a, y = *(const double *) b;
  return (x > y) - (x < y);
}

/* Fills NS with the time of one call in each run, in ascending order.  */
static void
measure (struct workload *w, work_fn *work, uint32_t calls, double ns[RUNS])
{
  static volatile uint64_t sink;

  sink += work (w);
  for (int i = 0; i < RUNS; i++)
    {
      zp_time start = zp_clock_mono ();
      sink += work (w);
      ns[i] = (double) (zp_clock_mono () - start) * 1000.0 / calls;
    }
  qsort (ns, RUNS, sizeof *ns, compare);
}

static void
report (struct workload *w, const char *name, work_fn *work, work_fn *baseline,
        uint32_t calls)
{
  double ns[RUNS], base[RUNS];
  char baseline_text[32] = "-";

  measure (w, work, calls, ns);
  if (baseline)
    {
      measure (w, baseline, calls, base);
      snprintf (baseline_text, sizeof baseline_text, "%.1f", base[RUNS / 2]);
    }
  printf ("%s-%s %.1f ns %s\n", name, w->set->name, ns[RUNS / 2],
          baseline_text);
  printf ("%s-%s-min %.1f ns -\n", name, w->set->name, ns[0]);
  printf ("%s-%s-max %.1f ns -\n", name, w->set->name, ns[RUNS - 1]);
}

/* Set-up.  */

static void
make_blocks (struct workload *w)
{
  uint32_t n = w->set->blocks;

  w->prefixes = zp_alloc (n * sizeof *w->prefixes);
  w->addresses = zp_alloc (CALLS * sizeof *w->addresses);
  for (uint32_t i = 0; i < n; i++)
    w->prefixes[i]
        = (struct st_prefix){ .address = 0x01000000 + (i << 11),
                              .bits = (uint8_t) (21 + i % 4),
                              .site = (uint16_t) (i % w->set->sites) };
  for (uint32_t i = 0; i < CALLS; i++)
    w->addresses[i] = w->prefixes[zp_rng_below (&w->rng, n)].address
                      + zp_rng_below (&w->rng, 256);
  w->blocks = st_blocks_build (w->prefixes, n, NULL);
}

static void
make_lookup (struct workload *w)
{
  const struct setting *s = w->set;
  uint16_t *site_domain = zp_alloc (s->sites * sizeof *site_domain);
  uint16_t *domain_region = zp_alloc (s->domains * sizeof *domain_region);
  zp_time *latency = zp_alloc (s->regions * s->regions * sizeof *latency);
  struct st_lookup_member *members = zp_alloc (s->members * sizeof *members);

  assert (s->domains > 0 && s->regions > 0);
  for (uint32_t i = 0; i < s->sites; i++)
    site_domain[i] = (uint16_t) (i % s->domains);
  for (uint32_t i = 0; i < s->domains; i++)
    domain_region[i] = (uint16_t) (i % s->regions);
  for (uint32_t i = 0; i < s->regions * s->regions; i++)
    latency[i] = zp_rng_below (&w->rng, 100) * ZP_MS;
  for (uint32_t i = 0; i < s->members; i++)
    members[i] = (struct st_lookup_member){
      .id = i + 1, .domain = (uint16_t) (i % s->domains), .live = true
    };
  struct st_topology t = { .site_domain = site_domain,
                           .sites = s->sites,
                           .domain_region = domain_region,
                           .domains = s->domains,
                           .latency = latency,
                           .regions = s->regions };
  w->lookup = st_lookup_build (&t, members, s->members, 0);
  free (site_domain);
  free (domain_region);
  free (latency);
  free (members);
}

static void
make_servers (struct workload *w)
{
  w->servers = zp_alloc (w->set->servers * sizeof *w->servers);
  for (uint32_t i = 0; i < w->set->servers; i++)
    w->servers[i] = (struct st_candidate){
      .server = i + 1,
      .tier = (enum st_tier) (i % ST_TIERS),
      .latency = 20 * ZP_MS,
      .capacity = 6,
      .slots = 2 + i % 5,
      .own = zp_rng_below (&w->rng, 3),
      .ramp = 1,
      .report = { .kind = ST_REPORT_INFLIGHT,
                  .age = zp_rng_below (&w->rng, 2000) * ZP_MS,
                  .u = { .inflight = zp_rng_below (&w->rng, 7) } },
      .health = ST_HEALTH_UP
    };
}

int
main (void)
{
  for (size_t i = 0; i < sizeof settings / sizeof settings[0]; i++)
    {
      static struct workload w;
      w.set = &settings[i];
      zp_rng_seed (&w.rng, 71);
      make_blocks (&w);
      make_lookup (&w);
      make_servers (&w);
      report (&w, "place", place, place_baseline, CALLS);
      report (&w, "block-find", find_blocks, find_blocks_baseline, CALLS);
      report (&w, "lookup", look_up, NULL, CALLS);
      report (&w, "block-build", build_blocks, NULL, w.set->blocks);
      printf ("block-memory-%s %.2f MB -\n", w.set->name,
              (double) st_blocks_memory (w.blocks) / 1e6);
      st_blocks_free (w.blocks);
      st_lookup_free (w.lookup);
      free (w.prefixes);
      free (w.servers);
      free (w.addresses);
    }
  return 0;
}
