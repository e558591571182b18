#include "load/results.h"

#include <errno.h>
#include <glob.h>
#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define BINS 400         /* of the same width on a logarithmic scale */
#define LATENCY_MIN 10.0 /* us */
#define LATENCY_MAX 1e8  /* us */

void
lo_results_open (struct lo_results *r, const struct lo_settings *s,
                 const char *run_id)
{
  double range[BINS + 1];

  *r = (struct lo_results){ .settings = s };
  zp_str_copy (r->run_id, sizeof r->run_id, zp_str_from (run_id));
  lo_plan_make (&r->plan, s);
  for (size_t i = 0; i <= BINS; i++)
    range[i] = LATENCY_MIN
               * pow (LATENCY_MAX / LATENCY_MIN, (double) i / (double) BINS);
  for (size_t i = 0; i < s->services.len; i++)
    {
      r->totals[i].latency = gsl_histogram_alloc (BINS);
      gsl_histogram_set_ranges (r->totals[i].latency, range, BINS + 1);
    }
}

void
lo_results_add_latency (struct lo_results *r, size_t i, zp_time latency)
{
  double us = fmin (fmax ((double) latency, LATENCY_MIN), LATENCY_MAX * 0.99);

  if (r->plan.request[i].outcome == LO_ANSWERED)
    gsl_histogram_increment (r->totals[r->plan.request[i].service].latency,
                             us);
}

void
lo_request_body (const struct lo_results *r, size_t i, struct zp_buf *out)
{
  const struct lo_service *s
      = &r->settings->service[r->plan.request[i].service];
  int rest = (int) s->body_bytes;

  if (s->crash_ms > 0)
    zp_buf_printf (out, "crash");
  else if (rest > 0)
    zp_buf_printf (out, "request %s-%zu%*s", r->run_id, i, rest, "");
}

uint64_t
lo_request_digest (const struct lo_results *r, size_t i)
{
  struct zp_buf body = { .ptr = NULL };

  lo_request_body (r, i, &body);
  uint64_t digest = zp_str_hash (zp_str_of (&body), 0);
  zp_buf_free (&body);
  return digest;
}

/* Comparison with the run records.  */

/* A line "EVENT KEY DIGEST ..."; KEY is "RUN-REQUEST-NUMBER".  */
static void
count_record_line (struct lo_results *r, const char *line)
{
  char event[8], key[ZP_KEY_MAX], run_id[ZP_NAME_MAX];
  uint64_t digest;
  size_t i;
  unsigned n;

  if (sscanf (line, "%7s %255s %" SCNx64, event, key, &digest) != 3)
    return;
  r->crashes += strcmp (event, "crash") == 0;
  if (sscanf (key, "%63[^-]-%zu-%u", run_id, &i, &n) != 3
      || strcmp (run_id, r->run_id) != 0 || i >= r->plan.count || n > 31)
    return;
  struct lo_request *q = &r->plan.request[i];
  struct lo_totals *s = &r->totals[q->service];
  s->over += strcmp (event, "over") == 0;
  s->late += strcmp (event, "late") == 0;
  if (strcmp (event, "ran") != 0)
    return;
  s->runs++;
  q->runs++;
  q->ran_keys |= 1u << n;
  s->wrong += digest != lo_request_digest (r, i);
}

static bool
read_record (struct lo_results *r, const char *path, struct zp_err *err)
{
  char line[ZP_LOG_LINE_MAX];
  FILE *f = fopen (path, "re");

  if (!f)
    return zp_fail (err, ZP_EIO, "cannot open %s: %s", path, strerror (errno));
  while (fgets (line, sizeof line, f))
    count_record_line (r, line);
  fclose (f);
  return true;
}

/* Adds the outcome and the violations of Q to the totals of its service.  */
static void
count_request (struct lo_results *r, const struct lo_request *q)
{
  struct lo_totals *s = &r->totals[q->service];

  s->asked++;
  s->outcome[q->outcome]++;
  s->sends += q->sends;
  s->doubled += r->settings->service[q->service].once && q->runs > 1;
  s->lost += q->outcome == LO_PENDING
             || (q->outcome == LO_ANSWERED && !(q->ran_keys & 1u << q->key));
  s->wrong += q->outcome == LO_WRONG;
  s->false_not_run += (q->not_run_keys & q->ran_keys) != 0;
}

bool
lo_results_reconcile (struct lo_results *r, struct zp_err *err)
{
  struct zp_buf pattern = zp_buf_from (r->settings->records);
  glob_t found;
  bool ok = true;

  zp_buf_put (&pattern, ZP_STR ("/*.record"));
  if (glob (pattern.ptr, 0, NULL, &found) != 0)
    ok = zp_fail (err, ZP_EIO, "no run record matches %s", pattern.ptr);
  zp_buf_free (&pattern);
  for (size_t i = 0; ok && i < found.gl_pathc; i++)
    ok = read_record (r, found.gl_pathv[i], err);
  globfree (&found);
  for (size_t i = 0; i < r->plan.count; i++)
    count_request (r, &r->plan.request[i]);
  return ok;
}

/* Report.  */

/* The upper bound of the bin with the quantile FRACTION, in milliseconds.  */
static double
quantile_ms (const gsl_histogram *h, double fraction)
{
  double rank = fraction * gsl_histogram_sum (h), count = 0.0, low, high = 0.0;

  for (size_t i = 0; i < h->n && (count < rank || i == 0); i++)
    {
      count += gsl_histogram_get (h, i);
      gsl_histogram_get_range (h, i, &low, &high);
    }
  return rank > 0.0 ? high / 1000.0 : 0.0;
}

#define COLUMN(name, field, violation)                                        \
  {                                                                           \
    name, offsetof (struct lo_totals, field), violation                       \
  }

static const struct
{
  const char *name;
  size_t offset;
  bool violation; /* must be 0 in every run */
} columns[] = {
  COLUMN ("asked", asked, false),
  COLUMN ("answered", outcome[LO_ANSWERED], false),
  COLUMN ("not_run", outcome[LO_REFUSED], false),
  COLUMN ("may_run", outcome[LO_MAY_HAVE_RUN], false),
  COLUMN ("failed", outcome[LO_FAILED], false),
  COLUMN ("sends", sends, false),
  COLUMN ("runs", runs, false),
  COLUMN ("over", over, false),
  COLUMN ("late", late, false),
  COLUMN ("doubled", doubled, true),
  COLUMN ("lost", lost, true),
  COLUMN ("wrong", wrong, true),
  COLUMN ("false_nr", false_not_run, true),
};

#define COLUMNS (sizeof columns / sizeof columns[0])

/* Writes one value, in JSON with its name; the first line of the table has the
   names.  */
static void
print_cell (FILE *out, bool json, const char *name, double value, int digits)
{
  if (json)
    fprintf (out, ",\"%s\":%.*f", name, digits, value);
  else
    fprintf (out, "%9.*f", digits, value);
}

bool
lo_results_print (const struct lo_results *r, bool json, FILE *out)
{
  uint64_t n, violations = 0;

  if (!json)
    fprintf (out, "%-13s", "service");
  for (size_t c = 0; !json && c < COLUMNS; c++)
    fprintf (out, "%9s", columns[c].name);
  if (!json)
    fprintf (out, "%9s%9s\n", "p50_ms", "p99_ms");
  for (size_t i = 0; i < r->settings->services.len; i++)
    {
      const struct lo_totals *s = &r->totals[i];
      fprintf (out, json ? "{\"service\":\"%s\"" : "%-13s",
               r->settings->service[i].name);
      for (size_t c = 0; c < COLUMNS; c++)
        {
          memcpy (&n, (const char *) s + columns[c].offset, sizeof n);
          violations += columns[c].violation ? n : 0;
          print_cell (out, json, columns[c].name, (double) n, 0);
        }
      print_cell (out, json, "p50_ms", quantile_ms (s->latency, 0.5), 2);
      print_cell (out, json, "p99_ms", quantile_ms (s->latency, 0.99), 2);
      fprintf (out, json ? "}\n" : "\n");
    }
  fprintf (out,
           json ? "{\"violations\":%" PRIu64 ",\"crashes\":%" PRIu64 "}\n"
                : "violations %" PRIu64 ", servers crashed %" PRIu64 "\n",
           violations, r->crashes);
  return violations == 0;
}

void
lo_results_close (struct lo_results *r)
{
  for (size_t i = 0; i < r->settings->services.len; i++)
    gsl_histogram_free (r->totals[i].latency);
  lo_plan_free (&r->plan);
}
