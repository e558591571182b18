#include "harness.h"

#include <stdlib.h>
#include <sys/resource.h>

#include "base/process.h"

/* Guards against keys in a core dump, also in one that is piped to a program,
   for which the limit does not count.  */
static void
test_no_core_dumps (void)
{
  struct rlimit limit;
  char text[32] = "";

  zp_process_forbid_cores ();
  CU_ASSERT_FATAL (getrlimit (RLIMIT_CORE, &limit) == 0);
  CU_ASSERT_EQUAL (limit.rlim_cur, 0);
  CU_ASSERT_EQUAL (limit.rlim_max, 0);
  FILE *f = fopen ("/proc/self/coredump_filter", "r");
  CU_ASSERT_FATAL (f != NULL);
  CU_ASSERT_PTR_NOT_NULL (fgets (text, sizeof text, f));
  fclose (f);
  CU_ASSERT_EQUAL (strtoul (text, NULL, 16), 0);
}

static const struct zp_test tests[]
    = { { "no core dumps", test_no_core_dumps } };

TEST_MAIN ("process", tests)
