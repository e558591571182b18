#include "harness.h"

#include <stdlib.h>

#include "base/rng.h"
#include "ticket/store.h"

/* Two stores that apply the same log.  restore replaces B by a copy of A made
   from a snapshot, so that the tests also cover snapshot and restore.  */
struct pair
{
  struct ti_store *a, *b;
  uint64_t index;
  zp_time now;
};

static void
snapshot (const struct ti_store *s, struct zp_buf *out)
{
  zp_buf_clear (out);
  ti_store_snapshot (s, out);
}

static bool
same_state (const struct ti_store *a, const struct ti_store *b)
{
  struct zp_buf x = { .ptr = NULL }, y = { .ptr = NULL };

  snapshot (a, &x);
  snapshot (b, &y);
  bool same = zp_str_eq (zp_str_of (&x), zp_str_of (&y));
  zp_buf_free (&x);
  zp_buf_free (&y);
  return same;
}

static void
restore (struct pair *p)
{
  struct zp_buf bytes = { .ptr = NULL };
  struct zp_err err = { .text = "" };

  snapshot (p->a, &bytes);
  ti_store_free (p->b);
  p->b = ti_store_restore (zp_str_of (&bytes), TI_CONFLICT_BY_OBJECT, &err);
  if (!p->b)
    printf ("%s\n", err.text);
  CU_ASSERT_PTR_NOT_NULL_FATAL (p->b);
  CU_ASSERT (same_state (p->a, p->b));
  zp_buf_free (&bytes);
}

static struct pair
pair_new (void)
{
  struct pair p = { .a = ti_store_new (TI_CONFLICT_BY_OBJECT) };

  restore (&p);
  return p;
}

static void
pair_free (struct pair *p)
{
  ti_store_free (p->a);
  ti_store_free (p->b);
}

/* Applies C to both stores.  */
static struct ti_result
run (struct pair *p, const struct ti_command *c)
{
  struct zp_buf bytes = { .ptr = NULL };
  struct ti_result x, y;

  ti_command_encode (c, &bytes);
  p->index++;
  ti_store_apply (p->a, p->index, zp_str_of (&bytes), &x);
  ti_store_apply (p->b, p->index, zp_str_of (&bytes), &y);
  CU_ASSERT_EQUAL (x.outcome, y.outcome);
  CU_ASSERT_EQUAL (x.number, y.number);
  ti_result_free (&y);
  zp_buf_free (&bytes);
  return x;
}

static struct ti_result
submit (struct pair *p, const char *author, unsigned against, const char *edit)
{
  struct zp_buf text = { .ptr = NULL };
  struct zp_report r = { .count = 0 };
  struct ti_command c = { .kind = TI_SUBMIT, .now = p->now };

  zp_buf_printf (&text,
                 "{\"title\":\"t\",\"author\":\"%s\",\"against\":%u,%s}",
                 author, against, edit);
  c.u.submit.ticket = ti_ticket_parse (zp_str_of (&text), &r);
  if (r.count > 0)
    printf ("%s\n", r.lines.ptr);
  CU_ASSERT_PTR_NOT_NULL_FATAL (c.u.submit.ticket);
  struct ti_result out = run (p, &c);
  ti_command_clear (&c);
  zp_buf_free (&text);
  return out;
}

static struct ti_result
review (struct pair *p, const struct ti_digest *d, const char *reviewer)
{
  struct ti_command c = { .kind = TI_REVIEW, .now = p->now };

  c.u.review.digest = *d;
  CU_ASSERT (ti_name_parse (zp_str_from (reviewer), &c.u.review.reviewer));
  return run (p, &c);
}

static struct ti_result
number (struct pair *p, const struct ti_digest *d, uint64_t claim)
{
  struct ti_command c = { .kind = TI_NUMBER, .now = p->now };

  c.u.number = (struct ti_number_command){ .digest = *d, .number = claim };
  return run (p, &c);
}

/* Submits a ticket by ana and has ben review it.  */
static struct ti_digest
reviewed (struct pair *p, unsigned against, const char *edit)
{
  struct ti_result r = submit (p, "ana", against, edit);
  struct ti_digest d = r.digest;

  CU_ASSERT_EQUAL (r.outcome, TI_DONE);
  ti_result_free (&r);
  r = review (p, &d, "ben");
  CU_ASSERT_EQUAL (r.state, TI_STATE_REVIEWED);
  ti_result_free (&r);
  return d;
}

/* Submits, reviews and numbers EDIT.  Returns its number, 0 when it got
   none.  */
static uint64_t
bring_into_force (struct pair *p, unsigned against, const char *edit)
{
  struct ti_digest d = reviewed (p, against, edit);
  struct ti_result r = number (p, &d, 0);
  uint64_t n = r.number;

  ti_result_free (&r);
  return n;
}

#define DRAIN(name, server)                                                   \
  "\"set\":{\"drain/" name "\":{\"target\":\"server/" server "\"}}"

static bool
has_mistake (const struct ti_result *r, const char *text)
{
  return r->errors.count > 0 && HAS_TEXT (r->errors.lines.ptr, text);
}

/* A ticket needs a review before it gets a number.  */
static void
test_ticket_states (void)
{
  struct pair p = pair_new ();
  struct ti_result r = submit (&p, "ana", 0, DRAIN ("a", "s1"));
  struct ti_digest d = r.digest;

  CU_ASSERT_EQUAL (r.state, TI_STATE_SUBMITTED);
  CU_ASSERT_PTR_NULL (r.change);
  ti_result_free (&r);
  r = number (&p, &d, 0);
  CU_ASSERT_EQUAL (r.outcome, TI_REFUSED);
  CU_ASSERT_EQUAL (r.state, TI_STATE_SUBMITTED);
  CU_ASSERT (has_mistake (&r, "waits for a review by another operator"));
  ti_result_free (&r);
  r = review (&p, &d, "ben");
  CU_ASSERT_EQUAL (r.state, TI_STATE_REVIEWED);
  ti_result_free (&r);
  restore (&p);
  r = number (&p, &d, 0);
  CU_ASSERT_EQUAL (r.state, TI_STATE_NUMBERED);
  CU_ASSERT_EQUAL (r.number, 1);
  CU_ASSERT_PTR_NOT_NULL_FATAL (r.change);
  CU_ASSERT_EQUAL (r.change->u.edit.number, 1);
  CU_ASSERT_EQUAL (r.change->u.edit.edit.set_len, 1);
  ti_result_free (&r);
  CU_ASSERT_EQUAL (ti_store_config (p.a)->number, 1);
  CU_ASSERT (same_state (p.a, p.b));
  pair_free (&p);
}

/* Guards against a ticket that only its author has reviewed.  */
static void
test_author_cannot_review (void)
{
  struct pair p = pair_new ();
  struct ti_result r = submit (&p, "ana", 0, DRAIN ("a", "s1"));
  struct ti_digest d = r.digest;

  ti_result_free (&r);
  r = review (&p, &d, "ana");
  CU_ASSERT_EQUAL (r.outcome, TI_REFUSED);
  CU_ASSERT_EQUAL (r.state, TI_STATE_SUBMITTED);
  CU_ASSERT (has_mistake (&r, "allowed: another operator"));
  ti_result_free (&r);
  r = number (&p, &d, 0);
  CU_ASSERT_EQUAL (r.outcome, TI_REFUSED);
  CU_ASSERT_EQUAL (ti_store_config (p.a)->number, 0);
  ti_result_free (&r);
  pair_free (&p);
}

/* Three tickets claim the same number: the first gets it, the others are in
   conflict, with the same result each time.  */
static void
test_race_for_one_number (void)
{
  struct pair p = pair_new ();
  struct ti_digest x
      = reviewed (&p, 0, "\"number\":1," DRAIN ("shared", "s1"));
  struct ti_digest y
      = reviewed (&p, 0, "\"number\":1," DRAIN ("shared", "s2"));
  struct ti_digest z = reviewed (&p, 0, "\"number\":1," DRAIN ("z", "s3"));
  struct ti_result r = number (&p, &x, 1);

  CU_ASSERT_EQUAL (r.number, 1);
  ti_result_free (&r);
  for (unsigned again = 0; again < 3; again++)
    {
      r = number (&p, &y, 1);
      CU_ASSERT_EQUAL (r.outcome, TI_IN_CONFLICT);
      CU_ASSERT_EQUAL (r.state, TI_STATE_CONFLICT);
      CU_ASSERT_EQUAL (r.conflict.number, 1);
      CU_ASSERT (ti_digest_eq (&r.conflict.digest, &x));
      CU_ASSERT_EQUAL (r.conflict.objects.len, 1);
      ti_result_free (&r);
      restore (&p);
    }
  /* No object in common, but the number is taken.  */
  r = number (&p, &z, 0);
  CU_ASSERT_EQUAL (r.outcome, TI_IN_CONFLICT);
  CU_ASSERT_EQUAL (r.conflict.number, 1);
  CU_ASSERT_EQUAL (r.conflict.objects.len, 0);
  ti_result_free (&r);
  CU_ASSERT_EQUAL (ti_store_config (p.a)->number, 1);
  pair_free (&p);
}

/* A number claimed in the command must be the next one.  When it is taken, the
   ticket stays pending.  */
static void
test_number_claimed_by_command (void)
{
  struct pair p = pair_new ();
  struct ti_digest x = reviewed (&p, 0, DRAIN ("x", "s1"));
  struct ti_digest y = reviewed (&p, 0, DRAIN ("y", "s2"));
  struct ti_result r = number (&p, &y, 2);

  CU_ASSERT_EQUAL (r.outcome, TI_REFUSED);
  CU_ASSERT (has_mistake (&r, "found 2, allowed: 1, the next number"));
  ti_result_free (&r);
  r = number (&p, &x, 1);
  CU_ASSERT_EQUAL (r.number, 1);
  ti_result_free (&r);
  r = number (&p, &y, 1);
  CU_ASSERT_EQUAL (r.outcome, TI_IN_CONFLICT);
  CU_ASSERT (ti_digest_eq (&r.conflict.digest, &x));
  ti_result_free (&r);
  /* The ticket itself claims no number and may take the next one.  */
  r = number (&p, &y, 0);
  CU_ASSERT_EQUAL (r.number, 2);
  ti_result_free (&r);
  pair_free (&p);
}

/* An operator who did not get the answer sends the request again.  Guards
   against applying a ticket twice.  */
static void
test_resend (void)
{
  struct pair p = pair_new ();
  struct ti_digest d = reviewed (&p, 0, DRAIN ("a", "s1"));
  struct ti_result r = number (&p, &d, 0);

  ti_result_free (&r);
  CU_ASSERT_EQUAL (bring_into_force (&p, 1, DRAIN ("a", "s2")), 2);
  restore (&p);
  r = submit (&p, "ana", 0, DRAIN ("a", "s1"));
  CU_ASSERT_EQUAL (r.outcome, TI_DONE);
  CU_ASSERT_EQUAL (r.number, 1);
  CU_ASSERT (ti_digest_eq (&r.digest, &d));
  ti_result_free (&r);
  r = review (&p, &d, "cem");
  CU_ASSERT_EQUAL (r.number, 1);
  ti_result_free (&r);
  r = number (&p, &d, 0);
  CU_ASSERT_EQUAL (r.number, 1);
  CU_ASSERT_PTR_NULL (r.change);
  ti_result_free (&r);
  CU_ASSERT_EQUAL (ti_store_config (p.a)->number, 2);
  pair_free (&p);
}

/* Guards against a ticket that overwrites a change that its author did not
   know of.  */
static void
test_conflict_by_object (void)
{
  struct pair p = pair_new ();
  struct ti_digest x, y, z;
  struct ti_result r;

  /* Two creations of the same object.  */
  x = reviewed (&p, 0, DRAIN ("new", "s1"));
  y = reviewed (&p, 0, DRAIN ("new", "s2"));
  r = number (&p, &x, 0);
  CU_ASSERT_EQUAL (r.number, 1);
  ti_result_free (&r);
  r = number (&p, &y, 0);
  CU_ASSERT_EQUAL (r.outcome, TI_IN_CONFLICT);
  CU_ASSERT (ti_digest_eq (&r.conflict.digest, &x));
  ti_result_free (&r);

  /* An object is changed by an author who did not see its deletion.  */
  y = reviewed (&p, 1, DRAIN ("new", "s3"));
  z = reviewed (&p, 1,
                "\"delete\":[\"drain/new\"],\"set\":{\"drain/more\":"
                "{\"target\":\"server/s\"}}");
  x = reviewed (&p, 1, "\"delete\":[\"drain/new\"]");
  r = number (&p, &x, 0);
  CU_ASSERT_EQUAL (r.number, 2);
  ti_result_free (&r);
  r = number (&p, &y, 0);
  CU_ASSERT_EQUAL (r.outcome, TI_IN_CONFLICT);
  CU_ASSERT_EQUAL (r.conflict.number, 2);
  ti_result_free (&r);
  r = number (&p, &z, 0); /* deleted twice */
  CU_ASSERT_EQUAL (r.outcome, TI_IN_CONFLICT);
  ti_result_free (&r);

  /* A ticket about other objects is not in conflict.  */
  CU_ASSERT_EQUAL (bring_into_force (&p, 0, DRAIN ("other", "s1")), 3);
  pair_free (&p);
}

/* A refused ticket leaves the configuration unchanged, byte for byte.  */
static void
test_refused_changes_nothing (void)
{
  struct pair p = pair_new ();
  struct zp_buf before = { .ptr = NULL }, after = { .ptr = NULL };
  const char *const region = "\"set\":{\"region/w\":{\"latency_ms\":{}}}";
  struct ti_result r;

  CU_ASSERT_EQUAL (bring_into_force (&p, 0, region), 1);
  struct ti_digest d
      = reviewed (&p, 1,
                  "\"set\":{\"drain/r\":{\"target\":\"region/w\"},"
                  "\"drain/s\":{\"target\":\"server/s\"}}");
  CU_ASSERT_EQUAL (bring_into_force (&p, 1, "\"delete\":[\"region/w\"]"), 2);
  ti_config_encode (ti_store_config (p.a), &before);

  r = submit (&p, "ana", 2, "\"set\":{\"drain/r\":{\"target\":\"region/w\"}}");
  CU_ASSERT_EQUAL (r.outcome, TI_REFUSED);
  CU_ASSERT (has_mistake (&r, "an existing region"));
  struct ti_digest refused = r.digest;
  ti_result_free (&r);
  ti_store_find (p.a, &refused, &r);
  CU_ASSERT_EQUAL (r.outcome, TI_UNKNOWN);
  ti_result_free (&r);

  /* The ticket was valid when it was submitted but is not when it is numbered.
     The refusal is final, and repeating the command gives the same errors.  */
  for (unsigned again = 0; again < 2; again++)
    {
      r = number (&p, &d, 0);
      CU_ASSERT_EQUAL (r.outcome, TI_REFUSED);
      CU_ASSERT_EQUAL (r.state, TI_STATE_REFUSED);
      CU_ASSERT (has_mistake (&r, "an existing region"));
      CU_ASSERT_PTR_NULL (r.change);
      ti_result_free (&r);
      restore (&p);
    }
  r = (struct ti_result){ .outcome = TI_DONE };
  ti_store_apply (p.a, 99, ZP_STR ("{\"command\":\"no such\"}"), &r);
  CU_ASSERT_EQUAL (r.outcome, TI_REFUSED);
  ti_result_free (&r);
  ti_config_encode (ti_store_config (p.a), &after);
  CU_ASSERT (zp_str_eq (zp_str_of (&before), zp_str_of (&after)));
  zp_buf_free (&before);
  zp_buf_free (&after);
  pair_free (&p);
}

/* Guards against pending tickets without a limit, and against a store that
   stays full of tickets that are never numbered.  */
static void
test_pending_limit (void)
{
  struct pair p = pair_new ();
  struct ti_result r;
  char edit[100];

  for (unsigned i = 0; i <= TI_PENDING_MAX; i++)
    {
      snprintf (edit, sizeof edit,
                "\"set\":{\"drain/d%u\":{\"target\":\"server/s\"}}", i);
      r = submit (&p, "ana", 0, edit);
      CU_ASSERT_EQUAL (r.outcome, i < TI_PENDING_MAX ? TI_DONE : TI_FULL);
      ti_result_free (&r);
    }
  /* Pending tickets are dropped after their time to live.  */
  p.now = TI_PENDING_TTL + 1;
  r = submit (&p, "ana", 0, edit);
  CU_ASSERT_EQUAL (r.outcome, TI_DONE);
  ti_result_free (&r);
  pair_free (&p);
}

/* A record is kept while it is younger than TI_RECORD_TTL or among the last
   TI_RECORDS_MIN.  */
static void
test_record_expiry (void)
{
  struct pair p = pair_new ();
  struct ti_digest first = reviewed (&p, 0, DRAIN ("first", "s"));
  struct ti_result r = number (&p, &first, 0);
  char edit[100];

  ti_result_free (&r);
  for (unsigned i = 0; i < TI_RECORDS_MIN; i++)
    {
      snprintf (edit, sizeof edit,
                "\"set\":{\"drain/d%u\":{\"target\":\"server/s%u\"}}", i % 50,
                i);
      CU_ASSERT_FATAL (bring_into_force (&p, i + 1, edit) == i + 2);
    }
  ti_store_find (p.a, &first, &r);
  CU_ASSERT_EQUAL (r.number, 1); /* over the count, but within the time */
  restore (&p);
  p.now = TI_RECORD_TTL + 1;
  r = submit (&p, "ana", 0, DRAIN ("first", "s"));
  CU_ASSERT_EQUAL (r.outcome, TI_IN_CONFLICT); /* dropped, so checked again */
  ti_result_free (&r);
  CU_ASSERT (same_state (p.a, p.b));
  pair_free (&p);
}

/* A step above the cap is refused, and so is a step that was proposed
   twice.  */
static void
test_steps_of_a_shift (void)
{
  struct pair p = pair_new ();
  struct ti_command c = { .kind = TI_STEP };
  struct ti_result r;

  CU_ASSERT_EQUAL (
      bring_into_force (
          &p, 0,
          "\"set\":{\"region/r\":{\"latency_ms\":{}},\"failure_domain/f\":"
          "{\"region\":\"r\",\"entry_networks\":[]},"
          "\"site/a\":{\"failure_domain\":\"f\"},"
          "\"site/b\":{\"failure_domain\":\"f\"},"
          "\"shift/s\":{\"from\":\"a\",\"to\":\"b\",\"share\":1,"
          "\"cap_per_minute\":0.1}}"),
      1);
  ti_text_set (&c.u.step.shift, ZP_STR ("s"));
  c.u.step.after = 100001;
  r = run (&p, &c);
  CU_ASSERT_EQUAL (r.outcome, TI_REFUSED);
  ti_result_free (&r);
  c.u.step.after = 100000;
  r = run (&p, &c);
  CU_ASSERT_EQUAL (r.outcome, TI_DONE);
  CU_ASSERT_PTR_NOT_NULL (r.change);
  ti_result_free (&r);
  restore (&p);
  r = run (&p, &c); /* proposed twice */
  CU_ASSERT_EQUAL (r.outcome, TI_REFUSED);
  ti_result_free (&r);
  CU_ASSERT_EQUAL (ti_store_config (p.a)->number, 1);
  pair_free (&p);
}

/* The undo edits survive a snapshot and rebuild earlier configurations.  */
static void
test_earlier_configurations (void)
{
  struct pair p = pair_new ();
  struct ti_config *c;
  struct ti_diff d;

  bring_into_force (&p, 0, DRAIN ("a", "s1"));
  bring_into_force (&p, 1, DRAIN ("a", "s2"));
  bring_into_force (&p, 2, "\"delete\":[\"drain/a\"]");
  restore (&p);
  c = ti_store_config_at (p.b, 1);
  CU_ASSERT_PTR_NOT_NULL_FATAL (c);
  CU_ASSERT_EQUAL (c->number, 1);
  ti_config_diff (c, ti_store_config (p.b), &d);
  CU_ASSERT_EQUAL_FATAL (d.len, 1);
  CU_ASSERT (zp_str_eq (ti_text_str (&d.item[0].before->u.drain.target.name),
                        ZP_STR ("s1")));
  CU_ASSERT_PTR_NULL (d.item[0].after);
  ti_diff_free (&d);
  ti_config_free (c);
  CU_ASSERT_PTR_NULL (ti_store_config_at (p.b, 4));
  pair_free (&p);
}

/* Applies random commands and restores B at random points.  Guards against
   state that is missing from the snapshot.  */
static void
test_restored_copy_stays_equal (void)
{
  struct pair p = pair_new ();
  struct ti_digest known[32] = { { .hex = "" } };
  _Alignas(16) struct zp_rng rng;

  zp_rng_seed (&rng, 3);
  for (unsigned i = 0; i < 3000; i++)
    {
      struct ti_digest *d = &known[zp_rng_below (&rng, 32)];
      struct ti_result r;
      char edit[100];
      unsigned name = zp_rng_below (&rng, 10);
      uint64_t at = ti_store_config (p.a)->number;
      unsigned back = zp_rng_below (&rng, 3);

      p.now += zp_rng_below (&rng, 2000) * ZP_SEC;
      snprintf (edit, sizeof edit,
                zp_rng_below (&rng, 4) == 0
                    ? "\"delete\":[\"drain/d%u\"]"
                    : "\"set\":{\"drain/d%u\":{\"target\":\"server/s%u\"}}",
                name, i);
      switch (zp_rng_below (&rng, 3))
        {
        case 0:
          r = submit (&p, "ana", (unsigned) (at > back ? at - back : 0), edit);
          *d = r.digest;
          break;
        case 1:
          r = review (&p, d, zp_rng_below (&rng, 5) == 0 ? "ana" : "ben");
          break;
        default:
          r = number (&p, d, zp_rng_below (&rng, 4) == 0 ? at + 1 : 0);
          break;
        }
      ti_result_free (&r);
      if (zp_rng_below (&rng, 50) == 0)
        restore (&p);
    }
  CU_ASSERT (ti_store_config (p.a)->number > 100);
  CU_ASSERT (same_state (p.a, p.b));
  pair_free (&p);
}

/* Truncated snapshots are refused.  */
static void
test_damaged_snapshots (void)
{
  struct pair p = pair_new ();
  struct zp_buf bytes = { .ptr = NULL };
  struct zp_err err;

  bring_into_force (&p, 0, DRAIN ("a", "s1"));
  struct ti_digest d = reviewed (&p, 1, DRAIN ("b", "s1"));
  (void) d;
  snapshot (p.a, &bytes);
  for (size_t n = 0; n < bytes.len - 1; n++)
    {
      struct zp_str cut = { .ptr = bytes.ptr, .len = n };
      CU_ASSERT_PTR_NULL (ti_store_restore (cut, TI_CONFLICT_BY_OBJECT, &err));
    }
  zp_buf_free (&bytes);
  pair_free (&p);
}

static const struct zp_test tests[] = {
  { "states of a ticket", test_ticket_states },
  { "an author cannot review", test_author_cannot_review },
  { "race for one number", test_race_for_one_number },
  { "a number claimed by the command", test_number_claimed_by_command },
  { "resend", test_resend },
  { "conflict by object", test_conflict_by_object },
  { "a refused ticket changes nothing", test_refused_changes_nothing },
  { "limit of pending tickets", test_pending_limit },
  { "expiry of records", test_record_expiry },
  { "steps of a shift", test_steps_of_a_shift },
  { "earlier configurations", test_earlier_configurations },
  { "a restored copy stays equal", test_restored_copy_stays_equal },
  { "damaged snapshots", test_damaged_snapshots },
};

TEST_MAIN ("ticket-store", tests)
