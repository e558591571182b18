/* NAME
     results - outcomes of the requests, compared with the run records

   DESCRIPTION
     lo_results_reconcile reads every file "*.record" in the folder that the
     settings name (see backend/work.h) and counts for each service:
     - doubled: at-most-once requests that ran more than once;
     - lost: requests without an outcome, and answered requests whose last key
       has no run record;
     - wrong: requests with the answer to another request or an incomplete
       answer, and runs with another body than that of the request;
     - false not-run: requests with a key that was answered not-run and has a
       run record.
     Each of these is a violation; no run may have any.  */

#ifndef ZP_LOAD_RESULTS_H
#define ZP_LOAD_RESULTS_H

#include <gsl/gsl_histogram.h>
#include <stdio.h>

#include "load/request.h"

/* Counts of one service.  */
struct lo_totals
{
  /* Requests, in all and by outcome; their sends and runs.  */
  uint64_t asked, outcome[LO_OUTCOMES], sends, runs;
  uint64_t doubled, lost, wrong, false_not_run;
  uint64_t over, late;    /* events of the run records */
  gsl_histogram *latency; /* of answered requests, in microseconds */
};

struct lo_results
{
  const struct lo_settings *settings;
  struct lo_plan plan;
  char run_id[ZP_NAME_MAX]; /* first part of all keys; differs between runs */
  struct lo_totals totals[LO_SERVICES_MAX];
  uint64_t crashes; /* of servers */
};

/* Plans the requests of S, which must outlive R.  RUN_ID holds no "-".  */
void lo_results_open (struct lo_results *r, const struct lo_settings *s,
                      const char *run_id);

/* Request I has its outcome, LATENCY after its planned arrival.  The latency
   counts only for answered requests.  */
void lo_results_add_latency (struct lo_results *r, size_t i, zp_time latency);

/* Appends the body of request I to OUT.  Every send has the same.  */
void lo_request_body (const struct lo_results *r, size_t i,
                      struct zp_buf *out);

/* The hash of that body.  */
uint64_t lo_request_digest (const struct lo_results *r, size_t i);

/* Returns false and sets ERR when there is no run record or one cannot be
   read.  */
bool lo_results_reconcile (struct lo_results *r, struct zp_err *err);

/* Prints the counts and latency quantiles of each service, as a table or as
   lines of JSON.  Returns whether there is no violation.  */
bool lo_results_print (const struct lo_results *r, bool json, FILE *out);
void lo_results_close (struct lo_results *r);

#endif
