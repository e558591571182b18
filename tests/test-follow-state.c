#include "harness.h"

#include <stdlib.h>

#include "follow/cache.h"
#include "follow/history.h"
#include "follow/state.h"

static struct fo_delta
delta (uint64_t from, uint64_t version, uint64_t term)
{
  return (struct fo_delta){ .from = from,
                            .version = version,
                            .number = version,
                            .term = term,
                            .change = ZP_STR ("change") };
}

/* Guards against a follower that returns to an earlier configuration (P8).  */
static void
test_version_only_grows (void)
{
  struct fo_state s = { .version = 5, .number = 5, .term = 3 };
  struct fo_delta old = delta (4, 5, 3), gap = delta (6, 7, 3);
  struct fo_delta stale = delta (5, 6, 2), next = delta (5, 8, 3);
  struct fo_part back = { .version = 4, .number = 4, .term = 3, .total = 1 };

  CU_ASSERT_EQUAL (fo_state_delta (&s, &old), FO_OLD);
  CU_ASSERT_EQUAL (fo_state_delta (&s, &gap), FO_GAP);
  CU_ASSERT_EQUAL (fo_state_delta (&s, &stale), FO_STALE);
  CU_ASSERT_EQUAL (fo_state_part (&s, &back), FO_OLD);
  CU_ASSERT_EQUAL (s.version, 5);
  CU_ASSERT_EQUAL (fo_state_delta (&s, &next), FO_ACCEPTED);
  CU_ASSERT_EQUAL (s.version, 8);
}

/* Guards against a configuration assembled from the parts of two
   transfers.  */
static void
test_parts_must_match (void)
{
  struct fo_state s = { .version = 1 };
  struct fo_part first = {
    .version = 9, .term = 1, .total = 8, .part = ZP_STR ("abcd"), .number = 2
  };
  struct fo_part second = first;
  struct fo_part other = first;

  second.offset = 4;
  second.part = ZP_STR ("efgh");
  other.offset = 4;
  other.version = 10;
  CU_ASSERT_EQUAL (fo_state_part (&s, &second), FO_BAD_PART);
  CU_ASSERT_EQUAL (fo_state_part (&s, &first), FO_PART_KEPT);
  CU_ASSERT_EQUAL (fo_state_part (&s, &other), FO_BAD_PART);
  CU_ASSERT_EQUAL (fo_state_part (&s, &first), FO_PART_KEPT);
  CU_ASSERT_EQUAL (s.version, 1);
  CU_ASSERT_EQUAL (fo_state_part (&s, &second), FO_ACCEPTED);
  CU_ASSERT (zp_str_eq (zp_str_of (&s.parts), ZP_STR ("abcdefgh")));
  CU_ASSERT_EQUAL (s.version, 9);
  struct fo_part long_part = first;
  long_part.version = 20;
  long_part.part = ZP_STR ("abcdefghi");
  CU_ASSERT_EQUAL (fo_state_part (&s, &long_part), FO_BAD_PART);
  fo_state_drop_parts (&s);
}

/* Guards against an unbounded history, and against sending changes that do not
   start at the follower's version.  */
static void
test_history_need (void)
{
  struct fo_history h = { .version = 10 };
  size_t i = 0;

  for (uint64_t v = 10; v < 10 + 2 * ZP_FOLLOW_HISTORY_MAX; v++)
    {
      struct fo_delta d = delta (v, v + 1, 1);
      CU_ASSERT (fo_history_add (&h, &d));
    }
  uint64_t newest = 10 + 2 * ZP_FOLLOW_HISTORY_MAX;
  struct fo_delta again = delta (newest - 1, newest, 1);
  CU_ASSERT (!fo_history_add (&h, &again));
  CU_ASSERT (h.len <= ZP_FOLLOW_HISTORY_MAX);
  CU_ASSERT_EQUAL (fo_history_need (&h, newest, &i), FO_UP_TO_DATE);
  CU_ASSERT_EQUAL (fo_history_need (&h, newest + 1, &i), FO_AHEAD);
  CU_ASSERT_EQUAL (fo_history_need (&h, 0, &i), FO_SNAPSHOT);
  CU_ASSERT_EQUAL (fo_history_need (&h, 10, &i), FO_SNAPSHOT);
  CU_ASSERT_EQUAL (fo_history_need (&h, newest - 3, &i), FO_CHANGES);
  CU_ASSERT_EQUAL (h.len - i, 3);
  struct fo_delta jump = delta (newest + 5, newest + 6, 1);
  CU_ASSERT (fo_history_add (&h, &jump));
  CU_ASSERT_EQUAL (fo_history_need (&h, newest, &i), FO_SNAPSHOT);
  fo_history_free (&h);
}

/* Guards against accepting a record that is incomplete or has a wrong bit.  */
static void
test_cache_stops_at_damage (void)
{
  struct zp_buf b = { .ptr = NULL };
  struct tk_config c = { .version = 7,
                         .number = 3,
                         .term = 2,
                         .whole = true,
                         .bytes = zp_buf_from (ZP_STR ("whole")) };
  struct tk_config out;

  fo_cache_put (&b, &c);
  size_t one = b.len;
  fo_cache_put (&b, &c);
  for (size_t cut = one; cut < b.len; cut++)
    {
      struct zp_str rest = { .ptr = b.ptr, .len = cut };
      CU_ASSERT (fo_cache_next (&rest, &out));
      CU_ASSERT (zp_str_eq (zp_str_of (&out.bytes), ZP_STR ("whole")));
      CU_ASSERT_EQUAL (out.version, 7);
      CU_ASSERT (!fo_cache_next (&rest, &out));
      CU_ASSERT_EQUAL (rest.len, cut - one);
    }
  for (size_t at = 0; at < one; at++)
    {
      b.ptr[at] ^= 1;
      struct zp_str rest = { .ptr = b.ptr, .len = b.len };
      CU_ASSERT (!fo_cache_next (&rest, &out));
      b.ptr[at] ^= 1;
    }
  zp_buf_free (&c.bytes);
  zp_buf_free (&b);
}

static const struct zp_test tests[]
    = { { "the version only grows", test_version_only_grows },
        { "parts must match", test_parts_must_match },
        { "what a follower needs from the history", test_history_need },
        { "the cache stops at a damaged record",
          test_cache_stops_at_damage } };

TEST_MAIN ("follow-state", tests)
