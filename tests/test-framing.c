#include "harness.h"

#include "forward/framing.h"

/* Reads the lines of TEXT.  Returns the kind of the last one.  */
static enum fw_line
read_lines (struct fw_framing *f, const char *text)
{
  struct zp_str rest = zp_str_from (text);
  enum fw_line kind = FW_LINE_MALFORMED;

  while (rest.len > 0)
    {
      const char *end = memchr (rest.ptr, '\n', rest.len);
      size_t n = end ? (size_t) (end - rest.ptr) + 1 : rest.len;
      kind = fw_framing_line (f, (struct zp_str){ .ptr = rest.ptr, .len = n });
      rest = (struct zp_str){ .ptr = rest.ptr + n, .len = rest.len - n };
    }
  return kind;
}

#define OK "HTTP/1.1 200 OK\r\n"

/* Guards against an answer that is taken for whole although its head has not
   ended or its body has another size than the head announces.  */
static void
test_whole (void)
{
  static const struct
  {
    const char *head;
    bool head_request;
    uint64_t received;
    bool whole;
  } cases[] = {
    { "", false, 0, false },
    { OK, false, 0, false },
    { OK "Stamp: s\r\n", false, 0, false },
    { OK "Content-Length: 0\r\n", false, 0, false },
    { OK "Content-Length: 3\r\n\r\n", false, 0, false },
    { OK "Content-Length: 3\r\n\r\n", false, 2, false },
    { OK "Content-Length: 3\r\n\r\n", false, 4, false },
    { OK "Content-Length: 3\r\n\r\n", false, 3, true },
    { OK "content-length:\t3 \r\n\r\n", false, 3, true },
    { OK "Via: HTTP/1.1 proxy\r\nContent-Length: 3\r\n\r\n", false, 3, true },
    { "HTTP/1.1 200 HTTP/1.1\r\nContent-Length: 3\r\n\r\n", false, 3, true },
    { OK "Content-Length: 3\r\n\r\n", true, 0, true },
    { OK "Transfer-Encoding: Chunked\r\n\r\n", false, 9, true },
    { OK "Connection: close\r\n\r\n", false, 9, true },
    { OK "connection: x, Close\r\n\r\n", false, 9, true },
    { "HTTP/1.0 200\r\n\r\n", false, 9, true },
    { "HTTP/1.1 204 No Content\r\n\r\n", false, 0, true },
    { "HTTP/1.1 304 Same\r\nContent-Length: 7\r\n\r\n", false, 0, true },
    { "HTTP/1.1 100 Continue\r\n\r\n", false, 0, false },
    { "HTTP/1.1 103 Early\r\nContent-Length: 0\r\n\r\n" OK, false, 0, false },
    { "HTTP/1.1 103 Early\r\nContent-Length: 5\r\n\r\n" OK
      "Content-Length: 2\r\n\r\n",
      false, 2, true },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct fw_framing f = { .head_request = cases[i].head_request };
      read_lines (&f, cases[i].head);
      CU_ASSERT (f.state != FW_MALFORMED);
      CU_ASSERT_EQUAL (fw_framing_is_whole (&f, cases[i].received),
                       cases[i].whole);
    }
}

/* Guards against a head that is read from two answers: one that is broken off
   at any byte of a line, and the next one.  */
static void
test_second_status_line (void)
{
  static const char *const firsts[]
      = { OK, OK "Server: bookings HTTP/1.1\r\n",
          OK "Transfer-Encoding: chunked\r\n\r\nTrailer: x\r\n" };
  static const char *const nexts[]
      = { OK, "HTTP/1.0 503 Busy\r\n", "HTTP/1.1 500\r\n",
          "HTTP/1.1 100 Continue\r\n" };

  for (size_t i = 0; i < sizeof firsts / sizeof firsts[0]; i++)
    for (size_t k = 0; k < sizeof nexts / sizeof nexts[0]; k++)
      for (size_t n = 1; n <= strlen (firsts[i]); n++)
        {
          struct fw_framing f = { .head_request = false };
          char text[256];
          snprintf (text, sizeof text, "%.*s%s", (int) n, firsts[i], nexts[k]);
          CU_ASSERT_EQUAL (read_lines (&f, text), FW_LINE_MALFORMED);
        }
}

/* Guards against a head whose framing is guessed: a spoiled line can hide the
   length of the body.  */
static void
test_malformed (void)
{
  static const char *const heads[]
      = { "HTTP/1.1 2x0 OK\r\n",
          "HTTP/1.1 2000 OK\r\n",
          "HTTP/1.1 600 OK\r\n",
          "HTTP/1.1  200 OK\r\n",
          "HTTP/1.1\r\n",
          "HTTP/2 200\r\n",
          "HTTP/1.x 200 OK\r\n",
          "ICY 200 OK\r\n",
          "Stamp: s\r\n",
          "HTTP/1.1 200 OK",
          OK "HTTP/1.1 503 Busy\r\n",
          OK "Content-Length: 1x0\r\n",
          OK "Content-Length: 3 5\r\n",
          OK "Content-Length: 0x3\r\n",
          OK "Content-Length: +3\r\n",
          OK "Content-Length:\r\n",
          OK "Content-Length: 99999999999999999999\r\n",
          OK "Content-Length: 3\r\nContent-Length: 4\r\n",
          OK "Content-Length: 3\r\nContent-Length: 3\r\n",
          OK "Content-Length : 3\r\n",
          OK "Content-Len\x01th: 3\r\n",
          OK "Content-Length\r\n",
          OK ": 3\r\n",
          OK " folded: 3\r\n",
          OK "Stamp: a\x7f\r\n",
          OK "\r\n",
          OK "Stamp: s\n",
          OK "Content-Length: 3\r\n\n",
          OK "Connection: keep-alive\r\n\r\n",
          OK "Connection: closed\r\n\r\n",
          OK "Content-Lenxth: 3\r\n\r\n",
          OK "Tranzfer-Encoding: chunked\r\n\r\n",
          "HTTP/1.1 100 Continue\r\nConnection: close\r\n\r\n" OK "\r\n",
          OK "Transfer-Encoding: gzip, chunked\r\n",
          OK "Transfer-Encoding: chunkee\r\n",
          OK "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
          OK "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
          OK "Content-Length: 3\r\n\r\nStamp: s\r\n",
          OK "Transfer-Encoding: chunked\r\n\r\nhello\r\n" };

  for (size_t i = 0; i < sizeof heads / sizeof heads[0]; i++)
    {
      struct fw_framing f = { .head_request = false };
      CU_ASSERT_EQUAL (read_lines (&f, heads[i]), FW_LINE_MALFORMED);
      CU_ASSERT_EQUAL (f.state, FW_MALFORMED);
      /* A later line does not repair it.  */
      CU_ASSERT_EQUAL (read_lines (&f, "\r\n"), FW_LINE_MALFORMED);
      for (uint64_t n = 0; n < 200; n++)
        CU_ASSERT (!fw_framing_is_whole (&f, n));
    }
}

/* Guards against trailer fields that are taken for fields of the head.  */
static void
test_kinds_of_lines (void)
{
  struct fw_framing f = { .head_request = false };

  CU_ASSERT_EQUAL (read_lines (&f, "HTTP/1.1 100 Continue\r\n"),
                   FW_LINE_STATUS);
  CU_ASSERT_EQUAL (read_lines (&f, "\r\n"), FW_LINE_INTERIM_END);
  CU_ASSERT_EQUAL (read_lines (&f, OK), FW_LINE_STATUS);
  CU_ASSERT_EQUAL (f.status, 200);
  CU_ASSERT_EQUAL (read_lines (&f, "Transfer-Encoding: chunked\r\n"),
                   FW_LINE_FIELD);
  CU_ASSERT_EQUAL (read_lines (&f, "\r\n"), FW_LINE_HEAD_END);
  CU_ASSERT_EQUAL (read_lines (&f, "Stamp: s\r\n"), FW_LINE_TRAILER);
  CU_ASSERT_EQUAL (read_lines (&f, "\r\n"), FW_LINE_TRAILER);
}

static const struct zp_test tests[]
    = { { "a second status line", test_second_status_line },
        { "whether an answer is whole", test_whole },
        { "malformed heads", test_malformed },
        { "kinds of lines", test_kinds_of_lines } };

TEST_MAIN ("framing", tests)
