/* NAME
     rng - seeded random numbers

   DESCRIPTION
     Wraps the dSFMT generator.  Code that decides at random takes a struct
     zp_rng as an argument, so that a test with a fixed seed gets the same
     decisions in every run.  */

#ifndef ZP_BASE_RNG_H
#define ZP_BASE_RNG_H

#include <dSFMT.h>
#include <stdint.h>

/* The generator uses vector instructions, which need a state aligned to 16
   bytes, also when the struct is a member of another one.  */
struct zp_rng
{
  _Alignas(16) dsfmt_t state;
};

void zp_rng_seed (struct zp_rng *r, uint32_t seed);

/* Takes the seed from the operating system; ends the process when that
   fails.  */
void zp_rng_seed_os (struct zp_rng *r);

/* Uniform in [0, 1).  */
double zp_rng_unit (struct zp_rng *r);

/* Uniform in [0, N); N must be above 0.  */
uint32_t zp_rng_below (struct zp_rng *r, uint32_t n);

#endif
