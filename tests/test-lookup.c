#include "harness.h"

#include "base/rng.h"
#include "steer/lookup.h"

/* Six failure domains in three regions, and two sites in each domain.  */
#define DOMAINS 6
#define REGIONS 3
#define SITES 12
#define MEMBERS 18

static const uint16_t site_domain[SITES]
    = { 0, 0, 1, 1, 2, 2, 3, 3, 4, 4, 5, 5 };
static const uint16_t domain_region[DOMAINS] = { 0, 1, 2, 0, 1, 2 };
/* Between regions; only the order matters.  */
static const zp_time latency[REGIONS * REGIONS]
    = { 0, 20, 55, 20, 0, 30, 55, 30, 0 };
static const struct st_topology topology = { .site_domain = site_domain,
                                             .sites = SITES,
                                             .domain_region = domain_region,
                                             .domains = DOMAINS,
                                             .latency = latency,
                                             .regions = REGIONS };

struct fixture
{
  struct st_lookup_member m[MEMBERS];
  struct st_blocks *blocks;
};

/* Block 10.S.B.0/24 belongs to site S.  */
static uint32_t
address (unsigned site, unsigned block)
{
  return 10u << 24 | site << 16 | block << 8 | 9;
}

static void
setup (struct fixture *f)
{
  static struct st_prefix p[SITES * 256];

  for (unsigned i = 0; i < SITES * 256; i++)
    p[i] = (struct st_prefix){ .address = address (i / 256, i % 256) & ~255u,
                               .bits = 24,
                               .site = (uint16_t) (i / 256) };
  f->blocks = st_blocks_build (p, SITES * 256, NULL);
  for (unsigned i = 0; i < MEMBERS; i++)
    f->m[i] = (struct st_lookup_member){ .id = 1000 + i,
                                         .domain = (uint16_t) (i % DOMAINS),
                                         .live = true };
}

static struct st_lookup_answer
look_up (const struct fixture *f, const struct st_lookup *l, unsigned site,
         unsigned block)
{
  struct st_lookup_query q
      = { .address = address (site, block), .service = 77 };
  struct st_lookup_answer a;

  st_lookup_find (l, f->blocks, &q, &a);
  return a;
}

/* 0 in the failure domain, 1 in its region, 2 plus the latency elsewhere.  */
static unsigned
distance (unsigned domain, const struct st_lookup_member *m)
{
  unsigned from = domain_region[domain], to = domain_region[m->domain];

  if (m->domain == domain)
    return 0;
  return from == to ? 1 : 2 + (unsigned) latency[from * REGIONS + to];
}

/* Guards against answers that list an entry twice, list dead or drained
   entries, are in the wrong order, or list more entries of a region than
   poison.h allows, with random members dead and drained.  */
static void
test_random_members (void)
{
  struct zp_rng rng;
  struct fixture f;

  zp_rng_seed (&rng, 61);
  setup (&f);
  for (int round = 0; round < 500; round++)
    {
      bool any = false;
      for (int i = 0; i < MEMBERS; i++)
        {
          f.m[i].live = zp_rng_below (&rng, 10) < (unsigned) round % 10;
          f.m[i].drained = zp_rng_below (&rng, 4) == 0;
          any |= f.m[i].live && !f.m[i].drained;
        }
      struct st_lookup *l = st_lookup_build (&topology, f.m, MEMBERS, 3);
      unsigned site = zp_rng_below (&rng, SITES);
      struct st_lookup_answer a = look_up (&f, l, site, 5);
      unsigned in_region[REGIONS] = { 0 }, nearest = 1000;
      CU_ASSERT_FATAL (a.n >= 1 && a.n <= ST_LOOKUP_MAX);
      CU_ASSERT_EQUAL (any, a.scope <= ST_SCOPE_REMOTE);
      for (int i = 0; i < MEMBERS; i++)
        if (f.m[i].live && (!f.m[i].drained || !any)
            && distance (site_domain[site], &f.m[i]) < nearest)
          nearest = distance (site_domain[site], &f.m[i]);
      for (size_t i = 0; i < a.n; i++)
        {
          const struct st_lookup_member *m = &f.m[a.entries[i]];
          unsigned d = distance (site_domain[site], m);
          in_region[domain_region[m->domain]]++;
          CU_ASSERT (a.scope == ST_SCOPE_SELF ? a.entries[i] == 3 : m->live);
          CU_ASSERT (!any || !m->drained);
          CU_ASSERT (i > 0 || a.scope == ST_SCOPE_SELF || d == nearest);
          for (size_t k = 0; k < i; k++)
            {
              CU_ASSERT (a.entries[k] != a.entries[i]);
              CU_ASSERT (distance (site_domain[site], &f.m[a.entries[k]])
                         <= d);
            }
        }
      for (int r = 0; r < REGIONS; r++)
        CU_ASSERT (in_region[r] <= ST_LOOKUP_REGION_MAX);
      st_lookup_free (l);
    }
  st_blocks_free (f.blocks);
}

/* Guards against sending all callers of a failure domain to one entry, against
   answers without an entry of a second failure domain, and against moving
   blocks of other entries when one entry is lost.  */
static void
test_blocks_are_spread (void)
{
  struct fixture f;
  unsigned first_of[MEMBERS] = { 0 };

  setup (&f);
  struct st_lookup *l = st_lookup_build (&topology, f.m, MEMBERS, 0);
  for (unsigned b = 0; b < 256; b++)
    {
      struct st_lookup_answer a = look_up (&f, l, 0, b);
      first_of[a.entries[0]]++;
      CU_ASSERT_EQUAL (a.scope, ST_SCOPE_DOMAIN);
      CU_ASSERT_EQUAL (a.n, ST_LOOKUP_MAX);
      CU_ASSERT_EQUAL (f.m[a.entries[2]].domain, 3);
      CU_ASSERT_EQUAL (domain_region[f.m[a.entries[3]].domain], 1);
    }
  /* Three entries share 256 blocks.  */
  CU_ASSERT (first_of[0] >= 60 && first_of[6] >= 60 && first_of[12] >= 60);

  /* Only blocks of the lost entry change their first entry.  */
  f.m[6].live = false;
  struct st_lookup *after = st_lookup_build (&topology, f.m, MEMBERS, 0);
  for (unsigned b = 0; b < 256; b++)
    {
      uint32_t old = look_up (&f, l, 0, b).entries[0];
      CU_ASSERT (old == 6 || look_up (&f, after, 0, b).entries[0] == old);
    }
  st_lookup_free (after);
  st_lookup_free (l);
  st_blocks_free (f.blocks);
}

/* Shifts a share of the blocks of site 0 to site 2.  */
static uint16_t
shift_share (const void *shifts, const struct st_prefix *block, uint16_t site)
{
  const double *share = shifts;
  return site == 0 && st_block_hash (block) < *share ? 2 : site;
}

/* Guards against a shift that moves a wrong share of the blocks, moves blocks
   back while its share grows, or moves blocks of other sites.  */
static void
test_shift_moves_share (void)
{
  struct fixture f;
  unsigned moved = 0, before = 0;

  setup (&f);
  struct st_lookup *l = st_lookup_build (&topology, f.m, MEMBERS, 0);
  for (unsigned step = 0; step <= 4; step++)
    {
      double share = step / 4.0;
      moved = 0;
      for (unsigned b = 0; b < 512; b++)
        {
          struct st_lookup_query q = { .address = address (b / 256, b % 256),
                                       .shifted = shift_share,
                                       .shifts = &share };
          struct st_lookup_answer a;
          st_lookup_find (l, f.blocks, &q, &a);
          moved += a.moved;
          CU_ASSERT (!a.moved || (b < 256 && a.site == 2));
          CU_ASSERT_EQUAL (f.m[a.entries[0]].domain, a.moved ? 1 : 0);
        }
      CU_ASSERT (moved >= before);
      CU_ASSERT (moved + 30 >= 64 * step && moved <= 64 * step + 30);
      before = moved;
    }
  CU_ASSERT_EQUAL (moved, 256);
  st_lookup_free (l);
  st_blocks_free (f.blocks);
}

/* Guards against an empty answer when the caller has no block, its site is not
   in the topology, or no entry is live.  */
static void
test_unknown_caller_or_no_live_entry (void)
{
  struct fixture f;
  struct st_lookup_answer a;
  struct st_lookup_query q = { .address = 0 };
  struct st_prefix p
      = { .address = 0x0a000000, .bits = 8, .site = ST_NO_SITE - 1 };

  setup (&f);
  struct st_lookup *l = st_lookup_build (&topology, f.m, MEMBERS, 4);
  st_lookup_find (l, f.blocks, &q, &a);
  CU_ASSERT (!a.has_block);
  CU_ASSERT_EQUAL (f.m[a.entries[0]].domain, 4);
  st_lookup_find (l, NULL, &q, &a);
  CU_ASSERT_EQUAL (f.m[a.entries[0]].domain, 4);
  struct st_blocks *unknown = st_blocks_build (&p, 1, NULL);
  q.address = address (1, 1);
  st_lookup_find (l, unknown, &q, &a);
  CU_ASSERT_EQUAL (f.m[a.entries[0]].domain, 4);
  st_blocks_free (unknown);
  st_lookup_free (l);

  for (int i = 0; i < MEMBERS; i++)
    f.m[i].live = false;
  l = st_lookup_build (&topology, f.m, MEMBERS, 4);
  st_lookup_find (l, f.blocks, &q, &a);
  CU_ASSERT_EQUAL (a.scope, ST_SCOPE_SELF);
  CU_ASSERT_EQUAL (a.entries[0], 4);
  st_lookup_free (l);
  st_blocks_free (f.blocks);
}

static const struct zp_test tests[]
    = { { "random members", test_random_members },
        { "blocks are spread", test_blocks_are_spread },
        { "shift moves share", test_shift_moves_share },
        { "unknown caller or no live entry",
          test_unknown_caller_or_no_live_entry } };

TEST_MAIN ("lookup", tests)
