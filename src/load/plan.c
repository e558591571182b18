#include <gsl/gsl_randist.h>
#include <stdlib.h>

#include "load/request.h"

static void
add (struct lo_plan *p, size_t *capacity, double ms, size_t service,
     size_t caller)
{
  if (p->count == LO_REQUESTS_MAX)
    return;
  if (p->count == *capacity)
    {
      *capacity = *capacity > 0 ? *capacity * 2 : 1024;
      p->request = zp_realloc (p->request, *capacity * sizeof *p->request);
    }
  p->request[p->count++]
      = (struct lo_request){ .at = (zp_time) (ms * (double) ZP_MS),
                             .service = (uint8_t) service,
                             .caller = (uint8_t) caller };
}

static int
by_arrival (const void *a, const void *b)
{
  const struct lo_request *x = a, *y = b;

  return (x->at > y->at) - (x->at < y->at);
}

/* Poisson arrivals, and bursts whose requests spread evenly over burst_ms.  */
void
lo_plan_make (struct lo_plan *p, const struct lo_settings *s)
{
  gsl_rng *r = gsl_rng_alloc (gsl_rng_mt19937);
  size_t capacity = 0;
  double end = (double) s->duration_ms;

  gsl_rng_set (r, (unsigned long) s->seed);
  *p = (struct lo_plan){ .count = 0 };
  for (size_t i = 0; i < s->services.len; i++)
    {
      const struct lo_service *v = &s->service[i];
      double mean_gap = 1000.0 / (double) (v->rate > 0 ? v->rate : 1);
      double first = v->rate > 0 ? gsl_ran_exponential (r, mean_gap) : end;
      for (double ms = first; ms < end;
           ms += gsl_ran_exponential (r, mean_gap))
        add (p, &capacity, ms, i, gsl_rng_uniform_int (r, s->callers.len));
      for (int64_t ms = v->burst_every_ms / 2; ms < s->duration_ms;
           ms += v->burst_every_ms)
        for (int64_t n = 0; n < v->burst; n++)
          add (p, &capacity,
               (double) ms + gsl_ran_flat (r, 0, (double) v->burst_ms), i,
               gsl_rng_uniform_int (r, s->callers.len));
    }
  if (p->count > 0)
    qsort (p->request, p->count, sizeof *p->request, by_arrival);
  gsl_rng_free (r);
}

void
lo_plan_free (struct lo_plan *p)
{
  free (p->request);
}
