/* Tests the answers to a call on a connection that is kept as a witness.  */

#include "harness.h"
#include "invalid-statuses.h"

#include "forward/call.h"

static const struct fr_header_names names
    = { .deadline_ms = "Deadline-Ms", .request_id = "Request-Id" };

/* Reads ANSWER in parts of STEP bytes.  */
static enum fw_call_result
read_in_parts (const char *answer, size_t step)
{
  struct fw_call c = { .done = NULL };
  struct zp_buf out = { .ptr = NULL };
  struct zp_str rest = zp_str_from (answer);
  enum fw_call_result result = FW_CALL_PENDING;

  fw_call_begin (&c, &names, ZP_STR ("10.0.0.1:80"), ZP_STR ("/health"), 1,
                 &out);
  CU_ASSERT (
      zp_str_eq (zp_str_of (&out), ZP_STR ("GET /health HTTP/1.1\r\n"
                                           "Host: 10.0.0.1:80\r\n"
                                           "Request-Id: w0000000000000001\r\n"
                                           "Deadline-Ms: 1000\r\n\r\n")));
  while (rest.len > 0 && result == FW_CALL_PENDING)
    {
      struct zp_str part
          = { .ptr = rest.ptr, .len = rest.len < step ? rest.len : step };
      result = fw_call_read (&c, part);
      rest.ptr += part.len;
      rest.len -= part.len;
    }
  fw_call_free (&c);
  zp_buf_free (&out);
  return result;
}

static void
check (const char *answer, enum fw_call_result expected)
{
  CU_ASSERT_EQUAL (read_in_parts (answer, 1), expected);
  CU_ASSERT_EQUAL (read_in_parts (answer, 4096), expected);
}

#define OK "HTTP/1.1 200 OK\r\n"

/* Guards against whole answers that do not count.  */
static void
test_whole (void)
{
  check (OK "Content-Length: 0\r\n\r\n", FW_CALL_ANSWERED);
  check (OK "Content-Length: 2\r\n\r\nhi", FW_CALL_ANSWERED);
  check (OK "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
         FW_CALL_ANSWERED);
  check ("HTTP/1.1 503 Full\r\nRequest-Id: w0000000000000001\r\n"
         "Content-Length: 0\r\n\r\n",
         FW_CALL_ANSWERED);
}

/* Guards against a part of an answer that counts, so that its rest counts for
   the next call.  */
static void
test_parts (void)
{
  check (OK "Content-Length: 2\r\n\r\nh", FW_CALL_PENDING);
  check (OK "Content-Length: 0\r\n", FW_CALL_PENDING);
  check (OK "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n",
         FW_CALL_PENDING);
}

/* Guards against bytes that are no answer to the call, and against a connection
   that the server is about to close.  */
static void
test_broken (void)
{
  check ("garbage\r\n", FW_CALL_BROKEN);
  check (OK "Request-Id: other\r\nContent-Length: 0\r\n\r\n", FW_CALL_BROKEN);
  check (OK "Connection: close\r\nContent-Length: 0\r\n\r\n", FW_CALL_BROKEN);
  check (OK "Connection: close\r\n\r\nhi", FW_CALL_BROKEN);
  CU_ASSERT_EQUAL (read_in_parts (OK "Content-Length: 2\r\n\r\nhi" OK, 4096),
                   FW_CALL_BROKEN);
  CU_ASSERT_EQUAL (
      read_in_parts (OK "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" OK,
                     4096),
      FW_CALL_BROKEN);
}

/* Guards against a health call that counts as answered by an invalid status. */
static void
test_invalid_statuses (void)
{
  char text[128];

  for (size_t i = 0; i < INVALID_STATUSES; i++)
    {
      snprintf (text, sizeof text,
                "HTTP/1.1 %s Text\r\nContent-Length: 0\r\n\r\n",
                invalid_statuses[i]);
      check (text, FW_CALL_BROKEN);
    }
}

static const struct zp_test tests[] = {
  { "whole answers", test_whole },
  { "invalid status codes", test_invalid_statuses },
  { "parts of answers", test_parts },
  { "bytes that are no answer", test_broken },
};

TEST_MAIN ("call", tests)
