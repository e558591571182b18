/* Heads that are read from several answers, bodies that an answer with a
   spoiled status line completes, answers that end with their connection, and
   sound answers that look like two.  */

#include "splices-fixture.h"

/* Guards against heads that are read from several answers: two copies that are
   cut, and interim answers that are cut.  */
static void
test_more_heads (void)
{
  static const char *const parts[] = {
    "HTTP/1.1 200 OK\r\nDate: x\r\nRequest-Id: r1\r\nStamp: s1\r\n"
    "Content-Length: 0\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\nHTTP/1.1 200 OK\r\n"
    "Date: x\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nDate: x\r\nRequest-Id: r1\r\n\r\n",
    "HTTP/1.0 200 OK\r\nConnection: close\r\nRequest-Id: r1\r\n\r\nabc"
  };
  struct tally t = { .cases = 0 };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < 4; i++)
    for (size_t k = 0; k < 4; k++)
      for (size_t n = 1; n < strlen (parts[i]); n++)
        for (size_t o = 0; o < strlen (parts[k]); o += k == i ? 5 : 13)
          {
            struct zp_buf next = { .ptr = NULL };
            f.script[0].parts = f.script[1].parts = 0;
            f.script[1].closes = true;
            render (&firsts[2], add_part (&f.script[0]));
            struct zp_buf *p = add_part (&f.script[1]);
            zp_buf_put_bytes (p, parts[i], n);
            zp_buf_put_bytes (p, parts[k], o);
            render (&seconds[0], &next);
            zp_buf_put (p, zp_str_of (&next));
            f.client = fw_client_open_with (&f.loop, &f.task, &strict);
            tk_msg_free (exchange (&f, "r1"));
            struct tk_msg *m = exchange (&f, "r2");
            count (&t, m, &seconds[0], NULL, "more heads", n * 1000 + o);
            tk_msg_free (m);
            fw_client_close (f.client);
            zp_buf_free (&next);
          }
  report ("more heads", &t);
  close_fixture (&f);
}

/* Guards against a head that is read from two answers, with one byte of the
   second status line changed.  */
static void
test_spoiled_status_line (void)
{
  struct zp_buf whole = { .ptr = NULL }, next = { .ptr = NULL };
  struct fixture f;

  open_fixture (&f);
  for (size_t at = 0; at < 12; at++)
    {
      struct tally t = { .cases = 0 };
      char what[64];
      render (&firsts[0], &whole);
      render (&seconds[0], &next);
      next.ptr[at] ^= 1;
      for (size_t n = 1; n < whole.len; n++)
        {
          f.script[0].parts = f.script[1].parts = 0;
          f.script[1].closes = true;
          zp_buf_put (add_part (&f.script[0]), zp_str_of (&whole));
          struct zp_buf *p = add_part (&f.script[1]);
          zp_buf_put_bytes (p, whole.ptr, n);
          zp_buf_put (p, zp_str_of (&next));
          f.client = fw_client_open_with (&f.loop, &f.task, &strict);
          tk_msg_free (exchange (&f, "r1"));
          struct tk_msg *m = exchange (&f, "r2");
          count (&t, m, &seconds[0], NULL, "spoiled status line", n);
          tk_msg_free (m);
          fw_client_close (f.client);
        }
      snprintf (what, sizeof what, "byte %zu of the second status line", at);
      report (what, &t);
    }
  zp_buf_free (&whole);
  zp_buf_free (&next);
  close_fixture (&f);
}

/* Guards against a body that is completed by another answer, in whose status
   line one byte is changed.  */
static void
test_body_and_spoiled_status_line (void)
{
  struct tally t = { .cases = 0 };
  struct fixture f;

  open_fixture (&f);
  for (size_t at = 0; at < 12; at++)
    for (size_t missing = 1; missing <= 30; missing++)
      if (!spoiled_line_is_open (at, missing))
        check_spoiled_line (&f, &t, at, missing);
  report ("body and spoiled status line", &t);
  CU_ASSERT_EQUAL (t.cases, 346);
  close_fixture (&f);
}

/* Guards against a body that ends with its connection and has the begin of
   another answer, with another status and with its id, as its end.  */
static void
test_to_close_and_cut_other (void)
{
  struct tally t = { .cases = 0 };

  check_to_close_and_cut (&t, true);
  report ("to close and cut other, behind its id", &t);
  CU_ASSERT_EQUAL (t.cases, 29);
}

/* Guards against an answer with a length, after which the connection ends, that
   breaks off and is completed by another answer.  */
static void
test_length_and_close (void)
{
  struct tally t = { .cases = 0 };
  struct zp_buf whole = { .ptr = NULL }, next = { .ptr = NULL };
  struct fixture f;
  struct reply own = firsts[0];

  own.framing = "Content-Length: 30\r\nConnection: close\r\n";
  open_fixture (&f);
  render (&own, &whole);
  render (&own, &next);
  for (size_t n = 1; n < whole.len; n++)
    check_pair (&f, &t, &own, (struct zp_str){ .ptr = whole.ptr, .len = n },
                zp_str_of (&next), "length and close", n);
  report ("length and close", &t);
  zp_buf_free (&whole);
  zp_buf_free (&next);
  close_fixture (&f);
}

/* Guards against sound answers that are lost because their body quotes an
   answer.  */
static void
test_sound_quotes (void)
{
  check_quotes ("see:\nHTTP/1.1 200 OK\r\nServer: x\r\n\r\nend");
  check_quotes ("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: q");
}

/* Guards against heads that could be those of two answers and are passed on:
   a field quotes a status line, or a field of which an answer has one stands
   twice.  These heads are sound and lost, see docs/OPERATIONS.md.  */
static void
test_heads_like_two (void)
{
  static const char *const lines[]
      = { "X-Upstream: HTTP/1.1 200 OK\r\n",
          "Content-Type: a\r\nContent-Type: a\r\n", "Date: b\r\n",
          "Content-Length: 30\r\n", "Retry-After: 1\r\nRetry-After: 1\r\n" };
  struct tally t = { .cases = 0 };
  struct zp_buf whole = { .ptr = NULL };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < 5; i++)
    {
      struct reply own = firsts[0];
      own.after = lines[i];
      render (&own, &whole);
      check_pair (&f, &t, &own, zp_str_of (&whole), ZP_STR (""), lines[i], i);
    }
  report ("heads like two", &t);
  CU_ASSERT_EQUAL (t.lost, 5);
  zp_buf_free (&whole);
  close_fixture (&f);
}

static const struct zp_test tests[] = {
  { "more heads", test_more_heads },
  { "spoiled status line", test_spoiled_status_line },
  { "body and spoiled status line", test_body_and_spoiled_status_line },
  { "to close and cut other", test_to_close_and_cut_other },
  { "length and close", test_length_and_close },
  { "sound quotes", test_sound_quotes },
  { "heads like two", test_heads_like_two },
};

TEST_MAIN ("forward-splices-more", tests)
