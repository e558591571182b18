#include "harness.h"

#include <stdlib.h>

#include "roster/work.h"

static struct ro_work work;

static void
report (uint64_t daemon, const char *region, uint64_t server, unsigned count,
        zp_time now)
{
  struct tk_work w = { .item = zp_alloc (2 * sizeof *w.item), .len = 2 };

  w.item[0] = (struct tk_work_item){ .server = server, .count = count };
  w.item[1] = (struct tk_work_item){ .server = 99, .count = 1 };
  ro_work_set (&work, daemon, zp_str_from (region), &w, now);
}

static unsigned
others (uint64_t daemon, const char *region, uint64_t server, zp_time now)
{
  struct tk_work out;
  unsigned n = 0;

  ro_work_others (&work, daemon, zp_str_from (region), now, &out);
  for (size_t i = 0; i < out.len; i++)
    {
      CU_ASSERT (i == 0 || out.item[i - 1].server < out.item[i].server);
      if (out.item[i].server == server)
        n += out.item[i].count;
    }
  free (out.item);
  return n;
}

/* Guards against sums that include the daemon's own requests or those of other
   regions.  */
static void
test_sums (void)
{
  report (1, "a", 7, 3, 0);
  report (2, "a", 7, 4, 0);
  report (3, "a", 8, 5, 0);
  report (4, "b", 7, 6, 0);
  CU_ASSERT_EQUAL (others (1, "a", 7, 1), 4);
  CU_ASSERT_EQUAL (others (2, "a", 7, 1), 3);
  CU_ASSERT_EQUAL (others (3, "a", 7, 1), 7);
  CU_ASSERT_EQUAL (others (3, "a", 99, 1), 2);
  CU_ASSERT_EQUAL (others (4, "b", 7, 1), 0);
  report (2, "a", 7, 1, 2);
  CU_ASSERT_EQUAL (others (1, "a", 7, 2), 1);
  ro_work_free (&work);
}

/* Guards against sums that include the requests of a daemon that has ended or
   is cut off.  */
static void
test_expiry (void)
{
  report (1, "a", 7, 3, 0);
  CU_ASSERT_EQUAL (others (2, "a", 7, RO_WORK_TTL - 1), 3);
  CU_ASSERT_EQUAL (others (2, "a", 7, RO_WORK_TTL), 0);
  report (1, "a", 7, 3, 0);
  ro_work_drop (&work, 1);
  ro_work_drop (&work, 5);
  CU_ASSERT_EQUAL (others (2, "a", 7, 1), 0);
  ro_work_free (&work);
}

static const struct zp_test tests[]
    = { { "sums of the others", test_sums },
        { "expired and removed reports", test_expiry } };

TEST_MAIN ("roster-work", tests)
