#include "harness.h"
#include "seeds.h"

#include <math.h>
#include <stdlib.h>

#include "base/log.h"
#include "control/shifts.h"

#define S ZP_SEC

/* Within any such time the steps add up to at most the cap: the minute of the
   cap, and the time for which callers may use an old lookup.  */
#define WINDOW (60 * S + ZP_LOOKUP_TTL)

#define STEPS_MAX 1000

/* One control daemon with the shift "s" from site "a" to site "b".  */
struct fixture
{
  struct ti_config *config;
  struct ct_shifts shifts;
  struct ct_reports reports;
  struct lg_status status;
  uint64_t proposals;
  zp_time at[STEPS_MAX]; /* of the steps made */
  double change[STEPS_MAX];
  size_t steps;
};

static const struct ti_slot *
shift_slot (const struct fixture *f)
{
  size_t at = 0;

  return ti_config_next (f->config, TI_SHIFT, &at);
}

/* Applies the next numbered ticket, which sets the objects of SET.  */
static void
edit (struct fixture *f, const char *set)
{
  struct zp_buf text = { .ptr = NULL };
  struct zp_err err;

  zp_buf_printf (&text,
                 "{\"index\":%llu,\"time\":0,\"number\":%llu,\"digest\":"
                 "\"%064d\",\"set\":{%s}}",
                 (unsigned long long) f->config->index + 1,
                 (unsigned long long) f->config->number + 1, 0, set);
  struct ti_change *change = ti_change_decode (zp_str_of (&text), &err);
  CU_ASSERT_PTR_NOT_NULL_FATAL (change);
  CU_ASSERT_FATAL (ti_config_apply (f->config, change, &err));
  ti_change_free (change);
  zp_buf_free (&text);
}

static void
set_shift (struct fixture *f, const char *share)
{
  char text[160];

  snprintf (text, sizeof text,
            "\"shift/s\":{\"from\":\"a\",\"to\":\"b\",\"share\":%s,"
            "\"cap_per_minute\":0.08}",
            share);
  edit (f, text);
}

static void
become_leader (struct fixture *f, uint64_t term, zp_time now)
{
  f->status = (struct lg_status){ .role = LG_LEADER,
                                  .lease = true,
                                  .term = term,
                                  .last_index = 1,
                                  .applied = 1 };
  ct_shifts_update_leader (&f->shifts, &f->status, now);
}

static void
set_up (struct fixture *f, const char *share)
{
  zp_log_open ("test", ZP_LOG_ERR, STDERR_FILENO);
  *f = (struct fixture){ .config = ti_config_new () };
  edit (f, "\"region/r\":{\"latency_ms\":{}},"
           "\"failure_domain/da\":{\"region\":\"r\",\"entry_networks\":"
           "[\"10.1.0.0/16\"]},"
           "\"failure_domain/db\":{\"region\":\"r\",\"entry_networks\":"
           "[\"10.2.0.0/16\"]},"
           "\"site/a\":{\"failure_domain\":\"da\"},"
           "\"site/b\":{\"failure_domain\":\"db\"}");
  set_shift (f, share);
  become_leader (f, 1, 0);
}

static void
tear_down (struct fixture *f)
{
  ct_shifts_free (&f->shifts);
  ti_config_free (f->config);
}

static struct tk_follow_report
report_of (uint64_t daemon, const char *domain)
{
  struct tk_follow_report r = {
    .daemon = daemon, .servers = 8, .slots = 800, .free = 700, .warm = 800
  };

  zp_str_copy (r.failure_domain, sizeof r.failure_domain,
               zp_str_from (domain));
  return r;
}

/* Good reports of both sites.  */
static void
report_both (struct fixture *f, zp_time now)
{
  struct tk_follow_report a = report_of (1, "da"), b = report_of (2, "db");

  ct_reports_add (&f->reports, now, &a, true);
  ct_reports_add (&f->reports, now, &b, true);
}

static bool
decide (struct fixture *f, zp_time now, struct ti_step_command *step)
{
  ct_shifts_update_leader (&f->shifts, &f->status, now);
  return ct_shifts_decide (&f->shifts, f->config, shift_slot (f), &f->reports,
                           now, step);
}

static const char *
reason (const struct fixture *f)
{
  return ct_shifts_reason (&f->shifts, &shift_slot (f)->key.name);
}

/* Commits and applies STEP at NOW.  */
static void
commit (struct fixture *f, const struct ti_step_command *step, zp_time now)
{
  struct ti_change change
      = { .kind = TI_CHANGE_STEP,
          .index = f->config->index + 1,
          .u.step = { .shift = step->shift, .moved = step->after } };

  ct_shifts_proposed (&f->shifts, &step->shift, ++f->proposals);
  CU_ASSERT_FATAL (ti_config_apply (f->config, &change, NULL));
  ct_shifts_applied (&f->shifts, &change, f->status.term, now);
  CU_ASSERT (ct_shifts_answered (&f->shifts, f->proposals));
  CU_ASSERT_FATAL (f->steps < STEPS_MAX);
  f->at[f->steps] = now;
  f->change[f->steps++]
      = fabs ((double) step->after - step->before) / TI_SHARE_ONE;
}

/* Decides and commits once a second, with good reports of both sites.  */
static void
run (struct fixture *f, zp_time from, zp_time to)
{
  struct ti_step_command step;

  for (zp_time now = from; now < to; now += S)
    {
      report_both (f, now);
      if (decide (f, now, &step))
        commit (f, &step, now);
    }
}

static double
moved (const struct fixture *f)
{
  return (double) shift_slot (f)->moved / TI_SHARE_ONE;
}

/* Whether the steps of no WINDOW exceed the cap.  */
static bool
within_cap (const struct fixture *f)
{
  for (size_t i = 0; i < f->steps; i++)
    {
      double sum = 0;
      for (size_t k = i; k < f->steps && f->at[k] - f->at[i] <= WINDOW; k++)
        sum += f->change[k];
      if (sum > 0.08 + 1e-9)
        return false;
    }
  return true;
}

/* Guards against a step by a member that may no longer be the leader, or that
   has not applied all earlier steps yet.  */
static void
test_no_step_without_lease (void)
{
  struct fixture f;
  struct ti_step_command step;

  set_up (&f, "0.5");
  report_both (&f, 10 * S);
  f.status.lease = false;
  CU_ASSERT (!decide (&f, 10 * S, &step));
  CU_ASSERT_STRING_EQUAL (reason (&f), "not the leader");
  f.status = (struct lg_status){
    .role = LG_LEADER, .lease = true, .term = 2, .last_index = 9, .applied = 8
  };
  CU_ASSERT (!decide (&f, 10 * S, &step));
  f.status.applied = 9;
  CU_ASSERT (decide (&f, 10 * S, &step));
  f.status.role = LG_FOLLOWER;
  CU_ASSERT (!decide (&f, 10 * S, &step));
  tear_down (&f);
}

/* Guards against a second step while an earlier proposal has no answer, and
   against a shift that stays blocked after that proposal was lost.  */
static void
test_one_pending_step (void)
{
  struct fixture f;
  struct ti_step_command step;

  set_up (&f, "0.5");
  report_both (&f, 10 * S);
  CU_ASSERT (decide (&f, 10 * S, &step));
  ct_shifts_proposed (&f.shifts, &step.shift, 7);
  CU_ASSERT (!decide (&f, 11 * S, &step));
  CU_ASSERT (!ct_shifts_answered (&f.shifts, 6));
  CU_ASSERT (ct_shifts_answered (&f.shifts, 7));
  CU_ASSERT (decide (&f, 12 * S, &step));
  tear_down (&f);
}

static bool
cap_holds (uint32_t seed)
{
  struct fixture f;
  struct zp_rng rng;
  zp_time now = S;

  zp_rng_seed (&rng, seed);
  set_up (&f, "1");
  for (uint64_t term = 2; term < 12; term++)
    {
      zp_time end = now + (zp_time) zp_rng_below (&rng, 200) * S;
      run (&f, now, end);
      TRACE ("term %llu ends at %lld s, moved %f\n",
             (unsigned long long) term - 1, (long long) (end / S), moved (&f));
      now = end + 1;
      if (chance (&rng, 0.5))
        ct_shifts_restored (&f.shifts, f.config, term - 1, now);
      become_leader (&f, term, now);
    }
  run (&f, now, now + 200 * S);
  bool ok = moved (&f) > 0 && within_cap (&f);
  tear_down (&f);
  return ok;
}

/* Guards against moving more than the cap in a window (P1): through changes of
   the leader at any time, with and without a snapshot, or through rounding.
 */
static void
test_cap_over_leader_changes (void)
{
  CU_ASSERT_EQUAL (seeds_run (cap_holds, 200), 0);
}

/* Guards against a step beyond the cap by a leader that restored a snapshot:
   the snapshot has the share of the shift, but not its latest steps.  */
static void
test_restore_uses_cap (void)
{
  struct fixture f;
  struct ti_step_command step;

  set_up (&f, "0.5");
  ct_shifts_restored (&f.shifts, f.config, 1, 10 * S);
  become_leader (&f, 2, 11 * S);
  report_both (&f, 11 * S + WINDOW);
  CU_ASSERT (!decide (&f, 11 * S + WINDOW, &step));
  CU_ASSERT_STRING_EQUAL (reason (&f), "cap of the shift");
  report_both (&f, 11 * S + ST_SHIFT_WINDOW + 1);
  CU_ASSERT (decide (&f, 11 * S + ST_SHIFT_WINDOW + 1, &step));
  tear_down (&f);
}

/* Guards against moving more traffic to a site that does not report, is
   failing or is full (P2), and against dating a report by its arrival: one
   that was forwarded late does not count as new.  */
static void
test_receiving_site (void)
{
  struct fixture f;
  struct ti_step_command step;
  struct tk_follow_report b = report_of (2, "db");

  set_up (&f, "0.5");
  CU_ASSERT (!decide (&f, 10 * S, &step));
  CU_ASSERT (HAS_TEXT (reason (&f), "does not report"));
  report_both (&f, 10 * S);
  CU_ASSERT (!decide (&f, 10 * S + ST_SHIFT_REPORT_TTL + 1, &step));
  CU_ASSERT (HAS_TEXT (reason (&f), "does not report"));
  b.age = ST_SHIFT_REPORT_TTL + 1;
  ct_reports_add (&f.reports, 20 * S, &b, true);
  CU_ASSERT (!decide (&f, 20 * S, &step));
  CU_ASSERT (HAS_TEXT (reason (&f), "does not report"));
  b.age = 0;
  b.free = 0;
  ct_reports_add (&f.reports, 20 * S, &b, true);
  CU_ASSERT (!decide (&f, 20 * S, &step));
  CU_ASSERT (HAS_TEXT (reason (&f), "no headroom"));
  b.free = 700;
  b.ejected = b.servers / CT_SHIFT_FAILING_DIVISOR;
  ct_reports_add (&f.reports, 20 * S, &b, true);
  CU_ASSERT (!decide (&f, 20 * S, &step));
  CU_ASSERT (HAS_TEXT (reason (&f), "fails"));
  b.ejected = 0;
  ct_reports_add (&f.reports, 20 * S, &b, true);
  CU_ASSERT (decide (&f, 20 * S, &step));
  tear_down (&f);
}

/* Guards against a shift back that exceeds the cap, that checks the wrong site
   as the receiver, or that does not end at 0.  */
static void
test_shift_back (void)
{
  struct fixture f;
  struct ti_step_command step;
  struct tk_follow_report a = report_of (1, "da");

  set_up (&f, "0.1");
  run (&f, S, 300 * S);
  CU_ASSERT_EQUAL (shift_slot (&f)->moved, TI_SHARE_ONE / 10);
  CU_ASSERT_STRING_EQUAL (reason (&f), "done");
  set_shift (&f, "0");
  CU_ASSERT_EQUAL (shift_slot (&f)->moved, TI_SHARE_ONE / 10);
  report_both (&f, 300 * S);
  a.free = 0;
  ct_reports_add (&f.reports, 300 * S, &a, true);
  CU_ASSERT (!decide (&f, 300 * S, &step));
  CU_ASSERT (HAS_TEXT (reason (&f), "no headroom"));
  run (&f, 301 * S, 600 * S);
  CU_ASSERT_EQUAL (shift_slot (&f)->moved, 0);
  CU_ASSERT_STRING_EQUAL (reason (&f), "done");
  CU_ASSERT (within_cap (&f));
  tear_down (&f);
}

/* Guards against a leader that knows only the reports of its own followers, a
   report that members forward to each other without end, and an old report
   that replaces a newer one.  */
static void
test_forwarded_reports (void)
{
  static struct ct_reports r;
  struct zp_buf out = { .ptr = NULL };
  struct tk_follow_report b = report_of (2, "db");

  b.age = 100 * ZP_MS;
  ct_reports_add (&r, 10 * S, &b, true);
  CU_ASSERT (ct_reports_put_unsent (&r, 11 * S, &out));
  CU_ASSERT (!ct_reports_put_unsent (&r, 11 * S, &out));

  struct fixture f;
  struct ti_step_command step;
  set_up (&f, "0.5");
  CU_ASSERT (ct_reports_read (&f.reports, 50 * S, zp_str_of (&out)));
  CU_ASSERT_EQUAL (f.reports.len, 1);
  CU_ASSERT_EQUAL (f.reports.item[0].made_at, 50 * S - 1100 * ZP_MS);
  CU_ASSERT_STRING_EQUAL (f.reports.item[0].report.failure_domain, "db");
  CU_ASSERT (decide (&f, 50 * S, &step));
  b.age = 5 * S;
  b.free = 0;
  ct_reports_add (&f.reports, 50 * S, &b, true);
  CU_ASSERT (decide (&f, 50 * S, &step));
  zp_buf_clear (&out);
  CU_ASSERT (!ct_reports_put_unsent (&f.reports, 50 * S, &out));
  zp_buf_free (&out);
  tear_down (&f);
}

static const struct zp_test tests[] = {
  { "no step without lease", test_no_step_without_lease },
  { "no step while one is pending", test_one_pending_step },
  { "cap holds over changes of the leader", test_cap_over_leader_changes },
  { "a restore counts as the whole cap", test_restore_uses_cap },
  { "state of the receiving site", test_receiving_site },
  { "shift back to a smaller share", test_shift_back },
  { "reports are forwarded to the leader", test_forwarded_reports },
};

TEST_MAIN ("control-shifts", tests)
