#include "harness.h"

#include "base/idmap.h"

/* Guards against an answer that goes to the wrong request: an index that is
   used again has the later id, and an unused index has none.  */
static void
test_latest_id_of_an_index (void)
{
  struct zp_idmap p = { .id = NULL };
  const uint64_t first = 1ULL << 32 | 7, second = 2ULL << 32 | 7;

  CU_ASSERT_EQUAL (zp_idmap_get (&p, first), 0);
  zp_idmap_put (&p, first, 41);
  CU_ASSERT_EQUAL (zp_idmap_get (&p, first), 41);
  zp_idmap_put (&p, second, 42);
  CU_ASSERT_EQUAL (zp_idmap_get (&p, second), 42);
  CU_ASSERT_EQUAL (zp_idmap_get (&p, 8), 0);
  zp_idmap_free (&p);
}

/* Guards against growth that loses ids or leaves unused indexes unset.  */
static void
test_growth (void)
{
  enum
  {
    FAR = 100000,
  };
  struct zp_idmap p = { .id = NULL };

  zp_idmap_put (&p, 3, 33);
  zp_idmap_put (&p, FAR, 44);
  CU_ASSERT_EQUAL (zp_idmap_get (&p, 3), 33);
  CU_ASSERT_EQUAL (zp_idmap_get (&p, FAR), 44);
  for (uint64_t at = 4; at < FAR; at++)
    CU_ASSERT_EQUAL_FATAL (zp_idmap_get (&p, at), 0);
  CU_ASSERT_EQUAL (zp_idmap_get (&p, 1U << 31), 0);
  zp_idmap_free (&p);
  CU_ASSERT_EQUAL (zp_idmap_get (&p, 3), 0);
}

static const struct zp_test tests[] = {
  { "latest id of an index", test_latest_id_of_an_index },
  { "growth", test_growth },
};

TEST_MAIN ("idmap", tests)
