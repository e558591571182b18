#include "harness.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/settings.h"

struct sample
{
  struct zp_str address;
  int64_t port;
  bool verbose;
  struct zp_strs seeds;
};

#define FIELD(f) offsetof (struct sample, f)

static const struct zp_setting table[] = {
  { .key = "address",
    .kind = ZP_SETTING_TEXT,
    .required = true,
    .offset = FIELD (address) },
  { .key = "port",
    .kind = ZP_SETTING_INT,
    .offset = FIELD (port),
    .min = 1,
    .max = 65535 },
  { .key = "verbose", .kind = ZP_SETTING_BOOL, .offset = FIELD (verbose) },
  { .key = "seeds", .kind = ZP_SETTING_LIST, .offset = FIELD (seeds) },
  { .key = NULL },
};

static bool
load (const char *text, struct sample *out, struct zp_settings *s,
      struct zp_report *r)
{
  char path[] = "/tmp/test-settings-XXXXXX";
  int fd = mkstemp (path);

  CU_ASSERT_FATAL (fd >= 0);
  CU_ASSERT_FATAL (write (fd, text, strlen (text)) == (ssize_t) strlen (text));
  close (fd);
  bool ok = zp_settings_load (s, path, table, out, r);
  unlink (path);
  return ok;
}

static void
test_comments_and_values (void)
{
  struct sample v = { .port = 80 };
  struct zp_settings s;
  struct zp_report r = { .count = 0 };

  CU_ASSERT (load ("{ // the daemon\n \"address\": \"127.0.0.1\", /* x */\n"
                   " \"seeds\": [\"a\", \"b\"], \"verbose\": true }",
                   &v, &s, &r));
  CU_ASSERT_EQUAL (r.count, 0);
  CU_ASSERT (zp_str_eq (v.address, ZP_STR ("127.0.0.1")));
  CU_ASSERT_EQUAL (v.port, 80);
  CU_ASSERT (v.verbose);
  CU_ASSERT_EQUAL (v.seeds.len, 2);
  CU_ASSERT (zp_str_eq (v.seeds.item[1], ZP_STR ("b")));
  zp_settings_free (&s);
  zp_report_free (&r);
}

/* Guards against reporting only the first of several mistakes.  */
static void
test_all_mistakes_are_reported (void)
{
  struct sample v = { .port = 80 };
  struct zp_settings s;
  struct zp_report r = { .count = 0 };

  CU_ASSERT (!load ("{ \"port\": 70000, \"verbose\": \"yes\", \"x\": 1 }", &v,
                    &s, &r));
  CU_ASSERT_EQUAL (r.count, 4);
  const char *text = r.lines.ptr ? r.lines.ptr : "";
  CU_ASSERT (
      HAS_TEXT (text, "\"port\": found 70000, allowed: a number from 1"));
  CU_ASSERT (HAS_TEXT (text, "\"verbose\": found \"yes\", allowed: true or"));
  CU_ASSERT (HAS_TEXT (text, "\"x\": unknown key"));
  CU_ASSERT (HAS_TEXT (text, "\"address\": missing, required"));
  zp_settings_free (&s);
  zp_report_free (&r);
}

static void
test_syntax_error_names_line (void)
{
  struct sample v = { .port = 80 };
  struct zp_settings s;
  struct zp_report r = { .count = 0 };

  CU_ASSERT (!load ("{\n \"address\": \"a\",\n oops }", &v, &s, &r));
  CU_ASSERT (r.lines.ptr && HAS_TEXT (r.lines.ptr, "line 3"));
  zp_settings_free (&s);
  zp_report_free (&r);
}

/* Guards against text after the first JSON value that is ignored without a
   message.  */
static void
test_text_after_the_value (void)
{
  static const struct
  {
    const char *text, *position;
  } bad[] = {
    { "{ \"address\": \"a\" }\n  { \"port\": 1 }", "line 2, column 3" },
    { "{ \"address\": \"a\" } // one\n/* two\n */ x", "line 3, column 5" },
    { "{ \"address\": \"a\" }}", "line 1, column 19" },
    { "{ \"address\": \"a\" }\n/* no end", "line 2, column 10" },
    { "{ \"address\": \"a\" }\n/", "line 2, column 2" },
    { "{ \"address\": \"a\" }\n/*/", "line 2, column 4" },
  };
  static const char *const good[] = {
    "{ \"address\": \"a\" } \t\r\n// the end",
    "{ \"address\": \"a\" }/* one *//**/ // two\n\n",
  };
  struct sample v = { .port = 80 };
  struct zp_settings s;
  struct zp_report r;

  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      r = (struct zp_report){ .count = 0 };
      CU_ASSERT (!load (bad[i].text, &v, &s, &r));
      CU_ASSERT (r.lines.ptr && HAS_TEXT (r.lines.ptr, bad[i].position));
      zp_settings_free (&s);
      zp_report_free (&r);
    }
  for (size_t i = 0; i < sizeof good / sizeof good[0]; i++)
    {
      r = (struct zp_report){ .count = 0 };
      CU_ASSERT (load (good[i], &v, &s, &r));
      CU_ASSERT_EQUAL (r.count, 0);
      zp_settings_free (&s);
      zp_report_free (&r);
    }
}

/* Guards against text after a NUL byte that is not seen: the NUL byte ends a C
   string.  */
static void
test_nul_after_the_value (void)
{
  struct zp_err err = { .text = "" };

  CU_ASSERT_PTR_NULL (
      zp_json_parse ((struct zp_str){ .ptr = "{}\0{}", .len = 5 }, &err));
  CU_ASSERT_EQUAL (err.code, ZP_EINVAL);
  CU_ASSERT (HAS_TEXT (err.text, "line 1, column 3"));
}

static const struct zp_test tests[]
    = { { "comments and values", test_comments_and_values },
        { "all mistakes are reported", test_all_mistakes_are_reported },
        { "a syntax error names its line", test_syntax_error_names_line },
        { "text after the value", test_text_after_the_value },
        { "a NUL byte after the value", test_nul_after_the_value } };

TEST_MAIN ("settings", tests)
