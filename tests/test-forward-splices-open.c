/* Bodies that are completed by another answer and passed on, and a sound one
   that is lost.  All cases fail, see issue 38 in KNOWN-RED.txt.  */

#include "splices-fixture.h"

/* Guards against a body that is completed exactly by the begin of another
   answer, which breaks off as well, or whose rest comes later.  */
static void
test_exact_completion (void)
{
  struct tally t = { .cases = 0 };
  struct zp_buf whole = { .ptr = NULL }, part = { .ptr = NULL };
  struct fixture f;

  open_fixture (&f);
  for (int late = 0; late < 2; late++)
    for (size_t m = 1; m <= 30; m++)
      {
        render (&firsts[0], &whole);
        zp_buf_clear (&part);
        zp_buf_put_bytes (&part, whole.ptr, whole.len - m);
        zp_buf_put_bytes (&part, whole.ptr, m);
        struct tk_msg *d
            = one_exchange (&f, &strict, zp_str_of (&part),
                            late ? (struct zp_str){ .ptr = whole.ptr + m,
                                                    .len = whole.len - m }
                                 : ZP_STR (""));
        count (&t, d, &firsts[0], NULL,
               late ? "rest of the other later" : "both cut", m);
        tk_msg_free (d);
      }
  report ("exact completion", &t);
  zp_buf_free (&whole);
  zp_buf_free (&part);
  close_fixture (&f);
}

/* Guards against a body that is completed by another answer, in whose status
   line one byte is changed: 1 to 3 bytes or all are missing.  */
static void
test_body_and_spoiled_status_line (void)
{
  struct tally t = { .cases = 0 };
  struct fixture f;

  open_fixture (&f);
  for (size_t at = 0; at < 12; at++)
    for (size_t missing = 1; missing <= 30; missing++)
      if (spoiled_line_is_open (at, missing))
        check_spoiled_line (&f, &t, at, missing);
  report ("body and spoiled status line", &t);
  CU_ASSERT_EQUAL (t.cases, 14);
  close_fixture (&f);
}

/* Guards against a body that ends with its connection and has the begin of
   another answer, with another status and up to its id, as its end.  */
static void
test_to_close_and_cut_other (void)
{
  struct tally t = { .cases = 0 };

  check_to_close_and_cut (&t, false);
  report ("to close and cut other, before its id", &t);
  CU_ASSERT_EQUAL (t.cases, 36);
}

/* Guards against a sound answer that is lost because its body ends with the
   end of an answer that it quotes with an id.  */
static void
test_sound_quotes (void)
{
  check_quotes (
      "see:\nHTTP/1.1 200 OK\r\nServer: x\r\nRequest-Id: q\r\n\r\nend");
}

static const struct zp_test tests[] = {
  { "exact completion", test_exact_completion },
  { "body and spoiled status line", test_body_and_spoiled_status_line },
  { "to close and cut other", test_to_close_and_cut_other },
  { "sound quotes", test_sound_quotes },
};

TEST_MAIN ("forward-splices-open", tests)
