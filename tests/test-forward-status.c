/* Tests the forward task with answers whose status code is invalid.  A server
   in trouble sent status 000, and a caller received it as an answer.  */

#include "forward-fixture.h"
#include "invalid-statuses.h"

#define FIELDS                                                                \
  "Request-Id: r7\r\nStamp: s\r\nNot-Run: 1\r\nRun-Verdict: not-run\r\n"      \
  "Content-Length: 2\r\n"
#define SOUND                                                                 \
  "HTTP/1.1 200 OK\r\nRequest-Id: r7\r\nStamp: s\r\n"                         \
  "Content-Length: 2\r\n\r\nhi"

/* What stands behind the head with the invalid status.  */
static const char *const rests[]
    = { "\r\nhi", "\r\n", "\r\nhi" SOUND, "\r\n" SOUND,
        "Connection: close\r\n\r\nhi" };

static const struct fr_header_names *const names[]
    = { &strict, &fr_header_names_default };

/* An answer with an invalid status is lost: its request may have run, also
   where its fields say that it has not.  */
static void
check_lost (const struct tk_forward_done *d, const char *text)
{
  bool ok = d->end == TK_END_LOST && d->verdict == ZP_MAY_HAVE_RUN
            && d->status == 0 && d->body.len == 0 && d->headers.len == 0;

  CU_ASSERT (ok);
  if (!ok)
    printf ("end %d status %u verdict %d: %s\n", (int) d->end, d->status,
            (int) d->verdict, text);
}

static void
put_text (char *out, size_t size, const char *status, const char *rest)
{
  snprintf (out, size, "HTTP/1.1 %s Text\r\n" FIELDS "%s", status, rest);
}

/* Guards against an answer with an invalid status that is passed on, alone,
   before a sound answer, and before the end of its connection.  */
static void
test_new_connection (void)
{
  char text[512];

  for (size_t i = 0; i < INVALID_STATUSES; i++)
    for (size_t k = 0; k < sizeof rests / sizeof rests[0]; k++)
      for (size_t n = 0; n < 2; n++)
        {
          const char *const script[] = { text, NULL };
          struct fixture f;
          put_text (text, sizeof text, invalid_statuses[i], rests[k]);
          open_fixture_with (&f, script, names[n]);
          check_lost (exchange (&f, 5 * ZP_SEC), text);
          close_fixture (&f);
        }
}

/* Guards against the same on a kept connection, and against a sound answer
   behind it that is taken for that of the next request.  */
static void
test_kept_connection (void)
{
  char text[512];

  for (size_t i = 0; i < INVALID_STATUSES; i++)
    for (size_t n = 0; n < 2; n++)
      {
        const char *const script[] = { SOUND, text, SOUND, NULL };
        struct fixture f;
        put_text (text, sizeof text, invalid_statuses[i], "\r\nhi" SOUND);
        open_fixture_with (&f, script, names[n]);
        CU_ASSERT_EQUAL (exchange (&f, 5 * ZP_SEC)->end, TK_END_ANSWER);
        check_lost (exchange (&f, 5 * ZP_SEC), text);
        int connections = f.server.connections;
        const struct tk_forward_done *d = exchange (&f, 5 * ZP_SEC);
        CU_ASSERT_EQUAL (d->end, TK_END_ANSWER);
        CU_ASSERT_EQUAL (d->status, 200);
        CU_ASSERT_EQUAL (f.server.connections, connections + 1);
        close_fixture (&f);
      }
}

/* Guards against an interim answer with an invalid status that is skipped.  */
static void
test_interim_answer (void)
{
  static const char *const statuses[] = { "000", "010", "99", "1000" };
  char text[512];

  for (size_t i = 0; i < sizeof statuses / sizeof statuses[0]; i++)
    {
      const char *const script[] = { text, NULL };
      struct fixture f;
      snprintf (text, sizeof text, "HTTP/1.1 %s Early\r\n\r\n" SOUND,
                statuses[i]);
      open_fixture_with (&f, script, &strict);
      check_lost (exchange (&f, 5 * ZP_SEC), text);
      close_fixture (&f);
    }
}

static const struct zp_test tests[]
    = { { "on a new connection", test_new_connection },
        { "on a kept connection", test_kept_connection },
        { "as an interim answer", test_interim_answer } };

TEST_MAIN ("forward-status", tests)
