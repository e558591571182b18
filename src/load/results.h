/* NAME
     book - event the callers saw, and its comparison with the run records

   DESCRIPTION
     lo_results_reconcile reads every run record in the folder of the settings.
     Per service it counts: doubled (an at-most-once request that ran more than
     once), lost (answered without a run record, or without an outcome), wrong
     (another request's answer or body), and false not-run (a key that was told
     not-run has a run record).  */

#ifndef ZP_LOAD_RESULTS_H
#define ZP_LOAD_RESULTS_H

#include <gsl/gsl_histogram.h>
#include <stdio.h>

#include "load/request.h"

struct lo_totals
{
  uint64_t asked, outcome[LO_OUTCOMES], sends, runs;
  uint64_t doubled, lost, wrong, false_not_run;
  uint64_t over, late;    /* see backend/work.h */
  gsl_histogram *latency; /* of answered requests, in microseconds */
};

struct lo_results
{
  const struct lo_settings *settings;
  struct lo_plan plan;
  char run_id[ZP_NAME_MAX]; /* tells the keys of this run from others */
  struct lo_totals totals[LO_SERVICES_MAX];
  uint64_t crashes;
};

void lo_results_open (struct lo_results *r, const struct lo_settings *s,
                      const char *run_id);

/* Request I ended after LATENCY.  */
void lo_results_add_latency (struct lo_results *r, size_t i, zp_time latency);

/* The body of request I, and its length.  The same for every send.  */
void lo_request_body (const struct lo_results *r, size_t i,
                      struct zp_buf *out);
uint64_t lo_request_digest (const struct lo_results *r, size_t i);

bool lo_results_reconcile (struct lo_results *r, struct zp_err *err);

/* Returns whether nothing was lost, doubled, wrong or falsely not-run.  */
bool lo_results_print (const struct lo_results *r, bool json, FILE *out);
void lo_results_close (struct lo_results *r);

#endif
