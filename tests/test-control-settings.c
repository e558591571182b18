#include "harness.h"

#include <stdlib.h>

#include "control/settings.h"

/* Loads the settings TEXT from a temporary file.  */
static bool
load (const char *text, struct ct_settings *s, struct zp_report *r)
{
  char path[] = "/tmp/test-control-XXXXXX";
  int fd = mkstemp (path);

  CU_ASSERT_FATAL (fd >= 0);
  CU_ASSERT_FATAL (write (fd, text, strlen (text)) == (ssize_t) strlen (text));
  close (fd);
  bool ok = ct_settings_load (s, path, r);
  unlink (path);
  return ok;
}

/* Guards against example settings with which a daemon does not start.  */
static void
test_examples (void)
{
  for (int id = 1; id <= 4; id++)
    {
      char path[64];
      struct ct_settings s;
      struct zp_report r = { .count = 0 };
      snprintf (path, sizeof path, "conf/control-%d.json", id);
      if (!ct_settings_load (&s, path, &r))
        printf ("%s\n", r.lines.ptr);
      CU_ASSERT_EQUAL (r.count, 0);
      CU_ASSERT_EQUAL (s.id, id);
      CU_ASSERT_EQUAL (s.voters.len, 3);
      CU_ASSERT (zp_str_eq (s.voter_http[1], ZP_STR ("127.12.1.9:7180")));
      CU_ASSERT_EQUAL (s.join, id == 4);
      ct_settings_free (&s);
      zp_report_free (&r);
    }
}

/* Guards against a daemon that founds a second group, or that listens on
   another address than the members know.  */
static void
test_invalid (void)
{
  static const struct
  {
    const char *text, *error;
  } cases[] = {
    { "\"id\":1,\"http\":\"127.0.0.1:2\",\"members\":[]",
      "found no member with the own id 1" },
    { "\"id\":1,\"http\":\"127.0.0.1:2\",\"join\":true,"
      "\"members\":[\"1=127.0.0.1:1,127.0.0.1:2\"]",
      "found the own id with \"join\"" },
    { "\"id\":1,\"http\":\"127.0.0.1:2\","
      "\"members\":[\"1=127.0.0.9:1,127.0.0.1:2\"]",
      "allowed: \"127.0.0.9:1\" as in \"members\"" },
    { "\"id\":1,\"http\":\"127.0.0.1:2\","
      "\"members\":[\"1=127.0.0.1:1,127.0.0.1:2\","
      "\"1=127.0.0.1:3,127.0.0.1:4\"]",
      "found id 1 twice" },
    { "\"id\":1,\"http\":\"127.0.0.1:2\","
      "\"members\":[\"1=127.0.0.1:1,127.0.0.1:2\",\"2\"]",
      "found \"2\", allowed: \"ID=ADDRESS,HTTP\"" },
    { "\"id\":1,\"http\":\"host\","
      "\"members\":[\"1=127.0.0.1:1,127.0.0.1:2\"]",
      "\"http\": \"host\" is not of the form IP:port" },
    { "\"id\":0,\"http\":\"127.0.0.1:2\","
      "\"members\":[\"1=127.0.0.1:1,127.0.0.1:2\"]",
      "\"id\": found 0" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct zp_buf text = { .ptr = NULL };
      struct zp_report r = { .count = 0 };
      struct ct_settings s;
      zp_buf_printf (&text, "{\"data\":\"d\",\"address\":\"127.0.0.1:1\",%s}",
                     cases[i].text);
      CU_ASSERT (!load (text.ptr, &s, &r));
      CU_ASSERT_EQUAL (r.count, 1);
      CU_ASSERT (r.lines.ptr && HAS_TEXT (r.lines.ptr, cases[i].error));
      ct_settings_free (&s);
      zp_report_free (&r);
      zp_buf_free (&text);
    }
}

static const struct zp_test tests[] = {
  { "every example is valid", test_examples },
  { "invalid settings", test_invalid },
};

TEST_MAIN ("control-settings", tests)
