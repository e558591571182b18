#include "harness.h"

#include <fcntl.h>
#include <json-c/json.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"

static int ends[2]; /* of a pipe: the reader's, the log's */

static void
open_pipe (void)
{
  CU_ASSERT_EQUAL_FATAL (pipe (ends), 0);
  fcntl (ends[0], F_SETFL, O_NONBLOCK);
  zp_log_open ("test", ZP_LOG_INFO, ends[1]);
}

static void
close_pipe (void)
{
  zp_log_open ("test", ZP_LOG_INFO, STDERR_FILENO);
  close (ends[0]);
  close (ends[1]);
}

/* Reads all lines that are in the pipe.  */
static size_t
read_all (char *out, size_t size)
{
  size_t n = 0;
  ssize_t r;

  while (n + 1 < size && (r = read (ends[0], out + n, size - 1 - n)) > 0)
    n += (size_t) r;
  out[n] = '\0';
  return n;
}

static size_t
count_lines (const char *text)
{
  size_t n = 0;

  for (; *text; text++)
    n += *text == '\n';
  return n;
}

/* Guards against lines that a reader cannot parse because of bytes from
   callers and servers.  */
static void
test_fields (void)
{
  static char text[8192];
  const struct zp_str odd = { .ptr = "a\"b\\\n\xff\x01", .len = 7 };
  struct json_object *v = NULL;

  open_pipe ();
  ZP_EVENT (ZP_LOG_NOTICE, "part", "it \"happened\"",
            ZP_F_TEXT (ZP_KEY_PATH, odd), ZP_F_INT (ZP_KEY_LEFT_MS, -4));
  zp_log (ZP_LOG_DEBUG, "part", "not written");
  read_all (text, sizeof text);
  CU_ASSERT_EQUAL (count_lines (text), 1);
  struct json_object *line = json_tokener_parse (text);
  CU_ASSERT_PTR_NOT_NULL_FATAL (line);
  CU_ASSERT (json_object_object_get_ex (line, "path", &v));
  CU_ASSERT_EQUAL (json_object_get_string (v)[0], 'a');
  CU_ASSERT (json_object_object_get_ex (line, "left_ms", &v));
  CU_ASSERT_EQUAL (json_object_get_int64 (v), -4);
  CU_ASSERT (json_object_object_get_ex (line, "text", &v));
  CU_ASSERT_STRING_EQUAL (json_object_get_string (v), "it \"happened\"");
  CU_ASSERT (json_object_object_get_ex (line, "level", &v));
  CU_ASSERT_STRING_EQUAL (json_object_get_string (v), "notice");
  json_object_put (line);
  close_pipe ();
}

/* Guards against a line that is cut in the middle: it is not valid JSON.  */
static void
test_long_text (void)
{
  static char text[8192], in[5000];
  struct zp_str s = { .ptr = in, .len = sizeof in };

  open_pipe ();
  memset (in, '"', sizeof in);
  ZP_EVENT (ZP_LOG_NOTICE, "part", "long", ZP_F_TEXT (ZP_KEY_HOST, s),
            ZP_F_TEXT (ZP_KEY_PATH, s));
  read_all (text, sizeof text);
  struct json_object *line = json_tokener_parse (text);
  CU_ASSERT_PTR_NOT_NULL (line);
  json_object_put (line);
  close_pipe ();
}

/* Guards against a program that blocks because the reader of its log has
   stopped: more lines than fit into the pipe take less than a second.  */
static void
test_reader_that_stops (void)
{
  static char text[1 << 20];

  open_pipe ();
  zp_time before = zp_clock_mono ();
  for (int i = 0; i < 20000; i++)
    zp_log (ZP_LOG_ERR, "part", "%0400d", i);
  CU_ASSERT (zp_clock_mono () - before < ZP_SEC);
  CU_ASSERT (zp_counter ("zp_log_dropped_total", "")->value > 10000);
  read_all (text, sizeof text);
  usleep (50000);
  zp_log (ZP_LOG_ERR, "part", "again");
  read_all (text, sizeof text);
  CU_ASSERT (HAS_TEXT (text, "\"dropped\":"));
  close_pipe ();
}

/* Guards against a log that grows with the load, and against many lines of a
   low level that leave no room for an error.  */
static void
test_rate_limit (void)
{
  static char text[1 << 20];
  size_t lines = 0;

  open_pipe ();
  usleep (2200000);
  for (int i = 0; i < 3000; i++)
    {
      zp_log (ZP_LOG_INFO, "part", "decision %d", i);
      if (i % 50 == 0)
        {
          read_all (text, sizeof text);
          lines += count_lines (text);
        }
    }
  CU_ASSERT (lines <= ZP_LOG_BURST / 2 + ZP_LOG_PER_S);
  zp_log (ZP_LOG_ERR, "part", "an error");
  read_all (text, sizeof text);
  CU_ASSERT (HAS_TEXT (text, "an error"));
  close_pipe ();
}

static const struct zp_test tests[]
    = { { "fields", test_fields },
        { "long text", test_long_text },
        { "a reader that stops", test_reader_that_stops },
        { "rate limit", test_rate_limit } };

TEST_MAIN ("log", tests)
