#include "harness.h"

#include <stdlib.h>

#include "roster/work.h"

static struct ro_work work;

static void
report (uint64_t daemon, enum ro_work_kind kind, const char *region,
        uint32_t server, unsigned count, zp_time now)
{
  struct tk_work w = { .item = zp_alloc (2 * sizeof *w.item), .len = 2 };

  w.item[0] = (struct tk_work_item){ .server = server, .count = count };
  w.item[1] = (struct tk_work_item){ .server = 99, .count = 1 };
  ro_work_set (&work, daemon, kind, zp_str_from (region), &w, now);
}

static unsigned
sum (const char *region, enum ro_work_kind kind, uint32_t server, zp_time now)
{
  struct tk_work out;
  unsigned n = 0;

  ro_work_sum (&work, zp_str_from (region), kind, now, &out);
  for (size_t i = 0; i < out.len; i++)
    {
      CU_ASSERT (i == 0 || out.item[i - 1].server < out.item[i].server);
      if (out.item[i].server == server)
        n += out.item[i].count;
    }
  free (out.item);
  return n;
}

/* Guards against sums that include the requests of other regions, and against
   requests that are counted twice, because a control daemon passes on what
   others have passed to it.  */
static void
test_sums (void)
{
  report (1, RO_WORK_DIRECT, "a", 7, 3, 0);
  report (2, RO_WORK_DIRECT, "a", 7, 4, 0);
  report (3, RO_WORK_RELAYED, "a", 8, 5, 0);
  report (4, RO_WORK_DIRECT, "b", 7, 6, 0);
  CU_ASSERT_EQUAL (sum ("a", RO_WORK_ALL, 7, 1), 7);
  CU_ASSERT_EQUAL (sum ("a", RO_WORK_ALL, 8, 1), 5);
  CU_ASSERT_EQUAL (sum ("a", RO_WORK_ALL, 99, 1), 3);
  CU_ASSERT_EQUAL (sum ("a", RO_WORK_DIRECT, 99, 1), 2);
  CU_ASSERT_EQUAL (sum ("a", RO_WORK_DIRECT, 8, 1), 0);
  CU_ASSERT_EQUAL (sum ("b", RO_WORK_ALL, 7, 1), 6);
  report (2, RO_WORK_DIRECT, "a", 7, 1, 2);
  CU_ASSERT_EQUAL (sum ("a", RO_WORK_ALL, 7, 2), 4);
  ro_work_free (&work);
}

/* Guards against sums that include the requests of a daemon that has ended or
   is cut off.  */
static void
test_expiry (void)
{
  report (1, RO_WORK_DIRECT, "a", 7, 3, 0);
  CU_ASSERT_EQUAL (sum ("a", RO_WORK_ALL, 7, RO_WORK_TTL - 1), 3);
  CU_ASSERT_EQUAL (sum ("a", RO_WORK_ALL, 7, RO_WORK_TTL), 0);
  report (1, RO_WORK_DIRECT, "a", 7, 3, 0);
  ro_work_drop (&work, 1, RO_WORK_DIRECT);
  ro_work_drop (&work, 5, RO_WORK_DIRECT);
  CU_ASSERT_EQUAL (sum ("a", RO_WORK_ALL, 7, 1), 0);
  ro_work_free (&work);
}

static const struct zp_test tests[]
    = { { "sums of direct and relayed reports", test_sums },
        { "expired and removed reports", test_expiry } };

TEST_MAIN ("roster-work", tests)
