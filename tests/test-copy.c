/* Tests the search for a second answer inside the body of an answer.  */

#include "harness.h"

#include <stdlib.h>

#include "base/clock.h"
#include "forward/copy.h"

static const struct fr_header_names names
    = { .request_id = "Request-Id", .answers_have_id = true };
static const struct fr_header_names native = { .request_id = "Request-Id" };

#define HEAD                                                                  \
  "HTTP/1.1 200 OK\r\nRequest-Id: r7\r\nStamp: s\r\nConnection: "             \
  "close\r\n\r\n"
#define NO_ID "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

/* The answer with the lines of HEAD read.  */
static struct fw_answer
read_answer (const struct fr_header_names *n, const char *head)
{
  struct fw_answer a = { .names = n, .request_id = ZP_STR ("r7") };
  struct tk_forward_done done = { .status = 0 };
  struct zp_str rest = zp_str_from (head), line;

  while (rest.len > 0)
    {
      zp_str_split (rest, '\n', &line, &rest);
      line.len++;
      CU_ASSERT (fw_answer_line (&a, line, &done));
    }
  zp_buf_free (&done.headers);
  zp_buf_free (&done.content_type);
  return a;
}

static enum fw_copy_kind
find (const struct fr_header_names *n, const char *head, const char *body)
{
  struct fw_answer a = read_answer (n, head);

  return fw_copy_find (&a, zp_str_from (body)).kind;
}

/* Guards against a copy that is delivered as a part of the body.  */
static void
test_copies (void)
{
  CU_ASSERT_EQUAL (find (&names, HEAD, "hello" HEAD "hello"), FW_COPY_EQUAL);
  CU_ASSERT_EQUAL (find (&names, HEAD, HEAD), FW_COPY_EQUAL);
  CU_ASSERT_EQUAL (find (&native, NO_ID, "hello" NO_ID "hello"),
                   FW_COPY_EQUAL);
  CU_ASSERT_EQUAL (find (&names, HEAD, "hello" HEAD "hell"), FW_COPY_OTHER);
  CU_ASSERT_EQUAL (find (&names, HEAD, "hell" HEAD "hello"), FW_COPY_OTHER);
  CU_ASSERT_EQUAL (find (&names, HEAD, "a" HEAD "a" HEAD "a"), FW_COPY_OTHER);
  CU_ASSERT_EQUAL (find (&names, HEAD,
                         "hello"
                         "HTTP/1.1 503 Busy\r\nRequest-Id: r6\r\n"
                         "Content-Length: 0\r\n\r\n"),
                   FW_COPY_OTHER);
  CU_ASSERT_EQUAL (
      find (&names, HEAD, "helloHTTP/1.1 200 OK\r\nRequest-Id: r7\r\n;\r\n"),
      FW_COPY_OTHER);
}

/* Guards against a copy that the end of the connection cuts off.  */
static void
test_cut_copies (void)
{
  struct fw_answer a = read_answer (&names, HEAD);

  for (size_t n = strlen ("HTTP/1.1 200"); n < strlen (HEAD); n++)
    {
      char body[256];
      snprintf (body, sizeof body, "hello%.*s", (int) n, HEAD);
      CU_ASSERT_EQUAL (fw_copy_find (&a, zp_str_from (body)).kind,
                       FW_COPY_OTHER);
    }
}

/* Guards against sound bodies that mention HTTP and are taken for two
   answers.  */
static void
test_bodies_about_http (void)
{
  static const char *const bodies[]
      = { "",
          "hello, world",
          "GET /x HTTP/1.1\r\nHost: h\r\n\r\n",
          "127.0.0.1 \"GET / HTTP/1.1\" 200 5\n",
          "ends with HTTP/1.1",
          "HTTP/1.1 404 when there is no such page.\nAn error: no",
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nwas recorded" };

  for (size_t i = 0; i < sizeof bodies / sizeof bodies[0]; i++)
    CU_ASSERT_EQUAL (find (&names, HEAD, bodies[i]), FW_COPY_NONE);
}

/* Guards against a body that takes quadratic time: status lines where lines of
   a head are due.  */
static void
test_time (void)
{
  static const char part[] = "A: HTTP/1.1 200 OK\r\n";
  struct zp_buf body = { .ptr = NULL };
  struct fw_answer a = read_answer (&names, HEAD);
  zp_time start = zp_clock_mono ();

  while (body.len < 8 * 1024 * 1024)
    zp_buf_put (&body, zp_str_from (part));
  zp_buf_put (&body, ZP_STR (";\r\n"));
  CU_ASSERT_EQUAL (fw_copy_find (&a, zp_str_of (&body)).kind, FW_COPY_NONE);
  CU_ASSERT (zp_clock_mono () - start < 5 * ZP_SEC);
  zp_buf_free (&body);
}

/* Guards against sound bodies with many status lines that are dropped by the
   limit of the time.  */
static void
test_bodies_of_status_lines (void)
{
  CU_ASSERT_EQUAL (find (&names, HEAD,
                         "HTTP/1.1 200 OK\n"
                         "HTTP/1.1 404 Not Found\n"
                         "HTTP/1.1 200 OK\n"),
                   FW_COPY_NONE);
  CU_ASSERT_EQUAL (find (&names, HEAD,
                         "/a HTTP/1.1 200 OK\n"
                         "/b HTTP/1.1 200 OK\n"
                         "/c HTTP/1.1 200 OK\n"
                         "/d HTTP/1.1 200 OK\n"),
                   FW_COPY_NONE);
}

/* Guards against sound bodies that end with a status line and are taken for a
   copy that is cut off.  */
static void
test_bodies_that_end_with_a_status_line (void)
{
  static const char *const bodies[]
      = { "upstream answered HTTP/1.1 502 Bad Gateway",
          "upstream answered HTTP/1.1 502 Bad Gateway\n",
          "$ curl -I http://h/\nHTTP/1.1 200 OK\nServer: s\n" };

  for (size_t i = 0; i < sizeof bodies / sizeof bodies[0]; i++)
    CU_ASSERT_EQUAL (find (&names, HEAD, bodies[i]), FW_COPY_NONE);
}

/* Guards against a second answer with another head, of a server whose answers
   need not repeat the request id.  */
static void
test_second_answers_without_id (void)
{
  CU_ASSERT_EQUAL (find (&native, NO_ID,
                         "hello"
                         "HTTP/1.1 200 OK\r\nAge: 1\r\n"
                         "Connection: close\r\n\r\nhello"),
                   FW_COPY_OTHER);
  CU_ASSERT_EQUAL (find (&native, NO_ID,
                         "hello"
                         "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
                   FW_COPY_OTHER);
}

/* Guards against a long body without ends of lines that stops the loop of the
   daemon: the part after each mention of HTTP is read to the end.  */
static void
test_time_without_lines (void)
{
  static const char part[]
      = "{\"p\":\"HTTP/1.1\",\"s\":200,\"path\":\"/a/b\"},";
  struct zp_buf body = { .ptr = NULL };
  struct fw_answer a = read_answer (&names, HEAD);
  zp_time start = zp_clock_mono ();

  while (body.len < 1024 * 1024)
    zp_buf_put (&body, zp_str_from (part));
  CU_ASSERT_EQUAL (fw_copy_find (&a, zp_str_of (&body)).kind, FW_COPY_NONE);
  CU_ASSERT (zp_clock_mono () - start < ZP_SEC);
  zp_buf_free (&body);
}

static struct fw_surplus
surplus (uint64_t bytes)
{
  return (struct fw_surplus){ .kind = FW_SURPLUS_KNOWN, .u.bytes = bytes };
}

/* Guards against a body that is delivered although another answer has completed
   it, with any number of missing bytes.  */
static void
test_completed_bodies (void)
{
  static const char *const heads[]
      = { HEAD, "HTTP/1.1 503 Busy\r\nDate: today\r\nRequest-Id: r6\r\n"
                "Content-Length: 0\r\n\r\n" };
  struct fw_answer a = read_answer (&names, HEAD);

  for (size_t i = 0; i < sizeof heads / sizeof heads[0]; i++)
    for (size_t n = 1; n <= strlen (heads[i]); n++)
      {
        char body[256];
        snprintf (body, sizeof body, "hello, %.*s", (int) n, heads[i]);
        CU_ASSERT (fw_copy_completes (&a, zp_str_from (body), surplus (1)));
        CU_ASSERT (fw_copy_completes (
            &a, zp_str_from (body + strlen ("hello, ")), surplus (1)));
      }
}

/* Guards against sound bodies that are dropped: ones that mention HTTP, and
   ones that a copy follows.  */
static void
test_bodies_that_were_not_completed (void)
{
  static const char *const bodies[]
      = { "",
          "hello, world",
          "TEETH",
          "see HTTP",
          "HTTP/1.1 20",
          "upstream answered HTTP/1.1 502 Bad Gateway\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nwas recorded" };
  struct fw_answer a = read_answer (&names, HEAD);

  for (size_t i = 0; i < sizeof bodies / sizeof bodies[0]; i++)
    CU_ASSERT_FALSE (
        fw_copy_completes (&a, zp_str_from (bodies[i]), surplus (0)));
  for (size_t i = 0; i < 2; i++)
    CU_ASSERT_FALSE (
        fw_copy_completes (&a, zp_str_from (bodies[i]), surplus (100)));
}

static const struct zp_test tests[] = {
  { "bodies that were completed", test_completed_bodies },
  { "bodies that were not completed", test_bodies_that_were_not_completed },
  { "copies", test_copies },
  { "copies that are cut off", test_cut_copies },
  { "bodies about HTTP", test_bodies_about_http },
  { "time for a long body", test_time },
  { "bodies of status lines", test_bodies_of_status_lines },
  { "bodies that end with a status line",
    test_bodies_that_end_with_a_status_line },
  { "second answers without an id", test_second_answers_without_id },
  { "time for a long body without lines", test_time_without_lines },
};

TEST_MAIN ("copy", tests)
