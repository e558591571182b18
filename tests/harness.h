/* NAME
     harness - main function of a test program for one module, with CUnit

   SYNOPSIS
     static const struct zp_test tests[] = { { "name", function } };
     TEST_MAIN ("module", tests)  */

#ifndef ZP_TESTS_HARNESS_H
#define ZP_TESTS_HARNESS_H

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

struct zp_test
{
  const char *name;
  void (*run) (void);
};

/* Whether the zero-terminated text HAY contains NEEDLE.  */
#define HAS_TEXT(hay, needle) (strstr ((hay), (needle)) != NULL)

/* "IP:port" with a loopback address that depends on the process id, so that
   several test programs can run at once.  The text is valid until the fourth
   call after this one.  */
static inline const char *
test_address (unsigned port)
{
  static char text[4][32];
  static unsigned calls;
  unsigned pid = (unsigned) getpid ();
  char *out = text[calls++ % 4];

  snprintf (out, sizeof text[0], "127.%u.%u.%u:%u", 64 + (pid >> 16) % 64,
            (pid >> 8) % 256, 1 + pid % 254, port);
  return out;
}

/* The exit status is 0 only when no assertion failed and at least one test
   ran.  */
#define TEST_MAIN(module, tests)                                              \
  int main (void)                                                             \
  {                                                                           \
    CU_initialize_registry ();                                                \
    CU_pSuite suite = CU_add_suite (module, NULL, NULL);                      \
    for (size_t i = 0; i < sizeof (tests) / sizeof ((tests)[0]); i++)         \
      CU_add_test (suite, (tests)[i].name, (tests)[i].run);                   \
    CU_basic_set_mode (CU_BRM_VERBOSE);                                       \
    CU_basic_run_tests ();                                                    \
    unsigned failed = CU_get_number_of_failures ();                           \
    unsigned ran = CU_get_number_of_tests_run ();                             \
    CU_cleanup_registry ();                                                   \
    return failed == 0 && ran > 0 ? 0 : 1;                                    \
  }

#endif
