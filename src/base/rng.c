#include "base/rng.h"

#include <assert.h>
#include <stdlib.h>
#include <sys/random.h>

void
zp_rng_seed (struct zp_rng *r, uint32_t seed)
{
  dsfmt_init_gen_rand (&r->state, seed);
}

void
zp_rng_seed_os (struct zp_rng *r)
{
  uint32_t seed[4];

  if (getrandom (seed, sizeof seed, 0) != (ssize_t) sizeof seed)
    abort ();
  dsfmt_init_by_array (&r->state, seed, 4);
}

double
zp_rng_unit (struct zp_rng *r)
{
  return dsfmt_genrand_close_open (&r->state);
}

uint32_t
zp_rng_below (struct zp_rng *r, uint32_t n)
{
  assert (n > 0);
  return (uint32_t) (zp_rng_unit (r) * n);
}
