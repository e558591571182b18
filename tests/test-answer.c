#include "harness.h"

#include "forward/answer.h"

/* Header names of an interface whose answers all repeat the request id.  */
static const struct fr_header_names strict = {
  .request_id = "Request-Id",
  .stamp = "Stamp",
  .not_run = "Not-Run",
  .leaving = "Leaving",
  .load = "Load",
  .answers_have_id = true,
};

static struct tk_forward_done done;

/* Reads TEXT, the head of an answer to request r7, line by line.  Returns
   whether every line was accepted.  */
static bool
read_head (struct fw_answer *a, const char *text)
{
  struct zp_str rest = zp_str_from (text);

  while (rest.len > 0)
    {
      size_t n = (size_t) ((const char *) memchr (rest.ptr, '\n', rest.len)
                           - rest.ptr)
                 + 1;
      if (!fw_answer_line (a, (struct zp_str){ .ptr = rest.ptr, .len = n },
                           &done))
        return false;
      rest = (struct zp_str){ .ptr = rest.ptr + n, .len = rest.len - n };
    }
  return true;
}

static struct fw_answer
new_answer (bool reused)
{
  zp_buf_free (&done.headers);
  zp_buf_free (&done.content_type);
  done = (struct tk_forward_done){ .status = 0 };
  return (struct fw_answer){ .names = &strict,
                             .request_id = ZP_STR ("r7"),
                             .reused = reused };
}

/* Guards against an answer that is taken for that to another request.  */
static void
test_own_answer (void)
{
  static const struct
  {
    const char *head;
    bool reused, own;
  } cases[] = {
    { "HTTP/1.1 200 OK\r\nRequest-Id: r7\r\nContent-Length: 0\r\n\r\n", true,
      true },
    { "HTTP/1.1 200 OK\r\nRequest-Id: r6\r\nContent-Length: 0\r\n\r\n", false,
      false },
    { "HTTP/1.1 200 OK\r\nRequest-Id: r6\r\nRequest-Id: r7\r\nContent-Length: "
      "0\r\n\r\n",
      false, false },
    { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false, true },
    { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true, false },
    { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: "
      "r7\r\nContent-Length: 0\r\n\r\n",
      true, true },
    { "HTTP/1.1 103 Early\r\nRequest-Id: r7\r\n\r\nHTTP/1.1 200 "
      "OK\r\nContent-Length: 0\r\n\r\n",
      true, false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct fw_answer a = new_answer (cases[i].reused);
      CU_ASSERT_EQUAL (read_head (&a, cases[i].head), cases[i].own);
      CU_ASSERT_EQUAL (fw_answer_is_own (&a), cases[i].own);
    }
}

/* Guards against a head that is read from two answers whose second status line
   is spoiled: the fields of both stand in it.  */
static void
test_fields_that_stand_twice (void)
{
  static const char *const fields[] = { "Request-Id: r7", "Stamp: s",
                                        "Not-Run: 1",     "Leaving: 1",
                                        "Load: 3,1,6",    "Retry-After: 1",
                                        "Date: today",    "Content-Type: t" };
  char head[256];

  for (size_t i = 0; i < sizeof fields / sizeof fields[0]; i++)
    {
      struct fw_answer a = new_answer (true);
      snprintf (head, sizeof head, "HTTP/1.1 200 OK\r\n%s\r\n", fields[i]);
      CU_ASSERT (read_head (&a, head));
      snprintf (head, sizeof head, "%s\r\n", fields[i]);
      CU_ASSERT (!read_head (&a, head));
      CU_ASSERT_EQUAL (fw_answer_state (&a, true, 0), FW_ANSWER_MALFORMED);
    }
}

/* Guards against a sound answer that is dropped: fields that may stand several
   times, and those of an interim answer that stand again in the final one.  */
static void
test_fields_that_may_stand_twice (void)
{
  struct fw_answer a = new_answer (true);

  CU_ASSERT (read_head (&a, "HTTP/1.1 103 Early\r\nDate: now\r\nLoad: 9,9,9"
                            "\r\n\r\nHTTP/1.1 200 OK\r\nDate: now\r\n"
                            "Set-Cookie: a\r\nSet-Cookie: b\r\n"
                            "Request-Id: r7\r\nContent-Length: 0\r\n\r\n"));
  CU_ASSERT_EQUAL (fw_answer_state (&a, true, 0), FW_ANSWER_WHOLE);
  CU_ASSERT (!done.load.known);
}

/* Guards against losing what a server says of itself, and against passing it
   on to the caller as if it were ours.  */
static void
test_leaving_and_retry_after (void)
{
  struct fw_answer a = new_answer (false);

  CU_ASSERT (read_head (&a, "HTTP/1.1 503 Busy\r\nRequest-Id: r7\r\n"
                            "Leaving: 1\r\nRetry-After: 1.25\r\n"
                            "Load: 3,1,6\r\nStamp: s\r\n"
                            "Content-Length: 0\r\n\r\n"));
  CU_ASSERT (done.leaving);
  CU_ASSERT (done.stamped);
  CU_ASSERT_EQUAL (done.retry_after, 1250 * ZP_MS);
  CU_ASSERT (done.load.known);
  CU_ASSERT_EQUAL (done.load.waiting, 1);
  CU_ASSERT (zp_str_eq (zp_str_of (&done.headers),
                        ZP_STR ("Load: 3,1,6\nStamp: s\n")));
}

/* Guards against figures of a load that are taken from a value with a spoiled,
   missing or additional one, and against losing the load of servers that state
   no pace.  */
static void
test_load_values (void)
{
  static const struct
  {
    const char *text;
    bool known;
    unsigned pace;
  } cases[] = {
    { "3,1,6", true, 0 },
    { "3,1,6,1", true, 1 },
    { "3,1,6,140", true, 140 },
    { "3,1,6,100000", true, 100000 },
    { "3,1,6,0", false, 0 },
    { "3,1,6,100001", false, 0 },
    { "3,1,6,18446744073709551617", false, 0 },
    { "3,1,6,", false, 0 },
    { "3,1,6,1.4", false, 0 },
    { "3,1,6,-1", false, 0 },
    { "3,1,6, 140", false, 0 },
    { "3,1,6,140,", false, 0 },
    { "3,1,6,140,7", false, 0 },
    { "3,1", false, 0 },
    { "3,1,", false, 0 },
    { "10001,1,6,140", false, 0 },
  };
  char head[128];

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct fw_answer a = new_answer (true);
      snprintf (head, sizeof head, "HTTP/1.1 200 OK\r\nLoad: %s\r\n",
                cases[i].text);
      CU_ASSERT (read_head (&a, head));
      if (done.load.known != cases[i].known)
        fprintf (stderr, "load \"%s\"\n", cases[i].text);
      CU_ASSERT_EQUAL (done.load.known, cases[i].known);
      CU_ASSERT_EQUAL (done.load.running, cases[i].known ? 3 : 0);
      CU_ASSERT_EQUAL (done.load.pace, cases[i].pace);
    }
}

/* Guards against a time that keeps a server out for ever, and against one that
   is read from something else than a number of seconds.  */
static void
test_retry_after_values (void)
{
  static const struct
  {
    const char *text;
    zp_time time; /* below 0: not readable */
  } cases[] = {
    { "0", 0 },
    { "3", 3 * ZP_SEC },
    { "0.05", 50 * ZP_MS },
    { "2.5000009", 2500 * ZP_MS },
    { "600", FW_RETRY_AFTER_MAX },
    { "99999999999999999999", FW_RETRY_AFTER_MAX },
    { "", -1 },
    { "-1", -1 },
    { "1e9", -1 },
    { "1.", -1 },
    { "inf", -1 },
    { "Sun, 06 Nov 1994 08:49:37 GMT", -1 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      zp_time t = -1;
      CU_ASSERT_EQUAL (fw_retry_after_parse (zp_str_from (cases[i].text), &t),
                       cases[i].time >= 0);
      CU_ASSERT_EQUAL (t, cases[i].time);
    }
}

/* Guards against a head without end, also in many interim answers.  */
static void
test_head_limit (void)
{
  struct fw_answer a = new_answer (false);
  size_t lines = 0;

  while (read_head (&a, "HTTP/1.1 103 Early\r\nX-Pad: 0123456789\r\n\r\n"))
    lines++;
  CU_ASSERT (lines > 100);
  CU_ASSERT (a.head_bytes <= FW_HEAD_MAX + 64);
}

/* Guards against a false not-run (P4).  */
static void
test_verdicts (void)
{
  struct fw_answer a = new_answer (false);

  CU_ASSERT_EQUAL (fw_answer_verdict (&a, 503), ZP_RAN);
  CU_ASSERT_EQUAL (fw_answer_verdict (&a, 421), ZP_RAN);
  a.expects_instance = true;
  CU_ASSERT_EQUAL (fw_answer_verdict (&a, 421), ZP_NOT_RUN);
  CU_ASSERT (read_head (&a, "HTTP/1.1 429 Busy\r\nNot-Run: 1\r\n"));
  CU_ASSERT_EQUAL (fw_answer_verdict (&a, 429), ZP_NOT_RUN);
}

static const struct zp_test tests[]
    = { { "fields that stand twice", test_fields_that_stand_twice },
        { "fields that may stand twice", test_fields_that_may_stand_twice },
        { "whether an answer is the request's own", test_own_answer },
        { "what a server says of itself", test_leaving_and_retry_after },
        { "values of the load", test_load_values },
        { "values of Retry-After", test_retry_after_values },
        { "the limit of a head", test_head_limit },
        { "verdicts", test_verdicts } };

TEST_MAIN ("answer", tests)
