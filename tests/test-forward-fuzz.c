/* Answers from seeds, at any split, spoiled, and broken off with another answer
   behind them: the pure modules answer, framing, chunks and copy together.  */

#include "harness.h"
#include "seeds.h"

#include "base/log.h"
#include "forward/copy.h"

#define SEEDS 20000 /* of each property */

static const struct fr_header_names names = {
  .request_id = "Request-Id",
  .stamp = "Stamp",
  .not_run = "Not-Run",
  .leaving = "Leaving",
  .load = "Load",
  .answers_have_id = true,
};

/* What an answer is meant to say.  */
struct meaning
{
  unsigned status;
  enum zp_verdict verdict;
  struct zp_buf body;
};

static void
put_field (struct zp_buf *out, struct zp_rng *rng, double p, const char *line)
{
  if (chance (rng, p))
    zp_buf_put (out, zp_str_from (line));
}

static void
put_body (struct zp_buf *out, struct zp_rng *rng)
{
  static const char *const words[] = { "abc",     "0", "1d",   "\r\n", "\n",
                                       "Date: x", ":", "HTTP", "\x80", "a;b" };

  for (uint32_t n = zp_rng_below (rng, 12); n > 0; n--)
    zp_buf_put (
        out, zp_str_from (
                 words[zp_rng_below (rng, sizeof words / sizeof words[0])]));
}

static void
put_chunks (struct zp_buf *out, struct zp_rng *rng, struct zp_str body)
{
  for (size_t at = 0, n; at < body.len; at += n)
    {
      n = 1 + zp_rng_below (rng, (uint32_t) (body.len - at));
      zp_buf_printf (out, chance (rng, 0.3) ? "0%zX;x=y\r\n" : "%zx\r\n", n);
      zp_buf_put_bytes (out, body.ptr + at, n);
      zp_buf_put (out, ZP_STR ("\r\n"));
    }
  zp_buf_put (out, ZP_STR ("0\r\n"));
  put_field (out, rng, 0.2, "Sum: 1\r\n");
  zp_buf_put (out, ZP_STR ("\r\n"));
}

/* Appends a whole answer with the request id ID.  */
static void
put_answer (struct zp_buf *out, struct zp_rng *rng, const char *id,
            struct meaning *m)
{
  static const unsigned statuses[] = { 200, 200, 404, 500, 503, 204, 304 };
  unsigned status
      = statuses[zp_rng_below (rng, sizeof statuses / sizeof statuses[0])];
  bool refuses = status == 503 && chance (rng, 0.5);
  bool id_first = chance (rng, 0.5), framing_first = chance (rng, 0.5);
  struct zp_buf framing = { .ptr = NULL }, body = { .ptr = NULL };
  uint32_t kind = zp_rng_below (rng, 3);

  put_field (out, rng, 0.1, "HTTP/1.1 100 Continue\r\n\r\n");
  put_field (out, rng, 0.1, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
  zp_buf_clear (&m->body);
  if (status != 204 && status != 304)
    put_body (&m->body, rng);
  if (status == 204 || status == 304)
    zp_buf_put (&framing, ZP_STR ("X-None: 1\r\n"));
  else if (kind == 0)
    {
      zp_buf_put (&framing, ZP_STR ("Transfer-Encoding: chunked\r\n"));
      put_chunks (&body, rng, zp_str_of (&m->body));
    }
  else
    {
      if (kind == 1)
        zp_buf_printf (&framing, "Content-Length: %zu\r\n", m->body.len);
      else
        zp_buf_put (&framing, ZP_STR ("Connection: close\r\n"));
      zp_buf_put (&body, zp_str_of (&m->body));
    }
  m->status = status;
  m->verdict = refuses ? ZP_NOT_RUN : ZP_RAN;
  zp_buf_printf (out, "HTTP/1.1 %u Text\r\n", status);
  if (id_first)
    zp_buf_printf (out, "Request-Id: %s\r\n", id);
  if (framing_first)
    zp_buf_put (out, zp_str_of (&framing));
  put_field (out, rng, 0.5, "Date: Sun, 06 Dec 2026 03:00:00 GMT\r\n");
  put_field (out, rng, 0.5, "Server: x/1 (y)\r\n");
  if (refuses)
    zp_buf_put (out, ZP_STR ("Not-Run: 1\r\n"));
  put_field (out, rng, 0.3, "Retry-After: 2\r\n");
  put_field (out, rng, 0.5, "Content-Type: text/plain\r\n");
  zp_buf_printf (out, "Stamp: s%u\r\n", zp_rng_below (rng, 1000));
  put_field (out, rng, 0.3, "X-Empty:\r\n");
  if (!framing_first)
    zp_buf_put (out, zp_str_of (&framing));
  if (!id_first)
    zp_buf_printf (out, "Request-Id: %s\r\n", id);
  zp_buf_put (out, ZP_STR ("\r\n"));
  zp_buf_put (out, zp_str_of (&body));
  zp_buf_free (&framing);
  zp_buf_free (&body);
}

/* A stream as it is read for the request r2.  */
struct reading
{
  struct fw_answer answer;
  struct tk_forward_done done;
  uint64_t received;
  enum fw_answer_state state;
};

/* The bytes of one call, in an allocation of their own, so that a read past
   them is found.  */
static struct zp_str
own_bytes (const char *at, size_t n)
{
  char *p = malloc (n);

  if (!p)
    abort ();
  memcpy (p, at, n);
  return (struct zp_str){ .ptr = p, .len = n };
}

/* Reads the lines of the head from REST, as libcurl passes them on.  Returns
   false when the answer is not read on.  */
static bool
read_head (struct reading *r, struct zp_str *rest)
{
  while (r->answer.framing.state != FW_IN_BODY)
    {
      const char *end = memchr (rest->ptr, '\n', rest->len);
      if (!end)
        return false;
      size_t n = (size_t) (end - rest->ptr) + 1;
      struct zp_str line = own_bytes (rest->ptr, n);
      bool ok = fw_answer_line (&r->answer, line, &r->done);
      free ((char *) line.ptr);
      rest->ptr += n;
      rest->len -= n;
      if (!ok)
        return false;
    }
  return true;
}

/* Reads the N bytes AT of the body.  */
static bool
read_part (struct reading *r, const char *at, size_t n)
{
  struct zp_str part = own_bytes (at, n), left = part, body;
  bool ok = true;

  while (ok && left.len > 0)
    {
      ok = fw_answer_bytes (&r->answer, &left, &body, &r->done);
      if (ok)
        {
          zp_buf_put (&r->done.body, body);
          r->received += body.len;
        }
    }
  free ((char *) part.ptr);
  return ok;
}

/* Returns whether the body has ended without an error, as libcurl sees it.  */
static bool
read_body (struct reading *r, struct zp_str rest, struct zp_rng *splits)
{
  const struct fw_body *b = &r->answer.framing.body;

  if (b->kind == FW_BODY_NONE)
    return true;
  if (b->kind == FW_BODY_LENGTH && rest.len > b->u.length)
    rest.len = b->u.length;
  while (rest.len > 0)
    {
      size_t n
          = splits ? 1 + zp_rng_below (splits, (uint32_t) rest.len) : rest.len;
      if (!read_part (r, rest.ptr, n))
        return false;
      rest.ptr += n;
      rest.len -= n;
    }
  return true;
}

static bool
is_spliced (const struct reading *r, struct zp_str stream)
{
  struct zp_str body = zp_str_of (&r->done.body);
  uint64_t size = fw_answer_size (&r->answer, r->received);
  struct fw_surplus surplus
      = { .kind = FW_SURPLUS_KNOWN,
          .u.bytes = stream.len > size ? stream.len - size : 0 };

  if (r->answer.framing.body.kind == FW_BODY_TO_CLOSE)
    return fw_copy_find (&r->answer, body).kind != FW_COPY_NONE;
  return fw_copy_completes (&r->answer, body, surplus);
}

/* Reads STREAM, which then ends, on a connection that was used before.  Splits
   the body by SPLITS, or not at all when it is NULL.  */
static struct reading
read_stream (struct zp_str stream, struct zp_rng *splits)
{
  struct reading r
      = { .answer
          = { .names = &names, .request_id = ZP_STR ("r2"), .reused = true } };
  struct zp_str rest = stream;
  bool ended = read_head (&r, &rest) && read_body (&r, rest, splits);

  r.done.status = r.answer.framing.status;
  r.done.verdict = fw_answer_verdict (&r.answer, r.done.status);
  r.state = fw_answer_state (&r.answer, ended, r.received);
  if (r.state == FW_ANSWER_WHOLE && is_spliced (&r, stream))
    r.state = FW_ANSWER_SPLICED;
  return r;
}

static void
free_reading (struct reading *r)
{
  fw_answer_free (&r->answer);
  zp_buf_free (&r->done.headers);
  zp_buf_free (&r->done.content_type);
  zp_buf_free (&r->done.body);
}

static bool
same_text (const struct zp_buf *a, const struct zp_buf *b)
{
  return zp_str_eq (zp_str_of (a), zp_str_of (b));
}

static bool
same_answer (const struct reading *a, const struct reading *b)
{
  return a->done.status == b->done.status && a->done.verdict == b->done.verdict
         && a->done.stamped == b->done.stamped
         && a->done.retry_after == b->done.retry_after
         && same_text (&a->done.headers, &b->done.headers)
         && same_text (&a->done.content_type, &b->done.content_type)
         && same_text (&a->done.body, &b->done.body);
}

/* A sound answer is whole and says what it means, wherever it is split.  */
static bool
sound_answer_is_whole (uint32_t seed)
{
  struct zp_buf text = { .ptr = NULL };
  struct meaning m = { .body = { .ptr = NULL } };
  struct zp_rng rng;
  bool ok = true;

  zp_rng_seed (&rng, seed);
  put_answer (&text, &rng, "r2", &m);
  TRACE ("%.*s\n", ZP_ARG (zp_str_of (&text)));
  for (int i = 0; i < 3; i++)
    {
      struct reading r = read_stream (zp_str_of (&text), i ? &rng : NULL);
      TRACE ("state %d, status %u, verdict %d, body %.*s\n", r.state,
             r.done.status, r.done.verdict, ZP_ARG (zp_str_of (&r.done.body)));
      ok = ok && r.state == FW_ANSWER_WHOLE && r.done.status == m.status
           && r.done.verdict == m.verdict && r.done.stamped
           && same_text (&r.done.body, &m.body);
      free_reading (&r);
    }
  zp_buf_free (&text);
  zp_buf_free (&m.body);
  return ok;
}

/* A part of an answer, to this request or an earlier one, with a whole answer
   behind it, ends as one of the two or as none.  */
static bool
splice_is_no_mixture (uint32_t seed)
{
  struct zp_buf first = { .ptr = NULL }, second = { .ptr = NULL };
  struct zp_buf stream = { .ptr = NULL };
  struct meaning m = { .body = { .ptr = NULL } };
  struct zp_rng rng;

  zp_rng_seed (&rng, seed);
  put_answer (&first, &rng, chance (&rng, 0.5) ? "r1" : "r2", &m);
  put_answer (&second, &rng, chance (&rng, 0.7) ? "r2" : "r3", &m);
  zp_buf_put_bytes (&stream, first.ptr,
                    zp_rng_below (&rng, (uint32_t) first.len));
  size_t cut = stream.len;
  zp_buf_put (&stream, zp_str_of (&second));
  TRACE ("cut at %zu\n%.*s\n", cut, ZP_ARG (zp_str_of (&stream)));

  struct reading a = read_stream (zp_str_of (&first), NULL);
  struct reading b = read_stream (zp_str_of (&second), NULL);
  struct reading r = read_stream (zp_str_of (&stream), &rng);
  TRACE ("state %d, status %u, body %.*s\n", r.state, r.done.status,
         ZP_ARG (zp_str_of (&r.done.body)));
  bool ok = r.state != FW_ANSWER_WHOLE
            || (a.state == FW_ANSWER_WHOLE && same_answer (&r, &a))
            || (b.state == FW_ANSWER_WHOLE && same_answer (&r, &b));
  free_reading (&a);
  free_reading (&b);
  free_reading (&r);
  zp_buf_free (&first);
  zp_buf_free (&second);
  zp_buf_free (&stream);
  zp_buf_free (&m.body);
  return ok;
}

static void
spoil (struct zp_buf *text, struct zp_rng *rng)
{
  static const char bytes[] = "\r\n\0 :;,\t09aFHT/.\x7f\x80\xff-+x";
  struct zp_buf out = { .ptr = NULL };
  size_t at = zp_rng_below (rng, (uint32_t) text->len + 1);
  size_t skip = zp_rng_below (rng, 4);
  size_t from = at + skip < text->len ? at + skip : text->len;

  zp_buf_put_bytes (&out, text->ptr, at);
  for (uint32_t n = zp_rng_below (rng, 4); n > 0; n--)
    zp_buf_put_bytes (&out, bytes + zp_rng_below (rng, sizeof bytes - 1), 1);
  zp_buf_put_bytes (&out, text->ptr + from, text->len - from);
  zp_buf_free (text);
  *text = out;
}

/* Guards against a read past the input (by the sanitizers), and against a
   whole answer without its announced length, or that depends on the splits.  */
static bool
spoiled_answer_is_safe (uint32_t seed)
{
  struct zp_buf text = { .ptr = NULL };
  struct meaning m = { .body = { .ptr = NULL } };
  struct zp_rng rng;

  zp_rng_seed (&rng, seed);
  put_answer (&text, &rng, "r2", &m);
  for (uint32_t n = zp_rng_below (&rng, 6); n > 0; n--)
    spoil (&text, &rng);
  TRACE ("%.*s\n", ZP_ARG (zp_str_of (&text)));
  struct reading a = read_stream (zp_str_of (&text), NULL);
  struct reading b = read_stream (zp_str_of (&text), &rng);
  TRACE ("states %d %d\n", a.state, b.state);
  const struct fw_body *body = &a.answer.framing.body;
  bool ok = a.state == b.state
            && (a.state != FW_ANSWER_WHOLE || same_answer (&a, &b))
            && (a.state != FW_ANSWER_WHOLE || body->kind != FW_BODY_LENGTH
                || body->u.length == a.done.body.len);
  free_reading (&a);
  free_reading (&b);
  zp_buf_free (&text);
  zp_buf_free (&m.body);
  return ok;
}

static void
test_sound_answers (void)
{
  CU_ASSERT_EQUAL (seeds_run (sound_answer_is_whole, SEEDS), 0);
}

static void
test_splices (void)
{
  CU_ASSERT_EQUAL (seeds_run (splice_is_no_mixture, SEEDS), 0);
}

static void
test_spoiled_answers (void)
{
  zp_log_open ("test", ZP_LOG_ERR, STDERR_FILENO);
  CU_ASSERT_EQUAL (seeds_run (spoiled_answer_is_safe, SEEDS), 0);
}

static const struct zp_test tests[]
    = { { "sound answers are whole at any split", test_sound_answers },
        { "a splice is no mixture", test_splices },
        { "spoiled answers", test_spoiled_answers } };

TEST_MAIN ("forward-fuzz", tests)
