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

static const struct zp_test tests[]
    = { { "comments and values", test_comments_and_values },
        { "all mistakes are reported", test_all_mistakes_are_reported },
        { "a syntax error names its line", test_syntax_error_names_line } };

TEST_MAIN ("settings", tests)
