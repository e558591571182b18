/* What zpctl prints about log files: the order of lines, and the cause of a
   failed request.  tests/logs holds the lines of a run of
   scenarios/explain.sh, in which servers of w1 were silent, then all servers
   were slow, and then one server process was killed.  */

#include "harness.h"

#include <glob.h>

#include "base/log.h"
#include "ctl/command.h"
#include "trace/cause.h"

#define ENTRY(time, pid, rest)                                                \
  "{\"time\":\"2026-06-06T13:12:" time "Z\",\"level\":\"info\","              \
  "\"program\":\"zp-entry\",\"pid\":" pid "," rest "}\n"

/* The ordered lines of the N files TEXT, named a.log and b.log.  */
static struct tr_log
make_log (const char *const *text, size_t n)
{
  struct tr_log l = { .lines = 0 };

  for (size_t i = 0; i < n; i++)
    tr_log_add (&l, zp_str_from (i == 0 ? "a.log" : "b.log"),
                zp_str_from (text[i]));
  tr_log_order (&l);
  return l;
}

#define ATTEMPT(time, request, server, end)                                   \
  ENTRY (time, "7",                                                           \
         "\"part\":\"request\",\"request\":\"" request                        \
         "\",\"service\":\"s\",\"server\":\"" server "\",\"end\":\"" end      \
         "\",\"text\":\"an attempt at a server has ended\"")

/* Guards against an effect that is shown before its cause when the clock of
   the entry VM is 3 s behind that of the control VM.  */
static void
test_clocks (void)
{
  const char *const text[]
      = { "{\"time\":\"2026-06-06T13:12:40.000000Z\",\"level\":\"notice\","
          "\"program\":\"zp-control\",\"pid\":1,\"part\":\"control\","
          "\"version\":9,\"text\":\"applied\"}\n",
          ENTRY ("36.900000", "7", "\"part\":\"x\",\"text\":\"before\"")
              ENTRY ("37.000000", "7",
                     "\"part\":\"follow\",\"version\":9,\"text\":\"taken\"")
                  ENTRY ("37.500000", "7",
                         "\"part\":\"request\",\"text\":\"after\"") };
  static const char *const want[] = { "before", "applied", "taken", "after" };
  struct tr_log l = make_log (text, 2);

  CU_ASSERT_EQUAL_FATAL (l.lines, 4);
  for (size_t i = 0; i < 4; i++)
    CU_ASSERT (zp_str_eq (l.line[i].text, zp_str_from (want[i])));
  CU_ASSERT_EQUAL (l.process[1].offset, 3 * ZP_SEC);
  tr_log_free (&l);
}

/* Guards against lines of one process that change their order when its clock
   is set back between two of them.  */
static void
test_clock_set_back (void)
{
  const char *const text[]
      = { ENTRY ("40.000000", "7", "\"part\":\"x\",\"text\":\"first\"") ENTRY (
          "35.000000", "7", "\"part\":\"x\",\"text\":\"second\"")
              ENTRY ("35.100000", "7", "\"part\":\"x\",\"text\":\"third\"") };
  struct tr_log l = make_log (text, 1);

  CU_ASSERT_EQUAL_FATAL (l.lines, 3);
  CU_ASSERT (zp_str_eq (l.line[0].text, ZP_STR ("first")));
  CU_ASSERT (zp_str_eq (l.line[1].text, ZP_STR ("second")));
  CU_ASSERT (zp_str_eq (l.line[2].text, ZP_STR ("third")));
  tr_log_free (&l);
}

/* Guards against a prefix of a log collector, a damaged line, or a line of
   another program that ends the reading or is not counted.  */
static void
test_other_lines (void)
{
  const char *const text[]
      = { "  13.7 entry-1 " ENTRY ("40.000000", "7",
                                   "\"part\":\"x\",\"dropped\":12,\"text\":"
                                   "\"ours\"") "{\"time\":\"2026-06\n"
                                               "no object\n"
                                               "{\"time\":7}\n\n" };
  struct tr_log l = make_log (text, 1);

  CU_ASSERT_EQUAL (l.lines, 1);
  CU_ASSERT_EQUAL (l.skipped, 3);
  CU_ASSERT_EQUAL (l.dropped, 12);
  tr_log_free (&l);
}

/* Guards against a lost server that is reported as a lost answer, and the
   reverse.  The lines about the server within TR_EVIDENCE_WINDOW of the
   decision show which of them it is.  */
static void
test_lost_server_or_answer (void)
{
  const char *const text[]
      = { ATTEMPT ("40.000000", "r1", "s-1", "connection-lost")
              ATTEMPT ("40.100000", "r2", "s-1", "connection-refused")
                  ATTEMPT ("50.000000", "r3", "s-1", "connection-lost")
                      ATTEMPT ("50.100000", "r4", "s-2", "connection-refused")
                          ATTEMPT ("50.200000", "r5", "s-2", "answer") };
  struct tr_log l = make_log (text, 1);
  struct tr_cause c = tr_cause_find (&l, ZP_STR ("r1"));

  CU_ASSERT_EQUAL (c.kind, TR_CAUSE_SERVER_LOST);
  CU_ASSERT_PTR_EQUAL (c.evidence, &l.line[1]);
  c = tr_cause_find (&l, ZP_STR ("r3"));
  CU_ASSERT_EQUAL (c.kind, TR_CAUSE_ANSWER_LOST);
  CU_ASSERT_EQUAL (c.at_server.failed, 1);
  CU_ASSERT_EQUAL (c.at_others.total, 2);
  CU_ASSERT_EQUAL (c.at_others.failed, 1);
  CU_ASSERT_EQUAL (tr_cause_find (&l, ZP_STR ("r5")).kind, TR_CAUSE_NONE);
  CU_ASSERT_EQUAL (tr_cause_find (&l, ZP_STR ("r9")).kind, TR_CAUSE_UNKNOWN);
  tr_log_free (&l);
}

/* Runs a command on the recorded lines; the caller frees OUT.  */
static enum zc_exit
run_command (enum zc_command_kind kind, const char *name, bool json,
             struct zp_buf *out)
{
  static const char *const files[]
      = { "tests/logs/entry-1.log", "tests/logs/entry-2.log",
          "tests/logs/control-1.log" };
  const struct zc_command cmd
      = { .kind = kind,
          .json = json,
          .u.logs
          = { .name = zp_str_from (name), .file = files, .files = 3 } };
  struct zp_buf errors = { .ptr = NULL };
  enum zc_exit status = zc_logs_text (&cmd, out, &errors);

  zp_buf_put (out, ZP_STR (""));
  zp_buf_free (&errors);
  return status;
}

/* Guards against a cause that is not the fault that was injected.  */
static void
test_recorded_faults (void)
{
  static const struct
  {
    const char *request, *cause, *server;
  } faults[] = {
    { "silent-1", "cause: server-silent", "server: availability-w1-" },
    { "load-1", "cause: overload", "no server had a slot" },
    { "lost-1", "cause: server-lost", "server: booking-w1-" },
    { "lost-2", "cause: server-lost", "end=connection-refused" },
  };

  for (size_t i = 0; i < sizeof faults / sizeof faults[0]; i++)
    {
      struct zp_buf out = { .ptr = NULL };
      CU_ASSERT_EQUAL (run_command (ZC_TRACE, faults[i].request, false, &out),
                       ZC_DONE);
      CU_ASSERT (HAS_TEXT (out.ptr, faults[i].cause));
      CU_ASSERT (HAS_TEXT (out.ptr, faults[i].server));
      zp_buf_free (&out);
    }
}

/* Guards against a success status for an unknown id: a script would conclude
   that the request was found.  */
static void
test_unknown_request (void)
{
  struct zp_buf out = { .ptr = NULL };

  CU_ASSERT_EQUAL (run_command (ZC_TRACE, "no-such-id", true, &out),
                   ZC_REFUSED);
  struct json_object *o = json_tokener_parse (out.ptr), *v = NULL;
  CU_ASSERT (json_object_object_get_ex (o, "cause", &v));
  CU_ASSERT_STRING_EQUAL (json_object_get_string (v), "unknown");
  json_object_put (o);
  zp_buf_free (&out);
  CU_ASSERT_EQUAL (run_command (ZC_TIMELINE, "no-such-id", false, &out),
                   ZC_REFUSED);
  zp_buf_free (&out);
}

/* Guards against a timeline of a configuration that contains the lines of all
   its requests, or omits a program.  */
static void
test_timeline (void)
{
  struct zp_buf out = { .ptr = NULL };

  CU_ASSERT_EQUAL (run_command (ZC_TIMELINE, "1", true, &out), ZC_DONE);
  struct json_object *list = json_tokener_parse (out.ptr);
  CU_ASSERT_EQUAL (json_object_array_length (list), 2);
  json_object_put (list);
  zp_buf_free (&out);
  CU_ASSERT_EQUAL (run_command (ZC_TIMELINE, "booking-w1-2", false, &out),
                   ZC_DONE);
  CU_ASSERT (HAS_TEXT (out.ptr, "connection-lost"));
  CU_ASSERT (HAS_TEXT (out.ptr, "connection-refused"));
  zp_buf_free (&out);
}

/* Runs the command in LINE, "zpctl WORD NAME FILES", and appends its output to
   OUT.  FILES can be a pattern with "*".  */
static enum zc_exit
run_documented (const char *line, struct zp_buf *out)
{
  char word[16], name[64], pattern[64];
  struct zp_buf errors = { .ptr = NULL };
  glob_t files;

  if (sscanf (line, " zpctl %15s %63s %63s", word, name, pattern) != 3
      || glob (pattern, 0, NULL, &files) != 0)
    return ZC_USAGE;
  const struct zc_command cmd
      = { .kind = strcmp (word, "trace") == 0 ? ZC_TRACE : ZC_TIMELINE,
          .u.logs = { .name = zp_str_from (name),
                      .file = (const char *const *) files.gl_pathv,
                      .files = files.gl_pathc } };
  enum zc_exit status = zc_logs_text (&cmd, out, &errors);
  globfree (&files);
  zp_buf_free (&errors);
  return status;
}

/* Guards against commands in docs/OPERATIONS.md that fail or print something
   else.  The indented lines after a command must be in its output.  */
static void
test_documented_commands (void)
{
  FILE *f = fopen ("docs/OPERATIONS.md", "r");
  struct zp_buf out = { .ptr = NULL };
  char line[1024];
  size_t commands = 0, shown = 0;

  CU_ASSERT_PTR_NOT_NULL_FATAL (f);
  while (fgets (line, sizeof line, f))
    {
      line[strcspn (line, "\n")] = '\0';
      if (strncmp (line, "    zpctl ", 10) == 0)
        {
          zp_buf_free (&out);
          CU_ASSERT_EQUAL (run_documented (line, &out), ZC_DONE);
          commands++;
        }
      else if (commands > 0 && strncmp (line, "    ", 4) == 0)
        {
          CU_ASSERT (HAS_TEXT (out.ptr, line + 4));
          shown++;
        }
    }
  CU_ASSERT (commands >= 4);
  CU_ASSERT (shown >= 6);
  zp_buf_free (&out);
  fclose (f);
}

/* Guards against a log field that docs/OPERATIONS.md does not explain.  */
static void
test_fields_are_explained (void)
{
  static char page[65536];
  FILE *f = fopen ("docs/OPERATIONS.md", "r");

  CU_ASSERT_PTR_NOT_NULL_FATAL (f);
  page[fread (page, 1, sizeof page - 1, f)] = '\0';
  fclose (f);
  for (int k = 0; k < ZP_KEYS; k++)
    {
      char name[64];
      snprintf (name, sizeof name, "`%s`",
                zp_field_name ((enum zp_field_key) k));
      CU_ASSERT (HAS_TEXT (page, name));
      if (!HAS_TEXT (page, name))
        fprintf (stderr, "no explanation of %s\n", name);
    }
}

static const struct zp_test tests[]
    = { { "clocks that differ", test_clocks },
        { "a clock that is set back", test_clock_set_back },
        { "lines that are not of the programs", test_other_lines },
        { "lost server or lost answer", test_lost_server_or_answer },
        { "recorded faults", test_recorded_faults },
        { "unknown request", test_unknown_request },
        { "timeline", test_timeline },
        { "documented commands", test_documented_commands },
        { "fields are explained", test_fields_are_explained } };

TEST_MAIN ("trace", tests)
