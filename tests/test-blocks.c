#include "harness.h"

#include <stdlib.h>

#include "base/rng.h"
#include "steer/blocks.h"

static uint32_t
mask (unsigned bits)
{
  return bits == 0 ? 0 : UINT32_MAX << (32 - bits);
}

/* Reference implementation: a linear search for the longest prefix that
   contains the address.  */
static const struct st_prefix *
reference (const struct st_prefix *p, size_t n, uint32_t address)
{
  const struct st_prefix *best = NULL;

  for (size_t i = 0; i < n; i++)
    if ((address & mask (p[i].bits)) == p[i].address
        && (!best || p[i].bits > best->bits))
      best = &p[i];
  return best;
}

/* Whether the table and the reference find the same prefix.  */
static bool
agrees (const struct st_blocks *b, const struct st_prefix *p, size_t n,
        uint32_t address)
{
  struct st_prefix got;
  const struct st_prefix *want = reference (p, n, address);
  bool found = st_blocks_find (b, address, &got);

  if (!found || !want)
    return !found && !want;
  return got.address == want->address && got.bits == want->bits
         && got.site == want->site;
}

/* Fills P with up to N distinct prefixes, most of them nested or adjacent,
   none shorter than SHORTEST.  Returns their number.  */
static size_t
random_prefixes (struct zp_rng *rng, struct st_prefix *p, size_t n,
                 unsigned shortest)
{
  size_t len = 0;
  uint32_t base = zp_rng_below (rng, UINT32_MAX);

  for (size_t i = 0; i < n; i++)
    {
      unsigned bits = shortest + zp_rng_below (rng, 33 - shortest);
      uint32_t spread = zp_rng_below (rng, 1u << zp_rng_below (rng, 25));
      uint32_t a = (base + spread) & mask (bits);
      bool twice = false;
      for (size_t k = 0; k < len; k++)
        twice |= p[k].address == a && p[k].bits == bits;
      if (!twice)
        p[len++] = (struct st_prefix){ .address = a,
                                       .bits = (uint8_t) bits,
                                       .site = (uint16_t) i };
    }
  return len;
}

/* Guards against wrong matches at the boundaries of nested prefixes and of /16
   networks, and at both ends of the address space.  */
static void
test_matches_reference (void)
{
  struct zp_rng rng;
  struct st_prefix p[200];
  int wrong = 0;

  zp_rng_seed (&rng, 51);
  for (unsigned round = 0; round < 200; round++)
    {
      size_t n = random_prefixes (&rng, p, 1 + round, round % 3 ? 8 : 0);
      struct st_blocks *b = st_blocks_build (p, n, NULL);
      CU_ASSERT_PTR_NOT_NULL_FATAL (b);
      for (size_t i = 0; i < n; i++)
        {
          uint32_t last = p[i].address | ~mask (p[i].bits);
          wrong += !agrees (b, p, n, p[i].address);
          wrong += !agrees (b, p, n, p[i].address - 1);
          wrong += !agrees (b, p, n, last);
          wrong += !agrees (b, p, n, last + 1);
        }
      for (int i = 0; i < 200; i++)
        wrong
            += !agrees (b, p, n, p[0].address + zp_rng_below (&rng, 1 << 26));
      wrong += !agrees (b, p, n, 0) + !agrees (b, p, n, UINT32_MAX);
      st_blocks_free (b);
    }
  CU_ASSERT_EQUAL (wrong, 0);
}

/* Guards against wrong matches without any prefix and with 0.0.0.0/0.  */
static void
test_no_prefix_and_default (void)
{
  struct st_prefix out, all = { .address = 0, .bits = 0, .site = 7 };
  struct st_blocks *b = st_blocks_build (NULL, 0, NULL);

  CU_ASSERT (!st_blocks_find (b, 0, &out));
  CU_ASSERT (!st_blocks_find (b, UINT32_MAX, &out));
  st_blocks_free (b);
  b = st_blocks_build (&all, 1, NULL);
  CU_ASSERT (st_blocks_find (b, UINT32_MAX, &out));
  CU_ASSERT_EQUAL (out.site, 7);
  st_blocks_free (b);
}

/* Guards against silently dropping invalid prefixes.  */
static void
test_bad_prefixes_are_refused (void)
{
  struct zp_err err = { .code = ZP_OK };
  struct st_prefix host = { .address = 0x0a000001, .bits = 24 };
  struct st_prefix length = { .address = 0, .bits = 33 };
  struct st_prefix twice[] = { { .address = 0x0a000000, .bits = 8, .site = 1 },
                               { .address = 0x0b000000, .bits = 8 },
                               { .address = 0x0a000000, .bits = 8 } };

  CU_ASSERT_PTR_NULL (st_blocks_build (&host, 1, &err));
  CU_ASSERT (HAS_TEXT (err.text, "10.0.0.1/24"));
  CU_ASSERT_PTR_NULL (st_blocks_build (&length, 1, &err));
  CU_ASSERT_PTR_NULL (st_blocks_build (twice, 3, &err));
  CU_ASSERT (HAS_TEXT (err.text, "occurs twice"));
}

/* Guards against a table larger than 64 MB at the design size of 880,000
   prefixes.  Every second prefix is nested, which gives the most ranges.  */
static void
test_memory_at_full_size (void)
{
  enum
  {
    N = 880000
  };
  struct st_prefix *p = zp_alloc (N * sizeof *p);

  for (uint32_t i = 0; i < N; i++)
    p[i] = (struct st_prefix){ .address
                               = 0x01000000 + (i / 2) * 512 + i % 2 * 64,
                               .bits = i % 2 ? 28 : 24,
                               .site = (uint16_t) (i % 120) };
  struct st_blocks *b = st_blocks_build (p, N, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (b);
  CU_ASSERT_EQUAL (st_blocks_len (b), N);
  CU_ASSERT (st_blocks_memory (b) <= 64 * 1024 * 1024);
  for (uint32_t i = 0; i < N; i += 997)
    {
      struct st_prefix out;
      CU_ASSERT (st_blocks_find (b, p[i].address, &out));
      CU_ASSERT_EQUAL (out.site, p[i].site);
    }
  st_blocks_free (b);
  free (p);
}

static const struct zp_test tests[]
    = { { "matches reference", test_matches_reference },
        { "no prefix and default", test_no_prefix_and_default },
        { "bad prefixes are refused", test_bad_prefixes_are_refused },
        { "memory at full size", test_memory_at_full_size } };

TEST_MAIN ("blocks", tests)
