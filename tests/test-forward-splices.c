/* Two answers on one connection of which the first is broken off.  What the
   caller gets is one of the answers that the server has meant to send, or
   none.  */

#include "splices-fixture.h"

/* When the copy comes.  */
enum copy_time
{
  COPY_AT_ONCE,     /* in one segment with the answer */
  COPY_NEXT,        /* in one segment with the next answer */
  COPY_BEFORE_NEXT, /* when the next request has arrived */
  COPY_TIMES,
};

/* The answer A to r1, a copy of it that is cut after N bytes, and the answer B
   to r2 on the same connection.  */
static void
check_copy (struct fixture *f, struct tally *t, const struct reply *a,
            const struct reply *b, size_t n, enum copy_time when)
{
  struct zp_buf whole = { .ptr = NULL }, next = { .ptr = NULL };
  static const char *const names[]
      = { "copy at once", "copy with the next answer",
          "copy before the next answer" };

  render (a, &whole);
  render (b, &next);
  f->script[0].parts = f->script[1].parts = 0;
  f->script[1].closes = true;
  struct zp_buf *p = add_part (&f->script[0]);
  zp_buf_put (p, zp_str_of (&whole));
  if (when != COPY_AT_ONCE)
    p = add_part (&f->script[1]);
  zp_buf_put_bytes (p, whole.ptr, n);
  if (when != COPY_NEXT)
    p = add_part (&f->script[1]);
  zp_buf_put (p, zp_str_of (&next));
  f->client = fw_client_open_with (&f->loop, &f->task, &strict);
  struct tk_msg *m = exchange (f, "r1");
  CU_ASSERT_EQUAL (m->u.done.end, TK_END_ANSWER);
  CU_ASSERT (is_reply (&m->u.done, a));
  tk_msg_free (m);
  m = exchange (f, "r2");
  count (t, m, b, NULL, names[when], n);
  tk_msg_free (m);
  fw_client_close (f->client);
  zp_buf_free (&whole);
  zp_buf_free (&next);
}

/* Guards against a head that is read from two answers: a late copy of the
   answer before, broken off at any byte of its head, and the next answer.  */
static void
test_late_copy_that_is_cut (void)
{
  struct tally t = { .cases = 0 };
  struct zp_buf whole = { .ptr = NULL };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < FIRSTS; i++)
    {
      render (&firsts[i], &whole);
      for (size_t k = 0; k < SECONDS; k++)
        for (size_t n = 1; n < whole.len; n++)
          check_copy (&f, &t, &firsts[i], &seconds[k], n,
                      n % 16 == 0 ? COPY_BEFORE_NEXT : COPY_NEXT);
    }
  report ("late copies", &t);
  zp_buf_free (&whole);
  close_fixture (&f);
}

/* Guards against the same with a copy that comes before the next request.  */
static void
test_copy_at_once_that_is_cut (void)
{
  struct tally t = { .cases = 0 };
  struct zp_buf whole = { .ptr = NULL };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < FIRSTS; i++)
    {
      render (&firsts[i], &whole);
      for (size_t n = 1; n < whole.len; n += 3)
        check_copy (&f, &t, &firsts[i], &seconds[0], n, COPY_AT_ONCE);
    }
  report ("copies at once", &t);
  zp_buf_free (&whole);
  close_fixture (&f);
}

/* Guards against a body that is completed by another answer: the answer to r1
   is broken off at any byte, and the same or another answer to r1 follows on
   the connection.  */
static void
test_cut_answer_and_another (void)
{
  struct tally t = { .cases = 0 };
  struct zp_buf first = { .ptr = NULL }, next = { .ptr = NULL };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < FIRSTS; i++)
    for (size_t k = 0; k < SECONDS + FIRSTS; k++)
      {
        struct reply other = k < SECONDS ? seconds[k] : firsts[k - SECONDS];
        other.id = "r1";
        render (&firsts[i], &first);
        render (&other, &next);
        for (size_t n = 1; n < first.len; n++)
          {
            f.script[0].parts = 0;
            f.script[0].closes = true;
            struct zp_buf *p = add_part (&f.script[0]);
            zp_buf_put_bytes (p, first.ptr, n);
            if (n % 16 == 0)
              p = add_part (&f.script[0]);
            zp_buf_put (p, zp_str_of (&next));
            f.client = fw_client_open_with (&f.loop, &f.task, &strict);
            struct tk_msg *m = exchange (&f, "r1");
            count (&t, m, &firsts[i], &other, "cut answer and another", n);
            tk_msg_free (m);
            fw_client_close (f.client);
          }
      }
  report ("cut answers", &t);
  zp_buf_free (&first);
  zp_buf_free (&next);
  close_fixture (&f);
}

/* Guards against sound answers that are lost.  */
static void
test_sound_answers (void)
{
  struct tally t = { .cases = 0 };
  struct fixture f;

  open_fixture (&f);
  for (size_t i = 0; i < FIRSTS; i++)
    for (size_t k = 0; k < SECONDS; k++)
      for (int split = 0; split < 2; split++)
        {
          struct zp_buf b = { .ptr = NULL };
          f.script[0].parts = f.script[1].parts = 0;
          render (&firsts[i], add_part (&f.script[0]));
          render (&seconds[k], &b);
          zp_buf_put_bytes (add_part (&f.script[1]), b.ptr,
                            split ? b.len / 2 : b.len);
          if (split)
            zp_buf_put_bytes (add_part (&f.script[1]), b.ptr + b.len / 2,
                              b.len - b.len / 2);
          f.client = fw_client_open_with (&f.loop, &f.task, &strict);
          int before = f.connections;
          tk_msg_free (exchange (&f, "r1"));
          struct tk_msg *m = exchange (&f, "r2");
          count (&t, m, &seconds[k], NULL, "sound", i);
          CU_ASSERT_EQUAL (f.connections, before + 1);
          tk_msg_free (m);
          fw_client_close (f.client);
          zp_buf_free (&b);
        }
  report ("sound answers", &t);
  CU_ASSERT_EQUAL (t.lost, 0);
  close_fixture (&f);
}

/* Guards against sound answers that are lost because of their body, and against
   bytes of earlier answers on the connection that count as their surplus.  */
static void
test_sound_bodies (void)
{
  static const char *const bodies[]
      = { "TEETH", "HTTP/1.1 20", "HTTP/1.1 502 Bad Gateway\r\n",
          "GET / HTTP/1.1\r\nHost: h\r\n\r\nHTTP/1.1 200 OK\r\n\r\nH" };
  struct tally t = { .cases = 0 };
  struct fixture f;
  char length[64], closing[128], chunks[256], id[32];

  open_fixture (&f);
  f.client = fw_client_open_with (&f.loop, &f.task, &strict);
  for (size_t i = 0; i < sizeof bodies / sizeof bodies[0]; i++)
    {
      const struct reply replies[]
          = { { "200 OK", FIELDS, REST, id, "s1", length, bodies[i], bodies[i],
                false },
              { "200 OK", FIELDS, REST, id, "s1",
                CHUNKED "Connection: close\r\n", chunks, bodies[i], false },
              { "200 OK", FIELDS, REST, id, "s1", closing, bodies[i],
                bodies[i], false } };
      snprintf (length, sizeof length, "Content-Length: %zu\r\n",
                strlen (bodies[i]));
      snprintf (closing, sizeof closing, "%sConnection: close\r\n", length);
      snprintf (chunks, sizeof chunks, "%zx;a\r\n%s\r\n0\r\n\r\n",
                strlen (bodies[i]), bodies[i]);
      for (size_t k = 0; k < 9; k++)
        {
          const struct reply *r = &replies[k / 3];
          snprintf (id, sizeof id, "sound-%zu-%zu", i, k);
          f.script[0].parts = 0;
          render (r, add_part (&f.script[0]));
          struct tk_msg *m = exchange (&f, id);
          count (&t, m, r, NULL, "sound body", i);
          tk_msg_free (m);
        }
    }
  fw_client_close (f.client);
  report ("sound bodies", &t);
  CU_ASSERT_EQUAL (f.connections,
                   6 * (int) (sizeof bodies / sizeof bodies[0]));
  CU_ASSERT_EQUAL (t.lost, 0);
  close_fixture (&f);
}

/* Guards against answers that are lost to the copies of one server again and
   again: after the first one each request has a connection of its own.  */
static void
test_server_that_sends_copies (void)
{
  struct tally t = { .cases = 0 };
  struct reply r = seconds[0];
  struct fixture f;
  char id[32];

  open_fixture (&f);
  f.client = fw_client_open_with (&f.loop, &f.task, &strict);
  for (size_t i = 0; i < 20; i++)
    {
      snprintf (id, sizeof id, "copied-%zu", i);
      r.id = id;
      f.script[0].parts = 0;
      struct zp_buf *p = add_part (&f.script[0]);
      if (i == 1)
        zp_buf_put (p, ZP_STR ("HTTP/1.1 200 OK\r\nRequest-Id: copied-0\r\n"
                               "Content-Length: 0\r\n\r\n"));
      struct zp_buf answer = { .ptr = NULL };
      render (&r, &answer);
      zp_buf_put (p, zp_str_of (&answer));
      zp_buf_free (&answer);
      struct tk_msg *m = exchange (&f, id);
      count (&t, m, &r, NULL, "copies", i);
      tk_msg_free (m);
    }
  fw_client_close (f.client);
  report ("a server that sends copies", &t);
  CU_ASSERT_EQUAL (t.lost, 1);
  CU_ASSERT_EQUAL (f.connections, 19);
  close_fixture (&f);
}

static const struct zp_test tests[] = {
  { "a late copy that is cut", test_late_copy_that_is_cut },
  { "a copy at once that is cut", test_copy_at_once_that_is_cut },
  { "a cut answer and another", test_cut_answer_and_another },
  { "sound answers", test_sound_answers },
  { "sound bodies", test_sound_bodies },
  { "a server that sends copies", test_server_that_sends_copies },
};

TEST_MAIN ("forward-splices", tests)
