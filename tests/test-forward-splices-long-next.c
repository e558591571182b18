#include "splices-long.h"

/* Guards against long bodies that are completed by an answer of 1 or 8 MiB
   and passed on.  */
static void
test_long_next (void)
{
  static const size_t sizes[] = { 1 << 20, 8 << 20 };

  check_long_bodies (sizes, sizeof sizes / sizeof sizes[0]);
}

static const struct zp_test tests[] = {
  { "long bodies and an answer of 1 or 8 MiB", test_long_next },
};

TEST_MAIN ("forward-splices-long-next", tests)
