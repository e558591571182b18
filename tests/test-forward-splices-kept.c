/* Answers on kept connections: the count of the bytes of a connection tells
   whether an answer is followed by bytes that do not belong to it, also when
   it comes before the send of its request returns.  */

#include "splices-fixture.h"

/* Microseconds that a send of the client takes, as of a process that is not
   scheduled.  */
static _Atomic unsigned send_delay_us;

ssize_t
send (int fd, const void *bytes, size_t n, int flags)
{
  ssize_t sent = sendto (fd, bytes, n, flags, NULL, 0);

  if (send_delay_us > 0)
    usleep (send_delay_us);
  return sent;
}

static void
check_early_answers (const char *what, const char *framing, unsigned delay_us,
                     unsigned rounds)
{
  struct tally t = { .cases = 0 };
  struct zp_buf first = { .ptr = NULL }, next = { .ptr = NULL };
  struct fixture f;
  struct remote r;

  open_fixture (&f);
  open_remote (&r);
  snprintf (f.address, sizeof f.address, "%s", r.address);
  struct reply own = firsts[0], other = firsts[0];
  own.id = other.id = "r2";
  own.framing = framing;
  other.status = "500 Internal Server Error";
  render (&own, &first);
  render (&other, &next);
  render (&firsts[2], &r.answer[0]);
  for (unsigned i = 0; i < rounds; i++)
    {
      size_t missing = i % 30 + 1;
      zp_buf_clear (&r.answer[1]);
      zp_buf_put_bytes (&r.answer[1], first.ptr, first.len - missing);
      zp_buf_put (&r.answer[1], zp_str_of (&next));
      f.client = fw_client_open_with (&f.loop, &f.task, &strict);
      tk_msg_free (exchange (&f, "r1"));
      send_delay_us = delay_us;
      struct tk_msg *m = exchange (&f, "r2");
      send_delay_us = 0;
      CU_ASSERT (m->u.done.reused);
      count (&t, m, &own, &other, what, missing);
      tk_msg_free (m);
      fw_client_close (f.client);
    }
  report (what, &t);
  zp_buf_free (&first);
  zp_buf_free (&next);
  close_remote (&r);
  close_fixture (&f);
}

/* Guards against a body that is completed by another answer, when the answer
   comes before the send of the request returns: libcurl reads it before it
   has told the number of the connection that is used again.  */
static void
test_answer_before_send_returns (void)
{
  check_early_answers ("send takes 5 ms", "Content-Length: 30\r\n", 5000, 30);
  check_early_answers ("send takes 5 ms, close",
                       "Content-Length: 30\r\nConnection: close\r\n", 5000,
                       30);
}

/* The same without a delay; the scheduler decides.  */
static void
test_answers_of_a_thread (void)
{
  check_early_answers ("send is not delayed", "Content-Length: 30\r\n", 0,
                       20000);
}

/* Guards against whole answers that are not counted as read, so that the next
   one on the connection has a surplus and is lost.  */
static void
test_sound_after_early_answer (void)
{
  struct tally t = { .cases = 0 };
  struct fixture f;
  struct remote r;

  open_fixture (&f);
  open_remote (&r);
  snprintf (f.address, sizeof f.address, "%s", r.address);
  struct reply sound
      = { "200 OK", FIELDS,  REST, "r3", "s3", "Content-Length: 5\r\n",
          "TEETH",  "TEETH", false };
  render (&firsts[2], &r.answer[0]);
  render (&seconds[0], &r.answer[1]);
  render (&sound, &r.answer[2]);
  for (int i = 0; i < 5; i++)
    {
      f.client = fw_client_open_with (&f.loop, &f.task, &strict);
      tk_msg_free (exchange (&f, "r1"));
      send_delay_us = 40000;
      tk_msg_free (exchange (&f, "r2"));
      send_delay_us = 0;
      struct tk_msg *m = exchange (&f, "r3");
      count (&t, m, &sound, NULL, "sound after early answer", 0);
      tk_msg_free (m);
      fw_client_close (f.client);
    }
  report ("sound after early answer", &t);
  CU_ASSERT_EQUAL (t.lost, 0);
  close_remote (&r);
  close_fixture (&f);
}

static void
put_chunks (struct zp_buf *b, size_t total, size_t chunk)
{
  static char piece[70000];

  memset (piece, 'H', sizeof piece);
  for (size_t n; total > 0; total -= n)
    {
      n = total < chunk ? total : chunk;
      zp_buf_printf (b, "%zx;e=1\r\n%.*s\r\n", n, (int) n, piece);
    }
}

/* The answer N to r2; returns the method, and the length of its body.  */
static const char *
put_answer (struct zp_buf *b, int n, size_t *len)
{
  static const struct
  {
    const char *head;
    size_t total, chunk;
    const char *end;
  } chunked[] = { { "", 8 << 20, 5000, "0\r\nX-T: a\r\nX-U: b\r\n\r\n" },
                  { "", 300, 1, "0\r\n\r\n" },
                  { "", 0, 1, "0\r\n\r\n" },
                  { "", 65536, 4089, "0;last\r\nX-T: a\r\n\r\n" },
                  { "", 66000, 66000, "00000\r\n\r\n" } };
  static const struct
  {
    const char *text, *method;
    size_t len;
  } plain[]
      = { { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: "
            "a\r\n\r\n" OK_R2 "Content-Length: 3\r\n\r\nabc",
            "GET", 3 },
          { OK_R2 "Content-Length: 300\r\n\r\n", "HEAD", 0 },
          { "HTTP/1.1 204 No Content\r\n" HEAD_R2 "\r\n", "GET", 0 },
          { "HTTP/1.1 304 Not Modified\r\n" HEAD_R2
            "Content-Length: 7\r\n\r\n",
            "GET", 0 } };

  if (n < 5)
    {
      zp_buf_printf (b, OK_R2 CHUNKED "\r\n");
      put_chunks (b, *len = chunked[n].total, chunked[n].chunk);
      zp_buf_printf (b, "%s", chunked[n].end);
      return "GET";
    }
  if (n == 5)
    {
      zp_buf_printf (b, OK_R2 "Content-Length: %d\r\n\r\n", 8 << 20);
      put_body (b, *len = 8 << 20);
      return "GET";
    }
  zp_buf_printf (b, "%s", plain[n - 6].text);
  *len = plain[n - 6].len;
  return plain[n - 6].method;
}

/* Guards against bytes of answers that are counted wrongly for their
   connection: a sound answer that follows is lost, or a body that is completed
   is passed on.  */
static void
test_count_of_connection (void)
{
  struct fixture f;
  struct remote r;
  struct reply sound
      = { "200 OK", FIELDS,  REST, "r3", "s3", "Content-Length: 5\r\n",
          "TEETH",  "TEETH", false };
  struct reply other = sound;

  other.status = "500 Internal Server Error";
  open_fixture (&f);
  open_remote (&r);
  snprintf (f.address, sizeof f.address, "%s", r.address);
  render (&firsts[2], &r.answer[0]);
  for (int n = 0; n < 10; n++)
    for (int spliced = 0; spliced < 2; spliced++)
      {
        struct tally t = { .cases = 0 };
        struct zp_buf b = { .ptr = NULL };
        size_t len;
        zp_buf_clear (&r.answer[1]);
        const char *method = put_answer (&r.answer[1], n, &len);
        render (&sound, &r.answer[2]);
        if (spliced)
          {
            r.answer[2].len -= 3;
            render (&other, &b);
            zp_buf_put (&r.answer[2], zp_str_of (&b));
          }
        f.client = fw_client_open_with (&f.loop, &f.task, &strict);
        tk_msg_free (exchange (&f, "r1"));
        struct tk_msg *m = exchange_with (&f, "r2", method);
        if (m->u.done.end != TK_END_ANSWER || m->u.done.body.len != len)
          printf ("\nanswer %d: end %d, %zu of %zu bytes", n, m->u.done.end,
                  m->u.done.body.len, len);
        CU_ASSERT_EQUAL (m->u.done.end, TK_END_ANSWER);
        CU_ASSERT_EQUAL (m->u.done.body.len, len);
        tk_msg_free (m);
        m = exchange (&f, "r3");
        count (&t, m, &sound, &other, spliced ? "spliced" : "sound",
               (size_t) n);
        if (!m->u.done.reused || t.lost != (unsigned) spliced)
          printf ("\nanswer %d, spliced %d: reused %d, lost %u, wrong %u", n,
                  spliced, m->u.done.reused, t.lost, t.wrong);
        CU_ASSERT (m->u.done.reused);
        CU_ASSERT_EQUAL (t.wrong, 0);
        CU_ASSERT_EQUAL (t.lost, (unsigned) spliced);
        tk_msg_free (m);
        fw_client_close (f.client);
        zp_buf_free (&b);
      }
  close_remote (&r);
  close_fixture (&f);
}

static const struct zp_test tests[] = {
  { "answer before send returns", test_answer_before_send_returns },
  { "answers of a thread", test_answers_of_a_thread },
  { "sound after early answer", test_sound_after_early_answer },
  { "count of connection", test_count_of_connection },
};

TEST_MAIN ("forward-splices-kept", tests)
