/* Tests how the callers of the platform soak read answers.  */

#include "harness.h"

#include <sys/socket.h>

#include "../soak/message.h"

/* Reads TEXT, which ends with its connection.  */
static enum sk_end
read_answer (const char *text, struct sk_message *m)
{
  int fd[2];
  struct sk_conn c = { .fd = -1 };

  CU_ASSERT_FATAL (socketpair (AF_UNIX, SOCK_STREAM, 0, fd) == 0);
  c.fd = fd[0];
  CU_ASSERT (send (fd[1], text, strlen (text), 0) == (ssize_t) strlen (text));
  close (fd[1]);
  enum sk_end e = sk_read (&c, SK_ANSWER, zp_clock_mono () + ZP_SEC, m);
  sk_close (&c, false);
  return e;
}

static const char *const answers[] = {
  "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nX-Request-Id: 1\r\n"
  "X-Server-Stamp: 1\r\nContent-Length: 3\r\n\r\nabc",
  "HTTP/1.1 200 OK\r\nX-Server-Stamp: 1\r\nX-Request-Id: 1\r\n"
  "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
  "HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: 1\r\n"
  "Content-Length: 0\r\n\r\n",
};

#define ANSWERS (sizeof answers / sizeof answers[0])

static void
test_whole_answers (void)
{
  struct sk_message m = { .status = 0 };

  for (size_t i = 0; i < ANSWERS; i++)
    {
      CU_ASSERT_EQUAL (read_answer (answers[i], &m), SK_WHOLE);
      CU_ASSERT (m.body.len == 0
                 || zp_str_eq (zp_str_of (&m.body), ZP_STR ("abc")));
    }
  sk_message_free (&m);
}

/* Guards against a checker that takes the head or the chunks of two answers for
   those of one, and so reports nothing.  */
static void
test_spliced_answers (void)
{
  struct sk_message m = { .status = 0 };

  for (size_t i = 0; i < ANSWERS; i++)
    for (size_t k = 0; k < ANSWERS; k++)
      for (size_t n = 1; n < strlen (answers[i]); n++)
        {
          struct zp_buf text = { .ptr = NULL };
          zp_buf_printf (&text, "%.*s%s", (int) n, answers[i], answers[k]);
          enum sk_end e = read_answer (text.ptr, &m);
          /* A body with a length is compared with that of its stamp.  */
          bool joined = m.body.len > 0 && m.body.ptr[m.body.len - 1] != 'c';
          if (e == SK_WHOLE && !joined)
            printf ("answer %zu, %zu bytes, then %zu\n", i, n, k);
          CU_ASSERT (e != SK_WHOLE || joined);
          zp_buf_free (&text);
        }
  sk_message_free (&m);
}

static const struct zp_test tests[]
    = { { "whole answers", test_whole_answers },
        { "answers that are read from two", test_spliced_answers } };

TEST_MAIN ("soak-message", tests)
