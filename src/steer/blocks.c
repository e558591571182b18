#include "steer/blocks.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define NETWORKS 65536 /* /16 networks */
#define NO_PREFIX UINT32_MAX
#define NO_BITS UINT8_MAX
#define DEPTH_MAX 33 /* nested prefixes have different lengths, 0 to 32 */

/* The address of the prefix is not stored: it equals the looked-up address cut
   to BITS.  A look-up therefore reads only the index and this array, which
   keeps cache misses few.  */
struct range
{
  uint16_t low; /* lower 16 bits of its first address */
  uint16_t site;
  uint8_t bits; /* of the prefix, or NO_BITS */
};

struct st_blocks
{
  size_t prefix_count;
  size_t range_count;
  struct range *ranges;
  uint32_t first[NETWORKS + 1]; /* first range of each /16 */
};

/* Validating and sorting the prefixes.  */

static int
compare (const void *pa, const void *pb)
{
  const struct st_prefix *a = pa, *b = pb;

  if (a->address != b->address)
    return a->address < b->address ? -1 : 1;
  return (a->bits > b->bits) - (a->bits < b->bits);
}

static bool
well_formed (const struct st_prefix *p)
{
  if (p->bits > 32)
    return false;
  return p->bits == 32 || p->address << p->bits == 0;
}

static bool
fail_prefix (struct zp_err *err, const struct st_prefix *p, const char *what)
{
  return zp_fail (err, ZP_EINVAL, "prefix %u.%u.%u.%u/%u %s", p->address >> 24,
                  (p->address >> 16) & 255, (p->address >> 8) & 255,
                  p->address & 255, p->bits, what);
}

static bool
order_prefixes (struct st_prefix *p, size_t n, struct zp_err *err)
{
  bool sorted = true;

  for (size_t i = 0; i < n; i++)
    {
      if (!well_formed (&p[i]))
        return fail_prefix (err, &p[i],
                            "has host bits set or is longer than 32 bits");
      sorted = sorted && (i == 0 || compare (&p[i - 1], &p[i]) < 0);
    }
  if (sorted)
    return true;
  qsort (p, n, sizeof *p, compare);
  for (size_t i = 1; i < n; i++)
    if (compare (&p[i - 1], &p[i]) == 0)
      return fail_prefix (err, &p[i], "occurs twice");
  return true;
}

/* Ranges.  */

/* State of the sweep over the address space, in ascending order.  It writes
   the ranges and the index.  */
struct sweep
{
  struct st_blocks *b;
  const struct st_prefix *prefixes; /* by address, then length */
  uint32_t opened;                  /* /16 networks that are indexed so far */
  uint32_t current; /* prefix of the last range, or NO_PREFIX */
};

static void
set_range (struct sweep *s, size_t at, uint16_t low, uint32_t prefix)
{
  struct range r = { .low = low, .bits = NO_BITS };

  if (prefix != NO_PREFIX)
    {
      r.site = s->prefixes[prefix].site;
      r.bits = s->prefixes[prefix].bits;
    }
  s->b->ranges[at] = r;
  s->current = prefix;
}

static void
add_range (struct sweep *s, uint16_t low, uint32_t prefix)
{
  set_range (s, s->b->range_count++, low, prefix);
}

/* Adds the first range of each /16 network below END that has none yet.  It
   continues the current prefix.  */
static void
open_networks (struct sweep *s, uint32_t end)
{
  for (; s->opened < end; s->opened++)
    {
      s->b->first[s->opened] = (uint32_t) s->b->range_count;
      add_range (s, 0, s->current);
    }
}

/* Records that addresses from START on belong to PREFIX.  */
static void
start_range (struct sweep *s, uint64_t start, uint32_t prefix)
{
  if (start > UINT32_MAX)
    return;
  open_networks (s, (uint32_t) (start >> 16) + 1);
  uint16_t low = (uint16_t) start;
  size_t last = s->b->range_count - 1;
  if (s->b->ranges[last].low == low)
    set_range (s, last, low, prefix);
  else if (prefix != s->current)
    add_range (s, low, prefix);
}

/* The first address after a prefix.  */
static uint64_t
end_of (const struct st_prefix *p)
{
  return (uint64_t) p->address + (UINT64_C (1) << (32 - p->bits));
}

static void
flatten (struct st_blocks *b, const struct st_prefix *prefixes, size_t n)
{
  struct sweep s = { .b = b, .prefixes = prefixes, .current = NO_PREFIX };
  uint32_t open[DEPTH_MAX]; /* prefixes that contain START, outermost first */
  size_t depth = 0;

  for (size_t i = 0; i <= n; i++)
    {
      uint64_t start = i < n ? prefixes[i].address : (uint64_t) UINT32_MAX + 1;
      while (depth > 0 && end_of (&prefixes[open[depth - 1]]) <= start)
        {
          uint64_t end = end_of (&prefixes[open[--depth]]);
          start_range (&s, end, depth > 0 ? open[depth - 1] : NO_PREFIX);
        }
      if (i == n)
        break;
      assert (depth < DEPTH_MAX);
      open[depth++] = (uint32_t) i;
      start_range (&s, start, (uint32_t) i);
    }
  open_networks (&s, NETWORKS);
  b->first[NETWORKS] = (uint32_t) b->range_count;
}

struct st_blocks *
st_blocks_build (const struct st_prefix *prefixes, size_t n,
                 struct zp_err *err)
{
  if (n > ST_BLOCKS_MAX)
    {
      zp_fail (err, ZP_ELIMIT, "%zu client blocks, at most %d are allowed", n,
               ST_BLOCKS_MAX);
      return NULL;
    }
  struct st_prefix *sorted = zp_alloc (n * sizeof *sorted);
  if (n > 0)
    memcpy (sorted, prefixes, n * sizeof *sorted);
  if (!order_prefixes (sorted, n, err))
    {
      free (sorted);
      return NULL;
    }
  /* The start and the end of a prefix each begin at most one range, and so
     does each /16 network.  */
  size_t max = NETWORKS + 2 * n;
  struct st_blocks *b = zp_alloc (sizeof *b);
  b->prefix_count = n;
  b->ranges = zp_alloc (max * sizeof *b->ranges);
  flatten (b, sorted, n);
  free (sorted);
  assert (b->range_count <= max);
  b->ranges = zp_realloc (b->ranges, b->range_count * sizeof *b->ranges);
  return b;
}

void
st_blocks_free (struct st_blocks *b)
{
  if (!b)
    return;
  free (b->ranges);
  free (b);
}

/* Look-up.  */

bool
st_blocks_find (const struct st_blocks *b, uint32_t address,
                struct st_prefix *out)
{
  uint32_t network = address >> 16;
  uint16_t low = (uint16_t) address;
  uint32_t at = b->first[network];
  uint32_t n = b->first[network + 1] - at;

  /* Finds the last range that starts at or below LOW.  It exists because the
     first range of a /16 network starts at 0.  */
  while (n > 1)
    {
      uint32_t half = n / 2;
      if (b->ranges[at + half].low <= low)
        at += half;
      n -= half;
    }
  const struct range *r = &b->ranges[at];
  if (r->bits == NO_BITS)
    return false;
  uint32_t mask = r->bits == 0 ? 0 : UINT32_MAX << (32 - r->bits);
  *out = (struct st_prefix){ .address = address & mask,
                             .site = r->site,
                             .bits = r->bits };
  return true;
}

size_t
st_blocks_len (const struct st_blocks *b)
{
  return b->prefix_count;
}

size_t
st_blocks_memory (const struct st_blocks *b)
{
  return sizeof *b + b->range_count * sizeof *b->ranges;
}
