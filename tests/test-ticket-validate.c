#include "harness.h"

#include <dirent.h>
#include <stdlib.h>

#include "base/settings.h"
#include "ticket/validate.h"

static struct ti_ticket *
read_ticket (const char *path)
{
  struct zp_buf text = { .ptr = NULL };
  struct zp_report r = { .count = 0 };
  struct zp_err err;

  CU_ASSERT_FATAL (zp_file_read (path, &text, ZP_BODY_MAX, &err));
  struct ti_ticket *t = ti_ticket_parse (zp_str_of (&text), &r);
  if (!t)
    printf ("%s: %s\n", path, r.lines.ptr);
  CU_ASSERT_PTR_NOT_NULL_FATAL (t);
  zp_buf_free (&text);
  return t;
}

static void
put (struct ti_config *c, const struct ti_ticket *t)
{
  const struct ti_change change = {
    .kind = TI_CHANGE_EDIT,
    .index = c->index + 1,
    .u.edit = { .number = c->number + 1, .edit = t->edit },
  };

  CU_ASSERT_FATAL (ti_config_apply (c, &change, NULL));
}

static struct ti_config *
example (void)
{
  struct ti_config *c = ti_config_new ();
  struct ti_ticket *t
      = read_ticket ("conf/tickets/mend-exchange/01-first.json");

  put (c, t);
  ti_ticket_free (t);
  return c;
}

/* Whether validating the edit TEXT against C reports exactly COUNT mistakes,
   MISTAKE among them.  */
static bool
reports (const struct ti_config *c, const char *text, size_t count,
         const char *mistake)
{
  struct zp_buf whole = { .ptr = NULL };
  struct zp_report r = { .count = 0 };

  zp_buf_printf (
      &whole, "{\"title\":\"t\",\"author\":\"ana\",\"against\":1,%s}", text);
  struct ti_ticket *t = ti_ticket_parse (zp_str_of (&whole), &r);
  CU_ASSERT_PTR_NOT_NULL_FATAL (t);
  bool valid = ti_validate (c, t, &r);
  bool ok = valid == (count == 0) && r.count == count
            && (count == 0 || HAS_TEXT (r.lines.ptr, mistake));
  if (!ok)
    printf ("%s: %zu mistakes: %s\n", text, r.count,
            r.lines.ptr ? r.lines.ptr : "");
  ti_ticket_free (t);
  zp_report_free (&r);
  zp_buf_free (&whole);
  return ok;
}

static int
by_name (const struct dirent **a, const struct dirent **b)
{
  return strcmp ((*a)->d_name, (*b)->d_name);
}

/* Applies the example tickets of FOLDER in order and checks that each is valid
   after those before it.  Guards against examples that operators cannot
   use.  */
static void
check_folder (const char *folder)
{
  struct dirent **names;
  struct ti_config *c = ti_config_new ();
  int n = scandir (folder, &names, NULL, by_name);
  unsigned seen = 0;

  CU_ASSERT_FATAL (n > 0);
  for (int i = 0; i < n; i++)
    {
      char path[512];
      struct zp_report r = { .count = 0 };
      snprintf (path, sizeof path, "%s/%s", folder, names[i]->d_name);
      bool file = names[i]->d_name[0] != '.';
      free (names[i]);
      if (!file)
        continue;
      struct ti_ticket *t = read_ticket (path);
      if (!ti_validate (c, t, &r))
        printf ("%s: %s\n", path, r.lines.ptr);
      CU_ASSERT_EQUAL (r.count, 0);
      CU_ASSERT_EQUAL (t->against, c->number);
      put (c, t);
      ti_ticket_free (t);
      zp_report_free (&r);
      seen++;
    }
  free (names);
  CU_ASSERT (seen > 0);
  ti_config_free (c);
}

static void
test_examples (void)
{
  check_folder ("conf/tickets/mend-exchange");
  check_folder ("conf/tickets/slanchevo");
}

/* Objects of a ticket refer to objects that exist or are in the ticket.  */
static void
test_dangling_references (void)
{
  struct ti_config *c = example ();

  CU_ASSERT (
      reports (c, "\"set\":{\"site/x\":{\"failure_domain\":\"moon-1\"}}", 1,
               "site/x: \"failure_domain\": found \"moon-1\", allowed: "
               "an existing failure_domain"));
  CU_ASSERT (reports (c, "\"set\":{\"drain/x\":{\"target\":\"entry/99\"}}", 1,
                      "\"target\": found \"99\""));
  CU_ASSERT (
      reports (c, "\"set\":{\"drain/x\":{\"target\":\"server/any\"}}", 0, ""));
  CU_ASSERT (reports (c,
                      "\"set\":{\"region/south\":{\"latency_ms\":{\"moon\":1,"
                      "\"mars\":2}}}",
                      2, "found \"mars\""));
  /* A ticket can refer to an object that it sets itself.  */
  CU_ASSERT (reports (c,
                      "\"set\":{\"region/south\":{\"latency_ms\":{}},"
                      "\"failure_domain/south-1\":{\"region\":\"south\","
                      "\"entry_networks\":[]}}",
                      0, ""));
  ti_config_free (c);
}

/* Only an object that exists and that nothing refers to can be deleted.  */
static void
test_deletions (void)
{
  struct ti_config *c = example ();

  CU_ASSERT (reports (c, "\"delete\":[\"site/nowhere\"]", 1,
                      "site/nowhere: found in \"delete\", allowed: objects"));
  CU_ASSERT (reports (c, "\"delete\":[\"site/west-1\"]", 1,
                      "site/west-1: found in \"delete\", but blocks/west-1 "
                      "refers to it in \"site\""));
  CU_ASSERT (
      reports (c, "\"delete\":[\"site/west-1\",\"blocks/west-1\"]", 0, ""));
  CU_ASSERT (
      reports (c,
               "\"delete\":[\"site/west-1\"],\"set\":{\"blocks/west-1\":"
               "{\"site\":\"west-2\",\"prefixes\":[\"10.99.0.0/16\"]}}",
               0, ""));
  CU_ASSERT (reports (c, "\"delete\":[\"service/booking\"]", 3,
                      "but limits/booking-east refers to it"));
  ti_config_free (c);
}

/* Guards against two objects for the same thing, such as two links between the
   same regions.  */
static void
test_duplicates (void)
{
  struct ti_config *c = example ();

  CU_ASSERT (reports (c,
                      "\"set\":{\"link/x\":{\"a\":\"east\",\"b\":\"west\","
                      "\"mbit_per_s\":1}}",
                      1, "found the same two regions as in link/west-east"));
  CU_ASSERT (reports (c,
                      "\"set\":{\"link/x\":{\"a\":\"east\",\"b\":\"east\","
                      "\"mbit_per_s\":1}}",
                      1, "\"b\": found \"east\", allowed: another region"));
  CU_ASSERT (reports (c,
                      "\"set\":{\"limits/x\":{\"service\":\"booking\","
                      "\"region\":\"west\",\"max_in_flight\":1}}",
                      1, "the same service and region"));
  CU_ASSERT (
      reports (c,
               "\"set\":{\"blocks/x\":{\"site\":\"east-1\",\"prefixes\":"
               "[\"10.11.1.0/24\"]}}",
               1, "found the same prefix as in blocks/west-1"));
  /* A longer prefix inside another overrides it and is not a duplicate.  */
  CU_ASSERT (
      reports (c,
               "\"set\":{\"blocks/x\":{\"site\":\"east-1\",\"prefixes\":"
               "[\"10.11.1.0/25\"]}}",
               0, ""));
  CU_ASSERT (reports (c,
                      "\"set\":{\"entry/9\":{\"failure_domain\":\"west-1\","
                      "\"address\":\"127.11.1.1:8080\",\"enabled\":true}}",
                      1, "the same address as in entry/1"));
  CU_ASSERT (reports (c,
                      "\"set\":{\"shift/a\":{\"from\":\"west-1\",\"to\":"
                      "\"west-2\",\"share\":1,\"cap_per_minute\":1},"
                      "\"shift/b\":{\"from\":\"west-1\",\"to\":\"east-1\","
                      "\"share\":1,\"cap_per_minute\":1}}",
                      1, "the same site in \"from\""));
  CU_ASSERT (reports (c,
                      "\"set\":{\"shift/a\":{\"from\":\"west-1\",\"to\":"
                      "\"west-1\",\"share\":1,\"cap_per_minute\":1}}",
                      1, "another site than \"from\""));
  ti_config_free (c);
}

/* The address of an entry daemon is in the networks of its failure domain.  */
static void
test_entry_networks (void)
{
  struct ti_config *c = example ();

  CU_ASSERT (reports (c,
                      "\"set\":{\"entry/9\":{\"failure_domain\":\"west-1\","
                      "\"address\":\"127.12.1.7:8080\",\"enabled\":true}}",
                      1, "\"entry_networks\" of failure_domain/west-1"));
  CU_ASSERT (reports (c,
                      "\"set\":{\"entry/x\":{\"failure_domain\":\"west-1\","
                      "\"address\":\"127.11.1.7:8080\",\"enabled\":true}}",
                      1, "allowed: the daemon's id"));
  /* The new networks would exclude an existing daemon.  */
  CU_ASSERT (
      reports (c,
               "\"set\":{\"failure_domain/west-1\":{\"region\":\"west\","
               "\"entry_networks\":[\"127.11.1.2/32\"]}}",
               1, "entry/1: \"address\""));
  ti_config_free (c);
}

/* Rules for changes of control members: learners first, one voter at a time,
   fixed addresses, at most 2 voters in a region.  */
static void
test_control_members (void)
{
  struct ti_config *c = example ();

#define MEMBER(id, address, domain, role)                                     \
  "\"control/" id "\":{\"address\":\"" address ":71\",\"http\":\"" address    \
  ":72\",\"failure_domain\":\"" domain "\",\"role\":\"" role "\"}"

  CU_ASSERT (reports (
      c, "\"set\":{" MEMBER ("4", "127.0.0.4", "west-2", "learner") "}", 0,
      ""));
  CU_ASSERT (
      reports (c, "\"set\":{" MEMBER ("4", "127.0.0.4", "west-2", "voter") "}",
               1, "control/4: \"role\": found \"voter\" for a new member"));
  CU_ASSERT (reports (
      c, "\"set\":{" MEMBER ("x4", "127.0.0.4", "west-2", "learner") "}", 1,
      "control/x4: found this name, allowed: the daemon's id"));
  CU_ASSERT (
      reports (c, "\"set\":{" MEMBER ("1", "127.0.0.4", "west-1", "voter") "}",
               1, "control/1: \"address\": found a new address"));
  CU_ASSERT (reports (c, "\"delete\":[\"control/1\"]", 0, ""));
  CU_ASSERT (reports (c, "\"delete\":[\"control/1\",\"control/2\"]", 1,
                      "control: found 2 changes of voters"));
  /* Members 2 and 3 move to the region of member 1.  */
  CU_ASSERT (
      reports (c,
               "\"set\":{\"failure_domain/east-1\":{\"region\":\"west\","
               "\"entry_networks\":[\"127.12.1.0/24\"]},"
               "\"failure_domain/north-1\":{\"region\":\"west\","
               "\"entry_networks\":[\"127.13.1.0/24\"]}}",
               1, "found 3 voters in region/west, allowed: at most 2"));
#undef MEMBER
  ti_config_free (c);
}

/* Guards against a ticket that moves all blocks of a shift back at once
   (P1).  */
static void
test_moved_shift (void)
{
  struct ti_config *c = example ();
  struct ti_ticket *t
      = read_ticket ("conf/tickets/mend-exchange/04-shift.json");
  const char *const drop = "\"delete\":[\"shift/west-1-to-west-2\"]";

  put (c, t);
  ti_ticket_free (t);
  CU_ASSERT (reports (c, drop, 0, ""));
  struct ti_change step = { .kind = TI_CHANGE_STEP, .index = c->index + 1 };
  step.u.step.moved = 100000;
  ti_text_set (&step.u.step.shift, ZP_STR ("west-1-to-west-2"));
  CU_ASSERT (ti_config_apply (c, &step, NULL));
  CU_ASSERT (reports (c, drop, 1, "while 0.1 of the blocks are moved"));
  CU_ASSERT (
      reports (c,
               "\"set\":{\"shift/west-1-to-west-2\":{\"from\":\"west-1\","
               "\"to\":\"east-1\",\"share\":1,\"cap_per_minute\":0.1}}",
               1, "found new sites while 0.1"));
  CU_ASSERT (
      reports (c,
               "\"set\":{\"shift/west-1-to-west-2\":{\"from\":\"west-1\","
               "\"to\":\"west-2\",\"share\":0,\"cap_per_minute\":0.1}}",
               0, ""));
  ti_config_free (c);
}

/* AGAINST above the number in force is refused.  */
static void
test_against_future_number (void)
{
  struct ti_config *c = ti_config_new ();

  CU_ASSERT (reports (c, "\"set\":{\"region/w\":{\"latency_ms\":{}}}", 1,
                      "\"against\": found 1, allowed: at most 0"));
  ti_config_free (c);
}

/* Guards against a key that identifies two workspaces, against a home region
   that does not exist, and against an error text that shows the key.  */
static void
test_workspaces (void)
{
  static const char two[]
      = "\"set\":{\"workspace/a\":{\"keys\":[\"k1\",\"SECRET\"]},"
        "\"workspace/b\":{\"keys\":[\"SECRET\",\"k0\"]}}";
  struct zp_report r = { .count = 0 };
  struct ti_config *c = example ();
  struct ti_ticket *t = ti_ticket_parse (
      ZP_STR ("{\"title\":\"t\",\"author\":\"ana\",\"against\":1,\"set\":{"
              "\"workspace/a\":{\"keys\":[\"k1\",\"SECRET\"],"
              "\"home_regions\":[\"west\"]}}}"),
      &r);

  CU_ASSERT_PTR_NOT_NULL_FATAL (t);
  CU_ASSERT (reports (c, two, 1,
                      "workspace/b: found the same key as in workspace/a"));
  CU_ASSERT (reports (
      c,
      "\"set\":{\"workspace/a\":{\"keys\":[\"k\"],\"home_regions\":[\"x\"]}}",
      1,
      "workspace/a: \"home_regions\": found \"x\", allowed: an existing "
      "region"));
  CU_ASSERT (ti_validate (c, t, &r));
  put (c, t);
  ti_ticket_free (t);
  /* Against the workspace that is in force.  */
  CU_ASSERT (reports (
      c, "\"set\":{\"workspace/b\":{\"keys\":[\"SECRET\"]}}", 1,
      "workspace/b: found the same key as in workspace/a, allowed: in one"));
  /* A key can move in one ticket.  */
  CU_ASSERT (reports (c,
                      "\"set\":{\"workspace/a\":{\"keys\":[\"k1\"]},"
                      "\"workspace/b\":{\"keys\":[\"SECRET\"]}}",
                      0, ""));
  CU_ASSERT (reports (c,
                      "\"set\":{\"workspace/b\":{\"keys\":[\"SECRET\"]}},"
                      "\"delete\":[\"workspace/a\"]",
                      0, ""));
  t = ti_ticket_parse (
      ZP_STR ("{\"title\":\"t\",\"author\":\"ana\",\"against\":1,\"set\":{"
              "\"workspace/b\":{\"keys\":[\"SECRET\"]}}}"),
      &r);
  CU_ASSERT_PTR_NOT_NULL_FATAL (t);
  CU_ASSERT (!ti_validate (c, t, &r));
  CU_ASSERT (r.lines.ptr && !HAS_TEXT (r.lines.ptr, "SECRET"));
  ti_ticket_free (t);
  zp_report_free (&r);
  ti_config_free (c);
}

static const struct zp_test tests[] = {
  { "every example is valid", test_examples },
  { "dangling references", test_dangling_references },
  { "deletions", test_deletions },
  { "duplicates", test_duplicates },
  { "entry networks", test_entry_networks },
  { "control members", test_control_members },
  { "a shift that has moved blocks", test_moved_shift },
  { "against a future number", test_against_future_number },
  { "workspaces", test_workspaces },
};

TEST_MAIN ("ticket-validate", tests)
