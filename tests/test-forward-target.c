/* The request target on the wire: the bytes that the caller has sent.  */

#include "forward-fixture.h"

static const struct tk_forward_done *
exchange_target (struct fixture *f, struct zp_str target)
{
  struct tk_msg *m = tk_msg_new (TK_FORWARD);
  struct tk_forward *w = &m->u.forward;

  if (f->done)
    tk_msg_free (f->done);
  f->done = NULL;
  w->id = f->last_id = 7 + f->last_id;
  snprintf (w->address, sizeof w->address, "%s", f->address);
  zp_buf_put (&w->method, ZP_STR ("GET"));
  zp_buf_put (&w->target, target);
  zp_buf_printf (&w->request_id, "r%d", f->dones + 7);
  w->deadline = zp_clock_mono () + 5 * ZP_SEC;
  tk_send (fw_client_task (f->client), m);
  ev_run (f->loop.ev, 0);
  CU_ASSERT_FATAL (f->done != NULL);
  return &f->done->u.done;
}

/* Whether the last request of F begins with "GET TARGET HTTP/1.1".  */
static bool
arrived (const struct fixture *f, struct zp_str target)
{
  struct zp_buf line = { .ptr = NULL };

  zp_buf_printf (&line, "GET %.*s HTTP/1.1\r\n", ZP_ARG (target));
  bool same = strncmp (f->server.last, line.ptr, line.len) == 0;
  zp_buf_free (&line);
  return same;
}

static const char *const answers[] = { OK "Request-Id: r7\r\n\r\nhi",
                                       OK "Request-Id: r8\r\n\r\nhi",
                                       OK "Request-Id: r9\r\n\r\nhi",
                                       OK "Request-Id: r10\r\n\r\nhi",
                                       OK "Request-Id: r11\r\n\r\nhi",
                                       OK "Request-Id: r12\r\n\r\nhi",
                                       OK "Request-Id: r13\r\n\r\nhi",
                                       OK "Request-Id: r14\r\n\r\nhi",
                                       OK "Request-Id: r15\r\n\r\nhi",
                                       OK "Request-Id: r16\r\n\r\nhi",
                                       OK "Request-Id: r17\r\n\r\nhi",
                                       OK "Request-Id: r18\r\n\r\nhi",
                                       OK "Request-Id: r19\r\n\r\nhi",
                                       OK "Request-Id: r20\r\n\r\nhi",
                                       OK "Request-Id: r21\r\n\r\nhi",
                                       OK "Request-Id: r22\r\n\r\nhi",
                                       NULL };

/* Guards against a request for another resource than the caller's: an empty
   query that is dropped, a fragment that is cut off, bytes above 127 that are
   encoded, dots that are resolved; all on the connection of the address.  */
static void
test_bytes_are_kept (void)
{
  static const char *const row[] = { "/",
                                     "/a/x?",
                                     "/a/x?y=1?z",
                                     "/a/x??",
                                     "/a/x#",
                                     "/a/x#part?y#z",
                                     "/a/../b//c/./..",
                                     "//other.example/x",
                                     "/%2e%2e/%2E/%2f%00%zz%",
                                     "/a;v=1;w/b,c",
                                     "/a/\xc3\xa9\xff?\x80=\xfe",
                                     "/@127.0.0.1:9/x",
                                     "/a/http://other.example:9/",
                                     "/\\a\"<>^`{|}[]'*",
                                     "/?" };
  struct fixture f;

  open_fixture (&f, answers);
  for (size_t i = 0; i < sizeof row / sizeof row[0]; i++)
    {
      const struct tk_forward_done *d
          = exchange_target (&f, zp_str_from (row[i]));
      CU_ASSERT_EQUAL (d->end, TK_END_ANSWER);
      CU_ASSERT (arrived (&f, zp_str_from (row[i])));
    }
  CU_ASSERT_EQUAL (f.server.connections, 1);
  close_fixture (&f);
}

/* Guards against a byte that is changed on its way: each that is valid in a
   target, in one long target.  */
static void
test_all_valid_bytes_and_a_long_target (void)
{
  struct zp_buf target = { .ptr = NULL };
  struct fixture f;

  open_fixture (&f, answers);
  zp_buf_put (&target, ZP_STR ("/"));
  for (unsigned n = 0; target.len < 3000; n++)
    {
      char c = (char) (n % 256);
      if ((unsigned char) c > ' ' && c != 0x7f)
        zp_buf_put_bytes (&target, &c, 1);
    }
  const struct tk_forward_done *d = exchange_target (&f, zp_str_of (&target));
  CU_ASSERT_EQUAL (d->end, TK_END_ANSWER);
  CU_ASSERT (arrived (&f, zp_str_of (&target)));
  zp_buf_free (&target);
  close_fixture (&f);
}

/* Guards against a second request, a field line or another host from within a
   target: it is not sent at all.  */
static void
test_invalid_targets_are_not_sent (void)
{
  static const struct zp_str row[] = {
    { .ptr = "", .len = 0 },
    { .ptr = "*", .len = 1 },
    { .ptr = "x", .len = 1 },
    { .ptr = "?x", .len = 2 },
    { .ptr = "@127.0.0.1:9/x", .len = 14 },
    { .ptr = "http://other.example/x", .len = 22 },
    { .ptr = "/a b", .len = 4 },
    { .ptr = "/a HTTP/1.1", .len = 11 },
    { .ptr = "/a\rb", .len = 4 },
    { .ptr = "/a\nb", .len = 4 },
    { .ptr = "/a\tb", .len = 4 },
    { .ptr = "/a\0b", .len = 4 },
    { .ptr = "/a\x7f", .len = 3 },
    { .ptr = "/a HTTP/1.1\r\nX-A: b\r\n\r\nGET /b", .len = 30 },
    { .ptr = "/a?q HTTP/1.1\r\n\r\nGET /b", .len = 23 },
  };
  struct fixture f;

  open_fixture (&f, answers);
  for (size_t i = 0; i < sizeof row / sizeof row[0]; i++)
    {
      const struct tk_forward_done *d = exchange_target (&f, row[i]);
      CU_ASSERT (d->end != TK_END_ANSWER);
      CU_ASSERT_EQUAL (d->verdict, ZP_NOT_RUN);
    }
  for (int c = 1; c <= ' '; c++)
    {
      char text[] = { '/', 'a', (char) c, 'b', '\0' };
      CU_ASSERT_EQUAL (exchange_target (&f, zp_str_from (text))->verdict,
                       ZP_NOT_RUN);
    }
  CU_ASSERT_EQUAL (f.server.requests, 0);
  CU_ASSERT_EQUAL (f.server.connections, 0);
  close_fixture (&f);
}

static const struct zp_test tests[]
    = { { "bytes are kept", test_bytes_are_kept },
        { "all valid bytes and a long target",
          test_all_valid_bytes_and_a_long_target },
        { "invalid targets are not sent",
          test_invalid_targets_are_not_sent } };

TEST_MAIN ("forward-target", tests)
