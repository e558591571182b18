#include "answer.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

#define CHUNK_MAX 1000 /* bytes */
#define LINES_MAX 8    /* header lines beside the request id */
#define LINE_SIZE 160
#define SPOILED_MAX 4 /* bytes */

/* Takes the span of one of several equal places, each with the same
   probability.  COUNT is the number of places seen before.  */
static void
offer (struct sk_span *to, size_t from, size_t until, unsigned *count,
       struct zp_rng *rng)
{
  if (zp_rng_below (rng, ++*count) == 0)
    *to = (struct sk_span){ .from = from, .until = until };
}

/* Writes the header lines of P but the request id to LINE, in random order.
   Returns their number.  */
static unsigned
draw_lines (const struct sk_answer_plan *p, struct zp_rng *rng,
            char line[LINES_MAX][LINE_SIZE])
{
  unsigned n = 0;

  snprintf (line[n++], LINE_SIZE, "Date: Sun, 06 Dec 2026 03:10:39 GMT");
  snprintf (line[n++], LINE_SIZE, "Server: soak");
  snprintf (line[n++], LINE_SIZE, "Cache-Control: no-store, max-age=0");
  if (!p->not_run)
    snprintf (line[n++], LINE_SIZE, "X-Server-Load: %s", p->load);
  if (p->stamp[0] != '\0')
    snprintf (line[n++], LINE_SIZE, "X-Server-Stamp: %s", p->stamp);
  if (p->not_run)
    snprintf (line[n++], LINE_SIZE, "X-Not-Run: 1");
  switch (p->frame)
    {
    case SK_FRAME_LENGTH:
    case SK_FRAME_ZERO:
      snprintf (line[n++], LINE_SIZE, "Content-Length: %zu", p->body.len);
      break;
    case SK_FRAME_CHUNKED:
      snprintf (line[n++], LINE_SIZE, "Transfer-Encoding: chunked");
      break;
    case SK_FRAME_CLOSE:
      snprintf (line[n++], LINE_SIZE, "Connection: close");
      break;
    }
  for (unsigned i = n - 1; i > 0; i--)
    {
      char other[LINE_SIZE];
      unsigned k = zp_rng_below (rng, i + 1);
      memcpy (other, line[i], LINE_SIZE);
      memmove (line[i], line[k], LINE_SIZE);
      memcpy (line[k], other, LINE_SIZE);
    }
  return n;
}

static void
write_head (struct sk_answer *a, const struct sk_answer_plan *p,
            struct zp_rng *rng)
{
  char line[LINES_MAX][LINE_SIZE];
  unsigned n = draw_lines (p, rng, line), before = 0, after = 0, id_at = 0;

  switch (p->order)
    {
    case SK_ORDER_FIRST:
      break;
    case SK_ORDER_LAST:
      id_at = n;
      break;
    case SK_ORDER_ANY:
    case SK_ORDER_MIDDLE:
      id_at = 1 + zp_rng_below (rng, n - 1);
      break;
    }
  zp_buf_printf (&a->bytes, "HTTP/1.1 %u ", p->status);
  a->place[SK_AT_REASON].from = a->bytes.len;
  zp_buf_put (&a->bytes, ZP_STR ("Status"));
  a->place[SK_AT_REASON].until = a->bytes.len;
  for (unsigned i = 0; i <= n; i++)
    {
      if (i == id_at)
        zp_buf_printf (&a->bytes, "\r\nX-Request-Id: %.*s", ZP_ARG (p->id));
      if (i == n)
        break;
      zp_buf_printf (&a->bytes, "\r\n%s", line[i]);
      size_t value = a->bytes.len - strlen (strchr (line[i], ' ') + 1);
      if (i < id_at)
        offer (&a->place[SK_AT_BEFORE], value, a->bytes.len, &before, rng);
      else
        offer (&a->place[SK_AT_AFTER], value, a->bytes.len, &after, rng);
    }
  a->place[SK_AT_EDGE].from = a->bytes.len;
  zp_buf_put (&a->bytes, ZP_STR ("\r\n\r\n"));
  a->place[SK_AT_EDGE].until = a->bytes.len;
}

static void
write_chunks (struct sk_answer *a, const struct sk_answer_plan *p,
              struct zp_rng *rng)
{
  unsigned sizes = 0, data = 0;

  for (size_t at = 0; at < p->body.len;)
    {
      size_t n = p->body.len - at < CHUNK_MAX ? p->body.len - at : CHUNK_MAX;
      size_t from = a->bytes.len;
      zp_buf_printf (&a->bytes, "%zx\r\n", n);
      offer (&a->place[SK_AT_SIZE], from, a->bytes.len, &sizes, rng);
      from = a->bytes.len;
      zp_buf_put_bytes (&a->bytes, p->body.ptr + at, n);
      zp_buf_put (&a->bytes, ZP_STR ("\r\n"));
      offer (&a->place[SK_AT_DATA], from, a->bytes.len, &data, rng);
      at += n;
    }
  if (p->endless)
    return;
  a->place[SK_AT_TRAILER].from = a->bytes.len;
  zp_buf_put (&a->bytes, ZP_STR ("0\r\n"));
  if (zp_rng_below (rng, 2) == 0)
    zp_buf_put (&a->bytes, ZP_STR ("X-Checked: 1\r\n"));
  zp_buf_put (&a->bytes, ZP_STR ("\r\n"));
  a->place[SK_AT_TRAILER].until = a->bytes.len;
}

void
sk_answer_write (struct sk_answer *a, const struct sk_answer_plan *p,
                 struct zp_rng *rng)
{
  zp_buf_clear (&a->bytes);
  memset (a->place, 0, sizeof a->place);
  write_head (a, p, rng);
  if (!p->head_request && p->body.len > 0)
    a->place[SK_AT_BODY].from = a->bytes.len;
  if (!p->head_request && p->frame == SK_FRAME_CHUNKED)
    write_chunks (a, p, rng);
  else if (!p->head_request)
    zp_buf_put (&a->bytes, p->body);
  if (a->place[SK_AT_BODY].from > 0)
    a->place[SK_AT_BODY].until = a->bytes.len;
  a->place[SK_AT_ANY] = (struct sk_span){ .from = 0, .until = a->bytes.len };
}

void
sk_answer_damage (const struct sk_answer *a, const struct sk_fault *f,
                  struct zp_rng *rng, struct zp_buf *out)
{
  static const char spoiled[] = "z\001?#";
  struct zp_str bytes = zp_str_of (&a->bytes);
  struct sk_span s = a->place[f->at];

  if (f->at == SK_AT_NONE)
    {
      zp_buf_put (out, bytes);
      return;
    }
  assert (s.until > s.from);
  /* Half of the cuts at any place are in the head, which is short.  */
  if (f->at == SK_AT_ANY && zp_rng_below (rng, 2) == 0)
    s.until = a->place[SK_AT_EDGE].until;
  /* Without a byte of it, the bytes that follow are a sound answer.  */
  if (s.from == 0 && f->follow != SK_FOLLOW_FIN && f->follow != SK_FOLLOW_RST
      && f->follow != SK_FOLLOW_KILL)
    s.from = 1;
  size_t point = s.from + zp_rng_below (rng, (uint32_t) (s.until - s.from));
  zp_buf_put_bytes (out, bytes.ptr, point);
  if (f->how == SK_HOW_CUT)
    return;
  size_t until = point + 1 + zp_rng_below (rng, SPOILED_MAX);
  for (; point < until && point < s.until; point++)
    zp_buf_put_bytes (out, &spoiled[zp_rng_below (rng, sizeof spoiled - 1)],
                      1);
  zp_buf_put_bytes (out, bytes.ptr + point, bytes.len - point);
}

void
sk_answer_copy (struct sk_answer *to, const struct sk_answer *from)
{
  zp_buf_clear (&to->bytes);
  zp_buf_put (&to->bytes, zp_str_of (&from->bytes));
  memcpy (to->place, from->place, sizeof to->place);
}

void
sk_answer_free (struct sk_answer *a)
{
  zp_buf_free (&a->bytes);
}
