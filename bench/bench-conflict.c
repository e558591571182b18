/* Compares the false conflicts of the two rules that check a ticket: by object
   and by the number of the whole configuration.  Both check the same seeded
   stream of tickets of the size that the system is designed for: 2,200 tickets
   a day, of which 600 come in six bursts (a lost failure domain, a release).
   Some objects are changed more often than others.  The time from the draft of
   a ticket to its number is 10 minutes on average, 3 in a burst.

   A conflict is false when every object that the ticket sets or deletes is
   still, byte for byte, as it was at the draft.  An author whose ticket was
   refused drafts a new one, with at most ATTEMPTS attempts.

   Prints lines "name value unit baseline"; the baseline is the check by
   number.  */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/rng.h"
#include "ticket/store.h"

#define DAYS 2
#define STEADY 1600 /* tickets a day outside bursts */
#define BURSTS 6    /* a day */
#define BURST 100   /* tickets */
#define ATTEMPTS 5
#define JOBS (DAYS * (STEADY + BURSTS * BURST))

#define REGIONS 9
#define DOMAINS 25
#define SITES 120
#define ENTRIES 420

struct job
{
  zp_time at;
  bool burst;
  bool drafted; /* the next event is the submission */
  unsigned attempts;
  uint64_t against;
  uint64_t seen_hash; /* of the objects that it changes, at the draft */
  struct zp_buf edit;
};

struct counts
{
  size_t first_false, first_true; /* of first attempts */
  size_t missed;                  /* accepted, but an object had changed */
  size_t attempts, given_up;
  zp_time apply; /* wall-clock time of all commands */
};

struct run
{
  struct ti_store *store;
  /* The dSFMT generator needs 16 bytes of alignment.  */
  _Alignas(16) struct zp_rng rng;
  struct job *job;
  uint64_t index;
  unsigned titles;
  struct counts counts;
};

/* Random times.  */

static zp_time
exponential (struct zp_rng *rng, double mean_s)
{
  return (zp_time) (-log (1 - zp_rng_unit (rng)) * mean_s * (double) ZP_SEC);
}

/* A random index below N.  The square makes low indexes more frequent, because
   some objects are changed far more often than others.  */
static unsigned
skewed_index (struct zp_rng *rng, unsigned n)
{
  double u = zp_rng_unit (rng);

  return (unsigned) (u * u * n);
}

/* The first configuration.  */

static void
write_base (struct zp_buf *out)
{
  zp_buf_put (out, ZP_STR ("\"set\":{"));
  for (unsigned i = 0; i < REGIONS; i++)
    zp_buf_printf (out, "\"region/r%u\":{\"latency_ms\":{}},", i);
  for (unsigned i = 0; i < DOMAINS; i++)
    zp_buf_printf (out,
                   "\"failure_domain/f%u\":{\"region\":\"r%u\","
                   "\"entry_networks\":[\"10.0.0.0/8\"]},",
                   i, i % REGIONS);
  for (unsigned i = 0; i < SITES; i++)
    zp_buf_printf (out, "\"site/s%u\":{\"failure_domain\":\"f%u\"},", i,
                   i % DOMAINS);
  for (unsigned i = 0; i < ENTRIES; i++)
    zp_buf_printf (out,
                   "\"entry/%u\":{\"failure_domain\":\"f%u\",\"address\":"
                   "\"10.0.%u.%u:80\",\"enabled\":true},",
                   i + 1, i % DOMAINS, i / 200, i % 200);
  zp_buf_put (out, ZP_STR ("\"service/main\":{\"class\":\"once\",\"priority\":"
                           "0,\"deadline_ms\":1000,\"queue_max\":10}}"));
}

/* Edits.  */

static bool
exists (const struct ti_config *c, enum ti_kind kind, const char *name)
{
  struct ti_key key = { .kind = kind };

  return ti_text_set (&key.name, zp_str_from (name))
         && ti_config_find (c, &key) != NULL;
}

static void
write_edit (struct run *r, struct zp_buf *out)
{
  const struct ti_config *c = ti_store_config (r->store);
  struct zp_rng *rng = &r->rng;
  unsigned kind = zp_rng_below (rng, 100);
  char name[32];

  zp_buf_clear (out);
  if (kind < 45) /* a VM is drained for a restart, or its drain ends */
    {
      unsigned e = skewed_index (rng, ENTRIES);
      snprintf (name, sizeof name, "%u", e + 1);
      if (exists (c, TI_DRAIN, name))
        zp_buf_printf (out, "\"delete\":[\"drain/%s\"]", name);
      else
        zp_buf_printf (out, "\"set\":{\"drain/%s\":{\"target\":\"entry/%s\"}}",
                       name, name);
    }
  else if (kind < 65) /* a VM is disabled or enabled */
    {
      unsigned e = skewed_index (rng, ENTRIES);
      zp_buf_printf (out,
                     "\"set\":{\"entry/%u\":{\"failure_domain\":\"f%u\","
                     "\"address\":\"10.0.%u.%u:80\",\"enabled\":%s}}",
                     e + 1, e % DOMAINS, e / 200, e % 200,
                     zp_rng_below (rng, 2) ? "true" : "false");
    }
  else if (kind < 80)
    zp_buf_printf (out,
                   "\"set\":{\"limits/l%u\":{\"service\":\"main\",\"region\":"
                   "\"r%u\",\"max_in_flight\":%u}}",
                   zp_rng_below (rng, REGIONS), 0U, zp_rng_below (rng, 20));
  else if (kind < 90)
    {
      unsigned s = skewed_index (rng, SITES);
      zp_buf_printf (out,
                     "\"set\":{\"shift/s%u\":{\"from\":\"s%u\",\"to\":"
                     "\"s%u\",\"share\":0.%u,\"cap_per_minute\":0.1}}",
                     s, s, (s + 1) % SITES, zp_rng_below (rng, 10));
    }
  else
    {
      unsigned s = skewed_index (rng, SITES);
      zp_buf_printf (out,
                     "\"set\":{\"blocks/b%u\":{\"site\":\"s%u\",\"prefixes\":"
                     "[\"11.%u.%u.0/24\"]}}",
                     s, s, s, zp_rng_below (rng, 250));
    }
}

/* Gives limits/lN the region rN, as write_edit always writes r0.  */
static void
fix_limits (struct zp_buf *edit)
{
  char *limits = strstr (edit->ptr, "limits/l");
  char *region = limits ? strstr (limits, "\"r0\"") : NULL;

  if (region)
    region[2] = limits[8];
}

/* Tickets.  */

static struct ti_ticket *
make_ticket (struct run *r, const struct job *j)
{
  struct zp_buf text = { .ptr = NULL };
  struct zp_report report = { .count = 0 };

  zp_buf_printf (&text,
                 "{\"title\":\"%u\",\"author\":\"ana\",\"against\":%llu,%s}",
                 r->titles++, (unsigned long long) j->against, j->edit.ptr);
  struct ti_ticket *t = ti_ticket_parse (zp_str_of (&text), &report);
  if (!t)
    {
      fprintf (stderr, "bench-conflict: %s", report.lines.ptr);
      exit (1);
    }
  zp_buf_free (&text);
  return t;
}

static uint64_t
hash_key (const struct ti_config *c, const struct ti_key *key, uint64_t seed)
{
  const struct ti_object *o = ti_config_find (c, key);
  struct zp_buf text = { .ptr = NULL };

  if (o)
    ti_object_write (o, &text);
  uint64_t hash = zp_str_hash (zp_str_of (&text), seed);
  zp_buf_free (&text);
  return hash;
}

/* Hash of the objects that T sets or deletes, as they are in C.  */
static uint64_t
hash_touched (const struct ti_config *c, const struct ti_ticket *t)
{
  uint64_t hash = 0;

  for (size_t i = 0; i < t->edit.set_len; i++)
    hash = hash_key (c, &t->edit.set[i]->key, hash);
  for (size_t i = 0; i < t->edit.deleted.len; i++)
    hash = hash_key (c, &t->edit.deleted.item[i], hash);
  return hash;
}

static enum ti_outcome
apply (struct run *r, const struct ti_command *c, struct ti_digest *digest)
{
  struct zp_buf bytes = { .ptr = NULL };
  struct ti_result result;

  ti_command_encode (c, &bytes);
  zp_time before = zp_clock_mono ();
  ti_store_apply (r->store, ++r->index, zp_str_of (&bytes), &result);
  r->counts.apply += zp_clock_mono () - before;
  enum ti_outcome outcome = result.outcome;
  *digest = result.digest;
  ti_result_free (&result);
  zp_buf_free (&bytes);
  return outcome;
}

/* Submits, reviews and numbers T, and frees it.  */
static enum ti_outcome
process_ticket (struct run *r, zp_time now, struct ti_ticket *t)
{
  struct ti_command c = { .kind = TI_SUBMIT, .now = now };
  struct ti_digest digest;

  c.u.submit.ticket = t;
  enum ti_outcome outcome = apply (r, &c, &digest);
  ti_command_clear (&c);
  if (outcome != TI_DONE)
    return outcome;
  c = (struct ti_command){ .kind = TI_REVIEW, .now = now };
  c.u.review.digest = digest;
  ti_text_set (&c.u.review.reviewer, ZP_STR ("ben"));
  apply (r, &c, &digest);
  c = (struct ti_command){ .kind = TI_NUMBER, .now = now };
  c.u.number.digest = digest;
  return apply (r, &c, &digest);
}

static void
draft (struct run *r, struct job *j)
{
  const struct ti_config *c = ti_store_config (r->store);

  write_edit (r, &j->edit);
  fix_limits (&j->edit);
  j->against = c->number;
  struct ti_ticket *t = make_ticket (r, j);
  j->seen_hash = hash_touched (c, t);
  ti_ticket_free (t);
  j->drafted = true;
  /* A later attempt takes less time, two minutes, because the author only
     repeats the edit.  */
  j->at += 20 * ZP_SEC
           + exponential (&r->rng, j->attempts > 0 ? 120
                                   : j->burst      ? 180
                                                   : 600);
}

static void
submit_draft (struct run *r, struct job *j)
{
  struct ti_ticket *t = make_ticket (r, j);
  bool changed = hash_touched (ti_store_config (r->store), t) != j->seen_hash;
  enum ti_outcome outcome = process_ticket (r, j->at, t);

  r->counts.attempts++;
  j->attempts++;
  j->drafted = false;
  if (outcome == TI_DONE)
    {
      r->counts.missed += changed;
      j->at = ZP_NEVER;
      return;
    }
  if (outcome != TI_IN_CONFLICT)
    {
      fprintf (stderr, "bench-conflict: ticket refused: %s\n", j->edit.ptr);
      exit (1);
    }
  if (j->attempts == 1 && changed)
    r->counts.first_true++;
  if (j->attempts == 1 && !changed)
    r->counts.first_false++;
  if (j->attempts == ATTEMPTS)
    {
      r->counts.given_up++;
      j->at = ZP_NEVER;
    }
}

/* Runs.  */

static void
schedule (struct run *r)
{
  const zp_time day = 24 * 3600 * ZP_SEC;
  size_t n = 0;

  for (unsigned d = 0; d < DAYS; d++)
    {
      for (unsigned i = 0; i < STEADY; i++)
        r->job[n++].at
            = d * day + (zp_time) (zp_rng_unit (&r->rng) * (double) day);
      for (unsigned b = 0; b < BURSTS; b++)
        {
          zp_time start
              = d * day + (zp_time) (zp_rng_unit (&r->rng) * (double) day);
          for (unsigned i = 0; i < BURST; i++, n++)
            r->job[n] = (struct job){ .at = start + exponential (&r->rng, 60),
                                      .burst = true };
        }
    }
}

static struct job *
next_job (struct run *r)
{
  struct job *first = &r->job[0];

  for (size_t i = 1; i < JOBS; i++)
    if (r->job[i].at < first->at)
      first = &r->job[i];
  return first->at == ZP_NEVER ? NULL : first;
}

static struct counts
simulate (enum ti_conflict_rule rule)
{
  struct run r = { .store = ti_store_new (rule),
                   .job = zp_alloc (JOBS * sizeof (struct job)) };
  struct job base = { .at = 0 };
  struct job *j;

  zp_rng_seed (&r.rng, 2026);
  write_base (&base.edit);
  if (process_ticket (&r, 0, make_ticket (&r, &base)) != TI_DONE)
    exit (1);
  zp_buf_free (&base.edit);
  r.counts = (struct counts){ .attempts = 0 };
  schedule (&r);
  while ((j = next_job (&r)))
    if (j->drafted)
      submit_draft (&r, j);
    else
      draft (&r, j);
  for (size_t i = 0; i < JOBS; i++)
    zp_buf_free (&r.job[i].edit);
  free (r.job);
  ti_store_free (r.store);
  return r.counts;
}

static void
print (const char *name, double object, double number, const char *unit)
{
  printf ("conflict_%s %.3f %s %.3f\n", name, object, unit, number);
}

int
main (void)
{
  struct counts o = simulate (TI_CONFLICT_BY_OBJECT);
  struct counts n = simulate (TI_CONFLICT_BY_NUMBER);

  print ("false_rate", 100.0 * (double) o.first_false / JOBS,
         100.0 * (double) n.first_false / JOBS, "percent");
  print ("true_rate", 100.0 * (double) o.first_true / JOBS,
         100.0 * (double) n.first_true / JOBS, "percent");
  print ("missed", (double) o.missed, (double) n.missed, "tickets");
  print ("attempts", (double) o.attempts / JOBS, (double) n.attempts / JOBS,
         "per-ticket");
  print ("given_up", 100.0 * (double) o.given_up / JOBS,
         100.0 * (double) n.given_up / JOBS, "percent");
  print ("apply", (double) o.apply / (double) o.attempts,
         (double) n.apply / (double) n.attempts, "us-per-attempt");
  return 0;
}
