#include "splices-long.h"

/* Guards against long bodies that are completed by an answer of up to 64 KiB
   and passed on.  */
static void
test_long (void)
{
  static const size_t sizes[] = { 3000, 4096, 65536 };

  check_long_bodies (sizes, sizeof sizes / sizeof sizes[0]);
}

static const struct zp_test tests[] = {
  { "long bodies and an answer of up to 64 KiB", test_long },
};

TEST_MAIN ("forward-splices-long", tests)
