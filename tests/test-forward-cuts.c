/* Tests the forward task with answers that are cut or spoiled.  */

#include "forward-fixture.h"

/* The end of a request to a server that sends the first LIMIT bytes of TEXT and
   closes the connection.  */
static struct tk_forward_done
exchange_part (const char *text, size_t limit, bool reset,
               const struct fr_header_names *names)
{
  const char *const script[] = { text, NULL };
  struct fixture f;

  open_fixture_with (&f, script, names);
  f.server.limit = limit;
  f.server.reset = reset;
  struct tk_forward_done d = *exchange (&f, 5 * ZP_SEC);
  close_fixture (&f);
  return d;
}

static void
check_lost (const struct tk_forward_done *d)
{
  CU_ASSERT_EQUAL (d->end, TK_END_LOST);
  CU_ASSERT_EQUAL (d->verdict, ZP_MAY_HAVE_RUN);
  CU_ASSERT_EQUAL (d->body.len, 0);
  CU_ASSERT_EQUAL (d->status, 0);
}

/* Guards against an answer that ends early, at any of its bytes, and is passed
   on as a whole one or as a refusal (P3, P4).  */
static void
test_answers_cut_at_every_byte (void)
{
  static const char *const answers[]
      = { "HTTP/1.1 200 OK\r\nRequest-Id: r7\r\nStamp: s\r\n"
          "Content-Length: 12\r\n\r\nhello, world",
          "HTTP/1.1 200 OK\r\nRequest-Id: r7\r\nStamp: s\r\n"
          "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
          "7\r\n, world\r\n0\r\n\r\n",
          "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: "
          "r7\r\nContent-Length: 2\r\nStamp: s\r\n\r\nhi",
          "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRun-Verdict: not-run\r\n"
          "Request-Id: r7\r\nContent-Length: 0\r\n\r\n" };
  static const struct fr_header_names *const names[]
      = { &strict, &fr_header_names_default };

  for (size_t i = 0; i < sizeof answers / sizeof answers[0]; i++)
    for (size_t k = 0; k < 2; k++)
      {
        size_t len = strlen (answers[i]);
        /* The empty line after the last chunk may be missing.  */
        size_t needed = i == 1 ? len - 2 : len;
        for (size_t n = 1; n < needed; n++)
          {
            struct tk_forward_done d
                = exchange_part (answers[i], n, n % 2 == 0, names[k]);
            check_lost (&d);
          }
        struct tk_forward_done d
            = exchange_part (answers[i], len, false, names[k]);
        CU_ASSERT_EQUAL (d.end, TK_END_ANSWER);
      }
}

/* Guards against an answer without a length that is passed on after a reset
   within its body, and against one whose connection ends within its head.  */
static void
test_answer_that_ends_with_its_connection (void)
{
  static const char *const answer
      = "HTTP/1.1 200 OK\r\nRequest-Id: r7\r\nConnection: close\r\n\r\n"
        "hello, world";
  size_t head = (size_t) (strstr (answer, "hello") - answer);

  for (size_t n = 1; n < head; n++)
    {
      struct tk_forward_done d = exchange_part (answer, n, false, &strict);
      check_lost (&d);
    }
  for (size_t n = head; n <= strlen (answer); n++)
    {
      struct tk_forward_done d = exchange_part (answer, n, true, &strict);
      check_lost (&d);
    }
  /* The whole answer is not told from a part by the first connection; that of
     a sound server is passed on in test-forward-endings.  */
  struct tk_forward_done d
      = exchange_part (answer, strlen (answer), false, &strict);
  check_lost (&d);
}

/* Guards against a spoiled line in the head, or in the size of a chunk, that
   makes libcurl take a part of the body for the whole.  */
static void
test_spoiled_answers (void)
{
#define BEGIN "HTTP/1.1 200 OK\r\nRequest-Id: r7\r\n"
  static const char *const answers[]
      = { BEGIN "Content-Length: 1x2\r\n\r\nhello, world",
          BEGIN "Content-Length: 1 2\r\n\r\nhello, world",
          BEGIN "Content-Length: 0x12\r\n\r\nhello, world",
          BEGIN "Content-Length: -1\r\n\r\nhello, world",
          BEGIN "Content-Length: 5\r\nContent-Length: 12\r\n\r\nhello, world",
          BEGIN "Content-Length: 5, 12\r\n\r\nhello, world",
          BEGIN "Content-Length\x01: 12\r\n\r\nhello, world",
          BEGIN "Content-Length : 12\r\n\r\nhello, world",
          BEGIN "Content-Lenxth: 12\r\n\r\nhello, world",
          BEGIN "Tranzfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
          BEGIN "Content-Length; 12\r\n\r\nhello, world",
          BEGIN "Content-Length: 12\r\nTransfer-Encoding: "
                "chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
          BEGIN "Transfer-Encoding: chunkee\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
          BEGIN "Transfer-Encoding: chunked\r\n\r\n0\r\nhello, "
                "world\r\n\r\n0\r\n\r\n",
          BEGIN "Cont\r\nent-Length: 12\r\n\r\nhello, world",
          BEGIN BEGIN "Content-Length: 2\r\n\r\nhi" };

  for (size_t i = 0; i < sizeof answers / sizeof answers[0]; i++)
    {
      struct tk_forward_done d
          = exchange_part (answers[i], strlen (answers[i]), false, &strict);
      CU_ASSERT_EQUAL (d.end, TK_END_LOST);
      check_lost (&d);
    }
#undef BEGIN
}

static const struct zp_test tests[]
    = { { "answers that are cut at every byte",
          test_answers_cut_at_every_byte },
        { "an answer that ends with its connection",
          test_answer_that_ends_with_its_connection },
        { "spoiled answers", test_spoiled_answers } };

TEST_MAIN ("forward-cuts", tests)
