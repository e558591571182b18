/* NAME
     seeds - runs a property test with many seeds of the random numbers

   DESCRIPTION
     "test-X COUNT [FIRST]" runs COUNT seeds, from FIRST on, instead of the
     default.  A property function returns true when the property holds for its
     seed.  A seed that fails is run again with the trace on, and the end of
     the trace is printed.  */

#ifndef ZP_TESTS_SEEDS_H
#define ZP_TESTS_SEEDS_H

#include <stdlib.h>

#include "base/rng.h"
#include "base/str.h"

#define TRACE_TAIL 6000 /* bytes of the trace that are printed */

static unsigned long seed_count, seed_first = 1;
static bool trace_on;
static struct zp_buf trace;

/* Reads the arguments of the program, because the main function of TEST_MAIN
   ignores them.  The C library passes them to constructors too.  */
__attribute__ ((constructor)) static void
seeds_read (int argc, char **argv)
{
  if (argc > 1)
    seed_count = strtoul (argv[1], NULL, 10);
  if (argc > 2)
    seed_first = strtoul (argv[2], NULL, 10);
}

#define TRACE(...) (trace_on ? zp_buf_printf (&trace, __VA_ARGS__) : (void) 0)

/* Runs PROPERTY with COUNT seeds, or as many as the command line says.  Stops
   after three failures.  Returns the number of seeds that failed.  */
static inline unsigned
seeds_run (bool (*property) (uint32_t seed), unsigned long count)
{
  unsigned failed = 0;

  if (seed_count > 0)
    count = seed_count;
  for (unsigned long i = 0; i < count && failed < 3; i++)
    {
      uint32_t seed = (uint32_t) (seed_first + i);

      if (property (seed))
        continue;
      failed++;
      trace_on = true;
      property (seed);
      trace_on = false;
      size_t skip = trace.len > TRACE_TAIL ? trace.len - TRACE_TAIL : 0;
      printf ("\nseed %u failed; the end of its trace:\n%s\n", seed,
              trace.ptr ? trace.ptr + skip : "");
      zp_buf_free (&trace);
    }
  return failed;
}

/* True with probability P.  */
static inline bool
chance (struct zp_rng *r, double p)
{
  return zp_rng_unit (r) < p;
}

#endif
