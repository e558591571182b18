#include "harness.h"

#include "base/slots.h"

/* Guards against a late message that reaches the wrong object: the id of a
   removed object must not find the next object in the same slot (P3).  */
static void
test_ids_are_not_used_again (void)
{
  struct zp_slots s = { .cap = 0 };
  int a, b;
  uint64_t first = zp_slots_put (&s, &a);

  CU_ASSERT_PTR_EQUAL (zp_slots_get (&s, first), &a);
  zp_slots_remove (&s, first);
  uint64_t second = zp_slots_put (&s, &b);
  CU_ASSERT (first != second);
  CU_ASSERT_EQUAL ((uint32_t) first, (uint32_t) second);
  CU_ASSERT_PTR_NULL (zp_slots_get (&s, first));
  CU_ASSERT_PTR_EQUAL (zp_slots_get (&s, second), &b);
  CU_ASSERT_PTR_NULL (zp_slots_get (&s, 0));
  CU_ASSERT_PTR_NULL (zp_slots_get (&s, UINT64_MAX));
  zp_slots_free (&s);
}

/* Guards against objects or ids that are lost when the table grows.  */
static void
test_growth_keeps_objects (void)
{
  struct zp_slots s = { .cap = 0 };
  int objects[1000];
  uint64_t ids[1000];
  uint32_t at = 0;
  size_t seen = 0;

  for (int i = 0; i < 1000; i++)
    ids[i] = zp_slots_put (&s, &objects[i]);
  for (int i = 0; i < 1000; i++)
    CU_ASSERT_PTR_EQUAL (zp_slots_get (&s, ids[i]), &objects[i]);
  for (int i = 0; i < 1000; i += 2)
    zp_slots_remove (&s, ids[i]);
  while (zp_slots_next (&s, &at))
    seen++;
  CU_ASSERT_EQUAL (seen, 500);
  CU_ASSERT_EQUAL (s.len, 500);
  zp_slots_free (&s);
}

static const struct zp_test tests[]
    = { { "ids are not used again", test_ids_are_not_used_again },
        { "growth keeps objects", test_growth_keeps_objects } };

TEST_MAIN ("slots", tests)
