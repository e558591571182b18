/* Two answers on one connection, of which the first breaks off, on zinniapost's
   own interface: answers need not repeat the request id.  */

#include "forward-fixture.h"

struct reply
{
  unsigned status;
  const char *head; /* without the line of the id */
  const char *body; /* as sent, with its chunks */
  const char *text; /* as the caller gets it */
  zp_time retry_after;
  bool refuses; /* says that the request has not run */
};

#define CHUNKED "Transfer-Encoding: chunked\r\n"

static const struct reply firsts[] = {
  { 200, "HTTP/1.1 200 OK\r\nX-Seat: 12\r\nContent-Length: 12\r\n",
    "{\"seat\":\"12\"", "{\"seat\":\"12\"", 0, false },
  { 200, "HTTP/1.1 200 OK\r\nX-Seat: 12\r\n" CHUNKED,
    "7\r\n{\"seat\"\r\n05\r\n:\"12\"\r\n0\r\nX-Sum: 7\r\n\r\n",
    "{\"seat\":\"12\"", 0, false },
  { 503,
    "HTTP/1.1 503 Service Unavailable\r\nRun-Verdict: not-run\r\n"
    "Retry-After: 7\r\nContent-Length: 0\r\n",
    "", "", 7 * ZP_SEC, true },
  { 503,
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n"
    "Retry-After: 7\r\nX-Long: aaaaaaaaaaaaaaaaaaaaaaaaa\r\n"
    "Run-Verdict: not-run\r\n",
    "busy", "busy", 7 * ZP_SEC, true },
  { 500, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n", "", "",
    0, false },
};

static const struct reply seconds[] = {
  { 200, "HTTP/1.1 200 OK\r\nX-Seat: 31\r\nContent-Length: 13\r\n",
    "{\"seat\":\"31\"}", "{\"seat\":\"31\"}", 0, false },
  { 500,
    "HTTP/1.1 500 Internal Server Error\r\nRun-Verdict: ran\r\n"
    "Content-Length: 5\r\n",
    "error", "error", 0, false },
  { 503,
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 2\r\n"
    "Run-Verdict: may-have-run\r\n" CHUNKED,
    "3\r\nend\r\n0\r\n\r\n", "end", 2 * ZP_SEC, false },
};

static void
render (const struct reply *r, const char *id, struct zp_buf *out)
{
  zp_buf_printf (out, "%s%s%s%s\r\n%s", r->head, id[0] ? "Request-Id: " : "",
                 id, id[0] ? "\r\n" : "", r->body);
}

/* Whether D is the answer R, with nothing of another one.  */
static bool
is_answer (const struct tk_forward_done *d, const struct reply *r)
{
  return d->status == r->status && d->retry_after == r->retry_after
         && zp_str_eq (zp_str_of (&d->body), zp_str_from (r->text))
         && (d->headers.len == 0 || !HAS_TEXT (d->headers.ptr, "HTTP/1."));
}

static bool
check_cut (const struct reply *a, const struct reply *b, size_t n, bool ids)
{
  struct zp_buf first = { .ptr = NULL }, then = { .ptr = NULL };
  struct fixture f;
  bool ok = true;

  render (a, ids ? "r1" : "", &first);
  zp_buf_put_bytes (&then, first.ptr, n);
  render (b, ids ? "r2" : "", &then);
  const char *const script[] = { first.ptr, then.ptr, NULL };
  open_fixture (&f, script);
  f.request_id = "r1";
  exchange (&f, ZP_SEC);
  f.request_id = "r2";
  const struct tk_forward_done *d = exchange (&f, 30 * ZP_MS);
  /* An answer that came twice as a whole counts where answers have no id.  */
  bool late = !ids && n == first.len;
  if (f.server.connections != 1)
    printf ("another connection\n");
  if (d->end == TK_END_ANSWER)
    ok = is_answer (d, late ? a : b);
  if (d->verdict == ZP_NOT_RUN)
    ok = false;
  ok = ok && f.server.connections == 1;
  if (!ok)
    printf ("ids %d, %zu of %zu bytes: end %d status %u verdict %d retry "
            "%lld body %.*s\n%.*s|\n",
            ids, n, first.len, (int) d->end, d->status, (int) d->verdict,
            (long long) d->retry_after, ZP_ARG (zp_str_of (&d->body)),
            ZP_ARG (zp_str_of (&then)));
  close_fixture (&f);
  zp_buf_free (&first);
  zp_buf_free (&then);
  return ok;
}

/* Guards against an answer that is read from two, and against a refusal of an
   earlier request that counts for the next one.  */
static void
test_cut_copies (void)
{
  for (int ids = 0; ids < 2; ids++)
    for (size_t i = 0; i < sizeof firsts / sizeof firsts[0]; i++)
      for (size_t k = 0; k < sizeof seconds / sizeof seconds[0]; k++)
        {
          size_t len = strlen (firsts[i].head) + strlen (firsts[i].body) + 2
                       + (ids ? strlen ("Request-Id: r1\r\n") : 0);
          for (size_t n = 1; n <= len; n++)
            CU_ASSERT (check_cut (&firsts[i], &seconds[k], n, ids > 0));
        }
}

static const struct zp_test tests[]
    = { { "copies that break off", test_cut_copies } };

TEST_MAIN ("forward-native", tests)
